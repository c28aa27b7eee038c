/* Metrics: counters, gauges and latency histograms in the Prometheus text format. */
#include "met.h"

#include <math.h>

static uint64_t
bucket_upper_us (uint32_t index)
{
  return (uint64_t) (8.0 * pow (2.0, (double) (index + 1) / 4.0));
}

/* Where the search starts: the value's bucket or one shortly before it. */
static uint32_t
search_start (uint64_t value_us)
{
  double index = value_us > 8 ? floor (4.0 * log2 ((double) value_us / 8.0)) - 2.0 : 0.0;

  return (uint32_t) CLAMP (index, 0.0, MET_BUCKETS - 1.0);
}

void
met_observe (MetHistogram *histogram, uint64_t value_us)
{
  uint32_t index = search_start (value_us);

  while (index + 1 < MET_BUCKETS && bucket_upper_us (index) < value_us)
    index++;
  histogram->bucket[index]++;
  histogram->count++;
  histogram->sum_us += value_us;
}

uint64_t
met_quantile_us (const MetHistogram *histogram, double q)
{
  uint64_t rank = (uint64_t) ceil (q * (double) histogram->count);
  uint64_t cumulative = 0;

  for (uint32_t i = 0; i < MET_BUCKETS; i++)
    {
      cumulative += histogram->bucket[i];
      if (cumulative >= rank && cumulative > 0)
        return bucket_upper_us (i);
    }
  return 0;
}

void
met_write_value (GString *out, const char *name, const char *labels, uint64_t value)
{
  if (labels != NULL)
    g_string_append_printf (out, "%s{%s} %" G_GUINT64_FORMAT "\n", name, labels, value);
  else
    g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n", name, value);
}

void
met_write_histogram (GString *out, const char *name, const MetHistogram *histogram)
{
  uint64_t cumulative = 0;

  g_string_append_printf (out, "# TYPE %s histogram\n", name);
  for (uint32_t i = 0; i < MET_BUCKETS; i++)
    {
      cumulative += histogram->bucket[i];
      if (histogram->bucket[i] == 0)
        continue;
      g_string_append_printf (out, "%s_bucket{le=\"%.6f\"} %" G_GUINT64_FORMAT "\n", name,
                              (double) bucket_upper_us (i) / 1e6, cumulative);
    }
  g_string_append_printf (out, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name, cumulative);
  g_string_append_printf (out, "%s_sum %.6f\n", name, (double) histogram->sum_us / 1e6);
  g_string_append_printf (out, "%s_count %" G_GUINT64_FORMAT "\n", name, histogram->count);
}
