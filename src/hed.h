/* Request heads: reads the head of an HTTP/1 request from received bytes, before its body. Pure. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct HedText - part of a head */
typedef struct
{
  const char *at;
  size_t size;
} HedText;

/**
 * struct Hed - a request's head
 * @path: with the query
 * @host: value of the host header
 * @lines: header lines
 * @size: size of the head with the empty line at its end
 * @body_bytes: announced size of the body, 0 for a chunked one
 */
typedef struct
{
  HedText method;
  HedText path;
  HedText host;
  HedText lines;
  size_t size;
  uint64_t body_bytes;
  bool is_chunked;
} Hed;

/**
 * typedef HedState - result of reading a head
 * @HED_INCOMPLETE: its end isn't received
 * @HED_READ: it is read
 * @HED_UNUSUAL: it has folded lines, repeated framing headers or host, or no path; whether it is
 *   valid is not decided here
 */
typedef enum
{
  HED_INCOMPLETE,
  HED_READ,
  HED_UNUSUAL,
} HedState;

HedState hed_read (const char *bytes, size_t size, Hed *head);

/** hed_lacks_body() - whether a part of the body may not be among the @size bytes received. */
bool hed_lacks_body (const Hed *head, const char *bytes, size_t size);

/** hed_header() - value of the first header of that name as a new string, or NULL. */
char *hed_header (const Hed *head, const char *name);
