/* Forwarding: sends requests to upstreams, retries them, and queues them while no slot is free. */
#include "fwd.h"

#include "fbk.h"
#include "chs.h"
#include "nsh.h"
#include "rly.h"
#include "sus.h"

#include <string.h>

#define MISDIRECTS_MAX 2
#define SERVICE_TIME_EWMA_DIVISOR 16
#define STATUS_MISDIRECTED 421

/* ---- Upstream selection ---- */

static ChsRequest
selection_request (const Frq *frq)
{
  return (ChsRequest){ .table = frq->table,
                       .route = frq->route,
                       .account = frq->account,
                       .service = frq->service,
                       .work = frq->route_stats,
                       .admission = &frq->admission,
                       .key = frq->key,
                       .region_hash = frq->region_hash,
                       .draw_ppm = frq->draw_ppm,
                       .tried = frq->tried,
                       .tried_count = MIN (frq->sends, FRQ_SENDS_MAX) };
}

static ChsChoice
choose_upstream (const Frq *frq)
{
  ChsRequest request = selection_request (frq);

  return chs_choose_once (frq->node, &request);
}

/* ---- Outcomes ---- */

static void
record_service_time (Frq *frq, uint32_t service_time_ms)
{
  uint32_t *average_ms = frq->sent_warm ? &frq->route_stats->warm_ms : &frq->route_stats->cold_ms;
  int64_t previous_ms = *average_ms;

  *average_ms
      = (uint32_t) (previous_ms
                    + ((int64_t) service_time_ms - previous_ms) / SERVICE_TIME_EWMA_DIVISOR);
  nsh_record_service_time (frq->service, service_time_ms);
}

static void
log_learned (const Node *node, const Ups *ups, const LrnCurve *curve, const LrnSample *sample)
{
  const Lrn *learned = &ups->learned;
  uint64_t now_ms = clk_now_ms ();

  log_event (&node->log, LOG_INFO, "upstream_learned",
             "upstream=%s slow=%d good_slots=%u slots=%u time_ms=%u expected_ms=%u load=%u "
             "recent_permille=%u lasting_permille=%u pace_permille=%u",
             ups->record.id, learned->slow, lrn_slots (learned, curve, ups->record.slots, now_ms),
             ups->record.slots, sample->time_ms, sample->expected_ms, sample->load,
             learned->recent_permille, learned->lasting_ppm / 1000,
             lrn_pace_permille (learned, now_ms));
}

/* Logs when the upstream becomes slow or recovers, or a knee of it or of its service appears or
 * moves. */
static void
learn_service_time (const Frq *frq, Ups *ups, uint32_t service_time_ms)
{
  LrnSample sample = { .time_ms = service_time_ms,
                       .rtt_ms = chs_expected_rtt_ms (frq->node, ups),
                       .expected_ms = frq_expected_ms (frq),
                       .load = frq->load_at_send,
                       .slots = ups->record.slots };

  ups_record_service_time (ups, service_time_ms, sample.expected_ms);
  if (!frq->node->settings.learned_capacity)
    return;
  bool was_slow = ups->learned.slow;
  uint32_t limits = ups->learned.curve.limit * LRN_BANDS + frq->service->curve.limit;
  lrn_record_service_time (&ups->learned, &frq->service->curve, &sample, clk_now_ms ());
  if (was_slow != ups->learned.slow
      || limits != ups->learned.curve.limit * LRN_BANDS + frq->service->curve.limit)
    log_learned (frq->node, ups, &frq->service->curve, &sample);
}

/* Whether the request was sent to the incarnation of its upstream that is registered now: an
 * outcome that concerns an earlier one must not count for the new one. */
static bool
is_current (const Frq *frq)
{
  return ups_is_incarnation (frq->ups, &frq->incarnation);
}

static void
record_failure (const Frq *frq, Ups *ups)
{
  if (is_current (frq))
    ups_record_failure (ups, clk_now_ms ());
}

static void
record_success (const Frq *frq, Ups *ups, uint32_t service_time_ms)
{
  if (!is_current (frq))
    return;
  ups_record_success (ups, clk_now_ms ());
  learn_service_time (frq, ups, service_time_ms);
  if (frq->key != 0)
    ups_record_object (ups, frq->key);
}

