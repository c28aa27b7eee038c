// Upstream state: registrations, failures, objects, lost requests and the cold rate limit.
#include <glib.h>
#include <uv.h>

extern "C"
{
#include "ups.h"
#include "vws.h"
}

#include <gtest/gtest.h>
#include <set>

namespace
{
class UpsTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    uv_loop_init (&loop_);
    ucn_ctx_init (&ucn_, &loop_);
    ups_init (&table_, &ucn_);
  }

  void
  TearDown () override
  {
    ups_clear (&table_);
    ucn_ctx_clear (&ucn_);
    uv_loop_close (&loop_);
  }

  static UpsRecord
  Record (const char *id, uint64_t born_ms = 1, uint64_t sequence = 1)
  {
    UpsRecord record = {};
    g_strlcpy (record.id, id, sizeof record.id);
    g_strlcpy (record.service, "desk", sizeof record.service);
    record.addr.port = 80;
    record.slots = 4;
    record.born_ms = born_ms;
    record.sequence = sequence;
    return record;
  }

  Ups *
  Add (const UpsRecord &record, uint64_t now_ms = 1000)
  {
    ups_apply (&table_, &record, 0, now_ms);
    return ups_get (&table_, record.id);
  }

  uv_loop_t loop_;
  UcnCtx ucn_;
  UpsTable table_ = {};
};
}

TEST_F (UpsTest, OlderRegistrationIsIgnored)
{
  Ups *ups = Add (Record ("a", 100, 5));
  UpsRecord old = Record ("a", 100, 4);
  old.draining = true;
  EXPECT_FALSE (ups_apply (&table_, &old, 0, 1000));
  EXPECT_FALSE (ups->record.draining);
  old = Record ("a", 99, 50);
  EXPECT_FALSE (ups_apply (&table_, &old, 0, 1000));
}

// Of two registrations under one number, the one that says that it drains counts.
TEST_F (UpsTest, DrainingCountsAmongRegistrationsOfTheSameNumber)
{
  UpsRecord draining = Record ("a", 100, 5);
  draining.draining = true;
  UpsRecord ready = Record ("a", 100, 5);
  Ups *ups = Add (ready);
  EXPECT_TRUE (ups_apply (&table_, &draining, 0, 1000));
  EXPECT_FALSE (ups_apply (&table_, &ready, 0, 1000));
  EXPECT_TRUE (ups->record.draining);
  ready.sequence = 6;
  EXPECT_TRUE (ups_apply (&table_, &ready, 0, 1000));
  EXPECT_FALSE (ups->record.draining);
}

TEST_F (UpsTest, NewStartOrAddressIsAnotherIncarnation)
{
  Ups *ups = Add (Record ("a", 100));
  UpsIncarnation first = ups_incarnation (ups);
  Add (Record ("a", 100, 2));
  EXPECT_TRUE (ups_is_incarnation (ups, &first));
  UpsRecord moved = Record ("a", 100, 3);
  moved.addr.port = 81;
  Add (moved);
  EXPECT_FALSE (ups_is_incarnation (ups, &first));
  UpsIncarnation second = ups_incarnation (ups);
  moved.born_ms = 200;
  Add (moved);
  EXPECT_FALSE (ups_is_incarnation (ups, &second));
}

// Guards against an upstream that is filled at once by all nodes whose pauses end together.
TEST_F (UpsTest, SlotsAreUsedInStepsAfterAPause)
{
  Ups *ups = Add (Record ("a"));
  EXPECT_EQ (ups_resume_slots (ups, 10, 100), 10u);
  ups_pause (ups, 5000);
  uint32_t previous = 0;
  for (uint64_t now_ms = 5000; now_ms < 5000 + UPS_RESUME_MS; now_ms += 10)
    {
      uint32_t slots = ups_resume_slots (ups, 10, now_ms);
      EXPECT_GE (slots, MAX (previous, 1u));
      EXPECT_LT (slots, 10u);
      previous = slots;
    }
  EXPECT_EQ (ups_resume_slots (ups, 10, 5000), 2u);
  EXPECT_EQ (ups_resume_slots (ups, 1, 5000), 1u);
  EXPECT_EQ (ups_resume_slots (ups, 0, 5000), 0u);
  EXPECT_EQ (ups_resume_slots (ups, 10, 5000 + UPS_RESUME_MS), 10u);
}

TEST_F (UpsTest, NewIncarnationResetsFailuresAndObjects)
{
  Ups *ups = Add (Record ("a", 100));
  ups_record_failure (ups, 1000);
  ups_record_object (ups, 7);
  ups->misdirected = true;
  Add (Record ("a", 200));
  EXPECT_EQ (ups->failures, 0u);
  EXPECT_FALSE (ups_is_warm_for (ups, 7));
  EXPECT_FALSE (ups->misdirected);
}

TEST_F (UpsTest, RemovedUpstreamIsFreedAfterItsLastRequest)
{
  Ups *ups = Add (Record ("a"));
  ups->in_flight = 1;
  ups_remove (&table_, "a");
  ASSERT_EQ (ups_get (&table_, "a"), ups);
  EXPECT_TRUE (ups->gone);
  ups_release (&table_, ups);
  EXPECT_EQ (ups_get (&table_, "a"), nullptr);
}

