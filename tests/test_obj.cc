// Object table: revisions never decrease, in whatever order changes arrive.
#include <glib.h>
extern "C"
{
#include "obj.h"
}
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace
{

class ObjTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    obj_init (&table_);
  }
  void
  TearDown () override
  {
    obj_clear (&table_);
  }
  ObjTable table_;
};

TEST_F (ObjTest, OlderChangeIsIgnored)
{
  EXPECT_TRUE (obj_apply (&table_, "a", 5, false, "{}"));
  EXPECT_FALSE (obj_apply (&table_, "a", 4, false, "{\"old\":1}"));
  EXPECT_STREQ ("{}", obj_get (&table_, "a")->value);
  EXPECT_TRUE (obj_advance (&table_, 5));
  EXPECT_FALSE (obj_advance (&table_, 4));
  EXPECT_EQ (5u, table_.revision);
}

TEST_F (ObjTest, OlderChangeDoesNotRestoreADeletedObject)
{
  obj_apply (&table_, "a", 5, false, "{}");
  obj_apply (&table_, "a", 9, true, nullptr);
  EXPECT_FALSE (obj_apply (&table_, "a", 5, false, "{}"));
  EXPECT_EQ (nullptr, obj_get (&table_, "a"));
}

TEST_F (ObjTest, ReconcileDeletesUnlistedObjectsUpToTheListRevision)
{
  obj_apply (&table_, "gone", 5, false, "{}");
  obj_apply (&table_, "new", 12, false, "{}");
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  obj_reconcile (&table_, listed, 10);
  EXPECT_EQ (nullptr, obj_get (&table_, "gone"));
  EXPECT_NE (nullptr, obj_get (&table_, "new"));
  g_hash_table_unref (listed);
}

TEST_F (ObjTest, TableDoesNotDependOnTheOrderOfChanges)
{
  for (uint32_t seed = 1; seed <= 300; seed++)
    {
      std::mt19937 random (seed);
      ObjTable forward, shuffled;
      obj_init (&forward);
      obj_init (&shuffled);
      struct Change
      {
        std::string path;
        uint64_t revision;
        bool deleted;
      };
      std::vector<Change> changes;
      for (uint64_t r = 1; r <= 30; r++)
        changes.push_back ({ "p" + std::to_string (random () % 5), r, random () % 3 == 0 });
      for (const Change &c : changes)
        obj_apply (&forward, c.path.c_str (), c.revision, c.deleted, "{}");
      std::shuffle (changes.begin (), changes.end (), random);
      for (const Change &c : changes)
        obj_apply (&shuffled, c.path.c_str (), c.revision, c.deleted, "{}");
      for (int p = 0; p < 5; p++)
        {
          std::string path = "p" + std::to_string (p);
          const Obj *a = obj_get (&forward, path.c_str ());
          const Obj *b = obj_get (&shuffled, path.c_str ());
          ASSERT_EQ (a == nullptr, b == nullptr) << "seed " << seed;
          if (a != nullptr)
            {
              ASSERT_EQ (a->revision, b->revision);
            }
        }
      obj_clear (&forward);
      obj_clear (&shuffled);
    }
}

void
Collect (void *user, const Obj *obj)
{
  static_cast<std::vector<std::string> *> (user)->push_back (obj->path);
}

// Reading batch after batch visits every change in order, and each batch is within the size limit.
TEST (Obj, BatchesWithinTheLimitContainAllChangesInOrder)
{
  ObjTable table;
  obj_init (&table);
  std::string value (100, 'v');
  for (int i = 0; i < 50; i++)
    obj_apply (&table, ("o" + std::to_string (i)).c_str (), 1000 - i, false, value.c_str ());
  for (int i = 0; i < 5; i++)
    obj_apply (&table, ("gone" + std::to_string (i)).c_str (), 2000, true, nullptr);
  std::vector<std::string> visited;
  uint64_t revision = 1;
  for (int batches = 0; batches < 30; batches++)
    {
      std::vector<std::string> batch;
      uint64_t next = obj_batch_since (&table, revision, 450, Collect, &batch);
      EXPECT_LE (batch.size (), 4u + 5u);
      if (next == revision)
        break;
      revision = next;
      visited.insert (visited.end (), batch.begin (), batch.end ());
    }
  ASSERT_EQ (55u, visited.size ());
  EXPECT_EQ ("o49", visited[0]);
  EXPECT_EQ (2000u, revision);
  obj_clear (&table);
}

TEST (Obj, ChangeLargerThanTheLimitGivesAnEmptyBatch)
{
  ObjTable table;
  obj_init (&table);
  std::vector<std::string> batch;
  obj_apply (&table, "large", 7, false, std::string (1000, 'v').c_str ());
  // Encoded size: value, path and 32 bytes of overhead.
  EXPECT_EQ (3u, obj_batch_since (&table, 3, 1000 + 5 + 32 - 1, Collect, &batch));
  EXPECT_TRUE (batch.empty ());
  EXPECT_EQ (7u, obj_batch_since (&table, 3, 1000 + 5 + 32, Collect, &batch));
  EXPECT_EQ (1u, batch.size ());
  obj_clear (&table);
}

} // namespace
