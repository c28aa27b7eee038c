/* Crash check: tells an upstream whose process has ended from a connection that was cut. */
#pragma once

#include "net.h"

#include <stdbool.h>
#include <uv.h>

/** typedef CrsFn - @crashed: the upstream's machine refuses connections */
typedef void (*CrsFn) (void *user, bool crashed);

/** crs_check() - connects to @addr; @fn comes once, after CONNECT_TIMEOUT_MS at the latest. */
void crs_check (uv_loop_t *loop, NetAddr addr, CrsFn fn, void *user);
