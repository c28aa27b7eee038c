/* Claims: a non-idempotent request runs only after its idempotency key was claimed in the store. */
#include "clm.h"

#include "jsn.h"

#include <inttypes.h>
#include <string.h>

#define READBACK_BACKOFF_FIRST_MS 20
#define RECORD_BACKOFF_FIRST_MS 500

struct _Clm
{
  Entry *entry;
  char *path;
  char *id;
  uint64_t fingerprint;
  bool store_down_allow;
  bool local_only;
  bool write_unconfirmed;
  int64_t version;
  uint32_t tries;
  uint64_t started_at_ms;
  ClmFn fn;
  void *user;
  char *record;
  uv_timer_t *timer;
};

static void write_claim (Clm *claim, int64_t if_version);
static void write_record (Clm *claim);

/* ---- Timer and record ---- */

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
free_claim (Clm *claim)
{
  uv_close ((uv_handle_t *) claim->timer, on_timer_closed);
  g_free (claim->path);
  g_free (claim->id);
  g_free (claim->record);
  g_free (claim);
}

/* Exponential backoff with jitter. */
static void
schedule_retry (Clm *claim, uv_timer_cb fn, uint32_t base_ms)
{
  uint32_t delay_ms = base_ms << MIN (claim->tries, 5);

  uv_timer_start (claim->timer, fn,
                  delay_ms / 2 + g_rand_int (claim->entry->random) % (delay_ms / 2 + 1), 0);
}

static char *
format_record (const Clm *claim, const char *state, const ClmResponse *response)
{
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "schema", 1);
  json_object_set_string_member (object, "id", claim->id);
  json_object_set_string_member (object, "vm", claim->entry->vm);
  json_object_set_string_member (object, "state", state);
  char *fingerprint = g_strdup_printf ("%016" PRIx64, claim->fingerprint);
  json_object_set_string_member (object, "fingerprint", fingerprint);
  g_free (fingerprint);
  if (response != NULL)
    {
      json_object_set_int_member (object, "status", response->status);
      json_object_set_string_member (object, "content_type",
                                     response->content_type != NULL ? response->content_type : "");
      if (response->body != NULL && response->size <= CLAIM_RESPONSE_MAX_BYTES)
        {
          char *encoded = g_base64_encode ((const guchar *) response->body, response->size);
          json_object_set_string_member (object, "body", encoded);
          g_free (encoded);
        }
    }
  return jsn_free_to_text (object, false);
}

/* ---- Acquiring ---- */

static void
complete_claim (Clm *claim, ClmResult result, const ClmResponse *response)
{
  Entry *entry = claim->entry;

  met_observe (&entry->claim_latency, (entry_now_ms (entry) - claim->started_at_ms) * 1000);
  entry->counters.claims_won += result == CLM_WON;
  entry->counters.claims_lost += result == CLM_REPLAY || result == CLM_MAY_HAVE_RUN;
  entry->counters.claims_unavailable += result == CLM_UNAVAILABLE;
  claim->fn (claim->user, result, response);
  if (result == CLM_WON)
    return;
  if (result == CLM_UNAVAILABLE && claim->write_unconfirmed)
    clm_release (claim);
  else
    free_claim (claim);
}

/* While the store is unavailable, other entries can't see the claim and may run the request too. */
static void
claim_in_process (Clm *claim)
{
  Entry *entry = claim->entry;

  if (!g_hash_table_add (entry->claimed_locally, g_strdup (claim->path)))
    {
      complete_claim (claim, CLM_MAY_HAVE_RUN, NULL);
      return;
    }
  claim->local_only = true;
  complete_claim (claim, CLM_WON, NULL);
}

static void
complete_unavailable (Clm *claim)
{
  if (claim->store_down_allow)
    claim_in_process (claim);
  else
    complete_claim (claim, CLM_UNAVAILABLE, NULL);
}

static void
complete_replay (Clm *claim, JsonObject *object)
{
  const char *encoded = jsn_text (object, "body", NULL);
  gsize size = 0;
  guchar *body = encoded != NULL ? g_base64_decode (encoded, &size) : NULL;
  ClmResponse response = { .status = (int) jsn_uint (object, "status", 200),
                           .content_type = jsn_text (object, "content_type", ""),
                           .body = (const char *) body,
                           .size = size };

  complete_claim (claim, CLM_REPLAY, &response);
  g_free (body);
}

/* Decides the result from the record that the store has for the key. A record with the claim's own
 * id shows that the write succeeded although its reply was lost. */
static void
evaluate_record (Clm *claim, uint64_t version, JsonObject *object)
{
  char fingerprint[32];
  const char *state = jsn_text (object, "state", "");

  g_snprintf (fingerprint, sizeof fingerprint, "%016" PRIx64, claim->fingerprint);
  if (strcmp (jsn_text (object, "id", ""), claim->id) == 0 && strcmp (state, "claimed") == 0)
    {
      claim->entry->counters.claims_read_back++;
      claim->version = (int64_t) version;
      complete_claim (claim, CLM_WON, NULL);
    }
  else if (strcmp (jsn_text (object, "fingerprint", ""), fingerprint) != 0)
    complete_claim (claim, CLM_KEY_REUSED, NULL);
  else if (strcmp (state, "done") == 0)
    complete_replay (claim, object);
  else if (strcmp (state, "not_run") == 0)
    write_claim (claim, (int64_t) version);
  else
    complete_claim (claim, CLM_MAY_HAVE_RUN, NULL);
}

