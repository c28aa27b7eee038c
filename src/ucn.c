/* Upstream connections: one HTTP exchange at a time on connections that are kept for reuse. */
#include "ucn.h"

#include "lim.h"

#include <http_parser.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

typedef enum
{
  CONN_CONNECTING,
  CONN_BUSY,
  CONN_IDLE,
  CONN_CLOSING,
} ConnState;

struct _UcnCall
{
  struct Conn *conn;
  UcnDoneFn fn;
  void *user;
  UcnBuildFn build;
  GString *message;
  char *id_header;
  char *id;
  bool method_is_head;
  bool sent;
};

/** struct Conn - one connection; @tainted: not to be kept, @written: the request is out, @reused:
 * an earlier exchange went over it */
typedef struct Conn
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  uv_timer_t timer;
  UcnPool *pool;
  UcnCtx *ctx;
  UcnCall *call;
  ConnState state;
  http_parser parser;
  UcnAnswer answer;
  GString *field;
  GString *value;
  bool in_value;
  bool tainted;
  bool reused;
  bool written;
  bool head_seen;
  bool complete;
  bool skipping;
  uint32_t open_handles;
  uint32_t keep_ms;
  uint64_t connect_at_ms;
  uint64_t idle_since_ms;
} Conn;

/* ---- Life of a connection ---- */

static void
header_free (gpointer data)
{
  UcnHeader *header = data;

  g_free (header->name);
  g_free (header->value);
  g_free (header);
}

static void
drop_body (Conn *conn)
{
  conn->ctx->buffered_bytes -= conn->answer.body->len;
  g_byte_array_set_size (conn->answer.body, 0);
}

static void
answer_reset (Conn *conn)
{
  g_ptr_array_set_size (conn->answer.headers, 0);
  drop_body (conn);
  g_string_truncate (conn->field, 0);
  g_string_truncate (conn->value, 0);
  conn->answer.status = 0;
  conn->answer.until_close = false;
  conn->in_value = false;
  conn->head_seen = false;
  conn->skipping = false;
}

static void
call_free (UcnCall *call)
{
  if (call->message != NULL)
    g_string_free (call->message, TRUE);
  g_free (call->id_header);
  g_free (call->id);
  g_free (call);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  Conn *conn = handle->data;

  if (--conn->open_handles > 0)
    return;
  g_ptr_array_unref (conn->answer.headers);
  g_byte_array_unref (conn->answer.body);
  g_string_free (conn->field, TRUE);
  g_string_free (conn->value, TRUE);
  g_free (conn);
}

static void
conn_close (Conn *conn)
{
  if (conn->state == CONN_CLOSING)
    return;
  if (conn->pool != NULL)
    {
      g_queue_remove (conn->state == CONN_IDLE ? &conn->pool->idle : &conn->pool->busy, conn);
      conn->pool->open--;
    }
  conn->state = CONN_CLOSING;
  drop_body (conn);
  uv_close ((uv_handle_t *) &conn->tcp, on_handle_closed);
  uv_close ((uv_handle_t *) &conn->timer, on_handle_closed);
}

static void
finish (Conn *conn, UcnOutcome outcome)
{
  UcnCall *call = conn->call;

  conn->call = NULL;
  if (call == NULL)
    return;
  call->conn = NULL;
  call->fn (call->user, outcome, outcome == UCN_DONE ? &conn->answer : NULL);
  call_free (call);
}

static void
fail (Conn *conn, UcnOutcome outcome)
{
  conn_close (conn);
  finish (conn, outcome);
}

static UcnOutcome
cut_outcome (const Conn *conn)
{
  return conn->head_seen && !conn->skipping ? UCN_TRUNCATED : UCN_LOST;
}

/* ---- Parsing ---- */

static void
add_header (Conn *conn)
{
  UcnHeader *header = g_new (UcnHeader, 1);

  header->name = g_strdup (conn->field->str);
  header->value = g_strdup (conn->value->str);
  g_ptr_array_add (conn->answer.headers, header);
  g_string_truncate (conn->field, 0);
  g_string_truncate (conn->value, 0);
  conn->in_value = false;
}

