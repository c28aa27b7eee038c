// End-to-end tests of an entry and a steer whose callers try to exhaust their memory or their
// descriptors. None of them checks response times or how many requests are served.
#include "cluster.h"
#include "crowd.h"

#include <cstdlib>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
// Settings of both processes. The memory must not exceed kMemoryMb under any load.
constexpr long kMemoryMb = 64;
constexpr int kMaxFds = 400;
constexpr size_t kBodyMaxBytes = 4 << 20;
constexpr int kCallers = 30;
// Time limit of the test, not a bound on the process.
constexpr int kAnswerMaxMs = 60000;

std::string
Head (const std::string &framing)
{
  return "POST /svc/desk/a HTTP/1.1\r\nHost: host.example\r\n" + framing + "\r\n";
}

std::string
Announce (size_t bytes)
{
  return Head ("Content-Length: " + std::to_string (bytes) + "\r\n");
}

// Three of four callers stop just before the end of what they announced.
bool
StopsShort (int caller)
{
  return caller % 4 != 0;
}

class UntrustedEntryTest : public ::testing::Test
{
protected:
  // The environment reaches all processes of the cluster; only entry and steer have the settings.
  void
  Start (const std::string &process)
  {
    setenv ("CARDAMOM_MEMORY_MB", std::to_string (kMemoryMb).c_str (), 1);
    setenv ("CARDAMOM_MAX_FDS", std::to_string (kMaxFds).c_str (), 1);
    Options options;
    options.entries = 1;
    cluster_ = std::make_unique<Cluster> (options);
    process_ = process + "-e0";
    address_ = process == "entry" ? cluster_->EntryAddr ("e0") : cluster_->SteerHttp ("e0");
    path_ = process == "entry" ? "/svc/desk/a" : "/dump";
    ASSERT_TRUE (cluster_->WaitServing ());
    ASSERT_TRUE (WaitUntil ([&] { return IsAnswering (); }));
    watch_ = std::make_unique<MemoryWatch> (cluster_->Pid (process_),
                                            std::stoi (address_.substr (address_.find (':') + 1)));
  }

  bool
  IsAnswering ()
  {
    return cluster_->Http ("GET", address_, path_, {}, 5000).status == 200;
  }

  // Fails unless an ordinary request is answered while the crowd's connections are still open.
  void
  Check (Crowd *crowd)
  {
    crowd->Join ();
    watch_->Sample ();
    EXPECT_TRUE (WaitUntil ([&] { return IsAnswering (); }));
    crowd->Close ();
    CheckBounds ();
  }

  static bool
  WaitUntil (const std::function<bool ()> &condition)
  {
    long end_ms = NowMs () + kAnswerMaxMs;
    while (NowMs () < end_ms)
      {
        if (condition ())
          return true;
        SleepMs (50);
      }
    return false;
  }

  void
  CheckBounds ()
  {
    watch_->Sample ();
    EXPECT_TRUE (cluster_->IsRunning (process_)) << cluster_->ProcessLog (process_);
    long peak_kb = std::max (watch_->PeakKb (), watch_->PeakResidentKb ());
    RecordProperty ("peak_kb", std::to_string (peak_kb));
    printf ("peak: %ld MB resident and unread, %ld MB resident, %d descriptors\n",
            watch_->PeakKb () / 1024, watch_->PeakResidentKb () / 1024, watch_->PeakDescriptors ());
#ifndef __SANITIZE_ADDRESS__
    EXPECT_LE (peak_kb, kMemoryMb * 1024);
#endif
    EXPECT_LE (watch_->PeakDescriptors (), kMaxFds);
  }

  // Connects to the process many times and sends nothing.
  void
  CheckIdleConnections ()
  {
    std::vector<int> idle;
    for (int i = 0; i < 2 * kMaxFds; i++)
      if (int fd = ConnectTo (address_); fd >= 0)
        idle.push_back (fd);
    watch_->Sample ();
    EXPECT_TRUE (WaitUntil ([&] { return IsAnswering (); }));
    CheckBounds ();
    size_t closed = 0;
    while (closed < idle.size () && IsClosed (idle[closed]))
      closed++;
    EXPECT_GT (closed, idle.size () - kMaxFds);
    for (size_t i = closed; i < idle.size (); i++)
      EXPECT_FALSE (IsClosed (idle[i])) << i << " of " << idle.size () << ", first open " << closed;
    for (int fd : idle)
      close (fd);
  }

