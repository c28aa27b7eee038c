/* Object updates: nodes push changed objects to each other, and a node that lags behind a peer
 * fetches what it lacks. */
#pragma once

#include "per.h"

/** upd_fill_reply() - fills the reply to a peer's fetch; the caller frees it with xdr_free(). */
void upd_fill_reply (const Per *per, const peer_fetch_args *args, peer_fetch_reply *reply);

/**
 * upd_push() - sends the objects that have changed since the last call
 * @from_store: the changes were read from the store, so this node is the first to push them
 *
 * Each node forwards updates to its children in the tree of its cell (ovl_children()). With
 * @from_store, they also go to the heads of all cells.
 */
void upd_push (Per *per, bool from_store);

/**
 * upd_log_applied() - logs which changes of a kind were applied, if there are any
 * @source: where they came from: store, fetch or news
 * @after: the kind's newest position before
 */
void upd_log_applied (const Per *per, const RepKind *kind, const char *source, Pos after);

/** upd_apply() - applies an update from the node at @from and forwards it; fetches from that node
 * when changes are missing. */
void upd_apply (Per *per, const peer_update *update, NetAddr from, uint64_t now_ms);

/**
 * upd_check_revisions() - compares a peer's newest revisions with the local ones
 *
 * A kind whose local revision has stayed behind for UPD_FETCH_DELAY_MS (UPD_WATCHER_FETCH_DELAY_MS
 * on a node that watches the store) is fetched from the node at @from.
 */
void upd_check_revisions (Per *per, const peer_revision *revisions, u_int count, NetAddr from,
                          uint64_t now_ms);
