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
  RtyBucket bucket = {};
  int retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      rty_refill (&bucket, 10);
      while (rty_consume (&bucket))
        retries++;
    }
  EXPECT_EQ (100, retries);
}

TEST (Rty, UnusedTokensAreLimitedToTheBucketSize)
{
  RtyBucket bucket = {};
  int retries = 0;
  for (int i = 0; i < 100000; i++)
    rty_refill (&bucket, 10);
  while (rty_consume (&bucket))
    retries++;
  EXPECT_EQ (10, retries);
}

TEST (Rty, ZeroBudgetAllowsNoRetry)
{
  RtyBucket bucket = {};
  rty_refill (&bucket, 0);
  EXPECT_FALSE (rty_consume (&bucket));
}

} // namespace
