/* Benchmarks of pure modules: time and memory by input size. */
#include "blk.h"
#include "bud.h"
#include "mem.h"
#include "pln.h"
#include "wire.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNS 5
#define LOOKUPS 2000000u
#define POINTS_MAX 8

/** struct Series - measured values of one quantity against one dimension */
typedef struct
{
  const char *name;
  const char *unit;
  uint32_t count;
  double x[POINTS_MAX];
  double median[POINTS_MAX];
} Series;

static double
now_us (void)
{
  return (double) g_get_monotonic_time ();
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return x < y ? -1 : x > y;
}

static void
add_point (Series *series, double x, double *values)
{
  qsort (values, RUNS, sizeof *values, compare_doubles);
  printf ("%-34s %10.0f   %12.3f %12.3f %12.3f %s\n", series->name, x, values[0], values[RUNS / 2],
          values[RUNS - 1], series->unit);
  series->x[series->count] = x;
  series->median[series->count] = values[RUNS / 2];
  series->count++;
}

/* Prints a least-squares line through the medians and its largest residual in percent of the
 * largest median. */
static void
print_fit (const Series *series)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double residual_max = 0;
  double median_max = 0;
  double n = series->count;

  for (uint32_t i = 0; i < series->count; i++)
    {
      sx += series->x[i];
      sy += series->median[i];
      sxx += series->x[i] * series->x[i];
      sxy += series->x[i] * series->median[i];
      median_max = fmax (median_max, series->median[i]);
    }
  double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  double intercept = (sy - slope * sx) / n;
  for (uint32_t i = 0; i < series->count; i++)
    residual_max = fmax (residual_max, fabs (series->median[i] - intercept - slope * series->x[i]));
  printf ("%-34s fit: %.6g + %.6g n %s, residual %.1f %%\n\n", series->name, intercept, slope,
          series->unit, median_max > 0 ? 100 * residual_max / median_max : 0);
}

/* ---- Client blocks ---- */

static BlkBlock *
make_blocks (size_t count, GRand *random)
{
  BlkBlock *blocks = g_new (BlkBlock, count);

  for (size_t i = 0; i < count; i++)
    {
      uint8_t length = (uint8_t) g_rand_int_range (random, 16, 25);
      blocks[i] = (BlkBlock){ .ip = g_rand_int (random) & (~0u << (32 - length)),
                              .length = length,
                              .group = (uint16_t) g_rand_int_range (random, 0, 11) };
    }
  return blocks;
}

static double
lookups_per_s (const BlkTable *table, uint16_t (*lookup) (const BlkTable *, uint32_t))
{
  uint32_t ip = 12345;
  uint32_t sum = 0;
  double start = now_us ();

  for (uint32_t i = 0; i < LOOKUPS; i++)
    {
      ip = ip * 1664525u + 1013904223u;
      sum += lookup (table, ip);
    }
  double elapsed = now_us () - start;
  return sum == 1 ? 0 : LOOKUPS / elapsed;
}

static void
bench_blocks (void)
{
  static const size_t sizes[] = { 100000, 500000, 1000000, 2000000, 4100000 };
  Series build = { .name = "blocks: build", .unit = "ms" };
  Series bytes = { .name = "blocks: memory", .unit = "MB" };
  Series indexed = { .name = "blocks: look-ups, indexed", .unit = "M/s" };
  Series plain = { .name = "blocks: look-ups, plain search", .unit = "M/s" };

  for (uint32_t size_index = 0; size_index < G_N_ELEMENTS (sizes); size_index++)
    {
      double values[4][RUNS];
      for (uint32_t run = 0; run < RUNS; run++)
        {
          GRand *random = g_rand_new_with_seed (run + 1);
          BlkBlock *blocks = make_blocks (sizes[size_index], random);
          double start = now_us ();
          BlkTable *table = blk_build (blocks, sizes[size_index]);
          values[0][run] = (now_us () - start) / 1000;
          values[1][run] = (double) blk_bytes (table) / 1e6;
          values[2][run] = lookups_per_s (table, blk_lookup);
          values[3][run] = lookups_per_s (table, blk_lookup_unindexed);
          blk_unref (table);
          g_free (blocks);
          g_rand_free (random);
        }
      add_point (&build, (double) sizes[size_index], values[0]);
      add_point (&bytes, (double) sizes[size_index], values[1]);
      add_point (&indexed, (double) sizes[size_index], values[2]);
      add_point (&plain, (double) sizes[size_index], values[3]);
    }
  print_fit (&build);
  print_fit (&bytes);
}

/* ---- Plan ---- */