static void
record_rejection (Frq *frq, Ups *ups, const UcnResponse *response)
{
  NodCounters *counters = &frq->node->counters;

  if (response->status == STATUS_MISDIRECTED)
    {
      counters->misdirected++;
      frq->misdirects++;
      ups->misdirected = ups->misdirected || is_current (frq);
      return;
    }
  counters->sheds++;
  if (is_current (frq))
    ups->shed_until_ms = clk_now_ms () + SHED_PAUSE_MS;
}

/* Consumes the retry budget when it returns true. */
static bool
admit_retry (Frq *frq)
{
  Node *node = frq->node;
  uint64_t now_ms = clk_now_ms ();

  if (frq->is_revoked || poi_is_blocked (&node->poison, frq->fingerprint, now_ms))
    return false;
  if (frq->may_have_run && poi_crashes (&node->poison, frq->fingerprint, now_ms) > 0)
    return false;
  if (frq->may_have_run && !rte_is_idempotent (frq->route))
    return false;
  if (frq->misdirects >= MISDIRECTS_MAX)
    return false;
  if (frq->sends >= FRQ_SENDS_MAX || frq->runs >= MAX (frq->route->attempts, 1))
    return false;
  if (clk_now_ms () + frq->route_stats->warm_ms >= frq->deadline_at_ms)
    return false;
  return rbg_consume (&frq->service->retries, &node->settings.retry, nod_node_count (node),
                      clk_now_ms ());
}

static void
retry_or_respond (Frq *frq, const UcnResponse *response, const char *reason)
{
  if (admit_retry (frq))
    {
      frq->node->counters.retries++;
      frq->waits_until_ms = clk_now_ms () + adm_max_wait_ms (&frq->admission);
      fwd_dispatch (frq);
    }
  else if (response != NULL)
    frq_forward_response (frq, response);
  else
    frq_fail (frq, reason);
}

static void
on_not_run (Frq *frq, Ups *ups, const UcnResponse *response)
{
  record_rejection (frq, ups, response);
  frq_release_upstream (frq);
  retry_or_respond (frq, NULL, "no_room");
}

static void
on_response (Frq *frq, Ups *ups, const UcnResponse *response)
{
  const NodHeaders *headers = &frq->node->headers;
  uint32_t service_time_ms = (uint32_t) (clk_now_ms () - frq->sent_at_ms);
  bool success = response->status >= 200 && response->status < 300;

  if (response->status == STATUS_MISDIRECTED || ucn_header (response, headers->not_run) != NULL)
    {
      on_not_run (frq, ups, response);
      return;
    }
  frq->runs++;
  frq->may_have_run = true;
  if (success && ucn_header (response, headers->signature) == NULL)
    {
      frq->node->counters.broken_answers++;
      record_failure (frq, ups);
      frq_release_upstream (frq);
      retry_or_respond (frq, NULL, "answer_unsigned");
      return;
    }
  if (response->status < 500)
    {
      poi_record_response (&frq->node->poison, frq->fingerprint, clk_now_ms ());
      record_success (frq, ups, service_time_ms);
      record_service_time (frq, service_time_ms);
      frq_release_upstream (frq);
      frq_forward_response (frq, response);
      return;
    }
  if (is_current (frq))
    ups_record_error_response (ups);
  frq_release_upstream (frq);
  retry_or_respond (frq, response, "upstream_failed");
}

static void
on_exchange_failed (Frq *frq, Ups *ups, UcnOutcome outcome)
{
  Node *node = frq->node;

  if (outcome == UCN_NOT_SENT)
    sus_record_refusal (node, ups);
  else
    sus_record_loss (node, ups, frq->fingerprint);
  record_failure (frq, ups);
  frq_release_upstream (frq);
  if (outcome == UCN_NOT_SENT)
    {
      node->counters.connect_failures++;
      if (frq->sends < FRQ_SENDS_MAX && clk_now_ms () < frq->deadline_at_ms)
        fwd_dispatch (frq);
      else
        frq_fail (frq, "no_connection");
      return;
    }
  node->counters.broken_answers++;
  frq->runs++;
  frq->may_have_run = true;
  retry_or_respond (frq, NULL, outcome == UCN_LOST ? "answer_lost" : "answer_broken");
}

