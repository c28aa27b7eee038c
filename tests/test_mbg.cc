// Memory budget: division of the memory, and who goes on, waits, is rejected or is closed.
#include <glib.h>

extern "C"
{
#include "mbg.h"
}

#include <gtest/gtest.h>
#include <vector>

namespace
{
constexpr uint64_t kMb = 1024 * 1024;
constexpr uint64_t kNowMs = 100000;

class BudgetTest : public testing::Test
{
protected:
  void
  SetMemory (uint32_t memory_mb, uint32_t max_fds = 0)
  {
    MbgLimits limits = mbg_limits (memory_mb, max_fds);
    mbg_init (&mbg_, &limits);
  }

  MbgDecision
  Take (MbgClaim *claim, uint64_t bytes, uint64_t now_ms = 0)
  {
    return mbg_take (&mbg_, claim, bytes, now_ms);
  }

  bool
  MustCloseUnread (uint64_t idle_ms) const
  {
    return mbg_must_close_unread (&mbg_, idle_ms, kNowMs);
  }

  Mbg mbg_;
};
}

// Guards against parts whose sum exceeds the memory, which the platform would punish.
TEST_F (BudgetTest, PartsStayWithinTheMemory)
{
  for (uint32_t memory_mb : { 64u, 112u, 160u, 260u, 512u })
    {
      MbgLimits limits = mbg_limits (memory_mb, 0);
      EXPECT_LE (limits.process_bytes + limits.connections_bytes + limits.unread_bytes
                     + limits.small_bytes + limits.large_bytes + limits.responses_bytes,
                 memory_mb * kMb);
      EXPECT_LE (limits.callers * uint64_t{ MBG_FREE_BYTES }, limits.connections_bytes);
      EXPECT_LE (limits.waiting * uint64_t{ MBG_UNREAD_BYTES }, limits.unread_bytes);
    }
}

TEST_F (BudgetTest, SmallestMachineTakesTheLargestBody)
{
  SetMemory (112);
  EXPECT_EQ (mbg_body_max_bytes (&mbg_, 64 * kMb), 64 * kMb);
  MbgClaim claim = {};
  EXPECT_EQ (Take (&claim, 64 * kMb + MBG_HEAD_MAX_BYTES + MBG_SPARE_BYTES), MBG_TAKE);
}

TEST_F (BudgetTest, BodyThatNeverFitsIsOverTheLimit)
{
  SetMemory (64);
  EXPECT_LT (mbg_body_max_bytes (&mbg_, 64 * kMb), mbg_.limits.large_bytes);
}

TEST_F (BudgetTest, DescriptorsAreReservedForFilesAndUpstreams)
{
  EXPECT_LE (mbg_limits (512, 2870).callers, 2870u - 200 - 800);
  EXPECT_GE (mbg_limits (512, 2870).callers, 1000u);
  EXPECT_GE (mbg_limits (512, 100).callers, 1u);
}

// Without a stated memory, one large request goes on at a time whatever its size, as before.
TEST_F (BudgetTest, WithoutLimitsASingleLargeRequestAlwaysGoesOn)
{
  SetMemory (0);
  MbgClaim first = {}, second = {};
  EXPECT_EQ (Take (&first, 60 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&second, 60 * kMb), MBG_WAIT);
  EXPECT_EQ (mbg_next (&mbg_, 0), nullptr);
  mbg_release (&mbg_, &first);
  EXPECT_EQ (mbg_next (&mbg_, 0), &second);
  EXPECT_EQ (second.bytes, 60 * kMb);
}

TEST_F (BudgetTest, WaitingRequestsAreServedInOrder)
{
  SetMemory (112);
  MbgClaim claims[4] = {};
  EXPECT_EQ (Take (&claims[0], 40 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&claims[1], 60 * kMb), MBG_WAIT);
  EXPECT_EQ (Take (&claims[2], 10 * kMb), MBG_WAIT) << "must not overtake the larger one";
  mbg_release (&mbg_, &claims[0]);
  EXPECT_EQ (mbg_next (&mbg_, 0), &claims[1]);
  EXPECT_EQ (mbg_next (&mbg_, 0), nullptr);
  EXPECT_EQ (Take (&claims[3], 100 * 1024), MBG_TAKE) << "small requests have their own part";
  mbg_release (&mbg_, &claims[2]);
  mbg_release (&mbg_, &claims[1]);
  mbg_release (&mbg_, &claims[3]);
  EXPECT_EQ (mbg_.used_bytes[MBG_LARGE] + mbg_.used_bytes[MBG_SMALL], 0u);
  EXPECT_EQ (mbg_.active.length + mbg_.waiting[MBG_LARGE].length, 0u);
}

