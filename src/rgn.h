/* Counters of sent requests by region, logged once per period. */
#pragma once

#include "log.h"
#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct RgnCounts - first attempts of requests since the last log line, by index of the region
 * @sent: all of them
 * @objectless: those that concern no object
 * @connected: those that needed a new connection
 */
typedef struct
{
  uint32_t sent[REGIONS_MAX];
  uint32_t objectless[REGIONS_MAX];
  uint32_t connected[REGIONS_MAX];
} RgnCounts;

/** rgn_count_sent() - counts the first attempt of a request; ignores regions from REGIONS_MAX. */
void rgn_count_sent (RgnCounts *counts, uint32_t region, bool has_object);

/** rgn_count_connected() - counts a new connection for the first attempt of a request. */
void rgn_count_connected (RgnCounts *counts, uint32_t region);

/** rgn_format() - the values of the first @regions regions, separated by commas. Free with
 * g_free().
 */
char *rgn_format (const uint32_t *values, uint32_t regions);

/** rgn_log() - logs the counts unless all are 0, and resets them. */
void rgn_log (RgnCounts *counts, uint32_t regions, const Log *log);
