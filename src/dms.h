/* Demand of each service by region, and its traffic split, as exchanged between nodes. */
#pragma once

#include "per.h"
#include "shr.h"

/** dms_report() - sets what the local node reports of a service: its demand in thousandths of a
 * slot, and its split. Ignored for new services beyond PER_SERVICES_MAX. */
void dms_report (Per *per, const char *service, uint32_t mslots, const ShrSplit *split);

/** dms_region_demand() - demand of a region's callers in thousandths of a slot, the sum of all
 * current reports. */
uint64_t dms_region_demand (const Per *per, const char *service, uint32_t region, uint64_t now_ms);

/** dms_reported_split() - the split reported by a serving node of the local region; false when
 * there is none. */
bool dms_reported_split (const Per *per, const char *service, ShrSplit *split);

/**
 * dms_cell_demand() - demand of the local cell's nodes by service, for a summary
 * @sums: output of @capacity entries at most
 *
 * Return: number of entries written.
 */
u_int dms_cell_demand (const Per *per, peer_service *sums, u_int capacity, uint64_t now_ms);
