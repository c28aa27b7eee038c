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

static void
add_addr (GPtrArray *out, NetAddr addr)
{
  char text[32];

  if (out->len < ADDRESSES_MAX)
    g_ptr_array_add (out, g_strdup (net_addr_text (addr, text)));
}

static void
add_serving (const Node *node, uint32_t region, uint64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  if (node->state == NOD_SERVING
      && (region == ZONE_NONE || is_in_region (node, node->set.zone_index, region)))
    add_addr (out, node->set.front);
  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PerPeer *peer = value;
      if (!per_alive (peer, now_ms) || peer->state != PER_SERVING)
        continue;
      if (region == ZONE_NONE || is_in_region (node, peer->zone, region))
        add_addr (out, peer->front);
    }
}

GPtrArray *
dir_addresses (const Node *node, uint32_t region, uint64_t now_ms)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);

  if (region != ZONE_NONE)
    add_serving (node, region, now_ms, out);
  if (out->len == 0)
    add_serving (node, ZONE_NONE, now_ms, out);
  return out;
}