// A registration of before that is written late doesn't make it usable; another start does.
TEST_F (UpsTest, UpstreamThatDrainedAndLeftIsLeavingUntilItStartsAnew)
{
  UpsRecord record = Record ("a", 100, 6);
  record.draining = true;
  Add (record);
  ups_remove (&table_, "a");
  EXPECT_TRUE (Add (Record ("a", 100, 5))->leaving);
  ups_remove (&table_, "a");
  EXPECT_FALSE (Add (Record ("a", 200, 1))->leaving);
  ups_remove (&table_, "a");
  EXPECT_FALSE (Add (Record ("a", 200, 2))->leaving);
}

TEST_F (UpsTest, NewIncarnationForgetsLearnedCapacity)
{
  Ups *ups = Add (Record ("a"));
  LrnReport report = { 4, 9, 1, 900 };
  lrn_apply_report (&ups->learned, &report, 5, 8, 2000);
  ups->learned.recent_permille = 5000;
  ups->learned.slow = true;
  Add (Record ("a", 1, 2), 3000);
  EXPECT_TRUE (ups->learned.slow);
  Add (Record ("a", 2), 3000);
  EXPECT_FALSE (ups->learned.slow);
  EXPECT_EQ (ups->learned.recent_permille, 1000u);
  EXPECT_EQ (ups->learned.reported_at_ms, 0u);
}

TEST_F (UpsTest, BackoffDoublesWithEachFailureInARow)
{
  Ups *ups = Add (Record ("a"));
  ups_record_failure (ups, 1000);
  EXPECT_EQ (ups->backoff_until_ms, 1300u);
  ups_record_failure (ups, 2000);
  EXPECT_EQ (ups->backoff_until_ms, 2600u);
  EXPECT_FALSE (ups_is_down (ups));
  ups_record_failure (ups, 3000);
  EXPECT_TRUE (ups_is_down (ups));
  ups_record_success (ups, 4000);
  EXPECT_EQ (ups->backoff_until_ms, 0u);
}

TEST_F (UpsTest, SuspectedOnlyBySeveralPeersAndWithoutRecentSuccess)
{
  Ups *ups = Add (Record ("a"));
  ups->down_reports = 1;
  EXPECT_FALSE (ups_is_suspected (ups, 10000));
  ups->down_reports = 2;
  EXPECT_TRUE (ups_is_suspected (ups, 10000));
  ups_record_success (ups, 9500);
  EXPECT_FALSE (ups_is_suspected (ups, 10000));
}

TEST_F (UpsTest, KeepsTheMostRecentObjects)
{
  Ups *ups = Add (Record ("a"));
  for (uint32_t object = 1; object <= UPS_OBJECTS_MAX + 1; object++)
    ups_record_object (ups, object);
  EXPECT_FALSE (ups_is_warm_for (ups, 1));
  EXPECT_TRUE (ups_is_warm_for (ups, 2));
  ups_record_object (ups, 2);
  ups_record_object (ups, 100);
  EXPECT_TRUE (ups_is_warm_for (ups, 2));
  EXPECT_FALSE (ups_is_warm_for (ups, 3));
}

// Several callers may send the same request at the same time; one crash counts against it once.
TEST_F (UpsTest, EqualLostRequestsAreRecordedOnce)
{
  Ups *ups = Add (Record ("a"));
  for (int i = 0; i < 6; i++)
    ups_record_lost_request (ups, 7, 1000);
  ups_record_lost_request (ups, 8, 1001);
  uint64_t fingerprints[UPS_LOST_MAX];
  ASSERT_EQ (ups_pop_lost_requests (ups, fingerprints, 1100), 2u);
  EXPECT_EQ (fingerprints[0], 7u);
  EXPECT_EQ (fingerprints[1], 8u);
}

// Property: no interval of one second has more cold requests than the limit.
TEST_F (UpsTest, ColdRateStaysWithinLimitInEverySecond)
{
  Ups *ups = Add (Record ("a"));
  std::vector<uint64_t> sent;
  for (uint64_t now_ms = 5000; now_ms < 9000; now_ms += 13)
    if (ups_cold_rate_allows (ups, 3, now_ms))
      {
        ups_record_cold_send (ups, now_ms);
        sent.push_back (now_ms);
      }
  for (size_t i = 3; i < sent.size (); i++)
    EXPECT_GT (sent[i] - sent[i - 3], 1000u);
  EXPECT_GE (sent.size (), 9u);
}

// Guards against leaving upstreams of which no peer is told while as many as a view has room for
// leave at the same time.
TEST_F (UpsTest, ViewsReportEveryLeavingUpstreamInTurn)
{
  constexpr uint32_t kLeaving = 3 * PER_LEAVING_MAX;
  Per per = {};
  std::set<uint32_t> reported;
  per.upstreams = &table_;
  for (uint32_t i = 0; i < kLeaving; i++)
    {
      std::string id = "up-" + std::to_string (i);
      EXPECT_TRUE (ups_mark_leaving (Add (Record (id.c_str ())), 1));
    }
  for (int view = 0; view < 100; view++)
    {
      peer_leaving leaving[PER_LEAVING_MAX];
      u_int count = vws_list_leaving (&per, leaving, PER_LEAVING_MAX);
      EXPECT_EQ (count, PER_LEAVING_MAX);
      for (u_int i = 0; i < count; i++)
        reported.insert (leaving[i].upstream);
    }
  EXPECT_EQ (reported.size (), kLeaving);
}
