/* Read limits: reads requests from a server's connections within the process's memory budget. */
#include "rdl.h"

#include "lim.h"

#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define STATUS_TIMED_OUT 408
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431
#define STATUS_UNAVAILABLE 503
#define REJECTION_MAX_BYTES 256

/**
 * struct Framing - how a request's body is delimited
 * @head_bytes: size of the head, 0 while it isn't complete
 */
typedef struct
{
  size_t head_bytes;
  uint64_t body_bytes;
  bool is_chunked;
} Framing;

/**
 * struct RdlConn - a connection
 * @reading_link: in &Rdl.reading
 * @is_reading: a request is expected or being received
 * @is_paused: it waits for the budget
 * @is_head_checked: &Rdl.head_fn has decided on the request being received
 * @discarding_link: in &Rdl.discarding, with the connection as data while it is there
 * @discarded_bytes: bytes received since the request was rejected
 * @discard_until_ms: when the connection is closed after the rejection
 * @counted_bytes: written bytes that are counted as traffic
 * @h2o_write: h2o's callback for the end of a write, while on_guarded_write() stands in for it
 */
typedef struct RdlConn
{
  MbgClaim claim; /* first, as claims are cast to their connections */
  Rdl *rdl;
  h2o_socket_t *sock;
  uv_stream_t *stream;
  GList reading_link;
  Framing framing;
  bool is_reading;
  bool is_paused;
  bool is_head_checked;
  GList discarding_link;
  size_t discarded_bytes;
  uint64_t discard_until_ms;
  size_t counted_bytes;
  h2o_socket_cb h2o_write;
} RdlConn;

static void on_guarded_read (h2o_socket_t *sock, const char *err);
static void guard (RdlConn *conn);
static void resume_waiting (Mbg *mbg, uint64_t now_ms);

/* ---- Sockets ---- */

static void
set_buffer (h2o_socket_t *sock, int option, int bytes)
{
  setsockopt (h2o_socket_get_fd (sock), SOL_SOCKET, option, &bytes, sizeof bytes);
}

bool
rdl_has_room (const h2o_socket_t *sock)
{
  const h2o_buffer_t *input = sock->input;

  if (input->bytes == NULL)
    return true;
  size_t used = (size_t) (input->bytes - input->_buf) + input->size;
  return used + HSV_READ_MIN_BYTES <= input->capacity;
}

RdlUnsent
rdl_unsent (const h2o_socket_t *sock)
{
  const RdlConn *conn = sock->on_close.data;
  int fd = h2o_socket_get_fd ((h2o_socket_t *) sock);
  int kernel_bytes = 0;
  bool is_known = ioctl (fd, SIOCOUTQ, &kernel_bytes) == 0;

  return (RdlUnsent){ .process_bytes = uv_stream_get_write_queue_size (conn->stream),
                      .kernel_bytes = (size_t) kernel_bytes,
                      .is_kernel_known = is_known };
}

bool
rdl_accepts_writes (const h2o_socket_t *sock)
{
  const RdlConn *conn = sock->on_close.data;

  return conn == NULL || uv_is_writable (conn->stream);
}

/* Replaces the input buffer by one of @capacity bytes, or by none if that is 0. */
static void
replace_input (h2o_socket_t *sock, size_t capacity)
{
  h2o_buffer_t *input = sock->input;
  h2o_buffer_t *replacement;

  h2o_buffer_init (&replacement, input->_prototype);
  if (capacity > 0)
    {
      h2o_buffer_reserve (&replacement, capacity);
      memcpy (replacement->bytes, input->bytes, input->size);
      replacement->size = input->size;
    }
  h2o_buffer_dispose (&sock->input);
  sock->input = replacement;
}

/* Moves the request to a buffer of its final size. The kernel provides memory only for what is
 * received, whereas h2o's doubling would copy the request several times. */
static void
enlarge_input (h2o_socket_t *sock, size_t bytes)
{
  if (sock->input->bytes != NULL && sock->input->capacity < bytes)
    replace_input (sock, bytes);
}

/* h2o keeps the buffer of an answered request while it holds bytes of the next one. */
static void
shrink_input (h2o_socket_t *sock)
{
  const h2o_buffer_t *input = sock->input;

  if (input->bytes != NULL && input->capacity > MBG_SPARE_BYTES
      && input->capacity > 2 * input->size)
    replace_input (sock, input->size);
}

/* ---- Connections ---- */

