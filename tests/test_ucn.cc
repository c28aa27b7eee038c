// Upstream connections: what happens between the decision to send and the bytes on the wire.
#include <glib.h>

extern "C"
{
#include "ucn.h"
}

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
constexpr uint32_t kConnectMs = 1000;
constexpr uint32_t kIdleMs = 4000;

// One call to a socket that listens and answers nothing by itself.
class Connection : public testing::Test
{
protected:
  void
  SetUp () override
  {
    sockaddr_in addr = {};
    socklen_t size = sizeof addr;
    addr.sin_family = AF_INET;
    addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    upstream_ = socket (AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ (bind (upstream_, (sockaddr *) &addr, size), 0);
    ASSERT_EQ (listen (upstream_, 4), 0);
    getsockname (upstream_, (sockaddr *) &addr, &size);
    uv_loop_init (&loop_);
    ucn_ctx_init (&ctx_, &loop_);
    ucn_pool_init (&pool_, &ctx_, NetAddr{ INADDR_LOOPBACK, ntohs (addr.sin_port) }, kIdleMs);
  }

  void
  TearDown () override
  {
    if (call_ != nullptr)
      ucn_cancel (call_);
    ucn_pool_close (&pool_);
    uv_run (&loop_, UV_RUN_DEFAULT);
    uv_loop_close (&loop_);
    ucn_ctx_clear (&ctx_);
    close (upstream_);
  }

  void
  Start ()
  {
    UcnSpec spec = {};
    spec.build = [] (void *user) { return static_cast<Connection *> (user)->Build (); };
    spec.idle_max_ms = kIdleMs;
    spec.connect_timeout_ms = kConnectMs;
    call_ = ucn_start (
        &pool_, &spec,
        [] (void *user, UcnOutcome outcome, const UcnAnswer *) {
          auto *self = static_cast<Connection *> (user);
          self->call_ = nullptr;
          self->outcome_ = outcome;
          self->ended_ = true;
        },
        this);
  }

  GString *
  Build ()
  {
    return leaving_ ? nullptr : g_string_new (text_.c_str ());
  }

  // Runs the loop until the upstream has bytes or the call has ended; those bytes.
  std::string
  Arrived ()
  {
    int fd = accept (upstream_, nullptr, nullptr);
    char data[256];
    ssize_t size = -1;
    for (int turn = 0; turn < 200 && !ended_ && size < 0; turn++)
      {
        uv_run (&loop_, UV_RUN_NOWAIT);
        size = recv (fd, data, sizeof data, MSG_DONTWAIT);
        usleep (1000);
      }
    if (size < 0)
      size = recv (fd, data, sizeof data, MSG_DONTWAIT);
    close (fd);
    return std::string (data, size > 0 ? (size_t) size : 0);
  }

  int upstream_ = -1;
  uv_loop_t loop_;
  UcnCtx ctx_ = {};
  UcnPool pool_ = {};
  UcnCall *call_ = nullptr;
  std::string text_ = "GET /first HTTP/1.1\r\n\r\n";
  bool leaving_ = false;
  bool ended_ = false;
  UcnOutcome outcome_ = UCN_DONE;
};
}

// News of a departure that come while the connection is being made hold the request back.
TEST_F (Connection, NothingIsSentToAnUpstreamThatLeftMeanwhile)
{
  Start ();
  leaving_ = true;
  EXPECT_EQ (Arrived (), "");
  EXPECT_TRUE (ended_);
  EXPECT_EQ (outcome_, UCN_WITHDRAWN);
}

// The time left that a request names is that of its sending.
TEST_F (Connection, TheMessageIsThatOfTheMomentOfSending)
{
  Start ();
  text_ = "GET /second HTTP/1.1\r\n\r\n";
  EXPECT_EQ (Arrived (), text_);
}
