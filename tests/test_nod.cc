// Graceful stop of a node while callers keep sending requests over their open connections: a
// request that the node accepted must get a complete response, and a rejected one must not have
// run.
#include "fakes.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{
constexpr int kGraceMs = 6000;
// A request sent within this time before the process exits may be lost unread.
constexpr int kUnreadMaxMs = 200;

// A request that was sent, and its response.
struct SentRequest
{
  std::string id;
  int sent_ms = 0;
  int ended_ms = 0;
  int status = 0; // 0: no complete response
};

// Keeps its connection until a response closes it, and sends requests until it cannot connect.
class Caller
{
public:
  Caller (const std::string &front, const std::string &name, const std::string &method)
      : front_ (front), name_ (name), method_ (method)
  {
  }

  ~Caller () { Close (); }

  void
  Run ()
  {
    for (int i = 0; fd_ >= 0 || Connect (); i++)
      sent_.push_back (SendRequest (name_ + "-" + std::to_string (i)));
  }

  const std::vector<SentRequest> &
  sent () const
  {
    return sent_;
  }

private:
  bool
  Connect ()
  {
    fd_ = ::Connect (front_);
    return fd_ >= 0;
  }

  void
  Close ()
  {
    if (fd_ >= 0)
      close (fd_);
    fd_ = -1;
  }

  SentRequest
  SendRequest (const std::string &id)
  {
    SentRequest request;
    request.id = id;
    request.sent_ms = NowMs ();
    std::string body = method_ == "POST" ? "x" : "";
    WriteAll (fd_, method_ + (method_ == "POST" ? " /post/a" : " /read/a")
                       + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + id
                       + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: "
                       + std::to_string (body.size ()) + "\r\n\r\n" + body);
    std::string response;
    bool complete = false;
    while (!complete && Read (&response))
      complete = IsComplete (response);
    request.ended_ms = NowMs ();
    if (complete)
      request.status = std::stoi (response.substr (9, 3));
    if (!complete || response.find ("onnection: close") != std::string::npos)
      Close ();
    return request;
  }

  bool
  Read (std::string *response)
  {
    char data[4096];
    pollfd readable = { fd_, POLLIN, 0 };
    if (poll (&readable, 1, 9000) <= 0)
      return false;
    ssize_t size = recv (fd_, data, sizeof data, 0);
    if (size > 0)
      response->append (data, (size_t) size);
    return size > 0;
  }

  static bool
  IsComplete (const std::string &response)
  {
    size_t head = response.find ("\r\n\r\n");
    size_t length = response.find ("ontent-length: ");
    if (length == std::string::npos)
      length = response.find ("ontent-Length: ");
    return head != std::string::npos && length < head
           && response.size () >= head + 4 + std::stoul (response.substr (length + 15));
  }

  std::string front_;
  std::string name_;
  std::string method_;
  int fd_ = -1;
  std::vector<SentRequest> sent_;
};

// Reads up to a piece at a time until the connection ends. Return: the number of bytes.
size_t
ReadSlowly (int fd, size_t piece_bytes, std::chrono::milliseconds pause)
{
  std::vector<char> piece (piece_bytes);
  size_t total = 0;
  for (ssize_t size; (size = recv (fd, piece.data (), piece.size (), 0)) > 0; total += size)
    std::this_thread::sleep_for (pause);
  return total;
}

class GracefulStop : public ::testing::TestWithParam<int>
{
protected:
  void
  SetUp () override
  {
    store_.Put ("config", "main", Configuration (7, "", "\"timeout-s\":5,\"goal-s\":0.5"));
    for (const auto &upstream : { &one_, &two_ })
      store_.Put ("servers", upstream->id (), upstream->Record ("desk", "east-a"));
    node_ = std::make_unique<NodeProcess> ("vm-1", "east-a", store_.address ());
    ASSERT_TRUE (node_->WaitReady (5000));
    ASSERT_TRUE (WaitUntil (3000, [&] {
      return node_->Call ("GET", "/read/a", { { "X-Request-Id", "warm" } }).status == 200;
    }));
    one_.SetWork (GetParam ());
    two_.SetWork (GetParam ());
  }

  int
  Runs (const std::string &id) const
  {
    return one_.runs (id) + two_.runs (id);
  }

  FakeStore store_;
  FakeUpstream one_{ "up-1" };
  FakeUpstream two_{ "up-2" };
  std::unique_ptr<NodeProcess> node_;
};
}

TEST_P (GracefulStop, RequestsDuringStopAreCompletedOrRejectedNotRun)
{
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; i++)
    callers.push_back (std::make_unique<Caller> (node_->front (), "c" + std::to_string (i),
                                                 i % 2 == 0 ? "POST" : "GET"));
  for (auto &caller : callers)
    {
      threads.emplace_back ([&caller] { caller->Run (); });
      std::this_thread::sleep_for (170ms);
    }
  std::this_thread::sleep_for (1s);
  int stop_ms = NowMs ();
  node_->Signal (SIGTERM);
  EXPECT_EQ (node_->WaitExit (kGraceMs + 500), 0);
  int exited_ms = NowMs ();
  for (std::thread &thread : threads)
    thread.join ();
  for (const auto &caller : callers)
    for (const SentRequest &request : caller->sent ())
      {
        bool was_read = Runs (request.id) > 0 || exited_ms - request.sent_ms > kUnreadMaxMs;
        EXPECT_FALSE (request.status == 0 && was_read)
            << request.id << " sent " << request.sent_ms - stop_ms
            << " ms after the stop began, connection lost at " << request.ended_ms - stop_ms;
        EXPECT_FALSE (request.status == 503 && Runs (request.id) > 0) << request.id;
        EXPECT_LE (Runs (request.id), 1) << request.id;
      }
}

