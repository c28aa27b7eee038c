/* Head scanner: checks the heads of HTTP/1 responses as their bytes arrive, more strictly than the
 * HTTP libraries do. Pure. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * typedef HscState - what the next byte belongs to
 * @HSC_VERSION: the status line up to its status code
 * @HSC_STATUS: the status code
 * @HSC_STATUS_END: the byte after it
 * @HSC_REASON: the reason phrase
 * @HSC_LINE_START: a header field, or the end of the head
 * @HSC_NAME: the name of a header field, after its first byte
 * @HSC_VALUE: the value of a header field
 * @HSC_LINE_FEED: the end of a line, after its carriage return
 * @HSC_HEAD_FEED: the end of a head, after its carriage return
 * @HSC_DONE: the body: the last head, or the trailer, has ended
 */
typedef enum
{
  HSC_VERSION,
  HSC_STATUS,
  HSC_STATUS_END,
  HSC_REASON,
  HSC_LINE_START,
  HSC_NAME,
  HSC_VALUE,
  HSC_LINE_FEED,
  HSC_HEAD_FEED,
  HSC_DONE,
} HscState;

/**
 * struct Hsc - scanner of the heads of one response: those of interim responses and its own
 * @position: number of bytes of the version or of the status code that are scanned
 * @status: the status code, as far as it is scanned
 */
typedef struct
{
  HscState state;
  uint32_t position;
  uint32_t status;
} Hsc;

/** hsc_start() - prepares for a response. */
void hsc_start (Hsc *hsc);

/** hsc_start_trailer() - prepares for the trailer of a response whose own head is scanned. */
void hsc_start_trailer (Hsc *hsc);

/**
 * hsc_scan() - scans further bytes, up to the end of the response's own head, or of its trailer
 *
 * Valid status codes are 100 to 599, without 101, as no protocol is switched to. A line may end
 * without a carriage return; it must not continue the one before.
 *
 * Return: false when they are not part of such heads.
 */
bool hsc_scan (Hsc *hsc, const char *bytes, size_t size);
