// Planner: demand goes to the nearest zones with free capacity; shares stay while demand is unknown
// or new targets would change little.
#include <glib.h>
#include <rpc/rpc.h>
extern "C"
{
#include "pln.h"
}
#include <gtest/gtest.h>
#include <random>
#include <string>

namespace
{

using Matrix = uint32_t[ZONES_MAX][ZONES_MAX];

PlnInput
Input (uint32_t zones)
{
  PlnInput input = {};
  input.zone_count = zones;
  for (uint32_t a = 0; a < zones; a++)
    {
      input.region_of[a] = (uint8_t) (a / 2);
      input.capacity_milli[a] = 10000;
      input.demand_milli[a] = 1000;
      input.demand_known[a] = true;
      for (uint32_t b = 0; b < zones; b++)
        input.latency_ms[a][b] = a == b ? 0 : (a / 2 == b / 2 ? 1 : 35);
    }
  return input;
}

void
Identity (Matrix shares, uint32_t zones)
{
  memset (shares, 0, sizeof (Matrix));
  for (uint32_t z = 0; z < zones; z++)
    shares[z][z] = SHARE_ONE_PPM;
}

TEST (Pln, GroupsWithoutSharesGetTheirNearestZones)
{
  PlnInput input = Input (4);
  Matrix current = {}, target;
  EXPECT_EQ (PLN_MOVE_FIRST, pln_targets (&input, current, target));
  for (int z = 0; z < 4; z++)
    EXPECT_EQ (SHARE_ONE_PPM, target[z][z]);
}

TEST (Pln, DemandOverCapacityGoesToTheNextNearestZone)
{
  PlnInput input = Input (4);
  Matrix current, target;
  Identity (current, 4);
  input.demand_milli[0] = 14000;
  EXPECT_EQ (PLN_MOVE_OVER_CAPACITY, pln_targets (&input, current, target));
  EXPECT_GT (target[0][1], 250000u);
  EXPECT_EQ (0u, target[0][2] + target[0][3]);
}

TEST (Pln, ShareOfExcludedZoneGoesToTheNextNearestZone)
{
  PlnInput input = Input (4);
  Matrix current, target;
  Identity (current, 4);
  input.excluded[2] = true;
  EXPECT_EQ (PLN_MOVE_EXCLUDED_ZONE, pln_targets (&input, current, target));
  EXPECT_EQ (SHARE_ONE_PPM, target[2][3]);
}

TEST (Pln, UnknownDemandKeepsCurrentShares)
{
  PlnInput input = Input (4);
  Matrix current, target;
  Identity (current, 4);
  input.demand_milli[0] = 14000;
  input.demand_known[1] = false;
  EXPECT_EQ (PLN_KEEP_DEMAND_UNKNOWN, pln_targets (&input, current, target));
  EXPECT_EQ (0, memcmp (current, target, sizeof (Matrix)));
}

TEST (Pln, NoCapacityKeepsCurrentShares)
{
  PlnInput input = Input (2);
  Matrix current, target;
  Identity (current, 2);
  input.capacity_milli[0] = input.capacity_milli[1] = 0;
  EXPECT_EQ (PLN_KEEP_NO_CAPACITY, pln_targets (&input, current, target));
  EXPECT_EQ (0, memcmp (current, target, sizeof (Matrix)));
}

TEST (Pln, LimitedLinkCarriesTrafficWhenLocalZonesAreExcluded)
{
  PlnInput input = Input (4);
  Matrix current, target;
  Identity (current, 4);
  input.capacity_milli[0] = input.capacity_milli[1] = 0;
  input.excluded[0] = input.excluded[1] = true;
  input.demand_milli[0] = 4000;
  input.demand_bytes_per_s[0] = 1000000;
  input.link_limited[0][1] = true;
  input.link_free_bytes_per_s[0][1] = 250000;
  uint64_t link_bytes_per_s = 0;
  pln_targets (&input, current, target);
  for (int g = 0; g < 2; g++)
    link_bytes_per_s += input.demand_bytes_per_s[g] * (target[g][2] + target[g][3]) / SHARE_ONE_PPM;
  EXPECT_LE (input.link_free_bytes_per_s[0][1], 250000u);
  EXPECT_GT (link_bytes_per_s, 0u);
}

TEST (Pln, DemandNoiseWithinCapacityKeepsCurrentShares)
{
  std::mt19937 random (7);
  PlnInput input = Input (6);
  Matrix current, target;
  Identity (current, 6);
  int changes = 0;
  for (int minute = 0; minute < 3600; minute++)
    {
      for (int g = 0; g < 6; g++)
        input.demand_milli[g] = 6000 + random () % 3000;
      PlnReason reason = pln_targets (&input, current, target);
      changes += reason == PLN_MOVE_LATENCY || reason == PLN_MOVE_OVER_CAPACITY;
      memcpy (current, target, sizeof (Matrix));
    }
  EXPECT_EQ (0, changes);
}

TEST (Pln, TargetsStayWithinCapacityWhenDemandFits)
{
  for (uint32_t seed = 1; seed <= 3000; seed++)
    {
      std::mt19937 random (seed);
      uint32_t zones = 2 + random () % 5;
      PlnInput input = Input (zones);
      uint64_t capacity = 0, demand = 0;
      for (uint32_t z = 0; z < zones; z++)
        {
          input.capacity_milli[z] = random () % 40000;
          input.excluded[z] = random () % 5 == 0;
          capacity += input.excluded[z] ? 0 : input.capacity_milli[z];
        }
      for (uint32_t g = 0; g < zones; g++)
        {
          input.demand_milli[g] = random () % 8000;
          demand += MAX (input.demand_milli[g], 1);
        }
      if (demand > capacity)
        continue;
      Matrix current = {}, target;
      pln_targets (&input, current, target);
      for (uint32_t z = 0; z < zones; z++)
        {
          uint64_t load = 0;
          for (uint32_t g = 0; g < zones; g++)
            load += input.demand_milli[g] * target[g][z] / SHARE_ONE_PPM;
          ASSERT_LE (load, (input.excluded[z] ? 0 : input.capacity_milli[z]) + zones)
              << "seed " << seed;
        }
      for (uint32_t g = 0; g < zones; g++)
        {
          uint64_t sum = 0;
          for (uint32_t z = 0; z < zones; z++)
            sum += target[g][z];
          ASSERT_EQ (SHARE_ONE_PPM, sum) << "seed " << seed;
        }
    }
}

TEST (Pln, DecodedPlanKeepsSharesBudgetsAndRecentMoves)
{
  ObjTable table;
  obj_init (&table);
  obj_apply (&table, "platform/regions/a", 1, false,
             R"({"schema":1,"zones":["a1","a2"],"max_inflight":10})");
  obj_apply (&table, "teams/t/services/s", 2, false, R"({"schema":1,"upstreams":[]})");
  Cfg *cfg = cfg_build (&table);
  Plan *plan = pln_new ();
  PlnService *service = pln_add_service (plan, "s");
  uint32_t shares[ZONES_MAX] = { 300000, 700000 }, into_region[REGIONS_MAX] = { 50000 };
  shf_restore (&service->groups[0].state, shares, 50000, 0, into_region, 100);
  service->groups[0].present = true;
  bud_add_row (&service->budgets, "e1", 77);
  uint64_t weight[] = { 1 };
  bud_replan (&service->budgets, 1, 9, weight);
  plan->epoch = 12;
  pln_add_decision (plan, "moved %d", 5);
  char *text = pln_encode (plan, cfg, 200);
  Err err = {};
  Plan *decoded = pln_decode (text, cfg, 5000, &err);
  ASSERT_NE (nullptr, decoded) << err.text;
  EXPECT_EQ (12u, decoded->epoch);
  PlnService *decoded_service = pln_service (decoded, "s");
  EXPECT_EQ (700000u, decoded_service->groups[0].state.shares_ppm[1]);
  EXPECT_EQ (50000u, shf_used_ppm (&decoded_service->groups[0].state.shifts, 10000, 14999));
  EXPECT_EQ (9u, bud_row (&decoded_service->budgets, "e1", 77)->now[1]);
  EXPECT_STREQ ("moved 5", (char *) decoded->decisions->pdata[0]);
  EXPECT_EQ (nullptr, pln_decode ("{}", cfg, 0, &err));
  g_free (text);
  pln_free (plan);
  pln_free (decoded);
  cfg_free (cfg);
  obj_clear (&table);
}

} // namespace
