/* Node directory: answers callers' lookups with addresses of serving nodes. */
#include "dir.h"

#define ADDRESSES_MAX 64

/* Callers whose connections fail go on to another address of the same response. */
#define ADDRESSES_MIN 8

/** struct Candidate - a node that may be listed; @capacity: CPU capacity of its VM */
typedef struct
{
  NetAddr addr;
  uint32_t capacity;
} Candidate;

static void
add_candidate (GArray *candidates, NetAddr addr, uint32_t capacity)
{
  Candidate candidate = { .addr = addr, .capacity = MAX (capacity, 1) };

  g_array_append_val (candidates, candidate);
}

static GArray *
serving_nodes (const Node *node, uint32_t region, uint64_t now_ms)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  GHashTableIter iter;
  gpointer value;

  if (node->state == NOD_SERVING
      && (region == ZONE_NONE || nod_region (node, node->settings.zone_index) == region))
    add_candidate (candidates, node->settings.front, node->settings.capacity);
  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PerPeer *peer = value;
      if (!per_is_alive (peer, now_ms) || peer->state != PER_SERVING)
        continue;
      if (region == ZONE_NONE || nod_region (node, peer->zone) == region)
        add_candidate (candidates, peer->front, peer->capacity);
    }
  return candidates;
}

/* Fisher-Yates shuffle, so that repeated lookups list all nodes. */
static void
shuffle (GArray *candidates)
{
  for (guint i = 0; i + 1 < candidates->len; i++)
    {
      guint other = i + (guint) g_random_int_range (0, (gint32) (candidates->len - i));
      Candidate swapped = g_array_index (candidates, Candidate, i);
      g_array_index (candidates, Candidate, i) = g_array_index (candidates, Candidate, other);
      g_array_index (candidates, Candidate, other) = swapped;
    }
}

static uint32_t
largest_capacity (const GArray *candidates)
{
  uint32_t largest = 1;

  for (guint i = 0; i < candidates->len; i++)
    largest = MAX (largest, g_array_index (candidates, Candidate, i).capacity);
  return largest;
}

/* g_random_int_range() is signed, and capacities may exceed its range. */
static uint32_t
random_below (uint32_t limit)
{
  return (uint32_t) ((uint64_t) g_random_int () * limit >> 32);
}

/* Callers use the listed addresses equally, so a node is listed with a probability in proportion to
 * its capacity: nodes with few processors and slow links then get fewer requests. */
static void
thin_out (GArray *candidates)
{
  uint32_t largest = largest_capacity (candidates);

  for (guint i = candidates->len; i > 0 && candidates->len > ADDRESSES_MIN; i--)
    if (random_below (largest) >= g_array_index (candidates, Candidate, i - 1).capacity)
      g_array_remove_index (candidates, i - 1);
}

GPtrArray *
dir_addresses (const Node *node, uint32_t region, uint64_t now_ms)
{
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  GArray *candidates = serving_nodes (node, region, now_ms);

  if (candidates->len == 0 && region != ZONE_NONE)
    {
      g_array_unref (candidates);
      candidates = serving_nodes (node, ZONE_NONE, now_ms);
    }
  shuffle (candidates);
  thin_out (candidates);
  for (guint i = 0; i < MIN (candidates->len, ADDRESSES_MAX); i++)
    {
      char text[32];
      NetAddr addr = g_array_index (candidates, Candidate, i).addr;
      g_ptr_array_add (texts, g_strdup (net_addr_text (addr, text)));
    }
  g_array_unref (candidates);
  return texts;
}
