/* Client of the platform's object store over HTTP and JSON. */
#include "sto.h"

#include "jsn.h"
#include "lim.h"

#include <inttypes.h>

typedef struct
{
  Sto *sto;
  bool is_write;
  StoValueFn value_fn;
  StoChangesFn changes_fn;
  void *user;
} StoCall;

void
sto_init (Sto *sto, HclCtx *http, NetAddr addr)
{
  *sto = (Sto){ .http = http, .addr = addr };
}

static StoResult
result_from_status (const StoCall *call, HclOutcome outcome, int status)
{
  if (outcome == HCL_NOT_SENT)
    return STO_UNAVAILABLE;
  if (outcome != HCL_DONE)
    return call->is_write ? STO_UNKNOWN : STO_UNAVAILABLE;
  switch (status)
    {
    case 200:
      return STO_OK;
    case 404:
      return STO_NOT_FOUND;
    case 409:
      return STO_CONFLICT;
    case 400:
    case 413:
      return STO_INVALID;
    default:
      return STO_UNAVAILABLE;
    }
}

static StoCall *
call_new (Sto *sto, bool is_write, StoValueFn value_fn, StoChangesFn changes_fn, void *user)
{
  StoCall *call = g_new0 (StoCall, 1);

  sto->calls++;
  *call = (StoCall){
    .sto = sto, .is_write = is_write, .value_fn = value_fn, .changes_fn = changes_fn, .user = user
  };
  return call;
}

static void
count_failure (const StoCall *call, StoResult result)
{
  if (result == STO_UNAVAILABLE || result == STO_UNKNOWN)
    call->sto->failures++;
}

static void
on_value_response (void *user, HclOutcome outcome, int status, const char *body, size_t size)
{
  StoCall *call = user;
  StoResult result = result_from_status (call, outcome, status);
  JsonNode *root = result == STO_OK || result == STO_CONFLICT ? jsn_parse (body, size) : NULL;
  uint64_t version = 0;
  char *value = NULL;

  count_failure (call, result);
  if (root != NULL)
    {
      version = jsn_uint (jsn_object (root), "version", 0);
      JsonNode *node = jsn_member (jsn_object (root), "value");
      if (node != NULL)
        value = json_to_string (node, FALSE);
      json_node_unref (root);
    }
  call->value_fn (call->user, result, version, value);
  g_free (value);
  g_free (call);
}

static void
parse_changes (JsonObject *root, StoChanges *changes)
{
  JsonArray *list = jsn_array (root, "objects");

  changes->revision = jsn_uint (root, "revision", 0);
  for (uint32_t i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *item = json_array_get_object_element (list, i);
      JsonNode *value = jsn_member (item, "value");
      Obj *obj = g_new0 (Obj, 1);
      obj->path = g_strdup (jsn_text (item, "path", ""));
      obj->revision = jsn_uint (item, "version", 0);
      obj->deleted = value == NULL;
      obj->value = value != NULL ? json_to_string (value, FALSE) : NULL;
      g_ptr_array_add (changes->objects, obj);
    }
}

static void
on_changes_response (void *user, HclOutcome outcome, int status, const char *body, size_t size)
{
  StoCall *call = user;
  StoResult result = result_from_status (call, outcome, status);
  StoChanges changes = { .objects = g_ptr_array_new_with_free_func (obj_free) };
  JsonNode *root = result == STO_OK ? jsn_parse (body, size) : NULL;

  if (result == STO_OK && root == NULL)
    result = STO_UNAVAILABLE;
  count_failure (call, result);
  if (root != NULL)
    {
      parse_changes (jsn_object (root), &changes);
      json_node_unref (root);
    }
  call->changes_fn (call->user, result, &changes);
  g_ptr_array_unref (changes.objects);
  g_free (call);
}

/* ---- Public calls ---- */

void
sto_get (Sto *sto, const char *path, StoValueFn fn, void *user)
{
  char *url = g_strdup_printf ("/v1/objects/%s", path);

  hcl_fetch (sto->http, sto->addr, "GET", url, NULL, STORE_CALL_TIMEOUT_MS, on_value_response,
             call_new (sto, false, fn, NULL, user));
  g_free (url);
}

static void
write_object (Sto *sto, const char *method, const char *path, const char *value, int64_t if_version,
              StoValueFn fn, void *user)
{
  char *url = if_version == STO_ANY_VERSION
                  ? g_strdup_printf ("/v1/objects/%s", path)
                  : g_strdup_printf ("/v1/objects/%s?if=%" PRId64, path, if_version);

  hcl_fetch (sto->http, sto->addr, method, url, value, STORE_CALL_TIMEOUT_MS, on_value_response,
             call_new (sto, true, fn, NULL, user));
  g_free (url);
}

void
sto_put (Sto *sto, const char *path, const char *value, int64_t if_version, StoValueFn fn,
         void *user)
{
  write_object (sto, "PUT", path, value, if_version, fn, user);
}

void
sto_delete (Sto *sto, const char *path, int64_t if_version, StoValueFn fn, void *user)
{
  write_object (sto, "DELETE", path, NULL, if_version, fn, user);
}

void
sto_list (Sto *sto, const char *prefixes, StoChangesFn fn, void *user)
{
  char *url = g_strdup_printf ("/v1/list?prefix=%s", prefixes);

  hcl_fetch (sto->http, sto->addr, "GET", url, NULL, STORE_CALL_TIMEOUT_MS, on_changes_response,
             call_new (sto, false, NULL, fn, user));
  g_free (url);
}

void
sto_watch (Sto *sto, const char *prefixes, uint64_t since, StoChangesFn fn, void *user)
{
  char *url = g_strdup_printf ("/v1/watch?prefix=%s&from=%" PRIu64 "&wait_ms=%d", prefixes, since,
                               WATCH_WAIT_MS);

  hcl_fetch (sto->http, sto->addr, "GET", url, NULL, WATCH_TIMEOUT_MS, on_changes_response,
             call_new (sto, false, NULL, fn, user));
  g_free (url);
}

const char *
sto_result_name (StoResult result)
{
  static const char *const names[]
      = { "ok", "not_found", "conflict", "invalid", "unavailable", "unknown" };

  return names[result];
}
