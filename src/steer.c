/* Steer process, one on each entry VM: follows the platform's store, exchanges state with other
 * steers and passes it to entries, and plans while it holds the planner's lease. */
#include "steer.h"

#include "jsn.h"
#include "mbs.h"
#include "set.h"

#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <string.h>
#include <time.h>

#define REPORT_FORWARD_TIMEOUT_MS 1000

static const SetSpec settings_specs[] = {
  { "vm", SET_TEXT, NULL, NULL, "name of this VM" },
  { "region", SET_TEXT, NULL, NULL, "region of this VM" },
  { "zone", SET_TEXT, NULL, NULL, "availability zone of this VM" },
  { "steer-listen", SET_ADDRESS, NULL, NULL, "address for other steers and entries (ONC RPC)" },
  { "steer-advertise", SET_TEXT, "same", NULL,
    "address for other VMs, or 'same' for steer-listen" },
  { "steer-http", SET_ADDRESS, "127.0.0.1:0", NULL, "address for metrics and state dumps" },
  { "entry-advertise", SET_ADDRESS, NULL, NULL, "address of this VM's entry for callers" },
  { "entry-rpc", SET_ADDRESS, NULL, NULL, "address of this VM's entry for other entries" },
  { "store", SET_ADDRESS, NULL, NULL, "address of the platform's object service" },
  { "peers", SET_TEXT, "none", NULL,
    "steers to contact at start: comma-separated addresses, or 'none'" },
  { "charts", SET_TEXT, "charts", NULL, "directory of the state charts" },
  { "memory-mb", SET_UINT, "0", "0..1048576", "memory of this process in MB; 0: not bounded" },
  { "max-fds", SET_UINT, "0", "0..1048576", "file descriptors of this process; 0: not bounded" },
  { "log-level", SET_CHOICE, "info", "debug|info|warn|error", "minimum level of logged events" },
  { NULL, SET_TEXT, NULL, NULL, NULL },
};

/* ---- Objects ---- */

void
steer_apply_object (Steer *steer, const char *path, uint64_t revision, bool deleted,
                    const char *value, SteerChanges *changes)
{
  if (!obj_apply (&steer->objects, path, revision, deleted, value))
    return;
  changes->any = true;
  changes->config = changes->config || !cfg_is_plan_path (path);
}

/* Adds the VMs of the configuration as suspected members, so that gossip contacts them before any
 * message about them is received. */
static void
add_configured_members (Steer *steer)
{
  const Cfg *cfg = steer->cfg;

  for (uint32_t i = 0; i < cfg->vms->len; i++)
    {
      const CfgVm *vm = &g_array_index (cfg->vms, CfgVm, i);
      const CfgZone *zone = cfg_zone (cfg, vm->zone);
      if (mem_get (&steer->members, vm->name) != NULL)
        continue;
      wire_member initial = { .vm = (char *) vm->name,
                              .region = (char *) cfg_region (cfg, zone->region)->name,
                              .zone = (char *) zone->name,
                              .steer_addr = "",
                              .entry_http = "",
                              .entry_rpc = "",
                              .state = MEM_SUSPECT };
      mem_apply (&steer->members, &initial, steer_now_ms (steer));
      mem_get (&steer->members, vm->name)->steer = vm->steer;
      mem_get (&steer->members, vm->name)->entry_http = vm->entry_http;
    }
}

static void
rebuild_config (Steer *steer, const char *source)
{
  Cfg *cfg = cfg_rebuild (&steer->objects, steer->cfg);

  cfg_free (steer->cfg);
  steer->cfg = cfg;
  steer->cfg_since_ms = steer_now_ms (steer);
  for (uint32_t i = 0; i < cfg->errors->len; i++)
    log_event (&steer->log, LOG_WARN, "object_refused", "reason=\"%s\"",
               (char *) cfg->errors->pdata[i]);
  add_configured_members (steer);
  mem_remove_absent (&steer->members, cfg);
  log_event (&steer->log, LOG_INFO, "config_in_force", "revision=%" PRIu64 " source=%s errors=%u",
             cfg->revision, source, cfg->errors->len);
}

void
steer_objects_changed (Steer *steer, const SteerChanges *changes, const char *source)
{
  if (changes->config || steer->cfg == NULL)
    rebuild_config (steer, source);
  if (changes->any)
    gsp_push (steer);
}

