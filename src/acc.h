/* Client accounts of one version of the configuration: API keys, quotas and allowed regions. Pure:
 * no I/O, no clock. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct AccAccount - a client account
 * @hash: acc_hash() of its name; identifies it in messages between nodes
 * @has_priority: @priority takes precedence over that of the route
 * @rate_mps: quota in thousandths of a request per second, over all nodes; 0 for no limit
 * @burst: requests that it may send at once beyond @rate_mps
 * @regions: names of the regions that may serve its requests, NULL-terminated; NULL or empty for
 * all
 */
typedef struct
{
  char *name;
  uint32_t hash;
  bool has_priority;
  uint32_t priority;
  uint64_t rate_mps;
  uint32_t burst;
  char **regions;
} AccAccount;

/** acc_hash() - hash of an account's name, not 0. */
uint32_t acc_hash (const char *name);
