/* Summaries: what the nodes of a zone say, added up by one of them for the other zones. */
#pragma once

#include "per.h"

/** sum_tick() - the best node of a zone sends the zone's summary to a relay in each other zone. */
void sum_tick (Per *per, uint64_t now_ms);

/** sum_take() - takes a summary from @from, and passes it on when it is the relay. */
void sum_take (Per *per, peer_summary *summary, NetAddr from, uint64_t now_ms);

/** sum_is_counted() - the zone's nodes are heard of by its summary, which came lately. */
bool sum_is_counted (const Per *per, uint32_t zone, uint64_t now_ms);

/** sum_add_all() - adds what the latest summaries say of upstreams to what the views say. */
void sum_add_all (const Per *per, uint64_t now_ms);
