/* Status of a node: metrics in the text exposition format, and a dump of its state. */
#pragma once

#include "nod.h"

/** nst_metrics() - counters, gauges and the latency histogram; a new string. */
char *nst_metrics (const Node *node);

/** nst_dump() - state as lines of key=value pairs: the node, its peers, its upstreams; a new
 * string. */
char *nst_dump (const Node *node);

/** nst_serve() - answers /metrics and /state. */
void nst_serve (void *user, h2o_req_t *h2o);
