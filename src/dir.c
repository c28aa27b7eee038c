/* Look-ups: which nodes a caller should connect to. */
#include "dir.h"

#define ADDRESSES_MAX 64

static bool
is_in_region (const Node *node, uint32_t zone, uint32_t region)
{
  if (zone >= node->set.zones->len)
    return false;
  return g_array_index (node->set.zones, NodZone, zone).region == region;
}

static GArray *
serving_in (const Node *node, uint32_t region, uint64_t now_ms)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (NetAddr));
  GHashTableIter iter;
  gpointer value;

  if (node->state == NOD_SERVING
      && (region == ZONE_NONE || is_in_region (node, node->set.zone_index, region)))
    g_array_append_val (found, node->set.front);
  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PerPeer *peer = value;
      if (!per_alive (peer, now_ms) || peer->state != PER_SERVING)
        continue;
      if (region == ZONE_NONE || is_in_region (node, peer->zone, region))
        g_array_append_val (found, peer->front);
    }
  return found;
}

/* Moves a random choice of the addresses to the front, so that none is left out for good. */
static void
shuffle (GArray *found, guint first)
{
  for (guint i = 0; i < first && i + 1 < found->len; i++)
    {
      guint other = i + (guint) g_random_int_range (0, (gint32) (found->len - i));
      NetAddr swapped = g_array_index (found, NetAddr, i);
      g_array_index (found, NetAddr, i) = g_array_index (found, NetAddr, other);
      g_array_index (found, NetAddr, other) = swapped;
    }
}

GPtrArray *
dir_addresses (const Node *node, uint32_t region, uint64_t now_ms)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
  GArray *found = serving_in (node, region, now_ms);

  if (found->len == 0 && region != ZONE_NONE)
    {
      g_array_unref (found);
      found = serving_in (node, ZONE_NONE, now_ms);
    }
  shuffle (found, ADDRESSES_MAX);
  for (guint i = 0; i < MIN (found->len, ADDRESSES_MAX); i++)
    {
      char text[32];
      g_ptr_array_add (out, g_strdup (net_addr_text (g_array_index (found, NetAddr, i), text)));
    }
  g_array_unref (found);
  return out;
}
