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

uint64_t
rep_era (const Rep *rep)
{
  uint64_t era = 0;

  for (guint i = 0; i < rep->kinds->len; i++)
    era = MAX (era, pos_era (((const RepKind *) g_ptr_array_index (rep->kinds, i))->newest));
  return era;
}

bool
rep_is_superseded (const RepKind *kind, Pos position)
{
  return pos_era (position) < pos_era (kind->listed);
}

static bool
is_of_later_era (const Obj *known, Pos position)
{
  return known != NULL && pos_era (position) > pos_era (known->revision);
}

/* Moves a kept value behind the position of the older one, without a change of the value. */
static void
keep_object (RepKind *kind, const Obj *known, Pos copy)
{
  Pos position = pos_keep (copy, known->revision);

  obj_take (&kind->table, known->path, position, known->deleted, g_strdup (known->value));
  kind->newest = MAX (kind->newest, position);
  kind->kept++;
}

/* Whether the store executed the write of a value after that of a later one. */
static bool
is_late_write (const RepKind *kind, const Obj *known, Pos position, bool deleted, const char *value)
{
  return kind->precedes != NULL && known != NULL && !known->deleted && !deleted
         && position > known->revision && g_strcmp0 (known->value, value) != 0
         && kind->precedes (known, value);
}

/* Whether it is the same write that was known from an earlier era or a list that may be stale. */
static bool
is_known_write (const Obj *known, Pos position, bool deleted, const char *value)
{
  if (known == NULL || known->deleted != deleted || g_strcmp0 (known->value, value) != 0)
    return false;
  return is_of_later_era (known, position)
         || (pos_is_stale (known->revision)
             && pos_revision (known->revision) == pos_revision (position));
}

/* Whether a value was kept by a node that did not see it written again and removed in this era. */
static bool
is_kept_since_removal (const Obj *known, Pos position, bool deleted)
{
  return known != NULL && known->deleted && !deleted && pos_is_kept (position)
         && pos_era (position) == pos_era (known->revision) && !pos_is_kept (known->revision)
         && pos_revision (position) >= pos_revision (known->revision);
}

/* Moves the tombstone behind that value, so that its node takes it over. */
static void
repeat_removal (RepKind *kind, const Obj *known, Pos kept)
{
  Pos position = pos_lapse (kept);

  obj_take (&kind->table, known->path, position, true, NULL);
  kind->newest = MAX (kind->newest, position);
}

/* Whether a list that may be stale had a later write of an object than another source of that era.
 */
static bool
is_listed_later (const Obj *known, Pos position)
{
  if (pos_era (known->revision) != pos_era (position)
      || pos_is_stale (known->revision) == pos_is_stale (position))
    return false;
  Pos listed = pos_is_stale (position) ? position : known->revision;
  Pos other = pos_is_stale (position) ? known->revision : position;
  return pos_revision (listed) > pos_revision (other);
}

/* Whether a list that may be stale lacked an object that was written before it. */
static bool
is_unlisted (const RepKind *kind, Pos position, bool deleted)
{
  return !deleted && pos_is_stale (kind->listed) && !pos_is_stale (position)
         && pos_era (position) == pos_era (kind->listed)
         && pos_revision (position) <= pos_revision (kind->listed);
}

/* Either the other source is behind the list, or the list is of an earlier era. */
static bool
is_contradiction (const RepKind *kind, const Obj *known, Pos position, bool deleted)
{
  return known != NULL ? is_listed_later (known, position) : is_unlisted (kind, position, deleted);
}

void
rep_take (Rep *rep, RepKind *kind, const char *name, Pos position, bool deleted, char *value)
{
  const Obj *known = find_object (kind, name);
  bool is_later_era = is_of_later_era (known, position);
  bool is_kept = is_later_era && !deleted && kind->keeps != NULL
                 && pos_may_be_copied (position, known->revision) && kind->keeps (known, value);

  kind->is_doubtful = kind->is_doubtful || is_contradiction (kind, known, position, deleted);
  if (rep_is_superseded (kind, position))
    {
      g_free (value);
      return;
    }
  if (is_kept_since_removal (known, position, deleted))
    {
      g_free (value);
      repeat_removal (kind, known, position);
      return;
    }
  if (is_kept || is_late_write (kind, known, position, deleted, value))
    {
      g_free (value);
      keep_object (kind, known, position);
      return;
    }
  bool is_unchanged = is_known_write (known, position, deleted, value);
  if (!obj_take (&kind->table, name, position, deleted, value))
    return;
  kind->newest = MAX (kind->newest, position);
  if (pos_is_kept (position))
    kind->kept++;
  if (!is_unchanged)
    rep->on_changed (rep->user, kind->name, find_object (kind, name));
}

void
rep_apply (Rep *rep, RepKind *kind, const char *name, Pos position, bool deleted, const char *value)
{
  rep_take (rep, kind, name, position, deleted, g_strdup (value));
}

void
rep_raise_kept (RepKind *kind)
{
  GHashTableIter iter;
  gpointer value;

  if (kind->kept == 0)
    return;
  kind->kept = 0;
  g_hash_table_iter_init (&iter, kind->table.by_path);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Obj *obj = value;
      if (!pos_is_kept (obj->revision) || pos_era (obj->revision) != pos_era (kind->newest))
        continue;
      kind->kept++;
      obj->revision = pos_raise (obj->revision, kind->newest);
      kind->newest = MAX (kind->newest, obj->revision);
    }
}

static GPtrArray *
find_unlisted (const RepKind *kind, GHashTable *listed)
{
  GPtrArray *unlisted = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, kind->table.by_path);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Obj *obj = value;
      if (!obj->deleted && !g_hash_table_contains (listed, obj->path))
        g_ptr_array_add (unlisted, obj);
    }
  return unlisted;
}

void
rep_reconcile (Rep *rep, RepKind *kind, GHashTable *listed, Pos position)
{
  GPtrArray *unlisted = find_unlisted (kind, listed);

  for (guint i = 0; i < unlisted->len; i++)
    {
      const Obj *obj = g_ptr_array_index (unlisted, i);
      bool is_later_era = is_of_later_era (obj, position);
      bool is_kept = (is_later_era || pos_is_kept (obj->revision)) && kind->keeps != NULL
                     && kind->keeps (obj, NULL);
      if (!is_kept)
        rep_apply (rep, kind, obj->path, is_later_era ? pos_lapse (position) : position, true,
                   NULL);
      else if (is_later_era)
        keep_object (kind, obj, position);
    }
  g_ptr_array_unref (unlisted);
  kind->listed = MAX (kind->listed, position);
}
