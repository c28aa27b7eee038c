// Metrics: counters and histograms.
#include <glib.h>
extern "C"
{
#include "met.h"
}
#include <gtest/gtest.h>
#include <string>

namespace
{

TEST (Met, QuantileErrorIsWithinOneBucket)
{
  MetHistogram histogram = {};
  for (uint64_t us = 1; us <= 100000; us++)
    met_observe (&histogram, us);
  EXPECT_NEAR (50000.0, (double) met_quantile_us (&histogram, 0.5), 50000.0 * 0.2);
  EXPECT_NEAR (99000.0, (double) met_quantile_us (&histogram, 0.99), 99000.0 * 0.2);
}

TEST (Met, QuantileOfEmptyHistogramIsZero)
{
  MetHistogram histogram = {};
  EXPECT_EQ (0u, met_quantile_us (&histogram, 0.99));
}

TEST (Met, WritesPrometheusTextFormat)
{
  MetHistogram histogram = {};
  GString *out = g_string_new (NULL);
  met_observe (&histogram, 1000);
  met_write_value (out, "x_total", "zone=\"a\"", 3);
  met_write_histogram (out, "x_seconds", &histogram);
  std::string text (out->str);
  EXPECT_NE (std::string::npos, text.find ("x_total{zone=\"a\"} 3\n"));
  EXPECT_NE (std::string::npos, text.find ("x_seconds_bucket{le=\"+Inf\"} 1\n"));
  EXPECT_NE (std::string::npos, text.find ("x_seconds_count 1\n"));
  g_string_free (out, TRUE);
}

} // namespace
