/* Node status: metrics in the Prometheus text exposition format, and a dump of the state. */
#include "nst.h"

#include "chs.h"
#include "mbs.h"

#include <string.h>

#define PREFIX "cardamom_node_"

/* ---- Metrics ---- */

typedef struct
{
  const char *name;
  size_t offset;
} Counter;

#define COUNTER(field)                                                                             \
  {                                                                                                \
    PREFIX #field "_total", offsetof (NodCounters, field)                                          \
  }

static const Counter counters[] = {
  COUNTER (requests),        COUNTER (answered),       COUNTER (refused),
  COUNTER (may_have_run),    COUNTER (no_route),       COUNTER (callers_gone),
  COUNTER (timeouts),        COUNTER (sends),          COUNTER (retries),
  COUNTER (sheds),           COUNTER (misdirected),    COUNTER (connect_failures),
  COUNTER (poison_refused),  COUNTER (broken_answers), COUNTER (lookups),
  COUNTER (withdrawn),       COUNTER (regions_lost),   COUNTER (spilled),
  COUNTER (held_back),       COUNTER (sent_by_relay),  COUNTER (relayed),
  COUNTER (relays_lost),     COUNTER (unauthorized),   COUNTER (revoked),
  COUNTER (over_quota),      COUNTER (load_reports),   COUNTER (load_reports_invalid),
  COUNTER (leaving_notices), COUNTER (pauses),         COUNTER (pauses_invalid),
  COUNTER (fair_reordered),  COUNTER (fair_yielded),   COUNTER (store_restores),
  COUNTER (watch_timeouts),  COUNTER (watches_silent),
};

static void
write_feedback (const Node *node, uint64_t now_ms, GString *out)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t paused = 0;
  uint64_t leaving = 0;

  g_hash_table_iter_init (&iter, node->upstreams.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Ups *ups = value;
      paused += now_ms < ups->paused_until_ms;
      leaving += ups->leaving;
    }
  met_write_value (out, PREFIX "upstreams_paused", NULL, paused);
  met_write_value (out, PREFIX "upstreams_leaving", NULL, leaving);
}

char *
nst_metrics (const Node *node)
{
  GString *out = g_string_new (NULL);
  uint64_t now_ms = clk_now_ms ();

  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    {
      const char *counter = (const char *) &node->counters + counters[i].offset;
      met_write_value (out, counters[i].name, NULL, *(const uint64_t *) counter);
    }
  mbs_write_metrics (&node->memory, PREFIX, out);
  met_write_value (out, PREFIX "log_lines_dropped_total", NULL,
                   log_dropped (&node->log) + log_dropped (&node->request_log));
  met_write_value (out, PREFIX "open_requests", NULL, node->open_requests);
  met_write_value (out, PREFIX "peers_heard", NULL, per_count (&node->peers, now_ms) - 1);
  met_write_value (out, PREFIX "upstreams", NULL, g_hash_table_size (node->upstreams.by_id));
  met_write_value (out, PREFIX "connections_opened_total", NULL,
                   node->ucn.opened + node->store_connections.opened);
  met_write_value (out, PREFIX "buffered_answer_bytes", NULL, node->ucn.buffered_bytes);
  met_write_value (out, PREFIX "connections_reused_total", NULL,
                   node->ucn.reused + node->store_connections.reused);
  met_write_value (out, PREFIX "messages_sent_total", NULL, node->peers.sent);
  met_write_value (out, PREFIX "message_bytes_sent_total", NULL, node->peers.sent_bytes);
  met_write_value (out, PREFIX "messages_received_total", NULL, node->peers.received);
  met_write_value (out, PREFIX "message_bytes_received_total", NULL, node->peers.received_bytes);
  met_write_value (out, PREFIX "messages_garbled_total", NULL, node->peers.garbled);
  met_write_value (out, PREFIX "message_send_failures_total", NULL, node->peers.send_failures);
  met_write_value (out, PREFIX "messages_waited_most_ms", NULL, node->peers.unread_longest_ms);
  met_write_value (out, PREFIX "news_sent_total", NULL, node->peers.updates_sent);
  met_write_value (out, PREFIX "objects_fetched_total", NULL, node->peers.fetches);
  met_write_value (out, PREFIX "configuration_version", NULL,
                   node->table != NULL ? node->table->version : 0);
  write_feedback (node, now_ms, out);
  met_write_value (out, PREFIX "loop_stalls_total", NULL, node->lag.stalls);
  trf_write_metrics (&node->traffic, PREFIX "traffic_bytes_total", out);
  met_write_histogram (out, PREFIX "answer_seconds", &node->latency);
  met_write_histogram (out, PREFIX "loop_turn_seconds", &node->lag.iterations);
  met_write_histogram (out, PREFIX "control_gap_seconds", &node->control.gaps);
  return g_string_free (out, FALSE);
}

