/* Feedback in upstreams' response headers: shutdown notice, Retry-After and load. */
#pragma once

#include "nod.h"

/**
 * fbk_apply() - applies the feedback headers of a response, once its head is complete, to the state
 * of its upstream
 * @incarnation: the one to which the request was sent; nothing is applied when another one is
 * registered now
 * @id: ID of the request, for the log; NULL for none
 *
 * The leaving header (NodHeaders) marks the upstream as leaving: this incarnation gets no further
 * requests. A 503 with Retry-After pauses the upstream for this node, whether or not the request
 * has run; a Retry-After that is not valid is logged and ignored, and one above FBK_PAUSE_MAX_MS
 * counts as that. The load header goes into the learned capacity; a malformed one is counted and
 * ignored.
 */
void fbk_apply (Node *node, Ups *ups, const UpsIncarnation *incarnation, const char *id,
                const UcnResponse *response);

/**
 * fbk_retry_after_ms() - parses a Retry-After header
 * @text: positive seconds, fractions allowed
 *
 * Return: milliseconds, rounded up, FBK_PAUSE_MAX_MS at most; 0 when @text is not valid.
 */
uint32_t fbk_retry_after_ms (const char *text);
