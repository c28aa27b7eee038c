// Traffic split of one node, and of many nodes together.
extern "C"
{
#include "shr.h"
}

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <numeric>
#include <random>
#include <vector>

namespace
{
constexpr uint32_t kAllRegions = UINT32_MAX;
constexpr uint32_t kCapPermille = 150;

uint32_t
Sum (const ShrSplit &split)
{
  return std::accumulate (split.ppm, split.ppm + REGIONS_MAX, 0u);
}

// Part of the keys 1 to @keys that shr_region() assigns to a region.
double
AssignedPart (const ShrSplit &split, uint32_t region, uint32_t keys = 20000)
{
  const uint64_t capacity[REGIONS_MAX] = {};
  uint32_t assigned = 0;
  for (uint32_t key = 1; key <= keys; key++)
    assigned += shr_region (&split, capacity, kAllRegions, key * 2654435761u) == region;
  return assigned / static_cast<double> (keys);
}

double
MovedShare (const ShrSplit &a, const ShrSplit &b)
{
  double sum = 0;
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    sum += std::max (0.0, (static_cast<double> (b.ppm[r]) - a.ppm[r]) / SHARE_ONE_PPM);
  return sum;
}

ShrLoad
Load (std::vector<uint64_t> capacity, std::vector<uint64_t> demand)
{
  ShrLoad load = {};
  std::copy (capacity.begin (), capacity.end (), load.capacity);
  std::copy (demand.begin (), demand.end (), load.demand);
  return load;
}
}

TEST (Shr, InitialSplitFollowsSlotsAndNodes)
{
  const uint32_t slots[REGIONS_MAX] = { 12, 60, 72 };
  const uint32_t nodes[REGIONS_MAX] = { 3, 3, 3 };
  ShrSplit split = shr_initial (0, slots, nodes);
  EXPECT_EQ (split.ppm[0], 175000u); // 0.7 of the share that it could serve
  EXPECT_EQ (split.ppm[1], 375000u);
  EXPECT_EQ (split.ppm[2], 450000u);
  EXPECT_NEAR (AssignedPart (split, 0), 0.175, 0.01);
  EXPECT_EQ (shr_initial (2, slots, nodes).ppm[2], SHARE_ONE_PPM);
}

TEST (Shr, AllRequestsStayLocalBelowTheUtilizationLimit)
{
  ShrLoad load = Load ({ 600, 2000, 2000 }, { 300, 100, 100 });
  EXPECT_EQ (shr_target (0, &load).ppm[0], SHARE_ONE_PPM);
}

TEST (Shr, ExcessDemandGoesToRegionsWithSpareCapacity)
{
  ShrLoad load = Load ({ 1000, 1000, 2000 }, { 1000, 500, 400 });
  ShrSplit split = shr_target (0, &load);
  EXPECT_EQ (split.ppm[0], 500000u);
  EXPECT_EQ (split.ppm[1], 0u);
  EXPECT_EQ (split.ppm[2], 500000u);
  EXPECT_EQ (shr_target (1, &load).ppm[1], SHARE_ONE_PPM);
}

TEST (Shr, DemandAboveTotalCapacityIsSplitByCapacity)
{
  ShrLoad load = Load ({ 1000, 1000, 2000 }, { 8000, 1000, 2000 });
  ShrSplit split = shr_target (0, &load);
  EXPECT_EQ (Sum (split), SHARE_ONE_PPM);
  EXPECT_GT (split.ppm[1], 0u);
  EXPECT_NEAR (split.ppm[2], 2 * split.ppm[1], 2);
}

TEST (Shr, RequestsRunOnlyInAllowedRegions)
{
  const uint64_t capacity[REGIONS_MAX] = { 100, 100, 100 };
  ShrSplit split = { { SHARE_ONE_PPM } };
  for (uint32_t key = 1; key < 200; key++)
    {
      EXPECT_EQ (shr_region (&split, capacity, kAllRegions, key), 0u);
      uint32_t region = shr_region (&split, capacity, 6u, key);
      EXPECT_TRUE (region == 1 || region == 2);
      EXPECT_EQ (shr_region (&split, capacity, 0, key), (uint32_t) REGIONS_MAX);
    }
}

