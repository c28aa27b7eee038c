// Requests to upstreams of a remote region through a relay node in the upstreams' zone.
#include "fakes.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

using namespace std::chrono_literals;

namespace
{
Headers
WithId (const std::string &id)
{
  return { { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } };
}

// Two nodes, in the regions east and west; the only upstream is in the west, so requests to the
// eastern node go through the western one.
class Relay : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    store_.Put ("config", "main",
                Configuration (7, "",
                               "\"timeout-s\":" + std::to_string (timeout_s_)
                                   + ",\"goal-s\":0.5,\"attempts\":2"));
    west_ = std::make_unique<NodeProcess> ("vm-west", "west-a", store_.address (), 2, limits_);
    east_ = std::make_unique<NodeProcess> ("vm-east", "east-a", store_.address (), 1, limits_);
    ASSERT_TRUE (west_->WaitReady (5000)) << west_->Log ();
    ASSERT_TRUE (east_->WaitReady (5000)) << east_->Log ();
    ASSERT_TRUE (WaitUntil (5000, [&] { return HasReceivedFrom (*east_, "vm-west"); }))
        << east_->Log () << west_->Log ();
    std::this_thread::sleep_for (1s); // longer than the period of the relay selection
    store_.Put ("servers", upstream_.id (), upstream_.Record ("desk", "west-a"));
    ASSERT_TRUE (WaitUntil (5000, [&] { return UsesRelay (); })) << east_->Log ();
  }

  static bool
  HasReceivedFrom (const NodeProcess &node, const std::string &vm)
  {
    return node.Log ().find ("event=peer_heard peer=" + vm) != std::string::npos;
  }

  bool
  UsesRelay ()
  {
    std::string id = SampledId ("probe" + std::to_string (probe_count_++) + "-");
    std::this_thread::sleep_for (100ms);
    return Get (id).status == 200
           && LogLine (id, "request_sent").find ("relay=vm-west") != std::string::npos;
  }

  std::string
  LogLine (const std::string &id, const std::string &event)
  {
    std::string log = east_->Log ();
    size_t start = log.find ("event=" + event + " id=" + id + " ");
    return start == std::string::npos ? "" : log.substr (start, log.find ('\n', start) - start);
  }

  Reply
  Get (const std::string &id)
  {
    return east_->Call ("GET", "/read/a", WithId (id));
  }

  Reply
  Post (const std::string &id)
  {
    return east_->Call ("POST", "/post/a?x=1", WithId (id), "body");
  }

  FakeStore store_;
  FakeUpstream upstream_{ "up-west" };
  std::unique_ptr<NodeProcess> west_;
  std::unique_ptr<NodeProcess> east_;
  int probe_count_ = 0;
  int timeout_s_ = 3;
  std::string limits_; // of both machines
};

class RelayOfSmallMachine : public Relay
{
protected:
  RelayOfSmallMachine ()
  {
    timeout_s_ = 15;
    limits_ = "{\"memory-mb\":64,\"max-fds\":400}"; // at most 36 MB of responses
  }
};
}

TEST_F (Relay, RequestAndResponseAreForwardedUnchanged)
{
  Reply reply = Post ("post-1");
  EXPECT_EQ (reply.status, 200);
  EXPECT_EQ (reply.body, "ok");
  EXPECT_TRUE (reply.framed);
  EXPECT_EQ (reply.headers["x-response-signature"], "1.2.3");
  EXPECT_EQ (reply.headers["x-request-id"], "post-1");
  EXPECT_EQ (reply.headers.count ("x-cardamom-relay-end"), 0u);
  Request last = upstream_.requests ().back ();
  EXPECT_EQ (last.target, "/post/a?x=1");
  EXPECT_EQ (last.body, "body");
  EXPECT_EQ (last.headers.at ("x-request-id"), "post-1");
  EXPECT_EQ (last.headers.at ("x-target-instance"), upstream_.id ());
  EXPECT_LE (std::stoi (last.headers.at ("x-deadline-ms")), 4000);
  EXPECT_GE (std::stoi (last.headers.at ("x-deadline-ms")), 2000);
}

// The sending node learns the upstream's load from the relayed response too.
TEST_F (Relay, LoadHeaderReachesTheSendingNode)
{
  upstream_.SetBehaviour ([this] (int fd, const Request &request) {
    std::string whole = upstream_.SignedResponse (request, "ok");
    WriteAll (fd, whole.insert (whole.find ("\r\n") + 2, "X-Backend-Load: 1,0,4,120\r\n"));
  });
  Reply reply = Post ("post-load");
  EXPECT_EQ (reply.status, 200);
  EXPECT_EQ (reply.headers["x-backend-load"], "1,0,4,120");
}