/* ---- Reports ---- */

static void
report_free (gpointer data)
{
  SteerReport *stored = data;

  xdr_free ((xdrproc_t) xdr_wire_report, &stored->report);
  g_free (stored);
}

static bool
report_copy (const wire_report *from, wire_report *to)
{
  size_t size = xdr_sizeof ((xdrproc_t) xdr_wire_report, (void *) from);
  char *data = g_malloc (size);
  XDR xdr;

  xdrmem_create (&xdr, data, (u_int) size, XDR_ENCODE);
  bool ok = xdr_wire_report (&xdr, (wire_report *) from);
  xdr_destroy (&xdr);
  memset (to, 0, sizeof *to);
  xdrmem_create (&xdr, data, (u_int) size, XDR_DECODE);
  ok = ok && xdr_wire_report (&xdr, to);
  xdr_destroy (&xdr);
  g_free (data);
  return ok;
}

void
steer_apply_report (Steer *steer, const wire_report *report, bool direct)
{
  SteerReport *stored;

  if (report->incarnation == 0)
    return;
  stored = g_new0 (SteerReport, 1);
  stored->received_at_ms = steer_now_ms (steer);
  stored->direct = direct;
  if (!report_copy (report, &stored->report))
    {
      g_free (stored);
      return;
    }
  g_hash_table_insert (steer->reports, g_strdup (report->vm), stored);
  if (ldr_is_planner (steer))
    ldr_apply_report (steer, report);
}

static void
on_report_reply (void *user, const void *result)
{
  (void) user;
  (void) result;
}

static bool
planner_addr (const Steer *steer, NetAddr *addr)
{
  const Obj *plan = obj_get (&steer->objects, "system/plan");
  JsonNode *root = plan != NULL ? jsn_parse (plan->value, strlen (plan->value)) : NULL;

  if (root == NULL)
    return false;
  const MemMember *member = mem_get (&steer->members, jsn_text (jsn_object (root), "planner", ""));
  json_node_unref (root);
  if (member == NULL || strcmp (member->vm, steer->vm) == 0)
    return false;
  *addr = member->steer;
  return true;
}

static void
forward_report (Steer *steer, SteerReport *stored, NetAddr planner)
{
  stored->report.age_ms = (u_int) (steer_now_ms (steer) - stored->received_at_ms);
  onc_call (steer->client, planner, WIRE_REPORT, (xdrproc_t) xdr_wire_report, &stored->report,
            (xdrproc_t) xdr_wire_empty, sizeof (wire_empty), REPORT_FORWARD_TIMEOUT_MS,
            on_report_reply, NULL);
}

/* Forwards a report of a new epoch or of an ended process at once, without waiting for the timer:
 * the planner defers further moves until the entries have applied an epoch. */
static void
forward_if_changed (Steer *steer, const char *vm, uint64_t old_epoch)
{
  SteerReport *stored = g_hash_table_lookup (steer->reports, vm);
  NetAddr planner;

  if (stored == NULL || (stored->report.plan_epoch == old_epoch && !stored->report.ended))
    return;
  if (!ldr_is_planner (steer) && planner_addr (steer, &planner))
    forward_report (steer, stored, planner);
}

static void
on_report_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  GHashTableIter iter;
  gpointer value;
  NetAddr addr;

  if (ldr_is_planner (steer) || !planner_addr (steer, &addr))
    return;
  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SteerReport *stored = value;
      uint64_t age_ms = steer_now_ms (steer) - stored->received_at_ms;
      if (stored->direct && age_ms <= REPORT_LIVE_MS)
        forward_report (steer, stored, addr);
    }
}

/* ---- Procedures ---- */

static bool
do_gossip (void *user, const void *args, void *result)
{
  Steer *steer = user;
  const wire_gossip *in = args;
  wire_gossip *out = result;
  const MemMember *peer;

  steer->counters.gossip_received++;
  if (mem_apply (&steer->members, &in->from, steer_now_ms (steer)))
    gsp_push (steer);
  mem_record_reply (&steer->members, in->from.vm, steer_now_ms (steer));
  gsp_apply_items (steer, in->items.items_val, in->items.items_len);
  peer = mem_get (&steer->members, in->from.vm);
  if (in->revision > steer->objects.revision && peer != NULL)
    gsp_fetch (steer, peer->steer);
  mem_to_wire (mem_self (&steer->members), &out->from);
  out->revision = steer->objects.revision;
  out->items.items_val = gsp_fill_items (steer, GOSSIP_ITEMS_MAX, NULL, &out->items.items_len);
  return true;
}