TEST (Shr, PartOfKeysThatChangeRegionEqualsTheMovedShare)
{
  const uint64_t capacity[REGIONS_MAX] = {};
  ShrSplit before = { { 500000, 300000, 200000 } };
  ShrSplit after = { { 400000, 350000, 250000 } };
  uint32_t changed = 0;
  for (uint32_t key = 1; key <= 20000; key++)
    changed += shr_region (&before, capacity, kAllRegions, key)
               != shr_region (&after, capacity, kAllRegions, key);
  EXPECT_NEAR (changed / 20000.0, 0.1, 0.01);
}

// Property: a move changes no more than the step, and rounding keeps the total, for any target.
TEST (Shr, RandomTargetsAreReachedInLimitedSteps)
{
  std::mt19937 random (20261205);
  for (int round = 0; round < 2000; round++)
    {
      ShrLoad load = {};
      for (uint32_t r = 0; r < 1 + random () % REGIONS_MAX; r++)
        {
          load.capacity[r] = random () % 6000000;
          load.demand[r] = random () % 6000000;
        }
      ShrSplit split = shr_target (random () % REGIONS_MAX, &load);
      ShrSplit target = shr_target (random () % REGIONS_MAX, &load);
      ASSERT_EQ (Sum (split), SHARE_ONE_PPM);
      ShrSplit before = split;
      shr_move (&split, &target, 4500, 0);
      ASSERT_EQ (Sum (split), SHARE_ONE_PPM);
      ASSERT_LE (MovedShare (before, split), 0.0045 + 1e-5);
      for (int i = 0; i < 250; i++)
        shr_move (&split, &target, 4500, 0);
      ASSERT_LE (MovedShare (split, target), 2e-5);
    }
}

TEST (Shr, MovesOutOfALostRegionAreNotLimited)
{
  ShrSplit split = { { 600000, 400000 } };
  ShrSplit target = { { 0, 300000, 700000 } };
  shr_move (&split, &target, 4500, 1u);
  EXPECT_EQ (Sum (split), SHARE_ONE_PPM);
  EXPECT_EQ (split.ppm[0], 0u);
  EXPECT_GE (split.ppm[1], 400000u - 4500u);
  EXPECT_GE (split.ppm[2], 600000u);
}

TEST (Shr, MovesOfAnHourStayWithinTheCap)
{
  ShrSplit split = { { SHARE_ONE_PPM } };
  ShrSplit remote = { { 0, SHARE_ONE_PPM } };
  ShrSplit local = split;
  std::vector<ShrSplit> past;
  for (int tick = 0; tick < 36000; tick++)
    {
      bool to_local = tick / 170 % 2 == 1;
      shr_move (&split, to_local ? &local : &remote,
                shr_max_step_ppm (kCapPermille, 100, 0, to_local), 0);
      past.push_back (split);
      const ShrSplit &before = past[past.size () > 20 ? past.size () - 21 : 0];
      ASSERT_LE (MovedShare (before, split), kCapPermille / 1000.0);
    }
}

// Load: many nodes with few requests each, whose targets change to another region at the same
// moment. If each node exceeded its share by a little, the excess of all nodes together would break
// the cap.
class ShrFleet : public testing::TestWithParam<std::tuple<uint32_t, double>>
{
};

