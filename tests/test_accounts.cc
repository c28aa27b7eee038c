// Client accounts over real node processes, with fake callers, upstreams and platform store.
#include "fakes.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{
const char kAnyRegion[] = "";
const char kUsualFields[] = "\"timeout-s\":2,\"goal-s\":0.5";
// Requests may wait for 2 s, an eighth of the objective, for an upstream that has paused.
const char kWaitingFields[] = "\"timeout-s\":15,\"goal-s\":16";
constexpr int kWaitMs = 2000;
// Time during which a new upstream gets few requests.
constexpr auto kColdStart = 3500ms;

Headers
WithKey (const std::string &id, const std::string &key, int deadline_ms = 4000)
{
  Headers headers = { { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string (deadline_ms) } };
  if (!key.empty ())
    headers["Authorization"] = "Bearer " + key;
  return headers;
}

std::string
Account (const std::string &name, const std::string &keys, const std::string &regions = kAnyRegion,
         const std::string &more = "")
{
  return "\"" + name + "\":{\"api-keys\":[" + keys + "],\"allowed-regions\":[" + regions + "]"
         + more + "}";
}

std::string
Route (const std::string &name, const std::string &fields)
{
  return ",\"" + name + "\":{\"host\":\"host.example\",\"path-prefix\":\"/" + name
         + "/\",\"kind\":\"idempotent\"," + kUsualFields
         + ",\"priority\":2,\"service\":\"desk\",\"attempts\":2," + fields + "}";
}

// A configuration with these accounts, a public route and one for the east only.
std::string
WithAccounts (int version, const std::string &accounts, const std::string &fields = kUsualFields)
{
  std::string routes
      = Route ("open", "\"public\":true") + Route ("eastern", "\"allowed-regions\":[\"east\"]");
  return "{\"tenants\":{" + accounts + "}," + Configuration (version, routes, fields).substr (1);
}

bool
Contains (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}

int
Count (const std::string &text, const std::string &part)
{
  int count = 0;
  for (size_t at = text.find (part); at != std::string::npos; at = text.find (part, at + 1))
    count++;
  return count;
}

std::string
InLowerCase (std::string text)
{
  std::transform (text.begin (), text.end (), text.begin (), ::tolower);
  return text;
}

// The only request of this id that the upstream received, in lower case; "" when there is none.
std::string
ReceivedHead (const FakeUpstream &upstream, const std::string &id)
{
  for (const Request &request : upstream.requests ())
    if (request.headers.count ("x-request-id") > 0 && request.headers.at ("x-request-id") == id)
      return InLowerCase (request.head);
  return "";
}

// A connection that is kept for several requests.
class KeptConnection
{
public:
  explicit KeptConnection (const std::string &address) : fd_ (Connect (address)) {}
  ~KeptConnection () { close (fd_); }

  // Status of the response; 0 when the connection ends before.
  int
  Get (const std::string &path, const std::string &key)
  {
    WriteAll (fd_, "GET " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: kept-"
                       + std::to_string (requests_++)
                       + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer " + key + "\r\n\r\n");
    std::string bytes;
    while (!IsWhole (bytes))
      {
        char buffer[4096];
        ssize_t n = recv (fd_, buffer, sizeof buffer, 0);
        if (n <= 0)
          return 0;
        bytes.append (buffer, static_cast<size_t> (n));
      }
    return atoi (bytes.substr (bytes.find (' ') + 1, 3).c_str ());
  }

private:
  static bool
  IsWhole (const std::string &bytes)
  {
    size_t end = bytes.find ("\r\n\r\n");
    size_t length = InLowerCase (bytes).find ("content-length: ");
    return end != std::string::npos && length < end
           && bytes.size () >= end + 4 + strtoul (bytes.c_str () + length + 16, nullptr, 10);
  }

  int fd_;
  int requests_ = 0;
};

// A store, an upstream in the node's zone, and a node that serves.
class AccountsTest : public ::testing::Test
{
protected:
  void
  Start (const std::string &configuration)
  {
    store_.Put ("config", "main", configuration);
    store_.Put ("servers", east_.id (), east_.Record ("desk", "east-a"));
    node_ = std::make_unique<NodeProcess> ("vm-1", "east-a", store_.address ());
    ASSERT_TRUE (node_->WaitReady (5000));
    ASSERT_TRUE (WaitUntil (4000, [&] { return store_.watches () == 4; }));
    ASSERT_TRUE (
        WaitUntil (3000, [&] { return Contains (node_->Log (), "event=upstream upstream=up-e"); }));
  }

  // Adds an upstream in the west.
  void
  AddWest ()
  {
    store_.Put ("servers", west_.id (), west_.Record ("desk", "west-a"));
    ASSERT_TRUE (
        WaitUntil (3000, [&] { return Contains (node_->Log (), "event=upstream upstream=up-w"); }));
  }

  void
  Configure (int version, const std::string &accounts, const std::string &fields = kUsualFields)
  {
    store_.Put ("config", "main", WithAccounts (version, accounts, fields));
    ASSERT_TRUE (WaitUntil (3000, [&] { return IsConfigured (version); }));
  }

  bool
  IsConfigured (int version)
  {
    return Contains (node_->Log (), "event=configured config=" + std::to_string (version) + " ");
  }

  int
  Get (const std::string &path, const std::string &key)
  {
    return node_->Call ("GET", path, WithKey ("get-" + std::to_string (requests_++), key)).status;
  }

  // Value of a counter in the node's metrics; -1 without it.
  long
  Counter (const std::string &name)
  {
    std::string line = "\ncardamom_node_" + name + "_total ";
    std::string text = "\n" + node_->Status ("/metrics").body;
    size_t at = text.find (line);
    return at != std::string::npos ? atol (text.c_str () + at + line.size ()) : -1;
  }

  // Makes the upstream reject a request and pause for this time.
  static FakeUpstream::Behaviour
  Pausing (int pause_ms)
  {
    return [pause_ms] (int fd, const Request &request) {
      WriteAll (fd, "HTTP/1.1 503 Paused\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                        + request.headers.at ("x-request-id") + "\r\nRetry-After: "
                        + std::to_string (pause_ms / 1000.0) + "\r\nContent-Length: 0\r\n\r\n");
    };
  }

  static FakeUpstream::Behaviour
  Serving (const FakeUpstream &upstream)
  {
    return [&upstream] (int fd, const Request &request) {
      WriteAll (fd, upstream.SignedResponse (request, "ok"));
    };
  }

  // Lets a request of `key` start the pause of the upstream, and returns its reply later.
  void
  Pause (FakeUpstream *upstream, const std::string &id, const std::string &key, int pause_ms)
  {
    int before = upstream->arrivals ();
    upstream->SetBehaviour (Pausing (pause_ms));
    SendLater (id, key);
    ASSERT_TRUE (WaitUntil (2000, [&] { return upstream->arrivals () > before; }));
    upstream->SetBehaviour (Serving (*upstream));
    std::this_thread::sleep_for (50ms);
  }