/* ---- State dump ---- */

static const char *const state_names[] = { "starting", "serving", "stopping" };
static const char *const watch_names[] = { "none", "healthy", "failing" };

static void
dump_node (const Node *node, GString *out)
{
  g_string_append_printf (
      out,
      "node=%s zone=%s state=%s config=%llu open=%u store=%s watch=%s "
      "rank=%u zoned=%d stalls=%llu worst_turn_us=%llu unread_ms=%u "
      "worst_unread_ms=%llu worst_control_gap_ms=%llu\n",
      node->settings.vm, node->settings.zone, state_names[node->state],
      (unsigned long long) (node->table != NULL ? node->table->version : 0), node->open_requests,
      node->store_lost ? "lost" : "ok", watch_names[node->peers.self.watch], node->peers.rank,
      node->peers.zoned, (unsigned long long) node->lag.stalls,
      (unsigned long long) node->lag.longest_us, per_unread_ms (&node->peers, clk_now_ms ()),
      (unsigned long long) node->peers.unread_longest_ms,
      (unsigned long long) node->control.longest_gap_ms);
}

static void
dump_budget (const Mbg *mbg, GString *out)
{
  const MbgLimits *limits = &mbg->limits;

  g_string_append_printf (
      out,
      "memory process_max=%llu connections_max=%llu unread_max=%llu small=%llu small_max=%llu "
      "large=%llu large_max=%llu relayed=%llu received=%llu unread=%llu answers_max=%llu "
      "waiting=%u waiting_max=%u callers=%u callers_max=%u\n",
      (unsigned long long) limits->process_bytes, (unsigned long long) limits->connections_bytes,
      (unsigned long long) limits->unread_bytes, (unsigned long long) mbg->used_bytes[MBG_SMALL],
      (unsigned long long) limits->small_bytes, (unsigned long long) mbg->used_bytes[MBG_LARGE],
      (unsigned long long) limits->large_bytes, (unsigned long long) mbg->relayed_bytes,
      (unsigned long long) mbg->receiving_bytes, (unsigned long long) mbg->unread_bytes,
      (unsigned long long) limits->responses_bytes,
      mbg->waiting[MBG_SMALL].length + mbg->waiting[MBG_LARGE].length, limits->waiting,
      mbg->connections, limits->callers);
  g_string_append (out, "turned_away");
  mbs_write_counters (mbg, out);
  g_string_append_c (out, '\n');
}

static void
dump_peers (const Node *node, uint64_t now_ms, GString *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PerPeer *peer = value;
      g_string_append_printf (out, "peer=%s state=%s watch=%s heard_ms=%lld\n", peer->vm,
                              state_names[peer->state], watch_names[peer->watch],
                              peer->last_seen_ms != 0 ? (long long) (now_ms - peer->last_seen_ms)
                                                      : -1LL);
    }
}

static void
dump_learned (const Node *node, const Ups *ups, uint64_t now_ms, GString *out)
{
  const Lrn *learned = &ups->learned;
  const NodService *service = g_hash_table_lookup (node->services, ups->record.service);
  uint32_t slots
      = service != NULL ? chs_good_slots (node, service, ups, now_ms) : ups->record.slots;
  long long report_age_ms
      = learned->reported_at_ms != 0 ? (long long) (now_ms - learned->reported_at_ms) : -1;

  g_string_append_printf (out,
                          " learned_slots=%u learned_slowness=%u lasting_slowness=%u slow=%d "
                          "pace=%u report_trust=%u report_age_ms=%lld\n",
                          slots, learned->recent_permille, learned->lasting_ppm / 1000,
                          learned->slow, lrn_pace_permille (learned, now_ms),
                          learned->trust_permille, report_age_ms);
}