/* The upstream stopped accepting requests while the connection was being made: it is leaving or
 * paused, or its zone is being evacuated. A new incarnation of it may be tried. */
static void
on_withdrawn (Frq *frq)
{
  frq->node->counters.withdrawn++;
  log_event (&frq->node->request_log, LOG_INFO, "request_withdrawn", "id=%s upstream=%s send=%u",
             frq->id != NULL ? frq->id : "-", frq->last_upstream, frq->sends);
  if (!is_current (frq))
    frq->tried[frq->sends - 1] = 0;
  frq_release_upstream (frq);
  if (frq->sends < FRQ_SENDS_MAX && clk_now_ms () < frq->deadline_at_ms)
    fwd_dispatch (frq);
  else
    frq_fail (frq, "upstream_left");
}

/* ---- Calls ---- */

/* Called when the connection is ready, so that the deadline header states the time that remains
 * then. Return: NULL when the upstream no longer accepts requests or another incarnation of it is
 * registered, or the request's API key has been removed. */
static GString *
build_message (void *user)
{
  const Frq *frq = user;
  const NodHeaders *headers = &frq->node->headers;
  uint64_t now_ms = clk_now_ms ();
  char extra[512];

  if (frq->is_revoked || !is_current (frq))
    return NULL;
  if (!chs_accepts_requests (frq->node, frq->ups) || now_ms < frq->ups->paused_until_ms)
    return NULL;

  int size = g_snprintf (
      extra, sizeof extra, "%s: %llu\r\n%s: %s\r\n", headers->deadline_ms,
      (unsigned long long) (frq->deadline_at_ms - MIN (now_ms, frq->deadline_at_ms - 1)),
      headers->instance, frq->ups->record.id);
  if (frq->account != NULL)
    g_snprintf (extra + size, sizeof extra - (size_t) size, "%s: %s\r\n", headers->account,
                frq->account->name);
  return msg_build (&frq->message, extra);
}

/* A relay's own response says nothing of the upstream. */
static void
on_head (void *user, const UcnResponse *response)
{
  const Frq *frq = user;

  if (frq->relay == NULL || rly_parse_outcome (response) == RLY_ANSWERED)
    fbk_apply (frq->node, frq->ups, &frq->incarnation, frq->id, response);
}

static void on_done (void *user, UcnOutcome outcome, const UcnResponse *response);

/* An idle connection may be closed by the peer at any time, so requests that are not idempotent use
 * only those that were idle for a short time. */
static uint32_t
idle_limit_ms (const Frq *frq)
{
  if (frq->relay != NULL)
    return rte_is_idempotent (frq->route) ? RLY_IDLE_MAX_MS : RLY_NON_IDEMPOTENT_IDLE_MAX_MS;
  return rte_is_idempotent (frq->route) ? UPS_IDLE_MAX_MS : UPS_NON_IDEMPOTENT_IDLE_MAX_MS;
}

static void
start_call (Frq *frq)
{
  UcnPool *pool = frq->relay != NULL ? &frq->relay->pool : &frq->ups->pool;
  UcnSpec spec = { .build = build_message,
                   .on_head = on_head,
                   .body = frq->message.body,
                   .id_header = frq->id != NULL ? frq->node->headers.request_id : NULL,
                   .id = frq->id,
                   .method_is_head = strcmp (frq->message.method, "HEAD") == 0,
                   .new_connection = frq->id == NULL,
                   .idle_max_ms = idle_limit_ms (frq),
                   .connect_timeout_ms = UPS_CONNECT_TIMEOUT_MS };

  frq->call = ucn_start (pool, &spec, on_done, frq);
}

/* The relay may have forwarded the request, so it may have run. The failure is not the upstream's,
 * which may be tried again. */
static void
on_relay_lost (Frq *frq)
{
  frq->tried[frq->sends - 1] = 0;
  frq_release_upstream (frq);
  frq->runs++;
  frq->may_have_run = true;
  retry_or_respond (frq, NULL, "relay_lost");
}

