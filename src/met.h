/* Counters, gauges and latency histograms in the text exposition format. */
#pragma once

#include <glib.h>
#include <stdint.h>

#define MET_BUCKETS 96

/**
 * struct MetHistogram - latency counts in exponential buckets, four per doubling
 * @count: number of values
 * @sum_us: sum of all values, microseconds
 */
typedef struct
{
  uint64_t bucket[MET_BUCKETS];
  uint64_t count;
  uint64_t sum_us;
} MetHistogram;

/** met_observe() - adds one value in microseconds. */
void met_observe (MetHistogram *histogram, uint64_t value_us);

/** met_quantile_us() - upper bound of the bucket that holds the @q quantile, microseconds. */
uint64_t met_quantile_us (const MetHistogram *histogram, double q);

/** met_write_value() - appends one sample line with optional @labels (text within braces). */
void met_write_value (GString *out, const char *name, const char *labels, uint64_t value);

/** met_write_histogram() - appends a histogram with cumulative buckets in seconds. */
void met_write_histogram (GString *out, const char *name, const MetHistogram *histogram);
