/* Event loop stalls: measures the duration of each iteration of the loop. */
#pragma once

#include "log.h"
#include "met.h"

#include <uv.h>

/**
 * struct Lag - monitor of one event loop
 * @iteration_start_ns: start of the current iteration on the clock of uv_hrtime(), 0 between
 * iterations
 * @last_logged_ns: time of the last log line, 0 without one
 * @iterations: duration of each iteration in microseconds, from the end of the poll to the next
 * poll
 * @stalls: number of iterations of at least LAG_STALL_MS
 * @longest_us: duration of the longest iteration
 */
typedef struct
{
  const Log *log;
  uv_check_t check;
  uv_prepare_t prepare;
  uint64_t iteration_start_ns;
  uint64_t last_logged_ns;
  MetHistogram iterations;
  uint64_t stalls;
  uint64_t longest_us;
} Lag;

/** lag_start() - starts to monitor the loop; does not keep it alive. */
void lag_start (Lag *lag, uv_loop_t *loop, const Log *log);

/** lag_record_iteration() - records one iteration and logs stalls, at most one line per second. */
void lag_record_iteration (Lag *lag, uint64_t duration_us, uint64_t now_ns);
