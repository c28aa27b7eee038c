/* Shift caps: how much of a share vector may move within a period. */
#include "shf.h"

#include <string.h>

#define STEP_FRACTION 32

/* ---- Windows ---- */

uint32_t
shf_used_ppm (const ShfWindow *window, uint32_t period_ms, uint64_t now_ms)
{
  uint32_t used = 0;

  for (uint32_t i = 0; i < window->count; i++)
    if (now_ms < window->at_ms[i] + period_ms)
      used += window->moved_ppm[i];
  return used;
}

uint32_t
shf_room_ppm (const ShfWindow *window, uint32_t cap_ppm, uint32_t period_ms, uint64_t now_ms)
{
  uint32_t used = shf_used_ppm (window, period_ms, now_ms);

  return used < cap_ppm ? cap_ppm - used : 0;
}

static void
window_drop_old (ShfWindow *window, uint32_t period_ms, uint64_t now_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < window->count; i++)
    if (now_ms < window->at_ms[i] + period_ms)
      {
        window->at_ms[kept] = window->at_ms[i];
        window->moved_ppm[kept] = window->moved_ppm[i];
        kept++;
      }
  window->count = kept;
}

/* A full window counts the new move as if all of it came now with the newest one. */
static void
window_record (ShfWindow *window, uint32_t moved_ppm, uint32_t period_ms, uint64_t now_ms)
{
  if (moved_ppm == 0)
    return;
  window_drop_old (window, period_ms, now_ms);
  if (window->count == SHIFT_MOVES_MAX)
    {
      window->at_ms[SHIFT_MOVES_MAX - 1] = now_ms;
      window->moved_ppm[SHIFT_MOVES_MAX - 1] += moved_ppm;
      return;
    }
  window->at_ms[window->count] = now_ms;
  window->moved_ppm[window->count] = moved_ppm;
  window->count++;
}

/* ---- Vectors ---- */

uint32_t
shf_distance_ppm (const uint32_t *a, const uint32_t *b)
{
  uint32_t distance = 0;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    if (a[z] > b[z])
      distance += a[z] - b[z];
  return distance;
}

static uint32_t
min_u32 (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

static uint32_t
sum (const uint32_t *values)
{
  uint32_t total = 0;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    total += values[z];
  return total;
}

/* Scales @values down so that they sum to exactly @total, when they sum to more. */
static void
scale_to (uint32_t *values, uint32_t total)
{
  uint32_t have = sum (values);
  uint32_t scaled = 0;

  if (have <= total)
    return;
  uint32_t wanted[ZONES_MAX];
  memcpy (wanted, values, sizeof wanted);
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    {
      values[z] = (uint32_t) ((uint64_t) wanted[z] * total / have);
      scaled += values[z];
    }
  for (uint32_t z = 0; z < ZONES_MAX && scaled < total; z++)
    {
      uint32_t add = min_u32 (wanted[z] - values[z], total - scaled);
      values[z] += add;
      scaled += add;
    }
}

/* ---- One step ---- */

/* Limits the gains of each region to its room; true when that reduced them. */
static bool
limit_regions (const ShfState *state, uint32_t *gains, const uint8_t *region_of,
               const ShfCaps *caps, uint64_t now_ms)
{
  bool limited = false;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      uint32_t inside[ZONES_MAX] = { 0 };
      uint32_t current = 0;
      uint32_t target = 0;
      for (uint32_t z = 0; z < ZONES_MAX; z++)
        if (region_of[z] == r)
          {
            inside[z] = gains[z];
            target += gains[z];
          }
      current = target;
      scale_to (inside, shf_room_ppm (&state->into_region[r], caps->into_region_cap_ppm,
                                      caps->period_ms, now_ms));
      target = sum (inside);
      limited = limited || target < current;
      for (uint32_t z = 0; z < ZONES_MAX; z++)
        if (region_of[z] == r)
          gains[z] = inside[z];
    }
  return limited;
}

static void
record_regions (ShfState *state, const uint32_t *gains, const uint8_t *region_of,
                const ShfCaps *caps, uint64_t now_ms)
{
  uint32_t into[REGIONS_MAX] = { 0 };

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    into[region_of[z]] += gains[z];
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    window_record (&state->into_region[r], into[r], caps->period_ms, now_ms);
}

