/* HTTP/1.1 client calls on the event loop, over h2o's client. */
#pragma once

#include "net.h"

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>

/**
 * typedef HclOutcome - how a call ended
 * @HCL_DONE: the whole answer arrived
 * @HCL_NOT_SENT: no byte of the request was written
 * @HCL_LOST: the connection ended before an answer's head
 * @HCL_TIMEOUT: no answer's head came in time
 * @HCL_TRUNCATED: the connection ended within the answer's body
 * @HCL_STALLED: the answer's body stopped coming
 */
typedef enum
{
  HCL_DONE,
  HCL_NOT_SENT,
  HCL_LOST,
  HCL_TIMEOUT,
  HCL_TRUNCATED,
  HCL_STALLED,
} HclOutcome;

typedef struct _HclCall HclCall;

/** struct HclCtx - what calls on one loop share */
typedef struct
{
  uv_loop_t *loop;
  h2o_timeout_t io_timeout;
  h2o_http1client_ctx_t h2o;
} HclCtx;

/** struct HclHead - an answer's status and headers; valid during the callback only */
typedef struct
{
  int status;
  const h2o_header_t *headers;
  size_t header_count;
  uint64_t content_length;
  bool has_length;
} HclHead;

/** struct HclOps - callbacks; @on_end comes exactly once unless the call is cancelled */
typedef struct
{
  void (*on_head) (void *user, HclCall *call, const HclHead *head);
  void (*on_body) (void *user, HclCall *call, const char *data, size_t size);
  void (*on_end) (void *user, HclCall *call, HclOutcome outcome);
} HclOps;

/**
 * struct HclSpec - one request
 * @pool: idle connections that may be reused, or NULL for a new connection
 * @head: request line and headers up to and including the empty line; copied
 * @body: request body; copied
 * @progress_timeout_ms: longest silence within the answer's body
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
} HclSpec;

void hcl_ctx_init (HclCtx *ctx, uv_loop_t *loop);

HclCall *hcl_start (HclCtx *ctx, const HclSpec *spec, const HclOps *ops, void *user);

/** hcl_cancel() - ends the call and its connection; no further callback comes. */
void hcl_cancel (HclCall *call);

/** hcl_pause() - stops reading the answer's body; the progress timeout stands still. */
void hcl_pause (HclCall *call);
void hcl_resume (HclCall *call);

/** hcl_header() - value of a header by lower-case name, as a new string or NULL. */
char *hcl_header (const HclHead *head, const char *name);

/**
 * typedef HclFetchFn - end of a hcl_fetch()
 * @status: the answer's status, 0 unless @outcome is HCL_DONE
 * @body: NUL-terminated answer, valid during the call only
 */
typedef void (*HclFetchFn) (void *user, HclOutcome outcome, int status, const char *body,
                            size_t size);

/** hcl_fetch() - one call on a new connection whose answer is collected; cancel by hcl_cancel. */
HclCall *hcl_fetch (HclCtx *ctx, NetAddr addr, const char *method, const char *path,
                    const char *body, uint32_t timeout_ms, HclFetchFn fn, void *user);

/** hcl_fetch_wait() - hcl_fetch() that runs the loop until the end; @body is a new string. */
HclOutcome hcl_fetch_wait (HclCtx *ctx, NetAddr addr, const char *method, const char *path,
                           const char *body, uint32_t timeout_ms, int *status, char **answer);
