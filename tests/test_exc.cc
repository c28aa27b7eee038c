// Exchange between nodes at the sizes of the deployments: time until updates are known, detection
// of dead nodes, number of messages.
#include "fleet.h"

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t kUpdateMaxMs = 1000;
constexpr uint64_t kNoticeMaxMs = 3000;
constexpr uint64_t kStartMs = 6000;
constexpr uint32_t kLossPermille = 10;

class Exchange : public testing::TestWithParam<uint32_t>
{
protected:
  void
  SetUp () override
  {
    fleet_ = std::make_unique<Fleet> (GetParam (), 7 + GetParam (), kLossPermille);
    fleet_->Run (kStartMs);
  }

  std::unique_ptr<Fleet> fleet_;
};

// Quotas of accounts 1 to @accounts on all nodes of a fleet.
class QuotaSet
{
public:
  QuotaSet (Fleet &fleet, uint32_t accounts) : fleet_ (fleet), accounts_ (accounts)
  {
    for (uint32_t i = 0; i < fleet.size (); i++)
      {
        fleet.node (i).per.quotas = New ();
        // The node has counted for longer than a window.
        QuoFleet alone = {};
        alone.known = 1;
        alone.heard = 1;
        quo_set_fleet (fleet.node (i).per.quotas, &alone, fleet.now_ms () - 10000);
      }
  }

  ~QuotaSet ()
  {
    for (uint32_t i = 0; i < fleet_.size (); i++)
      {
        quo_free (fleet_.node (i).per.quotas);
        fleet_.node (i).per.quotas = nullptr;
      }
  }

  void
  Admit (uint32_t node, uint32_t account, uint32_t requests)
  {
    uint32_t retry_after_ms;
    for (uint32_t i = 0; i < requests; i++)
      EXPECT_TRUE (
          quo_admit (fleet_.node (node).per.quotas, account, fleet_.now_ms (), &retry_after_ms));
  }

  void
  Restart (uint32_t node)
  {
    Per *per = &fleet_.node (node).per;
    quo_free (per->quotas);
    per->quotas = New ();
    per->self.incarnation++;
  }

  // A number in the state dump of a node.
  uint32_t
  DumpedValue (uint32_t node, const std::string &key)
  {
    GString *text = g_string_new (nullptr);
    quo_dump (fleet_.node (node).per.quotas, fleet_.now_ms (), text);
    std::string dump (text->str);
    g_string_free (text, TRUE);
    size_t at = dump.find (key);
    return at != std::string::npos ? (uint32_t) atoi (dump.c_str () + at + key.size ()) : 0;
  }

  // Requests of an account within a window, as a node knows them.
  uint32_t
  KnownUse (uint32_t node, uint32_t account)
  {
    GString *text = g_string_new (nullptr);
    quo_dump (fleet_.node (node).per.quotas, fleet_.now_ms (), text);
    std::string dump (text->str);
    g_string_free (text, TRUE);
    char line[32];
    g_snprintf (line, sizeof line, "quota account=%08x", account);
    size_t at = dump.find (line);
    at = at != std::string::npos ? dump.find ("window=", at) : at;
    return at != std::string::npos ? (uint32_t) atoi (dump.c_str () + at + strlen ("window=")) : 0;
  }

private:
  Quo *
  New () const
  {
    QuoBounds bounds = { 5000, 100, 20 };
    Quo *quotas = quo_new (&bounds);
    for (uint32_t account = 1; account <= accounts_; account++)
      quo_set_limit (quotas, account, 20000, 20);
    return quotas;
  }

  Fleet &fleet_;
  uint32_t accounts_;
};

std::string
FormatIndexes (const std::vector<uint32_t> &nodes)
{
  std::string text;
  for (uint32_t node : nodes)
    text += std::to_string (node) + " ";
  return text;
}
}

