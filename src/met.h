/* Metrics: counters, gauges and latency histograms in the Prometheus text format. */
#pragma once

#include <glib.h>
#include <stdint.h>

#define MET_BUCKETS 96

/**
 * struct MetHistogram - latency histogram with exponential buckets, four per doubling
 * @bucket: number of values in each bucket, not cumulative
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

/** met_quantile_us() - upper bound of the bucket with the @q quantile (0 to 1), 0 when empty. */
uint64_t met_quantile_us (const MetHistogram *histogram, double q);

/** met_write_value() - appends one sample line with optional @labels (the text between the braces,
 * NULL for none). */
void met_write_value (GString *out, const char *name, const char *labels, uint64_t value);

/** met_write_histogram() - appends a histogram with cumulative buckets in seconds. */
void met_write_histogram (GString *out, const char *name, const MetHistogram *histogram);
