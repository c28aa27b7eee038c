/* Observed states of upstreams, one for each upstream and observing region. */
#include "obs.h"

#include <stdlib.h>
#include <string.h>

#define SENDS_PER_CHANGE 8
#define LOAD_CHANGE_PERMILLE 100

void
obs_init (ObsTable *table)
{
  table->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  table->version = 0;
}

void
obs_clear (ObsTable *table)
{
  g_hash_table_unref (table->by_key);
}

static Obs *
find (const ObsTable *table, const char *id, const char *region)
{
  char key[2 * NAME_MAX_BYTES];

  g_snprintf (key, sizeof key, "%s/%s", id, region);
  return g_hash_table_lookup (table->by_key, key);
}

bool
obs_record (ObsTable *table, const char *id, const char *region, uint32_t state,
            uint32_t load_permille, uint64_t at_ms)
{
  Obs *obs = find (table, id, region);
  bool changed = obs == NULL;

  if (obs != NULL && at_ms <= obs->at_ms)
    return false;
  if (obs == NULL)
    {
      obs = g_new0 (Obs, 1);
      g_strlcpy (obs->id, id, sizeof obs->id);
      g_strlcpy (obs->region, region, sizeof obs->region);
      g_hash_table_insert (table->by_key, g_strdup_printf ("%s/%s", id, region), obs);
    }
  changed = changed || obs->state != state
            || abs ((int) obs->load_permille - (int) load_permille) > LOAD_CHANGE_PERMILLE;
  obs->state = state;
  obs->at_ms = at_ms;
  if (changed || at_ms >= obs->published_at_ms + OBS_REFRESH_MS)
    {
      obs->version = ++table->version;
      obs->published_at_ms = at_ms;
    }
  if (changed)
    {
      obs->load_permille = load_permille;
      obs->sends_left = SENDS_PER_CHANGE;
    }
  return changed;
}

const Obs *
obs_get (const ObsTable *table, const char *id, const char *region)
{
  const Obs *found = find (table, id, region);
  GHashTableIter iter;
  gpointer value;

  if (found != NULL)
    return found;
  g_hash_table_iter_init (&iter, table->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Obs *obs = value;
      if (strcmp (obs->id, id) == 0 && !g_str_has_prefix (obs->region, OBS_SEEN_PREFIX)
          && (found == NULL || obs->at_ms > found->at_ms))
        found = obs;
    }
  return found;
}

/* States that entries took from responses are not refreshed by probes, so they expire. */
static bool
is_current (const Obs *obs, uint64_t now_ms)
{
  return !g_str_has_prefix (obs->region, OBS_SEEN_PREFIX) || now_ms < obs->at_ms + OBS_SEEN_TTL_MS;
}

bool
obs_any_leaving (const ObsTable *table, const char *id, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Obs *obs = value;
      if (obs->state == OBS_LEAVING && strcmp (obs->id, id) == 0 && is_current (obs, now_ms))
        return true;
    }
  return false;
}

const char *
obs_state_name (uint32_t state)
{
  static const char *const names[] = { "up", "down", "leaving" };

  return state <= OBS_LEAVING ? names[state] : "?";
}
