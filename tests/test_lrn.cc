// Learned capacity of an upstream: reports, service times, and loads replayed in the model.
#include <glib.h>

extern "C"
{
#include "lrn.h"
#include "mlc.h"
}

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <string>

namespace
{
constexpr uint32_t kSlots = 8;
constexpr uint32_t kExpectedMs = 200;

class Learned : public testing::Test
{
protected:
  void
  SetUp () override
  {
    lrn_init (&lrn_);
    lrn_init_service (&service_);
  }

  // Records requests that took @permille of the expected time.
  void
  Serve (int count, uint32_t permille, uint32_t load = 1, uint32_t interval_ms = 50)
  {
    for (int i = 0; i < count; i++)
      {
        now_ms_ += interval_ms;
        LrnSample sample = {};
        sample.time_ms = kExpectedMs * permille / 1000;
        sample.expected_ms = kExpectedMs;
        sample.load = load;
        sample.slots = kSlots;
        lrn_record_service_time (&lrn_, &service_, &sample, now_ms_);
      }
  }

  void
  Report (uint32_t running, uint32_t own, uint32_t others, uint32_t pace_pct = 100,
          uint32_t waiting = 0, uint32_t slots = kSlots)
  {
    LrnReport report = { running, waiting, slots, pace_pct };
    lrn_apply_report (&lrn_, &report, own, others, now_ms_);
  }

  uint32_t
  Slots () const
  {
    return lrn_slots (&lrn_, &service_, kSlots, now_ms_);
  }

  uint32_t
  Slowness (uint32_t own = 0) const
  {
    return lrn_slowness_permille (&lrn_, own, now_ms_);
  }

  Lrn lrn_;
  LrnCurve service_;
  uint64_t now_ms_ = 1000000;
};

bool
Parses (const std::string &text, LrnReport *report)
{
  return lrn_parse_report (text.c_str (), report);
}
}

TEST (LoadHeader, IsParsedWithAndWithoutPace)
{
  LrnReport report;
  ASSERT_TRUE (Parses ("3,2,6", &report));
  EXPECT_EQ (report.running, 3u);
  EXPECT_EQ (report.waiting, 2u);
  EXPECT_EQ (report.slots, 6u);
  EXPECT_EQ (report.pace_pct, 100u);
  ASSERT_TRUE (Parses ("0,0,1,250", &report));
  EXPECT_EQ (report.pace_pct, 250u);
}

// Upstreams are outside of the node's control; a wrong number must not become a huge or zero limit.
TEST (LoadHeader, MalformedValuesAreRejected)
{
  LrnReport report;
  for (const char *text : { "",
                            ",",
                            "1",
                            "1,2",
                            "1,2,",
                            "1,2,0",
                            "-1,2,3",
                            "1,2,3,",
                            "1,2,3,0",
                            "1,2,3,4,5",
                            "1, 2,3",
                            " 1,2,3",
                            "1,2,3 ",
                            "1.5,2,3",
                            "+1,2,3",
                            "0x1,2,3",
                            "99999999999999999999,0,1",
                            "1,1,4294967297",
                            "1000001,0,4",
                            "1,2,65537",
                            "1,2,3,10001",
                            "a,b,c" })
    EXPECT_FALSE (Parses (text, &report)) << text;
}

TEST (LoadHeader, RandomBytesNeverYieldValuesOutOfRange)
{
  std::mt19937 random (20261206);
  const std::string characters = "0123456789,,,, -+.ax\xff";
  for (int i = 0; i < 200000; i++)
    {
      std::string text;
      for (uint32_t n = random () % 16; n > 0; n--)
        text += characters[random () % characters.size ()];
      LrnReport report;
      if (!Parses (text, &report))
        continue;
      EXPECT_LE (report.running, 1000000u) << text;
      EXPECT_LE (report.waiting, 1000000u) << text;
      EXPECT_TRUE (report.slots >= 1 && report.slots <= UPS_SLOTS_MAX) << text;
      EXPECT_TRUE (report.pace_pct >= 1 && report.pace_pct <= 10000) << text;
    }
}

