/* Upstream connections: pools of persistent HTTP/1.1 connections, one request at a time on each. */
#include "ucn.h"

#include "hsc.h"
#include "lim.h"

#include <errno.h>
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
  UcnHeadFn on_head;
  GString *message;
  GBytes *body;
  char *id_header;
  char *id;
  bool method_is_head;
  bool sent;
};

/**
 * struct Conn - one connection
 * @heads: checks the heads of the response that is being read
 * @no_reuse: it is closed after the current exchange
 * @reused: an earlier exchange used it
 * @request_written: the kernel has accepted the whole request
 * @write_failed: a write reported the connection's error, which reads don't report again
 * @written_body: the body of @write, or NULL
 * @discarding: the response being read belongs to an earlier request
 * @held_bytes: what it counts in &UcnCtx.buffered_bytes
 * @waits_for_room: it is in &UcnCtx.waiting
 * @open_handles: libuv handles not closed yet; the last one to close frees the connection
 * @traffic: as &UcnPool.traffic, which it outlives
 * @keep_alive_ms: timeout from the peer's Keep-Alive header, UINT32_MAX if it sent none
 */
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
  Hsc heads;
  UcnResponse response;
  GString *header_name;
  GString *header_value;
  bool in_header_value;
  bool no_reuse;
  bool reused;
  bool request_written;
  bool write_failed;
  GBytes *written_body;
  bool head_received;
  bool response_complete;
  bool discarding;
  bool waits_for_room;
  uint64_t held_bytes;
  uint32_t open_handles;
  TrfCount *traffic;
  uint32_t keep_alive_ms;
  uint64_t connect_start_ms;
  uint64_t idle_since_ms;
} Conn;

static void on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf);
static void on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buf);

/* ---- Connection lifecycle ---- */

static void
header_free (gpointer data)
{
  UcnHeader *header = data;

  g_free (header->name);
  g_free (header->value);
  g_free (header);
}

static void
record_bytes (UcnCtx *ctx)
{
  if (ctx->mbg != NULL)
    mbg_set_responses (ctx->mbg, ctx->buffered_bytes, ctx->taken_bytes);
}

static void
hold_bytes (Conn *conn, uint64_t bytes)
{
  conn->ctx->buffered_bytes += bytes - conn->held_bytes;
  conn->held_bytes = bytes;
  record_bytes (conn->ctx);
}

void
ucn_resume_waiting (UcnCtx *ctx)
{
  while (!g_queue_is_empty (&ctx->waiting))
    {
      Conn *conn = g_queue_peek_head (&ctx->waiting);
      uint64_t size = conn->response.body->len + conn->parser.content_length;
      if (!ucn_has_room (ctx, size - conn->held_bytes))
        return;
      g_queue_pop_head (&ctx->waiting);
      conn->waits_for_room = false;
      hold_bytes (conn, size);
      uv_read_start ((uv_stream_t *) &conn->tcp, on_alloc, on_read);
    }
}

static void
clear_body (Conn *conn)
{
  if (conn->waits_for_room)
    g_queue_remove (&conn->ctx->waiting, conn);
  conn->waits_for_room = false;
  g_byte_array_set_size (conn->response.body, 0);
  hold_bytes (conn, 0);
}

static void
reset_response (Conn *conn)
{
  g_ptr_array_set_size (conn->response.headers, 0);
  clear_body (conn);
  g_string_truncate (conn->header_name, 0);
  g_string_truncate (conn->header_value, 0);
  conn->response.status = 0;
  conn->response.close_delimited = false;
  conn->in_header_value = false;
  conn->head_received = false;
  conn->discarding = false;
}

static void
call_free (UcnCall *call)
{
  if (call->message != NULL)
    g_string_free (call->message, TRUE);
  if (call->body != NULL)
    g_bytes_unref (call->body);
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
  g_ptr_array_unref (conn->response.headers);
  g_byte_array_unref (conn->response.body);
  g_string_free (conn->header_name, TRUE);
  g_string_free (conn->header_value, TRUE);
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
      conn->pool->connection_count--;
    }
  conn->state = CONN_CLOSING;
  clear_body (conn);
  ucn_resume_waiting (conn->ctx);
  uv_close ((uv_handle_t *) &conn->tcp, on_handle_closed);
  uv_close ((uv_handle_t *) &conn->timer, on_handle_closed);
}

static void
finish_call (Conn *conn, UcnOutcome outcome)
{
  UcnCall *call = conn->call;

  conn->call = NULL;
  if (call == NULL)
    return;
  call->conn = NULL;
  call->fn (call->user, outcome, outcome == UCN_DONE ? &conn->response : NULL);
  call_free (call);
}

