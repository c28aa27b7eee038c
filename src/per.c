/* Peers: the known nodes, which of them are alive, and the cells that they form. */
#include "per.h"

#include <string.h>

#define SUMMARY_RECENT_MS 2000

/* ---- Peers ---- */

static void
peer_free (gpointer data)
{
  PerPeer *peer = data;

  xdr_free ((xdrproc_t) xdr_peer_view, &peer->view);
  g_free (peer);
}

static PerPeer *
peer_get (Per *per, const char *vm, uint64_t now_ms)
{
  PerPeer *peer = g_hash_table_lookup (per->peers, vm);

  if (peer != NULL)
    return peer;
  peer = g_new0 (PerPeer, 1);
  g_strlcpy (peer->vm, vm, sizeof peer->vm);
  peer->hash = ups_hash (vm);
  peer->zone = ZONE_NONE;
  peer->known_since_ms = now_ms;
  g_hash_table_insert (per->peers, peer->vm, peer);
  return peer;
}

/* ---- Distances ---- */

static gpointer
addr_key (NetAddr addr)
{
  return GSIZE_TO_POINTER ((gsize) addr.ip << 16 | addr.port);
}

static void
set_place (Per *per, PerPeer *peer, NetAddr addr, uint32_t zone)
{
  if (addr.ip == peer->addr.ip && addr.port == peer->addr.port && zone == peer->zone)
    return;
  peer->addr = addr;
  peer->zone = zone;
  g_hash_table_insert (per->zones_by_addr, addr_key (addr), GUINT_TO_POINTER (zone));
}

static TrfDistance
distance_of_zone (const Per *per, uint32_t zone)
{
  return trf_distance (per->self.zone_index, per->region_of (per->user, per->self.zone_index), zone,
                       per->region_of (per->user, zone));
}

TrfDistance
per_distance_of (const Per *per, NetAddr addr)
{
  gpointer zone = GUINT_TO_POINTER (ZONE_NONE);

  g_hash_table_lookup_extended (per->zones_by_addr, addr_key (addr), NULL, &zone);
  return distance_of_zone (per, GPOINTER_TO_UINT (zone));
}

/* ---- Reports of nodes ---- */

void
per_add (Per *per, const char *vm, NetAddr addr, uint32_t zone, uint32_t capacity, uint64_t now_ms)
{
  if (strcmp (vm, per->self.vm) == 0)
    return;
  PerPeer *peer = peer_get (per, vm, now_ms);
  if (peer->last_seen_ms != 0)
    return;
  set_place (per, peer, addr, zone);
  peer->capacity = capacity;
}

void
per_mark_left (Per *per, const char *vm)
{
  PerPeer *peer = g_hash_table_lookup (per->peers, vm);

  if (peer != NULL)
    peer->left = true;
}

bool
per_is_alive (const PerPeer *peer, uint64_t now_ms)
{
  uint32_t timeout_ms = peer->in_summaries ? PER_SUMMARY_TIMEOUT_MS : PER_TIMEOUT_MS;

  return peer->last_seen_ms != 0 && now_ms - peer->last_seen_ms < timeout_ms;
}

/* No message yet from a peer that became known a short time ago. */
static bool
is_expected (const PerPeer *peer, uint64_t now_ms)
{
  return peer->last_seen_ms == 0 && now_ms - peer->known_since_ms < PER_LONG_SILENT_MS;
}

uint32_t
per_count_if (const Per *per, PerTestFn test, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (test (per, value, now_ms))
      count++;
  return count;
}

static bool
is_alive (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  (void) per;
  return per_is_alive (peer, now_ms);
}

uint32_t
per_count (const Per *per, uint64_t now_ms)
{
  return 1 + per_count_if (per, is_alive, now_ms);
}

