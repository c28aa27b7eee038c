// Steering decisions under faults, with the real programs.
#include "cluster.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <gtest/gtest.h>
#include <sstream>

namespace
{

constexpr int kCapPpm = 200000;
constexpr int kEvacuationPpm = 500000;
constexpr int kPeriodMs = 1000;
const char kCaps[] = ",\"shift_cap_pct\":20,\"into_region_cap_pct\":20,\"evacuation_cap_pct\":50,"
                     "\"shift_period_ms\":1000";

struct ShareMove
{
  double at_ms;
  long ppm;
};

// Share moves of one client group in an entry's log, with the amount from the given field.
std::vector<ShareMove>
LoggedMoves (const std::string &log, const std::string &group, const std::string &field)
{
  std::vector<ShareMove> moves;
  std::istringstream lines (log);
  for (std::string line; std::getline (lines, line);)
    if (line.find ("event=shares_moved") != std::string::npos
        && line.find ("group=" + group + " ") != std::string::npos)
      moves.push_back ({ atof (line.c_str () + strlen ("ts=")) * 1000,
                         atol (line.c_str () + line.find (field + "=") + field.size () + 1) });
  return moves;
}

// Largest sum of moves within any period; log times are truncated to milliseconds.
long
LargestInWindow (const std::vector<ShareMove> &moves)
{
  long largest = 0;
  for (size_t i = 0; i < moves.size (); i++)
    {
      long sum = 0;
      for (size_t k = i; k < moves.size () && moves[k].at_ms < moves[i].at_ms + kPeriodMs - 2; k++)
        sum += moves[k].ppm;
      largest = std::max (largest, sum);
    }
  return largest;
}

class Steering : public ::testing::Test
{
protected:
  static Options
  OptionsWithCaps ()
  {
    Options options;
    options.service_fields = kCaps;
    return options;
  }
  static std::string
  PlannerVm (Cluster &cluster)
  {
    std::string output;
    cluster.Ctl ({ "get", "system/plan" }, "", &output);
    return JsonField (output, "planner");
  }
  static long
  PlanEpoch (Cluster &cluster)
  {
    std::string output;
    cluster.Ctl ({ "get", "system/plan" }, "", &output);
    return atol (JsonField (output, "epoch").c_str ());
  }
  static void
  ExpectCaps (Cluster &cluster)
  {
    for (const std::string &vm : cluster.Entries ())
      for (const char *group : { "luz-a", "luz-b", "vis-a", "vis-b" })
        {
          std::string log = cluster.ProcessLog ("entry-" + vm);
          EXPECT_LE (LargestInWindow (LoggedMoves (log, group, "moved_ppm")), kCapPpm) << vm;
          EXPECT_LE (LargestInWindow (LoggedMoves (log, group, "evacuated_ppm")), kEvacuationPpm)
              << vm;
        }
  }
  static void
  ExpectGuarantees (Report &report)
  {
    EXPECT_EQ (0, report["doubles"]);
    EXPECT_EQ (0, report["lost"]);
    EXPECT_EQ (0, report["false_not_run"]);
    EXPECT_EQ (0, report["wrong"]);
  }
  // Entries follow the plan at their own ticks, so the last one completes up to 1.5 s after the
  // plan.
  static bool
  WaitEntriesMoved (Cluster &cluster, const std::string &group, long ppm, int timeout_ms)
  {
    for (long end_ms = NowMs () + timeout_ms; NowMs () < end_ms; SleepMs (50))
      {
        bool moved = true;
        for (const std::string &vm : cluster.Entries ())
          {
            long sum = 0;
            for (const ShareMove &move :
                 LoggedMoves (cluster.ProcessLog ("entry-" + vm), group, "moved_ppm"))
              sum += move.ppm;
            moved = moved && sum >= ppm;
          }
        if (moved)
          return true;
      }
    return false;
  }
  static bool
  WaitShares (Cluster &cluster, const std::string &text, int timeout_ms = 25000)
  {
    return cluster.WaitForOutput (timeout_ms, { "explain", "desk" }, text);
  }
};

TEST_F (Steering, ZoneDrainStaysUnderTheCapAndCompletes)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=100", "--seconds=12" });
  SleepMs (1000);
  ASSERT_EQ (0, cluster.Ctl ({ "drain", "zone", "luz-a" }, "", nullptr));
  EXPECT_TRUE (WaitShares (cluster, "near luz-a go to {\"luz-b\":1000000}"));
  EXPECT_TRUE (WaitEntriesMoved (cluster, "luz-a", 1000000, 5000));
  SleepMs (1000);
  long before = cluster.UpstreamCount ("u-luz-a-0", "served");
  SleepMs (1000);
  EXPECT_EQ (before, cluster.UpstreamCount ("u-luz-a-0", "served"));
  Report report = cluster.FinishLoad ("load");
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  ExpectCaps (cluster);
  ASSERT_EQ (0, cluster.Ctl ({ "undrain", "zone", "luz-a" }, "", nullptr));
  EXPECT_TRUE (WaitShares (cluster, "near luz-a go to {\"luz-a\":1000000}"));
  ExpectCaps (cluster);
}

