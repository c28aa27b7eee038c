/* Admission of callers' requests: checks and dispatches them, non-idempotent ones after a claim. */
#include "dsp.h"

#include <stdlib.h>
#include <string.h>

#define SERVICE_PREFIX "/svc/"

/** struct RequestRef - allocated in the pool of h2o's request; its disposal means that h2o has
 * freed the request, after the response or because the caller disconnected */
typedef struct
{
  Req *req;
} RequestRef;

/* Detaches the request from h2o. If the caller disconnected before the end of the response, the
 * attempt is cancelled, except that of a claimed request: it continues without a caller so that its
 * outcome is recorded in the claim. */
static void
on_h2o_dispose (void *data)
{
  RequestRef *ref = data;
  Req *req = ref->req;

  req->h2o = NULL;
  wrt_end (&req->write);
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
          rqs_release_upstream (req);
          dsp_dispatch_waiting (req->entry, service, zone);
        }
      else if (req->call != NULL)
        hcl_resume (req->call);
    }
  /* h2o's buffer is freed, the other copies are not. */
  if (req->entry->has_budget && req->body->len > 0)
    mbg_complete (&req->entry->memory, &req->memory, (ENTRY_REQUEST_COPIES - 1) * req->body->len);
  rqs_free_if_done (req);
}

/* ---- Claims ---- */

static void
respond_replay (Req *req, const ClmResponse *stored)
{
  rqs_step (req, REQ_REPLAYED);
  req->entry->counters.replayed++;
  rqs_end_response (req);
  if (req->h2o == NULL)
    return;
  hsv_add_header (req->h2o, "x-cardamom-run", "ran");
  hsv_add_header (req->h2o, "x-cardamom-replayed", "1");
  if (stored->body == NULL)
    hsv_respond (req->h2o, 409, "text/plain", "the request ran; its answer was not kept\n");
  else
    {
      char *body = g_strndup (stored->body, stored->size);
      hsv_respond (req->h2o, stored->status, stored->content_type, body);
      g_free (body);
    }
}

static void
on_claim (void *user, ClmResult result, const ClmResponse *stored)
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
      dsp_dispatch (req);
      break;
    case CLM_REPLAY:
      respond_replay (req, stored);
      break;
    case CLM_MAY_HAVE_RUN:
      rqs_respond_error (req, 409, RUN_MAY_HAVE_RUN, "the request is running or may have run\n");
      break;
    case CLM_KEY_REUSED:
      rqs_respond_error (req, 422, RUN_NOT_RUN, "the key was used for another request\n");
      break;
    case CLM_UNAVAILABLE:
      rqs_respond_error (req, 503, RUN_NOT_RUN, "the claim could not be written\n");
      break;
    }
}

/* ---- Admission ---- */

static bool
is_idempotent (const char *method)
{
  static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE", NULL };

  return g_strv_contains (methods, method);
}

static void
copy_headers (Req *req, const h2o_req_t *h2o)
{
  static const char *const not_forwarded[] = { "host",
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
      if (!g_strv_contains (not_forwarded, name))
        g_string_append_printf (req->headers, "%s: %.*s\r\n", name, (int) header->value.len,
                                header->value.base);
      g_free (name);
    }
}

static uint64_t
request_timeout_ms (h2o_req_t *h2o)
{
  char *text = hsv_header (h2o, "x-deadline-ms");
  uint64_t value = text != NULL ? strtoull (text, NULL, 10) : 0;

  g_free (text);
  return value == 0 ? DEADLINE_DEFAULT_MS : MIN (value, DEADLINE_MAX_MS);
}

static Req *
req_new (Entry *entry, h2o_req_t *h2o, EntryService *service, const char *path)
{
  Req *req = g_new0 (Req, 1);
  RequestRef *ref = h2o_mem_alloc_shared (&h2o->pool, sizeof *ref, on_h2o_dispose);

  ref->req = req;
  req->entry = entry;
  req->h2o = h2o;
  req->service = service;
  req->state = entry->request_chart.initial;
  req->method = g_strndup (h2o->method.base, h2o->method.len);
  req->target = h2o->query_at != SIZE_MAX
                    ? g_strdup_printf ("%s%.*s", path, (int) (h2o->path.len - h2o->query_at),
                                       h2o->path.base + h2o->query_at)
                    : g_strdup (path);
  req->key = hsv_header (h2o, "idempotency-key");
  req->headers = g_string_new (NULL);
  req->body = g_byte_array_new ();
  if (h2o->entity.len > 0)
    g_byte_array_append (req->body, (const guint8 *) h2o->entity.base, (guint) h2o->entity.len);
  req->pending_body = g_byte_array_new ();
  req->sending_body = g_byte_array_new ();
  req->claim_body = g_byte_array_new ();
  req->tried = g_ptr_array_new ();
  req->idempotent = is_idempotent (req->method);
  req->caller_ip = hsv_peer_ip (h2o);
  req->zone = ZONE_NONE;
  req->started_us = (uint64_t) g_get_monotonic_time ();
  req->deadline_at_ms = entry_now_ms (entry) + request_timeout_ms (h2o);
  req->fingerprint = poi_fingerprint (req->method, req->target, req->body->data, req->body->len);
  req->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (entry->loop, req->timer);
  req->timer->data = req;
  copy_headers (req, h2o);
  entry->open_requests++;
  return req;
}

static uint32_t
caller_group (const Entry *entry, h2o_req_t *h2o)
{
  char *text = hsv_header (h2o, "x-caller-addr");
  uint32_t ip = hsv_peer_ip (h2o);

  if (text != NULL)
    net_ip_parse (text, &ip);
  g_free (text);
  return cfg_client_group (entry->cfg, ip);
}

static void
admit (Req *req)
{
  Entry *entry = req->entry;

  entry->counters.requests++;
  req->group = caller_group (entry, req->h2o);
  rty_refill (&req->service->retries, req->service->cfg->retry_budget_pct);
  if (req->key != NULL && strlen (req->key) > KEY_MAX_BYTES)
    rqs_respond_error (req, 400, RUN_NOT_RUN, "Idempotency-Key is longer than 200 bytes\n");
  else if (req->idempotent || req->key == NULL || !entry->claims_enabled)
    {
      rqs_step (req, REQ_CLAIM_NOT_NEEDED);
      dsp_dispatch (req);
    }
  else
    {
      rqs_step (req, REQ_CLAIM_NEEDED);
      req->claiming = true;
      req->claim
          = clm_acquire (entry, req->service->cfg, req->key, req->fingerprint, on_claim, req);
    }
}

void
req_start (Entry *entry, h2o_req_t *h2o, const char *path)
{
  const char *name = path + strlen (SERVICE_PREFIX);
  const char *slash = strchr (name, '/');
  char *service_name = slash != NULL ? g_strndup (name, (gsize) (slash - name)) : g_strdup (name);
  EntryService *service = entry->cfg != NULL ? esv_find_service (entry, service_name) : NULL;

  g_free (service_name);
  if (service == NULL || service->cfg == NULL)
    {
      hsv_add_header (h2o, "x-cardamom-run", "not-run");
      hsv_respond (h2o, entry->cfg == NULL ? 503 : 404, "text/plain", "unknown service\n");
      return;
    }
  admit (req_new (entry, h2o, service, slash != NULL ? slash : "/"));
}
