/* Load tool: callers that send lookups, reads, posts and downloads and verify the responses. */
#include "hcl.h"
#include "jsn.h"
#include "met.h"
#include "set.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATTERN_PERIOD 251
#define POST_ATTEMPTS_MAX 40
#define RETRY_DELAY_MS 250
#define FINISH_WAIT_MAX_MS 12000
#define ENTRIES_MAX 64
#define LOOKUP_POLL_MS 5
#define LOOKUP_POLLS_MAX 400

static const SetSpec settings_specs[]
    = { { "entries", SET_TEXT, NULL, NULL, "addresses asked for look-ups, with commas" },
        { "direct", SET_TEXT, "none", NULL,
          "upstream addresses with commas, used in turn without the system, or 'none'" },
        { "service", SET_TEXT, NULL, NULL, "service name" },
        { "callers", SET_TEXT, "10.1.0.1", NULL, "caller addresses with commas, one a group" },
        { "rate", SET_UINT, "100", "1..100000", "requests a second, evenly spaced" },
        { "seconds", SET_UINT, "5", "1..3600", "length of the run" },
        { "posts-pct", SET_UINT, "20", "0..100", "share of postings with a key" },
        { "downloads-pct", SET_UINT, "5", "0..100", "share of downloads" },
        { "download-bytes", SET_UINT, "200000", "1..1000000000", "size of a download" },
        { "timeout-ms", SET_UINT, "10000", "1..600000", "patience of a caller" },
        { "exec-log", SET_TEXT, "none", NULL, "upstreams' execution log, to count doubles" },
        { "run-id", SET_TEXT, "run", NULL, "part of every key of this run" },
        { "output", SET_CHOICE, "text", "text|json", "form of the report" },
        { NULL, SET_TEXT, NULL, NULL, NULL } };

typedef enum
{
  KIND_GET,
  KIND_POST,
  KIND_DOWNLOAD,
} RequestKind;

typedef struct
{
  NetAddr addr;
  uint32_t weight;
} Target;

/** struct CallerGroup - callers of one address and their cached lookup response */
typedef struct
{
  char addr[32];
  Target targets[ENTRIES_MAX];
  uint32_t target_count;
  uint64_t expires_at_ms;
  bool lookup_pending;
} CallerGroup;

typedef struct
{
  uv_loop_t *loop;
  HclCtx http;
  GRand *random;
  const Settings *settings;
  const char *service;
  GArray *entries;
  GArray *direct;
  GPtrArray *groups;
  GHashTable *acknowledged_keys;
  GHashTable *not_run_keys;
  uint64_t sent;
  uint64_t ok;
  uint64_t not_run;
  uint64_t failed;
  uint64_t truncated;
  uint64_t incorrect;
  uint64_t retries;
  uint64_t unresolved;
  uint64_t lookups;
  uint64_t lookup_failures;
  uint64_t open_jobs;
  uint64_t next_id;
  uint32_t next_direct;
  uint32_t next_lookup;
  uint64_t started_at_ms;
  uint64_t ends_at_ms;
  uv_timer_t timer;
  MetHistogram latency;
  MetHistogram post_latency;
} Load;

typedef struct
{
  Load *load;
  CallerGroup *group;
  RequestKind kind;
  uint64_t id;
  uint32_t attempts;
  uint32_t lookup_polls;
  uint64_t started_us;
  int status;
  char *run_status;
  uint64_t received_bytes;
  uint64_t expected_bytes;
  bool has_length;
  bool pattern_matches;
  GString *body;
  uv_timer_t timer;
} Job;

static void send_job (Job *job);

/* ---- Lookups ---- */

static void
on_lookup (void *user, HclOutcome outcome, int status, const char *body, size_t size)
{
  CallerGroup *group = ((Job *) user)->group;
  Load *load = ((Job *) user)->load;
  JsonNode *root = outcome == HCL_DONE && status == 200 ? jsn_parse (body, size) : NULL;

  g_free (user);
  group->lookup_pending = false;
  if (root == NULL)
    {
      load->lookup_failures++;
      return;
    }
  JsonArray *list = jsn_array (jsn_object (root), "entries");
  uint32_t count = 0;
  for (uint32_t i = 0; list != NULL && i < json_array_get_length (list) && count < ENTRIES_MAX; i++)
    {
      JsonObject *item = json_array_get_object_element (list, i);
      if (net_addr_parse (jsn_text (item, "addr", ""), &group->targets[count].addr))
        group->targets[count++].weight = (uint32_t) jsn_uint (item, "weight", 1);
    }
  if (count > 0)
    group->target_count = count;
  group->expires_at_ms = uv_now (load->loop) + jsn_uint (jsn_object (root), "ttl_ms", 1000);
  json_node_unref (root);
}

