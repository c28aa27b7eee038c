/* Relay server: requests of other regions' nodes for upstreams near this one. */
#pragma once

#include "nod.h"

/** rls_request() - takes a request that another node sends by way of this one. */
void rls_request (Node *node, h2o_req_t *h2o);