TEST_P (ShrFleet, NodesWithLowRatesStayWithinTheCapInTotal)
{
  constexpr int kTicks = 600;
  auto [nodes, per_node] = GetParam ();
  const uint64_t capacity[REGIONS_MAX] = { 1000, 1000 };
  double rate = nodes * per_node;
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      std::mt19937 random (seed);
      std::exponential_distribution<double> gap_s (rate);
      ShrSplit split = { { SHARE_ONE_PPM } };
      ShrSplit remote = { { 0, SHARE_ONE_PPM } };
      std::vector<double> remote_counts (kTicks / 20), counts (kTicks / 20);
      double at_s = 0;
      for (int tick = 0; tick < kTicks; tick++)
        {
          if (tick >= 100)
            shr_move (&split, &remote, shr_max_step_ppm (kCapPermille, 100, SHARE_ONE_PPM, false),
                      0);
          for (; at_s < (tick + 1) / 10.0; at_s += gap_s (random))
            {
              counts[tick / 20]++;
              remote_counts[tick / 20]
                  += shr_region (&split, capacity, kAllRegions, random ()) == 1;
            }
        }
      for (size_t w = 1; w < counts.size (); w++)
        {
          double sampling = 3 * std::sqrt (0.5 / (rate * 2));
          EXPECT_LE (remote_counts[w] / counts[w] - remote_counts[w - 1] / counts[w - 1],
                     kCapPermille / 1000.0 + sampling)
              << "window " << w << " seed " << seed;
        }
      EXPECT_GT (remote_counts.back () / counts.back (), 0.95);
    }
}

INSTANTIATE_TEST_SUITE_P (Rates, ShrFleet,
                          testing::Combine (testing::Values (33u, 99u, 295u),
                                            testing::Values (1.0, 4.0, 16.0, 100.0)));

// Within a window of 2 s the deviation from the split may start while shares move to remote
// regions, and may end while they move back to the local region.
TEST (Shr, MovesAndDeviationStayWithinTheCapInTotal)
{
  const uint32_t cap_ppm = kCapPermille * 1000;
  const uint32_t deviation_max_ppm = cap_ppm * 85 / 100;
  for (uint32_t ppm = 0; ppm <= deviation_max_ppm; ppm += 500)
    {
      uint32_t to_remote_ppm = shr_max_step_ppm (kCapPermille, SHR_CAP_PERIOD_MS, ppm, false);
      uint32_t to_local_ppm = shr_max_step_ppm (kCapPermille, SHR_CAP_PERIOD_MS, ppm, true);
      EXPECT_LE (to_remote_ppm + deviation_max_ppm - ppm, cap_ppm);
      EXPECT_LE (to_local_ppm + ppm, cap_ppm);
    }
  ShrSpillBucket spill = {};
  shr_spill_refill (&spill, kCapPermille, 0);
  EXPECT_LE (spill.tokens_ppm * (SHR_CAP_PERIOD_MS + SHR_SPILL_BURST_MS) / SHR_CAP_PERIOD_MS,
             deviation_max_ppm);
}

namespace
{
// Part of the running requests in each region, with the limits applied.
std::vector<double>
RunningParts (const ShrSplit &split, const std::vector<double> &accepted,
              const uint32_t *limits_ppm)
{
  std::vector<double> parts;
  double total = 0;
  for (size_t r = 0; r < accepted.size (); r++)
    {
      parts.push_back (split.ppm[r]
                       * std::min (accepted[r], accepted[r] * limits_ppm[r] / SHARE_ONE_PPM));
      total += parts.back ();
    }
  for (double &part : parts)
    part /= total;
  return parts;
}

ShrAcceptance
Acceptance (const std::vector<double> &accepted)
{
  ShrAcceptance acceptance = {};
  for (size_t r = 0; r < accepted.size (); r++)
    {
      acceptance.assigned_mreqs[r] = 1000000;
      acceptance.accepted_mreqs[r] = static_cast<uint32_t> (accepted[r] * 1000000);
    }
  return acceptance;
}
}

// Load: a burst on a region that accepts a small part of its requests. Without limits on the other
// regions their part of the running requests would grow at once, though the split has not changed.
TEST (Shr, DeviationByRejectionsStaysWithinTheCap)
{
  std::mt19937 random (11);
  for (int round = 0; round < 2000; round++)
    {
      std::vector<double> accepted;
      ShrSplit split = { { 0 } };
      uint32_t remaining_ppm = SHARE_ONE_PPM;
      for (uint32_t r = 0; r < 3; r++)
        {
          split.ppm[r] = r < 2 ? random () % (remaining_ppm + 1) : remaining_ppm;
          remaining_ppm -= split.ppm[r];
          accepted.push_back (0.05 + 0.95 * (random () % 1000) / 1000.0);
        }
      ShrAcceptance acceptance = Acceptance (accepted);
      uint32_t limits_ppm[REGIONS_MAX];
      shr_limits (&split, &acceptance, kCapPermille, limits_ppm);
      std::vector<double> running = RunningParts (split, accepted, limits_ppm);
      double deviation = 0;
      for (uint32_t r = 0; r < 3; r++)
        deviation += std::abs (running[r] - split.ppm[r] / static_cast<double> (SHARE_ONE_PPM)) / 2;
      ASSERT_LE (deviation, kCapPermille / 1000.0) << "round " << round;
    }
}

