/* ONC RPC client and server over TCP on the libuv event loop; libtirpc encodes the messages. */
#include "onc.h"

#include "lim.h"
#include "wire.h"

#include <string.h>

#define HEADER_MAX_BYTES 128
#define RECORD_MARK_BYTES 4
#define LAST_FRAGMENT_FLAG 0x80000000u
#define LISTEN_BACKLOG 512
#define READ_CHUNK_BYTES 65536

/* ---- Record marking (RFC 5531, section 11); each record is sent as a single fragment ---- */

typedef void (*RecordFn) (void *user, char *data, uint32_t size);

typedef struct
{
  uv_write_t req;
  char *data;
} Write;

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void) handle;
  (void) suggested;
  buf->base = g_malloc (READ_CHUNK_BYTES);
  buf->len = READ_CHUNK_BYTES;
}

static void
on_written (uv_write_t *req, int status)
{
  Write *write = (Write *) req;
  (void) status;

  g_free (write->data);
  g_free (write);
}

static uint32_t
record_size (const char *data)
{
  uint32_t mark;

  memcpy (&mark, data, sizeof mark);
  return ntohl (mark) & ~LAST_FRAGMENT_FLAG;
}

/* Removes each complete record from the input and passes it to fn. Returns false when a record
 * exceeds RPC_RECORD_MAX_BYTES. */
static bool
dispatch_records (GByteArray *input, RecordFn fn, void *user)
{
  while (input->len >= RECORD_MARK_BYTES)
    {
      uint32_t size = record_size ((char *) input->data);
      if (size > RPC_RECORD_MAX_BYTES)
        return false;
      if (input->len < RECORD_MARK_BYTES + size)
        return true;
      char *record = g_memdup2 (input->data + RECORD_MARK_BYTES, size);
      g_byte_array_remove_range (input, 0, RECORD_MARK_BYTES + size);
      fn (user, record, size);
      g_free (record);
    }
  return true;
}

static void
send_record (uv_stream_t *stream, char *data, uint32_t size, uint64_t *bytes, TrfCount *traffic)
{
  uint32_t mark = htonl (size | LAST_FRAGMENT_FLAG);
  Write *write = g_new0 (Write, 1);

  memcpy (data, &mark, sizeof mark);
  write->data = data;
  uv_buf_t buf = uv_buf_init (data, RECORD_MARK_BYTES + size);
  *bytes += buf.len;
  trf_add_sent (traffic, buf.len);
  if (uv_write (&write->req, stream, &buf, 1, on_written) != 0)
    on_written (&write->req, -1);
}

/* ---- Server ---- */

struct _OncServer
{
  uv_tcp_t listener;
  uint16_t port;
  const OncProc *procs;
  void *user;
  uint64_t bytes;
  TrfCount *traffic;
};

typedef struct
{
  uv_tcp_t tcp;
  OncServer *server;
  GByteArray *input;
} ServerConn;

static void
on_server_conn_closed (uv_handle_t *handle)
{
  ServerConn *conn = (ServerConn *) handle;

  g_byte_array_unref (conn->input);
  g_free (conn);
}

static void
server_conn_close (ServerConn *conn)
{
  if (!uv_is_closing ((uv_handle_t *) &conn->tcp))
    uv_close ((uv_handle_t *) &conn->tcp, on_server_conn_closed);
}

static const OncProc *
find_proc (const OncServer *server, uint32_t number)
{
  for (const OncProc *proc = server->procs; proc->number != 0; proc++)
    if (proc->number == number)
      return proc;
  return NULL;
}

static void
send_reply (ServerConn *conn, uint32_t xid, enum accept_stat status, const OncProc *proc,
            void *result)
{
  size_t result_size
      = proc != NULL && status == SUCCESS ? xdr_sizeof (proc->xdr_result, result) : 0;
  size_t capacity = HEADER_MAX_BYTES + result_size;
  char *data = g_malloc (RECORD_MARK_BYTES + capacity);
  struct rpc_msg reply = { .rm_xid = xid, .rm_direction = REPLY };
  XDR xdr;

  reply.rm_reply.rp_stat = MSG_ACCEPTED;
  reply.acpted_rply.ar_verf = _null_auth;
  reply.acpted_rply.ar_stat = status;
  reply.acpted_rply.ar_results.where = result;
  reply.acpted_rply.ar_results.proc = proc != NULL && status == SUCCESS
                                          ? proc->xdr_result
                                          : (xdrproc_t) (void (*) (void)) xdr_void;
  xdrmem_create (&xdr, data + RECORD_MARK_BYTES, (u_int) capacity, XDR_ENCODE);
  if (xdr_replymsg (&xdr, &reply))
    send_record ((uv_stream_t *) &conn->tcp, data, xdr_getpos (&xdr), &conn->server->bytes,
                 conn->server->traffic);
  else
    g_free (data);
  xdr_destroy (&xdr);
}

