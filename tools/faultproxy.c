/* TCP proxy that injects faults: delay, closed or refused connections, data loss, a rate limit. */
#include "net.h"
#include "set.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#define CHUNK_BYTES 65536
#define FORWARD_PERIOD_MS 5

static const SetSpec settings_specs[]
    = { { "listen", SET_ADDRESS, "127.0.0.1:0", NULL, "address to listen on" },
        { "target", SET_ADDRESS, NULL, NULL, "address to connect to" },
        { "control", SET_ADDRESS, "127.0.0.1:0", NULL,
          "address for commands, one a line: ok, cut, blackhole, refuse, silent, "
          "delay MS, cutafter BYTES, limit BYTES_PER_S" },
        { NULL, SET_TEXT, NULL, NULL, NULL } };

typedef struct _Proxy Proxy;
typedef struct _Pair Pair;

/** struct Endpoint - one of the two TCP connections of a proxied pair */
typedef struct
{
  uv_tcp_t tcp;
  Pair *pair;
  bool is_target;
} Endpoint;

struct _Pair
{
  Proxy *proxy;
  Endpoint caller;
  Endpoint target;
  uv_connect_t connect;
  bool connected;
  bool closing;
  bool discards_data;
  uint32_t open_handles;
  uint64_t response_bytes;
  GPtrArray *queue;
};

struct _Proxy
{
  uv_loop_t *loop;
  NetAddr target;
  uv_tcp_t listener;
  uv_tcp_t control;
  uv_timer_t timer;
  GPtrArray *pairs;
  bool refuse_connections;
  bool discard_all;
  uint32_t delay_ms;
  int64_t truncate_after_bytes;
  uint64_t limit_bytes_per_s;
  uint64_t allowance_bytes;
};

/** struct Chunk - data queued until @forward_at_ms */
typedef struct
{
  uv_write_t write;
  bool to_target;
  uint64_t forward_at_ms;
  char *data;
  size_t size;
} Chunk;

/* ---- Pairs ---- */

static void
chunk_free (gpointer data)
{
  g_free (((Chunk *) data)->data);
  g_free (data);
}

static void
on_endpoint_closed (uv_handle_t *handle)
{
  Pair *pair = ((Endpoint *) handle)->pair;

  if (--pair->open_handles > 0)
    return;
  g_ptr_array_remove (pair->proxy->pairs, pair);
  g_ptr_array_unref (pair->queue);
  g_free (pair);
}

static void
pair_close (Pair *pair)
{
  if (pair->closing)
    return;
  pair->closing = true;
  uv_close ((uv_handle_t *) &pair->caller.tcp, on_endpoint_closed);
  uv_close ((uv_handle_t *) &pair->target.tcp, on_endpoint_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  (void) status;
  chunk_free (write);
}

static void
forward_chunk (Pair *pair, Chunk *chunk)
{
  Endpoint *to = chunk->to_target ? &pair->target : &pair->caller;
  uv_buf_t buf = uv_buf_init (chunk->data, (unsigned int) chunk->size);

  if (uv_write (&chunk->write, (uv_stream_t *) &to->tcp, &buf, 1, on_written) != 0)
    {
      chunk_free (chunk);
      pair_close (pair);
    }
}

static void
forward_due_chunks (Pair *pair)
{
  Proxy *proxy = pair->proxy;

  while (!pair->closing && pair->connected && pair->queue->len > 0)
    {
      Chunk *chunk = pair->queue->pdata[0];
      if (chunk->forward_at_ms > uv_now (proxy->loop))
        return;
      if (proxy->limit_bytes_per_s > 0 && !chunk->to_target)
        {
          if (proxy->allowance_bytes < chunk->size)
            return;
          proxy->allowance_bytes -= chunk->size;
        }
      g_ptr_array_steal_index (pair->queue, 0);
      forward_chunk (pair, chunk);
    }
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void) handle;
  (void) suggested;
  *buf = uv_buf_init (g_malloc (CHUNK_BYTES), CHUNK_BYTES);
}

