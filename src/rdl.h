/* Read limits: reads requests from a server's connections within the process's memory budget. */
#pragma once

#include "mbg.h"
#include "trf.h"

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef RdlRole - who connects to a server
 * @RDL_CALLERS: callers with requests
 * @RDL_PROBES: lookups, readiness probes and metrics; few connections and no bodies
 * @RDL_NODES: other nodes with relayed requests; the number of connections isn't limited
 */
typedef enum
{
  RDL_CALLERS,
  RDL_PROBES,
  RDL_NODES,
} RdlRole;

/**
 * typedef RdlVerdict - what is done with a request whose body is not received
 * @RDL_UNDECIDED: its head is incomplete; it is checked again when more has arrived
 * @RDL_ACCEPT: it is received
 * @RDL_REJECT: it gets a response at once, and the connection is closed
 */
typedef enum
{
  RDL_UNDECIDED,
  RDL_ACCEPT,
  RDL_REJECT,
} RdlVerdict;

/** typedef RdlHeadFn - checks the bytes of a request received so far; @response: set on
 * RDL_REJECT, freed by the caller */
typedef RdlVerdict (*RdlHeadFn) (void *user, const char *bytes, size_t size, char **response);

/**
 * struct Rdl - connections of a server
 * @mbg: budget; NULL: nothing is limited
 * @traffic: counts the bytes of its connections; NULL: they are not counted
 * @connections_max: connections that it may have at the same time
 * @body_max_bytes: largest body that the server accepts
 * @conns: RdlConn by socket
 * @reading: RdlConn that read or wait, those without data for longest first
 * @head_fn: checks requests before their bodies are received, or NULL
 * @discarding: RdlConn whose request was rejected before its body was received and whose data is
 *   discarded, the oldest first
 * @answered: sockets whose requests have ended in this iteration of the loop
 * @restart: observes these connections again before the next poll
 * @h2o_read: h2o's callback for reading a request
 * @retry_header: header line of rejections whose request may be repeated
 * @common_header: header line of all rejections by the budget
 * @current: connection whose read callback runs, NULL once it is closed
 */
typedef struct
{
  uv_loop_t *loop;
  Mbg *mbg;
  RdlRole role;
  TrfCount *traffic;
  uint32_t connections_max;
  size_t body_max_bytes;
  GHashTable *conns;
  GQueue reading;
  RdlHeadFn head_fn;
  void *head_user;
  GQueue discarding;
  GPtrArray *answered;
  uv_prepare_t restart;
  h2o_socket_cb h2o_read;
  const char *retry_header;
  const char *common_header;
  struct RdlConn *current;
} Rdl;

void rdl_init (Rdl *rdl, uv_loop_t *loop);

/** rdl_set_budget() - limits the connections that are added from now on. */
void rdl_set_budget (Rdl *rdl, Mbg *mbg, RdlRole role);

/** rdl_set_head_check() - @fn checks the requests of all connections that have a budget. */
void rdl_set_head_check (Rdl *rdl, RdlHeadFn fn, void *user);

/** rdl_admit() - whether a new connection may be served; closes others if there are too many. */
bool rdl_admit (Rdl *rdl);

/** rdl_add() - adds a connection that h2o has begun to read, until it is closed; @stream: its
 * handle. */
void rdl_add (Rdl *rdl, h2o_socket_t *sock, uv_stream_t *stream);

/** rdl_count_read() - counts the bytes of a read of the connection that ended just now. */
void rdl_count_read (Rdl *rdl, const h2o_socket_t *sock);

/** rdl_answered() - a request of the connection has ended, and its memory is freed. */
void rdl_answered (Rdl *rdl, h2o_socket_t *sock);

/** rdl_tick() - reads on where memory has become free, also that of responses, and closes requests
 * without progress while others wait. */
void rdl_tick (Rdl *rdl);

/**
 * struct RdlUnsent - bytes for a connection that its peer has not received
 * @process_bytes: not yet passed to the kernel
 * @kernel_bytes: in the kernel, if @is_kernel_known
 */
typedef struct
{
  size_t process_bytes;
  size_t kernel_bytes;
  bool is_kernel_known;
} RdlUnsent;

RdlUnsent rdl_unsent (const h2o_socket_t *sock);

/** rdl_accepts_writes() - false after a read has failed: libuv then refuses writes, and h2o, which
 * doesn't notice, waits for their end. */
bool rdl_accepts_writes (const h2o_socket_t *sock);

/** rdl_has_room() - whether the next read leaves the request's memory where it is. */
bool rdl_has_room (const h2o_socket_t *sock);
