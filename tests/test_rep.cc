#include <glib.h>

extern "C"
{
#include "rep.h"
}

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
  EXPECT_EQ (kind_->newest_revision, 5u);
}

// A peer fetches what is newer than the newest revision it knows, so a deletion must raise that
// revision; otherwise the peer would keep the deleted object.
TEST_F (RepTest, DeletionRaisesTheNewestRevision)
{
  rep_apply (&rep_, kind_, "a", 5, false, "{}");
  rep_apply (&rep_, kind_, "b", 9, false, "{}");
  rep_apply (&rep_, kind_, "a", 10, true, nullptr);
  EXPECT_EQ (kind_->newest_revision, 10u);
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
