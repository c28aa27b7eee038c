// Traffic counters of real node processes, compared with the bytes that the other end saw.
#include "fakes.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace std::chrono_literals;

namespace
{
enum Distance
{
  kZone,
  kRegion,
  kRemote,
  kUnknown,
  kDistances,
};

struct Counts
{
  std::vector<long> sent;
  std::vector<long> received;
};

// The numbers of the field `name` of a line, which must have it.
std::vector<long>
ParseList (const std::string &line, const std::string &name)
{
  std::vector<long> values;
  size_t at = line.find (" " + name + "=");
  if (at == std::string::npos)
    {
      ADD_FAILURE () << "no " << name << " in " << line;
      return std::vector<long> (kDistances);
    }
  std::istringstream list (line.substr (at + name.size () + 2));
  for (long value; list >> value;)
    {
      values.push_back (value);
      if (list.get () != ',')
        break;
    }
  return values;
}

Counts
ReadCounts (NodeProcess &node, const std::string &purpose)
{
  std::istringstream state (node.Status ("/state").body);
  for (std::string line; std::getline (state, line);)
    if (line.rfind ("traffic=" + purpose + " ", 0) == 0)
      return { ParseList (line, "sent"), ParseList (line, "received") };
  return { std::vector<long> (kDistances), std::vector<long> (kDistances) };
}

std::string
Get (const std::string &id, const std::string &more = "")
{
  return "GET /read/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + id
         + "\r\nX-Deadline-Ms: 2000\r\n" + more + "\r\n";
}

class TrafficTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    store_.Put ("config", "main", Configuration (7));
  }

  void
  AddUpstream (const std::string &zone)
  {
    auto upstream = std::make_unique<FakeUpstream> ("up-" + std::to_string (upstreams_.size ()));
    FakeUpstream *own = upstream.get ();
    upstream->SetBehaviour ([this, own] (int fd, const Request &request) {
      std::string response = own->SignedResponse (request, "a body of some length");
      requested_ += static_cast<long> (request.head.size () + request.body.size ());
      responded_ += static_cast<long> (response.size ());
      WriteAll (fd, response);
    });
    store_.Put ("servers", upstream->id (), upstream->Record ("desk", zone));
    upstreams_.push_back (std::move (upstream));
  }

  NodeProcess &
  AddNode (const std::string &zone)
  {
    int number = static_cast<int> (nodes_.size ()) + 1;
    nodes_.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (number), zone,
                                                     store_.address (), number));
    EXPECT_TRUE (nodes_.back ()->WaitReady (5000));
    return *nodes_.back ();
  }

  static bool
  IsServed (NodeProcess &node)
  {
    Headers headers = { { "X-Request-Id", "first" }, { "X-Deadline-Ms", "2000" } };
    return node.Call ("GET", "/read/a", headers).status == 200;
  }

  FakeStore store_;
  std::atomic<long> requested_{ 0 };
  std::atomic<long> responded_{ 0 };
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};
}

// Guards against messages that are counted twice, in part or not at all.
TEST_F (TrafficTest, BytesOfUpstreamsAreCountedExactly)
{
  AddUpstream ("east-b");
  NodeProcess &node = AddNode ("east-a");
  ASSERT_TRUE (WaitUntil (3000, [&] { return IsServed (node); }));
  node.Call ("POST", "/post/a", { { "X-Request-Id", "p" }, { "X-Deadline-Ms", "2000" } },
             std::string (300000, 'x'));
  Counts counts = ReadCounts (node, "upstreams");
  EXPECT_EQ (counts.sent, (std::vector<long>{ 0, requested_, 0, 0 }));
  EXPECT_EQ (counts.received, (std::vector<long>{ 0, responded_, 0, 0 }));
}

// A request that arrives in pieces, one with a large body and pipelined ones are counted once.
TEST_F (TrafficTest, BytesOfCallersAreCountedExactly)
{
  AddUpstream ("east-a");
  NodeProcess &node = AddNode ("east-a");
  ASSERT_TRUE (WaitUntil (3000, [&] { return IsServed (node); }));
  Counts before = ReadCounts (node, "callers");
  std::string last = Get ("last", "Connection: close\r\n");
  std::string post = "POST /post/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: large\r\n"
                     "X-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 200000\r\n\r\n"
                     + std::string (200000, 'x');
  std::vector<std::vector<std::string>> exchanges
      = { { last },
          { last.substr (0, 30), last.substr (30) },
          { post.substr (0, 5000), post.substr (5000) } };
  long sent = 0;
  long received = 0;
  for (const auto &pieces : exchanges)
    {
      for (const std::string &piece : pieces)
        sent += static_cast<long> (piece.size ());
      received += static_cast<long> (node.ExchangeBytes (pieces, 50, 2000).size ());
    }
  std::string pipelined = Get ("one") + Get ("two");
  sent += static_cast<long> (pipelined.size ());
  received += static_cast<long> (node.ExchangeBytes ({ pipelined }, 50, 1000).size ());
  Counts after = ReadCounts (node, "callers");
  EXPECT_EQ (after.received[kUnknown] - before.received[kUnknown], sent);
  EXPECT_EQ (after.sent[kUnknown] - before.sent[kUnknown], received);
}