PerPeer *
per_apply_member (Per *per, const peer_member *member, uint64_t last_seen_ms, uint64_t now_ms)
{
  if (strcmp (member->vm, per->self.vm) == 0)
    return NULL;
  PerPeer *peer = peer_get (per, member->vm, now_ms);
  if (member->incarnation < peer->incarnation)
    return NULL;
  bool was_alive = per_is_alive (peer, now_ms);
  if (last_seen_ms < peer->last_seen_ms && member->incarnation == peer->incarnation)
    return NULL;
  peer->incarnation = member->incarnation;
  set_place (per, peer, (NetAddr){ .ip = member->ip, .port = (uint16_t) member->peer_port },
             per->zone_of (per->user, member->zone));
  peer->front = (NetAddr){ .ip = member->ip, .port = (uint16_t) member->front_port };
  peer->relay = (NetAddr){ .ip = member->ip, .port = (uint16_t) member->relay_port };
  peer->capacity = member->capacity;
  peer->watch = (PerWatch) MIN (member->watch, (u_int) PER_WATCH_FAILING);
  peer->state = (PerState) MIN (member->state, (u_int) PER_STOPPING);
  peer->last_seen_ms = last_seen_ms;
  peer->left = false;
  if (!was_alive)
    log_event (per->log, LOG_INFO, "peer_heard", "peer=%s incarnation=%llu", peer->vm,
               (unsigned long long) peer->incarnation);
  return peer;
}

peer_member
per_own_member (const Per *per)
{
  const PerSelf *self = &per->self;

  return (peer_member){ .vm = (char *) self->vm,
                        .zone = (char *) self->zone,
                        .ip = self->front.ip,
                        .front_port = self->front.port,
                        .peer_port = self->addr.port,
                        .relay_port = self->relay_port,
                        .incarnation = self->incarnation,
                        .capacity = self->capacity,
                        .state = self->state,
                        .watch = self->watch };
}

/* ---- Cells ---- */

OvlNode
per_ovl_node (const PerPeer *peer)
{
  return (OvlNode){ .hash = peer->hash,
                    .capacity = peer->capacity,
                    .serving = peer->state == PER_SERVING };
}

OvlNode
per_own_ovl_node (const Per *per)
{
  return (OvlNode){ .hash = per->self.hash,
                    .capacity = per->self.capacity,
                    .serving = per->self.state == PER_SERVING };
}

static uint32_t
cell_of (const Per *per, uint32_t zone)
{
  return per->zoned ? zone : per->region_of (per->user, zone);
}

static gint
compare_peers (gconstpointer a, gconstpointer b)
{
  OvlNode x = per_ovl_node (*(const PerPeer *const *) a);
  OvlNode y = per_ovl_node (*(const PerPeer *const *) b);

  return ovl_compare (&x, &y);
}

/* Heads of the other cells: live nodes, and where these are too few, nodes that are expected to be
 * alive. */
static void
add_heads (Per *per, GPtrArray *sorted, uint64_t now_ms)
{
  uint32_t counts[ZONES_MAX] = { 0 };

  for (int expected = 0; expected <= 1; expected++)
    for (guint i = 0; i < sorted->len; i++)
      {
        PerPeer *peer = g_ptr_array_index (sorted, i);
        uint32_t cell = cell_of (per, peer->zone);
        if (peer->own_cell || cell >= ZONES_MAX || counts[cell] >= OVL_HEADS)
          continue;
        if (per_is_alive (peer, now_ms) == (expected == 1))
          continue;
        counts[cell]++;
        peer->is_head = true;
        g_ptr_array_add (per->heads, peer);
      }
}

static GPtrArray *
live_peers (Per *per, uint64_t now_ms)
{
  GPtrArray *live = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      peer->is_head = false;
      if (per_is_alive (peer, now_ms) || is_expected (peer, now_ms))
        g_ptr_array_add (live, peer);
    }
  return live;
}

