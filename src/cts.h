/* Control share: control work on a loop of its own, which gets its turn between requests. */
#pragma once

#include "met.h"

#include <stdbool.h>
#include <uv.h>

/** typedef CtsFn - runs after the control loop; true when more control work is known to wait */
typedef bool (*CtsFn) (void *user);

/**
 * struct Cts - the control loop and when it last ran
 * @loop: sockets and timers of control work belong to it
 * @running: control work is under way, so that it does not begin anew within itself
 * @gaps: times between the end of control work and its next beginning
 */
typedef struct
{
  uv_loop_t loop;
  CtsFn fn;
  void *user;
  bool running;
  uint64_t ended_at_ms;
  uint64_t worst_gap_ms;
  MetHistogram gaps;
} Cts;

/** cts_init() - prepares the loop; @fn may be NULL. */
void cts_init (Cts *cts, CtsFn fn, void *user);

/**
 * cts_step() - does the control work that waits, if CTS_PERIOD_MS passed since the last
 *
 * Called by the loop of requests: at its tick, and before each step of its own work.
 */
void cts_step (Cts *cts, uint64_t now_ms);

/** cts_clear() - releases the loop, if nothing is left on it; else it lasts as long as the process.
 */
void cts_clear (Cts *cts);
