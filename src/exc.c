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
    apply_message (per, &message, from, now_ms);
  else
    per->garbled++;
  xdr_free ((xdrproc_t) xdr_peer_message, (char *) &message);
  xdr_destroy (&xdr);
}

void
exc_tick (Per *per, uint64_t now_ms)
{
  per_compensate_pause (per, now_ms);
  per_update_cells (per, now_ms);
  vws_tick (per, now_ms);
  sum_tick (per, now_ms);
  if (now_ms - per->totals_updated_ms < TOTALS_PERIOD_MS)
    return;
  per->totals_updated_ms = now_ms;
  vws_recompute_totals (per, now_ms);
  sum_add_totals (per, now_ms);
}
