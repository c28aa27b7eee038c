/* Traffic split of a region: the share of its requests that runs in each region, the limit on the
 * rate at which the shares change, and the budget for spillover. Pure: no I/O, no clock. */
#include "shr.h"

#include <math.h>

#define PERCENT 100u
#define PERMILLE 1000u

/* Parts of the cap: for all changes of region; for spillover; for the deviation from the split by
 * spillover and rejections. */
#define CAP_USED_PCT 95u
#define CAP_SPILL_PCT 55u
#define CAP_DEVIATION_PCT 85u

/* Accepted requests assumed in advance, so that a few rejections do not limit the other regions. */
#define ACCEPTANCE_PRIOR_MREQS 2000u
#define DECAY_PCT 80u
#define LIMIT_BISECTIONS 20

/* Initial part of the local region's share when it cannot serve its demand: its upstreams are cold
 * at the start and fill up fast. */
#define SCARCE_LOCAL_PCT 70u

static uint64_t
sum_of (const uint64_t *values)
{
  uint64_t sum = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    sum += values[r];
  return sum;
}

static ShrSplit
all_to (uint32_t region)
{
  ShrSplit split = { { 0 } };

  if (region < REGIONS_MAX)
    split.ppm[region] = SHARE_ONE_PPM;
  return split;
}

/* Adds @ppm in proportion to the weights; the rounding remainder goes to the largest. */
static void
add_by_weight (ShrSplit *split, uint64_t ppm, const uint64_t *weights)
{
  uint64_t total = sum_of (weights);
  uint64_t remainder = ppm;
  uint32_t largest = 0;

  for (uint32_t r = 0; r < REGIONS_MAX && total > 0; r++)
    {
      uint64_t part = (uint64_t) ((double) ppm * (double) weights[r] / (double) total);
      split->ppm[r] += (uint32_t) part;
      remainder -= part;
      if (weights[r] > weights[largest])
        largest = r;
    }
  split->ppm[largest] += (uint32_t) remainder;
}

ShrSplit
shr_initial (uint32_t local, const uint32_t *slots, const uint32_t *nodes)
{
  uint64_t remote_slots[REGIONS_MAX] = { 0 };
  uint64_t total_slots = 0;
  uint64_t total_nodes = 0;
  ShrSplit split = { { 0 } };

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      total_slots += slots[r];
      total_nodes += nodes[r];
      remote_slots[r] = r != local ? slots[r] : 0;
    }
  if (local >= REGIONS_MAX || total_slots == slots[local] || nodes[local] == 0)
    return all_to (local);
  uint64_t ppm = (uint64_t) slots[local] * total_nodes * SHARE_ONE_PPM / total_slots / nodes[local];
  if (ppm >= SHARE_ONE_PPM)
    return all_to (local);
  ppm = ppm * SCARCE_LOCAL_PCT / PERCENT;
  split.ppm[local] = (uint32_t) ppm;
  add_by_weight (&split, SHARE_ONE_PPM - ppm, remote_slots);
  return split;
}

ShrSplit
shr_target (uint32_t local, const ShrLoad *load)
{
  uint64_t spare[REGIONS_MAX];
  uint64_t excess = 0;
  ShrSplit split = { { 0 } };

  if (local >= REGIONS_MAX || load->demand[local] == 0 || sum_of (load->capacity) == 0)
    return all_to (local);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      uint64_t usable = load->capacity[r] * SHR_UTILIZATION_MAX_PCT / PERCENT;
      uint64_t served = load->demand[r] < usable ? load->demand[r] : usable;
      spare[r] = usable - served;
      excess += load->demand[r] - served;
      if (r == local)
        split.ppm[r] = (uint32_t) (served * SHARE_ONE_PPM / load->demand[r]);
    }
  uint64_t remote_ppm = SHARE_ONE_PPM - split.ppm[local];
  uint64_t total_spare = sum_of (spare);
  uint64_t fitting_ppm
      = excess > total_spare
            ? (uint64_t) ((double) remote_ppm * (double) total_spare / (double) excess)
            : remote_ppm;
  add_by_weight (&split, fitting_ppm, spare);
  add_by_weight (&split, remote_ppm - fitting_ppm, load->capacity);
  return split;
}

