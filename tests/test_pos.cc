// Positions: one order over eras, revisions and kept values.
#include <glib.h>

extern "C"
{
#include "pos.h"
}

#include <gtest/gtest.h>

TEST (Pos, OrderIsByEraThenRevision)
{
  EXPECT_LT (pos_make (1, 90), pos_make (2, 3));
  EXPECT_LT (pos_make (2, 3), pos_make (2, 4));
  EXPECT_LT (pos_make (POS_ERA_MAX - 1, POS_REVISION_MAX), pos_make (POS_ERA_MAX, 0));
}

TEST (Pos, PartsAreReadBack)
{
  Pos position = pos_make (7, 123456789);
  EXPECT_EQ (pos_era (position), 7u);
  EXPECT_EQ (pos_revision (position), 123456789u);
  EXPECT_FALSE (pos_is_kept (position));
}

// What a node of an earlier version reports, and a store that counts no eras.
TEST (Pos, WithoutAnEraItIsTheRevisionAndLessThanAnyWithOne)
{
  EXPECT_EQ (pos_make (0, 41), 41u);
  EXPECT_EQ (pos_era (41), 0u);
  EXPECT_EQ (pos_revision (41), 41u);
  EXPECT_LT (pos_make (0, POS_REVISION_MAX), pos_make (1, 0));
}

TEST (Pos, KeptValueIsBehindTheCopyAndBeforeAnyLaterChange)
{
  Pos kept = pos_keep (pos_make (2, 40), pos_make (1, 60));
  EXPECT_GT (kept, pos_make (2, 40));
  EXPECT_LT (kept, pos_make (2, 41));
  EXPECT_TRUE (pos_is_kept (kept));
  EXPECT_EQ (pos_revision (kept), 40u);
  Pos far = pos_keep (pos_make (2, 40), pos_make (1, 400000));
  EXPECT_LT (far, pos_make (2, 41));
  EXPECT_TRUE (pos_is_kept (pos_keep (pos_make (2, 40), pos_make (1, 3))));
}

TEST (Pos, NewestKeptValueHasTheLargestPosition)
{
  EXPECT_GT (pos_keep (pos_make (2, 40), pos_make (1, 60)),
             pos_keep (pos_make (2, 40), pos_make (1, 58)));
  // Also over two returns of the store in series.
  Pos newer = pos_keep (pos_make (2, 40), pos_make (1, 60));
  Pos older = pos_keep (pos_make (2, 40), pos_make (1, 58));
  EXPECT_GT (pos_keep (pos_make (3, 40), newer), pos_keep (pos_make (3, 40), older));
  EXPECT_GT (pos_keep (pos_make (3, 30), newer), pos_keep (pos_make (3, 30), older));
}

// The copy ends before the changes that were lost, so what lies beyond one of them is newer.
TEST (Pos, ValueBeyondALostChangeIsNotACopiedOne)
{
  EXPECT_TRUE (pos_may_be_copied (pos_make (2, 40), pos_make (1, 60)));
  EXPECT_TRUE (pos_may_be_copied (pos_make (2, 60), pos_make (1, 60)));
  EXPECT_FALSE (pos_may_be_copied (pos_make (2, 61), pos_make (1, 60)));
  Pos kept = pos_keep (pos_make (2, 40), pos_make (1, 60));
  EXPECT_TRUE (pos_may_be_copied (pos_make (3, 55), kept));
  EXPECT_FALSE (pos_may_be_copied (pos_make (3, 61), kept));
}

// An upstream that one copy lacked registers after the next return, at whatever revision.
TEST (Pos, TombstoneOfALapsedObjectIsNoReasonToKeepIt)
{
  Pos lapsed = pos_lapse (pos_make (2, 40));
  EXPECT_GT (lapsed, pos_keep (pos_make (2, 40), pos_make (1, 400000)));
  EXPECT_LT (lapsed, pos_make (2, 41));
  EXPECT_FALSE (pos_is_kept (lapsed));
  EXPECT_FALSE (pos_may_be_copied (pos_make (3, 12), lapsed));
  EXPECT_EQ (pos_lapse (pos_make (0, 40)), 40u);
}

// A list that may be stale is of an earlier era at worst, whatever its response says.
TEST (Pos, StaleListIsOlderThanAllElseOfItsEra)
{
  EXPECT_LT (pos_make_stale (2, 90), pos_make (2, 1));
  EXPECT_LT (pos_make_stale (2, 40), pos_make_stale (2, 41));
  EXPECT_GT (pos_make_stale (2, 0), pos_keep (pos_make (1, 90), pos_make (0, 99)));
  EXPECT_TRUE (pos_is_stale (pos_make_stale (2, 40)));
  EXPECT_FALSE (pos_is_stale (pos_make (2, 40)));
  EXPECT_EQ (pos_era (pos_make_stale (2, 40)), 2u);
  EXPECT_EQ (pos_revision (pos_make_stale (2, 40)), 40u);
  EXPECT_EQ (pos_make_stale (0, 40), pos_make (0, 40));
}