static void
run_proc (ServerConn *conn, uint32_t xid, const OncProc *proc, XDR *xdr)
{
  void *args = g_malloc0 (proc->args_size);
  void *result = g_malloc0 (proc->result_size);

  if (!proc->xdr_args (xdr, args))
    send_reply (conn, xid, GARBAGE_ARGS, NULL, NULL);
  else if (!proc->fn (conn->server->user, args, result))
    send_reply (conn, xid, SYSTEM_ERR, NULL, NULL);
  else
    send_reply (conn, xid, SUCCESS, proc, result);
  xdr_free (proc->xdr_args, args);
  xdr_free (proc->xdr_result, result);
  g_free (args);
  g_free (result);
}

static void
on_server_record (void *user, char *data, uint32_t size)
{
  ServerConn *conn = user;
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg call = { 0 };
  XDR xdr;

  call.rm_call.cb_cred.oa_base = cred;
  call.rm_call.cb_verf.oa_base = verf;
  xdrmem_create (&xdr, data, size, XDR_DECODE);
  if (!xdr_callmsg (&xdr, &call))
    server_conn_close (conn);
  else if (call.rm_call.cb_prog != WIRE_PROGRAM || call.rm_call.cb_vers != WIRE_VERSION)
    send_reply (conn, call.rm_xid, PROG_UNAVAIL, NULL, NULL);
  else
    {
      const OncProc *proc = find_proc (conn->server, (uint32_t) call.rm_call.cb_proc);
      if (proc == NULL)
        send_reply (conn, call.rm_xid, PROC_UNAVAIL, NULL, NULL);
      else
        run_proc (conn, call.rm_xid, proc, &xdr);
    }
  xdr_destroy (&xdr);
}

static void
on_server_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
  ServerConn *conn = (ServerConn *) stream;

  if (size > 0)
    {
      conn->server->bytes += (uint64_t) size;
      trf_add_received (conn->server->traffic, (uint64_t) size);
      g_byte_array_append (conn->input, (guint8 *) buf->base, (guint) size);
    }
  g_free (buf->base);
  if (size < 0 || !dispatch_records (conn->input, on_server_record, conn))
    server_conn_close (conn);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  ServerConn *conn;

  if (status != 0)
    return;
  conn = g_new0 (ServerConn, 1);
  conn->server = listener->data;
  conn->input = g_byte_array_new ();
  uv_tcp_init (listener->loop, &conn->tcp);
  if (uv_accept (listener, (uv_stream_t *) &conn->tcp) != 0)
    {
      server_conn_close (conn);
      return;
    }
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_read_start ((uv_stream_t *) &conn->tcp, on_alloc, on_server_read);
}

OncServer *
onc_serve (uv_loop_t *loop, NetAddr addr, const OncProc *procs, void *user, Err *err)
{
  OncServer *server = g_new0 (OncServer, 1);
  struct sockaddr_in sin = net_addr_sockaddr (addr);
  struct sockaddr_in bound;
  int size = sizeof bound;
  char text[32];
  int rc;

  server->procs = procs;
  server->user = user;
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  rc = uv_tcp_bind (&server->listener, (struct sockaddr *) &sin, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *) &server->listener, LISTEN_BACKLOG, on_accept);
  if (rc != 0)
    {
      err_set (err, ERR_LAYER_RPC, rc, "cannot listen on %s: %s", net_addr_text (addr, text),
               uv_strerror (rc));
      return NULL;
    }
  uv_tcp_getsockname (&server->listener, (struct sockaddr *) &bound, &size);
  server->port = ntohs (bound.sin_port);
  return server;
}

void
onc_server_free (OncServer *server)
{
  g_free (server);
}

void
onc_count_server_traffic (OncServer *server, TrfCount *traffic)
{
  server->traffic = traffic;
}

