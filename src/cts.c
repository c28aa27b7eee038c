/* Control scheduler: runs control work, which has an event loop of its own, between the steps of
 * request processing. */
#include "cts.h"

#include "clk.h"
#include "lim.h"

#define US_PER_MS 1000u

void
cts_init (Cts *cts, CtsFn fn, void *user)
{
  uv_loop_init (&cts->loop);
  cts->fn = fn;
  cts->user = user;
}

static void
record_gap (Cts *cts, uint64_t now_ms)
{
  uint64_t gap_ms = cts->ended_at_ms != 0 ? now_ms - cts->ended_at_ms : 0;

  met_observe (&cts->gaps, gap_ms * US_PER_MS);
  if (gap_ms > cts->longest_gap_ms)
    cts->longest_gap_ms = gap_ms;
}

void
cts_run (Cts *cts, uint64_t now_ms)
{
  bool pending = true;

  if (cts->running || (cts->ended_at_ms != 0 && now_ms - cts->ended_at_ms < CTS_PERIOD_MS))
    return;
  record_gap (cts, now_ms);
  cts->running = true;
  for (uint32_t i = 0; pending && i < CTS_ITERATIONS_MAX; i++)
    {
      uv_run (&cts->loop, UV_RUN_NOWAIT);
      pending = cts->fn != NULL && cts->fn (cts->user);
    }
  cts->running = false;
  cts->ended_at_ms = clk_now_ms ();
}

void
cts_clear (Cts *cts)
{
  uv_loop_close (&cts->loop);
}
