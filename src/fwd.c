/* Forwarding: the life of a caller's request on a node. */
#include "fwd.h"

#include "adm.h"
#include "chs.h"
#include "msg.h"

#include <string.h>

#define SENDS_MAX 5
#define MISDIRECTS_MAX 2
#define DEADLINE_MARGIN_MS 20
#define TIMEOUT_GRACE_MS 200
#define RETURNED_MARGIN_MS 60
#define USUAL_WEIGHT 16
#define WAKE_TRIES_MAX 8
#define MISDIRECTED 421

/**
 * struct Fwd - one request
 * @link: lives with h2o's request and tells when that ends
 * @may_have_run: it was sent and nothing proves that it did not run
 * @tried: hashes of the upstreams that it was sent to
 */
typedef struct
{
  Node *node;
  h2o_req_t *h2o;
  void *gone_key;
  struct Link *link;
  RttTable *table;
  RttRoute *route;
  NodService *service;
  NodWork *work;
  MsgRequest message;
  char *id;
  uint32_t key;
  uint64_t fingerprint;
  AdmRequest admission;
  uint64_t at_ms;
  uint64_t ends_at_ms;
  uint64_t waits_until_ms;
  uint64_t waiting_since_ms;
  uint64_t sent_at_ms;
  uint32_t sends;
  uint32_t runs;
  uint32_t misdirects;
  bool may_have_run;
  bool waiting;
  bool sent_warm;
  uint32_t tried[SENDS_MAX];
  char last_upstream[NAME_MAX_BYTES];
  Ups *ups;
  UcnCall *call;
  uv_timer_t timer;
} Fwd;

typedef struct Link
{
  Fwd *fwd;
} Link;

static void dispatch (Fwd *fwd);

/* ---- End of a request ---- */

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
stop_waiting (Fwd *fwd)
{
  if (!fwd->waiting)
    return;
  fwd->waiting = false;
  g_queue_remove (&fwd->service->waiting, fwd);
}

static void
release_upstream (Fwd *fwd)
{
  Ups *ups = fwd->ups;

  fwd->ups = NULL;
  if (ups != NULL)
    ups_release (&fwd->node->upstreams, ups);
}

static void
cancel_call (Fwd *fwd)
{
  if (fwd->call != NULL)
    ucn_cancel (fwd->call);
  fwd->call = NULL;
  release_upstream (fwd);
}

static void
fwd_free (Fwd *fwd)
{
  stop_waiting (fwd);
  cancel_call (fwd);
  if (fwd->gone_key != NULL)
    hsv_unwatch_gone (fwd->node->front, fwd->gone_key);
  if (fwd->link != NULL)
    fwd->link->fwd = NULL;
  fwd->node->open--;
  rtt_unref (fwd->table);
  msg_clear (&fwd->message);
  g_free (fwd->id);
  uv_close ((uv_handle_t *) &fwd->timer, on_timer_closed);
}

static void
on_h2o_disposed (void *data)
{
  Link *link = data;

  if (link->fwd == NULL)
    return;
  link->fwd->link = NULL;
  link->fwd->node->counters.callers_gone++;
  fwd_free (link->fwd);
}

/* Ends the request's state and returns h2o's request, which is still to be answered. */
static h2o_req_t *
detach (Fwd *fwd)
{
  h2o_req_t *h2o = fwd->h2o;

  if (fwd->id != NULL)
    hsv_add_header (h2o, fwd->node->headers.request_id, fwd->id);
  hsv_close_if_more (h2o);
  fwd_free (fwd);
  return h2o;
}

static void
answer_own (Fwd *fwd, int status, const char *reason)
{
  Node *node = fwd->node;

  log_event (&node->log, LOG_INFO, "request_failed",
             "id=%s status=%d reason=%s route=%s sends=%u upstream=%s age_ms=%llu config=%llu",
             fwd->id != NULL ? fwd->id : "-", status, reason, fwd->route->name, fwd->sends,
             fwd->sends > 0 ? fwd->last_upstream : "-",
             (unsigned long long) (clk_now_ms () - fwd->at_ms),
             (unsigned long long) fwd->table->version);
  hsv_reply (detach (fwd), status, "text/plain", reason);
}