uint16_t
onc_port (const OncServer *server)
{
  return server->port;
}

uint64_t
onc_server_bytes (const OncServer *server)
{
  return server->bytes;
}

/* ---- Client ---- */

typedef struct
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_timer_t timer;
  OncClient *client;
  NetAddr addr;
  TrfCount *traffic;
  GByteArray *input;
  GHashTable *calls; /* pending, by xid */
  uint64_t last_call_at_ms;
  uint32_t handles_open;
  bool closing;
} ClientConn;

typedef struct
{
  ClientConn *conn;
  uint32_t xid;
  uint64_t deadline_at_ms;
  xdrproc_t xdr_result;
  size_t result_size;
  OncDoneFn fn;
  void *user;
} Call;

struct _OncClient
{
  uv_loop_t *loop;
  GHashTable *conns; /* by conn_key() of the server's address */
  uint32_t next_xid;
  uint64_t bytes;
  OncTrafficFn traffic_of;
  void *traffic_user;
};

static uint64_t
conn_key (NetAddr addr)
{
  return ((uint64_t) addr.ip << 16) | addr.port;
}

static void
on_client_handle_closed (uv_handle_t *handle)
{
  ClientConn *conn = handle->data;

  if (--conn->handles_open > 0)
    return;
  g_byte_array_unref (conn->input);
  g_hash_table_unref (conn->calls);
  g_free (conn);
}

static void
fail_calls (ClientConn *conn)
{
  GList *calls = g_hash_table_get_values (conn->calls);

  g_hash_table_steal_all (conn->calls);
  for (GList *item = calls; item != NULL; item = item->next)
    {
      Call *call = item->data;
      call->fn (call->user, NULL);
      g_free (call);
    }
  g_list_free (calls);
}

static void
client_conn_close (ClientConn *conn)
{
  uint64_t key = conn_key (conn->addr);

  if (conn->closing)
    return;
  conn->closing = true;
  if (g_hash_table_lookup (conn->client->conns, &key) == conn)
    g_hash_table_remove (conn->client->conns, &key);
  uv_close ((uv_handle_t *) &conn->tcp, on_client_handle_closed);
  uv_close ((uv_handle_t *) &conn->timer, on_client_handle_closed);
  fail_calls (conn);
}

static void
on_client_record (void *user, char *data, uint32_t size)
{
  ClientConn *conn = user;
  struct rpc_msg reply = { 0 };
  uint32_t xid;
  XDR xdr;

  if (size < sizeof xid)
    return;
  memcpy (&xid, data, sizeof xid);
  xid = ntohl (xid);
  Call *call = g_hash_table_lookup (conn->calls, GUINT_TO_POINTER (xid));
  if (call == NULL)
    return;
  g_hash_table_steal (conn->calls, GUINT_TO_POINTER (xid));
  void *result = g_malloc0 (call->result_size);
  reply.acpted_rply.ar_verf = _null_auth;
  reply.acpted_rply.ar_results.where = result;
  reply.acpted_rply.ar_results.proc = call->xdr_result;
  xdrmem_create (&xdr, data, size, XDR_DECODE);
  bool ok = xdr_replymsg (&xdr, &reply) && reply.rm_reply.rp_stat == MSG_ACCEPTED
            && reply.acpted_rply.ar_stat == SUCCESS;
  xdr_destroy (&xdr);
  call->fn (call->user, ok ? result : NULL);
  xdr_free (call->xdr_result, result);
  g_free (result);
  g_free (call);
}

static void
on_client_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
  ClientConn *conn = stream->data;

  if (size > 0)
    {
      conn->client->bytes += (uint64_t) size;
      trf_add_received (conn->traffic, (uint64_t) size);
      g_byte_array_append (conn->input, (guint8 *) buf->base, (guint) size);
    }
  g_free (buf->base);
  if (size < 0 || !dispatch_records (conn->input, on_client_record, conn))
    client_conn_close (conn);
}

static void
on_connect (uv_connect_t *req, int status)
{
  ClientConn *conn = req->data;

  if (status != 0)
    client_conn_close (conn);
  else if (!conn->closing)
    uv_read_start ((uv_stream_t *) &conn->tcp, on_alloc, on_client_read);
}

