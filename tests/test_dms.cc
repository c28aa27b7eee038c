// Exchange of demand and traffic splits between nodes: all nodes get the same sums.
#include "fleet.h"

extern "C"
{
#include "dms.h"
}

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t kSpreadMs = 3000;

// Each node reports a different demand, and a split that is the same in its region.
void
ReportDemand (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->size (); i++)
    {
      ShrSplit split = {};
      split.ppm[fleet->node (i).zone % Fleet::kRegions] = SHARE_ONE_PPM;
      dms_report (&fleet->node (i).per, "billing", 100 + i, &split);
      dms_report (&fleet->node (i).per, "docs", 1, &split);
    }
}

uint64_t
Demanded (Fleet *fleet, uint32_t region, const std::vector<uint32_t> &excluded = {})
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < fleet->size (); i++)
    if (fleet->node (i).zone % Fleet::kRegions == region
        && std::find (excluded.begin (), excluded.end (), i) == excluded.end ())
      sum += 100 + i;
  return sum;
}

class Demand : public testing::TestWithParam<uint32_t>
{
};
}

TEST_P (Demand, AllNodesKnowTheDemandOfEachRegion)
{
  Fleet fleet (GetParam (), 1, 0);
  fleet.Run (kSpreadMs);
  ReportDemand (&fleet);
  fleet.Run (kSpreadMs);
  for (uint32_t i = 0; i < fleet.size (); i++)
    for (uint32_t region = 0; region < Fleet::kRegions; region++)
      {
        const Per *per = &fleet.node (i).per;
        ASSERT_EQ (dms_region_demand (per, "billing", region, fleet.now_ms ()),
                   Demanded (&fleet, region))
            << "node " << i << " region " << region;
        ASSERT_EQ (dms_region_demand (per, "unknown", region, fleet.now_ms ()), 0u);
      }
}

TEST_P (Demand, DemandOfADeadNodeExpires)
{
  Fleet fleet (GetParam (), 2, 0);
  fleet.Run (kSpreadMs);
  ReportDemand (&fleet);
  fleet.Run (kSpreadMs);
  fleet.node (0).alive = false;
  fleet.Run (PER_SUMMARY_TIMEOUT_MS + kSpreadMs);
  for (uint32_t i = 1; i < fleet.size (); i++)
    ASSERT_EQ (dms_region_demand (&fleet.node (i).per, "billing", 0, fleet.now_ms ()),
               Demanded (&fleet, 0, { 0 }))
        << "node " << i;
}

TEST_P (Demand, ANodeGetsTheSplitReportedInItsRegion)
{
  Fleet fleet (GetParam (), 3, 0);
  ReportDemand (&fleet);
  fleet.Run (kSpreadMs);
  for (uint32_t i = 0; i < fleet.size (); i++)
    {
      ShrSplit split = {};
      ASSERT_TRUE (dms_reported_split (&fleet.node (i).per, "billing", &split)) << "node " << i;
      EXPECT_EQ (split.ppm[fleet.node (i).zone % Fleet::kRegions], SHARE_ONE_PPM);
      EXPECT_FALSE (dms_reported_split (&fleet.node (i).per, "unknown", &split));
    }
}

INSTANTIATE_TEST_SUITE_P (Sizes, Demand, testing::Values (18u, 99u));
