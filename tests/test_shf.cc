// Shift caps: single steps, and the limits over every period for random sequences of targets and
// zone failures.
#include <glib.h>
extern "C"
{
#include "shf.h"
}
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace
{

constexpr int kZones = 6;
const uint8_t kRegionOf[ZONES_MAX] = { 0, 0, 1, 1, 2, 2 };

struct Move
{
  uint64_t at_ms;
  uint32_t moved;
  uint32_t evacuated;
  uint32_t into_region[REGIONS_MAX];
};

uint32_t
Sum (const uint32_t *shares)
{
  uint32_t sum = 0;
  for (int z = 0; z < ZONES_MAX; z++)
    sum += shares[z];
  return sum;
}

void
RandomShares (std::mt19937 &random, uint32_t *shares)
{
  uint32_t unassigned = SHARE_ONE_PPM;
  for (int z = 0; z < ZONES_MAX; z++)
    shares[z] = 0;
  for (int z = 0; z < kZones - 1; z++)
    {
      shares[z] = random () % (unassigned + 1);
      unassigned -= shares[z];
    }
  shares[kZones - 1] = unassigned;
}

TEST (Shf, GroupWithoutSharesGetsTheTargetAtOnce)
{
  ShfState state = {};
  uint32_t target[ZONES_MAX] = { 400000, 600000 };
  bool failed[ZONES_MAX] = {};
  ShfCaps caps = { 100000, 500000, 100000, 1000 };
  ShfMove move = shf_advance (&state, target, failed, kRegionOf, &caps, 5);
  EXPECT_EQ (0u, move.moved_ppm);
  EXPECT_EQ (0u, shf_distance_ppm (state.shares_ppm, target));
}

TEST (Shf, ShiftStopsAtTheCapAndReportsIt)
{
  ShfState state = {};
  uint32_t from[ZONES_MAX] = { SHARE_ONE_PPM };
  uint32_t to[ZONES_MAX] = { 0, SHARE_ONE_PPM };
  bool failed[ZONES_MAX] = {};
  ShfCaps caps = { 100000, 500000, SHARE_ONE_PPM, 1000 };
  shf_advance (&state, from, failed, kRegionOf, &caps, 0);
  ShfMove move = shf_advance (&state, to, failed, kRegionOf, &caps, 1);
  EXPECT_EQ (100000u, move.moved_ppm);
  EXPECT_EQ (SHF_BOUND_SHIFT_CAP, move.bound);
  EXPECT_EQ (0u, shf_advance (&state, to, failed, kRegionOf, &caps, 1000).moved_ppm);
  EXPECT_EQ (100000u, shf_advance (&state, to, failed, kRegionOf, &caps, 1001).moved_ppm);
}

TEST (Shf, OnlyTheEvacuationCapLimitsEvacuations)
{
  ShfState state = {};
  uint32_t from[ZONES_MAX] = { SHARE_ONE_PPM };
  uint32_t to[ZONES_MAX] = { 0, 0, SHARE_ONE_PPM };
  bool failed[ZONES_MAX] = { true };
  ShfCaps caps = { 100000, 500000, 100000, 1000 };
  shf_advance (&state, from, failed, kRegionOf, &caps, 0);
  ShfMove move = shf_advance (&state, to, failed, kRegionOf, &caps, 1);
  EXPECT_EQ (500000u, move.evacuated_ppm);
  EXPECT_EQ (SHF_BOUND_EVACUATION_CAP, move.bound);
}

TEST (Shf, RestoredMovesCountTowardTheCap)
{
  ShfState state;
  uint32_t shares[ZONES_MAX] = { SHARE_ONE_PPM };
  uint32_t to[ZONES_MAX] = { 0, SHARE_ONE_PPM };
  uint32_t into_region[REGIONS_MAX] = {};
  bool failed[ZONES_MAX] = {};
  ShfCaps caps = { 100000, 500000, SHARE_ONE_PPM, 1000 };
  shf_restore (&state, shares, 100000, 0, into_region, 50);
  EXPECT_EQ (0u, shf_advance (&state, to, failed, kRegionOf, &caps, 1049).moved_ppm);
  EXPECT_EQ (100000u, shf_advance (&state, to, failed, kRegionOf, &caps, 1050).moved_ppm);
}

void
CheckWindows (const std::vector<Move> &moves, const ShfCaps &caps)
{
  for (size_t i = 0; i < moves.size (); i++)
    {
      uint64_t moved = 0, evacuated = 0, into_region[REGIONS_MAX] = {};
      for (size_t k = i; k < moves.size () && moves[k].at_ms < moves[i].at_ms + caps.period_ms; k++)
        {
          moved += moves[k].moved;
          evacuated += moves[k].evacuated;
          for (int r = 0; r < REGIONS_MAX; r++)
            into_region[r] += moves[k].into_region[r];
        }
      ASSERT_LE (moved, caps.shift_cap_ppm);
      ASSERT_LE (evacuated, caps.evacuation_cap_ppm);
      for (int r = 0; r < REGIONS_MAX; r++)
        ASSERT_LE (into_region[r], (uint64_t) caps.into_region_cap_ppm + caps.evacuation_cap_ppm);
    }
}

TEST (Shf, CapsHoldOverEveryPeriod)
{
  for (uint32_t seed = 1; seed <= 2000; seed++)
    {
      std::mt19937 random (seed);
      ShfState state = {};
      ShfCaps caps = { 1 + (uint32_t) random () % 300000, 1 + (uint32_t) random () % 900000,
                       1 + (uint32_t) random () % 300000, 100 + (uint32_t) random () % 5000 };
      bool failed[ZONES_MAX] = {};
      uint32_t target[ZONES_MAX];
      uint64_t now = random () % 1000;
      std::vector<Move> moves;
      RandomShares (random, target);
      shf_advance (&state, target, failed, kRegionOf, &caps, now);
      for (int step = 0; step < 60; step++)
        {
          now += random () % 400;
          if (random () % 8 == 0)
            RandomShares (random, target);
          if (random () % 10 == 0)
            failed[random () % kZones] ^= true;
          uint32_t before[ZONES_MAX];
          memcpy (before, state.shares_ppm, sizeof before);
          ShfMove result = shf_advance (&state, target, failed, kRegionOf, &caps, now);
          ASSERT_EQ (SHARE_ONE_PPM, Sum (state.shares_ppm)) << "seed " << seed;
          ASSERT_EQ (result.moved_ppm + result.evacuated_ppm,
                     shf_distance_ppm (state.shares_ppm, before))
              << "seed " << seed;
          Move move = { now, result.moved_ppm, result.evacuated_ppm, {} };
          for (int z = 0; z < ZONES_MAX; z++)
            if (state.shares_ppm[z] > before[z])
              move.into_region[kRegionOf[z]] += state.shares_ppm[z] - before[z];
          moves.push_back (move);
        }
      CheckWindows (moves, caps);
      if (HasFatalFailure ())
        FAIL () << "seed " << seed;
    }
}

TEST (Shf, SharesReachTheTargetWithinTwelvePeriods)
{
  for (uint32_t seed = 1; seed <= 500; seed++)
    {
      std::mt19937 random (seed);
      ShfState state = {};
      ShfCaps caps = { 200000, 500000, 200000, 1000 };
      bool failed[ZONES_MAX] = {};
      uint32_t target[ZONES_MAX];
      RandomShares (random, target);
      shf_advance (&state, target, failed, kRegionOf, &caps, 0);
      RandomShares (random, target);
      for (uint64_t now = 0; now < 12000; now += 100)
        shf_advance (&state, target, failed, kRegionOf, &caps, now);
      ASSERT_EQ (0u, shf_distance_ppm (state.shares_ppm, target)) << "seed " << seed;
    }
}

} // namespace