static void
on_conn_timer (uv_timer_t *timer)
{
  ClientConn *conn = timer->data;
  uint64_t now_ms = uv_now (conn->client->loop);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, conn->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Call *) value)->deadline_at_ms <= now_ms)
      {
        client_conn_close (conn);
        return;
      }
  if (g_hash_table_size (conn->calls) == 0 && now_ms - conn->last_call_at_ms > RPC_IDLE_MAX_MS)
    client_conn_close (conn);
}

static ClientConn *
client_conn_open (OncClient *client, NetAddr addr)
{
  ClientConn *conn = g_new0 (ClientConn, 1);
  struct sockaddr_in sin = net_addr_sockaddr (addr);
  uint64_t *key = g_new (uint64_t, 1);

  conn->client = client;
  conn->addr = addr;
  if (client->traffic_of != NULL)
    conn->traffic = client->traffic_of (client->traffic_user, addr);
  conn->input = g_byte_array_new ();
  conn->calls = g_hash_table_new (g_direct_hash, g_direct_equal);
  conn->handles_open = 2;
  uv_tcp_init (client->loop, &conn->tcp);
  uv_timer_init (client->loop, &conn->timer);
  conn->tcp.data = conn->timer.data = conn->connect.data = conn;
  uv_tcp_nodelay (&conn->tcp, 1);
  *key = conn_key (addr);
  g_hash_table_insert (client->conns, key, conn);
  uv_timer_start (&conn->timer, on_conn_timer, 50, 50);
  if (uv_tcp_connect (&conn->connect, &conn->tcp, (struct sockaddr *) &sin, on_connect) != 0)
    uv_timer_start (&conn->timer, on_conn_timer, 0, 1);
  return conn;
}

OncClient *
onc_client_new (uv_loop_t *loop)
{
  OncClient *client = g_new0 (OncClient, 1);

  client->loop = loop;
  client->conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return client;
}

void
onc_count_client_traffic (OncClient *client, OncTrafficFn fn, void *user)
{
  client->traffic_of = fn;
  client->traffic_user = user;
}

void
onc_client_free (OncClient *client)
{
  g_hash_table_unref (client->conns);
  g_free (client);
}

static bool
encode_call (char *data, size_t capacity, uint32_t xid, uint32_t proc_number, xdrproc_t xdr_args,
             void *args, uint32_t *size)
{
  struct rpc_msg msg = { .rm_xid = xid, .rm_direction = CALL };
  XDR xdr;

  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = WIRE_PROGRAM;
  msg.rm_call.cb_vers = WIRE_VERSION;
  msg.rm_call.cb_proc = proc_number;
  msg.rm_call.cb_cred = _null_auth;
  msg.rm_call.cb_verf = _null_auth;
  xdrmem_create (&xdr, data + RECORD_MARK_BYTES, (u_int) capacity, XDR_ENCODE);
  bool ok = xdr_callmsg (&xdr, &msg) && xdr_args (&xdr, args);
  *size = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return ok;
}

void
onc_call (OncClient *client, NetAddr addr, uint32_t proc_number, xdrproc_t xdr_args, void *args,
          xdrproc_t xdr_result, size_t result_size, uint32_t timeout_ms, OncDoneFn fn, void *user)
{
  uint64_t key = conn_key (addr);
  ClientConn *conn = g_hash_table_lookup (client->conns, &key);
  size_t capacity = HEADER_MAX_BYTES + xdr_sizeof (xdr_args, args);
  char *data = g_malloc (RECORD_MARK_BYTES + capacity);
  uint32_t xid = ++client->next_xid;
  uint32_t size;

  if (!encode_call (data, capacity, xid, proc_number, xdr_args, args, &size))
    {
      g_free (data);
      fn (user, NULL);
      return;
    }
  if (conn == NULL)
    conn = client_conn_open (client, addr);
  Call *call = g_new0 (Call, 1);
  *call = (Call){ .conn = conn,
                  .xid = xid,
                  .deadline_at_ms = uv_now (client->loop) + timeout_ms,
                  .xdr_result = xdr_result,
                  .result_size = result_size,
                  .fn = fn,
                  .user = user };
  g_hash_table_insert (conn->calls, GUINT_TO_POINTER (xid), call);
  conn->last_call_at_ms = uv_now (client->loop);
  send_record ((uv_stream_t *) &conn->tcp, data, size, &client->bytes, conn->traffic);
}

uint64_t
onc_client_bytes (const OncClient *client)
{
  return client->bytes;
}
