/* State of a request on an entry: its life, and the answers that the entry makes itself. */
#include "rqs.h"

/* A request that goes on without its caller has left the chart. */
void
rqs_step (Req *req, ReqEvent event)
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

void
rqs_free_if_done (Req *req)
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

void
rqs_leave_queue (Req *req)
{
  if (!req->queued)
    return;
  req->queued = false;
  g_queue_remove (&req->service->waiting[req->zone], req);
  req->service->waiting_count--;
}

void
rqs_free_upstream (Req *req)
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

bool
rqs_deadline_passed (const Req *req)
{
  return entry_now_ms (req->entry) >= req->deadline_at_ms;
}

bool
rqs_is_poison (const Req *req)
{
  return poi_crashes (&req->entry->poison, req->fingerprint, entry_now_ms (req->entry))
         >= POISON_CRASHES_MAX;
}

/* The answer is held until other entries know of the crashes. */
void
rqs_note_crash (Req *req)
{
  const PoiSuspect *suspect
      = poi_record_crash (&req->entry->poison, req->fingerprint, entry_now_ms (req->entry));

  req->entry->counters.crashes_seen++;
  req->crashes++;
  syn_add_poison (req->entry, req->fingerprint, suspect->crashes);
}

/* ---- Answers made by the entry ---- */

static const char *
run_name (RunState run)
{
  static const char *const names[] = { "not-run", "may-have-run", "ran" };

  return names[run];
}

RunState
rqs_run_so_far (const Req *req)
{
  return req->may_have_run ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN;
}

void
rqs_end (Req *req)
{
  uv_timer_stop (req->timer);
  rqs_leave_queue (req);
  req->response_ended = true;
}

void
rqs_answer (Req *req, int status, RunState run, const char *text)
{
  char retry[16];

  if (req->state != REQ_ANSWERED)
    rqs_step (req, REQ_REFUSED);
  if (run == RUN_NOT_RUN)
    req->entry->counters.refused_not_run++;
  else if (run == RUN_MAY_HAVE_RUN)
    req->entry->counters.may_have_run++;
  if (req->claim != NULL && run == RUN_NOT_RUN)
    {
      clm_release (req->claim);
      req->claim = NULL;
    }
  rqs_end (req);
  if (req->h2o != NULL)
    {
      g_snprintf (retry, sizeof retry, "%d", RETRY_AFTER_S);
      hsv_add_header (req->h2o, "x-cardamom-run", run_name (run));
      if (status == 503 || status == 504 || status == 409)
        hsv_add_header (req->h2o, "retry-after", retry);
      hsv_reply (req->h2o, status, "text/plain", text);
    }
  else
    rqs_free_if_done (req);
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
             service->name, reason, run_name (rqs_run_so_far (req)), req->zone, req->attempts,
             req->sheds, req->owes_retry, service->retries.tokens_pct, spare,
             service->waiting_count);
}

void
rqs_refuse (Req *req, const char *reason)
{
  if (req->usage == NULL && req->service != NULL && req->zone != ZONE_NONE)
    req->service->usage[req->group][req->zone].refused++;
  log_refusal (req, reason);
  rqs_answer (req, 503, rqs_run_so_far (req), reason);
}
