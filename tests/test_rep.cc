#include <glib.h>

extern "C"
{
#include "rep.h"
}

#include <cstring>
#include <gtest/gtest.h>
#include <string>

namespace
{
std::string changes;

void
OnChanged (void *, const char *kind, const Obj *object)
{
  changes += std::string (kind) + "/" + object->path + (object->deleted ? "- " : "+ ");
}

class RepTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    changes.clear ();
    rep_init (&rep_, OnChanged, nullptr);
    kind_ = rep_ensure_kind (&rep_, "servers");
  }

  void
  TearDown () override
  {
    rep_clear (&rep_);
  }

  Rep rep_ = {};
  RepKind *kind_ = nullptr;
};
}

TEST_F (RepTest, IgnoresChangesThatAreNotNewer)
{
  rep_apply (&rep_, kind_, "a", 5, false, "{}");
  rep_apply (&rep_, kind_, "a", 4, true, nullptr);
  rep_apply (&rep_, kind_, "a", 5, false, "{}");
  EXPECT_EQ (changes, "servers/a+ ");
  EXPECT_EQ (kind_->newest, 5u);
}

// A peer fetches what is newer than the newest revision it knows, so a deletion must raise that
// revision; otherwise the peer would keep the deleted object.
TEST_F (RepTest, DeletionRaisesTheNewestRevision)
{
  rep_apply (&rep_, kind_, "a", 5, false, "{}");
  rep_apply (&rep_, kind_, "b", 9, false, "{}");
  rep_apply (&rep_, kind_, "a", 10, true, nullptr);
  EXPECT_EQ (kind_->newest, 10u);
}

TEST_F (RepTest, ReconcileDeletesUnlistedObjectsThatAreNotNewerThanTheList)
{
  rep_apply (&rep_, kind_, "a", 5, false, "{}");
  rep_apply (&rep_, kind_, "b", 6, false, "{}");
  rep_apply (&rep_, kind_, "c", 30, false, "{}");
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_add (listed, const_cast<char *> ("a"));
  changes.clear ();
  rep_reconcile (&rep_, kind_, listed, 20);
  EXPECT_EQ (changes, "servers/b- ");
  g_hash_table_unref (listed);
}

// Keeps what is known, but for a value "new" in its place.
static bool
KeepsUnlessNew (const Obj *, const char *value)
{
  return value == nullptr || std::string (value) != "new";
}

TEST_F (RepTest, LaterEraIsNewerWhateverTheRevision)
{
  rep_apply (&rep_, kind_, "a", pos_make (1, 60), false, "first");
  rep_apply (&rep_, kind_, "a", pos_make (2, 40), false, "second");
  rep_apply (&rep_, kind_, "a", pos_make (1, 90), false, "third");
  EXPECT_STREQ (obj_get (&kind_->table, "a")->value, "second");
  EXPECT_EQ (kind_->newest, pos_make (2, 40));
  EXPECT_EQ (rep_era (&rep_), 2u);
}

TEST_F (RepTest, SameValueInALaterEraIsNoChange)
{
  rep_apply (&rep_, kind_, "a", pos_make (1, 30), false, "{}");
  changes.clear ();
  rep_apply (&rep_, kind_, "a", pos_make (2, 30), false, "{}");
  EXPECT_EQ (changes, "");
  EXPECT_EQ (kind_->newest, pos_make (2, 30));
}

TEST_F (RepTest, KeptValueYieldsToAnyLaterChangeOnly)
{
  kind_->keeps = KeepsUnlessNew;
  rep_apply (&rep_, kind_, "a", pos_make (1, 60), false, "known");
  changes.clear ();
  rep_apply (&rep_, kind_, "a", pos_make (2, 40), false, "copied");
  EXPECT_EQ (changes, "");
  EXPECT_STREQ (obj_get (&kind_->table, "a")->value, "known");
  EXPECT_GT (kind_->newest, pos_make (2, 40)); // so that peers take it over
  rep_apply (&rep_, kind_, "a", pos_make (2, 41), false, "copied");
  EXPECT_STREQ (obj_get (&kind_->table, "a")->value, "copied");
}

