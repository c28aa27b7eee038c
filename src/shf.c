/* Shift caps: bound the change of a traffic split within a period. */
#include "shf.h"

#include <string.h>

/*
 * A step of less than cap / STEP_MIN_DIVISOR is postponed unless it completes the move, which
 * bounds the number of steps within a period.
 */
#define STEP_MIN_DIVISOR 32

/* ---- Sliding windows ---- */

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
shf_allowance_ppm (const ShfWindow *window, uint32_t limit_ppm, uint32_t period_ms, uint64_t now_ms)
{
  uint32_t used = shf_used_ppm (window, period_ms, now_ms);

  return used < limit_ppm ? limit_ppm - used : 0;
}

static void
window_drop_expired (ShfWindow *window, uint32_t period_ms, uint64_t now_ms)
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

/*
 * A full window merges the move into its newest record and dates that record @now_ms, so that
 * neither of the two expires too early.
 */
static void
window_record (ShfWindow *window, uint32_t moved_ppm, uint32_t period_ms, uint64_t now_ms)
{
  if (moved_ppm == 0)
    return;
  window_drop_expired (window, period_ms, now_ms);
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

/* ---- Share vectors ---- */

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
sum_zones (const uint32_t *values)
{
  uint32_t total = 0;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    total += values[z];
  return total;
}

/* Scales @values down to a sum of exactly @total when they sum to more. */
static void
scale_down (uint32_t *values, uint32_t total)
{
  uint32_t sum = sum_zones (values);
  uint32_t scaled = 0;

  if (sum <= total)
    return;
  uint32_t original[ZONES_MAX];
  memcpy (original, values, sizeof original);
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    {
      values[z] = (uint32_t) ((uint64_t) original[z] * total / sum);
      scaled += values[z];
    }
  for (uint32_t z = 0; z < ZONES_MAX && scaled < total; z++)
    {
      uint32_t add = min_u32 (original[z] - values[z], total - scaled);
      values[z] += add;
      scaled += add;
    }
}

/* ---- Steps ---- */

/* Limits the gains of each region to what its cap still allows; true when that reduced them. */
static bool
limit_regions (const ShfState *state, uint32_t *gains, const uint8_t *region_of,
               const ShfCaps *caps, uint64_t now_ms)
{
  bool limited = false;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      uint32_t region_gains[ZONES_MAX] = { 0 };
      uint32_t unlimited_sum = 0;
      uint32_t sum = 0;
      for (uint32_t z = 0; z < ZONES_MAX; z++)
        if (region_of[z] == r)
          {
            region_gains[z] = gains[z];
            sum += gains[z];
          }
      unlimited_sum = sum;
      scale_down (region_gains,
                  shf_allowance_ppm (&state->into_region[r], caps->into_region_cap_ppm,
                                     caps->period_ms, now_ms));
      sum = sum_zones (region_gains);
      limited = limited || sum < unlimited_sum;
      for (uint32_t z = 0; z < ZONES_MAX; z++)
        if (region_of[z] == r)
          gains[z] = region_gains[z];
    }
  return limited;
}

static void
record_region_gains (ShfState *state, const uint32_t *gains, const uint8_t *region_of,
                     const ShfCaps *caps, uint64_t now_ms)
{
  uint32_t region_gains[REGIONS_MAX] = { 0 };

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    region_gains[region_of[z]] += gains[z];
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    window_record (&state->into_region[r], region_gains[r], caps->period_ms, now_ms);
}

static void
apply_changes (ShfState *state, const uint32_t *gains, const uint32_t *losses)
{
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    state->shares_ppm[z] = state->shares_ppm[z] + gains[z] - losses[z];
}

/*
 * Computes what each zone gains and what each failed zone loses to reach @target, or each healthy
 * zone with @from_healthy, both scaled to the same sum. Return: that sum.
 */