static void
set_reading (RdlConn *conn, bool is_reading)
{
  if (conn->is_reading)
    g_queue_unlink (&conn->rdl->reading, &conn->reading_link);
  conn->is_reading = is_reading;
  if (is_reading)
    g_queue_push_tail_link (&conn->rdl->reading, &conn->reading_link);
}

static void
on_socket_closed (void *data)
{
  RdlConn *conn = data;
  Rdl *rdl = conn->rdl;
  Mbg *mbg = rdl->mbg;

  if (rdl->current == conn)
    rdl->current = NULL;
  set_reading (conn, false);
  if (conn->discarding_link.data != NULL)
    g_queue_unlink (&rdl->discarding, &conn->discarding_link);
  while (g_ptr_array_remove_fast (rdl->answered, conn->sock))
    continue;
  mbg_release (mbg, &conn->claim);
  if (rdl->role == RDL_CALLERS)
    mbg->connections--;
  g_hash_table_remove (rdl->conns, conn->sock);
  resume_waiting (mbg, uv_now (rdl->loop));
}

static void
send_rejection (const RdlConn *conn, int status)
{
  bool is_retryable = status == STATUS_UNAVAILABLE || status == STATUS_TIMED_OUT;
  char text[REJECTION_MAX_BYTES];
  int size
      = g_snprintf (text, sizeof text,
                    "HTTP/1.1 %d Refused\r\nconnection: close\r\n%s%scontent-length: 0\r\n\r\n",
                    status, is_retryable ? conn->rdl->retry_header : "", conn->rdl->common_header);

  (void) !send (h2o_socket_get_fd (conn->sock), text, (size_t) size, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* h2o closes a connection whose read fails. The response may be lost if the caller is sending; with
 * @status 0, none is sent. */
static void
close_conn (RdlConn *conn, int status)
{
  if (status != 0)
    send_rejection (conn, status);
  conn->rdl->h2o_read (conn->sock, h2o_socket_error_closed);
}

/* ---- Framing ---- */

static bool
has_name (const char *line, size_t size, const char *name)
{
  return size > strlen (name) && g_ascii_strncasecmp (line, name, strlen (name)) == 0;
}

/* Finds the end of the head, and what it says of the body. h2o has the last word on both: what is
 * read wrongly here costs only memory. */
static Framing
read_framing (const char *bytes, size_t size)
{
  Framing framing = { 0 };
  size_t at = 0;

  while (at < size)
    {
      const char *line = bytes + at;
      const char *end = memchr (line, '\n', size - at);
      if (end == NULL)
        return (Framing){ 0 };
      size_t line_size = (size_t) (end - line);
      at += line_size + 1;
      if (line_size == 0 || (line_size == 1 && line[0] == '\r'))
        {
          framing.head_bytes = at;
          return framing;
        }
      if (has_name (line, line_size, "content-length:"))
        framing.body_bytes = g_ascii_strtoull (line + strlen ("content-length:"), NULL, 10);
      else if (has_name (line, line_size, "transfer-encoding:"))
        framing.is_chunked = true;
    }
  return (Framing){ 0 };
}

/* ---- Requests rejected before their bodies ---- */

static void
on_discarded_read (h2o_socket_t *sock, const char *err)
{
  RdlConn *conn = sock->on_close.data;

  if (err != NULL)
    {
      conn->rdl->h2o_read (sock, err);
      return;
    }
  rdl_count_read (conn->rdl, sock);
  conn->discarded_bytes += sock->input->size;
  h2o_buffer_consume (&sock->input, sock->input->size);
  if (conn->discarded_bytes >= RDL_DISCARD_MAX_BYTES)
    h2o_socket_read_stop (sock);
}

/* Sends the response, then reads and discards data up to a limit of time and size: the kernel
 * resets a connection closed with unread data, and the caller might lose the response. */
static void
reject_unread (RdlConn *conn, const char *response)
{
  Rdl *rdl = conn->rdl;
  int fd = h2o_socket_get_fd (conn->sock);

  (void) !send (fd, response, strlen (response), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown (fd, SHUT_WR);
  set_reading (conn, false);
  mbg_release (rdl->mbg, &conn->claim);
  conn->discarding_link.data = conn;
  conn->discard_until_ms = uv_now (rdl->loop) + RDL_DISCARD_MAX_MS;
  g_queue_push_tail_link (&rdl->discarding, &conn->discarding_link);
  h2o_buffer_consume (&conn->sock->input, conn->sock->input->size);
  h2o_socket_read_start (conn->sock, on_discarded_read);
}

/* Return: false when the request is rejected. */
static bool
check_head (RdlConn *conn)
{
  Rdl *rdl = conn->rdl;
  const h2o_buffer_t *input = conn->sock->input;
  char *response = NULL;

  if (rdl->head_fn == NULL || conn->is_head_checked || input->size == 0)
    return true;
  RdlVerdict verdict = rdl->head_fn (rdl->head_user, input->bytes, input->size, &response);
  conn->is_head_checked = verdict != RDL_UNDECIDED;
  if (verdict == RDL_REJECT)
    reject_unread (conn, response);
  g_free (response);
  return verdict != RDL_REJECT;
}

void
rdl_set_head_check (Rdl *rdl, RdlHeadFn fn, void *user)
{
  rdl->head_fn = fn;
  rdl->head_user = user;
}

/* ---- Budget ---- */

static bool
is_head_over_limit (const RdlConn *conn)
{
  return conn->framing.head_bytes == 0 && conn->sock->input->size > MBG_HEAD_MAX_BYTES;
}

static uint32_t
copies (const RdlConn *conn)
{
  return conn->rdl->mbg->limits.copies;
}

/* Requests up to this size, with their copies, are covered by the memory of their connection. */
static size_t
unclaimed_bytes (const RdlConn *conn)
{
  return MBG_FREE_BYTES / copies (conn);
}

/* Memory that the request takes in the end, as far as it is known. A chunked body takes a small
 * part first, then as much as the largest one. */
static uint64_t
needed_bytes (const RdlConn *conn)
{
  const Framing *framing = &conn->framing;
  size_t size = conn->sock->input->size;
  uint64_t max_bytes = conn->rdl->body_max_bytes + MBG_HEAD_MAX_BYTES + MBG_SPARE_BYTES;

  if (framing->head_bytes == 0)
    return (uint64_t) copies (conn) * (MBG_HEAD_MAX_BYTES + MBG_SPARE_BYTES);
  if (framing->is_chunked)
    return size <= MBG_SMALL_BYTES / 2 / copies (conn) ? MBG_SMALL_BYTES
                                                       : copies (conn) * max_bytes;
  return copies (conn)
         * MIN (framing->head_bytes + framing->body_bytes + MBG_SPARE_BYTES, max_bytes);
}

static void
pause_conn (RdlConn *conn)
{
  conn->is_paused = true;
  h2o_socket_read_stop (conn->sock);
  if (conn->rdl->mbg->limits.bounded)
    set_buffer (conn->sock, SO_RCVBUF, RDL_WAITING_RECEIVE_BUFFER_BYTES);
}

/* Reads on with what the claim has been granted. */
static void
use_grant (RdlConn *conn)
{
  bool is_large = conn->claim.bytes > MBG_SMALL_BYTES;

  enlarge_input (conn->sock, conn->claim.bytes / copies (conn));
  if (conn->rdl->mbg->limits.bounded && (is_large || conn->is_paused))
    set_buffer (conn->sock, SO_RCVBUF,
                is_large ? RDL_LARGE_RECEIVE_BUFFER_BYTES : RDL_RECEIVE_BUFFER_BYTES);
  if (conn->is_paused)
    h2o_socket_read_start (conn->sock, on_guarded_read);
  conn->is_paused = false;
}

static void
resume_waiting (Mbg *mbg, uint64_t now_ms)
{
  MbgClaim *claim;

  while ((claim = mbg_next (mbg, now_ms)) != NULL)
    use_grant ((RdlConn *) claim);
}

/* Return: whether the request was rejected because its head or its announced body is too large. */
static bool
reject_over_limit (RdlConn *conn)
{
  MbgCounters *counters = &conn->rdl->mbg->counters;

  if (is_head_over_limit (conn))
    {
      counters->heads_over_limit++;
      close_conn (conn, STATUS_HEAD_TOO_LARGE);
      return true;
    }
  if (conn->framing.is_chunked || conn->framing.body_bytes <= conn->rdl->body_max_bytes)
    return false;
  counters->bodies_over_limit++;
  close_conn (conn, STATUS_BODY_TOO_LARGE);
  return true;
}

/* Claims the memory that the request being received needs. */
static void
check_request (RdlConn *conn)
{
  size_t size = conn->sock->input->size;
  uint64_t now_ms = uv_now (conn->rdl->loop);

  if (size < unclaimed_bytes (conn))
    return;
  if (conn->framing.head_bytes == 0)
    conn->framing = read_framing (conn->sock->input->bytes, size);
  if (reject_over_limit (conn))
    return;
  mbg_progress (&conn->claim, size, now_ms);
  uint64_t granted_bytes = conn->claim.bytes;
  switch (mbg_take (conn->rdl->mbg, &conn->claim, needed_bytes (conn), now_ms))
    {
    case MBG_TAKE:
      if (conn->claim.bytes > granted_bytes)
        use_grant (conn);
      return;
    case MBG_WAIT:
      pause_conn (conn);
      return;
    case MBG_REJECT:
      close_conn (conn, STATUS_UNAVAILABLE);
      return;
    }
}

/* The request is received, or h2o rejects it. */
static void
on_request_received (RdlConn *conn)
{
  size_t size = conn->sock->input->size;

  set_reading (conn, false);
  if (size <= unclaimed_bytes (conn) && conn->claim.bytes == 0)
    return;
  mbg_complete (conn->rdl->mbg, &conn->claim, copies (conn) * (size + MBG_SPARE_BYTES));
  resume_waiting (conn->rdl->mbg, uv_now (conn->rdl->loop));
}

/* Return: false when h2o has closed the connection, which frees @conn. */
static bool
call_h2o (RdlConn *conn, h2o_socket_cb callback, const char *err)
{
  Rdl *rdl = conn->rdl;

  rdl->current = conn;
  callback (conn->sock, err);
  bool is_open = rdl->current != NULL;
  rdl->current = NULL;
  return is_open;
}

/* After "100 Continue" is written, h2o reads the body with its own callback. */
static void
on_guarded_write (h2o_socket_t *sock, const char *err)
{
  RdlConn *conn = sock->on_close.data;

  if (call_h2o (conn, conn->h2o_write, err))
    guard (conn);
}

static void
guard_write (RdlConn *conn)
{
  h2o_socket_t *sock = conn->sock;

  if (sock->_cb.write == NULL || sock->_cb.write == on_guarded_write)
    return;
  conn->h2o_write = sock->_cb.write;
  sock->_cb.write = on_guarded_write;
}

static void
on_guarded_read (h2o_socket_t *sock, const char *err)
{
  RdlConn *conn = sock->on_close.data;
  Rdl *rdl = conn->rdl;

  if (err != NULL)
    {
      rdl->h2o_read (sock, err);
      return;
    }
  rdl_count_read (rdl, sock);
  set_reading (conn, true);
  if (!check_head (conn) || !call_h2o (conn, rdl->h2o_read, NULL))
    return;
  if (sock->_cb.read == on_guarded_read)
    check_request (conn);
  else
    {
      guard_write (conn);
      on_request_received (conn);
    }
}

/* ---- Start and end of requests ---- */

static void
guard (RdlConn *conn)
{
  if (conn->sock->_cb.read != conn->rdl->h2o_read)
    {
      guard_write (conn);
      return;
    }
  conn->sock->_cb.read = on_guarded_read;
  shrink_input (conn->sock);
  conn->framing = (Framing){ 0 };
  conn->claim.is_complete = false;
  conn->is_head_checked = false;
  set_reading (conn, true);
  if (check_head (conn))
    check_request (conn);
}

/* h2o already handles a pipelined request that arrived whole, in the buffer of the answered one.
 * That buffer can't be replaced until the response, so its capacity is counted. */
static void
claim_kept_input (RdlConn *conn)
{
  const h2o_buffer_t *input = conn->sock->input;

  if (conn->sock->_cb.read != conn->rdl->h2o_read && input->bytes != NULL
      && input->capacity > MBG_SPARE_BYTES)
    mbg_complete (conn->rdl->mbg, &conn->claim,
                  input->capacity + (copies (conn) - 1) * input->size);
}

/* h2o reads the next request of a connection after it has freed the one before. */
static void
on_restart (uv_prepare_t *prepare)
{
  Rdl *rdl = prepare->data;

  uv_prepare_stop (prepare);
  while (rdl->answered->len > 0)
    {
      h2o_socket_t *sock = g_ptr_array_remove_index_fast (rdl->answered, rdl->answered->len - 1);
      claim_kept_input (sock->on_close.data);
      guard (sock->on_close.data);
    }
}

void
rdl_count_read (Rdl *rdl, const h2o_socket_t *sock)
{
  trf_add_received (rdl->traffic, sock->bytes_read);
}

static void
count_written (RdlConn *conn)
{
  trf_add_sent (conn->rdl->traffic, conn->sock->bytes_written - conn->counted_bytes);
  conn->counted_bytes = conn->sock->bytes_written;
}

void
rdl_answered (Rdl *rdl, h2o_socket_t *sock)
{
  RdlConn *conn = rdl->mbg != NULL ? g_hash_table_lookup (rdl->conns, sock) : NULL;

  if (conn == NULL)
    return;
  count_written (conn);
  mbg_release (rdl->mbg, &conn->claim);
  resume_waiting (rdl->mbg, uv_now (rdl->loop));
  g_ptr_array_add (rdl->answered, sock);
  uv_prepare_start (&rdl->restart, on_restart);
}

void
rdl_init (Rdl *rdl, uv_loop_t *loop)
{
  rdl->loop = loop;
  rdl->retry_header = "retry-after: 0.5\r\n";
  rdl->common_header = "";
  rdl->conns = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  rdl->answered = g_ptr_array_new ();
  uv_prepare_init (loop, &rdl->restart);
  rdl->restart.data = rdl;
  uv_unref ((uv_handle_t *) &rdl->restart);
}

void
rdl_set_budget (Rdl *rdl, Mbg *mbg, RdlRole role)
{
  const uint32_t connections_max[] = {
    [RDL_CALLERS] = mbg->limits.callers,
    [RDL_PROBES] = MAX (mbg->limits.callers / MBG_PROBES_DIVISOR, 1),
    [RDL_NODES] = UINT32_MAX,
  };

  rdl->mbg = mbg;
  rdl->role = role;
  rdl->connections_max = connections_max[role];
}

void
rdl_add (Rdl *rdl, h2o_socket_t *sock, uv_stream_t *stream)
{
  if (rdl->mbg == NULL)
    return;
  RdlConn *conn = g_new0 (RdlConn, 1);
  conn->claim.is_relayed = rdl->role == RDL_NODES;
  conn->rdl = rdl;
  conn->sock = sock;
  conn->stream = stream;
  conn->reading_link.data = conn;
  sock->on_close.cb = on_socket_closed;
  sock->on_close.data = conn;
  g_hash_table_insert (rdl->conns, sock, conn);
  rdl->h2o_read = sock->_cb.read;
  if (rdl->role == RDL_CALLERS)
    rdl->mbg->connections++;
  if (rdl->role != RDL_NODES && rdl->mbg->limits.bounded)
    {
      set_buffer (sock, SO_RCVBUF, RDL_RECEIVE_BUFFER_BYTES);
      set_buffer (sock, SO_SNDBUF, RDL_SEND_BUFFER_BYTES);
    }
  guard (conn);
}

/* ---- Connections to close ---- */

static RdlConn *
oldest_discarding (Rdl *rdl)
{
  return rdl->discarding.head != NULL ? rdl->discarding.head->data : NULL;
}

/* Waiting requests have their own limit; one with unread bytes may be a request just sent. */
static bool
may_close (const RdlConn *conn)
{
  int unread = 0;

  return !conn->is_paused
         && (ioctl (h2o_socket_get_fd (conn->sock), FIONREAD, &unread) != 0 || unread == 0);
}

static RdlConn *
longest_idle (Rdl *rdl)
{
  for (GList *item = rdl->reading.head; item != NULL; item = item->next)
    if (may_close (item->data))
      return item->data;
  return NULL;
}

bool
rdl_admit (Rdl *rdl)
{
  if (rdl->mbg == NULL)
    return true;
  while (g_hash_table_size (rdl->conns) >= rdl->connections_max)
    {
      RdlConn *conn = oldest_discarding (rdl);
      if (conn == NULL)
        conn = longest_idle (rdl);
      if (conn == NULL)
        {
          rdl->mbg->counters.connections_refused++;
          return false;
        }
      rdl->mbg->counters.connections_closed++;
      close_conn (conn, 0);
    }
  return true;
}

void
rdl_tick (Rdl *rdl)
{
  MbgClaim *claim;
  RdlConn *discarding;

  if (rdl->mbg == NULL)
    return;
  while ((discarding = oldest_discarding (rdl)) != NULL
         && uv_now (rdl->loop) >= discarding->discard_until_ms)
    close_conn (discarding, 0);
  resume_waiting (rdl->mbg, uv_now (rdl->loop));
  while ((claim = mbg_victim (rdl->mbg, uv_now (rdl->loop))) != NULL)
    {
      RdlConn *conn = (RdlConn *) claim;
      rdl->mbg->counters.stalled++;
      close_conn (conn, conn->is_paused ? STATUS_UNAVAILABLE : STATUS_TIMED_OUT);
    }
}