TEST_F (Learned, NothingKnownMeansRegisteredSlotsAndUsualSpeed)
{
  EXPECT_EQ (Slots (), kSlots);
  EXPECT_EQ (Slowness (), 1000u);
  EXPECT_EQ (lrn_pace_permille (&lrn_, now_ms_), 1000u);
  EXPECT_EQ (lrn_in_flight (&lrn_, 2, 3, now_ms_), 5u);
  EXPECT_EQ (lrn_capacity_mslots (&lrn_, &service_, kSlots, now_ms_), kSlots * 1000u);
}

// A deployment whose upstreams don't differ must be served as without learning.
TEST_F (Learned, EqualServiceTimesChangeNothing)
{
  for (int i = 0; i < 200; i++)
    Serve (1, 1000, 1 + i % 12);
  now_ms_ += 60000;
  EXPECT_EQ (Slots (), kSlots);
  EXPECT_EQ (Slowness (), 1000u);
  EXPECT_FALSE (lrn_.slow);
}

TEST_F (Learned, FreshReportReplacesOldViewAndAges)
{
  for (int i = 0; i < 100; i++)
    Report (6, 1, 5);
  Report (6, 1, 3);
  EXPECT_EQ (lrn_in_flight (&lrn_, 1, 3, now_ms_), 5u);
  now_ms_ += LRN_REPORT_MAX_AGE_MS;
  EXPECT_EQ (lrn_in_flight (&lrn_, 1, 3, now_ms_), 4u);
}

// A false header: the upstream reports no load while requests run on it.
TEST_F (Learned, OwnRequestsAreTheLowerBoundOfReports)
{
  for (int i = 0; i < 100; i++)
    {
      Report (0, 7, 6);
      EXPECT_GE (lrn_in_flight (&lrn_, 7, 6, now_ms_), 7u);
    }
  EXPECT_GE (lrn_in_flight (&lrn_, 7, 6, now_ms_), 12u);
}

// A false header: the upstream reports to be full while almost nothing runs on it.
TEST_F (Learned, ContradictedReportOfFullUpstreamLosesWeight)
{
  for (int i = 0; i < 100; i++)
    Report (kSlots, 1, 0, 1000, 100);
  EXPECT_LE (lrn_in_flight (&lrn_, 1, 0, now_ms_), 2u);
  EXPECT_LE (lrn_pace_permille (&lrn_, now_ms_), 4000u);
}

// A constant pace, true or false, is part of the upstream's usual speed.
TEST_F (Learned, ConstantPaceIsNotCountedTwice)
{
  for (int i = 0; i < 400; i++)
    {
      Report (1, 1, 0, 250);
      Serve (1, 2500);
    }
  Report (1, 1, 0, 250);
  uint32_t product = Slowness (1) * lrn_pace_permille (&lrn_, now_ms_) / 1000;
  EXPECT_NEAR (product, 2500u, 150u);
}

// Neighbours slow a machine for 600 ms: known from the pace at once, forgotten soon, and no reason
// to move objects.
TEST_F (Learned, ShortSlowdownRaisesPaceButNotSlowness)
{
  for (int i = 0; i < 100; i++)
    {
      Report (1, 1, 0, 100);
      Serve (1, 1000);
    }
  for (int i = 0; i < 12; i++)
    {
      Report (1, 1, 0, 250);
      Serve (1, 2500);
    }
  Report (1, 1, 0, 250);
  EXPECT_GE (lrn_pace_permille (&lrn_, now_ms_), 2000u);
  EXPECT_LE (Slowness (1), 1300u);
  EXPECT_FALSE (lrn_.slow);
  now_ms_ += LRN_REPORT_MAX_AGE_MS;
  EXPECT_EQ (lrn_pace_permille (&lrn_, now_ms_), 1000u);
}

