// Request path under faults, with the real programs.
#include "cluster.h"

#include <csignal>
#include <cstdlib>
#include <gtest/gtest.h>

namespace
{

const std::vector<std::string> kShortLoad = { "--rate=100", "--seconds=4" };

// Nothing run twice, nothing acknowledged that did not run, nothing cut or mixed up.
void
ExpectPromises (Report &report)
{
  EXPECT_EQ (0, report["doubles"]);
  EXPECT_EQ (0, report["lost"]);
  EXPECT_EQ (0, report["false_not_run"]);
  EXPECT_EQ (0, report["wrong"]);
  EXPECT_GT (report["ok"], 0);
}

long
Sum (Cluster &cluster, const std::string &counter)
{
  long sum = 0;
  for (const std::string &vm : cluster.Entries ())
    {
      std::string text = cluster.Http ("GET", cluster.EntryAddr (vm), "/metrics").body;
      size_t at = text.find (counter + " ");
      sum += at == std::string::npos ? 0 : atol (text.c_str () + at + counter.size ());
    }
  return sum;
}

Options
FewSlots ()
{
  Options options;
  options.upstreams_per_zone = 2;
  options.slots = 4;
  options.service_ms = 20;
  return options;
}

// The first upstream of each zone is slow and says that it is idle, the others that they are full.
void
ReportFalsely (Cluster &cluster)
{
  for (const std::string &id : cluster.Upstreams ())
    cluster.Control (id, id.back () == '0' ? "false_load=0&service_ms=80" : "false_load=1000");
}

void
ExpectAtMostInFlight (Cluster &cluster, long most)
{
  for (const std::string &id : cluster.Upstreams ())
    EXPECT_LE (cluster.Count (id, "max_in_flight"), most);
}

TEST (RequestPath, ServesEverythingWhenNothingFails)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  Report report = cluster.Load (kShortLoad);
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
}

TEST (RequestPath, EntryStartedBeforeItsSteerJoinedHasEverything)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  for (int round = 0; round < 3; round++)
    {
      cluster.Signal ("steer-e0", SIGKILL);
      cluster.WaitExit ("steer-e0", 2000);
      cluster.Signal ("entry-e0", SIGKILL);
      cluster.WaitExit ("entry-e0", 2000);
      cluster.StartEntry ("e0");
      SleepMs (300);
      cluster.StartSteer ("e0");
      ASSERT_TRUE (cluster.WaitServing ()) << cluster.Dump ("e0");
    }
}

TEST (RequestPath, KilledEntryLosesAndDoublesNoPosting)
{
  Options options;
  options.service_ms = 100;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=60", "--seconds=6", "--posts-pct=100" });
  SleepMs (2000);
  cluster.Signal ("entry-e0", SIGKILL);
  SleepMs (1500);
  cluster.Signal ("entry-e1", SIGKILL);
  Report report = cluster.FinishLoad ("load");
  ExpectPromises (report);
  EXPECT_GT (report["resends"], 0);
}

TEST (RequestPath, LostAnswersOfTheStoreDoubleNothing)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=40", "--seconds=6", "--posts-pct=100" });
  for (int i = 0; i < 4; i++)
    {
      SleepMs (1000);
      cluster.Platform ("lose_answers=10");
    }
  Report report = cluster.FinishLoad ("load");
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  EXPECT_GT (Sum (cluster, "cardamom_entry_claims_read_back_total"), 0);
}

TEST (RequestPath, StoreDownRefusesPostingsAsNotRunAndServesReads)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.Platform ("mode=refuse");
  Report reads = cluster.Load ({ "--rate=100", "--seconds=3", "--posts-pct=0" });
  EXPECT_EQ (reads["requests"], reads["ok"]);
  HttpAnswer answer
      = cluster.Http ("POST", cluster.EntryAddr ("e0"), "/svc/desk/pay", { "idempotency-key: k1" });
  EXPECT_EQ (503, answer.status);
  EXPECT_EQ ("not-run", answer.headers["x-cardamom-run"]);
  EXPECT_EQ ("1", answer.headers["retry-after"]);
  EXPECT_EQ (0, cluster.Executions (" k1"));
  cluster.Platform ("mode=ok");
  SleepMs (1000);
  answer
      = cluster.Http ("POST", cluster.EntryAddr ("e1"), "/svc/desk/pay", { "idempotency-key: k1" });
  EXPECT_EQ (200, answer.status);
  EXPECT_EQ (1, cluster.Executions (" k1"));
}

