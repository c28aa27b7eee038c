// Cardinality estimate of a service's objects from a part of its requests.
#include <glib.h>

extern "C"
{
#include "crd.h"
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
    crd_init (&estimator_);
  }
  void
  TearDown () override
  {
    crd_clear (&estimator_);
  }
  Crd estimator_;
};
}

TEST_F (CardinalityEstimate, IsExactWhenObjectsWereSeenRepeatedly)
{
  EXPECT_EQ (0u, crd_estimate (&estimator_));
  for (int round = 0; round < 5; round++)
    for (uint32_t object = 1; object <= 30; object++)
      crd_add (&estimator_, object, 1000);
  EXPECT_EQ (30u, crd_estimate (&estimator_));
}

// One of 66 nodes gets one request for each of 500 objects in 15 s on average.
TEST_F (CardinalityEstimate, IncludesUnseenObjects)
{
  std::mt19937 random (1);
  for (int i = 0; i < 500; i++)
    crd_add (&estimator_, 1 + random () % 500, 1000);
  EXPECT_LT (g_hash_table_size (estimator_.seen), 350u);
  EXPECT_NEAR (500, crd_estimate (&estimator_), 125);
}

TEST_F (CardinalityEstimate, DropsObjectsNotRequestedWithinTheTtl)
{
  for (uint32_t object = 1; object <= 30; object++)
    crd_add (&estimator_, object, 1000);
  for (uint32_t object = 1; object <= 10; object++)
    crd_add (&estimator_, object, 1000 + CRD_OBJECT_TTL_MS);
  crd_expire (&estimator_, 1000 + CRD_OBJECT_TTL_MS);
  EXPECT_EQ (0u, estimator_.singletons);
  EXPECT_EQ (10u, estimator_.doubletons);
  EXPECT_EQ (10u, crd_estimate (&estimator_));
}
