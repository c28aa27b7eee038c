/* Monotonic clock of the node process, which also advances while the VM is suspended. */
#pragma once

#include <stdint.h>

/** clk_now_ms() - milliseconds since the VM booted (CLOCK_BOOTTIME). */
uint64_t clk_now_ms (void);
