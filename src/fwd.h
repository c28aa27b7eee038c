/* Forwarding: the life of a caller's request on a node. */
#pragma once

#include "nod.h"

/** fwd_request() - takes a request; it is answered sooner or later. */
void fwd_request (Node *node, h2o_req_t *h2o);

/** fwd_wake() - places waiting requests of a service, as far as there is room. */
void fwd_wake (NodService *service);

/** fwd_tick() - refuses requests that have waited long enough, and places others. */
void fwd_tick (Node *node);