typedef struct
{
  wire_object *objects;
  u_int count;
} ObjectList;

static void
add_object (void *user, const Obj *obj)
{
  ObjectList *list = user;

  list->objects[list->count++]
      = (wire_object){ .path = g_strdup (obj->path),
                       .revision = obj->revision,
                       .deleted = obj->deleted,
                       .value = g_strdup (obj->value != NULL ? obj->value : "") };
}

static wire_object *
objects_since (const Steer *steer, uint64_t since, u_int *count)
{
  ObjectList list = { 0 };

  list.objects = g_new0 (wire_object, g_hash_table_size (steer->objects.by_path) + 1);
  obj_foreach_since (&steer->objects, since, add_object, &list);
  *count = list.count;
  return list.objects;
}

static bool
do_fetch (void *user, const void *args, void *result)
{
  Steer *steer = user;
  const wire_fetch_args *in = args;
  wire_fetch_reply *out = result;

  out->revision = steer->objects.revision;
  out->objects.objects_val = objects_since (steer, in->since, &out->objects.objects_len);
  return true;
}

/* All updates for an entry that last synced with another process, else those newer than its
 * versions. */
static void
fill_updates (Steer *steer, const wire_known_versions *known, wire_sync_reply *out)
{
  wire_known_versions mark = *known;

  if (known->steer_incarnation != steer->incarnation)
    memset (&mark, 0, sizeof mark);
  out->known = (wire_known_versions){ .steer_incarnation = steer->incarnation,
                                      .members = steer->members.version,
                                      .upstreams = steer->observations.version,
                                      .poison = steer->poison.version };
  out->items.items_val = gsp_fill_items (steer, SYNC_ITEMS_MAX, &mark, &out->items.items_len);
}

static bool
do_sync (void *user, const void *args, void *result)
{
  Steer *steer = user;
  const wire_sync_args *in = args;
  wire_sync_reply *out = result;
  const SteerReport *previous;
  uint64_t old_epoch = 0;

  steer->counters.syncs++;
  if (in->local && strcmp (in->vm, steer->vm) == 0)
    {
      steer->local_sync_at_ms = steer_now_ms (steer);
      if (mem_set_self (&steer->members, in->leaving ? MEM_LEAVING : MEM_ALIVE,
                        in->entry_incarnation))
        gsp_push (steer);
    }
  previous = g_hash_table_lookup (steer->reports, in->report.vm);
  if (previous != NULL)
    old_epoch = previous->report.plan_epoch;
  steer_apply_report (steer, &in->report, true);
  forward_if_changed (steer, in->report.vm, old_epoch);
  gsp_apply_items (steer, in->items.items_val, in->items.items_len);
  out->joined = steer->joined;
  out->revision = steer->joined ? steer->objects.revision : 0;
  if (steer->joined)
    out->objects.objects_val = objects_since (steer, in->since, &out->objects.objects_len);
  fill_updates (steer, &in->known, out);
  return true;
}

static bool
do_report (void *user, const void *args, void *result)
{
  (void) result;
  steer_apply_report (user, args, false);
  return true;
}

static const OncProc procs[] = {
  { WIRE_GOSSIP, (xdrproc_t) xdr_wire_gossip, sizeof (wire_gossip), (xdrproc_t) xdr_wire_gossip,
    sizeof (wire_gossip), do_gossip },
  { WIRE_FETCH, (xdrproc_t) xdr_wire_fetch_args, sizeof (wire_fetch_args),
    (xdrproc_t) xdr_wire_fetch_reply, sizeof (wire_fetch_reply), do_fetch },
  { WIRE_SYNC, (xdrproc_t) xdr_wire_sync_args, sizeof (wire_sync_args),
    (xdrproc_t) xdr_wire_sync_reply, sizeof (wire_sync_reply), do_sync },
  { WIRE_REPORT, (xdrproc_t) xdr_wire_report, sizeof (wire_report), (xdrproc_t) xdr_wire_empty,
    sizeof (wire_empty), do_report },
  { 0, NULL, 0, NULL, 0, NULL },
};

