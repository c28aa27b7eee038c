// Nodes that are frozen, restarted or cut off while the configuration changes and upstreams leave.
#include "fakes.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace
{
constexpr int kApplyMs = 2500;   // a change is in force after this
constexpr int kCatchUpMs = 4000; // a node that was frozen or restarted is right after this
constexpr int kProbePauseMs = 15;

void
Sleep (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

std::string
Route (const std::string &name, const std::string &service)
{
  return ",\"" + name + "\":{\"host\":\"host.example\",\"path-prefix\":\"/" + name
         + "/\",\"kind\":\"idempotent\",\"timeout-s\":8,\"goal-s\":0.5,\"priority\":2,"
           "\"service\":\""
         + service + "\",\"attempts\":2}";
}

struct Probe
{
  int node;
  int sent_ms;
  int done_ms;
  int status;
  std::string kind;
  std::string id;
};

// Nodes vm-1 and vm-2 in the east, vm-3 in the west; all upstreams are in the west. Configuration
// 7 has the routes "moved" to service "desk" and "seven"; 8 has "moved" to "other" and "eight".
class LateNodes : public testing::Test
{
protected:
  void
  SetUp () override
  {
    Configure (7, Route ("moved", "desk") + Route ("seven", "desk"));
    for (int i = 0; i < 3; i++)
      desk_.push_back (std::make_unique<FakeUpstream> ("desk-" + std::to_string (i)));
    other_ = std::make_unique<FakeUpstream> ("other-0");
    for (int i = 0; i < 3; i++)
      Register (i, "ready");
    store_.Put ("servers", other_->id (), other_->Record ("other", "west-a"));
  }

  void
  StartNodes ()
  {
    const char *zones[] = { "east-a", "east-b", "west-a" };
    for (int i = 0; i < 3; i++)
      nodes_.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (i + 1), zones[i],
                                                       store_.address (), i + 1));
    for (const auto &node : nodes_)
      ASSERT_TRUE (node->WaitReady (5000)) << node->Log ();
    // One node of each region watches then.
    ASSERT_TRUE (WaitUntil (8000, [&] { return Watching (0) != Watching (1) && Watching (2); }))
        << nodes_[0]->Status ("/state").body << nodes_[1]->Status ("/state").body;
    // Ends the watches that each node started before it knew the others.
    Sleep (1000);
    store_.Put ("servers", "filler", "{}");
    store_.Put ("config", "filler", "{}");
    Sleep (1000);
  }

  bool
  Watching (int node)
  {
    std::string state = nodes_[node]->Status ("/state").body;
    return state.find (" watch=healthy ") < state.find ('\n');
  }

  // The eastern node that doesn't watch the store.
  int
  Follower ()
  {
    return Watching (0) ? 1 : 0;
  }

  void
  TearDown () override
  {
    StopProbes ();
    for (const auto &node : nodes_)
      node->Signal (SIGCONT);
  }

  void
  Configure (int version, const std::string &routes)
  {
    store_.Put ("config", "main", Configuration (version, routes));
  }

  // Returns the time of the acknowledgement.
  int
  ConfigureNext ()
  {
    Configure (8, Route ("moved", "other") + Route ("eight", "other"));
    return NowMs ();
  }

  void
  Register (int upstream, const std::string &state)
  {
    store_.Put ("servers", desk_[upstream]->id (),
                desk_[upstream]->Record ("desk", "west-a", state));
  }

  // desk-0 drains and desk-1 is removed; returns the time of the acknowledgement.
  int
  Leave ()
  {
    Register (0, "draining");
    store_.Delete ("servers", desk_[1]->id ());
    return NowMs ();
  }

  void
  RestartNode (int i)
  {
    nodes_[i]->Signal (SIGKILL);
    nodes_[i]->WaitExit (2000);
    nodes_[i]->Start ();
  }

  Probe
  Send (int node, const std::string &kind)
  {
    std::string id = "id-" + std::to_string (++requests_);
    Probe probe = { node, NowMs (), 0, 0, kind, id };
    probe.status = nodes_[node]
                       ->Call ("GET", "/" + kind + "/" + id,
                               { { "X-Request-Id", id }, { "X-Deadline-Ms", "6000" } }, "", 6500)
                       .status;
    probe.done_ms = NowMs ();
    return probe;
  }

  void
  StartProbes ()
  {
    probing_ = true;
    for (int i = 0; i < 3; i++)
      for (const char *kind : { "moved", "seven", "eight", "read" })
        threads_.emplace_back ([this, i, kind] {
          while (probing_)
            {
              Probe probe = Send (i, kind);
              {
                std::lock_guard<std::mutex> lock (mutex_);
                probes_.push_back (probe);
              }
              Sleep (kProbePauseMs);
            }
        });
  }

  void
  StopProbes ()
  {
    probing_ = false;
    for (std::thread &thread : threads_)
      thread.join ();
    threads_.clear ();
  }

  int
  Runs (int first, int last, const std::string &id) const
  {
    int runs = 0;
    for (int i = first; i <= last; i++)
      runs += desk_[i]->runs (id);
    return runs;
  }

  // Handled as only configuration 7 allows.
  bool
  IsOld (const Probe &probe) const
  {
    if (probe.kind == "moved")
      return Runs (0, 2, probe.id) > 0;
    if (probe.kind == "seven")
      return Runs (0, 2, probe.id) > 0 || probe.status == 200;
    return probe.kind == "eight" && probe.status == 404;
  }

  // Handled as only configuration 8 allows.
  bool
  IsNew (const Probe &probe) const
  {
    if (probe.kind == "moved")
      return other_->runs (probe.id) > 0;
    if (probe.kind == "seven")
      return probe.status == 404;
    return probe.kind == "eight" && probe.status == 200;
  }

  // Requests sent to the node from `from_ms` on that were handled as by the old configuration.
  int
  CountOld (int node, int from_ms) const
  {
    int count = 0;
    for (const Probe &probe : probes_)
      count += probe.node == node && probe.sent_ms >= from_ms && IsOld (probe);
    return count;
  }

  // Requests sent to the node from `from_ms` on that reached an upstream that had left.
  int
  CountLeft (int node, int from_ms) const
  {
    int count = 0;
    for (const Probe &probe : probes_)
      count += probe.node == node && probe.sent_ms >= from_ms && Runs (0, 1, probe.id) > 0;
    return count;
  }

  // Old requests that were sent after the answer to one handled as by the new configuration, from
  // `start_ms` on.
  int
  CountRegressions (int node, int start_ms = 0) const
  {
    int first_ms = INT32_MAX;
    int count = 0;
    for (const Probe &probe : probes_)
      if (probe.node == node && probe.sent_ms >= start_ms && IsNew (probe))
        first_ms = std::min (first_ms, probe.done_ms);
    for (const Probe &probe : probes_)
      count += probe.node == node && probe.sent_ms > first_ms && IsOld (probe);
    return count;
  }

  int
  CountServed (int node, int from_ms, const std::string &kind) const
  {
    int count = 0;
    for (const Probe &probe : probes_)
      count += probe.node == node && probe.sent_ms >= from_ms && probe.kind == kind
               && probe.status == 200;
    return count;
  }

  void
  ExpectInForce (int node, int from_ms, int back_from_ms = 0)
  {
    EXPECT_EQ (CountOld (node, from_ms), 0) << "vm-" << node + 1;
    EXPECT_EQ (CountLeft (node, from_ms), 0) << nodes_[node]->Log () << "vm-" << node + 1;
    EXPECT_EQ (CountRegressions (node, back_from_ms), 0) << "vm-" << node + 1;
    EXPECT_GT (CountServed (node, from_ms, "eight"), 0) << "vm-" << node + 1;
  }

  FakeStore store_;
  std::vector<std::unique_ptr<FakeUpstream>> desk_;
  std::unique_ptr<FakeUpstream> other_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::atomic<int> requests_{ 0 };
  std::atomic<bool> probing_{ false };
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<Probe> probes_;
};

