// Choice of upstream and zone.
#include <glib.h>
extern "C"
{
#include "pck.h"
}
#include <gtest/gtest.h>
#include <random>

namespace
{

TEST (Pck, ZonesGetTheirSharesOfAnyRun)
{
  for (uint32_t seed = 1; seed <= 300; seed++)
    {
      std::mt19937 random (seed);
      uint32_t shares[ZONES_MAX] = {};
      int64_t credit[ZONES_MAX] = {};
      uint32_t left = SHARE_ONE_PPM;
      for (int z = 0; z < 3; z++)
        {
          shares[z] = random () % (left + 1);
          left -= shares[z];
        }
      shares[3] = left;
      uint32_t counts[ZONES_MAX] = {};
      for (uint32_t n = 1; n <= 500; n++)
        {
          counts[pck_zone (shares, credit)]++;
          for (int z = 0; z < 4; z++)
            ASSERT_NEAR ((double) counts[z], (double) n * shares[z] / SHARE_ONE_PPM, 3.0)
                << "seed " << seed;
        }
    }
}

TEST (Pck, NoShareMeansNoZone)
{
  uint32_t shares[ZONES_MAX] = {};
  int64_t credit[ZONES_MAX] = {};
  EXPECT_EQ (ZONE_NONE, pck_zone (shares, credit));
}

TEST (Pck, NeverTakesAFullOrIneligibleOne)
{
  GRand *random = g_rand_new_with_seed (1);
  PckUpstream candidates[4] = {
    { false, 4, 4, 0, 0 }, { true, 4, 4, 4, 0 }, { true, 4, 2, 2, 0 }, { true, 4, 4, 3, 900 }
  };
  uint32_t cursor = 0;
  for (int policy = 0; policy < 4; policy++)
    for (int i = 0; i < 100; i++)
      ASSERT_EQ (3u, pck_upstream (candidates, 4, (PckPolicy) policy, random, &cursor));
  candidates[3].in_flight = 4;
  EXPECT_EQ (PCK_NONE, pck_upstream (candidates, 4, PCK_TWO_CHOICES, random, &cursor));
  g_rand_free (random);
}

TEST (Pck, TwoChoicesPrefersTheLessLoaded)
{
  GRand *random = g_rand_new_with_seed (2);
  PckUpstream candidates[2] = { { true, 8, 8, 6, 800 }, { true, 8, 8, 1, 100 } };
  uint32_t cursor = 0;
  for (int i = 0; i < 100; i++)
    ASSERT_EQ (1u, pck_upstream (candidates, 2, PCK_TWO_CHOICES, random, &cursor));
  g_rand_free (random);
}

TEST (Pck, ParsesPolicies)
{
  PckPolicy policy;
  EXPECT_TRUE (pck_policy_parse ("least-reported", &policy));
  EXPECT_EQ (PCK_LEAST_REPORTED, policy);
  EXPECT_FALSE (pck_policy_parse ("best", &policy));
}

TEST (Pck, SharesOfAllEntriesFitAnUpstreamWhateverItReports)
{
  for (uint32_t slots = 1; slots <= 8; slots++)
    for (uint32_t upstreams = 1; upstreams <= 6; upstreams++)
      for (uint32_t entries = 1; entries <= 5; entries++)
        {
          uint32_t zone_slots = slots * upstreams;
          uint32_t on_one = 0;
          for (uint32_t e = 0; e < entries; e++)
            {
              uint32_t held = zone_slots / entries + (e < zone_slots % entries ? 1 : 0);
              uint32_t share = pck_share (slots, held, zone_slots);
              EXPECT_GE (share * upstreams, held);
              on_one += share;
            }
          EXPECT_LT (on_one, slots + entries);
        }
}

} // namespace