static void
refresh_lookup (Load *load, CallerGroup *group)
{
  Job *context;
  char *path;

  if (group->lookup_pending || uv_now (load->loop) < group->expires_at_ms)
    return;
  group->lookup_pending = true;
  load->lookups++;
  context = g_new0 (Job, 1);
  context->load = load;
  context->group = group;
  path = g_strdup_printf ("/lookup?service=%s&addr=%s", load->service, group->addr);
  NetAddr addr = g_array_index (load->entries, NetAddr, load->next_lookup++ % load->entries->len);
  hcl_fetch (&load->http, addr, "GET", path, NULL, 1000, on_lookup, context);
  g_free (path);
}

static NetAddr
choose_target (Load *load, CallerGroup *group)
{
  uint32_t total_weight = 0;

  if (load->direct->len > 0)
    return g_array_index (load->direct, NetAddr, load->next_direct++ % load->direct->len);
  if (group->target_count == 0)
    return g_array_index (load->entries, NetAddr, load->next_direct++ % load->entries->len);
  for (uint32_t i = 0; i < group->target_count; i++)
    total_weight += group->targets[i].weight;
  uint32_t draw = (uint32_t) g_rand_int_range (load->random, 0, (gint32) total_weight);
  for (uint32_t i = 0; i < group->target_count; i++)
    {
      if (draw < group->targets[i].weight)
        return group->targets[i].addr;
      draw -= group->targets[i].weight;
    }
  return group->targets[0].addr;
}

/* ---- Jobs ---- */

static void
on_job_closed (uv_handle_t *handle)
{
  Job *job = handle->data;

  g_string_free (job->body, TRUE);
  g_free (job->run_status);
  g_free (job);
}

static void
job_end (Job *job)
{
  job->load->open_jobs--;
  uv_close ((uv_handle_t *) &job->timer, on_job_closed);
}

static char *
job_key (const Job *job)
{
  return g_strdup_printf ("%s-%" PRIu64, set_text (job->load->settings, "run-id"), job->id);
}

static void
on_retry_timer (uv_timer_t *timer)
{
  send_job (timer->data);
}

static void
end_unsuccessful_post (Job *job)
{
  Load *load = job->load;

  if (job->run_status != NULL && strcmp (job->run_status, "not-run") == 0)
    {
      load->not_run++;
      g_hash_table_add (load->not_run_keys, job_key (job));
    }
  else
    load->unresolved++;
  job_end (job);
}

static void
retry_post (Job *job)
{
  if (job->attempts >= POST_ATTEMPTS_MAX)
    {
      end_unsuccessful_post (job);
      return;
    }
  job->load->retries++;
  job->group->expires_at_ms = 0;
  uv_timer_start (&job->timer, on_retry_timer, RETRY_DELAY_MS, 0);
}

static void
record_success (Job *job)
{
  Load *load = job->load;
  uint64_t us = (uint64_t) g_get_monotonic_time () - job->started_us;

  load->ok++;
  met_observe (job->kind == KIND_POST ? &load->post_latency : &load->latency, us);
  if (job->kind == KIND_POST)
    g_hash_table_add (load->acknowledged_keys, job_key (job));
  job_end (job);
}

static bool
response_is_valid (const Job *job)
{
  char text[64];

  if (job->kind == KIND_DOWNLOAD)
    return job->pattern_matches && job->received_bytes == job->expected_bytes;
  g_snprintf (text, sizeof text, "\"echo\":\"%" PRIu64 "\"", job->id);
  return strstr (job->body->str, text) != NULL;
}

static void
on_end (void *user, HclCall *call, HclOutcome outcome)
{
  Job *job = user;
  Load *load = job->load;
  (void) call;

  if (outcome == HCL_DONE && job->status == 200)
    {
      if (!response_is_valid (job))
        load->incorrect++;
      record_success (job);
    }
  else if (job->kind == KIND_POST)
    retry_post (job);
  else
    {
      if (outcome == HCL_TRUNCATED || outcome == HCL_BODY_TIMEOUT)
        load->truncated++;
      else if (job->run_status != NULL && strcmp (job->run_status, "not-run") == 0)
        load->not_run++;
      else
        load->failed++;
      job_end (job);
    }
}

static void
on_head (void *user, HclCall *call, const HclHead *head)
{
  Job *job = user;
  (void) call;

  job->status = head->status;
  g_free (job->run_status);
  job->run_status = hcl_header (head, "x-cardamom-run");
}

static void
on_body (void *user, HclCall *call, const char *data, size_t size)
{
  Job *job = user;
  (void) call;

  if (job->kind != KIND_DOWNLOAD)
    {
      g_string_append_len (job->body, data, (gssize) size);
      return;
    }
  for (size_t i = 0; i < size; i++)
    if (data[i] != (char) ((job->received_bytes + i) % PATTERN_PERIOD))
      job->pattern_matches = false;
  job->received_bytes += size;
}

