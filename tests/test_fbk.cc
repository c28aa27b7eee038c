// Feedback in upstreams' response headers, with node processes, a fake store and fake upstreams.
#include <glib.h>

#include "fakes.h"

extern "C"
{
#include "fbk.h"
}

#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <sys/socket.h>

using namespace std::chrono_literals;

namespace
{
Headers
WithId (const std::string &id)
{
  return { { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } };
}

// Two upstreams and one or more nodes; requests without an object go to either upstream.
class UpstreamFeedback : public ::testing::Test
{
protected:
  void
  Start (int nodes = 1)
  {
    store_.Put ("config", "main",
                Configuration (7, "", "\"timeout-s\":3,\"goal-s\":0.8,\"attempts\":2"));
    store_.Put ("servers", first_.id (), first_.Record ("desk", "east-a"));
    store_.Put ("servers", second_.id (), second_.Record ("desk", "east-a"));
    for (int i = 0; i < nodes; i++)
      nodes_.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (i + 1), "east-a",
                                                       store_.address (), i + 1));
    for (auto &node : nodes_)
      {
        ASSERT_TRUE (node->WaitReady (5000));
        ASSERT_TRUE (WaitUntil (3000, [&] { return Get (*node, "warm").status == 200; }));
      }
    ASSERT_TRUE (WaitUntil (4000, [&] { return store_.watches () >= 4; }));
  }

  static Reply
  Get (NodeProcess &node, const std::string &id)
  {
    return node.Call ("GET", "/read/" + id, WithId (id));
  }

  // Sends requests until one of them reaches the upstream.
  void
  SendUntilReached (NodeProcess &node, const FakeUpstream &upstream)
  {
    int before = upstream.arrivals ();
    for (int i = 0; i < 200 && upstream.arrivals () == before; i++)
      Get (node, "reach" + std::to_string (i));
    ASSERT_GT (upstream.arrivals (), before);
  }

  // Drains the second upstream, so that only the first may get requests.
  void
  DrainSecond ()
  {
    store_.Put ("servers", second_.id (), second_.Record ("desk", "east-a", "draining"));
    std::this_thread::sleep_for (500ms);
  }

  void
  Send (NodeProcess &node, int requests)
  {
    for (int i = 0; i < requests; i++)
      Get (node, "r" + std::to_string (i));
  }

  static FakeUpstream::Behaviour
  SendsLeavingHeader (const FakeUpstream &upstream)
  {
    return [&upstream] (int fd, const Request &request) {
      std::string whole = upstream.SignedResponse (request, "ok");
      size_t headers_start = whole.find ("\r\n") + 2;
      WriteAll (fd, whole.insert (headers_start, "Server-Leaving: 1\r\n"));
    };
  }

  static FakeUpstream::Behaviour
  RejectsWithRetryAfter (const std::string &retry_after)
  {
    return [retry_after] (int fd, const Request &request) {
      auto id = request.headers.find ("x-request-id");
      WriteAll (fd, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                        + (id != request.headers.end () ? id->second : "")
                        + "\r\nRetry-After: " + retry_after + "\r\nContent-Length: 0\r\n\r\n");
    };
  }

  FakeStore store_;
  FakeUpstream first_{ "up-1" };
  FakeUpstream second_{ "up-2" };
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};
}

TEST (RetryAfter, IsParsedAsSecondsAndLimited)
{
  EXPECT_EQ (fbk_retry_after_ms ("2"), 2000u);
  EXPECT_EQ (fbk_retry_after_ms ("0.25"), 250u);
  EXPECT_EQ (fbk_retry_after_ms ("1e9"), FBK_PAUSE_MAX_MS);
  for (const char *text :
       { "", "0", "-1", "soon", "2 s", "nan", "inf", "Sat, 05 Dec 2026 00:00:00 GMT" })
    EXPECT_EQ (fbk_retry_after_ms (text), 0u) << text;
}

