/* Read limits: bounds the memory of the requests that a server's connections are receiving. */
#include "rdl.h"

#include "lim.h"

/**
 * struct RdlConn - a connection
 * @paused_read: h2o's read callback while reading is paused, else NULL
 */
typedef struct
{
  Rdl *rdl;
  h2o_socket_t *sock;
  h2o_socket_cb paused_read;
} RdlConn;

void
rdl_init (Rdl *rdl)
{
  rdl->conns = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
}

static void
on_socket_closed (void *data)
{
  RdlConn *conn = data;

  g_hash_table_remove (conn->rdl->conns, conn->sock);
}

void
rdl_add (Rdl *rdl, h2o_socket_t *sock)
{
  RdlConn *conn = g_new (RdlConn, 1);

  *conn = (RdlConn){ .rdl = rdl, .sock = sock };
  sock->on_close.cb = on_socket_closed;
  sock->on_close.data = conn;
  g_hash_table_insert (rdl->conns, sock, conn);
}

static void
set_paused (RdlConn *conn, bool paused)
{
  if (paused && conn->paused_read == NULL && conn->sock->_cb.read != NULL)
    {
      conn->paused_read = conn->sock->_cb.read;
      h2o_socket_read_stop (conn->sock);
    }
  else if (!paused && conn->paused_read != NULL)
    {
      h2o_socket_cb read = conn->paused_read;
      conn->paused_read = NULL;
      h2o_socket_read_start (conn->sock, read);
    }
}

/** struct Received - sums over the larger requests; @largest: of those not handled yet, or NULL */
typedef struct
{
  uint64_t handled_bytes;
  uint64_t reading_bytes;
  RdlConn *largest;
} Received;

static bool
is_large (const RdlConn *conn)
{
  return conn->sock->input->size > RDL_SMALL_BYTES;
}

static Received
sum_received (const Rdl *rdl, GHashTable *handled)
{
  Received received = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rdl->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      RdlConn *conn = value;
      uint64_t size = conn->sock->input->size;
      if (!is_large (conn))
        continue;
      if (g_hash_table_contains (handled, conn->sock))
        {
          received.handled_bytes += size;
          continue;
        }
      received.reading_bytes += size;
      if (received.largest == NULL || size > received.largest->sock->input->size)
        received.largest = conn;
    }
  return received;
}

static bool
must_pause (const RdlConn *conn, const Received *received)
{
  if (!is_large (conn))
    return false;
  if (received->handled_bytes > RDL_RECEIVED_MAX_BYTES)
    return true;
  return received->handled_bytes + received->reading_bytes > RDL_RECEIVED_MAX_BYTES
         && conn != received->largest;
}

static bool
is_due (const Rdl *rdl, uint64_t now_ms)
{
  uint32_t period_ms = rdl->received_bytes > 0 ? RDL_BUSY_PERIOD_MS : RDL_IDLE_PERIOD_MS;

  return now_ms - rdl->checked_at_ms >= period_ms;
}

void
rdl_check (Rdl *rdl, GHashTable *handled, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  if (!is_due (rdl, now_ms))
    return;
  Received received = sum_received (rdl, handled);
  uint64_t previous_bytes = rdl->received_bytes;
  rdl->checked_at_ms = now_ms;
  rdl->received_bytes = received.handled_bytes + received.reading_bytes;
  if (rdl->received_bytes == 0 && previous_bytes == 0)
    return;
  g_hash_table_iter_init (&iter, rdl->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      RdlConn *conn = value;
      if (!g_hash_table_contains (handled, conn->sock))
        set_paused (conn, must_pause (conn, &received));
    }
}
