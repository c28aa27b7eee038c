/* Crash check: tells whether the process behind a lost connection has ended or still listens. */
#include "crs.h"

#include "lim.h"

#include <glib.h>

#define HANDLES_PER_CHECK 2

typedef struct
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  CrsFn fn;
  void *user;
  uint32_t open_handles;
  bool reported;
} Check;

static void
on_closed (uv_handle_t *handle)
{
  Check *check = handle->data;

  if (--check->open_handles == 0)
    g_free (check);
}

static void
finish (Check *check, bool crashed)
{
  if (check->reported)
    return;
  check->reported = true;
  check->fn (check->user, crashed);
  uv_close ((uv_handle_t *) &check->tcp, on_closed);
  uv_close ((uv_handle_t *) &check->timer, on_closed);
}

static void
on_connect (uv_connect_t *connect, int status)
{
  finish (connect->data, status == UV_ECONNREFUSED);
}

static void
on_timeout (uv_timer_t *timer)
{
  finish (timer->data, false);
}

void
crs_check (uv_loop_t *loop, NetAddr addr, CrsFn fn, void *user)
{
  Check *check = g_new0 (Check, 1);
  struct sockaddr_in sin = net_addr_sockaddr (addr);
  uint64_t timeout_ms = CONNECT_TIMEOUT_MS;

  check->fn = fn;
  check->user = user;
  check->open_handles = HANDLES_PER_CHECK;
  uv_tcp_init (loop, &check->tcp);
  uv_timer_init (loop, &check->timer);
  check->tcp.data = check->timer.data = check->connect.data = check;
  if (uv_tcp_connect (&check->connect, &check->tcp, (struct sockaddr *) &sin, on_connect) != 0)
    timeout_ms = 0;
  uv_timer_start (&check->timer, on_timeout, timeout_ms, 0);
}
