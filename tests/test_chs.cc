// Selection of an upstream on a node of a large deployment: its results and its CPU time while many
// upstreams are cold.
#include <ctime>
#include <glib.h>

extern "C"
{
#include "chs.h"
#include "nsh.h"
#include "nst.h"
#include "plc.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
constexpr int kUpstreams = 657;
constexpr int kPeers = 83;
#ifdef __SANITIZE_ADDRESS__
constexpr uint64_t kSlowdown = 16; // Factor for the sanitizers and an unoptimised build.
#else
constexpr uint64_t kSlowdown = 1;
#endif

// A node of a large deployment in three regions with one zone each.
class Selection : public testing::Test
{
protected:
  void
  SetUp () override
  {
    uv_loop_init (&loop_);
    node_ = g_new0 (Node, 1);
    node_->log.out = fopen ("/dev/null", "w");
    node_->log.level = LOG_ERROR;
    node_->settings.zones = g_array_new (FALSE, TRUE, sizeof (NodZone));
    node_->settings.regions = g_ptr_array_new_with_free_func (g_free);
    g_strlcpy (node_->settings.vm, "vm-self", sizeof node_->settings.vm);
    for (uint32_t r = 0; r < 3; r++)
      {
        NodZone zone = {};
        g_snprintf (zone.name, sizeof zone.name, "zone-%u", r);
        zone.region = r;
        g_array_append_val (node_->settings.zones, zone);
        g_ptr_array_add (node_->settings.regions, g_strdup_printf ("region-%u", r));
      }
    nod_init (node_, &loop_);
    node_->started_at_ms = 1;
    node_->settings.learned_capacity = true;
    per_init (&node_->peers);
    node_->table = rte_new (1);
    route_ = rte_add_route (node_->table, "route", "host.example", "/");
    route_->objective_ms = 600;
    rte_add_service (node_->table, "service")->cold_per_s = 2.5;
    AddPeers ();
  }

  void
  TearDown () override
  {
    nod_clear (node_);
    g_array_unref (node_->settings.zones);
    g_ptr_array_unref (node_->settings.regions);
    fclose (node_->log.out);
    g_free (node_);
    uv_run (&loop_, UV_RUN_DEFAULT);
    uv_loop_close (&loop_);
  }

  void
  AddPeers ()
  {
    for (uint32_t i = 0; i < kPeers; i++)
      {
        PerPeer *peer = g_new0 (PerPeer, 1);
        g_snprintf (peer->vm, sizeof peer->vm, "edge-zone-of-some-region-%u", i);
        peer->zone = i % 3;
        peer->last_seen_ms = clk_now_ms ();
        g_hash_table_insert (node_->peers.peers, peer->vm, peer);
      }
  }

  void
  AddUpstreams (uint32_t cold_ms)
  {
    for (uint32_t i = 0; i < kUpstreams; i++)
      {
        UpsRecord record = {};
        g_snprintf (record.id, sizeof record.id, "upstream-%u", i);
        g_strlcpy (record.service, "service", sizeof record.service);
        g_snprintf (record.zone, sizeof record.zone, "zone-%u", i % 3);
        record.slots = 3;
        record.born_ms = 1;
        record.cold_ms = cold_ms;
        ups_apply (&node_->upstreams, &record, i % 3, clk_now_ms ());
      }
    nod_assign_cold (node_, clk_now_ms ());
  }

  Ups *
  Choose (uint32_t key)
  {
    ChsRequest request = Request (key);
    return chs_choose_once (node_, &request).ups;
  }

  ChsRequest
  Request (uint32_t key)
  {
    ChsRequest request = {};
    request.table = node_->table;
    request.route = route_;
    request.service = nod_service (node_, "service");
    request.work = nod_route_stats (node_, route_);
    request.admission = &admission_;
    request.key = key;
    return request;
  }

  uv_loop_t loop_;
  Node *node_ = nullptr;
  RteRoute *route_ = nullptr;
  AdmRequest admission_ = {};
};

uint64_t
CpuMicroseconds ()
{
  timespec now;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<uint64_t> (now.tv_sec) * 1000000 + static_cast<uint64_t> (now.tv_nsec) / 1000;
}
}

TEST_F (Selection, ChoosesUpstreamThatIsNotCold)
{
  AddUpstreams (0);
  EXPECT_NE (nullptr, Choose (77));
}