  void
  SendLater (const std::string &id, const std::string &key)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    callers_.emplace_back ([this, id, key] {
      Reply reply = node_->Call ("GET", "/read/" + id, WithKey (id, key, 15000), "", 10000);
      std::lock_guard<std::mutex> inner (mutex_);
      replies_[id] = reply;
    });
  }

  std::map<std::string, Reply>
  JoinCallers ()
  {
    for (std::thread &caller : callers_)
      caller.join ();
    callers_.clear ();
    return replies_;
  }

  FakeStore store_;
  FakeUpstream east_{ "up-east" };
  FakeUpstream west_{ "up-west" };
  std::unique_ptr<NodeProcess> node_;
  std::mutex mutex_;
  std::vector<std::thread> callers_;
  std::map<std::string, Reply> replies_;
  int requests_ = 0;
};

const char kTwoAccounts[] = "\"one\":{\"api-keys\":[\"key-one\",\"second-one\"]},"
                            "\"two\":{\"api-keys\":[\"key-two\"]}";
}

// ---- Authentication ----

TEST_F (AccountsTest, RequestWithoutAKnownKeyGets401AndReachesNoUpstream)
{
  Start (WithAccounts (7, kTwoAccounts));
  EXPECT_EQ (Get ("/read/a", "key-one"), 200);
  int before = east_.arrivals ();
  const std::string values[] = { "",          "Bearer",         "Bearer wrong",  "Bearer key-on",
                                 "key-one",   "Bearer Key-one", "Basic key-one", "Bearer key-onee",
                                 "Bearer one" };
  for (const std::string &value : values)
    for (const char *method : { "GET", "POST" })
      {
        Headers headers = WithKey ("unknown", "");
        if (!value.empty ())
          headers["Authorization"] = value;
        Reply reply = node_->Call (method, "/read/a", headers, "body");
        EXPECT_EQ (reply.status, 401) << value;
        EXPECT_EQ (reply.headers["www-authenticate"], "Bearer");
        EXPECT_EQ (reply.headers["x-request-id"], "unknown");
        EXPECT_LT (reply.elapsed_ms, 500);
      }
  EXPECT_EQ (east_.arrivals (), before);
  EXPECT_EQ (Counter ("unauthorized"), 18);
  std::string log = node_->Log ();
  EXPECT_EQ (Count (log, "event=request_unauthorized id=unknown route=read reason="), 18) << log;
  EXPECT_TRUE (Contains (log, "reason=unknown_key config=7 config_age_ms="));
  EXPECT_FALSE (Contains (log, "wrong"));
  EXPECT_FALSE (Contains (log, "key-one"));
}

// Guards against callers that take 401 for their fault while the node knows no account yet.
TEST_F (AccountsTest, NodeWithoutAConfigurationRespondsWith503)
{
  NodeProcess node ("vm-1", "east-a", store_.address ());
  ASSERT_TRUE (WaitUntil (3000, [&] { return node.Ready ().status != 0; }));
  EXPECT_EQ (node.Call ("GET", "/read/a", WithKey ("none", "")).status, 503);
  EXPECT_EQ (node.Call ("GET", "/read/a", WithKey ("some", "key-one")).status, 503);
}

TEST_F (AccountsTest, KeyIsNotForwardedAndTheAccountCannotBeForged)
{
  Start (WithAccounts (7, kTwoAccounts));
  Headers headers = WithKey ("forged", "second-one");
  headers["X-Tenant"] = "two";
  headers["x-tEnAnT"] = "two";
  EXPECT_EQ (node_->Call ("POST", "/post/a", headers, "body").status, 200);
  std::string head = ReceivedHead (east_, "forged");
  EXPECT_FALSE (Contains (head, "authorization")) << head;
  EXPECT_FALSE (Contains (head, "second-one")) << head;
  EXPECT_EQ (Count (head, "x-tenant"), 1) << head;
  EXPECT_TRUE (Contains (head, "x-tenant: one\r\n")) << head;
}

TEST_F (AccountsTest, PublicRouteNeedsNoKey)
{
  Start (WithAccounts (7, kTwoAccounts));
  Headers without = WithKey ("without", "");
  Headers unknown = WithKey ("unknown", "wrong");
  without["X-Tenant"] = unknown["X-Tenant"] = "one";
  EXPECT_EQ (node_->Call ("GET", "/open/a", without).status, 200);
  EXPECT_EQ (node_->Call ("GET", "/open/a", unknown).status, 200);
  EXPECT_EQ (node_->Call ("GET", "/open/a", WithKey ("known", "key-two")).status, 200);
  for (const char *id : { "without", "unknown" })
    EXPECT_FALSE (Contains (ReceivedHead (east_, id), "x-tenant")) << id;
  EXPECT_TRUE (Contains (ReceivedHead (east_, "known"), "x-tenant: two\r\n"));
  for (const char *id : { "without", "unknown", "known" })
    EXPECT_FALSE (Contains (ReceivedHead (east_, id), "authorization")) << id;
  EXPECT_EQ (Counter ("unauthorized"), 0);
}

// Guards against forwarding a key that stands in a continuation line of its header.
TEST_F (AccountsTest, KeyInAFoldedHeaderIsNotForwarded)
{
  Start (WithAccounts (7, kTwoAccounts));
  int fd = Connect (node_->front ());
  WriteAll (fd, "GET /open/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: folded\r\n"
                "X-Deadline-Ms: 4000\r\nAuthorization: Bearer\r\n key-one\r\n"
                "Connection: close\r\n\r\n");
  std::string reply;
  char buffer[4096];
  for (ssize_t n; (n = recv (fd, buffer, sizeof buffer, 0)) > 0;)
    reply.append (buffer, static_cast<size_t> (n));
  close (fd);
  EXPECT_TRUE (Contains (reply, "HTTP/1.1 400 ")) << reply;
  EXPECT_EQ (ReceivedHead (east_, "folded"), "");
  EXPECT_EQ (Get ("/read/a", "key-one"), 200);
}

// Guards against any change for deployments without accounts.
TEST_F (AccountsTest, WithoutAccountsHeadersAreForwardedAsReceived)
{
  Start (WithAccounts (7, ""));
  Headers headers = WithKey ("plain", "some");
  headers["X-Tenant"] = "other";
  EXPECT_EQ (node_->Call ("GET", "/read/a", headers).status, 200);
  EXPECT_EQ (node_->Call ("GET", "/read/a", WithKey ("none", "")).status, 200);
  std::string head = ReceivedHead (east_, "plain");
  EXPECT_TRUE (Contains (head, "authorization: bearer some\r\n")) << head;
  EXPECT_TRUE (Contains (head, "x-tenant: other\r\n")) << head;
  EXPECT_FALSE (Contains (ReceivedHead (east_, "none"), "x-tenant"));
  EXPECT_FALSE (Contains (node_->Status ("/state").body, "account"));
}

// ---- Changes of keys ----

