extern "C"
{
#include "mds.h"
}

#include <gtest/gtest.h>

namespace
{
struct Worst
{
  uint32_t permille;
  uint32_t origin;
  uint32_t at_ms;
};

Worst
WorstOf (const Mds *mds)
{
  Worst worst = {};
  worst.permille = mds_worst (mds, &worst.origin, &worst.at_ms);
  return worst;
}

// @per_s runs a second of region 1's callers, @away_permille of them in region 2.
void
Runs (Mds *mds, uint32_t from_ms, uint32_t to_ms, uint32_t per_s, uint32_t away_permille)
{
  uint32_t owed = 0;
  for (uint32_t i = 0; i < (to_ms - from_ms) * per_s / 1000; i++)
    {
      owed += away_permille;
      mds_run (mds, 1, owed >= 1000 ? 2 : 1, from_ms + i * 1000 / per_s);
      owed %= 1000;
    }
}
}

TEST (Mds, TellsHowMuchMovedWhenAndWhose)
{
  Mds *mds = mds_new ();
  Runs (mds, 0, 10000, 1000, 100);
  Runs (mds, 10000, 20000, 1000, 400);
  Worst worst = WorstOf (mds);
  EXPECT_EQ (worst.origin, 1u);
  EXPECT_EQ (worst.at_ms, 10000u);
  EXPECT_LE (worst.permille, 300u);
  EXPECT_GE (worst.permille, 250u);
  mds_free (mds);
}

TEST (Mds, FewRunsAreNotJudged)
{
  Mds *mds = mds_new ();
  Runs (mds, 0, 10000, 19, 0);
  Runs (mds, 10000, 20000, 19, 1000);
  EXPECT_EQ (WorstOf (mds).permille, 0u);
  mds_free (mds);
}

TEST (Mds, SteadySharesDoNotCount)
{
  Mds *mds = mds_new ();
  Runs (mds, 0, 20000, 100, 300);
  EXPECT_LE (WorstOf (mds).permille, 10u);
  mds_free (mds);
}
