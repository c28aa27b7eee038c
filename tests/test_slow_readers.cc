// Callers that read large responses without a length slowly, or not for some seconds. The end of
// the connection ends such a response, so a response that the node cuts must not end in order.
#include "fakes.h"

#include <csignal>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{
constexpr size_t kMb = 1 << 20;
constexpr int kReceiveBufferBytes = 64 << 10;
constexpr size_t kPieceBytes = 30 << 10;
constexpr long kMemoryMb = 64; // at most 36 MB of responses
constexpr char kRouteFields[] = "\"timeout-s\":15,\"goal-s\":0.5";

// Longer than a node waits for a caller that reads nothing.
constexpr auto kPause = 6s;

class SlowReaders : public ::testing::Test
{
protected:
  void
  Start (size_t body_bytes, bool framed = false, long memory_mb = kMemoryMb)
  {
    body_bytes_ = body_bytes;
    store_.Put ("config", "main", Configuration (7, "", kRouteFields));
    for (int i = 0; i < 4; i++)
      {
        upstreams_.push_back (std::make_unique<FakeUpstream> ("up-" + std::to_string (i)));
        const FakeUpstream *upstream = upstreams_[i].get ();
        upstreams_[i]->SetBehaviour (
            [upstream, body_bytes, framed] (int fd, const Request &request) {
              if (framed)
                WriteAll (fd, upstream->SignedResponse (request, std::string (body_bytes, 'f')));
              else
                WriteUnframedResponse (fd, request, body_bytes);
            });
        store_.Put ("servers", upstreams_[i]->id (), upstreams_[i]->Record ("desk", "east-a"));
      }
    node_ = std::make_unique<NodeProcess> ("vm-1", "east-a", store_.address (), 1,
                                           "{\"memory-mb\":" + std::to_string (memory_mb)
                                               + ",\"max-fds\":2870}");
    ASSERT_TRUE (node_->WaitReady (5000));
    std::this_thread::sleep_for (500ms);
  }

  static std::string
  RequestFor (int caller)
  {
    return "GET /load/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: slow-"
           + std::to_string (caller) + "\r\nX-Deadline-Ms: 15000\r\n\r\n";
  }

  // Starts callers that wait for the end of `paused_` after the head of their response.
  void
  StartDownloads (int count, int pause_ms)
  {
    downloads_.resize (count);
    for (int i = 0; i < count; i++)
      callers_.emplace_back ([this, i, pause_ms] {
        int fd = Connect (node_->front (), kReceiveBufferBytes);
        WriteAll (fd, RequestFor (i));
        downloads_[i] = ReadDownload (fd, kPieceBytes, pause_ms, &paused_);
        close (fd);
      });
  }

  void
  FinishDownloads ()
  {
    paused_ = false;
    for (std::thread &caller : callers_)
      caller.join ();
  }

  int
  CountWhole () const
  {
    int count = 0;
    for (const Download &download : downloads_)
      count += download.ended_in_order && download.body_bytes == body_bytes_;
    return count;
  }

  int
  CountShortButInOrder () const
  {
    int count = 0;
    for (const Download &download : downloads_)
      count
          += download.status == 200 && download.ended_in_order && download.body_bytes < body_bytes_;
    return count;
  }

  int
  CountWithout200 () const
  {
    int count = 0;
    for (const Download &download : downloads_)
      count += download.status != 200;
    return count;
  }

  // Callers that the node has cut so far because they did not read.
  int
  CountCut ()
  {
    return (int) node_->Metric ("cardamom_node_memory_unread_closed_total");
  }

  size_t
  UnreadBytes ()
  {
    return (size_t) node_->Metric ("cardamom_node_memory_unread_answers_bytes");
  }

  size_t body_bytes_ = 0;
  FakeStore store_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::unique_ptr<NodeProcess> node_;
  std::atomic<bool> paused_{ true };
  std::vector<Download> downloads_;
  std::vector<std::thread> callers_;
};
}

