/* Requests: from admission to the end of the answer, following the request chart. */
#include "clm.h"
#include "crs.h"
#include "entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE_PREFIX "/svc/"
#define CALLER_QUEUE_SHARE 4
#define CONTENT_RANGE_PREFIX "bytes "

typedef enum
{
  REQ_ADMITTED,
  REQ_CLAIMING,
  REQ_WAITING,
  REQ_RUNNING,
  REQ_ANSWERING,
  REQ_ANSWERED,
  REQ_ABANDONED,
} ReqState;

typedef enum
{
  REQ_CLAIM_NEEDED,
  REQ_CLAIM_NOT_NEEDED,
  REQ_CLAIM_WON,
  REQ_REPLAYED,
  REQ_DISPATCHED,
  REQ_NOT_RUN,
  REQ_FAILED_IDEMPOTENT,
  REQ_HEAD,
  REQ_INTERRUPTED,
  REQ_FINISHED,
  REQ_CUT,
  REQ_REFUSED,
  REQ_CALLER_GONE,
} ReqEvent;

typedef enum
{
  RUN_NOT_RUN,
  RUN_MAY_HAVE_RUN,
  RUN_RAN,
} RunState;

typedef struct _Req Req;

/** struct Link - lives with h2o's request and tells when the caller is gone */
typedef struct
{
  Req *req;
} Link;

struct _Req
{
  h2o_generator_t generator;
  Entry *entry;
  h2o_req_t *h2o;
  EntryService *service;
  int32_t state;
  char *method;
  char *rest;
  char *key;
  GString *headers;
  GByteArray *body;
  bool idempotent;
  uint32_t caller_ip;
  uint32_t group;
  uint32_t zone;
  bool queued;
  EntryUpstream *upstream;
  EntryUsage *usage;
  GPtrArray *tried;
  uint32_t attempts;
  uint32_t sheds;
  bool owes_retry;
  uint64_t waits_until_ms;
  uint32_t crashes;
  HclCall *call;
  Clm *claim;
  bool claiming;
  bool checking;
  HclOutcome outcome;
  bool may_have_run;
  bool suspect;
  uint64_t fingerprint;
  uint64_t started_us;
  uint64_t deadline_at_ms;
  uv_timer_t *timer;
  uint64_t not_before_ms;
  int status;
  char *content_type;
  char *etag;
  uint64_t content_length;
  bool has_length;
  uint64_t received;
  bool response_started;
  bool response_ended;
  bool sending;
  bool upstream_done;
  bool answer_failed;
  GByteArray *out;
  GByteArray *in_flight_out;
  GByteArray *kept;
};

static void dispatch (Req *req);
static void answer_own (Req *req, int status, RunState run, const char *text);

/* ---- Life ---- */