/* ---- State dump and metrics ---- */

static JsonArray *
dump_members (const Steer *steer)
{
  JsonArray *array = json_array_new ();
  char text[32];

  for (uint32_t i = 0; i < steer->members.members->len; i++)
    {
      const MemMember *member = steer->members.members->pdata[i];
      JsonObject *object = json_object_new ();
      json_object_set_string_member (object, "vm", member->vm);
      json_object_set_string_member (object, "zone", member->zone);
      json_object_set_string_member (object, "state", mem_state_name (member->state));
      json_object_set_string_member (object, "entry", net_addr_text (member->entry_http, text));
      json_object_set_int_member (object, "incarnation", (gint64) member->incarnation);
      json_object_set_int_member (object, "entry_incarnation", (gint64) member->entry_incarnation);
      json_array_add_object_element (array, object);
    }
  return array;
}

static JsonArray *
dump_observations (const Steer *steer)
{
  JsonArray *array = json_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->observations.by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Obs *obs = value;
      JsonObject *object = json_object_new ();
      json_object_set_string_member (object, "upstream", obs->id);
      json_object_set_string_member (object, "region", obs->region);
      json_object_set_string_member (object, "state", obs_state_name (obs->state));
      json_object_set_int_member (object, "load_permille", obs->load_permille);
      json_object_set_int_member (object, "age_ms", (gint64) (steer_now_ms (steer) - obs->at_ms));
      json_array_add_object_element (array, object);
    }
  return array;
}

static char *
dump_text (const Steer *steer)
{
  JsonObject *root = json_object_new ();
  JsonArray *errors = json_array_new ();

  json_object_set_string_member (root, "process", "steer");
  json_object_set_string_member (root, "vm", steer->vm);
  json_object_set_int_member (root, "incarnation", (gint64) steer->incarnation);
  json_object_set_boolean_member (root, "joined", steer->joined);
  json_object_set_boolean_member (root, "watcher", flw_is_watcher (steer));
  json_object_set_boolean_member (root, "planner", ldr_is_planner (steer));
  json_object_set_int_member (root, "config_revision", (gint64) steer->objects.revision);
  json_object_set_int_member (root, "config_age_ms",
                              (gint64) (steer_now_ms (steer) - steer->cfg_since_ms));
  for (uint32_t i = 0; steer->cfg != NULL && i < steer->cfg->errors->len; i++)
    json_array_add_string_element (errors, steer->cfg->errors->pdata[i]);
  json_object_set_array_member (root, "config_errors", errors);
  json_object_set_array_member (root, "members", dump_members (steer));
  json_object_set_array_member (root, "observations", dump_observations (steer));
  return jsn_free_to_text (root, true);
}

static char *
metrics_text (const Steer *steer)
{
  GString *out = g_string_new (NULL);
  const SteerCounters *c = &steer->counters;
  const struct
  {
    const char *name;
    uint64_t value;
  } rows[] = {
    { "cardamom_steer_gossip_sent_total", c->gossip_sent },
    { "cardamom_steer_gossip_received_total", c->gossip_received },
    { "cardamom_steer_fetches_total", c->fetches },
    { "cardamom_steer_syncs_total", c->syncs },
    { "cardamom_steer_probes_total", c->probes },
    { "cardamom_steer_store_calls_total", steer->store.calls },
    { "cardamom_steer_store_failures_total", steer->store.failures },
    { "cardamom_steer_lease_takeovers_total", c->lease_takeovers },
    { "cardamom_steer_lease_losses_total", c->lease_losses },
    { "cardamom_steer_plans_written_total", c->plans_written },
    { "cardamom_steer_plan_conflicts_total", c->plan_conflicts },
    { "cardamom_steer_moves_total", c->moves },
    { "cardamom_steer_moves_refused_total", c->refused_moves },
    { "cardamom_steer_control_bytes_total",
      onc_client_bytes (steer->client) + onc_server_bytes (steer->server) },
    { "cardamom_steer_config_revision", steer->objects.revision },
    { "cardamom_steer_impossible_events_total", steer->upstream_chart.impossible_events },
  };

  for (uint32_t i = 0; i < G_N_ELEMENTS (rows); i++)
    met_write_value (out, rows[i].name, NULL, rows[i].value);
  if (steer->has_budget)
    mbs_write_metrics (&steer->memory, "cardamom_steer_", out);
  return g_string_free (out, FALSE);
}

