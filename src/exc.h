/* Exchange between nodes: takes messages and sends what is due. */
#pragma once

#include "per.h"

/** exc_take() - takes a datagram that came from @from. */
void exc_take (Per *per, const char *data, uint32_t size, NetAddr from, uint64_t now_ms);

/** exc_tick() - sends what is due; called each PER_TICK_MS. */
void exc_tick (Per *per, uint64_t now_ms);
