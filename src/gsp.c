/* Gossip between steers: members, observations of upstreams, poison requests. */
#include "steer.h"

#include <string.h>

#define PEERS_MAX 1024
#define SENDS_PER_POISON 8

struct _Gsp
{
  uv_timer_t timer;
  uint32_t next_peer;
  bool fetching;
  bool peer_replied;
};

typedef struct
{
  Steer *steer;
  char vm[NAME_MAX_BYTES];
  NetAddr addr;
} Exchange;

/* ---- Items ---- */

/* An entry gets the changes after the version that it knows, a steer those whose number of sends
 * isn't used up. */
static bool
should_send (bool for_entry, uint64_t known_version, uint64_t version, uint32_t *sends_left)
{
  if (for_entry)
    return version > known_version;
  if (*sends_left == 0)
    return false;
  (*sends_left)--;
  return true;
}

static void
add_member_items (Steer *steer, wire_item *items, uint32_t max, const wire_known_versions *known,
                  u_int *count)
{
  for (uint32_t i = 0; i < steer->members.members->len && *count < max; i++)
    {
      MemMember *member = steer->members.members->pdata[i];
      if (member->incarnation == 0
          || !should_send (known != NULL, known != NULL ? known->members : 0, member->version,
                           &member->sends_left))
        continue;
      items[*count].kind = WIRE_ITEM_MEMBER;
      mem_to_wire (member, &items[*count].wire_item_u.member);
      (*count)++;
    }
}

static void
add_upstream_items (Steer *steer, wire_item *items, uint32_t max, const wire_known_versions *known,
                    u_int *count)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->observations.by_key);
  while (*count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Obs *obs = value;
      if (!should_send (known != NULL, known != NULL ? known->upstreams : 0, obs->version,
                        &obs->sends_left))
        continue;
      items[*count].kind = WIRE_ITEM_UPSTREAM;
      items[*count].wire_item_u.upstream
          = (wire_upstream){ .id = g_strdup (obs->id),
                             .region = g_strdup (obs->region),
                             .state = obs->state,
                             .load_permille = obs->load_permille,
                             .age_ms = (u_int) (steer_now_ms (steer) - obs->at_ms) };
      (*count)++;
    }
}

static void
add_poison_items (Steer *steer, wire_item *items, uint32_t max, const wire_known_versions *known,
                  u_int *count)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->poison.by_fingerprint);
  while (*count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      PoiSuspect *suspect = value;
      uint32_t sends = GPOINTER_TO_UINT (
          g_hash_table_lookup (steer->poison_sends_left, &suspect->fingerprint));
      if (!should_send (known != NULL, known != NULL ? known->poison : 0, suspect->version, &sends))
        continue;
      g_hash_table_insert (steer->poison_sends_left, g_memdup2 (&suspect->fingerprint, 8),
                           GUINT_TO_POINTER (sends));
      items[*count].kind = WIRE_ITEM_POISON;
      items[*count].wire_item_u.poison
          = (wire_poison){ .fingerprint = suspect->fingerprint,
                           .crashes = suspect->crashes,
                           .age_ms = (u_int) (steer_now_ms (steer) - suspect->at_ms) };
      (*count)++;
    }
}

wire_item *
gsp_fill_items (Steer *steer, uint32_t max, const wire_known_versions *known, u_int *count)
{
  wire_item *items = g_new0 (wire_item, max);

  *count = 0;
  add_poison_items (steer, items, max, known, count);
  add_member_items (steer, items, max, known, count);
  add_upstream_items (steer, items, max, known, count);
  return items;
}

void
gsp_free_items (wire_item *items, u_int count)
{
  for (u_int i = 0; i < count; i++)
    xdr_free ((xdrproc_t) xdr_wire_item, &items[i]);
  g_free (items);
}

static bool
apply_poison (Steer *steer, const wire_poison *poison)
{
  uint64_t at_ms = steer_now_ms (steer) - MIN (poison->age_ms, steer_now_ms (steer));

  if (!poi_merge (&steer->poison, poison->fingerprint, poison->crashes, at_ms))
    return false;
  g_hash_table_insert (steer->poison_sends_left, g_memdup2 (&poison->fingerprint, 8),
                       GUINT_TO_POINTER (SENDS_PER_POISON));
  log_event (&steer->log, LOG_WARN, "poison_suspect", "fingerprint=%016llx crashes=%u",
             (unsigned long long) poison->fingerprint, poison->crashes);
  return true;
}

static bool
apply_upstream (Steer *steer, const wire_upstream *update)
{
  uint64_t now_ms = steer_now_ms (steer);
  const Obs *known = obs_get (&steer->observations, update->id, update->region);
  uint32_t old_state = known != NULL ? known->state : OBS_UP;

  if (!obs_record (&steer->observations, update->id, update->region, update->state,
                   update->load_permille, now_ms - MIN (update->age_ms, now_ms - 1)))
    return false;
  return update->state != old_state;
}

void
gsp_apply_items (Steer *steer, const wire_item *items, uint32_t count)
{
  bool push = false;

  for (uint32_t i = 0; i < count; i++)
    switch (items[i].kind)
      {
      case WIRE_ITEM_MEMBER:
        push = mem_apply (&steer->members, &items[i].wire_item_u.member, steer_now_ms (steer))
               || push;
        break;
      case WIRE_ITEM_UPSTREAM:
        push = apply_upstream (steer, &items[i].wire_item_u.upstream) || push;
        break;
      case WIRE_ITEM_POISON:
        push = apply_poison (steer, &items[i].wire_item_u.poison) || push;
        break;
      }
  if (push)
    gsp_push (steer);
}

/* ---- Fetching objects ---- */

