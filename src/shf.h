/* Shift caps: how much of a share vector may move within a period. Pure; time is passed in. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/** struct ShfCaps - caps on moved share, parts per million within any @period_ms */
typedef struct
{
  uint32_t cap_ppm;
  uint32_t evacuation_cap_ppm;
  uint32_t into_region_cap_ppm;
  uint32_t period_ms;
} ShfCaps;

/** struct ShfWindow - moves of the last period */
typedef struct
{
  uint32_t count;
  uint64_t at_ms[SHIFT_MOVES_MAX];
  uint32_t moved_ppm[SHIFT_MOVES_MAX];
} ShfWindow;

/** struct ShfState - shares in force of one service and group with the moves that led there */
typedef struct
{
  uint32_t shares_ppm[ZONES_MAX];
  ShfWindow moves;
  ShfWindow evacuations;
  ShfWindow into_region[REGIONS_MAX];
} ShfState;

/** typedef ShfBound - what limited a move */
typedef enum
{
  SHF_BOUND_NONE,
  SHF_BOUND_CAP,
  SHF_BOUND_EVACUATION_CAP,
  SHF_BOUND_INTO_REGION_CAP,
} ShfBound;

/** struct ShfMove - result of one step */
typedef struct
{
  uint32_t moved_ppm;
  uint32_t evacuated_ppm;
  uint32_t left_ppm;
  ShfBound bound;
} ShfMove;

/** shf_room_ppm() - share that may still move at @now_ms. */
uint32_t shf_room_ppm (const ShfWindow *window, uint32_t cap_ppm, uint32_t period_ms,
                       uint64_t now_ms);

/** shf_distance_ppm() - half the sum of the differences of two share vectors. */
uint32_t shf_distance_ppm (const uint32_t *a, const uint32_t *b);

/**
 * shf_advance() - moves the shares toward @target as far as the caps allow
 * @target: shares that sum to SHARE_ONE_PPM
 * @failed: zones that cannot serve; share taken from them counts against the evacuation cap
 * @region_of: region index of each zone
 *
 * Each of the three caps holds over every window of the period. A group without shares takes
 * @target at once.
 */
ShfMove shf_advance (ShfState *state, const uint32_t *target, const bool *failed,
                     const uint8_t *region_of, const ShfCaps *caps, uint64_t now_ms);

/** shf_adopt() - takes shares and the share that moved lately from a planner before this one. */
void shf_adopt (ShfState *state, const uint32_t *shares_ppm, uint32_t moved_ppm,
                uint32_t evacuated_ppm, const uint32_t *into_region_ppm, uint64_t now_ms);

/** shf_used_ppm() - share moved within the last period. */
uint32_t shf_used_ppm (const ShfWindow *window, uint32_t period_ms, uint64_t now_ms);

const char *shf_bound_name (ShfBound bound);
