/* Demand: rates of each entry's usage, smoothed, from its cumulative reports. */
#include "dem.h"

#include <math.h>
#include <string.h>

#define SMOOTHING_MS 5000.0

void
dem_init (DemTable *table)
{
  table->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dem_clear (DemTable *table)
{
  g_hash_table_unref (table->by_key);
}

static DemRate *
rate_of (DemTable *table, const char *vm, const wire_usage *usage)
{
  char *key = g_strdup_printf ("%s/%s/%s/%s", vm, usage->service, usage->group, usage->zone);
  DemRate *rate = g_hash_table_lookup (table->by_key, key);

  if (rate != NULL)
    {
      g_free (key);
      return rate;
    }
  rate = g_new0 (DemRate, 1);
  g_strlcpy (rate->vm, vm, sizeof rate->vm);
  g_strlcpy (rate->service, usage->service, sizeof rate->service);
  g_strlcpy (rate->group, usage->group, sizeof rate->group);
  g_strlcpy (rate->zone, usage->zone, sizeof rate->zone);
  g_hash_table_insert (table->by_key, key, rate);
  return rate;
}

/* Refused requests count as if they had taken as long as the others. */
static double
offered_milli (const DemRate *rate, const wire_usage *usage, double elapsed_ms)
{
  double busy = (double) (usage->busy_ms - rate->last.busy_ms);
  double requests = (double) (usage->requests - rate->last.requests);
  double refused = (double) (usage->refused - rate->last.refused);

  if (requests > 0)
    busy *= (requests + refused) / requests;
  return busy * 1000.0 / elapsed_ms;
}

static void
take_usage (DemRate *rate, const wire_usage *usage, uint64_t incarnation, uint64_t at_ms)
{
  bool continues = rate->incarnation == incarnation && at_ms > rate->at_ms
                   && usage->busy_ms >= rate->last.busy_ms
                   && usage->requests >= rate->last.requests;

  if (continues)
    {
      double elapsed_ms = (double) (at_ms - rate->at_ms);
      double weight = 1.0 - exp (-elapsed_ms / SMOOTHING_MS);
      double bytes = (double) (usage->bytes - rate->last.bytes) * 1000.0 / elapsed_ms;
      rate->in_flight_milli
          += weight * (offered_milli (rate, usage, elapsed_ms) - rate->in_flight_milli);
      rate->bytes_per_s += weight * (bytes - rate->bytes_per_s);
    }
  rate->incarnation = incarnation;
  rate->at_ms = at_ms;
  rate->last = *usage;
  rate->last.service = rate->last.group = rate->last.zone = NULL;
}

void
dem_take (DemTable *table, const wire_report *report, uint64_t at_ms)
{
  for (u_int i = 0; i < report->usage.usage_len; i++)
    take_usage (rate_of (table, report->vm, &report->usage.usage_val[i]),
                &report->usage.usage_val[i], report->incarnation, at_ms);
}

void
dem_each (const DemTable *table, void (*fn) (void *user, const DemRate *rate), void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    fn (user, value);
}

void
dem_forget (DemTable *table, uint64_t now_ms, uint64_t max_age_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((DemRate *) value)->at_ms > max_age_ms)
      g_hash_table_iter_remove (&iter);
}

static gboolean
is_of_vm (gpointer key, gpointer value, gpointer user)
{
  (void) key;
  return strcmp (((DemRate *) value)->vm, user) == 0;
}

void
dem_drop (DemTable *table, const char *vm)
{
  g_hash_table_foreach_remove (table->by_key, is_of_vm, (gpointer) vm);
}
