/* Shares of the regions in which a region's requests run, and how fast they may change. Pure. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/** struct ShrShares - shares in millionths by region, SHARE_ONE_PPM in all */
typedef struct
{
  uint32_t ppm[REGIONS_MAX];
} ShrShares;

/**
 * struct ShrLoad - what the regions have and what their callers need, in thousandths of a slot
 * @capacity: slots of the region's upstreams
 * @demand: slots that the requests of its callers keep in use
 */
typedef struct
{
  uint64_t capacity[REGIONS_MAX];
  uint64_t demand[REGIONS_MAX];
} ShrLoad;

/**
 * shr_start() - shares to begin with, while no demand is known
 * @slots: slots of each region's upstreams
 * @nodes: nodes in each region, as a measure of its demand
 *
 * As if the callers needed all slots there are: the home region carries its own demand as far as it
 * can, the others take the rest by their size.
 */
ShrShares shr_start (uint32_t home, const uint32_t *slots, const uint32_t *nodes);

/**
 * shr_target() - shares that the load asks for
 *
 * Each region carries its own demand up to SHR_FILL_PCT of its capacity; what is beyond goes to the
 * regions that have room left, by the room, and beyond that to all by their capacity.
 */
ShrShares shr_target (uint32_t home, const ShrLoad *load);

/**
 * shr_move() - moves shares towards a target
 * @step_ppm: most that may change its region
 * @lost: bits of the regions that lost capacity without a plan; what leaves them is not limited
 */
void shr_move (ShrShares *shares, const ShrShares *target, uint32_t step_ppm, uint32_t lost);

/**
 * shr_step_ppm() - what may change its region within a time by moves of the shares
 * @cap_permille: cap on all that may change within SHR_PERIOD_MS, in thousandths of the requests
 * @uneven_ppm: how much more ran away from home of late than the shares say
 * @homeward: the share of the home region is to grow
 *
 * What runs otherwise than the shares say may begin or end all at once. Moves away from home leave
 * room for what may still begin, moves back for what may end.
 */
uint32_t shr_step_ppm (uint32_t cap_permille, uint32_t elapsed_ms, uint32_t uneven_ppm,
                       bool homeward);

/**
 * struct ShrSpill - what may run outside its region because that has no room
 * @credit_ppm: millionths of a request; below 0 after one ran that was more than there was
 *
 * Only what was earned within the last SHR_SPILL_KEPT_MS can be used, so that the nodes of a fleet
 * cannot save up for the same moment.
 */
typedef struct
{
  int64_t credit_ppm;
} ShrSpill;

/** shr_spill_earn() - a request was sent; @rate_mps: thousandths of a request a second. */
void shr_spill_earn (ShrSpill *spill, uint32_t cap_permille, uint64_t rate_mps);

/** shr_spill_allows() - a request may run outside its region; @draw_ppm: a number below
 * SHARE_ONE_PPM, drawn once for the request. */
bool shr_spill_allows (const ShrSpill *spill, uint32_t draw_ppm);

/** shr_spill_take() - a request runs outside its region. */
void shr_spill_take (ShrSpill *spill);

/**
 * struct ShrTaking - how many of the requests that belong to a region it takes, of late
 * @tried_m: thousandths of a request; @sent_m of them were sent there
 * @spilled_m: requests of other regions that were sent there
 */
typedef struct
{
  uint32_t tried_m[REGIONS_MAX];
  uint32_t sent_m[REGIONS_MAX];
  uint32_t spilled_m[REGIONS_MAX];
} ShrTaking;

/** shr_note_sent() - a request of @region was sent to @to, or turned away for want of room when
 * that is REGIONS_MAX. */
void shr_note_sent (ShrTaking *taking, uint32_t region, uint32_t to);

/** shr_fade() - older requests count less; every SHR_FADE_MS. */
void shr_fade (ShrTaking *taking);

/**
 * shr_limits() - parts of the requests that each region may be sent, in millionths
 *
 * A region that has no room turns requests away, so that what runs is shared otherwise than the
 * shares say, from one moment to the next. The others are then held back as far as that is beyond
 * what the cap leaves for it.
 */
void shr_limits (const ShrShares *shares, const ShrTaking *taking, uint32_t cap_permille,
                 uint32_t *limits_ppm);

/**
 * shr_region() - the region in which a request runs
 * @lot: hash of its object, or of itself where it concerns none
 * @capacity: decides where the shares of all allowed regions are 0
 * @allowed: bits of the regions in which it may run
 *
 * The same for the same lot and shares. Where shares change, only as many lots change their region
 * as the shares do. Return: REGIONS_MAX when no region is allowed.
 */
uint32_t shr_region (const ShrShares *shares, const uint64_t *capacity, uint32_t allowed,
                     uint32_t lot);

/** shr_other_region() - the region with most room but one; REGIONS_MAX when none has any. */
uint32_t shr_other_region (const uint64_t *room, uint32_t allowed, uint32_t region);
