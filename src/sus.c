/* Crash suspicion: which requests an upstream was running when it crashed. */
#include "sus.h"

#include "crs.h"

/**
 * struct SusCheck - scheduled check of one upstream
 * @upstream: its ID; the upstream may be removed before the check ends
 */
typedef struct
{
  uv_timer_t delay;
  Node *node;
  char upstream[NAME_MAX_BYTES];
} SusCheck;

static void
on_delay_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_checked (void *user, bool crashed)
{
  SusCheck *check = user;
  Ups *ups = ups_get (&check->node->upstreams, check->upstream);

  if (ups != NULL)
    {
      ups->crash_check_pending = false;
      if (crashed)
        sus_record_refusal (check->node, ups);
    }
  uv_close ((uv_handle_t *) &check->delay, on_delay_closed);
}

static void
on_delay_elapsed (uv_timer_t *timer)
{
  SusCheck *check = timer->data;
  const Ups *ups = ups_get (&check->node->upstreams, check->upstream);

  if (ups == NULL)
    uv_close ((uv_handle_t *) timer, on_delay_closed);
  else
    crs_check (check->node->loop, ups->record.addr, on_checked, check);
}

static void
schedule_check (Node *node, Ups *ups)
{
  if (ups->crash_check_pending)
    return;
  SusCheck *check = g_new0 (SusCheck, 1);
  check->node = node;
  g_strlcpy (check->upstream, ups->record.id, sizeof check->upstream);
  uv_timer_init (node->loop, &check->delay);
  check->delay.data = check;
  uv_timer_start (&check->delay, on_delay_elapsed, SUS_CHECK_DELAY_MS, 0);
  ups->crash_check_pending = true;
}

void
sus_record_loss (Node *node, Ups *ups, uint64_t fingerprint)
{
  ups_record_lost_request (ups, fingerprint, clk_now_ms ());
  schedule_check (node, ups);
}

void
sus_record_refusal (Node *node, Ups *ups)
{
  uint64_t fingerprints[UPS_LOST_MAX];
  uint64_t now_ms = clk_now_ms ();
  uint32_t count = ups_pop_lost_requests (ups, fingerprints, now_ms);

  for (uint32_t i = 0; i < count; i++)
    {
      const PoiSuspect *suspect = poi_record_crash (&node->poison, fingerprints[i], now_ms);
      log_event (&node->log, LOG_WARN, "crash_suspected", "upstream=%s fingerprint=%llx crashes=%u",
                 ups->record.id, (unsigned long long) fingerprints[i], suspect->crashes);
    }
}