/* Converts the outcome of an exchange with a relay to that of the relay's exchange with the
 * upstream. Return: false when the request has been handled already: sent directly, retried or
 * answered. */
static bool
resolve_relay_outcome (Frq *frq, UcnOutcome *outcome, const UcnResponse *response)
{
  Node *node = frq->node;
  RlyPeer *relay = frq->relay;
  bool is_lost = *outcome != UCN_DONE && *outcome != UCN_WITHDRAWN;
  RlyOutcome relay_outcome = *outcome == UCN_DONE ? rly_parse_outcome (response) : RLY_ANSWERED;

  if (is_lost || relay_outcome == RLY_REFUSED)
    {
      node->counters.relays_lost++;
      rly_record_failure (relay, clk_now_ms ());
      log_event (&node->request_log, LOG_INFO, "relay_lost", "id=%s relay=%s sent=%d",
                 frq->id != NULL ? frq->id : "-", relay->vm, *outcome != UCN_NOT_SENT);
    }
  frq_release_relay (frq);
  if (*outcome == UCN_NOT_SENT || relay_outcome == RLY_REFUSED)
    {
      start_call (frq);
      return false;
    }
  if (is_lost)
    {
      on_relay_lost (frq);
      return false;
    }
  if (relay_outcome != RLY_ANSWERED)
    *outcome = rly_to_ucn (relay_outcome);
  return true;
}

static void
record_rtt (Node *node, const Frq *frq)
{
  const UcnPool *pool = frq->relay != NULL ? &frq->relay->pool : &frq->ups->pool;
  uint32_t zone = frq->ups->zone;

  if (zone < ZONES_MAX && pool->min_connect_ms < node->zone_rtt_ms[zone])
    node->zone_rtt_ms[zone] = pool->min_connect_ms;
}

static void
on_done (void *user, UcnOutcome outcome, const UcnResponse *response)
{
  Frq *frq = user;
  Node *node = frq->node;
  NodService *service = frq->service;

  frq->call = NULL;
  nod_run_control (node);
  record_rtt (node, frq);
  if (frq->relay != NULL && !resolve_relay_outcome (frq, &outcome, response))
    {
      fwd_dispatch_waiting (service);
      return;
    }
  if (outcome == UCN_DONE)
    on_response (frq, frq->ups, response);
  else if (outcome == UCN_WITHDRAWN)
    on_withdrawn (frq);
  else
    on_exchange_failed (frq, frq->ups, outcome);
  fwd_dispatch_waiting (service);
}

/* ---- Sending ---- */

static void
log_send (const Frq *frq, const Ups *ups, uint64_t now_ms)
{
  ChsFeedback feedback = chs_count_feedback (frq->node, frq->service->name, now_ms);

  log_event (&frq->node->request_log, LOG_INFO, "request_sent",
             "id=%s upstream=%s relay=%s send=%u warm=%d in_flight=%u others=%u slots=%u "
             "remaining_ms=%llu paused=%u leaving=%u",
             frq->id != NULL ? frq->id : "-", ups->record.id,
             frq->relay != NULL ? frq->relay->vm : "-", frq->sends, frq->sent_warm, ups->in_flight,
             ups->others, ups->record.slots, (unsigned long long) (frq->deadline_at_ms - now_ms),
             feedback.paused, feedback.leaving);
}

