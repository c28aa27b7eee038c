/* Upstream connections: pools of persistent HTTP/1.1 connections, one request at a time on each. */
#pragma once

#include "mbg.h"
#include "net.h"
#include "trf.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/**
 * typedef UcnOutcome - how an exchange ended
 * @UCN_DONE: the whole response was received
 * @UCN_NOT_SENT: connecting failed or timed out, so no byte of the request was written
 * @UCN_WITHDRAWN: &UcnBuildFn returned NULL once the connection was open; no byte was written
 * @UCN_LOST: the connection ended before the response's headers were complete
 * @UCN_TRUNCATED: the connection ended within the response's body
 * @UCN_INVALID: the response is malformed or exceeds RESPONSE_MAX_BYTES or, with other responses,
 * RESPONSES_TOTAL_MAX_BYTES or the budget
 */
typedef enum
{
  UCN_DONE,
  UCN_NOT_SENT,
  UCN_WITHDRAWN,
  UCN_LOST,
  UCN_TRUNCATED,
  UCN_INVALID,
} UcnOutcome;

typedef struct
{
  char *name;
  char *value;
} UcnHeader;

/**
 * struct UcnResponse - a response; valid during the callback only
 * @close_delimited: the body had no length and ended with the connection, so it may be incomplete
 * @headers: of &UcnHeader, in the order received
 */
typedef struct
{
  int status;
  bool close_delimited;
  GPtrArray *headers;
  GByteArray *body;
} UcnResponse;

typedef void (*UcnDoneFn) (void *user, UcnOutcome outcome, const UcnResponse *response);

/**
 * struct UcnCtx - state shared by all connections of an event loop
 * @read_buffer: UCN_READ_BUFFER_BYTES, for the read in progress
 * @opened: connections opened since the start, including failed attempts
 * @reused: requests sent on an existing connection since the start
 * @buffered_bytes: total size of the response bodies in memory, those being received with their
 * announced lengths, until ucn_release_body()
 * @taken_bytes: the part of it that ucn_take_body() has passed on
 * @waiting: connections that are not read until there is room for their responses
 * @mbg: budget that limits @buffered_bytes; NULL: RESPONSES_TOTAL_MAX_BYTES
 */
typedef struct
{
  uv_loop_t *loop;
  char *read_buffer;
  uint64_t opened;
  uint64_t reused;
  uint64_t buffered_bytes;
  uint64_t taken_bytes;
  GQueue waiting;
  Mbg *mbg;
} UcnCtx;

/**
 * struct UcnPool - connections to one address
 * @idle_max_ms: connections idle for longer are closed when the pool is next used
 * @min_connect_ms: shortest time that connecting took, UINT32_MAX before the first connection
 * @connection_count: all connections, including those being opened
 * @traffic: counts the bytes of connections opened from now on; NULL: they are not counted
 * @idle: connections without a request, the most recently used first
 * @busy: connections being opened or with a request
 */
typedef struct
{
  UcnCtx *ctx;
  NetAddr addr;
  uint32_t idle_max_ms;
  uint32_t min_connect_ms;
  uint32_t connection_count;
  TrfCount *traffic;
  GQueue idle;
  GQueue busy;
} UcnPool;

typedef struct _UcnCall UcnCall;

/**
 * typedef UcnBuildFn - builds a request's message just before it is written
 *
 * Return: as &UcnSpec.message, as a new string; NULL withdraws the request.
 */
typedef GString *(*UcnBuildFn) (void *user);

/**
 * typedef UcnHeadFn - receives the head of the response to a request, before its body
 *
 * Must not cancel the call. The response may still end as UCN_TRUNCATED or UCN_INVALID.
 */
typedef void (*UcnHeadFn) (void *user, const UcnResponse *response);

/**
 * struct UcnSpec - one request
 * @message: request line, headers and, without @body, the body; ownership is transferred. NULL:
 * @build is called
 * @build: builds the message once a connection is available
 * @on_head: may be NULL
 * @body: sent after the message, not copied; the call holds a reference. May be NULL
 * @id_header: response header in which the peer repeats @id; responses with another ID are
 * discarded. NULL: responses are not checked
 * @id: request ID that the message contains
 * @new_connection: always open a connection. Needed without an ID, as a late response to an earlier
 * request on a reused connection would pass for the response to this one
 * @idle_max_ms: connections idle for longer are not used for this request
 */
typedef struct
{
  GString *message;
  UcnBuildFn build;
  UcnHeadFn on_head;
  GBytes *body;
  const char *id_header;
  const char *id;
  bool method_is_head;
  bool new_connection;
  uint32_t idle_max_ms;
  uint32_t connect_timeout_ms;
} UcnSpec;

void ucn_ctx_init (UcnCtx *ctx, uv_loop_t *loop);
void ucn_ctx_clear (UcnCtx *ctx);
void ucn_pool_init (UcnPool *pool, UcnCtx *ctx, NetAddr addr, uint32_t idle_max_ms);

/** ucn_pool_close() - closes idle connections; busy ones close when their requests end. */
void ucn_pool_close (UcnPool *pool);

/** ucn_pool_has_idle() - true if a connection has been idle for at most @idle_max_ms. */
bool ucn_pool_has_idle (UcnPool *pool, uint32_t idle_max_ms);

/**
 * ucn_start() - sends a request on an idle or a new connection
 * @spec: copied, except for the message
 * @fn: called exactly once, from the event loop, unless the call is cancelled
 *
 * Return: the call, valid until @fn returns or ucn_cancel().
 */
UcnCall *ucn_start (UcnPool *pool, const UcnSpec *spec, UcnDoneFn fn, void *user);

/** ucn_cancel() - closes the call's connection and frees the call; its callback is not called. */
void ucn_cancel (UcnCall *call);

/** ucn_was_sent() - true once the request has been passed to the socket, even if only in part. */
bool ucn_was_sent (const UcnCall *call);

/** ucn_take_body() - passes the body of the response in a callback to the caller, who reports its
 * end with ucn_release_body(); the response has an empty body then. */
GByteArray *ucn_take_body (const UcnResponse *response);

/** ucn_release_body() - frees a body taken with ucn_take_body() and makes room for others. */
void ucn_release_body (UcnCtx *ctx, GByteArray *body);

/** ucn_resume_waiting() - reads again from the connections that have waited longest, as far as
 * there is room; to be called periodically, as requests share the budget. */
void ucn_resume_waiting (UcnCtx *ctx);

/** ucn_has_room() - whether a response of @size bytes can be received at once; if not, callers that
 * don't read may lose their connections. */
bool ucn_has_room (const UcnCtx *ctx, uint64_t size);

/** ucn_header() - first value of a response header, or NULL; names are case-insensitive. */
const char *ucn_header (const UcnResponse *response, const char *name);
