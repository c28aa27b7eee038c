/* Zone summaries: one node of a zone adds up the views of its nodes and sends the totals to the
 * other zones. */
#pragma once

#include "per.h"

/**
 * sum_tick() - sends the zone's summary every SUM_PERIOD_MS
 *
 * The first node of the zone's ranking whose views arrive sends it to one node of each other zone,
 * the relay, which forwards it within that zone.
 */
void sum_tick (Per *per, uint64_t now_ms);

/** sum_apply() - applies a summary from the node at @from, and forwards it when this node is the
 * relay. It moves the contents of @summary into the zone's state and leaves @summary zeroed; a
 * summary of the own or an unknown zone is ignored. */
void sum_apply (Per *per, peer_summary *summary, NetAddr from, uint64_t now_ms);

/** sum_is_current() - true when cells are zones and the latest summary of another zone is younger
 * than SUM_AGE_MAX_MS, so that it is part of the totals. */
bool sum_is_current (const Per *per, uint32_t zone, uint64_t now_ms);

/** sum_add_totals() - adds the counts of the current summaries to the upstreams' totals; called
 * after vws_recompute_totals(), which clears them. */
void sum_add_totals (const Per *per, uint64_t now_ms);
