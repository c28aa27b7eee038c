// Demand: smoothed rates from cumulative reports.
#include <glib.h>
#include <rpc/rpc.h>
extern "C"
{
#include "dem.h"
}
#include <gtest/gtest.h>

namespace
{

struct Report
{
  wire_usage usage = {};
  wire_report report = {};
  Report (uint64_t incarnation, uint64_t requests, uint64_t refused, uint64_t busy_ms)
  {
    usage.service = const_cast<char *> ("s");
    usage.group = const_cast<char *> ("g");
    usage.zone = const_cast<char *> ("z");
    usage.requests = requests;
    usage.refused = refused;
    usage.busy_ms = busy_ms;
    report.vm = const_cast<char *> ("e");
    report.incarnation = incarnation;
    report.usage.usage_len = 1;
    report.usage.usage_val = &usage;
  }
};

void
Apply (DemTable *table, const Report &report, uint64_t reported_at_ms)
{
  dem_apply_report (table, &report.report, reported_at_ms);
}

double
InFlightMilli (const DemTable *table)
{
  double rate = -1;
  dem_foreach (
      table,
      [] (void *user, const DemRate *r) { *static_cast<double *> (user) = r->in_flight_milli; },
      &rate);
  return rate;
}

TEST (Dem, RateConvergesToRequestsInFlight)
{
  DemTable table;
  dem_init (&table);
  for (uint64_t s = 0; s < 60; s++)
    Apply (&table, Report (1, s * 100, 0, s * 2000), s * 1000);
  EXPECT_NEAR (2000.0, InFlightMilli (&table), 20.0);
  dem_clear (&table);
}

TEST (Dem, RefusedRequestsCountAsDemand)
{
  DemTable table;
  dem_init (&table);
  for (uint64_t s = 0; s < 60; s++)
    Apply (&table, Report (1, s * 100, s * 100, s * 2000), s * 1000);
  EXPECT_NEAR (4000.0, InFlightMilli (&table), 40.0);
  dem_clear (&table);
}

TEST (Dem, FirstReportOfRestartedEntryKeepsRate)
{
  DemTable table;
  dem_init (&table);
  for (uint64_t s = 0; s < 30; s++)
    Apply (&table, Report (1, s * 100, 0, s * 2000), s * 1000);
  double before = InFlightMilli (&table);
  Apply (&table, Report (2, 5, 0, 100), 31000);
  EXPECT_DOUBLE_EQ (before, InFlightMilli (&table));
  dem_clear (&table);
}

TEST (Dem, RateExpiresOnlyAfterMaximumAge)
{
  DemTable table;
  dem_init (&table);
  Apply (&table, Report (1, 1, 0, 1), 1000);
  dem_expire (&table, 31000, 30000);
  EXPECT_EQ (1u, g_hash_table_size (table.by_key));
  dem_expire (&table, 31001, 30000);
  EXPECT_EQ (0u, g_hash_table_size (table.by_key));
  dem_clear (&table);
}

} // namespace
