/* Simulated upstream: slots, cold start, shedding, draining, load reports, execution log. */
#include "hsv.h"
#include "set.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CHUNK_BYTES 65536
#define PATTERN_PERIOD 251

static const SetSpec settings_specs[]
    = { { "listen", SET_ADDRESS, "127.0.0.1:0", NULL, "address to listen on" },
        { "id", SET_TEXT, NULL, NULL, "upstream id" },
        { "slots", SET_UINT, "4", "1..100000", "requests at a time" },
        { "service-ms", SET_UINT, "5", "0..60000", "time a request takes" },
        { "cold-ms", SET_UINT, "0", "0..600000",
          "time during which requests take three times as long" },
        { "exec-log", SET_TEXT, "/dev/null", NULL, "file that gets a line for each execution" },
        { NULL, SET_TEXT, NULL, NULL, NULL } };

/** struct Upstream - @load_override_permille: load to report instead of the measured one, or -1 */
typedef struct
{
  uv_loop_t *loop;
  char id[64];
  uint32_t slots;
  uint32_t service_ms;
  uint32_t cold_ms;
  uint64_t started_at_ms;
  uint32_t in_flight;
  uint32_t max_in_flight;
  bool draining;
  bool health_hides_draining;
  int64_t load_override_permille;
  int64_t truncate_after_bytes;
  bool never_responds;
  uint64_t served;
  uint64_t shed;
  uint64_t cancelled;
  uint64_t starts_after_drain;
  uint64_t draining_since_ms;
  int log_fd;
} Upstream;

/** struct Job - one request that is being served */
typedef struct
{
  h2o_generator_t generator;
  Upstream *upstream;
  h2o_req_t *req;
  uv_timer_t timer;
  bool responded;
  uint64_t position;
  uint64_t end;
  int64_t truncate_at_bytes;
  char *chunk;
} Job;

typedef struct
{
  Job *job;
} JobRef;

static void
on_job_closed (uv_handle_t *handle)
{
  Job *job = handle->data;

  g_free (job->chunk);
  g_free (job);
}

static void
on_request_freed (void *data)
{
  Job *job = ((JobRef *) data)->job;

  if (!job->responded)
    job->upstream->cancelled++;
  job->upstream->in_flight--;
  uv_close ((uv_handle_t *) &job->timer, on_job_closed);
}

/* ---- Downloads ---- */

