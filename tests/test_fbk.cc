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

  static bool
  Logs (const NodeProcess &node, const std::string &text, int timeout_ms)
  {
    return WaitUntil (timeout_ms, [&] { return node.Log ().find (text) != std::string::npos; });
  }

  void
  Send (NodeProcess &node, int requests)
  {
    for (int i = 0; i < requests; i++)
      Get (node, "r" + std::to_string (i));
  }

  // Sends more requests at the same time than the second upstream has slots, so that the first gets
  // some unless it may not.
  void
  SendToBoth (NodeProcess &node)
  {
    second_.SetWork (50);
    std::vector<std::thread> callers;
    for (int i = 0; i < 10; i++)
      callers.emplace_back ([&node, i] {
        for (int j = 0; j < 5; j++)
          Get (node, "both" + std::to_string (i) + "-" + std::to_string (j));
      });
    for (std::thread &caller : callers)
      caller.join ();
    second_.SetWork (0);
  }

  static FakeUpstream::Behaviour
  Serves (const FakeUpstream &upstream)
  {
    return [&upstream] (int fd, const Request &request) {
      WriteAll (fd, upstream.SignedResponse (request, "ok"));
    };
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
    fbk_apply (node_, &ups_, &incarnation, "id", &response);
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
  ASSERT_TRUE (Logs (*nodes_[1], "event=upstream_leaves upstream=up-1 told_by=peer", 2000));
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

// Guards against requests that were in the queue, or connecting, when the pause began.
TEST_F (UpstreamFeedback, PauseHoldsForQueuedAndParallelRequests)
{
  Start ();
  DrainSecond ();
  first_.SetWork (100);
  first_.SetBehaviour (RejectsWithRetryAfter ("2.5"));
  int before = first_.arrivals ();
  std::vector<std::thread> callers;
  std::atomic<bool> ended{ false };
  for (int i = 0; i < 16; i++)
    callers.emplace_back ([&, i] {
      for (int j = 0; !ended; j++)
        nodes_[0]->Call ("POST", "/post/a",
                         WithId ("q" + std::to_string (i) + "-" + std::to_string (j)));
    });
  EXPECT_TRUE (WaitUntil (2000, [&] { return first_.arrivals () > before; }));
  std::this_thread::sleep_for (700ms);
  int in_transit = first_.arrivals ();
  std::this_thread::sleep_for (1600ms);
  EXPECT_LE (first_.arrivals () - in_transit, 2);
  ended = true;
  for (std::thread &caller : callers)
    caller.join ();
}

// Guards against a node that fills the upstream again as soon as its pause ends.
TEST_F (UpstreamFeedback, UpstreamIsFilledInStepsAfterItsPause)
{
  Start ();
  DrainSecond ();
  first_.SetBehaviour (RejectsWithRetryAfter ("0.8"));
  SendUntilReached (*nodes_[0], first_);
  std::this_thread::sleep_for (850ms);
  first_.SetBehaviour (Serves (first_));
  first_.SetWork (300);
  ASSERT_LE (first_.max_concurrent (), 1);
  auto send_together = [this] {
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; i++)
      callers.emplace_back (
          [this, i] { nodes_[0]->Call ("POST", "/post/a", WithId ("step" + std::to_string (i))); });
    for (std::thread &caller : callers)
      caller.join ();
  };
  send_together ();
  EXPECT_LE (first_.max_concurrent (), 2);
  std::this_thread::sleep_for (1s);
  send_together ();
  EXPECT_EQ (first_.max_concurrent (), 4);
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
// A response with a notice; `body` is written after the head.
struct NoticeCase
{
  const char *name;
  std::string head; // status line and headers
  std::string body;
  int status;                // what the caller gets when no other upstream is asked, 0 for any
  bool is_truncated = false; // the connection ends before the end of the body
};

void
PrintTo (const NoticeCase &notice, std::ostream *out)
{
  *out << notice.name;
}

class Notice : public UpstreamFeedback, public ::testing::WithParamInterface<NoticeCase>
{
protected:
  // The response with a further header; its body is written in two parts.
  static FakeUpstream::Behaviour
  Responds (const NoticeCase &notice, const std::string &header)
  {
    return [notice, header] (int fd, const Request &request) {
      WriteAll (fd, notice.head + header + "X-Request-Id: " + request.headers.at ("x-request-id")
                        + "\r\n\r\n" + notice.body.substr (0, 1));
      WriteAll (fd, notice.body.substr (std::min<size_t> (1, notice.body.size ())));
      if (notice.is_truncated)
        shutdown (fd, SHUT_RDWR);
    };
  }
};

const NoticeCase kNotices[] = {
  { "Ok", "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2.3\r\nContent-Length: 2\r\n", "ok", 200 },
  { "Redirect", "HTTP/1.1 302 Other\r\nContent-Length: 0\r\n", "", 302 },
  { "NotFound", "HTTP/1.1 404 None\r\nContent-Length: 0\r\n", "", 404 },
  { "Misdirected", "HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", "", 0 },
  { "TooMany", "HTTP/1.1 429 Many\r\nContent-Length: 0\r\n", "", 429 },
  { "Failed", "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n", "", 0 },
  { "Rejected", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", "", 0 },
  { "Unavailable", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n", "", 0 },
  { "Unsigned", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "ok", 0 },
  { "Truncated", "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2.3\r\nContent-Length: 9\r\n", "ok", 0,
    true },
};
}

// Guards against a notice that only some responses convey, and against one that callers see. The
// store does not respond, and the request is not repeated, so that the first upstream's own
// response reaches the caller.
TEST_P (Notice, StopsNewRequestsWhateverTheResponse)
{
  Start ();
  store_.SetMode (FakeStore::Mode::kNoResponse);
  first_.SetBehaviour (Responds (GetParam (), "Server-Leaving: 1\r\n"));
  int before = first_.arrivals ();
  Reply reply;
  for (int i = 0; i < 200 && first_.arrivals () == before; i++)
    reply = Get (*nodes_[0], "notice" + std::to_string (i));
  EXPECT_EQ (reply.headers.count ("server-leaving"), 0u);
  int expected = GetParam ().status != 0 ? GetParam ().status : reply.status;
  EXPECT_EQ (reply.status, expected);
  EXPECT_TRUE (Logs (*nodes_[0], "event=upstream_leaves upstream=up-1 told_by=answer", 1000));
  before = first_.arrivals ();
  SendToBoth (*nodes_[0]);
  EXPECT_EQ (first_.arrivals (), before);
}

INSTANTIATE_TEST_SUITE_P (Responses, Notice, ::testing::ValuesIn (kNotices),
                          [] (const auto &info) { return std::string (info.param.name); });

// Guards against requests sent to a leaving upstream while a long body is still being received. A
// request that the node wrote just before the notice may be read by the upstream after it, so all
// of them are waited for, and the node's log tells which it chose the upstream for before.
TEST_F (UpstreamFeedback, NoticeCountsFromTheHeadOfTheResponse)
{
  constexpr int kCallers = 8;
  const std::string notice = "event=upstream_leaves upstream=up-1";
  Start ();
  first_.SetBehaviour ([this] (int fd, const Request &request) {
    std::string whole = first_.SignedResponse (request, "ok");
    whole.insert (whole.find ("\r\n") + 2, "Server-Leaving: 1\r\n");
    WriteAll (fd, whole.substr (0, whole.size () - 1));
    std::this_thread::sleep_for (1s);
    WriteAll (fd, whole.substr (whole.size () - 1));
  });
  int before = first_.arrivals ();
  int before_all = before + second_.arrivals ();
  std::atomic<int> complete{ 0 };
  std::vector<std::string> ids;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; i++)
    ids.push_back (SampledId ("slow" + std::to_string (i) + "-"));
  for (const std::string &id : ids)
    callers.emplace_back ([&, id] { complete += Get (*nodes_[0], id).status == 200; });
  EXPECT_TRUE (Logs (*nodes_[0], notice, 800));
  EXPECT_TRUE (WaitUntil (
      500, [&] { return first_.arrivals () + second_.arrivals () == before_all + kCallers; }));
  int at_notice = first_.arrivals ();
  EXPECT_GT (at_notice, before);
  Send (*nodes_[0], 20);
  EXPECT_EQ (first_.arrivals (), at_notice);
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_EQ (complete, kCallers);
  std::string log = nodes_[0]->Log ();
  for (const std::string &id : ids)
    {
      if (first_.runs (id) == 0)
        continue;
      EXPECT_LT (log.find ("event=request_sent id=" + id + " upstream=up-1 "), log.find (notice));
      EXPECT_EQ (log.find ("event=request_withdrawn id=" + id + " upstream=up-1"),
                 std::string::npos);
    }
}

// Guards against a registration that lapses and comes back while the instance shuts down.
TEST_F (UpstreamFeedback, NoticeOutlivesTheRegistration)
{
  Start ();
  std::string record = first_.Record ("desk", "east-a", "ready", ",\"born\":1900000000000");
  store_.Put ("servers", first_.id (), record);
  std::this_thread::sleep_for (500ms);
  first_.SetBehaviour (SendsLeavingHeader (first_));
  SendUntilReached (*nodes_[0], first_);
  store_.Delete ("servers", first_.id ());
  ASSERT_TRUE (Logs (*nodes_[0], "event=upstream_gone upstream=up-1", 3000));
  store_.Put ("servers", first_.id (), record);
  std::this_thread::sleep_for (700ms);
  int before = first_.arrivals ();
  SendToBoth (*nodes_[0]);
  EXPECT_EQ (first_.arrivals (), before);
}

// A node that starts later gets the registration, which says "ready", from the store.
TEST_F (UpstreamFeedback, LeavingUpstreamIsReportedToANodeThatStartsLater)
{
  Start ();
  first_.SetBehaviour (SendsLeavingHeader (first_));
  SendUntilReached (*nodes_[0], first_);
  nodes_.push_back (std::make_unique<NodeProcess> ("vm-2", "east-a", store_.address (), 2));
  ASSERT_TRUE (nodes_[1]->WaitReady (5000));
  ASSERT_TRUE (Logs (*nodes_[1], "event=upstream_leaves upstream=up-1 told_by=peer", 3000));
  int before = first_.arrivals ();
  SendToBoth (*nodes_[1]);
  EXPECT_EQ (first_.arrivals (), before);
}

namespace
{
// A 503 with Retry-After, on a kept connection unless the body is cut.
class PauseResponse : public UpstreamFeedback, public ::testing::WithParamInterface<NoticeCase>
{
};

const NoticeCase kPauses[] = {
  { "Rejected", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", "", 0 },
  { "MayHaveRun", "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n", "no", 0 },
  { "Truncated", "HTTP/1.1 503 Full\r\nContent-Length: 9\r\n", "no", 0, true },
};
}

// Guards against requests to an upstream during a pause for which it asked in any 503.
TEST_P (PauseResponse, IsKeptByRequestsAndRetries)
{
  Start ();
  const NoticeCase &pause = GetParam ();
  first_.SetBehaviour ([pause] (int fd, const Request &request) {
    WriteAll (fd, pause.head + "Retry-After: 3.5\r\nX-Request-Id: "
                      + request.headers.at ("x-request-id") + "\r\n\r\n" + pause.body);
    if (pause.is_truncated)
      shutdown (fd, SHUT_RDWR);
  });
  SendUntilReached (*nodes_[0], first_);
  int paused_at_ms = NowMs ();
  std::this_thread::sleep_for (500ms);
  int before = first_.arrivals ();
  while (NowMs () - paused_at_ms < 2400)
    SendToBoth (*nodes_[0]);
  EXPECT_EQ (first_.arrivals (), before);
}

INSTANTIATE_TEST_SUITE_P (Responses, PauseResponse, ::testing::ValuesIn (kPauses),
                          [] (const auto &info) { return std::string (info.param.name); });

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
    first_.SetBehaviour (Serves (first_));
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
  EXPECT_EQ (reply.body, "all_paused");
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
  EXPECT_EQ (reply.body, "no_upstream");
  EXPECT_LT (reply.elapsed_ms, 60);
}

// Operators see who asked for what in the log, the metrics and the state.
TEST_F (UpstreamFeedback, IsLoggedAndCounted)
{
  Start ();
  first_.SetBehaviour (SendsLeavingHeader (first_));
  second_.SetBehaviour (RejectsWithRetryAfter ("100000"));
  SendUntilReached (*nodes_[0], first_);
  Get (*nodes_[0], "pauser");
  std::string log = nodes_[0]->Log ();
  EXPECT_NE (log.find (" status=200 header=Server-Leaving"), std::string::npos) << log;
  EXPECT_NE (log.find ("event=upstream_pauses upstream=up-2 id=pauser header=retry-after "
                       "pause_ms=600000 limited=1 end_in_ms=600000"),
             std::string::npos)
      << log;
  std::string metrics = nodes_[0]->Status ("/metrics").body;
  for (const char *line :
       { "cardamom_node_leaving_notices_total 1\n", "cardamom_node_pauses_total 1\n",
         "cardamom_node_pauses_invalid_total 0\n", "cardamom_node_upstreams_paused 1\n",
         "cardamom_node_upstreams_leaving 1\n" })
    EXPECT_NE (metrics.find (line), std::string::npos) << line;
  std::string state = nodes_[0]->Status ("/state").body;
  EXPECT_NE (state.find (" leaving=1 paused_ms=0 "), std::string::npos) << state;
  std::string paused = " leaving=0 paused_ms=";
  ASSERT_NE (state.find (paused), std::string::npos) << state;
  EXPECT_GT (std::stoi (state.substr (state.find (paused) + paused.size ())), 590000);
}
