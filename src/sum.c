/* Zone summaries: totals over the views of the nodes of a zone, sent to the other zones. */
#include "sum.h"

#include "dms.h"
#include "upd.h"
#include "vws.h"

#include <string.h>

/* ---- Totals over the summaries ---- */

/* Adds the counts of a zone's summary to the upstreams' totals, or subtracts them. */
static void
count_reports (const Per *per, const peer_summary *summary, bool add)
{
  for (u_int i = 0; i < summary->loads.loads_len; i++)
    {
      const peer_count *load = &summary->loads.loads_val[i];
      Ups *ups = ups_by_hash (per->upstreams, load->upstream);
      if (ups != NULL)
        ups_adjust_total (&ups->others, load->count, add);
    }
  for (u_int i = 0; i < summary->down.down_len; i++)
    {
      const peer_count *report = &summary->down.down_val[i];
      Ups *ups = ups_by_hash (per->upstreams, report->upstream);
      if (ups != NULL)
        ups_adjust_total (&ups->down_reports, report->count, add);
    }
}

bool
sum_is_current (const Per *per, uint32_t zone, uint64_t now_ms)
{
  return per->zoned && zone != per->self.zone_index && per->summary_received_ms[zone] != 0
         && now_ms - per->summary_received_ms[zone] < SUM_AGE_MAX_MS;
}

void
sum_add_totals (const Per *per, uint64_t now_ms)
{
  for (uint32_t zone = 0; zone < ZONES_MAX; zone++)
    if (sum_is_current (per, zone, now_ms))
      count_reports (per, &per->summaries[zone], true);
}

/* ---- Receiving ---- */

static void
apply_members (Per *per, const peer_summary *summary, uint64_t now_ms)
{
  uint64_t era
      = per_newest_era (summary->revisions.revisions_val, summary->revisions.revisions_len);

  for (u_int i = 0; i < summary->members.members_len; i++)
    {
      const peer_reported_member *reported = &summary->members.members_val[i];
      PerPeer *peer = per_apply_member (per, &reported->member,
                                        now_ms - MIN (reported->age_ms, now_ms), now_ms);
      if (peer != NULL)
        peer->era = MAX (peer->era, era);
    }
}

/* A node that reports its zone also sends views of its own, whose source is its hash itself. */
static void
apply_quotas (const Per *per, const peer_summary *summary, uint64_t now_ms)
{
  if (quo_is_active (per->quotas))
    quo_apply_counts (per->quotas, ~(uint32_t) (summary->quota_source >> 32),
                      (uint32_t) summary->quota_source, summary->members.members_len, false,
                      summary->quotas.quotas_val, summary->quotas.quotas_len, now_ms);
}

static void
forward_in_zone (Per *per, const peer_summary *summary)
{
  peer_message message = { .kind = PEER_SUMMARY };

  message.peer_message_u.summary = *summary;
  message.peer_message_u.summary.relay = false;
  if (per->own_cell->len > 0)
    per_send (per, &message, (PerPeer *const *) per->own_cell->pdata, per->own_cell->len);
}

void
sum_apply (Per *per, peer_summary *summary, NetAddr from, uint64_t now_ms)
{
  uint32_t zone = per->zone_of (per->user, summary->zone);

  if (zone >= ZONES_MAX || zone == per->self.zone_index)
    return;
  if (summary->relay)
    {
      forward_in_zone (per, summary);
      upd_check_revisions (per, summary->revisions.revisions_val, summary->revisions.revisions_len,
                           from, now_ms);
    }
  per_defer_removal (per, summary->removal_defer_ms, now_ms);
  apply_members (per, summary, now_ms);
  vws_apply_leaving (per, summary->leaving.leaving_val, summary->leaving.leaving_len);
  per_apply_crashes (per, summary->crashes.crashes_val, summary->crashes.crashes_len, now_ms);
  if (sum_is_current (per, zone, now_ms))
    count_reports (per, &per->summaries[zone], false);
  xdr_free ((xdrproc_t) xdr_peer_summary, &per->summaries[zone]);
  per->summaries[zone] = *summary;
  memset (summary, 0, sizeof *summary);
  per->summary_received_ms[zone] = now_ms;
  if (sum_is_current (per, zone, now_ms))
    {
      count_reports (per, &per->summaries[zone], true);
      apply_quotas (per, &per->summaries[zone], now_ms);
    }
}

/* ---- Sending ---- */

/* Member record of a peer in the own zone, from its latest view. */
static peer_member
member_of (const Per *per, const PerPeer *peer)
{
  return (peer_member){ .vm = (char *) peer->vm,
                        .zone = (char *) per->self.zone,
                        .ip = peer->front.ip,
                        .front_port = peer->front.port,
                        .peer_port = peer->addr.port,
                        .relay_port = peer->relay.port,
                        .incarnation = peer->incarnation,
                        .capacity = peer->capacity,
                        .state = peer->state,
                        .watch = peer->watch };
}

