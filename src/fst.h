/* Start of a caller's request on a node. */
#pragma once

#include "nod.h"

/** fst_request() - takes a request; it is answered sooner or later. */
void fst_request (Node *node, h2o_req_t *h2o);

/** fst_stop() - open requests end before the node does. */
void fst_stop (Node *node);
