/* Retry budget: retries as a share of requests. */
#include "rty.h"

#define RETRY_PCT 100
#define BURST_RETRIES 10

void
rty_request (RtyBudget *budget, uint32_t budget_pct)
{
  budget->tokens_pct += budget_pct;
  if (budget->tokens_pct > BURST_RETRIES * RETRY_PCT)
    budget->tokens_pct = BURST_RETRIES * RETRY_PCT;
}

bool
rty_available (const RtyBudget *budget)
{
  return budget->tokens_pct >= RETRY_PCT;
}

bool
rty_take (RtyBudget *budget)
{
  if (!rty_available (budget))
    return false;
  budget->tokens_pct -= RETRY_PCT;
  return true;
}
