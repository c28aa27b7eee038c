/* Node process, one on each entry VM: forwards callers' requests to upstreams and answers lookups.
 */
#include "nod.h"

#include "aut.h"
#include "cld.h"
#include "exc.h"
#include "fst.h"
#include "fwd.h"
#include "mbs.h"
#include "nsh.h"
#include "nst.h"
#include "rls.h"
#include "rly.h"
#include "wch.h"

#include <string.h>

#define TICK_MS 25
#define HOUSEKEEPING_PERIOD_MS 1000
#define KILL_MARGIN_MS 500
#define STOP_MIN_MS 4200
#define WARM_INITIAL_PCT 50

/* ---- State ---- */

uint32_t
nod_zone_index (const Node *node, const char *zone)
{
  for (guint i = 0; i < node->settings.zones->len; i++)
    if (strcmp (g_array_index (node->settings.zones, NodZone, i).name, zone) == 0)
      return i;
  return ZONE_NONE;
}

uint32_t
nod_region (const Node *node, uint32_t zone)
{
  return zone < node->settings.zones->len
             ? g_array_index (node->settings.zones, NodZone, zone).region
             : REGIONS_MAX;
}

TrfCount *
nod_traffic (Node *node, TrfPurpose purpose, uint32_t zone)
{
  return trf_count (&node->traffic, purpose,
                    trf_distance (node->settings.zone_index, node->settings.region_index, zone,
                                  nod_region (node, zone)));
}

static uint32_t
zone_of_peer (void *user, const char *zone)
{
  return nod_zone_index (user, zone);
}

static uint32_t
region_of_zone (void *user, uint32_t zone)
{
  const Node *node = user;

  return zone < node->settings.zones->len
             ? g_array_index (node->settings.zones, NodZone, zone).region
             : ZONE_NONE;
}

static void
service_free (gpointer data)
{
  NodService *service = data;

  crd_clear (&service->objects);
  g_queue_clear (&service->waiting);
  fqs_free (service->flows);
  g_free (service);
}

NodService *
nod_service (Node *node, const char *name)
{
  NodService *service = g_hash_table_lookup (node->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (NodService, 1);
  g_strlcpy (service->name, name, sizeof service->name);
  crd_init (&service->objects);
  lrn_init_service (&service->curve);
  g_queue_init (&service->waiting);
  g_hash_table_insert (node->services, service->name, service);
  nsh_init_split (node, service, clk_now_ms ());
  return service;
}

NodRouteStats *
nod_route_stats (Node *node, const RteRoute *route)
{
  NodRouteStats *stats = g_hash_table_lookup (node->route_stats, route->name);

  if (stats != NULL)
    return stats;
  stats = g_new0 (NodRouteStats, 1);
  stats->cold_ms = route->objective_ms;
  stats->warm_ms = route->objective_ms * WARM_INITIAL_PCT / 100;
  g_hash_table_insert (node->route_stats, g_strdup (route->name), stats);
  return stats;
}

uint32_t
nod_node_count (const Node *node)
{
  return MAX (1 + g_hash_table_size (node->peers.peers), 1);
}

/* ---- Cold upstreams ---- */

static GArray *
live_peers (const Node *node, uint64_t now_ms)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (CldNode));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PerPeer *peer = value;
      if (!per_is_alive (peer, now_ms) || peer->zone >= node->settings.zones->len)
        continue;
      CldNode entry
          = { .hash = ups_hash (peer->vm),
              .region = g_array_index (node->settings.zones, NodZone, peer->zone).region };
      g_array_append_val (peers, entry);
    }
  return peers;
}

void
nod_assign_cold (Node *node, uint64_t now_ms)
{
  CldNode self = { .hash = ups_hash (node->settings.vm), .region = node->settings.region_index };
  GArray *peers = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->upstreams.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Ups *ups = value;
      if (ups->zone >= node->settings.zones->len || !ups_is_cold (ups, now_ms))
        continue;
      if (peers == NULL)
        peers = live_peers (node, now_ms);
      ups->cold_assigned
          = cld_is_assigned (&self, (const CldNode *) (void *) peers->data, peers->len, ups->hash,
                             g_array_index (node->settings.zones, NodZone, ups->zone).region);
    }
  if (peers != NULL)
    g_array_unref (peers);
}

