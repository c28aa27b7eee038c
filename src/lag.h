/* Stalls of the event loop: how long each of its turns takes. */
#pragma once

#include "log.h"
#include "met.h"

#include <uv.h>

/**
 * struct Lag - a watch on one loop
 * @turns: how long each turn took, from the end of waiting to the next
 * @stalls: turns over LAG_STALL_MS
 * @worst_us: the longest turn
 */
typedef struct
{
  const Log *log;
  uv_check_t check;
  uv_prepare_t prepare;
  uint64_t begun_ns;
  uint64_t logged_ns;
  MetHistogram turns;
  uint64_t stalls;
  uint64_t worst_us;
} Lag;

/** lag_start() - begins to watch; does not keep the loop alive. */
void lag_start (Lag *lag, uv_loop_t *loop, const Log *log);

/** lag_turn() - takes a turn of the loop into account. */
void lag_turn (Lag *lag, uint64_t took_us, uint64_t now_ns);
