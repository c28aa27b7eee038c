/* Which nodes watch the platform's store. */
#pragma once

#include "per.h"

/**
 * wch_should() - the own node is to hear of changes from the platform's store itself
 *
 * In each region the best node does so, and news of it reach the others. When no better one does,
 * they step in one after the other; where cells are zones, only the best of a zone that do not
 * fail.
 */
bool wch_should (Per *per, uint64_t now_ms);

/** wch_rank() - nodes of the own region that come before the own one. */
uint32_t wch_rank (const Per *per, uint64_t now_ms);

/** wch_store_is_heard() - a node that was heard lately hears of changes from the store. */
bool wch_store_is_heard (const Per *per, uint64_t now_ms);
