/* Shift of requests between regions: change of the regions' shares from one window to the next. */
#pragma once

#include <stdint.h>

typedef struct Mds Mds;

Mds *mds_new (void);
void mds_free (Mds *mds);

/** mds_run() - counts a request of @origin's callers that starts in @region at @now_ms. */
void mds_run (Mds *mds, uint32_t origin, uint32_t region, uint64_t now_ms);

/**
 * mds_max_shift_permille() - largest share of requests that changed region between two consecutive
 * windows of 2
 * s
 * @origin: region of the callers whose requests shifted
 * @at_ms: start of the second window
 *
 * Windows slide by half a second; windows with fewer than 40 runs are ignored. Two standard
 * deviations of the sampling error are subtracted. Return: thousandths.
 */
uint32_t mds_max_shift_permille (const Mds *mds, uint32_t *origin, uint32_t *at_ms);
