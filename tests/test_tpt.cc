// Transport between nodes: receipt of messages while the loop is busy with requests.
#include <glib.h>

extern "C"
{
#include "clk.h"
#include "cts.h"
#include "exc.h"
#include "tpt.h"
}

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
constexpr uint64_t kUpdateDelayMaxMs = 1000;
constexpr uint64_t kIterationMs = 300;
constexpr uint64_t kRequestMs = 10;
constexpr uint32_t kViews = 200;
// Loopback address that only this test uses, so that no other process binds its ports.
constexpr uint32_t kIp = 0x7f4d0001;

void
BusyWait (uint64_t duration_ms)
{
  uint64_t end_ms = clk_now_ms () + duration_ms;
  while (clk_now_ms () < end_ms)
    ;
}

// A node whose request loop has long iterations. As in the node process, control work runs between
// requests, on a loop of its own.
class BusyNode : public testing::Test
{
protected:
  void
  SetUp () override
  {
    null_file_ = fopen ("/dev/null", "w");
    log_.out = null_file_;
    ups_init (&upstreams_, &connections_);
    poi_init (&poison_, POISON_NODE_CRASHES_MAX);
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
    kind_ = rep_ensure_kind (&per_.rep, "servers");
    rep_apply (&per_.rep, kind_, "first", 1, false, "{}");
    uv_loop_init (&loop_);
    cts_init (
        &control_, [] (void *node) { return static_cast<BusyNode *> (node)->HasUnreadMessages (); },
        this);
    Err err = {};
    ASSERT_TRUE (tpt_start (&transport_, &per_, &control_.loop, &err)) << err.text;
    uv_idle_init (&loop_, &request_work_);
    request_work_.data = this;
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
    tpt_clear (&transport_);
    per_clear (&per_);
    rep_clear (&per_.rep);
    poi_clear (&poison_);
    ups_clear (&upstreams_);
    fclose (null_file_);
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
  SendView (uint32_t sender)
  {
    std::string vm = "edge-" + std::to_string (1 + sender % 12);
    peer_message message = {};
    message.kind = PEER_VIEW;
    message.peer_message_u.view.self = per_own_member (&per_);
    message.peer_message_u.view.self.vm = vm.data ();
    message.peer_message_u.view.self.incarnation = 1;
    Send (&message);
  }

  void
  SendUpdate (uint64_t revision)
  {
    char name[] = "up", value[] = "{}", kind[] = "servers";
    peer_object object = { name, revision, false, value };
    peer_message message = {};
    message.kind = PEER_UPDATE;
    peer_update *update = &message.peer_message_u.update;
    update->kind = kind;
    update->since = revision - 1;
    update->revision = revision;
    update->has_objects = true;
    update->objects.objects_len = 1;
    update->objects.objects_val = &object;
    Send (&message);
  }

  bool
  HasUnreadMessages () const
  {
    return per_.unread_since_ms != 0;
  }

  // Simulates the requests of one loop iteration.
  static void
  SimulateRequests (uv_idle_t *idle)
  {
    auto *node = static_cast<BusyNode *> (idle->data);
    for (uint64_t done_ms = 0; done_ms < kIterationMs; done_ms += kRequestMs)
      {
        cts_run (&node->control_, clk_now_ms ());
        BusyWait (kRequestMs);
      }
    if (node->kind_->newest >= node->expected_revision_ || clk_now_ms () >= node->deadline_ms_)
      uv_stop (idle->loop);
  }

  uint64_t
  MeasureUpdateDelayMs (uint64_t revision)
  {
    uint64_t started_ms = clk_now_ms ();
    expected_revision_ = revision;
    deadline_ms_ = started_ms + 5 * kUpdateDelayMaxMs;
    uv_idle_start (&request_work_, SimulateRequests);
    uv_run (&loop_, UV_RUN_DEFAULT);
    uv_idle_stop (&request_work_);
    EXPECT_GE (kind_->newest, revision);
    return clk_now_ms () - started_ms;
  }

  Per per_ = {};
  UpsTable upstreams_ = {};
  UcnCtx connections_ = {};
  PoiTable poison_ = {};
  Log log_ = {};
  Tpt transport_ = {};
  RepKind *kind_ = nullptr;
  uv_loop_t loop_;
  Cts control_ = {};
  uv_idle_t request_work_;
  FILE *null_file_ = nullptr;
  int sender_ = -1;
  uint64_t expected_revision_ = 0;
  uint64_t deadline_ms_ = 0;
};
}

// On a busy node, received messages queued up for seconds, so that the update of an upstream that
// leaves was applied late.
TEST_F (BusyNode, AppliesUpdateQueuedBehindManyMessagesWithinOneSecond)
{
  for (uint32_t i = 0; i < kViews; i++)
    SendView (i);
  SendUpdate (2);
  EXPECT_LE (MeasureUpdateDelayMs (2), kUpdateDelayMaxMs);
}
