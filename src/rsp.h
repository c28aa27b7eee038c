/* Responses of upstreams, streamed to callers while they are received. */
#pragma once

#include "rqs.h"

/** rsp_start() - starts the response to the caller with an upstream's status and headers. */
void rsp_start (Req *req, const HclHead *head);

/** rsp_add() - adds a piece of the body and sends what can be sent; pauses @call, the upstream's
 * response, when too much is buffered. */
void rsp_add (Req *req, HclCall *call, const char *data, size_t size);

/**
 * rsp_flush() - sends the buffered body and, if known, the end of the response
 *
 * Does nothing while an earlier part is being sent. Sending the end may free the request.
 */
void rsp_flush (Req *req);

/**
 * rsp_flush_or_free() - sends the end of the response, or frees the request if its caller is gone
 *
 * The request must not be used afterwards.
 */
void rsp_flush_or_free (Req *req);

/**
 * rsp_is_continuation() - true if a partial response continues the interrupted one
 *
 * It must start at the next byte that the caller needs and have the same ETag.
 */
bool rsp_is_continuation (const Req *req, const HclHead *head);

/** rsp_is_complete() - true if no failure occurred and the body has its Content-Length, if any. */
bool rsp_is_complete (const Req *req);
