extern "C"
{
#include "mds.h"
}

#include <gtest/gtest.h>

namespace
{
struct MaxShift
{
  uint32_t permille;
  uint32_t origin;
  uint32_t at_ms;
};

MaxShift
MaxShiftOf (const Mds *mds)
{
  MaxShift worst = {};
  worst.permille = mds_max_shift_permille (mds, &worst.origin, &worst.at_ms);
  return worst;
}

// Adds @per_s runs per second of region 1's callers, @remote_permille of them in region 2.
void
AddRuns (Mds *mds, uint32_t from_ms, uint32_t to_ms, uint32_t per_s, uint32_t remote_permille)
{
  uint32_t remote_sum = 0;
  for (uint32_t i = 0; i < (to_ms - from_ms) * per_s / 1000; i++)
    {
      remote_sum += remote_permille;
      mds_run (mds, 1, remote_sum >= 1000 ? 2 : 1, from_ms + i * 1000 / per_s);
      remote_sum %= 1000;
    }
}
}

TEST (Mds, ChangedSplitGivesShiftRegionAndTime)
{
  Mds *mds = mds_new ();
  AddRuns (mds, 0, 10000, 1000, 100);
  AddRuns (mds, 10000, 20000, 1000, 400);
  MaxShift worst = MaxShiftOf (mds);
  EXPECT_EQ (worst.origin, 1u);
  EXPECT_EQ (worst.at_ms, 10000u);
  EXPECT_LE (worst.permille, 300u);
  EXPECT_GE (worst.permille, 250u);
  mds_free (mds);
}

TEST (Mds, WindowsWithTooFewRunsAreIgnored)
{
  Mds *mds = mds_new ();
  AddRuns (mds, 0, 10000, 19, 0);
  AddRuns (mds, 10000, 20000, 19, 1000);
  EXPECT_EQ (MaxShiftOf (mds).permille, 0u);
  mds_free (mds);
}

TEST (Mds, ConstantSplitGivesNoShift)
{
  Mds *mds = mds_new ();
  AddRuns (mds, 0, 20000, 100, 300);
  EXPECT_LE (MaxShiftOf (mds).permille, 10u);
  mds_free (mds);
}
