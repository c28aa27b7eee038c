/* Replica of the object store: objects by path, each with the revision of its last change. */
#include "obj.h"

#include <string.h>

/* Encoded size of an object without its path and value: revision, lengths and padding. */
#define OBJ_OVERHEAD_BYTES 32u

void
obj_free (gpointer data)
{
  Obj *obj = data;

  g_free (obj->path);
  g_free (obj->value);
  g_free (obj);
}

void
obj_init (ObjTable *table)
{
  table->by_path = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, obj_free);
  table->revision = 0;
}

void
obj_clear (ObjTable *table)
{
  g_hash_table_unref (table->by_path);
  table->by_path = NULL;
}

bool
obj_take (ObjTable *table, const char *path, uint64_t revision, bool deleted, char *value)
{
  Obj *obj = g_hash_table_lookup (table->by_path, path);

  if (obj != NULL && obj->revision >= revision)
    {
      g_free (value);
      return false;
    }
  if (obj == NULL)
    {
      obj = g_new0 (Obj, 1);
      obj->path = g_strdup (path);
      g_hash_table_insert (table->by_path, obj->path, obj);
    }
  obj->revision = revision;
  obj->deleted = deleted;
  g_free (obj->value);
  obj->value = deleted ? NULL : value;
  if (deleted)
    g_free (value);
  return true;
}

bool
obj_apply (ObjTable *table, const char *path, uint64_t revision, bool deleted, const char *value)
{
  return obj_take (table, path, revision, deleted, g_strdup (value));
}

bool
obj_advance (ObjTable *table, uint64_t revision)
{
  if (revision <= table->revision)
    return false;
  table->revision = revision;
  return true;
}

const Obj *
obj_get (const ObjTable *table, const char *path)
{
  const Obj *obj = g_hash_table_lookup (table->by_path, path);

  return obj != NULL && !obj->deleted ? obj : NULL;
}

static int
compare_paths (const void *a, const void *b)
{
  return strcmp ((*(const Obj *const *) a)->path, (*(const Obj *const *) b)->path);
}

void
obj_foreach (const ObjTable *table, const char *prefix, ObjFn fn, void *user)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_path);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Obj *obj = value;
      if (!obj->deleted && g_str_has_prefix (obj->path, prefix))
        g_ptr_array_add (found, obj);
    }
  if (found->len > 0)
    qsort (found->pdata, found->len, sizeof (gpointer), compare_paths);
  for (uint32_t i = 0; i < found->len; i++)
    fn (user, found->pdata[i]);
  g_ptr_array_free (found, TRUE);
}

void
obj_foreach_since (const ObjTable *table, uint64_t revision, ObjFn fn, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_path);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Obj *) value)->revision > revision)
      fn (user, value);
}

static int
compare_revisions (const void *a, const void *b)
{
  uint64_t x = (*(const Obj *const *) a)->revision;
  uint64_t y = (*(const Obj *const *) b)->revision;

  return x < y ? -1 : x > y;
}

static size_t
encoded_bytes (const Obj *obj)
{
  return OBJ_OVERHEAD_BYTES + strlen (obj->path) + (obj->value != NULL ? strlen (obj->value) : 0);
}

static void
append_object (void *user, const Obj *obj)
{
  g_ptr_array_add (user, (gpointer) obj);
}

uint64_t
obj_batch_since (const ObjTable *table, uint64_t revision, size_t max_bytes, ObjFn fn, void *user)
{
  GPtrArray *found = g_ptr_array_new ();
  uint64_t last_revision = revision;
  size_t bytes = 0;

  obj_foreach_since (table, revision, append_object, found);
  if (found->len > 0)
    qsort (found->pdata, found->len, sizeof (gpointer), compare_revisions);
  for (uint32_t i = 0; i < found->len; i++)
    {
      const Obj *obj = found->pdata[i];
      bytes += encoded_bytes (obj);
      if (bytes > max_bytes && obj->revision != last_revision)
        break;
      fn (user, obj);
      last_revision = obj->revision;
    }
  g_ptr_array_free (found, TRUE);
  return last_revision;
}

void
obj_reconcile (ObjTable *table, GHashTable *listed, uint64_t revision)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_path);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Obj *obj = value;
      if (obj->deleted || obj->revision > revision || g_hash_table_contains (listed, obj->path))
        continue;
      obj->deleted = true;
      obj->revision = revision;
      g_clear_pointer (&obj->value, g_free);
    }
}
