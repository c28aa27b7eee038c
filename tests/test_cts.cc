// Control scheduler: period and number of iterations of control work.
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

class ControlScheduler : public testing::Test
{
protected:
  void
  SetUp () override
  {
    cts_init (&cts_, OnIteration, this);
  }

  void
  TearDown () override
  {
    cts_clear (&cts_);
  }

  static bool
  OnIteration (void *user)
  {
    auto *self = static_cast<ControlScheduler *> (user);
    self->iterations_++;
    if (self->reenters_)
      cts_run (&self->cts_, kStartMs + 10 * CTS_PERIOD_MS);
    return self->pending_;
  }

  void
  SetLastRunEnd (uint64_t at_ms)
  {
    cts_.ended_at_ms = at_ms;
  }

  Cts cts_ = {};
  int iterations_ = 0;
  bool pending_ = false;
  bool reenters_ = false;
};
}

TEST_F (ControlScheduler, RunsAtMostOncePerPeriod)
{
  cts_run (&cts_, kStartMs);
  EXPECT_EQ (iterations_, 1);
  SetLastRunEnd (kStartMs);
  cts_run (&cts_, kStartMs + CTS_PERIOD_MS - 1);
  EXPECT_EQ (iterations_, 1);
  cts_run (&cts_, kStartMs + CTS_PERIOD_MS);
  EXPECT_EQ (iterations_, 2);
}

TEST_F (ControlScheduler, PendingWorkIsLimitedToTheMaximumOfIterations)
{
  pending_ = true;
  cts_run (&cts_, kStartMs);
  EXPECT_EQ (iterations_, CTS_ITERATIONS_MAX);
}

TEST_F (ControlScheduler, CallFromWithinControlWorkRunsNothing)
{
  reenters_ = true;
  cts_run (&cts_, kStartMs);
  EXPECT_EQ (iterations_, 1);
}

TEST_F (ControlScheduler, LongestGapIsRecorded)
{
  cts_run (&cts_, kStartMs);
  SetLastRunEnd (kStartMs);
  cts_run (&cts_, kStartMs + 700);
  SetLastRunEnd (kStartMs + 710);
  cts_run (&cts_, kStartMs + 740);
  EXPECT_EQ (cts_.longest_gap_ms, 700u);
  EXPECT_EQ (cts_.gaps.count, 3u);
}