/* Closes the connection and reports the outcome to the call's owner. */
static void
fail_call (Conn *conn, UcnOutcome outcome)
{
  conn_close (conn);
  finish_call (conn, outcome);
}

static UcnOutcome
disconnect_outcome (const Conn *conn)
{
  return conn->head_received && !conn->discarding ? UCN_TRUNCATED : UCN_LOST;
}

/* ---- Response parsing ---- */

static void
add_header (Conn *conn)
{
  UcnHeader *header = g_new (UcnHeader, 1);

  header->name = g_strdup (conn->header_name->str);
  header->value = g_strdup (conn->header_value->str);
  g_ptr_array_add (conn->response.headers, header);
  g_string_truncate (conn->header_name, 0);
  g_string_truncate (conn->header_value, 0);
  conn->in_header_value = false;
}

static int
on_message_begin (http_parser *parser)
{
  Conn *conn = parser->data;

  if (conn->response_complete)
    return 1;
  reset_response (conn);
  return 0;
}

/* Fields behind the head are those of a trailer, which is no part of it and is left out. */
static int
on_header_field (http_parser *parser, const char *at, size_t size)
{
  Conn *conn = parser->data;

  if (conn->head_received)
    return 0;
  if (conn->in_header_value)
    add_header (conn);
  g_string_append_len (conn->header_name, at, (gssize) size);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t size)
{
  Conn *conn = parser->data;

  if (conn->head_received)
    return 0;
  conn->in_header_value = true;
  g_string_append_len (conn->header_value, at, (gssize) size);
  return 0;
}

static void
parse_keep_alive (Conn *conn)
{
  const char *keep_alive = ucn_header (&conn->response, "keep-alive");
  const char *timeout = keep_alive != NULL ? strstr (keep_alive, "timeout=") : NULL;

  if (timeout != NULL)
    conn->keep_alive_ms = (uint32_t) strtoul (timeout + strlen ("timeout="), NULL, 10) * 1000;
}

/* True if the response belongs, or may belong, to an earlier request: it repeats another request
 * ID, or none, unless it is an error response to the first request on its connection. */
static bool
is_stale_response (const Conn *conn)
{
  const UcnCall *call = conn->call;

  if (call->id_header == NULL)
    return false;
  const char *id = ucn_header (&conn->response, call->id_header);
  if (id == NULL)
    return conn->response.status < 300 || conn->reused;
  return strcmp (id, call->id) != 0;
}

/* Makes room for a body of known length, which is then received whole; without room the connection
 * waits, except for small bodies. */
static void
reserve_body (Conn *conn)
{
  uint64_t size = conn->parser.content_length;

  if (size == ULLONG_MAX || conn->call->method_is_head || size > RESPONSE_MAX_BYTES)
    return;
  if (size <= RESPONSE_SMALL_BYTES
      || (g_queue_is_empty (&conn->ctx->waiting) && ucn_has_room (conn->ctx, size)))
    hold_bytes (conn, size);
  else
    {
      conn->waits_for_room = true;
      g_queue_push_tail (&conn->ctx->waiting, conn);
    }
}

static int
on_headers_complete (http_parser *parser)
{
  Conn *conn = parser->data;

  if (conn->in_header_value)
    add_header (conn);
  conn->head_received = true;
  conn->response.status = (int) parser->status_code;
  if (conn->call == NULL)
    return 1;
  parse_keep_alive (conn);
  conn->discarding = parser->status_code >= 200 && is_stale_response (conn);
  if (conn->discarding)
    conn->no_reuse = true;
  else if (parser->status_code >= 200 && conn->call->on_head != NULL)
    conn->call->on_head (conn->call->user, &conn->response);
  reserve_body (conn);
  return conn->call->method_is_head ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  Conn *conn = parser->data;
  uint64_t total = conn->response.body->len + size;

  if (total > RESPONSE_MAX_BYTES)
    return 1;
  if (total > conn->held_bytes)
    {
      if (!conn->waits_for_room && !ucn_has_room (conn->ctx, total - conn->held_bytes))
        return 1;
      hold_bytes (conn, total);
    }
  g_byte_array_append (conn->response.body, (const guint8 *) at, (guint) size);
  return 0;
}