static void
fill_input (PlnInput *input, uint32_t zones, GRand *random)
{
  memset (input, 0, sizeof *input);
  input->zone_count = zones;
  for (uint32_t a = 0; a < zones; a++)
    {
      input->region_of[a] = (uint8_t) (a % 4);
      input->capacity_milli[a] = 100000;
      input->demand_milli[a] = (uint64_t) g_rand_int_range (random, 0, 120000);
      input->demand_known[a] = true;
      for (uint32_t b = 0; b < zones; b++)
        input->latency_ms[a][b] = a == b ? 0 : (a % 4 == b % 4 ? 1 : 35);
    }
}

static void
bench_targets (void)
{
  static const uint32_t sizes[] = { 2, 4, 6, 8, 11, 16 };
  Series series = { .name = "plan: targets of a service by zones", .unit = "us" };

  for (uint32_t size_index = 0; size_index < G_N_ELEMENTS (sizes); size_index++)
    {
      double values[RUNS];
      for (uint32_t run = 0; run < RUNS; run++)
        {
          GRand *random = g_rand_new_with_seed (run + 1);
          uint32_t current[ZONES_MAX][ZONES_MAX] = { { 0 } };
          uint32_t target[ZONES_MAX][ZONES_MAX];
          PlnInput input;
          double start = now_us ();
          for (uint32_t i = 0; i < 200; i++)
            {
              fill_input (&input, sizes[size_index], random);
              pln_targets (&input, current, target);
              memcpy (current, target, sizeof current);
            }
          values[run] = (now_us () - start) / 200;
          g_rand_free (random);
        }
      add_point (&series, sizes[size_index] * sizes[size_index], values);
    }
  print_fit (&series);
}

static void
bench_budgets (void)
{
  static const uint32_t sizes[] = { 10, 40, 160, 320, 640 };
  Series time = { .name = "plan: budgets of a zone by entries", .unit = "us" };

  for (uint32_t size_index = 0; size_index < G_N_ELEMENTS (sizes); size_index++)
    {
      double values[RUNS];
      for (uint32_t run = 0; run < RUNS; run++)
        {
          GRand *random = g_rand_new_with_seed (run + 1);
          uint64_t *weights = g_new (uint64_t, sizes[size_index]);
          BudTable table;
          char name[32];
          bud_init (&table);
          for (uint32_t i = 0; i < sizes[size_index]; i++)
            {
              g_snprintf (name, sizeof name, "e%u", i);
              bud_add_row (&table, name, 1);
              weights[i] = g_rand_int (random) % 1000;
            }
          double start = now_us ();
          for (uint32_t i = 0; i < 20; i++)
            bud_replan (&table, 0, 2000, weights);
          values[run] = (now_us () - start) / 20;
          bud_clear (&table);
          g_free (weights);
          g_rand_free (random);
        }
      add_point (&time, sizes[size_index], values);
    }
  print_fit (&time);
}

/* ---- Sizes of state and messages ---- */

static char *
plan_text (uint32_t entries, uint32_t services, const Cfg *cfg)
{
  Plan *plan = pln_new ();
  char name[32];
  char *text;

  for (uint32_t service_index = 0; service_index < services; service_index++)
    {
      g_snprintf (name, sizeof name, "service-%u", service_index);
      PlnService *service = pln_add_service (plan, name);
      for (uint32_t g = 0; g < cfg->zones->len; g++)
        {
          service->groups[g].present = true;
          service->groups[g].state.shares_ppm[g] = 600000;
          service->groups[g].state.shares_ppm[(g + 1) % cfg->zones->len] = 400000;
        }
      for (uint32_t e = 0; e < entries; e++)
        {
          g_snprintf (name, sizeof name, "entry-vm-%u", e);
          BudRow *row = bud_add_row (&service->budgets, name, 1796361373550000u);
          for (uint32_t z = 0; z < 4; z++)
            row->now[z] = row->ceiling[z] = 3;
        }
    }
  text = pln_encode (plan, cfg, 1000);
  pln_free (plan);
  return text;
}

static Cfg *
eleven_zones (ObjTable *table)
{
  obj_init (table);
  obj_apply (table, "platform/regions/r1", 1, false,
             "{\"schema\":1,\"zones\":[\"a1\",\"a2\",\"a3\"],\"max_inflight\":1000}");
  obj_apply (table, "platform/regions/r2", 2, false,
             "{\"schema\":1,\"zones\":[\"b1\",\"b2\",\"b3\"],\"max_inflight\":1000}");
  obj_apply (table, "platform/regions/r3", 3, false,
             "{\"schema\":1,\"zones\":[\"c1\",\"c2\",\"c3\"],\"max_inflight\":1000}");
  obj_apply (table, "platform/regions/r4", 4, false,
             "{\"schema\":1,\"zones\":[\"d1\",\"d2\"],\"max_inflight\":1000}");
  return cfg_build (table);
}

