/* Clock of the node process: never set, and running while the VM is suspended. */
#pragma once

#include <stdint.h>

/** clk_now_ms() - milliseconds since the VM started. */
uint64_t clk_now_ms (void);
