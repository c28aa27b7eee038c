/* Retry budget of a node: sliding window of requests and retries. Pure: no I/O, no clock. */
#include "rbg.h"

/* A restart clears the counts. Each node uses half of its share, so that the retries before and
 * after one restart in a window stay within the limit together. */
#define EXTRA_SHARE_DIVISOR 2
#define RATIO_USED_PCT 80

static uint32_t
current_slot_index (RbgBudget *budget, uint64_t now_ms)
{
  uint64_t current_slot = now_ms / RBG_SLOT_MS;
  uint32_t index = (uint32_t) (current_slot % RBG_SLOTS);

  if (budget->slot_number[index] != current_slot)
    {
      budget->slot_number[index] = current_slot;
      budget->requests[index] = 0;
      budget->retries[index] = 0;
    }
  return index;
}

void
rbg_count_request (RbgBudget *budget, uint64_t now_ms)
{
  budget->requests[current_slot_index (budget, now_ms)]++;
}

/* A window that ends now touches window_slots + 1 time slots. Retries count in all of them,
 * requests only in the slots that lie wholly inside the window, so that no window exceeds the
 * limit. */
static void
sum_window (const RbgBudget *budget, uint32_t window_ms, uint64_t now_ms, uint64_t *requests,
            uint64_t *retries)
{
  uint64_t current_slot = now_ms / RBG_SLOT_MS;
  uint64_t window_slots = MIN (window_ms / RBG_SLOT_MS, RBG_SLOTS - 1);

  *requests = 0;
  *retries = 0;
  for (uint32_t i = 0; i < RBG_SLOTS; i++)
    {
      uint64_t age_slots = current_slot - budget->slot_number[i];
      if (budget->slot_number[i] > current_slot || age_slots > window_slots)
        continue;
      *retries += budget->retries[i];
      if (age_slots < window_slots)
        *requests += budget->requests[i];
    }
}

bool
rbg_consume (RbgBudget *budget, const RbgLimits *limits, uint32_t nodes, uint64_t now_ms)
{
  uint32_t index = current_slot_index (budget, now_ms);
  uint64_t requests;
  uint64_t retries;

  sum_window (budget, limits->window_ms, now_ms, &requests, &retries);
  uint64_t ratio_retries = requests * limits->ratio_permille * RATIO_USED_PCT / 100 / 1000;
  uint64_t extra_share = limits->extra_retries / EXTRA_SHARE_DIVISOR / MAX (nodes, 1);
  if (retries >= ratio_retries + extra_share)
    return false;
  budget->retries[index]++;
  return true;
}
