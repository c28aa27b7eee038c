/* Replica of the platform's objects by kind, fed by the platform and by other nodes. */
#pragma once

#include "lim.h"
#include "obj.h"

/** typedef RepChangedFn - an object of a kind changed; @object says whether it is deleted */
typedef void (*RepChangedFn) (void *user, const char *kind, const Obj *object);

/**
 * struct RepKind - objects of one kind
 * @changed: revision of the newest change known
 * @pushed: revision up to which changes were passed on to other nodes
 * @fetched_at_ms: when a peer was last asked for news, 0 when none is being asked
 * @any_size: a peer is asked for news of any size, because the store cannot be asked
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  ObjTable table;
  uint64_t changed;
  uint64_t pushed;
  uint64_t behind_since_ms;
  uint64_t fetched_at_ms;
  bool any_size;
} RepKind;

typedef struct
{
  GPtrArray *kinds;
  RepChangedFn changed;
  void *user;
} Rep;

void rep_init (Rep *rep, RepChangedFn changed, void *user);
void rep_clear (Rep *rep);

/** rep_kind() - the kind's objects; made when first asked for. */
RepKind *rep_kind (Rep *rep, const char *name);

/** rep_find() - the kind's objects or NULL. */
RepKind *rep_find (const Rep *rep, const char *name);

/** rep_take() - takes a change unless a newer one of that object is known. */
void rep_take (Rep *rep, RepKind *kind, const char *name, uint64_t revision, bool deleted,
               const char *value);

/** rep_reconcile() - takes the end of what a complete list at @revision does not name. */
void rep_reconcile (Rep *rep, RepKind *kind, GHashTable *listed, uint64_t revision);
