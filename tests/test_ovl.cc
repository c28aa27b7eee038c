// Rank of a cell's nodes, and the tree along which updates are forwarded.
#include <cstdint>

extern "C"
{
#include "ovl.h"
}

#include <gtest/gtest.h>
#include <set>

TEST (Overlay, ServingNodesRankFirstThenByCapacity)
{
  OvlNode small = { 9, 100, true };
  OvlNode large = { 3, 500, true };
  OvlNode starting = { 8, 900, false };
  EXPECT_TRUE (ovl_precedes (&large, &small));
  EXPECT_TRUE (ovl_precedes (&small, &starting));
  EXPECT_FALSE (ovl_precedes (&small, &small));
}

TEST (Overlay, TreeReachesEveryNodeExactlyOnce)
{
  for (uint32_t count : { 1u, 2u, 5u, 33u, 58u, 160u, 640u })
    {
      std::multiset<uint32_t> reached = { 0 };
      for (uint32_t rank = 0; rank < count; rank++)
        {
          uint32_t children[OVL_FANOUT];
          uint32_t written = ovl_children (rank, count, children);
          reached.insert (children, children + written);
        }
      EXPECT_EQ (reached.size (), count);
      EXPECT_EQ (std::set<uint32_t> (reached.begin (), reached.end ()).size (), count);
    }
}

TEST (Overlay, RelayRotatesOverAllNodesOfACell)
{
  std::set<uint32_t> relays;
  for (uint32_t sequence = 0; sequence < 33; sequence++)
    relays.insert (ovl_relay (7, sequence, 33));
  EXPECT_EQ (relays.size (), 33u);
  EXPECT_EQ (ovl_relay (7, 1, 0), 0u);
}
