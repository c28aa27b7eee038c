// Budgets: the sum over the entries stays within the limit while some entries still use older
// plans.
#include <glib.h>
extern "C"
{
#include "bud.h"
}
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace
{

// An entry that applies plans and reports its use with a delay of several plans.
struct DelayedEntry
{
  std::string vm;
  uint32_t plan = 0;
  uint64_t epoch = 0;
};

TEST (Bud, AllotmentGrowsOnlyAfterOtherEntryReportsLowerUse)
{
  BudTable table;
  bud_init (&table);
  bud_add_row (&table, "a", 1);
  bud_add_row (&table, "b", 1);
  uint64_t to_a[] = { 1, 0 };
  uint64_t to_b[] = { 0, 1 };
  EXPECT_TRUE (bud_replan (&table, 0, 10, to_a));
  EXPECT_EQ (10u, bud_row (&table, "a", 1)->now[0]);
  bud_replan (&table, 0, 10, to_b);
  EXPECT_EQ (0u, bud_row (&table, "a", 1)->now[0]);
  EXPECT_EQ (0u, bud_row (&table, "b", 1)->now[0]);
  bud_lower_ceiling (bud_row (&table, "a", 1), 0, 0);
  bud_replan (&table, 0, 10, to_b);
  EXPECT_EQ (10u, bud_row (&table, "b", 1)->now[0]);
  bud_clear (&table);
}

TEST (Bud, NewProcessGetsNoAllotmentUntilOldProcessRowIsRemoved)
{
  BudTable table;
  bud_init (&table);
  bud_add_row (&table, "a", 1);
  uint64_t one[] = { 1 };
  bud_replan (&table, 0, 6, one);
  bud_add_row (&table, "a", 2);
  uint64_t two[] = { 1, 1 };
  bud_replan (&table, 0, 6, two);
  EXPECT_EQ (0u, bud_row (&table, "a", 2)->now[0]);
  bud_remove_row (&table, "a", 1);
  bud_replan (&table, 0, 6, one);
  EXPECT_EQ (6u, bud_row (&table, "a", 2)->now[0]);
  bud_clear (&table);
}

TEST (Bud, SumStaysWithinLimitUnderDelayedPlansAndReports)
{
  for (uint32_t seed = 1; seed <= 3000; seed++)
    {
      std::mt19937 random (seed);
      BudTable table;
      bud_init (&table);
      std::vector<DelayedEntry> entries;
      for (int i = 0; i < 2 + (int) (random () % 9); i++)
        {
          entries.push_back ({ "e" + std::to_string (i), 0, 0 });
          bud_add_row (&table, entries.back ().vm.c_str (), 1);
        }
      const uint32_t limit = 1 + random () % 60;
      uint64_t epoch = 0;
      std::vector<std::vector<uint32_t>> plans = { std::vector<uint32_t> (entries.size (), 0) };
      for (int step = 0; step < 60; step++)
        {
          std::vector<uint64_t> weights (entries.size ());
          for (auto &weight : weights)
            weight = random () % 5;
          bud_replan (&table, 0, limit, weights.data ());
          epoch++;
          plans.emplace_back ();
          for (auto &entry : entries)
            plans.back ().push_back (bud_row (&table, entry.vm.c_str (), 1)->now[0]);
          uint32_t sum = 0;
          for (size_t i = 0; i < entries.size (); i++)
            {
              if (random () % 3 == 0 && entries[i].epoch < epoch)
                entries[i].epoch += 1 + random () % (epoch - entries[i].epoch);
              entries[i].plan = plans[entries[i].epoch][i];
              sum += entries[i].plan;
              if (entries[i].epoch == epoch && random () % 2 == 0)
                bud_lower_ceiling (bud_row (&table, entries[i].vm.c_str (), 1), 0,
                                   random () % (entries[i].plan + 1));
            }
          ASSERT_LE (sum, limit) << "seed " << seed << " step " << step;
          ASSERT_LE (bud_ceiling_sum (&table, 0), limit) << "seed " << seed;
        }
      bud_clear (&table);
    }
}

TEST (Bud, EveryEntryWithWeightGetsOneWhenLimitSuffices)
{
  BudTable table;
  bud_init (&table);
  for (const char *vm : { "a", "b", "c", "idle" })
    bud_add_row (&table, vm, 1);
  uint64_t weights[] = { 1000, 1, 1, 0 };
  bud_replan (&table, 0, 5, weights);
  EXPECT_EQ (3u, bud_row (&table, "a", 1)->now[0]);
  EXPECT_EQ (1u, bud_row (&table, "b", 1)->now[0]);
  EXPECT_EQ (1u, bud_row (&table, "c", 1)->now[0]);
  EXPECT_EQ (0u, bud_row (&table, "idle", 1)->now[0]);
  bud_clear (&table);
}

TEST (Bud, UseAboveAllotmentStaysReserved)
{
  BudTable table;
  bud_init (&table);
  bud_add_row (&table, "a", 1);
  bud_add_row (&table, "b", 1);
  uint64_t to_a[] = { 1, 0 }, to_b[] = { 0, 1 };
  bud_replan (&table, 0, 10, to_a);
  bud_replan (&table, 0, 10, to_b);
  EXPECT_TRUE (bud_lower_ceiling (bud_row (&table, "a", 1), 0, 4));
  bud_replan (&table, 0, 10, to_b);
  EXPECT_EQ (6u, bud_row (&table, "b", 1)->now[0]);
  bud_end_row (bud_row (&table, "a", 1), 0, 1);
  bud_replan (&table, 0, 10, to_b);
  EXPECT_EQ (9u, bud_row (&table, "b", 1)->now[0]);
  bud_clear (&table);
}

TEST (Bud, AllotmentsUseWholeLimit)
{
  BudTable table;
  bud_init (&table);
  for (int i = 0; i < 7; i++)
    bud_add_row (&table, ("e" + std::to_string (i)).c_str (), 1);
  uint64_t weights[] = { 3, 1, 4, 1, 5, 9, 2 };
  bud_replan (&table, 2, 100, weights);
  EXPECT_EQ (100u, bud_ceiling_sum (&table, 2));
  bud_clear (&table);
}

TEST (Bud, SpareCountsLoansAndIsZeroWhenOverdrawn)
{
  BudBalance balance = { 4, 2, 1, 3 };
  EXPECT_EQ (2u, bud_spare (&balance));
  EXPECT_EQ (2u, bud_in_use (&balance));
  balance.plan = 1;
  EXPECT_EQ (0u, bud_spare (&balance));
  EXPECT_EQ (2u, bud_in_use (&balance));
}

} // namespace