/* ---- Updates from the platform ---- */

static void
start_serving (Node *node)
{
  if (node->state != NOD_STARTING || node->table == NULL)
    return;
  node->state = NOD_SERVING;
  node->peers.self.state = PER_SERVING;
  log_event (&node->log, LOG_INFO, "serving", "config=%llu",
             (unsigned long long) node->table->version);
}

/* On a VM with little memory, bodies within the configuration's limit may not fit. */
static void
log_body_limit (Node *node, const RteTable *table)
{
  uint64_t body_max_bytes = mbg_body_max_bytes (&node->memory, table->body_max_bytes);

  if (body_max_bytes < table->body_max_bytes)
    log_event (&node->log, LOG_WARN, "body_limit_reduced",
               "configured_bytes=%u body_max_bytes=%llu memory_mb=%u", table->body_max_bytes,
               (unsigned long long) body_max_bytes, node->settings.memory_mb);
}

bool
nod_configure (Node *node, RteTable *table)
{
  if (node->table != NULL && table->version <= node->table->version)
    {
      rte_unref (table);
      return false;
    }
  while (aut_is_applying (node))
    aut_apply_step (node);
  RteTable *previous = node->table;
  node->table = table;
  aut_apply_configuration (node, previous);
  if (previous != NULL)
    rte_unref (previous);
  for (guint i = 0; i < table->services->len; i++)
    nod_service (node, ((const RteService *) g_ptr_array_index (table->services, i))->name);
  hsv_set_limits (node->front, table->idle_timeout_ms, table->body_max_bytes);
  hsv_set_head_check (node->front, table->accounts != NULL ? fst_reject_head : NULL, node);
  if (node->relay != NULL)
    hsv_set_limits (node->relay, RLY_SERVER_IDLE_MAX_MS, table->body_max_bytes);
  log_event (&node->log, LOG_INFO, "configured", "config=%llu routes=%u accounts=%u",
             (unsigned long long) table->version, table->routes->len,
             table->accounts != NULL ? table->accounts->accounts->len : 0);
  log_body_limit (node, table);
  start_serving (node);
  return true;
}

/* Removes an upstream without a registration. Right after an outage of the store it is kept, as
 * registrations that lapsed during the outage are renewed soon after it. */
static void
handle_missing_upstream (Node *node, const char *id)
{
  Ups *ups = ups_get (&node->upstreams, id);
  uint64_t now_ms = clk_now_ms ();

  if (ups == NULL)
    return;
  if (per_removal_defer_ms (&node->peers, now_ms) > 0 && !ups->record.draining)
    {
      ups->missing_since_ms = now_ms;
      return;
    }
  log_event (&node->log, LOG_INFO, "upstream_gone", "upstream=%s", id);
  ups_remove (&node->upstreams, id);
}

static void
remove_missing_upstreams (Node *node, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  if (per_removal_defer_ms (&node->peers, now_ms) > 0)
    return;
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, node->upstreams.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Ups *) value)->missing_since_ms != 0 && !((Ups *) value)->gone)
      g_ptr_array_add (missing, g_strdup (((Ups *) value)->record.id));
  for (guint i = 0; i < missing->len; i++)
    handle_missing_upstream (node, g_ptr_array_index (missing, i));
  g_ptr_array_unref (missing);
}

static void
expire_objects (Node *node, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    crd_expire (&((NodService *) value)->objects, now_ms);
}

void
nod_apply_upstream (Node *node, const char *id, const UpsRecord *record)
{
  if (record == NULL)
    {
      handle_missing_upstream (node, id);
      return;
    }
  uint32_t zone = nod_zone_index (node, record->zone);
  if (!ups_apply (&node->upstreams, record, zone, clk_now_ms ()))
    return;
  ups_get (&node->upstreams, id)->pool.traffic = nod_traffic (node, TRF_UPSTREAMS, zone);
  log_event (&node->log, LOG_INFO, "upstream", "upstream=%s service=%s zone=%s draining=%d cold=%u",
             id, record->service, record->zone, record->draining, record->cold_ms);
}