static u_int
list_zone_members (const Per *per, peer_reported_member *members, uint64_t now_ms)
{
  u_int count = 0;

  members[count++] = (peer_reported_member){ .member = per_own_member (per), .age_ms = 0 };
  for (guint i = 0; i < per->own_cell->len && count < SUM_MEMBERS_MAX; i++)
    {
      const PerPeer *peer = g_ptr_array_index (per->own_cell, i);
      if (peer->last_view_ms == 0)
        continue;
      members[count++] = (peer_reported_member){ .member = member_of (per, peer),
                                                 .age_ms = (u_int) (now_ms - peer->last_seen_ms) };
    }
  return count;
}

static void
add_zone_counts (const Per *per, peer_summary *summary)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Ups *ups = value;
      uint32_t load = ups->others_in_views + ups->in_flight;
      uint32_t down = ups->down_reports_in_views + (!ups->gone && ups_is_down (ups) ? 1 : 0);
      if (load > 0 && summary->loads.loads_len < PER_LOADS_MAX)
        summary->loads.loads_val[summary->loads.loads_len++]
            = (peer_count){ .upstream = ups->hash, .count = load };
      if (down > 0 && summary->down.down_len < PER_DOWN_MAX)
        summary->down.down_val[summary->down.down_len++]
            = (peer_count){ .upstream = ups->hash, .count = down };
    }
}

/* Selects one node of each other zone as the relay, round robin from one summary to the next. */
static uint32_t
find_relays (const Per *per, PerPeer **relays, uint64_t now_ms)
{
  PerPeer *live[ZONES_MAX][SUM_MEMBERS_MAX];
  uint32_t counts[ZONES_MAX] = { 0 };
  uint32_t found = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      if (peer->own_cell || peer->zone >= ZONES_MAX || counts[peer->zone] >= SUM_MEMBERS_MAX)
        continue;
      if (per_is_alive (peer, now_ms) || peer->is_head)
        live[peer->zone][counts[peer->zone]++] = peer;
    }
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    if (counts[z] > 0)
      relays[found++] = live[z][ovl_relay (z, per->summary_sequence, counts[z])];
  return found;
}

/* True when no node that ranks before the own one in the zone has sent a view recently. */
static bool
is_zone_reporter (const Per *per, uint64_t now_ms)
{
  for (guint i = 0; i < per->rank; i++)
    if (per_is_recent (per, g_ptr_array_index (per->own_cell, i), now_ms))
      return false;
  return true;
}

/* Identifies the sender of a zone's counts and its incarnation. */
static uint64_t
own_quota_source (const Per *per)
{
  return (uint64_t) per->self.hash << 32 | (uint32_t) per->self.incarnation;
}

static void
send_summary (Per *per, uint64_t now_ms)
{
  peer_reported_member members[SUM_MEMBERS_MAX];
  peer_count loads[PER_LOADS_MAX];
  peer_count down[PER_DOWN_MAX];
  peer_crash crashes[PER_CRASHES_MAX];
  peer_revision revisions[PER_REVISIONS_MAX];
  peer_service services[PER_SERVICES_MAX];
  peer_leaving leaving[PER_LEAVING_MAX];
  peer_quota quotas[QUO_SUMMARY_MAX];
  PerPeer *relays[ZONES_MAX];
  peer_message message = { .kind = PEER_SUMMARY };
  peer_summary *summary = &message.peer_message_u.summary;

  summary->zone = (char *) per->self.zone;
  summary->relay = true;
  summary->removal_defer_ms = per_advertised_defer_ms (per, now_ms);
  summary->loads.loads_val = loads;
  summary->down.down_val = down;
  add_zone_counts (per, summary);
  summary->members.members_val = members;
  summary->members.members_len = list_zone_members (per, members, now_ms);
  summary->crashes.crashes_val = crashes;
  summary->crashes.crashes_len = per_list_crashes (per, crashes, PER_CRASHES_MAX, now_ms);
  summary->revisions.revisions_val = revisions;
  summary->revisions.revisions_len = per_list_revisions (per, revisions, PER_REVISIONS_MAX);
  summary->leaving.leaving_val = leaving;
  summary->leaving.leaving_len = vws_list_leaving (per, leaving, PER_LEAVING_MAX);
  summary->quota_source = own_quota_source (per);
  summary->quotas.quotas_val = quotas;
  if (quo_is_active (per->quotas))
    summary->quotas.quotas_len = quo_list_zone (per->quotas, quotas, QUO_SUMMARY_MAX, now_ms);
  summary->services.services_val = services;
  summary->services.services_len = dms_cell_demand (per, services, PER_SERVICES_MAX, now_ms);
  per_send (per, &message, relays, find_relays (per, relays, now_ms));
  per->summary_sequence++;
}

void
sum_tick (Per *per, uint64_t now_ms)
{
  if (!per->zoned || now_ms - per->summary_sent_ms < SUM_PERIOD_MS)
    return;
  if (!is_zone_reporter (per, now_ms))
    return;
  per->summary_sent_ms = now_ms;
  send_summary (per, now_ms);
}
