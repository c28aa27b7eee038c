// Request path under faults, with the real programs.
#include "cluster.h"
#include "crowd.h"

#include <csignal>
#include <cstdlib>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

const std::vector<std::string> kShortLoad = { "--rate=100", "--seconds=4" };

// No request ran twice, no acknowledged request is missing, no response is wrong.
void
ExpectGuarantees (Report &report)
{
  EXPECT_EQ (0, report["doubles"]);
  EXPECT_EQ (0, report["lost"]);
  EXPECT_EQ (0, report["false_not_run"]);
  EXPECT_EQ (0, report["wrong"]);
  EXPECT_GT (report["ok"], 0);
}

// Bytes of a response and how its connection ended.
struct RawResponse
{
  std::string bytes;
  bool ended_in_order = false;

  size_t
  BodyBytes () const
  {
    size_t body = bytes.find ("\r\n\r\n");
    return body == std::string::npos ? 0 : bytes.size () - body - 4;
  }
};

// Reads until the connection ends, and closes it.
RawResponse
ReadResponse (int fd)
{
  RawResponse response;
  std::vector<char> piece (64 << 10);
  ssize_t size;
  while ((size = recv (fd, piece.data (), piece.size (), 0)) > 0)
    response.bytes.append (piece.data (), (size_t) size);
  response.ended_in_order = size == 0;
  close (fd);
  return response;
}

RawResponse
Exchange (const std::string &address, const std::string &request)
{
  int fd = ConnectTo (address);
  EXPECT_EQ (send (fd, request.data (), request.size (), 0), (ssize_t) request.size ());
  return ReadResponse (fd);
}

long
SumOverEntries (Cluster &cluster, const std::string &counter)
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

// The first upstream of each zone is slow and reports itself idle; the others report full load.
void
ReportFalseLoad (Cluster &cluster)
{
  for (const std::string &id : cluster.Upstreams ())
    cluster.ControlUpstream (id,
                             id.back () == '0' ? "false_load=0&service_ms=80" : "false_load=1000");
}

void
ExpectInFlightAtMost (Cluster &cluster, long limit)
{
  for (const std::string &id : cluster.Upstreams ())
    EXPECT_LE (cluster.UpstreamCount (id, "max_in_flight"), limit);
}

TEST (RequestPath, AllRequestsSucceedWithoutFaults)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  Report report = cluster.Load (kShortLoad);
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
}

TEST (RequestPath, EntryStartedBeforeItsSteerGetsConfigAndBudget)
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

TEST (RequestPath, KilledEntryNeitherLosesNorRepeatsPosts)
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
  ExpectGuarantees (report);
  EXPECT_GT (report["resends"], 0);
}

TEST (RequestPath, LostStoreResponsesCauseNoDuplicateExecution)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=40", "--seconds=6", "--posts-pct=100" });
  for (int i = 0; i < 4; i++)
    {
      SleepMs (1000);
      cluster.SetStoreFault ("lose_answers=10");
    }
  Report report = cluster.FinishLoad ("load");
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  EXPECT_GT (SumOverEntries (cluster, "cardamom_entry_claims_read_back_total"), 0);
}

TEST (RequestPath, StoreOutageRejectsPostsAsNotRunAndServesReads)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.SetStoreFault ("mode=refuse");
  Report reads = cluster.Load ({ "--rate=100", "--seconds=3", "--posts-pct=0" });
  EXPECT_EQ (reads["requests"], reads["ok"]);
  HttpResponse response
      = cluster.Http ("POST", cluster.EntryAddr ("e0"), "/svc/desk/pay", { "idempotency-key: k1" });
  EXPECT_EQ (503, response.status);
  EXPECT_EQ ("not-run", response.headers["x-cardamom-run"]);
  EXPECT_EQ ("1", response.headers["retry-after"]);
  EXPECT_EQ (0, cluster.Executions (" k1"));
  cluster.SetStoreFault ("mode=ok");
  SleepMs (1000);
  response
      = cluster.Http ("POST", cluster.EntryAddr ("e1"), "/svc/desk/pay", { "idempotency-key: k1" });
  EXPECT_EQ (200, response.status);
  EXPECT_EQ (1, cluster.Executions (" k1"));
}