// Guards against views counted at the distance of another node.
TEST_F (TrafficTest, ViewsAndUpdatesAreCountedByDistance)
{
  NodeProcess &east_a = AddNode ("east-a");
  NodeProcess &east_b = AddNode ("east-b");
  NodeProcess &west = AddNode ("west-a");
  ASSERT_TRUE (WaitUntil (5000, [&] {
    Counts views = ReadCounts (east_a, "views");
    return views.sent[kRegion] > 0 && views.received[kRegion] > 0 && views.sent[kRemote] > 0
           && views.received[kRemote] > 0 && ReadCounts (west, "views").received[kRemote] > 0;
  }));
  for (NodeProcess *node : { &east_a, &east_b, &west })
    {
      Counts views = ReadCounts (*node, "views");
      EXPECT_EQ (views.sent[kZone] + views.received[kZone], 0);
    }
  EXPECT_EQ (ReadCounts (west, "views").sent[kRegion], 0);
  ASSERT_TRUE (WaitUntil (5000, [&] { return store_.watches () > 0; }));
  store_.Put ("evacuations", "east-b", "{}");
  EXPECT_TRUE (WaitUntil (5000, [&] {
    long sent = 0;
    long received = 0;
    for (NodeProcess *node : { &east_a, &east_b, &west })
      {
        Counts updates = ReadCounts (*node, "updates");
        sent += updates.sent[kRegion] + updates.sent[kRemote];
        received += updates.received[kRegion] + updates.received[kRemote];
      }
    return sent > 0 && received > 0;
  }));
}

// A node that the store rejects fetches its objects from the other. The node that is called doesn't
// know the caller's zone.
TEST_F (TrafficTest, FetchedObjectsAreCounted)
{
  FakeStore refusing;
  refusing.SetMode (FakeStore::Mode::kUnavailable);
  NodeProcess &east = AddNode ("east-a");
  NodeProcess west ("vm-2", "west-a", refusing.address (), 2);
  store_.Put ("nodes", "vm-2", "{\"address\":\"" + west.peer () + "\",\"zone\":\"west-a\"}");
  ASSERT_TRUE (west.WaitReady (5000));
  EXPECT_TRUE (WaitUntil (3000, [&] {
    Counts fetched = ReadCounts (west, "fetches");
    Counts served = ReadCounts (east, "fetches");
    return fetched.received[kRemote] > static_cast<long> (Configuration (7).size ())
           && fetched.received[kRemote] == served.sent[kUnknown]
           && fetched.sent[kRemote] == served.received[kUnknown];
  }));
}

// Both ends of a relayed request count it, so that neither region's bytes are missing.
TEST_F (TrafficTest, RelayedRequestsAreCountedOnBothNodes)
{
  NodeProcess &west = AddNode ("west-a");
  NodeProcess &east = AddNode ("east-a");
  ASSERT_TRUE (WaitUntil (
      5000, [&] { return east.Log ().find ("event=peer_heard peer=vm-1") != std::string::npos; }));
  std::this_thread::sleep_for (1s); // longer than the period of the relay selection
  AddUpstream ("west-a");
  ASSERT_TRUE (WaitUntil (5000, [&] {
    std::this_thread::sleep_for (100ms);
    return IsServed (east) && ReadCounts (east, "relays").received[kRemote] > 0;
  })) << ReadCounts (east, "upstreams").sent[kRemote];
  Counts relays = ReadCounts (east, "relays");
  Counts relayed = ReadCounts (west, "relayed");
  EXPECT_EQ (relays.sent, relayed.received);
  EXPECT_EQ (relays.received, relayed.sent);
  EXPECT_EQ (ReadCounts (west, "upstreams").sent[kZone], requested_);
  EXPECT_EQ (ReadCounts (west, "upstreams").received[kZone], responded_);
}

TEST_F (TrafficTest, StoreProbesAndLookupsAreCounted)
{
  NodeProcess &node = AddNode ("east-a");
  node.Lookup ("east");
  for (const char *purpose : { "store", "probes", "lookups" })
    {
      Counts counts = ReadCounts (node, purpose);
      EXPECT_GT (counts.sent[kUnknown], 0) << purpose;
      EXPECT_GT (counts.received[kUnknown], 0) << purpose;
    }
  std::string metrics = node.Status ("/metrics").body;
  EXPECT_NE (metrics.find ("cardamom_node_traffic_bytes_total{purpose=\"lookups\",distance="
                           "\"unknown\",direction=\"sent\"} "),
             std::string::npos);
  EXPECT_TRUE (WaitUntil (
      3000, [&] { return node.Log ().find ("event=traffic period_ms=") != std::string::npos; }));
}
