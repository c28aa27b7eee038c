/* Replica of the platform's objects by kind, updated from the store and by other nodes. */
#pragma once

#include "lim.h"
#include "obj.h"
#include "pos.h"

/** typedef RepChangedFn - called after an object of a kind has changed; @object is marked as
 * deleted when it no longer exists */
typedef void (*RepChangedFn) (void *user, const char *kind, const Obj *object);

/**
 * typedef RepKeepsFn - whether an object's known value stays in force in a later era of the store
 * @known: the object, or its tombstone
 * @value: value that the older copy may have had; NULL when the copy lacks the object
 */
typedef bool (*RepKeepsFn) (const Obj *known, const char *value);

/**
 * struct RepKind - objects of one kind
 * @keeps: NULL if the value in a later era always counts
 * @precedes: whether a value was made before the known one, so that the store executed its write
 *   late and the known one stays; NULL if the store's order always counts
 * @newest: position of the newest change known
 * @kept: number of objects that may have the position of a kept value; 0 for none
 * @listed: position of the last complete list of the store; 0 for none
 * @pushed: position up to which changes were pushed to other nodes; 0 before the first push
 * @is_doubtful: a list that may be stale and what was known otherwise contradict each other, so
 * that the store has to be listed again
 * @behind_since_ms: when a peer first reported a newer position; 0 when up to date
 * @fetch_started_at_ms: when the fetch in progress started; 0 when there is none
 * @asked_at_ms: when the store was last asked for a large object; 0 for never
 * @asked_after: newest position then
 * @unlimited_fetch: the next fetch has no size limit, because the store does not help
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  ObjTable table;
  RepKeepsFn keeps;
  RepKeepsFn precedes;
  Pos newest;
  uint32_t kept;
  Pos listed;
  Pos pushed;
  bool is_doubtful;
  uint64_t behind_since_ms;
  uint64_t fetch_started_at_ms;
  uint64_t asked_at_ms;
  Pos asked_after;
  bool unlimited_fetch;
} RepKind;

/** struct Rep - all kinds; @on_changed is called with @user after each change */
typedef struct
{
  GPtrArray *kinds;
  RepChangedFn on_changed;
  void *user;
} Rep;

void rep_init (Rep *rep, RepChangedFn on_changed, void *user);
void rep_clear (Rep *rep);

/** rep_ensure_kind() - the objects of a kind; adds an empty kind when there is none of that name.
 */
RepKind *rep_ensure_kind (Rep *rep, const char *name);

/** rep_find_kind() - the objects of a kind; NULL when there is none of that name. */
RepKind *rep_find_kind (const Rep *rep, const char *name);

/** rep_is_superseded() - whether the store was listed in a later era than that of @position: what
 * was known then is known, listed, or gone. */
bool rep_is_superseded (const RepKind *kind, Pos position);

/** rep_era() - the newest era of the store of which a change is known; 0 for none. */
uint64_t rep_era (const Rep *rep);

/**
 * rep_apply() - applies a change unless the same or a newer position of that object is known, or a
 * list of a later era
 *
 * A value of a later era may be one that the older copy had. If @keeps of the kind says so, the
 * known value or tombstone stays instead, at the position of a kept value. So does a known value
 * that a newer one @precedes, so that it reaches nodes that know the newer one alone.
 */
void rep_apply (Rep *rep, RepKind *kind, const char *name, Pos position, bool deleted,
                const char *value);

/** rep_take() - the same with a value that the replica then owns. */
void rep_take (Rep *rep, RepKind *kind, const char *name, Pos position, bool deleted, char *value);

/**
 * rep_raise_kept() - moves kept values up to the revision of the newest change
 *
 * Nodes fetch what lies behind the newest position that they know. One that listed the store itself
 * knows the newest revision, but not the values that others keep at earlier ones.
 */
void rep_raise_kept (RepKind *kind);

/**
 * rep_reconcile() - deletes the objects that a complete list does not contain, but for those that
 * are kept
 * @listed: set of the listed objects' names
 * @position: position of the list; objects changed later are kept
 */
void rep_reconcile (Rep *rep, RepKind *kind, GHashTable *listed, Pos position);
