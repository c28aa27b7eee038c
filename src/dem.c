/* Demand: smoothed rates of each entry, from the cumulative counters of its reports. */
#include "dem.h"

#include <math.h>
#include <string.h>

/* Time constant of the exponential smoothing. */
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

/* Requests in flight that were offered, in thousandths: refused requests count with the average
 * duration of the others. */
static double
offered_milli (const DemRate *rate, const wire_usage *usage, double elapsed_ms)
{
  double busy_ms = (double) (usage->busy_ms - rate->last_usage.busy_ms);
  double requests = (double) (usage->requests - rate->last_usage.requests);
  double refused = (double) (usage->refused - rate->last_usage.refused);

  if (requests > 0)
    busy_ms *= (requests + refused) / requests;
  return busy_ms * 1000.0 / elapsed_ms;
}

static void
apply_usage (DemRate *rate, const wire_usage *usage, uint64_t incarnation, uint64_t reported_at_ms)
{
  bool continues = rate->incarnation == incarnation && reported_at_ms > rate->reported_at_ms
                   && usage->busy_ms >= rate->last_usage.busy_ms
                   && usage->requests >= rate->last_usage.requests;

  if (continues)
    {
      double elapsed_ms = (double) (reported_at_ms - rate->reported_at_ms);
      double weight = 1.0 - exp (-elapsed_ms / SMOOTHING_MS);
      double bytes_per_s = (double) (usage->bytes - rate->last_usage.bytes) * 1000.0 / elapsed_ms;
      rate->in_flight_milli
          += weight * (offered_milli (rate, usage, elapsed_ms) - rate->in_flight_milli);
      rate->bytes_per_s += weight * (bytes_per_s - rate->bytes_per_s);
    }
  rate->incarnation = incarnation;
  rate->reported_at_ms = reported_at_ms;
  rate->last_usage = *usage;
  rate->last_usage.service = rate->last_usage.group = rate->last_usage.zone = NULL;
}

void
dem_apply_report (DemTable *table, const wire_report *report, uint64_t reported_at_ms)
{
  for (u_int i = 0; i < report->usage.usage_len; i++)
    apply_usage (rate_of (table, report->vm, &report->usage.usage_val[i]),
                 &report->usage.usage_val[i], report->incarnation, reported_at_ms);
}

void
dem_foreach (const DemTable *table, void (*callback) (void *user, const DemRate *rate), void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    callback (user, value);
}

void
dem_expire (DemTable *table, uint64_t now_ms, uint64_t max_age_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((DemRate *) value)->reported_at_ms > max_age_ms)
      g_hash_table_iter_remove (&iter);
}

static gboolean
is_of_vm (gpointer key, gpointer value, gpointer user)
{
  (void) key;
  return strcmp (((DemRate *) value)->vm, user) == 0;
}

void
dem_remove_vm (DemTable *table, const char *vm)
{
  g_hash_table_foreach_remove (table->by_key, is_of_vm, (gpointer) vm);
}