/* Limits @size to the bytes left before the truncation point; true once the point is passed. */
static bool
truncate_response (Pair *pair, Endpoint *endpoint, ssize_t *size)
{
  Proxy *proxy = pair->proxy;

  if (!endpoint->is_target || proxy->truncate_after_bytes < 0)
    return false;
  pair->response_bytes += (uint64_t) *size;
  if (pair->response_bytes <= (uint64_t) proxy->truncate_after_bytes)
    return false;
  uint64_t excess_bytes = pair->response_bytes - (uint64_t) proxy->truncate_after_bytes;
  *size -= (ssize_t) MIN (excess_bytes, (uint64_t) *size);
  return true;
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
  Endpoint *endpoint = (Endpoint *) stream;
  Pair *pair = endpoint->pair;
  bool truncated = false;

  if (size < 0)
    {
      g_free (buf->base);
      if (!pair->discards_data)
        pair_close (pair);
      return;
    }
  if (pair->discards_data || pair->proxy->discard_all)
    {
      g_free (buf->base);
      return;
    }
  truncated = truncate_response (pair, endpoint, &size);
  Chunk *chunk = g_new0 (Chunk, 1);
  *chunk = (Chunk){ .to_target = !endpoint->is_target,
                    .forward_at_ms = uv_now (pair->proxy->loop) + pair->proxy->delay_ms,
                    .data = buf->base,
                    .size = (size_t) size };
  g_ptr_array_add (pair->queue, chunk);
  forward_due_chunks (pair);
  if (truncated)
    pair_close (pair);
}

static void
on_connect (uv_connect_t *connect, int status)
{
  Pair *pair = connect->data;

  if (status != 0)
    {
      pair_close (pair);
      return;
    }
  if (pair->closing)
    return;
  pair->connected = true;
  uv_read_start ((uv_stream_t *) &pair->target.tcp, on_alloc, on_read);
  forward_due_chunks (pair);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  Proxy *proxy = listener->data;
  Pair *pair = g_new0 (Pair, 1);
  struct sockaddr_in sin = net_addr_sockaddr (proxy->target);
  (void) status;

  pair->proxy = proxy;
  pair->open_handles = 2;
  pair->queue = g_ptr_array_new_with_free_func (chunk_free);
  pair->caller.pair = pair->target.pair = pair;
  pair->target.is_target = true;
  g_ptr_array_add (proxy->pairs, pair);
  uv_tcp_init (proxy->loop, &pair->caller.tcp);
  uv_tcp_init (proxy->loop, &pair->target.tcp);
  uv_accept (listener, (uv_stream_t *) &pair->caller.tcp);
  uv_tcp_nodelay (&pair->caller.tcp, 1);
  uv_tcp_nodelay (&pair->target.tcp, 1);
  if (proxy->refuse_connections)
    {
      pair_close (pair);
      return;
    }
  pair->connect.data = pair;
  uv_tcp_connect (&pair->connect, &pair->target.tcp, (struct sockaddr *) &sin, on_connect);
  uv_read_start ((uv_stream_t *) &pair->caller.tcp, on_alloc, on_read);
}

static void
on_tick (uv_timer_t *timer)
{
  Proxy *proxy = timer->data;
  uint64_t allowance_max_bytes = proxy->limit_bytes_per_s / 10 + CHUNK_BYTES;

  proxy->allowance_bytes
      = MIN (proxy->allowance_bytes + proxy->limit_bytes_per_s * FORWARD_PERIOD_MS / 1000,
             allowance_max_bytes);
  for (uint32_t i = 0; i < proxy->pairs->len; i++)
    forward_due_chunks (proxy->pairs->pdata[i]);
}

/* ---- Commands ---- */

static void
discard_data_of_open_pairs (Proxy *proxy)
{
  for (uint32_t i = 0; i < proxy->pairs->len; i++)
    ((Pair *) proxy->pairs->pdata[i])->discards_data = true;
}

static void
close_open_pairs (Proxy *proxy)
{
  for (uint32_t i = 0; i < proxy->pairs->len; i++)
    pair_close (proxy->pairs->pdata[i]);
}

static void
clear_faults (Proxy *proxy)
{
  proxy->refuse_connections = proxy->discard_all = false;
  proxy->delay_ms = 0;
  proxy->truncate_after_bytes = -1;
  proxy->limit_bytes_per_s = 0;
}

