// Nodes in two regions while single calls to the platform's store lose their responses, or get them
// late or from different moments.
#include "store_nodes.h"

#include <csignal>

using namespace std::chrono_literals;

namespace
{
constexpr int kUpstreams = 2;
constexpr int kApplyMs = 2500;   // a change is in force after this
constexpr int kCatchUpMs = 4000; // a node that started is right after this
constexpr int kRequests = 4;     // to each node

// Three nodes, each with its own address of the store: two in region east, one in region west.
class LateChanges : public StoreNodes
{
protected:
  void
  SetUp () override
  {
    Configure (7);
    StartUpstreams (kUpstreams);
    for (int i = 0; i < kUpstreams; i++)
      Register (i);
    for (const char *zone : { "east-a", "east-b", "west-a" })
      StartNode (zone);
    for (const auto &node : nodes_)
      ASSERT_TRUE (node->WaitReady (5000)) << node->Log ();
    // One of each region watches; a watch that ended on the way there may still wait.
    ASSERT_TRUE (WaitUntil (6000, [&] { return store_.watches () >= 8; }));
  }

  NodeProcess &
  StartNode (const std::string &zone)
  {
    addresses_.push_back (store_.AddAddress ());
    return StoreNodes::StartNode (zone, addresses_.back ());
  }

  void
  Register (int upstream, const std::string &state = "ready", int sequence = 1, int born = 1000)
  {
    std::string record = upstreams_[upstream]->Record ("desk", "east-a", state,
                                                       ",\"born\":" + std::to_string (born));
    size_t at = record.find ("\"seq\":");
    store_.Put ("servers", upstreams_[upstream]->id (),
                record.substr (0, at) + "\"seq\":" + std::to_string (sequence) + "}");
  }

  // Requests that upstreams `first` to `last` get of some that are sent to each node.
  int
  Arrivals (int first, int last)
  {
    return StoreNodes::Arrivals (first, last, kRequests);
  }

  // A change that concerns nobody.
  void
  MakeChange ()
  {
    store_.Put ("servers", "filler", "{\"service\":\"other\"}");
  }

  // Makes a change of each kind, and expects all to be in force at all nodes in time.
  void
  ExpectChangesInTime (const std::string &what)
  {
    store_.Delete ("servers", upstreams_[1]->id ());
    Register (0, "draining", 2);
    Configure (8, Route ("eight"));
    std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
    for (const auto &node : nodes_)
      EXPECT_NE (Status (*node, "/eight/a"), 404) << what << "\n" << node->Log ();
    EXPECT_EQ (Arrivals (0, 1), 0) << what << "\n" << Logs ();
  }

  std::vector<std::string> addresses_;
};

struct Silence
{
  const char *name;
  std::set<std::string> kinds;
  std::set<int> nodes;
  bool lasts; // later watches of these nodes are silent too
};

class SilentNode : public LateChanges, public testing::WithParamInterface<Silence>
{
};
}

// Guards against a node whose watches are silent and that hears nothing of the changes from the
// watching node of another region, and against a follower of such a node.
TEST_P (SilentNode, ChangesAreInForceInTime)
{
  Silence silence = GetParam ();
  std::set<std::string> addresses;
  for (int node : silence.nodes)
    addresses.insert (addresses_[node]);
  store_.SetHandler ([=] (const FakeStore::Read &read) {
    FakeStore::Handling handling;
    handling.lost = silence.lasts && read.is_watch && silence.kinds.count (read.kind) > 0
                    && addresses.count (read.address) > 0;
    return handling;
  });
  for (const std::string &kind : silence.kinds)
    for (const std::string &address : addresses)
      store_.SilenceWatches (kind, address);
  ExpectChangesInTime ("");
}

INSTANTIATE_TEST_SUITE_P (
    Regions, SilentNode,
    testing::Values (
        Silence{ "east_registrations", { "servers" }, { 0, 1 }, true },
        Silence{ "west_all", { "config", "servers", "nodes", "evacuations" }, { 2 }, true }),
    [] (const auto &info) { return info.param.name; });

