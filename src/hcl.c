/* HTTP/1.1 client on a libuv event loop, built on h2o's client. */
#include "hcl.h"

#include "lim.h"
#include "rhd.h"

#include <netinet/tcp.h>
#include <string.h>

#define IO_TIMEOUT_MS 3600000

/** struct Fetch - hcl_fetch(): collected response */
typedef struct
{
  HclFetchFn fn;
  void *user;
  GString *body;
  size_t body_max_bytes;
  bool too_large;
  int status;
} Fetch;

struct _HclCall
{
  HclCtx *ctx;
  const HclOps *ops;
  void *user;
  NetAddr addr;
  h2o_socketpool_t *pool;
  h2o_http1client_t *client;
  uv_timer_t *timer;
  uint32_t connect_timeout_ms;
  uint32_t head_timeout_ms;
  uint32_t progress_timeout_ms;
  char *head;
  char *body;
  h2o_iovec_t bufs[2];
  h2o_socket_cb paused_read_cb;
  h2o_socket_cb head_read_cb;
  h2o_socket_cb written_cb;
  bool method_is_head;
  bool write_started;
  bool head_received;
  bool in_callback;
  bool cancelled;
  bool close_delimited;
  bool chunked;
  Fetch *fetch;
};

/* ---- End of a call ---- */

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
call_free (HclCall *call)
{
  if (call->fetch != NULL)
    {
      g_string_free (call->fetch->body, TRUE);
      g_free (call->fetch);
    }
  g_ptr_array_remove_fast (call->ctx->connected, call);
  uv_close ((uv_handle_t *) call->timer, on_timer_closed);
  g_free (call->head);
  g_free (call->body);
  g_free (call);
}

static void
call_end (HclCall *call, HclOutcome outcome)
{
  call->client = NULL;
  if (!call->cancelled)
    call->ops->on_end (call->user, call, outcome);
  call_free (call);
}

static HclOutcome
connection_failure (const HclCall *call)
{
  if (!call->write_started)
    return HCL_NOT_SENT;
  return call->head_received ? HCL_TRUNCATED : HCL_DISCONNECTED;
}

static void
on_timeout (uv_timer_t *timer)
{
  HclCall *call = timer->data;
  h2o_http1client_t *client = call->client;

  call->client = NULL;
  h2o_http1client_cancel (client);
  if (!call->write_started)
    call_end (call, HCL_NOT_SENT);
  else
    call_end (call, call->head_received ? HCL_BODY_TIMEOUT : HCL_HEAD_TIMEOUT);
}

/* ---- Callbacks of h2o's client ---- */

/* h2o reports the end of a chunked body also when the connection ends between two chunks; the last
 * read then returned no bytes. */
static bool
is_truncated (const HclCall *call, const h2o_http1client_t *client)
{
  return call->chunked && client->sock->bytes_read == 0;
}

static int
on_body (h2o_http1client_t *client, const char *errstr)
{
  HclCall *call = client->data;
  h2o_buffer_t **input = &client->sock->input;
  bool ended = errstr != NULL;
  bool complete = errstr == h2o_http1client_error_is_eos && !call->close_delimited
                  && !is_truncated (call, client);

  call->in_callback = true;
  if (!call->cancelled && (*input)->size > 0)
    call->ops->on_body (call->user, call, (*input)->bytes, (*input)->size);
  h2o_buffer_consume (input, (*input)->size);
  call->in_callback = false;
  bool too_large = call->fetch != NULL && call->fetch->too_large;
  complete = complete && !too_large;
  if (ended || call->cancelled || too_large)
    {
      call_end (call, complete ? HCL_DONE : HCL_TRUNCATED);
      return -1;
    }
  if (call->paused_read_cb == NULL)
    uv_timer_start (call->timer, on_timeout, call->progress_timeout_ms, 0);
  return 0;
}

static void
fill_head (HclHead *head, int status, h2o_header_t *headers, size_t count, HclCall *call)
{
  *head = (HclHead){ .status = status, .headers = headers, .header_count = count };
  for (size_t i = 0; i < count; i++)
    {
      if (h2o_memis (headers[i].name->base, headers[i].name->len, H2O_STRLIT ("content-length")))
        {
          head->has_length = true;
          head->content_length = h2o_strtosize (headers[i].value.base, headers[i].value.len);
        }
      if (h2o_memis (headers[i].name->base, headers[i].name->len, H2O_STRLIT ("transfer-encoding")))
        call->chunked = true;
    }
  call->close_delimited = !call->chunked && !head->has_length && status != 204 && status != 304;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *errstr, int minor_version, int status,
         h2o_iovec_t msg, h2o_header_t *headers, size_t header_count, int rlen)
{
  HclCall *call = client->data;
  HclHead head;
  (void) minor_version;
  (void) msg;
  (void) rlen;

  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      call_end (call, connection_failure (call));
      return NULL;
    }
  call->head_received = true;
  fill_head (&head, status, headers, header_count, call);
  call->in_callback = true;
  call->ops->on_head (call->user, call, &head);
  call->in_callback = false;
  if (errstr != NULL || call->cancelled)
    {
      call_end (call, call->close_delimited && !call->method_is_head ? HCL_TRUNCATED : HCL_DONE);
      return NULL;
    }
  uv_timer_start (call->timer, on_timeout, call->progress_timeout_ms, 0);
  return on_body;
}

