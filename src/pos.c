/* Positions in the history of the platform's store. Pure. */
#include "pos.h"

#include <glib.h>

#define CURRENT_SHIFT (POS_REVISION_BITS + POS_KEPT_BITS)
#define CURRENT (UINT64_C (1) << CURRENT_SHIFT)
#define ERA_SHIFT (CURRENT_SHIFT + 1)
#define KEPT_MASK ((UINT64_C (1) << POS_KEPT_BITS) - 1)
#define LAPSED KEPT_MASK

Pos
pos_make_stale (uint64_t era, uint64_t revision)
{
  if (era == 0)
    return MIN (revision, POS_REVISION_MAX);
  return MIN (era, POS_ERA_MAX) << ERA_SHIFT | MIN (revision, POS_REVISION_MAX) << POS_KEPT_BITS;
}

Pos
pos_make (uint64_t era, uint64_t revision)
{
  return pos_make_stale (era, revision) | (era != 0 ? CURRENT : 0);
}

bool
pos_is_stale (Pos position)
{
  return pos_era (position) != 0 && (position & CURRENT) == 0;
}

uint64_t
pos_era (Pos position)
{
  return position >> ERA_SHIFT;
}

uint64_t
pos_revision (Pos position)
{
  return pos_era (position) == 0 ? position : position >> POS_KEPT_BITS & POS_REVISION_MAX;
}

static uint64_t
distance (Pos position)
{
  return pos_era (position) == 0 ? 0 : position & KEPT_MASK;
}

bool
pos_is_kept (Pos position)
{
  return distance (position) > 0 && distance (position) != LAPSED;
}

Pos
pos_lapse (Pos list)
{
  return pos_era (list) == 0 ? list : list | LAPSED;
}

/* The revision at which a value was written, as far as a kept one's distance tells. */
static uint64_t
written_at (Pos position)
{
  return pos_revision (position) + distance (position);
}

bool
pos_may_be_copied (Pos position, Pos known)
{
  if (distance (known) == LAPSED)
    return false;
  return pos_revision (position) <= written_at (known) || distance (known) == POS_KEPT_MAX;
}

Pos
pos_keep (Pos copy, Pos known)
{
  if (pos_era (copy) == 0)
    return copy;
  uint64_t newest = written_at (known);
  uint64_t ahead = newest > pos_revision (copy) ? newest - pos_revision (copy) : 1;

  return (copy & ~(Pos) KEPT_MASK) | MIN (ahead, POS_KEPT_MAX);
}

Pos
pos_raise (Pos kept, Pos later)
{
  return pos_make (pos_era (kept), MAX (pos_revision (kept), pos_revision (later)))
         | distance (kept);
}