static uint32_t
gains_and_losses (const ShfState *state, const uint32_t *target, const bool *failed,
                  bool from_healthy, uint32_t *gains, uint32_t *losses)
{
  memset (gains, 0, ZONES_MAX * sizeof *gains);
  memset (losses, 0, ZONES_MAX * sizeof *losses);
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    {
      if (target[z] > state->shares_ppm[z])
        gains[z] = target[z] - state->shares_ppm[z];
      else if (failed[z] != from_healthy)
        losses[z] = state->shares_ppm[z] - target[z];
    }
  scale_down (gains, sum_zones (losses));
  scale_down (losses, sum_zones (gains));
  return sum_zones (losses);
}

/* Moves share out of failed zones within the evacuation cap. Return: share moved. */
static uint32_t
step_evacuation (ShfState *state, const uint32_t *target, const bool *failed, const ShfCaps *caps,
                 uint64_t now_ms, ShfMove *move)
{
  uint32_t gains[ZONES_MAX];
  uint32_t losses[ZONES_MAX];
  uint32_t wanted = gains_and_losses (state, target, failed, false, gains, losses);
  uint32_t allowance
      = shf_allowance_ppm (&state->evacuations, caps->evacuation_cap_ppm, caps->period_ms, now_ms);
  uint32_t moved = min_u32 (wanted, allowance);

  if (moved < wanted)
    move->bound = SHF_BOUND_EVACUATION_CAP;
  if (moved < wanted && moved < caps->evacuation_cap_ppm / STEP_MIN_DIVISOR)
    return 0;
  scale_down (gains, moved);
  scale_down (losses, moved);
  apply_changes (state, gains, losses);
  window_record (&state->evacuations, moved, caps->period_ms, now_ms);
  return moved;
}

/* Moves share out of healthy zones within the shift and region caps. Return: share moved. */
static uint32_t
step_shift (ShfState *state, const uint32_t *target, const bool *failed, const uint8_t *region_of,
            const ShfCaps *caps, uint64_t now_ms, ShfMove *move)
{
  uint32_t gains[ZONES_MAX];
  uint32_t losses[ZONES_MAX];
  uint32_t wanted = gains_and_losses (state, target, failed, true, gains, losses);
  uint32_t allowance
      = shf_allowance_ppm (&state->shifts, caps->shift_cap_ppm, caps->period_ms, now_ms);
  uint32_t moved = min_u32 (wanted, allowance);

  if (moved < wanted)
    move->bound = SHF_BOUND_SHIFT_CAP;
  scale_down (gains, moved);
  if (limit_regions (state, gains, region_of, caps, now_ms))
    move->bound = SHF_BOUND_INTO_REGION_CAP;
  moved = sum_zones (gains);
  if (moved < wanted && moved < caps->shift_cap_ppm / STEP_MIN_DIVISOR)
    return 0;
  scale_down (losses, moved);
  apply_changes (state, gains, losses);
  record_region_gains (state, gains, region_of, caps, now_ms);
  window_record (&state->shifts, moved, caps->period_ms, now_ms);
  return moved;
}

ShfMove
shf_advance (ShfState *state, const uint32_t *target, const bool *failed, const uint8_t *region_of,
             const ShfCaps *caps, uint64_t now_ms)
{
  ShfMove move = { 0 };

  if (sum_zones (state->shares_ppm) == 0)
    {
      memcpy (state->shares_ppm, target, sizeof state->shares_ppm);
      return move;
    }
  move.evacuated_ppm = step_evacuation (state, target, failed, caps, now_ms, &move);
  move.moved_ppm = step_shift (state, target, failed, region_of, caps, now_ms, &move);
  move.remaining_ppm = shf_distance_ppm (state->shares_ppm, target);
  return move;
}

void
shf_restore (ShfState *state, const uint32_t *shares_ppm, uint32_t moved_ppm,
             uint32_t evacuated_ppm, const uint32_t *into_region_ppm, uint64_t now_ms)
{
  memset (state, 0, sizeof *state);
  memcpy (state->shares_ppm, shares_ppm, sizeof state->shares_ppm);
  window_record (&state->shifts, moved_ppm, UINT32_MAX, now_ms);
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
