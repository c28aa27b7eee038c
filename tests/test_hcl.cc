// HTTP client: which responses count as complete.
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

// A server that sends given bytes as the response to one request and then closes the connection.
class HttpClient : public testing::Test
{
protected:
  // One for the whole process, as an HclCtx cannot be freed.
  static HclCtx *
  Context ()
  {
    static HclCtx *context = [] {
      static HclCtx instance;
      hcl_ctx_init (&instance, uv_default_loop ());
      return &instance;
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
  OutcomeOf (const std::string &response_bytes)
  {
    std::thread upstream ([&] {
      char data[512];
      int fd = accept (server_, nullptr, nullptr);
      EXPECT_GT (recv (fd, data, sizeof data, 0), 0);
      EXPECT_EQ (send (fd, response_bytes.data (), response_bytes.size (), MSG_NOSIGNAL),
                 (ssize_t) response_bytes.size ());
      shutdown (fd, SHUT_WR);
      recv (fd, data, sizeof data, 0);
      close (fd);
    });
    int status = 0;
    char *body = nullptr;
    HclOutcome outcome = hcl_fetch_wait (Context (), NetAddr{ INADDR_LOOPBACK, port_ }, "GET", "/a",
                                         nullptr, kTimeoutMs, &status, &body);
    g_free (body);
    upstream.join ();
    return outcome;
  }

  int server_ = -1;
  uint16_t port_ = 0;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nX-Sig: 1.2\r\n";
}

// An upstream that crashes closes the connection at any byte of its response. Such a response must
// not be reported as complete, whether its length is given or it is chunked.
class TruncatedResponse : public HttpClient, public testing::WithParamInterface<const char *>
{
};

TEST_P (TruncatedResponse, IsCompleteOnlyWithItsLastByte)
{
  const std::string response = kHead + GetParam ();
  for (size_t size = 0; size < response.size (); size++)
    EXPECT_NE (OutcomeOf (response.substr (0, size)), HCL_DONE) << size << " bytes of " << response;
  EXPECT_EQ (OutcomeOf (response), HCL_DONE);
}

INSTANTIATE_TEST_SUITE_P (Framings, TruncatedResponse,
                          testing::Values ("Content-Length: 5\r\n\r\nhello",
                                           "Transfer-Encoding: chunked\r\n\r\n"
                                           "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"));

// Guards against a process that runs out of memory because an upstream's response has no end.
TEST_F (HttpClient, EndlessBodyOfAFetchIsAborted)
{
  const size_t kMaxBytes = 1 << 20;
  std::thread upstream ([&] {
    const std::string chunk = "10000\r\n" + std::string (0x10000, 'x') + "\r\n";
    char data[512];
    int fd = accept (server_, nullptr, nullptr);
    EXPECT_GT (recv (fd, data, sizeof data, 0), 0);
    std::string bytes = kHead + "Transfer-Encoding: chunked\r\n\r\n";
    size_t sent = 0;
    // Ends by itself where nobody aborts it.
    for (ssize_t size = 1; size > 0 && sent < 100 * kMaxBytes; bytes = chunk)
      {
        size = send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
        sent += size > 0 ? size : 0;
      }
    close (fd);
  });
  struct Result
  {
    bool ended;
    HclOutcome outcome;
    size_t bytes;
  } result = {};
  HclCall *call = hcl_fetch (
      Context (), NetAddr{ INADDR_LOOPBACK, port_ }, "GET", "/a", nullptr, kTimeoutMs,
      [] (void *user, HclOutcome outcome, int, const char *, size_t size) {
        *static_cast<Result *> (user) = Result{ true, outcome, size };
      },
      &result);
  hcl_limit_fetch (call, kMaxBytes);
  while (!result.ended)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  upstream.join ();
  EXPECT_EQ (result.outcome, HCL_TRUNCATED);
  EXPECT_LE (result.bytes, kMaxBytes);
}

// Without a length or chunks, the end of a response can't be told from a lost connection.
TEST_F (HttpClient, CloseDelimitedResponseIsNeverComplete)
{
  const std::string response = kHead + "\r\nhel";
  for (size_t size = 0; size <= response.size (); size++)
    EXPECT_NE (OutcomeOf (response.substr (0, size)), HCL_DONE) << size;
}

// The HTTP library ends the process for some heads of HTTP/1.1 responses with a framing that it
// can't use. Found by FuzzLoop.ResponsesToEntryAndSteer.
class MalformedFraming : public HttpClient, public testing::WithParamInterface<const char *>
{
};

TEST_P (MalformedFraming, IsNoCompleteResponse)
{
  EXPECT_NE (OutcomeOf (kHead + GetParam () + "\r\n\r\nhello"), HCL_DONE);
  EXPECT_NE (OutcomeOf ("HTTP/1.1 100 Continue\r\n\r\n" + kHead + GetParam () + "\r\n\r\nhello"),
             HCL_DONE);
}

INSTANTIATE_TEST_SUITE_P (
    Heads, MalformedFraming,
    testing::Values ("Content-Length: x", "Content-Length: ", "Content-Length: -1",
                     "Content-Length: 5x", "content-length: 99999999999999999999999",
                     "Transfer-Encoding: gzip",
                     "Transfer-Encoding: ", "transfer-encoding: chunked, gzip",
                     "Content-Length: 5\r\n 6", "Content-Length: x\r\nConnection: close",
                     "Content-Length: 5\r\nContent-Length: x"));

// Guards against a check of the framing that is stricter than the HTTP library.
class UsualFraming : public HttpClient, public testing::WithParamInterface<const char *>
{
};

TEST_P (UsualFraming, IsACompleteResponse)
{
  EXPECT_EQ (OutcomeOf (kHead + GetParam ()), HCL_DONE);
  EXPECT_EQ (OutcomeOf ("HTTP/1.1 100 Continue\r\n\r\n" + kHead + GetParam ()), HCL_DONE);
}

INSTANTIATE_TEST_SUITE_P (
    Heads, UsualFraming,
    testing::Values ("Content-Length: 5\r\n\r\nhello", "content-length:5\r\n\r\nhello",
                     "Content-Length: 5 \r\n\r\nhello", "Content-Length: \t5\r\n\r\nhello",
                     "Content-Length: 005\n\nhello",
                     "TRANSFER-ENCODING: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                     "Transfer-Encoding: chunked \r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                     "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello",
                     "Content-Length: 0\r\n\r\n"));

// Guards against a response that is no answer in HTTP/1 and is reported as one, alone or after an
// interim response.
class MalformedStatusLine : public HttpClient, public testing::WithParamInterface<const char *>
{
};

TEST_P (MalformedStatusLine, IsNoResponse)
{
  const std::string response = GetParam () + std::string ("\r\nContent-Length: 5\r\n\r\nhello");
  EXPECT_EQ (OutcomeOf (response), HCL_DISCONNECTED);
  EXPECT_EQ (OutcomeOf ("HTTP/1.1 100 Continue\r\n\r\n" + response), HCL_DISCONNECTED);
}

INSTANTIATE_TEST_SUITE_P (Heads, MalformedStatusLine,
                          testing::Values ("HTTP/1.1 000 No", "HTTP/1.1 00 No", "HTTP/1.1 099 No",
                                           "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
                                           "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
                                           "HTTP/1.1 101 Switching Protocols", "HTTP/1.1  200 OK",
                                           "HTTP/1.1 200OK", "HTTP/1.1 200 O\x01K",
                                           "HTTP/1.1 200 OK\rX", "HTTP/2.0 200 OK",
                                           "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "ICY 200 OK",
                                           "\r\nHTTP/1.1 200 OK", "x"));

class MalformedField : public HttpClient, public testing::WithParamInterface<const char *>
{
};

TEST_P (MalformedField, IsNoResponse)
{
  const std::string rest = GetParam () + std::string ("\r\nContent-Length: 5\r\n\r\nhello");
  EXPECT_EQ (OutcomeOf (kHead + rest), HCL_DISCONNECTED);
  EXPECT_EQ (OutcomeOf ("HTTP/1.1 100 Continue\r\n" + std::string (GetParam ()) + "\r\n\r\n" + kHead
                        + "Content-Length: 5\r\n\r\nhello"),
             HCL_DISCONNECTED);
}

INSTANTIATE_TEST_SUITE_P (Heads, MalformedField,
                          testing::Values ("X Foo: v", "Content Length: 3", "X-Foo : v",
                                           "Content-Length : 3", "X\tFoo: v", "X\x01Foo: v",
                                           "X\x7f: v", "X\xe9: v", "X(a): v", ": v", "X-Foo",
                                           "X-Foo: a\x01z", "X-Foo: a\x7fz", "X-Foo: a\rz",
                                           "X-Foo: a\r\n z"));
