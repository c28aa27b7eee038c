/* HTTP server on a libuv event loop, built on h2o. */
#include "hsv.h"

#include "lim.h"
#include "rdl.h"

#include <h2o/http1.h>
#include <string.h>

#define LISTEN_BACKLOG 1024
#define REQUEST_TIMEOUT_MS 30000
#define PROBE_REQUEST_MAX_BYTES 4096
#define STATUS_BAD_REQUEST 400

/* Values of h2o_req_t.version. */
#define HTTP_1_0 0x100
#define HTTP_2_0 0x200

struct _HsvServer
{
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  uv_tcp_t listener;
  uint16_t port;
  bool listening;
  HsvHandler handler;
  void *user;
  HsvHeadFn head_fn;
  void *head_user;
  HsvHook hook;
  void *hook_user;
  GHashTable *watch_table;
  uint32_t unwritten_bodies;
  Rdl reading;
  Wrt writing;
};

/**
 * struct Watch - callback for the disconnection of a caller; stored in HsvServer.watch_table by
 * socket
 * @req: valid until its response is sent
 * @request_bytes: size of the input when the watch began
 * @must_not_move: the input must stay where it is in memory
 */
typedef struct
{
  HsvDisconnectFn fn;
  void *user;
  h2o_req_t *req;
  size_t request_bytes;
  bool must_not_move;
} Watch;

typedef struct
{
  h2o_handler_t super;
  HsvServer *server;
} Handler;

typedef struct
{
  h2o_logger_t super;
  HsvServer *server;
} Logger;

/* ---- Connections ---- */

static void
run_hook (HsvServer *server)
{
  if (server->hook != NULL)
    server->hook (server->hook_user);
}

/* h2o passes the continuation line of a folded header as a header without a name. */
static bool
has_folded_header (const h2o_req_t *req)
{
  for (size_t i = 0; i < req->headers.size; i++)
    if (req->headers.entries[i].name->len == 0)
      return true;
  return false;
}

/* Folded headers are rejected (RFC 9112, section 5.2): forwarded line by line, the value of a
 * header that is left out, such as an API key, would reach the upstream. */
static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  HsvServer *server = ((Handler *) self)->server;

  run_hook (server);
  if (has_folded_header (req))
    hsv_respond (req, STATUS_BAD_REQUEST, "text/plain", "folded_header");
  else
    server->handler (server->user, req);
  return 0;
}

/* h2o has sent the response to a request, and is about to free its memory. */
static void
on_request_end (h2o_logger_t *self, h2o_req_t *req)
{
  HsvServer *server = ((Logger *) self)->server;

  if (server->reading.mbg != NULL && req->res.status == 413)
    server->reading.mbg->counters.bodies_over_limit++;
  rdl_answered (&server->reading, req->conn->callbacks->get_socket (req->conn));
}

/* A caller that neither reads nor acknowledges for that long keeps no response in memory. */
static void
limit_stalls (const uv_tcp_t *conn)
{
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *) conn, &fd) == 0)
    net_set_user_timeout (fd, HSV_TCP_USER_TIMEOUT_MS);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  HsvServer *server = listener->data;
  uv_tcp_t *conn;

  if (status != 0)
    return;
  run_hook (server);
  conn = h2o_mem_alloc (sizeof *conn);
  uv_tcp_init (listener->loop, conn);
  if (uv_accept (listener, (uv_stream_t *) conn) != 0 || !rdl_admit (&server->reading))
    {
      uv_close ((uv_handle_t *) conn, (uv_close_cb) free);
      return;
    }
  uv_tcp_nodelay (conn, 1);
  limit_stalls (conn);
  h2o_socket_t *sock = h2o_uv_socket_create ((uv_stream_t *) conn, (uv_close_cb) free);
  h2o_accept (&server->accept_ctx, sock);
  rdl_add (&server->reading, sock, (uv_stream_t *) conn);
}

