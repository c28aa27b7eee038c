/* Relay server: forwards requests from nodes of remote regions to upstreams near this node. */
#include "rls.h"

#include "aut.h"
#include "fbk.h"
#include "chs.h"
#include "msg.h"
#include "rly.h"

#include <string.h>

#define STATUS_MAY_HAVE_RUN 502
#define STATUS_NOT_RUN 503

/**
 * struct Rls - one relayed request
 * @incarnation: of @ups when the request arrived
 * @disconnect_key: key of hsv_watch_disconnect(), NULL after the sending node closed its connection
 * @deadline_at_ms: end of the request's time, or of the responses of a stopping node when earlier
 */
typedef struct
{
  Node *node;
  h2o_req_t *h2o;
  void *disconnect_key;
  struct RlsLink *link;
  MsgRequest message;
  char *id;
  Ups *ups;
  UpsIncarnation incarnation;
  UcnCall *call;
  uint64_t deadline_at_ms;
  uv_timer_t timer;
} Rls;

/** struct RlsLink - allocated with h2o's request; @rls is NULL after the Rls is freed */
typedef struct RlsLink
{
  Rls *rls;
} RlsLink;

/* ---- Completion ---- */

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
rls_free (Rls *rls)
{
  Node *node = rls->node;

  if (rls->call != NULL)
    ucn_cancel (rls->call);
  if (rls->disconnect_key != NULL)
    hsv_unwatch_disconnect (node->relay, rls->disconnect_key);
  if (rls->link != NULL)
    rls->link->rls = NULL;
  ups_release_relayed (&node->upstreams, rls->ups);
  node->open_requests--;
  msg_clear (&rls->message);
  g_free (rls->id);
  uv_close ((uv_handle_t *) &rls->timer, on_timer_closed);
}

static bool
is_not_run (RlyOutcome outcome)
{
  return outcome == RLY_REFUSED || outcome == RLY_NOT_SENT || outcome == RLY_WITHDRAWN;
}

static void
send_outcome (const Node *node, h2o_req_t *h2o, const char *id, RlyOutcome outcome)
{
  if (id != NULL)
    hsv_add_header (h2o, node->headers.request_id, id);
  hsv_add_header (h2o, RLY_OUTCOME_HEADER, rly_outcome_name (outcome));
  hsv_respond (h2o, is_not_run (outcome) ? STATUS_NOT_RUN : STATUS_MAY_HAVE_RUN, "text/plain",
               rly_outcome_name (outcome));
}

static void
fail (Rls *rls, RlyOutcome outcome)
{
  h2o_req_t *h2o = rls->h2o;
  char *id = g_strdup (rls->id);
  const Node *node = rls->node;

  log_event (&rls->node->request_log, LOG_INFO, "relay_failed", "id=%s upstream=%s outcome=%s",
             id != NULL ? id : "-", rls->ups->record.id, rly_outcome_name (outcome));
  rls_free (rls);
  send_outcome (node, h2o, id, outcome);
  g_free (id);
}

static void
on_h2o_disposed (void *data)
{
  RlsLink *link = data;

  if (link->rls == NULL)
    return;
  link->rls->link = NULL;
  rls_free (link->rls);
}

static void
on_sender_disconnected (void *user)
{
  Rls *rls = user;

  rls->disconnect_key = NULL;
  fail (rls, RLY_LOST);
}

static void
on_deadline (uv_timer_t *timer)
{
  Rls *rls = timer->data;

  fail (rls, rls->call != NULL && ucn_was_sent (rls->call) ? RLY_LOST : RLY_NOT_SENT);
}

/* ---- Responses ---- */

static void
copy_headers (const Rls *rls, const UcnResponse *response)
{
  for (guint i = 0; i < response->headers->len; i++)
    {
      const UcnHeader *header = g_ptr_array_index (response->headers, i);
      if (!msg_is_hop_by_hop (header->name, strlen (header->name))
          && g_ascii_strcasecmp (header->name, "server") != 0
          && g_ascii_strcasecmp (header->name, RLY_OUTCOME_HEADER) != 0)
        hsv_add_header (rls->h2o, header->name, header->value);
    }
}

static void
send_response (Rls *rls, const UcnResponse *response)
{
  h2o_req_t *h2o = rls->h2o;
  Node *node = rls->node;

  copy_headers (rls, response);
  rls_free (rls);
  nod_send_response (node, h2o, response);
}

static void
on_head (void *user, const UcnResponse *response)
{
  const Rls *rls = user;

  fbk_apply (rls->node, rls->ups, &rls->incarnation, rls->id, response);
}

static void
on_exchange_done (void *user, UcnOutcome exchange, const UcnResponse *response)
{
  Rls *rls = user;

  rls->call = NULL;
  if (exchange == UCN_DONE)
    send_response (rls, response);
  else
    fail (rls, rly_from_ucn (exchange));
}

/* ---- Start ---- */

