/* Monotonic clock of the node process, which also advances while the VM is suspended. */
#include "clk.h"

#include <time.h>

uint64_t
clk_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t) now.tv_sec * 1000 + (uint64_t) now.tv_nsec / 1000000;
}