void
per_update_cells (Per *per, uint64_t now_ms)
{
  uint32_t self_cell;
  OvlNode own = per_own_ovl_node (per);
  GPtrArray *live = live_peers (per, now_ms);

  per->live_count = live->len;
  per->zoned = live->len + 1 > OVL_FLAT_MAX;
  self_cell = cell_of (per, per->self.zone_index);
  g_ptr_array_sort (live, compare_peers);
  g_ptr_array_set_size (per->own_cell, 0);
  g_ptr_array_set_size (per->heads, 0);
  per->rank = 0;
  for (guint i = 0; i < live->len; i++)
    {
      PerPeer *peer = g_ptr_array_index (live, i);
      OvlNode other = per_ovl_node (peer);
      peer->own_cell = cell_of (per, peer->zone) == self_cell;
      peer->in_summaries = per->zoned && !peer->own_cell;
      if (!peer->own_cell || !per_is_alive (peer, now_ms))
        continue;
      g_ptr_array_add (per->own_cell, peer);
      if (ovl_precedes (&other, &own))
        per->rank++;
    }
  add_heads (per, live, now_ms);
  g_ptr_array_unref (live);
}

/* ---- Periods and age of views ---- */

uint32_t
per_view_period_ms (const Per *per)
{
  uint32_t peers = per->zoned ? per->own_cell->len : per->live_count;

  return MAX (PER_TICK_MS, peers * 1000 / PER_VIEWS_PER_S);
}

bool
per_is_head (const Per *per)
{
  return per->rank < OVL_HEADS;
}

bool
per_is_recent (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  uint32_t limit_ms = MAX (PER_RECENT_MS, 3 * per_view_period_ms (per));

  if (peer->watch == PER_WATCH_HEALTHY)
    limit_ms = PER_RECENT_MS;
  if (peer->in_summaries && !(peer->is_head && per_is_head (per)))
    return peer->last_seen_ms != 0 && now_ms - peer->last_seen_ms < SUMMARY_RECENT_MS;
  return peer->last_view_ms != 0 && now_ms - peer->last_view_ms < limit_ms;
}

uint32_t
per_unread_ms (const Per *per, uint64_t now_ms)
{
  return per->unread_since_ms != 0 ? (uint32_t) (now_ms - per->unread_since_ms) : 0;
}

void
per_record_unread (Per *per, bool waiting, uint64_t now_ms)
{
  uint32_t unread_ms = per_unread_ms (per, now_ms);

  if (waiting)
    {
      if (per->unread_since_ms == 0)
        per->unread_since_ms = now_ms;
      return;
    }
  per->unread_since_ms = 0;
  per->unread_longest_ms = MAX (per->unread_longest_ms, unread_ms);
  if (unread_ms >= LAG_STALL_MS)
    log_event (per->log, LOG_WARN, "messages_waited", "waited_ms=%u limit_ms=%u", unread_ms,
               LAG_STALL_MS);
}

void
per_defer_removal (Per *per, uint32_t remaining_ms, uint64_t now_ms)
{
  uint64_t until_ms = now_ms + MIN (remaining_ms, UPS_REMOVAL_DEFER_MAX_MS);

  if (remaining_ms == 0)
    return;
  per->removal_defer_until_ms = MAX (per->removal_defer_until_ms, until_ms);
}

uint32_t
per_removal_defer_ms (const Per *per, uint64_t now_ms)
{
  return now_ms < per->removal_defer_until_ms ? (uint32_t) (per->removal_defer_until_ms - now_ms)
                                              : 0;
}

uint32_t
per_advertised_defer_ms (const Per *per, uint64_t now_ms)
{
  uint32_t remaining_ms = per_removal_defer_ms (per, now_ms);

  return remaining_ms > PER_TRANSIT_MAX_MS ? remaining_ms - PER_TRANSIT_MAX_MS : 0;
}

void
per_apply_crashes (Per *per, const peer_crash *crashes, u_int count, uint64_t now_ms)
{
  for (u_int i = 0; i < count; i++)
    poi_merge (per->poison, crashes[i].fingerprint, crashes[i].crashes,
               now_ms - MIN (crashes[i].age_ms, now_ms));
}

/* ---- Sending ---- */

TrfPurpose
per_purpose (const peer_message *message)
{
  switch (message->kind)
    {
    case PEER_VIEW:
      return TRF_VIEWS;
    case PEER_SUMMARY:
      return TRF_SUMMARIES;
    case PEER_UPDATE:
      return TRF_UPDATES;
    }
  return TRF_VIEWS;
}

