/* Control scheduler: runs control work, which has an event loop of its own, between the steps of
 * request processing. */
#pragma once

#include "met.h"

#include <stdbool.h>
#include <uv.h>

/** typedef CtsFn - runs after each iteration of the control loop; true when more work is pending */
typedef bool (*CtsFn) (void *user);

/**
 * struct Cts - scheduler of one control loop
 * @loop: control loop, which has the sockets and timers of control work
 * @fn: runs after each iteration; may be NULL
 * @running: control work is running, to prevent reentrance
 * @ended_at_ms: end of the last run, 0 before the first
 * @longest_gap_ms: longest gap
 * @gaps: time from the end of a run to the start of the next, in microseconds; 0 for the first run
 */
typedef struct
{
  uv_loop_t loop;
  CtsFn fn;
  void *user;
  bool running;
  uint64_t ended_at_ms;
  uint64_t longest_gap_ms;
  MetHistogram gaps;
} Cts;

/** cts_init() - initializes the control loop; @fn may be NULL. */
void cts_init (Cts *cts, CtsFn fn, void *user);

/**
 * cts_run() - runs pending control work, unless the last run ended less than CTS_PERIOD_MS ago
 *
 * Runs up to CTS_ITERATIONS_MAX iterations of the control loop without blocking. To be called from
 * the loop that processes requests: by a timer, and before each step of request processing.
 */
void cts_run (Cts *cts, uint64_t now_ms);

/** cts_clear() - closes the control loop if it has no open handles; otherwise it stays until the
 * process ends. */
void cts_clear (Cts *cts);