static int
on_message_begin (http_parser *parser)
{
  Conn *conn = parser->data;

  if (conn->complete)
    return 1;
  answer_reset (conn);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t size)
{
  Conn *conn = parser->data;

  if (conn->in_value)
    add_header (conn);
  g_string_append_len (conn->field, at, (gssize) size);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t size)
{
  Conn *conn = parser->data;

  conn->in_value = true;
  g_string_append_len (conn->value, at, (gssize) size);
  return 0;
}

static void
read_keep_alive (Conn *conn)
{
  const char *keep = ucn_header (&conn->answer, "keep-alive");
  const char *timeout = keep != NULL ? strstr (keep, "timeout=") : NULL;

  if (timeout != NULL)
    conn->keep_ms = (uint32_t) strtoul (timeout + strlen ("timeout="), NULL, 10) * 1000;
}

/* An answer of an earlier exchange names another request. One without a name may be the failure of
 * a connection's first request, and else belong to any. */
static bool
is_foreign (const Conn *conn)
{
  const UcnCall *call = conn->call;

  if (call->id_header == NULL)
    return false;
  const char *id = ucn_header (&conn->answer, call->id_header);
  if (id == NULL)
    return conn->answer.status < 300 || conn->reused;
  return strcmp (id, call->id) != 0;
}

