/* Demand: smoothed rates of each entry, from the cumulative counters of its reports. Pure. */
#pragma once

#include "wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct DemTable - rates by VM, service, client group and zone */
typedef struct
{
  GHashTable *by_key;
} DemTable;

/**
 * struct DemRate - smoothed rates of one entry, service, client group and zone
 * @reported_at_ms: time of the last report, on the caller's clock
 * @last_usage: counters of the last report; its names are NULL
 * @in_flight_milli: requests in flight offered, refused ones included, in thousandths
 * @bytes_per_s: response bytes a second
 */
typedef struct
{
  char vm[65];
  char service[65];
  char group[65];
  char zone[65];
  uint64_t incarnation;
  uint64_t reported_at_ms;
  wire_usage last_usage;
  double in_flight_milli;
  double bytes_per_s;
} DemRate;

void dem_init (DemTable *table);
void dem_clear (DemTable *table);

/**
 * dem_apply_report() - updates the rates from an entry's report
 * @reported_at_ms: time at which the entry made the report
 *
 * The first report of a process only sets the counters from which the next one is measured; so does
 * one that is not newer than the last or has lower counters.
 */
void dem_apply_report (DemTable *table, const wire_report *report, uint64_t reported_at_ms);

/** dem_foreach() - calls @callback for each rate; it must not change the table. */
void dem_foreach (const DemTable *table, void (*callback) (void *user, const DemRate *rate),
                  void *user);

/** dem_remove_vm() - removes the rates of an entry whose process has ended. */
void dem_remove_vm (DemTable *table, const char *vm);

/** dem_expire() - removes the rates whose last report is older than @max_age_ms. */
void dem_expire (DemTable *table, uint64_t now_ms, uint64_t max_age_ms);