// Guards against a process that ends while responses that it has received whole are still being
// written to callers that read slowly.
TEST (SlowReader, ResponseIsWrittenBeforeAStoppingProcessEnds)
{
  const size_t kBodyBytes = 16 << 20;
  const size_t kBytesPerPiece = 60 << 10; // each 10 ms: read in 2.8 s
  FakeStore store;
  FakeUpstream upstream ("up-1");
  upstream.SetBehaviour ([&] (int fd, const Request &request) {
    WriteAll (fd, upstream.SignedResponse (request, std::string (kBodyBytes, 'f')));
  });
  store.Put ("config", "main", Configuration (7, "", "\"timeout-s\":5,\"goal-s\":0.5"));
  store.Put ("servers", upstream.id (), upstream.Record ("desk", "east-a"));
  NodeProcess node ("vm-1", "east-a", store.address ());
  ASSERT_TRUE (node.WaitReady (5000));
  std::this_thread::sleep_for (500ms);
  int fd = Connect (node.front (), 64 << 10);
  node.Signal (SIGTERM);
  std::this_thread::sleep_for (2s);
  WriteAll (fd, "GET /load/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: slow\r\n"
                "X-Deadline-Ms: 4000\r\n\r\n");
  EXPECT_GE (ReadSlowly (fd, kBytesPerPiece, 10ms), kBodyBytes) << node.Log ();
  close (fd);
  EXPECT_EQ (node.WaitExit (kGraceMs + 500), 0);
}

// Guards against a stop that lasts until the process is killed because requests go on arriving:
// each is rejected, and some rejection is always on its way.
TEST (BusyStop, RejectedRequestsDoNotDelayTheEndOfTheProcess)
{
  const int kStopMs = 4200; // for which a stopping process still serves, and rejects, requests
  FakeStore store;
  FakeUpstream upstream ("up-1");
  store.Put ("config", "main", Configuration (7, "", "\"timeout-s\":5,\"goal-s\":0.5"));
  store.Put ("servers", upstream.id (), upstream.Record ("desk", "east-a"));
  NodeProcess node ("vm-1", "east-a", store.address ());
  ASSERT_TRUE (node.WaitReady (5000));
  std::atomic<bool> ending{ false };
  std::vector<std::thread> callers;
  for (int i = 0; i < 32; i++)
    callers.emplace_back ([&] {
      while (!ending)
        node.Call ("GET", "/read/a", { { "X-Request-Id", "busy" }, { "X-Deadline-Ms", "2000" } });
    });
  std::this_thread::sleep_for (500ms);
  int stop_ms = NowMs ();
  node.Signal (SIGTERM);
  EXPECT_EQ (node.WaitExit (kGraceMs + 500), 0);
  EXPECT_LE (NowMs () - stop_ms, kStopMs + 500) << node.Log ().substr (node.Log ().size () - 300);
  ending = true;
  for (std::thread &caller : callers)
    caller.join ();
}

// Guards against a process that is ended by a signal which tells it that its settings have changed
// while it is starting. The settings are a pipe, so that the process waits for them.
TEST (Start, SignalBeforeTheSettingsAreReadDoesNotEndTheProcess)
{
  std::string path = "/tmp/cardamom-start-" + std::to_string (getpid ());
  ASSERT_EQ (mkfifo (path.c_str (), 0600), 0);
  pid_t pid = fork ();
  if (pid == 0)
    {
      setenv ("CARDAMOMCRANK_CONFIG", path.c_str (), 1);
      execl (PROGRAMS_DIR "/cardamom-node", "cardamom-node", nullptr);
      _exit (127);
    }
  int fd = open (path.c_str (), O_WRONLY); // returns when the process reads
  kill (pid, SIGHUP);
  std::this_thread::sleep_for (100ms);
  WriteAll (fd, "{}");
  close (fd);
  int status = 0;
  waitpid (pid, &status, 0);
  unlink (path.c_str ());
  ASSERT_TRUE (WIFEXITED (status)) << "ended by signal " << WTERMSIG (status);
  EXPECT_EQ (WEXITSTATUS (status), 2); // the settings lack all fields
}

// Guards against a short response that looks complete: it has no length, and the process ends while
// it is being written.
TEST (SlowReader, ResponseWithoutLengthIsResetWhenTheProcessIsKilled)
{
  static constexpr size_t kBodyBytes = 16 << 20;
  FakeStore store;
  FakeUpstream upstream ("up-1");
  upstream.SetBehaviour (
      [] (int fd, const Request &request) { WriteUnframedResponse (fd, request, kBodyBytes); });
  store.Put ("config", "main", Configuration (7, "", "\"timeout-s\":5,\"goal-s\":0.5"));
  store.Put ("servers", upstream.id (), upstream.Record ("desk", "east-a"));
  NodeProcess node ("vm-1", "east-a", store.address ());
  ASSERT_TRUE (node.WaitReady (5000));
  std::this_thread::sleep_for (500ms);
  for (bool killed : { false, true })
    {
      int fd = Connect (node.front (), 64 << 10);
      WriteAll (fd, "GET /load/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: slow\r\n"
                    "X-Deadline-Ms: 4000\r\n\r\n");
      std::this_thread::sleep_for (700ms);
      if (killed)
        node.Signal (SIGKILL);
      errno = 0;
      size_t size = ReadSlowly (fd, 60 << 10, 1ms);
      EXPECT_EQ (size < kBodyBytes, killed);
      EXPECT_EQ (errno, killed ? ECONNRESET : 0);
      close (fd);
    }
}

INSTANTIATE_TEST_SUITE_P (ServiceTimeMs, GracefulStop, testing::Values (100, 1200, 2500, 3500));
