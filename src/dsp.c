/* Dispatch of requests: attempts on upstreams, retries, and the queue for free slots. */
#include "dsp.h"

#include "rsp.h"
#include "crs.h"

#include <inttypes.h>
#include <string.h>

#define CALLER_QUEUE_DIVISOR 4 /* most that one caller may use: QUEUE_MAX over this */

/* ---- Outcomes of attempts ---- */

/* Attempts that upstreams shed don't count: the retry budget and the waiting time limit them. */
static bool
has_attempts_left (const Req *req)
{
  return req->attempts - req->sheds < ATTEMPTS_MAX;
}

/* A request that may have run is retried only if a retry token is available now; it doesn't wait
 * for one. */
static void
retry_after_possible_run (Req *req)
{
  rqs_step (req, REQ_FAILED_IDEMPOTENT);
  req->waits_until_ms = 0;
  if (req->h2o == NULL)
    rqs_free_if_done (req);
  else if (rqs_deadline_passed (req))
    rqs_respond_error (req, 504, rqs_run_state (req), "deadline passed\n");
  else if (!has_attempts_left (req) || !rty_consume (&req->service->retries))
    rqs_reject (req, "upstreams failed\n");
  else
    {
      req->entry->counters.retries++;
      dsp_dispatch (req);
    }
}

/* A request that has not run may wait for a free slot and for a retry token. */
static void
retry_after_not_run (Req *req, const char *reason)
{
  rqs_step (req, REQ_NOT_RUN);
  req->needs_retry_token = true;
  if (req->h2o == NULL)
    rqs_free_if_done (req);
  else if (rqs_deadline_passed (req))
    rqs_respond_error (req, 504, rqs_run_state (req), "deadline passed\n");
  else if (!has_attempts_left (req))
    rqs_reject (req, reason);
  else
    dsp_dispatch (req);
}

/* Rejects a poison request after POISON_PROPAGATION_MS, when other entries know the count of its
 * crashes too: a caller that retries it there then gets a rejection and crashes no more upstreams.
 */
static void
on_poison_delay_over (uv_timer_t *timer)
{
  Req *req = timer->data;

  req->entry->counters.poison_refused++;
  rqs_respond_error (req, 422, RUN_MAY_HAVE_RUN, "request crashes upstreams\n");
}

static void
fail_before_head (Req *req, HclOutcome outcome)
{
  req->may_have_run = true;
  if (req->idempotent && !(outcome == HCL_DISCONNECTED && rqs_is_poison (req)))
    {
      retry_after_possible_run (req);
      return;
    }
  if (req->h2o != NULL && rqs_is_poison (req))
    uv_timer_start (req->timer, on_poison_delay_over, POISON_PROPAGATION_MS, 0);
  else
    rqs_respond_error (req, 502, RUN_MAY_HAVE_RUN, "upstream gave no answer\n");
}

static bool
can_resume (const Req *req)
{
  return req->h2o != NULL && strcmp (req->method, "GET") == 0 && req->status == 200
         && req->etag != NULL && req->etag[0] == '"' && req->has_length
         && req->attempts < ATTEMPTS_MAX && !rqs_deadline_passed (req);
}

static void
fail_within_body (Req *req)
{
  if (can_resume (req) && !rqs_is_poison (req) && rty_consume (&req->service->retries))
    {
      rqs_step (req, REQ_INTERRUPTED);
      req->entry->counters.resumed_downloads++;
      dsp_dispatch (req);
      return;
    }
  req->entry->counters.cut_answers++;
  rqs_step (req, REQ_CUT);
  req->response_failed = true;
  rsp_flush_or_free (req);
}

static void
finish_response (Req *req)
{
  Entry *entry = req->entry;

  rqs_step (req, REQ_FINISHED);
  entry->counters.answered++;
  met_observe (&entry->latency, (uint64_t) g_get_monotonic_time () - req->started_us);
  if (req->claim != NULL)
    {
      ClmResponse response = { .status = req->status,
                               .content_type = req->content_type,
                               .body = req->received <= CLAIM_RESPONSE_MAX_BYTES
                                           ? (const char *) req->claim_body->data
                                           : NULL,
                               .size = req->claim_body->len };
      if (response.body == NULL && req->received == 0)
        response.body = "";
      clm_finish (req->claim, &response);
      req->claim = NULL;
    }
  req->upstream_response_complete = true;
  rsp_flush_or_free (req);
}

/* ---- Callbacks of the exchange with the upstream ---- */

static bool
has_header (const HclHead *head, const char *name)
{
  char *value = hcl_header (head, name);
  bool found = value != NULL;

  g_free (value);
  return found;
}

static void
on_head (void *user, HclCall *call, const HclHead *head)
{
  Req *req = user;

  if (has_header (head, "x-upstream-leaving"))
    esv_record_leaving (req->entry, req->upstream);
  if (req->response_started)
    {
      if (!rsp_is_continuation (req, head))
        req->response_failed = true;
      return;
    }
  if (head->status == 503 && has_header (head, "x-request-not-run"))
    {
      req->entry->counters.sheds++;
      req->sheds++;
      hlt_record_shed (&req->upstream->health, entry_now_ms (req->entry));
      return;
    }
  rqs_step (req, REQ_HEAD);
  uv_timer_stop (req->timer);
  rsp_start (req, head);
  (void) call;
}