// Guards against a relay that sends requests on as of before it was frozen.
TEST_F (LateNodes, FrozenRelaySendsNothingByTheOlderState)
{
  StartNodes ();
  StartProbes ();
  Sleep (1500);
  nodes_[2]->Signal (SIGSTOP);
  Sleep (300);
  int ack_ms = ConfigureNext ();
  Leave ();
  Sleep (4500);
  nodes_[2]->Signal (SIGCONT);
  int thaw_ms = NowMs ();
  Sleep (5000);
  StopProbes ();
  ExpectInForce (0, ack_ms + kApplyMs);
  ExpectInForce (1, ack_ms + kApplyMs);
  ExpectInForce (2, thaw_ms + kCatchUpMs);
}

// Guards against a removal that a node never hears of: it was frozen, and the nodes that it follows
// have started since and so never knew the upstream.
TEST_F (LateNodes, RemovalThatPeersNeverKnewReachesAFrozenNode)
{
  StartNodes ();
  int frozen = Follower ();
  nodes_[frozen]->Signal (SIGSTOP);
  Sleep (3300); // it gets no updates after three seconds
  ConfigureNext ();
  Leave ();
  Sleep (500);
  for (int i = 0; i < 3; i++)
    if (i != frozen)
      RestartNode (i);
  Sleep (2500); // both watch the store
  nodes_[frozen]->Signal (SIGCONT);
  int thaw_ms = NowMs ();
  StartProbes ();
  Sleep (7000);
  StopProbes ();
  for (int i = 0; i < 3; i++)
    ExpectInForce (i, thaw_ms + kCatchUpMs, thaw_ms);
}