static bool
in_mask (uint32_t mask, uint32_t region)
{
  return (mask >> region & 1u) != 0;
}

static uint32_t
surplus (const ShrSplit *split, const ShrSplit *target, uint32_t region)
{
  return split->ppm[region] > target->ppm[region] ? split->ppm[region] - target->ppm[region] : 0;
}

/* Lowers the shares that exceed the target; returns the sum of the reductions. */
static uint32_t
lower_shares (ShrSplit *split, const ShrSplit *target, uint32_t step_ppm, uint32_t lost)
{
  uint64_t limited_ppm = 0;
  uint32_t lowered_ppm = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    limited_ppm += in_mask (lost, r) ? 0 : surplus (split, target, r);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      uint32_t cut_ppm = surplus (split, target, r);
      if (!in_mask (lost, r) && limited_ppm > step_ppm)
        cut_ppm = (uint32_t) ((uint64_t) cut_ppm * step_ppm / limited_ppm);
      split->ppm[r] -= cut_ppm;
      lowered_ppm += cut_ppm;
    }
  return lowered_ppm;
}

void
shr_move (ShrSplit *split, const ShrSplit *target, uint32_t step_ppm, uint32_t lost)
{
  uint64_t deficits[REGIONS_MAX];

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    deficits[r] = surplus (target, split, r);
  uint32_t lowered_ppm = lower_shares (split, target, step_ppm, lost);
  if (lowered_ppm > 0)
    add_by_weight (split, lowered_ppm, deficits);
}

static uint64_t
cap_part_ppm (uint32_t cap_permille, uint32_t percent)
{
  return (uint64_t) cap_permille * (SHARE_ONE_PPM / PERMILLE) * percent / PERCENT;
}

uint32_t
shr_max_step_ppm (uint32_t cap_permille, uint32_t elapsed_ms, uint32_t deviation_ppm, bool to_local)
{
  uint64_t usable_ppm = cap_part_ppm (cap_permille, CAP_USED_PCT);
  uint64_t deviation_max_ppm = cap_part_ppm (cap_permille, CAP_DEVIATION_PCT);
  uint64_t deviation = deviation_ppm < deviation_max_ppm ? deviation_ppm : deviation_max_ppm;
  uint64_t reserved_ppm = to_local ? deviation : deviation_max_ppm - deviation;

  return (uint32_t) ((usable_ppm - reserved_ppm) * elapsed_ms / SHR_CAP_PERIOD_MS);
}

void
shr_spill_refill (ShrSpillBucket *spill, uint32_t cap_permille, uint64_t rate_mps)
{
  uint64_t refill_ppm = cap_part_ppm (cap_permille, CAP_SPILL_PCT);
  uint64_t burst_requests = rate_mps * SHR_SPILL_BURST_MS / 1000 / PERMILLE;
  int64_t tokens_max_ppm = (int64_t) (refill_ppm * (burst_requests > 1 ? burst_requests : 1));

  spill->tokens_ppm += (int64_t) refill_ppm;
  if (spill->tokens_ppm > tokens_max_ppm)
    spill->tokens_ppm = tokens_max_ppm;
}

bool
shr_spill_allows (const ShrSpillBucket *spill, uint32_t draw_ppm)
{
  return spill->tokens_ppm > (int64_t) draw_ppm;
}

void
shr_spill_consume (ShrSpillBucket *spill)
{
  spill->tokens_ppm -= SHARE_ONE_PPM;
}

void
shr_count_request (ShrAcceptance *acceptance, uint32_t region, uint32_t to)
{
  if (region >= REGIONS_MAX)
    return;
  acceptance->assigned_mreqs[region] += PERMILLE;
  if (to == region)
    acceptance->accepted_mreqs[region] += PERMILLE;
  else if (to < REGIONS_MAX)
    acceptance->spilled_in_mreqs[to] += PERMILLE;
}

