/* Responses of upstreams, streamed to callers while they are received. */
#include "rsp.h"

#include <stdlib.h>
#include <string.h>

#define CONTENT_RANGE_PREFIX "bytes "

/* ---- Memory budget ---- */

static void
count_buffered (Req *req)
{
  uint32_t bytes = req->pending_body->len + req->sending_body->len;

  if (!req->entry->has_budget)
    return;
  mbg_add_unread (&req->entry->memory, (int64_t) bytes - req->counted_bytes);
  req->counted_bytes = bytes;
}

/* A response with nothing buffered continues even without room, as its caller reads it. */
static bool
may_buffer_more (Req *req)
{
  if (req->pending_body->len >= STREAM_BUFFER_MAX_BYTES)
    return false;
  return !req->entry->has_budget || req->counted_bytes == 0
         || mbg_want_response_room (&req->entry->memory, 0, uv_now (req->entry->loop));
}

static void
free_sent (Req *req)
{
  if (!req->entry->has_budget)
    return;
  g_byte_array_unref (req->sending_body);
  req->sending_body = g_byte_array_new ();
  count_buffered (req);
}

/* ---- Sending ---- */

void
rsp_add (Req *req, HclCall *call, const char *data, size_t size)
{
  g_byte_array_append (req->pending_body, (const guint8 *) data, (guint) size);
  rsp_flush (req);
  count_buffered (req);
  if (!may_buffer_more (req))
    hcl_pause (call);
}

/* The end of a close-delimited response is sent alone, once the kernel has the rest of it. */
static h2o_send_state_t
next_state (const Req *req)
{
  if (req->response_failed)
    return H2O_SEND_STATE_ERROR;
  if (!req->upstream_response_complete || (req->close_delimited && req->sending_body->len > 0))
    return H2O_SEND_STATE_IN_PROGRESS;
  return H2O_SEND_STATE_FINAL;
}

static void
take_pending (Req *req)
{
  GByteArray *sent = req->sending_body;

  req->sending_body = req->pending_body;
  req->pending_body = sent;
  g_byte_array_set_size (req->pending_body, 0);
}

void
rsp_flush (Req *req)
{
  h2o_iovec_t data;

  if (req->h2o == NULL || req->sending || req->response_ended)
    return;
  if (req->pending_body->len == 0 && !req->upstream_response_complete && !req->response_failed)
    return;
  take_pending (req);
  data = h2o_iovec_init (req->sending_body->data, req->sending_body->len);
  req->sending = true;
  if (req->entry->has_budget)
    hsv_begin_write (req->h2o, &req->write);
  h2o_send_state_t state = next_state (req);
  if (state != H2O_SEND_STATE_IN_PROGRESS)
    rqs_end_response (req);
  if (state == H2O_SEND_STATE_FINAL && req->close_delimited)
    wrt_set_reset_on_close (req->h2o, false);
  h2o_send (req->h2o, &data, data.len > 0 ? 1 : 0, state);
}

void
rsp_flush_or_free (Req *req)
{
  if (req->h2o != NULL)
    rsp_flush (req);
  else
    rqs_free_if_done (req);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *h2o)
{
  Req *req = (Req *) generator;
  (void) h2o;

  req->sending = false;
  wrt_end (&req->write);
  free_sent (req);
  if (req->call != NULL && may_buffer_more (req))
    hcl_resume (req->call);
  rsp_flush (req);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *h2o)
{
  (void) generator;
  (void) h2o;
}

/* Headers that the entry sets itself, and those that concern only its connection to the upstream.
 */
static bool
is_excluded_header (const h2o_header_t *header)
{
  static const char *const names[]
      = { "connection", "content-length",     "transfer-encoding", "keep-alive", "date",
          "server",     "x-upstream-leaving", "x-request-not-run", NULL };

  for (uint32_t i = 0; names[i] != NULL; i++)
    if (h2o_memis (header->name->base, header->name->len, names[i], strlen (names[i])))
      return true;
  return false;
}

void
rsp_start (Req *req, const HclHead *head)
{
  req->response_started = true;
  req->status = head->status;
  req->content_type = hcl_header (head, "content-type");
  req->etag = hcl_header (head, "etag");
  req->has_length = head->has_length;
  req->content_length = head->content_length;
  if (req->h2o == NULL)
    return;
  req->h2o->res.status = head->status;
  req->h2o->res.reason = "-";
  req->h2o->res.content_length = head->has_length ? head->content_length : SIZE_MAX;
  for (size_t i = 0; i < head->header_count; i++)
    if (!is_excluded_header (&head->headers[i]))
      {
        char *name = g_strndup (head->headers[i].name->base, head->headers[i].name->len);
        char *value = g_strndup (head->headers[i].value.base, head->headers[i].value.len);
        hsv_add_header (req->h2o, name, value);
        g_free (name);
        g_free (value);
      }
  hsv_add_header (req->h2o, "x-cardamom-run", "ran");
  req->close_delimited = !head->has_length && wrt_is_close_delimited (req->h2o);
  if (req->close_delimited)
    wrt_set_reset_on_close (req->h2o, true);
  req->generator = (h2o_generator_t){ on_proceed, on_stop };
  h2o_start_response (req->h2o, &req->generator);
}

bool
rsp_is_continuation (const Req *req, const HclHead *head)
{
  char *range = hcl_header (head, "content-range");
  char *etag = hcl_header (head, "etag");
  bool ok = head->status == 206 && range != NULL && etag != NULL && strcmp (etag, req->etag) == 0
            && g_str_has_prefix (range, CONTENT_RANGE_PREFIX)
            && strtoull (range + strlen (CONTENT_RANGE_PREFIX), NULL, 10) == req->received;

  g_free (range);
  g_free (etag);
  return ok;
}

bool
rsp_is_complete (const Req *req)
{
  return !req->response_failed
         && (!req->has_length || strcmp (req->method, "HEAD") == 0
             || req->received == req->content_length);
}
