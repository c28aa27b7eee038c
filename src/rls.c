/* Relay server: requests of other regions' nodes for upstreams near this one. */
#include "rls.h"

#include "adv.h"
#include "chs.h"
#include "msg.h"
#include "rly.h"

#include <string.h>

#define STATUS_LOST 502
#define STATUS_NOT_RUN 503

/** struct Rls - one relayed request */
typedef struct
{
  Node *node;
  h2o_req_t *h2o;
  void *gone_key;
  struct RlsLink *link;
  MsgRequest message;
  char *id;
  Ups *ups;
  UcnCall *call;
  uint64_t ends_at_ms;
  uv_timer_t timer;
} Rls;

/** struct RlsLink - lives with h2o's request; NULL once the own state is gone */
typedef struct RlsLink
{
  Rls *rls;
} RlsLink;

/* ---- Ends ---- */

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
  if (rls->gone_key != NULL)
    hsv_unwatch_gone (node->relay, rls->gone_key);
  if (rls->link != NULL)
    rls->link->rls = NULL;
  ups_unrelay (&node->upstreams, rls->ups);
  node->open--;
  msg_clear (&rls->message);
  g_free (rls->id);
  uv_close ((uv_handle_t *) &rls->timer, on_timer_closed);
}

static bool
is_not_run (RlyEnd end)
{
  return end == RLY_REFUSED || end == RLY_NOT_SENT || end == RLY_WITHDRAWN;
}

static void
answer_end (const Node *node, h2o_req_t *h2o, const char *id, RlyEnd end)
{
  if (id != NULL)
    hsv_add_header (h2o, node->headers.request_id, id);
  hsv_add_header (h2o, RLY_END_HEADER, rly_end_text (end));
  hsv_reply (h2o, is_not_run (end) ? STATUS_NOT_RUN : STATUS_LOST, "text/plain",
             rly_end_text (end));
}