/* The last chunk has no bytes and is followed by the trailer. */
static int
on_chunk_header (http_parser *parser)
{
  Conn *conn = parser->data;

  if (parser->content_length > 0)
    return 0;
  hsc_start_trailer (&conn->heads);
  http_parser_pause (parser, 1);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  Conn *conn = parser->data;

  if (parser->status_code < 200)
    return 0;
  if (conn->discarding)
    {
      hsc_start (&conn->heads);
      http_parser_pause (parser, 1);
      return 0;
    }
  conn->response_complete = true;
  if (!http_should_keep_alive (parser))
    conn->no_reuse = true;
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_chunk_header = on_chunk_header,
  .on_message_complete = on_message_complete,
};

/* ---- Reading and reuse ---- */

static void
release_or_close (Conn *conn)
{
  UcnPool *pool = conn->pool;

  if (pool == NULL || conn->no_reuse || !conn->request_written)
    {
      conn_close (conn);
      return;
    }
  clear_body (conn);
  ucn_resume_waiting (conn->ctx);
  g_queue_remove (&pool->busy, conn);
  g_queue_push_head (&pool->idle, conn);
  conn->state = CONN_IDLE;
  conn->idle_since_ms = uv_now (conn->ctx->loop);
}

/* The parser pauses where a trailer or, after a discarded response, another head follows, which is
 * checked before it is parsed. Return: false when the data is invalid, or goes on after the
 * response. */
static bool
parse_data (Conn *conn, const char *data, size_t size)
{
  bool is_paused = true;

  while (is_paused)
    {
      if (!hsc_scan (&conn->heads, data, size))
        return false;
      size_t used = http_parser_execute (&conn->parser, &parser_settings, data, size);
      is_paused = HTTP_PARSER_ERRNO (&conn->parser) == HPE_PAUSED;
      data += used;
      size -= used;
      if (is_paused)
        http_parser_pause (&conn->parser, 0);
    }
  return HTTP_PARSER_ERRNO (&conn->parser) == HPE_OK && size == 0;
}

static void
process_data (Conn *conn, const char *data, size_t size)
{
  bool failed = !parse_data (conn, data, size);

  if (conn->response_complete)
    {
      if (failed)
        conn->no_reuse = true;
      finish_call (conn, UCN_DONE);
      release_or_close (conn);
      return;
    }
  if (failed)
    fail_call (conn, UCN_INVALID);
  else if (conn->waits_for_room)
    uv_read_stop ((uv_stream_t *) &conn->tcp);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  Conn *conn = handle->data;
  (void) suggested;

  *buf = uv_buf_init (conn->ctx->read_buffer, UCN_READ_BUFFER_BYTES);
}

/* Return: 1 if there is unread data, 0 after the peer's orderly end, else a negative error number.
 */
static ssize_t
peek (const Conn *conn)
{
  uv_os_fd_t fd;
  char byte;

  if (uv_fileno ((const uv_handle_t *) &conn->tcp, &fd) != 0)
    return -EBADF;
  ssize_t size = recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 ? size : -errno;
}

/* Whether the peer ended its side without an error. When the last data and an error arrive
 * together, libuv reports the error as UV_EOF. */
static bool
ended_in_order (const Conn *conn, ssize_t status)
{
  return status == UV_EOF && !conn->write_failed && peek (conn) == 0;
}

/* A close-delimited response is complete when the peer closes the connection in order. */
static void
on_disconnect (Conn *conn, ssize_t status)
{
  if (conn->state == CONN_IDLE)
    {
      conn_close (conn);
      return;
    }
  conn->no_reuse = true;
  if (conn->head_received && ended_in_order (conn, status))
    {
      http_parser_execute (&conn->parser, &parser_settings, NULL, 0);
      if (conn->response_complete)
        {
          conn->response.close_delimited = true;
          finish_call (conn, UCN_DONE);
          conn_close (conn);
          return;
        }
    }
  fail_call (conn, disconnect_outcome (conn));
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
  Conn *conn = stream->data;

  if (size == 0)
    return;
  if (size > 0)
    trf_add_received (conn->traffic, (uint64_t) size);
  if (size < 0)
    on_disconnect (conn, size);
  else if (conn->state == CONN_IDLE)
    conn_close (conn);
  else
    process_data (conn, buf->base, (size_t) size);
}

/* ---- Sending ---- */

static void
release_message (Conn *conn)
{
  g_string_free (conn->write.data, TRUE);
  if (conn->written_body != NULL)
    g_bytes_unref (conn->written_body);
  conn->written_body = NULL;
}

static void
on_written (uv_write_t *write, int status)
{
  Conn *conn = write->handle->data;

  release_message (conn);
  conn->request_written = status == 0;
  conn->write_failed = status != 0;
}