// With the sanitizers, a test takes ten times as long; all sizes are run only without them.
#ifdef __SANITIZE_ADDRESS__
INSTANTIATE_TEST_SUITE_P (Sizes, Exchange, testing::Values (9, 30));
#else
INSTANTIATE_TEST_SUITE_P (Sizes, Exchange, testing::Values (9, 30, 99, 300));
#endif

// What nodes send at a distance is what others receive at the same one; a message counted at
// another distance would hide what crosses regions. Prints the bytes for docs/CAPACITY.md.
TEST_P (Exchange, TrafficIsCountedAlikeAtBothEnds)
{
  constexpr uint64_t kSeconds = 10;
  Fleet fleet (GetParam (), 7, 0);
  fleet.Run (kStartMs);
  for (uint32_t i = 0; i < fleet.size (); i++)
    fleet.node (i).traffic = {};
  for (uint64_t second = 0; second < kSeconds; second++)
    {
      fleet.ChangeObject ("changed-" + std::to_string (second));
      fleet.Run (1000);
    }
  for (TrfPurpose purpose : { TRF_VIEWS, TRF_SUMMARIES, TRF_UPDATES })
    for (TrfDistance distance : { TRF_ZONE, TRF_REGION, TRF_REMOTE, TRF_UNKNOWN })
      {
        uint64_t sent = 0;
        uint64_t received = 0;
        for (uint32_t i = 0; i < fleet.size (); i++)
          {
            sent += fleet.node (i).traffic.counts[purpose][distance].sent_bytes;
            received += fleet.node (i).traffic.counts[purpose][distance].received_bytes;
          }
        // Messages in transit at the start and at the end differ by little.
        EXPECT_NEAR ((double) sent, (double) received, 0.02 * (double) sent + 2000)
            << trf_purpose_name (purpose) << " " << trf_distance_name (distance);
        if (distance == TRF_UNKNOWN)
          EXPECT_EQ (sent + received, 0u) << trf_purpose_name (purpose);
        else
          printf ("traffic: nodes=%u purpose=%s distance=%s sent_bytes_per_s_and_node=%llu\n",
                  GetParam (), trf_purpose_name (purpose), trf_distance_name (distance),
                  (unsigned long long) (sent / kSeconds / fleet.size ()));
      }
}

TEST_P (Exchange, OneNodePerRegionWatchesTheStore)
{
  std::vector<uint32_t> watchers = fleet_->Watchers ();
  EXPECT_EQ (watchers.size (), Fleet::kRegions) << FormatIndexes (watchers);
}

TEST_P (Exchange, ChangeIsKnownToAllNodesWithinASecond)
{
  for (int i = 0; i < 8; i++)
    {
      uint64_t revision = fleet_->ChangeObject ("up-" + std::to_string (i));
      EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), kUpdateMaxMs) << "change " << i;
      fleet_->Run (130);
    }
}

TEST_P (Exchange, ManyChangesAtOnceAreKnownToAllNodesWithinASecond)
{
  uint64_t revision = 0;
  for (int i = 0; i < 400; i++)
    revision = fleet_->ChangeObject ("up-of-a-large-deployment-" + std::to_string (i));
  EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), kUpdateMaxMs);
}

// The watchers, which are also the first nodes to forward an update, die at the moment of a change.
TEST_P (Exchange, UpdatesArriveWhenTheWatchersDie)
{
  for (uint32_t watcher : fleet_->Watchers ())
    fleet_->node (watcher).alive = false;
  uint64_t revision = fleet_->ChangeObject ("up");
  EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), 2 * kUpdateMaxMs);
}

TEST_P (Exchange, UpdatesArriveWhenATenthOfTheNodesDies)
{
  for (uint32_t i = 0; i < fleet_->size (); i += 10)
    fleet_->node (i).alive = false;
  uint64_t revision = fleet_->ChangeObject ("up");
  EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), 2 * kUpdateMaxMs);
}

