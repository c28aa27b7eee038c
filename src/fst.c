/* Start of a caller's request on a node. */
#include "fst.h"

#include "fwd.h"
#include "nsh.h"

#include <string.h>

#define DEADLINE_MARGIN_MS 20
#define TIMEOUT_GRACE_MS 200
#define RETURNED_MARGIN_MS 60

/* ---- Ends that the caller or the clock brings ---- */

static void
on_h2o_disposed (void *data)
{
  FrqLink *link = data;

  if (link->frq == NULL)
    return;
  link->frq->link = NULL;
  link->frq->node->counters.callers_gone++;
  frq_free (link->frq);
}

static void
on_caller_gone (void *user)
{
  Frq *frq = user;
  NodService *service = frq->service;
  bool sent = frq->sends > 0;

  frq->gone_key = NULL;
  frq->node->counters.callers_gone++;
  hsv_reply (frq_detach (frq), sent ? 504 : 503, "text/plain", "caller_gone");
  fwd_wake (service);
}

static void
on_ends (uv_timer_t *timer)
{
  Frq *frq = timer->data;
  Node *node = frq->node;
  NodService *service = frq->service;

  node->counters.timeouts++;
  if (frq->call != NULL && ucn_was_sent (frq->call))
    {
      ups_took (frq->ups, (uint32_t) (clk_now_ms () - frq->sent_at_ms), frq_expected_ms (frq));
      node->counters.may_have_run++;
      frq_answer_own (frq, 504, "timeout");
    }
  else
    frq_answer_not_run (frq, "timeout");
  fwd_wake (service);
}

/* ---- Start of a request ---- */

static uint32_t
read_deadline_ms (Node *node, h2o_req_t *h2o)
{
  char *text = hsv_header (h2o, node->headers.deadline_ms);
  uint64_t value = text != NULL ? strtoull (text, NULL, 10) : 0;

  g_free (text);
  return value == 0 ? DEADLINE_DEFAULT_MS : (uint32_t) MIN (value, DEADLINE_MAX_MS);
}

static uint32_t
read_key (Node *node, h2o_req_t *h2o, const RteRoute *route)
{
  char *cookie = hsv_header (h2o, "cookie");
  const char *found = cookie != NULL ? strstr (cookie, node->headers.affinity) : NULL;
  uint32_t key = 0;

  if (found != NULL && found[strlen (node->headers.affinity)] == '=')
    {
      char **parts = g_strsplit (found + strlen (node->headers.affinity) + 1, ";", 2);
      key = (ups_hash (g_strstrip (parts[0])) * 31u + ups_hash (route->name)) | 1u;
      g_strfreev (parts);
    }
  g_free (cookie);
  return key;
}

static void
fill_admission (Frq *frq, uint32_t deadline_ms)
{
  NodWork *work = frq->work;

  if (deadline_ms != DEADLINE_DEFAULT_MS)
    work->deadline_ms = MAX (work->deadline_ms, deadline_ms);
  frq->admission
      = (AdmRequest){ .priority_class = frq->route->priority > frq->table->top_priority ? 1 : 0,
                      .caller_retry = deadline_ms + RETURNED_MARGIN_MS < work->deadline_ms,
                      .objective_ms = frq->route->objective_ms,
                      .remaining_ms = (uint32_t) (frq->ends_at_ms - frq->at_ms),
                      .usual_ms = work->warm_ms };
}