/* Reported from the loop, as the call's owner doesn't expect its callback before. */
static void
on_write_failed (uv_timer_t *timer)
{
  fail_call (timer->data, UCN_LOST);
}

static void
send_request (Conn *conn)
{
  UcnCall *call = conn->call;
  GString *message = call->message;
  uv_buf_t bufs[] = { uv_buf_init (message->str, (unsigned int) message->len), { 0 } };
  unsigned int count = 1;

  call->message = NULL;
  if (call->body != NULL && g_bytes_get_size (call->body) > 0)
    {
      gsize size;
      conn->written_body = g_bytes_ref (call->body);
      char *data = (char *) g_bytes_get_data (call->body, &size);
      bufs[count++] = uv_buf_init (data, (unsigned int) size);
    }
  call->sent = true;
  conn->state = CONN_BUSY;
  conn->request_written = false;
  conn->write_failed = false;
  conn->response_complete = false;
  reset_response (conn);
  http_parser_init (&conn->parser, HTTP_RESPONSE);
  hsc_start (&conn->heads);
  conn->parser.data = conn;
  conn->write.data = message;
  trf_add_sent (conn->traffic, bufs[0].len + bufs[1].len);
  if (uv_write (&conn->write, (uv_stream_t *) &conn->tcp, bufs, count, on_written) != 0)
    {
      release_message (conn);
      conn->no_reuse = true;
      uv_timer_start (&conn->timer, on_write_failed, 0, 0);
    }
}

static void
set_socket_options (Conn *conn)
{
  int keepalive_interval_s = 1;
  int keepalive_probes = 2;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&conn->tcp, 1);
  uv_tcp_keepalive (&conn->tcp, 1, 1);
  if (uv_fileno ((uv_handle_t *) &conn->tcp, &fd) != 0)
    return;
  net_set_user_timeout (fd, UCN_TCP_USER_TIMEOUT_MS);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s, sizeof keepalive_interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probes, sizeof keepalive_probes);
}

/* Builds the message unless the caller passed one; false if the request was withdrawn. */
static bool
prepare_message (UcnCall *call)
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
      fail_call (conn, UCN_NOT_SENT);
      return;
    }
  uint64_t took_ms = uv_now (conn->ctx->loop) - conn->connect_start_ms;
  if (conn->pool != NULL && took_ms < conn->pool->min_connect_ms)
    conn->pool->min_connect_ms = (uint32_t) took_ms;
  set_socket_options (conn);
  if (!prepare_message (conn->call))
    {
      fail_call (conn, UCN_WITHDRAWN);
      return;
    }
  uv_read_start ((uv_stream_t *) &conn->tcp, on_alloc, on_read);
  send_request (conn);
}

static void
on_connect_timeout (uv_timer_t *timer)
{
  fail_call (timer->data, UCN_NOT_SENT);
}

static Conn *
conn_new (UcnPool *pool)
{
  Conn *conn = g_new0 (Conn, 1);

  conn->pool = pool;
  conn->ctx = pool->ctx;
  conn->traffic = pool->traffic;
  conn->response.headers = g_ptr_array_new_with_free_func (header_free);
  conn->response.body = g_byte_array_new ();
  conn->header_name = g_string_new (NULL);
  conn->header_value = g_string_new (NULL);
  uv_tcp_init (pool->ctx->loop, &conn->tcp);
  uv_timer_init (pool->ctx->loop, &conn->timer);
  conn->tcp.data = conn;
  conn->timer.data = conn;
  conn->open_handles = 2;
  conn->state = CONN_CONNECTING;
  conn->keep_alive_ms = UINT32_MAX;
  pool->connection_count++;
  g_queue_push_head (&pool->busy, conn);
  return conn;
}

static void
open_connection (UcnPool *pool, UcnCall *call, uint32_t timeout_ms)
{
  struct sockaddr_in sin = net_addr_sockaddr (pool->addr);
  Conn *conn = conn_new (pool);

  pool->ctx->opened++;
  conn->call = call;
  call->conn = conn;
  conn->connect_start_ms = uv_now (pool->ctx->loop);
  uv_timer_start (&conn->timer, on_connect_timeout, timeout_ms, 0);
  if (uv_tcp_connect (&conn->connect, &conn->tcp, (struct sockaddr *) &sin, on_connect) != 0)
    uv_timer_start (&conn->timer, on_connect_timeout, 0, 0);
}

/* ---- Public functions ---- */

void
ucn_ctx_init (UcnCtx *ctx, uv_loop_t *loop)
{
  *ctx = (UcnCtx){ .loop = loop, .read_buffer = g_malloc (UCN_READ_BUFFER_BYTES) };
}