  std::unique_ptr<Cluster> cluster_;
  std::string process_, address_, path_;
  std::unique_ptr<MemoryWatch> watch_;
};
}

// Guards against an entry that runs out of memory when many legal bodies arrive at once.
TEST_F (UntrustedEntryTest, WholeLargeBodies)
{
  Start ("entry");
  Crowd crowd (address_, kCallers, [] (int) {
    return Load{ Announce (kBodyMaxBytes - 1), std::string (1 << 20, 'b'), kBodyMaxBytes - 1 };
  });
  Check (&crowd);
}

// The same with bodies in pieces whose callers stop just before the end and stay connected.
TEST_F (UntrustedEntryTest, LargeBodiesInPiecesThatStopShort)
{
  Start ("entry");
  Crowd crowd (address_, kCallers, [] (int i) {
    size_t bytes = kBodyMaxBytes - 1;
    return Load{ Announce (bytes), std::string (64 << 10, 'b'), bytes - (StopsShort (i) ? 100 : 0),
                 "", 1 };
  });
  Check (&crowd);
}

// The same while an upstream takes long, so that all bodies are held at the same time. The claims
// of keys keep requests going whose callers have left.
TEST_F (UntrustedEntryTest, LargeBodiesOfSlowRequests)
{
  Start ("entry");
  Crowd crowd (address_, kCallers, [] (int i) {
    std::string head = "POST /svc/desk/a?ms=2000 HTTP/1.1\r\nHost: host.example\r\n"
                       "Idempotency-Key: k"
                       + std::to_string (i)
                       + "\r\nContent-Length: " + std::to_string (kBodyMaxBytes - 1) + "\r\n\r\n";
    return Load{ head, std::string (1 << 20, 'b'), kBodyMaxBytes - 1 };
  });
  Check (&crowd);
}

// Guards against an entry that keeps chunked bodies of any size.
TEST_F (UntrustedEntryTest, EndlessChunkedBodies)
{
  Start ("entry");
  Crowd crowd (address_, kCallers, [] (int) {
    return Load{ Head ("Transfer-Encoding: chunked\r\n"), Chunk (64 << 10) };
  });
  Check (&crowd);
}

// Guards against an entry whose memory is held by chunked bodies that never end.
TEST_F (UntrustedEntryTest, SmallChunksThatStopShort)
{
  Start ("entry");
  std::string chunks = Repeat (Chunk (16), 4096);
  Crowd crowd (address_, kCallers, [&] (int i) {
    return Load{ Head ("Transfer-Encoding: chunked\r\n"), chunks, 56 * chunks.size (),
                 StopsShort (i) ? "" : "0\r\n\r\n" };
  });
  Check (&crowd);
}

// Guards against an entry whose memory is held by heads that never end.
TEST_F (UntrustedEntryTest, EndlessHeads)
{
  Start ("entry");
  Crowd crowd (address_, 5 * kCallers, [] (int) {
    return Load{ "GET /svc/desk/a HTTP/1.1\r\nHost: host.example\r\n",
                 "X-Fill: " + std::string (1000, 'x') + "\r\n" };
  });
  Check (&crowd);
}

// The same with heads of 390,000 bytes that stop short, below the HTTP library's own limit.
TEST_F (UntrustedEntryTest, LargeHeadsThatStopShort)
{
  Start ("entry");
  Crowd crowd (address_, 9 * kCallers, [] (int) {
    return Load{ "GET /svc/desk/a HTTP/1.1\r\nHost: host.example\r\nX-Fill: ",
                 std::string (1000, 'x'), 390000 };
  });
  Check (&crowd);
}

// Guards against an entry whose memory is held by responses that callers don't read. Responses of
// this size are received as a whole, so that no upstream's slot limits their number. The callers
// arrive in groups, as an entry queues at most 64 requests of an address.
TEST_F (UntrustedEntryTest, CallersThatDoNotRead)
{
  Start ("entry");
  std::string path = "/svc/desk/download?size=500000";
  std::string request = "GET " + path + " HTTP/1.1\r\nHost: host.example\r\n\r\n";
  std::vector<std::unique_ptr<Crowd>> crowds;
  for (int i = 0; i < 4; i++)
    {
      crowds.push_back (std::make_unique<Crowd> (
          address_, 2 * kCallers,
          [&] (int) {
            return Load{ request, "", 0 };
          },
          4096));
      crowds.back ()->Join ();
      SleepMs (1000);
    }
  EXPECT_TRUE (WaitUntil ([&] {
    HttpResponse response = cluster_->Http ("GET", address_, path);
    return response.status == 200 && response.body.size () == 500000;
  }));
  Check (crowds.front ().get ());
}

