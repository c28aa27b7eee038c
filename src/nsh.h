/* Traffic split of a node's services: measures the demand of the node's callers, moves the split
 * towards its target, and assigns requests to regions. */
#pragma once

#include "nod.h"

/** nsh_init_split() - sets the initial split of a service: the one that a peer of the local region
 * reports, or one by the regions' slots and nodes. */
void nsh_init_split (Node *node, NodService *service, uint64_t now_ms);

/**
 * nsh_count_request() - counts a request that a caller sent for the service
 * @estimate_ms: service time to assume while none has been measured
 *
 * Sets the initial split again until an upstream of the service offers capacity.
 */
void nsh_count_request (Node *node, NodService *service, uint32_t estimate_ms);

/** nsh_record_service_time() - adds the service time of a request to the moving average. */
void nsh_record_service_time (NodService *service, uint32_t duration_ms);

/** nsh_tick() - for each service: updates the measured rates, reports demand and split to the
 * peers, and moves the split towards its target. */
void nsh_tick (Node *node, uint64_t now_ms);

/**
 * nsh_assigned_region() - the region to which the split assigns a request
 * @allowed: bit mask of the regions in which it may run
 * @region_hash: hash of its object, or of the request itself when it concerns none
 *
 * Regions without capacity are skipped as long as another allowed region has some. Return:
 * REGIONS_MAX when no region is allowed.
 */
uint32_t nsh_assigned_region (const NodService *service, uint32_t allowed, uint32_t region_hash);

/**
 * nsh_spill_region() - the region to which a request may spill over
 * @region: the region to which the split assigns it, where no slot is free
 * @draw_ppm: random number below SHARE_ONE_PPM, drawn once for the request
 *
 * Return: REGIONS_MAX when no other allowed region has free slots or the budget for spillover is
 * used up.
 */
uint32_t nsh_spill_region (const NodService *service, uint32_t allowed, uint32_t region,
                           uint32_t draw_ppm);

/** nsh_exceeds_shift_cap() - true when a request assigned to @region has to be rejected to keep the
 * shift between regions within its cap; @draw_ppm as in nsh_spill_region(). */
bool nsh_exceeds_shift_cap (const NodService *service, uint32_t region, uint32_t draw_ppm);

/** nsh_count_sent() - counts a request assigned to @region that was sent to region @to. */
void nsh_count_sent (Node *node, NodService *service, uint32_t region, uint32_t to);

/** nsh_count_rejected() - counts a request assigned to @region that was rejected for want of free
 * slots. */
void nsh_count_rejected (NodService *service, uint32_t region);

/** nsh_log_splits() - logs the split of each service and the values from which it was computed. */
void nsh_log_splits (const Node *node);
