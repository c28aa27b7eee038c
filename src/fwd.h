/* Forwarding: to which upstream a request goes, and what its answer means. */
#pragma once

#include "frq.h"

/** fwd_dispatch() - sends a request to an upstream, or lets it wait for room. */
void fwd_dispatch (Frq *frq);

/** fwd_is_poison() - it crashed so many upstreams that it goes to no further one. */
bool fwd_is_poison (const Frq *frq);

/** fwd_wake() - places waiting requests of a service, as far as there is room. */
void fwd_wake (NodService *service);

/** fwd_tick() - refuses requests that have waited long enough, and places others. */
void fwd_tick (Node *node);