/* "Not run" is said only when no upstream can have run the request. */
static void
answer_not_run (Fwd *fwd, const char *reason)
{
  Node *node = fwd->node;
  uint64_t now_ms = clk_now_ms ();
  char seconds[32];

  if (fwd->may_have_run)
    {
      node->counters.may_have_run++;
      answer_own (fwd, 502, reason);
      return;
    }
  node->counters.refused++;
  fwd->admission.left_ms = fwd->ends_at_ms > now_ms ? (uint32_t) (fwd->ends_at_ms - now_ms) : 0;
  uint32_t back_ms
      = node->state == NOD_STOPPING ? 0 : adm_back_ms (&fwd->admission, g_random_int ());
  g_snprintf (seconds, sizeof seconds, "%u.%03u", back_ms / 1000, back_ms % 1000);
  hsv_add_header (fwd->h2o, "retry-after", seconds);
  answer_own (fwd, 503, reason);
}

static void
on_caller_gone (void *user)
{
  Fwd *fwd = user;
  NodService *service = fwd->service;
  bool sent = fwd->sends > 0;

  fwd->gone_key = NULL;
  fwd->node->counters.callers_gone++;
  hsv_reply (detach (fwd), sent ? 504 : 503, "text/plain", "caller_gone");
  fwd_wake (service);
}

static uint32_t
expected_ms (const Fwd *fwd)
{
  return fwd->sent_warm ? fwd->work->warm_ms : fwd->work->cold_ms;
}

static void
on_ends (uv_timer_t *timer)
{
  Fwd *fwd = timer->data;
  Node *node = fwd->node;
  NodService *service = fwd->service;

  node->counters.timeouts++;
  if (fwd->call != NULL && ucn_was_sent (fwd->call))
    {
      ups_took (fwd->ups, (uint32_t) (clk_now_ms () - fwd->sent_at_ms), expected_ms (fwd));
      node->counters.may_have_run++;
      answer_own (fwd, 504, "timeout");
    }
  else
    answer_not_run (fwd, "timeout");
  fwd_wake (service);
}

static ChsRequest
choice_of (const Fwd *fwd)
{
  return (ChsRequest){ .table = fwd->table,
                       .route = fwd->route,
                       .service = fwd->service,
                       .work = fwd->work,
                       .admission = &fwd->admission,
                       .key = fwd->key,
                       .tried = fwd->tried,
                       .tried_count = MIN (fwd->sends, SENDS_MAX) };
}

static Ups *
choose_upstream (const Fwd *fwd)
{
  ChsRequest request = choice_of (fwd);

  return chs_upstream (fwd->node, &request);
}

/* ---- Answers ---- */

static void
pass_headers (Fwd *fwd, const UcnAnswer *answer)
{
  static const char *const own[] = { "server", "date", NULL };

  for (guint i = 0; i < answer->headers->len; i++)
    {
      const UcnHeader *header = g_ptr_array_index (answer->headers, i);
      char *name = g_ascii_strdown (header->name, -1);
      if (!msg_is_hop (name, strlen (name)) && !g_strv_contains (own, name)
          && g_ascii_strcasecmp (name, fwd->node->headers.request_id) != 0)
        hsv_add_header (fwd->h2o, name, header->value);
      g_free (name);
    }
}

/* The same requests are sampled on every node. */
static bool
is_sampled (const Fwd *fwd)
{
  return fwd->id != NULL && ups_hash (fwd->id) % LOG_SAMPLE == 0;
}

