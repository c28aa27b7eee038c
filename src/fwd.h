/* Forwarding: sends requests to upstreams, retries them, and queues them while no slot is free. */
#pragma once

#include "frq.h"

/** fwd_start() - fwd_dispatch() for a request that arrived: counts it for its flow. */
void fwd_start (Frq *frq);

/** fwd_dispatch() - sends a request to an upstream, or queues it while no upstream accepts it.
 * Rejects it at the end of its waiting time, and a first attempt also when it would exceed the cap
 * on shift between regions. */
void fwd_dispatch (Frq *frq);

/** fwd_dispatch_waiting() - sends queued requests of a service to upstreams with free slots. */
void fwd_dispatch_waiting (NodService *service);

/** fwd_tick() - for each service: sends queued requests, and rejects those that have reached the
 * end of their waiting time. */
void fwd_tick (Node *node);
