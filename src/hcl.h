/* HTTP/1.1 client on a libuv event loop, built on h2o's client. */
#pragma once

#include "net.h"

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>

/**
 * typedef HclOutcome - result of a call
 * @HCL_DONE: the complete response was received
 * @HCL_NOT_SENT: the connection failed or timed out before the request was written
 * @HCL_DISCONNECTED: the connection ended before the response's head was complete
 * @HCL_HEAD_TIMEOUT: the response's head did not arrive within the head timeout
 * @HCL_TRUNCATED: the connection ended before the end of the response's body, or the body had
 * neither a Content-Length nor chunked encoding, so that its completeness is unknown
 * @HCL_BODY_TIMEOUT: no data of the response's body arrived within the progress timeout
 */
typedef enum
{
  HCL_DONE,
  HCL_NOT_SENT,
  HCL_DISCONNECTED,
  HCL_HEAD_TIMEOUT,
  HCL_TRUNCATED,
  HCL_BODY_TIMEOUT,
} HclOutcome;

/** typedef HclCall - one request and its response; freed after @on_end or hcl_cancel() */
typedef struct _HclCall HclCall;

/**
 * struct HclCtx - state that all calls on one event loop share
 * @connected: calls whose connections were made in this iteration of the loop
 * @guard_heads: runs before the next poll, and has the response heads of @connected checked from
 *   then on
 */
typedef struct
{
  uv_loop_t *loop;
  h2o_timeout_t io_timeout;
  h2o_http1client_ctx_t h2o;
  GPtrArray *connected;
  uv_prepare_t guard_heads;
} HclCtx;

/** struct HclHead - a response's status and headers; valid during the callback only */
typedef struct
{
  int status;
  const h2o_header_t *headers;
  size_t header_count;
  uint64_t content_length;
  bool has_length;
} HclHead;

/**
 * struct HclOps - callbacks of a call
 * @on_head: status and headers were received
 * @on_body: a piece of the body was received; @data is valid during the callback only
 * @on_end: the call has ended and is freed after the callback; called exactly once unless the call
 * is cancelled
 */
typedef struct
{
  void (*on_head) (void *user, HclCall *call, const HclHead *head);
  void (*on_body) (void *user, HclCall *call, const char *data, size_t size);
  void (*on_end) (void *user, HclCall *call, HclOutcome outcome);
} HclOps;

/**
 * struct HclRequest - one request
 * @pool: idle connections to reuse, or NULL to open a new connection to @addr
 * @head: request line and headers up to and including the empty line; copied
 * @body: request body; copied
 * @progress_timeout_ms: longest time without data while the response's body is received
 * @method_is_head: the request's method is HEAD: the response has no body
 */
typedef struct
{
  NetAddr addr;
  h2o_socketpool_t *pool;
  const char *head;
  const void *body;
  size_t body_size;
  uint32_t connect_timeout_ms;
  uint32_t head_timeout_ms;
  uint32_t progress_timeout_ms;
  bool method_is_head;
} HclRequest;

void hcl_ctx_init (HclCtx *ctx, uv_loop_t *loop);

/** hcl_start() - starts a call; its callbacks run from the event loop, never before the return. */
HclCall *hcl_start (HclCtx *ctx, const HclRequest *request, const HclOps *ops, void *user);

/** hcl_cancel() - aborts the call, closes its connection and frees it; no callback follows. May be
 * called from @on_head and @on_body, but not from @on_end. */
void hcl_cancel (HclCall *call);

/** hcl_pause() - stops reading the response's body and suspends the progress timeout. */
void hcl_pause (HclCall *call);
void hcl_resume (HclCall *call);

/** hcl_header() - value of the first header of a name in lower case, as a new string; NULL if
 * absent. */
char *hcl_header (const HclHead *head, const char *name);

/**
 * typedef HclFetchFn - result of hcl_fetch()
 * @status: the response's status, 0 unless @outcome is HCL_DONE
 * @body: the response's body, NUL-terminated, incomplete unless @outcome is HCL_DONE; valid during
 * the callback only
 */
typedef void (*HclFetchFn) (void *user, HclOutcome outcome, int status, const char *body,
                            size_t size);

/**
 * hcl_fetch() - sends a request on a new connection and collects the response's body
 * @body: NUL-terminated request body, or NULL
 * @timeout_ms: limit for the connection, for the response's head and for each pause in its body
 *
 * Return: the call, which hcl_cancel() aborts.
 */
HclCall *hcl_fetch (HclCtx *ctx, NetAddr addr, const char *method, const char *path,
                    const char *body, uint32_t timeout_ms, HclFetchFn fn, void *user);

/** hcl_limit_fetch() - ends the call as HCL_TRUNCATED when the body has more bytes, in place of the
 * FETCH_BODY_MAX_BYTES that hold for each fetch. */
void hcl_limit_fetch (HclCall *call, size_t body_max_bytes);

/**
 * hcl_fetch_wait() - as hcl_fetch(), but runs the event loop until the call has ended
 * @response_body: set to the response's body, a new string
 */
HclOutcome hcl_fetch_wait (HclCtx *ctx, NetAddr addr, const char *method, const char *path,
                           const char *body, uint32_t timeout_ms, int *status,
                           char **response_body);
