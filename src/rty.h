/* Retry budget of an entry: token bucket that requests refill. Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct RtyBucket - token bucket of one service
 * @tokens_pct: content of the bucket in hundredths of a token; a retry consumes one token
 */
typedef struct
{
  uint32_t tokens_pct;
} RtyBucket;

/**
 * rty_refill() - adds tokens for a request's first attempt, up to the size of the bucket
 * @budget_pct: retries per hundred requests
 */
void rty_refill (RtyBucket *bucket, uint32_t budget_pct);

/** rty_available() - whether the bucket holds a token. */
bool rty_available (const RtyBucket *bucket);

/** rty_consume() - consumes a token for a retry; false when the bucket holds none. */
bool rty_consume (RtyBucket *bucket);
