/* Load patterns for learned capacity: upstreams of one service that differ. */
#include "mlc.h"

/* clang-format off */
#define COMMON                                                                                     \
  .upstreams = { 8, 8, 8 }, .nodes = { 3, 3, 3 }, .slots = 6, .queue = 18, .cache_objects = 24,    \
  .objects = 96, .swing_permille = 300, .cold_ms = 640, .warm_ms = 200, .objective_ms = 500,       \
  .timeout_ms = 2000, .remote_rtt_ms = 70, .view_ms = 100, .lost_region = REGIONS_MAX, .seconds = 60
#define ONE_UPSTREAM                                                                               \
  .upstreams = { 1 }, .slots = 32, .queue = 32, .cache_objects = 24, .objects = 16,                \
  .rate_per_s = 110, .cold_ms = 640, .warm_ms = 200, .objective_ms = 500, .timeout_ms = 2000,      \
  .remote_rtt_ms = 70, .lost_region = REGIONS_MAX, .seconds = 60
/* clang-format on */

static const MdlLoad loads[] = {
  { .name = "no-differences", COMMON, .rate_per_s = 280 },
  { .name = "three-speeds",
    COMMON,
    .rate_per_s = 300,
    .machines = { .speed_permille = { 600, 1000, 1500 } } },
  { .name = "three-speeds-reported",
    COMMON,
    .rate_per_s = 300,
    .machines = { .speed_permille = { 600, 1000, 1500 }, .reports = MDL_REPORTS_TRUE } },
  { .name = "knee",
    COMMON,
    .rate_per_s = 220,
    .machines = { .knee_permille = 500, .reports = MDL_REPORTS_TRUE } },
  { .name = "noise",
    COMMON,
    .rate_per_s = 220,
    .machines = { .noise_permille = 167, .noise_ms = 600, .reports = MDL_REPORTS_TRUE } },
  { .name = "noise-unreported",
    COMMON,
    .rate_per_s = 220,
    .machines = { .noise_permille = 167, .noise_ms = 600 } },
  { .name = "slow-and-recovered",
    COMMON,
    .rate_per_s = 260,
    .machines = { .slow_from_s = 10, .slow_to_s = 22 } },
  { .name = "all-slow",
    COMMON,
    .rate_per_s = 160,
    .machines = { .all_slow_from_s = 10, .all_slow_to_s = 25 } },
  { .name = "false-header",
    COMMON,
    .rate_per_s = 280,
    .machines = { .reports = MDL_REPORTS_TRUE, .false_permille = 250 } },
  { .name = "one-node",
    ONE_UPSTREAM,
    .nodes = { 1 },
    .view_ms = 100,
    .bursts = { { .region = 0, .from_s = 30, .to_s = 36, .factor = 2.0 } },
    .machines = { .reports = MDL_REPORTS_TRUE } },
  { .name = "300-nodes",
    ONE_UPSTREAM,
    .nodes = { 300 },
    .view_ms = 500,
    .bursts = { { .region = 0, .from_s = 30, .to_s = 36, .factor = 2.0 } },
    .machines = { .reports = MDL_REPORTS_TRUE } },
  { .name = NULL },
};

const MdlLoad *
mlc_loads (void)
{
  return loads;
}

const MdlLoad *
mlc_load (const char *name)
{
  return mdl_find (loads, name);
}
