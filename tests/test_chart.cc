// State charts: the shipped chart loads; an invalid chart fails with an error text that names the
// fault.
#include <glib.h>
extern "C"
{
#include "chart.h"
#include "hlt.h"
}
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <string>

namespace
{

const char *const kStates[] = { "a", "b", nullptr };
const char *const kEvents[] = { "go", "back", nullptr };

std::string
LoadError (const std::string &text)
{
  std::string path = ::testing::TempDir () + "chart_test.chart";
  std::ofstream (path) << text;
  Chart chart;
  Err err = {};
  bool ok = chart_load (&chart, path.c_str (), kStates, kEvents, &err);
  std::remove (path.c_str ());
  return ok ? "" : err.text;
}

TEST (Chart, ValidChartLoads)
{
  EXPECT_EQ ("", LoadError ("# text\ninitial a\non a go -> b\non b back -> a\n"));
}

TEST (Chart, InvalidChartFailsWithErrorThatNamesFault)
{
  EXPECT_NE (std::string::npos, LoadError ("initial c\n").find ("unknown state 'c'"));
  EXPECT_NE (std::string::npos,
             LoadError ("initial a\non a fly -> b\n").find ("unknown event 'fly'"));
  EXPECT_NE (std::string::npos,
             LoadError ("initial a\non a go -> a\non a back -> a\n").find ("'b' is unreachable"));
  EXPECT_NE (std::string::npos,
             LoadError ("initial a\non a go -> b\n").find ("'back' has no transition"));
  EXPECT_NE (std::string::npos, LoadError ("on a go -> b\n").find ("no initial state"));
  EXPECT_NE (std::string::npos, LoadError ("initial a\nnonsense\n").find ("cannot read"));
  EXPECT_NE (std::string::npos,
             LoadError ("initial a\non a go -> b\non a go -> a\n").find ("second transition"));
}

TEST (Chart, ImpossibleEventIsCountedAndKeepsState)
{
  std::string path = ::testing::TempDir () + "chart_test2.chart";
  std::ofstream (path) << "initial a\non a go -> b\non b back -> a\n";
  Chart chart;
  Err err = {};
  ASSERT_TRUE (chart_load (&chart, path.c_str (), kStates, kEvents, &err));
  std::remove (path.c_str ());
  int32_t state = chart.initial;
  EXPECT_FALSE (chart_step (&chart, &state, 1));
  EXPECT_EQ (0, state);
  EXPECT_EQ (1u, chart.impossible_events);
  EXPECT_TRUE (chart_step (&chart, &state, 0));
  EXPECT_EQ (1, state);
}

TEST (Chart, ShippedUpstreamChartLoads)
{
  Chart chart;
  Err err = {};
  EXPECT_TRUE (hlt_chart_load (&chart, "charts", &err)) << err.text;
}

} // namespace
