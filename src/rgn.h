/* Requests by region: where they were sent in a period. */
#pragma once

#include "log.h"
#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct RgnCounts - counts since the last line, by index of the region
 * @sent: requests that were sent for the first time
 * @objectless: those of them that concern no object
 * @connected: those of them for which a connection had to be made
 */
typedef struct
{
  uint32_t sent[REGIONS_MAX];
  uint32_t objectless[REGIONS_MAX];
  uint32_t connected[REGIONS_MAX];
} RgnCounts;

void rgn_note_sent (RgnCounts *counts, uint32_t region, bool has_object);

/** rgn_note_connected() - a connection is made for a request that was sent for the first time. */
void rgn_note_connected (RgnCounts *counts, uint32_t region);

/** rgn_text() - numbers of @regions regions, with commas between; the text is the caller's. */
char *rgn_text (const uint32_t *numbers, uint32_t regions);

/** rgn_log() - one line with the counts, unless all are 0; the counts begin anew. */
void rgn_log (RgnCounts *counts, uint32_t regions, const Log *log);