TEST_F (Learned, LastingSlowdownIsNoticedAndRecoveryToo)
{
  Serve (100, 1000);
  Serve (12, 2500);
  EXPECT_FALSE (lrn_.slow);
  Serve (80, 2500);
  EXPECT_TRUE (lrn_.slow);
  EXPECT_LT (lrn_capacity_mslots (&lrn_, &service_, kSlots, now_ms_), kSlots * 700u);
  Serve (300, 1000);
  EXPECT_FALSE (lrn_.slow);
  EXPECT_EQ (lrn_capacity_mslots (&lrn_, &service_, kSlots, now_ms_), kSlots * 1000u);
}

// An upstream that gets no requests because it was slow would never be seen to recover.
TEST_F (Learned, SlowUpstreamIsTriedAgainMoreAndMoreRarely)
{
  Serve (100, 5000);
  EXPECT_GE (Slowness (), 4900u);
  now_ms_ += LRN_TRIAL_MIN_MS;
  EXPECT_EQ (Slowness (), 1000u);
  EXPECT_GE (Slowness (1), 4900u) << "one request at a time";
  Serve (1, 5000);
  now_ms_ += LRN_TRIAL_MIN_MS;
  EXPECT_GE (Slowness (), 4900u);
  now_ms_ += LRN_TRIAL_MIN_MS;
  EXPECT_EQ (Slowness (), 1000u);
  for (int trials = 0; trials < 4; trials++)
    {
      now_ms_ += LRN_TRIAL_MAX_MS;
      Serve (1, 1000);
    }
  EXPECT_LT (Slowness (1), 1500u);
}

// An upstream just below the limit of being slow, but still marked as slow, loses its objects to
// the standby; without a trial nobody would see that it has recovered.
TEST_F (Learned, UpstreamStillMarkedAsSlowIsTriedAgain)
{
  Serve (100, 2500);
  Serve (300, 1300);
  ASSERT_TRUE (lrn_.slow);
  ASSERT_LT (Slowness (), LRN_SLOW_PERMILLE);
  now_ms_ += LRN_TRIAL_MIN_MS;
  EXPECT_EQ (Slowness (), 1000u);
  for (int trials = 0; trials < 4; trials++)
    {
      Serve (1, 1000);
      now_ms_ += LRN_TRIAL_MAX_MS;
    }
  EXPECT_FALSE (lrn_.slow);
}

TEST_F (Learned, KneeLowersSlotsUntilItIsGone)
{
  for (int i = 0; i < 100; i++)
    Serve (1, i % 8 < 4 ? 700 : 1400, 1 + i % 8);
  EXPECT_EQ (Slots (), kSlots / 2);
  for (int i = 0; i < 400; i++)
    Serve (1, 1000, 1 + i % 8);
  EXPECT_EQ (Slots (), kSlots);
}

TEST_F (Learned, KneeIsForgottenWithoutRequests)
{
  for (int i = 0; i < 100; i++)
    Serve (1, i % 8 < 4 ? 700 : 1400, 1 + i % 8);
  now_ms_ += LRN_BAND_TTL_MS;
  EXPECT_EQ (Slots (), kSlots);
}

// Ranges that were forgotten take the limit with them: what follows needs a knee of its own, and a
// rise that is too small for one must not bring the limit back.
TEST_F (Learned, ForgottenKneeDoesNotEaseTheNext)
{
  for (int i = 0; i < 100; i++)
    Serve (1, i % 8 < 4 ? 700 : 1400, 1 + i % 8);
  now_ms_ += LRN_BAND_TTL_MS;
  for (int i = 0; i < 400; i++)
    Serve (1, i % 2 == 0 ? 900 : 1100, i % 2 == 0 ? 1 : kSlots);
  EXPECT_EQ (Slots (), kSlots);
}

// A request that waits behind a full set of slots takes longer because of the load.
TEST_F (Learned, QueueAtUpstreamIsNotSlowness)
{
  for (int i = 0; i < 300; i++)
    Serve (1, 2000, 2 * kSlots);
  EXPECT_FALSE (lrn_.slow);
  EXPECT_EQ (Slots (), kSlots);
}

