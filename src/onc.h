/* ONC RPC over TCP on the event loop; messages are encoded by libtirpc. */
#pragma once

#include "err.h"
#include "net.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <uv.h>

/**
 * struct OncProc - one procedure that a server offers
 * @fn: fills @result from @args; false makes the call fail with a system error
 */
typedef struct
{
  uint32_t number;
  xdrproc_t xdr_args;
  size_t args_size;
  xdrproc_t xdr_result;
  size_t result_size;
  bool (*fn) (void *user, const void *args, void *result);
} OncProc;

typedef struct _OncServer OncServer;
typedef struct _OncClient OncClient;

/**
 * typedef OncDoneFn - end of a call
 * @result: decoded result, or NULL when no valid answer came in time; valid during the call only
 */
typedef void (*OncDoneFn) (void *user, const void *result);

/** onc_serve() - listens on @addr; port 0 takes a free one. @procs ends with a number of 0. */
OncServer *onc_serve (uv_loop_t *loop, NetAddr addr, const OncProc *procs, void *user, Err *err);

/** onc_server_free() - releases a server after its loop has ended. */
void onc_server_free (OncServer *server);
uint16_t onc_port (const OncServer *server);

/** onc_client_new() - a set of connections, one for each peer that is called. */
OncClient *onc_client_new (uv_loop_t *loop);

/** onc_client_free() - releases the set after the loop has ended. */
void onc_client_free (OncClient *client);

/**
 * onc_call() - calls a procedure; connections are kept and closed after RPC_IDLE_MS unused
 *
 * A call that times out closes its connection, so that the next call uses a new one.
 */
void onc_call (OncClient *client, NetAddr addr, uint32_t number, xdrproc_t xdr_args, void *args,
               xdrproc_t xdr_result, size_t result_size, uint32_t timeout_ms, OncDoneFn fn,
               void *user);

/** onc_bytes() - bytes sent and received by a client's connections. */
uint64_t onc_bytes (const OncClient *client);

/** onc_server_bytes() - bytes sent and received by a server's connections. */
uint64_t onc_server_bytes (const OncServer *server);