TEST (RequestPath, StoreOutageWithAllowPolicyRunsPostOnce)
{
  Options options;
  options.service_fields = ",\"store_down\":\"allow\"";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.SetStoreFault ("mode=refuse");
  for (int i = 0; i < 2; i++)
    cluster.Http ("POST", cluster.EntryAddr ("e0"), "/svc/desk/pay", { "idempotency-key: k1" });
  EXPECT_EQ (1, cluster.Executions (" k1"));
}

TEST (RequestPath, CallerRetryGetsTheFirstResponseFromAnyEntry)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  HttpResponse first = cluster.Http ("POST", cluster.EntryAddr ("e0"), "/svc/desk/pay",
                                     { "idempotency-key: k1", "x-echo: one" });
  SleepMs (300);
  HttpResponse again = cluster.Http ("POST", cluster.EntryAddr ("e2"), "/svc/desk/pay",
                                     { "idempotency-key: k1", "x-echo: two" });
  EXPECT_EQ (200, first.status);
  EXPECT_EQ (200, again.status);
  EXPECT_EQ (first.body, again.body);
  EXPECT_EQ ("ran", again.headers["x-cardamom-run"]);
  EXPECT_EQ (1, cluster.Executions (" k1"));
  HttpResponse other = cluster.Http ("POST", cluster.EntryAddr ("e1"), "/svc/desk/refund",
                                     { "idempotency-key: k1" });
  EXPECT_EQ (422, other.status);
  EXPECT_EQ (1, cluster.Executions (" k1"));
}

TEST (RequestPath, InterruptedDownloadIsResumedFromAnotherUpstream)
{
  Options options;
  options.upstreams_per_zone = 2;
  options.service_fields = ",\"retry_budget_pct\":100";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  for (const std::string &id : cluster.Upstreams ())
    if (id.back () == '0')
      cluster.ControlUpstream (id, "cut_after=100000");
  Report report = cluster.Load ({ "--rate=20", "--seconds=4", "--posts-pct=0",
                                  "--downloads-pct=100", "--download-bytes=300000" });
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  EXPECT_GT (SumOverEntries (cluster, "cardamom_entry_resumed_downloads_total"), 0);
}

TEST (RequestPath, RetriesStayWithinTheirBudget)
{
  Options options;
  options.service_fields = ",\"retry_budget_pct\":10";
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  for (const std::string &id : cluster.Upstreams ())
    cluster.ControlUpstream (id, "cut_after=1000");
  Report report = cluster.Load ({ "--rate=50", "--seconds=4", "--posts-pct=0",
                                  "--downloads-pct=100", "--download-bytes=300000" });
  EXPECT_EQ (0, report["ok"]);
  EXPECT_EQ (report["requests"], report["cut"] + report["not_run"] + report["failed"]);
  EXPECT_LE (SumOverEntries (cluster, "cardamom_entry_resumed_downloads_total"),
             report["requests"] / 10 + 3);
}

TEST (RequestPath, TruncatedResponseIsNotReportedAsComplete)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  for (const std::string &id : cluster.Upstreams ())
    cluster.ControlUpstream (id, "cut_after=1000");
  for (int i = 0; i < 4; i++)
    {
      HttpResponse response
          = cluster.Http ("GET", cluster.EntryAddr ("e0"), "/svc/desk/download?size=200000");
      EXPECT_FALSE (response.complete && response.status == 200);
    }
}

