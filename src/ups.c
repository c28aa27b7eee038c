/* Upstreams known to a process: registration, requests in flight, failures and cached objects. */
#include "ups.h"

#include <string.h>

/* Moving averages: a new value has a weight of 1 / divisor. */
#define SLOWNESS_DIVISOR 4
#define FAULT_DIVISOR 8
#define PERMILLE 1000u

uint32_t
ups_hash (const char *text)
{
  uint32_t hash = 2166136261u;

  for (; *text != '\0'; text++)
    hash = (hash ^ (uint8_t) *text) * 16777619u;
  return hash;
}

static void
ups_free (gpointer data)
{
  Ups *ups = data;

  ucn_pool_close (&ups->pool);
  g_free (ups);
}

static void
array_free (gpointer data)
{
  g_ptr_array_unref (data);
}

void
ups_init (UpsTable *table, UcnCtx *ucn)
{
  table->ucn = ucn;
  table->departed_next = 0;
  memset (table->departed, 0, sizeof table->departed);
  table->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, ups_free);
  table->by_hash = g_hash_table_new (g_direct_hash, g_direct_equal);
  table->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, array_free);
}

void
ups_clear (UpsTable *table)
{
  g_hash_table_unref (table->by_service);
  g_hash_table_unref (table->by_hash);
  g_hash_table_unref (table->by_id);
}

Ups *
ups_get (const UpsTable *table, const char *id)
{
  return g_hash_table_lookup (table->by_id, id);
}

Ups *
ups_by_hash (const UpsTable *table, uint32_t hash)
{
  return g_hash_table_lookup (table->by_hash, GUINT_TO_POINTER (hash));
}

GPtrArray *
ups_by_service (const UpsTable *table, const char *service)
{
  return g_hash_table_lookup (table->by_service, service);
}

static void
add_to_service (UpsTable *table, Ups *ups)
{
  GPtrArray *list = ups_by_service (table, ups->record.service);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (table->by_service, g_strdup (ups->record.service), list);
    }
  g_ptr_array_add (list, ups);
}

static void
remove_from_service (UpsTable *table, Ups *ups)
{
  GPtrArray *list = ups_by_service (table, ups->record.service);

  if (list != NULL)
    g_ptr_array_remove (list, ups);
}

static bool
is_same_addr (NetAddr a, NetAddr b)
{
  return a.ip == b.ip && a.port == b.port;
}

UpsIncarnation
ups_incarnation (const Ups *ups)
{
  return (UpsIncarnation){ .born_ms = ups->record.born_ms, .addr = ups->record.addr };
}

bool
ups_is_incarnation (const Ups *ups, const UpsIncarnation *incarnation)
{
  return ups->record.born_ms == incarnation->born_ms
         && is_same_addr (ups->record.addr, incarnation->addr);
}

/* Keeps the feedback of an upstream in case its registration lapses and comes back. Without
 * born_ms, another incarnation at the same address can't be told from it. */
static void
save_feedback (UpsTable *table, const Ups *ups)
{
  bool leaves = ups->leaving || ups->record.draining;

  if (ups->record.born_ms == 0 || (!leaves && ups->paused_until_ms == 0))
    return;
  table->departed[table->departed_next] = (UpsDeparted){ .hash = ups->hash,
                                                         .incarnation = ups_incarnation (ups),
                                                         .leaving = leaves,
                                                         .paused_until_ms = ups->paused_until_ms };
  table->departed_next = (table->departed_next + 1) % UPS_DEPARTED_MAX;
}

static void
restore_feedback (const UpsTable *table, Ups *ups)
{
  for (uint32_t i = 0; i < UPS_DEPARTED_MAX; i++)
    {
      const UpsDeparted *departed = &table->departed[i];
      if (departed->hash != ups->hash || !ups_is_incarnation (ups, &departed->incarnation))
        continue;
      ups->leaving = ups->leaving || departed->leaving;
      ups->paused_until_ms = MAX (ups->paused_until_ms, departed->paused_until_ms);
    }
}

static Ups *
ups_add (UpsTable *table, const UpsRecord *record)
{
  Ups *ups = g_new0 (Ups, 1);

  ups->record = *record;
  ups->hash = ups_hash (record->id);
  ups->slowness_permille = PERMILLE;
  lrn_init (&ups->learned);
  restore_feedback (table, ups);
  ucn_pool_init (&ups->pool, table->ucn, record->addr, UPS_IDLE_MAX_MS);
  g_hash_table_insert (table->by_id, ups->record.id, ups);
  g_hash_table_insert (table->by_hash, GUINT_TO_POINTER (ups->hash), ups);
  add_to_service (table, ups);
  return ups;
}