TEST_P (Exchange, UpdatesArriveWhenAZoneDies)
{
  for (uint32_t i = 0; i < fleet_->size (); i++)
    if (fleet_->node (i).zone == 0)
      fleet_->node (i).alive = false;
  uint64_t revision = fleet_->ChangeObject ("up");
  EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), 2 * kUpdateMaxMs);
}

TEST_P (Exchange, UpdatesArriveWhenMessagesOfTheWatchersAreLost)
{
  for (uint32_t watcher : fleet_->Watchers ())
    fleet_->node (watcher).drops_outgoing = true;
  uint64_t revision = fleet_->ChangeObject ("up");
  EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), 2 * kUpdateMaxMs);
}

TEST_P (Exchange, UpdatesArriveWhenTheWatchersPause)
{
  for (uint32_t watcher : fleet_->Watchers ())
    fleet_->node (watcher).paused_until_ms = fleet_->now_ms () + 5000;
  uint64_t revision = fleet_->ChangeObject ("up");
  EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), 2 * kUpdateMaxMs);
}

// Only the nodes of one region reach the store.
TEST_P (Exchange, UpdatesArriveWhenOnlyOneRegionReachesTheStore)
{
  for (uint32_t i = 0; i < fleet_->size (); i++)
    fleet_->node (i).cut_from_store = fleet_->node (i).zone % Fleet::kRegions != 0;
  fleet_->Run (1000);
  uint64_t revision = fleet_->ChangeObject ("up");
  EXPECT_LE (fleet_->TimeUntilAllUpdated (revision), 2 * kUpdateMaxMs);
}

TEST_P (Exchange, LiveNodesStayAliveOnAllNodes)
{
  for (int second = 0; second < 5; second++)
    {
      fleet_->Run (1000);
      for (uint32_t i = 0; i < fleet_->size (); i++)
        EXPECT_EQ (per_count (&fleet_->node (i).per, fleet_->now_ms ()), fleet_->size ())
            << "node " << i;
    }
}

// A lookup must not return a node that died more than seven seconds ago.
TEST_P (Exchange, DeadNodesAreDetectedOnAllNodesWithinSixSeconds)
{
  uint32_t dead_count = 0;
  for (uint32_t i = 0; i < fleet_->size (); i++)
    if (i % 3 == 0 || fleet_->node (i).zone == 4)
      {
        fleet_->node (i).alive = false;
        dead_count++;
      }
  fleet_->Run (6000);
  for (uint32_t i = 0; i < fleet_->size (); i++)
    {
      if (!fleet_->node (i).alive)
        continue;
      EXPECT_EQ (per_count (&fleet_->node (i).per, fleet_->now_ms ()), fleet_->size () - dead_count)
          << "node " << i;
    }
}

// A summary of a large zone under load that reaches all its limits fits into a datagram.
TEST (Summary, FitsIntoADatagramAtAllLimits)
{
  Fleet fleet (300, 5, 0);
  fleet.Run (kStartMs);
  Per *per = &fleet.node (0).per;
  for (int i = 0; i < 1500; i++)
    {
      UpsRecord record = {};
      g_snprintf (record.id, sizeof record.id, "upstream-%d", i);
      g_strlcpy (record.service, "desk", sizeof record.service);
      record.slots = 6;
      ups_apply (per->upstreams, &record, 0, fleet.now_ms ());
      Ups *ups = ups_get (per->upstreams, record.id);
      ups->in_flight = 3;
      ups->failures = UPS_DOWN_FAILURES;
      poi_merge (per->poison, (uint64_t) i + 1, 1, fleet.now_ms ());
    }
  QuotaSet quotas (fleet, 600);
  for (uint32_t account = 1; account <= 600; account++)
    quotas.Admit (0, account, 1);
  for (int i = 0; i < 120; i++)
    {
      std::string vm = "edge-of-a-zone-with-a-long-name-" + std::to_string (i);
      peer_member member = per_own_member (per);
      member.vm = const_cast<char *> (vm.c_str ());
      per_apply_member (per, &member, fleet.now_ms (), fleet.now_ms ())->last_view_ms
          = fleet.now_ms ();
    }
  per_update_cells (per, fleet.now_ms ());
  per->rank = 0;
  uint64_t failures = per->send_failures;
  sum_tick (per, fleet.now_ms () + SUM_PERIOD_MS);
  EXPECT_GT (per->own_cell->len, 120u);
  EXPECT_EQ (per->send_failures, failures);
  EXPECT_GT (per->summary_sequence, 0u);
}