static void
on_body (void *user, HclCall *call, const char *data, size_t size)
{
  Req *req = user;

  if (!req->response_started || req->response_failed)
    return;
  req->received += size;
  req->usage->bytes += size;
  if (req->claim != NULL && req->received <= CLAIM_RESPONSE_MAX_BYTES)
    g_byte_array_append (req->claim_body, (const guint8 *) data, (guint) size);
  if (req->h2o == NULL)
    return;
  rsp_add (req, call, data, size);
}

static void
handle_outcome (Req *req, HclOutcome outcome)
{
  if (outcome == HCL_DONE && req->response_started && rsp_is_complete (req))
    {
      if (req->crashes == 0)
        poi_record_response (&req->entry->poison, req->fingerprint, entry_now_ms (req->entry));
      finish_response (req);
    }
  else if (req->response_started)
    fail_within_body (req);
  else if (outcome == HCL_DISCONNECTED || outcome == HCL_HEAD_TIMEOUT)
    fail_before_head (req, outcome);
  else if (outcome == HCL_NOT_SENT)
    retry_after_not_run (req, "no upstream could be reached\n");
  else
    retry_after_not_run (req, "upstreams are full\n");
}

static void
on_crash_checked (void *user, bool crashed)
{
  Req *req = user;

  req->checking_crash = false;
  if (crashed)
    rqs_record_crash (req);
  if (req->h2o == NULL && req->claim == NULL)
    rqs_free_if_done (req);
  else
    handle_outcome (req, req->outcome);
}

/* A lost connection counts as a crash by the request only if the upstream's process has ended. */
static void
check_crash (Req *req, HclOutcome outcome, NetAddr addr)
{
  req->checking_crash = true;
  req->outcome = outcome;
  crs_check (req->entry->loop, addr, on_crash_checked, req);
}

static void
on_end (void *user, HclCall *call, HclOutcome outcome)
{
  Req *req = user;
  Entry *entry = req->entry;
  EntryService *service = req->service;
  uint32_t zone = req->zone;
  EntryUpstream *upstream = req->upstream;
  NetAddr addr = upstream->addr;
  (void) call;

  req->call = NULL;
  if (outcome == HCL_DONE)
    hlt_record_request (&upstream->health, true);
  else
    esv_record_failure (entry, service, upstream);
  rqs_release_upstream (req);
  if (outcome == HCL_DISCONNECTED || outcome == HCL_TRUNCATED)
    check_crash (req, outcome, addr);
  else
    handle_outcome (req, outcome);
  dsp_dispatch_waiting (entry, service, zone);
}

static const HclOps upstream_ops = { .on_head = on_head, .on_body = on_body, .on_end = on_end };

/* ---- Dispatch ---- */

static char *
format_head (const Req *req)
{
  GString *head = g_string_new (NULL);
  char text[32];
  uint64_t remaining_ms = req->deadline_at_ms - entry_now_ms (req->entry);

  g_string_append_printf (head, "%s %s HTTP/1.1\r\nhost: %s\r\n", req->method, req->target,
                          net_addr_text (req->upstream->addr, text));
  g_string_append (head, req->headers->str);
  g_string_append_printf (head, "x-deadline-ms: %" PRIu64 "\r\n", remaining_ms);
  if (!req->idempotent)
    g_string_append (head, "connection: close\r\n");
  if (req->response_started)
    g_string_append_printf (head, "range: bytes=%" PRIu64 "-\r\nif-range: %s\r\n", req->received,
                            req->etag);
  if (req->body->len > 0 || !req->idempotent)
    g_string_append_printf (head, "content-length: %u\r\n", req->body->len);
  g_string_append (head, "\r\n");
  return g_string_free (head, FALSE);
}

/* An idle connection may have failed without notice, so only the first attempt of an idempotent
 * request reuses one. */
static bool
reuses_connection (const Req *req)
{
  return req->idempotent && req->attempts <= 1;
}

/* The first attempt, on a reused connection, leaves time for a retry on a new connection if the
 * retry budget allows one. */
static uint32_t
head_timeout_ms (const Req *req, uint64_t remaining_ms)
{
  bool reserves_retry_time = reuses_connection (req) && rty_available (&req->service->retries);
  uint64_t timeout_ms = reserves_retry_time ? remaining_ms / REUSED_HEAD_DIVISOR : remaining_ms;

  return (uint32_t) CLAMP (timeout_ms, 1, HEAD_TIMEOUT_MS);
}

