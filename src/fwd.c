/* Forwarding: to which upstream a request goes, and what its answer means. */
#include "fwd.h"

#include "adv.h"
#include "chs.h"
#include "nsh.h"
#include "rly.h"

#include <string.h>

#define MISDIRECTS_MAX 2
#define USUAL_WEIGHT 16
#define WAKE_TRIES_MAX 8
#define MISDIRECTED 421

/* ---- Choice ---- */

static ChsRequest
choice_of (const Frq *frq)
{
  return (ChsRequest){ .table = frq->table,
                       .route = frq->route,
                       .service = frq->service,
                       .work = frq->work,
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
  ChsRequest request = choice_of (frq);

  return chs_choose_once (frq->node, &request);
}

/* ---- Answers ---- */

static void
learn_work (Frq *frq, uint32_t took_ms)
{
  uint32_t *usual_ms = frq->sent_warm ? &frq->work->warm_ms : &frq->work->cold_ms;
  int64_t value = *usual_ms;

  *usual_ms = (uint32_t) (value + ((int64_t) took_ms - value) / USUAL_WEIGHT);
  nsh_took (frq->service, took_ms);
}

bool
fwd_is_poison (const Frq *frq)
{
  return poi_crashes (&frq->node->poison, frq->fingerprint, clk_now_ms ()) >= POISON_RUNS_MAX;
}

static bool
may_send_again (Frq *frq)
{
  Node *node = frq->node;

  if (fwd_is_poison (frq))
    return false;
  if (frq->may_have_run && !rte_is_idempotent (frq->route))
    return false;
  if (frq->misdirects >= MISDIRECTS_MAX)
    return false;
  if (frq->sends >= FRQ_SENDS_MAX || frq->runs >= MAX (frq->route->attempts, 1))
    return false;
  if (clk_now_ms () + frq->work->warm_ms >= frq->ends_at_ms)
    return false;
  return rbg_consume (&frq->service->retries, &node->set.retry, nod_nodes (node), clk_now_ms ());
}

static void
send_again_or (Frq *frq, const UcnAnswer *answer, const char *reason)
{
  if (may_send_again (frq))
    {
      frq->node->counters.retries++;
      frq->waits_until_ms = clk_now_ms () + adm_max_wait_ms (&frq->admission);
      fwd_dispatch (frq);
    }
  else if (answer != NULL)
    frq_deliver (frq, answer);
  else
    frq_answer_not_run (frq, reason);
}

static void
on_not_run (Frq *frq, Ups *ups, const UcnAnswer *answer)
{
  Node *node = frq->node;

  if (answer->status == MISDIRECTED)
    {
      node->counters.misdirected++;
      frq->misdirects++;
      ups->misdirected = true;
    }
  else
    {
      node->counters.sheds++;
      ups->full_until_ms = clk_now_ms () + SHED_PAUSE_MS;
    }
  frq_release_upstream (frq);
  send_again_or (frq, NULL, "no_room");
}

static void
on_whole_answer (Frq *frq, Ups *ups, const UcnAnswer *answer)
{
  const NodHeaders *names = &frq->node->headers;
  uint32_t took_ms = (uint32_t) (clk_now_ms () - frq->sent_at_ms);
  bool success = answer->status >= 200 && answer->status < 300;

  adv_take (frq->node, ups, answer);
  if (answer->status == MISDIRECTED || ucn_header (answer, names->not_run) != NULL)
    {
      on_not_run (frq, ups, answer);
      return;
    }
  frq->runs++;
  frq->may_have_run = true;
  if (success && ucn_header (answer, names->signature) == NULL)
    {
      frq->node->counters.broken_answers++;
      ups_failed (ups, clk_now_ms ());
      frq_release_upstream (frq);
      send_again_or (frq, NULL, "answer_unsigned");
      return;
    }
  if (answer->status < 500)
    {
      ups_succeeded (ups, clk_now_ms ());
      poi_clear_suspect (&frq->node->poison, frq->fingerprint, clk_now_ms ());
      ups_took (ups, took_ms, frq_expected_ms (frq));
      learn_work (frq, took_ms);
      if (frq->key != 0)
        ups_note_object (ups, frq->key);
      frq_release_upstream (frq);
      frq_deliver (frq, answer);
      return;
    }
  ups_answered_failure (ups);
  frq_release_upstream (frq);
  send_again_or (frq, answer, "upstream_failed");
}

/* Requests that were lost on an upstream that then refuses connections may have crashed it. */
static void
suspect_lost (Node *node, Ups *ups)
{
  uint64_t fingerprints[UPS_LOST_KEPT];
  uint64_t now_ms = clk_now_ms ();
  uint32_t count = ups_take_lost (ups, fingerprints, now_ms);

  for (uint32_t i = 0; i < count; i++)
    {
      const PoiSuspect *suspect = poi_crash (&node->poison, fingerprints[i], now_ms);
      log_event (&node->log, LOG_WARN, "crash_suspected", "upstream=%s fingerprint=%llx crashes=%u",
                 ups->record.id, (unsigned long long) fingerprints[i], suspect->crashes);
    }
}

static void
on_broken (Frq *frq, Ups *ups, UcnOutcome outcome)
{
  Node *node = frq->node;

  if (outcome == UCN_NOT_SENT)
    suspect_lost (node, ups);
  else
    ups_note_lost (ups, frq->fingerprint, clk_now_ms ());
  ups_failed (ups, clk_now_ms ());
  frq_release_upstream (frq);
  if (outcome == UCN_NOT_SENT)
    {
      node->counters.connect_failures++;
      if (frq->sends < FRQ_SENDS_MAX && clk_now_ms () < frq->ends_at_ms)
        fwd_dispatch (frq);
      else
        frq_answer_not_run (frq, "no_connection");
      return;
    }
  node->counters.broken_answers++;
  frq->runs++;
  frq->may_have_run = true;
  send_again_or (frq, NULL, outcome == UCN_LOST ? "answer_lost" : "answer_broken");
}

/* Its upstream began to leave, or was evacuated, while the connection was being made. */
static void
on_withdrawn (Frq *frq)
{
  frq->node->counters.withdrawn++;
  log_event (&frq->node->request_log, LOG_INFO, "request_withdrawn", "id=%s upstream=%s send=%u",
             frq->id != NULL ? frq->id : "-", frq->last_upstream, frq->sends);
  frq_release_upstream (frq);
  if (frq->sends < FRQ_SENDS_MAX && clk_now_ms () < frq->ends_at_ms)
    fwd_dispatch (frq);
  else
    frq_answer_not_run (frq, "upstream_left");
}

/* ---- Calls ---- */

/* Its time left and whether its upstream still takes work are those of the moment when it is sent.
 */
static GString *
build_message (void *user)
{
  const Frq *frq = user;
  const NodHeaders *names = &frq->node->headers;
  uint64_t now_ms = clk_now_ms ();
  char extra[256];

  if (!chs_accepts_requests (frq->node, frq->ups) || now_ms < frq->ups->paused_until_ms)
    return NULL;

  g_snprintf (extra, sizeof extra, "%s: %llu\r\n%s: %s\r\n", names->deadline_ms,
              (unsigned long long) (frq->ends_at_ms - MIN (now_ms, frq->ends_at_ms - 1)),
              names->instance, frq->ups->record.id);
  return msg_build (&frq->message, extra);
}

static void on_done (void *user, UcnOutcome outcome, const UcnAnswer *answer);

static uint32_t
idle_max_ms (const Frq *frq)
{
  if (frq->relay != NULL)
    return rte_is_idempotent (frq->route) ? RLY_IDLE_MAX_MS : RLY_SAFE_IDLE_MS;
  return rte_is_idempotent (frq->route) ? UPS_IDLE_MAX_MS : UPS_SAFE_IDLE_MS;
}

static void
start_call (Frq *frq)
{
  UcnPool *pool = frq->relay != NULL ? &frq->relay->pool : &frq->ups->pool;
  UcnSpec spec = { .build = build_message,
                   .id_header = frq->id != NULL ? frq->node->headers.request_id : NULL,
                   .id = frq->id,
                   .method_is_head = strcmp (frq->message.method, "HEAD") == 0,
                   .fresh = frq->id == NULL,
                   .idle_max_ms = idle_max_ms (frq),
                   .connect_timeout_ms = UPS_CONNECT_TIMEOUT_MS };

  frq->call = ucn_start (pool, &spec, on_done, frq);
}

/* The relay may have passed the request on; its upstream is not to blame and may be tried again. */
static void
on_relay_lost (Frq *frq)
{
  frq->tried[frq->sends - 1] = 0;
  frq_release_upstream (frq);
  frq->runs++;
  frq->may_have_run = true;
  send_again_or (frq, NULL, "relay_lost");
}

/* Turns a relay's end into that of an exchange with the upstream; false when nothing is left to do.
 */
static bool
take_relay_end (Frq *frq, UcnOutcome *outcome, const UcnAnswer *answer)
{
  Node *node = frq->node;
  RlyPeer *relay = frq->relay;
  bool is_lost = *outcome != UCN_DONE && *outcome != UCN_WITHDRAWN;
  RlyEnd end = *outcome == UCN_DONE ? rly_end_of (answer) : RLY_ANSWERED;

  if (is_lost || end == RLY_REFUSED)
    {
      node->counters.relays_lost++;
      rly_failed (relay, clk_now_ms ());
      log_event (&node->request_log, LOG_INFO, "relay_lost", "id=%s relay=%s sent=%d",
                 frq->id != NULL ? frq->id : "-", relay->vm, *outcome != UCN_NOT_SENT);
    }
  frq_release_relay (frq);
  if (*outcome == UCN_NOT_SENT || end == RLY_REFUSED)
    {
      start_call (frq);
      return false;
    }
  if (is_lost)
    {
      on_relay_lost (frq);
      return false;
    }
  if (end != RLY_ANSWERED)
    *outcome = rly_outcome (end);
  return true;
}

static void
learn_rtt (Node *node, const Frq *frq)
{
  const UcnPool *pool = frq->relay != NULL ? &frq->relay->pool : &frq->ups->pool;
  uint32_t zone = frq->ups->zone;

  if (zone < ZONES_MAX && pool->connect_ms < node->zone_rtt_ms[zone])
    node->zone_rtt_ms[zone] = pool->connect_ms;
}

static void
on_done (void *user, UcnOutcome outcome, const UcnAnswer *answer)
{
  Frq *frq = user;
  Node *node = frq->node;
  NodService *service = frq->service;

  frq->call = NULL;
  nod_step (node);
  learn_rtt (node, frq);
  if (frq->relay != NULL && !take_relay_end (frq, &outcome, answer))
    {
      fwd_wake (service);
      return;
    }
  if (outcome == UCN_DONE)
    on_whole_answer (frq, frq->ups, answer);
  else if (outcome == UCN_WITHDRAWN)
    on_withdrawn (frq);
  else
    on_broken (frq, frq->ups, outcome);
  fwd_wake (service);
}

/* ---- Sending ---- */

static void
send_to (Frq *frq, ChsChoice choice)
{
  Node *node = frq->node;
  Ups *ups = choice.ups;
  uint32_t region = ups->zone < node->set.zones->len
                        ? g_array_index (node->set.zones, NodZone, ups->zone).region
                        : REGIONS_MAX;
  uint64_t now_ms = clk_now_ms ();

  if (frq->sends == 0)
    rbg_count_request (&frq->service->retries, now_ms);
  frq->tried[frq->sends++] = ups->hash;
  frq->ups = ups;
  g_strlcpy (frq->last_upstream, ups->record.id, sizeof frq->last_upstream);
  frq->sent_at_ms = now_ms;
  frq->sent_warm = frq->key != 0 && ups_knows (ups, frq->key);
  ups->in_flight++;
  if (region < REGIONS_MAX)
    nsh_sent (node, frq->service, choice.region, region);
  if (frq->sends == 1)
    rgn_count_sent (&node->by_region, region, frq->key != 0);
  if (ups_is_cold (ups, now_ms))
    ups_cold_note (ups, now_ms);
  node->counters.sends++;
  frq->relay = rly_take (
      node, ups, rte_is_idempotent (frq->route) ? UPS_IDLE_MAX_MS : UPS_SAFE_IDLE_MS, now_ms);
  node->counters.sent_by_relay += frq->relay != NULL;
  if (frq->sends > 1 || frq_is_sampled (frq))
    log_event (&node->request_log, LOG_INFO, "request_sent",
               "id=%s upstream=%s relay=%s send=%u warm=%d in_flight=%u others=%u slots=%u "
               "left_ms=%llu",
               frq->id != NULL ? frq->id : "-", ups->record.id,
               frq->relay != NULL ? frq->relay->vm : "-", frq->sends, frq->sent_warm,
               ups->in_flight, ups->others, ups->record.slots,
               (unsigned long long) (frq->ends_at_ms - now_ms));
  start_call (frq);
  if (frq->sends == 1 && !ucn_was_sent (frq->call))
    rgn_count_connected (&node->by_region, region);
}

static void
turn_away (Frq *frq)
{
  nsh_turned_away (frq->service, frq->region);
  frq_answer_not_run (frq, "no_room");
}

/* All upstreams that may take it leave, or want nothing for longer than it may wait. */
static bool
is_in_vain (Frq *frq, uint64_t now_ms)
{
  ChsRequest request = choice_of (frq);
  uint64_t soonest_ms = chs_earliest_resume_ms (frq->node, &request);

  if (soonest_ms <= frq->waits_until_ms)
    return false;
  frq->back_least_ms = (uint32_t) MIN (soonest_ms - now_ms, ADV_PAUSE_MAX_MS);
  return true;
}

static void
wait_for_room (Frq *frq, uint64_t now_ms)
{
  if (now_ms >= frq->waits_until_ms || is_in_vain (frq, now_ms))
    {
      turn_away (frq);
      return;
    }
  if (frq->waiting)
    return;
  frq->waiting = true;
  frq->waiting_since_ms = now_ms;
  g_queue_push_tail (&frq->service->waiting, frq);
}

void
fwd_dispatch (Frq *frq)
{
  uint64_t now_ms = clk_now_ms ();
  ChsChoice choice = { .region = REGIONS_MAX };

  if (now_ms < frq->ends_at_ms)
    choice = choose_upstream (frq);
  frq->region = choice.region;
  if (choice.held_back && frq->sends == 0)
    {
      frq->node->counters.held_back++;
      frq_answer_not_run (frq, "shift_cap");
      return;
    }
  if (choice.ups == NULL)
    {
      wait_for_room (frq, now_ms);
      return;
    }
  frq_stop_waiting (frq);
  send_to (frq, choice);
}

/* ---- Waiting ---- */

static gint
compare_waiting (gconstpointer a, gconstpointer b, gpointer user)
{
  const Frq *x = a;
  const Frq *y = b;
  uint64_t now_ms = *(const uint64_t *) user;

  return adm_precedes (&x->admission, (uint32_t) (now_ms - x->waiting_since_ms), &y->admission,
                       (uint32_t) (now_ms - y->waiting_since_ms))
             ? -1
             : 1;
}

/* Candidates are the same for all requests of a route until one is sent. */
static ChsChoice
choose_from_sets (GHashTable *sets, const Frq *frq)
{
  ChsRequest request = choice_of (frq);
  ChsCandidates *set = g_hash_table_lookup (sets, frq->route);

  if (set == NULL)
    {
      set = chs_candidates_new (frq->node, &request);
      g_hash_table_insert (sets, frq->route, set);
    }
  return chs_choose (set, &request);
}

void
fwd_wake (NodService *service)
{
  uint64_t now_ms = clk_now_ms ();

  if (g_queue_is_empty (&service->waiting))
    return;
  GHashTable *sets = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                            (GDestroyNotify) chs_candidates_free);
  g_queue_sort (&service->waiting, compare_waiting, &now_ms);
  GList *item = service->waiting.head;
  for (uint32_t tries = 0; item != NULL && tries < WAKE_TRIES_MAX; tries++)
    {
      Frq *frq = item->data;
      item = item->next;
      ChsChoice choice = { .region = REGIONS_MAX };
      if (now_ms < frq->ends_at_ms)
        choice = choose_from_sets (sets, frq);
      if (choice.ups == NULL)
        continue;
      frq_stop_waiting (frq);
      send_to (frq, choice);
      g_hash_table_remove_all (sets);
    }
  g_hash_table_unref (sets);
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
      NodService *service = value;
      fwd_wake (service);
      GList *item = service->waiting.head;
      while (item != NULL)
        {
          Frq *frq = item->data;
          item = item->next;
          nod_step (node);
          if (now_ms >= frq->waits_until_ms)
            turn_away (frq);
        }
    }
}
