/* Replica of the object store: objects by path, each with the revision of its last change. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct Obj - an object of the store, or the tombstone of a deleted one
 * @revision: of its last change; in the replica of a node, its Pos
 */
typedef struct
{
  char *path;
  uint64_t revision;
  bool deleted;
  char *value;
} Obj;

/**
 * struct ObjTable - objects and tombstones by path
 * @revision: all changes up to this revision are in the table; never decreases
 */
typedef struct
{
  GHashTable *by_path;
  uint64_t revision;
} ObjTable;

/** typedef ObjFn - called for each visited object */
typedef void (*ObjFn) (void *user, const Obj *obj);

/** obj_free() - frees an Obj; a GDestroyNotify for containers. */
void obj_free (gpointer data);

void obj_init (ObjTable *table);
void obj_clear (ObjTable *table);

/** obj_apply() - applies a change unless @path has this or a newer revision; true if applied. */
bool obj_apply (ObjTable *table, const char *path, uint64_t revision, bool deleted,
                const char *value);

/** obj_take() - the same with a value that the table then owns. */
bool obj_take (ObjTable *table, const char *path, uint64_t revision, bool deleted, char *value);

/** obj_advance() - records that all changes up to @revision are applied; true if it increased. */
bool obj_advance (ObjTable *table, uint64_t revision);

/** obj_get() - the object at @path, or NULL if it is unknown or deleted. */
const Obj *obj_get (const ObjTable *table, const char *path);

/** obj_foreach() - visits objects that are not deleted and whose path starts with @prefix, by path.
 */
void obj_foreach (const ObjTable *table, const char *prefix, ObjFn fn, void *user);

/** obj_foreach_since() - visits objects and tombstones changed after @revision, in no order. */
void obj_foreach_since (const ObjTable *table, uint64_t revision, ObjFn fn, void *user);

/**
 * obj_batch_since() - visits a batch of the changes after @revision, oldest first
 *
 * The batch ends before its encoded size exceeds @max_bytes, but changes of one revision stay in
 * one batch, whatever their size, so that the next batch can start at the returned revision.
 * Return: the last revision in the batch; @revision if there is no change or the first one alone
 * exceeds @max_bytes.
 */
uint64_t obj_batch_since (const ObjTable *table, uint64_t revision, size_t max_bytes, ObjFn fn,
                          void *user);

/**
 * obj_reconcile() - deletes objects that are missing from a complete list of the store
 * @listed: set of the listed paths
 * @revision: revision of the list; objects changed later are kept
 */
void obj_reconcile (ObjTable *table, GHashTable *listed, uint64_t revision);
