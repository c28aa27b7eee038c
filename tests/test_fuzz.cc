// Seeded fuzzing of the parsers of external input. Mutations of valid inputs must never end a
// process; what the parsers return is not checked. CARDAMOM_FUZZ_SEED and CARDAMOM_FUZZ_RUNS select
// another or a longer run. Meant for builds with the sanitizers.
#include "fakes.h"

#include <glib.h>

extern "C"
{
#include "exc.h"
#include "pdc.h"
#include "pob.h"
#include "pst.h"
#include "upd.h"
}

#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
uint32_t
NumberFromEnvironment (const char *name, uint32_t fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? static_cast<uint32_t> (strtoul (text, nullptr, 10)) : fallback;
}

class FuzzTest : public testing::Test
{
protected:
  std::string
  Mutate (std::string text)
  {
    for (uint32_t count = 1 + Draw (4); count > 0; count--)
      MutateOnce (&text);
    return text;
  }

  uint32_t
  Draw (size_t below)
  {
    return below > 0 ? static_cast<uint32_t> (random_ () % below) : 0;
  }

  // Calls the parser with mutations of the inputs in turn.
  void
  Run (const std::vector<std::string> &inputs, uint32_t runs,
       const std::function<void (const std::string &)> &parse)
  {
    runs = NumberFromEnvironment ("CARDAMOM_FUZZ_RUNS", runs);
    for (uint32_t i = 0; i < runs; i++)
      parse (Mutate (inputs[i % inputs.size ()]));
  }

private:
  void
  MutateOnce (std::string *text)
  {
    static const std::string tokens[] = { "{",
                                          "}",
                                          "[",
                                          "]",
                                          "\"",
                                          "\\u0000",
                                          "null",
                                          "-1",
                                          "1e308",
                                          "99999999999999999999",
                                          "\r\n",
                                          "\r\n\r\n",
                                          ":",
                                          "0\r\n\r\n",
                                          "ffffffffffffffff\r\n",
                                          "Content-Length: 5\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          std::string (1, '\0'),
                                          std::string (5000, 'x') };
    size_t at = Draw (text->size () + 1);
    size_t size = Draw (std::min<size_t> (text->size () - at, 64) + 1);

    switch (Draw (5))
      {
      case 0:
        if (at < text->size ())
          (*text)[at] = static_cast<char> (random_ ());
        return;
      case 1:
        text->erase (at, size);
        return;
      case 2:
        text->insert (Draw (text->size () + 1), text->substr (at, size));
        return;
      case 3:
        text->insert (at, tokens[Draw (std::size (tokens))]);
        return;
      default:
        text->resize (at);
        return;
      }
  }

  std::mt19937 random_{ NumberFromEnvironment ("CARDAMOM_FUZZ_SEED", 1) };
};

// A node whose datagrams are collected instead of sent.
class FuzzPeers : public FuzzTest
{
protected:
  FuzzPeers ()
  {
    log_.out = fopen ("/dev/null", "w");
    ups_init (&upstreams_, &connections_);
    poi_init (&poison_, POISON_NODE_CRASHES_MAX);
    rep_init (
        &per_.rep, [] (void *, const char *, const Obj *) {}, nullptr);
    rep_apply (&per_.rep, rep_ensure_kind (&per_.rep, "servers"), "first", 1, false, "{}");
    g_strlcpy (per_.self.vm, "edge-0", sizeof per_.self.vm);
    g_strlcpy (per_.self.zone, "zone-0", sizeof per_.self.zone);
    per_.self.addr = NetAddr{ 0x0a000001, 7720 };
    per_.self.state = PER_SERVING;
    per_.log = &log_;
    per_.zone_of = [] (void *, const char *) -> uint32_t { return 0; };
    per_.region_of = [] (void *, uint32_t) -> uint32_t { return 0; };
    per_.upstreams = &upstreams_;
    per_.poison = &poison_;
    per_.transport.user = this;
    per_.transport.send = [] (void *user, const char *data, uint32_t size, NetAddr) {
      static_cast<FuzzPeers *> (user)->datagrams_.emplace_back (data, size);
      return true;
    };
    per_.transport.fetch
        = [] (void *user, NetAddr, peer_fetch_args *, uint32_t, PerFetchedFn fn, void *fn_user) {
            static_cast<FuzzPeers *> (user)->fetches_.emplace_back (fn, fn_user);
          };
    per_init (&per_);
    for (uint32_t i = 1; i <= kPeers; i++)
      per_add (&per_, ("edge-" + std::to_string (i)).c_str (), NetAddr{ 0x0a000001 + i, 7720 },
               i % 3, 100, 1000);
  }
  ~FuzzPeers () override
  {
    FailFetches ();
    per_clear (&per_);
    rep_clear (&per_.rep);
    ups_clear (&upstreams_);
    poi_clear (&poison_);
    fclose (log_.out);
  }