static int
on_headers_complete (http_parser *parser)
{
  Conn *conn = parser->data;

  if (conn->in_value)
    add_header (conn);
  conn->head_seen = true;
  conn->answer.status = (int) parser->status_code;
  if (conn->call == NULL)
    return 1;
  read_keep_alive (conn);
  conn->skipping = parser->status_code >= 200 && is_foreign (conn);
  if (conn->skipping)
    conn->tainted = true;
  return conn->call->method_is_head ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  Conn *conn = parser->data;

  if (conn->answer.body->len + size > RESPONSE_MAX_BYTES
      || conn->ctx->buffered_bytes + size > RESPONSES_TOTAL_MAX_BYTES)
    return 1;
  conn->ctx->buffered_bytes += size;
  g_byte_array_append (conn->answer.body, (const guint8 *) at, (guint) size);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  Conn *conn = parser->data;

  if (conn->skipping || parser->status_code < 200)
    return 0;
  conn->complete = true;
  if (!http_should_keep_alive (parser))
    conn->tainted = true;
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* ---- Reading and keeping ---- */

static void
keep_or_close (Conn *conn)
{
  UcnPool *pool = conn->pool;

  if (pool == NULL || conn->tainted || !conn->written)
    {
      conn_close (conn);
      return;
    }
  drop_body (conn);
  g_queue_remove (&pool->busy, conn);
  g_queue_push_head (&pool->idle, conn);
  conn->state = CONN_IDLE;
  conn->idle_since_ms = uv_now (conn->ctx->loop);
}

static void
take_bytes (Conn *conn, const char *data, size_t size)
{
  size_t used = http_parser_execute (&conn->parser, &parser_settings, data, size);
  bool failed = HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK || used < size;

  if (conn->complete)
    {
      if (failed)
        conn->tainted = true;
      finish (conn, UCN_DONE);
      keep_or_close (conn);
      return;
    }
  if (failed)
    fail (conn, UCN_GARBLED);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  Conn *conn = handle->data;
  (void) suggested;

  *buf = uv_buf_init (conn->ctx->buffer, UCN_READ_BYTES);
}

/* An answer without a length ends with an orderly close of its connection. */
static void
on_end (Conn *conn, ssize_t status)
{
  if (conn->state == CONN_IDLE)
    {
      conn_close (conn);
      return;
    }
  conn->tainted = true;
  if (status == UV_EOF && conn->head_seen)
    {
      http_parser_execute (&conn->parser, &parser_settings, NULL, 0);
      if (conn->complete)
        {
          conn->answer.until_close = true;
          finish (conn, UCN_DONE);
          conn_close (conn);
          return;
        }
    }
  fail (conn, cut_outcome (conn));
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
  Conn *conn = stream->data;

  if (size == 0)
    return;
  if (size < 0)
    on_end (conn, size);
  else if (conn->state == CONN_IDLE)
    conn_close (conn);
  else
    take_bytes (conn, buf->base, (size_t) size);
}

/* ---- Sending ---- */

static void
on_written (uv_write_t *write, int status)
{
  GString *message = write->data;
  Conn *conn = write->handle->data;

  g_string_free (message, TRUE);
  conn->written = status == 0;
}

static void
send_request (Conn *conn)
{
  UcnCall *call = conn->call;
  GString *message = call->message;
  uv_buf_t buf = uv_buf_init (message->str, (unsigned int) message->len);

  call->message = NULL;
  call->sent = true;
  conn->state = CONN_BUSY;
  conn->written = false;
  conn->complete = false;
  answer_reset (conn);
  http_parser_init (&conn->parser, HTTP_RESPONSE);
  conn->parser.data = conn;
  conn->write.data = message;
  if (uv_write (&conn->write, (uv_stream_t *) &conn->tcp, &buf, 1, on_written) != 0)
    {
      g_string_free (message, TRUE);
      conn->tainted = true;
    }
}

static void
set_socket_options (Conn *conn)
{
  unsigned int timeout_ms = UCN_USER_TIMEOUT_MS;
  int probe_s = 1;
  int probes = 2;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&conn->tcp, 1);
  uv_tcp_keepalive (&conn->tcp, 1, 1);
  if (uv_fileno ((uv_handle_t *) &conn->tcp, &fd) != 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

static bool
has_message (UcnCall *call)
{
  if (call->message == NULL && call->build != NULL)
    call->message = call->build (call->user);
  return call->message != NULL;
}

static void
on_connect (uv_connect_t *connect, int status)
{
  Conn *conn = connect->handle->data;

  if (conn->state == CONN_CLOSING)
    return;
  uv_timer_stop (&conn->timer);
  if (status != 0)
    {
      fail (conn, UCN_NOT_SENT);
      return;
    }
  uint64_t took_ms = uv_now (conn->ctx->loop) - conn->connect_at_ms;
  if (conn->pool != NULL && took_ms < conn->pool->connect_ms)
    conn->pool->connect_ms = (uint32_t) took_ms;
  set_socket_options (conn);
  if (!has_message (conn->call))
    {
      fail (conn, UCN_WITHDRAWN);
      return;
    }
  uv_read_start ((uv_stream_t *) &conn->tcp, on_alloc, on_read);
  send_request (conn);
}

static void
on_connect_timeout (uv_timer_t *timer)
{
  fail (timer->data, UCN_NOT_SENT);
}

static Conn *
conn_new (UcnPool *pool)
{
  Conn *conn = g_new0 (Conn, 1);

  conn->pool = pool;
  conn->ctx = pool->ctx;
  conn->answer.headers = g_ptr_array_new_with_free_func (header_free);
  conn->answer.body = g_byte_array_new ();
  conn->field = g_string_new (NULL);
  conn->value = g_string_new (NULL);
  uv_tcp_init (pool->ctx->loop, &conn->tcp);
  uv_timer_init (pool->ctx->loop, &conn->timer);
  conn->tcp.data = conn;
  conn->timer.data = conn;
  conn->open_handles = 2;
  conn->state = CONN_CONNECTING;
  conn->keep_ms = UINT32_MAX;
  pool->open++;
  g_queue_push_head (&pool->busy, conn);
  return conn;
}

static void
connect_new (UcnPool *pool, UcnCall *call, uint32_t timeout_ms)
{
  struct sockaddr_in sin = net_addr_sockaddr (pool->addr);
  Conn *conn = conn_new (pool);

  pool->ctx->opened++;
  conn->call = call;
  call->conn = conn;
  conn->connect_at_ms = uv_now (pool->ctx->loop);
  uv_timer_start (&conn->timer, on_connect_timeout, timeout_ms, 0);
  if (uv_tcp_connect (&conn->connect, &conn->tcp, (struct sockaddr *) &sin, on_connect) != 0)
    uv_timer_start (&conn->timer, on_connect_timeout, 0, 0);
}

/* ---- Public calls ---- */

void
ucn_ctx_init (UcnCtx *ctx, uv_loop_t *loop)
{
  *ctx = (UcnCtx){ .loop = loop, .buffer = g_malloc (UCN_READ_BYTES) };
}

void
ucn_ctx_clear (UcnCtx *ctx)
{
  g_free (ctx->buffer);
}

void
ucn_pool_init (UcnPool *pool, UcnCtx *ctx, NetAddr addr, uint32_t idle_max_ms)
{
  *pool
      = (UcnPool){ .ctx = ctx, .addr = addr, .idle_max_ms = idle_max_ms, .connect_ms = UINT32_MAX };
  g_queue_init (&pool->idle);
  g_queue_init (&pool->busy);
}

void
ucn_pool_close (UcnPool *pool)
{
  while (!g_queue_is_empty (&pool->idle))
    conn_close (g_queue_peek_head (&pool->idle));
  for (GList *item = pool->busy.head; item != NULL; item = item->next)
    ((Conn *) item->data)->pool = NULL;
  g_queue_clear (&pool->busy);
  pool->open = 0;
}

static void
drop_expired (UcnPool *pool)
{
  uint64_t now_ms = uv_now (pool->ctx->loop);

  while (!g_queue_is_empty (&pool->idle))
    {
      Conn *oldest = g_queue_peek_tail (&pool->idle);
      uint32_t keep_ms = oldest->keep_ms == UINT32_MAX ? pool->idle_max_ms : oldest->keep_ms / 2;
      if (now_ms - oldest->idle_since_ms < MIN (pool->idle_max_ms, keep_ms))
        return;
      conn_close (oldest);
    }
}

/* Its end, or bytes that belong to no request, arrived and were not read yet. */
static bool
has_unread (const Conn *conn)
{
  uv_os_fd_t fd;
  char byte;

  if (uv_fileno ((const uv_handle_t *) &conn->tcp, &fd) != 0)
    return true;
  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/* The connection that was used last, unless even that one was idle for too long. */
static Conn *
newest_kept (UcnPool *pool, uint32_t idle_max_ms)
{
  while (!g_queue_is_empty (&pool->idle))
    {
      Conn *newest = g_queue_peek_head (&pool->idle);
      if (uv_now (pool->ctx->loop) - newest->idle_since_ms > idle_max_ms)
        return NULL;
      if (!has_unread (newest))
        return newest;
      conn_close (newest);
    }
  return NULL;
}

bool
ucn_pool_has_kept (UcnPool *pool, uint32_t idle_max_ms)
{
  drop_expired (pool);
  return newest_kept (pool, idle_max_ms) != NULL;
}

UcnCall *
ucn_start (UcnPool *pool, const UcnSpec *spec, UcnDoneFn fn, void *user)
{
  UcnCall *call = g_new0 (UcnCall, 1);

  call->fn = fn;
  call->user = user;
  call->build = spec->build;
  call->message = spec->message;
  call->id_header = g_strdup (spec->id_header);
  call->id = g_strdup (spec->id);
  call->method_is_head = spec->method_is_head;
  drop_expired (pool);
  Conn *conn = spec->fresh ? NULL : newest_kept (pool, spec->idle_max_ms);
  if (conn == NULL || !has_message (call))
    {
      connect_new (pool, call, spec->connect_timeout_ms);
      return call;
    }
  g_queue_pop_head (&pool->idle);
  g_queue_push_head (&pool->busy, conn);
  pool->ctx->reused++;
  conn->reused = true;
  conn->call = call;
  call->conn = conn;
  send_request (conn);
  return call;
}

void
ucn_cancel (UcnCall *call)
{
  Conn *conn = call->conn;

  if (conn != NULL)
    {
      conn->call = NULL;
      conn_close (conn);
    }
  call_free (call);
}

bool
ucn_was_sent (const UcnCall *call)
{
  return call->sent;
}

const char *
ucn_header (const UcnAnswer *answer, const char *name)
{
  for (guint i = 0; i < answer->headers->len; i++)
    {
      const UcnHeader *header = g_ptr_array_index (answer->headers, i);
      if (g_ascii_strcasecmp (header->name, name) == 0)
        return header->value;
    }
  return NULL;
}
