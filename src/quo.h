/* Quotas of client accounts: rate limits that hold over all nodes together. Pure: no I/O, no clock.
 */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct QuoBounds - how far the fleet may exceed a quota
 * @window_ms: length of each window in which the excess is counted
 * @excess_permille: allowed excess, in thousandths of the quota of a window
 * @slack: further requests allowed in a window
 */
typedef struct
{
  uint32_t window_ms;
  uint32_t excess_permille;
  uint32_t slack;
} QuoBounds;

typedef struct Quo Quo;

Quo *quo_new (const QuoBounds *bounds);
void quo_free (Quo *quotas);

/**
 * quo_set_limit() - sets the limit of an account
 * @account: acc_hash() of its name
 * @rate_mps: thousandths of a request per second; 0 for no limit
 * @burst: requests that it may send at once beyond the rate
 */
void quo_set_limit (Quo *quotas, uint32_t account, uint64_t rate_mps, uint32_t burst);

/**
 * quo_admit() - takes a token for a request that is about to be dispatched
 * @retry_after_ms: set on refusal: time until a token is likely to be available
 *
 * Return: false when the account is over its quota.
 */
bool quo_admit (Quo *quotas, uint32_t account, uint64_t now_ms, uint32_t *retry_after_ms);

/** quo_refund() - returns the token of a request that no upstream can have run. */
void quo_refund (Quo *quotas, uint32_t account, uint64_t now_ms);