// Guards against an entry whose memory is held by state dumps that callers don't read. Upstreams
// without a process make the dump large.
TEST_F (UntrustedEntryTest, DumpsThatAreNotRead)
{
  Start ("entry");
  std::string list;
  for (int i = 0; i < 3000; i++)
    list += std::string (list.empty () ? "" : ",") + "{\"id\":\"absent-" + std::to_string (i)
            + "\",\"addr\":\"127.0.0.1:1\",\"zone\":\"luz-a\",\"slots\":1}";
  ASSERT_TRUE (
      cluster_->Put ("teams/t/services/large", "{\"schema\":1,\"upstreams\":[" + list + "]}"));
  ASSERT_TRUE (
      WaitUntil ([&] { return cluster_->Dump ("e0").find ("absent-2999") != std::string::npos; }));
  Crowd crowd (
      address_, 6 * kCallers,
      [] (int) {
        return Load{ "GET /dump HTTP/1.1\r\nHost: host.example\r\n\r\n", "", 0 };
      },
      4096);
  crowd.Join ();
  SleepMs (2000);
  Check (&crowd);
}

// Guards against an entry that has no descriptors left for its upstreams and its store, and against
// one that closes connections in another order than by their idle time.
TEST_F (UntrustedEntryTest, ManyIdleConnections)
{
  Start ("entry");
  CheckIdleConnections ();
}

// Guards against an entry whose descriptors are taken by requests that wait for upstreams: each of
// them has a connection of its caller and one to an upstream or to the store.
TEST_F (UntrustedEntryTest, ManySlowRequests)
{
  Start ("entry");
  Crowd crowd (address_, 2 * kMaxFds, [] (int i) {
    return Load{ "POST /svc/desk/a?ms=1000 HTTP/1.1\r\nHost: host.example\r\nIdempotency-Key: s"
                     + std::to_string (i) + "\r\nContent-Length: 0\r\n\r\n",
                 "", 0 };
  });
  Check (&crowd);
}

// Guards against rejections that don't say whether the request ran, as all responses of an entry
// do. The last bytes are sent alone, so that none are unread when the connection is closed.
TEST_F (UntrustedEntryTest, RejectionsSayThatNothingRan)
{
  Start ("entry");
  int fd = ConnectTo (address_);
  std::string head = "GET /svc/desk/a HTTP/1.1\r\nX-Fill: " + std::string (65000, 'x');
  timeval limit{ 5, 0 };
  char bytes[1024] = {};
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  EXPECT_GT (send (fd, head.data (), head.size (), MSG_NOSIGNAL), 0);
  SleepMs (500);
  EXPECT_GT (send (fd, head.data (), 1000, MSG_NOSIGNAL), 0);
  EXPECT_GT (recv (fd, bytes, sizeof bytes - 1, 0), 0);
  close (fd);
  std::string response = bytes;
  EXPECT_EQ (response.rfind ("HTTP/1.1 431 ", 0), 0u) << response;
  EXPECT_NE (response.find ("x-cardamom-run: not-run\r\n"), std::string::npos) << response;
  EXPECT_NE (cluster_->Http ("GET", address_, "/metrics")
                 .body.find ("cardamom_entry_heads_over_limit_total 1"),
             std::string::npos);
}

// Guards against a steer whose memory is taken by way of its state dump.
TEST_F (UntrustedEntryTest, EndlessChunkedBodiesToTheSteer)
{
  Start ("steer");
  Crowd crowd (address_, kCallers, [] (int) {
    return Load{ "POST /dump HTTP/1.1\r\nHost: host.example\r\nTransfer-Encoding: chunked\r\n\r\n",
                 Chunk (64 << 10) };
  });
  Check (&crowd);
}

// The same with heads that never end.
TEST_F (UntrustedEntryTest, EndlessHeadsToTheSteer)
{
  Start ("steer");
  Crowd crowd (address_, 5 * kCallers, [] (int) {
    return Load{ "GET /dump HTTP/1.1\r\nHost: host.example\r\n",
                 "X-Fill: " + std::string (1000, 'x') + "\r\n" };
  });
  Check (&crowd);
}

// Guards against a steer that has no descriptors left for its peers and its store.
TEST_F (UntrustedEntryTest, ManyIdleConnectionsToTheSteer)
{
  Start ("steer");
  CheckIdleConnections ();
}