static void
apply (ShfState *state, const uint32_t *gains, const uint32_t *losses)
{
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    state->shares_ppm[z] = state->shares_ppm[z] + gains[z] - losses[z];
}

static uint32_t
gains_and_losses (const ShfState *state, const uint32_t *target, const bool *from, bool inverted,
                  uint32_t *gains, uint32_t *losses)
{
  memset (gains, 0, ZONES_MAX * sizeof *gains);
  memset (losses, 0, ZONES_MAX * sizeof *losses);
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    {
      if (target[z] > state->shares_ppm[z])
        gains[z] = target[z] - state->shares_ppm[z];
      else if (from[z] != inverted)
        losses[z] = state->shares_ppm[z] - target[z];
    }
  scale_to (gains, sum (losses));
  scale_to (losses, sum (gains));
  return sum (losses);
}

static uint32_t
step_evacuation (ShfState *state, const uint32_t *target, const bool *failed, const ShfCaps *caps,
                 uint64_t now_ms, ShfMove *move)
{
  uint32_t gains[ZONES_MAX];
  uint32_t losses[ZONES_MAX];
  uint32_t wanted = gains_and_losses (state, target, failed, false, gains, losses);
  uint32_t room
      = shf_room_ppm (&state->evacuations, caps->evacuation_cap_ppm, caps->period_ms, now_ms);
  uint32_t moved = min_u32 (wanted, room);

  if (moved < wanted)
    move->bound = SHF_BOUND_EVACUATION_CAP;
  if (moved < wanted && moved < caps->evacuation_cap_ppm / STEP_FRACTION)
    return 0;
  scale_to (gains, moved);
  scale_to (losses, moved);
  apply (state, gains, losses);
  window_record (&state->evacuations, moved, caps->period_ms, now_ms);
  return moved;
}

static uint32_t
step_shift (ShfState *state, const uint32_t *target, const bool *failed, const uint8_t *region_of,
            const ShfCaps *caps, uint64_t now_ms, ShfMove *move)
{
  uint32_t gains[ZONES_MAX];
  uint32_t losses[ZONES_MAX];
  uint32_t wanted = gains_and_losses (state, target, failed, true, gains, losses);
  uint32_t room = shf_room_ppm (&state->moves, caps->cap_ppm, caps->period_ms, now_ms);
  uint32_t moved = min_u32 (wanted, room);

  if (moved < wanted)
    move->bound = SHF_BOUND_CAP;
  scale_to (gains, moved);
  if (limit_regions (state, gains, region_of, caps, now_ms))
    move->bound = SHF_BOUND_INTO_REGION_CAP;
  moved = sum (gains);
  if (moved < wanted && moved < caps->cap_ppm / STEP_FRACTION)
    return 0;
  scale_to (losses, moved);
  apply (state, gains, losses);
  record_regions (state, gains, region_of, caps, now_ms);
  window_record (&state->moves, moved, caps->period_ms, now_ms);
  return moved;
}

ShfMove
shf_advance (ShfState *state, const uint32_t *target, const bool *failed, const uint8_t *region_of,
             const ShfCaps *caps, uint64_t now_ms)
{
  ShfMove move = { 0 };

  if (sum (state->shares_ppm) == 0)
    {
      memcpy (state->shares_ppm, target, sizeof state->shares_ppm);
      return move;
    }
  move.evacuated_ppm = step_evacuation (state, target, failed, caps, now_ms, &move);
  move.moved_ppm = step_shift (state, target, failed, region_of, caps, now_ms, &move);
  move.left_ppm = shf_distance_ppm (state->shares_ppm, target);
  return move;
}

void
shf_adopt (ShfState *state, const uint32_t *shares_ppm, uint32_t moved_ppm, uint32_t evacuated_ppm,
           const uint32_t *into_region_ppm, uint64_t now_ms)
{
  memset (state, 0, sizeof *state);
  memcpy (state->shares_ppm, shares_ppm, sizeof state->shares_ppm);
  window_record (&state->moves, moved_ppm, UINT32_MAX, now_ms);
  window_record (&state->evacuations, evacuated_ppm, UINT32_MAX, now_ms);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    window_record (&state->into_region[r], into_region_ppm[r], UINT32_MAX, now_ms);
}

const char *
shf_bound_name (ShfBound bound)
{
  static const char *const names[] = { "none", "shift_cap", "evacuation_cap", "into_region_cap" };

  return names[bound];
}