TEST_F (BudgetTest, TooManyWaitingRequestsAreRejected)
{
  SetMemory (112);
  MbgClaim first = {};
  std::vector<MbgClaim> claims (mbg_.limits.waiting + 1);
  EXPECT_EQ (Take (&first, 60 * kMb), MBG_TAKE);
  for (uint32_t i = 0; i < mbg_.limits.waiting; i++)
    EXPECT_EQ (Take (&claims[i], 60 * kMb), MBG_WAIT);
  EXPECT_EQ (Take (&claims.back (), 60 * kMb), MBG_REJECT);
  EXPECT_EQ (mbg_.counters.rejected, 1u);
}

// Bodies that stop short of their end must not hold the memory that others wait for.
TEST_F (BudgetTest, LargestAndLongestStalledRequestIsClosedFirst)
{
  SetMemory (112);
  MbgClaim small = {}, large = {}, moving = {}, complete = {}, waiting = {};
  EXPECT_EQ (Take (&small, 5 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&large, 20 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&moving, 20 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&complete, 20 * kMb), MBG_TAKE);
  mbg_complete (&mbg_, &complete, 20 * kMb);
  EXPECT_EQ (mbg_victim (&mbg_, 60000), nullptr) << "nobody waits";
  EXPECT_EQ (Take (&waiting, 10 * kMb), MBG_WAIT);
  EXPECT_EQ (mbg_victim (&mbg_, MBG_STALL_MS - 1), nullptr);
  mbg_progress (&moving, 10 * kMb, MBG_STALL_MS);
  EXPECT_EQ (mbg_victim (&mbg_, MBG_STALL_MS), &large);
  mbg_release (&mbg_, &large);
  EXPECT_EQ (mbg_next (&mbg_, MBG_STALL_MS), &waiting);
  EXPECT_EQ (mbg_victim (&mbg_, MBG_STALL_MS), nullptr) << "nobody waits any more";
}

// A byte now and then is no progress.
TEST_F (BudgetTest, SlowBytesAreNoProgress)
{
  SetMemory (112);
  MbgClaim slow = {}, waiting = {};
  EXPECT_EQ (Take (&slow, 60 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&waiting, 60 * kMb), MBG_WAIT);
  for (uint64_t now_ms = 0; now_ms < MBG_STALL_MS; now_ms += 100)
    mbg_progress (&slow, now_ms, now_ms);
  EXPECT_EQ (mbg_victim (&mbg_, MBG_STALL_MS), &slow);
}

// Chunked requests that wait for large memory must not hold the part of small ones for long.
TEST_F (BudgetTest, RequestsThatWaitForLargeMemoryMakeRoomForSmallOnes)
{
  SetMemory (112);
  MbgClaim large = {}, small = {};
  std::vector<MbgClaim> chunked (mbg_.limits.small_bytes / MBG_SMALL_BYTES);
  EXPECT_EQ (Take (&large, 68 * kMb), MBG_TAKE);
  mbg_complete (&mbg_, &large, 68 * kMb);
  for (MbgClaim &claim : chunked)
    {
      EXPECT_EQ (Take (&claim, MBG_SMALL_BYTES), MBG_TAKE);
      EXPECT_EQ (Take (&claim, 64 * kMb), MBG_WAIT);
    }
  EXPECT_EQ (mbg_victim (&mbg_, MBG_STALL_MS), nullptr);
  EXPECT_EQ (Take (&small, 100 * 1024), MBG_WAIT);
  EXPECT_EQ (mbg_victim (&mbg_, MBG_STALL_MS), &chunked[0]);
  mbg_release (&mbg_, &chunked[0]);
  EXPECT_EQ (mbg_next (&mbg_, MBG_STALL_MS), &small);
}

