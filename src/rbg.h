/* Retry budget of a node: sliding window of requests and retries. Pure: no I/O, no clock. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct RbgLimits - retry limits of one service, for all nodes together
 * @ratio_permille: retries per thousand requests in a window
 * @extra_retries: retries per window beyond the ratio
 * @window_ms: length of the sliding window; at most RBG_SLOTS - 1 time slots are counted
 */
typedef struct
{
  uint32_t ratio_permille;
  uint32_t extra_retries;
  uint32_t window_ms;
} RbgLimits;

/**
 * struct RbgBudget - ring of time slots of RBG_SLOT_MS each
 * @slot_number: number of the time slot of each element, now_ms / RBG_SLOT_MS
 * @requests: first attempts of requests in the slot
 * @retries: retries that were allowed in the slot
 */
typedef struct
{
  uint64_t slot_number[RBG_SLOTS];
  uint32_t requests[RBG_SLOTS];
  uint32_t retries[RBG_SLOTS];
} RbgBudget;

/** rbg_count_request() - counts a request at its first attempt. */
void rbg_count_request (RbgBudget *budget, uint64_t now_ms);

/**
 * rbg_consume() - consumes one retry of the budget
 * @nodes: number of nodes that share the limits
 *
 * Return: false when the budget of the window is spent.
 */
bool rbg_consume (RbgBudget *budget, const RbgLimits *limits, uint32_t nodes, uint64_t now_ms);