static void read_back (uv_timer_t *timer);

static void
on_read_back (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  JsonNode *root = result == STO_OK ? jsn_parse (value, strlen (value)) : NULL;

  if (root != NULL)
    {
      evaluate_record (claim, version, jsn_object (root));
      json_node_unref (root);
    }
  else if (result == STO_NOT_FOUND && ++claim->tries < CLAIM_READBACK_TRIES_MAX)
    write_claim (claim, STO_ABSENT);
  else if (++claim->tries < CLAIM_READBACK_TRIES_MAX)
    schedule_retry (claim, read_back, READBACK_BACKOFF_FIRST_MS);
  else
    complete_unavailable (claim);
}

static void
read_back (uv_timer_t *timer)
{
  Clm *claim = timer->data;

  sto_get (&claim->entry->store, claim->path, on_read_back, claim);
}

static void
on_claim_written (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  (void) value;

  switch (result)
    {
    case STO_OK:
      claim->version = (int64_t) version;
      complete_claim (claim, CLM_WON, NULL);
      break;
    case STO_CONFLICT:
      read_back (claim->timer);
      break;
    case STO_UNKNOWN:
      claim->write_unconfirmed = true;
      read_back (claim->timer);
      break;
    default:
      if (claim->write_unconfirmed && ++claim->tries < CLAIM_READBACK_TRIES_MAX)
        schedule_retry (claim, read_back, READBACK_BACKOFF_FIRST_MS);
      else
        complete_unavailable (claim);
    }
}

static void
write_claim (Clm *claim, int64_t if_version)
{
  char *text = format_record (claim, "claimed", NULL);

  sto_put (&claim->entry->store, claim->path, text, if_version, on_claim_written, claim);
  g_free (text);
}

static char *
claim_path (const char *service, const char *key)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  char *path = g_strdup_printf ("claims/%s/%.32s", service, digest);

  g_free (digest);
  return path;
}

Clm *
clm_acquire (Entry *entry, const CfgService *service, const char *key, uint64_t fingerprint,
             ClmFn fn, void *user)
{
  Clm *claim = g_new0 (Clm, 1);

  claim->entry = entry;
  claim->path = claim_path (service->name, key);
  claim->id = g_uuid_string_random ();
  claim->fingerprint = fingerprint;
  claim->store_down_allow = service->store_down_allow;
  claim->started_at_ms = entry_now_ms (entry);
  claim->fn = fn;
  claim->user = user;
  claim->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (entry->loop, claim->timer);
  claim->timer->data = claim;
  write_claim (claim, STO_ABSENT);
  return claim;
}

/* ---- Recording the result ---- */

static void
on_record_timer (uv_timer_t *timer)
{
  write_record (timer->data);
}

static void
on_record_read (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  JsonNode *root = result == STO_OK ? jsn_parse (value, strlen (value)) : NULL;
  bool is_own = root != NULL && strcmp (jsn_text (jsn_object (root), "id", ""), claim->id) == 0
                && strcmp (jsn_text (jsn_object (root), "state", ""), "claimed") == 0;

  g_clear_pointer (&root, json_node_unref);
  if (is_own)
    {
      claim->version = (int64_t) version;
      write_record (claim);
    }
  else if (result == STO_OK || ++claim->tries >= CLAIM_RECORD_TRIES_MAX)
    free_claim (claim);
  else
    schedule_retry (claim, on_record_timer, RECORD_BACKOFF_FIRST_MS);
}

static void
on_record_written (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  (void) version;
  (void) value;

  if (result == STO_OK)
    free_claim (claim);
  else if (result == STO_CONFLICT || result == STO_NOT_FOUND)
    sto_get (&claim->entry->store, claim->path, on_record_read, claim);
  else if (++claim->tries < CLAIM_RECORD_TRIES_MAX)
    schedule_retry (claim, on_record_timer, RECORD_BACKOFF_FIRST_MS);
  else
    free_claim (claim);
}

/* The version is unknown when the reply to the write of the claim was lost; it is read first. */
static void
write_record (Clm *claim)
{
  if (claim->version == 0)
    sto_get (&claim->entry->store, claim->path, on_record_read, claim);
  else
    sto_put (&claim->entry->store, claim->path, claim->record, claim->version, on_record_written,
             claim);
}

static void
record_state (Clm *claim, const char *state, const ClmResponse *response)
{
  if (claim->local_only)
    {
      free_claim (claim);
      return;
    }
  claim->record = format_record (claim, state, response);
  claim->tries = 0;
  write_record (claim);
}

void
clm_finish (Clm *claim, const ClmResponse *response)
{
  record_state (claim, "done", response);
}

void
clm_release (Clm *claim)
{
  if (claim->local_only)
    g_hash_table_remove (claim->entry->claimed_locally, claim->path);
  record_state (claim, "not_run", NULL);
}

void
clm_abandon (Clm *claim)
{
  free_claim (claim);
}
