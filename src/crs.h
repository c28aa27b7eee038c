/* Crash check: tells whether the process behind a lost connection has ended or still listens. */
#pragma once

#include "net.h"

#include <stdbool.h>
#include <uv.h>

/** typedef CrsFn - result; @crashed: the connection was refused, so no process listens */
typedef void (*CrsFn) (void *user, bool crashed);

/**
 * crs_check() - connects to @addr and closes the connection
 *
 * Calls @fn once, after CONNECT_TIMEOUT_MS at the latest and never before crs_check() returns.
 * Every result but a refused connection, also a timeout, counts as not crashed.
 */
void crs_check (uv_loop_t *loop, NetAddr addr, CrsFn fn, void *user);
