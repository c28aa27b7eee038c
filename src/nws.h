/* Object updates: nodes push changed objects to each other, and a node that lags behind a peer
 * fetches what it lacks. */
#pragma once

#include "per.h"

/** nws_answer() - fills the reply to a peer's fetch; the caller frees it with xdr_free(). */
void nws_answer (const Per *per, const peer_fetch_args *args, peer_fetch_reply *reply);

/**
 * nws_push() - sends the objects that have changed since the last call
 * @from_store: the changes were read from the store, so this node is the first to push them
 *
 * Each node forwards updates to its children in the tree of its cell (ovl_children()). With
 * @from_store, they also go to the heads of all cells.
 */
void nws_push (Per *per, bool from_store);

/**
 * nws_log_taken() - logs which changes of a kind were applied, if there are any
 * @source: where they came from: store, fetch or news
 * @after: the kind's newest revision before
 */
void nws_log_taken (const Per *per, const RepKind *kind, const char *source, uint64_t after);

/** nws_take() - applies an update from the node at @from and forwards it; fetches from that node
 * when changes are missing. */
void nws_take (Per *per, const peer_news *update, NetAddr from, uint64_t now_ms);

/**
 * nws_compare() - compares a peer's newest revisions with the local ones
 *
 * A kind whose local revision has stayed behind for UPD_FETCH_DELAY_MS (UPD_WATCHER_FETCH_DELAY_MS
 * on a node that watches the store) is fetched from the node at @from.
 */
void nws_compare (Per *per, const peer_revision *revisions, u_int count, NetAddr from,
                  uint64_t now_ms);