static bool
listen_on (HsvServer *server, uv_loop_t *loop, NetAddr addr, Err *err)
{
  struct sockaddr_in sin = net_addr_sockaddr (addr);
  struct sockaddr_in bound;
  int size = sizeof bound;
  char text[32];
  int rc;

  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  rc = uv_tcp_bind (&server->listener, (struct sockaddr *) &sin, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *) &server->listener, LISTEN_BACKLOG, on_accept);
  if (rc != 0)
    {
      err_set (err, ERR_LAYER_HTTP, rc, "cannot listen on %s: %s", net_addr_text (addr, text),
               uv_strerror (rc));
      return false;
    }
  uv_tcp_getsockname (&server->listener, (struct sockaddr *) &bound, &size);
  server->port = ntohs (bound.sin_port);
  return true;
}

static void
add_logger (HsvServer *server, h2o_pathconf_t *path)
{
  Logger *logger = (Logger *) h2o_create_logger (path, sizeof *logger);

  logger->super.log_access = on_request_end;
  logger->server = server;
}

HsvServer *
hsv_start (uv_loop_t *loop, NetAddr addr, HsvHandler handler, void *user, Err *err)
{
  HsvServer *server = g_new0 (HsvServer, 1);
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;

  server->handler = handler;
  server->user = user;
  server->watch_table = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  rdl_init (&server->reading, loop);
  h2o_config_init (&server->config);
  server->config.max_request_entity_size = REQUEST_BODY_MAX_BYTES;
  server->config.http1.req_timeout = REQUEST_TIMEOUT_MS;
  server->config.http1.upgrade_to_http2 = 0;
  h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX; /* /tmp counts as memory and is small */
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("cardamomcrank"));
  host = h2o_config_register_host (&server->config, h2o_iovec_init (H2O_STRLIT ("default")),
                                   UINT16_MAX);
  path = h2o_config_register_path (host, "/", 0);
  Handler *h2o_handler = (Handler *) h2o_create_handler (path, sizeof *h2o_handler);
  h2o_handler->super.on_req = on_request;
  h2o_handler->server = server;
  add_logger (server, path);
  add_logger (server, &host->fallback_path);
  h2o_context_init (&server->ctx, loop, &server->config);
  server->accept_ctx.ctx = &server->ctx;
  server->accept_ctx.hosts = server->config.hosts;
  if (!listen_on (server, loop, addr, err))
    return NULL;
  server->listening = true;
  return server;
}

void
hsv_set_hook (HsvServer *server, HsvHook fn, void *user)
{
  server->hook = fn;
  server->hook_user = user;
}

uint16_t
hsv_port (const HsvServer *server)
{
  return server->port;
}

uint32_t
hsv_unwritten_bodies (const HsvServer *server)
{
  return server->unwritten_bodies;
}

void
hsv_stop_listening (HsvServer *server)
{
  if (!server->listening)
    return;
  server->listening = false;
  uv_close ((uv_handle_t *) &server->listener, NULL);
  h2o_context_request_shutdown (&server->ctx);
}

/* h2o also rejects a chunked body that is as large as its limit. */
static void
set_body_limit (HsvServer *server, size_t body_bytes)
{
  bool has_budget = server->reading.mbg != NULL;

  if (has_budget)
    body_bytes = mbg_body_max_bytes (server->reading.mbg, body_bytes);
  server->reading.body_max_bytes = body_bytes;
  server->config.max_request_entity_size = body_bytes + (has_budget ? 1 : 0);
}

void
hsv_set_limits (HsvServer *server, uint32_t idle_ms, size_t body_bytes)
{
  set_body_limit (server, body_bytes);
  server->config.http1.req_timeout = idle_ms;
  server->ctx.http1.req_timeout.timeout = idle_ms;
}

void
hsv_set_budget (HsvServer *server, Mbg *mbg, RdlRole role)
{
  rdl_set_budget (&server->reading, mbg, role);
  set_body_limit (server, role == RDL_PROBES ? PROBE_REQUEST_MAX_BYTES : REQUEST_BODY_MAX_BYTES);
}

