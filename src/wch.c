/* Store watchers: which nodes watch the platform's store for changes. Pure: no I/O, no clock. */
#include "wch.h"

static bool
precedes_in_region (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  uint32_t region = per->region_of (per->user, per->self.zone_index);
  OvlNode own = per_own_ovl_node (per);
  OvlNode other = per_ovl_node (peer);

  return per_is_recent (per, peer, now_ms) && peer->state != PER_STOPPING
         && per->region_of (per->user, peer->zone) == region && ovl_precedes (&other, &own);
}

/* A peer of an earlier era has not noticed that the store returned from an older copy. */
static bool
is_watching (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  return peer->watch == PER_WATCH_HEALTHY && peer->era >= rep_era (&per->rep)
         && per_is_recent (per, peer, now_ms);
}

static bool
precedes_and_watches (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  return is_watching (per, peer, now_ms) && precedes_in_region (per, peer, now_ms);
}

uint32_t
wch_rank (const Per *per, uint64_t now_ms)
{
  return per_count_if (per, precedes_in_region, now_ms);
}

/* Where cells are zones, nodes other than heads don't know which nodes of other zones watch, so
 * they leave it to the heads. */
static bool
heads_can_watch (const Per *per, uint64_t now_ms)
{
  uint32_t preceding = 0;

  if (!per->zoned)
    return false;
  for (guint i = 0; i < per->rank; i++)
    {
      const PerPeer *peer = g_ptr_array_index (per->own_cell, i);
      if (per_is_recent (per, peer, now_ms) && peer->state != PER_STOPPING
          && peer->watch != PER_WATCH_FAILING)
        preceding++;
    }
  return preceding >= OVL_HEADS;
}

static bool
has_watch (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  return peer->watch != PER_WATCH_NONE && peer->era >= rep_era (&per->rep)
         && per_is_recent (per, peer, now_ms);
}

bool
wch_is_covered (const Per *per, uint64_t now_ms)
{
  return per_count_if (per, has_watch, now_ms) > 0;
}

bool
wch_store_is_watched (const Per *per, uint64_t now_ms)
{
  return per_count_if (per, is_watching, now_ms) > 0;
}

bool
wch_should_watch (Per *per, uint64_t now_ms)
{
  if (per->self.state == PER_STOPPING || heads_can_watch (per, now_ms)
      || per_count_if (per, precedes_and_watches, now_ms) > 0)
    {
      per->unwatched_since_ms = 0;
      return false;
    }
  if (per->unwatched_since_ms == 0)
    per->unwatched_since_ms = now_ms;
  return now_ms - per->unwatched_since_ms >= wch_rank (per, now_ms) * PER_TAKEOVER_DELAY_MS;
}
