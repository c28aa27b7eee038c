// What upstreams say in their answers about new work, around real node processes.
#include <glib.h>

#include "fakes.h"

extern "C"
{
#include "adv.h"
}

#include <algorithm>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace
{
Headers
WithId (const std::string &id)
{
  return { { "X-Request-Id", id }, { "X-Deadline-Ms", "4000" } };
}

// Two upstreams and a node; requests without an object go to either.
class Advice : public ::testing::Test
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

  // Requests until an upstream got one more.
  void
  Reach (NodeProcess &node, const FakeUpstream &upstream)
  {
    int before = upstream.arrivals ();
    for (int i = 0; i < 200 && upstream.arrivals () == before; i++)
      Get (node, "reach" + std::to_string (i));
    ASSERT_GT (upstream.arrivals (), before);
  }

  // The second one leaves, so that requests go to the first or nowhere.
  void
  OnlyFirst ()
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
  SaysThatItLeaves (const FakeUpstream &upstream)
  {
    return [&upstream] (int fd, const Request &request) {
      std::string whole = upstream.Whole (request, "ok");
      size_t at = whole.find ("\r\n") + 2;
      WriteAll (fd, whole.insert (at, "Server-Leaving: 1\r\n"));
    };
  }

  static FakeUpstream::Behaviour
  TurnsAway (const std::string &retry_after)
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

TEST (Adv, PausesAreReadInSecondsAndBounded)
{
  EXPECT_EQ (adv_pause_ms ("2"), 2000u);
  EXPECT_EQ (adv_pause_ms ("0.25"), 250u);
  EXPECT_EQ (adv_pause_ms ("1e9"), ADV_PAUSE_MAX_MS);
  for (const char *text :
       { "", "0", "-1", "soon", "2 s", "nan", "inf", "Sat, 05 Dec 2026 00:00:00 GMT" })
    EXPECT_EQ (adv_pause_ms (text), 0u) << text;
}

// The store is silent, so nothing but the answer tells it.
TEST_F (Advice, AnUpstreamThatSaysThatItLeavesGetsNoNewWork)
{
  Start ();
  store_.SetMode (FakeStore::Mode::kSilent);
  first_.SetBehaviour (SaysThatItLeaves (first_));
  Reach (*nodes_[0], first_);
  int before = first_.arrivals ();
  Send (*nodes_[0], 60);
  EXPECT_EQ (first_.arrivals (), before);
}

TEST_F (Advice, PeersHearThatAnUpstreamLeaves)
{
  Start (2);
  Reach (*nodes_[1], first_);
  first_.SetBehaviour (SaysThatItLeaves (first_));
  Reach (*nodes_[0], first_);
  ASSERT_TRUE (WaitUntil (2000, [&] {
    return nodes_[1]->Log ().find ("event=upstream_leaves upstream=up-1 told_by=peer")
           != std::string::npos;
  }));
  int before = first_.arrivals ();
  Send (*nodes_[1], 60);
  EXPECT_EQ (first_.arrivals (), before);
}

// The platform goes on to list it as ready; only a new incarnation is another upstream.
TEST_F (Advice, OnlyANewIncarnationOfALeavingUpstreamGetsWorkAgain)
{
  Start ();
  first_.SetBehaviour (SaysThatItLeaves (first_));
  Reach (*nodes_[0], first_);
  store_.Put ("servers", first_.id (),
              first_.Record ("desk", "east-a", "ready", ",\"cold-left-s\":0.01"));
  std::this_thread::sleep_for (500ms);
  int before = first_.arrivals ();
  Send (*nodes_[0], 40);
  EXPECT_EQ (first_.arrivals (), before);
  first_.SetBehaviour (
      [&] (int fd, const Request &request) { WriteAll (fd, first_.Whole (request, "ok")); });
  store_.Put ("servers", first_.id (),
              first_.Record ("desk", "east-a", "ready", ",\"born\":1900000000000"));
  OnlyFirst ();
  Reach (*nodes_[0], first_);
}

TEST_F (Advice, AnUpstreamThatNamesATimeGetsNothingBeforeIt)
{
  Start ();
  OnlyFirst ();
  first_.SetBehaviour (TurnsAway ("2.0"));
  Reach (*nodes_[0], first_);
  int told_ms = NowMs ();
  int before = first_.arrivals ();
  while (NowMs () - told_ms < 1800)
    {
      Get (*nodes_[0], "meanwhile");
      std::this_thread::sleep_for (20ms);
    }
  EXPECT_LE (first_.arrivals () - before, 2);
  first_.SetBehaviour (
      [&] (int fd, const Request &request) { WriteAll (fd, first_.Whole (request, "ok")); });
  std::this_thread::sleep_for (400ms);
  Reach (*nodes_[0], first_);
}

TEST_F (Advice, ATimeThatCannotBeReadIsLoggedAndPassedOver)
{
  Start ();
  OnlyFirst ();
  first_.SetBehaviour (TurnsAway ("soon"));
  Reach (*nodes_[0], first_);
  std::this_thread::sleep_for (300ms);
  Reach (*nodes_[0], first_);
  EXPECT_NE (nodes_[0]->Log ().find ("event=pause_not_understood upstream=up-1"),
             std::string::npos);
}

// What cannot be served is refused at once, with the time from which it can be.
TEST_F (Advice, WhenAllUpstreamsPauseCallersAreToldTheSoonestTime)
{
  Start ();
  first_.SetBehaviour (TurnsAway ("1.2"));
  second_.SetBehaviour (TurnsAway ("30"));
  Reach (*nodes_[0], first_);
  Get (*nodes_[0], "both");
  Reply reply = Get (*nodes_[0], "refused");
  EXPECT_EQ (reply.status, 503);
  EXPECT_LT (reply.took_ms, 60);
  double back_s = std::stod (reply.headers["retry-after"]);
  EXPECT_GE (back_s, 0.8);
  EXPECT_LE (back_s, 4.0 / 3);
}

TEST_F (Advice, WhenAllUpstreamsLeaveCallersAreRefusedAtOnce)
{
  Start ();
  first_.SetBehaviour (SaysThatItLeaves (first_));
  second_.SetBehaviour (SaysThatItLeaves (second_));
  Reach (*nodes_[0], first_);
  Get (*nodes_[0], "other");
  Reply reply = Get (*nodes_[0], "refused");
  EXPECT_EQ (reply.status, 503);
  EXPECT_LT (reply.took_ms, 60);
}