static void
deliver (Fwd *fwd, const UcnAnswer *answer)
{
  Node *node = fwd->node;
  uint64_t took_ms = clk_now_ms () - fwd->at_ms;

  if (is_sampled (fwd))
    log_event (&node->log, LOG_INFO, "request_answered",
               "id=%s status=%d route=%s sends=%u age_ms=%llu config=%llu", fwd->id, answer->status,
               fwd->route->name, fwd->sends, (unsigned long long) took_ms,
               (unsigned long long) fwd->table->version);

  node->counters.answered++;
  met_observe (&node->latency, took_ms * 1000);
  pass_headers (fwd, answer);
  h2o_req_t *h2o = detach (fwd);
  if (answer->until_close)
    hsv_send_until_close (h2o, answer->status, answer->body->data, answer->body->len);
  else
    hsv_send (h2o, answer->status, answer->body->data, answer->body->len);
}

static void
learn_work (Fwd *fwd, uint32_t took_ms)
{
  uint32_t *usual_ms = fwd->sent_warm ? &fwd->work->warm_ms : &fwd->work->cold_ms;
  int64_t value = *usual_ms;

  *usual_ms = (uint32_t) (value + ((int64_t) took_ms - value) / USUAL_WEIGHT);
}

static bool
is_poison (const Fwd *fwd)
{
  return poi_crashes (&fwd->node->poison, fwd->fingerprint, clk_now_ms ()) >= POISON_RUNS_MAX;
}

static bool
may_send_again (Fwd *fwd)
{
  Node *node = fwd->node;

  if (is_poison (fwd))
    return false;
  if (fwd->may_have_run && !rtt_repeatable (fwd->route))
    return false;
  if (fwd->misdirects >= MISDIRECTS_MAX)
    return false;
  if (fwd->sends >= SENDS_MAX || fwd->runs >= MAX (fwd->route->attempts, 1))
    return false;
  if (clk_now_ms () + fwd->work->warm_ms >= fwd->ends_at_ms)
    return false;
  return rbg_take (&fwd->service->retries, &node->set.retry, nod_nodes (node), clk_now_ms ());
}

static void
send_again_or (Fwd *fwd, const UcnAnswer *answer, const char *reason)
{
  if (may_send_again (fwd))
    {
      fwd->node->counters.retries++;
      fwd->waits_until_ms = clk_now_ms () + adm_wait_ms (&fwd->admission);
      dispatch (fwd);
    }
  else if (answer != NULL)
    deliver (fwd, answer);
  else
    answer_not_run (fwd, reason);
}

static void
on_not_run (Fwd *fwd, Ups *ups, const UcnAnswer *answer)
{
  Node *node = fwd->node;

  if (answer->status == MISDIRECTED)
    {
      node->counters.misdirected++;
      fwd->misdirects++;
      ups->misdirected = true;
    }
  else
    {
      node->counters.sheds++;
      ups->full_until_ms = clk_now_ms () + SHED_PAUSE_MS;
    }
  release_upstream (fwd);
  send_again_or (fwd, NULL, "no_room");
}

