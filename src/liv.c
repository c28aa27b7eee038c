/* Liveness of the VM's own entry: a refused connection proves that its process has ended. */
#include "crs.h"
#include "steer.h"

#define CHECK_PERIOD_MS 500
#define SILENCE_MS 1000

/* States that the process of the last report has ended, so that its budget can be used again. */
static void
report_ended (Steer *steer)
{
  SteerReport *kept = g_hash_table_lookup (steer->reports, steer->vm);

  if (kept == NULL || !kept->direct)
    return;
  if (!kept->report.ended)
    log_event (&steer->log, LOG_WARN, "entry_ended", "incarnation=%llu",
               (unsigned long long) kept->report.incarnation);
  kept->report.ended = true;
  kept->received_at_ms = steer_now_ms (steer);
  mem_set_self (&steer->members, MEM_ALIVE, 0);
  mem_set_entry_ended (&steer->members, kept->report.incarnation);
  if (ldr_is_planner (steer))
    ldr_take_report (steer, &kept->report);
}

/* An entry that reported again since the check began is a new process. */
static void
on_checked (void *user, bool crashed)
{
  Steer *steer = user;

  if (crashed && steer_now_ms (steer) - steer->local_sync_at_ms >= SILENCE_MS)
    report_ended (steer);
}

static void
on_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;

  if (steer->local_sync_at_ms == 0 || steer_now_ms (steer) - steer->local_sync_at_ms < SILENCE_MS)
    return;
  crs_check (steer->loop, mem_self (&steer->members)->entry_rpc, on_checked, steer);
}

void
liv_start (Steer *steer)
{
  uv_timer_t *timer = g_new0 (uv_timer_t, 1);

  uv_timer_init (steer->loop, timer);
  timer->data = steer;
  uv_timer_start (timer, on_tick, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
}
