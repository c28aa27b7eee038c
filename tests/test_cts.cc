// Control share: control work gets its turn, and not more than that.
#include <glib.h>

extern "C"
{
#include "cts.h"
#include "lim.h"
}

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t kStartMs = 1000;

class ControlShare : public testing::Test
{
protected:
  void
  SetUp () override
  {
    cts_init (&cts_, OnRound, this);
  }

  void
  TearDown () override
  {
    cts_clear (&cts_);
  }

  static bool
  OnRound (void *user)
  {
    auto *self = static_cast<ControlShare *> (user);
    self->rounds_++;
    if (self->nests_)
      cts_step (&self->cts_, kStartMs + 10 * CTS_PERIOD_MS);
    return self->more_;
  }

  // As if control work had ended then.
  void
  EndedAt (uint64_t at_ms)
  {
    cts_.ended_at_ms = at_ms;
  }

  Cts cts_ = {};
  int rounds_ = 0;
  bool more_ = false;
  bool nests_ = false;
};
}

TEST_F (ControlShare, RunsOnceAPeriod)
{
  cts_step (&cts_, kStartMs);
  EXPECT_EQ (rounds_, 1);
  EndedAt (kStartMs);
  cts_step (&cts_, kStartMs + CTS_PERIOD_MS - 1);
  EXPECT_EQ (rounds_, 1);
  cts_step (&cts_, kStartMs + CTS_PERIOD_MS);
  EXPECT_EQ (rounds_, 2);
}

TEST_F (ControlShare, GoesOnWhileMoreWaitsButNotForEver)
{
  more_ = true;
  cts_step (&cts_, kStartMs);
  EXPECT_EQ (rounds_, CTS_ROUNDS_MAX);
}

TEST_F (ControlShare, DoesNotBeginWithinItself)
{
  nests_ = true;
  cts_step (&cts_, kStartMs);
  EXPECT_EQ (rounds_, 1);
}

TEST_F (ControlShare, KeepsTheLongestGap)
{
  cts_step (&cts_, kStartMs);
  EndedAt (kStartMs);
  cts_step (&cts_, kStartMs + 700);
  EndedAt (kStartMs + 710);
  cts_step (&cts_, kStartMs + 740);
  EXPECT_EQ (cts_.worst_gap_ms, 700u);
  EXPECT_EQ (cts_.gaps.count, 3u);
}