/* ---- Check of heads before h2o parses them ---- */

/* The socket's data is h2o's client state, whose first member is its h2o_http1client_t. */
static HclCall *
call_of_socket (const h2o_socket_t *sock)
{
  return ((h2o_http1client_t *) sock->data)->data;
}

static void
on_guarded_read (h2o_socket_t *sock, const char *err)
{
  h2o_socket_cb read = call_of_socket (sock)->head_read_cb;

  if (err == NULL && !rhd_check (sock->input->bytes, sock->input->size))
    err = h2o_socket_error_closed;
  read (sock, err);
}

static void
guard_read (HclCall *call, h2o_socket_t *sock)
{
  if (call->head_received || sock->_cb.read == NULL)
    return;
  call->head_read_cb = sock->_cb.read;
  sock->_cb.read = on_guarded_read;
}

/* h2o reads the head when the request is written, or closes the connection if that fails. */
static void
on_guarded_write (h2o_socket_t *sock, const char *err)
{
  HclCall *call = call_of_socket (sock);

  call->written_cb (sock, err);
  if (err == NULL)
    guard_read (call, sock);
}

static void
on_guard_heads (uv_prepare_t *prepare)
{
  HclCtx *ctx = prepare->data;

  uv_prepare_stop (prepare);
  for (guint i = 0; i < ctx->connected->len; i++)
    {
      HclCall *call = ctx->connected->pdata[i];
      h2o_socket_t *sock = call->client->sock;
      if (sock->_cb.write != NULL)
        {
          call->written_cb = sock->_cb.write;
          sock->_cb.write = on_guarded_write;
        }
      else
        guard_read (call, sock);
    }
  g_ptr_array_set_size (ctx->connected, 0);
}

static void
set_socket_options (h2o_socket_t *sock)
{
  int one = 1;
  int fd = h2o_socket_get_fd (sock);

  net_set_user_timeout (fd, TCP_USER_TIMEOUT_MS);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *errstr, h2o_iovec_t **reqbufs, size_t *reqbufcnt,
            int *method_is_head)
{
  HclCall *call = client->data;

  if (errstr != NULL)
    {
      call_end (call, HCL_NOT_SENT);
      return NULL;
    }
  set_socket_options (client->sock);
  call->write_started = true;
  g_ptr_array_add (call->ctx->connected, call);
  uv_prepare_start (&call->ctx->guard_heads, on_guard_heads);
  *reqbufs = call->bufs;
  *reqbufcnt = call->bufs[1].len > 0 ? 2 : 1;
  *method_is_head = call->method_is_head;
  uv_timer_start (call->timer, on_timeout, call->head_timeout_ms, 0);
  return on_head;
}

/* ---- Start and control of a call ---- */

void
hcl_ctx_init (HclCtx *ctx, uv_loop_t *loop)
{
  memset (ctx, 0, sizeof *ctx);
  ctx->loop = loop;
  h2o_timeout_init (loop, &ctx->io_timeout, IO_TIMEOUT_MS);
  ctx->h2o.loop = loop;
  ctx->h2o.io_timeout = &ctx->io_timeout;
  ctx->connected = g_ptr_array_new ();
  uv_prepare_init (loop, &ctx->guard_heads);
  uv_unref ((uv_handle_t *) &ctx->guard_heads);
  ctx->guard_heads.data = ctx;
}

static HclCall *
call_new (HclCtx *ctx, const HclRequest *request, const HclOps *ops, void *user)
{
  HclCall *call = g_new0 (HclCall, 1);

  call->ctx = ctx;
  call->ops = ops;
  call->user = user;
  call->addr = request->addr;
  call->pool = request->pool;
  call->connect_timeout_ms = request->connect_timeout_ms;
  call->head_timeout_ms = request->head_timeout_ms;
  call->progress_timeout_ms = request->progress_timeout_ms;
  call->method_is_head = request->method_is_head;
  call->head = g_strdup (request->head);
  call->body = request->body_size > 0 ? g_memdup2 (request->body, request->body_size) : NULL;
  call->bufs[0] = h2o_iovec_init (call->head, strlen (call->head));
  call->bufs[1] = h2o_iovec_init (call->body, request->body_size);
  call->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (ctx->loop, call->timer);
  call->timer->data = call;
  return call;
}

