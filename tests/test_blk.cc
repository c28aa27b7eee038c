// Longest prefix match of client blocks, checked against a linear scan.
#include <glib.h>
extern "C"
{
#include "blk.h"
}
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace
{

uint16_t
LinearScan (const std::vector<BlkBlock> &blocks, uint32_t ip)
{
  int best = -1;
  uint16_t group = BLK_NONE;
  for (const BlkBlock &block : blocks)
    {
      uint32_t mask = block.length == 0 ? 0 : ~(uint32_t) 0 << (32 - block.length);
      if ((ip & mask) == block.ip && (int) block.length >= best)
        {
          best = block.length;
          group = block.group;
        }
    }
  return group;
}

TEST (Blk, LookupMatchesLinearScan)
{
  for (uint32_t seed = 1; seed <= 200; seed++)
    {
      std::mt19937 random (seed);
      std::vector<BlkBlock> blocks;
      for (int i = 0; i < 60; i++)
        {
          uint8_t length = random () % 33;
          uint32_t mask = length == 0 ? 0 : ~(uint32_t) 0 << (32 - length);
          BlkBlock block
              = { (uint32_t) (random () & 0x0f0f00ff) & mask, length, (uint16_t) (random () % 5) };
          bool known = false;
          for (const BlkBlock &other : blocks)
            known = known || (other.ip == block.ip && other.length == block.length);
          if (!known)
            blocks.push_back (block);
        }
      std::vector<BlkBlock> sorted = blocks;
      BlkTable *table = blk_build (sorted.data (), sorted.size ());
      for (int i = 0; i < 300; i++)
        {
          uint32_t ip = i < 60 && i < (int) blocks.size () ? blocks[i].ip : random () & 0x0f0f00ff;
          ASSERT_EQ (LinearScan (blocks, ip), blk_lookup (table, ip))
              << "seed " << seed << " ip " << ip;
          ASSERT_EQ (blk_lookup_unindexed (table, ip), blk_lookup (table, ip));
        }
      blk_unref (table);
    }
}

TEST (Blk, EmptyTableReturnsNone)
{
  BlkTable *table = blk_build (nullptr, 0);
  EXPECT_EQ (BLK_NONE, blk_lookup (table, 0));
  EXPECT_EQ (BLK_NONE, blk_lookup (table, UINT32_MAX));
  blk_unref (table);
}

TEST (Blk, ParseRejectsMalformedBlocksAndHostBits)
{
  BlkBlock block = {};
  EXPECT_TRUE (blk_block_parse ("10.1.0.0/16", &block));
  EXPECT_EQ (0x0a010000u, block.ip);
  EXPECT_TRUE (blk_block_parse ("0.0.0.0/0", &block));
  EXPECT_FALSE (blk_block_parse ("10.1.0.1/16", &block));
  EXPECT_FALSE (blk_block_parse ("10.1.0.0/33", &block));
  EXPECT_FALSE (blk_block_parse ("10.1.0.0", &block));
  EXPECT_FALSE (blk_block_parse ("x/8", &block));
}

} // namespace
