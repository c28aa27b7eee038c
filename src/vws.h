/* Views: messages in which a node reports its own state and its view of the upstreams (requests in
 * flight, upstreams that don't answer) to its peers. */
#pragma once

#include "per.h"

/** vws_tick() - sends a view to each peer whose period has passed. */
void vws_tick (Per *per, uint64_t now_ms);

/** vws_apply() - applies a view from the node at @from. It moves the contents of @view into the
 * peer's state and leaves @view zeroed; a view of the own node or of an older incarnation is
 * ignored. */
void vws_apply (Per *per, peer_view *view, NetAddr from, uint64_t now_ms);

/** vws_recompute_totals() - recomputes the upstreams' totals of requests in flight and down reports
 * from the views of live peers. */
void vws_recompute_totals (const Per *per, uint64_t now_ms);

/**
 * vws_list_leaving() - lists the upstreams that leave and are not yet marked as draining in the
 * platform's objects
 * @capacity: size of @leaving in entries
 *
 * Return: number of entries written.
 */
u_int vws_list_leaving (const Per *per, peer_leaving *leaving, u_int capacity);

/** vws_apply_leaving() - marks the upstreams as leaving that a peer reports. */
void vws_apply_leaving (const Per *per, const peer_leaving *leaving, u_int count);
