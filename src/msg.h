/* Messages to upstreams: what of a caller's request is passed on. */
#pragma once

#include "hsv.h"

#include <stdbool.h>

/** struct MsgRequest - a caller's request, copied; @headers are whole lines without connection's */
typedef struct
{
  char *method;
  char *path;
  char *host;
  GString *headers;
  GByteArray *body;
} MsgRequest;

/** msg_is_hop() - the header concerns one connection only and is not passed on. */
bool msg_is_hop (const char *name, size_t size);

/** msg_take() - copies a request; headers named in @dropped, a NULL-terminated list, are left out.
 */
void msg_take (MsgRequest *request, h2o_req_t *h2o, const char *const *dropped);
void msg_clear (MsgRequest *request);

/** msg_build() - the message to send; @extra holds further whole header lines. */
GString *msg_build (const MsgRequest *request, const char *extra);