// Guards against a list of several pages, after the store has dropped its history, that waits for a
// page without a response for too long.
TEST_F (LateChanges, LostPageDoesNotDelayChanges)
{
  auto pages = std::make_shared<std::map<std::string, int>> ();
  auto lost = std::make_shared<std::atomic<int>> (0);
  store_.SetPageSize (1);
  store_.SetHandler ([=] (const FakeStore::Read &read) {
    FakeStore::Handling handling;
    handling.lost = !read.is_watch && ++(*pages)[read.kind + read.address] == 2;
    *lost += handling.lost;
    return handling;
  });
  store_.Put ("other", "name", "{}");
  store_.ForgetHistory ();
  std::this_thread::sleep_for (100ms);
  ExpectChangesInTime ("");
  EXPECT_GT (*lost, 0);
}

// Guards against a configuration of an era that is over, which is put in force when it has been
// read in steps.
TEST_F (LateChanges, TwoReturnsWhileALargeConfigurationIsRead)
{
  std::string routes;
  for (int i = 0; i < 2500; i++)
    routes += Route ("filler" + std::to_string (i));
  store_.TakeCopy ();
  for (int version = 8; version < 10; version++)
    {
      Configure (version, routes + Route ("eight"));
      std::this_thread::sleep_for (60ms);
      store_.Restore ();
    }
  Configure (10, routes + Route ("ten"));
  Register (0, "draining", 2);
  Register (1, "draining", 2);
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  for (const auto &node : nodes_)
    {
      EXPECT_NE (Status (*node, "/ten/a"), 404) << node->Log ();
      EXPECT_EQ (Status (*node, "/eight/a"), 404) << node->Log ();
    }
  EXPECT_EQ (Arrivals (0, 1), 0) << Logs ();
}

// Guards against pages that may be stale and are of different moments: the changes between them
// must not be taken for known.
TEST_F (LateChanges, LaterPageThatIsOlderHidesNoChange)
{
  nodes_.clear ();
  addresses_.clear ();
  store_.SetPageSize (1);
  store_.FreezeStaleLists ();
  store_.ServeStaleLists (false);
  Register (0, "draining", 2);
  Register (1, "draining", 2);
  auto continued = std::make_shared<std::atomic<bool>> (false);
  store_.SetHandler ([=] (const FakeStore::Read &read) {
    FakeStore::Handling handling;
    if (read.kind == "servers" && read.continues_list)
      {
        *continued = true;
        handling.wait_ms = 200;
      }
    return handling;
  });
  StartNode ("east-a");
  ASSERT_TRUE (WaitUntil (4000, [&] { return continued->load (); }));
  store_.ServeStaleLists (true);
  ASSERT_TRUE (nodes_[0]->WaitReady (5000));
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_EQ (Arrivals (0, 1), 0) << Logs ();
}

// Guards against a registration of before an upstream's report that it drains, whose write the
// store executes right after that of the report: a watch tells of both together.
TEST_F (LateChanges, LateWriteDoesNotHideThatAnUpstreamDrains)
{
  Register (0, "ready", 5);
  Register (1, "draining", 5);
  std::this_thread::sleep_for (1000ms);
  MakeChange ();
  std::this_thread::sleep_for (30ms);
  Register (0, "draining", 6);
  Register (0, "ready", 5);
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_EQ (Arrivals (0, 0), 0) << Logs ();
  // Its list shows the late write alone.
  ASSERT_TRUE (StartNode ("east-a").WaitReady (5000));
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_EQ (Arrivals (0, 0), 0) << Logs ();
}

// Guards against a late write that registers again an upstream that drained and left.
TEST_F (LateChanges, LateWriteDoesNotBringBackAnUpstreamThatLeft)
{
  Register (0, "draining", 6);
  Register (1, "draining", 6);
  std::this_thread::sleep_for (1000ms);
  store_.Delete ("servers", upstreams_[0]->id ());
  std::this_thread::sleep_for (300ms);
  Register (0, "ready", 5);
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_EQ (Arrivals (0, 0), 0) << Logs ();
}

// Guards against two writes of an upstream under the same number, of which the one that says that
// it drains is the first.
TEST_F (LateChanges, ReadyUnderTheNumberOfTheReportDoesNotHideThatAnUpstreamDrains)
{
  Register (0, "draining", 6);
  Register (1, "draining", 6);
  std::this_thread::sleep_for (300ms);
  Register (0, "ready", 6);
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_EQ (Arrivals (0, 0), 0) << Logs ();
}