static void
on_http (void *user, h2o_req_t *req)
{
  Steer *steer = user;
  char *path = hsv_path (req);

  if (strcmp (path, "/dump") == 0)
    hsv_send_text (req, "application/json", dump_text (steer));
  else if (strcmp (path, "/metrics") == 0)
    hsv_send_text (req, "text/plain", metrics_text (steer));
  else
    hsv_respond (req, 404, "text/plain", "known paths: /dump /metrics\n");
  g_free (path);
}

/* ---- Start and stop ---- */

/* Joins when the store and a peer have replied, or after JOIN_WAIT_MAX_MS with any objects: the
 * platform may be unreachable. */
static void
on_join_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  uint64_t uptime_ms = steer_now_ms (steer) - steer->started_at_ms;
  bool sources_replied
      = flw_has_listed (steer) && (gsp_peer_replied (steer) || steer->members.members->len == 1);

  if (steer->local_sync_at_ms != 0
      && steer_now_ms (steer) - steer->local_sync_at_ms > MEMBER_SUSPECT_MS)
    mem_set_self (&steer->members, MEM_LEAVING, mem_self (&steer->members)->entry_incarnation);
  if (steer->joined || steer->objects.revision == 0)
    return;
  if (!sources_replied && uptime_ms < JOIN_WAIT_MAX_MS)
    return;
  steer->joined = true;
  log_event (&steer->log, LOG_INFO, "joined", "revision=%" PRIu64 " after_ms=%" PRIu64,
             steer->objects.revision, uptime_ms);
}

static void
on_signal (uv_signal_t *handle, int signal_number)
{
  Steer *steer = handle->data;

  if (signal_number == SIGUSR1)
    {
      char *text = dump_text (steer);
      fprintf (stderr, "%s\n", text);
      g_free (text);
      return;
    }
  log_event (&steer->log, LOG_INFO, "stopped", "signal=%d", signal_number);
  ldr_stop (steer);
}

static void
start_timer (Steer *steer, uv_timer_t *timer, uv_timer_cb callback, uint64_t period_ms)
{
  uv_timer_init (steer->loop, timer);
  timer->data = steer;
  uv_timer_start (timer, callback, period_ms, period_ms);
}

static void
read_seeds (Steer *steer, const char *text)
{
  char **addresses = g_strsplit (text, ",", -1);
  NetAddr addr;

  steer->seeds = g_array_new (FALSE, FALSE, sizeof (NetAddr));
  for (uint32_t i = 0; addresses[i] != NULL; i++)
    if (net_addr_parse (addresses[i], &addr))
      g_array_append_val (steer->seeds, addr);
  g_strfreev (addresses);
}

static bool
init_state (Steer *steer, const Settings *settings, Err *err)
{
  MemMember self = { 0 };
  NetAddr listen;
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  g_strlcpy (steer->vm, set_text (settings, "vm"), sizeof steer->vm);
  g_strlcpy (steer->region, set_text (settings, "region"), sizeof steer->region);
  g_strlcpy (steer->zone, set_text (settings, "zone"), sizeof steer->zone);
  steer->log = (Log){ .out = stderr,
                      .level = (LogLevel) log_level_parse (set_text (settings, "log-level")),
                      .process = "steer",
                      .vm = steer->vm };
  steer->incarnation = (uint64_t) now.tv_sec * 1000000 + (uint64_t) now.tv_nsec / 1000;
  steer->random = g_rand_new ();
  steer->loop = uv_default_loop ();
  steer->started_at_ms = uv_now (steer->loop);
  read_seeds (steer, set_text (settings, "peers"));
  obj_init (&steer->objects);
  obs_init (&steer->observations);
  poi_init (&steer->poison, POISON_CRASHES_MAX);
  steer->poison_sends_left = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  steer->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
  if (!hlt_chart_load (&steer->upstream_chart, set_text (settings, "charts"), err))
    return false;
  net_addr_parse (set_text (settings, "store"), &steer->store.addr);
  hcl_ctx_init (&steer->http, steer->loop);
  sto_init (&steer->store, &steer->http, steer->store.addr);
  net_addr_parse (set_text (settings, "steer-listen"), &listen);
  steer->client = onc_client_new (steer->loop);
  steer->server = onc_serve (steer->loop, listen, procs, steer, err);
  if (steer->server == NULL)
    return false;
  listen.port = onc_port (steer->server);
  g_strlcpy (self.vm, steer->vm, sizeof self.vm);
  g_strlcpy (self.region, steer->region, sizeof self.region);
  g_strlcpy (self.zone, steer->zone, sizeof self.zone);
  self.incarnation = steer->incarnation;
  self.steer = listen;
  net_addr_parse (set_text (settings, "steer-advertise"), &self.steer);
  net_addr_parse (set_text (settings, "entry-advertise"), &self.entry_http);
  net_addr_parse (set_text (settings, "entry-rpc"), &self.entry_rpc);
  mem_init (&steer->members, &self);
  return true;
}