// A quota can only hold over all nodes when what one node admits becomes known to all others.
TEST_P (Exchange, CountsOfAnAccountReachAllNodes)
{
  QuotaSet quotas (*fleet_, 3);
  fleet_->Run (4000);
  quotas.Admit (5, 1, 1);
  quotas.Admit (fleet_->size () - 1, 1, 1);
  fleet_->Run (700);
  quotas.Admit (5, 1, 1);
  fleet_->Run (1500);
  for (uint32_t i = 0; i < fleet_->size (); i++)
    EXPECT_EQ (quotas.KnownUse (i, 1), 3u) << "node " << i;
}

// A node that restarts counts from 0 again: neither its old requests twice, nor its new ones never.
TEST_P (Exchange, CountsOfARestartedNodeReachAllNodes)
{
  QuotaSet quotas (*fleet_, 1);
  fleet_->Run (4000);
  quotas.Admit (5, 1, 2);
  fleet_->Run (1200);
  quotas.Restart (5);
  fleet_->Run (2000);
  quotas.Admit (5, 1, 1);
  fleet_->Run (1500);
  for (uint32_t i = 0; i < fleet_->size (); i++)
    EXPECT_EQ (quotas.KnownUse (i, 1), i == 5 ? 1u : 3u) << "node " << i;
}

// Nodes that fall silent may be on the other side of a partition: this side must not use their part
// until the platform removes them.
TEST_P (Exchange, SilentNodesKeepTheirPartOfAQuotaUntilTheyHaveLeft)
{
  QuotaSet quotas (*fleet_, 1);
  uint32_t alive = 0;
  for (uint32_t i = 0; i < fleet_->size (); i++)
    {
      fleet_->node (i).alive = fleet_->node (i).zone % 2 == 0;
      alive += fleet_->node (i).alive;
    }
  fleet_->Run (2500);
  EXPECT_EQ (quotas.DumpedValue (0, "known="), fleet_->size ());
  EXPECT_EQ (quotas.DumpedValue (0, "heard="), alive);
  fleet_->Run (4000);
  for (uint32_t i = 0; i < fleet_->size (); i++)
    if (!fleet_->node (i).alive)
      per_mark_left (&fleet_->node (0).per, fleet_->node (i).per.self.vm);
  fleet_->Run (200);
  EXPECT_EQ (quotas.DumpedValue (0, "known="), alive);
}

// Without an account that has a limit, no view carries counts.
TEST_P (Exchange, WithoutLimitsNoCountsAreSent)
{
  QuotaSet quotas (*fleet_, 0);
  quotas.Admit (1, 1, 5);
  fleet_->Run (1000);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet_->node (0).per.peers);
  while (g_hash_table_iter_next (&iter, nullptr, &value))
    EXPECT_EQ (static_cast<PerPeer *> (value)->view.quotas.quotas_len, 0u);
}

// One node defers the removal of vanished registrations. The deferral reaches all nodes and ends on
// all of them: nodes don't keep extending it by their messages to each other.
TEST_P (Exchange, RemovalDeferReachesAllNodesAndEnds)
{
  per_defer_removal (&fleet_->node (3).per, UPS_REMOVAL_DEFER_MAX_MS, fleet_->now_ms ());
  fleet_->Run (UPS_REMOVAL_DEFER_MAX_MS / 2);
  uint32_t deferring = 0;
  for (uint32_t i = 0; i < fleet_->size (); i++)
    deferring += per_removal_defer_ms (&fleet_->node (i).per, fleet_->now_ms ()) > 0;
  EXPECT_EQ (deferring, fleet_->size ());
  fleet_->ChangeObject ("up");
  fleet_->Run (UPS_REMOVAL_DEFER_MAX_MS);
  for (uint32_t i = 0; i < fleet_->size (); i++)
    EXPECT_EQ (per_removal_defer_ms (&fleet_->node (i).per, fleet_->now_ms ()), 0u) << "node " << i;
}