/* Connects from the event loop, so that no callback runs before hcl_start() returns. */
static void
on_start (uv_timer_t *timer)
{
  HclCall *call = timer->data;
  HclCtx *ctx = call->ctx;
  char addr_text[32];

  uv_timer_start (timer, on_timeout, call->connect_timeout_ms, 0);
  if (call->pool != NULL)
    {
      h2o_http1client_connect_with_pool (&call->client, call, &ctx->h2o, call->pool, on_connect);
      return;
    }
  net_addr_text (call->addr, addr_text);
  *strrchr (addr_text, ':') = '\0';
  h2o_http1client_connect (&call->client, call, &ctx->h2o,
                           h2o_iovec_init (addr_text, strlen (addr_text)), call->addr.port, 0,
                           on_connect);
}

HclCall *
hcl_start (HclCtx *ctx, const HclRequest *request, const HclOps *ops, void *user)
{
  HclCall *call = call_new (ctx, request, ops, user);

  uv_timer_start (call->timer, on_start, 0, 0);
  return call;
}

void
hcl_cancel (HclCall *call)
{
  h2o_http1client_t *client = call->client;

  call->cancelled = true;
  if (call->in_callback)
    return;
  call->client = NULL;
  if (client != NULL)
    h2o_http1client_cancel (client);
  call_free (call);
}

void
hcl_pause (HclCall *call)
{
  if (call->paused_read_cb != NULL || call->client == NULL || call->client->sock == NULL)
    return;
  call->paused_read_cb = call->client->sock->_cb.read;
  if (call->paused_read_cb == NULL)
    return;
  h2o_socket_read_stop (call->client->sock);
  uv_timer_stop (call->timer);
}

void
hcl_resume (HclCall *call)
{
  h2o_socket_cb read = call->paused_read_cb;

  if (read == NULL || call->client == NULL)
    return;
  call->paused_read_cb = NULL;
  h2o_socket_read_start (call->client->sock, read);
  uv_timer_start (call->timer, on_timeout, call->progress_timeout_ms, 0);
}

char *
hcl_header (const HclHead *head, const char *name)
{
  for (size_t i = 0; i < head->header_count; i++)
    if (h2o_memis (head->headers[i].name->base, head->headers[i].name->len, name, strlen (name)))
      return g_strndup (head->headers[i].value.base, head->headers[i].value.len);
  return NULL;
}

/* ---- Fetch ---- */

static void
fetch_on_head (void *user, HclCall *call, const HclHead *head)
{
  (void) user;
  call->fetch->status = head->status;
}

static void
fetch_on_body (void *user, HclCall *call, const char *data, size_t size)
{
  (void) user;
  Fetch *fetch = call->fetch;

  fetch->too_large = fetch->body->len + size > fetch->body_max_bytes;
  if (!fetch->too_large)
    g_string_append_len (fetch->body, data, (gssize) size);
}

static void
fetch_on_end (void *user, HclCall *call, HclOutcome outcome)
{
  Fetch *fetch = call->fetch;

  fetch->fn (user, outcome, outcome == HCL_DONE ? fetch->status : 0, fetch->body->str,
             fetch->body->len);
}

static const HclOps fetch_ops
    = { .on_head = fetch_on_head, .on_body = fetch_on_body, .on_end = fetch_on_end };

HclCall *
hcl_fetch (HclCtx *ctx, NetAddr addr, const char *method, const char *path, const char *body,
           uint32_t timeout_ms, HclFetchFn fn, void *user)
{
  char addr_text[32];
  size_t size = body != NULL ? strlen (body) : 0;
  char *head = g_strdup_printf ("%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n"
                                "content-length: %zu\r\n\r\n",
                                method, path, net_addr_text (addr, addr_text), size);
  HclRequest request = { .addr = addr,
                         .head = head,
                         .body = body,
                         .body_size = size,
                         .connect_timeout_ms = timeout_ms,
                         .head_timeout_ms = timeout_ms,
                         .progress_timeout_ms = timeout_ms };
  HclCall *call = hcl_start (ctx, &request, &fetch_ops, user);

  call->fetch = g_new0 (Fetch, 1);
  call->fetch->fn = fn;
  call->fetch->body = g_string_new (NULL);
  call->fetch->body_max_bytes = FETCH_BODY_MAX_BYTES;
  g_free (head);
  return call;
}

void
hcl_limit_fetch (HclCall *call, size_t body_max_bytes)
{
  call->fetch->body_max_bytes = body_max_bytes;
}

typedef struct
{
  bool ended;
  HclOutcome outcome;
  int status;
  char *body;
} FetchWait;

static void
on_fetch_wait (void *user, HclOutcome outcome, int status, const char *body, size_t size)
{
  FetchWait *wait = user;

  wait->ended = true;
  wait->outcome = outcome;
  wait->status = status;
  wait->body = g_strndup (body, size);
}

HclOutcome
hcl_fetch_wait (HclCtx *ctx, NetAddr addr, const char *method, const char *path, const char *body,
                uint32_t timeout_ms, int *status, char **response_body)
{
  FetchWait wait = { 0 };

  hcl_fetch (ctx, addr, method, path, body, timeout_ms, on_fetch_wait, &wait);
  while (!wait.ended)
    uv_run (ctx->loop, UV_RUN_ONCE);
  *status = wait.status;
  *response_body = wait.body;
  return wait.outcome;
}