TEST_F (Learned, FewerStatedSlotsHoldWhileReportsAreTrusted)
{
  for (int i = 0; i < 100; i++)
    Report (3, 2, 1, 100, 0, 4);
  EXPECT_EQ (Slots (), 4u);
  now_ms_ += LRN_SLOTS_MAX_AGE_MS;
  EXPECT_EQ (Slots (), kSlots);
}

// The limit of a knee is a part of the registered slots; taken of the stated ones, an upstream that
// states half of its slots would be avoided from a quarter of them on.
TEST_F (Learned, KneeIsNotCountedAgainOnStatedSlots)
{
  for (int i = 0; i < 100; i++)
    Serve (1, i % 8 < 4 ? 700 : 1400, 1 + i % 8);
  ASSERT_EQ (Slots (), kSlots / 2);
  for (int i = 0; i < 20; i++)
    Report (3, 3, 0, 100, 0, kSlots / 2);
  EXPECT_EQ (Slots (), kSlots / 2);
}

// An upstream that runs fewer requests than registered queues the others earlier; the time in its
// queue must not mark it as slow.
TEST_F (Learned, QueueBehindFewerStatedSlotsIsNotSlowness)
{
  for (int i = 0; i < 300; i++)
    {
      Report (kSlots / 2, kSlots, 0, 100, kSlots / 2, kSlots / 2);
      Serve (1, 2000, kSlots);
    }
  EXPECT_FALSE (lrn_.slow);
}

TEST_F (Learned, ResultsStayInRangeForRandomInputs)
{
  std::mt19937 random (4711);
  for (int i = 0; i < 200000; i++)
    {
      now_ms_ += random () % 400;
      uint32_t own = random () % 40;
      uint32_t others = random () % 40;
      if (random () % 2 == 0)
        Report (random () % 1000001, own, others, 1 + random () % 10000, random () % 1000001,
                1 + random () % UPS_SLOTS_MAX);
      else
        {
          LrnSample sample = {};
          sample.time_ms = random () % 100000;
          sample.rtt_ms = random () % 200;
          sample.expected_ms = random () % 3000;
          sample.load = random () % 200;
          sample.slots = 1 + random () % 64;
          lrn_record_service_time (&lrn_, &service_, &sample, now_ms_);
        }
      ASSERT_GE (Slots (), 1u);
      ASSERT_LE (Slots (), kSlots);
      ASSERT_GE (lrn_in_flight (&lrn_, own, others, now_ms_), own);
      ASSERT_GE (Slowness (own), 200u);
      ASSERT_LE (Slowness (own), 20000u);
      ASSERT_GE (lrn_pace_permille (&lrn_, now_ms_), 250u);
      ASSERT_LE (lrn_pace_permille (&lrn_, now_ms_), 4000u);
      ASSERT_GT (lrn_capacity_mslots (&lrn_, &service_, kSlots, now_ms_), 0u);
    }
}

/* ---- Replays ---- */