namespace
{
// A node's state without a process, and a response of its upstream with a load header.
class LoadHeader : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    node_ = g_new0 (Node, 1);
    node_->settings.learned_capacity = true;
    node_->headers.leaving = "Server-Leaving";
    node_->headers.load = "X-Backend-Load";
    lrn_init (&ups_.learned);
    ups_.record.slots = 4;
  }

  void
  TearDown () override
  {
    g_free (node_);
  }

  void
  Apply (int status, const std::string &load)
  {
    std::string name = "x-backend-load";
    std::string value = load;
    UcnHeader header = { name.data (), value.data () };
    UcnResponse response = {};
    response.status = status;
    response.headers = g_ptr_array_new ();
    g_ptr_array_add (response.headers, &header);
    UpsIncarnation incarnation = ups_incarnation (&ups_);
    fbk_apply (node_, &ups_, &incarnation, &response);
    g_ptr_array_unref (response.headers);
  }

  Node *node_ = nullptr;
  Ups ups_ = {};
};
}

TEST_F (LoadHeader, IsReadFromSuccessAndErrorResponses)
{
  int count = 0;
  for (int status : { 200, 404, 421, 500, 503 })
    {
      Apply (status, "3,1,4,120");
      EXPECT_EQ (node_->counters.load_reports, static_cast<uint64_t> (++count));
      EXPECT_EQ (ups_.learned.reported_others, 3u);
      EXPECT_NE (ups_.learned.reported_at_ms, 0u);
      ups_.learned.reported_at_ms = 0;
    }
  EXPECT_EQ (node_->counters.load_reports_invalid, 0u);
}

TEST_F (LoadHeader, MalformedOneIsCountedAndIgnored)
{
  for (const char *load : { "", "1,2", "a,b,c", "1,2,0", "-1,0,4", "1,2,3,4,5", "1e9,0,4" })
    Apply (200, load);
  EXPECT_EQ (node_->counters.load_reports, 7u);
  EXPECT_EQ (node_->counters.load_reports_invalid, 7u);
  EXPECT_EQ (ups_.learned.reported_at_ms, 0u);
}

TEST_F (LoadHeader, IsIgnoredWhileLearningIsOff)
{
  node_->settings.learned_capacity = false;
  Apply (200, "3,1,4,120");
  EXPECT_EQ (node_->counters.load_reports, 0u);
  EXPECT_EQ (ups_.learned.reported_at_ms, 0u);
}

TEST (LearnedCapacityOption, OtherValuesThanOnAndOffAreRefused)
{
  int status = system (PROGRAMS_DIR "/cardamom-node --learned-capacity=maybe 2>/dev/null");
  EXPECT_EQ (WEXITSTATUS (status), 2);
}

// The store does not respond, so the node can learn it only from the response.
TEST_F (UpstreamFeedback, UpstreamWithLeavingHeaderGetsNoNewRequests)
{
  Start ();
  store_.SetMode (FakeStore::Mode::kNoResponse);
  first_.SetBehaviour (SendsLeavingHeader (first_));
  SendUntilReached (*nodes_[0], first_);
  int before = first_.arrivals ();
  Send (*nodes_[0], 60);
  EXPECT_EQ (first_.arrivals (), before);
}

// Upstreams with malformed and false load headers must be used like others.
TEST_F (UpstreamFeedback, MalformedAndFalseLoadHeadersDisturbNoRequest)
{
  Start ();
  std::atomic<int> count{ 0 };
  for (FakeUpstream *upstream : { &first_, &second_ })
    upstream->SetBehaviour ([upstream, &count] (int fd, const Request &request) {
      static const char *const loads[] = { "0,0,1", "4,900,4,9999", "x", "", "1,2,3,4,5,6,7" };
      std::string whole = upstream->SignedResponse (request, "ok");
      WriteAll (fd, whole.insert (whole.find ("\r\n") + 2,
                                  std::string ("X-Backend-Load: ") + loads[count++ % 5] + "\r\n"));
    });
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (Get (*nodes_[0], "l" + std::to_string (i)).status, 200);
}