static void
finish (Rls *rls, RlyEnd end)
{
  h2o_req_t *h2o = rls->h2o;
  char *id = g_strdup (rls->id);
  const Node *node = rls->node;

  log_event (&rls->node->request_log, LOG_INFO, "relay_failed", "id=%s upstream=%s end=%s",
             id != NULL ? id : "-", rls->ups->record.id, rly_end_text (end));
  rls_free (rls);
  answer_end (node, h2o, id, end);
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
on_asker_gone (void *user)
{
  Rls *rls = user;

  rls->gone_key = NULL;
  finish (rls, RLY_LOST);
}

static void
on_ends (uv_timer_t *timer)
{
  Rls *rls = timer->data;

  finish (rls, rls->call != NULL && ucn_was_sent (rls->call) ? RLY_LOST : RLY_NOT_SENT);
}

/* ---- Answers ---- */

static void
pass_headers (const Rls *rls, const UcnAnswer *answer)
{
  for (guint i = 0; i < answer->headers->len; i++)
    {
      const UcnHeader *header = g_ptr_array_index (answer->headers, i);
      if (!msg_is_hop (header->name, strlen (header->name))
          && g_ascii_strcasecmp (header->name, "server") != 0
          && g_ascii_strcasecmp (header->name, RLY_END_HEADER) != 0)
        hsv_add_header (rls->h2o, header->name, header->value);
    }
}

static void
deliver (Rls *rls, const UcnAnswer *answer)
{
  h2o_req_t *h2o = rls->h2o;

  pass_headers (rls, answer);
  rls_free (rls);
  if (answer->until_close)
    hsv_send_until_close (h2o, answer->status, answer->body->data, answer->body->len);
  else
    hsv_send (h2o, answer->status, answer->body->data, answer->body->len);
}

static void
on_done (void *user, UcnOutcome outcome, const UcnAnswer *answer)
{
  Rls *rls = user;

  rls->call = NULL;
  if (outcome == UCN_DONE)
    {
      adv_take (rls->node, rls->ups, answer);
      deliver (rls, answer);
    }
  else
    finish (rls, rly_end_of_outcome (outcome));
}

/* ---- Start ---- */

static GString *
build_message (void *user)
{
  const Rls *rls = user;
  const NodHeaders *names = &rls->node->headers;
  uint64_t now_ms = clk_now_ms ();
  char extra[256];

  if (!chs_accepts_requests (rls->node, rls->ups) || now_ms < rls->ups->paused_until_ms)
    return NULL;
  g_snprintf (extra, sizeof extra, "%s: %llu\r\n%s: %s\r\n", names->deadline_ms,
              (unsigned long long) (rls->ends_at_ms - MIN (now_ms, rls->ends_at_ms - 1)),
              names->instance, rls->ups->record.id);
  return msg_build (&rls->message, extra);
}

static uint32_t
read_deadline_ms (const Node *node, h2o_req_t *h2o)
{
  char *text = hsv_header (h2o, node->headers.deadline_ms);
  uint64_t value = text != NULL ? strtoull (text, NULL, 10) : 0;

  g_free (text);
  return (uint32_t) MIN (value, DEADLINE_MAX_MS);
}

static Rls *
rls_new (Node *node, h2o_req_t *h2o, Ups *ups, uint32_t deadline_ms)
{
  const char *dropped[] = { node->headers.deadline_ms, node->headers.instance, NULL };
  Rls *rls = g_new0 (Rls, 1);

  rls->node = node;
  rls->h2o = h2o;
  rls->link = h2o_mem_alloc_shared (&h2o->pool, sizeof *rls->link, on_h2o_disposed);
  rls->link->rls = rls;
  rls->id = hsv_header (h2o, node->headers.request_id);
  rls->ups = ups;
  ups->relayed++;
  msg_take (&rls->message, h2o, dropped);
  rls->ends_at_ms = MIN (clk_now_ms () + deadline_ms, nod_answers_until_ms (node));
  uv_timer_init (node->loop, &rls->timer);
  rls->timer.data = rls;
  uv_timer_start (&rls->timer, on_ends, rls->ends_at_ms - MIN (clk_now_ms (), rls->ends_at_ms), 0);
  rls->gone_key = hsv_watch_gone (node->relay, h2o, on_asker_gone, rls);
  node->open++;
  node->counters.relayed++;
  return rls;
}

/* RLY_ANSWERED when it can be sent on. */
static RlyEnd
check (const Node *node, const Ups *ups, uint32_t deadline_ms)
{
  if (ups == NULL || deadline_ms == 0 || nod_is_late (node))
    return RLY_REFUSED;
  return chs_accepts_requests (node, ups) ? RLY_ANSWERED : RLY_WITHDRAWN;
}

static void
refuse (const Node *node, h2o_req_t *h2o, RlyEnd end)
{
  char *id = hsv_header (h2o, node->headers.request_id);

  answer_end (node, h2o, id, end);
  g_free (id);
}

/* The same as the upstream's own refusal. */
static void
answer_paused (const Node *node, h2o_req_t *h2o, const Ups *ups)
{
  uint64_t left_ms = ups->paused_until_ms - clk_now_ms ();
  char *id = hsv_header (h2o, node->headers.request_id);
  char seconds[32];

  g_snprintf (seconds, sizeof seconds, "%u.%03u", (uint32_t) (left_ms / 1000),
              (uint32_t) (left_ms % 1000));
  if (id != NULL)
    hsv_add_header (h2o, node->headers.request_id, id);
  hsv_add_header (h2o, node->headers.not_run, "1");
  hsv_add_header (h2o, "retry-after", seconds);
  hsv_reply (h2o, STATUS_NOT_RUN, "text/plain", "paused");
  g_free (id);
}

void
rls_request (Node *node, h2o_req_t *h2o)
{
  char *instance = hsv_header (h2o, node->headers.instance);
  Ups *ups = instance != NULL ? ups_get (&node->upstreams, instance) : NULL;
  uint32_t deadline_ms = read_deadline_ms (node, h2o);
  RlyEnd end = check (node, ups, deadline_ms);

  g_free (instance);
  if (end != RLY_ANSWERED)
    {
      refuse (node, h2o, end);
      return;
    }
  if (clk_now_ms () < ups->paused_until_ms)
    {
      answer_paused (node, h2o, ups);
      return;
    }
  Rls *rls = rls_new (node, h2o, ups, deadline_ms);
  UcnSpec spec = { .build = build_message,
                   .id_header = rls->id != NULL ? node->headers.request_id : NULL,
                   .id = rls->id,
                   .method_is_head = strcmp (rls->message.method, "HEAD") == 0,
                   .fresh = rls->id == NULL,
                   .idle_max_ms = UPS_SAFE_IDLE_MS,
                   .connect_timeout_ms = UPS_CONNECT_TIMEOUT_MS };
  rls->call = ucn_start (&ups->pool, &spec, on_done, rls);
}
