/* Dispatch of requests: attempts on upstreams, what follows from their ends, and waiting for room.
 */
#pragma once

#include "rqs.h"

/** dsp_request() - starts an attempt, or lets the request wait for one. */
void dsp_request (Req *req);
