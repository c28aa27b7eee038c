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

TEST (Rbg, AllNodesTogetherStayWithinTheExtraRetries)
{
  std::vector<RbgBudget> nodes (9);
  int allowed = 0;
  for (RbgBudget &node : nodes)
    for (int i = 0; i < 100; i++)
      allowed += rbg_consume (&node, &kLimits, 9, 50000);
  EXPECT_GT (allowed, 0);
  EXPECT_LE (allowed, 60);
}

// In any window the retries of all nodes must stay within the ratio of the requests plus
// the extra retries, also when all nodes restart in that window and lose their counts.
TEST (Rbg, RandomLoadWithRestartStaysWithinTheBudgetInEveryWindow)
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
              rbg_count_request (&node, now_ms);
              requests.push_back (now_ms);
            }
          for (int i = 0; i < 3; i++)
            if (rbg_consume (&node, &kLimits, count, now_ms))
              retries.push_back (now_ms);
        }
      for (uint64_t start = 100000; start < 130000; start += 250)
        {
          auto count_in_window = [&] (const std::vector<uint64_t> &times) {
            int sum = 0;
            for (uint64_t t : times)
              sum += t >= start && t < start + kLimits.window_ms;
            return sum;
          };
          EXPECT_LE (count_in_window (retries), count_in_window (requests) / 5 + 60)
              << "window from " << start;
        }
    }
}

TEST (Rbg, SpentBudgetIsAvailableAgainAfterTheWindow)
{
  RbgBudget budget = {};
  while (rbg_consume (&budget, &kLimits, 1, 1000000))
    continue;
  EXPECT_FALSE (rbg_consume (&budget, &kLimits, 1, 1009000));
  EXPECT_TRUE (rbg_consume (&budget, &kLimits, 1, 1012000));
}