TEST_F (Steering, DrainedZoneLosesRequestsWithinTheCap)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load",
                     { "--rate=200", "--seconds=12", "--posts-pct=0", "--downloads-pct=0" });
  SleepMs (2000);
  ASSERT_EQ (0, cluster.Ctl ({ "drain", "zone", "luz-a" }, "", nullptr));
  std::vector<std::pair<long, long>> samples; // time, share of the drained zone in per mille
  long last_a = 0;
  long last_b = 0;
  for (int i = 0; i < 16; i++)
    {
      long a = cluster.UpstreamCount ("u-luz-a-0", "served");
      long b = cluster.UpstreamCount ("u-luz-b-0", "served");
      if (i > 0 && a + b > last_a + last_b)
        samples.push_back ({ NowMs (), (a - last_a) * 1000 / (a + b - last_a - last_b) });
      last_a = a;
      last_b = b;
      SleepMs (500);
    }
  cluster.FinishLoad ("load");
  EXPECT_LT (samples.back ().second, 50);
  // A sample is a mean over half a second, so two samples less than half a period apart differ by
  // at most the caps of the windows that they touch: two.
  for (size_t i = 1; i < samples.size (); i++)
    EXPECT_LE (samples[i - 1].second - samples[i].second, 2 * kCapPpm / 1000 + 20);
}

TEST_F (Steering, KilledPlannerIsReplacedDuringAShift)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  ASSERT_EQ (0, cluster.Ctl ({ "drain", "region", "visayas" }, "", nullptr));
  SleepMs (1500);
  std::string planner = PlannerVm (cluster);
  cluster.Signal ("steer-" + planner, SIGKILL);
  EXPECT_TRUE (WaitShares (cluster, "near vis-a go to {\"luz-a\":1000000}", 40000));
  EXPECT_NE (planner, PlannerVm (cluster));
  ExpectCaps (cluster);
}

TEST_F (Steering, ResumedPlannerDoesNotChangeThePlan)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  std::string paused = PlannerVm (cluster);
  cluster.Signal ("steer-" + paused, SIGSTOP);
  ASSERT_EQ (0, cluster.Ctl ({ "drain", "zone", "luz-a" }, "", nullptr));
  EXPECT_TRUE (WaitShares (cluster, "near luz-a go to {\"luz-b\":1000000}", 40000));
  EXPECT_NE (paused, PlannerVm (cluster));
  long epoch = PlanEpoch (cluster);
  cluster.Signal ("steer-" + paused, SIGCONT);
  SleepMs (4000);
  EXPECT_NE (paused, PlannerVm (cluster));
  EXPECT_GE (PlanEpoch (cluster), epoch);
  std::string log = cluster.ProcessLog ("steer-" + paused);
  EXPECT_NE (std::string::npos, log.find ("event=lease_lost"));
  ExpectCaps (cluster);
}

TEST_F (Steering, PlanWithAHigherEpochIsNotOverwritten)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  std::string output;
  cluster.Ctl ({ "get", "system/plan" }, "", &output);
  size_t at = output.find ("\"value\":") + strlen ("\"value\":");
  std::string plan = output.substr (at, output.rfind ('}') - at);
  std::string epoch = JsonField (plan, "epoch");
  long successor = atol (epoch.c_str ()) + 100;
  at = plan.find ("\"epoch\":") + strlen ("\"epoch\":");
  plan.replace (at, epoch.size (), std::to_string (successor));
  cluster.PutUnchecked ("system/plan", plan);
  ASSERT_EQ (0, cluster.Ctl ({ "drain", "zone", "luz-a" }, "", nullptr));
  for (int i = 0; i < 50; i++)
    {
      ASSERT_GE (PlanEpoch (cluster), successor);
      SleepMs (50);
    }
  EXPECT_TRUE (WaitShares (cluster, "near luz-a go to {\"luz-b\":1000000}", 40000));
  EXPECT_GE (PlanEpoch (cluster), successor);
}

TEST_F (Steering, ShiftCompletesDespiteLostResponsesToPlanWrites)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  ASSERT_EQ (0, cluster.Ctl ({ "drain", "zone", "luz-a" }, "", nullptr));
  cluster.SetStoreFault ("lose_answers=3");
  EXPECT_TRUE (WaitShares (cluster, "near luz-a go to {\"luz-b\":1000000}", 40000));
  ExpectCaps (cluster);
}

void
FailRegion (Cluster &cluster, const std::string &prefix)
{
  for (const std::string &id : cluster.Upstreams ())
    if (id.find (prefix) != std::string::npos)
      cluster.Signal (id, SIGKILL);
}