TEST_F (RepTest, KeptTombstoneStays)
{
  kind_->keeps = KeepsUnlessNew;
  rep_apply (&rep_, kind_, "a", pos_make (1, 30), false, "known");
  rep_apply (&rep_, kind_, "a", pos_make (1, 60), true, nullptr);
  rep_apply (&rep_, kind_, "a", pos_make (2, 30), false, "known");
  EXPECT_EQ (obj_get (&kind_->table, "a"), nullptr);
  rep_apply (&rep_, kind_, "a", pos_make (2, 61), false, "known");
  EXPECT_NE (obj_get (&kind_->table, "a"), nullptr);
}

TEST_F (RepTest, NewValueInALaterEraReplacesTheKnownOne)
{
  kind_->keeps = KeepsUnlessNew;
  rep_apply (&rep_, kind_, "a", pos_make (1, 60), false, "known");
  rep_apply (&rep_, kind_, "a", pos_make (2, 45), false, "new");
  EXPECT_STREQ (obj_get (&kind_->table, "a")->value, "new");
}

// A deletion in the later era isn't the copy's.
TEST_F (RepTest, DeletionInALaterEraCounts)
{
  kind_->keeps = KeepsUnlessNew;
  rep_apply (&rep_, kind_, "a", pos_make (1, 60), false, "known");
  rep_apply (&rep_, kind_, "a", pos_make (2, 45), true, nullptr);
  EXPECT_EQ (obj_get (&kind_->table, "a"), nullptr);
}

// A peer that hasn't noticed the return would bring back an object that the store lost.
TEST_F (RepTest, ObjectOfAnEarlierEraIsIgnoredAfterAList)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  rep_reconcile (&rep_, kind_, listed, pos_make (2, 40));
  g_hash_table_unref (listed);
  rep_apply (&rep_, kind_, "a", pos_make (1, 60), false, "lost");
  EXPECT_EQ (obj_get (&kind_->table, "a"), nullptr);
  rep_apply (&rep_, kind_, "a", pos_make (2, 39), false, "listed");
  EXPECT_NE (obj_get (&kind_->table, "a"), nullptr);
}

TEST_F (RepTest, ObjectThatALaterErasListLacksIsDeletedUnlessKept)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  for (RepKeepsFn keeps : { (RepKeepsFn) nullptr, (RepKeepsFn) KeepsUnlessNew })
    {
      RepKind *kind = rep_ensure_kind (&rep_, keeps != nullptr ? "kept" : "deleted");
      kind->keeps = keeps;
      rep_apply (&rep_, kind, "a", pos_make (1, 60), false, "known");
      rep_reconcile (&rep_, kind, listed, pos_make (2, 40));
      rep_reconcile (&rep_, kind, listed, pos_make (2, 80)); // another list of that era
      EXPECT_EQ (obj_get (&kind->table, "a") != nullptr, keeps != nullptr);
      EXPECT_EQ (pos_era (kind->newest), 2u);
    }
  g_hash_table_unref (listed);
}

// A node that lists late, after a value it knew was lost, written again and removed, doesn't bring
// it back to those that know of the removal.
TEST_F (RepTest, RemovalInALaterEraIsNotUndoneByANodeThatListsLate)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  RepKind *late = rep_ensure_kind (&rep_, "late");
  for (RepKind *kind : { kind_, late })
    {
      kind->keeps = KeepsUnlessNew;
      rep_apply (&rep_, kind, "a", pos_make (1, 60), false, "known");
    }
  rep_reconcile (&rep_, kind_, listed, pos_make (2, 40));
  rep_apply (&rep_, kind_, "a", pos_make (2, 41), false, "known");
  rep_apply (&rep_, kind_, "a", pos_make (2, 45), true, nullptr);
  rep_reconcile (&rep_, late, listed, pos_make (2, 50));
  const Obj *told = obj_get (&late->table, "a");
  if (told != nullptr)
    rep_apply (&rep_, kind_, "a", told->revision, false, told->value);
  EXPECT_EQ (obj_get (&kind_->table, "a"), nullptr);
  const Obj *removed = static_cast<Obj *> (g_hash_table_lookup (kind_->table.by_path, "a"));
  rep_apply (&rep_, late, "a", removed->revision, true, nullptr);
  EXPECT_EQ (obj_get (&late->table, "a"), nullptr);
  EXPECT_EQ (late->newest, kind_->newest); // no node fetches from the other again
  rep_apply (&rep_, kind_, "a", pos_make (2, 51), false, "known");
  EXPECT_NE (obj_get (&kind_->table, "a"), nullptr);
  g_hash_table_unref (listed);
}