// Neither the relay nor the sending node may drain a new instance for the notice of the one before.
TEST_F (Relay, LateShutdownNoticeOfAnEarlierIncarnationIsIgnored)
{
  upstream_.SetBehaviour ([this] (int fd, const Request &request) {
    std::string whole = upstream_.SignedResponse (request, "ok");
    std::this_thread::sleep_for (700ms);
    WriteAll (fd, whole.insert (whole.find ("\r\n") + 2, "Server-Leaving: 1\r\n"));
  });
  int before = upstream_.arrivals ();
  std::thread caller ([this] { EXPECT_EQ (Post ("post-late").status, 200); });
  EXPECT_TRUE (WaitUntil (2000, [&] { return upstream_.arrivals () > before; }));
  store_.Put ("servers", upstream_.id (),
              upstream_.Record ("desk", "west-a", "ready", ",\"born\":1900000000000"));
  caller.join ();
  upstream_.SetBehaviour ([this] (int fd, const Request &request) {
    WriteAll (fd, upstream_.SignedResponse (request, "ok"));
  });
  EXPECT_EQ (Post ("post-next").status, 200);
  for (NodeProcess *node : { east_.get (), west_.get () })
    EXPECT_EQ (node->Log ().find ("event=upstream_leaves"), std::string::npos);
}

TEST_F (Relay, UpstreamRejectionIsReturnedAs503)
{
  upstream_.SetBehaviour ([] (int fd, const Request &request) {
    WriteAll (fd, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                      + request.headers.at ("x-request-id") + "\r\nContent-Length: 0\r\n\r\n");
  });
  EXPECT_EQ (Post ("post-2").status, 503);
}

// The upstream runs the request and closes the connection before or within its response.
TEST_F (Relay, ResponseLostBehindTheRelayIsNotReportedAsNotRun)
{
  for (const std::string response_part : { "", "HTTP/1.1 200 OK\r\n",
                                           "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2.3\r\n"
                                           "Content-Length: 10\r\n\r\nhal" })
    {
      upstream_.SetBehaviour ([response_part] (int fd, const Request &) {
        WriteAll (fd, response_part);
        shutdown (fd, SHUT_RDWR);
      });
      std::string id = "post-3-" + std::to_string (response_part.size ());
      Reply reply = Post (id);
      EXPECT_TRUE (reply.status == 0 || reply.status == 502) << reply.status;
      EXPECT_EQ (upstream_.runs (id), 1);
      std::this_thread::sleep_for (1s);
    }
}

TEST_F (Relay, KilledRelayIsBypassedAndNonIdempotentRequestRunsOnce)
{
  upstream_.SetWork (600);
  std::thread killer ([&] {
    std::this_thread::sleep_for (200ms);
    west_->Signal (SIGKILL);
  });
  Reply post = Post ("post-4");
  killer.join ();
  EXPECT_TRUE (post.status == 0 || post.status == 502) << post.status;
  EXPECT_EQ (upstream_.runs ("post-4"), 1);
  upstream_.SetWork (0);
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (Get ("read-4-" + std::to_string (i)).status, 200);
}

TEST_F (Relay, IdempotentRequestSucceedsAfterItsRelayIsKilled)
{
  upstream_.SetWork (600);
  std::thread killer ([&] {
    std::this_thread::sleep_for (200ms);
    west_->Signal (SIGKILL);
  });
  EXPECT_EQ (Get ("read-5").status, 200);
  killer.join ();
}

// The relay stops while callers keep sending; every request must succeed and run exactly once.
TEST_F (Relay, GracefulStopOfTheRelayFailsNoRequest)
{
  upstream_.SetWork (150);
  std::atomic<int> failed{ 0 };
  std::atomic<bool> stop{ false };
  std::vector<std::thread> callers;
  for (int c = 0; c < 4; c++)
    callers.emplace_back ([&, c] {
      for (int i = 0; !stop; i++)
        {
          std::string id = "stop-" + std::to_string (c) + "-" + std::to_string (i);
          bool ok = (i % 2 == 0 ? Post (id) : Get (id)).status == 200;
          failed += !ok || upstream_.runs (id) != 1;
        }
    });
  std::this_thread::sleep_for (500ms);
  west_->Signal (SIGTERM);
  EXPECT_EQ (west_->WaitExit (7000), 0);
  std::this_thread::sleep_for (500ms);
  stop = true;
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_EQ (failed, 0);
}