void
nod_evacuate (Node *node, const char *zone, bool evacuated)
{
  if (evacuated)
    g_hash_table_add (node->evacuated, g_strdup (zone));
  else
    g_hash_table_remove (node->evacuated, zone);
  log_event (&node->log, LOG_INFO, "evacuation", "zone=%s on=%d", zone, evacuated);
}

void
nod_set_store_reachable (Node *node, bool reachable)
{
  if (reachable != node->store_lost)
    return;
  node->store_lost = !reachable;
  if (reachable && !wch_store_is_watched (&node->peers, clk_now_ms ()))
    {
      per_defer_removal (&node->peers, UPS_REMOVAL_DEFER_MAX_MS, clk_now_ms ());
    }
  log_event (&node->log, reachable ? LOG_INFO : LOG_WARN,
             reachable ? "store_regained" : "store_lost", "peers=%u",
             per_count (&node->peers, clk_now_ms ()));
}

/* ---- Listeners ---- */

static void
on_front_request (void *user, h2o_req_t *h2o)
{
  fst_handle_request (user, h2o);
}

static void
on_relay_request (void *user, h2o_req_t *h2o)
{
  rls_handle_request (user, h2o);
}

static void
on_readiness_probe (void *user, h2o_req_t *h2o)
{
  const Node *node = user;
  bool ready = node->state == NOD_SERVING;

  hsv_respond (h2o, ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
}

/* ---- Responses ---- */

static void
release_body (void *user, GByteArray *bytes)
{
  ucn_release_body (user, bytes);
}

void
nod_send_response (Node *node, h2o_req_t *h2o, const UcnResponse *response)
{
  hsv_send_body (h2o, response->status,
                 (HsvBody){ .bytes = ucn_take_body (response),
                            .close_delimited = response->close_delimited,
                            .release = release_body,
                            .user = &node->ucn });
}

/* ---- Stop deadlines ---- */

/* Responses of upstreams, to callers and to other nodes, that the kernel has not taken whole. */
static uint32_t
unwritten_responses (const Node *node)
{
  return hsv_unwritten_bodies (node->front)
         + (node->relay != NULL ? hsv_unwritten_bodies (node->relay) : 0);
}

static void
stop_loop (Node *node)
{
  log_event (&node->log, LOG_INFO, "stopped",
             "open=%u unwritten=%u requests=%llu answered=%llu refused=%llu", node->open_requests,
             unwritten_responses (node), (unsigned long long) node->counters.requests,
             (unsigned long long) node->counters.answered,
             (unsigned long long) node->counters.refused);
  uv_stop (node->loop);
}

/* Time by which the loop ends, before the process is killed at the end of the grace period. */
static uint64_t
stop_deadline_ms (const Node *node)
{
  uint32_t duration_ms = node->settings.grace_ms > 2 * KILL_MARGIN_MS
                             ? node->settings.grace_ms - KILL_MARGIN_MS
                             : node->settings.grace_ms / 2;

  return node->stopping_since_ms + duration_ms;
}

uint64_t
nod_response_deadline_ms (const Node *node)
{
  if (node->state != NOD_STOPPING)
    return UINT64_MAX;
  return stop_deadline_ms (node) - MIN (NOD_FLUSH_MS, stop_deadline_ms (node));
}

bool
nod_rejects_requests (const Node *node)
{
  return node->state == NOD_STOPPING
         && clk_now_ms () - node->stopping_since_ms >= NOD_REJECT_AFTER_MS;
}

/* Ends the loop when all responses are written, STOP_MIN_MS after the stop began at the earliest.
 * Responses that are still being written at the deadline may go on until the process is killed. */
static void
check_stop (Node *node, uint64_t now_ms)
{
  if (node->state != NOD_STOPPING)
    return;
  uint64_t stopping_ms = now_ms - node->stopping_since_ms;
  bool is_written = node->open_requests == 0 && unwritten_responses (node) == 0;
  bool is_due = is_written ? stopping_ms >= STOP_MIN_MS || now_ms >= stop_deadline_ms (node)
                           : stopping_ms >= node->settings.grace_ms;
  if (is_due)
    stop_loop (node);
}

/* ---- Timer and control work ---- */

static void
tick_peers (Node *node, uint64_t now_ms)
{
  exc_tick (&node->peers, now_ms);
  remove_missing_upstreams (node, now_ms);
  nod_assign_cold (node, now_ms);
  nsh_tick (node, now_ms);
  rly_tick (node, now_ms);
  if (now_ms % HOUSEKEEPING_PERIOD_MS < PER_TICK_MS)
    {
      expire_objects (node, now_ms);
      rgn_log (&node->sent_by_region, node->settings.regions->len, &node->log);
      trf_log (&node->traffic, &node->log, now_ms);
      nsh_log_splits (node);
      mbs_log (&node->memory, &node->log, &node->turned_away_logged);
      poi_expire (&node->poison, now_ms);
    }
}

static bool
on_control_iteration (void *user)
{
  Node *node = user;
  uint64_t now_ms = clk_now_ms ();

  if (now_ms - node->peers.last_tick_ms + TICK_MS / 2 >= PER_TICK_MS)
    tick_peers (node, now_ms);
  return node->peers.unread_since_ms != 0;
}

void
nod_run_control (Node *node)
{
  cts_run (&node->control, clk_now_ms ());
}

static void
before_request_step (void *user)
{
  nod_run_control (user);
}

static void
on_tick (uv_timer_t *timer)
{
  Node *node = timer->data;

  nod_run_control (node);
  hsv_close_stalled (node->front);
  if (node->relay != NULL)
    hsv_close_stalled (node->relay);
  ucn_resume_waiting (&node->ucn);
  aut_reject_revoked (node);
  aut_apply_step (node);
  fwd_tick (node);
  check_stop (node, clk_now_ms ());
}

/* ---- Start and stop ---- */

void
nod_stop (Node *node)
{
  if (node->state == NOD_STOPPING)
    return;
  node->state = NOD_STOPPING;
  node->peers.self.state = PER_STOPPING;
  node->stopping_since_ms = clk_now_ms ();
  hsv_drain_connections (node->front);
  if (node->relay != NULL)
    hsv_drain_connections (node->relay);
  fst_limit_deadlines (node);
  log_event (&node->log, LOG_INFO, "stopping", "open=%u", node->open_requests);
}

static void
init_peers (Node *node)
{
  Per *peers = &node->peers;

  peers->log = &node->log;
  peers->zone_of = zone_of_peer;
  peers->region_of = region_of_zone;
  peers->user = node;
  peers->upstreams = &node->upstreams;
  peers->poison = &node->poison;
  peers->quotas = node->quotas;
  peers->traffic = &node->traffic;
}

void
nod_init (Node *node, uv_loop_t *loop)
{
  node->loop = loop;
  node->request_log = node->log;
  node->request_log.load = &node->request_log_load;
  node->log.load = &node->log_load;
  log_set_nonblocking (&node->log);
  node->started_at_ms = clk_now_ms ();
  node->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  node->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  node->route_stats = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  aut_init (node);
  node->quotas = quo_new (&node->settings.quota);
  for (uint32_t i = 0; i < ZONES_MAX; i++)
    node->zone_rtt_ms[i] = UINT32_MAX;
  cts_init (&node->control, on_control_iteration, node);
  ucn_ctx_init (&node->store_connections, &node->control.loop);
  ucn_ctx_init (&node->ucn, loop);
  MbgLimits limits = mbg_limits (node->settings.memory_mb, node->settings.max_fds);
  mbg_init (&node->memory, &limits);
  node->ucn.mbg = &node->memory;
  rly_init (&node->relays);
  poi_init (&node->poison, POISON_NODE_CRASHES_MAX);
  ups_init (&node->upstreams, &node->ucn);
  init_peers (node);
}

static void
init_self (Node *node)
{
  PerSelf *self = &node->peers.self;

  g_strlcpy (self->vm, node->settings.vm, sizeof self->vm);
  g_strlcpy (self->zone, node->settings.zone, sizeof self->zone);
  self->zone_index = node->settings.zone_index;
  self->front = node->settings.front;
  self->addr = node->settings.peer;
  self->capacity = node->settings.capacity;
  self->incarnation = (uint64_t) g_get_real_time ();
}

/* The node also starts without its relay listener. */
static void
start_relay_server (Node *node)
{
  Err err = { 0 };

  if (node->settings.relay.port == 0)
    return;
  node->relay = hsv_start (node->loop, node->settings.relay, on_relay_request, node, &err);
  if (node->relay == NULL)
    {
      log_event (&node->log, LOG_WARN, "relay_server_failed", "error=\"%s\"", err.text);
      return;
    }
  hsv_set_budget (node->relay, &node->memory, RDL_NODES);
  hsv_set_limits (node->relay, RLY_SERVER_IDLE_MAX_MS, REQUEST_BODY_MAX_BYTES);
  hsv_set_hook (node->relay, before_request_step, node);
  hsv_count_traffic (node->relay, trf_count (&node->traffic, TRF_RELAYED, TRF_REMOTE));
  node->peers.self.relay_port = node->settings.relay.port;
}

/* The node also starts without its metrics listener. */
static void
start_metrics_server (Node *node)
{
  Err err = { 0 };

  if (node->settings.metrics.port == 0)
    return;
  node->metrics = hsv_start (node->loop, node->settings.metrics, nst_serve, node, &err);
  if (node->metrics != NULL)
    {
      hsv_set_budget (node->metrics, &node->memory, RDL_PROBES);
      hsv_count_traffic (node->metrics, trf_count (&node->traffic, TRF_PROBES, TRF_UNKNOWN));
    }
  else
    log_event (&node->log, LOG_WARN, "metrics_server_failed", "error=\"%s\"", err.text);
}

bool
nod_start (Node *node, HsvHandler on_lookup, Err *err)
{
  init_self (node);
  per_init (&node->peers);
  if (!tpt_start (&node->transport, &node->peers, &node->control.loop, err))
    return false;
  node->front = hsv_start (node->loop, node->settings.front, on_front_request, node, err);
  node->ready = node->front != NULL
                    ? hsv_start (node->loop, node->settings.ready, on_readiness_probe, node, err)
                    : NULL;
  node->lookup = node->ready != NULL
                     ? hsv_start (node->loop, node->settings.lookup, on_lookup, node, err)
                     : NULL;
  if (node->lookup == NULL)
    return false;
  hsv_set_budget (node->front, &node->memory, RDL_CALLERS);
  hsv_set_budget (node->ready, &node->memory, RDL_PROBES);
  hsv_set_budget (node->lookup, &node->memory, RDL_PROBES);
  hsv_set_hook (node->front, before_request_step, node);
  hsv_set_hook (node->lookup, before_request_step, node);
  hsv_count_traffic (node->front, trf_count (&node->traffic, TRF_CALLERS, TRF_UNKNOWN));
  hsv_count_traffic (node->ready, trf_count (&node->traffic, TRF_PROBES, TRF_UNKNOWN));
  hsv_count_traffic (node->lookup, trf_count (&node->traffic, TRF_LOOKUPS, TRF_UNKNOWN));
  start_relay_server (node);
  start_metrics_server (node);
  lag_start (&node->lag, node->loop, &node->log);
  uv_timer_init (node->loop, &node->tick);
  node->tick.data = node;
  uv_timer_start (&node->tick, on_tick, TICK_MS, TICK_MS);
  log_event (&node->log, LOG_INFO, "started", "zone=%s", node->settings.zone);
  return true;
}

void
nod_clear (Node *node)
{
  tpt_clear (&node->transport);
  cts_clear (&node->control);
  per_clear (&node->peers);
  rly_clear (&node->relays);
  ups_clear (&node->upstreams);
  poi_clear (&node->poison);
  ucn_ctx_clear (&node->store_connections);
  ucn_ctx_clear (&node->ucn);
  g_hash_table_unref (node->evacuated);
  g_hash_table_unref (node->services);
  g_hash_table_unref (node->route_stats);
  quo_free (node->quotas);
  if (node->account_change.previous != NULL)
    rte_unref (node->account_change.previous);
  if (node->table != NULL)
    rte_unref (node->table);
}
