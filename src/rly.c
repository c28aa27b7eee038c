/* Relays: nodes in the zones of remote regions that forward requests to the upstreams there. */
#include "rly.h"

#include <math.h>
#include <string.h>

/* ---- Outcomes ---- */

static const struct
{
  const char *name;
  UcnOutcome exchange;
} outcomes[] = {
  [RLY_ANSWERED] = { "answered", UCN_DONE },
  [RLY_REFUSED] = { "refused", UCN_WITHDRAWN },
  [RLY_NOT_SENT] = { "not-sent", UCN_NOT_SENT },
  [RLY_WITHDRAWN] = { "withdrawn", UCN_WITHDRAWN },
  [RLY_LOST] = { "lost", UCN_LOST },
  [RLY_TRUNCATED] = { "truncated", UCN_TRUNCATED },
  [RLY_INVALID] = { "garbled", UCN_INVALID },
};

const char *
rly_outcome_name (RlyOutcome outcome)
{
  return outcomes[outcome].name;
}

RlyOutcome
rly_parse_outcome (const UcnResponse *response)
{
  const char *name = ucn_header (response, RLY_OUTCOME_HEADER);

  if (name == NULL)
    return RLY_ANSWERED;
  for (size_t i = RLY_REFUSED; i < G_N_ELEMENTS (outcomes); i++)
    if (strcmp (outcomes[i].name, name) == 0)
      return (RlyOutcome) i;
  return RLY_LOST;
}

RlyOutcome
rly_from_ucn (UcnOutcome exchange)
{
  switch (exchange)
    {
    case UCN_DONE:
      return RLY_ANSWERED;
    case UCN_NOT_SENT:
      return RLY_NOT_SENT;
    case UCN_WITHDRAWN:
      return RLY_WITHDRAWN;
    case UCN_LOST:
      return RLY_LOST;
    case UCN_TRUNCATED:
      return RLY_TRUNCATED;
    case UCN_INVALID:
      return RLY_INVALID;
    }
  return RLY_LOST;
}

UcnOutcome
rly_to_ucn (RlyOutcome outcome)
{
  return outcomes[outcome].exchange;
}

/* ---- Relays by node ---- */

static void
relay_free (gpointer data)
{
  RlyPeer *relay = data;

  ucn_pool_close (&relay->pool);
  g_free (relay);
}

void
rly_init (Rly *rly)
{
  *rly = (Rly){ .by_vm = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, relay_free) };
}

void
rly_clear (Rly *rly)
{
  g_hash_table_unref (rly->by_vm);
}

static bool
same_addr (NetAddr a, NetAddr b)
{
  return a.ip == b.ip && a.port == b.port;
}

static RlyPeer *
find_or_add_relay (Node *node, const PerPeer *peer)
{
  RlyPeer *relay = g_hash_table_lookup (node->relays.by_vm, peer->vm);

  if (relay == NULL)
    {
      relay = g_new0 (RlyPeer, 1);
      g_strlcpy (relay->vm, peer->vm, sizeof relay->vm);
      ucn_pool_init (&relay->pool, &node->ucn, peer->relay, RLY_IDLE_MAX_MS);
      g_hash_table_insert (node->relays.by_vm, relay->vm, relay);
    }
  else if (!same_addr (relay->pool.addr, peer->relay))
    {
      ucn_pool_close (&relay->pool);
      ucn_pool_init (&relay->pool, &node->ucn, peer->relay, RLY_IDLE_MAX_MS);
    }
  relay->pool.traffic = nod_traffic (node, TRF_RELAYS, peer->zone);
  return relay;
}

/* ---- Selection ---- */

static bool
is_backing_off (const Node *node, const PerPeer *peer, uint64_t now_ms)
{
  const RlyPeer *relay = g_hash_table_lookup (node->relays.by_vm, peer->vm);

  return relay != NULL && now_ms < relay->backoff_until_ms;
}

static bool
is_eligible (const Node *node, const PerPeer *peer, uint64_t now_ms)
{
  return peer->state == PER_SERVING && peer->relay.port != 0 && per_is_alive (peer, now_ms)
         && !is_backing_off (node, peer, now_ms);
}

/* Weighted rendezvous hashing; the lowest score wins. The share of sending nodes that select a
 * relay is the relay's share of its zone's capacity. */
static double
rendezvous_score (const Node *node, const PerPeer *peer)
{
  uint32_t x = node->peers.self.hash ^ (peer->hash * 0x9e3779b1u);

  x = (x ^ (x >> 16)) * 0x7feb352du;
  x = (x ^ (x >> 15)) * 0x846ca68bu;
  x ^= x >> 16;
  return -log (((double) x + 0.5) / 4294967296.0) / MAX (peer->capacity, 1);
}

static bool
is_remote_zone (const Node *node, uint32_t zone)
{
  return zone < node->settings.zones->len
         && g_array_index (node->settings.zones, NodZone, zone).region
                != node->settings.region_index;
}

static void
choose_relays (Node *node, uint64_t now_ms)
{
  const PerPeer *best[ZONES_MAX] = { NULL };
  double best_score[ZONES_MAX];
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PerPeer *peer = value;
      if (!is_remote_zone (node, peer->zone) || !is_eligible (node, peer, now_ms))
        continue;
      double score = rendezvous_score (node, peer);
      if (best[peer->zone] != NULL && score >= best_score[peer->zone])
        continue;
      best[peer->zone] = peer;
      best_score[peer->zone] = score;
    }
  for (uint32_t zone = 0; zone < ZONES_MAX; zone++)
    node->relays.by_zone[zone] = best[zone] != NULL ? find_or_add_relay (node, best[zone]) : NULL;
}

static gboolean
is_unused (gpointer key, gpointer value, gpointer user)
{
  const Node *node = user;

  return ((const RlyPeer *) value)->in_flight == 0
         && !g_hash_table_contains (node->peers.peers, (const char *) key);
}

void
rly_tick (Node *node, uint64_t now_ms)
{
  if (now_ms - node->relays.chosen_at_ms < RLY_SELECTION_PERIOD_MS)
    return;
  node->relays.chosen_at_ms = now_ms;
  choose_relays (node, now_ms);
  g_hash_table_foreach_remove (node->relays.by_vm, is_unused, node);
}

RlyPeer *
rly_acquire (Node *node, Ups *ups, uint32_t idle_max_ms, uint64_t now_ms)
{
  if (!is_remote_zone (node, ups->zone) || ucn_pool_has_idle (&ups->pool, idle_max_ms))
    return NULL;
  RlyPeer *relay = node->relays.by_zone[ups->zone];
  if (relay == NULL || now_ms < relay->backoff_until_ms)
    return NULL;
  relay->in_flight++;
  return relay;
}

void
rly_release (RlyPeer *relay)
{
  relay->in_flight--;
}

void
rly_record_failure (RlyPeer *relay, uint64_t now_ms)
{
  relay->backoff_until_ms = now_ms + RLY_FAILURE_BACKOFF_MS;
}
