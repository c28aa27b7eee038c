extern "C"
{
#include "adm.h"
}

#include <gtest/gtest.h>
#include <vector>

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

// Guards against one caller with a long deadline turning the requests of all others into retries.
TEST (Adm, FewLongDeadlinesDoNotTurnOthersIntoRetries)
{
  AdmDeadlines deadlines = {};
  for (uint32_t i = 0; i < 1000; i++)
    {
      uint32_t deadline_ms = i % 16 == 0 ? 600000 : 2000 - i % 20;
      adm_record_deadline (&deadlines, deadline_ms);
      ASSERT_EQ (adm_retry_age_ms (&deadlines, deadline_ms), 0u) << i;
    }
  EXPECT_EQ (adm_retry_age_ms (&deadlines, 1400), deadlines.first_ms - 1400);
}

// Guards against the longest deadline staying in force when callers no longer use it.
TEST (Adm, DeadlineOfFirstAttemptsFallsWithThoseOfCallers)
{
  AdmDeadlines deadlines = {};
  for (uint32_t i = 0; i < 100; i++)
    adm_record_deadline (&deadlines, 15000);
  EXPECT_GT (adm_retry_age_ms (&deadlines, 2000), 0u);
  for (uint32_t i = 0; i < 2 * ADM_DEADLINES_WINDOW; i++)
    adm_record_deadline (&deadlines, 2000);
  EXPECT_EQ (adm_retry_age_ms (&deadlines, 2000), 0u);
}

// Load: overload, in which each first attempt is followed by three retries.
TEST (Adm, RetriesAreRecognisedWhileTheyAreMostRequests)
{
  AdmDeadlines deadlines = {};
  for (uint32_t i = 0; i < 1000; i++)
    {
      const uint32_t deadlines_ms[] = { 2000, 1400, 950, 640 };
      uint32_t deadline_ms = deadlines_ms[i % 4];
      adm_record_deadline (&deadlines, deadline_ms);
      uint32_t expected_ms = i >= ADM_DEADLINES_WINDOW ? 2000 - deadline_ms : 0;
      EXPECT_GE (adm_retry_age_ms (&deadlines, deadline_ms), expected_ms) << i;
    }
}

// Guards against requests that cannot be placed keeping all behind them from being tried.
TEST (Adm, EachWaitingRequestIsTriedWithinAFewPasses)
{
  AdmTries tries = {};
  std::vector<uint32_t> rounds (40, 0);
  std::vector<uint32_t> tried (40, 0);
  for (uint32_t pass = 0; pass < 30; pass++)
    {
      uint32_t in_pass = 0;
      adm_begin_pass (&tries);
      for (uint32_t i = 0; i < rounds.size (); i++)
        if (adm_may_try (&tries, &rounds[i]))
          {
            tried[i]++;
            in_pass++;
          }
      adm_end_pass (&tries);
      EXPECT_LE (in_pass, 12u);
    }
  EXPECT_EQ (tried[0], 30u);
  for (uint32_t count : tried)
    EXPECT_GE (count, 4u);
}

TEST (Adm, UnreachableDeadlineIsDetected)
{
  AdmRequest request = Request (0, false, 90);
  EXPECT_TRUE (adm_misses_deadline (&request));
  request.remaining_ms = 150;
  EXPECT_FALSE (adm_misses_deadline (&request));
}
