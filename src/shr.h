/* Traffic split of a region: the share of its requests that runs in each region, the limit on the
 * rate at which the shares change, and the budget for spillover. Pure: no I/O, no clock. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/** struct ShrSplit - share of each region in millionths, SHARE_ONE_PPM in total */
typedef struct
{
  uint32_t ppm[REGIONS_MAX];
} ShrSplit;

/**
 * struct ShrLoad - capacity and demand of the regions, in thousandths of a slot
 * @capacity: slots of the region's upstreams
 * @demand: slots that the requests of the region's callers keep in use
 */
typedef struct
{
  uint64_t capacity[REGIONS_MAX];
  uint64_t demand[REGIONS_MAX];
} ShrLoad;

/**
 * shr_initial() - initial split, while no demand is known
 * @local: the region whose requests are split
 * @slots: slots of each region's upstreams
 * @nodes: nodes in each region, as an estimate of its demand
 *
 * Assumes a demand that fills all slots. A local region that cannot serve its own demand gets a
 * smaller share than its slots allow, and the remote regions share the rest by their slots.
 */
ShrSplit shr_initial (uint32_t local, const uint32_t *slots, const uint32_t *nodes);

/**
 * shr_target() - split that fits the load
 * @local: the region whose requests are split
 *
 * Each region serves its own demand up to SHR_UTILIZATION_MAX_PCT of its capacity. The excess goes
 * to regions below that level, in proportion to their spare capacity, and what exceeds the spare
 * capacity goes to all regions in proportion to their capacity.
 */
ShrSplit shr_target (uint32_t local, const ShrLoad *load);

/**
 * shr_move() - moves the split towards a target
 * @step_ppm: largest share that may change its region
 * @lost: bit mask of the regions that lost capacity unplanned, whose shares may fall by more than
 * @step_ppm
 */
void shr_move (ShrSplit *split, const ShrSplit *target, uint32_t step_ppm, uint32_t lost);

/**
 * shr_max_step_ppm() - largest share that may change its region within @elapsed_ms
 * @cap_permille: cap on all requests that change their region within SHR_CAP_PERIOD_MS, in
 * thousandths
 * @deviation_ppm: by how much the share of recent requests that ran in remote regions exceeded the
 * split
 * @to_local: the local region's share is to grow
 *
 * The deviation may start or end at any moment, so the cap has to cover it as well. Moves to remote
 * regions leave the part of the cap by which the deviation may still grow, moves back to the local
 * region the part by which it may shrink.
 */
uint32_t shr_max_step_ppm (uint32_t cap_permille, uint32_t elapsed_ms, uint32_t deviation_ppm,
                           bool to_local);

/**
 * struct ShrSpillBucket - token bucket for spillover
 * @tokens_ppm: millionths of a request; below 0 after a spillover that used more than there was
 *
 * It holds at most the tokens of SHR_SPILL_BURST_MS, so that the nodes cannot save up tokens and
 * spend them all at the same moment.
 */
typedef struct
{
  int64_t tokens_ppm;
} ShrSpillBucket;

/** shr_spill_refill() - refills the bucket for one sent request; @rate_mps: thousandths of a
 * request per second. */
void shr_spill_refill (ShrSpillBucket *spill, uint32_t cap_permille, uint64_t rate_mps);

/** shr_spill_allows() - true when a request may spill over; @draw_ppm: random number below
 * SHARE_ONE_PPM, drawn once for the request. */
bool shr_spill_allows (const ShrSpillBucket *spill, uint32_t draw_ppm);

/** shr_spill_consume() - consumes the tokens of a request that spills over. */
void shr_spill_consume (ShrSpillBucket *spill);

/**
 * struct ShrAcceptance - decaying counts of requests by region, for its acceptance ratio
 * @assigned_mreqs: requests that the split assigned to the region, in thousandths of a request
 * @accepted_mreqs: those of them that were sent there
 * @spilled_in_mreqs: requests assigned to other regions that were sent there
 */
typedef struct
{
  uint32_t assigned_mreqs[REGIONS_MAX];
  uint32_t accepted_mreqs[REGIONS_MAX];
  uint32_t spilled_in_mreqs[REGIONS_MAX];
} ShrAcceptance;

/** shr_count_request() - counts a request assigned to @region that was sent to @to, or rejected for
 * want of free slots when @to is REGIONS_MAX. */
void shr_count_request (ShrAcceptance *acceptance, uint32_t region, uint32_t to);

/** shr_decay() - reduces the weight of older requests; to be called every SHR_DECAY_MS. */
void shr_decay (ShrAcceptance *acceptance);

/**
 * shr_limits() - largest part of its assigned requests that each region may be sent, in millionths
 * @limits_ppm: output, REGIONS_MAX entries
 *
 * A region without free slots rejects requests, so that at once a larger part of those that run is
 * in the other regions, although the split has not changed. The other regions are then limited as
 * well, so that the deviation from the split stays within its part of the cap.
 */
void shr_limits (const ShrSplit *split, const ShrAcceptance *acceptance, uint32_t cap_permille,
                 uint32_t *limits_ppm);

/**
 * shr_region() - the region in which a request runs, by weighted rendezvous hashing
 * @capacity: used instead of the split where the shares of all allowed regions are 0
 * @allowed: bit mask of the regions in which the request may run
 * @region_hash: hash of its object, or of the request itself when it concerns none
 *
 * The same hash and split give the same region. When the split changes, no larger part of the
 * hashes changes its region than of the shares. Return: REGIONS_MAX when no region is allowed.
 */
uint32_t shr_region (const ShrSplit *split, const uint64_t *capacity, uint32_t allowed,
                     uint32_t region_hash);

/** shr_spill_region() - the allowed region with most free slots, except @region; REGIONS_MAX when
 * no other has any. */
uint32_t shr_spill_region (const uint64_t *free_slots, uint32_t allowed, uint32_t region);
