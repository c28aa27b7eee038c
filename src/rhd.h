/* Heads of responses: check before the HTTP library parses them. Pure. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/**
 * rhd_check() - checks the response heads at the start of @bytes as hsc_scan() does, and their
 * framing headers
 *
 * h2o's client ends the process for a Content-Length that is no number and for a Transfer-Encoding
 * that it doesn't know, also if letter case or spaces make the difference. The values are written
 * as it expects them, in place.
 *
 * Return: false when they are no heads, h2o can't use the framing, or a head is larger than
 * RESPONSE_HEAD_MAX_BYTES; true for a head that is incomplete so far.
 */
bool rhd_check (char *bytes, size_t size);