TEST_F (Relay, CallerDisconnectClosesTheUpstreamConnection)
{
  std::atomic<int> closed_at_ms{ -1 };
  std::atomic<int> started_at_ms{ 0 };
  upstream_.SetBehaviour ([&] (int fd, const Request &) {
    started_at_ms = NowMs ();
    pollfd connection = { fd, POLLIN | POLLRDHUP, 0 };
    poll (&connection, 1, 3000);
    closed_at_ms = NowMs ();
  });
  east_->Call ("GET", "/read/a", WithId ("gone"), "", 300);
  ASSERT_TRUE (WaitUntil (3000, [&] { return closed_at_ms >= 0; }));
  EXPECT_LE (closed_at_ms - started_at_ms, 300 + 500);
}

// The relay receives the registration as draining and rejects further requests to the upstream.
// Guards against connections of other nodes that stay open when they are reset while their requests
// are at work.
TEST_F (Relay, ConnectionsThatAreResetWhileTheirRequestsAreAtWorkAreClosed)
{
  const int kRequests = 20;
  upstream_.SetWork (2500);
  std::vector<int> fds;
  int arrivals = upstream_.arrivals ();
  for (int i = 0; i < kRequests; i++)
    {
      fds.push_back (Connect (west_->relay ()));
      WriteAll (fds[i], "GET /read/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: reset-"
                            + std::to_string (i) + "\r\nX-Deadline-Ms: 4000\r\nX-Target-Instance: "
                            + upstream_.id () + "\r\n\r\n");
    }
  EXPECT_TRUE (WaitUntil (2000, [&] { return upstream_.arrivals () - arrivals == kRequests; }));
  int open = west_->OpenDescriptors ();
  for (int fd : fds)
    CloseWithReset (fd);
  // Each request had a connection of its caller and one to the upstream.
  EXPECT_TRUE (WaitUntil (3000, [&] { return west_->OpenDescriptors () <= open - 2 * kRequests; }))
      << west_->OpenDescriptors () << " of " << open;
}

TEST_F (Relay, DrainingUpstreamGetsNoRequestThroughTheRelay)
{
  store_.Put ("servers", upstream_.id (), upstream_.Record ("desk", "west-a", "draining"));
  std::this_thread::sleep_for (1s);
  int before = upstream_.arrivals ();
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (Get ("leaving-" + std::to_string (i)).status, 503);
  EXPECT_EQ (upstream_.arrivals (), before);
}

// Guards against a caller who gets a short response that looks complete: it has no length, the
// caller's node is frozen, and the relay ends the connection between the nodes meanwhile.
TEST_F (RelayOfSmallMachine, ResponseWithoutLengthThatTheRelayCutsIsNotCompleteForACaller)
{
  static constexpr size_t kBodyBytes = 6 << 20;
  const size_t kCallers = 5;
  const int kSlots = 4; // of the upstream
  std::vector<Download> downloads (kCallers);
  std::vector<std::thread> callers;
  auto frozen = std::make_shared<std::atomic<bool>> (false);
  int arrivals = upstream_.arrivals ();
  upstream_.SetBehaviour ([frozen] (int fd, const Request &request) {
    WaitUntil (10000, [&] { return frozen->load (); });
    WriteUnframedResponse (fd, request, kBodyBytes);
  });
  for (size_t i = 0; i < kCallers; i++)
    callers.emplace_back ([&, i] {
      int fd = Connect (east_->front ());
      WriteAll (fd, "GET /load/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: cut-"
                        + std::to_string (i) + "\r\nX-Deadline-Ms: 15000\r\n\r\n");
      downloads[i] = ReadDownload (fd, 64 << 10, 0);
      close (fd);
    });
  EXPECT_TRUE (WaitUntil (5000, [&] { return upstream_.arrivals () - arrivals >= kSlots; }));
  east_->Signal (SIGSTOP);
  *frozen = true;
  std::this_thread::sleep_for (6s); // longer than a relay waits for a node that reads nothing
  east_->Signal (SIGCONT);
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_GT (west_->Metric ("cardamom_node_memory_unread_closed_total"), 0);
  for (const Download &download : downloads)
    {
      bool looks_whole = download.status == 200 && download.ended_in_order;
      EXPECT_TRUE (!looks_whole || download.body_bytes == kBodyBytes) << download.body_bytes;
    }
}
