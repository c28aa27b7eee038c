// Nodes while the platform's store returns from an older copy: its revisions go back and are given
// out again.
#include "fakes.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace
{
constexpr int kUpstreams = 6;
constexpr int kApplyMs = 2500;   // a change is in force after this
constexpr int kCatchUpMs = 4000; // nodes are right again after this
constexpr int kLostChanges = 30;

std::string
Route (const std::string &name)
{
  return ",\"" + name + "\":{\"host\":\"host.example\",\"path-prefix\":\"/" + name
         + "/\",\"kind\":\"idempotent\",\"timeout-s\":2,\"goal-s\":0.5,\"priority\":2,"
           "\"service\":\"desk\",\"attempts\":2}";
}

// Two nodes, one a region, and upstreams in the region of the first.
class Restore : public testing::Test
{
protected:
  void
  SetUp () override
  {
    Configure (7);
    for (int i = 0; i < kUpstreams; i++)
      {
        upstreams_.push_back (std::make_unique<FakeUpstream> ("up-" + std::to_string (i)));
        Register (i);
      }
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
    int number = (int) nodes_.size () + 1;
    nodes_.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (number), zone,
                                                     store_.address (), number));
    return *nodes_.back ();
  }

  void
  Configure (int version, const std::string &more_routes = "")
  {
    store_.Put ("config", "main", Configuration (version, more_routes));
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

  int
  Status (NodeProcess &node, const std::string &path)
  {
    std::string id = "id-" + std::to_string (++requests_);
    return node.Call ("GET", path, { { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } }).status;
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
    int before = 0;
    int after = 0;
    for (int i = first; i <= last; i++)
      before += upstreams_[i]->arrivals ();
    for (const auto &node : nodes_)
      for (int i = 0; i < 40; i++)
        Status (*node, "/read/" + std::to_string (i));
    for (int i = first; i <= last; i++)
      after += upstreams_[i]->arrivals ();
    return after - before;
  }

  std::string
  Logs () const
  {
    std::string text;
    for (const auto &node : nodes_)
      text += node->Log () + "\n";
    return text;
  }

  FakeStore store_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  int requests_ = 0;
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
