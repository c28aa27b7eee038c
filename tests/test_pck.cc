// Choice of a zone and of an upstream.
#include <glib.h>
extern "C"
{
#include "pck.h"
}
#include <gtest/gtest.h>
#include <random>

namespace
{

TEST (Pck, RequestsAreSplitOverZonesByWeightAfterEachRequest)
{
  for (uint32_t seed = 1; seed <= 300; seed++)
    {
      std::mt19937 random (seed);
      uint32_t weights[ZONES_MAX] = {};
      int64_t current_weights[ZONES_MAX] = {};
      uint32_t remaining_ppm = SHARE_ONE_PPM;
      for (int z = 0; z < 3; z++)
        {
          weights[z] = random () % (remaining_ppm + 1);
          remaining_ppm -= weights[z];
        }
      weights[3] = remaining_ppm;
      uint32_t requests[ZONES_MAX] = {};
      for (uint32_t n = 1; n <= 500; n++)
        {
          requests[pck_choose_zone (weights, current_weights)]++;
          for (int z = 0; z < 4; z++)
            ASSERT_NEAR ((double) requests[z], (double) n * weights[z] / SHARE_ONE_PPM, 3.0)
                << "seed " << seed;
        }
    }
}

TEST (Pck, NoZoneIsChosenWhenAllWeightsAreZero)
{
  uint32_t weights[ZONES_MAX] = {};
  int64_t current_weights[ZONES_MAX] = {};
  EXPECT_EQ (ZONE_NONE, pck_choose_zone (weights, current_weights));
}

TEST (Pck, FullOrIneligibleUpstreamIsNeverChosen)
{
  GRand *random = g_rand_new_with_seed (1);
  PckCandidate candidates[4] = {
    { false, 4, 4, 0, 0 }, { true, 4, 4, 4, 0 }, { true, 4, 2, 2, 0 }, { true, 4, 4, 3, 900 }
  };
  uint32_t cursor = 0;
  for (int policy = 0; policy < 4; policy++)
    for (int i = 0; i < 100; i++)
      ASSERT_EQ (3u, pck_choose_upstream (candidates, 4, (PckPolicy) policy, random, &cursor));
  candidates[3].in_flight = 4;
  EXPECT_EQ (PCK_NONE, pck_choose_upstream (candidates, 4, PCK_TWO_CHOICES, random, &cursor));
  g_rand_free (random);
}

TEST (Pck, TwoChoicesPrefersTheLessLoadedUpstream)
{
  GRand *random = g_rand_new_with_seed (2);
  PckCandidate candidates[2] = { { true, 8, 8, 6, 800 }, { true, 8, 8, 1, 100 } };
  uint32_t cursor = 0;
  for (int i = 0; i < 100; i++)
    ASSERT_EQ (1u, pck_choose_upstream (candidates, 2, PCK_TWO_CHOICES, random, &cursor));
  g_rand_free (random);
}

TEST (Pck, PolicyNameIsParsed)
{
  PckPolicy policy;
  EXPECT_TRUE (pck_policy_parse ("least-reported", &policy));
  EXPECT_EQ (PCK_LEAST_REPORTED, policy);
  EXPECT_FALSE (pck_policy_parse ("best", &policy));
}

TEST (Pck, AllEntriesExceedAnUpstreamsSlotsByLessThanOneEach)
{
  for (uint32_t slots = 1; slots <= 8; slots++)
    for (uint32_t upstreams = 1; upstreams <= 6; upstreams++)
      for (uint32_t entries = 1; entries <= 5; entries++)
        {
          uint32_t zone_slots = slots * upstreams;
          uint32_t upstream_total = 0;
          for (uint32_t e = 0; e < entries; e++)
            {
              uint32_t zone_budget = zone_slots / entries + (e < zone_slots % entries ? 1 : 0);
              uint32_t share = pck_upstream_budget (slots, zone_budget, zone_slots);
              EXPECT_GE (share * upstreams, zone_budget);
              upstream_total += share;
            }
          EXPECT_LT (upstream_total, slots + entries);
        }
}

} // namespace