static void
on_whole_answer (Fwd *fwd, Ups *ups, const UcnAnswer *answer)
{
  const NodHeaders *names = &fwd->node->headers;
  uint32_t took_ms = (uint32_t) (clk_now_ms () - fwd->sent_at_ms);
  bool success = answer->status >= 200 && answer->status < 300;

  if (answer->status == MISDIRECTED || ucn_header (answer, names->not_run) != NULL)
    {
      on_not_run (fwd, ups, answer);
      return;
    }
  fwd->runs++;
  fwd->may_have_run = true;
  if (success && ucn_header (answer, names->signature) == NULL)
    {
      fwd->node->counters.broken_answers++;
      ups_failed (ups, clk_now_ms ());
      release_upstream (fwd);
      send_again_or (fwd, NULL, "answer_unsigned");
      return;
    }
  if (answer->status < 500)
    {
      ups_succeeded (ups, clk_now_ms ());
      poi_clear_suspect (&fwd->node->poison, fwd->fingerprint);
      ups_took (ups, took_ms, expected_ms (fwd));
      learn_work (fwd, took_ms);
      if (fwd->key != 0)
        ups_note_object (ups, fwd->key);
      release_upstream (fwd);
      deliver (fwd, answer);
      return;
    }
  ups_answered_failure (ups);
  release_upstream (fwd);
  send_again_or (fwd, answer, "upstream_failed");
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
on_broken (Fwd *fwd, Ups *ups, UcnOutcome outcome)
{
  Node *node = fwd->node;

  if (outcome == UCN_NOT_SENT)
    suspect_lost (node, ups);
  else
    ups_note_lost (ups, fwd->fingerprint, clk_now_ms ());
  ups_failed (ups, clk_now_ms ());
  if (ups_is_down (ups))
    nod_disturbed (node);
  release_upstream (fwd);
  if (outcome == UCN_NOT_SENT)
    {
      node->counters.connect_failures++;
      if (fwd->sends < SENDS_MAX && clk_now_ms () < fwd->ends_at_ms)
        dispatch (fwd);
      else
        answer_not_run (fwd, "no_connection");
      return;
    }
  node->counters.broken_answers++;
  fwd->runs++;
  fwd->may_have_run = true;
  send_again_or (fwd, NULL, outcome == UCN_LOST ? "answer_lost" : "answer_broken");
}

static void
on_done (void *user, UcnOutcome outcome, const UcnAnswer *answer)
{
  Fwd *fwd = user;
  Node *node = fwd->node;
  NodService *service = fwd->service;
  Ups *ups = fwd->ups;

  fwd->call = NULL;
  if (ups->zone < ZONES_MAX && ups->pool.connect_ms < node->zone_rtt_ms[ups->zone])
    node->zone_rtt_ms[ups->zone] = ups->pool.connect_ms;
  if (outcome == UCN_DONE)
    on_whole_answer (fwd, ups, answer);
  else
    on_broken (fwd, ups, outcome);
  fwd_wake (service);
}

/* ---- Sending ---- */

static GString *
message_to (const Fwd *fwd, const Ups *ups, uint64_t now_ms)
{
  const NodHeaders *names = &fwd->node->headers;
  char extra[256];

  g_snprintf (extra, sizeof extra, "%s: %llu\r\n%s: %s\r\n", names->deadline_ms,
              (unsigned long long) (fwd->ends_at_ms - MIN (now_ms, fwd->ends_at_ms - 1)),
              names->instance, ups->record.id);
  return msg_build (&fwd->message, extra);
}

static void
send_to (Fwd *fwd, Ups *ups)
{
  Node *node = fwd->node;
  uint64_t now_ms = clk_now_ms ();
  UcnSpec spec = { .message = message_to (fwd, ups, now_ms),
                   .id_header = fwd->id != NULL ? node->headers.request_id : NULL,
                   .id = fwd->id,
                   .method_is_head = strcmp (fwd->message.method, "HEAD") == 0,
                   .idle_max_ms = rtt_repeatable (fwd->route) ? UPS_IDLE_MAX_MS : UPS_SAFE_IDLE_MS,
                   .connect_timeout_ms = UPS_CONNECT_TIMEOUT_MS };

  if (fwd->sends == 0)
    rbg_request (&fwd->service->retries, now_ms);
  fwd->tried[fwd->sends++] = ups->hash;
  fwd->ups = ups;
  g_strlcpy (fwd->last_upstream, ups->record.id, sizeof fwd->last_upstream);
  fwd->sent_at_ms = now_ms;
  fwd->sent_warm = fwd->key != 0 && ups_knows (ups, fwd->key);
  ups->in_flight++;
  if (ups->zone < node->set.zones->len)
    shr_note (&node->shares, g_array_index (node->set.zones, NodZone, ups->zone).region, now_ms);
  if (ups_is_cold (ups, now_ms))
    ups_cold_note (ups, now_ms);
  node->counters.sends++;
  if (fwd->sends > 1 || is_sampled (fwd))
    log_event (&node->log, LOG_INFO, "request_sent",
               "id=%s upstream=%s send=%u warm=%d in_flight=%u others=%u slots=%u left_ms=%llu",
               fwd->id != NULL ? fwd->id : "-", ups->record.id, fwd->sends, fwd->sent_warm,
               ups->in_flight, ups->others, ups->record.slots,
               (unsigned long long) (fwd->ends_at_ms - now_ms));
  fwd->call = ucn_start (&ups->pool, &spec, on_done, fwd);
}

static void
wait_for_room (Fwd *fwd, uint64_t now_ms)
{
  if (now_ms >= fwd->waits_until_ms)
    {
      answer_not_run (fwd, "no_room");
      return;
    }
  if (fwd->waiting)
    return;
  fwd->waiting = true;
  fwd->waiting_since_ms = now_ms;
  g_queue_push_tail (&fwd->service->waiting, fwd);
}

static void
dispatch (Fwd *fwd)
{
  uint64_t now_ms = clk_now_ms ();
  Ups *ups = now_ms < fwd->ends_at_ms ? choose_upstream (fwd) : NULL;

  if (ups == NULL)
    {
      wait_for_room (fwd, now_ms);
      return;
    }
  stop_waiting (fwd);
  send_to (fwd, ups);
}

/* ---- Waiting ---- */

static gint
compare_waiting (gconstpointer a, gconstpointer b, gpointer user)
{
  const Fwd *x = a;
  const Fwd *y = b;
  uint64_t now_ms = *(const uint64_t *) user;

  return adm_is_before (&x->admission, (uint32_t) (now_ms - x->waiting_since_ms), &y->admission,
                        (uint32_t) (now_ms - y->waiting_since_ms))
             ? -1
             : 1;
}

/* Candidates are the same for all requests of a route until one is sent. */
static Ups *
choose_from_sets (GHashTable *sets, const Fwd *fwd)
{
  ChsRequest request = choice_of (fwd);
  ChsSet *set = g_hash_table_lookup (sets, fwd->route);

  if (set == NULL)
    {
      set = chs_set_new (fwd->node, &request);
      g_hash_table_insert (sets, fwd->route, set);
    }
  return chs_choose (set, &request);
}

void
fwd_wake (NodService *service)
{
  uint64_t now_ms = clk_now_ms ();

  if (g_queue_is_empty (&service->waiting))
    return;
  GHashTable *sets
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, (GDestroyNotify) chs_set_free);
  g_queue_sort (&service->waiting, compare_waiting, &now_ms);
  GList *item = service->waiting.head;
  for (uint32_t tries = 0; item != NULL && tries < WAKE_TRIES_MAX; tries++)
    {
      Fwd *fwd = item->data;
      item = item->next;
      Ups *ups = now_ms < fwd->ends_at_ms ? choose_from_sets (sets, fwd) : NULL;
      if (ups == NULL)
        continue;
      stop_waiting (fwd);
      send_to (fwd, ups);
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
          Fwd *fwd = item->data;
          item = item->next;
          if (now_ms >= fwd->waits_until_ms)
            answer_not_run (fwd, "no_room");
        }
    }
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
read_key (Node *node, h2o_req_t *h2o, const RttRoute *route)
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