static void
on_budget_timer (uv_timer_t *timer)
{
  Steer *steer = timer->data;

  hsv_close_stalled (steer->status_server);
  mbs_log (&steer->memory, &steer->log, &steer->turned_away_logged);
}

/* Without the settings, nothing is bounded but what the constants of lim.h bound. */
static void
start_budget (Steer *steer, const Settings *settings, uv_timer_t *timer)
{
  uint32_t memory_mb = set_uint (settings, "memory-mb");
  uint32_t max_fds = set_uint (settings, "max-fds");
  MbgLimits limits = mbg_limits (memory_mb, max_fds);

  if (memory_mb == 0 && max_fds == 0)
    return;
  mallopt (M_MMAP_THRESHOLD, MBG_MMAP_THRESHOLD_BYTES);
  mbg_init (&steer->memory, &limits);
  hsv_set_budget (steer->status_server, &steer->memory, RDL_PROBES);
  steer->has_budget = true;
  start_timer (steer, timer, on_budget_timer, MBG_TICK_MS);
}

static int
run (Steer *steer, const Settings *settings)
{
  uv_timer_t join_timer;
  uv_timer_t report_timer;
  uv_timer_t budget_timer;
  uv_signal_t signals[3];
  const int signal_numbers[] = { SIGTERM, SIGINT, SIGUSR1 };
  NetAddr http;
  Err err = { 0 };

  signal (SIGPIPE, SIG_IGN);
  net_addr_parse (set_text (settings, "steer-http"), &http);
  steer->status_server = hsv_start (steer->loop, http, on_http, steer, &err);
  if (steer->status_server == NULL)
    {
      log_event (&steer->log, LOG_ERROR, "start_failed", "error=\"%s\"", err.text);
      return 1;
    }
  log_event (&steer->log, LOG_INFO, "listening", "rpc_port=%u http_port=%u",
             onc_port (steer->server), hsv_port (steer->status_server));
  for (uint32_t i = 0; i < 3; i++)
    {
      uv_signal_init (steer->loop, &signals[i]);
      signals[i].data = steer;
      uv_signal_start (&signals[i], on_signal, signal_numbers[i]);
    }
  start_budget (steer, settings, &budget_timer);
  flw_start (steer);
  gsp_start (steer);
  prb_start (steer);
  ldr_start (steer);
  liv_start (steer);
  start_timer (steer, &join_timer, on_join_tick, 100);
  start_timer (steer, &report_timer, on_report_tick, REPORT_PERIOD_MS);
  uv_run (steer->loop, UV_RUN_DEFAULT);
  return 0;
}

int
main (int argc, char **argv)
{
  Steer *steer;
  bool check_only;
  Err err = { 0 };
  Settings *settings
      = set_load (settings_specs,
                  "Steers traffic: follows the store, maintains membership, plans traffic splits.",
                  argc, argv, &check_only, &err);

  if (settings == NULL)
    {
      fprintf (stderr, "%s", err.text);
      return 2;
    }
  if (check_only)
    return 0;
  steer = g_new0 (Steer, 1);
  if (!init_state (steer, settings, &err))
    {
      fprintf (stderr, "%s\n", err.text);
      return 1;
    }
  int code = run (steer, settings);
  set_free (settings);
  return code;
}