// Guards against small requests that wait although most of the memory is free, and against large
// ones that wait for ever behind small ones.
TEST_F (BudgetTest, SmallRequestsBorrowWhatLargeBodiesLeave)
{
  SetMemory (112);
  MbgClaim large = {}, more = {};
  std::vector<MbgClaim> small (100);
  for (MbgClaim &claim : small)
    EXPECT_EQ (Take (&claim, 400 * 1024), MBG_TAKE);
  EXPECT_EQ (Take (&large, 60 * kMb), MBG_WAIT);
  EXPECT_EQ (Take (&more, 400 * 1024), MBG_WAIT) << "nothing is lent while a large request waits";
  EXPECT_EQ (mbg_victim (&mbg_, MBG_STALL_MS), &small[0]) << "a stalled borrower";
  for (MbgClaim &claim : small)
    mbg_release (&mbg_, &claim);
  EXPECT_EQ (mbg_next (&mbg_, MBG_STALL_MS), &more);
  EXPECT_EQ (mbg_next (&mbg_, MBG_STALL_MS), &large);
}

// Guards against received requests that are counted only as far as they asked.
TEST_F (BudgetTest, CompleteRequestsCountInFull)
{
  SetMemory (112);
  MbgClaim unasked = {}, chunked = {}, waiting = {};
  mbg_complete (&mbg_, &unasked, 30 * 1024);
  EXPECT_EQ (mbg_.used_bytes[MBG_SMALL], 30u * 1024);
  EXPECT_EQ (Take (&chunked, 60 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&waiting, 60 * kMb), MBG_WAIT);
  mbg_complete (&mbg_, &chunked, kMb);
  EXPECT_EQ (mbg_next (&mbg_, 0), &waiting);
  mbg_release (&mbg_, &unasked);
  EXPECT_EQ (mbg_.used_bytes[MBG_SMALL], 0u);
}

// Guards against callers that lose responses although nobody needs their memory.
TEST_F (BudgetTest, CallersThatReadNothingKeepTheirConnectionsWhileThereIsRoom)
{
  SetMemory (112);
  mbg_set_responses (&mbg_, 32 * kMb, 32 * kMb);
  EXPECT_FALSE (MustCloseUnread (60000)) << "half of what responses may take";
  MbgClaim body = {};
  EXPECT_EQ (Take (&body, 37 * kMb), MBG_TAKE);
  EXPECT_TRUE (MustCloseUnread (MBG_UNREAD_STALL_MS)) << "less is left to responses";
  SetMemory (0);
  mbg_set_responses (&mbg_, 60 * kMb, 60 * kMb);
  EXPECT_FALSE (MustCloseUnread (60000)) << "without limits";
}

TEST_F (BudgetTest, CallersThatReadNothingLoseTheirConnectionsWhenResponsesAreShortOfMemory)
{
  SetMemory (112);
  mbg_set_responses (&mbg_, 33 * kMb, 33 * kMb);
  EXPECT_FALSE (MustCloseUnread (MBG_UNREAD_STALL_MS - 1));
  EXPECT_TRUE (MustCloseUnread (MBG_UNREAD_STALL_MS));
}

TEST_F (BudgetTest, CallersThatReadNothingMakeRoomForAResponse)
{
  SetMemory (112);
  mbg_set_responses (&mbg_, 30 * kMb, 30 * kMb);
  EXPECT_TRUE (mbg_want_response_room (&mbg_, 20 * kMb, kNowMs));
  EXPECT_FALSE (MustCloseUnread (60000));
  EXPECT_FALSE (mbg_want_response_room (&mbg_, 40 * kMb, kNowMs));
  EXPECT_FALSE (mbg_want_response_room (&mbg_, 35 * kMb, kNowMs));
  EXPECT_FALSE (MustCloseUnread (MBG_UNREAD_STALL_MS - 1));
  EXPECT_TRUE (MustCloseUnread (MBG_UNREAD_STALL_MS));
  mbg_set_responses (&mbg_, 24 * kMb, 24 * kMb);
  EXPECT_FALSE (MustCloseUnread (60000)) << "no more than are needed";
  mbg_set_responses (&mbg_, 30 * kMb, 30 * kMb);
  EXPECT_FALSE (mbg_must_close_unread (&mbg_, 60000, kNowMs + MBG_WANTED_MS + 1)) << "long ago";
  EXPECT_FALSE (mbg_want_response_room (&mbg_, 35 * kMb, kNowMs + MBG_WANTED_MS + 1));
  EXPECT_EQ (mbg_.wanted_bytes, 35 * kMb);
}

