/* News of changed objects: pushed from node to node, fetched from a peer where some are missing. */
#pragma once

#include "per.h"

/** nws_answer() - fills the answer to a peer's fetch; what it holds is freed by xdr_free(). */
void nws_answer (const Per *per, const peer_fetch_args *wanted, peer_fetch_reply *reply);

/**
 * nws_push() - passes on what changed since the last call
 *
 * Each node passes news on to a few of its cell. One that heard them from the store (@from_store)
 * tells the best nodes of all cells.
 */
void nws_push (Per *per, bool from_store);

/** nws_log_taken() - logs that objects changed after a revision came from @source. */
void nws_log_taken (const Per *per, const RepKind *kind, const char *source, uint64_t after);

/** nws_take() - takes news that came from @from, and passes them on. */
void nws_take (Per *per, const peer_news *news, NetAddr from, uint64_t now_ms);

/** nws_compare() - fetches from @from what it knows better, when no news of it come. */
void nws_compare (Per *per, const peer_revision *revisions, u_int count, NetAddr from,
                  uint64_t now_ms);
