/* Retry budget: retries as a share of requests. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** struct RtyBudget - @tokens_pct: hundredths of a retry in store */
typedef struct
{
  uint32_t tokens_pct;
} RtyBudget;

/** rty_request() - a first attempt adds @budget_pct hundredths of a retry. */
void rty_request (RtyBudget *budget, uint32_t budget_pct);

/** rty_available() - a retry would be allowed now. */
bool rty_available (const RtyBudget *budget);

/** rty_take() - true when a retry is allowed; it is then used up. */
bool rty_take (RtyBudget *budget);
