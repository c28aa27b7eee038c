// Node directory: number and choice of the addresses in a lookup's response.
#include <glib.h>

extern "C"
{
#include "dir.h"
}

#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace
{
constexpr uint32_t kPeers = 98;
constexpr uint32_t kAddressesMax = 64;

// A node whose region has more nodes than a response may list.
class NodeDirectory : public testing::Test
{
protected:
  void
  SetUp () override
  {
    node_ = g_new0 (Node, 1);
    node_->settings.zones = g_array_new (FALSE, TRUE, sizeof (NodZone));
    NodZone zone = {};
    g_array_append_val (node_->settings.zones, zone);
    node_->state = NOD_SERVING;
    node_->settings.front = NetAddr{ 1, 1 };
    per_init (&node_->peers);
    for (uint32_t i = 0; i < kPeers; i++)
      {
        PerPeer *peer = g_new0 (PerPeer, 1);
        g_snprintf (peer->vm, sizeof peer->vm, "edge-%u", i);
        peer->state = PER_SERVING;
        peer->front = NetAddr{ 100 + i, 1 };
        peer->last_seen_ms = 1000;
        g_hash_table_insert (node_->peers.peers, peer->vm, peer);
      }
  }

  void
  TearDown () override
  {
    per_clear (&node_->peers);
    g_array_unref (node_->settings.zones);
    g_free (node_);
  }

  std::set<std::string>
  Lookup ()
  {
    GPtrArray *found = dir_addresses (node_, 0, 1100);
    std::set<std::string> addresses;
    for (guint i = 0; i < found->len; i++)
      addresses.insert ((const char *) g_ptr_array_index (found, i));
    EXPECT_EQ (addresses.size (), found->len);
    g_ptr_array_unref (found);
    return addresses;
  }

  void
  SetCapacities (uint32_t self, uint32_t large_peers, uint32_t large, uint32_t small)
  {
    node_->settings.capacity = self;
    for (uint32_t i = 0; i < kPeers; i++)
      {
        std::string vm = "edge-" + std::to_string (i);
        auto *peer = static_cast<PerPeer *> (g_hash_table_lookup (node_->peers.peers, vm.c_str ()));
        peer->capacity = i < large_peers ? large : small;
      }
  }

  // Nodes of a fifth of the largest capacity are listed in a fifth of the responses.
  void
  ExpectShareOfSmallNodes (uint32_t large, uint32_t small)
  {
    constexpr uint32_t kLargePeers = 14;
    constexpr int kLookups = 400;
    SetCapacities (large, kLargePeers, large, small);
    std::map<std::string, int> listed;
    for (int i = 0; i < kLookups; i++)
      for (const std::string &address : Lookup ())
        listed[address]++;
    EXPECT_EQ (listed.size (), kPeers + 1);
    int listed_small = 0;
    for (const auto &[address, count] : listed)
      if (count < kLookups)
        listed_small += count;
    double mean = static_cast<double> (listed_small) / (kPeers - kLargePeers) / kLookups;
    EXPECT_NEAR (mean, 0.2, 0.02);
  }

  Node *node_ = nullptr;
};
}

TEST_F (NodeDirectory, ListsAtMostTheMaximum) { EXPECT_EQ (Lookup ().size (), kAddressesMax); }

// A node that no response lists gets no callers, and the others get too many.
TEST_F (NodeDirectory, RepeatedLookupsListEveryNode)
{
  std::set<std::string> listed;
  for (int i = 0; i < 40; i++)
    {
      std::set<std::string> sample = Lookup ();
      listed.insert (sample.begin (), sample.end ());
    }
  EXPECT_EQ (listed.size (), kPeers + 1);
}

// Guards against small VMs that get as many requests as those with several times their processors
// and bandwidth.
TEST_F (NodeDirectory, NodesAreListedInProportionToTheirCapacity)
{
  ExpectShareOfSmallNodes (500, 100);
}

// Guards against capacities from 2^31 on that become negative in a signed range.
TEST_F (NodeDirectory, LargestCapacitiesAreListedInProportionToo)
{
  ExpectShareOfSmallNodes (UINT32_MAX, UINT32_MAX / 5);
  ExpectShareOfSmallNodes (1u << 31, (1u << 31) / 5);
}

// Guards against a response with so few addresses that a caller runs out of them when some fail.
TEST_F (NodeDirectory, SmallNodesFillUpAResponseWithFewLargeOnes)
{
  SetCapacities (10000, 0, 0, 1);
  for (int i = 0; i < 20; i++)
    EXPECT_GE (Lookup ().size (), 8u);
}