TEST_F (UpstreamFeedback, LeavingUpstreamIsReportedToPeers)
{
  Start (2);
  SendUntilReached (*nodes_[1], first_);
  first_.SetBehaviour (SendsLeavingHeader (first_));
  SendUntilReached (*nodes_[0], first_);
  ASSERT_TRUE (WaitUntil (2000, [&] {
    return nodes_[1]->Log ().find ("event=upstream_leaves upstream=up-1 told_by=peer")
           != std::string::npos;
  }));
  int before = first_.arrivals ();
  Send (*nodes_[1], 60);
  EXPECT_EQ (first_.arrivals (), before);
}

// The store still lists it as ready, so a new registration of the same incarnation must not help.
TEST_F (UpstreamFeedback, LeavingUpstreamGetsRequestsOnlyInNewIncarnation)
{
  Start ();
  first_.SetBehaviour (SendsLeavingHeader (first_));
  SendUntilReached (*nodes_[0], first_);
  store_.Put ("servers", first_.id (),
              first_.Record ("desk", "east-a", "ready", ",\"cold-left-s\":0.01"));
  std::this_thread::sleep_for (500ms);
  int before = first_.arrivals ();
  Send (*nodes_[0], 40);
  EXPECT_EQ (first_.arrivals (), before);
  first_.SetBehaviour ([&] (int fd, const Request &request) {
    WriteAll (fd, first_.SignedResponse (request, "ok"));
  });
  store_.Put ("servers", first_.id (),
              first_.Record ("desk", "east-a", "ready", ",\"born\":1900000000000"));
  DrainSecond ();
  SendUntilReached (*nodes_[0], first_);
}

TEST_F (UpstreamFeedback, UpstreamWithRetryAfterGetsNoRequestsBeforeItsEnd)
{
  Start ();
  DrainSecond ();
  first_.SetBehaviour (RejectsWithRetryAfter ("2.0"));
  SendUntilReached (*nodes_[0], first_);
  int rejected_at_ms = NowMs ();
  int before = first_.arrivals ();
  while (NowMs () - rejected_at_ms < 1800)
    {
      Get (*nodes_[0], "meanwhile");
      std::this_thread::sleep_for (20ms);
    }
  EXPECT_LE (first_.arrivals () - before, 2);
  first_.SetBehaviour ([&] (int fd, const Request &request) {
    WriteAll (fd, first_.SignedResponse (request, "ok"));
  });
  std::this_thread::sleep_for (400ms);
  SendUntilReached (*nodes_[0], first_);
}

TEST_F (UpstreamFeedback, InvalidRetryAfterIsLoggedAndIgnored)
{
  Start ();
  DrainSecond ();
  first_.SetBehaviour (RejectsWithRetryAfter ("soon"));
  SendUntilReached (*nodes_[0], first_);
  std::this_thread::sleep_for (300ms);
  SendUntilReached (*nodes_[0], first_);
  EXPECT_NE (nodes_[0]->Log ().find ("event=pause_not_understood upstream=up-1"),
             std::string::npos);
}

namespace
{
struct LateCase
{
  const char *name;
  std::string head; // status line and headers
  std::string body;
};

void
PrintTo (const LateCase &late, std::ostream *out)
{
  *out << late.name;
}

// An upstream is replaced, under the same id, while a request runs on the earlier incarnation.
class ReplacedUpstream : public UpstreamFeedback
{
protected:
  static constexpr auto kWork = 700ms;

  static FakeUpstream::Behaviour
  RespondsLate (const LateCase &late)
  {
    return [late] (int fd, const Request &request) {
      std::this_thread::sleep_for (kWork);
      WriteAll (fd, late.head + "X-Request-Id: " + request.headers.at ("x-request-id")
                        + "\r\nConnection: close\r\n\r\n" + late.body);
      shutdown (fd, SHUT_RDWR);
    };
  }

  // Runs a request on the first upstream and registers `record` for its id before the response.
  void
  ReplaceDuringRequest (const LateCase &late, const std::string &record)
  {
    DrainSecond ();
    first_.SetBehaviour (RespondsLate (late));
    int before = first_.arrivals ();
    std::thread caller ([&] {
      nodes_[0]->Call ("POST", "/post/late",
                       { { "X-Request-Id", "late" }, { "X-Deadline-Ms", "2000" } });
    });
    EXPECT_TRUE (WaitUntil (2000, [&] { return first_.arrivals () > before; }));
    first_.SetBehaviour ([this] (int fd, const Request &request) {
      WriteAll (fd, first_.SignedResponse (request, "ok"));
    });
    store_.Put ("servers", first_.id (), record);
    caller.join ();
  }

