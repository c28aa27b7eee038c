/* Replica of the platform's objects by kind, updated from the store and by other nodes. */
#include "rep.h"

#include <string.h>

static void
kind_free (gpointer data)
{
  RepKind *kind = data;

  obj_clear (&kind->table);
  g_free (kind);
}

void
rep_init (Rep *rep, RepChangedFn on_changed, void *user)
{
  rep->kinds = g_ptr_array_new_with_free_func (kind_free);
  rep->on_changed = on_changed;
  rep->user = user;
}

void
rep_clear (Rep *rep)
{
  g_ptr_array_unref (rep->kinds);
}

RepKind *
rep_find_kind (const Rep *rep, const char *name)
{
  for (guint i = 0; i < rep->kinds->len; i++)
    {
      RepKind *kind = g_ptr_array_index (rep->kinds, i);
      if (strcmp (kind->name, name) == 0)
        return kind;
    }
  return NULL;
}

RepKind *
rep_ensure_kind (Rep *rep, const char *name)
{
  RepKind *kind = rep_find_kind (rep, name);

  if (kind != NULL)
    return kind;
  kind = g_new0 (RepKind, 1);
  g_strlcpy (kind->name, name, sizeof kind->name);
  obj_init (&kind->table);
  g_ptr_array_add (rep->kinds, kind);
  return kind;
}

static const Obj *
find_object (const RepKind *kind, const char *name)
{
  return g_hash_table_lookup (kind->table.by_path, name);
}

void
rep_take (Rep *rep, RepKind *kind, const char *name, uint64_t revision, bool deleted, char *value)
{
  if (!obj_take (&kind->table, name, revision, deleted, value))
    return;
  kind->newest_revision = MAX (kind->newest_revision, revision);
  rep->on_changed (rep->user, kind->name, find_object (kind, name));
}

void
rep_apply (Rep *rep, RepKind *kind, const char *name, uint64_t revision, bool deleted,
           const char *value)
{
  rep_take (rep, kind, name, revision, deleted, g_strdup (value));
}

void
rep_reconcile (Rep *rep, RepKind *kind, GHashTable *listed, uint64_t revision)
{
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, kind->table.by_path);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Obj *obj = value;
      if (!obj->deleted && !g_hash_table_contains (listed, obj->path))
        g_ptr_array_add (missing, g_strdup (obj->path));
    }
  for (guint i = 0; i < missing->len; i++)
    rep_apply (rep, kind, g_ptr_array_index (missing, i), revision, true, NULL);
  g_ptr_array_unref (missing);
}