TEST (RequestPath, StoreDownAllowedRunsPostingsOnce)
{
  Options options;
  options.service_fields = ",\"store_down\":\"allow\"";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.Platform ("mode=refuse");
  for (int i = 0; i < 2; i++)
    cluster.Http ("POST", cluster.EntryAddr ("e0"), "/svc/desk/pay", { "idempotency-key: k1" });
  EXPECT_EQ (1, cluster.Executions (" k1"));
}

TEST (RequestPath, ResendGetsTheFirstAnswerThroughAnyEntry)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  HttpAnswer first = cluster.Http ("POST", cluster.EntryAddr ("e0"), "/svc/desk/pay",
                                   { "idempotency-key: k1", "x-echo: one" });
  SleepMs (300);
  HttpAnswer again = cluster.Http ("POST", cluster.EntryAddr ("e2"), "/svc/desk/pay",
                                   { "idempotency-key: k1", "x-echo: two" });
  EXPECT_EQ (200, first.status);
  EXPECT_EQ (200, again.status);
  EXPECT_EQ (first.body, again.body);
  EXPECT_EQ ("ran", again.headers["x-cardamom-run"]);
  EXPECT_EQ (1, cluster.Executions (" k1"));
  HttpAnswer other = cluster.Http ("POST", cluster.EntryAddr ("e1"), "/svc/desk/refund",
                                   { "idempotency-key: k1" });
  EXPECT_EQ (422, other.status);
  EXPECT_EQ (1, cluster.Executions (" k1"));
}

TEST (RequestPath, InterruptedDownloadIsContinuedFromAnotherUpstream)
{
  Options options;
  options.upstreams_per_zone = 2;
  options.service_fields = ",\"retry_budget_pct\":100";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  for (const std::string &id : cluster.Upstreams ())
    if (id.back () == '0')
      cluster.Control (id, "cut_after=100000");
  Report report = cluster.Load ({ "--rate=20", "--seconds=4", "--posts-pct=0",
                                  "--downloads-pct=100", "--download-bytes=300000" });
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  EXPECT_GT (Sum (cluster, "cardamom_entry_resumed_downloads_total"), 0);
}

TEST (RequestPath, RetriesStayWithinTheirBudget)
{
  Options options;
  options.service_fields = ",\"retry_budget_pct\":10";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  for (const std::string &id : cluster.Upstreams ())
    cluster.Control (id, "cut_after=1000");
  Report report = cluster.Load ({ "--rate=50", "--seconds=4", "--posts-pct=0",
                                  "--downloads-pct=100", "--download-bytes=300000" });
  EXPECT_EQ (0, report["ok"]);
  EXPECT_EQ (report["requests"], report["cut"] + report["not_run"] + report["failed"]);
  EXPECT_LE (Sum (cluster, "cardamom_entry_resumed_downloads_total"), report["requests"] / 10 + 3);
}

TEST (RequestPath, CutAnswerIsNeverACleanEnd)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  for (const std::string &id : cluster.Upstreams ())
    cluster.Control (id, "cut_after=1000");
  for (int i = 0; i < 4; i++)
    {
      HttpAnswer answer
          = cluster.Http ("GET", cluster.EntryAddr ("e0"), "/svc/desk/download?size=200000");
      EXPECT_FALSE (answer.whole && answer.status == 200);
    }
}

TEST (RequestPath, SilentConnectionsAreReplaced)
{
  Options options;
  options.proxy_upstreams = true;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=60", "--seconds=6", "--posts-pct=50", "--downloads-pct=0" });
  SleepMs (2000);
  for (const std::string &id : cluster.Upstreams ())
    cluster.ProxyCommand (id, "blackhole");
  Report report = cluster.FinishLoad ("load");
  ExpectPromises (report);
  // Only what was on a connection when it went silent may fail; each entry has few.
  EXPECT_LE (report["failed"] + report["unresolved"], 12);
}