static void
on_fetched (void *user, const void *result)
{
  Steer *steer = user;
  const wire_fetch_reply *reply = result;
  SteerChanges changes = { 0 };

  steer->gossip->fetching = false;
  if (reply == NULL || reply->revision < steer->objects.revision)
    return;
  steer->counters.fetches++;
  for (u_int i = 0; i < reply->objects.objects_len; i++)
    {
      const wire_object *object = &reply->objects.objects_val[i];
      steer_apply_object (steer, object->path, object->revision, object->deleted, object->value,
                          &changes);
    }
  obj_advance (&steer->objects, reply->revision);
  steer_objects_changed (steer, &changes, "peer");
}

void
gsp_fetch (Steer *steer, NetAddr peer)
{
  wire_fetch_args args = { .since = steer->objects.revision };

  if (steer->gossip->fetching)
    return;
  steer->gossip->fetching = true;
  onc_call (steer->client, peer, WIRE_FETCH, (xdrproc_t) xdr_wire_fetch_args, &args,
            (xdrproc_t) xdr_wire_fetch_reply, sizeof (wire_fetch_reply), STORE_CALL_TIMEOUT_MS,
            on_fetched, steer);
}

/* ---- Exchanges ---- */

static void
on_exchanged (void *user, const void *result)
{
  Exchange *exchange = user;
  Steer *steer = exchange->steer;
  const wire_gossip *reply = result;

  if (reply == NULL)
    {
      if (exchange->vm[0] != '\0')
        mem_suspect (&steer->members, exchange->vm, steer_now_ms (steer));
    }
  else
    {
      steer->gossip->peer_replied = true;
      mem_apply (&steer->members, &reply->from, steer_now_ms (steer));
      mem_record_reply (&steer->members, reply->from.vm, steer_now_ms (steer));
      gsp_apply_items (steer, reply->items.items_val, reply->items.items_len);
      if (reply->revision > steer->objects.revision)
        gsp_fetch (steer, exchange->addr);
    }
  g_free (exchange);
}

/* Reports its suspicion to the peer, so that the peer can refute it. */
static void
add_suspicion (Steer *steer, const char *vm, wire_item *items, u_int *count)
{
  const MemMember *member = mem_get (&steer->members, vm);

  if (member == NULL || member->state < MEM_SUSPECT || *count >= GOSSIP_ITEMS_MAX)
    return;
  items[*count].kind = WIRE_ITEM_MEMBER;
  mem_to_wire (member, &items[*count].wire_item_u.member);
  (*count)++;
}

static void
exchange_with (Steer *steer, const char *vm, NetAddr addr)
{
  wire_gossip args = { .revision = steer->objects.revision };
  Exchange *exchange = g_new0 (Exchange, 1);

  exchange->steer = steer;
  exchange->addr = addr;
  g_strlcpy (exchange->vm, vm, sizeof exchange->vm);
  mem_to_wire (mem_self (&steer->members), &args.from);
  args.items.items_val = gsp_fill_items (steer, GOSSIP_ITEMS_MAX, NULL, &args.items.items_len);
  add_suspicion (steer, vm, args.items.items_val, &args.items.items_len);
  steer->counters.gossip_sent++;
  onc_call (steer->client, addr, WIRE_GOSSIP, (xdrproc_t) xdr_wire_gossip, &args,
            (xdrproc_t) xdr_wire_gossip, sizeof (wire_gossip), GOSSIP_TIMEOUT_MS, on_exchanged,
            exchange);
  gsp_free_items (args.items.items_val, args.items.items_len);
  mem_wire_free (&args.from);
}

static uint32_t
list_peers (const Steer *steer, bool include_dead, MemMember **peers)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < steer->members.members->len && count < PEERS_MAX; i++)
    {
      MemMember *member = steer->members.members->pdata[i];
      if (strcmp (member->vm, steer->vm) != 0 && (include_dead || mem_is_usable (member)))
        peers[count++] = member;
    }
  return count;
}

void
gsp_push (Steer *steer)
{
  MemMember *peers[PEERS_MAX];
  uint32_t count = list_peers (steer, false, peers);

  for (uint32_t sent = 0; sent < GOSSIP_FANOUT && count > 0; sent++)
    {
      uint32_t index = (uint32_t) g_rand_int_range (steer->random, 0, (gint32) count);
      exchange_with (steer, peers[index]->vm, peers[index]->steer);
      peers[index] = peers[--count];
    }
}

static void
on_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  Gsp *gsp = steer->gossip;
  MemMember *peers[PEERS_MAX];
  /* Every eighth round includes dead members, so that a returned one can refute its state. */
  uint32_t count = list_peers (steer, gsp->next_peer % 8 == 7, peers);

  gsp->next_peer++;
  mem_tick (&steer->members, steer_now_ms (steer));
  poi_expire (&steer->poison, steer_now_ms (steer));
  if (count > 0)
    {
      MemMember *peer = peers[gsp->next_peer % count];
      exchange_with (steer, peer->vm, peer->steer);
    }
  if (steer->seeds->len > 0 && (!gsp->peer_replied || count == 0))
    {
      uint32_t index = gsp->next_peer % steer->seeds->len;
      exchange_with (steer, "", g_array_index (steer->seeds, NetAddr, index));
    }
}

bool
gsp_peer_replied (const Steer *steer)
{
  return steer->gossip->peer_replied;
}

void
gsp_start (Steer *steer)
{
  steer->gossip = g_new0 (Gsp, 1);
  steer->gossip->next_peer = g_rand_int (steer->random) % 64;
  uv_timer_init (steer->loop, &steer->gossip->timer);
  steer->gossip->timer.data = steer;
  uv_timer_start (&steer->gossip->timer, on_tick,
                  (uint64_t) g_rand_int_range (steer->random, 10, 200), GOSSIP_PERIOD_MS);
}
