/* Node status: metrics in the Prometheus text exposition format, and a dump of the state. */
#pragma once

#include "nod.h"

/** nst_metrics() - all metrics of the node. Free with g_free(). */
char *nst_metrics (const Node *node);

/** nst_dump() - state as lines of key=value pairs: one for the node, then one for each peer and
 * each upstream, then those of the client accounts. Free with g_free(). */
char *nst_dump (const Node *node);

/** nst_dump_account() - the lines of a node and an account of the dump, as a new string. */
char *nst_dump_account (const Node *node, const char *name);

/** nst_serve() - handles HTTP requests for /metrics and /state; @user: the Node. */
void nst_serve (void *user, h2o_req_t *h2o);