/* Resets what was observed of the previous incarnation. Its connections are closed even when the
 * address stays the same: the old process may still respond on them. */
static void
start_incarnation (UpsTable *table, Ups *ups, const UpsRecord *record)
{
  ups->failures = 0;
  ups->backoff_until_ms = 0;
  ups->shed_until_ms = 0;
  ups->paused_until_ms = 0;
  ups->leaving = false;
  ups->slowness_permille = PERMILLE;
  lrn_init (&ups->learned);
  ups->fault_permille = 0;
  memset (ups->objects, 0, sizeof ups->objects);
  ucn_pool_close (&ups->pool);
  ucn_pool_init (&ups->pool, table->ucn, record->addr, UPS_IDLE_MAX_MS);
}

bool
ups_is_older (const UpsRecord *a, const UpsRecord *b)
{
  if (a->born_ms != b->born_ms)
    return a->born_ms < b->born_ms;
  if (a->sequence != b->sequence || a->born_ms == 0)
    return a->sequence < b->sequence;
  return b->draining && !a->draining;
}

bool
ups_apply (UpsTable *table, const UpsRecord *record, uint32_t zone, uint64_t now_ms)
{
  Ups *ups = ups_get (table, record->id);
  bool became_cold = false;

  if (ups == NULL)
    ups = ups_add (table, record);
  else
    {
      if (ups_is_older (record, &ups->record))
        return false;
      became_cold = record->cold_ms > 0 && !ups->record.draining && !ups_is_cold (ups, now_ms);
      if (record->born_ms != ups->record.born_ms || !is_same_addr (record->addr, ups->record.addr))
        start_incarnation (table, ups, record);
      if (strcmp (ups->record.service, record->service) != 0)
        {
          remove_from_service (table, ups);
          ups->record = *record;
          add_to_service (table, ups);
        }
      ups->record = *record;
    }
  ups->turned_cold = became_cold || (ups->turned_cold && record->cold_ms > 0);
  ups->gone = false;
  ups->misdirected = false;
  ups->missing_since_ms = 0;
  ups->zone = zone;
  if (record->cold_ms > 0)
    {
      ups->cold_assigned = ups->cold_assigned && ups_is_cold (ups, now_ms);
      ups->cold_until_ms = now_ms + record->cold_ms + UPS_COLD_MARGIN_MS;
    }
  return true;
}

static void
free_if_unused (UpsTable *table, Ups *ups)
{
  if (!ups->gone || ups->in_flight > 0 || ups->relayed > 0)
    return;
  save_feedback (table, ups);
  remove_from_service (table, ups);
  g_hash_table_remove (table->by_hash, GUINT_TO_POINTER (ups->hash));
  g_hash_table_remove (table->by_id, ups->record.id);
}

void
ups_remove (UpsTable *table, const char *id)
{
  Ups *ups = ups_get (table, id);

  if (ups == NULL)
    return;
  ups->gone = true;
  free_if_unused (table, ups);
}

void
ups_release (UpsTable *table, Ups *ups)
{
  ups->in_flight--;
  free_if_unused (table, ups);
}

void
ups_release_relayed (UpsTable *table, Ups *ups)
{
  ups->relayed--;
  free_if_unused (table, ups);
}

void
ups_record_error_response (Ups *ups)
{
  ups->fault_permille += (PERMILLE - ups->fault_permille) / FAULT_DIVISOR;
}

void
ups_record_failure (Ups *ups, uint64_t now_ms)
{
  uint32_t backoff_ms = UPS_BACKOFF_FIRST_MS << MIN (ups->failures, 4u);

  ups->failures++;
  ups->backoff_until_ms = now_ms + MIN (backoff_ms, UPS_BACKOFF_MAX_MS);
  ups_record_error_response (ups);
}

void
ups_record_success (Ups *ups, uint64_t now_ms)
{
  ups->succeeded_at_ms = now_ms;
  ups->failures = 0;
  ups->backoff_until_ms = 0;
  ups->fault_permille -= ups->fault_permille / FAULT_DIVISOR;
}

bool
ups_mark_leaving (Ups *ups, uint64_t born_ms)
{
  if (ups->leaving || ups->record.born_ms != born_ms)
    return false;
  ups->leaving = true;
  return true;
}

