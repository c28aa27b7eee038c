/* Liveness of the VM's own entry: a refused connection proves that its process has ended. */
#include "steer.h"

#include <string.h>

#define CHECK_PERIOD_MS 500
#define SILENCE_MS 1000

typedef struct
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  Steer *steer;
} Attempt;

static void
on_closed (uv_handle_t *handle)
{
  g_free (handle);
}

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

static void
on_connect (uv_connect_t *connect, int status)
{
  Attempt *attempt = connect->data;

  if (status == UV_ECONNREFUSED)
    report_ended (attempt->steer);
  uv_close ((uv_handle_t *) &attempt->tcp, on_closed);
}

static void
on_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  struct sockaddr_in sin = net_addr_sockaddr (mem_self (&steer->members)->entry_rpc);
  Attempt *attempt;

  if (steer->local_sync_at_ms == 0 || steer_now_ms (steer) - steer->local_sync_at_ms < SILENCE_MS)
    return;
  attempt = g_new0 (Attempt, 1);
  attempt->steer = steer;
  attempt->connect.data = attempt;
  uv_tcp_init (steer->loop, &attempt->tcp);
  if (uv_tcp_connect (&attempt->connect, &attempt->tcp, (struct sockaddr *) &sin, on_connect) != 0)
    uv_close ((uv_handle_t *) &attempt->tcp, on_closed);
}

void
liv_start (Steer *steer)
{
  uv_timer_t *timer = g_new0 (uv_timer_t, 1);

  uv_timer_init (steer->loop, timer);
  timer->data = steer;
  uv_timer_start (timer, on_tick, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
}
