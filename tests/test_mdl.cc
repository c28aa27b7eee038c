// The node's decisions replayed under load, against plain ones and against what is possible.
#include <glib.h>

extern "C"
{
#include "mdl.h"
}

#include <gtest/gtest.h>

namespace
{
// The target: four fifths of what could be earned if each object were known everywhere.
constexpr uint32_t kTargetPermille = 800;

class Replay : public testing::TestWithParam<const char *>
{
protected:
  const MdlLoad *load_ = mdl_load (GetParam ());
};

uint32_t
OfBound (const MdlReport &report)
{
  return report.credit_permille * 1000 / report.bound_permille;
}
}

TEST_P (Replay, EarnsMostOfWhatIsPossible)
{
  for (uint32_t seed : { 1, 2 })
    {
      MdlReport report = mdl_replay (load_, MDL_PRODUCT, seed);
      EXPECT_GE (OfBound (report), kTargetPermille) << "seed " << seed;
      EXPECT_LE (report.sheds, report.asked / 100) << "seed " << seed;
    }
}

TEST_P (Replay, EarnsMoreThanPlainDecisions)
{
  MdlReport product = mdl_replay (load_, MDL_PRODUCT, 3);
  EXPECT_GT (product.credit_permille, mdl_replay (load_, MDL_RANDOM_FIFO, 3).credit_permille);
  EXPECT_GT (product.credit_permille, mdl_replay (load_, MDL_REFUSE_WHEN_FULL, 3).credit_permille);
}

INSTANTIATE_TEST_SUITE_P (Loads, Replay,
                          testing::Values ("steady", "overload", "scarce-region", "hot-object",
                                           "region-lost", "slow-upstreams"));

// 146 upstreams and 36 nodes, each of which sees a small part of the requests.
TEST (ReplayLarge, ManyObjectsOverManyUpstreams)
{
  const MdlLoad *load = mdl_load ("many-objects");
  EXPECT_GE (OfBound (mdl_replay (load, MDL_PRODUCT, 1)), kTargetPermille);
}

TEST (ReplayModel, RepeatsWithItsSeed)
{
  const MdlLoad *load = mdl_load ("steady");
  MdlReport a = mdl_replay (load, MDL_PRODUCT, 9);
  MdlReport b = mdl_replay (load, MDL_PRODUCT, 9);
  EXPECT_EQ (0, memcmp (&a, &b, sizeof a));
  EXPECT_NE (a.credit_permille, 0u);
}

TEST (ReplayModel, EveryRequestIsCountedOnce)
{
  const MdlLoad *load = mdl_load ("region-lost");
  MdlReport report = mdl_replay (load, MDL_PRODUCT, 4);
  for (uint32_t s = 0; s < load->seconds; s++)
    {
      const MdlSecond &second = report.seconds[s];
      EXPECT_EQ (second.asked, second.in_objective + second.late + second.refused) << s;
    }
}
