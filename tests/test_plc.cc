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
  candidate.eligible = true;
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
  std::vector<PlcCandidate> upstreams;
  for (int i = 0; i < count; i++)
    upstreams.push_back (Upstream (7919u * (i + 1) + region * 101, region));
  return upstreams;
}

void
MakeWarm (PlcCandidate *candidate, const uint32_t *objects, uint32_t count = 1)
{
  candidate->objects = objects;
  candidate->object_count = count;
}

PlcRequest
Request (uint32_t key)
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
Choose (const std::vector<PlcCandidate> &upstreams, const PlcRequest &request)
{
  return plc_choose (upstreams.data (), static_cast<uint32_t> (upstreams.size ()), &request);
}
}

TEST (Plc, ChoosesSameUpstreamRegardlessOfCandidateOrder)
{
  std::vector<PlcCandidate> upstreams = Region (10);
  for (uint32_t key = 1; key < 50; key++)
    {
      uint32_t primary = upstreams[Choose (upstreams, Request (key))].hash;
      std::vector<PlcCandidate> reversed (upstreams.rbegin (), upstreams.rend ());
      EXPECT_EQ (reversed[Choose (reversed, Request (key))].hash, primary);
    }
}

// Overload of one object: more concurrent requests than its upstream has slots, while others are
// idle.
TEST (Plc, QueuesAtAssignedUpstreamWhileOthersAreIdle)
{
  std::vector<PlcCandidate> upstreams = Region (10);
  std::set<uint32_t> used;
  for (int i = 0; i < 12; i++)
    {
      uint32_t index = Choose (upstreams, Request (5));
      if (index == PLC_NONE)
        break;
      upstreams[index].in_flight++;
      used.insert (index);
    }
  EXPECT_LE (used.size (), 2u);
}

// Many objects and few upstreams in the local region: assigned all objects, each upstream would be
// cold for an object by its next request.
TEST (Plc, RegionWithFewUpstreamsServesPartOfTheObjects)
{
  std::vector<PlcCandidate> upstreams = Region (2);
  for (const PlcCandidate &candidate : Region (8, 1))
    upstreams.push_back (candidate);
  int local = 0;
  for (uint32_t key = 1; key <= 200; key++)
    {
      PlcRequest request = Request (key);
      request.objects = 200;
      local += Choose (upstreams, request) < 2;
    }
  EXPECT_GT (local, 20);
  EXPECT_LE (local, 2 * PLC_OBJECTS_PER_UPSTREAM + 20);
}

TEST (Plc, ChoosesAnotherUpstreamWhenTheChosenOneIsUnusable)
{
  std::vector<PlcCandidate> upstreams = Region (6);
  std::set<uint32_t> used;
  for (int i = 0; i < 6; i++)
    {
      uint32_t index = Choose (upstreams, Request (9));
      ASSERT_NE (index, PLC_NONE);
      EXPECT_TRUE (used.insert (index).second);
      upstreams[index].usable = false;
    }
  EXPECT_EQ (Choose (upstreams, Request (9)), PLC_NONE);
}

TEST (Plc, PrefersWarmRemoteUpstreamToColdLocalOne)
{
  std::vector<PlcCandidate> upstreams = { Upstream (1, 0), Upstream (2, 1) };
  const uint32_t object = 3;
  MakeWarm (&upstreams[1], &object);
  PlcRequest request = Request (3);
  request.warm_ms = 100;
  request.cold_ms = 900;
  EXPECT_EQ (Choose (upstreams, request), 1u);
}

// An upstream joins while all others are warm for all objects.
TEST (Plc, IdleJoinedUpstreamGetsRequestsForItsObjects)
{
  std::vector<PlcCandidate> upstreams = Region (4);
  std::vector<uint32_t> warm_objects;
  for (uint32_t key = 1; key <= 100; key++)
    warm_objects.push_back (key);
  for (PlcCandidate &candidate : upstreams)
    MakeWarm (&candidate, warm_objects.data (), 100);
  upstreams.push_back (Upstream (424242));
  upstreams.back ().untried = true;
  int tried = 0;
  for (uint32_t key = 1; key <= 100; key++)
    tried += Choose (upstreams, Request (key)) == 4;
  EXPECT_GT (tried, 5);
  EXPECT_LT (tried, 50);
  upstreams.back ().in_flight = 1;
  for (uint32_t key = 1; key <= 100; key++)
    EXPECT_NE (Choose (upstreams, Request (key)), 4u);
}

TEST (Plc, AvoidsSlowPrimary)
{
  std::vector<PlcCandidate> upstreams = Region (2);
  uint32_t primary = Choose (upstreams, Request (4));
  upstreams[primary].slowness_permille = 5000;
  EXPECT_NE (Choose (upstreams, Request (4)), primary);
}

