// What nodes tell each other of their callers' needs: the same sums on all nodes.
#include "fleet.h"

extern "C"
{
#include "dms.h"
}

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t kToldMs = 3000;

// Each node tells a need of its own, and its region's shares.
void
Tell (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->size (); i++)
    {
      ShrShares shares = {};
      shares.ppm[fleet->node (i).zone % Fleet::kRegions] = SHARE_ONE_PPM;
      dms_put (&fleet->node (i).per, "billing", 100 + i, &shares);
      dms_put (&fleet->node (i).per, "docs", 1, &shares);
    }
}

uint64_t
Needed (Fleet *fleet, uint32_t region, const std::vector<uint32_t> &without = {})
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < fleet->size (); i++)
    if (fleet->node (i).zone % Fleet::kRegions == region
        && std::find (without.begin (), without.end (), i) == without.end ())
      sum += 100 + i;
  return sum;
}

class Demand : public testing::TestWithParam<uint32_t>
{
};
}

TEST_P (Demand, EachNodeKnowsWhatTheRegionsNeed)
{
  Fleet fleet (GetParam (), 1, 0);
  fleet.Run (kToldMs);
  Tell (&fleet);
  fleet.Run (kToldMs);
  for (uint32_t i = 0; i < fleet.size (); i++)
    for (uint32_t region = 0; region < Fleet::kRegions; region++)
      {
        const Per *per = &fleet.node (i).per;
        ASSERT_EQ (dms_of_region (per, "billing", region, fleet.now_ms ()), Needed (&fleet, region))
            << "node " << i << " region " << region;
        ASSERT_EQ (dms_of_region (per, "unknown", region, fleet.now_ms ()), 0u);
      }
}

TEST_P (Demand, WhatADeadNodeNeededIsForgotten)
{
  Fleet fleet (GetParam (), 2, 0);
  fleet.Run (kToldMs);
  Tell (&fleet);
  fleet.Run (kToldMs);
  fleet.node (0).alive = false;
  fleet.Run (PER_FAR_LOST_MS + kToldMs);
  for (uint32_t i = 1; i < fleet.size (); i++)
    ASSERT_EQ (dms_of_region (&fleet.node (i).per, "billing", 0, fleet.now_ms ()),
               Needed (&fleet, 0, { 0 }))
        << "node " << i;
}

TEST_P (Demand, ANodeThatStartsTakesTheSharesOfItsRegion)
{
  Fleet fleet (GetParam (), 3, 0);
  Tell (&fleet);
  fleet.Run (kToldMs);
  for (uint32_t i = 0; i < fleet.size (); i++)
    {
      ShrShares shares = {};
      ASSERT_TRUE (dms_shares (&fleet.node (i).per, "billing", &shares)) << "node " << i;
      EXPECT_EQ (shares.ppm[fleet.node (i).zone % Fleet::kRegions], SHARE_ONE_PPM);
      EXPECT_FALSE (dms_shares (&fleet.node (i).per, "unknown", &shares));
    }
}

INSTANTIATE_TEST_SUITE_P (Sizes, Demand, testing::Values (18u, 99u));