static uint32_t
urgency_of (const RttTable *table, const RttRoute *route)
{
  uint32_t urgency = 0;

  for (guint i = 0; i < table->routes->len; i++)
    {
      const RttRoute *other = g_ptr_array_index (table->routes, i);
      if (other->priority < route->priority)
        urgency = 1;
    }
  return urgency;
}

static void
fill_admission (Fwd *fwd, uint32_t deadline_ms)
{
  NodWork *work = fwd->work;

  if (deadline_ms != DEADLINE_DEFAULT_MS)
    work->deadline_ms = MAX (work->deadline_ms, deadline_ms);
  fwd->admission = (AdmRequest){ .urgency = urgency_of (fwd->table, fwd->route),
                                 .returned = deadline_ms + RETURNED_MARGIN_MS < work->deadline_ms,
                                 .objective_ms = fwd->route->objective_ms,
                                 .left_ms = (uint32_t) (fwd->ends_at_ms - fwd->at_ms),
                                 .usual_ms = work->warm_ms };
}

static Fwd *
fwd_new (Node *node, h2o_req_t *h2o, RttRoute *route, const RttPart *part)
{
  const NodHeaders *names = &node->headers;
  const char *dropped[] = { names->deadline_ms, names->instance, NULL };
  uint32_t deadline_ms = read_deadline_ms (node, h2o);
  Fwd *fwd = g_new0 (Fwd, 1);

  fwd->node = node;
  fwd->h2o = h2o;
  fwd->link = h2o_mem_alloc_shared (&h2o->pool, sizeof *fwd->link, on_h2o_disposed);
  fwd->link->fwd = fwd;
  fwd->table = rtt_ref (node->table);
  fwd->route = route;
  fwd->service = nod_service (node, part->service);
  fwd->work = nod_work (node, route);
  fwd->id = hsv_header (h2o, names->request_id);
  fwd->key = route->sticky ? read_key (node, h2o, route) : 0;
  msg_take (&fwd->message, h2o, dropped);
  fwd->fingerprint = poi_fingerprint (fwd->message.method, fwd->message.path,
                                      fwd->message.body->data, fwd->message.body->len);
  fwd->at_ms = clk_now_ms ();
  if (fwd->key != 0)
    cen_note (&fwd->service->objects, fwd->key, fwd->at_ms);
  fwd->ends_at_ms = fwd->at_ms
                    + MIN (deadline_ms > 2 * DEADLINE_MARGIN_MS ? deadline_ms - DEADLINE_MARGIN_MS
                                                                : deadline_ms / 2,
                           route->timeout_ms + TIMEOUT_GRACE_MS);
  fill_admission (fwd, deadline_ms);
  fwd->waits_until_ms = fwd->at_ms + adm_wait_ms (&fwd->admission);
  uv_timer_init (node->loop, &fwd->timer);
  fwd->timer.data = fwd;
  uv_timer_start (&fwd->timer, on_ends, fwd->ends_at_ms - fwd->at_ms, 0);
  fwd->gone_key = hsv_watch_gone (node->front, h2o, on_caller_gone, fwd);
  node->open++;
  return fwd;
}

