/* Responses of an HTTP server that are being written: ends those whose callers don't read while
 * their memory is needed, and makes an early end visible. */
#include "wrt.h"

#include "rdl.h"

#include <sys/socket.h>

#define HTTP_1_1 0x101 /* h2o_req_t.version */

static h2o_socket_t *
socket_of (const h2o_req_t *req)
{
  return req->conn->callbacks->get_socket (req->conn);
}

/* Whether the caller has received bytes since the last look, or has received all that the kernel
 * had: then this process is late, for instance because it was stopped. */
static bool
has_progress (const WrtResponse *response, const RdlUnsent *unsent)
{
  size_t bytes = unsent->process_bytes + unsent->kernel_bytes;

  return bytes < response->unsent_bytes || (unsent->is_kernel_known && unsent->kernel_bytes == 0);
}

static uint64_t
idle_ms (WrtResponse *response, uint64_t now_ms)
{
  RdlUnsent unsent = rdl_unsent (socket_of (response->req));

  if (has_progress (response, &unsent))
    {
      response->unsent_bytes = unsent.process_bytes + unsent.kernel_bytes;
      response->progress_at_ms = now_ms;
    }
  return now_ms - response->progress_at_ms;
}

void
wrt_begin (Wrt *wrt, h2o_req_t *req, WrtResponse *response)
{
  *response = (WrtResponse){
    .wrt = wrt, .req = req, .link = { .data = response }, .unsent_bytes = SIZE_MAX
  };
  g_queue_push_tail_link (&wrt->responses, &response->link);
}

void
wrt_end (WrtResponse *response)
{
  if (response->wrt == NULL)
    return;
  g_queue_unlink (&response->wrt->responses, &response->link);
  response->wrt = NULL;
}

void
wrt_close_unread (Wrt *wrt, Mbg *mbg, uint64_t now_ms)
{
  GList *next;

  for (GList *item = wrt->responses.head; item != NULL; item = next)
    {
      WrtResponse *response = item->data;
      next = item->next;
      if (!mbg_must_close_unread (mbg, idle_ms (response, now_ms), now_ms))
        continue;
      mbg->counters.unread_closed++;
      wrt_fail (response->req);
    }
}

/* A shutdown of the socket would end the connection in order. */
void
wrt_fail (h2o_req_t *req)
{
  h2o_socket_t *sock = socket_of (req);
  h2o_socket_cb on_written = sock->_cb.write;

  if (on_written == NULL)
    return;
  req->http1_is_persistent = 0; /* else h2o waits for a next request, also after an error */
  sock->_cb.write = NULL;
  on_written (sock, h2o_socket_error_io);
}

bool
wrt_is_close_delimited (const h2o_req_t *req)
{
  return req->version < HTTP_1_1;
}

void
wrt_set_reset_on_close (h2o_req_t *req, bool enabled)
{
  struct linger linger = { .l_onoff = enabled, .l_linger = 0 };

  setsockopt (h2o_socket_get_fd (socket_of (req)), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}