static void
dump_upstreams (const Node *node, uint64_t now_ms, GString *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->upstreams.by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Ups *ups = value;
      g_string_append_printf (
          out,
          "upstream=%s service=%s zone=%s draining=%d gone=%d cold=%d in_flight=%u others=%u "
          "slots=%u failures=%u resting=%d misdirected=%d doubted=%d slowness=%u faults=%u "
          "leaving=%d paused_ms=%llu",
          ups->record.id, ups->record.service, ups->record.zone, ups->record.draining, ups->gone,
          ups_is_cold (ups, now_ms), ups->in_flight, ups->others, ups->record.slots, ups->failures,
          now_ms < ups->backoff_until_ms, ups->misdirected, ups_is_suspected (ups, now_ms),
          ups->slowness_permille, ups->fault_permille, ups->leaving,
          (unsigned long long) (ups->paused_until_ms - MIN (now_ms, ups->paused_until_ms)));
      dump_learned (node, ups, now_ms, out);
    }
}

static void
dump_account (const AccAccount *account, GString *out)
{
  g_string_append_printf (out, "account=%s requests=%llu over_quota=%llu\n", account->name,
                          (unsigned long long) account->requests,
                          (unsigned long long) account->over_quota);
}

/* @admitted: by this node in the last whole window. */
static void
dump_quota (const Node *node, const AccAccount *account, uint64_t now_ms, GString *out)
{
  QuoStatus quota;

  if (account->rate_mps == 0 || !quo_read (node->quotas, account->hash, now_ms, &quota))
    return;
  g_string_append_printf (out,
                          "account_quota=%s rate_mps=%llu burst=%u window_ms=%u admitted=%u "
                          "admitted_now=%u level=%.1f\n",
                          account->name, (unsigned long long) quota.rate_mps, quota.burst,
                          node->settings.quota.window_ms, quota.admitted, quota.admitted_now,
                          quota.level);
}

/* Lines of each of the accounts with the most requests, and one for all others together. */
static void
dump_accounts (const Node *node, uint64_t now_ms, GString *out)
{
  uint64_t requests = 0;
  uint64_t over_quota = 0;

  if (node->table == NULL || node->table->accounts == NULL)
    return;
  GPtrArray *accounts = acc_by_requests (node->table->accounts);
  for (guint i = 0; i < accounts->len; i++)
    {
      const AccAccount *account = g_ptr_array_index (accounts, i);
      if (i < ACC_LISTED_MAX)
        {
          dump_account (account, out);
          dump_quota (node, account, now_ms, out);
          continue;
        }
      requests += account->requests;
      over_quota += account->over_quota;
    }
  g_string_append_printf (out, "other_accounts=%u requests=%llu over_quota=%llu\n",
                          accounts->len > ACC_LISTED_MAX ? accounts->len - ACC_LISTED_MAX : 0,
                          (unsigned long long) requests, (unsigned long long) over_quota);
  g_ptr_array_unref (accounts);
}

static void
dump_flows (const Node *node, uint64_t now_ms, GString *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const NodService *service = value;
      if (service->flows != NULL)
        fqs_dump (service->flows, service->name, now_ms, out);
    }
}

char *
nst_dump_account (const Node *node, const char *name)
{
  GString *out = g_string_new (NULL);
  const AccTable *accounts = node->table != NULL ? node->table->accounts : NULL;
  const AccAccount *account = accounts != NULL ? acc_find_name (accounts, name) : NULL;

  dump_node (node, out);
  if (account != NULL)
    {
      dump_account (account, out);
      dump_quota (node, account, clk_now_ms (), out);
    }
  return g_string_free (out, FALSE);
}

char *
nst_dump (const Node *node)
{
  GString *out = g_string_new (NULL);
  uint64_t now_ms = clk_now_ms ();

  dump_node (node, out);
  dump_budget (&node->memory, out);
  dump_peers (node, now_ms, out);
  dump_upstreams (node, now_ms, out);
  dump_accounts (node, now_ms, out);
  quo_dump (node->quotas, now_ms, out);
  trf_dump (&node->traffic, out);
  dump_flows (node, now_ms, out);
  return g_string_free (out, FALSE);
}

void
nst_serve (void *user, h2o_req_t *h2o)
{
  char *path = hsv_path (h2o);
  char *account = hsv_query (h2o, "account");
  char *text = NULL;

  if (strcmp (path, "/metrics") == 0)
    text = nst_metrics (user);
  else if (strcmp (path, "/state") == 0)
    text = account != NULL ? nst_dump_account (user, account) : nst_dump (user);
  hsv_respond (h2o, text != NULL ? 200 : 404, "text/plain", text != NULL ? text : "not found\n");
  g_free (text);
  g_free (account);
  g_free (path);
}
