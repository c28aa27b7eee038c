/* Responses of an HTTP server that are being written: ends those whose callers don't read while
 * their memory is needed, and makes an early end visible. */
#pragma once

#include "mbg.h"

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/** struct Wrt - responses that are being written; @responses: of &WrtResponse */
typedef struct
{
  GQueue responses;
} Wrt;

/**
 * struct WrtResponse - a response between wrt_begin() and wrt_end()
 * @wrt: NULL otherwise
 * @unsent_bytes: what the caller had not received at @progress_at_ms
 * @progress_at_ms: when it was last seen to have received bytes
 */
typedef struct
{
  Wrt *wrt;
  h2o_req_t *req;
  GList link;
  size_t unsent_bytes;
  uint64_t progress_at_ms;
} WrtResponse;

/** wrt_begin() - until wrt_end(), wrt_close_unread() may end the response. */
void wrt_begin (Wrt *wrt, h2o_req_t *req, WrtResponse *response);

/** wrt_end() - ends what wrt_begin() began; no effect if it did not. */
void wrt_end (WrtResponse *response);

/** wrt_close_unread() - closes the connections of callers that read nothing, as far as @mbg needs
 * their memory; to be called periodically. */
void wrt_close_unread (Wrt *wrt, Mbg *mbg, uint64_t now_ms);

/** wrt_fail() - ends the write in progress, if any, as if the kernel had failed it: h2o frees the
 * response and closes the connection. */
void wrt_fail (h2o_req_t *req);

/** wrt_is_close_delimited() - whether the end of the connection ends a response without a length to
 * this request, as its caller speaks HTTP/1.0. */
bool wrt_is_close_delimited (const h2o_req_t *req);

/** wrt_set_reset_on_close() - while enabled, the connection is reset when it is closed, also if the
 * process ends: without a length, an orderly end would make a response look complete. */
void wrt_set_reset_on_close (h2o_req_t *req, bool enabled);
