// Nodes while the platform's store returns from an older copy: its revisions go back and are given
// out again.
#include "store_nodes.h"

#include <csignal>

using namespace std::chrono_literals;

namespace
{
constexpr int kUpstreams = 6;
constexpr int kApplyMs = 2500;   // a change is in force after this
constexpr int kCatchUpMs = 4000; // nodes are right again after this
constexpr int kLostChanges = 30;
constexpr int kRequests = 40; // to each node

// Two nodes, one a region, and upstreams in the region of the first.
class Restore : public StoreNodes
{
protected:
  void
  SetUp () override
  {
    Configure (7);
    StartUpstreams (kUpstreams);
    RegisterAll ();
    StartNode ("east-a");
    StartNode ("west-a");
    for (const auto &node : nodes_)
      ASSERT_TRUE (node->WaitReady (5000)) << node->Log ();
    // Both watch the store then.
    ASSERT_TRUE (WaitUntil (4000, [&] { return store_.watches () == 8; }));
  }

  NodeProcess &
  StartNode (const std::string &zone)
  {
    return StoreNodes::StartNode (zone, store_.address ());
  }

  void
  Register (int upstream, const std::string &state = "ready", const std::string &more = "")
  {
    store_.Put ("servers", upstreams_[upstream]->id (),
                upstreams_[upstream]->Record ("desk", "east-a", state, more));
  }

  void
  RegisterAll ()
  {
    for (int i = 0; i < kUpstreams; i++)
      Register (i);
  }

  // Changes that concern nobody.
  void
  MakeChanges (int count)
  {
    for (int i = 0; i < count; i++)
      store_.Put ("servers", "filler",
                  "{\"service\":\"other\",\"change\":" + std::to_string (i) + "}");
  }

  // The store is away for a moment and returns from the copy; `rewrite` runs before it answers.
  void
  ReturnFromCopy (const std::function<void ()> &rewrite = [] {})
  {
    store_.SetMode (FakeStore::Mode::kClose);
    std::this_thread::sleep_for (800ms);
    store_.Restore ();
    rewrite ();
    store_.SetMode (FakeStore::Mode::kUp);
  }

  // A configuration and all registrations are lost and written again.
  void
  LoseChanges ()
  {
    store_.TakeCopy ();
    MakeChanges (kLostChanges);
    Configure (8);
    RegisterAll ();
    std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
    ReturnFromCopy ([&] {
      Configure (8);
      RegisterAll ();
    });
    std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  }

  bool
  Serves (NodeProcess &node, const std::string &path)
  {
    return Status (node, path) == 200;
  }

  // Whether all nodes serve the path in time.
  bool
  AllServe (const std::string &path, int timeout_ms)
  {
    return WaitUntil (timeout_ms, [&] {
      for (const auto &node : nodes_)
        if (!Serves (*node, path))
          return false;
      return true;
    });
  }

  // Requests that upstreams `first` to `last` get of some that are sent to each node.
  int
  Arrivals (int first, int last)
  {
    return StoreNodes::Arrivals (first, last, kRequests);
  }
};
}

// Guards against a change that is taken for an earlier one because its revision was given out
// before.
TEST_F (Restore, NextConfigurationIsInForceInTime)
{
  LoseChanges ();
  Configure (9, Route ("nine"));
  EXPECT_TRUE (AllServe ("/nine/a", kApplyMs)) << Logs ();
}