void
ucn_ctx_clear (UcnCtx *ctx)
{
  g_free (ctx->read_buffer);
}

void
ucn_pool_init (UcnPool *pool, UcnCtx *ctx, NetAddr addr, uint32_t idle_max_ms)
{
  *pool = (UcnPool){
    .ctx = ctx, .addr = addr, .idle_max_ms = idle_max_ms, .min_connect_ms = UINT32_MAX
  };
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
  pool->connection_count = 0;
}

/* Closes connections that were idle for the pool's limit or half of the peer's Keep-Alive timeout.
 */
static void
close_expired (UcnPool *pool)
{
  uint64_t now_ms = uv_now (pool->ctx->loop);

  while (!g_queue_is_empty (&pool->idle))
    {
      Conn *oldest = g_queue_peek_tail (&pool->idle);
      uint32_t keep_alive_ms
          = oldest->keep_alive_ms == UINT32_MAX ? pool->idle_max_ms : oldest->keep_alive_ms / 2;
      if (now_ms - oldest->idle_since_ms < MIN (pool->idle_max_ms, keep_alive_ms))
        return;
      conn_close (oldest);
    }
}

/* True if the peer closed or reset an idle connection, or sent data on it without a request. */
static bool
is_readable (const Conn *conn)
{
  ssize_t result = peek (conn);

  return result != -EAGAIN && result != -EWOULDBLOCK;
}

/* Returns the most recently used idle connection, NULL if it was idle for over @idle_max_ms. Closes
 * those that the peer closed or sent unexpected data on. */
static Conn *
find_idle (UcnPool *pool, uint32_t idle_max_ms)
{
  while (!g_queue_is_empty (&pool->idle))
    {
      Conn *conn = g_queue_peek_head (&pool->idle);
      if (uv_now (pool->ctx->loop) - conn->idle_since_ms > idle_max_ms)
        return NULL;
      if (!is_readable (conn))
        return conn;
      conn_close (conn);
    }
  return NULL;
}

bool
ucn_pool_has_idle (UcnPool *pool, uint32_t idle_max_ms)
{
  close_expired (pool);
  return find_idle (pool, idle_max_ms) != NULL;
}

UcnCall *
ucn_start (UcnPool *pool, const UcnSpec *spec, UcnDoneFn fn, void *user)
{
  UcnCall *call = g_new0 (UcnCall, 1);

  call->fn = fn;
  call->user = user;
  call->build = spec->build;
  call->on_head = spec->on_head;
  call->message = spec->message;
  call->body = spec->body != NULL ? g_bytes_ref (spec->body) : NULL;
  call->id_header = g_strdup (spec->id_header);
  call->id = g_strdup (spec->id);
  call->method_is_head = spec->method_is_head;
  close_expired (pool);
  Conn *conn = spec->new_connection ? NULL : find_idle (pool, spec->idle_max_ms);
  if (conn == NULL || !prepare_message (call))
    {
      /* Also for a withdrawn request: its callback must be called from the loop. */
      open_connection (pool, call, spec->connect_timeout_ms);
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

GByteArray *
ucn_take_body (const UcnResponse *response)
{
  Conn *conn = (Conn *) ((char *) response - offsetof (Conn, response));
  GByteArray *body = conn->response.body;

  hold_bytes (conn, body->len);
  conn->held_bytes = 0;
  conn->ctx->taken_bytes += body->len;
  record_bytes (conn->ctx);
  conn->response.body = g_byte_array_new ();
  return body;
}

void
ucn_release_body (UcnCtx *ctx, GByteArray *body)
{
  ctx->buffered_bytes -= body->len;
  ctx->taken_bytes -= body->len;
  record_bytes (ctx);
  g_byte_array_unref (body);
  ucn_resume_waiting (ctx);
}

bool
ucn_has_room (const UcnCtx *ctx, uint64_t size)
{
  if (ctx->mbg != NULL)
    return mbg_want_response_room (ctx->mbg, size, uv_now (ctx->loop));
  return ctx->buffered_bytes + size <= RESPONSES_TOTAL_MAX_BYTES;
}

bool
ucn_was_sent (const UcnCall *call)
{
  return call->sent;
}

const char *
ucn_header (const UcnResponse *response, const char *name)
{
  for (guint i = 0; i < response->headers->len; i++)
    {
      const UcnHeader *header = g_ptr_array_index (response->headers, i);
      if (g_ascii_strcasecmp (header->name, name) == 0)
        return header->value;
    }
  return NULL;
}
