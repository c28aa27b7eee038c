extern "C"
{
#include "plc.h"
}

#include <gtest/gtest.h>
#include <random>
#include <set>
#include <vector>

namespace
{
PlcCandidate
Upstream (uint32_t hash, uint32_t region = 0, uint32_t in_flight = 0)
{
  PlcCandidate candidate = {};
  candidate.listed = true;
  candidate.usable = true;
  candidate.hash = hash;
  candidate.region = region;
  candidate.slots = 4;
  candidate.in_flight = in_flight;
  candidate.rtt_ms = region == 0 ? 2 : 70;
  candidate.slowness_permille = 1000;
  return candidate;
}

std::vector<PlcCandidate>
Region (int count, uint32_t region = 0)
{
  std::vector<PlcCandidate> all;
  for (int i = 0; i < count; i++)
    all.push_back (Upstream (7919u * (i + 1) + region * 101, region));
  return all;
}

void
Know (PlcCandidate *candidate, const uint32_t *objects, uint32_t count = 1)
{
  candidate->objects = objects;
  candidate->object_count = count;
}

PlcRequest
Asks (uint32_t key)
{
  PlcRequest request = {};
  request.key = key;
  request.cold_ms = 600;
  request.warm_ms = 200;
  request.wait_max_ms = 250;
  request.regions = UINT32_MAX;
  return request;
}

uint32_t
Choose (const std::vector<PlcCandidate> &all, const PlcRequest &request)
{
  return plc_choose (all.data (), static_cast<uint32_t> (all.size ()), &request);
}
}

TEST (Plc, EveryNodeChoosesTheSameUpstreamForAnObject)
{
  std::vector<PlcCandidate> all = Region (10);
  for (uint32_t key = 1; key < 50; key++)
    {
      uint32_t first = all[Choose (all, Asks (key))].hash;
      std::vector<PlcCandidate> other (all.rbegin (), all.rend ());
      EXPECT_EQ (other[Choose (other, Asks (key))].hash, first);
    }
}

// Load: more requests for an object than its upstream has slots, while others idle.
TEST (Plc, WaitsWhereTheObjectIsKnownRatherThanSpreadingIt)
{
  std::vector<PlcCandidate> all = Region (10);
  std::set<uint32_t> used;
  for (int i = 0; i < 12; i++)
    {
      uint32_t index = Choose (all, Asks (5));
      if (index == PLC_NONE)
        break;
      all[index].in_flight++;
      used.insert (index);
    }
  EXPECT_LE (used.size (), 2u);
}

// Load: many objects and few upstreams near; those would forget each object before it comes again.
TEST (Plc, ARegionWithFewUpstreamsTakesAPartOfTheObjects)
{
  std::vector<PlcCandidate> all = Region (2);
  for (const PlcCandidate &candidate : Region (8, 1))
    all.push_back (candidate);
  int near = 0;
  for (uint32_t key = 1; key <= 200; key++)
    {
      PlcRequest request = Asks (key);
      request.objects = 200;
      near += Choose (all, request) < 2;
    }
  EXPECT_GT (near, 20);
  EXPECT_LE (near, 2 * PLC_OBJECTS_PER_UPSTREAM + 20);
}

TEST (Plc, GoesElsewhereOnlyWhenNoLikelyUpstreamCanServe)
{
  std::vector<PlcCandidate> all = Region (6);
  std::set<uint32_t> used;
  for (int i = 0; i < 6; i++)
    {
      uint32_t index = Choose (all, Asks (9));
      ASSERT_NE (index, PLC_NONE);
      EXPECT_TRUE (used.insert (index).second);
      all[index].usable = false;
    }
  EXPECT_EQ (Choose (all, Asks (9)), PLC_NONE);
}

TEST (Plc, AFarUpstreamThatKnowsTheObjectIsBetterThanANearOneThatDoesNot)
{
  std::vector<PlcCandidate> all = { Upstream (1, 0), Upstream (2, 1) };
  const uint32_t known = 3;
  Know (&all[1], &known);
  PlcRequest request = Asks (3);
  request.warm_ms = 100;
  request.cold_ms = 900;
  EXPECT_EQ (Choose (all, request), 1u);
}

// Load: an upstream joins while all objects are known elsewhere.
TEST (Plc, OneThatJoinedIsTriedWithAnObjectThatIsAssignedToIt)
{
  std::vector<PlcCandidate> all = Region (4);
  std::vector<uint32_t> known;
  for (uint32_t key = 1; key <= 100; key++)
    known.push_back (key);
  for (PlcCandidate &candidate : all)
    Know (&candidate, known.data (), 100);
  all.push_back (Upstream (424242));
  all.back ().untried = true;
  int tried = 0;
  for (uint32_t key = 1; key <= 100; key++)
    tried += Choose (all, Asks (key)) == 4;
  EXPECT_GT (tried, 5);
  EXPECT_LT (tried, 50);
  all.back ().in_flight = 1;
  for (uint32_t key = 1; key <= 100; key++)
    EXPECT_NE (Choose (all, Asks (key)), 4u);
}

TEST (Plc, ASlowUpstreamIsAvoided)
{
  std::vector<PlcCandidate> all = Region (2);
  uint32_t first = Choose (all, Asks (4));
  all[first].slowness_permille = 5000;
  EXPECT_NE (Choose (all, Asks (4)), first);
}

TEST (Plc, LeavesTheReserveToMoreUrgentRequests)
{
  std::vector<PlcCandidate> all = Region (1);
  PlcRequest request = Asks (0);
  request.reserve = 2;
  EXPECT_EQ (Choose (all, request), 0u);
  all[0].in_flight = 2;
  EXPECT_EQ (Choose (all, request), PLC_NONE);
  request.reserve = 0;
  EXPECT_EQ (Choose (all, request), 0u);
}

// Property: whatever is chosen is usable, and without an object it has a free slot.
TEST (Plc, GeneratedCasesNeverUseWhatIsNotUsableOrFull)
{
  std::mt19937 random (20261204);
  for (int round = 0; round < 3000; round++)
    {
      std::vector<PlcCandidate> all;
      uint32_t key = round % 2 == 0 ? 0 : random () | 1u;
      int count = 1 + static_cast<int> (random () % 12);
      bool room = false;
      for (int i = 0; i < count; i++)
        {
          PlcCandidate candidate = Upstream (random (), random () % 3, random () % 7);
          candidate.usable = random () % 3 != 0;
          if (random () % 4 == 0)
            Know (&candidate, &key);
          room = room || (candidate.usable && candidate.in_flight < candidate.slots);
          all.push_back (candidate);
        }
      uint32_t index = Choose (all, Asks (key));
      EXPECT_TRUE (key != 0 || room == (index != PLC_NONE));
      if (index == PLC_NONE)
        continue;
      EXPECT_TRUE (all[index].usable);
      EXPECT_TRUE (key != 0 || all[index].in_flight < all[index].slots);
    }
}

// Property: losing one upstream moves only the objects that it had.
TEST (Plc, TheLossOfAnUpstreamMovesFewObjects)
{
  std::vector<PlcCandidate> all = Region (10);
  std::vector<PlcCandidate> fewer = all;
  fewer[3].listed = false;
  fewer[3].usable = false;
  int moved = 0;
  for (uint32_t key = 1; key <= 500; key++)
    {
      uint32_t before = Choose (all, Asks (key));
      if (before != 3)
        moved += Choose (fewer, Asks (key)) != before;
    }
  EXPECT_EQ (moved, 0);
}