static const HclOps job_ops = { on_head, on_body, on_end };

/* Delays the request while the cached lookup response is older than its time to live. */
static bool
defer_until_lookup (Job *job)
{
  Load *load = job->load;

  if (load->direct->len > 0 || uv_now (load->loop) < job->group->expires_at_ms
      || job->lookup_polls >= LOOKUP_POLLS_MAX)
    return false;
  job->lookup_polls++;
  refresh_lookup (load, job->group);
  uv_timer_start (&job->timer, on_retry_timer, LOOKUP_POLL_MS, 0);
  return true;
}

static void
send_job (Job *job)
{
  Load *load = job->load;
  uint32_t timeout_ms = set_uint (load->settings, "timeout-ms");
  char *key = job_key (job);
  GString *head = g_string_new (NULL);
  const char *prefix = load->direct->len > 0 ? "" : "/svc/";
  const char *name = load->direct->len > 0 ? "" : load->service;

  if (defer_until_lookup (job))
    {
      g_string_free (head, TRUE);
      g_free (key);
      return;
    }
  job->lookup_polls = 0;
  job->attempts++;
  job->received_bytes = 0;
  job->pattern_matches = true;
  job->status = 0;
  g_string_truncate (job->body, 0);
  if (job->kind == KIND_DOWNLOAD)
    g_string_printf (head, "GET %s%s/download?size=%" PRIu64 " HTTP/1.1\r\n", prefix, name,
                     job->expected_bytes);
  else
    g_string_printf (head, "%s %s%s/item/%" PRIu64 " HTTP/1.1\r\n",
                     job->kind == KIND_POST ? "POST" : "GET", prefix, name, job->id);
  g_string_append_printf (head,
                          "host: x\r\nconnection: close\r\nx-echo: %" PRIu64
                          "\r\nx-caller-addr: %s\r\nx-deadline-ms: %u\r\n",
                          job->id, job->group->addr, timeout_ms);
  if (job->kind == KIND_POST)
    g_string_append_printf (head, "idempotency-key: %s\r\ncontent-length: 0\r\n", key);
  g_string_append (head, "\r\n");
  HclRequest spec = { .addr = choose_target (load, job->group),
                      .head = head->str,
                      .connect_timeout_ms = 1000,
                      .head_timeout_ms = timeout_ms,
                      .progress_timeout_ms = timeout_ms };
  hcl_start (&load->http, &spec, &job_ops, job);
  g_string_free (head, TRUE);
  g_free (key);
}

static void
start_job (Load *load)
{
  Job *job = g_new0 (Job, 1);
  uint32_t random_pct = (uint32_t) g_rand_int_range (load->random, 0, 100);
  uint32_t posts_pct = set_uint (load->settings, "posts-pct");
  uint32_t downloads_pct = set_uint (load->settings, "downloads-pct");

  job->load = load;
  job->id = ++load->next_id;
  job->group = load->groups->pdata[job->id % load->groups->len];
  job->kind = random_pct < posts_pct
                  ? KIND_POST
                  : (random_pct < posts_pct + downloads_pct ? KIND_DOWNLOAD : KIND_GET);
  job->expected_bytes = set_uint (load->settings, "download-bytes");
  job->started_us = (uint64_t) g_get_monotonic_time ();
  job->body = g_string_new (NULL);
  uv_timer_init (load->loop, &job->timer);
  job->timer.data = job;
  load->sent++;
  load->open_jobs++;
  send_job (job);
}

static void
on_tick (uv_timer_t *timer)
{
  Load *load = timer->data;
  uint64_t now_ms = uv_now (load->loop);
  uint64_t rate = set_uint (load->settings, "rate");
  uint64_t scheduled = (MIN (now_ms, load->ends_at_ms) - load->started_at_ms) * rate / 1000;

  while (load->sent < scheduled)
    start_job (load);
  if (now_ms >= load->ends_at_ms
      && (load->open_jobs == 0 || now_ms > load->ends_at_ms + FINISH_WAIT_MAX_MS))
    uv_stop (load->loop);
}

/* ---- Report ---- */

static GHashTable *
count_executions (const char *path)
{
  GHashTable *counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return counts;
  char **lines = g_strsplit (text, "\n", -1);
  for (uint32_t i = 0; lines[i] != NULL; i++)
    {
      char **words = g_strsplit (lines[i], " ", 4);
      if (g_strv_length (words) == 4 && strcmp (words[1], "POST") == 0)
        {
          guint n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, words[3]));
          g_hash_table_insert (counts, g_strdup (words[3]), GUINT_TO_POINTER (n + 1));
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  return counts;
}

