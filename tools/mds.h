/* Where a region's requests run, and how much of that changes from one window to the next. */
#pragma once

#include <stdint.h>

typedef struct Mds Mds;

Mds *mds_new (void);
void mds_free (Mds *mds);

/** mds_run() - a request of @origin's callers began to run in @region. */
void mds_run (Mds *mds, uint32_t origin, uint32_t region, uint64_t now_ms);

/**
 * mds_worst() - largest share that changed its region from one window of 2 s to the next
 * @origin: the region whose callers' requests they were
 * @at_ms: start of the second window
 *
 * Windows slide by half a second; only those with 40 runs or more count. What two standard
 * deviations of sampling explain is taken off. Return: thousandths.
 */
uint32_t mds_worst (const Mds *mds, uint32_t *origin, uint32_t *at_ms);
