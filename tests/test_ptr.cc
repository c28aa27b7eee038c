// Transport between nodes: messages on a loop that is busy with requests.
#include <glib.h>

extern "C"
{
#include "clk.h"
#include "cts.h"
#include "exc.h"
#include "ptr.h"
}

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
constexpr uint64_t kKnownMs = 1000;
constexpr uint64_t kTurnMs = 300;
constexpr uint64_t kRequestMs = 10;
constexpr uint32_t kViews = 200;
// An address of this test's own, where no other process takes ports.
constexpr uint32_t kIp = 0x7f4d0001;

void
Compute (uint64_t for_ms)
{
  uint64_t until_ms = clk_now_ms () + for_ms;
  while (clk_now_ms () < until_ms)
    ;
}

// A node's exchange beside a loop whose every turn is long, because of its requests. Control work
// gets its turn between them, as in the node.
class BusyNode : public testing::Test
{
protected:
  void
  SetUp () override
  {
    nowhere_ = fopen ("/dev/null", "w");
    log_.out = nowhere_;
    ups_init (&upstreams_, &connections_);
    poi_init (&poison_);
    g_strlcpy (per_.self.vm, "edge-0", sizeof per_.self.vm);
    g_strlcpy (per_.self.zone, "a", sizeof per_.self.zone);
    per_.self.addr = NetAddr{ kIp, FreePort () };
    per_.self.state = PER_SERVING;
    per_.log = &log_;
    per_.zone_of = [] (void *, const char *) -> uint32_t { return 0; };
    per_.region_of = [] (void *, uint32_t) -> uint32_t { return 0; };
    per_.upstreams = &upstreams_;
    per_.poison = &poison_;
    per_init (&per_);
    rep_init (
        &per_.rep, [] (void *, const char *, const Obj *) {}, nullptr);
    kind_ = rep_kind (&per_.rep, "servers");
    rep_take (&per_.rep, kind_, "first", 1, false, "{}");
    uv_loop_init (&loop_);
    cts_init (
        &control_, [] (void *node) { return static_cast<BusyNode *> (node)->MessagesWait (); },
        this);
    Err err = {};
    ASSERT_TRUE (ptr_start (&transport_, &per_, &control_.loop, &err)) << err.text;
    uv_idle_init (&loop_, &requests_);
    requests_.data = this;
    sender_ = socket (AF_INET, SOCK_DGRAM, 0);
  }

  void
  TearDown () override
  {
    close (sender_);
    CloseAll (&loop_);
    uv_loop_close (&loop_);
    CloseAll (&control_.loop);
    cts_clear (&control_);
    ptr_clear (&transport_);
    per_clear (&per_);
    rep_clear (&per_.rep);
    poi_clear (&poison_);
    ups_clear (&upstreams_);
    fclose (nowhere_);
  }

  static void
  CloseAll (uv_loop_t *loop)
  {
    uv_walk (
        loop,
        [] (uv_handle_t *handle, void *) {
          if (!uv_is_closing (handle))
            uv_close (handle, nullptr);
        },
        nullptr);
    uv_run (loop, UV_RUN_DEFAULT);
  }

  static uint16_t
  FreePort ()
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in addr = {};
    socklen_t size = sizeof addr;
    addr.sin_family = AF_INET;
    addr.sin_addr.s_addr = htonl (kIp);
    bind (fd, (sockaddr *) &addr, size);
    getsockname (fd, (sockaddr *) &addr, &size);
    close (fd);
    return ntohs (addr.sin_port);
  }

  void
  Send (peer_message *message)
  {
    char data[2048];
    XDR xdr;
    sockaddr_in to = net_addr_sockaddr (per_.self.addr);
    xdrmem_create (&xdr, data, sizeof data, XDR_ENCODE);
    ASSERT_TRUE (xdr_peer_message (&xdr, message));
    ASSERT_GT (sendto (sender_, data, xdr_getpos (&xdr), 0, (sockaddr *) &to, sizeof to), 0);
    xdr_destroy (&xdr);
  }

  void
  SendView (uint32_t from)
  {
    std::string vm = "edge-" + std::to_string (1 + from % 12);
    peer_message message = {};
    message.kind = PEER_VIEW;
    message.peer_message_u.view.self = per_own_member (&per_);
    message.peer_message_u.view.self.vm = vm.data ();
    message.peer_message_u.view.self.incarnation = 1;
    Send (&message);
  }

  void
  SendNews (uint64_t revision)
  {
    char name[] = "up", value[] = "{}", kind[] = "servers";
    peer_object object = { name, revision, false, value };
    peer_message message = {};
    message.kind = PEER_NEWS;
    peer_news *news = &message.peer_message_u.news;
    news->kind = kind;
    news->since = revision - 1;
    news->revision = revision;
    news->told = true;
    news->objects.objects_len = 1;
    news->objects.objects_val = &object;
    Send (&message);
  }

  bool
  MessagesWait () const
  {
    return per_.unread_since_ms != 0;
  }

  // The requests of one turn.
  static void
  ServeRequests (uv_idle_t *idle)
  {
    auto *node = static_cast<BusyNode *> (idle->data);
    for (uint64_t done_ms = 0; done_ms < kTurnMs; done_ms += kRequestMs)
      {
        cts_step (&node->control_, clk_now_ms ());
        Compute (kRequestMs);
      }
    if (node->kind_->changed >= node->awaited_ || clk_now_ms () >= node->until_ms_)
      uv_stop (idle->loop);
  }

  uint64_t
  TimeUntilKnown (uint64_t revision)
  {
    uint64_t begun_ms = clk_now_ms ();
    awaited_ = revision;
    until_ms_ = begun_ms + 5 * kKnownMs;
    uv_idle_start (&requests_, ServeRequests);
    uv_run (&loop_, UV_RUN_DEFAULT);
    uv_idle_stop (&requests_);
    EXPECT_GE (kind_->changed, revision);
    return clk_now_ms () - begun_ms;
  }

  Per per_ = {};
  UpsBook upstreams_ = {};
  UcnCtx connections_ = {};
  PoiTable poison_ = {};
  Log log_ = {};
  Ptr transport_ = {};
  RepKind *kind_ = nullptr;
  uv_loop_t loop_;
  Cts control_ = {};
  uv_idle_t requests_;
  FILE *nowhere_ = nullptr;
  int sender_ = -1;
  uint64_t awaited_ = 0;
  uint64_t until_ms_ = 0;
};
}

// A node that is slow with its requests must not learn of a departure behind seconds of old
// messages.
TEST_F (BusyNode, KnowsOfADepartureBehindManyMessagesWithinASecond)
{
  for (uint32_t i = 0; i < kViews; i++)
    SendView (i);
  SendNews (2);
  EXPECT_LE (TimeUntilKnown (2), kKnownMs);
}
