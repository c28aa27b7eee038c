/* Control share: control work on a loop of its own, which gets its turn between requests. */
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
note_gap (Cts *cts, uint64_t now_ms)
{
  uint64_t gap_ms = cts->ended_at_ms != 0 ? now_ms - cts->ended_at_ms : 0;

  met_observe (&cts->gaps, gap_ms * US_PER_MS);
  if (gap_ms > cts->worst_gap_ms)
    cts->worst_gap_ms = gap_ms;
}

void
cts_step (Cts *cts, uint64_t now_ms)
{
  bool more = true;

  if (cts->running || (cts->ended_at_ms != 0 && now_ms - cts->ended_at_ms < CTS_PERIOD_MS))
    return;
  note_gap (cts, now_ms);
  cts->running = true;
  for (uint32_t round = 0; more && round < CTS_ROUNDS_MAX; round++)
    {
      uv_run (&cts->loop, UV_RUN_NOWAIT);
      more = cts->fn != NULL && cts->fn (cts->user);
    }
  cts->running = false;
  cts->ended_at_ms = clk_now_ms ();
}

void
cts_clear (Cts *cts)
{
  uv_loop_close (&cts->loop);
}
