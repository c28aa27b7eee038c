/* Which nodes use a cold upstream: a few, the same ones from every node's view. Pure. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct CldNode - a node that serves
 * @hash: hash of its VM's name
 * @region: index of its region
 */
typedef struct
{
  uint32_t hash;
  uint32_t region;
} CldNode;

/**
 * cld_shares() - @self is among the UPS_COLD_SHARERS nodes that use the upstream while it is cold
 * @others: all other nodes that are alive
 * @upstream: hash of the upstream's id
 * @region: index of the upstream's region
 *
 * Nodes of the upstream's region go before others.
 */
bool cld_shares (const CldNode *self, const CldNode *others, uint32_t count, uint32_t upstream,
                 uint32_t region);
