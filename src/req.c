/* Requests: from a caller's request to its dispatch; claims of non-idempotent ones. */
#include "dsp.h"

#include <stdlib.h>
#include <string.h>

#define SERVICE_PREFIX "/svc/"

/** struct Link - lives with h2o's request and tells when the caller is gone */
typedef struct
{
  Req *req;
} Link;

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
        rqs_step (req, REQ_CALLER_GONE);
      rqs_leave_queue (req);
      if (req->call != NULL && req->claim == NULL)
        {
          hcl_cancel (req->call);
          req->call = NULL;
          EntryService *service = req->service;
          uint32_t zone = req->zone;
          rqs_free_upstream (req);
          dsp_wake (req->entry, service, zone);
        }
      else if (req->call != NULL)
        hcl_resume (req->call);
    }
  rqs_free_if_done (req);
}

/* ---- Claims ---- */

static void
answer_replay (Req *req, const ClmAnswer *answer)
{
  rqs_step (req, REQ_REPLAYED);
  req->entry->counters.replayed++;
  rqs_end (req);
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
      rqs_free_if_done (req);
      return;
    }
  switch (result)
    {
    case CLM_WON:
      rqs_step (req, REQ_CLAIM_WON);
      dsp_request (req);
      break;
    case CLM_REPLAY:
      answer_replay (req, answer);
      break;
    case CLM_MAY_HAVE_RUN:
      rqs_answer (req, 409, RUN_MAY_HAVE_RUN, "the request is running or may have run\n");
      break;
    case CLM_KEY_REUSED:
      rqs_answer (req, 422, RUN_NOT_RUN, "the key was used for another request\n");
      break;
    case CLM_UNAVAILABLE:
      rqs_answer (req, 503, RUN_NOT_RUN, "the claim could not be written\n");
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
  rty_refill (&req->service->retries, req->service->cfg->retry_budget_pct);
  if (req->key != NULL && strlen (req->key) > KEY_MAX_BYTES)
    rqs_answer (req, 400, RUN_NOT_RUN, "Idempotency-Key is longer than 200 bytes\n");
  else if (req->idempotent || req->key == NULL || !entry->claims_enabled)
    {
      rqs_step (req, REQ_CLAIM_NOT_NEEDED);
      dsp_request (req);
    }
  else
    {
      rqs_step (req, REQ_CLAIM_NEEDED);
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
