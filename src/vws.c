/* Views: messages in which a node reports its own state and its view of the upstreams. */
#include "vws.h"

#include "upd.h"

#include <string.h>

/* ---- Totals over the views of peers ---- */

/* Adds the counts of a peer's view to the upstreams' totals, or subtracts them. */
static void
count_reports (const Per *per, PerPeer *peer, bool add)
{
  peer->in_totals = add;
  for (u_int i = 0; i < peer->view.loads.loads_len; i++)
    {
      const peer_count *load = &peer->view.loads.loads_val[i];
      Ups *ups = ups_by_hash (per->upstreams, load->upstream);
      if (ups == NULL)
        continue;
      ups_adjust_total (&ups->others, load->count, add);
      ups_adjust_total (&ups->others_in_views, load->count, add);
    }
  for (u_int i = 0; i < peer->view.down.down_len; i++)
    {
      Ups *ups = ups_by_hash (per->upstreams, peer->view.down.down_val[i]);
      if (ups == NULL)
        continue;
      ups_adjust_total (&ups->down_reports, 1, add);
      ups_adjust_total (&ups->down_reports_in_views, 1, add);
    }
}

static void
clear_totals (const Per *per)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Ups *ups = value;
      ups->others = 0;
      ups->others_in_views = 0;
      ups->down_reports = 0;
      ups->down_reports_in_views = 0;
    }
}

static bool
reports_directly (const PerPeer *peer)
{
  return !peer->in_summaries;
}

void
vws_recompute_totals (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  clear_totals (per);
  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      peer->in_totals = false;
      if (per_is_alive (peer, now_ms) && reports_directly (peer))
        count_reports (per, peer, true);
    }
}

/* ---- Leaving upstreams ---- */

/* A random sample when there are more than @capacity, so that each of them is reported in turn. */
u_int
vws_list_leaving (const Per *per, peer_leaving *leaving, u_int capacity)
{
  GHashTableIter iter;
  gpointer value;
  u_int count = 0;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Ups *ups = value;
      if (!ups->leaving || ups->gone || ups->record.draining)
        continue;
      u_int at = count < capacity ? count : (u_int) g_random_int_range (0, (gint32) count + 1);
      if (at < capacity)
        leaving[at] = (peer_leaving){ .upstream = ups->hash, .born_ms = ups->record.born_ms };
      count++;
    }
  return MIN (count, capacity);
}

void
vws_apply_leaving (const Per *per, const peer_leaving *leaving, u_int count)
{
  for (u_int i = 0; i < count; i++)
    {
      Ups *ups = ups_by_hash (per->upstreams, leaving[i].upstream);
      if (ups != NULL && ups_mark_leaving (ups, leaving[i].born_ms))
        log_event (per->log, LOG_INFO, "upstream_leaves", "upstream=%s told_by=peer",
                   ups->record.id);
    }
}

/* ---- Receiving ---- */

static void
apply_quotas (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  if (quo_is_active (per->quotas))
    quo_apply_counts (per->quotas, peer->hash, peer->incarnation, 1, peer->own_cell,
                      peer->view.quotas.quotas_val, peer->view.quotas.quotas_len, now_ms);
}

void
vws_apply (Per *per, peer_view *view, NetAddr from, uint64_t now_ms)
{
  PerPeer *peer = per_apply_member (per, &view->self, now_ms, now_ms);

  if (peer == NULL)
    return;
  peer->last_view_ms = now_ms;
  if (peer->in_totals)
    count_reports (per, peer, false);
  xdr_free ((xdrproc_t) xdr_peer_view, &peer->view);
  peer->view = *view;
  memset (view, 0, sizeof *view);
  peer->era
      = per_newest_era (peer->view.revisions.revisions_val, peer->view.revisions.revisions_len);
  if (reports_directly (peer))
    {
      count_reports (per, peer, true);
      apply_quotas (per, peer, now_ms);
    }
  per_defer_removal (per, peer->view.removal_defer_ms, now_ms);
  vws_apply_leaving (per, peer->view.leaving.leaving_val, peer->view.leaving.leaving_len);
  per_apply_crashes (per, peer->view.crashes.crashes_val, peer->view.crashes.crashes_len, now_ms);
  upd_check_revisions (per, peer->view.revisions.revisions_val, peer->view.revisions.revisions_len,
                       from, now_ms);
}

/* ---- Sending ---- */

