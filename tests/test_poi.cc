// Poison requests: upstream crashes counted by request fingerprint.
#include <glib.h>
extern "C"
{
#include "poi.h"
}
#include <gtest/gtest.h>

namespace
{

class PoiTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    poi_init (&table_, POISON_NODE_CRASHES_MAX);
  }
  void
  TearDown () override
  {
    poi_clear (&table_);
  }
  PoiTable table_;
};

TEST_F (PoiTest, FingerprintIsEqualOnlyForEqualMethodPathAndBody)
{
  uint64_t a = poi_fingerprint ("GET", "/a", "x", 1);
  EXPECT_EQ (a, poi_fingerprint ("GET", "/a", "x", 1));
  EXPECT_NE (a, poi_fingerprint ("GET", "/a", "y", 1));
  EXPECT_NE (a, poi_fingerprint ("PUT", "/a", "x", 1));
  EXPECT_NE (poi_fingerprint ("GET", "/ab", "", 0), poi_fingerprint ("GET", "/a", "b", 1));
}

TEST_F (PoiTest, CrashesAreCountedExpiredAndCleared)
{
  poi_record_crash (&table_, 7, 100);
  EXPECT_EQ (2u, poi_record_crash (&table_, 7, 200)->crashes);
  EXPECT_EQ (2u, poi_crashes (&table_, 7, 200 + POISON_TTL_MS - 1));
  EXPECT_EQ (0u, poi_crashes (&table_, 7, 200 + POISON_TTL_MS));
  poi_expire (&table_, 200 + POISON_TTL_MS);
  EXPECT_EQ (0u, g_hash_table_size (table_.by_fingerprint));
  poi_record_crash (&table_, 8, 1);
  poi_record_response (&table_, 8, 2);
  EXPECT_EQ (0u, poi_crashes (&table_, 8, 1));
}

TEST_F (PoiTest, LowerCountFromPeerIsIgnored)
{
  EXPECT_TRUE (poi_merge (&table_, 9, 2, 50));
  EXPECT_FALSE (poi_merge (&table_, 9, 1, 60));
  EXPECT_EQ (2u, poi_crashes (&table_, 9, 60));
}

// A node that no longer gets the request keeps reporting crashes from before the response.
TEST_F (PoiTest, ReportedCrashOlderThanResponseIsIgnored)
{
  poi_record_crash (&table_, 7, 100);
  poi_record_response (&table_, 7, 200);
  EXPECT_FALSE (poi_merge (&table_, 7, 1, 100));
  EXPECT_EQ (0u, poi_crashes (&table_, 7, 250));
  EXPECT_TRUE (poi_merge (&table_, 7, 1, 300));
  EXPECT_EQ (1u, poi_crashes (&table_, 7, 350));
}

// A node that refuses the request sees no response to it; only peers can report one.
TEST_F (PoiTest, ResponseReportedByPeerClearsOlderCrashes)
{
  poi_merge (&table_, 7, POISON_NODE_CRASHES_MAX, 100);
  EXPECT_FALSE (poi_merge (&table_, 7, 0, 90));
  EXPECT_EQ (POISON_NODE_CRASHES_MAX, poi_crashes (&table_, 7, 150));
  EXPECT_TRUE (poi_merge (&table_, 7, 0, 140));
  EXPECT_EQ (0u, poi_crashes (&table_, 7, 150));
  EXPECT_FALSE (poi_merge (&table_, 8, 0, 140));
}

// Guards against a blocked request that crashes as many upstreams again each time its block ends.
TEST_F (PoiTest, BlockEndsWithOneTrialAndEachCrashDoublesIt)
{
  for (uint32_t i = 0; i < POISON_NODE_CRASHES_MAX; i++)
    {
      EXPECT_TRUE (poi_admit (&table_, 7, 100));
      poi_record_crash (&table_, 7, 100);
    }
  uint64_t block_end_ms = 100 + POISON_TTL_MS;
  EXPECT_FALSE (poi_admit (&table_, 7, block_end_ms - 1));
  EXPECT_TRUE (poi_admit (&table_, 7, block_end_ms));
  EXPECT_FALSE (poi_admit (&table_, 7, block_end_ms));
  poi_expire (&table_, block_end_ms);
  EXPECT_EQ (POISON_NODE_CRASHES_MAX - 1u, poi_crashes (&table_, 7, block_end_ms));
  poi_record_crash (&table_, 7, block_end_ms);
  EXPECT_FALSE (poi_admit (&table_, 7, block_end_ms + 2 * POISON_TTL_MS - 1));
  EXPECT_TRUE (poi_admit (&table_, 7, block_end_ms + 2 * POISON_TTL_MS));
}

TEST_F (PoiTest, ResponseToTheTrialEndsTheBlock)
{
  for (uint32_t i = 0; i < POISON_NODE_CRASHES_MAX; i++)
    poi_record_crash (&table_, 7, 100);
  EXPECT_TRUE (poi_admit (&table_, 7, 100 + POISON_TTL_MS));
  poi_record_response (&table_, 7, 200 + POISON_TTL_MS);
  EXPECT_TRUE (poi_admit (&table_, 7, 300 + POISON_TTL_MS));
  EXPECT_EQ (0u, poi_crashes (&table_, 7, 300 + POISON_TTL_MS));
}

// Guards against known suspects that are all forgotten when one more is added to a full table.
TEST_F (PoiTest, FullTableReplacesItsOldestSuspect)
{
  for (uint64_t i = 0; i < POISON_ENTRIES_MAX; i++)
    poi_record_crash (&table_, i, 10 + i);
  poi_record_crash (&table_, POISON_ENTRIES_MAX, 10 + POISON_ENTRIES_MAX);
  EXPECT_EQ (0u, poi_crashes (&table_, 0, 20));
  EXPECT_EQ (1u, poi_crashes (&table_, 1, 20));
}

TEST_F (PoiTest, TableSizeIsBounded)
{
  for (uint64_t i = 0; i < 3 * POISON_ENTRIES_MAX; i++)
    poi_record_crash (&table_, i, 1);
  EXPECT_LE (g_hash_table_size (table_.by_fingerprint), (guint) POISON_ENTRIES_MAX);
}

} // namespace