void
ups_pause (Ups *ups, uint64_t until_ms)
{
  ups->paused_until_ms = MAX (ups->paused_until_ms, until_ms);
}

uint32_t
ups_resume_slots (const Ups *ups, uint32_t slots, uint64_t now_ms)
{
  if (now_ms < ups->paused_until_ms || now_ms - ups->paused_until_ms >= UPS_RESUME_MS
      || ups->paused_until_ms == 0)
    return slots;
  uint64_t step = (now_ms - ups->paused_until_ms) * UPS_RESUME_STEPS / UPS_RESUME_MS + 1;
  return MAX ((uint32_t) (slots * step / (UPS_RESUME_STEPS + 1)), MIN (slots, 1));
}

void
ups_adjust_total (uint32_t *total, uint32_t count, bool add)
{
  *total = add ? *total + count : *total - MIN (*total, count);
}

bool
ups_is_down (const Ups *ups)
{
  return ups->misdirected || ups->failures >= UPS_DOWN_FAILURES;
}

bool
ups_is_suspected (const Ups *ups, uint64_t now_ms)
{
  return ups->down_reports >= UPS_SUSPECT_REPORTS_MIN
         && now_ms - ups->succeeded_at_ms > UPS_SUCCESS_MAX_AGE_MS;
}

void
ups_record_service_time (Ups *ups, uint32_t service_time_ms, uint32_t expected_ms)
{
  int64_t ratio_permille
      = expected_ms > 0 ? (int64_t) service_time_ms * PERMILLE / expected_ms : PERMILLE;
  int64_t average_permille = ups->slowness_permille;

  ratio_permille = CLAMP (ratio_permille, 200, 20 * (int64_t) PERMILLE);
  ups->slowness_permille
      = (uint32_t) (average_permille + (ratio_permille - average_permille) / SLOWNESS_DIVISOR);
}

bool
ups_is_cold (const Ups *ups, uint64_t now_ms)
{
  return now_ms < ups->cold_until_ms;
}

bool
ups_cold_rate_allows (const Ups *ups, uint32_t max_per_s, uint64_t now_ms)
{
  uint32_t sent = 0;

  for (uint32_t i = 0; i < UPS_COLD_SENDS_MAX; i++)
    if (ups->cold_sent_ms[i] != 0 && now_ms - ups->cold_sent_ms[i] <= 1000)
      sent++;
  return sent < max_per_s && sent < UPS_COLD_SENDS_MAX;
}

void
ups_record_cold_send (Ups *ups, uint64_t now_ms)
{
  ups->cold_sent_ms[ups->cold_sent_next] = now_ms;
  ups->cold_sent_next = (ups->cold_sent_next + 1) % UPS_COLD_SENDS_MAX;
}

bool
ups_is_warm_for (const Ups *ups, uint32_t object)
{
  for (uint32_t i = 0; i < UPS_OBJECTS_MAX; i++)
    if (ups->objects[i] == object)
      return true;
  return false;
}

void
ups_record_object (Ups *ups, uint32_t object)
{
  uint32_t last = 0;

  while (last < UPS_OBJECTS_MAX - 1 && ups->objects[last] != object)
    last++;
  memmove (&ups->objects[1], &ups->objects[0], last * sizeof ups->objects[0]);
  ups->objects[0] = object;
}

static bool
has_lost_request (const Ups *ups, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < ups->lost_request_count; i++)
    if (ups->lost_requests[i] == fingerprint)
      return true;
  return false;
}

void
ups_record_lost_request (Ups *ups, uint64_t fingerprint, uint64_t now_ms)
{
  if (now_ms - ups->lost_since_ms > UPS_LOST_MAX_AGE_MS)
    ups->lost_request_count = 0;
  if (ups->lost_request_count == 0)
    ups->lost_since_ms = now_ms;
  if (ups->lost_request_count < UPS_LOST_MAX && !has_lost_request (ups, fingerprint))
    ups->lost_requests[ups->lost_request_count++] = fingerprint;
}

uint32_t
ups_pop_lost_requests (Ups *ups, uint64_t *fingerprints, uint64_t now_ms)
{
  uint32_t count = now_ms - ups->lost_since_ms <= UPS_LOST_MAX_AGE_MS ? ups->lost_request_count : 0;

  memcpy (fingerprints, ups->lost_requests, count * sizeof fingerprints[0]);
  ups->lost_request_count = 0;
  return count;
}
