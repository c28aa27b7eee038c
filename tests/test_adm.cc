extern "C"
{
#include "adm.h"
}

#include <gtest/gtest.h>

namespace
{
AdmRequest
Request (uint32_t urgency, bool returned = false, uint32_t left_ms = 3000)
{
  AdmRequest request = {};
  request.urgency = urgency;
  request.returned = returned;
  request.objective_ms = 500;
  request.left_ms = left_ms;
  request.usual_ms = 200;
  return request;
}
}

TEST (Adm, TheMostUrgentLeaveNothingAndThoseThatReturnedMost)
{
  AdmRequest urgent = Request (0);
  AdmRequest other = Request (1);
  AdmRequest returned = Request (1, true);
  EXPECT_EQ (adm_reserve (&urgent, 144), 0u);
  EXPECT_GT (adm_reserve (&other, 144), 0u);
  EXPECT_GT (adm_reserve (&returned, 144), adm_reserve (&other, 144));
}

TEST (Adm, AFewSlotsAreNotReserved)
{
  AdmRequest returned = Request (1, true);
  EXPECT_EQ (adm_reserve (&returned, 4), 0u);
}

TEST (Adm, WaitsNoLongerThanAnEighthOfTheObjectiveNorIntoTheWorkTime)
{
  AdmRequest request = Request (0);
  EXPECT_EQ (adm_wait_ms (&request), 62u);
  request.left_ms = 230;
  EXPECT_EQ (adm_wait_ms (&request), 30u);
  request.left_ms = 100;
  EXPECT_EQ (adm_wait_ms (&request), 0u);
}

TEST (Adm, ComesBackWithinAThirdOfWhatIsLeft)
{
  for (uint32_t left_ms = 0; left_ms < 6000; left_ms += 37)
    for (uint32_t random = 0; random < 5000; random += 333)
      {
        AdmRequest request = Request (0, false, left_ms);
        EXPECT_LE (adm_back_ms (&request, random), left_ms / 3);
        EXPECT_LE (adm_back_ms (&request, random), 1000u);
      }
}

TEST (Adm, UrgentBeforeOthersThenFirstAttemptsThenTheNewest)
{
  AdmRequest urgent = Request (0, true);
  AdmRequest fresh = Request (1);
  AdmRequest returned = Request (1, true);
  EXPECT_TRUE (adm_is_before (&urgent, 50, &fresh, 0));
  EXPECT_TRUE (adm_is_before (&fresh, 0, &returned, 50));
  EXPECT_TRUE (adm_is_before (&fresh, 10, &fresh, 40));
  EXPECT_FALSE (adm_is_before (&fresh, 40, &fresh, 10));
}

TEST (Adm, WhatCannotBeAnsweredInTimeIsHopeless)
{
  AdmRequest request = Request (0, false, 90);
  EXPECT_TRUE (adm_is_hopeless (&request));
  request.left_ms = 150;
  EXPECT_FALSE (adm_is_hopeless (&request));
}
