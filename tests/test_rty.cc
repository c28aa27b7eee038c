// Retry budget: retries stay a share of requests.
#include <glib.h>
extern "C"
{
#include "rty.h"
}
#include <gtest/gtest.h>

namespace
{

TEST (Rty, RetriesStayWithinTheShare)
{
  RtyBudget budget = {};
  int retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      rty_request (&budget, 10);
      while (rty_take (&budget))
        retries++;
    }
  EXPECT_EQ (100, retries);
}

TEST (Rty, SavedRetriesAreBounded)
{
  RtyBudget budget = {};
  int retries = 0;
  for (int i = 0; i < 100000; i++)
    rty_request (&budget, 10);
  while (rty_take (&budget))
    retries++;
  EXPECT_EQ (10, retries);
}

TEST (Rty, ZeroBudgetAllowsNone)
{
  RtyBudget budget = {};
  rty_request (&budget, 0);
  EXPECT_FALSE (rty_take (&budget));
}

} // namespace