TEST (Shr, RegionsWithSimilarAcceptanceAreNotLimited)
{
  ShrSplit split = { { 300000, 400000, 300000 } };
  for (const std::vector<double> &accepted :
       { std::vector<double>{ 1, 1, 1 }, { 0.4, 0.4, 0.4 }, { 0.75, 1, 1 } })
    {
      ShrAcceptance acceptance = Acceptance (accepted);
      uint32_t limits_ppm[REGIONS_MAX];
      shr_limits (&split, &acceptance, kCapPermille, limits_ppm);
      for (uint32_t r = 0; r < 3; r++)
        EXPECT_EQ (limits_ppm[r], SHARE_ONE_PPM) << r;
    }
}

TEST (Shr, OneRejectionDoesNotLimitOtherRegions)
{
  ShrSplit split = { { 300000, 400000, 300000 } };
  ShrAcceptance acceptance = {};
  uint32_t limits_ppm[REGIONS_MAX];
  shr_count_request (&acceptance, 0, REGIONS_MAX);
  shr_limits (&split, &acceptance, kCapPermille, limits_ppm);
  EXPECT_EQ (limits_ppm[1], SHARE_ONE_PPM);
}

TEST (Shr, SpilloverOfAllNodesAtOnceStaysWithinTheCap)
{
  constexpr uint32_t kNodes = 295;
  constexpr uint64_t kRateMps = 2000;
  std::mt19937 random (7);
  std::vector<ShrSpillBucket> spills (kNodes);
  for (ShrSpillBucket &spill : spills)
    for (int i = 0; i < 1000; i++)
      shr_spill_refill (&spill, kCapPermille, kRateMps);
  // From now on every request asks to spill over; in a window of 2 s there are four for each node.
  uint32_t spilled = 0;
  for (ShrSpillBucket &spill : spills)
    for (int i = 0; i < 4; i++)
      {
        shr_spill_refill (&spill, kCapPermille, kRateMps);
        if (!shr_spill_allows (&spill, random () % SHARE_ONE_PPM))
          continue;
        shr_spill_consume (&spill);
        spilled++;
      }
  EXPECT_GT (spilled, 0u);
  EXPECT_LE (spilled / (kNodes * 4.0), kCapPermille / 1000.0);
}

TEST (Shr, ContinuousSpilloverIsLimitedToItsPartOfTheCap)
{
  std::mt19937 random (8);
  ShrSpillBucket spill = {};
  uint32_t spilled = 0;
  for (int i = 0; i < 20000; i++)
    {
      shr_spill_refill (&spill, kCapPermille, 30000);
      if (!shr_spill_allows (&spill, random () % SHARE_ONE_PPM))
        continue;
      shr_spill_consume (&spill);
      spilled++;
    }
  EXPECT_NEAR (spilled / 20000.0, 0.0825, 0.005);
}

TEST (Shr, SpilloverGoesToTheRegionWithMostFreeSlots)
{
  const uint64_t free_slots[REGIONS_MAX] = { 50, 10, 20 };
  EXPECT_EQ (shr_spill_region (free_slots, kAllRegions, 0), 2u);
  EXPECT_EQ (shr_spill_region (free_slots, kAllRegions, 2), 0u);
  EXPECT_EQ (shr_spill_region (free_slots, 3u, 0), 1u);
  EXPECT_EQ (shr_spill_region (free_slots, 1u, 0), (uint32_t) REGIONS_MAX);
}
