/* Store watchers: which nodes watch the platform's store for changes. Pure: no I/O, no clock. */
#pragma once

#include "per.h"

/**
 * wch_should_watch() - true when the own node is to watch the platform's store
 *
 * In each region, the node of the first rank watches the store and forwards updates to the other
 * nodes. While no node that precedes the own one watches it, the own node takes over after
 * PER_TAKEOVER_DELAY_MS for each preceding node. Where cells are zones, only the first OVL_HEADS
 * nodes of a zone whose watch isn't failing take over.
 */
bool wch_should_watch (Per *per, uint64_t now_ms);

/** wch_rank() - rank of the own node in its region: number of nodes that precede it. */
uint32_t wch_rank (const Per *per, uint64_t now_ms);

/**
 * wch_is_covered() - whether a peer has continuously known the changes of the store
 *
 * That is a peer with a recent view that watches the store, even if its watch fails for now: it
 * will report what it missed once the store answers again.
 */
bool wch_is_covered (const Per *per, uint64_t now_ms);

/** wch_store_is_watched() - true when a peer with a recent view watches the store. */
bool wch_store_is_watched (const Per *per, uint64_t now_ms);
