/* Quotas of client accounts: rate limits that hold over all nodes together. */
#include "quo.h"

#include <glib.h>

struct Quo
{
  QuoBounds bounds;
};

Quo *
quo_new (const QuoBounds *bounds)
{
  Quo *quotas = g_new0 (Quo, 1);

  quotas->bounds = *bounds;
  return quotas;
}

void
quo_free (Quo *quotas)
{
  g_free (quotas);
}

void
quo_set_limit (Quo *quotas, uint32_t account, uint64_t rate_mps, uint32_t burst)
{
  (void) quotas;
  (void) account;
  (void) rate_mps;
  (void) burst;
}

bool
quo_admit (Quo *quotas, uint32_t account, uint64_t now_ms, uint32_t *retry_after_ms)
{
  (void) quotas;
  (void) account;
  (void) now_ms;
  *retry_after_ms = 0;
  return true;
}

void
quo_refund (Quo *quotas, uint32_t account, uint64_t now_ms)
{
  (void) quotas;
  (void) account;
  (void) now_ms;
}
