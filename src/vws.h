/* Views: what nodes send each other of themselves, and what they say of upstreams. */
#pragma once

#include "per.h"

/** vws_tick() - sends the views that are due. */
void vws_tick (Per *per, uint64_t now_ms);

/** vws_take() - takes a view that came from @from; takes over what it holds. */
void vws_take (Per *per, peer_view *view, NetAddr from, uint64_t now_ms);

/** vws_sum() - adds up anew what live peers say of upstreams. */
void vws_sum (const Per *per, uint64_t now_ms);