TEST (RequestPath, NoPostingGoesOnASilentConnection)
{
  Options options;
  options.proxy_upstreams = true;
  options.service_ms = 30;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.Load ({ "--rate=150", "--seconds=2", "--posts-pct=0", "--downloads-pct=0" });
  for (const std::string &id : cluster.Upstreams ())
    cluster.ProxyCommand (id, "blackhole");
  for (int i = 0; i < 12; i++)
    {
      std::string key = "silent-" + std::to_string (i);
      HttpAnswer answer = cluster.Http ("POST", cluster.EntryAddr ("e" + std::to_string (i % 3)),
                                        "/svc/desk/pay", { "idempotency-key: " + key });
      EXPECT_EQ (200, answer.status) << answer.body;
      EXPECT_EQ (1, cluster.Executions (" " + key));
    }
}

TEST (RequestPath, ReadOnASilentConnectionIsAnsweredThroughANewOne)
{
  Options options;
  options.proxy_upstreams = true;
  options.upstreams_per_zone = 2;
  options.service_fields = ",\"retry_budget_pct\":100";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.Load ({ "--rate=150", "--seconds=2", "--posts-pct=0", "--downloads-pct=0" });
  for (const std::string &id : cluster.Upstreams ())
    cluster.ProxyCommand (id, "blackhole");
  for (int i = 0; i < 3; i++)
    {
      HttpAnswer answer = cluster.Http ("GET", cluster.EntryAddr ("e" + std::to_string (i)),
                                        "/svc/desk/a", { "x-deadline-ms: 6000" });
      EXPECT_EQ (200, answer.status) << answer.body;
    }
}

TEST (RequestPath, PoisonRequestStopsKillingUpstreams)
{
  Options options;
  options.upstreams_per_zone = 2;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  for (int i = 0; i < 9; i++)
    {
      std::string vm = "e" + std::to_string (i % 3);
      HttpAnswer answer = cluster.Http ("GET", cluster.EntryAddr (vm), "/svc/desk/poison");
      EXPECT_NE (200, answer.status);
      for (const std::string &id : cluster.Upstreams ())
        if (!cluster.IsRunning (id))
          cluster.StartUpstream (id);
      SleepMs (300);
    }
  EXPECT_GE (cluster.Executions ("/poison"), 1);
  EXPECT_LE (cluster.Executions ("/poison"), 3);
}

TEST (RequestPath, LateAnswerNeverReachesAnotherRequest)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  for (int i = 0; i < 6; i++)
    {
      HttpAnswer late = cluster.Http ("GET", cluster.EntryAddr ("e0"), "/svc/desk/a?ms=400",
                                      { "x-echo: late", "x-deadline-ms: 100" });
      EXPECT_EQ (504, late.status);
      EXPECT_EQ ("may-have-run", late.headers["x-cardamom-run"]);
      HttpAnswer next
          = cluster.Http ("GET", cluster.EntryAddr ("e0"), "/svc/desk/b?ms=1", { "x-echo: next" });
      EXPECT_EQ (200, next.status);
      EXPECT_NE (std::string::npos, next.body.find ("\"next\"")) << next.body;
    }
}

TEST (RequestPath, PlannedStopCutsNothing)
{
  Options options;
  options.service_ms = 50;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=80", "--seconds=9" });
  SleepMs (2000);
  cluster.Signal ("entry-e1", SIGTERM);
  EXPECT_EQ (0, cluster.WaitExit ("entry-e1", 15000));
  Report report = cluster.FinishLoad ("load");
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
}

// A caller may keep an answer for its whole time to live, so naming ends well before the entry
// does.
TEST (RequestPath, LookupsOfOtherEntriesSoonNameNoLeavingEntry)
{
  Options options;
  options.entries = 5;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  for (const std::string leaving : { "e0", "e1", "e2" })
    {
      std::string addr = cluster.EntryAddr (leaving);
      cluster.Signal ("entry-" + leaving, SIGTERM);
      SleepMs (1000); // MEMBER_PROPAGATION_MS
      for (const std::string vm : { "e3", "e4" })
        EXPECT_EQ (
            std::string::npos,
            cluster.Http ("GET", cluster.EntryAddr (vm), "/lookup?service=desk&addr=10.2.0.9")
                .body.find (addr))
            << leaving << " is named by " << vm;
      ASSERT_EQ (0, cluster.WaitExit ("entry-" + leaving, 15000));
    }
}