TEST_F (AccountsTest, KeyRemovedAndAddedAgainTakesEffectOnAKeptConnection)
{
  Start (WithAccounts (7, kTwoAccounts));
  KeptConnection connection (node_->front ());
  EXPECT_EQ (connection.Get ("/read/a", "key-one"), 200);
  Configure (8, Account ("one", "\"second-one\"") + "," + Account ("two", "\"key-two\""));
  EXPECT_EQ (connection.Get ("/read/a", "key-one"), 401);
  EXPECT_EQ (connection.Get ("/read/a", "second-one"), 200);
  Configure (9, Account ("two", "\"key-two\""));
  EXPECT_EQ (connection.Get ("/read/a", "second-one"), 401);
  EXPECT_EQ (connection.Get ("/read/a", "key-two"), 200);
  Configure (10, Account ("two", "\"key-two\"") + "," + Account ("one", "\"key-one\""));
  EXPECT_EQ (connection.Get ("/read/a", "key-one"), 200);
  EXPECT_EQ (connection.Get ("/read/a", "second-one"), 401);
}

TEST_F (AccountsTest, LastOfTwoVersionsWithinASecondIsInForceAndStays)
{
  Start (WithAccounts (7, Account ("one", "\"key-a\"")));
  store_.Put ("config", "main", WithAccounts (8, Account ("one", "\"key-b\"")));
  std::this_thread::sleep_for (300ms);
  store_.Put ("config", "main", WithAccounts (9, Account ("one", "\"key-c\"")));
  ASSERT_TRUE (WaitUntil (3000, [&] { return IsConfigured (9); }));
  EXPECT_EQ (Get ("/read/a", "key-a"), 401);
  EXPECT_EQ (Get ("/read/a", "key-b"), 401);
  EXPECT_EQ (Get ("/read/a", "key-c"), 200);
  store_.Put ("config", "main", WithAccounts (8, Account ("one", "\"key-b\"")));
  std::this_thread::sleep_for (800ms);
  EXPECT_EQ (Get ("/read/a", "key-b"), 401);
  EXPECT_EQ (Get ("/read/a", "key-c"), 200);
}

// Guards against an account without keys, or a configuration without any key, that lets requests
// pass unauthenticated.
TEST_F (AccountsTest, RemovalOfTheLastKeyLeavesAuthenticationOn)
{
  Start (WithAccounts (7, kTwoAccounts));
  Configure (8, Account ("one", "") + "," + Account ("two", "\"key-two\""));
  EXPECT_EQ (Get ("/read/a", "key-one"), 401);
  EXPECT_EQ (Get ("/read/a", "key-two"), 200);
  Configure (9, Account ("one", "") + "," + Account ("two", ""));
  EXPECT_EQ (Get ("/read/a", "key-two"), 401);
  EXPECT_EQ (Get ("/read/a", ""), 401);
}

// The upstream has rejected one request, which waits to be sent again, and pauses; a second one of
// the same account and one of another wait for the end of the pause.
TEST_F (AccountsTest, WaitingRequestsWhoseKeyIsRemovedAreRejectedAsNotRun)
{
  Start (WithAccounts (7, kTwoAccounts, kWaitingFields));
  Pause (&east_, "retried", "key-one", kWaitMs - 500);
  int start_ms = NowMs ();
  SendLater ("waiting", "key-one");
  SendLater ("other", "key-two");
  SendLater ("kept", "second-one");
  std::this_thread::sleep_for (200ms);
  store_.Put (
      "config", "main",
      WithAccounts (8, Account ("one", "\"second-one\"") + "," + Account ("two", "\"key-two\""),
                    kWaitingFields));
  auto replies = JoinCallers ();
  for (const char *id : { "retried", "waiting" })
    {
      EXPECT_EQ (replies[id].status, 503) << id;
      EXPECT_EQ (replies[id].body, "key_removed") << id;
    }
  EXPECT_LT (replies["waiting"].elapsed_ms, 1000) << "rejected only at the end of the pause";
  EXPECT_EQ (replies["other"].status, 200);
  EXPECT_EQ (replies["kept"].status, 200);
  EXPECT_GE (NowMs () - start_ms, 1000);
  EXPECT_EQ (east_.runs ("retried"), 1); // the rejected one
  EXPECT_EQ (east_.runs ("waiting"), 0);
  EXPECT_EQ (Counter ("revoked"), 2);
}

// Guards against forwarding a key, or a forged account, of a request that arrived before the
// configuration had accounts.
TEST_F (AccountsTest, RequestThatWaitedForTheFirstAccountsIsSentWithoutItsKey)
{
  Start (WithAccounts (7, "", kWaitingFields));
  Pause (&east_, "pausing", "", 1500);
  std::thread caller ([&] {
    Headers headers = WithKey ("early", "key-one", 15000);
    headers["X-Tenant"] = "two";
    EXPECT_EQ (node_->Call ("GET", "/read/early", headers, "", 10000).status, 200);
  });
  std::this_thread::sleep_for (100ms);
  Configure (8, kTwoAccounts, kWaitingFields);
  EXPECT_EQ (ReceivedHead (east_, "early"), "");
  caller.join ();
  JoinCallers ();
  std::string head = ReceivedHead (east_, "early");
  EXPECT_TRUE (Contains (head, "x-request-id: early")) << head;
  EXPECT_FALSE (Contains (head, "key-one")) << head;
  EXPECT_FALSE (Contains (head, "x-tenant")) << head;
}

// Guards against a request that changes its account: the key has passed to another one.
TEST_F (AccountsTest, WaitingRequestWhoseKeyPassedToAnotherAccountIsRejected)
{
  Start (WithAccounts (7, kTwoAccounts, kWaitingFields));
  Pause (&east_, "retried", "key-two", kWaitMs - 500);
  SendLater ("waiting", "key-one");
  std::this_thread::sleep_for (200ms);
  store_.Put ("config", "main",
              WithAccounts (8, Account ("two", "\"key-two\",\"key-one\""), kWaitingFields));
  auto replies = JoinCallers ();
  EXPECT_EQ (replies["waiting"].status, 503);
  EXPECT_EQ (replies["waiting"].body, "key_removed");
  EXPECT_EQ (east_.runs ("waiting"), 0);
  EXPECT_EQ (node_->Call ("GET", "/read/a", WithKey ("passed", "key-one", 15000)).status, 200);
}

// A request that the upstream is running when its key is removed gets its response.
TEST_F (AccountsTest, RunningRequestWhoseKeyIsRemovedIsAnswered)
{
  Start (WithAccounts (7, kTwoAccounts));
  east_.SetWork (800);
  SendLater ("running", "key-one");
  ASSERT_TRUE (WaitUntil (1000, [&] { return east_.runs ("running") == 1; }));
  Configure (8, Account ("two", "\"key-two\""));
  auto replies = JoinCallers ();
  EXPECT_EQ (replies["running"].status, 200);
  EXPECT_EQ (Counter ("revoked"), 0);
}

