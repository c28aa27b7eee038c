/* Shares of the regions in which a region's requests run, and how fast they may change. Pure. */
#include "shr.h"

#include <math.h>

#define PERCENT 100u
#define PERMILLE 1000u

/* Parts of the cap: for all; for what runs outside its region; for that and what is turned away. */
#define USED_PCT 95u
#define SPILL_PCT 55u
#define UNEVEN_PCT 85u

/* Requests by which a region is taken to have room until it is known better. */
#define TAKING_PRIOR_M 2000u
#define FADE_PCT 80u
#define LIMIT_STEPS 20

/* A region that cannot carry its demand fills up fast while its upstreams know no object. */
#define SCARCE_HOME_PCT 70u

static uint64_t
sum_of (const uint64_t *values)
{
  uint64_t sum = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    sum += values[r];
  return sum;
}

static ShrShares
all_at (uint32_t region)
{
  ShrShares shares = { { 0 } };

  if (region < REGIONS_MAX)
    shares.ppm[region] = SHARE_ONE_PPM;
  return shares;
}

/* Hands @ppm out in proportion to the weights; what rounding leaves goes to the largest. */
static void
add_by_weight (ShrShares *shares, uint64_t ppm, const uint64_t *weights)
{
  uint64_t all = sum_of (weights);
  uint64_t left = ppm;
  uint32_t largest = 0;

  for (uint32_t r = 0; r < REGIONS_MAX && all > 0; r++)
    {
      uint64_t part = (uint64_t) ((double) ppm * (double) weights[r] / (double) all);
      shares->ppm[r] += (uint32_t) part;
      left -= part;
      if (weights[r] > weights[largest])
        largest = r;
    }
  shares->ppm[largest] += (uint32_t) left;
}

ShrShares
shr_start (uint32_t home, const uint32_t *slots, const uint32_t *nodes)
{
  uint64_t others[REGIONS_MAX] = { 0 };
  uint64_t all_slots = 0;
  uint64_t all_nodes = 0;
  ShrShares shares = { { 0 } };

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      all_slots += slots[r];
      all_nodes += nodes[r];
      others[r] = r != home ? slots[r] : 0;
    }
  if (home >= REGIONS_MAX || all_slots == slots[home] || nodes[home] == 0)
    return all_at (home);
  uint64_t ppm = (uint64_t) slots[home] * all_nodes * SHARE_ONE_PPM / all_slots / nodes[home];
  if (ppm >= SHARE_ONE_PPM)
    return all_at (home);
  ppm = ppm * SCARCE_HOME_PCT / PERCENT;
  shares.ppm[home] = (uint32_t) ppm;
  add_by_weight (&shares, SHARE_ONE_PPM - ppm, others);
  return shares;
}

ShrShares
shr_target (uint32_t home, const ShrLoad *load)
{
  uint64_t room[REGIONS_MAX];
  uint64_t beyond = 0;
  ShrShares shares = { { 0 } };

  if (home >= REGIONS_MAX || load->demand[home] == 0 || sum_of (load->capacity) == 0)
    return all_at (home);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      uint64_t full = load->capacity[r] * SHR_FILL_PCT / PERCENT;
      uint64_t carried = load->demand[r] < full ? load->demand[r] : full;
      room[r] = full - carried;
      beyond += load->demand[r] - carried;
      if (r == home)
        shares.ppm[r] = (uint32_t) (carried * SHARE_ONE_PPM / load->demand[r]);
    }
  uint64_t away = SHARE_ONE_PPM - shares.ppm[home];
  uint64_t all_room = sum_of (room);
  uint64_t fitting
      = beyond > all_room ? (uint64_t) ((double) away * (double) all_room / (double) beyond) : away;
  add_by_weight (&shares, fitting, room);
  add_by_weight (&shares, away - fitting, load->capacity);
  return shares;
}

static bool
is_in (uint32_t bits, uint32_t region)
{
  return (bits >> region & 1u) != 0;
}

static uint32_t
excess (const ShrShares *shares, const ShrShares *target, uint32_t region)
{
  return shares->ppm[region] > target->ppm[region] ? shares->ppm[region] - target->ppm[region] : 0;
}

/* Takes from the regions that are to have less; returns what was taken. */
static uint32_t
take_off (ShrShares *shares, const ShrShares *target, uint32_t step_ppm, uint32_t lost)
{
  uint64_t limited = 0;
  uint32_t taken = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    limited += is_in (lost, r) ? 0 : excess (shares, target, r);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      uint32_t off = excess (shares, target, r);
      if (!is_in (lost, r) && limited > step_ppm)
        off = (uint32_t) ((uint64_t) off * step_ppm / limited);
      shares->ppm[r] -= off;
      taken += off;
    }
  return taken;
}

void
shr_move (ShrShares *shares, const ShrShares *target, uint32_t step_ppm, uint32_t lost)
{
  uint64_t wanting[REGIONS_MAX];

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    wanting[r] = excess (target, shares, r);
  uint32_t taken = take_off (shares, target, step_ppm, lost);
  if (taken > 0)
    add_by_weight (shares, taken, wanting);
}

static uint64_t
part_ppm (uint32_t cap_permille, uint32_t percent)
{
  return (uint64_t) cap_permille * (SHARE_ONE_PPM / PERMILLE) * percent / PERCENT;
}