/* A request that goes on without its caller has left the chart. */
static void
step (Req *req, ReqEvent event)
{
  if (req->state != REQ_ABANDONED
      && !chart_step (&req->entry->request_chart, &req->state, (int32_t) event))
    log_event (&req->entry->log, LOG_ERROR, "impossible_event", "chart=request state=%d event=%d",
               req->state, (int) event);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
maybe_free (Req *req)
{
  if (req->h2o != NULL || req->call != NULL || req->claiming || req->queued || req->checking)
    return;
  req->entry->open_requests--;
  if (req->claim != NULL)
    {
      if (req->may_have_run)
        clm_abandon (req->claim);
      else
        clm_release (req->claim);
    }
  uv_close ((uv_handle_t *) req->timer, on_timer_closed);
  g_free (req->method);
  g_free (req->rest);
  g_free (req->key);
  g_free (req->content_type);
  g_free (req->etag);
  g_string_free (req->headers, TRUE);
  g_byte_array_unref (req->body);
  g_byte_array_unref (req->out);
  g_byte_array_unref (req->in_flight_out);
  g_byte_array_unref (req->kept);
  g_ptr_array_unref (req->tried);
  g_free (req);
}

static void
leave_queue (Req *req)
{
  if (!req->queued)
    return;
  req->queued = false;
  g_queue_remove (&req->service->waiting[req->zone], req);
  req->service->waiting_count--;
}

static void
free_upstream (Req *req)
{
  if (req->upstream == NULL)
    return;
  req->upstream->in_flight--;
  req->upstream->suspects -= req->suspect;
  req->service->holds[req->zone].in_flight--;
  esv_count (req->entry, req->usage, -1);
  req->upstream = NULL;
  req->suspect = false;
}

/* A running non-idempotent request goes on without its caller, so that its end is recorded. */
static void
on_caller_gone (void *data)
{
  Link *link = data;
  Req *req = link->req;

  req->h2o = NULL;
  if (!req->response_ended)
    {
      req->entry->counters.callers_gone++;
      if (req->state != REQ_ANSWERED)
        step (req, REQ_CALLER_GONE);
      leave_queue (req);
      if (req->call != NULL && req->claim == NULL)
        {
          hcl_cancel (req->call);
          req->call = NULL;
          EntryService *service = req->service;
          uint32_t zone = req->zone;
          free_upstream (req);
          req_wake (req->entry, service, zone);
        }
      else if (req->call != NULL)
        hcl_resume (req->call);
    }
  maybe_free (req);
}

/* ---- Answers made by the entry ---- */

static const char *
run_name (RunState run)
{
  static const char *const names[] = { "not-run", "may-have-run", "ran" };

  return names[run];
}

static void
end_request (Req *req)
{
  uv_timer_stop (req->timer);
  leave_queue (req);
  req->response_ended = true;
}

static void
answer_own (Req *req, int status, RunState run, const char *text)
{
  char retry[16];

  if (req->state != REQ_ANSWERED)
    step (req, REQ_REFUSED);
  if (run == RUN_NOT_RUN)
    req->entry->counters.refused_not_run++;
  else if (run == RUN_MAY_HAVE_RUN)
    req->entry->counters.may_have_run++;
  if (req->claim != NULL && run == RUN_NOT_RUN)
    {
      clm_release (req->claim);
      req->claim = NULL;
    }
  end_request (req);
  if (req->h2o != NULL)
    {
      g_snprintf (retry, sizeof retry, "%d", RETRY_AFTER_S);
      hsv_add_header (req->h2o, "x-cardamom-run", run_name (run));
      if (status == 503 || status == 504 || status == 409)
        hsv_add_header (req->h2o, "retry-after", retry);
      hsv_reply (req->h2o, status, "text/plain", text);
    }
  else
    maybe_free (req);
}

static RunState
run_so_far (const Req *req)
{
  return req->may_have_run ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN;
}

/* The inputs that decided a refusal. */
static void
log_refusal (const Req *req, const char *reason)
{
  const EntryService *service = req->service;
  uint32_t spare = req->zone != ZONE_NONE ? bud_spare (&service->holds[req->zone]) : 0;

  log_event (&req->entry->log, LOG_DEBUG, "request_refused",
             "service=%s reason=\"%s\" run=%s zone=%u attempts=%u sheds=%u owes_retry=%d "
             "retries_pct=%u spare=%u waiting=%u",
             service->name, reason, run_name (run_so_far (req)), req->zone, req->attempts,
             req->sheds, req->owes_retry, service->retries.tokens_pct, spare,
             service->waiting_count);
}

static void
refuse (Req *req, const char *reason)
{
  if (req->usage == NULL && req->service != NULL && req->zone != ZONE_NONE)
    req->service->usage[req->group][req->zone].refused++;
  log_refusal (req, reason);
  answer_own (req, 503, run_so_far (req), reason);
}

/* ---- Streaming the answer ---- */

static void
send_more (Req *req)
{
  h2o_iovec_t buf;

  if (req->h2o == NULL || req->sending || req->response_ended)
    return;
  if (req->out->len == 0 && !req->upstream_done && !req->answer_failed)
    return;
  GByteArray *swap = req->in_flight_out;
  req->in_flight_out = req->out;
  req->out = swap;
  g_byte_array_set_size (req->out, 0);
  buf = h2o_iovec_init (req->in_flight_out->data, req->in_flight_out->len);
  req->sending = true;
  if (req->answer_failed || req->upstream_done)
    end_request (req);
  h2o_send (req->h2o, &buf, buf.len > 0 ? 1 : 0,
            req->answer_failed   ? H2O_SEND_STATE_ERROR
            : req->upstream_done ? H2O_SEND_STATE_FINAL
                                 : H2O_SEND_STATE_IN_PROGRESS);
}

/* The last piece may end the connection and with it the request, so nothing may follow. */
static void
send_or_free (Req *req)
{
  if (req->h2o != NULL)
    send_more (req);
  else
    maybe_free (req);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *h2o)
{
  Req *req = (Req *) generator;
  (void) h2o;

  req->sending = false;
  if (req->call != NULL && req->out->len < STREAM_BUFFER_MAX_BYTES)
    hcl_resume (req->call);
  send_more (req);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *h2o)
{
  (void) generator;
  (void) h2o;
}

static bool
is_hop_header (const h2o_header_t *header)
{
  static const char *const names[]
      = { "connection", "content-length",     "transfer-encoding", "keep-alive", "date",
          "server",     "x-upstream-leaving", "x-request-not-run", NULL };

  for (uint32_t i = 0; names[i] != NULL; i++)
    if (h2o_memis (header->name->base, header->name->len, names[i], strlen (names[i])))
      return true;
  return false;
}

static void
start_response (Req *req, const HclHead *head)
{
  req->response_started = true;
  req->status = head->status;
  req->content_type = hcl_header (head, "content-type");
  req->etag = hcl_header (head, "etag");
  req->has_length = head->has_length;
  req->content_length = head->content_length;
  if (req->h2o == NULL)
    return;
  req->h2o->res.status = head->status;
  req->h2o->res.reason = "-";
  req->h2o->res.content_length = head->has_length ? head->content_length : SIZE_MAX;
  for (size_t i = 0; i < head->header_count; i++)
    if (!is_hop_header (&head->headers[i]))
      {
        char *name = g_strndup (head->headers[i].name->base, head->headers[i].name->len);
        char *value = g_strndup (head->headers[i].value.base, head->headers[i].value.len);
        hsv_add_header (req->h2o, name, value);
        g_free (name);
        g_free (value);
      }
  hsv_add_header (req->h2o, "x-cardamom-run", "ran");
  req->generator = (h2o_generator_t){ on_proceed, on_stop };
  h2o_start_response (req->h2o, &req->generator);
}

/* ---- Ends of attempts ---- */

static bool
deadline_passed (const Req *req)
{
  return entry_now_ms (req->entry) >= req->deadline_at_ms;
}

/* Attempts that upstreams refused for load are bounded by the retry budget and the waiting time. */
static bool
has_attempts_left (const Req *req)
{
  return req->attempts - req->sheds < ATTEMPTS_MAX;
}

/* A request that may have run is repeated only within the budget of the moment. */
static void
try_again_elsewhere (Req *req)
{
  step (req, REQ_FAILED_IDEMPOTENT);
  req->waits_until_ms = 0;
  if (req->h2o == NULL)
    maybe_free (req);
  else if (deadline_passed (req))
    answer_own (req, 504, run_so_far (req), "deadline passed\n");
  else if (!has_attempts_left (req) || !rty_take (&req->service->retries))
    refuse (req, "upstreams failed\n");
  else
    {
      req->entry->counters.retries++;
      dispatch (req);
    }
}

/* A request that has not run waits for room and for the retry budget. */
static void
wait_after_not_run (Req *req, const char *reason)
{
  step (req, REQ_NOT_RUN);
  req->owes_retry = true;
  if (req->h2o == NULL)
    maybe_free (req);
  else if (deadline_passed (req))
    answer_own (req, 504, run_so_far (req), "deadline passed\n");
  else if (!has_attempts_left (req))
    refuse (req, reason);
  else
    dispatch (req);
}

static void
on_hold_over (uv_timer_t *timer)
{
  Req *req = timer->data;

  req->entry->counters.poison_refused++;
  answer_own (req, 422, RUN_MAY_HAVE_RUN, "request crashes upstreams\n");
}

/* The answer is held until other entries know of the crashes. */
static void
note_crash (Req *req)
{
  const PoiSuspect *suspect
      = poi_crash (&req->entry->poison, req->fingerprint, entry_now_ms (req->entry));

  req->entry->counters.crashes_seen++;
  req->crashes++;
  syn_add_poison (req->entry, req->fingerprint, suspect->crashes);
}

static bool
is_poison (const Req *req)
{
  return poi_crashes (&req->entry->poison, req->fingerprint, entry_now_ms (req->entry))
         >= POISON_CRASHES_MAX;
}

static void
fail_before_head (Req *req, HclOutcome outcome)
{
  req->may_have_run = true;
  if (req->idempotent && !(outcome == HCL_LOST && is_poison (req)))
    {
      try_again_elsewhere (req);
      return;
    }
  if (req->h2o != NULL && is_poison (req))
    uv_timer_start (req->timer, on_hold_over, POISON_SPREAD_MS, 0);
  else
    answer_own (req, 502, RUN_MAY_HAVE_RUN, "upstream gave no answer\n");
}

static bool
can_resume (const Req *req)
{
  return req->h2o != NULL && strcmp (req->method, "GET") == 0 && req->status == 200
         && req->etag != NULL && req->etag[0] == '"' && req->has_length
         && req->attempts < ATTEMPTS_MAX && !deadline_passed (req);
}

static void
fail_within_body (Req *req)
{
  if (can_resume (req) && !is_poison (req) && rty_take (&req->service->retries))
    {
      step (req, REQ_INTERRUPTED);
      req->entry->counters.resumed_downloads++;
      dispatch (req);
      return;
    }
  req->entry->counters.cut_answers++;
  step (req, REQ_CUT);
  req->answer_failed = true;
  send_or_free (req);
}

static void
finish_answer (Req *req)
{
  Entry *entry = req->entry;

  step (req, REQ_FINISHED);
  entry->counters.answered++;
  met_observe (&entry->latency, (uint64_t) g_get_monotonic_time () - req->started_us);
  if (req->claim != NULL)
    {
      ClmAnswer answer
          = { .status = req->status,
              .content_type = req->content_type,
              .body
              = req->received <= CLAIM_ANSWER_MAX_BYTES ? (const char *) req->kept->data : NULL,
              .size = req->kept->len };
      if (answer.body == NULL && req->received == 0)
        answer.body = "";
      clm_finish (req->claim, &answer);
      req->claim = NULL;
    }
  req->upstream_done = true;
  send_or_free (req);
}

/* ---- Callbacks of the upstream's call ---- */

static bool
has_header (const HclHead *head, const char *name)
{
  char *value = hcl_header (head, name);
  bool found = value != NULL;

  g_free (value);
  return found;
}

/* The part must start where the answer was interrupted and belong to the same version. */
static bool
continues_answer (const Req *req, const HclHead *head)
{
  char *range = hcl_header (head, "content-range");
  char *etag = hcl_header (head, "etag");
  bool ok = head->status == 206 && range != NULL && etag != NULL && strcmp (etag, req->etag) == 0
            && g_str_has_prefix (range, CONTENT_RANGE_PREFIX)
            && strtoull (range + strlen (CONTENT_RANGE_PREFIX), NULL, 10) == req->received;

  g_free (range);
  g_free (etag);
  return ok;
}

static void
on_head (void *user, HclCall *call, const HclHead *head)
{
  Req *req = user;

  if (has_header (head, "x-upstream-leaving"))
    esv_saw_leaving (req->entry, req->upstream);
  if (req->response_started)
    {
      if (!continues_answer (req, head))
        req->answer_failed = true;
      return;
    }
  if (head->status == 503 && has_header (head, "x-request-not-run"))
    {
      req->entry->counters.sheds++;
      req->sheds++;
      hlt_shed (&req->upstream->health, entry_now_ms (req->entry));
      return;
    }
  step (req, REQ_HEAD);
  uv_timer_stop (req->timer);
  start_response (req, head);
  (void) call;
}

static void
on_body (void *user, HclCall *call, const char *data, size_t size)
{
  Req *req = user;

  if (!req->response_started || req->answer_failed)
    return;
  req->received += size;
  req->usage->bytes += size;
  if (req->claim != NULL && req->received <= CLAIM_ANSWER_MAX_BYTES)
    g_byte_array_append (req->kept, (const guint8 *) data, (guint) size);
  if (req->h2o == NULL)
    return;
  g_byte_array_append (req->out, (const guint8 *) data, (guint) size);
  send_more (req);
  if (req->out->len >= STREAM_BUFFER_MAX_BYTES)
    hcl_pause (call);
}

static bool
is_complete (const Req *req)
{
  return !req->answer_failed
         && (!req->has_length || strcmp (req->method, "HEAD") == 0
             || req->received == req->content_length);
}

static void
judge_end (Req *req, HclOutcome outcome)
{
  if (outcome == HCL_DONE && req->response_started && is_complete (req))
    {
      if (req->crashes == 0)
        poi_clear_suspect (&req->entry->poison, req->fingerprint);
      finish_answer (req);
    }
  else if (req->response_started)
    fail_within_body (req);
  else if (outcome == HCL_LOST || outcome == HCL_TIMEOUT)
    fail_before_head (req, outcome);
  else if (outcome == HCL_NOT_SENT)
    wait_after_not_run (req, "no upstream could be reached\n");
  else
    wait_after_not_run (req, "upstreams are full\n");
}

static void
on_checked (void *user, bool crashed)
{
  Req *req = user;

  req->checking = false;
  if (crashed)
    note_crash (req);
  if (req->h2o == NULL && req->claim == NULL)
    maybe_free (req);
  else
    judge_end (req, req->outcome);
}

/* A lost connection counts against the request only when the upstream's process has ended. */
static void
check_crash (Req *req, HclOutcome outcome, NetAddr addr)
{
  req->checking = true;
  req->outcome = outcome;
  crs_check (req->entry->loop, addr, on_checked, req);
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
    hlt_request (&upstream->health, true);
  else
    esv_upstream_failed (entry, service, upstream);
  free_upstream (req);
  if (outcome == HCL_LOST || outcome == HCL_TRUNCATED)
    check_crash (req, outcome, addr);
  else
    judge_end (req, outcome);
  req_wake (entry, service, zone);
}

static const HclOps upstream_ops = { .on_head = on_head, .on_body = on_body, .on_end = on_end };

/* ---- Dispatch ---- */

static char *
head_text (const Req *req)
{
  GString *head = g_string_new (NULL);
  char text[32];
  uint64_t left_ms = req->deadline_at_ms - entry_now_ms (req->entry);

  g_string_append_printf (head, "%s %s HTTP/1.1\r\nhost: %s\r\n", req->method, req->rest,
                          net_addr_text (req->upstream->addr, text));
  g_string_append (head, req->headers->str);
  g_string_append_printf (head, "x-deadline-ms: %" PRIu64 "\r\n", left_ms);
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

/* A kept connection may have gone silent, so only a first, idempotent attempt goes on one. */
static bool
reuses_connection (const Req *req)
{
  return req->idempotent && req->attempts <= 1;
}

/* The first attempt on a kept connection leaves time for another on a new one, if one is allowed.
 */
static uint32_t
head_timeout_ms (const Req *req, uint64_t left_ms)
{
  bool leave_time = reuses_connection (req) && rty_available (&req->service->retries);
  uint64_t timeout_ms = leave_time ? left_ms / REUSED_HEAD_SHARE : left_ms;

  return (uint32_t) CLAMP (timeout_ms, 1, HEAD_TIMEOUT_MS);
}

static void
run_on (Req *req, EntryUpstream *upstream)
{
  Entry *entry = req->entry;
  uint64_t left_ms = req->deadline_at_ms - entry_now_ms (entry);

  req->upstream = upstream;
  req->suspect = poi_crashes (&entry->poison, req->fingerprint, entry_now_ms (entry)) > 0;
  req->attempts++;
  g_ptr_array_add (req->tried, upstream);
  upstream->in_flight++;
  upstream->suspects += req->suspect;
  req->service->holds[req->zone].in_flight++;
  req->usage = &req->service->usage[req->group][req->zone];
  req->usage->requests++;
  esv_count (entry, req->usage, 1);
  char *head = head_text (req);
  HclSpec spec = { .addr = upstream->addr,
                   .pool = reuses_connection (req) ? &upstream->pool : NULL,
                   .head = head,
                   .body = req->body->data,
                   .body_size = req->body->len,
                   .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                   .head_timeout_ms = head_timeout_ms (req, left_ms),
                   .progress_timeout_ms = PROGRESS_TIMEOUT_MS,
                   .method_is_head = strcmp (req->method, "HEAD") == 0 };
  req->call = hcl_start (&entry->http, &spec, &upstream_ops, req);
  g_free (head);
}

static bool
may_start (const Req *req, uint32_t zone)
{
  return req->entry->baseline || bud_spare (&req->service->holds[zone]) > 0;
}

static bool
pay_retry (Req *req)
{
  if (!req->owes_retry)
    return true;
  if (!rty_take (&req->service->retries))
    return false;
  req->owes_retry = false;
  req->entry->counters.retries++;
  return true;
}

static bool
start_now (Req *req)
{
  Entry *entry = req->entry;
  bool suspect = poi_crashes (&entry->poison, req->fingerprint, entry_now_ms (entry)) > 0;
  EntryUpstream *upstream;

  if (!may_start (req, req->zone))
    return false;
  /* After a wait, the upstreams that refused it may have room. */
  upstream = esv_pick (entry, req->service, req->zone, req->queued ? NULL : req->tried, suspect);
  if (upstream == NULL || !pay_retry (req))
    return false;
  if (req->state == REQ_WAITING)
    step (req, REQ_DISPATCHED);
  uv_timer_stop (req->timer);
  run_on (req, upstream);
  return true;
}

static uint32_t
waiting_of_caller (const EntryService *service, uint32_t ip)
{
  uint32_t count = 0;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    for (GList *item = service->waiting[z].head; item != NULL; item = item->next)
      count += ((Req *) item->data)->caller_ip == ip;
  return count;
}

static void
on_wait_over (uv_timer_t *timer)
{
  Req *req = timer->data;

  req->entry->counters.queue_timeouts++;
  leave_queue (req);
  if (req->response_started)
    {
      fail_within_body (req);
      return;
    }
  if (deadline_passed (req))
    answer_own (req, 504, run_so_far (req), "deadline passed\n");
  else
    refuse (req, "no capacity within the waiting time\n");
}

static void
enter_queue (Req *req)
{
  EntryService *service = req->service;
  uint64_t now_ms = entry_now_ms (req->entry);

  if (req->waits_until_ms == 0)
    req->waits_until_ms = MIN (now_ms + service->cfg->queue_wait_ms, req->deadline_at_ms);
  if (service->waiting_count >= QUEUE_MAX
      || waiting_of_caller (service, req->caller_ip) >= QUEUE_MAX / CALLER_QUEUE_SHARE)
    {
      if (req->response_started)
        fail_within_body (req);
      else
        refuse (req, "queue is full\n");
      return;
    }
  req->queued = true;
  req->entry->counters.queued++;
  service->waiting_count++;
  g_queue_push_tail (&service->waiting[req->zone], req);
  uv_timer_start (req->timer, on_wait_over, req->waits_until_ms - MIN (now_ms, req->waits_until_ms),
                  0);
}

static void
dispatch (Req *req)
{
  EntryService *service = req->service;
  PlnGroup *group = &service->groups[req->group];

  if (service->cfg == NULL)
    {
      refuse (req, "service is no longer declared\n");
      return;
    }
  if (!group->present)
    {
      req->zone = ZONE_NONE;
      refuse (req, "no plan is in force yet\n");
      return;
    }
  if (is_poison (req) && !req->response_started)
    {
      req->entry->counters.poison_refused++;
      answer_own (req, 422, run_so_far (req), "request crashes upstreams\n");
      return;
    }
  req->zone = pck_zone (group->state.shares_ppm, service->credit[req->group]);
  if (!g_queue_is_empty (&service->waiting[req->zone]) || !start_now (req))
    enter_queue (req);
}

void
req_wake (Entry *entry, EntryService *service, uint32_t zone)
{
  GList *item = service->waiting[zone].head;
  (void) entry;

  while (item != NULL)
    {
      Req *req = item->data;
      GList *next = item->next;
      if (!may_start (req, zone))
        return;
      if (start_now (req))
        {
          req->queued = false;
          g_queue_delete_link (&service->waiting[zone], item);
          service->waiting_count--;
        }
      item = next;
    }
}

/* ---- Claims ---- */

static void
answer_replay (Req *req, const ClmAnswer *answer)
{
  step (req, REQ_REPLAYED);
  req->entry->counters.replayed++;
  end_request (req);
  if (req->h2o == NULL)
    return;
  hsv_add_header (req->h2o, "x-cardamom-run", "ran");
  hsv_add_header (req->h2o, "x-cardamom-replayed", "1");
  if (answer->body == NULL)
    hsv_reply (req->h2o, 409, "text/plain", "the request ran; its answer was not kept\n");
  else
    {
      char *body = g_strndup (answer->body, answer->size);
      hsv_reply (req->h2o, answer->status, answer->content_type, body);
      g_free (body);
    }
}

static void
on_claim (void *user, ClmResult result, const ClmAnswer *answer)
{
  Req *req = user;

  req->claiming = false;
  if (result != CLM_WON)
    req->claim = NULL;
  if (req->h2o == NULL)
    {
      maybe_free (req);
      return;
    }
  switch (result)
    {
    case CLM_WON:
      step (req, REQ_CLAIM_WON);
      dispatch (req);
      break;
    case CLM_REPLAY:
      answer_replay (req, answer);
      break;
    case CLM_MAY_HAVE_RUN:
      answer_own (req, 409, RUN_MAY_HAVE_RUN, "the request is running or may have run\n");
      break;
    case CLM_KEY_REUSED:
      answer_own (req, 422, RUN_NOT_RUN, "the key was used for another request\n");
      break;
    case CLM_UNAVAILABLE:
      answer_own (req, 503, RUN_NOT_RUN, "the claim could not be written\n");
      break;
    }
}

/* ---- Start ---- */

static bool
is_idempotent (const char *method)
{
  static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE", NULL };

  return g_strv_contains (methods, method);
}

static void
copy_headers (Req *req, const h2o_req_t *h2o)
{
  static const char *const dropped[] = { "host",
                                         "connection",
                                         "content-length",
                                         "transfer-encoding",
                                         "x-deadline-ms",
                                         "expect",
                                         "keep-alive",
                                         "upgrade",
                                         NULL };

  for (size_t i = 0; i < h2o->headers.size; i++)
    {
      const h2o_header_t *header = &h2o->headers.entries[i];
      char *name = g_strndup (header->name->base, header->name->len);
      if (!g_strv_contains (dropped, name))
        g_string_append_printf (req->headers, "%s: %.*s\r\n", name, (int) header->value.len,
                                header->value.base);
      g_free (name);
    }
}

static uint64_t
deadline_ms (h2o_req_t *h2o)
{
  char *text = hsv_header (h2o, "x-deadline-ms");
  uint64_t value = text != NULL ? strtoull (text, NULL, 10) : 0;

  g_free (text);
  return value == 0 ? DEADLINE_DEFAULT_MS : MIN (value, DEADLINE_MAX_MS);
}

static Req *
req_new (Entry *entry, h2o_req_t *h2o, EntryService *service, const char *rest)
{
  Req *req = g_new0 (Req, 1);
  Link *link = h2o_mem_alloc_shared (&h2o->pool, sizeof *link, on_caller_gone);

  link->req = req;
  req->entry = entry;
  req->h2o = h2o;
  req->service = service;
  req->state = entry->request_chart.initial;
  req->method = g_strndup (h2o->method.base, h2o->method.len);
  req->rest = h2o->query_at != SIZE_MAX
                  ? g_strdup_printf ("%s%.*s", rest, (int) (h2o->path.len - h2o->query_at),
                                     h2o->path.base + h2o->query_at)
                  : g_strdup (rest);
  req->key = hsv_header (h2o, "idempotency-key");
  req->headers = g_string_new (NULL);
  req->body = g_byte_array_new ();
  if (h2o->entity.len > 0)
    g_byte_array_append (req->body, (const guint8 *) h2o->entity.base, (guint) h2o->entity.len);
  req->out = g_byte_array_new ();
  req->in_flight_out = g_byte_array_new ();
  req->kept = g_byte_array_new ();
  req->tried = g_ptr_array_new ();
  req->idempotent = is_idempotent (req->method);
  req->caller_ip = hsv_peer_ip (h2o);
  req->zone = ZONE_NONE;
  req->started_us = (uint64_t) g_get_monotonic_time ();
  req->deadline_at_ms = entry_now_ms (entry) + deadline_ms (h2o);
  req->fingerprint = poi_fingerprint (req->method, req->rest, req->body->data, req->body->len);
  req->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (entry->loop, req->timer);
  req->timer->data = req;
  copy_headers (req, h2o);
  entry->open_requests++;
  return req;
}

static uint32_t
group_of (const Entry *entry, h2o_req_t *h2o)
{
  char *text = hsv_header (h2o, "x-caller-addr");
  uint32_t ip = hsv_peer_ip (h2o);

  if (text != NULL)
    net_ip_parse (text, &ip);
  g_free (text);
  return cfg_group_of (entry->cfg, ip);
}

static void
begin (Req *req)
{
  Entry *entry = req->entry;

  entry->counters.requests++;
  req->group = group_of (entry, req->h2o);
  rty_request (&req->service->retries, req->service->cfg->retry_budget_pct);
  if (req->key != NULL && strlen (req->key) > KEY_MAX_BYTES)
    answer_own (req, 400, RUN_NOT_RUN, "Idempotency-Key is longer than 200 bytes\n");
  else if (req->idempotent || req->key == NULL || !entry->claims_enabled)
    {
      step (req, REQ_CLAIM_NOT_NEEDED);
      dispatch (req);
    }
  else
    {
      step (req, REQ_CLAIM_NEEDED);
      req->claiming = true;
      req->claim = clm_begin (entry, req->service->cfg, req->key, req->fingerprint, on_claim, req);
    }
}

void
req_start (Entry *entry, h2o_req_t *h2o, const char *path)
{
  const char *name = path + strlen (SERVICE_PREFIX);
  const char *slash = strchr (name, '/');
  char *service_name = slash != NULL ? g_strndup (name, (gsize) (slash - name)) : g_strdup (name);
  EntryService *service = entry->cfg != NULL ? esv_get (entry, service_name) : NULL;

  g_free (service_name);
  if (service == NULL || service->cfg == NULL)
    {
      hsv_add_header (h2o, "x-cardamom-run", "not-run");
      hsv_reply (h2o, entry->cfg == NULL ? 503 : 404, "text/plain", "unknown service\n");
      return;
    }
  begin (req_new (entry, h2o, service, slash != NULL ? slash : "/"));
}
