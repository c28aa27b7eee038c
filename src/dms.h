/* Demand of each service by region, and its traffic split, as exchanged between nodes. */
#pragma once

#include "per.h"
#include "shr.h"

/** dms_put() - sets what the local node reports of a service: its demand in thousandths of a slot,
 * and its split. Ignored for new services beyond PER_SERVICES_MAX. */
void dms_put (Per *per, const char *service, uint32_t mslots, const ShrShares *split);

/** dms_of_region() - demand of a region's callers in thousandths of a slot, the sum of all current
 * reports. */
uint64_t dms_of_region (const Per *per, const char *service, uint32_t region, uint64_t now_ms);

/** dms_shares() - the split reported by a serving node of the local region; false when there is
 * none. */
bool dms_shares (const Per *per, const char *service, ShrShares *split);

/**
 * dms_of_cell() - demand of the local cell's nodes by service, for a summary
 * @sums: output of @capacity entries at most
 *
 * Return: number of entries written.
 */
u_int dms_of_cell (const Per *per, peer_service *sums, u_int capacity, uint64_t now_ms);
