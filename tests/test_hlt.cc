// Upstream health: probe thresholds, bounded ejection, slow start and load estimate.
#include <glib.h>
extern "C"
{
#include "hlt.h"
}
#include <gtest/gtest.h>

namespace
{

class HltTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    Err err = {};
    ASSERT_TRUE (hlt_chart_load (&chart_, "charts", &err)) << err.text;
    hlt_init (&hlt_, &chart_);
  }
  Chart chart_;
  Hlt hlt_;
};

TEST_F (HltTest, StateChangesAfterConsecutiveEqualProbes)
{
  hlt_record_probe (&hlt_, &chart_, true, 1);
  EXPECT_EQ (HLT_UP, hlt_.state);
  for (int i = 1; i < UNHEALTHY_THRESHOLD_PROBES; i++)
    hlt_record_probe (&hlt_, &chart_, false, 2);
  EXPECT_EQ (HLT_UP, hlt_.state);
  hlt_record_probe (&hlt_, &chart_, false, 3);
  EXPECT_EQ (HLT_DOWN, hlt_.state);
  hlt_record_probe (&hlt_, &chart_, true, 4);
  EXPECT_EQ (HLT_DOWN, hlt_.state);
  hlt_record_probe (&hlt_, &chart_, true, 5);
  EXPECT_EQ (HLT_UP, hlt_.state);
}

TEST_F (HltTest, RecoveryBeginsASlowStart)
{
  hlt_record_probe (&hlt_, &chart_, true, 1);
  EXPECT_EQ (1000u, hlt_slow_start_permille (&hlt_, 1));
  for (int i = 0; i < UNHEALTHY_THRESHOLD_PROBES; i++)
    hlt_record_probe (&hlt_, &chart_, false, 2);
  for (int i = 0; i < HEALTHY_THRESHOLD_PROBES; i++)
    hlt_record_probe (&hlt_, &chart_, true, 100);
  EXPECT_LT (hlt_slow_start_permille (&hlt_, 100), 300u);
  EXPECT_EQ (1000u, hlt_slow_start_permille (&hlt_, 100 + SLOW_START_MS));
}

TEST_F (HltTest, EjectionIsLimitedToAShareOfUpstreamsAndExpires)
{
  hlt_record_probe (&hlt_, &chart_, true, 1);
  EXPECT_FALSE (hlt_eject (&hlt_, &chart_, 1, 3, 10));
  EXPECT_TRUE (hlt_eject (&hlt_, &chart_, 0, 3, 10));
  EXPECT_FALSE (hlt_accepts_requests (&hlt_));
  hlt_expire_ejection (&hlt_, &chart_, 10 + EJECT_MS - 1);
  EXPECT_FALSE (hlt_accepts_requests (&hlt_));
  hlt_expire_ejection (&hlt_, &chart_, 10 + EJECT_MS);
  EXPECT_TRUE (hlt_accepts_requests (&hlt_));
}

TEST_F (HltTest, LeavingUpstreamAcceptsNoRequestsUntilItReturns)
{
  hlt_record_probe (&hlt_, &chart_, true, 1);
  hlt_set_leaving (&hlt_, &chart_, true, 2);
  EXPECT_FALSE (hlt_accepts_requests (&hlt_));
  hlt_record_probe (&hlt_, &chart_, true, 3);
  EXPECT_FALSE (hlt_accepts_requests (&hlt_));
  hlt_set_leaving (&hlt_, &chart_, false, 4);
  EXPECT_TRUE (hlt_accepts_requests (&hlt_));
}

TEST_F (HltTest, IdleReportIsIgnoredAfterAShedRequest)
{
  hlt_.load_permille = 0;
  hlt_.load_reported_at_ms = 1000;
  EXPECT_EQ (0u, hlt_load_permille (&hlt_, 1000));
  hlt_record_shed (&hlt_, 1000);
  EXPECT_EQ (1000u, hlt_load_permille (&hlt_, 1000));
  hlt_.load_reported_at_ms = 2000;
  EXPECT_GT (hlt_load_permille (&hlt_, 2000), 700u);
}

TEST_F (HltTest, ExpiredReportCountsAsHalfLoad)
{
  hlt_.load_permille = 0;
  hlt_.load_reported_at_ms = 1000;
  EXPECT_EQ (500u, hlt_load_permille (&hlt_, 1000 + LOAD_REPORT_MAX_AGE_MS));
}

TEST_F (HltTest, ConsecutiveErrorsTriggerEjectionUntilASuccess)
{
  hlt_record_probe (&hlt_, &chart_, true, 1);
  for (int i = 1; i < EJECT_ERRORS; i++)
    EXPECT_FALSE (hlt_record_request (&hlt_, false));
  EXPECT_TRUE (hlt_record_request (&hlt_, false));
  EXPECT_FALSE (hlt_record_request (&hlt_, true));
}

TEST (Hlt, IsSheddingForAPauseAfterAShedRequest)
{
  Hlt hlt = {};
  EXPECT_FALSE (hlt_is_shedding (&hlt, 50));
  hlt_record_shed (&hlt, 1000);
  EXPECT_TRUE (hlt_is_shedding (&hlt, 1000 + SHED_PAUSE_MS - 1));
  EXPECT_FALSE (hlt_is_shedding (&hlt, 1000 + SHED_PAUSE_MS));
}

} // namespace