TEST (RequestPath, EveryEntryReplacedInTurnUnderLoad)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=80", "--seconds=22" });
  for (const std::string &vm : cluster.Entries ())
    {
      cluster.Signal ("entry-" + vm, SIGTERM);
      ASSERT_EQ (0, cluster.WaitExit ("entry-" + vm, 15000));
      cluster.Signal ("steer-" + vm, SIGTERM);
      ASSERT_EQ (0, cluster.WaitExit ("steer-" + vm, 5000));
      cluster.StartSteer (vm);
      cluster.StartEntry (vm);
      ASSERT_TRUE (cluster.WaitServing ());
    }
  Report report = cluster.FinishLoad ("load");
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
}

TEST (RequestPath, LeavingUpstreamGetsNoNewWork)
{
  Options options;
  options.upstreams_per_zone = 2;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=150", "--seconds=8" });
  SleepMs (1000);
  cluster.Control ("u-luz-a-0", "state=draining");
  cluster.Control ("u-vis-a-0", "state=draining&health_lags=1");
  Report report = cluster.FinishLoad ("load");
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  EXPECT_EQ (0, cluster.Count ("u-luz-a-0", "late_starts"));
  EXPECT_EQ (0, cluster.Count ("u-vis-a-0", "late_starts"));
}

TEST (RequestPath, FalseIdleReportOverloadsNothing)
{
  Cluster cluster (FewSlots ());
  ASSERT_TRUE (cluster.WaitServing ());
  ReportFalsely (cluster);
  Report report = cluster.Load ({ "--rate=80", "--seconds=5", "--downloads-pct=0" });
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  ExpectAtMostInFlight (cluster, 4);
}

// Requests that arrive together meet upstreams that other entries have filled in the same moment.
TEST (RequestPath, RequestsThatArriveTogetherWaitForRoom)
{
  Cluster cluster (FewSlots ());
  ASSERT_TRUE (cluster.WaitServing ());
  ReportFalsely (cluster);
  cluster.StartLoad ("load", { "--rate=80", "--seconds=5", "--posts-pct=0", "--downloads-pct=0" });
  for (int i = 0; i < 4; i++)
    {
      SleepMs (500);
      cluster.Signal ("load", SIGSTOP);
      SleepMs (500);
      cluster.Signal ("load", SIGCONT);
    }
  Report report = cluster.FinishLoad ("load");
  ExpectPromises (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  ExpectAtMostInFlight (cluster, 4);
}

TEST (RequestPath, BadRequestsAreRefusedClearly)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  std::string addr = cluster.EntryAddr ("e0");
  EXPECT_EQ (400, cluster.Http ("GET", addr, "/lookup").status);
  EXPECT_EQ (400, cluster.Http ("GET", addr, "/lookup?service=desk&addr=x").status);
  EXPECT_EQ (404, cluster.Http ("GET", addr, "/lookup?service=none").status);
  EXPECT_EQ (404, cluster.Http ("GET", addr, "/svc/none/a").status);
  EXPECT_EQ (404, cluster.Http ("GET", addr, "/elsewhere").status);
  HttpAnswer answer = cluster.Http ("POST", addr, "/svc/desk/a",
                                    { "idempotency-key: " + std::string (300, 'k') });
  EXPECT_EQ (400, answer.status);
  EXPECT_EQ ("not-run", answer.headers["x-cardamom-run"]);
  std::string lookup = cluster.Http ("GET", addr, "/lookup?service=desk&addr=10.2.0.9").body;
  EXPECT_EQ ("vis-a", JsonField (lookup, "group"));
  EXPECT_EQ ("2000", JsonField (lookup, "ttl_ms"));
}

} // namespace