TEST_F (Selection, ChoosesColdUpstreamsOnlyWhenAssignedToTheNode)
{
  AddUpstreams (60000);
  int assigned = 0;
  for (int i = 0; i < kUpstreams; i++)
    assigned
        += ups_get (&node_->upstreams, ("upstream-" + std::to_string (i)).c_str ())->cold_assigned;
  // A cold upstream is assigned to two nodes of its region; this region has 28 nodes and 219
  // upstreams.
  EXPECT_GT (assigned, 0);
  EXPECT_LT (assigned, 219 / 4);
  for (uint32_t key = 1; key < 200; key++)
    {
      const Ups *ups = Choose (key);
      EXPECT_TRUE (ups == nullptr || ups->cold_assigned);
    }
}

// Waiting requests of a route are dispatched from one snapshot of candidates; for each request,
// only the upstreams that it tried itself are excluded.
TEST_F (Selection, SnapshotYieldsSameChoicesAsFreshCandidates)
{
  AddUpstreams (0);
  ChsRequest request = Request (0);
  ChsCandidates *set = chs_candidates_new (node_, &request);
  for (uint32_t key = 1; key < 50; key++)
    {
      request.key = key;
      request.tried_count = 0;
      Ups *first = chs_choose (set, &request).ups;
      ASSERT_EQ (first, Choose (key));
      request.tried = &first->hash;
      request.tried_count = 1;
      EXPECT_NE (first, chs_choose (set, &request).ups);
    }
  chs_candidates_free (set);
}

// Guards against an account's request that runs in a region that its route does not allow, or the
// other way round.
TEST_F (Selection, OnlyRegionsOfBothRouteAndAccountAreUsed)
{
  AccAccount account = {};
  ChsRequest request = Request (0);
  AddUpstreams (0);
  request.account = &account;
  account.regions = g_strsplit ("region-1,region-2,elsewhere", ",", -1);
  route_->regions = g_strsplit ("region-0,region-1", ",", -1);
  for (uint32_t key = 1; key < 200; key++)
    {
      request.key = request.region_hash = key;
      const Ups *ups = chs_choose_once (node_, &request).ups;
      ASSERT_NE (nullptr, ups);
      EXPECT_EQ (1u, ups->zone);
    }
  g_strfreev (account.regions);
  account.regions = g_strsplit ("region-2", ",", -1);
  EXPECT_EQ (nullptr, chs_choose_once (node_, &request).ups);
  EXPECT_EQ (UINT64_MAX, chs_earliest_resume_ms (node_, &request));
  g_strfreev (account.regions);
}

// Without reports and without differences, learning must change no candidate.
TEST_F (Selection, LearningWithoutDifferencesYieldsSameCandidates)
{
  AddUpstreams (0);
  ChsRequest request = Request (0);
  NodService *service = nod_service (node_, "service");
  for (int i = 0; i < kUpstreams; i++)
    {
      Ups *ups = ups_get (&node_->upstreams, ("upstream-" + std::to_string (i)).c_str ());
      ups->in_flight = i % 3;
      ups->others = i % 5;
      LrnSample sample = { 200, 0, 200, 1, ups->record.slots };
      for (int n = 0; n < 40; n++)
        {
          sample.load = 1 + n % 3;
          ups_record_service_time (ups, sample.time_ms, sample.expected_ms);
          lrn_record_service_time (&ups->learned, &service->curve, &sample, clk_now_ms ());
        }
    }
  ChsCandidates *learned = chs_candidates_new (node_, &request);
  node_->settings.learned_capacity = false;
  ChsCandidates *registered = chs_candidates_new (node_, &request);
  EXPECT_EQ (learned->total_slots, registered->total_slots);
  for (int i = 0; i < kUpstreams; i++)
    {
      const PlcCandidate &a = learned->candidates[i];
      const PlcCandidate &b = registered->candidates[i];
      ASSERT_EQ (a.eligible, b.eligible);
      ASSERT_EQ (a.usable, b.usable);
      ASSERT_EQ (a.slots, b.slots);
      ASSERT_EQ (a.good_slots, b.good_slots);
      ASSERT_EQ (a.in_flight, b.in_flight);
      ASSERT_EQ (a.slowness_permille, b.slowness_permille);
      ASSERT_EQ (a.slow, b.slow);
      ASSERT_EQ (a.pace_permille, b.pace_permille);
    }
  chs_candidates_free (learned);
  chs_candidates_free (registered);
}