static void
send_to (Frq *frq, ChsChoice choice)
{
  Node *node = frq->node;
  Ups *ups = choice.ups;
  uint32_t region = nod_region (node, ups->zone);
  uint64_t now_ms = clk_now_ms ();

  if (frq->sends == 0)
    rbg_count_request (&frq->service->retries, now_ms);
  if (frq->sends == 0 && frq->flow != NULL)
    fqs_count_served (frq->service->flows, frq->flow, now_ms);
  frq->tried[frq->sends++] = ups->hash;
  frq->ups = ups;
  g_strlcpy (frq->last_upstream, ups->record.id, sizeof frq->last_upstream);
  frq->sent_at_ms = now_ms;
  frq->sent_warm = frq->key != 0 && ups_is_warm_for (ups, frq->key);
  frq->incarnation = ups_incarnation (ups);
  ups->in_flight++;
  frq->load_at_send = chs_in_flight (node, ups, now_ms);
  if (region < REGIONS_MAX)
    nsh_count_sent (node, frq->service, choice.region, region);
  if (frq->sends == 1)
    rgn_count_sent (&node->sent_by_region, region, frq->key != 0);
  if (ups_is_cold (ups, now_ms))
    ups_record_cold_send (ups, now_ms);
  node->counters.sends++;
  frq->relay = rly_acquire (
      node, ups, rte_is_idempotent (frq->route) ? UPS_IDLE_MAX_MS : UPS_NON_IDEMPOTENT_IDLE_MAX_MS,
      now_ms);
  node->counters.sent_by_relay += frq->relay != NULL;
  if (frq->sends > 1 || frq_is_sampled (frq))
    log_send (frq, ups, now_ms);
  start_call (frq);
  if (frq->sends == 1 && !ucn_was_sent (frq->call))
    rgn_count_connected (&node->sent_by_region, region);
}

static void
reject_no_capacity (Frq *frq, const char *reason)
{
  nsh_count_rejected (frq->service, frq->region);
  frq_fail (frq, reason);
}

/* The reason when no upstream is eligible, or all of them are paused for longer than the request
 * may wait, else NULL. Sets the least Retry-After time. */
static const char *
reason_unavailable (Frq *frq, uint64_t now_ms)
{
  ChsRequest request = selection_request (frq);
  uint64_t resume_ms = chs_earliest_resume_ms (frq->node, &request);

  if (resume_ms <= MAX (frq->waits_until_ms, now_ms))
    return NULL;
  frq->retry_after_min_ms = (uint32_t) MIN (resume_ms - now_ms, FBK_PAUSE_MAX_MS);
  return resume_ms == UINT64_MAX ? "no_upstream" : "all_paused";
}

static const char *
rejection_reason (Frq *frq, uint64_t now_ms)
{
  const char *reason = reason_unavailable (frq, now_ms);

  return reason != NULL ? reason : "no_room";
}

static void
wait_for_slot (Frq *frq, uint64_t now_ms)
{
  const char *reason = reason_unavailable (frq, now_ms);

  if (now_ms >= frq->waits_until_ms || reason != NULL)
    {
      reject_no_capacity (frq, reason != NULL ? reason : "no_room");
      return;
    }
  if (frq->waiting)
    return;
  frq->waiting = true;
  frq->waiting_since_ms = now_ms;
  /* Until it has a rank it does not yield. */
  frq->rank = (FqsRank){ .is_starved = true };
  g_queue_push_tail (&frq->service->waiting, frq);
}

void
fwd_dispatch (Frq *frq)
{
  uint64_t now_ms = clk_now_ms ();
  ChsChoice choice = { .region = REGIONS_MAX };

  if (frq->is_revoked)
    {
      frq_fail (frq, FRQ_KEY_REMOVED);
      return;
    }
  if (now_ms < frq->deadline_at_ms)
    choice = choose_upstream (frq);
  frq->region = choice.region;
  if (choice.held_back && frq->sends == 0)
    {
      frq->node->counters.held_back++;
      frq_fail (frq, "shift_cap");
      return;
    }
  if (choice.ups == NULL)
    {
      wait_for_slot (frq, now_ms);
      return;
    }
  frq_stop_waiting (frq);
  send_to (frq, choice);
}

/* ---- Fair queueing ---- */

/* Without accounts, a configuration with a single route has one flow for each service, whose order
 * would not change. */
static bool
uses_flows (const Node *node, const RteTable *table)
{
  switch (node->settings.fair_queueing)
    {
    case NOD_FAIR_OFF:
      return false;
    case NOD_FAIR_WITH_ACCOUNTS:
      return table->accounts != NULL;
    case NOD_FAIR_ON:
      return table->accounts != NULL || table->routes->len > 1;
    }
  return false;
}

