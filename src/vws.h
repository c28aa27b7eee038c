/* Views: what nodes send each other of themselves, and what they say of upstreams. */
#pragma once

#include "per.h"

/** vws_tick() - sends the views that are due. */
void vws_tick (Per *per, uint64_t now_ms);

/** vws_take() - takes a view that came from @from; takes over what it holds. */
void vws_take (Per *per, peer_view *view, NetAddr from, uint64_t now_ms);

/** vws_sum() - adds up anew what live peers say of upstreams. */
void vws_sum (const Per *per, uint64_t now_ms);

/** vws_leaving() - upstreams that leave though they are not listed so; @room at most. Return: their
 * number. */
u_int vws_leaving (const Per *per, peer_leaving *leaving, u_int room);

/** vws_take_leaving() - takes what another node told of them. */
void vws_take_leaving (const Per *per, const peer_leaving *leaving, u_int count);
