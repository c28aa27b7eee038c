/* Census of a service's objects: how many there are, also those that this node has not seen. */
#include "cen.h"

#define UNSEEN_MOST 4

typedef struct
{
  uint64_t asked_at_ms;
  uint32_t times;
} Seen;

void
cen_init (Cen *census)
{
  *census = (Cen){ .seen = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free) };
}

void
cen_clear (Cen *census)
{
  g_hash_table_unref (census->seen);
}

static void
count (Cen *census, const Seen *seen, int32_t change)
{
  if (seen->times == 1)
    census->once = (uint32_t) ((int32_t) census->once + change);
  else if (seen->times == 2)
    census->twice = (uint32_t) ((int32_t) census->twice + change);
}

void
cen_note (Cen *census, uint32_t object, uint64_t now_ms)
{
  Seen *seen = g_hash_table_lookup (census->seen, GUINT_TO_POINTER (object));

  if (seen == NULL)
    {
      seen = g_new0 (Seen, 1);
      g_hash_table_insert (census->seen, GUINT_TO_POINTER (object), seen);
    }
  count (census, seen, -1);
  seen->times++;
  seen->asked_at_ms = now_ms;
  count (census, seen, 1);
}

void
cen_forget (Cen *census, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, census->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Seen *seen = value;
      if (now_ms - seen->asked_at_ms < PLC_OBJECT_TTL_MS)
        continue;
      count (census, seen, -1);
      g_hash_table_iter_remove (&iter);
    }
}

uint32_t
cen_objects (const Cen *census)
{
  uint64_t found = g_hash_table_size (census->seen);
  uint64_t once = census->once;
  uint64_t unseen = once > 0 ? once * (once - 1) / (2 * ((uint64_t) census->twice + 1)) : 0;

  return (uint32_t) (found + MIN (unseen, UNSEEN_MOST * found));
}