static void
compare_with_exec_log (const Load *load, uint64_t *duplicates, uint64_t *lost,
                       uint64_t *false_not_run)
{
  const char *path = set_text (load->settings, "exec-log");
  GHashTable *counts = count_executions (path);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    *duplicates += GPOINTER_TO_UINT (value) > 1
                   && g_str_has_prefix (key, set_text (load->settings, "run-id"));
  g_hash_table_iter_init (&iter, load->acknowledged_keys);
  while (strcmp (path, "none") != 0 && g_hash_table_iter_next (&iter, &key, NULL))
    *lost += !g_hash_table_contains (counts, key);
  g_hash_table_iter_init (&iter, load->not_run_keys);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    *false_not_run += g_hash_table_contains (counts, key);
  g_hash_table_unref (counts);
}

static void
report (const Load *load)
{
  uint64_t duplicates = 0;
  uint64_t lost = 0;
  uint64_t false_not_run = 0;
  const char *report_format
      = "{\"requests\":%lu,\"ok\":%lu,\"not_run\":%lu,\"failed\":%lu,\"cut\":%lu,"
        "\"wrong\":%lu,\"unresolved\":%lu,\"resends\":%lu,\"doubles\":%lu,"
        "\"lost\":%lu,\"false_not_run\":%lu,\"lookups\":%lu,"
        "\"lookup_failures\":%lu,\"p50_us\":%lu,\"p99_us\":%lu,"
        "\"post_p50_us\":%lu,\"post_p99_us\":%lu}\n";

  if (strcmp (set_text (load->settings, "output"), "text") == 0)
    report_format = "requests %lu, ok %lu, refused not run %lu, failed %lu, cut %lu, wrong %lu, "
                    "unresolved %lu, resends %lu\n"
                    "doubles %lu, lost %lu, not-run that ran %lu\n"
                    "look-ups %lu, failed %lu\n"
                    "latency of reads p50 %lu us, p99 %lu us; of postings p50 %lu us, p99 %lu us\n";
  compare_with_exec_log (load, &duplicates, &lost, &false_not_run);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
  printf (report_format, load->sent, load->ok, load->not_run, load->failed, load->truncated,
          load->incorrect, load->unresolved + load->open_jobs, load->retries, duplicates, lost,
          false_not_run, load->lookups, load->lookup_failures,
          met_quantile_us (&load->latency, 0.5), met_quantile_us (&load->latency, 0.99),
          met_quantile_us (&load->post_latency, 0.5), met_quantile_us (&load->post_latency, 0.99));
#pragma GCC diagnostic pop
}

static GArray *
parse_addrs (const char *text)
{
  GArray *addrs = g_array_new (FALSE, FALSE, sizeof (NetAddr));
  char **parts = g_strsplit (text, ",", -1);
  NetAddr addr;

  for (uint32_t i = 0; parts[i] != NULL; i++)
    if (net_addr_parse (parts[i], &addr))
      g_array_append_val (addrs, addr);
  g_strfreev (parts);
  return addrs;
}

int
main (int argc, char **argv)
{
  Load load = { .loop = uv_default_loop (), .random = g_rand_new (), .groups = g_ptr_array_new () };
  bool check_only;
  Err err = { 0 };
  Settings *settings
      = set_load (settings_specs, "Load and experiment tool.", argc, argv, &check_only, &err);

  if (settings == NULL)
    {
      fprintf (stderr, "%s", err.text);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  load.settings = settings;
  load.service = set_text (settings, "service");
  load.entries = parse_addrs (set_text (settings, "entries"));
  load.direct = parse_addrs (set_text (settings, "direct"));
  load.acknowledged_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  load.not_run_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (load.entries->len == 0)
    {
      fprintf (stderr, "--entries names no address\n");
      return 2;
    }
  char **callers = g_strsplit (set_text (settings, "callers"), ",", -1);
  for (uint32_t i = 0; callers[i] != NULL; i++)
    {
      CallerGroup *group = g_new0 (CallerGroup, 1);
      g_strlcpy (group->addr, callers[i], sizeof group->addr);
      g_ptr_array_add (load.groups, group);
    }
  hcl_ctx_init (&load.http, load.loop);
  load.started_at_ms = uv_now (load.loop);
  load.ends_at_ms = load.started_at_ms + (uint64_t) set_uint (settings, "seconds") * 1000;
  uv_timer_init (load.loop, &load.timer);
  load.timer.data = &load;
  uv_timer_start (&load.timer, on_tick, 1, 1);
  uv_run (load.loop, UV_RUN_DEFAULT);
  report (&load);
  return 0;
}
