// Retry token bucket: retries stay within their share of the requests.
#include <glib.h>
extern "C"
{
#include "rty.h"
}
#include <gtest/gtest.h>

namespace
{

TEST (Rty, RetriesStayWithinTheirShareOfRequests)
{
  RtyBudget bucket = {};
  int retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      rty_request (&bucket, 10);
      while (rty_take (&bucket))
        retries++;
    }
  EXPECT_EQ (100, retries);
}

TEST (Rty, UnusedTokensAreLimitedToTheBucketSize)
{
  RtyBudget bucket = {};
  int retries = 0;
  for (int i = 0; i < 100000; i++)
    rty_request (&bucket, 10);
  while (rty_take (&bucket))
    retries++;
  EXPECT_EQ (10, retries);
}

TEST (Rty, ZeroBudgetAllowsNoRetry)
{
  RtyBudget bucket = {};
  rty_request (&bucket, 0);
  EXPECT_FALSE (rty_take (&bucket));
}

} // namespace
