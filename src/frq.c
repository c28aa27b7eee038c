/* A caller's request on a node: its state, and how it ends. */
#include "frq.h"

#include "rly.h"

#include <string.h>

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

void
frq_free (Frq *frq)
{
  frq_stop_waiting (frq);
  cancel_call (frq);
  if (frq->gone_key != NULL)
    hsv_unwatch_gone (frq->node->front, frq->gone_key);
  if (frq->link != NULL)
    frq->link->frq = NULL;
  frq->node->open--;
  g_queue_delete_link (&frq->node->requests, frq->item);
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
  hsv_close_if_more (h2o);
  frq_free (frq);
  return h2o;
}

void
frq_answer_own (Frq *frq, int status, const char *reason)
{
  Node *node = frq->node;

  log_event (&node->request_log, LOG_INFO, "request_failed",
             "id=%s status=%d reason=%s route=%s sends=%u upstream=%s age_ms=%llu config=%llu",
             frq->id != NULL ? frq->id : "-", status, reason, frq->route->name, frq->sends,
             frq->sends > 0 ? frq->last_upstream : "-",
             (unsigned long long) (clk_now_ms () - frq->at_ms),
             (unsigned long long) frq->table->version);
  hsv_reply (frq_detach (frq), status, "text/plain", reason);
}

/* "Not run" is said only when no upstream can have run the request. */
void
frq_answer_not_run (Frq *frq, const char *reason)
{
  Node *node = frq->node;
  uint64_t now_ms = clk_now_ms ();
  char seconds[32];

  if (frq->may_have_run)
    {
      node->counters.may_have_run++;
      frq_answer_own (frq, 502, reason);
      return;
    }
  node->counters.refused++;
  frq->admission.remaining_ms
      = frq->ends_at_ms > now_ms ? (uint32_t) (frq->ends_at_ms - now_ms) : 0;
  uint32_t back_ms
      = node->state == NOD_STOPPING ? 0 : adm_retry_after_ms (&frq->admission, g_random_int ());
  back_ms = MAX (back_ms, MIN (frq->back_least_ms, adm_max_retry_after_ms (&frq->admission)));
  g_snprintf (seconds, sizeof seconds, "%u.%03u", back_ms / 1000, back_ms % 1000);
  hsv_add_header (frq->h2o, "retry-after", seconds);
  frq_answer_own (frq, 503, reason);
}

uint32_t
frq_expected_ms (const Frq *frq)
{
  return frq->sent_warm ? frq->work->warm_ms : frq->work->cold_ms;
}

/* ---- Answers ---- */

static void
pass_headers (Frq *frq, const UcnAnswer *answer)
{
  static const char *const own[] = { "server", "date", NULL };

  for (guint i = 0; i < answer->headers->len; i++)
    {
      const UcnHeader *header = g_ptr_array_index (answer->headers, i);
      char *name = g_ascii_strdown (header->name, -1);
      if (!msg_is_hop (name, strlen (name)) && !g_strv_contains (own, name)
          && g_ascii_strcasecmp (name, frq->node->headers.request_id) != 0)
        hsv_add_header (frq->h2o, name, header->value);
      g_free (name);
    }
}

/* The same requests are sampled on every node. */
bool
frq_is_sampled (const Frq *frq)
{
  return frq->id != NULL && ups_hash (frq->id) % LOG_SAMPLE == 0;
}

void
frq_deliver (Frq *frq, const UcnAnswer *answer)
{
  Node *node = frq->node;
  uint64_t took_ms = clk_now_ms () - frq->at_ms;

  if (frq_is_sampled (frq))
    log_event (&node->request_log, LOG_INFO, "request_answered",
               "id=%s status=%d route=%s sends=%u age_ms=%llu config=%llu", frq->id, answer->status,
               frq->route->name, frq->sends, (unsigned long long) took_ms,
               (unsigned long long) frq->table->version);

  node->counters.answered++;
  met_observe (&node->latency, took_ms * 1000);
  pass_headers (frq, answer);
  h2o_req_t *h2o = frq_detach (frq);
  if (answer->until_close)
    hsv_send_until_close (h2o, answer->status, answer->body->data, answer->body->len);
  else
    hsv_send (h2o, answer->status, answer->body->data, answer->body->len);
}
