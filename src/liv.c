/* Liveness of this VM's entry: a refused connection shows that the process has ended. */
#include "crs.h"
#include "steer.h"

#define LIVENESS_CHECK_PERIOD_MS 500
#define SYNC_SILENCE_MIN_MS 1000

/* Marks the process of the last report as ended, so that the planner can reuse its budget. */
static void
record_entry_end (Steer *steer)
{
  SteerReport *last = g_hash_table_lookup (steer->reports, steer->vm);

  if (last == NULL || !last->direct)
    return;
  if (!last->report.ended)
    log_event (&steer->log, LOG_WARN, "entry_ended", "incarnation=%llu",
               (unsigned long long) last->report.incarnation);
  last->report.ended = true;
  last->received_at_ms = steer_now_ms (steer);
  mem_set_self (&steer->members, MEM_ALIVE, 0);
  mem_set_entry_ended (&steer->members, last->report.incarnation);
  if (ldr_is_planner (steer))
    ldr_apply_report (steer, &last->report);
}

/* An entry that synced since the check began is a new process, and has not ended. */
static void
on_crash_check (void *user, bool crashed)
{
  Steer *steer = user;

  if (crashed && steer_now_ms (steer) - steer->local_sync_at_ms >= SYNC_SILENCE_MIN_MS)
    record_entry_end (steer);
}

static void
on_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;

  if (steer->local_sync_at_ms == 0
      || steer_now_ms (steer) - steer->local_sync_at_ms < SYNC_SILENCE_MIN_MS)
    return;
  crs_check (steer->loop, mem_self (&steer->members)->entry_rpc, on_crash_check, steer);
}

void
liv_start (Steer *steer)
{
  uv_timer_t *timer = g_new0 (uv_timer_t, 1);

  uv_timer_init (steer->loop, timer);
  timer->data = steer;
  uv_timer_start (timer, on_tick, LIVENESS_CHECK_PERIOD_MS, LIVENESS_CHECK_PERIOD_MS);
}
