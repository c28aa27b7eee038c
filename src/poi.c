/* Poison requests: upstream crashes counted by request fingerprint, exchanged between nodes. */
#include "poi.h"

#include <string.h>

#define DOUBLINGS_MAX 16u

void
poi_init (PoiTable *table, uint32_t crashes_max)
{
  table->by_fingerprint = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->crashes_max = crashes_max;
  table->version = 0;
}

void
poi_clear (PoiTable *table)
{
  g_hash_table_unref (table->by_fingerprint);
}

uint64_t
poi_fingerprint (const char *method, const char *path, const void *body, size_t size)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 digest[32];
  gsize length = sizeof digest;
  uint64_t fingerprint;

  g_checksum_update (checksum, (const guchar *) method, (gssize) strlen (method) + 1);
  g_checksum_update (checksum, (const guchar *) path, (gssize) strlen (path) + 1);
  if (size > 0)
    g_checksum_update (checksum, body, (gssize) size);
  g_checksum_get_digest (checksum, digest, &length);
  g_checksum_free (checksum);
  memcpy (&fingerprint, digest, sizeof fingerprint);
  return fingerprint;
}

static void
remove_oldest (PoiTable *table)
{
  const PoiSuspect *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_fingerprint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PoiSuspect *suspect = value;
      if (oldest == NULL || suspect->at_ms < oldest->at_ms)
        oldest = suspect;
    }
  if (oldest != NULL)
    g_hash_table_remove (table->by_fingerprint, &oldest->fingerprint);
}

/* Finds or adds a suspect; in a table of POISON_ENTRIES_MAX it takes the place of the oldest. */
static PoiSuspect *
ensure_suspect (PoiTable *table, uint64_t fingerprint)
{
  PoiSuspect *suspect = g_hash_table_lookup (table->by_fingerprint, &fingerprint);

  if (suspect != NULL)
    return suspect;
  if (g_hash_table_size (table->by_fingerprint) >= POISON_ENTRIES_MAX)
    remove_oldest (table);
  suspect = g_new0 (PoiSuspect, 1);
  suspect->fingerprint = fingerprint;
  g_hash_table_insert (table->by_fingerprint, &suspect->fingerprint, suspect);
  return suspect;
}

const PoiSuspect *
poi_record_crash (PoiTable *table, uint64_t fingerprint, uint64_t now_ms)
{
  PoiSuspect *suspect = ensure_suspect (table, fingerprint);

  suspect->crashes++;
  suspect->at_ms = now_ms;
  suspect->version = ++table->version;
  return suspect;
}

/* A response matters only for a request with known crashes; it adds no suspect. */
static bool
apply_response (PoiTable *table, uint64_t fingerprint, uint64_t at_ms)
{
  PoiSuspect *suspect = g_hash_table_lookup (table->by_fingerprint, &fingerprint);

  if (suspect == NULL || suspect->crashes == 0 || at_ms <= suspect->at_ms)
    return false;
  suspect->crashes = 0;
  suspect->at_ms = at_ms;
  suspect->version = ++table->version;
  return true;
}

bool
poi_merge (PoiTable *table, uint64_t fingerprint, uint32_t crashes, uint64_t at_ms)
{
  if (crashes == 0)
    return apply_response (table, fingerprint, at_ms);
  PoiSuspect *suspect = ensure_suspect (table, fingerprint);
  bool has_newer_response = suspect->crashes == 0 && at_ms <= suspect->at_ms;

  if (suspect->crashes >= crashes || has_newer_response)
    return false;
  suspect->crashes = crashes;
  suspect->at_ms = at_ms;
  suspect->version = ++table->version;
  return true;
}

void
poi_record_response (PoiTable *table, uint64_t fingerprint, uint64_t now_ms)
{
  apply_response (table, fingerprint, now_ms);
}

static bool
reached_limit (const PoiTable *table, const PoiSuspect *suspect)
{
  return suspect->crashes >= table->crashes_max;
}

/* How long a suspect's crashes count after the latest one. */
static uint64_t
hold_ms (const PoiTable *table, const PoiSuspect *suspect)
{
  uint32_t doublings = reached_limit (table, suspect) ? suspect->crashes - table->crashes_max : 0;

  return MIN ((uint64_t) POISON_TTL_MS << MIN (doublings, DOUBLINGS_MAX), POISON_BLOCK_MAX_MS);
}

uint32_t
poi_crashes (const PoiTable *table, uint64_t fingerprint, uint64_t now_ms)
{
  const PoiSuspect *suspect = g_hash_table_lookup (table->by_fingerprint, &fingerprint);

  if (suspect == NULL)
    return 0;
  if (now_ms < suspect->at_ms + hold_ms (table, suspect))
    return suspect->crashes;
  return reached_limit (table, suspect) ? table->crashes_max - 1 : 0;
}

bool
poi_is_blocked (const PoiTable *table, uint64_t fingerprint, uint64_t now_ms)
{
  return poi_crashes (table, fingerprint, now_ms) >= table->crashes_max;
}

bool
poi_admit (PoiTable *table, uint64_t fingerprint, uint64_t now_ms)
{
  PoiSuspect *suspect = g_hash_table_lookup (table->by_fingerprint, &fingerprint);

  if (suspect == NULL || !reached_limit (table, suspect))
    return true;
  uint64_t blocked_since_ms = MAX (suspect->at_ms, suspect->trial_at_ms);
  if (now_ms < blocked_since_ms + hold_ms (table, suspect))
    return false;
  suspect->trial_at_ms = now_ms;
  return true;
}

static bool
is_expired (const PoiTable *table, const PoiSuspect *suspect, uint64_t now_ms)
{
  uint64_t memory_ms = reached_limit (table, suspect) ? POISON_MEMORY_MS : 0;

  return now_ms >= suspect->at_ms + hold_ms (table, suspect) + memory_ms;
}

void
poi_expire (PoiTable *table, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->by_fingerprint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_expired (table, value, now_ms))
      g_hash_table_iter_remove (&iter);
}
