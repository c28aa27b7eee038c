/* Upstream connections: one HTTP exchange at a time on connections that are kept for reuse. */
#pragma once

#include "net.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/**
 * typedef UcnOutcome - how an exchange ended
 * @UCN_DONE: the whole answer arrived
 * @UCN_NOT_SENT: no connection could be made, so no byte of the request was written
 * @UCN_WITHDRAWN: when the connection was there, the request was no longer to be sent
 * @UCN_LOST: the connection ended before an answer's head
 * @UCN_TRUNCATED: the connection ended within the answer
 * @UCN_GARBLED: the bytes received are no answer
 */
typedef enum
{
  UCN_DONE,
  UCN_NOT_SENT,
  UCN_WITHDRAWN,
  UCN_LOST,
  UCN_TRUNCATED,
  UCN_GARBLED,
} UcnOutcome;

typedef struct
{
  char *name;
  char *value;
} UcnHeader;

/**
 * struct UcnAnswer - an answer; valid during the callback only
 * @until_close: it had no length and ended with its connection, so nothing proves that it is whole
 */
typedef struct
{
  int status;
  bool until_close;
  GPtrArray *headers;
  GByteArray *body;
} UcnAnswer;

typedef void (*UcnDoneFn) (void *user, UcnOutcome outcome, const UcnAnswer *answer);

/** struct UcnCtx - what all connections of a loop share; @buffered_bytes: bodies being collected */
typedef struct
{
  uv_loop_t *loop;
  char *buffer;
  uint64_t opened;
  uint64_t reused;
  uint64_t buffered_bytes;
} UcnCtx;

/**
 * struct UcnPool - connections to one address
 * @idle_max_ms: a connection idle for longer is not used again
 * @connect_ms: shortest time in which a connection was made, UINT32_MAX before the first
 */
typedef struct
{
  UcnCtx *ctx;
  NetAddr addr;
  uint32_t idle_max_ms;
  uint32_t connect_ms;
  uint32_t open;
  GQueue idle;
  GQueue busy;
} UcnPool;

typedef struct _UcnCall UcnCall;

/** typedef UcnBuildFn - a request's message at this moment; NULL: it is not to be sent */
typedef GString *(*UcnBuildFn) (void *user);

/**
 * struct UcnSpec - one request
 * @message: request line, headers and body; taken over. NULL: @build tells it
 * @build: makes the message when the connection is there, or tells by NULL that it is not to be
 * sent
 * @id_header: header in which the peer repeats @id; an answer with another id is skipped. NULL: any
 * @idle_max_ms: a kept connection that was idle for longer is not used for this request
 * @fresh: no kept connection is used, as the answer could not be told from an earlier one's
 */
typedef struct
{
  GString *message;
  UcnBuildFn build;
  const char *id_header;
  const char *id;
  bool method_is_head;
  bool fresh;
  uint32_t idle_max_ms;
  uint32_t connect_timeout_ms;
} UcnSpec;

void ucn_ctx_init (UcnCtx *ctx, uv_loop_t *loop);
void ucn_ctx_clear (UcnCtx *ctx);
void ucn_pool_init (UcnPool *pool, UcnCtx *ctx, NetAddr addr, uint32_t idle_max_ms);

/** ucn_pool_close() - closes idle connections and cuts the pool off from those in use. */
void ucn_pool_close (UcnPool *pool);

/** ucn_pool_has_kept() - a connection is kept that was not idle for longer. */
bool ucn_pool_has_kept (UcnPool *pool, uint32_t idle_max_ms);

/** ucn_start() - sends a request; @fn comes once from the loop unless the call is cancelled. */
UcnCall *ucn_start (UcnPool *pool, const UcnSpec *spec, UcnDoneFn fn, void *user);

/** ucn_cancel() - ends the exchange and its connection. */
void ucn_cancel (UcnCall *call);

/** ucn_was_sent() - bytes of the request were written to a connection. */
bool ucn_was_sent (const UcnCall *call);

/** ucn_header() - value of an answer's header or NULL; names compare without case. */
const char *ucn_header (const UcnAnswer *answer, const char *name);