static void
bench_plan_size (void)
{
  static const uint32_t sizes[] = { 10, 40, 160, 640 };
  Series bytes = { .name = "plan: bytes of a service by entries", .unit = "KB" };
  Series read = { .name = "plan: decoding by entries", .unit = "ms" };
  ObjTable table;
  Cfg *cfg = eleven_zones (&table);

  for (uint32_t size_index = 0; size_index < G_N_ELEMENTS (sizes); size_index++)
    {
      double size[RUNS];
      double time[RUNS];
      for (uint32_t run = 0; run < RUNS; run++)
        {
          char *text = plan_text (sizes[size_index], 1, cfg);
          double start = now_us ();
          Plan *plan = pln_decode (text, cfg, 0, NULL);
          time[run] = (now_us () - start) / 1000;
          size[run] = (double) strlen (text) / 1000;
          pln_free (plan);
          g_free (text);
        }
      add_point (&bytes, sizes[size_index], size);
      add_point (&read, sizes[size_index], time);
    }
  print_fit (&bytes);
  print_fit (&read);
  cfg_free (cfg);
  obj_clear (&table);
}

static void
bench_messages (void)
{
  static const uint32_t sizes[] = { 1, 4, 12, 24 };
  Series gossip = { .name = "gossip: message by members told", .unit = "bytes" };
  Series report = { .name = "report: message by group and zone", .unit = "bytes" };
  MemMember member = { .vm = "entry-vm-123", .region = "region-1", .zone = "zone-1a" };
  wire_usage usage = { .service = "billing-desk", .group = "zone-1a", .zone = "zone-1b" };

  for (uint32_t size_index = 0; size_index < G_N_ELEMENTS (sizes); size_index++)
    {
      double gossip_bytes[RUNS];
      double report_bytes[RUNS];
      wire_gossip gossip_message = { .items.items_val = g_new0 (wire_item, sizes[size_index]),
                                     .items.items_len = sizes[size_index] };
      wire_report report_message = { .vm = member.vm,
                                     .usage.usage_val = g_new0 (wire_usage, sizes[size_index]),
                                     .usage.usage_len = sizes[size_index] };
      mem_to_wire (&member, &gossip_message.from);
      for (uint32_t i = 0; i < sizes[size_index]; i++)
        {
          mem_to_wire (&member, &gossip_message.items.items_val[i].wire_item_u.member);
          report_message.usage.usage_val[i] = usage;
        }
      for (uint32_t run = 0; run < RUNS; run++)
        {
          gossip_bytes[run] = (double) xdr_sizeof ((xdrproc_t) xdr_wire_gossip, &gossip_message);
          report_bytes[run] = (double) xdr_sizeof ((xdrproc_t) xdr_wire_report, &report_message);
        }
      add_point (&gossip, sizes[size_index], gossip_bytes);
      add_point (&report, sizes[size_index], report_bytes);
      g_free (report_message.usage.usage_val);
      xdr_free ((xdrproc_t) xdr_wire_gossip, &gossip_message);
    }
  print_fit (&gossip);
  print_fit (&report);
}

static void
bench_config (void)
{
  static const uint32_t sizes[] = { 10, 50, 200, 500, 1000 };
  Series series = { .name = "config: build by services of 8 upstreams", .unit = "ms" };

  for (uint32_t size_index = 0; size_index < G_N_ELEMENTS (sizes); size_index++)
    {
      ObjTable table;
      double values[RUNS];
      cfg_free (eleven_zones (&table));
      for (uint32_t i = 0; i < sizes[size_index]; i++)
        {
          char path[64];
          GString *value = g_string_new ("{\"schema\":1,\"upstreams\":[");
          for (uint32_t u = 0; u < 8; u++)
            g_string_append_printf (value,
                                    "%s{\"id\":\"u%u\",\"addr\":\"10.0.0.%u:80\","
                                    "\"zone\":\"a1\",\"slots\":6}",
                                    u > 0 ? "," : "", u, u);
          g_string_append (value, "]}");
          g_snprintf (path, sizeof path, "teams/t/services/s%u", i);
          obj_apply (&table, path, 10 + i, false, value->str);
          g_string_free (value, TRUE);
        }
      for (uint32_t run = 0; run < RUNS; run++)
        {
          double start = now_us ();
          cfg_free (cfg_build (&table));
          values[run] = (now_us () - start) / 1000;
        }
      add_point (&series, sizes[size_index], values);
      obj_clear (&table);
    }
  print_fit (&series);
}

int
main (void)
{
  printf ("%-34s %10s   %12s %12s %12s\n", "quantity", "n", "minimum", "median", "maximum");
  bench_targets ();
  bench_budgets ();
  bench_plan_size ();
  bench_messages ();
  bench_config ();
  bench_blocks ();
  return 0;
}