bool
per_send (Per *per, const peer_message *message, PerPeer *const *peers, uint32_t count)
{
  TrfPurpose purpose = per_purpose (message);
  XDR xdr;

  xdrmem_create (&xdr, per->send_buffer, PER_DATAGRAM_MAX_BYTES, XDR_ENCODE);
  u_int size = xdr_peer_message (&xdr, (peer_message *) message) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  if (size == 0)
    {
      per->send_failures += count;
      log_event (per->log, LOG_WARN, "message_too_large", "kind=%d", (int) message->kind);
      return false;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      if (per->transport.send (per->transport.user, per->send_buffer, size, peers[i]->addr))
        trf_add_sent (trf_count (per->traffic, purpose, distance_of_zone (per, peers[i]->zone)),
                      size);
      else
        per->send_failures++;
      per->sent++;
      per->sent_bytes += size;
    }
  return true;
}

static u_int
add_suspects (const Per *per, bool cleared, peer_crash *crashes, u_int count, u_int capacity,
              uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->poison->by_fingerprint);
  while (count < capacity && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PoiSuspect *suspect = value;
      if ((suspect->crashes == 0) != cleared)
        continue;
      crashes[count++] = (peer_crash){ .fingerprint = suspect->fingerprint,
                                       .crashes = suspect->crashes,
                                       .age_ms = (u_int) (now_ms - suspect->at_ms) };
    }
  return count;
}

u_int
per_list_crashes (const Per *per, peer_crash *crashes, u_int capacity, uint64_t now_ms)
{
  u_int count = add_suspects (per, false, crashes, 0, capacity, now_ms);

  return add_suspects (per, true, crashes, count, capacity, now_ms);
}

u_int
per_list_revisions (const Per *per, peer_revision *revisions, u_int capacity)
{
  u_int count = 0;

  for (guint i = 0; i < per->rep.kinds->len && count < capacity; i++)
    {
      RepKind *kind = g_ptr_array_index (per->rep.kinds, i);
      revisions[count++] = (peer_revision){ .kind = kind->name, .revision = kind->newest };
    }
  return count;
}

uint64_t
per_newest_era (const peer_revision *revisions, u_int count)
{
  uint64_t era = 0;

  for (u_int i = 0; i < count; i++)
    era = MAX (era, pos_era (revisions[i].revision));
  return era;
}

bool
per_peers_know_era (const Per *per, uint64_t era)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const PerPeer *) value)->era >= era)
      return true;
  return false;
}

void
per_compensate_pause (Per *per, uint64_t now_ms)
{
  uint64_t gap_ms = per->last_tick_ms != 0 ? now_ms - per->last_tick_ms : 0;
  GHashTableIter iter;
  gpointer value;

  per->last_tick_ms = now_ms;
  if (gap_ms < PER_HEARTBEAT_MS)
    return;
  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      if (peer->last_seen_ms != 0)
        peer->last_seen_ms += MIN (gap_ms, now_ms - peer->last_seen_ms);
      if (peer->last_view_ms != 0)
        peer->last_view_ms += MIN (gap_ms, now_ms - peer->last_view_ms);
    }
}

/* ---- Creation and release ---- */

void
per_init (Per *per)
{
  per->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  per->zones_by_addr = g_hash_table_new (g_direct_hash, g_direct_equal);
  per->own_cell = g_ptr_array_new ();
  per->heads = g_ptr_array_new ();
  per->send_buffer = g_malloc (PER_DATAGRAM_MAX_BYTES);
  per->self.hash = ups_hash (per->self.vm);
}

void
per_clear (Per *per)
{
  if (per->peers == NULL)
    return;
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    xdr_free ((xdrproc_t) xdr_peer_summary, (char *) &per->summaries[z]);
  g_ptr_array_unref (per->own_cell);
  g_ptr_array_unref (per->heads);
  g_hash_table_unref (per->zones_by_addr);
  g_hash_table_unref (per->peers);
  g_free (per->send_buffer);
}
