// HTTP calls over h2o's client: what counts as a whole answer.
#include <glib.h>

extern "C"
{
#include "hcl.h"
}

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{
constexpr uint32_t kTimeoutMs = 2000;

// Each call gets some bytes as its answer, and then the end of the connection.
class Answers : public testing::Test
{
protected:
  // Calls share what a process has once, and never gives back.
  static HclCtx *
  Context ()
  {
    static HclCtx *context = [] {
      static HclCtx made;
      hcl_ctx_init (&made, uv_default_loop ());
      return &made;
    }();
    return context;
  }

  void
  SetUp () override
  {
    sockaddr_in addr = {};
    socklen_t size = sizeof addr;
    addr.sin_family = AF_INET;
    addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    server_ = socket (AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ (bind (server_, (sockaddr *) &addr, size), 0);
    ASSERT_EQ (listen (server_, 4), 0);
    getsockname (server_, (sockaddr *) &addr, &size);
    port_ = ntohs (addr.sin_port);
  }

  void
  TearDown () override
  {
    close (server_);
  }

  HclOutcome
  OutcomeOf (const std::string &bytes)
  {
    std::thread upstream ([&] {
      char data[512];
      int fd = accept (server_, nullptr, nullptr);
      EXPECT_GT (recv (fd, data, sizeof data, 0), 0);
      EXPECT_EQ (send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL), (ssize_t) bytes.size ());
      shutdown (fd, SHUT_WR);
      recv (fd, data, sizeof data, 0);
      close (fd);
    });
    int status = 0;
    char *answer = nullptr;
    HclOutcome outcome = hcl_fetch_wait (Context (), NetAddr{ INADDR_LOOPBACK, port_ }, "GET", "/a",
                                         nullptr, kTimeoutMs, &status, &answer);
    g_free (answer);
    upstream.join ();
    return outcome;
  }

  int server_ = -1;
  uint16_t port_ = 0;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nX-Sig: 1.2\r\n";
}

// An upstream stops in the middle of its answer and closes: nothing of that is a whole answer.
class CutAnswer : public Answers, public testing::WithParamInterface<const char *>
{
};

TEST_P (CutAnswer, IsNotWhole)
{
  const std::string answer = kHead + GetParam ();
  for (size_t size = 0; size < answer.size (); size++)
    EXPECT_NE (OutcomeOf (answer.substr (0, size)), HCL_DONE) << size << " bytes of " << answer;
  EXPECT_EQ (OutcomeOf (answer), HCL_DONE);
}

INSTANTIATE_TEST_SUITE_P (Framings, CutAnswer,
                          testing::Values ("Content-Length: 5\r\n\r\nhello",
                                           "Transfer-Encoding: chunked\r\n\r\n"
                                           "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"));

// Nothing proves that an answer without a length is whole.
TEST_F (Answers, WithoutALengthAreNeverKnownToBeWhole)
{
  const std::string answer = kHead + "\r\nhel";
  for (size_t size = 0; size <= answer.size (); size++)
    EXPECT_NE (OutcomeOf (answer.substr (0, size)), HCL_DONE) << size;
}
