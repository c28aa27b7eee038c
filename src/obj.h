/* Replicated table of the platform's objects, ordered by the store's revision. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct Obj - one object, or the mark of a deleted one */
typedef struct
{
  char *path;
  uint64_t revision;
  bool deleted;
  char *value;
} Obj;

/**
 * struct ObjTable - objects known
 * @revision: all changes up to this revision are in the table; it never goes back
 */
typedef struct
{
  GHashTable *by_path;
  uint64_t revision;
} ObjTable;

/** typedef ObjFn - visits one object */
typedef void (*ObjFn) (void *user, const Obj *obj);

/** obj_free() - releases one object; for containers of objects. */
void obj_free (gpointer data);

void obj_init (ObjTable *table);
void obj_clear (ObjTable *table);

/** obj_apply() - takes a change unless a newer one of that path is known; true when taken. */
bool obj_apply (ObjTable *table, const char *path, uint64_t revision, bool deleted,
                const char *value);

/** obj_advance() - states that all changes up to @revision are known; true when it grew. */
bool obj_advance (ObjTable *table, uint64_t revision);

/** obj_get() - a live object or NULL. */
const Obj *obj_get (const ObjTable *table, const char *path);

/** obj_each() - visits live objects whose path starts with @prefix, in path order. */
void obj_each (const ObjTable *table, const char *prefix, ObjFn fn, void *user);

/** obj_since() - visits all changes after @revision, deleted objects included. */
void obj_since (const ObjTable *table, uint64_t revision, ObjFn fn, void *user);

/**
 * obj_part_since() - calls @fn for what changed after @revision, oldest first
 *
 * Ends before the objects exceed @most_bytes, but never within one revision. Return: the revision
 * up to which nothing is missing; @revision when the first change alone is larger.
 */
uint64_t obj_part_since (const ObjTable *table, uint64_t revision, size_t most_bytes, ObjFn fn,
                         void *user);

/**
 * obj_reconcile() - marks as deleted what a complete list at @revision does not name
 * @listed: set of paths
 */
void obj_reconcile (ObjTable *table, GHashTable *listed, uint64_t revision);