// A node that listed the store itself knows its newest revision, but not what others keep at
// earlier ones. It fetches what lies behind the newest position that it knows.
TEST_F (RepTest, KeptValueMovesUpWithLaterChanges)
{
  kind_->keeps = KeepsUnlessNew;
  rep_apply (&rep_, kind_, "a", pos_make (1, 60), false, "known");
  rep_apply (&rep_, kind_, "a", pos_make (2, 40), false, "copied");
  rep_apply (&rep_, kind_, "b", pos_make (2, 50), false, "{}");
  Pos before = obj_get (&kind_->table, "a")->revision;
  rep_raise_kept (kind_);
  EXPECT_LT (before, pos_make (2, 50));
  EXPECT_GT (obj_get (&kind_->table, "a")->revision, pos_make (2, 50));
  EXPECT_LT (obj_get (&kind_->table, "a")->revision, pos_make (2, 51));
  EXPECT_EQ (kind_->newest, obj_get (&kind_->table, "a")->revision);
  Pos raised = kind_->newest;
  rep_raise_kept (kind_);
  EXPECT_EQ (kind_->newest, raised);
}

// A write that the store executes late must not hide the newer value, with or without eras.
TEST_F (RepTest, LateWriteOfAnEarlierValueIsNotTaken)
{
  kind_->precedes
      = [] (const Obj *known, const char *value) { return strcmp (value, known->value) < 0; };
  for (uint64_t era = 0; era < 2; era++)
    {
      rep_apply (&rep_, kind_, "a", pos_make (era, 4), false, "5");
      rep_apply (&rep_, kind_, "a", pos_make (era, 5), false, "6");
      changes.clear ();
      rep_apply (&rep_, kind_, "a", pos_make (era, 6), false, "5");
      EXPECT_EQ (changes, "");
      EXPECT_STREQ (obj_get (&kind_->table, "a")->value, "6");
      EXPECT_GE (kind_->newest, pos_make (era, 6)); // so that peers take it over
      rep_apply (&rep_, kind_, "a", pos_make (era, 7), false, "7");
      EXPECT_STREQ (obj_get (&kind_->table, "a")->value, "7");
      rep_apply (&rep_, kind_, "a", pos_make (era, 8), true, nullptr);
      EXPECT_EQ (obj_get (&kind_->table, "a"), nullptr);
    }
}

// A list that may be stale is newer than a peer that is behind, or of an earlier era. Which of them
// is right shows when the store is listed again.
TEST_F (RepTest, StaleListThatIsLaterThanAPeerIsDoubtful)
{
  rep_apply (&rep_, kind_, "a", pos_make_stale (2, 30), false, "listed");
  rep_apply (&rep_, kind_, "a", pos_make (2, 31), false, "later");
  EXPECT_FALSE (kind_->is_doubtful);
  rep_apply (&rep_, kind_, "b", pos_make_stale (2, 30), false, "listed");
  rep_apply (&rep_, kind_, "b", pos_make (2, 20), false, "told");
  EXPECT_TRUE (kind_->is_doubtful);
  kind_->is_doubtful = false;
  rep_apply (&rep_, kind_, "c", pos_make (2, 20), false, "told");
  rep_apply (&rep_, kind_, "c", pos_make_stale (2, 30), false, "listed");
  EXPECT_TRUE (kind_->is_doubtful);
}

// A peer that is behind has an upstream that was removed before the list.
TEST_F (RepTest, ObjectThatAStaleListLacksIsDoubtful)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  rep_reconcile (&rep_, kind_, listed, pos_make_stale (2, 30));
  rep_apply (&rep_, kind_, "a", pos_make (2, 31), false, "later");
  EXPECT_FALSE (kind_->is_doubtful);
  rep_apply (&rep_, kind_, "b", pos_make (2, 20), true, nullptr);
  EXPECT_FALSE (kind_->is_doubtful);
  rep_apply (&rep_, kind_, "c", pos_make (2, 20), false, "told");
  EXPECT_TRUE (kind_->is_doubtful);
  kind_->is_doubtful = false;
  rep_reconcile (&rep_, kind_, listed, pos_make (2, 40));
  EXPECT_EQ (obj_get (&kind_->table, "c"), nullptr);
  rep_apply (&rep_, kind_, "d", pos_make (2, 39), false, "told");
  EXPECT_FALSE (kind_->is_doubtful);
  g_hash_table_unref (listed);
}