// The surviving region has enough free slots for the load and must serve it within its slots.
void
ExpectEvacuated (Cluster &cluster)
{
  Report evacuated = cluster.Load ({ "--rate=60", "--seconds=3" });
  EXPECT_EQ (evacuated["requests"], evacuated["ok"]);
  for (const std::string &id : cluster.Upstreams ())
    if (id.find ("luz") != std::string::npos)
      {
        EXPECT_LE (cluster.UpstreamCount (id, "max_in_flight"), 8);
      }
}

TEST_F (Steering, FailedRegionIsEvacuatedUnderTheCap)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=60", "--seconds=12" });
  SleepMs (2000);
  FailRegion (cluster, "vis");
  Report report = cluster.FinishLoad ("load");
  ExpectGuarantees (report);
  ExpectEvacuated (cluster);
  ExpectCaps (cluster);
}

TEST_F (Steering, FailedRegionIsEvacuatedDuringAStoreOutage)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.SetStoreFault ("mode=silent");
  cluster.StartLoad ("load", { "--rate=60", "--seconds=12", "--posts-pct=0" });
  SleepMs (1000);
  FailRegion (cluster, "vis");
  Report report = cluster.FinishLoad ("load");
  ExpectGuarantees (report);
  Report evacuated = cluster.Load ({ "--rate=60", "--seconds=3", "--posts-pct=0" });
  EXPECT_EQ (evacuated["requests"], evacuated["ok"]);
  ExpectCaps (cluster);
}

TEST_F (Steering, RegionAndPlannerFailureWithLostResponsesKeepsGuarantees)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=60", "--seconds=16" });
  SleepMs (1000);
  cluster.SetStoreFault ("lose_answers=5");
  FailRegion (cluster, "vis");
  cluster.Signal ("steer-" + PlannerVm (cluster), SIGKILL);
  Report report = cluster.FinishLoad ("load");
  ExpectGuarantees (report);
  ExpectCaps (cluster);
}

TEST_F (Steering, RecoveredRegionGetsItsCallersBackUnderTheCap)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  FailRegion (cluster, "vis");
  ASSERT_TRUE (WaitShares (cluster, "near vis-a go to {\"luz-a\":1000000}"));
  for (const std::string &id : cluster.Upstreams ())
    if (id.find ("vis") != std::string::npos)
      {
        cluster.WaitExit (id, 1000);
        cluster.StartUpstream (id);
      }
  EXPECT_TRUE (WaitShares (cluster, "near vis-a go to {\"vis-a\":1000000}", 40000));
  ExpectCaps (cluster);
}

TEST_F (Steering, OverloadIsRejectedAsNotRunWithinTheBudgets)
{
  Options options;
  options.slots = 5;
  options.service_ms = 100;
  options.service_fields = ",\"headroom_pct\":20,\"queue_wait_ms\":300";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  Report report
      = cluster.Load ({ "--rate=400", "--seconds=6", "--posts-pct=0", "--downloads-pct=0" });
  ExpectGuarantees (report);
  EXPECT_GT (report["not_run"], 0);
  EXPECT_EQ (report["requests"], report["ok"] + report["not_run"]);
  for (const std::string &id : cluster.Upstreams ())
    EXPECT_LE (cluster.UpstreamCount (id, "max_in_flight"), 4) << id;
}

TEST_F (Steering, SteadyLoadMovesNoShares)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.Load ({ "--rate=100", "--seconds=10" });
  for (const std::string &vm : cluster.Entries ())
    EXPECT_EQ (std::string::npos, cluster.ProcessLog ("entry-" + vm).find ("event=shares_moved"));
}

TEST_F (Steering, EveryMoveIsRecordedWithItsReason)
{
  Cluster cluster (OptionsWithCaps ());
  ASSERT_TRUE (cluster.WaitServing ());
  ASSERT_EQ (0, cluster.Ctl ({ "drain", "zone", "luz-a" }, "", nullptr));
  ASSERT_TRUE (WaitShares (cluster, "near luz-a go to {\"luz-b\":1000000}"));
  std::string output;
  cluster.Ctl ({ "history" }, "", &output);
  long moved = 0;
  std::istringstream lines (output);
  for (std::string line; std::getline (lines, line);)
    if (line.find ("action=move") != std::string::npos
        && line.find ("group=luz-a ") != std::string::npos)
      {
        EXPECT_NE (std::string::npos, line.find ("reason=excluded_zone")) << line;
        EXPECT_NE (std::string::npos, line.find ("bound=")) << line;
        EXPECT_NE (std::string::npos, line.find ("oldest_report_ms=")) << line;
        moved += atol (line.c_str () + line.find ("moved_ppm=") + strlen ("moved_ppm="));
      }
  EXPECT_EQ (1000000, moved);
}

} // namespace
