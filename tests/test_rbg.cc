#include <glib.h>

extern "C"
{
#include "rbg.h"
}

#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace
{
const RbgLimits kLimits = { 200, 60, 10000 };
}

TEST (Rbg, AllNodesTogetherStayWithinTheExtra)
{
  std::vector<RbgBudget> nodes (9);
  int taken = 0;
  for (RbgBudget &node : nodes)
    for (int i = 0; i < 100; i++)
      taken += rbg_take (&node, &kLimits, 9, 50000);
  EXPECT_GT (taken, 0);
  EXPECT_LE (taken, 60);
}

// Property: over any window, retries stay within the ratio of its requests and the extra, also when
// every node restarts in between.
TEST (Rbg, GeneratedLoadsKeepTheBudgetInEveryWindow)
{
  std::mt19937 random (4711);
  for (int round = 0; round < 20; round++)
    {
      uint32_t count = 1 + random () % 12;
      std::vector<RbgBudget> nodes (count);
      std::vector<uint64_t> requests;
      std::vector<uint64_t> retries;
      uint64_t restart_ms = 100000 + random () % 20000;
      for (uint64_t now_ms = 100000; now_ms < 130000; now_ms += 5)
        {
          if (now_ms == restart_ms / 5 * 5)
            nodes.assign (count, RbgBudget ());
          RbgBudget &node = nodes[random () % count];
          if (random () % 3 == 0)
            {
              rbg_request (&node, now_ms);
              requests.push_back (now_ms);
            }
          for (int i = 0; i < 3; i++)
            if (rbg_take (&node, &kLimits, count, now_ms))
              retries.push_back (now_ms);
        }
      for (uint64_t start = 100000; start < 130000; start += 250)
        {
          auto within = [&] (const std::vector<uint64_t> &times) {
            int sum = 0;
            for (uint64_t t : times)
              sum += t >= start && t < start + kLimits.window_ms;
            return sum;
          };
          EXPECT_LE (within (retries), within (requests) / 5 + 60) << "window from " << start;
        }
    }
}

TEST (Rbg, ABudgetThatWasSpentComesBackAfterItsWindow)
{
  RbgBudget budget = {};
  while (rbg_take (&budget, &kLimits, 1, 1000000))
    continue;
  EXPECT_FALSE (rbg_take (&budget, &kLimits, 1, 1009000));
  EXPECT_TRUE (rbg_take (&budget, &kLimits, 1, 1012000));
}
