// Nodes whose watch of one kind of objects gets no response any more, while new connections to the
// platform's store work.
#include "fakes.h"

#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace
{
constexpr int kUpstreams = 4;
constexpr int kApplyMs = 2500; // a change is in force after this

// A node that is alone, so that it watches all kinds.
class Watching : public testing::Test
{
protected:
  void
  SetUp () override
  {
    store_.Put ("config", "main", Configuration (7));
    for (int i = 0; i < kUpstreams; i++)
      {
        upstreams_.push_back (std::make_unique<FakeUpstream> ("up-" + std::to_string (i)));
        Register (i, "ready");
      }
    node_ = std::make_unique<NodeProcess> ("vm-1", "east-a", store_.address ());
    ASSERT_TRUE (node_->WaitReady (5000)) << node_->Log ();
    ASSERT_TRUE (WaitUntil (4000, [&] { return store_.watches () == 4; }));
  }

  void
  Register (int upstream, const std::string &state)
  {
    store_.Put ("servers", upstreams_[upstream]->id (),
                upstreams_[upstream]->Record ("desk", "east-a", state));
  }

  int
  Status (const std::string &path)
  {
    std::string id = "id-" + std::to_string (++requests_);
    return node_->Call ("GET", path, { { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } })
        .status;
  }

  static bool
  Reports (NodeProcess &node, const std::string &watch)
  {
    return node.Status ("/state").body.find (" watch=" + watch + " ") != std::string::npos;
  }

  FakeStore store_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::unique_ptr<NodeProcess> node_;
  int requests_ = 0;
};

class SilentWatch : public Watching, public testing::WithParamInterface<const char *>
{
};
}

// Guards against a watch that is waited for until its timeout, although the store has newer
// revisions than any watch has reported. The parameter is the kind, or two of them.
TEST_P (SilentWatch, ChangesAreInForceInTime)
{
  std::string kinds = GetParam ();
  for (const char *kind : { "config", "servers", "nodes", "evacuations" })
    if (kinds.find (kind) != std::string::npos)
      store_.SilenceWatches (kind);
  Register (0, "draining");
  store_.Delete ("servers", upstreams_[1]->id ());
  store_.Put ("config", "main",
              Configuration (8, R"(,"eight":{"host":"host.example",)"
                                R"("path-prefix":"/eight/","kind":"idempotent",)"
                                R"("timeout-s":2,"goal-s":0.5,"priority":2,)"
                                R"("service":"desk","attempts":2})"));
  std::this_thread::sleep_for (std::chrono::milliseconds (kApplyMs));
  int before = upstreams_[0]->arrivals () + upstreams_[1]->arrivals ();
  for (int i = 0; i < 40; i++)
    Status ("/read/" + std::to_string (i));
  EXPECT_EQ (upstreams_[0]->arrivals () + upstreams_[1]->arrivals () - before, 0) << node_->Log ();
  EXPECT_EQ (Status ("/eight/a"), 200) << node_->Log ();
}

INSTANTIATE_TEST_SUITE_P (Kinds, SilentWatch,
                          testing::Values ("config", "servers", "nodes", "evacuations",
                                           "config evacuations", "servers evacuations",
                                           "config servers nodes evacuations"),
                          [] (const auto &info) {
                            std::string name = info.param;
                            for (char &c : name)
                              c = c == ' ' ? '_' : c;
                            return name;
                          });

// What finds a silent watch costs nothing while the store doesn't change, and at most a call a
// second and kind while other kinds change.
TEST_F (Watching, ChecksOfWatchesAreFew)
{
  constexpr int kSeconds = 4;
  auto checks = [&] { return store_.immediate_watches ("config"); };
  std::this_thread::sleep_for (3000ms); // the node has caught up
  int before = checks ();
  std::this_thread::sleep_for (std::chrono::seconds (kSeconds));
  EXPECT_EQ (checks () - before, 0);
  before = checks ();
  for (int i = 0; i < kSeconds * 10; i++)
    {
      store_.Put ("servers", "other", "{\"change\":" + std::to_string (i) + "}");
      std::this_thread::sleep_for (100ms);
    }
  EXPECT_LE (checks () - before, kSeconds + 1);
  EXPECT_GT (checks () - before, 0);
  EXPECT_EQ (node_->Metric ("cardamom_node_watches_silent_total"), 0);
}

// Guards against a check of a watch that is answered too late each time, after which nobody waits
// for changes any more. Other registrations change meanwhile, so the watch seems to be behind.
TEST_F (Watching, ReceivesChangesFromASlowStore)
{
  constexpr int kHoldMs = 1800; // longer than the timeout of a watch that doesn't wait
  constexpr int kChangePeriodMs = 500;
  ASSERT_TRUE (WaitUntil (4000, [&] { return Reports (*node_, "healthy"); })) << node_->Log ();
  store_.SetHandler ([&] (const FakeStore::Read &) {
    FakeStore::Handling handling;
    handling.hold_ms = kHoldMs;
    return handling;
  });
  std::atomic<bool> stopping{ false };
  std::thread others ([&] {
    for (int i = 0; !stopping; i++)
      {
        store_.Put ("servers", "other", "{\"change\":" + std::to_string (i) + "}");
        std::this_thread::sleep_for (std::chrono::milliseconds (kChangePeriodMs));
      }
  });
  std::this_thread::sleep_for (6000ms);
  store_.Put ("config", "main",
              Configuration (8, R"(,"eight":{"host":"host.example",)"
                                R"("path-prefix":"/eight/","kind":"idempotent",)"
                                R"("timeout-s":2,"goal-s":0.5,"priority":2,)"
                                R"("service":"desk","attempts":2})"));
  EXPECT_TRUE (WaitUntil (8000, [&] { return Status ("/eight/a") == 200; })) << node_->Log ();
  stopping = true;
  others.join ();
}

// Guards against failures of a long watch that count until the next one is answered, though it only
// waits for changes: peers take the node for one that can't watch meanwhile.
TEST_F (Watching, IsReportedSoonAfterAnOutage)
{
  constexpr int kOthers = 3;
  std::vector<std::unique_ptr<NodeProcess>> others;
  for (int i = 0; i < kOthers; i++)
    others.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (i + 2), "east-a",
                                                     store_.address (), i + 2));
  auto any_reports = [&] (const std::string &watch) {
    return Reports (*node_, watch)
           || std::any_of (others.begin (), others.end (),
                           [&] (const auto &other) { return Reports (*other, watch); });
  };
  for (const auto &other : others)
    ASSERT_TRUE (other->WaitReady (5000)) << other->Log ();
  ASSERT_TRUE (WaitUntil (4000, [&] { return any_reports ("healthy"); })) << node_->Log ();
  store_.SetMode (FakeStore::Mode::kClose);
  EXPECT_TRUE (WaitUntil (4000, [&] { return any_reports ("failing"); })) << node_->Log ();
  std::this_thread::sleep_for (4000ms);
  store_.SetMode (FakeStore::Mode::kUp);
  EXPECT_TRUE (WaitUntil (8000, [&] { return !any_reports ("failing"); })) << node_->Log ();
  EXPECT_TRUE (any_reports ("healthy")) << node_->Log ();
}