// Guards against a second run after the removal: the response of the first is lost.
TEST_F (AccountsTest, LostRequestWhoseKeyIsRemovedIsNotSentAgain)
{
  Start (WithAccounts (7, kTwoAccounts));
  east_.SetWork (800);
  east_.SetBehaviour ([] (int fd, const Request &) { shutdown (fd, SHUT_RDWR); });
  SendLater ("lost", "key-one");
  ASSERT_TRUE (WaitUntil (1000, [&] { return east_.runs ("lost") == 1; }));
  Configure (8, Account ("two", "\"key-two\""));
  auto replies = JoinCallers ();
  EXPECT_EQ (replies["lost"].status, 502);
  EXPECT_EQ (east_.runs ("lost"), 1);
}

// The store rejects all calls of the second node, which learns accounts and their changes from the
// first.
TEST_F (AccountsTest, NodeThatStartsWithoutTheStoreLearnsAccountsFromAPeer)
{
  Start (WithAccounts (7, kTwoAccounts));
  FakeStore refusing;
  refusing.SetMode (FakeStore::Mode::kUnavailable);
  NodeProcess without_store ("vm-2", "east-b", refusing.address (), 2);
  ASSERT_TRUE (WaitUntil (3000, [&] { return refusing.calls () > 2; }));
  EXPECT_EQ (without_store.Call ("GET", "/read/a", WithKey ("early", "key-one")).status, 503);
  store_.Put ("nodes", "vm-2",
              "{\"address\":\"" + without_store.peer () + "\",\"zone\":\"east-b\"}");
  ASSERT_TRUE (without_store.WaitReady (4000));
  EXPECT_EQ (without_store.Call ("GET", "/read/a", WithKey ("u", "wrong")).status, 401);
  EXPECT_TRUE (WaitUntil (2000, [&] {
    return without_store.Call ("GET", "/read/a", WithKey ("k", "key-one")).status == 200;
  }));
  store_.Put ("config", "main", WithAccounts (8, Account ("two", "\"key-two\"")));
  EXPECT_TRUE (WaitUntil (2500, [&] {
    return without_store.Call ("GET", "/read/a", WithKey ("k2", "key-one")).status == 401;
  }));
  EXPECT_EQ (without_store.Call ("GET", "/read/a", WithKey ("k3", "key-two")).status, 200);
}

// Guards against a restarted node that accepts a removed key again: lists of the store that may be
// stale still have it.
TEST_F (AccountsTest, NodeThatStartsFromStaleListsDoesNotAcceptARemovedKey)
{
  store_.Put ("config", "main", WithAccounts (7, Account ("one", "\"key-a\"")));
  store_.FreezeStaleLists ();
  store_.Put ("config", "main", WithAccounts (8, Account ("one", "\"key-b\"")));
  NodeProcess node ("vm-1", "east-a", store_.address ());
  int status = 0;
  ASSERT_TRUE (WaitUntil (3000, [&] {
    Reply reply = node.Call ("GET", "/read/a", WithKey ("removed", "key-a"));
    status = reply.status;
    return status != 0 && reply.body != "no_configuration";
  }));
  EXPECT_EQ (status, 401);
}

// Guards against accounts of replaced versions that stay in memory: the sanitizers' build ends with
// an error then.
TEST_F (AccountsTest, NodeStopsCleanlyAfterChangesOfAccounts)
{
  Start (WithAccounts (7, kTwoAccounts));
  EXPECT_EQ (Get ("/read/a", "key-one"), 200);
  EXPECT_EQ (Get ("/read/a", "wrong"), 401);
  Configure (8, Account ("one", "\"key-one\"", "\"east\"", ",\"rate-per-s\":100"));
  EXPECT_EQ (Get ("/read/a", "key-two"), 401);
  store_.Put ("config", "main", WithAccounts (9, Account ("one", "\"key-one\",\"\"")));
  ASSERT_TRUE (WaitUntil (3000, [&] { return Contains (node_->Log (), "configuration_invalid"); }));
  Configure (10, "");
  EXPECT_EQ (Get ("/read/a", ""), 200);
  node_->Signal (SIGTERM);
  EXPECT_EQ (node_->WaitExit (9000), 0) << node_->Log ();
}

// ---- Rejections before the body ----

