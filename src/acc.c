/* Client accounts of one version of the configuration: API keys, quotas and allowed regions. */
#include "acc.h"

#include "ups.h"

uint32_t
acc_hash (const char *name)
{
  return ups_hash (name) | 1u;
}