  // No peer replies to a fetch.
  void
  FailFetches ()
  {
    std::vector<std::pair<PerFetchedFn, void *>> fetches;
    fetches.swap (fetches_);
    for (auto [fn, user] : fetches)
      fn (user, nullptr);
  }

  static constexpr uint32_t kPeers = 40;
  std::vector<std::pair<PerFetchedFn, void *>> fetches_;
  std::vector<std::string> datagrams_;
  Log log_ = {};
  UcnCtx connections_ = {};
  UpsTable upstreams_ = {};
  PoiTable poison_ = {};
  Per per_ = {};
};
}

TEST_F (FuzzTest, Configurations)
{
  const std::string accounts
      = ",\"tenants\":{\"a\":{\"api-keys\":[\"k1\",\"k2\"],\"priority\":1,\"rate-per-s\":4.5,"
        "\"burst\":9,\"allowed-regions\":[\"east\"]}}}";
  std::string with_accounts = Configuration (7);
  with_accounts.replace (with_accounts.rfind ('}'), 1, accounts);
  Run ({ Configuration (7), with_accounts }, 20000, [] (const std::string &text) {
    AccSecret secret = {};
    Err err = {};
    if (RteTable *table = pdc_parse_table (text.c_str (), &secret, &err); table != nullptr)
      rte_unref (table);
  });
}

TEST_F (FuzzTest, Registrations)
{
  std::vector<std::string> inputs = { FakeUpstream ("up-1").Record ("desk", "east-a"),
                                      "{\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"cores\":1}" };
  Run (inputs, 20000, [] (const std::string &text) {
    UpsRecord record = {};
    PdcNode node = {};
    Err err = {};
    pdc_parse_upstream ("up-1", text.c_str (), &record, &err);
    pdc_parse_node (text.c_str (), &node);
  });
}

TEST_F (FuzzTest, ListsAndEvents)
{
  std::string object = "{\"kind\":\"servers\",\"name\":\"up-1\",\"revision\":\"5\",\"spec\":"
                       "{\"address\":\"10.0.0.1:80\"}}";
  std::vector<std::string> inputs
      = { "{\"revision\":\"9\",\"items\":[" + object + "," + object + "],\"continue\":\"x\"}",
          "{\"revision\":\"9\",\"events\":[{\"type\":\"put\",\"object\":" + object + "}]}" };
  Run (inputs, 20000, [] (const std::string &text) {
    PobResponse response = {};
    pob_parse_list (text.data (), text.size (), nullptr, &response);
    pob_clear (&response);
    response = {};
    pob_parse_events (text.data (), text.size (), nullptr, &response);
    pob_clear (&response);
  });
}

TEST_F (FuzzTest, Settings)
{
  char path[] = "/tmp/cardamom-fuzz-XXXXXX";
  int fd = mkstemp (path);
  ASSERT_GE (fd, 0);
  close (fd);
  std::string settings
      = "{\"self\":{\"node\":\"vm-1\",\"zone\":\"a\",\"limits\":{\"memory-mb\":112,\"max-fds\":"
        "2870,"
        "\"cpu-share\":0.1}},\"network\":{\"listen\":{\"front\":\"127.0.0.1:1\",\"ready\":"
        "\"127.0.0.1:2\",\"directory\":\"127.0.0.1:3\"},\"internal-ports\":[4,5],\"zones\":"
        "{\"a\":\"r\"}},\"provider\":{\"provider\":{\"address\":\"127.0.0.1:6\"}},\"terms\":"
        "{\"bounds\":{\"grace-s\":6,\"quota-excess\":0.1}}}";
  Run ({ settings }, 5000, [&] (const std::string &text) {
    std::ofstream (path) << text;
    PstSettings parsed;
    Err err = {};
    pst_load (&parsed, path, &err);
    if (parsed.node.zones != nullptr)
      g_array_unref (parsed.node.zones);
    if (parsed.node.regions != nullptr)
      g_ptr_array_unref (parsed.node.regions);
    mbg_limits (parsed.node.memory_mb, parsed.node.max_fds);
  });
  unlink (path);
}