static void
send_chunk (h2o_generator_t *generator, h2o_req_t *req)
{
  Job *job = (Job *) generator;
  uint64_t size = MIN (job->end - job->position, CHUNK_BYTES);
  bool truncated
      = job->truncate_at_bytes >= 0 && job->position + size > (uint64_t) job->truncate_at_bytes;

  if (truncated)
    size = (uint64_t) job->truncate_at_bytes > job->position
               ? (uint64_t) job->truncate_at_bytes - job->position
               : 0;
  for (uint64_t i = 0; i < size; i++)
    job->chunk[i] = (char) ((job->position + i) % PATTERN_PERIOD);
  job->position += size;
  h2o_iovec_t buf = h2o_iovec_init (job->chunk, size);
  if (truncated)
    h2o_send (req, &buf, size > 0 ? 1 : 0, H2O_SEND_STATE_ERROR);
  else
    h2o_send (req, &buf, 1,
              job->position == job->end ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_download_stopped (h2o_generator_t *generator, h2o_req_t *req)
{
  (void) generator;
  (void) req;
}

static uint64_t
range_start (h2o_req_t *req)
{
  char *range = hsv_header (req, "range");
  uint64_t start = 0;

  if (range != NULL && g_str_has_prefix (range, "bytes="))
    start = strtoull (range + strlen ("bytes="), NULL, 10);
  g_free (range);
  return start;
}

static void
send_download (Job *job)
{
  h2o_req_t *req = job->req;
  uint64_t size = hsv_query_uint (req, "size", 1000);
  char text[96];

  job->position = MIN (range_start (req), size);
  job->end = size;
  job->chunk = g_malloc (CHUNK_BYTES);
  job->truncate_at_bytes = job->upstream->truncate_after_bytes;
  g_snprintf (text, sizeof text, "\"v1-%lu\"", size);
  hsv_add_header (req, "etag", text);
  hsv_add_header (req, "accept-ranges", "bytes");
  req->res.status = 200;
  req->res.reason = "OK";
  if (job->position > 0)
    {
      req->res.status = 206;
      g_snprintf (text, sizeof text, "bytes %lu-%lu/%lu", job->position, size - 1, size);
      hsv_add_header (req, "content-range", text);
    }
  if (hsv_query_uint (req, "chunked", 0) == 0)
    req->res.content_length = size - job->position;
  job->generator = (h2o_generator_t){ send_chunk, on_download_stopped };
  h2o_start_response (req, &job->generator);
  send_chunk (&job->generator, req);
}

/* ---- Requests ---- */

static void
log_execution (Upstream *upstream, h2o_req_t *req, const char *path)
{
  char *key = hsv_header (req, "idempotency-key");
  char *line = g_strdup_printf ("%s %.*s %s %s\n", upstream->id, (int) req->method.len,
                                req->method.base, path, key != NULL ? key : "-");

  if (write (upstream->log_fd, line, strlen (line)) < 0)
    perror ("write");
  g_free (line);
  g_free (key);
}

static void
on_service_end (uv_timer_t *timer)
{
  Job *job = timer->data;
  char *path = hsv_path (job->req);
  char *echo = hsv_header (job->req, "x-echo");

  job->responded = true;
  job->upstream->served++;
  if (job->upstream->draining)
    hsv_add_header (job->req, "x-upstream-leaving", "1");
  if (g_str_has_prefix (path, "/download"))
    send_download (job);
  else
    {
      char *body = g_strdup_printf ("{\"upstream\":\"%s\",\"echo\":\"%s\"}\n", job->upstream->id,
                                    echo != NULL ? echo : "");
      hsv_respond (job->req, 200, "application/json", body);
      g_free (body);
    }
  g_free (path);
  g_free (echo);
}

static void
start_job (Upstream *upstream, h2o_req_t *req, const char *path)
{
  Job *job = g_new0 (Job, 1);
  JobRef *job_ref = h2o_mem_alloc_shared (&req->pool, sizeof *job_ref, on_request_freed);
  uint64_t age_ms = uv_now (upstream->loop) - upstream->started_at_ms;
  uint64_t ms = hsv_query_uint (req, "ms", upstream->service_ms);

  job_ref->job = job;
  job->upstream = upstream;
  job->req = req;
  uv_timer_init (upstream->loop, &job->timer);
  job->timer.data = job;
  upstream->in_flight++;
  upstream->max_in_flight = MAX (upstream->max_in_flight, upstream->in_flight);
  if (upstream->draining && uv_now (upstream->loop) - upstream->draining_since_ms > 3000)
    upstream->starts_after_drain++;
  log_execution (upstream, req, path);
  if (upstream->never_responds)
    return;
  uv_timer_start (&job->timer, on_service_end, age_ms < upstream->cold_ms ? ms * 3 : ms, 0);
}

static void
shed (Upstream *upstream, h2o_req_t *req)
{
  upstream->shed++;
  hsv_add_header (req, "x-request-not-run", "1");
  if (upstream->draining)
    hsv_add_header (req, "x-upstream-leaving", "1");
  hsv_respond (req, 503, "text/plain", "full\n");
}

static void
send_health (Upstream *upstream, h2o_req_t *req)
{
  uint64_t load = upstream->load_override_permille >= 0
                      ? (uint64_t) upstream->load_override_permille
                      : (uint64_t) upstream->in_flight * 1000 / upstream->slots;
  char *text = g_strdup_printf (
      "{\"state\":\"%s\",\"load_permille\":%lu}",
      upstream->draining && !upstream->health_hides_draining ? "draining" : "serving", load);

  hsv_respond (req, 200, "application/json", text);
  g_free (text);
}

/* ---- Control ---- */

static void
handle_control (Upstream *upstream, h2o_req_t *req)
{
  char *state = hsv_query (req, "state");

  if (state != NULL)
    {
      upstream->draining = strcmp (state, "draining") == 0;
      upstream->draining_since_ms = uv_now (upstream->loop);
    }
  upstream->health_hides_draining
      = hsv_query_uint (req, "health_lags", upstream->health_hides_draining);
  upstream->load_override_permille
      = (int64_t) hsv_query_uint (req, "false_load", (uint64_t) upstream->load_override_permille);
  upstream->truncate_after_bytes
      = (int64_t) hsv_query_uint (req, "cut_after", (uint64_t) upstream->truncate_after_bytes);
  upstream->never_responds = hsv_query_uint (req, "silent", upstream->never_responds);
  upstream->service_ms = (uint32_t) hsv_query_uint (req, "service_ms", upstream->service_ms);
  g_free (state);
  hsv_respond (req, 200, "text/plain", "ok\n");
}

static void
handle_counts (Upstream *upstream, h2o_req_t *req)
{
  char *text = g_strdup_printf ("{\"id\":\"%s\",\"served\":%lu,\"shed\":%lu,\"cancelled\":%lu,"
                                "\"in_flight\":%u,\"max_in_flight\":%u,\"late_starts\":%lu}",
                                upstream->id, upstream->served, upstream->shed, upstream->cancelled,
                                upstream->in_flight, upstream->max_in_flight,
                                upstream->starts_after_drain);

  hsv_respond (req, 200, "application/json", text);
  g_free (text);
}

static void
on_http (void *user, h2o_req_t *req)
{
  Upstream *upstream = user;
  char *path = hsv_path (req);

  if (strcmp (path, "/health") == 0)
    send_health (upstream, req);
  else if (strcmp (path, "/standin/control") == 0)
    handle_control (upstream, req);
  else if (strcmp (path, "/standin/counts") == 0)
    handle_counts (upstream, req);
  else if (upstream->in_flight >= upstream->slots)
    shed (upstream, req);
  else if (strstr (path, "poison") != NULL)
    {
      log_execution (upstream, req, path);
      _exit (3);
    }
  else
    start_job (upstream, req, path);
  g_free (path);
}

int
main (int argc, char **argv)
{
  Upstream upstream
      = { .loop = uv_default_loop (), .load_override_permille = -1, .truncate_after_bytes = -1 };
  bool check_only;
  Err err = { 0 };
  NetAddr addr;
  Settings *settings
      = set_load (settings_specs, "Stand-in of an upstream.", argc, argv, &check_only, &err);

  if (settings == NULL)
    {
      fprintf (stderr, "%s", err.text);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  g_strlcpy (upstream.id, set_text (settings, "id"), sizeof upstream.id);
  upstream.slots = set_uint (settings, "slots");
  upstream.service_ms = set_uint (settings, "service-ms");
  upstream.cold_ms = set_uint (settings, "cold-ms");
  upstream.started_at_ms = uv_now (upstream.loop);
  upstream.log_fd = open (set_text (settings, "exec-log"), O_WRONLY | O_CREAT | O_APPEND, 0644);
  net_addr_parse (set_text (settings, "listen"), &addr);
  HsvServer *server = hsv_start (upstream.loop, addr, on_http, &upstream, &err);
  if (server == NULL)
    {
      fprintf (stderr, "%s\n", err.text);
      return 1;
    }
  fprintf (stderr, "event=listening port=%u\n", hsv_port (server));
  return uv_run (upstream.loop, UV_RUN_DEFAULT);
}
