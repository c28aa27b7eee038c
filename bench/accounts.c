/* Benchmark of client accounts: memory, time and longest step of loading by number of keys. */
#include "aut.h"
#include "pdc.h"
#include "pob.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define KEYS_PER_ACCOUNT 10
#define LOOKUPS 200000
#define RUNS 3

static const char routing[] = "\"version\":\"r1\",\"services\":{\"desk\":{}},\"routes\":{\"a\":"
                              "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"service\":\"desk\"}}";
static const AccSecret secret = { { 1 } };

/** struct Timer - time of a task that is done in steps */
typedef struct
{
  const char *task;
  double started_us;
  double sum_us;
  double longest_us;
} Timer;

/* CPU time, so that other processes of the machine do not lengthen a step. */
static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double) now.tv_sec * 1e6 + (double) now.tv_nsec / 1e3;
}

static void
start_step (Timer *timer)
{
  timer->started_us = cpu_us ();
}

static void
end_step (Timer *timer)
{
  double us = cpu_us () - timer->started_us;

  timer->sum_us += us;
  timer->longest_us = MAX (timer->longest_us, us);
}

static void
print_timer (const Timer *timer, uint32_t keys)
{
  printf ("%-34s %10u   %12.2f ms, longest step %.2f ms\n", timer->task, keys, timer->sum_us / 1000,
          timer->longest_us / 1000);
}

static void
write_key (char *key, size_t size, uint32_t index)
{
  g_snprintf (key, size, "key-%016x", index);
}

static char *
make_configuration (uint32_t keys)
{
  GString *text = g_string_new ("{");
  char key[32];

  g_string_append_printf (text, "%s,\"tenants\":{", routing);
  for (uint32_t i = 0; i < keys; i++)
    {
      if (i % KEYS_PER_ACCOUNT == 0)
        g_string_append_printf (text,
                                "%s\"account-%u\":{\"rate-per-s\":100,\"burst\":50,"
                                "\"allowed-regions\":[\"east\",\"west\"],\"api-keys\":[",
                                i > 0 ? "]}," : "", i / KEYS_PER_ACCOUNT);
      write_key (key, sizeof key, i);
      g_string_append_printf (text, "%s\"%s\"", i % KEYS_PER_ACCOUNT > 0 ? "," : "", key);
    }
  g_string_append (text, "]}}}");
  return g_string_free (text, FALSE);
}

static RteTable *
load (const char *text, Timer *timer)
{
  PacReader *reader = pac_new (text, &secret);
  PacState state;
  Err err = { 0 };

  do
    {
      start_step (timer);
      state = pac_step (reader, LOAD_STEP_KEYS, &err);
      end_step (timer);
    }
  while (state == PAC_MORE);
  start_step (timer);
  RteTable *table = pdc_finish_table (reader, &err);
  end_step (timer);
  pac_free (reader);
  return table;
}

static void
read_response (const char *text, Timer *timer)
{
  char *body = g_strdup_printf ("{\"events\":[{\"object\":{\"metadata\":{\"name\":\"main\","
                                "\"revision\":7},\"spec\":%s}}],\"as-of\":7}",
                                text);
  size_t size = strlen (body);
  PobResponse response;
  JscIndex index;
  bool is_indexed;

  jsc_index_start (&index, body, size);
  do
    {
      start_step (timer);
      is_indexed = jsc_index_step (&index, LOAD_STEP_BYTES);
      end_step (timer);
    }
  while (!is_indexed);
  start_step (timer);
  pob_parse_events (body, size, &index, &response);
  end_step (timer);
  pob_clear (&response);
  g_free (body);
}

/* Applies a table, then another one, which replaces and frees the first. */
static void
apply_twice (RteTable *first, RteTable *second, Timer *timer)
{
  const QuoBounds bounds = { .window_ms = 5000, .excess_permille = 100, .slack = 20 };
  Node *node = g_new0 (Node, 1);
  RteTable *tables[] = { first, second };

  node->log = (Log){ .out = stderr, .level = LOG_ERROR, .process = "bench", .vm = "bench" };
  node->settings.regions = g_ptr_array_new ();
  node->quotas = quo_new (&bounds);
  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    {
      RteTable *previous = node->table;
      start_step (timer);
      node->table = tables[i];
      aut_apply_configuration (node, previous);
      if (previous != NULL)
        rte_unref (previous);
      end_step (timer);
      while (aut_is_applying (node))
        {
          start_step (timer);
          aut_apply_step (node);
          end_step (timer);
        }
    }
  rte_unref (node->table);
  quo_free (node->quotas);
  g_ptr_array_unref (node->settings.regions);
  g_free (node);
}

static double
lookup_us (const AccTable *accounts, uint32_t keys)
{
  char key[32];
  uint32_t found = 0;
  double start_us = cpu_us ();

  for (uint32_t i = 0; i < LOOKUPS; i++)
    {
      write_key (key, sizeof key, i * 7919u % (2 * keys));
      AccDigest digest = acc_digest (&secret, key, strlen (key));
      found += acc_find (accounts, &digest) != NULL;
    }
  if (found == 0)
    printf ("no key was found\n");
  return (cpu_us () - start_us) / LOOKUPS;
}

static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
print_memory (const RteTable *table, uint32_t keys, size_t bytes, size_t text_bytes)
{
  printf ("%-34s %10u   %12.2f MB, text %.2f MB, keys alone %.2f MB\n", "accounts: memory by keys",
          keys, (double) bytes / 1e6, (double) text_bytes / 1e6,
          (double) acc_key_bytes (table->accounts) / 1e6);
}

static void
bench_run (const char *text, uint32_t keys)
{
  Timer response = { .task = "accounts: store's response by keys" };
  Timer loading = { .task = "accounts: loading by keys" };
  Timer applying = { .task = "accounts: applying twice by keys" };
  Timer unused = { 0 };
  size_t before = allocated_bytes ();

  read_response (text, &response);
  RteTable *table = load (text, &loading);
  size_t bytes = allocated_bytes () - before;
  print_timer (&response, keys);
  print_timer (&loading, keys);
  print_memory (table, keys, bytes, strlen (text));
  printf ("%-34s %10u   %12.2f us\n", "accounts: look-up by keys", keys,
          lookup_us (table->accounts, keys));
  apply_twice (table, load (text, &unused), &applying);
  print_timer (&applying, keys);
}

static void
bench_keys (uint32_t keys)
{
  char *text = make_configuration (keys);

  for (uint32_t run = 0; run < RUNS; run++)
    bench_run (text, keys);
  printf ("\n");
  g_free (text);
}

int
main (void)
{
  static const uint32_t sizes[] = { 160, 1000, 10000, 100000 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    bench_keys (sizes[i]);
  return 0;
}
