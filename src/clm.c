/* Claims: a non-idempotent request runs only for the one that wrote its claim to the platform. */
#include "clm.h"

#include "jsn.h"

#include <inttypes.h>
#include <string.h>

#define RETRY_FIRST_MS 20
#define RELEASE_RETRY_MS 500

struct _Clm
{
  Entry *entry;
  char *path;
  char *id;
  uint64_t fingerprint;
  bool store_down_allow;
  bool local_only;
  bool maybe_written;
  int64_t version;
  uint32_t tries;
  uint64_t started_at_ms;
  ClmFn fn;
  void *user;
  char *record;
  uv_timer_t *timer;
};

static void try_claim (Clm *claim, int64_t if_version);
static void try_record (Clm *claim);

/* ---- Life ---- */

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
claim_free (Clm *claim)
{
  uv_close ((uv_handle_t *) claim->timer, on_timer_closed);
  g_free (claim->path);
  g_free (claim->id);
  g_free (claim->record);
  g_free (claim);
}

static void
retry_later (Clm *claim, uv_timer_cb fn, uint32_t first_ms)
{
  uint32_t delay_ms = first_ms << MIN (claim->tries, 5);

  uv_timer_start (claim->timer, fn,
                  delay_ms / 2 + g_rand_int (claim->entry->random) % (delay_ms / 2 + 1), 0);
}

static char *
state_text (const Clm *claim, const char *state, const ClmAnswer *answer)
{
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "schema", 1);
  json_object_set_string_member (object, "id", claim->id);
  json_object_set_string_member (object, "vm", claim->entry->vm);
  json_object_set_string_member (object, "state", state);
  char *fingerprint = g_strdup_printf ("%016" PRIx64, claim->fingerprint);
  json_object_set_string_member (object, "fingerprint", fingerprint);
  g_free (fingerprint);
  if (answer != NULL)
    {
      json_object_set_int_member (object, "status", answer->status);
      json_object_set_string_member (object, "content_type",
                                     answer->content_type != NULL ? answer->content_type : "");
      if (answer->body != NULL && answer->size <= CLAIM_RESPONSE_MAX_BYTES)
        {
          char *encoded = g_base64_encode ((const guchar *) answer->body, answer->size);
          json_object_set_string_member (object, "body", encoded);
          g_free (encoded);
        }
    }
  return jsn_take (object, false);
}

/* ---- Claiming ---- */

static void
claim_end (Clm *claim, ClmResult result, const ClmAnswer *answer)
{
  Entry *entry = claim->entry;

  met_observe (&entry->claim_latency, (entry_now_ms (entry) - claim->started_at_ms) * 1000);
  entry->counters.claims_won += result == CLM_WON;
  entry->counters.claims_lost += result == CLM_REPLAY || result == CLM_MAY_HAVE_RUN;
  entry->counters.claims_unavailable += result == CLM_UNAVAILABLE;
  claim->fn (claim->user, result, answer);
  if (result == CLM_WON)
    return;
  if (result == CLM_UNAVAILABLE && claim->maybe_written)
    clm_release (claim);
  else
    claim_free (claim);
}

/* Without the platform the claim is known to this process only. */
static void
claim_locally (Clm *claim)
{
  Entry *entry = claim->entry;

  if (!g_hash_table_add (entry->claimed_locally, g_strdup (claim->path)))
    {
      claim_end (claim, CLM_MAY_HAVE_RUN, NULL);
      return;
    }
  claim->local_only = true;
  claim_end (claim, CLM_WON, NULL);
}

static void
end_unavailable (Clm *claim)
{
  if (claim->store_down_allow)
    claim_locally (claim);
  else
    claim_end (claim, CLM_UNAVAILABLE, NULL);
}

static void
replay (Clm *claim, JsonObject *object)
{
  const char *encoded = jsn_text (object, "body", NULL);
  gsize size = 0;
  guchar *body = encoded != NULL ? g_base64_decode (encoded, &size) : NULL;
  ClmAnswer answer = { .status = (int) jsn_uint (object, "status", 200),
                       .content_type = jsn_text (object, "content_type", ""),
                       .body = (const char *) body,
                       .size = size };

  claim_end (claim, CLM_REPLAY, &answer);
  g_free (body);
}

