// Membership: order of updates, refutation, failure detection, ranks.
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
MakeUpdate (const char *vm, uint64_t incarnation, uint64_t refutation, int state)
{
  wire_member update = {};
  update.vm = const_cast<char *> (vm);
  update.region = const_cast<char *> ("r");
  update.zone = const_cast<char *> ("z");
  update.steer_addr = const_cast<char *> ("127.0.0.1:1");
  update.entry_http = const_cast<char *> ("127.0.0.1:2");
  update.entry_rpc = const_cast<char *> ("127.0.0.1:3");
  update.incarnation = incarnation;
  update.refutation = refutation;
  update.state = state;
  return update;
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
  Apply (const char *vm, uint64_t incarnation, uint64_t refutation, int state)
  {
    wire_member update = MakeUpdate (vm, incarnation, refutation, state);
    return mem_apply (&table_, &update, 100);
  }
  MemTable table_;
};

TEST_F (MemTest, OlderIncarnationIsIgnored)
{
  EXPECT_TRUE (Apply ("a", 5, 0, MEM_ALIVE));
  EXPECT_FALSE (Apply ("a", 4, 9, MEM_DEAD));
  EXPECT_EQ (MEM_ALIVE, mem_get (&table_, "a")->state);
  EXPECT_TRUE (Apply ("a", 6, 0, MEM_ALIVE));
  EXPECT_EQ (6u, mem_get (&table_, "a")->incarnation);
}

TEST_F (MemTest, HigherRefutationRevivesDeadMemberInSameIncarnation)
{
  Apply ("a", 5, 0, MEM_ALIVE);
  Apply ("a", 5, 0, MEM_DEAD);
  EXPECT_EQ (MEM_DEAD, mem_get (&table_, "a")->state);
  EXPECT_FALSE (Apply ("a", 5, 0, MEM_ALIVE));
  EXPECT_TRUE (Apply ("a", 5, 1, MEM_ALIVE));
  EXPECT_EQ (5u, mem_get (&table_, "a")->incarnation);
  EXPECT_EQ (MEM_ALIVE, mem_get (&table_, "a")->state);
}

TEST_F (MemTest, ReportOfOwnSuspicionIsRefuted)
{
  EXPECT_TRUE (Apply ("self", 10, 0, MEM_SUSPECT));
  EXPECT_EQ (MEM_ALIVE, mem_self (&table_)->state);
  EXPECT_EQ (1u, mem_self (&table_)->refutation);
  EXPECT_FALSE (Apply ("self", 9, 50, MEM_DEAD));
}

TEST_F (MemTest, MemberWithoutReplyBecomesSuspectThenDead)
{
  Apply ("a", 5, 0, MEM_ALIVE);
  mem_record_reply (&table_, "a", 1000);
  mem_suspect (&table_, "a", 1000 + MEMBER_SUSPECT_MS - 1);
  EXPECT_EQ (MEM_ALIVE, mem_get (&table_, "a")->state);
  mem_suspect (&table_, "a", 1000 + MEMBER_SUSPECT_MS);
  EXPECT_EQ (MEM_SUSPECT, mem_get (&table_, "a")->state);
  mem_tick (&table_, 1000 + MEMBER_SUSPECT_MS + MEMBER_DEAD_MS);
  EXPECT_EQ (MEM_DEAD, mem_get (&table_, "a")->state);
}

TEST_F (MemTest, RanksInRegionAreUnique)
{
  for (int i = 0; i < 7; i++)
    Apply (("m" + std::to_string (i)).c_str (), 5, 0, MEM_ALIVE);
  uint32_t ranks = 0;
  for (uint32_t i = 0; i < table_.members->len; i++)
    {
      auto *member = static_cast<MemMember *> (table_.members->pdata[i]);
      ranks |= 1u << mem_rank (&table_, member->vm, "salt");
    }
  EXPECT_EQ (0xffu, ranks);
  EXPECT_EQ (UINT32_MAX, mem_rank (&table_, "nobody", "salt"));
}

// Guards against a state that another version or a damaged message sends: its name was read past
// the end of the table of names.
TEST_F (MemTest, UpdateWithAnUnknownStateIsIgnored)
{
  for (int state : { -1, MEM_DEAD + 1, 1 << 30 })
    {
      wire_member update = MakeUpdate ("a", 1, 0, state);
      EXPECT_FALSE (mem_apply (&table_, &update, 0)) << state;
      EXPECT_EQ (nullptr, mem_get (&table_, "a")) << state;
    }
}

} // namespace
