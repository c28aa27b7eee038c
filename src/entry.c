/* Entry process: answers lookups and forwards requests of callers to upstreams. */
#include "entry.h"

#include "mbs.h"
#include "set.h"

#include <malloc.h>
#include <signal.h>
#include <string.h>
#include <time.h>

#define DRAIN_POLL_MS 50
/* Time between the final report and the exit. */
#define FINAL_SYNC_MS 300

static const SetSpec settings_specs[] = {
  { "vm", SET_TEXT, NULL, NULL, "name of this VM" },
  { "entry-listen", SET_ADDRESS, NULL, NULL, "address for callers (HTTP)" },
  { "entry-rpc-listen", SET_ADDRESS, NULL, NULL, "address for other entries (ONC RPC)" },
  { "steer", SET_ADDRESS, NULL, NULL, "address of this VM's steer" },
  { "store", SET_ADDRESS, NULL, NULL, "address of the platform's object service" },
  { "charts", SET_TEXT, "charts", NULL, "directory of the state charts" },
  { "policy", SET_CHOICE, "two-choices", "two-choices|random|least-reported|round-robin",
    "selection of the upstream" },
  { "claims", SET_CHOICE, "on", "on|off", "claims for non-idempotent requests" },
  { "budgets", SET_CHOICE, "on", "on|off", "budgets of requests in flight" },
  { "memory-mb", SET_UINT, "0", "0..1048576", "memory of this process in MB; 0: not bounded" },
  { "max-fds", SET_UINT, "0", "0..1048576", "file descriptors of this process; 0: not bounded" },
  { "log-level", SET_CHOICE, "info", "debug|info|warn|error", "minimum level of logged events" },
  { NULL, SET_TEXT, NULL, NULL, NULL },
};

static const char *const entry_states[] = { "joining", "serving", "draining", "stopped", NULL };
static const char *const entry_events[] = { "joined", "stop", "quiet", NULL };
static const char *const request_states[]
    = { "admitted", "claiming", "waiting", "running", "answering", "answered", "abandoned", NULL };
static const char *const request_events[]
    = { "claim_needed", "claim_not_needed",  "claim_won",   "replayed",    "dispatched",
        "not_run",      "failed_idempotent", "head",        "interrupted", "finished",
        "cut",          "refused",           "caller_gone", NULL };

enum
{
  EVENT_JOINED,
  EVENT_STOP,
  EVENT_QUIET,
};

/* ---- HTTP ---- */

static void
on_http (void *user, h2o_req_t *req)
{
  Entry *entry = user;
  char *path = hsv_path (req);

  if (entry->state == ENTRY_DRAINING)
    req->http1_is_persistent = 0;
  if (g_str_has_prefix (path, "/svc/"))
    req_start (entry, req, path);
  else if (strcmp (path, "/lookup") == 0)
    lkp_respond (entry, req);
  else if (strcmp (path, "/dump") == 0)
    hsv_send_text (req, "application/json", edm_dump (entry));
  else if (strcmp (path, "/metrics") == 0)
    hsv_send_text (req, "text/plain", edm_metrics (entry));
  else
    hsv_respond (req, 404, "text/plain", "known paths: /lookup /svc/NAME/... /dump /metrics\n");
  g_free (path);
}

/* ---- Planned stop ---- */

/* Callers may use cached lookup responses that name this entry until their TTL has passed, so the
 * entry serves until then. The final report returns its budget. */
static void
on_drain_timer (uv_timer_t *timer)
{
  Entry *entry = timer->data;
  uint64_t drain_ms = entry_now_ms (entry) - entry->draining_since_ms;

  if (drain_ms < LOOKUP_TTL_MS + MEMBER_PROPAGATION_MS || entry->open_requests > 0)
    return;
  if (entry->state == ENTRY_STOPPED)
    {
      if (entry_now_ms (entry) - entry->stopped_at_ms >= FINAL_SYNC_MS)
        uv_stop (entry->loop);
      return;
    }
  chart_step (&entry->entry_chart, &entry->state, EVENT_QUIET);
  entry->stopped_at_ms = entry_now_ms (entry);
  log_event (&entry->log, LOG_INFO, "stopped", "drain_ms=%lu", (unsigned long) drain_ms);
  syn_now (entry);
}

static void
start_drain (Entry *entry)
{
  uv_timer_t *timer;

  if (entry->state == ENTRY_DRAINING)
    return;
  chart_step (&entry->entry_chart, &entry->state, EVENT_STOP);
  if (entry->state == ENTRY_STOPPED)
    {
      uv_stop (entry->loop);
      return;
    }
  entry->draining_since_ms = entry_now_ms (entry);
  log_event (&entry->log, LOG_INFO, "draining", "open_requests=%u", entry->open_requests);
  syn_now (entry);
  timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (entry->loop, timer);
  timer->data = entry;
  uv_timer_start (timer, on_drain_timer, DRAIN_POLL_MS, DRAIN_POLL_MS);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  Entry *entry = handle->data;

  if (number != SIGUSR1)
    {
      start_drain (entry);
      return;
    }
  char *text = edm_dump (entry);
  fprintf (stderr, "%s\n", text);
  g_free (text);
}

/* ---- Start ---- */