uint32_t
shr_step_ppm (uint32_t cap_permille, uint32_t elapsed_ms, uint32_t uneven_ppm, bool homeward)
{
  uint64_t all_ppm = part_ppm (cap_permille, USED_PCT);
  uint64_t most_uneven_ppm = part_ppm (cap_permille, UNEVEN_PCT);
  uint64_t uneven = uneven_ppm < most_uneven_ppm ? uneven_ppm : most_uneven_ppm;
  uint64_t kept_ppm = homeward ? uneven : most_uneven_ppm - uneven;

  return (uint32_t) ((all_ppm - kept_ppm) * elapsed_ms / SHR_PERIOD_MS);
}

void
shr_spill_earn (ShrSpill *spill, uint32_t cap_permille, uint64_t rate_mps)
{
  uint64_t earned_ppm = part_ppm (cap_permille, SPILL_PCT);
  uint64_t kept_requests = rate_mps * SHR_SPILL_KEPT_MS / 1000 / PERMILLE;
  int64_t most_ppm = (int64_t) (earned_ppm * (kept_requests > 1 ? kept_requests : 1));

  spill->credit_ppm += (int64_t) earned_ppm;
  if (spill->credit_ppm > most_ppm)
    spill->credit_ppm = most_ppm;
}

bool
shr_spill_allows (const ShrSpill *spill, uint32_t draw_ppm)
{
  return spill->credit_ppm > (int64_t) draw_ppm;
}

void
shr_spill_take (ShrSpill *spill)
{
  spill->credit_ppm -= SHARE_ONE_PPM;
}

void
shr_note_sent (ShrTaking *taking, uint32_t region, uint32_t to)
{
  if (region >= REGIONS_MAX)
    return;
  taking->tried_m[region] += PERMILLE;
  if (to == region)
    taking->sent_m[region] += PERMILLE;
  else if (to < REGIONS_MAX)
    taking->spilled_m[to] += PERMILLE;
}

void
shr_fade (ShrTaking *taking)
{
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      taking->tried_m[r] = taking->tried_m[r] * FADE_PCT / PERCENT;
      taking->sent_m[r] = taking->sent_m[r] * FADE_PCT / PERCENT;
      taking->spilled_m[r] = taking->spilled_m[r] * FADE_PCT / PERCENT;
    }
}

static double
taken_part (const ShrTaking *taking, uint32_t region)
{
  return (taking->sent_m[region] + (double) TAKING_PRIOR_M)
         / (taking->tried_m[region] + (double) TAKING_PRIOR_M);
}

/* How far what runs is from the shares when no region takes more than a part of its requests. */
static double
unevenness (const ShrShares *shares, const ShrTaking *taking, double part)
{
  double runs[REGIONS_MAX];
  double tried = TAKING_PRIOR_M;
  double all = 0;
  double away = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    tried += taking->tried_m[r];
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      runs[r] = shares->ppm[r] * fmin (taken_part (taking, r), part)
                + taking->spilled_m[r] / tried * SHARE_ONE_PPM;
      all += runs[r];
    }
  for (uint32_t r = 0; r < REGIONS_MAX && all > 0; r++)
    away += fabs (runs[r] / all - shares->ppm[r] / (double) SHARE_ONE_PPM) / 2;
  return away;
}

void
shr_limits (const ShrShares *shares, const ShrTaking *taking, uint32_t cap_permille,
            uint32_t *limits_ppm)
{
  double allowed = (double) part_ppm (cap_permille, UNEVEN_PCT) / SHARE_ONE_PPM;
  double low = 0;
  double high = 1;

  if (unevenness (shares, taking, high) <= allowed)
    low = high;
  for (uint32_t i = 0; i < LIMIT_STEPS && low < high; i++)
    {
      double middle = (low + high) / 2;
      if (unevenness (shares, taking, middle) <= allowed)
        low = middle;
      else
        high = middle;
    }
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    limits_ppm[r] = (uint32_t) (fmin (low / taken_part (taking, r), 1.0) * SHARE_ONE_PPM);
}

/* A number above 0 and below 1 that belongs to the lot and the region. */
static double
number_of (uint32_t lot, uint32_t region)
{
  uint32_t x = lot ^ ((region + 1) * 0x9e3779b1u);

  x = (x ^ (x >> 16)) * 0x7feb352du;
  x = (x ^ (x >> 15)) * 0x846ca68bu;
  x ^= x >> 16;
  return ((double) x + 0.5) / 4294967296.0;
}

uint32_t
shr_region (const ShrShares *shares, const uint64_t *capacity, uint32_t allowed, uint32_t lot)
{
  uint32_t best = REGIONS_MAX;
  double best_score = 0;
  bool any_share = false;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    any_share = any_share || (is_in (allowed, r) && shares->ppm[r] > 0);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      double weight = any_share ? (double) shares->ppm[r] : (double) capacity[r] + 1.0;
      if (!is_in (allowed, r) || weight <= 0)
        continue;
      double score = -log (number_of (lot, r)) / weight;
      if (best != REGIONS_MAX && score >= best_score)
        continue;
      best = r;
      best_score = score;
    }
  return best;
}

uint32_t
shr_other_region (const uint64_t *room, uint32_t allowed, uint32_t region)
{
  uint32_t best = REGIONS_MAX;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    if (r != region && is_in (allowed, r) && room[r] > 0
        && (best == REGIONS_MAX || room[r] > room[best]))
      best = r;
  return best;
}