static Frq *
request_new (Node *node, h2o_req_t *h2o, RteRoute *route, const RteDestination *part)
{
  const NodHeaders *names = &node->headers;
  const char *dropped[] = { names->deadline_ms, names->instance, NULL };
  uint32_t deadline_ms = read_deadline_ms (node, h2o);
  Frq *frq = g_new0 (Frq, 1);

  frq->node = node;
  frq->h2o = h2o;
  frq->link = h2o_mem_alloc_shared (&h2o->pool, sizeof *frq->link, on_h2o_disposed);
  frq->link->frq = frq;
  frq->table = rte_ref (node->table);
  frq->route = route;
  frq->service = nod_service (node, part->service);
  frq->work = nod_work (node, route);
  frq->id = hsv_header (h2o, names->request_id);
  frq->key = route->sticky ? read_key (node, h2o, route) : 0;
  frq->region_hash = frq->key != 0 ? frq->key : ups_hash (frq->id != NULL ? frq->id : "");
  frq->draw_ppm = (uint32_t) g_random_int_range (0, SHARE_ONE_PPM);
  nsh_asked (node, frq->service, frq->work->cold_ms);
  msg_take (&frq->message, h2o, dropped);
  frq->fingerprint = poi_fingerprint (frq->message.method, frq->message.path,
                                      frq->message.body->data, frq->message.body->len);
  frq->at_ms = clk_now_ms ();
  if (frq->key != 0)
    crd_add (&frq->service->objects, frq->key, frq->at_ms);
  frq->ends_at_ms = frq->at_ms
                    + MIN (deadline_ms > 2 * DEADLINE_MARGIN_MS ? deadline_ms - DEADLINE_MARGIN_MS
                                                                : deadline_ms / 2,
                           route->timeout_ms + TIMEOUT_GRACE_MS);
  frq->ends_at_ms = MIN (frq->ends_at_ms, nod_answers_until_ms (node));
  fill_admission (frq, deadline_ms);
  frq->waits_until_ms = frq->at_ms + adm_max_wait_ms (&frq->admission);
  uv_timer_init (node->loop, &frq->timer);
  frq->timer.data = frq;
  uv_timer_start (&frq->timer, on_ends, frq->ends_at_ms - frq->at_ms, 0);
  frq->gone_key = hsv_watch_gone (node->front, h2o, on_caller_gone, frq);
  node->open++;
  g_queue_push_tail (&node->requests, frq);
  frq->item = node->requests.tail;
  return frq;
}

/* What cannot be served whole before the node ends is not begun. */
static bool
outlasts_node (const Frq *frq)
{
  uint32_t usual_ms = MAX (frq->work->cold_ms, frq->work->warm_ms);

  return frq->node->state == NOD_STOPPING
         && frq->at_ms + NOD_STOP_WORK_TIMES * usual_ms > nod_answers_until_ms (frq->node);
}

static void
refuse_unread (h2o_req_t *h2o, const char *back, const char *reason)
{
  hsv_add_header (h2o, "retry-after", back);
  hsv_reply (h2o, 503, "text/plain", reason);
}

void
fst_request (Node *node, h2o_req_t *h2o)
{
  node->counters.requests++;
  if (node->table == NULL || nod_is_late (node))
    {
      node->counters.refused++;
      refuse_unread (h2o, "0.2", node->table == NULL ? "no_configuration" : "stopping");
      return;
    }
  RteRoute *route = rte_match (node->table, h2o->authority.base, h2o->authority.len, h2o->path.base,
                               h2o->path.len);
  const RteDestination *part = route != NULL ? rte_choose_destination (route) : NULL;
  if (part == NULL)
    {
      node->counters.no_route++;
      hsv_reply (h2o, 404, "text/plain", "no_route");
      return;
    }
  Frq *frq = request_new (node, h2o, route, part);
  if (fwd_is_poison (frq))
    {
      node->counters.poison_refused++;
      frq_answer_not_run (frq, "crashes_upstreams");
    }
  else if (outlasts_node (frq))
    frq_answer_not_run (frq, "stopping");
  else if (adm_misses_deadline (&frq->admission))
    frq_answer_not_run (frq, "too_little_time");
  else
    fwd_dispatch (frq);
}

void
fst_stop (Node *node)
{
  uint64_t until_ms = nod_answers_until_ms (node);
  uint64_t now_ms = clk_now_ms ();

  for (GList *item = node->requests.head; item != NULL; item = item->next)
    {
      Frq *frq = item->data;
      if (frq->ends_at_ms <= until_ms)
        continue;
      frq->ends_at_ms = until_ms;
      uv_timer_start (&frq->timer, on_ends, until_ms - MIN (now_ms, until_ms), 0);
    }
}