TEST_F (FuzzPeers, Datagrams)
{
  for (uint64_t now_ms = 1000; now_ms < 4000; now_ms += PER_TICK_MS)
    exc_tick (&per_, now_ms);
  upd_push (&per_, false);
  ASSERT_FALSE (datagrams_.empty ());
  std::vector<std::string> inputs = datagrams_;
  uint64_t now_ms = 4000;
  Run (inputs, 20000, [&] (const std::string &data) {
    exc_receive (&per_, data.data (), static_cast<uint32_t> (data.size ()),
                 NetAddr{ 0x0a000002 + Draw (kPeers), 7720 }, now_ms++);
    if (now_ms % PER_TICK_MS == 0)
      exc_tick (&per_, now_ms);
    datagrams_.clear ();
    FailFetches ();
  });
}

// Requests and responses of every form reach a real node, which still answers after each series.
TEST_F (FuzzTest, RequestsAndResponses)
{
  FakeStore store;
  FakeUpstream upstream ("up-1");
  store.Put ("config", "main", Configuration (7));
  store.Put ("servers", upstream.id (), upstream.Record ("desk", "east-a"));
  NodeProcess node ("vm-1", "east-a", store.address (), 1, "{\"memory-mb\":112,\"max-fds\":2870}");
  Headers headers = { { "X-Request-Id", "o" }, { "X-Deadline-Ms", "4000" } };
  auto is_answering = [&] { return node.Call ("GET", "/read/a", headers).status == 200; };
  ASSERT_TRUE (node.WaitReady (5000));
  ASSERT_TRUE (WaitUntil (5000, is_answering));

  std::string head = " HTTP/1.1\r\nHost: host.example\r\nX-Deadline-Ms: 200\r\n";
  std::vector<std::string> requests = {
    "GET /read/a" + head + "Cookie: X-Affinity-Key=k\r\n\r\n",
    "POST /post/a" + head + "Content-Length: 20000\r\n\r\n" + std::string (20000, 'b'),
    "POST /post/a" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: 1\r\n\r\n",
    "POST /post/a" + head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
  };
  Run (requests, 600, [&] (const std::string &bytes) {
    int fd = Connect (node.front ());
    timeval limit{ 0, 20000 };
    char answer[4096];
    setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    size_t first = Draw (bytes.size () + 1);
    (void) !send (fd, bytes.data (), first, MSG_NOSIGNAL);
    (void) !send (fd, bytes.data () + first, bytes.size () - first, MSG_NOSIGNAL);
    while (recv (fd, answer, sizeof answer, 0) > 0)
      continue;
    close (fd);
  });
  ASSERT_TRUE (WaitUntil (10000, is_answering)) << node.Log ();

  Request request;
  request.headers["x-request-id"] = "f";
  std::vector<std::string> responses = {
    upstream.SignedResponse (request, "ok"),
    "HTTP/1.1 200 OK\r\nX-Response-Signature: 1\r\nX-Request-Id: f\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nX-Request-Id: f\r\nX-Not-Executed: 1\r\nRetry-After: 0.01\r\n"
    "Content-Length: 0\r\n\r\n",
  };
  std::mutex mutex;
  std::string next;
  upstream.SetBehaviour ([&] (int fd, const Request &) {
    std::lock_guard<std::mutex> lock (mutex);
    WriteAll (fd, next);
    shutdown (fd, SHUT_RDWR);
  });
  Run (responses, 200, [&] (const std::string &bytes) {
    {
      std::lock_guard<std::mutex> lock (mutex);
      next = bytes;
    }
    node.Call ("GET", "/read/a", { { "X-Request-Id", "f" }, { "X-Deadline-Ms", "100" } }, "", 300);
  });
  upstream.SetBehaviour ([&] (int fd, const Request &received) {
    WriteAll (fd, upstream.SignedResponse (received, "ok"));
  });
  EXPECT_EQ (node.WaitExit (0), -1) << node.Log ();
  EXPECT_EQ (node.Log ().find ("runtime error"), std::string::npos) << node.Log ();
  EXPECT_EQ (node.Ready ().status, 200);
}