static bool
is_too_late_to_start (const Node *node)
{
  return node->state == NOD_STOPPING
         && clk_now_ms () - node->stopping_since_ms >= NOD_REFUSE_AFTER_MS;
}

static void
refuse_unread (h2o_req_t *h2o, const char *back, const char *reason)
{
  hsv_add_header (h2o, "retry-after", back);
  hsv_reply (h2o, 503, "text/plain", reason);
}

void
fwd_request (Node *node, h2o_req_t *h2o)
{
  node->counters.requests++;
  if (node->table == NULL || is_too_late_to_start (node))
    {
      node->counters.refused++;
      refuse_unread (h2o, "0.2", node->table == NULL ? "no_configuration" : "stopping");
      return;
    }
  RttRoute *route = rtt_match (node->table, h2o->authority.base, h2o->authority.len, h2o->path.base,
                               h2o->path.len);
  const RttPart *part = route != NULL ? rtt_choose_part (route) : NULL;
  if (part == NULL)
    {
      node->counters.no_route++;
      hsv_reply (h2o, 404, "text/plain", "no_route");
      return;
    }
  Fwd *fwd = fwd_new (node, h2o, route, part);
  if (is_poison (fwd))
    {
      node->counters.poison_refused++;
      answer_not_run (fwd, "crashes_upstreams");
    }
  else if (adm_is_hopeless (&fwd->admission))
    answer_not_run (fwd, "too_little_time");
  else
    dispatch (fwd);
}
