/* Exchange between nodes: receives their messages, and sends views and summaries periodically. */
#include "exc.h"

#include "upd.h"
#include "sum.h"
#include "vws.h"

#define TOTALS_PERIOD_MS 1000

static void
apply_message (Per *per, peer_message *message, NetAddr from, uint64_t now_ms)
{
  switch (message->kind)
    {
    case PEER_VIEW:
      vws_apply (per, &message->peer_message_u.view, from, now_ms);
      break;
    case PEER_SUMMARY:
      sum_apply (per, &message->peer_message_u.summary, from, now_ms);
      break;
    case PEER_UPDATE:
      upd_apply (per, &message->peer_message_u.update, from, now_ms);
      break;
    }
}

void
exc_receive (Per *per, const char *data, uint32_t size, NetAddr from, uint64_t now_ms)
{
  peer_message message = { 0 };
  XDR xdr;

  per->received++;
  per->received_bytes += size;
  xdrmem_create (&xdr, (char *) data, size, XDR_DECODE);
  if (xdr_peer_message (&xdr, &message))
    {
      apply_message (per, &message, from, now_ms);
      trf_add_received (
          trf_count (per->traffic, per_purpose (&message), per_distance_of (per, from)), size);
    }
  else
    per->garbled++;
  xdr_free ((xdrproc_t) xdr_peer_message, (char *) &message);
  xdr_destroy (&xdr);
}

/* ---- Quotas ---- */

static bool
is_known (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  (void) per;
  if (per_is_alive (peer, now_ms))
    return true;
  if (peer->left || peer->state == PER_STOPPING)
    return false;
  return peer->last_seen_ms != 0 ? now_ms - peer->last_seen_ms < QUO_PEER_GONE_MS
                                 : now_ms - peer->known_since_ms < PER_LONG_SILENT_MS;
}

static uint32_t
view_limit_ms (const Per *per)
{
  return MAX (PER_RECENT_MS, 3 * per_view_period_ms (per));
}

/* The node's counts arrive: in views, or in summaries of its zone. */
static bool
is_counted (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  if (!per_is_alive (peer, now_ms))
    return false;
  if (!peer->in_summaries)
    return peer->last_view_ms != 0 && now_ms - peer->last_view_ms < view_limit_ms (per);
  return peer->zone < ZONES_MAX && per->summary_received_ms[peer->zone] != 0
         && now_ms - per->summary_received_ms[peer->zone] < QUO_ZONE_SILENT_MS;
}

/* The node's counts arrive in its own views. */
static bool
is_counted_directly (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  return !peer->in_summaries && is_counted (per, peer, now_ms);
}

/* It has counted for a window, as its last view says. */
static bool
is_settled (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  return is_counted_directly (per, peer, now_ms)
         && quo_is_settled (per->quotas, peer->view.quota_age_ms);
}

/* The longest view period in any zone: the larger a zone, the later its sums know of a request. */
static uint32_t
longest_view_period_ms (const Per *per, uint64_t now_ms)
{
  uint32_t longest_ms = per_view_period_ms (per);

  for (uint32_t zone = 0; zone < ZONES_MAX; zone++)
    if (sum_is_current (per, zone, now_ms))
      longest_ms
          = MAX (longest_ms, per->summaries[zone].members.members_len * 1000 / PER_VIEWS_PER_S);
  return longest_ms;
}

static void
update_quotas (Per *per, uint64_t now_ms)
{
  uint32_t direct = per_count_if (per, is_counted_directly, now_ms);
  uint32_t settled = per_count_if (per, is_settled, now_ms);
  QuoFleet fleet = { .node = per->self.hash,
                     .known = 1 + per_count_if (per, is_known, now_ms),
                     .heard = 1 + per_count_if (per, is_counted, now_ms),
                     .report_delay_ms = longest_view_period_ms (per, now_ms) + QUO_TRANSIT_MS,
                     .silence_ms = view_limit_ms (per),
                     .settled_permille = settled * 1000 / MAX (direct, 1),
                     .view_hold_ms = 2 * per_view_period_ms (per) + PER_TICK_MS };

  if (per->zoned)
    {
      fleet.silence_ms = MAX (fleet.silence_ms, QUO_ZONE_SILENT_MS);
      fleet.report_delay_ms += SUM_PERIOD_MS + PER_TICK_MS;
    }
  quo_set_fleet (per->quotas, &fleet, now_ms);
}

void
exc_tick (Per *per, uint64_t now_ms)
{
  per_compensate_pause (per, now_ms);
  per_update_cells (per, now_ms);
  if (quo_is_active (per->quotas))
    update_quotas (per, now_ms);
  vws_tick (per, now_ms);
  sum_tick (per, now_ms);
  if (now_ms - per->totals_updated_ms < TOTALS_PERIOD_MS)
    return;
  per->totals_updated_ms = now_ms;
  vws_recompute_totals (per, now_ms);
  sum_add_totals (per, now_ms);
}