static void
join_flow (Frq *frq)
{
  NodService *service = frq->service;
  const char *account = frq->account != NULL ? frq->account->name : NULL;

  if (service->flows == NULL)
    service->flows = fqs_new ();
  frq->flow = fqs_acquire (service->flows, account, frq->route->name, frq->received_at_ms);
  if (!frq->admission.caller_retry)
    fqs_count_requested (service->flows, frq->flow, frq->received_at_ms);
}

void
fwd_start (Frq *frq)
{
  if (uses_flows (frq->node, frq->table))
    join_flow (frq);
  fwd_dispatch (frq);
}

static FqsWaiting
waiting_of (const Frq *frq, uint64_t now_ms)
{
  return (FqsWaiting){ .flow = frq->flow,
                       .admission = &frq->admission,
                       .rank = frq->rank,
                       .waited_ms = (uint32_t) (now_ms - frq->waiting_since_ms) };
}

static gint
compare_by_flows (gconstpointer a, gconstpointer b, gpointer user)
{
  uint64_t now_ms = *(const uint64_t *) user;
  FqsWaiting x = waiting_of (a, now_ms);
  FqsWaiting y = waiting_of (b, now_ms);

  if (fqs_precedes (&x, &y))
    return -1;
  return fqs_precedes (&y, &x) ? 1 : 0;
}

/* Requests that arrived before fair queueing came into force have no flow. */
static bool
all_have_flows (const NodService *service)
{
  for (const GList *item = service->waiting.head; item != NULL; item = item->next)
    if (((const Frq *) item->data)->flow == NULL)
      return false;
  return true;
}

/* Reorders the queue, which is in the order of adm_precedes(). Return: false without effect. */
static bool
order_by_flows (NodService *service, uint64_t now_ms)
{
  uint32_t place = 0;

  if (service->flows == NULL || service->waiting.length < 2 || !all_have_flows (service))
    return false;
  fqs_begin_pass (service->flows, now_ms);
  for (GList *item = service->waiting.head; item != NULL; item = item->next)
    {
      Frq *frq = item->data;
      fqs_add_waiting (service->flows, frq->flow, &frq->admission);
      frq->place = place++;
    }
  for (GList *item = service->waiting.head; item != NULL; item = item->next)
    {
      Frq *frq = item->data;
      frq->rank = fqs_rank (service->flows, frq->flow);
    }
  g_queue_sort (&service->waiting, compare_by_flows, &now_ms);
  return true;
}

static void
log_yielded (const Frq *rejected, const Frq *kept)
{
  const Fqs *flows = rejected->service->flows;

  log_event (&rejected->node->request_log, LOG_INFO, "request_yielded",
             "id=%s service=%s route=%s account=%s served_permille=%u mean_permille=%u "
             "kept_route=%s kept_account=%s kept_served_permille=%u",
             rejected->id != NULL ? rejected->id : "-", rejected->service->name,
             rejected->route->name, rejected->account != NULL ? rejected->account->name : "-",
             fqs_served_permille (flows, rejected->flow), fqs_served_permille (flows, NULL),
             kept->route->name, kept->account != NULL ? kept->account->name : "-",
             fqs_served_permille (flows, kept->flow));
}

/* The last request after @expired in the queue that is to be rejected in its place, or NULL. */
static Frq *
find_yielding (const Frq *expired, uint64_t now_ms)
{
  const NodService *service = expired->service;
  FqsWaiting y = waiting_of (expired, now_ms);

  if (service->flows == NULL || !all_have_flows (service))
    return NULL;
  for (GList *item = service->waiting.tail; item->data != expired; item = item->prev)
    {
      Frq *frq = item->data;
      FqsWaiting x = waiting_of (frq, now_ms);
      if (now_ms < frq->waits_until_ms && fqs_yields (&x, &y))
        return frq;
    }
  return NULL;
}

/* @expired waits for the remaining time of @yielding, up to its own waiting time. */
static void
extend_wait (Frq *expired, const Frq *yielding, uint64_t now_ms)
{
  expired->waits_until_ms
      = MIN (yielding->waits_until_ms, now_ms + adm_max_wait_ms (&expired->admission));
  expired->node->counters.fair_yielded++;
  log_yielded (yielding, expired);
}

/* ---- Waiting ---- */

