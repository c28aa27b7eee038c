/* Arrival of callers' requests on a node: reads their headers, sets their deadlines, and rejects
 * those that cannot be served. */
#include "fst.h"

#include "aut.h"
#include "fwd.h"
#include "nsh.h"

#include <string.h>

#define DEADLINE_MARGIN_MS 20
#define TIMEOUT_GRACE_MS 200

/* ---- Closed connections and deadlines ---- */

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
  bool was_sent = frq->sends > 0;

  frq->caller_watch = NULL;
  frq->node->counters.callers_gone++;
  hsv_respond (frq_detach (frq), was_sent ? 504 : 503, "text/plain", "caller_gone");
  fwd_dispatch_waiting (service);
}

static void
on_deadline (uv_timer_t *timer)
{
  Frq *frq = timer->data;
  Node *node = frq->node;
  NodService *service = frq->service;

  node->counters.timeouts++;
  if (frq->call != NULL && ucn_was_sent (frq->call))
    {
      ups_record_service_time (frq->ups, (uint32_t) (clk_now_ms () - frq->sent_at_ms),
                               frq_expected_ms (frq));
      node->counters.may_have_run++;
      frq_respond_error (frq, 504, "timeout");
    }
  else
    frq_fail (frq, "timeout");
  fwd_dispatch_waiting (service);
}

/* ---- Arrival of a request ---- */

/* Takes over the header's value. */
static uint32_t
parse_deadline_ms (char *header)
{
  uint64_t deadline_ms = header != NULL ? strtoull (header, NULL, 10) : 0;

  g_free (header);
  return deadline_ms == 0 ? DEADLINE_DEFAULT_MS : (uint32_t) MIN (deadline_ms, DEADLINE_MAX_MS);
}

static uint32_t
read_deadline_ms (Node *node, h2o_req_t *h2o)
{
  return parse_deadline_ms (hsv_header (h2o, node->headers.deadline_ms));
}

/* Hash of the object's key in the affinity cookie; 0 without the cookie or with an empty key. */
static uint32_t
read_object_key (Node *node, h2o_req_t *h2o, const RteRoute *route)
{
  char *cookie = hsv_header (h2o, "cookie");
  char *affinity = cookie != NULL ? strstr (cookie, node->headers.affinity) : NULL;
  uint32_t key = 0;

  if (affinity != NULL && affinity[strlen (node->headers.affinity)] == '=')
    {
      char *value = affinity + strlen (node->headers.affinity) + 1;
      value[strcspn (value, ";")] = '\0';
      g_strstrip (value);
      if (value[0] != '\0')
        key = (ups_hash (value) * 31u + ups_hash (route->name)) | 1u;
    }
  g_free (cookie);
  return key;
}

static void
fill_admission (Frq *frq, uint32_t deadline_ms)
{
  NodRouteStats *stats = frq->route_stats;

  if (deadline_ms != DEADLINE_DEFAULT_MS)
    adm_record_deadline (&stats->deadlines, deadline_ms);
  frq->admission
      = (AdmRequest){ .priority_class = frq->priority > frq->table->top_priority ? 1 : 0,
                      .caller_retry = adm_retry_age_ms (&stats->deadlines, deadline_ms) > 0,
                      .objective_ms = frq->route->objective_ms,
                      .remaining_ms = (uint32_t) (frq->deadline_at_ms - frq->received_at_ms),
                      .usual_ms = stats->warm_ms };
}

static Frq *
request_new (Node *node, h2o_req_t *h2o, RteRoute *route, const RteDestination *destination,
             const AutIdentity *identity)
{
  const NodHeaders *headers = &node->headers;
  bool has_accounts = node->table->accounts != NULL;
  const char *dropped[]
      = { headers->deadline_ms, headers->instance, has_accounts ? AUT_HEADER : NULL,
          has_accounts ? headers->account : NULL, NULL };
  uint32_t deadline_ms = read_deadline_ms (node, h2o);
  Frq *frq = g_new0 (Frq, 1);

  frq->node = node;
  frq->h2o = h2o;
  frq->link = h2o_mem_alloc_shared (&h2o->pool, sizeof *frq->link, on_h2o_disposed);
  frq->link->frq = frq;
  frq->table = rte_ref (node->table);
  frq->route = route;
  aut_set_sender (frq, identity);
  frq->service = nod_service (node, destination->service);
  frq->route_stats = nod_route_stats (node, route);
  frq->id = hsv_header (h2o, headers->request_id);
  frq->key = route->sticky ? read_object_key (node, h2o, route) : 0;
  frq->region_hash = frq->key != 0 ? frq->key : ups_hash (frq->id != NULL ? frq->id : "");
  frq->draw_ppm = (uint32_t) g_random_int_range (0, SHARE_ONE_PPM);
  nsh_count_request (node, frq->service, frq->route_stats->cold_ms);
  msg_init (&frq->message, h2o, dropped);
  frq->fingerprint = poi_fingerprint (frq->message.method, frq->message.path,
                                      g_bytes_get_data (frq->message.body, NULL),
                                      g_bytes_get_size (frq->message.body));
  frq->received_at_ms = clk_now_ms ();
  if (frq->key != 0)
    crd_add (&frq->service->objects, frq->key, frq->received_at_ms);
  frq->deadline_at_ms
      = frq->received_at_ms
        + MIN (deadline_ms > 2 * DEADLINE_MARGIN_MS ? deadline_ms - DEADLINE_MARGIN_MS
                                                    : deadline_ms / 2,
               route->timeout_ms + TIMEOUT_GRACE_MS);
  frq->deadline_at_ms = MIN (frq->deadline_at_ms, nod_response_deadline_ms (node));
  fill_admission (frq, deadline_ms);
  frq->waits_until_ms = frq->received_at_ms + adm_max_wait_ms (&frq->admission);
  uv_timer_init (node->loop, &frq->timer);
  frq->timer.data = frq;
  uv_timer_start (&frq->timer, on_deadline, frq->deadline_at_ms - frq->received_at_ms, 0);
  frq->caller_watch = hsv_watch_disconnect (node->front, h2o, on_caller_gone, frq);
  node->open_requests++;
  g_queue_push_tail (&node->requests, frq);
  frq->queue_link = node->requests.tail;
  return frq;
}