// Guards against a short response that looks complete: it has no length, and HTTP/1.0 has no chunks
// either, so the end of the connection ends it.
TEST (RequestPath, TruncatedResponseWithoutLengthIsResetForACallerOfHttp10)
{
  const size_t kBodyBytes = 200000;
  const std::string kLastChunk = "\r\n0\r\n\r\n";
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  std::string path = "/svc/desk/download?chunked=1&size=" + std::to_string (kBodyBytes);
  for (bool truncated : { false, true })
    {
      for (const std::string &id : cluster.Upstreams ())
        cluster.ControlUpstream (id, truncated ? "cut_after=100000" : "");
      RawResponse response
          = Exchange (cluster.EntryAddr ("e0"), "GET " + path + " HTTP/1.0\r\n\r\n");
      EXPECT_EQ (response.ended_in_order, !truncated) << response.bytes.substr (0, 300);
      EXPECT_EQ (response.BodyBytes () == kBodyBytes, !truncated);
      response = Exchange (cluster.EntryAddr ("e0"), "GET " + path
                                                         + " HTTP/1.1\r\nHost: host.example\r\n"
                                                           "Connection: close\r\n\r\n");
      EXPECT_EQ (response.bytes.find (kLastChunk) != std::string::npos, !truncated);
    }
}

// The same for an entry that is killed while it sends the response.
TEST (RequestPath, ResponseWithoutLengthIsResetWhenTheEntryIsKilled)
{
  const size_t kBodyBytes = 16 << 20;
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  int fd = ConnectTo (cluster.EntryAddr ("e0"), 64 << 10);
  std::string request = "GET /svc/desk/download?chunked=1&size=" + std::to_string (kBodyBytes)
                        + " HTTP/1.0\r\nHost: host.example\r\n\r\n";
  ASSERT_EQ (send (fd, request.data (), request.size (), 0), (ssize_t) request.size ());
  SleepMs (500);
  cluster.Signal ("entry-e0", SIGKILL);
  RawResponse response = ReadResponse (fd);
  EXPECT_FALSE (response.ended_in_order);
  EXPECT_LT (response.BodyBytes (), kBodyBytes);
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
  ExpectGuarantees (report);
  // Only requests in flight on a connection when it went silent may fail; each entry has few.
  EXPECT_LE (report["failed"] + report["unresolved"], 12);
}

TEST (RequestPath, PostIsNotSentOnASilentConnection)
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
      HttpResponse response
          = cluster.Http ("POST", cluster.EntryAddr ("e" + std::to_string (i % 3)), "/svc/desk/pay",
                          { "idempotency-key: " + key });
      EXPECT_EQ (200, response.status) << response.body;
      EXPECT_EQ (1, cluster.Executions (" " + key));
    }
}

TEST (RequestPath, ReadOnASilentConnectionIsRetriedOnANewOne)
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
      HttpResponse response = cluster.Http ("GET", cluster.EntryAddr ("e" + std::to_string (i)),
                                            "/svc/desk/a", { "x-deadline-ms: 6000" });
      EXPECT_EQ (200, response.status) << response.body;
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
      HttpResponse response = cluster.Http ("GET", cluster.EntryAddr (vm), "/svc/desk/poison");
      EXPECT_NE (200, response.status);
      for (const std::string &id : cluster.Upstreams ())
        if (!cluster.IsRunning (id))
          cluster.StartUpstream (id);
      SleepMs (300);
    }
  EXPECT_GE (cluster.Executions ("/poison"), 1);
  EXPECT_LE (cluster.Executions ("/poison"), 3);
}

TEST (RequestPath, LateResponseIsNotDeliveredToAnotherRequest)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  for (int i = 0; i < 6; i++)
    {
      HttpResponse late = cluster.Http ("GET", cluster.EntryAddr ("e0"), "/svc/desk/a?ms=400",
                                        { "x-echo: late", "x-deadline-ms: 100" });
      EXPECT_EQ (504, late.status);
      EXPECT_EQ ("may-have-run", late.headers["x-cardamom-run"]);
      HttpResponse next
          = cluster.Http ("GET", cluster.EntryAddr ("e0"), "/svc/desk/b?ms=1", { "x-echo: next" });
      EXPECT_EQ (200, next.status);
      EXPECT_NE (std::string::npos, next.body.find ("\"next\"")) << next.body;
    }
}