static gint
compare_waiting (gconstpointer a, gconstpointer b, gpointer user)
{
  const Frq *x = a;
  const Frq *y = b;
  uint64_t now_ms = *(const uint64_t *) user;
  uint32_t x_waited_ms = (uint32_t) (now_ms - x->waiting_since_ms);
  uint32_t y_waited_ms = (uint32_t) (now_ms - y->waiting_since_ms);

  if (adm_precedes (&x->admission, x_waited_ms, &y->admission, y_waited_ms))
    return -1;
  return adm_precedes (&y->admission, y_waited_ms, &x->admission, x_waited_ms) ? 1 : 0;
}

/** struct CacheKey - what a set of candidates depends on; @regions: those of the account, NULL
 * when it may be served in all */
typedef struct
{
  const RteRoute *route;
  char **regions;
} CacheKey;

static guint
cache_key_hash (gconstpointer data)
{
  const CacheKey *key = data;

  return g_direct_hash (key->route) ^ g_direct_hash (key->regions);
}

static gboolean
cache_key_equal (gconstpointer a, gconstpointer b)
{
  const CacheKey *x = a;
  const CacheKey *y = b;

  return x->route == y->route && x->regions == y->regions;
}

/* The candidates of a route, and of an account with limited regions, are built once for all such
 * requests, and again after each send. */
static ChsChoice
choose_cached (GHashTable *candidates_by_key, const Frq *frq)
{
  ChsRequest request = selection_request (frq);
  CacheKey key = { .route = frq->route,
                   .regions = acc_limits_regions (frq->account) ? frq->account->regions : NULL };
  ChsCandidates *candidates = g_hash_table_lookup (candidates_by_key, &key);

  if (candidates == NULL)
    {
      candidates = chs_candidates_new (frq->node, &request);
      g_hash_table_insert (candidates_by_key, g_memdup2 (&key, sizeof key), candidates);
    }
  return chs_choose (candidates, &request);
}

void
fwd_dispatch_waiting (NodService *service)
{
  uint64_t now_ms = clk_now_ms ();

  if (g_queue_is_empty (&service->waiting))
    return;
  GHashTable *candidates_by_key = g_hash_table_new_full (cache_key_hash, cache_key_equal, g_free,
                                                         (GDestroyNotify) chs_candidates_free);
  g_queue_sort (&service->waiting, compare_waiting, &now_ms);
  bool reordered = order_by_flows (service, now_ms);
  GList *item = service->waiting.head;
  adm_begin_pass (&service->tries);
  for (uint32_t place = 0; item != NULL; place++)
    {
      Frq *frq = item->data;
      item = item->next;
      if (!adm_may_try (&service->tries, &frq->tried_round))
        continue;
      frq->node->counters.fair_reordered += reordered && frq->place > place;
      ChsChoice choice = { .region = REGIONS_MAX };
      if (now_ms < frq->deadline_at_ms && !frq->is_revoked)
        choice = choose_cached (candidates_by_key, frq);
      if (choice.ups == NULL)
        continue;
      frq_stop_waiting (frq);
      send_to (frq, choice);
      g_hash_table_remove_all (candidates_by_key);
    }
  adm_end_pass (&service->tries);
  g_hash_table_unref (candidates_by_key);
}

/* For each request whose waiting time is over, rejects it or one in its place. */
static void
reject_expired (Node *node, NodService *service, uint64_t now_ms)
{
  GList *item = service->waiting.head;

  while (item != NULL)
    {
      Frq *frq = item->data;
      item = item->next;
      nod_run_control (node);
      if (now_ms < frq->waits_until_ms)
        continue;
      Frq *yielding = find_yielding (frq, now_ms);
      if (yielding != NULL)
        extend_wait (frq, yielding, now_ms);
      Frq *rejected = yielding != NULL ? yielding : frq;
      if (item != NULL && item->data == rejected)
        item = item->next;
      reject_no_capacity (rejected, rejection_reason (rejected, now_ms));
    }
}

void
fwd_tick (Node *node)
{
  uint64_t now_ms = clk_now_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fwd_dispatch_waiting (value);
      reject_expired (node, value, now_ms);
    }
}
