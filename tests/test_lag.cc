// Event loop stalls are counted, and logged at most once per second.
#include <cstdio>
#include <string>

extern "C"
{
#include "lag.h"
#include "lim.h"
}

#include <gtest/gtest.h>

namespace
{
constexpr uint64_t kSecondNs = 1000000000ull;

class LagTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    log_.out = open_memstream (&text_, &size_);
    log_.level = LOG_INFO;
    log_.process = "node";
    log_.vm = "vm-1";
    lag_.log = &log_;
  }

  void
  TearDown () override
  {
    fclose (log_.out);
    free (text_);
  }

  int
  CountLogLines ()
  {
    fflush (log_.out);
    std::string text (text_, size_);
    int lines = 0;
    for (size_t position = text.find ("loop_stalled"); position != std::string::npos;
         position = text.find ("loop_stalled", position + 1))
      lines++;
    return lines;
  }

  Log log_ = {};
  Lag lag_ = {};
  char *text_ = nullptr;
  size_t size_ = 0;
};
}

TEST_F (LagTest, IterationBelowTheLimitIsNoStall)
{
  lag_record_iteration (&lag_, LAG_STALL_MS * 1000 - 1, kSecondNs);
  EXPECT_EQ (lag_.iterations.count, 1u);
  EXPECT_EQ (lag_.stalls, 0u);
  EXPECT_EQ (CountLogLines (), 0);
}

TEST_F (LagTest, StallsAreLoggedOncePerSecond)
{
  for (uint64_t i = 0; i < 5; i++)
    lag_record_iteration (&lag_, LAG_STALL_MS * 1000 + i, 3 * kSecondNs + i);
  EXPECT_EQ (lag_.stalls, 5u);
  EXPECT_EQ (lag_.longest_us, LAG_STALL_MS * 1000 + 4);
  EXPECT_EQ (CountLogLines (), 1);
  lag_record_iteration (&lag_, LAG_STALL_MS * 1000, 5 * kSecondNs);
  EXPECT_EQ (CountLogLines (), 2);
}

// An iteration includes the callbacks and excludes the wait for events. The 400 ms timers make the
// wait longer than the expected maximum.
class LagLoopTest : public LagTest
{
protected:
  void
  SetUp () override
  {
    LagTest::SetUp ();
    uv_loop_init (&loop_);
    lag_start (&lag_, &loop_, &log_);
    uv_timer_init (&loop_, &timer_);
  }

  void
  TearDown () override
  {
    uv_close ((uv_handle_t *) &timer_, nullptr);
    uv_close ((uv_handle_t *) &lag_.check, nullptr);
    uv_close ((uv_handle_t *) &lag_.prepare, nullptr);
    uv_run (&loop_, UV_RUN_DEFAULT);
    uv_loop_close (&loop_);
    LagTest::TearDown ();
  }

  static void
  BlockLoop ()
  {
    uint64_t until = uv_hrtime () + (uint64_t) (LAG_STALL_MS + 20) * 1000000;
    while (uv_hrtime () < until)
      ;
  }

  uv_loop_t loop_;
  uv_timer_t timer_;
  uv_async_t async_;
};

TEST_F (LagLoopTest, BlockingTimerCallbackIsAStall)
{
  uv_timer_start (
      &timer_, [] (uv_timer_t *) { BlockLoop (); }, 400, 0);
  uv_run (&loop_, UV_RUN_DEFAULT);
  EXPECT_EQ (lag_.stalls, 1u);
  EXPECT_LT (lag_.longest_us, 400u * 1000);
}

TEST_F (LagLoopTest, BlockingIoCallbackIsAStall)
{
  uv_async_init (&loop_, &async_, [] (uv_async_t *) { BlockLoop (); });
  uv_async_send (&async_);
  uv_timer_start (
      &timer_, [] (uv_timer_t *timer) { uv_stop (timer->loop); }, 400, 0);
  uv_run (&loop_, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *) &async_, nullptr);
  EXPECT_EQ (lag_.stalls, 1u);
  EXPECT_LT (lag_.longest_us, 400u * 1000);
}