static u_int
list_own_loads (const Per *per, peer_count *loads)
{
  GHashTableIter iter;
  gpointer value;
  u_int length = 0;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (length < PER_LOADS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Ups *ups = value;
      if (ups->in_flight > 0)
        loads[length++] = (peer_count){ .upstream = ups->hash, .count = ups->in_flight };
    }
  return length;
}

static u_int
list_down_upstreams (const Per *per, u_int *down)
{
  GHashTableIter iter;
  gpointer value;
  u_int length = 0;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (length < PER_DOWN_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    if (!((const Ups *) value)->gone && ups_is_down (value))
      down[length++] = ((const Ups *) value)->hash;
  return length;
}

/* Views for nodes of other cells contain neither loads nor down upstreams, services or quotas,
 * which those nodes get in summaries. */
static void
send_view (Per *per, bool with_counts, GPtrArray *peers, uint64_t now_ms)
{
  peer_crash crashes[PER_CRASHES_MAX];
  peer_count loads[PER_LOADS_MAX];
  peer_revision revisions[PER_REVISIONS_MAX];
  peer_leaving leaving[PER_LEAVING_MAX];
  peer_quota quotas[PER_QUOTAS_MAX];
  u_int down[PER_DOWN_MAX];
  peer_message message = { .kind = PEER_VIEW };
  peer_view *view = &message.peer_message_u.view;

  if (peers->len == 0)
    return;
  view->self = per_own_member (per);
  view->removal_defer_ms = per_advertised_defer_ms (per, now_ms);
  view->loads.loads_val = loads;
  view->loads.loads_len = with_counts ? list_own_loads (per, loads) : 0;
  view->crashes.crashes_val = crashes;
  view->crashes.crashes_len = per_list_crashes (per, crashes, PER_CRASHES_MAX, now_ms);
  view->down.down_val = down;
  view->down.down_len = with_counts ? list_down_upstreams (per, down) : 0;
  view->services.services_val = per->services;
  view->services.services_len = with_counts ? per->service_count : 0;
  view->leaving.leaving_val = leaving;
  view->leaving.leaving_len = vws_list_leaving (per, leaving, PER_LEAVING_MAX);
  view->quotas.quotas_val = quotas;
  if (quo_is_active (per->quotas))
    view->quota_age_ms = quo_age_ms (per->quotas, now_ms);
  if (with_counts && quo_is_active (per->quotas))
    view->quotas.quotas_len = quo_list_own (per->quotas, quotas, PER_QUOTAS_MAX, now_ms);
  view->revisions.revisions_val = revisions;
  view->revisions.revisions_len = per_list_revisions (per, revisions, PER_REVISIONS_MAX);
  per_send (per, &message, (PerPeer *const *) peers->pdata, peers->len);
}

/* Period of the views sent to a peer; 0 when it gets summaries instead. A node that watches the
 * store reports its revisions at least every PER_FAST_VIEW_PERIOD_MS, and so do the heads of cells
 * to each other. */
static uint32_t
view_period_ms (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  bool is_frequent = per->self.watch == PER_WATCH_HEALTHY || (peer->is_head && per_is_head (per));
  uint64_t silent_ms = now_ms - MAX (peer->last_seen_ms, peer->known_since_ms);

  if (peer->in_summaries && !(peer->is_head && per_is_head (per)))
    return 0;
  if (!per_is_alive (peer, now_ms))
    return silent_ms < PER_LONG_SILENT_MS ? PER_HEARTBEAT_MS : PER_LONG_SILENT_HEARTBEAT_MS;
  return is_frequent ? MIN (per_view_period_ms (per), PER_FAST_VIEW_PERIOD_MS)
                     : per_view_period_ms (per);
}

static bool
is_due (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  uint32_t period_ms = view_period_ms (per, peer, now_ms);

  return period_ms > 0 && peer->addr.port != 0
         && now_ms - peer->view_sent_ms + PER_TICK_MS / 4 >= period_ms;
}

void
vws_tick (Per *per, uint64_t now_ms)
{
  GPtrArray *full = g_ptr_array_new ();
  GPtrArray *without_counts = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      if (!is_due (per, peer, now_ms))
        continue;
      g_ptr_array_add (reports_directly (peer) ? full : without_counts, peer);
      peer->view_sent_ms = now_ms;
    }
  send_view (per, true, full, now_ms);
  send_view (per, false, without_counts, now_ms);
  g_ptr_array_unref (full);
  g_ptr_array_unref (without_counts);
}
