/* Event loop stalls: measures the duration of each iteration of the loop. */
#include "lag.h"

#include "lim.h"

#define NS_PER_US 1000u
#define US_PER_MS 1000u
#define NS_PER_MS 1000000u
#define LOG_INTERVAL_NS 1000000000ull

void
lag_record_iteration (Lag *lag, uint64_t duration_us, uint64_t now_ns)
{
  met_observe (&lag->iterations, duration_us);
  if (duration_us > lag->longest_us)
    lag->longest_us = duration_us;
  if (duration_us < LAG_STALL_MS * US_PER_MS)
    return;
  lag->stalls++;
  if (lag->last_logged_ns != 0 && now_ns - lag->last_logged_ns < LOG_INTERVAL_NS)
    return;
  lag->last_logged_ns = now_ns;
  log_event (lag->log, LOG_WARN, "loop_stalled", "took_ms=%llu limit_ms=%u stalls=%llu",
             (unsigned long long) (duration_us / US_PER_MS), LAG_STALL_MS,
             (unsigned long long) lag->stalls);
}

/* libuv runs I/O callbacks before check handles. The iteration therefore starts at the loop's
 * cached time, which libuv updates when the poll returns. */
static void
on_check (uv_check_t *check)
{
  Lag *lag = check->data;

  lag->iteration_start_ns = uv_now (check->loop) * NS_PER_MS;
}

static void
on_prepare (uv_prepare_t *prepare)
{
  Lag *lag = prepare->data;
  uint64_t now_ns = uv_hrtime ();

  if (lag->iteration_start_ns != 0)
    lag_record_iteration (lag, (now_ns - lag->iteration_start_ns) / NS_PER_US, now_ns);
  lag->iteration_start_ns = 0;
}

void
lag_start (Lag *lag, uv_loop_t *loop, const Log *log)
{
  lag->log = log;
  uv_check_init (loop, &lag->check);
  uv_prepare_init (loop, &lag->prepare);
  lag->check.data = lag;
  lag->prepare.data = lag;
  uv_check_start (&lag->check, on_check);
  uv_prepare_start (&lag->prepare, on_prepare);
  uv_unref ((uv_handle_t *) &lag->check);
  uv_unref ((uv_handle_t *) &lag->prepare);
}
