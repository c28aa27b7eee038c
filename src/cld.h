/* Assigns each cold upstream to a few nodes, alike on all nodes. Pure: no I/O and no clock. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct CldNode - a node that serves requests
 * @hash: hash of its VM's name
 * @region: index of its region
 */
typedef struct
{
  uint32_t hash;
  uint32_t region;
} CldNode;

/**
 * cld_is_assigned() - whether @self is one of the nodes that may send requests to a cold upstream
 * @others: all other nodes that are alive
 * @count: number of @others
 * @upstream_hash: hash of the upstream's id
 * @upstream_region: index of the upstream's region
 *
 * Rendezvous hashing of node and upstream selects UPS_COLD_NODES nodes. Nodes of the upstream's
 * region have precedence over nodes of other regions.
 */
bool cld_is_assigned (const CldNode *self, const CldNode *others, uint32_t count,
                      uint32_t upstream_hash, uint32_t upstream_region);
