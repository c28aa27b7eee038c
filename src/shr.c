/* Cap on how fast the share of requests that run in a region may grow. Pure. */
#include "shr.h"

#include <string.h>

#define FEWEST_NEW 5
#define FEWEST_OLD 12
#define PERMILLE 1000u

typedef struct
{
  uint32_t total;
  uint32_t region;
} Sums;

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
  if (old.total < FEWEST_OLD || now.total < FEWEST_NEW)
    return true;
  uint64_t old_permille = (uint64_t) old.region * PERMILLE / old.total;
  uint64_t next_permille = (uint64_t) (now.region + 1) * PERMILLE / (now.total + 1);
  uint64_t one_permille = PERMILLE / (now.total + 1);
  return next_permille <= old_permille + cap_permille + one_permille;
}
