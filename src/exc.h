/* Exchange between nodes: receives their messages, and sends views and summaries periodically. */
#pragma once

#include "per.h"

/** exc_receive() - decodes a datagram received from @from and applies its message. Counts it as
 * garbled when it can't be decoded. */
void exc_receive (Per *per, const char *data, uint32_t size, NetAddr from, uint64_t now_ms);

/** exc_tick() - recomputes the cells, sends the views and the summary that are due, and recomputes
 * the totals of the upstreams; called every PER_TICK_MS. */
void exc_tick (Per *per, uint64_t now_ms);