TEST_F (Restore, UpstreamsThatLeaveGetNoNewRequests)
{
  LoseChanges ();
  Register (0, "draining");
  Register (1, "draining");
  store_.Delete ("servers", upstreams_[2]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_EQ (Arrivals (0, 2), 0) << Logs ();
}

// A configuration that the copy lacks stays in force, also at a node that starts before it is
// written again.
TEST_F (Restore, ConfigurationThatTheCopyLacksStaysInForce)
{
  store_.TakeCopy ();
  Configure (8, Route ("eight"));
  ASSERT_TRUE (AllServe ("/eight/a", kApplyMs));
  ReturnFromCopy ();
  ASSERT_TRUE (StartNode ("east-b").WaitReady (5000));
  EXPECT_TRUE (AllServe ("/eight/a", kApplyMs)) << Logs ();
  int end_ms = NowMs () + kCatchUpMs;
  while (NowMs () < end_ms)
    ASSERT_TRUE (AllServe ("/eight/a", 0)) << Logs ();
  Configure (9, Route ("nine"));
  EXPECT_TRUE (AllServe ("/nine/a", kApplyMs)) << Logs ();
  EXPECT_EQ (Status (*nodes_.front (), "/eight/a"), 404);
}

// A configuration that is too large for a message between nodes, which the store no longer has.
TEST_F (Restore, LargeConfigurationThatTheCopyLacksReachesANodeThatStarts)
{
  std::string routes = Route ("eight");
  for (int i = 0; i < 400; i++)
    routes += Route ("filler" + std::to_string (i));
  store_.TakeCopy ();
  Configure (8, routes);
  ASSERT_TRUE (AllServe ("/eight/a", kApplyMs));
  ReturnFromCopy ();
  ASSERT_TRUE (StartNode ("east-b").WaitReady (5000));
  EXPECT_TRUE (AllServe ("/eight/a", kCatchUpMs)) << Logs ();
}

TEST_F (Restore, EvacuationThatTheCopyLacksStaysInForce)
{
  FakeUpstream other ("other");
  store_.Put ("servers", other.id (), other.Record ("desk", "west-a"));
  store_.TakeCopy ();
  store_.Put ("evacuations", "east-a", "{}");
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  ReturnFromCopy ();
  EXPECT_EQ (Arrivals (0, kUpstreams - 1), 0) << Logs ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_EQ (Arrivals (0, kUpstreams - 1), 0) << Logs ();
  store_.Put ("evacuations", "east-a", "{}");
  std::this_thread::sleep_for (200ms);
  store_.Delete ("evacuations", "east-a");
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_GT (Arrivals (0, kUpstreams - 1), 0) << Logs ();
}

// The copy shows upstreams as ready that have reported that they drain, or have left, since.
TEST_F (Restore, UpstreamsThatHadLeftAreNotUsedAgain)
{
  store_.TakeCopy ();
  Register (0, "draining");
  store_.Delete ("servers", upstreams_[1]->id ());
  Register (2, "draining");
  store_.Delete ("servers", upstreams_[2]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  ReturnFromCopy ();
  EXPECT_EQ (Arrivals (0, 2), 0) << Logs ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_EQ (Arrivals (0, 2), 0) << Logs ();
}

// An upstream that starts anew under its id after the return is used again.
TEST_F (Restore, NewIncarnationOfAnUpstreamThatHadLeftIsUsed)
{
  Register (0, "ready", ",\"born\":1000");
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  store_.TakeCopy ();
  MakeChanges (kLostChanges);
  Register (0, "draining", ",\"born\":1000");
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  ReturnFromCopy ([&] { Register (0, "ready", ",\"born\":2000"); });
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_GT (Arrivals (0, 0), 0) << Logs ();
}

// An upstream that registered after the copy was taken is kept for the two seconds in which it may
// register again, and is gone after them.
TEST_F (Restore, UpstreamThatTheCopyLacksIsKeptForAGracePeriod)
{
  store_.TakeCopy ();
  FakeUpstream silent ("silent");
  FakeUpstream renewed ("renewed");
  store_.Put ("servers", silent.id (), silent.Record ("desk", "east-a"));
  store_.Put ("servers", renewed.id (), renewed.Record ("desk", "east-a"));
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  auto is_known = [&] (const FakeUpstream &upstream) {
    return nodes_[0]->Status ("/state").body.find ("upstream=" + upstream.id () + " ")
           != std::string::npos;
  };
  ASSERT_TRUE (is_known (silent) && is_known (renewed));
  ReturnFromCopy ();
  std::this_thread::sleep_for (1000ms);
  EXPECT_TRUE (is_known (silent)) << Logs ();
  EXPECT_TRUE (is_known (renewed)) << Logs ();
  store_.Put ("servers", renewed.id (), renewed.Record ("desk", "east-a"));
  EXPECT_TRUE (WaitUntil (kCatchUpMs, [&] { return !is_known (silent); })) << Logs ();
  EXPECT_TRUE (is_known (renewed)) << Logs ();
}

// Each node writes its own object again if the copy lacks it, once.
TEST_F (Restore, NodesWriteTheirObjectsAgain)
{
  for (const char *vm : { "vm-1", "vm-2" })
    store_.Delete ("nodes", vm);
  store_.TakeCopy ();
  for (const auto &node : nodes_)
    {
      node->Signal (SIGKILL);
      node->WaitExit (2000);
      node->Start ();
    }
  for (const auto &node : nodes_)
    ASSERT_TRUE (node->WaitReady (5000));
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  int writes = store_.writes ();
  ReturnFromCopy ();
  EXPECT_TRUE (WaitUntil (kCatchUpMs, [&] {
    return !store_.Text ("nodes", "vm-1").empty () && !store_.Text ("nodes", "vm-2").empty ();
  })) << Logs ();
  std::this_thread::sleep_for (2000ms);
  EXPECT_EQ (store_.writes () - writes, 2) << Logs ();
}

// A node that was frozen while the store returned neither brings the earlier state back nor
// ignores the new one.
TEST_F (Restore, FrozenNodeCatchesUp)
{
  store_.TakeCopy ();
  MakeChanges (kLostChanges);
  Configure (8, Route ("eight"));
  RegisterAll ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  nodes_[0]->Signal (SIGSTOP);
  ReturnFromCopy ([&] {
    Configure (8, Route ("eight"));
    RegisterAll ();
  });
  Configure (9, Route ("nine"));
  Register (0, "draining");
  store_.Delete ("servers", upstreams_[1]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  nodes_[0]->Signal (SIGCONT);
  EXPECT_TRUE (AllServe ("/nine/a", kCatchUpMs)) << Logs ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_EQ (Arrivals (0, 1), 0) << Logs ();
  for (const auto &node : nodes_)
    EXPECT_EQ (Status (*node, "/eight/a"), 404);
}

TEST_F (Restore, TwoReturnsInSeries)
{
  LoseChanges ();
  store_.TakeCopy ();
  MakeChanges (kLostChanges);
  Configure (9, Route ("nine"));
  Register (0, "draining");
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  ASSERT_TRUE (AllServe ("/nine/a", 0));
  ReturnFromCopy ();
  std::this_thread::sleep_for (300ms);
  ReturnFromCopy ();
  EXPECT_TRUE (AllServe ("/nine/a", 0)) << Logs ();
  Configure (10, Route ("ten"));
  Register (1, "draining");
  EXPECT_TRUE (AllServe ("/ten/a", kCatchUpMs)) << Logs ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_EQ (Arrivals (0, 1), 0) << Logs ();
}

// A node that starts before the store has the upstreams' reports again hears the store first, and
// its peers keep values that lie before the newest change that it knows.
TEST_F (Restore, NodeThatStartsDoesNotUseUpstreamsThatHadLeft)
{
  store_.TakeCopy ();
  Register (0, "draining");
  store_.Delete ("servers", upstreams_[1]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  ReturnFromCopy ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  ASSERT_TRUE (StartNode ("east-b").WaitReady (5000));
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_EQ (Arrivals (0, 1), 0) << Logs ();
}

// An evacuation that was lost, written again and ended, which a node learns late, stays ended.
TEST_F (Restore, EvacuationThatEndedBeforeTheNextListEnds)
{
  FakeUpstream other ("other");
  store_.Put ("servers", other.id (), other.Record ("desk", "west-a"));
  store_.TakeCopy ();
  store_.Put ("evacuations", "east-a", "{}");
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  for (const auto &node : nodes_)
    node->Signal (SIGSTOP);
  ReturnFromCopy ();
  store_.Put ("evacuations", "east-a", "{}");
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  store_.Delete ("evacuations", "east-a");
  for (const auto &node : nodes_)
    node->Signal (SIGCONT);
  std::this_thread::sleep_for (std::chrono::milliseconds (2 * kCatchUpMs));
  EXPECT_GT (Arrivals (0, kUpstreams - 1), 0) << Logs ();
}

// A list that may be stale is of the copy's time or before the return, whatever the header says.
TEST_F (Restore, StaleListOfTheEarlierEraDoesNotHideLaterChanges)
{
  store_.TakeCopy ();
  MakeChanges (kLostChanges);
  RegisterAll ();
  store_.FreezeStaleLists ();
  ReturnFromCopy ();
  ASSERT_TRUE (StartNode ("east-b").WaitReady (5000));
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  Register (0, "draining");
  store_.Delete ("servers", upstreams_[1]->id ());
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_EQ (Arrivals (0, 1), 0) << Logs ();
}

// An upstream that the first copy lacks and that registers after the second return lives.
TEST_F (Restore, UpstreamThatACopyLackedIsUsedAfterTheNextReturn)
{
  FakeUpstream late ("late");
  auto put = [&] { store_.Put ("servers", late.id (), late.Record ("desk", "east-a")); };
  auto is_known = [&] (const std::unique_ptr<NodeProcess> &node) {
    return node->Status ("/state").body.find ("upstream=late ") != std::string::npos;
  };
  store_.TakeCopy ();
  put ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  ASSERT_TRUE (is_known (nodes_[0]) && is_known (nodes_[1])) << Logs ();
  ReturnFromCopy ([&] { MakeChanges (kLostChanges); });
  std::this_thread::sleep_for (1000ms);
  ReturnFromCopy (put);
  std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
  EXPECT_TRUE (is_known (nodes_[0]) && is_known (nodes_[1])) << Logs ();
}

// Guards against watches that are replaced every second, as they never reach a revision that only
// the store before its return had.
TEST_F (Restore, WatchesWithoutAnEraAreNotReplacedForGood)
{
  store_.SetEra ("");
  store_.TakeCopy ();
  MakeChanges (kLostChanges);
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  ReturnFromCopy ();
  std::this_thread::sleep_for (std::chrono::milliseconds (3 * kCatchUpMs));
  for (const char *kind : { "config", "servers", "nodes" })
    {
      int before = store_.immediate_watches (kind);
      std::this_thread::sleep_for (std::chrono::milliseconds (kCatchUpMs));
      EXPECT_EQ (store_.immediate_watches (kind), before) << kind;
    }
}

// Without a header that can be read, nodes work as they do with a store that never returns.
class StoreEra : public Restore, public testing::WithParamInterface<const char *>
{
};

TEST_P (StoreEra, UnusableHeaderLosesNothing)
{
  store_.SetEra (GetParam ());
  std::this_thread::sleep_for (1000ms);
  Configure (8, Route ("eight"));
  Register (0, "draining");
  EXPECT_TRUE (AllServe ("/eight/a", kApplyMs)) << Logs ();
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  EXPECT_EQ (Arrivals (0, 0), 0) << Logs ();
  for (const auto &node : nodes_)
    {
      EXPECT_NE (node->Log ().find ("event=store_era_"), std::string::npos) << node->Log ();
      EXPECT_EQ (node->Metric ("cardamom_node_store_restores_total"), 0);
    }
  store_.SetEra ("2");
  std::this_thread::sleep_for (1000ms);
  Configure (9, Route ("nine"));
  EXPECT_TRUE (AllServe ("/nine/a", kApplyMs)) << Logs ();
}

INSTANTIATE_TEST_SUITE_P (Headers, StoreEra, testing::Values ("", "one", "-1", "1.5", "0"));
