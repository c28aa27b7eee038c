/* Responses of upstreams, streamed to callers while they are received. */
#pragma once

#include "rqs.h"

/** ans_start() - starts the response to the caller with an upstream's status and headers. */
void ans_start (Req *req, const HclHead *head);

/**
 * ans_send() - sends the buffered body and, if known, the end of the response
 *
 * Does nothing while an earlier part is being sent. Sending the end may free the request.
 */
void ans_send (Req *req);

/**
 * ans_send_or_free() - sends the end of the response, or frees the request if its caller is gone
 *
 * The request must not be used afterwards.
 */
void ans_send_or_free (Req *req);

/**
 * ans_continues() - true if a partial response continues the interrupted one
 *
 * It must start at the next byte that the caller needs and have the same ETag.
 */
bool ans_continues (const Req *req, const HclHead *head);

/** ans_is_complete() - true if no failure occurred and the body has its Content-Length, if any. */
bool ans_is_complete (const Req *req);
