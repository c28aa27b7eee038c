extern "C"
{
#include "rgn.h"
}

#include <cstdio>
#include <gtest/gtest.h>
#include <string>

namespace
{
std::string
Logged (RgnCounts *counts)
{
  char *text = nullptr;
  size_t size = 0;
  Log log = {};
  log.out = open_memstream (&text, &size);
  log.process = "node";
  log.vm = "edge-1";
  rgn_log (counts, 3, &log);
  fclose (log.out);
  std::string line (text, size);
  free (text);
  return line;
}
}

TEST (Rgn, LogsCountsByRegionAndResetsThem)
{
  RgnCounts counts = {};
  rgn_count_sent (&counts, 0, true);
  rgn_count_sent (&counts, 2, true);
  rgn_count_sent (&counts, 2, false);
  rgn_count_connected (&counts, 2);
  std::string line = Logged (&counts);
  EXPECT_NE (line.find ("event=requests_by_region sent=1,0,2 objectless=0,0,1 connected=0,0,1"),
             std::string::npos)
      << line;
  EXPECT_EQ (Logged (&counts), "");
}

TEST (Rgn, IgnoresInvalidRegions)
{
  RgnCounts counts = {};
  rgn_count_sent (&counts, REGIONS_MAX, true);
  rgn_count_sent (&counts, ZONE_NONE, false);
  rgn_count_connected (&counts, REGIONS_MAX);
  EXPECT_EQ (Logged (&counts), "");
}