// A neighbour slows the primary's machine to 2.5 times the time for some 600 ms: warm work there
// still beats work on an upstream that is cold for the object.
TEST (Plc, ShortSlowdownMovesNoObject)
{
  std::vector<PlcCandidate> upstreams = Region (6);
  for (uint32_t key = 1; key <= 200; key++)
    {
      uint32_t primary = Choose (upstreams, Request (key));
      upstreams[primary].pace_permille = 2500;
      EXPECT_EQ (Choose (upstreams, Request (key)), primary);
      upstreams[primary].pace_permille = 0;
    }
}

TEST (Plc, LastingSlowdownMovesObjects)
{
  std::vector<PlcCandidate> upstreams = Region (6);
  for (uint32_t key = 1; key <= 200; key++)
    {
      uint32_t primary = Choose (upstreams, Request (key));
      upstreams[primary].slow = true;
      upstreams[primary].slowness_permille = 2500;
      EXPECT_NE (Choose (upstreams, Request (key)), primary);
      upstreams[primary].slow = false;
      upstreams[primary].slowness_permille = 1000;
    }
}

// The primary runs more requests than it serves well, and the standby is warm for the object.
TEST (Plc, StandbyServesBeyondTheKneeOfThePrimary)
{
  std::vector<PlcCandidate> upstreams = Region (6);
  const uint32_t object = 5;
  uint32_t primary = Choose (upstreams, Request (object));
  for (uint32_t i = 0; i < upstreams.size (); i++)
    if (i != primary)
      MakeWarm (&upstreams[i], &object);
  upstreams[primary].good_slots = 2;
  EXPECT_EQ (Choose (upstreams, Request (object)), primary);
  upstreams[primary].in_flight = 2;
  EXPECT_NE (Choose (upstreams, Request (object)), primary);
  upstreams[primary].good_slots = 0;
  EXPECT_EQ (Choose (upstreams, Request (object)), primary);
}

// A knee learned by mistake must not reject requests that the registered slots can run.
TEST (Plc, RequestsWithoutObjectPreferGoodSlotsButUseAll)
{
  std::vector<PlcCandidate> upstreams = Region (2);
  upstreams[0].good_slots = 2;
  upstreams[0].in_flight = 2;
  upstreams[1].in_flight = 3;
  EXPECT_EQ (Choose (upstreams, Request (0)), 1u);
  upstreams[1].in_flight = 4;
  EXPECT_EQ (Choose (upstreams, Request (0)), 0u);
  upstreams[0].in_flight = 4;
  EXPECT_EQ (Choose (upstreams, Request (0)), PLC_NONE);
}

TEST (Plc, ChoosesNoneWhenOnlyReservedSlotsAreFree)
{
  std::vector<PlcCandidate> upstreams = Region (1);
  PlcRequest request = Request (0);
  request.reserved_slots = 2;
  EXPECT_EQ (Choose (upstreams, request), 0u);
  upstreams[0].in_flight = 2;
  EXPECT_EQ (Choose (upstreams, request), PLC_NONE);
  request.reserved_slots = 0;
  EXPECT_EQ (Choose (upstreams, request), 0u);
}

// The chosen upstream is usable, and has a free slot when the request has no object.
TEST (Plc, RandomCandidatesNeverYieldUnusableOrFullUpstream)
{
  std::mt19937 random (20261204);
  for (int round = 0; round < 3000; round++)
    {
      std::vector<PlcCandidate> upstreams;
      uint32_t key = round % 2 == 0 ? 0 : random () | 1u;
      int count = 1 + static_cast<int> (random () % 12);
      bool has_free_slot = false;
      for (int i = 0; i < count; i++)
        {
          PlcCandidate candidate = Upstream (random (), random () % 3, random () % 7);
          candidate.usable = random () % 3 != 0;
          if (random () % 4 == 0)
            MakeWarm (&candidate, &key);
          has_free_slot
              = has_free_slot || (candidate.usable && candidate.in_flight < candidate.slots);
          upstreams.push_back (candidate);
        }
      uint32_t index = Choose (upstreams, Request (key));
      EXPECT_TRUE (key != 0 || has_free_slot == (index != PLC_NONE));
      if (index == PLC_NONE)
        continue;
      EXPECT_TRUE (upstreams[index].usable);
      EXPECT_TRUE (key != 0 || upstreams[index].in_flight < upstreams[index].slots);
    }
}

// The loss of an upstream moves only the objects that were assigned to it.
TEST (Plc, LossOfOneUpstreamMovesOnlyItsObjects)
{
  std::vector<PlcCandidate> upstreams = Region (10);
  std::vector<PlcCandidate> remaining = upstreams;
  remaining[3].eligible = false;
  remaining[3].usable = false;
  int moved = 0;
  for (uint32_t key = 1; key <= 500; key++)
    {
      uint32_t before = Choose (upstreams, Request (key));
      if (before != 3)
        moved += Choose (remaining, Request (key)) != before;
    }
  EXPECT_EQ (moved, 0);
}
