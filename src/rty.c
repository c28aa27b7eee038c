/* Retry budget of an entry: token bucket that requests refill. Pure: no I/O, no clock. */
#include "rty.h"

#define TOKEN_PCT 100
#define BUCKET_SIZE_TOKENS 10

void
rty_refill (RtyBucket *bucket, uint32_t budget_pct)
{
  bucket->tokens_pct += budget_pct;
  if (bucket->tokens_pct > BUCKET_SIZE_TOKENS * TOKEN_PCT)
    bucket->tokens_pct = BUCKET_SIZE_TOKENS * TOKEN_PCT;
}

bool
rty_available (const RtyBucket *bucket)
{
  return bucket->tokens_pct >= TOKEN_PCT;
}

bool
rty_consume (RtyBucket *bucket)
{
  if (!rty_available (bucket))
    return false;
  bucket->tokens_pct -= TOKEN_PCT;
  return true;
}