static void
start_attempt (Req *req, EntryUpstream *upstream)
{
  Entry *entry = req->entry;
  uint64_t remaining_ms = req->deadline_at_ms - entry_now_ms (entry);

  req->upstream = upstream;
  req->suspect = poi_crashes (&entry->poison, req->fingerprint, entry_now_ms (entry)) > 0;
  req->attempts++;
  g_ptr_array_add (req->tried, upstream);
  upstream->in_flight++;
  upstream->suspects_in_flight += req->suspect;
  req->service->balances[req->zone].in_flight++;
  req->usage = &req->service->usage[req->group][req->zone];
  req->usage->requests++;
  esv_update_usage (entry, req->usage, 1);
  char *head = format_head (req);
  HclRequest spec = { .addr = upstream->addr,
                      .pool = reuses_connection (req) ? &upstream->pool : NULL,
                      .head = head,
                      .body = req->body->data,
                      .body_size = req->body->len,
                      .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                      .head_timeout_ms = head_timeout_ms (req, remaining_ms),
                      .progress_timeout_ms = PROGRESS_TIMEOUT_MS,
                      .method_is_head = strcmp (req->method, "HEAD") == 0 };
  req->call = hcl_start (&entry->http, &spec, &upstream_ops, req);
  g_free (head);
}

static bool
has_budget (const Req *req, uint32_t zone)
{
  return req->entry->budgets_disabled || bud_spare (&req->service->balances[zone]) > 0;
}

/* Consumes the retry token of a retry that has none yet; false when none is available. */
static bool
consume_retry_token (Req *req)
{
  if (!req->needs_retry_token)
    return true;
  if (!rty_consume (&req->service->retries))
    return false;
  req->needs_retry_token = false;
  req->entry->counters.retries++;
  return true;
}

static bool
try_start (Req *req)
{
  Entry *entry = req->entry;
  bool suspect = poi_crashes (&entry->poison, req->fingerprint, entry_now_ms (entry)) > 0;
  EntryUpstream *upstream;

  if (!has_budget (req, req->zone))
    return false;
  /* After a wait, upstreams that shed the request earlier may have free slots. */
  upstream = esv_choose_upstream (entry, req->service, req->zone, req->queued ? NULL : req->tried,
                                  suspect);
  if (upstream == NULL || !consume_retry_token (req))
    return false;
  if (req->state == REQ_WAITING)
    rqs_step (req, REQ_DISPATCHED);
  uv_timer_stop (req->timer);
  start_attempt (req, upstream);
  return true;
}

static uint32_t
count_waiting_of_caller (const EntryService *service, uint32_t ip)
{
  uint32_t count = 0;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    for (GList *item = service->waiting[z].head; item != NULL; item = item->next)
      count += ((Req *) item->data)->caller_ip == ip;
  return count;
}

static void
on_wait_timeout (uv_timer_t *timer)
{
  Req *req = timer->data;

  req->entry->counters.queue_timeouts++;
  rqs_leave_queue (req);
  if (req->response_started)
    {
      fail_within_body (req);
      return;
    }
  if (rqs_deadline_passed (req))
    rqs_respond_error (req, 504, rqs_run_state (req), "deadline passed\n");
  else
    rqs_reject (req, "no capacity within the waiting time\n");
}

static void
enqueue (Req *req)
{
  EntryService *service = req->service;
  uint64_t now_ms = entry_now_ms (req->entry);

  if (req->waits_until_ms == 0)
    req->waits_until_ms = MIN (now_ms + service->cfg->queue_wait_ms, req->deadline_at_ms);
  if (service->waiting_count >= QUEUE_MAX
      || count_waiting_of_caller (service, req->caller_ip) >= QUEUE_MAX / CALLER_QUEUE_DIVISOR)
    {
      if (req->response_started)
        fail_within_body (req);
      else
        rqs_reject (req, "queue is full\n");
      return;
    }
  req->queued = true;
  req->entry->counters.queued++;
  service->waiting_count++;
  g_queue_push_tail (&service->waiting[req->zone], req);
  uv_timer_start (req->timer, on_wait_timeout,
                  req->waits_until_ms - MIN (now_ms, req->waits_until_ms), 0);
}

void
dsp_dispatch (Req *req)
{
  EntryService *service = req->service;
  PlnGroup *group = &service->groups[req->group];

  if (service->cfg == NULL)
    {
      rqs_reject (req, "service is no longer declared\n");
      return;
    }
  if (!group->present)
    {
      req->zone = ZONE_NONE;
      rqs_reject (req, "no plan is in force yet\n");
      return;
    }
  if (rqs_is_poison (req) && !req->response_started)
    {
      req->entry->counters.poison_refused++;
      rqs_respond_error (req, 422, rqs_run_state (req), "request crashes upstreams\n");
      return;
    }
  req->zone = pck_choose_zone (group->state.shares_ppm, service->current_weight[req->group]);
  if (!g_queue_is_empty (&service->waiting[req->zone]) || !try_start (req))
    enqueue (req);
}

void
dsp_dispatch_waiting (Entry *entry, EntryService *service, uint32_t zone)
{
  GList *item = service->waiting[zone].head;
  (void) entry;

  while (item != NULL)
    {
      Req *req = item->data;
      GList *next = item->next;
      if (!has_budget (req, zone))
        return;
      if (try_start (req))
        {
          req->queued = false;
          g_queue_delete_link (&service->waiting[zone], item);
          service->waiting_count--;
        }
      item = next;
    }
}