namespace
{
// A request whose body does not arrive, or only a part of it.
std::string
HeadOnly (const std::string &id, const std::string &key, const std::string &framing)
{
  return "POST /read/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + id
         + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer " + key + "\r\n" + framing + "\r\n";
}

const char kLargeBody[] = "Content-Length: 1000000\r\n";

// What arrives until the connection ends or, without an end, for a second and a half.
std::string
ReadToEnd (int fd, bool *ended)
{
  std::string bytes;
  char buffer[4096];
  timeval limit = { 1, 500000 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ssize_t n;
  while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    bytes.append (buffer, static_cast<size_t> (n));
  *ended = n == 0;
  return InLowerCase (bytes);
}

std::string
Exchange (const std::string &address, const std::string &bytes, bool *ended)
{
  int fd = Connect (address);
  WriteAll (fd, bytes);
  std::string response = ReadToEnd (fd, ended);
  close (fd);
  return response;
}
}

// Guards against callers that hold memory with bodies of requests that are rejected anyway.
TEST_F (AccountsTest, UnknownKeyGets401BeforeTheBody)
{
  Start (WithAccounts (7, kTwoAccounts));
  for (const std::string &framing :
       { std::string (kLargeBody), std::string (kLargeBody) + "Expect: 100-continue\r\n",
         std::string ("Transfer-Encoding: chunked\r\n") })
    {
      bool ended = false;
      std::string response
          = Exchange (node_->front (), HeadOnly ("early", "wrong", framing) + "part", &ended);
      EXPECT_EQ (response.rfind ("http/1.1 401 ", 0), 0u) << framing << response;
      EXPECT_TRUE (Contains (response, "connection: close\r\n"));
      EXPECT_TRUE (Contains (response, "www-authenticate: bearer\r\n"));
      EXPECT_TRUE (Contains (response, "x-request-id: early\r\n"));
      EXPECT_FALSE (Contains (response, "100 continue"));
      EXPECT_TRUE (ended);
    }
  EXPECT_EQ (Counter ("unauthorized"), 3);
  EXPECT_EQ (Counter ("requests"), 3);
  EXPECT_EQ (east_.arrivals (), 0);
  EXPECT_EQ (Get ("/read/a", "key-one"), 200);
}

// Guards against a reset that takes the response away from a caller that is still sending.
TEST_F (AccountsTest, CallerThatSendsItsWholeBodyGets401)
{
  Start (WithAccounts (7, kTwoAccounts));
  int fd = Connect (node_->front ());
  WriteAll (fd, HeadOnly ("sender", "wrong", kLargeBody));
  std::this_thread::sleep_for (100ms);
  for (int i = 0; i < 10; i++)
    {
      std::string part (50000, 'b');
      EXPECT_EQ (send (fd, part.data (), part.size (), MSG_NOSIGNAL), 50000) << strerror (errno);
      std::this_thread::sleep_for (20ms);
    }
  bool ended = false;
  EXPECT_EQ (ReadToEnd (fd, &ended).rfind ("http/1.1 401 ", 0), 0u);
  EXPECT_TRUE (ended);
  close (fd);
}

// Guards against a rejected caller that holds its connection, and one that sends without end.
TEST_F (AccountsTest, RejectedCallerDoesNotKeepItsConnection)
{
  Start (WithAccounts (7, kTwoAccounts));
  for (size_t part_bytes : { size_t{ 1 }, size_t{ 100000 } })
    {
      int fd = Connect (node_->front ());
      WriteAll (fd, HeadOnly ("holder", "wrong", kLargeBody));
      const std::string part (part_bytes, 'b');
      EXPECT_TRUE (WaitUntil (6000, [&] {
        ssize_t sent = send (fd, part.data (), part.size (), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent < 0 && errno != EAGAIN;
      })) << part_bytes;
      close (fd);
    }
  EXPECT_LT (node_->PeakMemoryKb (), 40000);
  EXPECT_EQ (Get ("/read/a", "key-one"), 200);
}

// Guards against a check of the first request of a connection alone.
TEST_F (AccountsTest, LaterRequestOfAConnectionGets401BeforeTheBody)
{
  Start (WithAccounts (7, kTwoAccounts));
  for (bool pipelined : { false, true })
    {
      int fd = Connect (node_->front ());
      std::string first = HeadOnly ("first", "key-one", "Content-Length: 2\r\n") + "ab";
      std::string second = HeadOnly ("second", "wrong", kLargeBody);
      WriteAll (fd, pipelined ? first + second : first);
      std::this_thread::sleep_for (300ms);
      if (!pipelined)
        WriteAll (fd, second);
      bool ended = false;
      std::string responses = ReadToEnd (fd, &ended);
      EXPECT_EQ (responses.rfind ("http/1.1 200 ", 0), 0u) << responses;
      size_t at = responses.find ("http/1.1 401 ");
      EXPECT_TRUE (pipelined || at != std::string::npos) << responses;
      EXPECT_TRUE (ended);
      close (fd);
    }
}

// Guards against callers over their quota that hold memory with bodies, and against requests that
// are rejected early without being counted.
TEST_F (AccountsTest, RequestOverTheQuotaGets429BeforeTheBody)
{
  Start (WithAccounts (
      7, Account ("one", "\"key-one\"", kAnyRegion, ",\"rate-per-s\":0.001,\"burst\":1")));
  int status = 200;
  for (int i = 0; i < 60 && status == 200; i++)
    status = Get ("/read/a", "key-one");
  ASSERT_EQ (status, 429);
  int arrivals = east_.arrivals ();
  long rejected = Counter ("over_quota");
  bool ended = false;
  std::string response
      = Exchange (node_->front (), HeadOnly ("over", "key-one", kLargeBody), &ended);
  EXPECT_EQ (response.rfind ("http/1.1 429 ", 0), 0u) << response;
  EXPECT_TRUE (Contains (response, "connection: close\r\n"));
  EXPECT_TRUE (Contains (response, "retry-after: "));
  EXPECT_TRUE (Contains (response, "over_quota"));
  EXPECT_TRUE (ended);
  EXPECT_EQ (Counter ("over_quota"), rejected + 1);
  EXPECT_EQ (east_.arrivals (), arrivals);
}

// Guards against a token that is taken by a request whose body never arrives.
TEST_F (AccountsTest, RequestWithoutItsBodyTakesNoToken)
{
  const std::string quota = ",\"rate-per-s\":0.001,\"burst\":1";
  Start (WithAccounts (7, Account ("one", "\"key-one\"", kAnyRegion, quota) + ","
                              + Account ("two", "\"key-two\"", kAnyRegion, quota)));
  int usual = 0;
  while (usual < 60 && Get ("/read/a", "key-two") == 200)
    usual++;
  for (int i = 0; i < 60; i++)
    {
      int fd = Connect (node_->front ());
      WriteAll (fd, HeadOnly ("gone", "key-one", kLargeBody));
      std::this_thread::sleep_for (5ms);
      close (fd);
    }
  int admitted = 0;
  while (admitted < 60 && Get ("/read/a", "key-one") == 200)
    admitted++;
  EXPECT_GT (usual, 0);
  EXPECT_EQ (admitted, usual);
}

// ---- Many accounts ----

namespace
{
// Accounts named `prefix`0, `prefix`1, ... with keys key-`prefix`0-0, ...
std::string
ManyAccounts (const std::string &prefix, int accounts, int keys)
{
  std::string text;
  for (int i = 0; i < accounts; i++)
    {
      std::string name = prefix + std::to_string (i);
      std::string list;
      for (int k = 0; k < keys; k++)
        list += (k > 0 ? ",\"key-" : "\"key-") + name + "-" + std::to_string (k) + "\"";
      text += (i > 0 ? "," : "") + Account (name, list, kAnyRegion, ",\"rate-per-s\":1000");
    }
  return text;
}
}

// Guards against a node without service while it loads, and one that mixes two versions.
TEST_F (AccountsTest, ConfigurationInForceServesWhileALargeOneIsLoaded)
{
  Start (WithAccounts (7, kTwoAccounts));
  store_.Put (
      "config", "main",
      WithAccounts (8, Account ("two", "\"key-two\"") + "," + ManyAccounts ("many", 2000, 10)));
  int served = 0;
  ASSERT_TRUE (WaitUntil (8000, [&] {
    int status = Get ("/read/a", "key-one");
    int last = Get ("/read/a", "key-many1999-9");
    served += status == 200 && last == 401;
    EXPECT_TRUE (status == 200 || last != 401 || IsConfigured (8)) << status << " " << last;
    return IsConfigured (8);
  }));
  EXPECT_GT (served, 0);
  EXPECT_EQ (Get ("/read/a", "key-one"), 401);
  EXPECT_EQ (Get ("/read/a", "key-two"), 200);
  EXPECT_EQ (Get ("/read/a", "key-many0-0"), 200);
  EXPECT_EQ (Get ("/read/a", "key-many1999-9"), 200);
  Configure (9, Account ("two", "\"key-two\""));
  EXPECT_EQ (Get ("/read/a", "key-many0-0"), 401);
}

// Guards against a version whose loading continues after a newer one has arrived, and which then
// replaces the newer one.
TEST_F (AccountsTest, NewerVersionReplacesTheOneBeingLoaded)
{
  Start (WithAccounts (7, kTwoAccounts));
  const std::string applied = "event=objects_applied kind=config";
  int applied_before = Count (node_->Log (), applied);
  store_.Put ("config", "main", WithAccounts (8, ManyAccounts ("many", 10000, 10)));
  ASSERT_TRUE (WaitUntil (5000, [&] { return Count (node_->Log (), applied) > applied_before; }));
  Configure (9, Account ("two", "\"key-two\""));
  EXPECT_TRUE (Contains (node_->Log (), "event=configuration_replaced"));
  std::this_thread::sleep_for (1500ms);
  EXPECT_FALSE (IsConfigured (8));
  EXPECT_EQ (Get ("/read/a", "key-two"), 200);
  EXPECT_EQ (Get ("/read/a", "key-many0-0"), 401);
}

// Guards against a limit on the size of objects between nodes that is below that of the store.
TEST_F (AccountsTest, NodeThatStartsWithoutTheStoreLearnsManyAccountsFromAPeer)
{
  Start (WithAccounts (7, kTwoAccounts));
  std::string prefix (60, 'm');
  std::string configuration = WithAccounts (8, ManyAccounts (prefix, 2000, 10));
  ASSERT_GT (configuration.size (), 1500000u);
  store_.Put ("config", "main", configuration);
  ASSERT_TRUE (WaitUntil (8000, [&] { return IsConfigured (8); }));
  FakeStore refusing;
  refusing.SetMode (FakeStore::Mode::kUnavailable);
  NodeProcess without_store ("vm-2", "east-b", refusing.address (), 2);
  store_.Put ("nodes", "vm-2",
              "{\"address\":\"" + without_store.peer () + "\",\"zone\":\"east-b\"}");
  ASSERT_TRUE (without_store.WaitReady (8000));
  EXPECT_TRUE (WaitUntil (2000, [&] {
    return without_store.Call ("GET", "/read/a", WithKey ("k", "key-" + prefix + "1999-9")).status
           == 200;
  }));
}

// ---- Query of operators ----

namespace
{
struct CtlResult
{
  int code;
  std::string output;
};

CtlResult
RunCtl (const std::string &arguments)
{
  std::string command = std::string (PROGRAMS_DIR) + "/cardamomctl accounts " + arguments + " 2>&1";
  FILE *pipe = popen (command.c_str (), "r");
  CtlResult result = { -1, "" };
  char buffer[4096];
  size_t size;
  while ((size = fread (buffer, 1, sizeof buffer, pipe)) > 0)
    result.output.append (buffer, size);
  int status = pclose (pipe);
  result.code = WIFEXITED (status) ? WEXITSTATUS (status) : -1;
  return result;
}
}

// Guards against a query that omits accounts without a quota, or that prints keys.
TEST_F (AccountsTest, QueryPrintsQuotaAndUseOfEachNode)
{
  const std::string quota = ",\"rate-per-s\":0.001,\"burst\":1";
  Start (WithAccounts (7, Account ("one", "\"key-one\"", kAnyRegion, quota) + ","
                              + Account ("two", "\"key-two\"")));
  int admitted = 0;
  while (admitted < 60 && Get ("/read/a", "key-one") == 200)
    admitted++;
  ASSERT_LT (admitted, 60);
  EXPECT_EQ (Get ("/read/a", "key-two"), 200);
  std::string one = "account=one node=vm-1 requests=" + std::to_string (admitted + 1)
                    + " over_quota=1 rate_per_s=0.001 burst=1 window_ms=5000 admitted=";
  std::string counted = one + std::to_string (admitted) + " level=";
  ASSERT_TRUE (
      WaitUntil (6000, [&] { return Contains (RunCtl (node_->metrics ()).output, counted); }))
      << counted << "\n"
      << RunCtl (node_->metrics ()).output;
  CtlResult all = RunCtl (node_->metrics ());
  EXPECT_EQ (all.code, 0);
  EXPECT_TRUE (Contains (all.output,
                         "\naccount=two node=vm-1 requests=1 over_quota=0 rate_per_s=unlimited\n"))
      << all.output;
  EXPECT_FALSE (Contains (all.output, "key-"));
  EXPECT_FALSE (Contains (RunCtl ("--account=one " + node_->metrics ()).output, "two"));
  CtlResult json = RunCtl ("--output=json --account=one " + node_->metrics ());
  EXPECT_EQ (json.code, 0);
  EXPECT_TRUE (Contains (json.output, "{\"account\":\"one\",\"node\":\"vm-1\",\"requests\":"))
      << json.output;
  EXPECT_EQ (Count (json.output, "\n"), 1);
}

// Guards against a query that reports success although a node's use is missing.
TEST_F (AccountsTest, QueryNamesNodesThatDoNotRespond)
{
  Start (WithAccounts (7, kTwoAccounts));
  CtlResult result = RunCtl ("127.0.0.1:1 " + node_->metrics ());
  EXPECT_EQ (result.code, 1);
  EXPECT_TRUE (Contains (result.output, "address=127.0.0.1:1 state=no_answer\n")) << result.output;
  EXPECT_TRUE (Contains (result.output, "account=one node=vm-1 "));
  CtlResult unknown = RunCtl ("--account=three " + node_->metrics ());
  EXPECT_EQ (unknown.code, 0);
  EXPECT_TRUE (Contains (unknown.output, "no node that responded has an account 'three'"));
}

// Guards against an exit status of 0 without any address queried.
TEST (AccountsQuery, WrongUsageIsRejected)
{
  unsetenv ("CARDAMOM_NODES");
  EXPECT_EQ (RunCtl ("").code, 2);
  EXPECT_EQ (RunCtl ("nowhere").code, 2);
  EXPECT_EQ (RunCtl ("--output=xml 127.0.0.1:1").code, 2);
  setenv ("CARDAMOM_NODES", "127.0.0.1:1, 127.0.0.1:2", 1);
  CtlResult result = RunCtl ("");
  unsetenv ("CARDAMOM_NODES");
  EXPECT_EQ (result.code, 1);
  EXPECT_EQ (Count (result.output, "state=no_answer"), 2);
}

// ---- Errors in accounts ----

TEST_F (AccountsTest, ConfigurationWithInvalidKeysIsRefusedAndTheOneInForceStays)
{
  Start (WithAccounts (7, kTwoAccounts));
  store_.Put (
      "config", "main",
      WithAccounts (8, Account ("one", "\"secret-x\"") + "," + Account ("two", "\"secret-x\"")));
  store_.Put ("config", "main", WithAccounts (9, Account ("three", "\"secret-y\",\"\"")));
  ASSERT_TRUE (WaitUntil (
      3000, [&] { return Contains (node_->Log (), "account three has an empty API key"); }));
  EXPECT_EQ (Get ("/read/a", "key-one"), 200);
  EXPECT_EQ (Get ("/read/a", "secret-x"), 401);
  EXPECT_EQ (Get ("/read/a", "secret-y"), 401);
  EXPECT_FALSE (Contains (node_->Log (), "secret"));
}

TEST_F (AccountsTest, InvalidRatesAndUnknownRegionsAreLoggedWithTheAccount)
{
  Start (WithAccounts (7, Account ("one", "\"key-one\"", "\"moon\"") + ","
                              + Account ("two", "\"key-two\"", "", ",\"rate-per-s\":-5")));
  std::string log = node_->Log ();
  EXPECT_TRUE (Contains (log, "account_invalid account=one field=regions region=\"moon\"")) << log;
  EXPECT_TRUE (Contains (log, "account_invalid account=two field=rate-per-s config=7")) << log;
  EXPECT_FALSE (Contains (log, "key-"));
  EXPECT_EQ (Get ("/read/a", "key-one"), 503);
  EXPECT_EQ (Get ("/read/a", "key-two"), 200);
}

// ---- Quotas ----

// The limit allows 1 x 5 s + 2 requests, and 10% and 20 more, in a window of 5 s.
TEST_F (AccountsTest, RequestsOverTheQuotaGet429AndAreNotForwarded)
{
  Start (WithAccounts (7, Account ("small", "\"key-s\"", "", ",\"rate-per-s\":1,\"burst\":2") + ","
                              + Account ("free", "\"key-f\"")));
  ASSERT_EQ (Get ("/read/a", "key-f"), 200);
  int served = 0;
  int rejected = 0;
  int before = east_.arrivals ();
  for (int i = 0; i < 60; i++)
    {
      Reply reply
          = node_->Call ("POST", "/post/a", WithKey ("q" + std::to_string (i), "key-s"), "x");
      served += reply.status == 200;
      rejected += reply.status == 429;
      if (reply.status != 429)
        continue;
      EXPECT_EQ (reply.headers["x-request-id"], "q" + std::to_string (i));
      EXPECT_GT (std::stod (reply.headers["retry-after"]), 0);
      EXPECT_LE (std::stod (reply.headers["retry-after"]), 4.0 / 3);
      EXPECT_LT (reply.elapsed_ms, 500);
    }
  EXPECT_GE (rejected, 25);
  EXPECT_EQ (served + rejected, 60);
  EXPECT_EQ (east_.arrivals () - before, served);
  EXPECT_EQ (Counter ("over_quota"), rejected);
  EXPECT_EQ (Get ("/read/a", "key-f"), 200);
  EXPECT_TRUE (Contains (node_->Status ("/state").body, "\naccount=small requests=60 over_quota="
                                                            + std::to_string (rejected) + "\n"));
  Configure (8, Account ("small", "\"key-s\""));
  for (int i = 0; i < 30; i++)
    EXPECT_EQ (Get ("/read/a", "key-s"), 200) << "the limit was removed";
}

// Guards against quotas that are used up by requests that did not run: the upstream rejects them.
TEST_F (AccountsTest, RequestsThatDidNotRunDoNotUseTheQuota)
{
  Start (WithAccounts (7, Account ("small", "\"key-s\"", "", ",\"rate-per-s\":1,\"burst\":2")));
  ASSERT_TRUE (WaitUntil (8000, [&] { return Get ("/read/a", "key-s") == 200; }));
  std::this_thread::sleep_for (2500ms); // until the burst is available
  east_.SetBehaviour ([] (int fd, const Request &request) {
    WriteAll (fd, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: "
                      + request.headers.at ("x-request-id") + "\r\nContent-Length: 0\r\n\r\n");
  });
  for (int i = 0; i < 60; i++)
    EXPECT_EQ (Get ("/read/a", "key-s"), 503);
  east_.SetBehaviour (Serving (east_));
  std::this_thread::sleep_for (300ms);
  EXPECT_EQ (Get ("/read/a", "key-s"), 200);
}

// ---- Priority and regions ----

// Requests of both accounts wait for an upstream with four slots; those of the account with a
// priority are sent first.
TEST_F (AccountsTest, PriorityOfTheAccountPrecedesThatOfTheRoute)
{
  Start (WithAccounts (7,
                       Account ("urgent", "\"key-u\"", "", ",\"priority\":0") + ","
                           + Account ("usual", "\"key-n\""),
                       kWaitingFields));
  Pause (&east_, "first", "key-n", kWaitMs - 500);
  east_.SetWork (400);
  for (int i = 0; i < 4; i++)
    {
      SendLater ("usual-" + std::to_string (i), "key-n");
      std::this_thread::sleep_for (30ms);
      SendLater ("urgent-" + std::to_string (i), "key-u");
      std::this_thread::sleep_for (30ms);
    }
  JoinCallers ();
  std::vector<Request> requests = east_.requests ();
  int urgent = 0;
  for (size_t i = 1; i < std::min<size_t> (requests.size (), 5); i++)
    urgent += Contains (requests[i].target, "urgent");
  EXPECT_GE (urgent, 3);
}

TEST_F (AccountsTest, RequestRunsOnlyInRegionsOfBothAccountAndRoute)
{
  Start (WithAccounts (7, Account ("east", "\"key-e\"", "\"east\"") + ","
                              + Account ("west", "\"key-w\"", "\"west\"") + ","
                              + Account ("both", "\"key-b\"", "\"west\",\"east\"")));
  AddWest ();
  ASSERT_TRUE (WaitUntil (3000, [&] { return Get ("/read/a", "key-w") == 200; }));
  int east = east_.arrivals ();
  for (int i = 0; i < 20; i++)
    EXPECT_EQ (Get ("/read/" + std::to_string (i), "key-w"), 200);
  EXPECT_EQ (east_.arrivals (), east);
  int west = west_.arrivals ();
  for (int i = 0; i < 20; i++)
    {
      EXPECT_EQ (Get ("/read/" + std::to_string (i), "key-e"), 200);
      EXPECT_EQ (Get ("/eastern/" + std::to_string (i), "key-b"), 200);
    }
  EXPECT_EQ (west_.arrivals (), west);
}

TEST_F (AccountsTest, RequestWithoutACommonRegionIsRejectedImmediately)
{
  Start (WithAccounts (7, Account ("west", "\"key-w\"", "\"west\""), kUsualFields));
  AddWest ();
  int before = east_.arrivals () + west_.arrivals ();
  Reply reply = node_->Call ("GET", "/eastern/a", WithKey ("nowhere", "key-w"));
  EXPECT_EQ (reply.status, 503);
  EXPECT_EQ (reply.body, "no_region");
  EXPECT_EQ (reply.headers["x-request-id"], "nowhere");
  EXPECT_GT (std::stod (reply.headers["retry-after"]), 0);
  EXPECT_LT (reply.elapsed_ms, 500);
  EXPECT_EQ (east_.arrivals () + west_.arrivals (), before);
}

// Guards against candidates that were selected for one account and used for a waiting request of
// another one. The request that the eastern upstream has rejected waits for a shorter time than the
// western one, so its candidates are selected first; it cannot use them, as it has tried them.
TEST_F (AccountsTest, WaitingRequestsOfOneRouteRunInTheRegionsOfTheirAccounts)
{
  Start (WithAccounts (7,
                       Account ("east", "\"key-e\"", "\"east\"") + ","
                           + Account ("west", "\"key-w\"", "\"west\""),
                       kWaitingFields));
  AddWest ();
  Pause (&west_, "pause-w", "key-w", 1500);
  for (int i = 0; i < 3; i++)
    SendLater ("west-" + std::to_string (i), "key-w");
  std::this_thread::sleep_for (100ms);
  Pause (&east_, "pause-e", "key-e", 600);
  for (int i = 0; i < 3; i++)
    SendLater ("east-" + std::to_string (i), "key-e");
  auto replies = JoinCallers ();
  for (int i = 0; i < 3; i++)
    {
      std::string suffix = std::to_string (i);
      EXPECT_EQ (replies["east-" + suffix].status, 200);
      EXPECT_EQ (replies["west-" + suffix].status, 200);
      EXPECT_EQ (west_.runs ("east-" + suffix), 0);
      EXPECT_EQ (east_.runs ("west-" + suffix), 0);
    }
}

// The only upstream is in the west, so requests to the eastern node go by way of the western one.
TEST_F (AccountsTest, RelayForwardsTheAccountAndNoKey)
{
  store_.Put ("config", "main", WithAccounts (7, kTwoAccounts, "\"timeout-s\":3,\"goal-s\":0.5"));
  NodeProcess west ("vm-west", "west-a", store_.address (), 2);
  node_ = std::make_unique<NodeProcess> ("vm-east", "east-a", store_.address (), 1);
  ASSERT_TRUE (west.WaitReady (5000));
  ASSERT_TRUE (node_->WaitReady (5000));
  ASSERT_TRUE (
      WaitUntil (5000, [&] { return Contains (node_->Log (), "event=peer_heard peer=vm-west"); }));
  std::this_thread::sleep_for (1s); // longer than the period of the relay selection
  store_.Put ("servers", west_.id (), west_.Record ("desk", "west-a"));
  ASSERT_TRUE (WaitUntil (5000, [&] {
    std::this_thread::sleep_for (100ms);
    return Get ("/read/a", "key-one") == 200 && Counter ("sent_by_relay") > 0;
  }));
  long relayed = Counter ("sent_by_relay");
  Headers headers = WithKey ("by-relay", "key-one");
  headers["X-Tenant"] = "two";
  EXPECT_EQ (node_->Call ("POST", "/post/a", headers, "body").status, 200);
  EXPECT_EQ (Counter ("sent_by_relay"), relayed + 1);
  std::string head = ReceivedHead (west_, "by-relay");
  EXPECT_EQ (Count (head, "x-tenant"), 1) << head;
  EXPECT_TRUE (Contains (head, "x-tenant: one\r\n")) << head;
  for (const Request &request : west_.requests ())
    EXPECT_FALSE (Contains (InLowerCase (request.head), "key-one"));
  EXPECT_FALSE (Contains (west.Log (), "key-one"));
}

// ---- Status ----

// Guards against a state dump and metrics that grow with the number of accounts or with what
// callers send.
TEST_F (AccountsTest, StateListsTheLargestAccountsAndSumsUpTheOthers)
{
  std::string accounts = Account ("busy", "\"key-busy\"");
  for (int i = 0; i < 70; i++)
    accounts += "," + Account ("small-" + std::to_string (i), "\"key-" + std::to_string (i) + "\"");
  Start (WithAccounts (7, accounts));
  int counters = Count (node_->Status ("/metrics").body, "_total ");
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (Get ("/read/a", "key-busy"), 200);
  for (int i = 0; i < 70; i++)
    EXPECT_EQ (Get ("/read/a", "key-" + std::to_string (i)), 200);
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (Get ("/read/a", "unknown-" + std::to_string (i)), 401);
  Configure (8, accounts);
  std::string state = node_->Status ("/state").body;
  EXPECT_EQ (Count (state, "\naccount="), 64) << state;
  EXPECT_TRUE (Contains (state, "\naccount=busy requests=3 over_quota=0\n")) << state;
  EXPECT_TRUE (Contains (state, "\nother_accounts=7 requests=7 over_quota=0\n")) << state;
  EXPECT_FALSE (Contains (state, "key-"));
  EXPECT_FALSE (Contains (state, "unknown-"));
  EXPECT_EQ (Count (node_->Status ("/metrics").body, "_total "), counters);
}

// ---- Fair queueing ----

// Guards against an order of waiting requests that ignores accounts: the newest requests of an
// account with many would precede the older one of another.
TEST_F (AccountsTest, WaitingRequestOfAnotherAccountPrecedesThoseOfAnExcess)
{
  Start (WithAccounts (7, kTwoAccounts, kWaitingFields));
  std::this_thread::sleep_for (kColdStart);
  east_.SetBehaviour ([this] (int fd, const Request &request) {
    std::this_thread::sleep_for (800ms);
    WriteAll (fd, east_.SignedResponse (request, "ok"));
  });
  for (int i = 0; i < 20; i++)
    SendLater ("early-" + std::to_string (i), "key-one");
  std::this_thread::sleep_for (200ms);
  SendLater ("other", "key-two");
  std::this_thread::sleep_for (200ms);
  for (int i = 0; i < 10; i++)
    SendLater ("late-" + std::to_string (i), "key-one");
  std::map<std::string, Reply> replies = JoinCallers ();
  EXPECT_EQ (replies["other"].status, 200);
  // Requests sent at the same time as the other account's may arrive before it.
  int before = 0;
  for (const Request &request : east_.requests ())
    {
      std::string id = request.headers.at ("x-request-id");
      if (id == "other")
        break;
      before += Contains (id, "late-");
    }
  EXPECT_LT (before, 8);
  EXPECT_GE (Counter ("fair_reordered"), 1);
  std::string state = node_->Status ("/state").body;
  EXPECT_TRUE (Contains (state, "flow service=desk route=read account=one requested=")) << state;
}

// Slots become free after the maximum wait of the other account's request, but before that of the
// later requests of the account that holds all slots. Guards against rejecting the former instead
// of one of the latter.
TEST_F (AccountsTest, RequestWhoseTimeIsOverIsKeptInPlaceOfOneOfAnExcess)
{
  Start (WithAccounts (7, kTwoAccounts, kWaitingFields));
  std::this_thread::sleep_for (kColdStart);
  east_.SetBehaviour ([this] (int fd, const Request &request) {
    std::this_thread::sleep_for (std::chrono::milliseconds (kWaitMs + 400));
    WriteAll (fd, east_.SignedResponse (request, "ok"));
  });
  for (int i = 0; i < 12; i++)
    SendLater ("early-" + std::to_string (i), "key-one");
  std::this_thread::sleep_for (100ms);
  SendLater ("other", "key-two");
  std::this_thread::sleep_for (900ms);
  for (int i = 0; i < 3; i++)
    SendLater ("late-" + std::to_string (i), "key-one");
  std::map<std::string, Reply> replies = JoinCallers ();
  EXPECT_EQ (replies["other"].status, 200);
  int served = 0;
  for (int i = 0; i < 3; i++)
    served += replies["late-" + std::to_string (i)].status == 200;
  EXPECT_EQ (served, 2);
  EXPECT_EQ (Counter ("fair_yielded"), 1);
  EXPECT_TRUE (Contains (node_->Log (), "event=request_yielded id=late-"));
}

TEST (FairQueueingOption, OtherValuesThanOnAndOffAreRefused)
{
  int status = system (PROGRAMS_DIR "/cardamom-node --fair-queueing=maybe 2>/dev/null");
  EXPECT_EQ (WEXITSTATUS (status), 2);
}