static void
judge (Clm *claim, uint64_t version, JsonObject *object)
{
  char fingerprint[32];
  const char *state = jsn_text (object, "state", "");

  g_snprintf (fingerprint, sizeof fingerprint, "%016" PRIx64, claim->fingerprint);
  if (strcmp (jsn_text (object, "id", ""), claim->id) == 0 && strcmp (state, "claimed") == 0)
    {
      claim->entry->counters.claims_read_back++;
      claim->version = (int64_t) version;
      claim_end (claim, CLM_WON, NULL);
    }
  else if (strcmp (jsn_text (object, "fingerprint", ""), fingerprint) != 0)
    claim_end (claim, CLM_KEY_REUSED, NULL);
  else if (strcmp (state, "done") == 0)
    replay (claim, object);
  else if (strcmp (state, "not_run") == 0)
    try_claim (claim, (int64_t) version);
  else
    claim_end (claim, CLM_MAY_HAVE_RUN, NULL);
}

static void read_back (uv_timer_t *timer);

static void
on_read_back (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  JsonNode *root = result == STO_OK ? jsn_parse (value, strlen (value)) : NULL;

  if (root != NULL)
    {
      judge (claim, version, jsn_object (root));
      json_node_unref (root);
    }
  else if (result == STO_NOT_FOUND && ++claim->tries < CLAIM_READBACK_TRIES)
    try_claim (claim, STO_ABSENT);
  else if (++claim->tries < CLAIM_READBACK_TRIES)
    retry_later (claim, read_back, RETRY_FIRST_MS);
  else
    end_unavailable (claim);
}

static void
read_back (uv_timer_t *timer)
{
  Clm *claim = timer->data;

  sto_get (&claim->entry->store, claim->path, on_read_back, claim);
}

static void
on_claimed (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  (void) value;

  switch (result)
    {
    case STO_OK:
      claim->version = (int64_t) version;
      claim_end (claim, CLM_WON, NULL);
      break;
    case STO_CONFLICT:
      read_back (claim->timer);
      break;
    case STO_UNKNOWN:
      claim->maybe_written = true;
      read_back (claim->timer);
      break;
    default:
      if (claim->maybe_written && ++claim->tries < CLAIM_READBACK_TRIES)
        retry_later (claim, read_back, RETRY_FIRST_MS);
      else
        end_unavailable (claim);
    }
}

static void
try_claim (Clm *claim, int64_t if_version)
{
  char *text = state_text (claim, "claimed", NULL);

  sto_put (&claim->entry->store, claim->path, text, if_version, on_claimed, claim);
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
clm_begin (Entry *entry, const CfgService *service, const char *key, uint64_t fingerprint, ClmFn fn,
           void *user)
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
  try_claim (claim, STO_ABSENT);
  return claim;
}

/* ---- Recording the end ---- */

static void
on_record_timer (uv_timer_t *timer)
{
  try_record (timer->data);
}

static void
on_record_read (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  JsonNode *root = result == STO_OK ? jsn_parse (value, strlen (value)) : NULL;
  bool own = root != NULL && strcmp (jsn_text (jsn_object (root), "id", ""), claim->id) == 0
             && strcmp (jsn_text (jsn_object (root), "state", ""), "claimed") == 0;

  g_clear_pointer (&root, json_node_unref);
  if (own)
    {
      claim->version = (int64_t) version;
      try_record (claim);
    }
  else if (result == STO_OK || ++claim->tries >= CLAIM_RELEASE_TRIES)
    claim_free (claim);
  else
    retry_later (claim, on_record_timer, RELEASE_RETRY_MS);
}

static void
on_recorded (void *user, StoResult result, uint64_t version, const char *value)
{
  Clm *claim = user;
  (void) version;
  (void) value;

  if (result == STO_OK)
    claim_free (claim);
  else if (result == STO_CONFLICT || result == STO_NOT_FOUND)
    sto_get (&claim->entry->store, claim->path, on_record_read, claim);
  else if (++claim->tries < CLAIM_RELEASE_TRIES)
    retry_later (claim, on_record_timer, RELEASE_RETRY_MS);
  else
    claim_free (claim);
}

/* A claim that may have been written without an answer is read first for its version. */
static void
try_record (Clm *claim)
{
  if (claim->version == 0)
    sto_get (&claim->entry->store, claim->path, on_record_read, claim);
  else
    sto_put (&claim->entry->store, claim->path, claim->record, claim->version, on_recorded, claim);
}

static void
record (Clm *claim, const char *state, const ClmAnswer *answer)
{
  if (claim->local_only)
    {
      claim_free (claim);
      return;
    }
  claim->record = state_text (claim, state, answer);
  claim->tries = 0;
  try_record (claim);
}

void
clm_finish (Clm *claim, const ClmAnswer *answer)
{
  record (claim, "done", answer);
}

void
clm_release (Clm *claim)
{
  if (claim->local_only)
    g_hash_table_remove (claim->entry->claimed_locally, claim->path);
  record (claim, "not_run", NULL);
}

void
clm_abandon (Clm *claim)
{
  claim_free (claim);
}