TEST (RequestPath, StoppingEntryCompletesItsRequests)
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
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
}

// A caller may cache a lookup for its whole time to live, so lookups must stop returning a leaving
// entry well before it exits.
TEST (RequestPath, LookupsStopReturningALeavingEntry)
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
            << leaving << " is returned by " << vm;
      ASSERT_EQ (0, cluster.WaitExit ("entry-" + leaving, 15000));
    }
}

TEST (RequestPath, RollingRestartUnderLoadFailsNoRequest)
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
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
}

TEST (RequestPath, DrainingUpstreamGetsNoNewRequests)
{
  Options options;
  options.upstreams_per_zone = 2;
  Cluster cluster (options);
  ASSERT_TRUE (cluster.WaitServing ());
  cluster.StartLoad ("load", { "--rate=150", "--seconds=8" });
  SleepMs (1000);
  cluster.ControlUpstream ("u-luz-a-0", "state=draining");
  cluster.ControlUpstream ("u-vis-a-0", "state=draining&health_lags=1");
  Report report = cluster.FinishLoad ("load");
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  EXPECT_EQ (0, cluster.UpstreamCount ("u-luz-a-0", "late_starts"));
  EXPECT_EQ (0, cluster.UpstreamCount ("u-vis-a-0", "late_starts"));
}

TEST (RequestPath, FalseIdleReportDoesNotOverloadUpstreams)
{
  Cluster cluster (FewSlots ());
  ASSERT_TRUE (cluster.WaitServing ());
  ReportFalseLoad (cluster);
  Report report = cluster.Load ({ "--rate=80", "--seconds=5", "--downloads-pct=0" });
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  ExpectInFlightAtMost (cluster, 4);
}

// Each entry of a burst may pick an upstream whose slots other entries are filling at that moment.
TEST (RequestPath, BurstOfRequestsWaitsForFreeSlots)
{
  Cluster cluster (FewSlots ());
  ASSERT_TRUE (cluster.WaitServing ());
  ReportFalseLoad (cluster);
  cluster.StartLoad ("load", { "--rate=80", "--seconds=5", "--posts-pct=0", "--downloads-pct=0" });
  for (int i = 0; i < 4; i++)
    {
      SleepMs (500);
      cluster.Signal ("load", SIGSTOP);
      SleepMs (500);
      cluster.Signal ("load", SIGCONT);
    }
  Report report = cluster.FinishLoad ("load");
  ExpectGuarantees (report);
  EXPECT_EQ (report["requests"], report["ok"]);
  ExpectInFlightAtMost (cluster, 4);
}

TEST (RequestPath, InvalidRequestsGetAnErrorStatus)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  std::string addr = cluster.EntryAddr ("e0");
  EXPECT_EQ (400, cluster.Http ("GET", addr, "/lookup").status);
  EXPECT_EQ (400, cluster.Http ("GET", addr, "/lookup?service=desk&addr=x").status);
  EXPECT_EQ (404, cluster.Http ("GET", addr, "/lookup?service=none").status);
  EXPECT_EQ (404, cluster.Http ("GET", addr, "/svc/none/a").status);
  EXPECT_EQ (404, cluster.Http ("GET", addr, "/elsewhere").status);
  HttpResponse response = cluster.Http ("POST", addr, "/svc/desk/a",
                                        { "idempotency-key: " + std::string (300, 'k') });
  EXPECT_EQ (400, response.status);
  EXPECT_EQ ("not-run", response.headers["x-cardamom-run"]);
  std::string lookup = cluster.Http ("GET", addr, "/lookup?service=desk&addr=10.2.0.9").body;
  EXPECT_EQ ("vis-a", JsonField (lookup, "group"));
  EXPECT_EQ ("2000", JsonField (lookup, "ttl_ms"));
}

} // namespace