// Guards against a short response that looks complete: it has no length, and the node closes its
// connection because the caller has read nothing for some time and memory is short.
TEST_F (SlowReaders, ResponseWithoutLengthThatIsCutEndsWithAReset)
{
  const int kCallers = 14;
  Start (2 * kMb);
  StartDownloads (kCallers, 0);
  std::this_thread::sleep_for (kPause);
  FinishDownloads ();
  EXPECT_EQ (CountShortButInOrder (), 0);
  EXPECT_GT (CountCut (), 0);
  EXPECT_EQ (CountWhole () + CountCut () + CountWithout200 (), kCallers);
}

// Guards against connections that stay open after a response with a length was cut on them, with a
// write whose bytes have been freed.
TEST_F (SlowReaders, ConnectionOfAResponseThatIsCutIsClosed)
{
  const int kCallers = 14;
  Start (2 * kMb, true);
  std::vector<int> fds;
  for (int i = 0; i < kCallers; i++)
    {
      fds.push_back (Connect (node_->front (), kReceiveBufferBytes));
      WriteAll (fds[i], RequestFor (i));
    }
  std::this_thread::sleep_for (kPause);
  EXPECT_GT (CountCut (), 0);
  EXPECT_EQ (node_->Metric ("cardamom_node_caller_connections") + CountCut (), kCallers);
  for (int fd : fds)
    close (fd);
}

// Guards against answers that are cut for slow readers although nobody needs their memory.
TEST_F (SlowReaders, ResponsesAreWholeWhileThereIsRoom)
{
  const int kCallers = 12;
  Start (kMb);
  StartDownloads (kCallers, 0);
  std::this_thread::sleep_for (kPause);
  FinishDownloads ();
  EXPECT_EQ (CountWhole (), kCallers);
}

// Guards against callers that are cut for a pause of the node's own: it is frozen while they read.
TEST_F (SlowReaders, ResponsesAreWholeAfterTheNodeWasFrozen)
{
  const int kCallers = 16;
  Start (2 * kMb);
  paused_ = false;
  StartDownloads (kCallers, 40);
  ASSERT_TRUE (WaitUntil (5000, [&] { return UnreadBytes () > kCallers * body_bytes_ * 3 / 4; }));
  node_->Signal (SIGSTOP);
  std::this_thread::sleep_for (kPause);
  node_->Signal (SIGCONT);
  FinishDownloads ();
  EXPECT_EQ (CountWhole (), kCallers) << node_->Log ();
  EXPECT_EQ (CountCut (), 0);
}

// Guards against a node that runs out of memory, or ends responses in order before their last byte,
// when a crowd of callers pauses. What has no room isn't answered with a success.
TEST_F (SlowReaders, CrowdThatPausesStaysWithinTheMemory)
{
  const int kCallers = 150;
  const long kSmallestMemoryMb = 112;
  Start (540000, false, kSmallestMemoryMb);
  StartDownloads (kCallers, 0);
  std::this_thread::sleep_for (kPause);
  FinishDownloads ();
  EXPECT_EQ (CountShortButInOrder (), 0);
  EXPECT_GT (CountWhole (), 0);
  printf ("whole: %d, cut: %d, without 200: %d, peak: %ld MB\n", CountWhole (), CountCut (),
          CountWithout200 (), node_->PeakMemoryKb () / 1024);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LE (node_->PeakMemoryKb (), kSmallestMemoryMb * 1024);
#endif
}

// Guards against a short response that looks complete when a planned stop ends before it is
// written.
TEST_F (SlowReaders, ResponseWithoutLengthThatAStopCutsEndsWithAReset)
{
  Start (4 * kMb);
  StartDownloads (2, 0);
  ASSERT_TRUE (WaitUntil (5000, [&] { return UnreadBytes () == 2 * body_bytes_; }));
  node_->Signal (SIGTERM);
  EXPECT_EQ (node_->WaitExit (8000), 0);
  FinishDownloads ();
  EXPECT_EQ (CountWhole (), 0);
  EXPECT_EQ (CountShortButInOrder (), 0);
}
