/* Node directory: answers callers' lookups with addresses of serving nodes. */
#include "dir.h"

#define ADDRESSES_MAX 64

static bool
is_in_region (const Node *node, uint32_t zone, uint32_t region)
{
  if (zone >= node->settings.zones->len)
    return false;
  return g_array_index (node->settings.zones, NodZone, zone).region == region;
}

static GArray *
serving_addrs (const Node *node, uint32_t region, uint64_t now_ms)
{
  GArray *addrs = g_array_new (FALSE, FALSE, sizeof (NetAddr));
  GHashTableIter iter;
  gpointer value;

  if (node->state == NOD_SERVING
      && (region == ZONE_NONE || is_in_region (node, node->settings.zone_index, region)))
    g_array_append_val (addrs, node->settings.front);
  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PerPeer *peer = value;
      if (!per_is_alive (peer, now_ms) || peer->state != PER_SERVING)
        continue;
      if (region == ZONE_NONE || is_in_region (node, peer->zone, region))
        g_array_append_val (addrs, peer->front);
    }
  return addrs;
}

/* Partial Fisher-Yates shuffle: puts a random choice of @count addresses first, so that repeated
 * lookups list all nodes. */
static void
shuffle (GArray *addrs, guint count)
{
  for (guint i = 0; i < count && i + 1 < addrs->len; i++)
    {
      guint other = i + (guint) g_random_int_range (0, (gint32) (addrs->len - i));
      NetAddr swapped = g_array_index (addrs, NetAddr, i);
      g_array_index (addrs, NetAddr, i) = g_array_index (addrs, NetAddr, other);
      g_array_index (addrs, NetAddr, other) = swapped;
    }
}

GPtrArray *
dir_addresses (const Node *node, uint32_t region, uint64_t now_ms)
{
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  GArray *addrs = serving_addrs (node, region, now_ms);

  if (addrs->len == 0 && region != ZONE_NONE)
    {
      g_array_unref (addrs);
      addrs = serving_addrs (node, ZONE_NONE, now_ms);
    }
  shuffle (addrs, ADDRESSES_MAX);
  for (guint i = 0; i < MIN (addrs->len, ADDRESSES_MAX); i++)
    {
      char text[32];
      g_ptr_array_add (texts, g_strdup (net_addr_text (g_array_index (addrs, NetAddr, i), text)));
    }
  g_array_unref (addrs);
  return texts;
}