// Service time differs between upstreams: the slow one's share of capacity is smaller.
TEST_F (Selection, SlowUpstreamsLowerTheirRegionsCapacity)
{
  AddUpstreams (0);
  NodService *service = nod_service (node_, "service");
  nsh_init_split (node_, service, clk_now_ms ());
  uint64_t before = service->traffic.load.capacity[0];
  for (int i = 0; i < kUpstreams; i += 3)
    {
      Ups *ups = ups_get (&node_->upstreams, ("upstream-" + std::to_string (i)).c_str ());
      LrnSample sample = { 400, 0, 200, 1, ups->record.slots };
      for (uint64_t n = 0; n < 100; n++)
        lrn_record_service_time (&ups->learned, &service->curve, &sample,
                                 clk_now_ms () - 5000 + n * 50);
    }
  nsh_init_split (node_, service, clk_now_ms ());
  EXPECT_LT (service->traffic.load.capacity[0], before * 8 / 10);
  EXPECT_EQ (service->traffic.load.capacity[1], before);
}

TEST_F (Selection, StateDumpShowsWhatWasLearned)
{
  AddUpstreams (0);
  Ups *ups = ups_get (&node_->upstreams, "upstream-7");
  LrnReport report = { 1, 0, 3, 250 };
  nod_service (node_, "service");
  lrn_apply_report (&ups->learned, &report, 1, 0, clk_now_ms ());
  char *text = nst_dump (node_);
  std::string dump = text;
  g_free (text);
  size_t line = dump.find ("upstream=upstream-7 ");
  ASSERT_NE (line, std::string::npos);
  dump = dump.substr (line, dump.find ('\n', line) - line);
  EXPECT_NE (dump.find (" learned_slots=3 learned_slowness=1000 "), std::string::npos) << dump;
  EXPECT_EQ (dump.find (" report_age_ms=-1"), std::string::npos) << dump;
}

// A node on a tenth of a core makes some 340 choices per second while requests wait; control work
// may use 1.9 % of a core.
TEST_F (Selection, CpuTimeStaysBelowLimitWhileAllUpstreamsAreCold)
{
  AddUpstreams (60000);
  uint64_t before_us = CpuMicroseconds ();
  for (uint32_t key = 1; key <= 340; key++)
    Choose (key);
  EXPECT_LT (CpuMicroseconds () - before_us, 19000u * kSlowdown);
}

// Guards against large bodies that cross the border of an availability zone, whose bandwidth costs
// money, while the node's own zone has room for them.
TEST_F (Selection, LargeBodiesStayInTheZoneWhileItHasRoom)
{
  g_array_index (node_->settings.zones, NodZone, 1).region = 0;
  AddUpstreams (0);
  nsh_init_split (node_, nod_service (node_, "service"), clk_now_ms ());
  int other_zone = 0;
  for (uint32_t key = 1; key < 100; key++)
    {
      route_->kind = RTE_IDEMPOTENT;
      other_zone += Choose (key)->zone == 1;
      for (RteKind kind : { RTE_DOWNLOAD, RTE_UPLOAD })
        {
          route_->kind = kind;
          EXPECT_EQ (Choose (key)->zone, 0u) << key;
        }
    }
  EXPECT_GT (other_zone, 0);
}

// Guards against large bodies that are rejected while the other zone of the region has room.
TEST_F (Selection, LargeBodiesGoToAnotherZoneWhenTheirOwnIsFull)
{
  g_array_index (node_->settings.zones, NodZone, 1).region = 0;
  AddUpstreams (0);
  nsh_init_split (node_, nod_service (node_, "service"), clk_now_ms ());
  for (uint32_t i = 0; i < kUpstreams; i += 3)
    ups_get (&node_->upstreams, ("upstream-" + std::to_string (i)).c_str ())->shed_until_ms
        = UINT64_MAX;
  route_->kind = RTE_DOWNLOAD;
  for (uint32_t key = 1; key < 20; key++)
    {
      Ups *ups = Choose (key);
      ASSERT_NE (ups, nullptr);
      EXPECT_EQ (ups->zone, 1u);
    }
}

// Guards against rejections in a large deployment, whose counts of requests in flight are old, for
// queues that have become shorter since. Load: two thirds of an objective in each queue.
TEST_F (Selection, LongerQueuesAreUsedWhereCountsComeInSummaries)
{
  AddUpstreams (0);
  nsh_init_split (node_, nod_service (node_, "service"), clk_now_ms ());
  NodRouteStats *stats = nod_route_stats (node_, route_);
  stats->warm_ms = 200;
  stats->cold_ms = 200;
  for (int i = 0; i < kUpstreams; i++)
    ups_get (&node_->upstreams, ("upstream-" + std::to_string (i)).c_str ())->others = 8;
  EXPECT_EQ (Choose (77), nullptr);
  node_->peers.zoned = true;
  EXPECT_NE (Choose (77), nullptr);
}
