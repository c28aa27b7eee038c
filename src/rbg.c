/* Retry budget: this node's share of the retries that a service allows in a sliding window. Pure.
 */
#include "rbg.h"

/* A node that restarts has forgotten what it spent, so each uses half of its share of the extra. */
#define EXTRA_SHARE_DIVISOR 2
#define RATIO_USED_PCT 80

static uint32_t
slot_at (RbgBudget *budget, uint64_t now_ms)
{
  uint64_t number = now_ms / RBG_SLOT_MS;
  uint32_t index = (uint32_t) (number % RBG_SLOTS);

  if (budget->slot[index] != number)
    {
      budget->slot[index] = number;
      budget->requests[index] = 0;
      budget->retries[index] = 0;
    }
  return index;
}

void
rbg_request (RbgBudget *budget, uint64_t now_ms)
{
  budget->requests[slot_at (budget, now_ms)]++;
}

static void
sum_window (const RbgBudget *budget, uint32_t window_ms, uint64_t now_ms, uint64_t *requests,
            uint64_t *retries)
{
  uint64_t last = now_ms / RBG_SLOT_MS;
  uint64_t slots = MIN (window_ms / RBG_SLOT_MS, RBG_SLOTS - 1);

  *requests = 0;
  *retries = 0;
  for (uint32_t i = 0; i < RBG_SLOTS; i++)
    {
      uint64_t age = last - budget->slot[i];
      if (budget->slot[i] > last || age > slots)
        continue;
      *retries += budget->retries[i];
      if (age < slots)
        *requests += budget->requests[i];
    }
}

bool
rbg_take (RbgBudget *budget, const RbgLimits *limits, uint32_t nodes, uint64_t now_ms)
{
  uint32_t index = slot_at (budget, now_ms);
  uint64_t requests;
  uint64_t retries;

  sum_window (budget, limits->window_ms, now_ms, &requests, &retries);
  uint64_t by_ratio = requests * limits->ratio_permille * RATIO_USED_PCT / 100 / 1000;
  uint64_t by_extra = limits->extra / EXTRA_SHARE_DIVISOR / MAX (nodes, 1);
  if (retries >= by_ratio + by_extra)
    return false;
  budget->retries[index]++;
  return true;
}
