/* Request messages: copies callers' requests and serializes them for upstreams and relays. */
#pragma once

#include "hsv.h"

#include <stdbool.h>

/**
 * struct MsgRequest - a copy of a caller's request; a large body isn't copied
 * @host: value of the Host header
 * @headers: complete header lines to forward, each with CRLF
 * @body: from hsv_body(): valid until the caller's request is disposed of
 */
typedef struct
{
  char *method;
  char *path;
  char *host;
  GString *headers;
  GBytes *body;
} MsgRequest;

/**
 * msg_is_hop_by_hop() - true for headers that are not forwarded
 * @name: in any case, not NUL-terminated
 *
 * These are the hop-by-hop headers (RFC 9110, section 7.6.1), Content-Length, which msg_build()
 * adds itself, and Expect.
 */
bool msg_is_hop_by_hop (const char *name, size_t size);

/** msg_remove_header() - removes all headers of this name; compared without case. */
void msg_remove_header (MsgRequest *request, const char *name);

/**
 * msg_init() - copies a request without its hop-by-hop headers
 * @excluded: NULL-terminated list of further headers that are not copied
 */
void msg_init (MsgRequest *request, h2o_req_t *h2o, const char *const *excluded);
void msg_clear (MsgRequest *request);

/**
 * msg_build() - serializes the request as an HTTP/1.1 message, without its body
 * @extra_headers: further complete header lines, each with CRLF
 *
 * Return: a new string with request line and headers, behind which the body is to be sent.
 */
GString *msg_build (const MsgRequest *request, const char *extra_headers);