TEST_F (BudgetTest, CallersThatReadNothingMakeRoomForRequests)
{
  SetMemory (112);
  MbgClaim body = {}, waiting = {};
  mbg_set_responses (&mbg_, 20 * kMb, 4 * kMb);
  EXPECT_EQ (Take (&body, 40 * kMb), MBG_TAKE);
  EXPECT_FALSE (MustCloseUnread (60000));
  EXPECT_EQ (Take (&waiting, 20 * kMb), MBG_WAIT);
  EXPECT_TRUE (MustCloseUnread (MBG_UNREAD_STALL_MS)) << "it waits for what is lent";
  mbg_release (&mbg_, &waiting);
  EXPECT_FALSE (MustCloseUnread (60000));
}

TEST_F (BudgetTest, ResponsesBorrowWhatLargeBodiesLeave)
{
  SetMemory (112);
  MbgClaim body = {}, waiting = {};
  EXPECT_TRUE (mbg_has_response_room (&mbg_, 32 * kMb));
  mbg_set_responses (&mbg_, 32 * kMb, 10 * kMb);
  EXPECT_EQ (mbg_.receiving_bytes, 22 * kMb);
  EXPECT_EQ (Take (&body, 30 * kMb), MBG_TAKE);
  EXPECT_EQ (Take (&waiting, 30 * kMb), MBG_WAIT) << "lent to responses";
  EXPECT_FALSE (mbg_has_response_room (&mbg_, kMb)) << "large requests wait";
  mbg_set_responses (&mbg_, 0, 0);
  EXPECT_EQ (mbg_next (&mbg_, 0), &waiting);
  EXPECT_TRUE (mbg_has_response_room (&mbg_, 6 * kMb));
  EXPECT_FALSE (mbg_has_response_room (&mbg_, 32 * kMb));
}

// Guards against a process that copies bodies and accepts one whose copies exceed the memory.
TEST_F (BudgetTest, CopiesCountInTheLargestBody)
{
  for (uint32_t memory_mb : { 24u, 64u, 112u })
    {
      MbgLimits limits = mbg_limits (memory_mb, 0);
      mbg_set_copies (&limits, 3);
      mbg_init (&mbg_, &limits);
      uint64_t body_bytes = mbg_body_max_bytes (&mbg_, UINT64_MAX);
      EXPECT_GT (body_bytes, kMb);
      MbgClaim claim = {};
      EXPECT_EQ (Take (&claim, 3 * (body_bytes + MBG_HEAD_MAX_BYTES + MBG_SPARE_BYTES)), MBG_TAKE);
      mbg_release (&mbg_, &claim);
    }
  MbgLimits unknown = mbg_limits (0, 1000);
  mbg_set_copies (&unknown, 3);
  EXPECT_EQ (unknown.copies, 1u);
}

// Guards against callers whose requests' own connections exceed the descriptors.
TEST_F (BudgetTest, CallsOfRequestsCountInTheDescriptors)
{
  for (uint32_t max_fds : { 1u, 201u, 400u, 2870u })
    {
      MbgLimits limits = mbg_limits (0, max_fds);
      mbg_set_calls (&limits, max_fds, 2);
      EXPECT_GE (limits.callers, 1u);
      EXPECT_TRUE (limits.callers == 1 || 3 * limits.callers + MBG_RESERVED_FDS <= max_fds);
    }
  MbgLimits unknown = mbg_limits (64, 0);
  uint32_t callers = unknown.callers;
  mbg_set_calls (&unknown, 0, 2);
  EXPECT_EQ (unknown.callers, callers);
}

// Guards against responses that stay counted after they have been read.
TEST_F (BudgetTest, UnreadBytesAreAddedAndSubtracted)
{
  SetMemory (64);
  mbg_add_unread (&mbg_, 19 * kMb);
  EXPECT_TRUE (MustCloseUnread (MBG_UNREAD_STALL_MS));
  mbg_add_unread (&mbg_, -static_cast<int64_t> (19 * kMb));
  EXPECT_FALSE (MustCloseUnread (MBG_UNREAD_STALL_MS));
  EXPECT_EQ (mbg_.unread_bytes, 0u);
}
