/* Node directory: answers callers' lookups with addresses of serving nodes. */
#pragma once

#include "nod.h"

/**
 * dir_addresses() - addresses of serving nodes for callers of a region
 * @region: index of the region; ZONE_NONE for any
 *
 * When no node of the region serves, those of all regions are used. Of more than 64 addresses, a
 * random choice is returned.
 *
 * Return: new array of strings "ip:port"; may be empty.
 */
GPtrArray *dir_addresses (const Node *node, uint32_t region, uint64_t now_ms);