void
hsv_count_traffic (HsvServer *server, TrfCount *traffic)
{
  server->reading.traffic = traffic;
}

void
hsv_set_rejection_headers (HsvServer *server, const char *retry, const char *common)
{
  server->reading.retry_header = retry;
  server->reading.common_header = common;
}

void
hsv_drain_connections (HsvServer *server)
{
  h2o_context_request_shutdown (&server->ctx);
}

/* ---- Requests rejected before their bodies ---- */

static char *
format_reply (const HsvReply *reply)
{
  return g_strdup_printf ("HTTP/1.1 %d Refused\r\nconnection: close\r\ncontent-type: text/plain\r\n"
                          "content-length: %zu\r\n%s\r\n%s",
                          reply->status, strlen (reply->body), reply->headers->str, reply->body);
}

/* Requests with unusual heads are left to h2o. */
static RdlVerdict
on_head (void *user, const char *bytes, size_t size, char **response)
{
  HsvServer *server = user;
  Hed head;

  switch (hed_read (bytes, size, &head))
    {
    case HED_INCOMPLETE:
      return RDL_UNDECIDED;
    case HED_UNUSUAL:
      return RDL_ACCEPT;
    case HED_READ:
      break;
    }
  if (!hed_lacks_body (&head, bytes, size))
    return RDL_ACCEPT;
  HsvReply reply = { .headers = g_string_new (NULL) };
  bool is_rejected = server->head_fn (server->head_user, &head, &reply);
  if (is_rejected)
    *response = format_reply (&reply);
  g_string_free (reply.headers, TRUE);
  return is_rejected ? RDL_REJECT : RDL_ACCEPT;
}

void
hsv_set_head_check (HsvServer *server, HsvHeadFn fn, void *user)
{
  server->head_fn = fn;
  server->head_user = user;
  rdl_set_head_check (&server->reading, fn != NULL ? on_head : NULL, server);
}

void
hsv_add_reply_header (HsvReply *reply, const char *name, const char *value)
{
  g_string_append_printf (reply->headers, "%s: %s\r\n", name, value);
}

/* ---- Disconnection of callers ---- */

static HsvServer *
server_of_conn (const h2o_conn_t *conn)
{
  return (HsvServer *) ((char *) conn->ctx - offsetof (HsvServer, ctx));
}

/* The socket's data is h2o's connection state, whose first member is its h2o_conn_t. */
static HsvServer *
server_of_socket (h2o_socket_t *sock)
{
  return server_of_conn (sock->data);
}

static bool
can_read_on (const Watch *watch, const h2o_socket_t *sock)
{
  return sock->input->size - watch->request_bytes < HSV_PIPELINED_MAX_BYTES
         && (!watch->must_not_move || rdl_has_room (sock));
}

/* h2o reads no further request until the response is sent; data that arrives before is left in the
 * socket's buffer, and only the end of the connection is reported. */
static void
on_watched_read (h2o_socket_t *sock, const char *err)
{
  GHashTable *watch_table = server_of_socket (sock)->watch_table;
  Watch *watch = g_hash_table_lookup (watch_table, sock);

  if (err == NULL)
    rdl_count_read (&server_of_socket (sock)->reading, sock);
  if (watch != NULL && err == NULL && can_read_on (watch, sock))
    return;
  h2o_socket_read_stop (sock);
  if (watch == NULL || err == NULL)
    return;
  Watch disconnected = *watch;
  g_hash_table_remove (watch_table, sock);
  disconnected.fn (disconnected.user);
  if (!rdl_accepts_writes (sock))
    wrt_fail (disconnected.req);
}

void *
hsv_watch_disconnect (HsvServer *server, h2o_req_t *req, HsvDisconnectFn fn, void *user)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
  Watch *watch = g_new (Watch, 1);

  *watch = (Watch){ .fn = fn,
                    .user = user,
                    .req = req,
                    .request_bytes = sock->input->size,
                    .must_not_move = req->entity.len > HSV_COPIED_BODY_MAX_BYTES };
  g_hash_table_insert (server->watch_table, sock, watch);
  if (can_read_on (watch, sock))
    h2o_socket_read_start (sock, on_watched_read);
  return sock;
}

