/* Arrival of callers' requests on a node: reads their headers, sets their deadlines, and rejects
 * those that cannot be served. */
#pragma once

#include "nod.h"

/** fst_handle_request() - handles a caller's request; the response is sent now or from the event
 * loop. */
void fst_handle_request (Node *node, h2o_req_t *h2o);

/** fst_reject_head() - whether a request is rejected before its body is received; an HsvHeadFn with
 * the Node as @user. */
bool fst_reject_head (void *user, const Hed *head, HsvReply *reply);

/** fst_limit_deadlines() - limits the deadlines of open requests to the time until which the
 * stopping node sends responses. */
void fst_limit_deadlines (Node *node);