// Guards against nodes that go on sending to an upstream which has announced its shutdown to one of
// them: all must know of it within the 3 s in which it gets its last requests. Prints the times.
TEST_P (Exchange, ShutdownNoticeReachesAllNodesInTime)
{
  UpsRecord record = {};
  g_strlcpy (record.id, "up", sizeof record.id);
  g_strlcpy (record.service, "desk", sizeof record.service);
  record.born_ms = 7;
  record.slots = 4;
  for (uint32_t i = 0; i < fleet_->size (); i++)
    ups_apply (&fleet_->node (i).upstreams, &record, 0, fleet_->now_ms ());
  ASSERT_TRUE (ups_mark_leaving (ups_get (&fleet_->node (3).upstreams, "up"), record.born_ms));
  std::vector<uint64_t> times_ms (fleet_->size (), UINT64_MAX);
  for (uint64_t passed_ms = 0; passed_ms <= kNoticeMaxMs; passed_ms += 10)
    {
      for (uint32_t i = 0; i < fleet_->size (); i++)
        if (ups_get (&fleet_->node (i).upstreams, "up")->leaving)
          times_ms[i] = std::min (times_ms[i], passed_ms);
      fleet_->Run (10);
    }
  std::sort (times_ms.begin (), times_ms.end ());
  printf ("notice known after: median %llu ms, last %llu ms\n",
          (unsigned long long) times_ms[times_ms.size () / 2],
          (unsigned long long) times_ms.back ());
  EXPECT_LE (times_ms.back (), kNoticeMaxMs);
}

// The messages that a node sends per second don't rise with the number of nodes, and no node sends
// many more than the others.
TEST_P (Exchange, MessagesPerNodeStayBelowTheLimit)
{
  std::vector<uint64_t> before;
  for (uint32_t i = 0; i < fleet_->size (); i++)
    before.push_back (fleet_->node (i).per.sent);
  for (int i = 0; i < 50; i++)
    {
      fleet_->ChangeObject ("up-" + std::to_string (i % 20));
      fleet_->Run (100);
    }
  for (uint32_t i = 0; i < fleet_->size (); i++)
    EXPECT_LE ((fleet_->node (i).per.sent - before[i]) / 5, 650u)
        << "messages a second, node " << i;
}

TEST (LargestExchange, AllNodesAreAliveAndUpdatesArriveInTimeAlsoWhenWatchersDie)
{
#ifdef __SANITIZE_ADDRESS__
  constexpr uint32_t kNodes = 99;
#else
  constexpr uint32_t kNodes = 640;
#endif
  Fleet fleet (kNodes, 11, kLossPermille);
  fleet.Run (kStartMs);
  for (uint32_t i = 0; i < fleet.size (); i++)
    EXPECT_EQ (per_count (&fleet.node (i).per, fleet.now_ms ()), fleet.size ()) << "node " << i;
  EXPECT_LE (fleet.TimeUntilAllUpdated (fleet.ChangeObject ("up")), kUpdateMaxMs);
  uint64_t revision = 0;
  for (int i = 0; i < 400; i++)
    revision = fleet.ChangeObject ("up-of-a-large-deployment-" + std::to_string (i));
  EXPECT_LE (fleet.TimeUntilAllUpdated (revision), kUpdateMaxMs);
  for (uint32_t watcher : fleet.Watchers ())
    fleet.node (watcher).alive = false;
  EXPECT_LE (fleet.TimeUntilAllUpdated (fleet.ChangeObject ("up")), 2 * kUpdateMaxMs);
}
