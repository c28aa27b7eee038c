// A planned stop of a node while callers go on over the connections that they have open.
#include "fakes.h"

#include <arpa/inet.h>
#include <csignal>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{
constexpr int kGraceMs = 6000;
constexpr int kLossSlackMs = 200;

// What became of one request.
struct Sent
{
  std::string id;
  int at_ms = 0;
  int ended_ms = 0;
  int status = 0; // 0: no whole answer
};

// A caller that keeps its connection as long as answers allow, and sends until nobody listens.
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
      sent_.push_back (One (name_ + "-" + std::to_string (i)));
  }

  const std::vector<Sent> &
  sent () const
  {
    return sent_;
  }

private:
  bool
  Connect ()
  {
    size_t colon = front_.find (':');
    sockaddr_in addr = {};
    addr.sin_family = AF_INET;
    addr.sin_port = htons (std::stoi (front_.substr (colon + 1)));
    inet_pton (AF_INET, front_.substr (0, colon).c_str (), &addr.sin_addr);
    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect (fd_, reinterpret_cast<sockaddr *> (&addr), sizeof addr) == 0)
      return true;
    Close ();
    return false;
  }

  void
  Close ()
  {
    if (fd_ >= 0)
      close (fd_);
    fd_ = -1;
  }

  Sent
  One (const std::string &id)
  {
    Sent sent;
    sent.id = id;
    sent.at_ms = NowMs ();
    std::string body = method_ == "POST" ? "x" : "";
    WriteAll (fd_, method_ + (method_ == "POST" ? " /post/a" : " /read/a")
                       + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + id
                       + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: "
                       + std::to_string (body.size ()) + "\r\n\r\n" + body);
    std::string answer;
    bool whole = false;
    while (!whole && Read (&answer))
      whole = IsWhole (answer);
    sent.ended_ms = NowMs ();
    if (whole)
      sent.status = std::stoi (answer.substr (9, 3));
    if (!whole || answer.find ("onnection: close") != std::string::npos)
      Close ();
    return sent;
  }

  bool
  Read (std::string *answer)
  {
    char data[4096];
    pollfd waiting = { fd_, POLLIN, 0 };
    if (poll (&waiting, 1, 9000) <= 0)
      return false;
    ssize_t size = recv (fd_, data, sizeof data, 0);
    if (size > 0)
      answer->append (data, (size_t) size);
    return size > 0;
  }

  static bool
  IsWhole (const std::string &answer)
  {
    size_t head = answer.find ("\r\n\r\n");
    size_t length = answer.find ("ontent-length: ");
    if (length == std::string::npos)
      length = answer.find ("ontent-Length: ");
    return head != std::string::npos && length < head
           && answer.size () >= head + 4 + std::stoul (answer.substr (length + 15));
  }

  std::string front_;
  std::string name_;
  std::string method_;
  int fd_ = -1;
  std::vector<Sent> sent_;
};

class PlannedStop : public ::testing::TestWithParam<int>
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

TEST_P (PlannedStop, RequestsTakenLateInTheGraceAreServedWholeOrRefused)
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
  int stopped_ms = NowMs ();
  node_->Signal (SIGTERM);
  EXPECT_EQ (node_->WaitExit (kGraceMs + 500), 0);
  int gone_ms = NowMs ();
  for (std::thread &thread : threads)
    thread.join ();
  for (const auto &caller : callers)
    for (const Sent &sent : caller->sent ())
      {
        bool was_read = Runs (sent.id) > 0 || gone_ms - sent.at_ms > kLossSlackMs;
        EXPECT_FALSE (sent.status == 0 && was_read)
            << sent.id << " sent " << sent.at_ms - stopped_ms << " ms after the stop, cut at "
            << sent.ended_ms - stopped_ms;
        EXPECT_FALSE (sent.status == 503 && Runs (sent.id) > 0) << sent.id;
        EXPECT_LE (Runs (sent.id), 1) << sent.id;
      }
}

INSTANTIATE_TEST_SUITE_P (WorkMs, PlannedStop, testing::Values (100, 1200, 2500, 3500));
