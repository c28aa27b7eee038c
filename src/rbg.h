/* Retry budget: this node's share of the retries that a service allows in a sliding window. Pure.
 */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct RbgLimits - the budget of one service over all nodes
 * @ratio_permille: retries for each thousand requests in a window
 * @extra: retries beyond the ratio in a window, all nodes together
 */
typedef struct
{
  uint32_t ratio_permille;
  uint32_t extra;
  uint32_t window_ms;
} RbgLimits;

/** struct RbgBudget - requests and retries by time slot */
typedef struct
{
  uint64_t slot[RBG_SLOTS];
  uint32_t requests[RBG_SLOTS];
  uint32_t retries[RBG_SLOTS];
} RbgBudget;

/** rbg_request() - counts a first arrival. */
void rbg_request (RbgBudget *budget, uint64_t now_ms);

/** rbg_take() - true when a retry is allowed now; it is then counted. @nodes share the budget. */
bool rbg_take (RbgBudget *budget, const RbgLimits *limits, uint32_t nodes, uint64_t now_ms);