void
shr_decay (ShrAcceptance *acceptance)
{
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      acceptance->assigned_mreqs[r] = acceptance->assigned_mreqs[r] * DECAY_PCT / PERCENT;
      acceptance->accepted_mreqs[r] = acceptance->accepted_mreqs[r] * DECAY_PCT / PERCENT;
      acceptance->spilled_in_mreqs[r] = acceptance->spilled_in_mreqs[r] * DECAY_PCT / PERCENT;
    }
}

static double
acceptance_ratio (const ShrAcceptance *acceptance, uint32_t region)
{
  return (acceptance->accepted_mreqs[region] + (double) ACCEPTANCE_PRIOR_MREQS)
         / (acceptance->assigned_mreqs[region] + (double) ACCEPTANCE_PRIOR_MREQS);
}

/* Deviation of the requests that run from the split, from 0 to 1, when no region is sent more than
 * @ratio_max of its assigned requests. */
static double
deviation (const ShrSplit *split, const ShrAcceptance *acceptance, double ratio_max)
{
  double running_ppm[REGIONS_MAX];
  double total_mreqs = ACCEPTANCE_PRIOR_MREQS;
  double total_ppm = 0;
  double sum = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    total_mreqs += acceptance->assigned_mreqs[r];
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      running_ppm[r] = split->ppm[r] * fmin (acceptance_ratio (acceptance, r), ratio_max)
                       + acceptance->spilled_in_mreqs[r] / total_mreqs * SHARE_ONE_PPM;
      total_ppm += running_ppm[r];
    }
  for (uint32_t r = 0; r < REGIONS_MAX && total_ppm > 0; r++)
    sum += fabs (running_ppm[r] / total_ppm - split->ppm[r] / (double) SHARE_ONE_PPM) / 2;
  return sum;
}

void
shr_limits (const ShrSplit *split, const ShrAcceptance *acceptance, uint32_t cap_permille,
            uint32_t *limits_ppm)
{
  double deviation_max = (double) cap_part_ppm (cap_permille, CAP_DEVIATION_PCT) / SHARE_ONE_PPM;
  double low = 0;
  double high = 1;

  if (deviation (split, acceptance, high) <= deviation_max)
    low = high;
  for (uint32_t i = 0; i < LIMIT_BISECTIONS && low < high; i++)
    {
      double middle = (low + high) / 2;
      if (deviation (split, acceptance, middle) <= deviation_max)
        low = middle;
      else
        high = middle;
    }
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    limits_ppm[r] = (uint32_t) (fmin (low / acceptance_ratio (acceptance, r), 1.0) * SHARE_ONE_PPM);
}

/* Hash of @hash and the region, mapped to a number above 0 and below 1. */
static double
unit_hash (uint32_t hash, uint32_t region)
{
  uint32_t x = hash ^ ((region + 1) * 0x9e3779b1u);

  x = (x ^ (x >> 16)) * 0x7feb352du;
  x = (x ^ (x >> 15)) * 0x846ca68bu;
  x ^= x >> 16;
  return ((double) x + 0.5) / 4294967296.0;
}

uint32_t
shr_region (const ShrSplit *split, const uint64_t *capacity, uint32_t allowed, uint32_t region_hash)
{
  uint32_t best = REGIONS_MAX;
  double best_score = 0;
  bool has_share = false;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    has_share = has_share || (in_mask (allowed, r) && split->ppm[r] > 0);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      double weight = has_share ? (double) split->ppm[r] : (double) capacity[r] + 1.0;
      if (!in_mask (allowed, r) || weight <= 0)
        continue;
      double score = -log (unit_hash (region_hash, r)) / weight;
      if (best != REGIONS_MAX && score >= best_score)
        continue;
      best = r;
      best_score = score;
    }
  return best;
}

uint32_t
shr_spill_region (const uint64_t *free_slots, uint32_t allowed, uint32_t region)
{
  uint32_t best = REGIONS_MAX;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    if (r != region && in_mask (allowed, r) && free_slots[r] > 0
        && (best == REGIONS_MAX || free_slots[r] > free_slots[best]))
      best = r;
  return best;
}
