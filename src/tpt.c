/* Transport between nodes: UDP datagrams for messages, ONC RPC calls for fetching objects. */
#include "tpt.h"

#include "clk.h"
#include "exc.h"
#include "upd.h"

#define PROC_FETCH 101

static bool
handle_fetch (void *user, const void *args, void *result)
{
  upd_fill_reply (user, args, result);
  return true;
}

static const OncProc procs[] = {
  { .number = PROC_FETCH,
    .xdr_args = (xdrproc_t) xdr_peer_fetch_args,
    .args_size = sizeof (peer_fetch_args),
    .xdr_result = (xdrproc_t) xdr_peer_fetch_reply,
    .result_size = sizeof (peer_fetch_reply),
    .fn = handle_fetch },
  { .number = 0 },
};

static void
fetch_objects (void *user, NetAddr peer, peer_fetch_args *args, uint32_t timeout_ms,
               PerFetchedFn fn, void *fn_user)
{
  Tpt *transport = user;

  onc_call (transport->client, peer, PROC_FETCH, (xdrproc_t) xdr_peer_fetch_args, args,
            (xdrproc_t) xdr_peer_fetch_reply, sizeof (peer_fetch_reply), timeout_ms, fn, fn_user);
}

static TrfCount *
count_fetches (void *user, NetAddr peer)
{
  const Per *per = user;

  return trf_count (per->traffic, TRF_FETCHES, per_distance_of (per, peer));
}

static bool
send_datagram (void *user, const char *data, uint32_t size, NetAddr to)
{
  Tpt *transport = user;
  struct sockaddr_in sin = net_addr_sockaddr (to);
  uv_buf_t buf = uv_buf_init ((char *) data, size);

  return uv_udp_try_send (&transport->udp, &buf, 1, (struct sockaddr *) &sin) >= 0;
}

static void
on_datagram (uv_udp_t *udp, ssize_t size, const uv_buf_t *buf, const struct sockaddr *from,
             unsigned int flags)
{
  Tpt *transport = udp->data;
  const struct sockaddr_in *sin = (const struct sockaddr_in *) from;
  uint64_t now_ms = clk_now_ms ();
  (void) flags;

  per_record_unread (transport->per, from != NULL, now_ms);
  if (size <= 0 || from == NULL)
    return;
  NetAddr addr = { .ip = ntohl (sin->sin_addr.s_addr), .port = ntohs (sin->sin_port) };
  exc_receive (transport->per, buf->base, (uint32_t) size, addr, now_ms);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
  Tpt *transport = handle->data;
  (void) suggested_size;

  *buf = uv_buf_init (transport->buffer, PER_DATAGRAM_MAX_BYTES);
}

bool
tpt_start (Tpt *transport, Per *per, uv_loop_t *loop, Err *err)
{
  struct sockaddr_in sin = net_addr_sockaddr (per->self.addr);

  transport->per = per;
  per->transport
      = (PerTransport){ .send = send_datagram, .fetch = fetch_objects, .user = transport };
  transport->buffer = g_malloc (PER_DATAGRAM_MAX_BYTES);
  transport->client = onc_client_new (loop);
  onc_count_client_traffic (transport->client, count_fetches, per);
  transport->server = onc_serve (loop, per->self.addr, procs, per, err);
  if (transport->server == NULL)
    return false;
  /* A call does not say from which node it comes. */
  onc_count_server_traffic (transport->server, trf_count (per->traffic, TRF_FETCHES, TRF_UNKNOWN));
  uv_udp_init (loop, &transport->udp);
  transport->udp.data = transport;
  int rc = uv_udp_bind (&transport->udp, (struct sockaddr *) &sin, 0);
  if (rc != 0)
    {
      err_set (err, ERR_LAYER_RPC, rc, "cannot bind the UDP socket: %s", uv_strerror (rc));
      return false;
    }
  uv_udp_recv_start (&transport->udp, on_alloc, on_datagram);
  return true;
}

void
tpt_clear (Tpt *transport)
{
  if (transport->client == NULL)
    return;
  onc_client_free (transport->client);
  if (transport->server != NULL)
    onc_server_free (transport->server);
  g_free (transport->buffer);
}
