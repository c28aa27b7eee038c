/* Cap on how fast the share of requests that run in a region may grow. Pure. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ShrWindow - requests by time slot and region
 * @prior_permille: shares that stand for the old ones while there are too few requests
 */
typedef struct
{
  uint32_t prior_permille[REGIONS_MAX];
  uint64_t slot[SHR_SLOTS];
  uint32_t count[SHR_SLOTS][REGIONS_MAX];
} ShrWindow;

/**
 * shr_set_prior() - shares to begin with, from what the regions can carry
 * @slots: slots of each region's upstreams
 * @nodes: nodes in each region, as a measure of its demand
 */
void shr_set_prior (ShrWindow *window, uint32_t home_region, const uint32_t *slots,
                    const uint32_t *nodes);

/** shr_note() - a request was sent to a region. */
void shr_note (ShrWindow *window, uint32_t region, uint64_t now_ms);

/**
 * shr_allows() - one more request to the region keeps the growth of its share within the cap
 * @cap_permille: largest growth of the share of SHR_NEW_SLOTS over that of the SHR_OLD_SLOTS before
 *
 * With few old requests the prior stands for them; few new ones bind nothing.
 */
bool shr_allows (const ShrWindow *window, uint32_t region, uint32_t cap_permille, uint64_t now_ms);