static bool
run_command (Proxy *proxy, const char *line)
{
  if (g_str_has_prefix (line, "ok"))
    clear_faults (proxy);
  else if (g_str_has_prefix (line, "cutafter "))
    proxy->truncate_after_bytes = strtoll (line + 9, NULL, 10);
  else if (g_str_has_prefix (line, "cut"))
    close_open_pairs (proxy);
  else if (g_str_has_prefix (line, "blackhole"))
    discard_data_of_open_pairs (proxy);
  else if (g_str_has_prefix (line, "refuse"))
    proxy->refuse_connections = true;
  else if (g_str_has_prefix (line, "silent"))
    proxy->discard_all = true;
  else if (g_str_has_prefix (line, "delay "))
    proxy->delay_ms = (uint32_t) strtoul (line + 6, NULL, 10);
  else if (g_str_has_prefix (line, "limit "))
    proxy->limit_bytes_per_s = strtoull (line + 6, NULL, 10);
  else
    return false;
  return true;
}

static void
on_control_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
on_command (uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
  Proxy *proxy = stream->data;
  char line[128];

  if (size < 0)
    {
      uv_close ((uv_handle_t *) stream, on_control_closed);
      g_free (buf->base);
      return;
    }
  g_strlcpy (line, buf->base, MIN ((size_t) size + 1, sizeof line));
  g_free (buf->base);
  const char *reply = run_command (proxy, line) ? "done\n" : "unknown command\n";
  uv_buf_t out = uv_buf_init ((char *) reply, (unsigned int) strlen (reply));
  uv_try_write (stream, &out, 1);
}

static void
on_control_accept (uv_stream_t *listener, int status)
{
  Proxy *proxy = listener->data;
  uv_tcp_t *tcp = g_new0 (uv_tcp_t, 1);
  (void) status;

  uv_tcp_init (proxy->loop, tcp);
  tcp->data = proxy;
  uv_accept (listener, (uv_stream_t *) tcp);
  uv_read_start ((uv_stream_t *) tcp, on_alloc, on_command);
}

static uint16_t
listen_on (Proxy *proxy, uv_tcp_t *tcp, const char *text, uv_connection_cb on_connection)
{
  struct sockaddr_in bound;
  int size = sizeof bound;
  NetAddr addr;

  net_addr_parse (text, &addr);
  struct sockaddr_in sin = net_addr_sockaddr (addr);
  uv_tcp_init (proxy->loop, tcp);
  tcp->data = proxy;
  if (uv_tcp_bind (tcp, (struct sockaddr *) &sin, 0) != 0
      || uv_listen ((uv_stream_t *) tcp, 128, on_connection) != 0)
    {
      fprintf (stderr, "cannot listen on %s\n", text);
      exit (1);
    }
  uv_tcp_getsockname (tcp, (struct sockaddr *) &bound, &size);
  return ntohs (bound.sin_port);
}

int
main (int argc, char **argv)
{
  Proxy proxy
      = { .loop = uv_default_loop (), .truncate_after_bytes = -1, .pairs = g_ptr_array_new () };
  bool check_only;
  Err err = { 0 };
  Settings *settings
      = set_load (settings_specs, "TCP proxy that injects faults.", argc, argv, &check_only, &err);

  if (settings == NULL)
    {
      fprintf (stderr, "%s", err.text);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  net_addr_parse (set_text (settings, "target"), &proxy.target);
  uint16_t port = listen_on (&proxy, &proxy.listener, set_text (settings, "listen"), on_accept);
  uint16_t control
      = listen_on (&proxy, &proxy.control, set_text (settings, "control"), on_control_accept);
  uv_timer_init (proxy.loop, &proxy.timer);
  proxy.timer.data = &proxy;
  uv_timer_start (&proxy.timer, on_tick, FORWARD_PERIOD_MS, FORWARD_PERIOD_MS);
  fprintf (stderr, "event=listening port=%u control_port=%u\n", port, control);
  return uv_run (proxy.loop, UV_RUN_DEFAULT);
}
