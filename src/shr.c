/* Cap on how fast the share of requests that run in a region may grow. Pure. */
#include "shr.h"

#include <string.h>

#define FEWEST_NEW 5
#define FEWEST_OLD 12
#define PERMILLE 1000u

/* A region that cannot carry its demand fills up fast while its upstreams know no object. */
#define SCARCE_HOME_PCT 70

typedef struct
{
  uint32_t total;
  uint32_t region;
} Sums;

static uint64_t
sum_of (const uint32_t *values)
{
  uint64_t sum = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    sum += values[r];
  return sum;
}

/* The home region carries its own demand as far as it can; the others take the rest by their size.
 */
void
shr_set_prior (ShrWindow *window, uint32_t home_region, const uint32_t *slots,
               const uint32_t *nodes)
{
  uint64_t all_slots = sum_of (slots);
  uint64_t all_nodes = sum_of (nodes);

  memset (window->prior_permille, 0, sizeof window->prior_permille);
  if (home_region >= REGIONS_MAX || all_slots == 0 || nodes[home_region] == 0)
    return;
  uint64_t home = slots[home_region] * all_nodes * PERMILLE / all_slots / nodes[home_region];
  uint64_t others = all_slots - slots[home_region];
  if (home >= PERMILLE || others == 0)
    home = PERMILLE;
  else
    home = home * SCARCE_HOME_PCT / 100;
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    window->prior_permille[r] = others > 0 ? (uint32_t) ((PERMILLE - home) * slots[r] / others) : 0;
  window->prior_permille[home_region] = (uint32_t) home;
}

static bool
has_prior (const ShrWindow *window)
{
  return sum_of (window->prior_permille) > 0;
}

void
shr_note (ShrWindow *window, uint32_t region, uint64_t now_ms)
{
  uint64_t number = now_ms / SHR_SLOT_MS;
  uint32_t index = (uint32_t) (number % SHR_SLOTS);

  if (region >= REGIONS_MAX)
    return;
  if (window->slot[index] != number)
    {
      window->slot[index] = number;
      memset (window->count[index], 0, sizeof window->count[index]);
    }
  window->count[index][region]++;
}

/* Sums the slots from @newest to @oldest slots ago. */
static Sums
sums_between (const ShrWindow *window, uint32_t region, uint64_t now_ms, uint64_t newest,
              uint64_t oldest)
{
  uint64_t last = now_ms / SHR_SLOT_MS;
  Sums sums = { 0, 0 };

  for (uint32_t i = 0; i < SHR_SLOTS; i++)
    {
      uint64_t age = last - window->slot[i];
      if (window->slot[i] > last || age < newest || age > oldest)
        continue;
      for (uint32_t r = 0; r < REGIONS_MAX; r++)
        sums.total += window->count[i][r];
      sums.region += window->count[i][region];
    }
  return sums;
}

bool
shr_allows (const ShrWindow *window, uint32_t region, uint32_t cap_permille, uint64_t now_ms)
{
  if (region >= REGIONS_MAX)
    return true;
  Sums now = sums_between (window, region, now_ms, 0, SHR_NEW_SLOTS - 1);
  Sums old
      = sums_between (window, region, now_ms, SHR_NEW_SLOTS, SHR_NEW_SLOTS + SHR_OLD_SLOTS - 1);
  if (now.total < FEWEST_NEW || (old.total < FEWEST_OLD && !has_prior (window)))
    return true;
  uint64_t old_permille = old.total >= FEWEST_OLD ? (uint64_t) old.region * PERMILLE / old.total
                                                  : window->prior_permille[region];
  uint64_t next_permille = (uint64_t) (now.region + 1) * PERMILLE / (now.total + 1);
  uint64_t one_permille = PERMILLE / (now.total + 1);
  return next_permille <= old_permille + cap_permille + one_permille;
}
