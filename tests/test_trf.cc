// Traffic: byte counters by purpose and distance.
#include <glib.h>

extern "C"
{
#include "lim.h"
#include "trf.h"
}

#include <cstdio>
#include <gtest/gtest.h>
#include <string>

namespace
{
std::string
Logged (Trf *trf, uint64_t now_ms)
{
  char *text = nullptr;
  size_t size = 0;
  Log log = {};
  log.out = open_memstream (&text, &size);
  log.process = "node";
  log.vm = "edge-1";
  trf_log (trf, &log, now_ms);
  fclose (log.out);
  std::string line (text, size);
  free (text);
  return line;
}

bool
Contains (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}

std::string
Text (GString *string)
{
  std::string text (string->str, string->len);
  g_string_free (string, TRUE);
  return text;
}
}

// Bytes between regions are billed, so a zone must not count as nearer than it is.
TEST (Trf, DistanceFollowsZoneAndRegion)
{
  EXPECT_EQ (trf_distance (3, 1, 3, 1), TRF_ZONE);
  EXPECT_EQ (trf_distance (3, 1, 4, 1), TRF_REGION);
  EXPECT_EQ (trf_distance (3, 1, 0, 0), TRF_REMOTE);
  EXPECT_EQ (trf_distance (3, 1, ZONE_NONE, REGIONS_MAX), TRF_UNKNOWN);
}

// Processes without a Trf, such as entry, use the same connection modules.
TEST (Trf, WithoutACounterNothingIsCounted)
{
  EXPECT_EQ (trf_count (nullptr, TRF_VIEWS, TRF_ZONE), nullptr);
  trf_add_sent (nullptr, 5);
  trf_add_received (nullptr, 5);
}

// A line that repeated earlier bytes would add up to more than was sent.
TEST (Trf, LogsTheBytesSinceTheLastLineOncePerPeriod)
{
  Trf trf = {};
  trf_add_sent (trf_count (&trf, TRF_VIEWS, TRF_REGION), 120);
  trf_add_received (trf_count (&trf, TRF_VIEWS, TRF_REMOTE), 7);
  std::string first = Logged (&trf, 1000);
  EXPECT_TRUE (Contains (first, "event=traffic period_ms=0 "
                                "views_sent=0,120,0,0 views_received=0,0,7,0\n"))
      << first;
  trf_add_sent (trf_count (&trf, TRF_VIEWS, TRF_REGION), 30);
  EXPECT_EQ (Logged (&trf, 1000 + TRF_LOG_PERIOD_MS - 1), "");
  std::string second = Logged (&trf, 1000 + TRF_LOG_PERIOD_MS);
  EXPECT_TRUE (Contains (second, "views_sent=0,30,0,0 views_received=0,0,0,0\n")) << second;
  EXPECT_EQ (Logged (&trf, 1000 + 2 * TRF_LOG_PERIOD_MS), "");
}

// log_event() cuts off lines of more than 2 KB.
TEST (Trf, LineWithAllCountersIsNotCutOff)
{
  Trf trf = {};
  for (int purpose = 0; purpose < TRF_PURPOSES; purpose++)
    for (int distance = 0; distance < TRF_DISTANCES; distance++)
      {
        TrfCount *count = trf_count (&trf, static_cast<TrfPurpose> (purpose),
                                     static_cast<TrfDistance> (distance));
        trf_add_sent (count, 10000000000u);
        trf_add_received (count, 10000000000u);
      }
  std::string line = Logged (&trf, 1000);
  EXPECT_TRUE (
      Contains (line, "lookups_received=10000000000,10000000000,10000000000,10000000000\n"))
      << line.size ();
}

TEST (Trf, DumpHasALineForEachPurpose)
{
  Trf trf = {};
  trf_add_received (trf_count (&trf, TRF_STORE, TRF_UNKNOWN), 44);
  GString *out = g_string_new (nullptr);
  trf_dump (&trf, out);
  std::string text = Text (out);
  EXPECT_TRUE (Contains (text, "traffic=upstreams sent=0,0,0,0 received=0,0,0,0\n")) << text;
  EXPECT_TRUE (Contains (text, "traffic=store sent=0,0,0,0 received=0,0,0,44\n")) << text;
  EXPECT_TRUE (Contains (text, "traffic=lookups ")) << text;
}

TEST (Trf, MetricsAreLabelledAndOmitZeros)
{
  Trf trf = {};
  trf_add_sent (trf_count (&trf, TRF_SUMMARIES, TRF_REMOTE), 9);
  GString *out = g_string_new (nullptr);
  trf_write_metrics (&trf, "bytes_total", out);
  EXPECT_EQ (Text (out),
             "bytes_total{purpose=\"summaries\",distance=\"remote\",direction=\"sent\"} 9\n");
}
