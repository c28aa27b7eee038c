/* Replica of the platform's objects by kind, updated from the store and by other nodes. */
#pragma once

#include "lim.h"
#include "obj.h"

/** typedef RepChangedFn - called after an object of a kind has changed; @object is marked as
 * deleted when it no longer exists */
typedef void (*RepChangedFn) (void *user, const char *kind, const Obj *object);

/**
 * struct RepKind - objects of one kind
 * @newest_revision: revision of the newest change known
 * @pushed_revision: revision up to which changes were pushed to other nodes; 0 before the first
 * push
 * @behind_since_ms: when a peer first reported a newer revision; 0 when up to date
 * @fetch_started_at_ms: when the fetch in progress started; 0 when there is none
 * @unlimited_fetch: the next fetch has no size limit, because the store cannot be asked
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  ObjTable table;
  uint64_t newest_revision;
  uint64_t pushed_revision;
  uint64_t behind_since_ms;
  uint64_t fetch_started_at_ms;
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

/** rep_apply() - applies a change unless the same or a newer revision of that object is known. */
void rep_apply (Rep *rep, RepKind *kind, const char *name, uint64_t revision, bool deleted,
                const char *value);

/** rep_take() - the same with a value that the replica then owns. */
void rep_take (Rep *rep, RepKind *kind, const char *name, uint64_t revision, bool deleted,
               char *value);

/**
 * rep_reconcile() - deletes the objects that a complete list does not contain
 * @listed: set of the listed objects' names
 * @revision: revision of the list; objects changed later are kept
 */
void rep_reconcile (Rep *rep, RepKind *kind, GHashTable *listed, uint64_t revision);