// Nodes that start while the store is away, and a peer that was frozen over the change. The
// parameter is whether the store returns from a copy without the change.
class RestartedWithoutStore : public LateNodes, public testing::WithParamInterface<bool>
{
};

TEST_P (RestartedWithoutStore, KeepsNothingThatAPeerBehindTaughtIt)
{
  bool restores = GetParam ();
  StartNodes ();
  int behind = Follower ();
  nodes_[behind]->Signal (SIGSTOP);
  Sleep (3300); // it gets no updates after three seconds
  if (restores)
    store_.TakeCopy ();
  ConfigureNext ();
  Leave ();
  Sleep (700);
  store_.SetMode (FakeStore::Mode::kClose);
  RestartNode (1 - behind);
  RestartNode (2);
  nodes_[behind]->Signal (SIGCONT);
  Sleep (1500);
  StartProbes ();
  Sleep (1500);
  if (restores)
    {
      store_.Restore ();
      ConfigureNext ();
      Leave ();
    }
  store_.SetMode (FakeStore::Mode::kUp);
  int back_ms = NowMs ();
  Sleep (7000);
  StopProbes ();
  for (int i = 0; i < 3; i++)
    ExpectInForce (i, back_ms + kCatchUpMs);
}

INSTANTIATE_TEST_SUITE_P (Returns, RestartedWithoutStore, testing::Bool ());

// Guards against a stale list of the history before the store's return that is taken for the newer
// one: its revisions are above those that the store gives out again. The parameter is the number of
// nodes that start anew; the others are in touch all the while.
class StaleListOfEarlierHistory : public LateNodes, public testing::WithParamInterface<int>
{
};

TEST_P (StaleListOfEarlierHistory, HidesNoChange)
{
  StartNodes ();
  store_.TakeCopy ();
  for (int i = 0; i < 40; i++)
    store_.Put ("servers", "filler", "{\"change\":" + std::to_string (i) + "}");
  for (int i = 0; i < 3; i++)
    Register (i, "ready");
  store_.FreezeStaleLists ();
  store_.ServeStaleLists (true);
  store_.SetMode (FakeStore::Mode::kClose);
  Sleep (800);
  store_.Restore ();
  store_.SetMode (FakeStore::Mode::kUp);
  Sleep (1000);
  for (int i = 3 - GetParam (); i < 3; i++)
    RestartNode (i);
  for (const auto &node : nodes_)
    ASSERT_TRUE (node->WaitReady (4000)) << node->Log ();
  Sleep (kCatchUpMs);
  int ack_ms = ConfigureNext ();
  Leave ();
  StartProbes ();
  Sleep (kApplyMs + 1000);
  StopProbes ();
  for (int i = 0; i < 3; i++)
    ExpectInForce (i, ack_ms + kApplyMs);
}

INSTANTIATE_TEST_SUITE_P (Restarts, StaleListOfEarlierHistory, testing::Values (1, 3));

}