static GString *
build_message (void *user)
{
  const Rls *rls = user;
  const NodHeaders *names = &rls->node->headers;
  uint64_t now_ms = clk_now_ms ();
  char extra_headers[256];

  if (!ups_is_incarnation (rls->ups, &rls->incarnation))
    return NULL;
  if (!chs_accepts_requests (rls->node, rls->ups) || now_ms < rls->ups->paused_until_ms)
    return NULL;
  g_snprintf (extra_headers, sizeof extra_headers, "%s: %llu\r\n%s: %s\r\n", names->deadline_ms,
              (unsigned long long) (rls->deadline_at_ms - MIN (now_ms, rls->deadline_at_ms - 1)),
              names->instance, rls->ups->record.id);
  return msg_build (&rls->message, extra_headers);
}

static uint32_t
read_remaining_ms (const Node *node, h2o_req_t *h2o)
{
  char *text = hsv_header (h2o, node->headers.deadline_ms);
  uint64_t value = text != NULL ? strtoull (text, NULL, 10) : 0;

  g_free (text);
  return (uint32_t) MIN (value, DEADLINE_MAX_MS);
}

static Rls *
rls_new (Node *node, h2o_req_t *h2o, Ups *ups, uint32_t remaining_ms)
{
  bool has_accounts = node->table != NULL && node->table->accounts != NULL;
  const char *replaced[] = { node->headers.deadline_ms, node->headers.instance,
                             has_accounts ? AUT_HEADER : NULL, NULL };
  Rls *rls = g_new0 (Rls, 1);

  rls->node = node;
  rls->h2o = h2o;
  rls->link = h2o_mem_alloc_shared (&h2o->pool, sizeof *rls->link, on_h2o_disposed);
  rls->link->rls = rls;
  rls->id = hsv_header (h2o, node->headers.request_id);
  rls->ups = ups;
  rls->incarnation = ups_incarnation (ups);
  ups->relayed++;
  msg_init (&rls->message, h2o, replaced);
  rls->deadline_at_ms = MIN (clk_now_ms () + remaining_ms, nod_response_deadline_ms (node));
  uv_timer_init (node->loop, &rls->timer);
  rls->timer.data = rls;
  uv_timer_start (&rls->timer, on_deadline,
                  rls->deadline_at_ms - MIN (clk_now_ms (), rls->deadline_at_ms), 0);
  rls->disconnect_key = hsv_watch_disconnect (node->relay, h2o, on_sender_disconnected, rls);
  node->open_requests++;
  node->counters.relayed++;
  return rls;
}

/* RLY_ANSWERED when the request can be forwarded. */
static RlyOutcome
check_request (const Node *node, const Ups *ups, uint32_t remaining_ms)
{
  if (ups == NULL || remaining_ms == 0 || nod_rejects_requests (node))
    return RLY_REFUSED;
  return chs_accepts_requests (node, ups) ? RLY_ANSWERED : RLY_WITHDRAWN;
}

static void
reject (const Node *node, h2o_req_t *h2o, RlyOutcome outcome)
{
  char *id = hsv_header (h2o, node->headers.request_id);

  send_outcome (node, h2o, id, outcome);
  g_free (id);
}

/* The response that the paused upstream itself would give: not run, with a Retry-After time. */
static void
reject_paused (const Node *node, h2o_req_t *h2o, uint64_t pause_ms)
{
  char *id = hsv_header (h2o, node->headers.request_id);
  char seconds[32];

  g_snprintf (seconds, sizeof seconds, "%u.%03u", (uint32_t) (pause_ms / 1000),
              (uint32_t) (pause_ms % 1000));
  if (id != NULL)
    hsv_add_header (h2o, node->headers.request_id, id);
  hsv_add_header (h2o, node->headers.not_run, "1");
  hsv_add_header (h2o, "retry-after", seconds);
  hsv_respond (h2o, STATUS_NOT_RUN, "text/plain", "paused");
  g_free (id);
}

void
rls_handle_request (Node *node, h2o_req_t *h2o)
{
  char *instance = hsv_header (h2o, node->headers.instance);
  Ups *ups = instance != NULL ? ups_get (&node->upstreams, instance) : NULL;
  uint32_t remaining_ms = read_remaining_ms (node, h2o);
  RlyOutcome outcome = check_request (node, ups, remaining_ms);

  g_free (instance);
  if (outcome != RLY_ANSWERED)
    {
      reject (node, h2o, outcome);
      return;
    }
  uint64_t now_ms = clk_now_ms ();
  if (now_ms < ups->paused_until_ms)
    {
      reject_paused (node, h2o, ups->paused_until_ms - now_ms);
      return;
    }
  Rls *rls = rls_new (node, h2o, ups, remaining_ms);
  UcnSpec spec = { .build = build_message,
                   .on_head = on_head,
                   .body = rls->message.body,
                   .id_header = rls->id != NULL ? node->headers.request_id : NULL,
                   .id = rls->id,
                   .method_is_head = strcmp (rls->message.method, "HEAD") == 0,
                   .new_connection = rls->id == NULL,
                   .idle_max_ms = UPS_NON_IDEMPOTENT_IDLE_MAX_MS,
                   .connect_timeout_ms = UPS_CONNECT_TIMEOUT_MS };
  rls->call = ucn_start (&ups->pool, &spec, on_exchange_done, rls);
}
