/* ONC RPC client and server over TCP on the libuv event loop; libtirpc encodes the messages. */
#pragma once

#include "err.h"
#include "net.h"
#include "trf.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <uv.h>

/**
 * struct OncProc - procedure of a server
 * @number: procedure number; 0 ends an array of procedures
 * @args_size: size of the decoded arguments in bytes
 * @result_size: size of the result structure in bytes
 * @fn: handler that fills the zeroed @result from @args; returns false to reply SYSTEM_ERR. Both
 *      are released with xdr_free() afterwards, so pointers in @result have to be malloc()ed.
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
 * typedef OncDoneFn - callback for the end of a call
 * @result: decoded result, released after the callback; NULL when the call failed or timed out
 */
typedef void (*OncDoneFn) (void *user, const void *result);

/**
 * onc_serve() - starts a server that listens on @addr
 * @addr: with port 0 the system selects a free port, see onc_port()
 * @procs: array that ends with procedure number 0; must outlive the server
 * @user: passed to each procedure's handler
 *
 * Return: NULL with @err set when it cannot listen.
 */
OncServer *onc_serve (uv_loop_t *loop, NetAddr addr, const OncProc *procs, void *user, Err *err);

/** onc_server_free() - frees a server; only after its event loop has ended. */
void onc_server_free (OncServer *server);

/** onc_count_server_traffic() - counts the server's bytes in @traffic from now on. */
void onc_count_server_traffic (OncServer *server, TrfCount *traffic);

/** onc_port() - TCP port that the server listens on. */
uint16_t onc_port (const OncServer *server);

/** onc_client_new() - creates a client; it keeps one connection to each address that it calls. */
OncClient *onc_client_new (uv_loop_t *loop);

/** typedef OncTrafficFn - the counter of the bytes exchanged with @addr; NULL for none */
typedef TrfCount *(*OncTrafficFn) (void *user, NetAddr addr);

/** onc_count_client_traffic() - counts the bytes of connections opened from now on. */
void onc_count_client_traffic (OncClient *client, OncTrafficFn fn, void *user);

/** onc_client_free() - frees a client; only after its event loop has ended. */
void onc_client_free (OncClient *client);

/**
 * onc_call() - calls a procedure of the server at @addr
 * @fn: called once; before onc_call() returns when @args cannot be encoded
 *
 * Calls to the same address share a connection, which is closed after RPC_IDLE_MAX_MS without a
 * call. A call that times out closes its connection, so that the next call opens a new one; the
 * other pending calls of the closed connection fail.
 */
void onc_call (OncClient *client, NetAddr addr, uint32_t proc_number, xdrproc_t xdr_args,
               void *args, xdrproc_t xdr_result, size_t result_size, uint32_t timeout_ms,
               OncDoneFn fn, void *user);

/** onc_client_bytes() - bytes that the client has sent and received since its creation. */
uint64_t onc_client_bytes (const OncClient *client);

/** onc_server_bytes() - bytes that the server has sent and received since its creation. */
uint64_t onc_server_bytes (const OncServer *server);