static bool
load_charts (Entry *entry, const char *dir, Err *err)
{
  if (!chart_load_named (&entry->entry_chart, dir, "entry", entry_states, entry_events, err)
      || !chart_load_named (&entry->request_chart, dir, "request", request_states, request_events,
                            err)
      || !hlt_chart_load (&entry->upstream_chart, dir, err))
    return false;
  entry->state = entry->entry_chart.initial;
  return true;
}

static void
init_tables (Entry *entry, const Settings *settings)
{
  MemMember self = { 0 };
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  g_strlcpy (entry->vm, set_text (settings, "vm"), sizeof entry->vm);
  entry->log = (Log){ .out = stderr,
                      .level = (LogLevel) log_level_parse (set_text (settings, "log-level")),
                      .process = "entry",
                      .vm = entry->vm };
  entry->incarnation = (uint64_t) now.tv_sec * 1000000 + (uint64_t) now.tv_nsec / 1000;
  entry->random = g_rand_new ();
  pck_policy_parse (set_text (settings, "policy"), &entry->policy);
  entry->claims_enabled = strcmp (set_text (settings, "claims"), "on") == 0;
  entry->budgets_disabled = strcmp (set_text (settings, "budgets"), "off") == 0;
  obj_init (&entry->objects);
  obs_init (&entry->observations);
  poi_init (&entry->poison, POISON_CRASHES_MAX);
  lon_init (&entry->granted_loans);
  g_strlcpy (self.vm, "(none)", sizeof self.vm);
  self.state = MEM_DEAD;
  mem_init (&entry->members, &self);
  entry->unsent_items = g_array_new (FALSE, TRUE, sizeof (wire_item));
  entry->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  entry->claimed_locally = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static bool
open_sockets (Entry *entry, const Settings *settings, Err *err)
{
  NetAddr addr;

  entry->loop = uv_default_loop ();
  hcl_ctx_init (&entry->http, entry->loop);
  net_addr_parse (set_text (settings, "store"), &addr);
  sto_init (&entry->store, &entry->http, addr);
  net_addr_parse (set_text (settings, "steer"), &entry->steer);
  entry->client = onc_client_new (entry->loop);
  net_addr_parse (set_text (settings, "entry-rpc-listen"), &addr);
  entry->rpc_server = onc_serve (entry->loop, addr, eln_procs, entry, err);
  if (entry->rpc_server == NULL)
    return false;
  net_addr_parse (set_text (settings, "entry-listen"), &addr);
  entry->server = hsv_start (entry->loop, addr, on_http, entry, err);
  return entry->server != NULL;
}

static void
on_budget_timer (uv_timer_t *timer)
{
  Entry *entry = timer->data;

  hsv_close_stalled (entry->server);
  mbs_log (&entry->memory, &entry->log, &entry->turned_away_logged);
}

/* Without the settings, nothing is bounded but what the constants of lim.h bound. */
static void
start_budget (Entry *entry, const Settings *settings)
{
  uint32_t memory_mb = set_uint (settings, "memory-mb");
  uint32_t max_fds = set_uint (settings, "max-fds");
  MbgLimits limits = mbg_limits (memory_mb, max_fds);
  uv_timer_t *timer;

  if (memory_mb == 0 && max_fds == 0)
    return;
  mallopt (M_MMAP_THRESHOLD, MBG_MMAP_THRESHOLD_BYTES);
  mbg_set_copies (&limits, ENTRY_REQUEST_COPIES);
  mbg_set_calls (&limits, max_fds, ENTRY_CALLS_PER_REQUEST);
  mbg_init (&entry->memory, &limits);
  hsv_set_budget (entry->server, &entry->memory, RDL_CALLERS);
  hsv_set_rejection_headers (entry->server, "retry-after: 1\r\n", "x-cardamom-run: not-run\r\n");
  entry->has_budget = true;
  timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (entry->loop, timer);
  timer->data = entry;
  uv_timer_start (timer, on_budget_timer, MBG_TICK_MS, MBG_TICK_MS);
}

static int
run (Entry *entry)
{
  uv_signal_t signals[3];
  const int numbers[] = { SIGTERM, SIGINT, SIGUSR1 };

  signal (SIGPIPE, SIG_IGN);
  log_event (&entry->log, LOG_INFO, "listening", "http_port=%u rpc_port=%u",
             hsv_port (entry->server), onc_port (entry->rpc_server));
  for (uint32_t i = 0; i < 3; i++)
    {
      uv_signal_init (entry->loop, &signals[i]);
      signals[i].data = entry;
      uv_signal_start (&signals[i], on_signal, numbers[i]);
    }
  syn_start (entry);
  eln_start (entry);
  uv_run (entry->loop, UV_RUN_DEFAULT);
  return 0;
}

int
main (int argc, char **argv)
{
  Entry *entry;
  bool check_only;
  Err err = { 0 };
  Settings *settings
      = set_load (settings_specs, "Answers lookups and forwards requests to upstreams.", argc, argv,
                  &check_only, &err);

  if (settings == NULL)
    {
      fprintf (stderr, "%s", err.text);
      return 2;
    }
  if (check_only)
    return 0;
  entry = g_new0 (Entry, 1);
  init_tables (entry, settings);
  if (!load_charts (entry, set_text (settings, "charts"), &err)
      || !open_sockets (entry, settings, &err))
    {
      fprintf (stderr, "%s\n", err.text);
      return 1;
    }
  start_budget (entry, settings);
  int code = run (entry);
  set_free (settings);
  return code;
}
