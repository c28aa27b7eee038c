// Requests that go to upstreams of another region by way of a node near them.
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

uint32_t
Hash (const std::string &text)
{
  uint32_t hash = 2166136261u;
  for (char c : text)
    hash = (hash ^ static_cast<uint8_t> (c)) * 16777619u;
  return hash;
}

// An id whose request is logged also when nothing fails.
std::string
SampledId (const std::string &prefix)
{
  for (int i = 0;; i++)
    if (Hash (prefix + std::to_string (i)) % 64 == 0)
      return prefix + std::to_string (i);
}

// A node in the east, one in the west, and the only upstream in the west.
class Relay : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    store_.Put ("config", "main",
                Configuration (7, "", "\"timeout-s\":3,\"goal-s\":0.5,\"attempts\":2"));
    west_ = std::make_unique<NodeProcess> ("vm-west", "west-a", store_.address (), 2);
    east_ = std::make_unique<NodeProcess> ("vm-east", "east-a", store_.address (), 1);
    ASSERT_TRUE (west_->WaitReady (5000));
    ASSERT_TRUE (east_->WaitReady (5000));
    ASSERT_TRUE (WaitUntil (5000, [&] { return Knows (*east_, "vm-west"); }));
    std::this_thread::sleep_for (1s); // a relay is chosen now and then
    store_.Put ("servers", upstream_.id (), upstream_.Record ("desk", "west-a"));
    ASSERT_TRUE (WaitUntil (5000, [&] { return GoesByRelay (); })) << east_->Log ();
  }

  static bool
  Knows (const NodeProcess &node, const std::string &vm)
  {
    return node.Log ().find ("event=peer_heard peer=" + vm) != std::string::npos;
  }

  bool
  GoesByRelay ()
  {
    std::string id = SampledId ("probe" + std::to_string (probes_++) + "-");
    std::this_thread::sleep_for (100ms);
    return Get (id).status == 200
           && LineOf (id, "request_sent").find ("relay=vm-west") != std::string::npos;
  }

  std::string
  LineOf (const std::string &id, const std::string &event)
  {
    std::string log = east_->Log ();
    size_t at = log.find ("event=" + event + " id=" + id + " ");
    return at == std::string::npos ? "" : log.substr (at, log.find ('\n', at) - at);
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
  int probes_ = 0;
};
}

TEST_F (Relay, RequestAndAnswerPassUnchanged)
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

TEST_F (Relay, AnUpstreamsRefusalStaysARefusal)
{
  upstream_.SetBehaviour ([] (int fd, const Request &request) {
    WriteAll (fd, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                      + request.headers.at ("x-request-id") + "\r\nContent-Length: 0\r\n\r\n");
  });
  EXPECT_EQ (Post ("post-2").status, 503);
}

// The upstream ran it; its answer ends early, or never begins.
TEST_F (Relay, AnAnswerThatIsLostBehindTheRelayIsNoRefusal)
{
  for (const std::string part : { "", "HTTP/1.1 200 OK\r\n",
                                  "HTTP/1.1 200 OK\r\nX-Response-Signature: 1.2.3\r\n"
                                  "Content-Length: 10\r\n\r\nhal" })
    {
      upstream_.SetBehaviour ([part] (int fd, const Request &) {
        WriteAll (fd, part);
        shutdown (fd, SHUT_RDWR);
      });
      std::string id = "post-3-" + std::to_string (part.size ());
      Reply reply = Post (id);
      EXPECT_TRUE (reply.status == 0 || reply.status == 502) << reply.status;
      EXPECT_EQ (upstream_.runs (id), 1);
      std::this_thread::sleep_for (1s);
    }
}

TEST_F (Relay, ADeadRelayIsPassedByAndRunsNothingTwice)
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

TEST_F (Relay, AnIdempotentRequestOutlivesItsRelay)
{
  upstream_.SetWork (600);
  std::thread killer ([&] {
    std::this_thread::sleep_for (200ms);
    west_->Signal (SIGKILL);
  });
  EXPECT_EQ (Get ("read-5").status, 200);
  killer.join ();
}

// Callers go on while the relay stops; each request is answered, and none runs twice.
TEST_F (Relay, APlannedStopOfTheRelayCutsNothing)
{
  upstream_.SetWork (150);
  std::atomic<int> wrong{ 0 };
  std::atomic<bool> stop{ false };
  std::vector<std::thread> callers;
  for (int c = 0; c < 4; c++)
    callers.emplace_back ([&, c] {
      for (int i = 0; !stop; i++)
        {
          std::string id = "stop-" + std::to_string (c) + "-" + std::to_string (i);
          bool ok = (i % 2 == 0 ? Post (id) : Get (id)).status == 200;
          wrong += !ok || upstream_.runs (id) != 1;
        }
    });
  std::this_thread::sleep_for (500ms);
  west_->Signal (SIGTERM);
  EXPECT_EQ (west_->WaitExit (7000), 0);
  std::this_thread::sleep_for (500ms);
  stop = true;
  for (std::thread &caller : callers)
    caller.join ();
  EXPECT_EQ (wrong, 0);
}

TEST_F (Relay, TheUpstreamIsToldWhenTheCallerHasGone)
{
  std::atomic<int> noticed_ms{ -1 };
  std::atomic<int> began_ms{ 0 };
  upstream_.SetBehaviour ([&] (int fd, const Request &) {
    began_ms = NowMs ();
    pollfd waiting = { fd, POLLIN | POLLRDHUP, 0 };
    poll (&waiting, 1, 3000);
    noticed_ms = NowMs ();
  });
  east_->Call ("GET", "/read/a", WithId ("gone"), "", 300);
  ASSERT_TRUE (WaitUntil (3000, [&] { return noticed_ms >= 0; }));
  EXPECT_LE (noticed_ms - began_ms, 300 + 500);
}

// The relay hears that the upstream leaves, and takes nothing for it from then on.
TEST_F (Relay, ALeavingUpstreamGetsNothingByARelay)
{
  store_.Put ("servers", upstream_.id (), upstream_.Record ("desk", "west-a", "draining"));
  std::this_thread::sleep_for (1s);
  int before = upstream_.arrivals ();
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (Get ("leaving-" + std::to_string (i)).status, 503);
  EXPECT_EQ (upstream_.arrivals (), before);
}
