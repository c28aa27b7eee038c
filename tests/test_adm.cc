extern "C"
{
#include "adm.h"
}

#include <gtest/gtest.h>

namespace
{
AdmRequest
Request (uint32_t priority_class, bool caller_retry = false, uint32_t remaining_ms = 3000)
{
  AdmRequest request = {};
  request.priority_class = priority_class;
  request.caller_retry = caller_retry;
  request.objective_ms = 500;
  request.remaining_ms = remaining_ms;
  request.usual_ms = 200;
  return request;
}
}

TEST (Adm, HighestPriorityReservesNothingAndRetriesReserveMost)
{
  AdmRequest high = Request (0);
  AdmRequest low = Request (1);
  AdmRequest retry = Request (1, true);
  EXPECT_EQ (adm_reserve (&high, 144), 0u);
  EXPECT_GT (adm_reserve (&low, 144), 0u);
  EXPECT_GT (adm_reserve (&retry, 144), adm_reserve (&low, 144));
}

TEST (Adm, SmallPoolsReserveNothing)
{
  AdmRequest retry = Request (1, true);
  EXPECT_EQ (adm_reserve (&retry, 4), 0u);
}

TEST (Adm, WaitIsAtMostAnEighthOfTheObjectiveAndLeavesTheProcessingTime)
{
  AdmRequest request = Request (0);
  EXPECT_EQ (adm_max_wait_ms (&request), 62u);
  request.remaining_ms = 230;
  EXPECT_EQ (adm_max_wait_ms (&request), 30u);
  request.remaining_ms = 100;
  EXPECT_EQ (adm_max_wait_ms (&request), 0u);
}

TEST (Adm, RetryAfterIsAtMostAThirdOfTheRemainingTime)
{
  for (uint32_t remaining_ms = 0; remaining_ms < 6000; remaining_ms += 37)
    for (uint32_t random = 0; random < 5000; random += 333)
      {
        AdmRequest request = Request (0, false, remaining_ms);
        EXPECT_LE (adm_retry_after_ms (&request, random), remaining_ms / 3);
        EXPECT_LE (adm_retry_after_ms (&request, random), 1000u);
      }
}

TEST (Adm, ServesByPriorityThenFirstAttemptsThenNewest)
{
  AdmRequest high = Request (0, true);
  AdmRequest first = Request (1);
  AdmRequest retry = Request (1, true);
  EXPECT_TRUE (adm_precedes (&high, 50, &first, 0));
  EXPECT_TRUE (adm_precedes (&first, 0, &retry, 50));
  EXPECT_TRUE (adm_precedes (&first, 10, &first, 40));
  EXPECT_FALSE (adm_precedes (&first, 40, &first, 10));
}

TEST (Adm, UnreachableDeadlineIsDetected)
{
  AdmRequest request = Request (0, false, 90);
  EXPECT_TRUE (adm_misses_deadline (&request));
  request.remaining_ms = 150;
  EXPECT_FALSE (adm_misses_deadline (&request));
}
