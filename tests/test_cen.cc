// Cardinality estimate of a service's objects from a part of its requests.
#include <glib.h>

extern "C"
{
#include "cen.h"
}

#include <gtest/gtest.h>
#include <random>

namespace
{
class CardinalityEstimate : public testing::Test
{
protected:
  void
  SetUp () override
  {
    cen_init (&estimator_);
  }
  void
  TearDown () override
  {
    cen_clear (&estimator_);
  }
  Cen estimator_;
};
}

TEST_F (CardinalityEstimate, IsExactWhenObjectsWereSeenRepeatedly)
{
  EXPECT_EQ (0u, cen_objects (&estimator_));
  for (int round = 0; round < 5; round++)
    for (uint32_t object = 1; object <= 30; object++)
      cen_note (&estimator_, object, 1000);
  EXPECT_EQ (30u, cen_objects (&estimator_));
}

// One of 66 nodes gets one request for each of 500 objects in 15 s on average.
TEST_F (CardinalityEstimate, IncludesUnseenObjects)
{
  std::mt19937 random (1);
  for (int i = 0; i < 500; i++)
    cen_note (&estimator_, 1 + random () % 500, 1000);
  EXPECT_LT (g_hash_table_size (estimator_.seen), 350u);
  EXPECT_NEAR (500, cen_objects (&estimator_), 125);
}

TEST_F (CardinalityEstimate, DropsObjectsNotRequestedWithinTheTtl)
{
  for (uint32_t object = 1; object <= 30; object++)
    cen_note (&estimator_, object, 1000);
  for (uint32_t object = 1; object <= 10; object++)
    cen_note (&estimator_, object, 1000 + PLC_OBJECT_TTL_MS);
  cen_forget (&estimator_, 1000 + PLC_OBJECT_TTL_MS);
  EXPECT_EQ (0u, estimator_.singletons);
  EXPECT_EQ (10u, estimator_.doubletons);
  EXPECT_EQ (10u, cen_objects (&estimator_));
}
