/* State of a caller's request on a node, and the responses that end it. */
#include "frq.h"

#include "rly.h"

#include <string.h>

#define RESPONSE_SIZE_DIVISOR 16

/* ---- End of a request ---- */

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
frq_stop_waiting (Frq *frq)
{
  if (!frq->waiting)
    return;
  frq->waiting = false;
  g_queue_remove (&frq->service->waiting, frq);
}

void
frq_release_relay (Frq *frq)
{
  if (frq->relay != NULL)
    rly_release (frq->relay);
  frq->relay = NULL;
}

void
frq_release_upstream (Frq *frq)
{
  Ups *ups = frq->ups;

  frq->ups = NULL;
  if (ups != NULL)
    ups_release (&frq->node->upstreams, ups);
}

static void
cancel_call (Frq *frq)
{
  if (frq->call != NULL)
    ucn_cancel (frq->call);
  frq->call = NULL;
  frq_release_relay (frq);
  frq_release_upstream (frq);
}

/* Returns the token of the account's quota unless an upstream has run the request, or may have. */
static void
refund_quota (Frq *frq)
{
  bool in_flight = frq->call != NULL && ucn_was_sent (frq->call);

  if (frq->has_quota_token && !frq->may_have_run && !in_flight)
    quo_refund (frq->node->quotas, frq->account->hash, clk_now_ms ());
}

void
frq_free (Frq *frq)
{
  refund_quota (frq);
  frq_stop_waiting (frq);
  if (frq->flow != NULL)
    fqs_release (frq->flow);
  cancel_call (frq);
  if (frq->caller_watch != NULL)
    hsv_unwatch_disconnect (frq->node->front, frq->caller_watch);
  if (frq->link != NULL)
    frq->link->frq = NULL;
  frq->node->open_requests--;
  g_queue_delete_link (&frq->node->requests, frq->queue_link);
  rte_unref (frq->table);
  msg_clear (&frq->message);
  g_free (frq->id);
  uv_close ((uv_handle_t *) &frq->timer, on_timer_closed);
}

h2o_req_t *
frq_detach (Frq *frq)
{
  h2o_req_t *h2o = frq->h2o;

  if (frq->id != NULL)
    hsv_add_header (h2o, frq->node->headers.request_id, frq->id);
  hsv_close_if_pipelined (h2o);
  frq_free (frq);
  return h2o;
}

void
frq_respond_error (Frq *frq, int status, const char *reason)
{
  Node *node = frq->node;

  log_event (&node->request_log, LOG_INFO, "request_failed",
             "id=%s status=%d reason=%s route=%s sends=%u upstream=%s age_ms=%llu config=%llu",
             frq->id != NULL ? frq->id : "-", status, reason, frq->route->name, frq->sends,
             frq->sends > 0 ? frq->last_upstream : "-",
             (unsigned long long) (clk_now_ms () - frq->received_at_ms),
             (unsigned long long) frq->table->version);
  hsv_respond (frq_detach (frq), status, "text/plain", reason);
}

/* Responds with 503 only when no upstream can have run the request, so that the caller may retry.
 */
void
frq_fail (Frq *frq, const char *reason)
{
  Node *node = frq->node;
  uint64_t now_ms = clk_now_ms ();
  char seconds[32];

  if (frq->may_have_run)
    {
      node->counters.may_have_run++;
      frq_respond_error (frq, 502, reason);
      return;
    }
  node->counters.refused++;
  if (frq->flow != NULL && frq->sends > 0)
    fqs_uncount_served (frq->service->flows, frq->flow, now_ms);
  if (frq->is_revoked)
    {
      node->counters.revoked++;
      reason = FRQ_KEY_REMOVED;
    }
  frq->admission.remaining_ms
      = frq->deadline_at_ms > now_ms ? (uint32_t) (frq->deadline_at_ms - now_ms) : 0;
  uint32_t retry_after_ms
      = node->state == NOD_STOPPING ? 0 : adm_retry_after_ms (&frq->admission, g_random_int ());
  retry_after_ms = MAX (retry_after_ms,
                        MIN (frq->retry_after_min_ms, adm_max_retry_after_ms (&frq->admission)));
  g_snprintf (seconds, sizeof seconds, "%u.%03u", retry_after_ms / 1000, retry_after_ms % 1000);
  hsv_add_header (frq->h2o, "retry-after", seconds);
  frq_respond_error (frq, 503, reason);
}

uint32_t
frq_expected_ms (const Frq *frq)
{
  return frq->sent_warm ? frq->route_stats->warm_ms : frq->route_stats->cold_ms;
}

/* ---- Responses of upstreams ---- */

static void
copy_headers (Frq *frq, const UcnResponse *response)
{
  static const char *const node_headers[] = { "server", "date", NULL };

  for (guint i = 0; i < response->headers->len; i++)
    {
      const UcnHeader *header = g_ptr_array_index (response->headers, i);
      char *name = g_ascii_strdown (header->name, -1);
      if (!msg_is_hop_by_hop (name, strlen (name)) && !g_strv_contains (node_headers, name)
          && g_ascii_strcasecmp (name, frq->node->headers.request_id) != 0
          && g_ascii_strcasecmp (name, frq->node->headers.leaving) != 0)
        hsv_add_header (frq->h2o, name, header->value);
      g_free (name);
    }
}

/* Samples by the request ID, so that all nodes log the same requests. */
bool
frq_is_sampled (const Frq *frq)
{
  return frq->id != NULL && ups_hash (frq->id) % LOG_SAMPLE == 0;
}

static void
record_response_size (NodRouteStats *stats, uint32_t bytes)
{
  stats->response_bytes
      = MAX (bytes, stats->response_bytes - stats->response_bytes / RESPONSE_SIZE_DIVISOR);
}

void
frq_forward_response (Frq *frq, const UcnResponse *response)
{
  Node *node = frq->node;
  uint64_t age_ms = clk_now_ms () - frq->received_at_ms;

  if (frq_is_sampled (frq))
    log_event (&node->request_log, LOG_INFO, "request_answered",
               "id=%s status=%d route=%s sends=%u age_ms=%llu config=%llu", frq->id,
               response->status, frq->route->name, frq->sends, (unsigned long long) age_ms,
               (unsigned long long) frq->table->version);

  node->counters.answered++;
  met_observe (&node->latency, age_ms * 1000);
  record_response_size (frq->route_stats, response->body->len);
  copy_headers (frq, response);
  h2o_req_t *h2o = frq_detach (frq);
  nod_send_response (node, h2o, response);
}