/* True when the request may not be complete before the node stops. */
static bool
outlasts_node (const Frq *frq)
{
  uint32_t service_time_ms = MAX (frq->route_stats->cold_ms, frq->route_stats->warm_ms);

  return frq->node->state == NOD_STOPPING
         && frq->received_at_ms + NOD_STOP_MARGIN_FACTOR * service_time_ms
                > nod_response_deadline_ms (frq->node);
}

/* True when there is no room for a response as large as those of the route. */
static bool
lacks_memory (const Frq *frq)
{
  uint32_t bytes = frq->route_stats->response_bytes;

  return bytes > RESPONSE_SMALL_BYTES && !ucn_has_room (&frq->node->ucn, bytes);
}

static void
reject_unread (h2o_req_t *h2o, const char *retry_after_s, const char *reason)
{
  hsv_add_header (h2o, "retry-after", retry_after_s);
  hsv_respond (h2o, 503, "text/plain", reason);
}

void
fst_handle_request (Node *node, h2o_req_t *h2o)
{
  node->counters.requests++;
  if (node->table == NULL || nod_rejects_requests (node))
    {
      node->counters.refused++;
      reject_unread (h2o, "0.2", node->table == NULL ? "no_configuration" : "stopping");
      return;
    }
  RteRoute *route = rte_match (node->table, h2o->authority.base, h2o->authority.len, h2o->path.base,
                               h2o->path.len);
  AutIdentity identity = { 0 };
  if (route != NULL && !aut_identify (node, h2o, route, &identity))
    return;
  const RteDestination *destination = route != NULL ? rte_choose_destination (route) : NULL;
  if (destination == NULL)
    {
      node->counters.no_route++;
      hsv_respond (h2o, 404, "text/plain", "no_route");
      return;
    }
  if (identity.account != NULL
      && !aut_admit (node, h2o, route, identity.account,
                     MIN (read_deadline_ms (node, h2o), route->timeout_ms)))
    return;
  Frq *frq = request_new (node, h2o, route, destination, &identity);
  if (!poi_admit (&node->poison, frq->fingerprint, frq->received_at_ms))
    {
      node->counters.poison_refused++;
      frq_fail (frq, "crashes_upstreams");
    }
  else if (outlasts_node (frq))
    frq_fail (frq, "stopping");
  else if (adm_misses_deadline (&frq->admission))
    frq_fail (frq, "too_little_time");
  else if (lacks_memory (frq))
    frq_fail (frq, "no_memory");
  else
    fwd_start (frq);
}

bool
fst_reject_head (void *user, const Hed *head, HsvReply *reply)
{
  Node *node = user;

  if (node->table == NULL || node->table->accounts == NULL || nod_rejects_requests (node))
    return false;
  const RteRoute *route
      = rte_match (node->table, head->host.at, head->host.size, head->path.at, head->path.size);
  if (route == NULL)
    return false;
  uint32_t deadline_ms = parse_deadline_ms (hed_header (head, node->headers.deadline_ms));
  if (!aut_reject_head (node, head, route, MIN (deadline_ms, route->timeout_ms), reply))
    return false;
  node->counters.requests++;
  return true;
}

void
fst_limit_deadlines (Node *node)
{
  uint64_t until_ms = nod_response_deadline_ms (node);
  uint64_t now_ms = clk_now_ms ();

  for (GList *item = node->requests.head; item != NULL; item = item->next)
    {
      Frq *frq = item->data;
      if (frq->deadline_at_ms <= until_ms)
        continue;
      frq->deadline_at_ms = until_ms;
      uv_timer_start (&frq->timer, on_deadline, until_ms - MIN (now_ms, until_ms), 0);
    }
}