namespace
{
// Time that learning may take; the rest of a load, from then on, is one period of its rate.
constexpr uint32_t kLearningSeconds = 24;
constexpr uint32_t kSeeds = 4;

struct Share
{
  double whole = 0;
  double learned = 0;
};

Share
InObjective (const char *name, MdlKnowledge knowledge)
{
  MdlLoad load = *mlc_load (name);
  load.machines.knowledge = knowledge;
  uint64_t asked[2] = {};
  uint64_t good[2] = {};
  uint64_t p50_ms = 0;
  uint64_t p99_ms = 0;
  uint64_t sheds = 0;
  for (uint32_t seed = 1; seed <= kSeeds; seed++)
    {
      MdlReport report = mdl_replay (&load, MDL_PRODUCT, seed);
      p50_ms += report.p50_ms;
      p99_ms += report.p99_ms;
      sheds += report.sheds;
      for (uint32_t s = 0; s < load.seconds; s++)
        for (int part = 0; part < (s < kLearningSeconds ? 1 : 2); part++)
          {
            asked[part] += report.seconds[s].asked;
            good[part] += report.seconds[s].in_objective;
          }
    }
  Share share = { static_cast<double> (good[0]) / static_cast<double> (asked[0]),
                  static_cast<double> (good[1]) / static_cast<double> (asked[1]) };
  static const char *const names[] = { "registration", "learned", "all", "weights" };
  printf ("load=%s knowledge=%s p50_ms=%u p99_ms=%u in_objective=%.3f after_learning=%.3f "
          "sheds=%u\n",
          name, names[knowledge], static_cast<uint32_t> (p50_ms / kSeeds),
          static_cast<uint32_t> (p99_ms / kSeeds), share.whole, share.learned,
          static_cast<uint32_t> (sheds / kSeeds));
  return share;
}

struct Expectation
{
  const char *load;
  double least_of_best;
};

class LearnedReplay : public testing::TestWithParam<Expectation>
{
};
}

// The best fixed weights are those of placement with the true values and of objects assigned in
// proportion to the true capacity.
TEST_P (LearnedReplay, ComesCloseToBestFixedWeightsAndIsNotWorseThanBefore)
{
  auto [name, least] = GetParam ();
  Share before = InObjective (name, MDL_KNOWS_REGISTRATION);
  Share after = InObjective (name, MDL_KNOWS_LEARNED);
  Share all = InObjective (name, MDL_KNOWS_ALL);
  Share weights = InObjective (name, MDL_KNOWS_WEIGHTS);
  double best = std::max (all.learned, weights.learned);
  double best_whole = std::max (all.whole, weights.whole);
  printf ("load=%s of_best before=%.3f after=%.3f whole_before=%.3f whole_after=%.3f\n", name,
          before.learned / best, after.learned / best, before.whole / best_whole,
          after.whole / best_whole);
  EXPECT_GE (after.learned / best, least);
  EXPECT_GE (after.learned, before.learned - 0.005);
  EXPECT_GE (after.whole, before.whole - 0.005);
}

INSTANTIATE_TEST_SUITE_P (
    Loads, LearnedReplay,
    testing::Values (Expectation{ "no-differences", 0.97 }, Expectation{ "three-speeds", 0.97 },
                     Expectation{ "three-speeds-reported", 0.97 }, Expectation{ "knee", 0.96 },
                     Expectation{ "noise", 0.97 }, Expectation{ "noise-unreported", 0.97 },
                     Expectation{ "slow-and-recovered", 0.97 }, Expectation{ "all-slow", 0.97 },
                     Expectation{ "false-header", 0.97 }, Expectation{ "one-node", 0.97 },
                     Expectation{ "300-nodes", 0.97 }),
    [] (const testing::TestParamInfo<Expectation> &info) {
      std::string name = info.param.load;
      std::replace (name.begin (), name.end (), '-', '_');
      return name;
    });

// 300 nodes, each of which sees a 300th of the requests: their sum must not exceed what the
// upstream takes any more than without learning.
TEST (LearnedReplayNodes, ManyNodesDoNotOverloadTheirUpstream)
{
  MdlLoad load = *mlc_load ("300-nodes");
  uint64_t sheds_before = 0;
  uint64_t sheds_after = 0;
  for (uint32_t seed = 1; seed <= kSeeds; seed++)
    {
      load.machines.knowledge = MDL_KNOWS_REGISTRATION;
      MdlReport before = mdl_replay (&load, MDL_PRODUCT, seed);
      load.machines.knowledge = MDL_KNOWS_LEARNED;
      MdlReport after = mdl_replay (&load, MDL_PRODUCT, seed);
      EXPECT_LE (after.upstream_requests_max, before.upstream_requests_max);
      sheds_before += before.sheds;
      sheds_after += after.sheds;
    }
  EXPECT_LE (sheds_after, sheds_before * 11 / 10);
}
