/* Shift caps: bound the change of a traffic split within a period. Pure; time is passed in. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ShfCaps - limits on the share that moves within any @period_ms, from the configuration
 * @shift_cap_ppm: share that leaves healthy zones
 * @evacuation_cap_ppm: share that leaves failed zones
 * @into_region_cap_ppm: share that enters zones of one region, evacuations not counted
 */
typedef struct
{
  uint32_t shift_cap_ppm;
  uint32_t evacuation_cap_ppm;
  uint32_t into_region_cap_ppm;
  uint32_t period_ms;
} ShfCaps;

/**
 * struct ShfWindow - sliding window of the moves of the last period, oldest first
 * @count: records in use
 * @at_ms: time of each move, on the caller's monotonic clock
 */
typedef struct
{
  uint32_t count;
  uint64_t at_ms[SHIFT_MOVES_MAX];
  uint32_t moved_ppm[SHIFT_MOVES_MAX];
} ShfWindow;

/**
 * struct ShfState - traffic split in force for one service and client group, with its recent moves
 * @shares_ppm: share of each zone; all 0 before the first target
 * @shifts: moves out of healthy zones
 * @evacuations: moves out of failed zones
 * @into_region: moves into the zones of each region, evacuations not counted
 */
typedef struct
{
  uint32_t shares_ppm[ZONES_MAX];
  ShfWindow shifts;
  ShfWindow evacuations;
  ShfWindow into_region[REGIONS_MAX];
} ShfState;

/** typedef ShfBound - cap that limited a step */
typedef enum
{
  SHF_BOUND_NONE,
  SHF_BOUND_SHIFT_CAP,
  SHF_BOUND_EVACUATION_CAP,
  SHF_BOUND_INTO_REGION_CAP,
} ShfBound;

/**
 * struct ShfMove - result of one step
 * @moved_ppm: share that left healthy zones
 * @evacuated_ppm: share that left failed zones
 * @remaining_ppm: distance to the target after the step
 * @bound: last cap that limited the step
 */
typedef struct
{
  uint32_t moved_ppm;
  uint32_t evacuated_ppm;
  uint32_t remaining_ppm;
  ShfBound bound;
} ShfMove;

/** shf_allowance_ppm() - share that @limit_ppm still allows to move at @now_ms. */
uint32_t shf_allowance_ppm (const ShfWindow *window, uint32_t limit_ppm, uint32_t period_ms,
                            uint64_t now_ms);

/** shf_distance_ppm() - share that must move to turn @a into @b; both sum to the same. */
uint32_t shf_distance_ppm (const uint32_t *a, const uint32_t *b);

/**
 * shf_advance() - moves the shares toward @target by one step, as far as the caps allow
 * @target: shares that sum to SHARE_ONE_PPM
 * @failed: zones that cannot serve; share that leaves them counts against the evacuation cap only
 * @region_of: region index of each zone
 *
 * Each of the three caps holds over every interval of @caps->period_ms. A group without shares gets
 * @target at once.
 */
ShfMove shf_advance (ShfState *state, const uint32_t *target, const bool *failed,
                     const uint8_t *region_of, const ShfCaps *caps, uint64_t now_ms);

/**
 * shf_restore() - sets the state from the shares and recent moves that an earlier planner stored
 * @now_ms: the moves count as made at this time
 */
void shf_restore (ShfState *state, const uint32_t *shares_ppm, uint32_t moved_ppm,
                  uint32_t evacuated_ppm, const uint32_t *into_region_ppm, uint64_t now_ms);

/** shf_used_ppm() - share that moved within the last @period_ms. */
uint32_t shf_used_ppm (const ShfWindow *window, uint32_t period_ms, uint64_t now_ms);

/** shf_bound_name() - name of the cap in log events. */
const char *shf_bound_name (ShfBound bound);