  std::string
  StateOfFirst ()
  {
    std::string state = nodes_[0]->Status ("/state").body;
    size_t start = state.find ("upstream=" + first_.id () + " ");
    return start == std::string::npos ? "" : state.substr (start, state.find ('\n', start) - start);
  }

  void
  ExpectFirstIsUnaffected ()
  {
    std::string state = StateOfFirst ();
    for (const char *value :
         { "failures=0", "misdirected=0", "slowness=1000", "faults=0", "lasting_slowness=1000" })
      EXPECT_NE (state.find (std::string (" ") + value + " "), std::string::npos)
          << value << " in " << state;
    Reply reply = Get (*nodes_[0], "next");
    EXPECT_EQ (reply.status, 200);
    EXPECT_LT (reply.elapsed_ms, 400);
  }
};

class LateResponse : public ReplacedUpstream, public ::testing::WithParamInterface<LateCase>
{
};

const LateCase kLateCases[] = {
  { "ShutdownNotice",
    "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Response-Signature: 1.2.3\r\nContent-Length: "
    "2\r\n",
    "ok" },
  { "Pause", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nRetry-After: 20\r\nContent-Length: 0\r\n",
    "" },
  { "ServiceTime", "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2.3\r\nContent-Length: 2\r\n",
    "ok" },
  { "Error", "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n", "" },
  { "Unsigned", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "ok" },
  { "Misdirected", "HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", "" },
  { "Truncated", "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2.3\r\nContent-Length: 9\r\n", "ok" },
};
}

// Guards against a new instance that is drained, paused or avoided for a response of the one
// before.
TEST_P (LateResponse, OfAnEarlierIncarnationDoesNotCountForTheNewOne)
{
  Start ();
  ReplaceDuringRequest (GetParam (),
                        first_.Record ("desk", "east-a", "ready", ",\"born\":1900000000000"));
  ExpectFirstIsUnaffected ();
}

INSTANTIATE_TEST_SUITE_P (Responses, LateResponse, ::testing::ValuesIn (kLateCases),
                          [] (const auto &info) { return std::string (info.param.name); });

// The platform need not state when an instance started; a new address then tells them apart.
TEST_F (ReplacedUpstream, LateResponseOfItsEarlierAddressDoesNotCount)
{
  Start ();
  FakeUpstream replacement ("up-1");
  ReplaceDuringRequest (kLateCases[0], replacement.Record ("desk", "east-a"));
  ExpectFirstIsUnaffected ();
  EXPECT_GT (replacement.arrivals (), 0);
}

// A request that no upstream accepts in time is rejected at once; its Retry-After is that of
// the first upstream to accept requests again.
TEST_F (UpstreamFeedback, AllUpstreamsPausedRejectsWithEarliestRetryAfter)
{
  Start ();
  first_.SetBehaviour (RejectsWithRetryAfter ("1.2"));
  second_.SetBehaviour (RejectsWithRetryAfter ("30"));
  SendUntilReached (*nodes_[0], first_);
  Get (*nodes_[0], "both");
  Reply reply = Get (*nodes_[0], "refused");
  EXPECT_EQ (reply.status, 503);
  EXPECT_LT (reply.elapsed_ms, 60);
  double retry_after_s = std::stod (reply.headers["retry-after"]);
  EXPECT_GE (retry_after_s, 0.8);
  EXPECT_LE (retry_after_s, 4.0 / 3);
}

TEST_F (UpstreamFeedback, AllUpstreamsLeavingRejectsAtOnce)
{
  Start ();
  first_.SetBehaviour (SendsLeavingHeader (first_));
  second_.SetBehaviour (SendsLeavingHeader (second_));
  SendUntilReached (*nodes_[0], first_);
  Get (*nodes_[0], "other");
  Reply reply = Get (*nodes_[0], "refused");
  EXPECT_EQ (reply.status, 503);
  EXPECT_LT (reply.elapsed_ms, 60);
}
