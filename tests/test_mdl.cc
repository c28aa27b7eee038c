// Simulated load: the node's routing policy compared with simple policies and an upper bound.
#include <glib.h>

extern "C"
{
#include "mdl.h"
}

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace
{
// Target: four fifths of the credit that is possible if every upstream is warm for every object.
constexpr uint32_t kTargetPermille = 800;
constexpr uint32_t kMaxShiftPermille = 150;

class Replay : public testing::TestWithParam<const char *>
{
protected:
  const MdlLoad *load_ = mdl_load (GetParam ());
};

std::string
LoadName (const testing::TestParamInfo<const char *> &info)
{
  std::string name = info.param;
  std::replace (name.begin (), name.end (), '-', '_');
  return name;
}

uint32_t
ShareOfBoundPermille (const MdlReport &report)
{
  return report.credit_permille * 1000 / report.bound_permille;
}
}

TEST_P (Replay, CreditReachesTargetShareOfBound)
{
  for (uint32_t seed : { 1, 2 })
    {
      MdlReport report = mdl_replay (load_, MDL_PRODUCT, seed);
      EXPECT_GE (ShareOfBoundPermille (report), kTargetPermille) << "seed " << seed;
      EXPECT_LE (report.sheds, report.asked / 100) << "seed " << seed;
    }
}

TEST_P (Replay, CreditExceedsSimplePolicies)
{
  MdlReport product = mdl_replay (load_, MDL_PRODUCT, 3);
  EXPECT_GT (product.credit_permille, mdl_replay (load_, MDL_RANDOM_FIFO, 3).credit_permille);
  EXPECT_GT (product.credit_permille, mdl_replay (load_, MDL_REFUSE_WHEN_FULL, 3).credit_permille);
}

INSTANTIATE_TEST_SUITE_P (Loads, Replay,
                          testing::Values ("steady", "overload", "scarce-region", "hot-object",
                                           "region-lost", "slow-upstreams"),
                          LoadName);

// 146 upstreams and 36 nodes, each of which sees a small part of the requests.
TEST (ReplayLarge, ManyObjectsOnManyUpstreamsReachTarget)
{
  const MdlLoad *load = mdl_load ("many-objects");
  EXPECT_GE (ShareOfBoundPermille (mdl_replay (load, MDL_PRODUCT, 1)), kTargetPermille);
}

// Load patterns without failed regions: only the request rates of the regions change.
class ReplayShift : public testing::TestWithParam<const char *>
{
};

TEST_P (ReplayShift, ShiftBetweenWindowsStaysWithinLimit)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      MdlReport report = mdl_replay (mdl_load (GetParam ()), MDL_PRODUCT, seed);
      EXPECT_LE (report.shift_permille, kMaxShiftPermille)
          << "seed " << seed << " region " << report.shift_region << " at " << report.shift_at_ms;
    }
}

INSTANTIATE_TEST_SUITE_P (Loads, ReplayShift,
                          testing::Values ("steady", "overload", "scarce-region", "hot-object",
                                           "slow-upstreams", "many-objects", "ebb", "press",
                                           "flood"),
                          LoadName);

// Upstreams that state a pause or that they are leaving: the users allow two requests of a node
// during a pause and none to a leaving upstream; the shift between regions stays within its limit.
class ReplayAdvice : public testing::TestWithParam<std::tuple<const char *, uint32_t>>
{
};

TEST_P (ReplayAdvice, UpstreamAdviceLimitsRequestsSent)
{
  auto [load, allowed] = GetParam ();
  for (uint32_t seed : { 1, 2, 3 })
    {
      MdlReport report = mdl_replay (mdl_load (load), MDL_PRODUCT, seed);
      EXPECT_LE (report.advice_violations_max, allowed) << "seed " << seed;
      EXPECT_LE (report.shift_permille, kMaxShiftPermille) << "seed " << seed;
      EXPECT_GE (ShareOfBoundPermille (report), kTargetPermille) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P (Loads, ReplayAdvice,
                          testing::Values (std::make_tuple ("pauses", 2u),
                                           std::make_tuple ("leaves", 0u)));

// A third of the upstreams pause for 1 or 3 s under overload, and all pauses end together.
class ReplayPausesEnd : public testing::TestWithParam<const char *>
{
};

TEST_P (ReplayPausesEnd, AtMostTwoRequestsOfANodeReachAPausedUpstream)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      MdlReport report = mdl_replay (mdl_load (GetParam ()), MDL_PRODUCT, seed);
      EXPECT_LE (report.advice_violations_max, 2u) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P (Loads, ReplayPausesEnd,
                          testing::Values ("pauses-end-33", "pauses-end-295",
                                           "short-pauses-end-295"),
                          LoadName);

// Guards against a shift when traffic ends: requests in transit to remote regions start there while
// the local region has almost none left.
TEST (ReplayLarge, RequestsDoNotChangeTheirRegionWhenTrafficEnds)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      MdlReport report = mdl_replay (mdl_load ("end-after-press"), MDL_PRODUCT, seed);
      EXPECT_LE (report.shift_permille, kMaxShiftPermille)
          << "seed " << seed << " region " << report.shift_region << " at " << report.shift_at_ms;
    }
}

// Bursts of a flow with views of different age. Guards against fair queueing that costs credit, as
// rules that rejected requests on the basis of old views did, and against a burst starving others
// or being starved itself.
class ReplayFlows : public testing::TestWithParam<std::tuple<const char *, uint32_t>>
{
protected:
  struct Sum
  {
    uint32_t credit;
    MdlFlowReport bursting;
    MdlFlowReport others;
  };

  static void
  Add (MdlFlowReport *sum, const MdlFlowReport &report)
  {
    sum->asked += report.asked;
    sum->served += report.served;
    sum->in_objective += report.in_objective;
  }

  Sum
  Run (bool fair_queueing)
  {
    auto [name, view_ms] = GetParam ();
    MdlLoad load = *mdl_load (name);
    Sum sum = {};
    load.view_ms = view_ms;
    load.flows.fair_queueing = fair_queueing;
    for (uint32_t seed : { 1, 2, 3, 4 })
      {
        MdlReport report = mdl_replay (&load, MDL_PRODUCT, seed);
        sum.credit += report.credit_permille;
        Add (&sum.bursting, report.bursting);
        Add (&sum.others, report.others);
      }
    return sum;
  }

  static double
  Served (const MdlFlowReport &report)
  {
    return static_cast<double> (report.served) / report.asked;
  }
};

TEST_P (ReplayFlows, OtherFlowsAreServedMoreWithoutLossOfCredit)
{
  Sum fair = Run (true);
  Sum plain = Run (false);
  // Runs of one load with different seeds differ by 8 in 100.
  EXPECT_GE (fair.credit, plain.credit * 0.97);
  EXPECT_GT (Served (fair.others), Served (plain.others) * 1.05);
  EXPECT_GT (fair.others.in_objective, plain.others.in_objective * 1.05);
  MdlFlowReport all = fair.bursting;
  Add (&all, fair.others);
  EXPECT_GE (Served (fair.bursting), Served (all) / 4);
}

INSTANTIATE_TEST_SUITE_P (Loads, ReplayFlows,
                          testing::Combine (testing::Values ("kind-burst", "account-burst",
                                                             "uneven-kind-burst",
                                                             "slow-kind-burst"),
                                            testing::Values (100u, 600u)));

TEST (ReplayModel, SameSeedGivesSameReport)
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
