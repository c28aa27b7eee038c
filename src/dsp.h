/* Dispatch of requests: attempts on upstreams, retries, and the queue for free slots. */
#pragma once

#include "rqs.h"

/**
 * dsp_dispatch() - starts an attempt in a zone chosen by the plan, or queues the request
 *
 * A request that can't be dispatched is ended with an error response, or with a truncated one when
 * its head was already sent.
 */
void dsp_dispatch (Req *req);
