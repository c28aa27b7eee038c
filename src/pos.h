/* Positions in the history of the platform's store. Pure. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * typedef Pos - a position: an era of the store, whether it is of a stale list, a revision within
 * it, and how far a kept value lies behind that revision
 *
 * An era begins whenever the store returns from an older copy and gives revisions out again.
 * Positions compare as integers: by era, stale ones first, then by revision, then by distance. A
 * list that may be stale may show an earlier era than its response names, so that all that is known
 * otherwise of that era counts as newer. Without an era, as a store that counts none and nodes of
 * an earlier version report it, a position is the revision itself, and less than any with an era.
 *
 * A kept value is one of an earlier era that stays in force although the copy has an older one. Its
 * position lies behind that of the value in the copy and before that of any later change.
 */
typedef uint64_t Pos;

#define POS_ERA_BITS 15
#define POS_REVISION_BITS 40
#define POS_KEPT_BITS 8
#define POS_ERA_MAX ((UINT64_C (1) << POS_ERA_BITS) - 1)
#define POS_REVISION_MAX ((UINT64_C (1) << POS_REVISION_BITS) - 1)
#define POS_KEPT_MAX ((UINT64_C (1) << POS_KEPT_BITS) - 2)

/** pos_make() - the position of a revision; @era: 0 for none. */
Pos pos_make (uint64_t era, uint64_t revision);

/** pos_make_stale() - the same for a revision in a list that may be stale. */
Pos pos_make_stale (uint64_t era, uint64_t revision);

/** pos_is_stale() - whether it is the position of an object in a list that may be stale. */
bool pos_is_stale (Pos position);

/** pos_era() - the era of a position; 0 for none. */
uint64_t pos_era (Pos position);

/** pos_revision() - the revision within the era. */
uint64_t pos_revision (Pos position);

/** pos_is_kept() - whether it is the position of a kept value. */
bool pos_is_kept (Pos position);

/**
 * pos_lapse() - the position of the tombstone of an object that an older copy lacks
 * @list: position of the list without the object, or of a value kept after that list
 *
 * The object did not leave: it may be written again. The position lies behind that of a kept value,
 * whose removal can therefore be repeated there too.
 */
Pos pos_lapse (Pos list);

/**
 * pos_may_be_copied() - whether a value at @position may be one that the older copy had
 * @known: position of the same object in an earlier era
 *
 * If it lies beyond @known's revision, it was written after the return: the copy ends before the
 * changes that were lost. Nor is it an older one if @known says that an earlier copy lacked it.
 */
bool pos_may_be_copied (Pos position, Pos known);

/** pos_raise() - the position of a kept value, moved up to the revision of a later one. */
Pos pos_raise (Pos kept, Pos later);

/**
 * pos_keep() - the position of a value that is kept
 * @copy: position of the older value in the copy, or of the list that lacks the object; without an
 *   era, the kept value takes it
 * @known: position of the kept value before
 *
 * Of values that nodes keep in place of the same one in the copy, the newest has the largest
 * position, unless they lie more than POS_KEPT_MAX revisions behind.
 */
Pos pos_keep (Pos copy, Pos known);
