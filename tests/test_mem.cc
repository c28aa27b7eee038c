// Membership: news is ordered by incarnation; a paused member refutes; ranks agree.
#include <glib.h>
#include <rpc/rpc.h>
extern "C"
{
#include "mem.h"
}
#include <gtest/gtest.h>
#include <string>

namespace
{

wire_member
News (const char *vm, uint64_t incarnation, uint64_t refutation, int state)
{
  wire_member news = {};
  news.vm = const_cast<char *> (vm);
  news.region = const_cast<char *> ("r");
  news.zone = const_cast<char *> ("z");
  news.steer_addr = const_cast<char *> ("127.0.0.1:1");
  news.entry_http = const_cast<char *> ("127.0.0.1:2");
  news.entry_rpc = const_cast<char *> ("127.0.0.1:3");
  news.incarnation = incarnation;
  news.refutation = refutation;
  news.state = state;
  return news;
}

class MemTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    MemMember self = {};
    g_strlcpy (self.vm, "self", sizeof self.vm);
    g_strlcpy (self.region, "r", sizeof self.region);
    self.incarnation = 10;
    mem_init (&table_, &self);
  }
  void
  TearDown () override
  {
    g_ptr_array_unref (table_.members);
  }
  bool
  Learn (const char *vm, uint64_t incarnation, uint64_t refutation, int state)
  {
    wire_member news = News (vm, incarnation, refutation, state);
    return mem_learn (&table_, &news, 100);
  }
  MemTable table_;
};

TEST_F (MemTest, OldIncarnationIsIgnored)
{
  EXPECT_TRUE (Learn ("a", 5, 0, MEM_ALIVE));
  EXPECT_FALSE (Learn ("a", 4, 9, MEM_DEAD));
  EXPECT_EQ (MEM_ALIVE, mem_get (&table_, "a")->state);
  EXPECT_TRUE (Learn ("a", 6, 0, MEM_ALIVE));
  EXPECT_EQ (6u, mem_get (&table_, "a")->incarnation);
}

TEST_F (MemTest, PausedMemberComesBackAsTheSameOne)
{
  Learn ("a", 5, 0, MEM_ALIVE);
  Learn ("a", 5, 0, MEM_DEAD);
  EXPECT_EQ (MEM_DEAD, mem_get (&table_, "a")->state);
  EXPECT_FALSE (Learn ("a", 5, 0, MEM_ALIVE));
  EXPECT_TRUE (Learn ("a", 5, 1, MEM_ALIVE));
  EXPECT_EQ (5u, mem_get (&table_, "a")->incarnation);
  EXPECT_EQ (MEM_ALIVE, mem_get (&table_, "a")->state);
}

TEST_F (MemTest, RefutesWhatIsSaidOfItself)
{
  EXPECT_TRUE (Learn ("self", 10, 0, MEM_SUSPECT));
  EXPECT_EQ (MEM_ALIVE, mem_self (&table_)->state);
  EXPECT_EQ (1u, mem_self (&table_)->refutation);
  EXPECT_FALSE (Learn ("self", 9, 50, MEM_DEAD));
}

TEST_F (MemTest, SilenceMakesSuspectThenDead)
{
  Learn ("a", 5, 0, MEM_ALIVE);
  mem_heard (&table_, "a", 1000);
  mem_suspect (&table_, "a", 1000 + MEMBER_SUSPECT_MS - 1);
  EXPECT_EQ (MEM_ALIVE, mem_get (&table_, "a")->state);
  mem_suspect (&table_, "a", 1000 + MEMBER_SUSPECT_MS);
  EXPECT_EQ (MEM_SUSPECT, mem_get (&table_, "a")->state);
  mem_tick (&table_, 1000 + MEMBER_SUSPECT_MS + MEMBER_DEAD_MS);
  EXPECT_EQ (MEM_DEAD, mem_get (&table_, "a")->state);
}

TEST_F (MemTest, RanksOfARegionAreAPermutation)
{
  for (int i = 0; i < 7; i++)
    Learn (("m" + std::to_string (i)).c_str (), 5, 0, MEM_ALIVE);
  uint32_t seen = 0;
  for (uint32_t i = 0; i < table_.members->len; i++)
    {
      auto *member = static_cast<MemMember *> (table_.members->pdata[i]);
      seen |= 1u << mem_rank (&table_, member->vm, "salt");
    }
  EXPECT_EQ (0xffu, seen);
  EXPECT_EQ (UINT32_MAX, mem_rank (&table_, "nobody", "salt"));
}

} // namespace
