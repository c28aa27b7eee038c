/* Relay server: forwards requests from nodes of remote regions to upstreams near this node. */
#pragma once

#include "nod.h"

/** rls_handle_request() - handles a request from a node that uses this one as a relay: forwards it
 * to the upstream that its header names, or responds with a failed outcome (RlyOutcome). */
void rls_handle_request (Node *node, h2o_req_t *h2o);