void
hsv_unwatch_disconnect (HsvServer *server, void *key)
{
  g_hash_table_remove (server->watch_table, key);
}

/* ---- Requests and responses ---- */

/* True if the buffer holds data after the request's head and body. h2o keeps the request in the
 * buffer until the response is sent, a chunked body without its chunk sizes. */
static bool
has_pipelined_data (h2o_req_t *req)
{
  static const char end[] = "\r\n\r\n";
  const h2o_buffer_t *input = req->conn->callbacks->get_socket (req->conn)->input;
  const char *head_end = g_strstr_len (input->bytes, (gssize) input->size, end);

  if (head_end == NULL)
    return false;
  size_t head_size = (size_t) (head_end - input->bytes) + strlen (end);
  return input->size > head_size + req->entity.len;
}

void
hsv_close_if_pipelined (h2o_req_t *req)
{
  if (req->version < HTTP_2_0 && has_pipelined_data (req))
    req->http1_is_persistent = 0;
}

static void
start_response (h2o_req_t *req, int status, size_t content_length, h2o_generator_t *generator)
{
  req->res.status = status;
  req->res.reason = status < 300 ? "OK" : "Refused";
  req->res.content_length = content_length;
  h2o_start_response (req, generator);
}

static void
send_response (h2o_req_t *req, int status, h2o_iovec_t body, size_t content_length)
{
  static h2o_generator_t generator;

  start_response (req, status, content_length, &generator);
  h2o_send (req, &body, 1, H2O_SEND_STATE_FINAL);
}

void
hsv_send (h2o_req_t *req, int status, const void *body, size_t size)
{
  send_response (req, status, h2o_strdup (&req->pool, body, size), size);
}

void
hsv_begin_write (h2o_req_t *req, WrtResponse *response)
{
  wrt_begin (&server_of_conn (req->conn)->writing, req, response);
}

/**
 * struct HeldBody - body of a response that is being written
 * @server: counts the body in &HsvServer.unwritten_bodies
 * @generator: of a response that ends with its connection
 */
typedef struct
{
  h2o_generator_t generator;
  HsvServer *server;
  HsvBody body;
  WrtResponse response;
} HeldBody;

static void
on_body_disposed (void *data)
{
  HeldBody *held = data;

  held->server->unwritten_bodies--;
  wrt_end (&held->response);
  held->body.release (held->body.user, held->body.bytes);
}

/* The kernel has the whole body: from now on the end of the connection is that of the response. */
static void
on_close_delimited_written (h2o_generator_t *generator, h2o_req_t *req)
{
  (void) generator;

  wrt_set_reset_on_close (req, false);
  h2o_send (req, NULL, 0, H2O_SEND_STATE_FINAL);
}

/* h2o sends an HTTP/1.0 response without chunked encoding and closes the connection after it. */
static void
send_close_delimited (h2o_req_t *req, int status, HeldBody *held, h2o_iovec_t body)
{
  wrt_set_reset_on_close (req, true);
  req->version = HTTP_1_0;
  req->http1_is_persistent = 0;
  held->generator = (h2o_generator_t){ .proceed = on_close_delimited_written };
  start_response (req, status, SIZE_MAX, &held->generator);
  h2o_send (req, &body, 1, H2O_SEND_STATE_IN_PROGRESS);
}

void
hsv_send_body (h2o_req_t *req, int status, HsvBody body)
{
  HeldBody *held = h2o_mem_alloc_shared (&req->pool, sizeof *held, on_body_disposed);
  h2o_iovec_t buf = h2o_iovec_init (body.bytes->data, body.bytes->len);

  held->server = server_of_conn (req->conn);
  held->body = body;
  held->server->unwritten_bodies++;
  hsv_begin_write (req, &held->response);
  if (body.close_delimited)
    send_close_delimited (req, status, held, buf);
  else
    send_response (req, status, buf, body.bytes->len);
}

