// Observed states of upstreams.
#include <glib.h>
extern "C"
{
#include "obs.h"
}
#include <gtest/gtest.h>

namespace
{

class ObsTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    obs_init (&table_);
  }
  void
  TearDown () override
  {
    obs_clear (&table_);
  }
  ObsTable table_;
};

TEST_F (ObsTest, OlderObservationIsIgnored)
{
  EXPECT_TRUE (obs_record (&table_, "u", "r", OBS_DOWN, 0, 100));
  EXPECT_FALSE (obs_record (&table_, "u", "r", OBS_UP, 0, 99));
  EXPECT_EQ ((uint32_t) OBS_DOWN, obs_get (&table_, "u", "r")->state);
}

TEST_F (ObsTest, ObservationOfOwnRegionIsPreferredOverNewest)
{
  obs_record (&table_, "u", "r1", OBS_UP, 0, 100);
  obs_record (&table_, "u", "r2", OBS_DOWN, 0, 200);
  EXPECT_EQ ((uint32_t) OBS_UP, obs_get (&table_, "u", "r1")->state);
  EXPECT_EQ ((uint32_t) OBS_DOWN, obs_get (&table_, "u", "r3")->state);
  EXPECT_EQ (nullptr, obs_get (&table_, "v", "r1"));
}

TEST_F (ObsTest, LeavingIsReportedFromAnyRegionAndExpiresIfFromEntry)
{
  obs_record (&table_, "u", "r1", OBS_LEAVING, 0, 100);
  EXPECT_TRUE (obs_any_leaving (&table_, "u", 1000000));
  obs_record (&table_, "u", "r1", OBS_UP, 0, 200);
  EXPECT_FALSE (obs_any_leaving (&table_, "u", 1000000));
  obs_record (&table_, "u", OBS_SEEN_PREFIX "e1", OBS_LEAVING, 0, 300);
  EXPECT_TRUE (obs_any_leaving (&table_, "u", 300 + OBS_SEEN_TTL_MS - 1));
  EXPECT_FALSE (obs_any_leaving (&table_, "u", 300 + OBS_SEEN_TTL_MS));
}

TEST_F (ObsTest, SmallLoadChangeReturnsFalse)
{
  obs_record (&table_, "u", "r", OBS_UP, 500, 100);
  EXPECT_FALSE (obs_record (&table_, "u", "r", OBS_UP, 550, 200));
  EXPECT_TRUE (obs_record (&table_, "u", "r", OBS_UP, 700, 300));
}

} // namespace
