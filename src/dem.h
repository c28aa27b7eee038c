/* Demand: rates of each entry's usage, smoothed, from its cumulative reports. Pure. */
#pragma once

#include "wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct DemTable - rates by VM, service, group and zone */
typedef struct
{
  GHashTable *by_key;
} DemTable;

/**
 * struct DemRate - smoothed rates of one entry, service, group and zone
 * @in_flight_milli: requests in flight offered, refused ones included, thousandths
 */
typedef struct
{
  char vm[65];
  char service[65];
  char group[65];
  char zone[65];
  uint64_t incarnation;
  uint64_t at_ms;
  wire_usage last;
  double in_flight_milli;
  double bytes_per_s;
} DemRate;

void dem_init (DemTable *table);
void dem_clear (DemTable *table);

/** dem_take() - takes a report made at @at_ms. */
void dem_take (DemTable *table, const wire_report *report, uint64_t at_ms);

/** dem_each() - visits all rates. */
void dem_each (const DemTable *table, void (*fn) (void *user, const DemRate *rate), void *user);

/** dem_drop() - drops the rates of an entry whose process has ended. */
void dem_drop (DemTable *table, const char *vm);

/** dem_forget() - drops the rates of entries whose last report is older than @max_age_ms. */
void dem_forget (DemTable *table, uint64_t now_ms, uint64_t max_age_ms);
