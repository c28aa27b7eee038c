/* Which nodes watch the platform's store. */
#include "wch.h"

static bool
is_better_neighbour (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  uint32_t region = per->region_of (per->user, per->self.zone_index);
  OvlNode own = per_own_order (per);
  OvlNode other = per_order (peer);

  return per_is_recent (per, peer, now_ms) && peer->state != PER_STOPPING
         && per->region_of (per->user, peer->zone) == region && ovl_is_better (&other, &own);
}

uint32_t
wch_rank (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t rank = 0;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_better_neighbour (per, value, now_ms))
      rank++;
  return rank;
}

static bool
better_one_watches (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_better_neighbour (per, value, now_ms) && ((PerPeer *) value)->watch == PER_WATCH_HEALTHY)
      return true;
  return false;
}

/* Nodes that are not among the best of their zone do not hear of those of other zones. */
static bool
is_left_to_heads (const Per *per, uint64_t now_ms)
{
  uint32_t better = 0;

  if (!per->zoned)
    return false;
  for (guint i = 0; i < per->near->len && i < per->rank; i++)
    {
      const PerPeer *peer = g_ptr_array_index (per->near, i);
      if (per_is_recent (per, peer, now_ms) && peer->state != PER_STOPPING
          && peer->watch != PER_WATCH_FAILING)
        better++;
    }
  return better >= OVL_HEADS;
}

bool
wch_store_is_heard (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (per_is_recent (per, value, now_ms) && ((PerPeer *) value)->watch == PER_WATCH_HEALTHY)
      return true;
  return false;
}

bool
wch_should (Per *per, uint64_t now_ms)
{
  if (per->self.state == PER_STOPPING || is_left_to_heads (per, now_ms)
      || better_one_watches (per, now_ms))
    {
      per->unwatched_since_ms = 0;
      return false;
    }
  if (per->unwatched_since_ms == 0)
    per->unwatched_since_ms = now_ms;
  return now_ms - per->unwatched_since_ms >= wch_rank (per, now_ms) * PER_STEP_IN_MS;
}