void
hsv_close_stalled (HsvServer *server)
{
  rdl_tick (&server->reading);
  if (server->reading.mbg != NULL && mbg_watches_unread (server->reading.mbg))
    wrt_close_unread (&server->writing, server->reading.mbg, uv_now (server->reading.loop));
}

void
hsv_respond (h2o_req_t *req, int status, const char *media_type, const char *body)
{
  if (media_type != NULL)
    h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, media_type,
                    strlen (media_type));
  hsv_send (req, status, body, strlen (body));
}

static void
release_unread_text (void *user, GByteArray *bytes)
{
  mbg_add_unread (user, -(int64_t) bytes->len);
  g_byte_array_unref (bytes);
}

void
hsv_send_text (h2o_req_t *req, const char *media_type, char *text)
{
  const Rdl *reading = &server_of_conn (req->conn)->reading;
  Mbg *mbg = reading->mbg;
  size_t size = strlen (text);

  if (mbg == NULL)
    {
      hsv_respond (req, 200, media_type, text);
      g_free (text);
      return;
    }
  if (!mbg_want_response_room (mbg, size, uv_now (reading->loop)))
    {
      hsv_respond (req, 503, "text/plain", "no memory\n");
      g_free (text);
      return;
    }
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, media_type,
                  strlen (media_type));
  mbg_add_unread (mbg, (int64_t) size);
  hsv_send_body (req, 200,
                 (HsvBody){ .bytes = g_byte_array_new_take ((guint8 *) text, size),
                            .release = release_unread_text,
                            .user = mbg });
}

char *
hsv_path (h2o_req_t *req)
{
  return g_strndup (req->path_normalized.base, req->path_normalized.len);
}

GBytes *
hsv_body (h2o_req_t *req)
{
  if (req->entity.len > HSV_COPIED_BODY_MAX_BYTES)
    return g_bytes_new_static (req->entity.base, req->entity.len);
  return g_bytes_new (req->entity.base, req->entity.len);
}

char *
hsv_query (h2o_req_t *req, const char *name)
{
  char *value = NULL;

  if (req->query_at == SIZE_MAX)
    return NULL;
  char *query = g_strndup (req->path.base + req->query_at + 1, req->path.len - req->query_at - 1);
  GHashTable *params = g_uri_parse_params (query, -1, "&", G_URI_PARAMS_NONE, NULL);
  if (params != NULL)
    {
      value = g_strdup (g_hash_table_lookup (params, name));
      g_hash_table_unref (params);
    }
  g_free (query);
  return value;
}

uint64_t
hsv_query_uint (h2o_req_t *req, const char *name, uint64_t fallback)
{
  char *text = hsv_query (req, name);
  uint64_t value = text != NULL ? strtoull (text, NULL, 10) : fallback;

  g_free (text);
  return value;
}

char *
hsv_header (h2o_req_t *req, const char *name)
{
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];
      if (header->name->len == strlen (name)
          && g_ascii_strncasecmp (header->name->base, name, header->name->len) == 0)
        return g_strndup (header->value.base, header->value.len);
    }
  return NULL;
}

void
hsv_add_header (h2o_req_t *req, const char *name, const char *value)
{
  h2o_iovec_t copy = h2o_strdup (&req->pool, value, SIZE_MAX);
  h2o_iovec_t key = h2o_strdup (&req->pool, name, SIZE_MAX);

  h2o_add_header_by_str (&req->pool, &req->res.headers, key.base, key.len, 1, NULL, copy.base,
                         copy.len);
}

bool
hsv_method_is (h2o_req_t *req, const char *method)
{
  return h2o_memis (req->method.base, req->method.len, method, strlen (method));
}

uint32_t
hsv_peer_ip (h2o_req_t *req)
{
  struct sockaddr_storage addr;

  memset (&addr, 0, sizeof addr);
  req->conn->callbacks->get_peername (req->conn, (struct sockaddr *) &addr);
  return ntohl (((struct sockaddr_in *) &addr)->sin_addr.s_addr);
}
