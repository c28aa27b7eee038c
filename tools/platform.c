/* Simulated object service of the platform: objects with versions, conditional writes, watches. */
#include "hsv.h"
#include "jsn.h"
#include "log.h"
#include "obj.h"
#include "set.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_MAX_BYTES (1024u * 1024u)

static const SetSpec settings_specs[]
    = { { "listen", SET_ADDRESS, "127.0.0.1:0", NULL, "address to listen on" },
        { "latency-ms", SET_UINT, "0", "0..10000", "delay of each answer" },
        { NULL, SET_TEXT, NULL, NULL, NULL } };

typedef enum
{
  MODE_OK,
  MODE_REFUSE,
  MODE_SILENT,
} Mode;

/** struct Platform - objects and injected faults; @responses_to_drop: next writes to apply without
 * a response */
typedef struct
{
  uv_loop_t *loop;
  ObjTable objects;
  Mode mode;
  uint32_t latency_ms;
  uint32_t responses_to_drop;
  GPtrArray *watches;
  uint64_t reads;
  uint64_t writes;
  uint64_t lists;
  uint64_t watch_calls;
} Platform;

/** struct Pending - request that gets its response later, or none */
typedef struct
{
  Platform *platform;
  h2o_req_t *req;
  uv_timer_t timer;
  int status;
  char *text;
  char *prefix;
  uint64_t from_revision;
} Pending;

typedef struct
{
  Pending *pending;
} PendingRef;

static void
on_timer_closed (uv_handle_t *handle)
{
  Pending *pending = handle->data;

  g_free (pending->text);
  g_free (pending->prefix);
  g_free (pending);
}

static void
on_request_freed (void *data)
{
  Pending *pending = ((PendingRef *) data)->pending;

  g_ptr_array_remove (pending->platform->watches, pending);
  uv_close ((uv_handle_t *) &pending->timer, on_timer_closed);
}

static Pending *
pending_new (Platform *platform, h2o_req_t *req)
{
  Pending *pending = g_new0 (Pending, 1);
  PendingRef *pending_ref
      = h2o_mem_alloc_shared (&req->pool, sizeof *pending_ref, on_request_freed);

  pending_ref->pending = pending;
  pending->platform = platform;
  pending->req = req;
  uv_timer_init (platform->loop, &pending->timer);
  pending->timer.data = pending;
  return pending;
}

static void
on_latency_elapsed (uv_timer_t *timer)
{
  Pending *pending = timer->data;

  hsv_respond (pending->req, pending->status, "application/json", pending->text);
}

static void
respond_after_latency (Platform *platform, h2o_req_t *req, int status, char *text)
{
  Pending *pending = pending_new (platform, req);

  pending->status = status;
  pending->text = text;
  uv_timer_start (&pending->timer, on_latency_elapsed, platform->latency_ms, 0);
}

/* ---- Lists and watches ---- */

typedef struct
{
  JsonArray *array;
  char **prefixes;
} Listing;

static bool
has_prefix (char **prefixes, const char *path)
{
  for (uint32_t i = 0; prefixes[i] != NULL; i++)
    if (g_str_has_prefix (path, prefixes[i]))
      return true;
  return false;
}

static void
append_to_listing (void *user, const Obj *obj)
{
  Listing *listing = user;
  JsonObject *object;

  if (!has_prefix (listing->prefixes, obj->path))
    return;
  object = json_object_new ();
  json_object_set_string_member (object, "path", obj->path);
  json_object_set_int_member (object, "version", (gint64) obj->revision);
  if (!obj->deleted)
    json_object_set_member (object, "value", jsn_parse (obj->value, strlen (obj->value)));
  json_array_add_object_element (listing->array, object);
}

static char *
listing_text (Platform *platform, const char *prefix, uint64_t from_revision, bool skip_deleted,
              uint32_t *found_count)
{
  Listing listing = { .array = json_array_new (), .prefixes = g_strsplit (prefix, ",", -1) };
  JsonObject *root = json_object_new ();

  if (skip_deleted)
    obj_foreach (&platform->objects, "", append_to_listing, &listing);
  else
    obj_foreach_since (&platform->objects, from_revision, append_to_listing, &listing);
  *found_count = json_array_get_length (listing.array);
  json_object_set_int_member (root, "revision", (gint64) platform->objects.revision);
  json_object_set_array_member (root, "objects", listing.array);
  g_strfreev (listing.prefixes);
  return jsn_free_to_text (root, false);
}

static void
on_watch_end (uv_timer_t *timer)
{
  Pending *pending = timer->data;
  uint32_t found_count;

  g_ptr_array_remove (pending->platform->watches, pending);
  pending->text = listing_text (pending->platform, pending->prefix, pending->from_revision, false,
                                &found_count);
  hsv_respond (pending->req, 200, "application/json", pending->text);
}

static void
notify_watches (Platform *platform, const char *path)
{
  for (uint32_t i = 0; i < platform->watches->len; i++)
    {
      Pending *pending = platform->watches->pdata[i];
      char **prefixes = g_strsplit (pending->prefix, ",", -1);
      if (has_prefix (prefixes, path))
        uv_timer_start (&pending->timer, on_watch_end, platform->latency_ms, 0);
      g_strfreev (prefixes);
    }
}

static void
handle_watch (Platform *platform, h2o_req_t *req)
{
  Pending *pending = pending_new (platform, req);
  char *prefix = hsv_query (req, "prefix");
  uint32_t found_count;

  platform->watch_calls++;
  pending->prefix = prefix != NULL ? prefix : g_strdup ("");
  pending->from_revision = hsv_query_uint (req, "from", 0);
  g_free (listing_text (platform, pending->prefix, pending->from_revision, false, &found_count));
  g_ptr_array_add (platform->watches, pending);
  uv_timer_start (&pending->timer, on_watch_end,
                  found_count > 0 ? platform->latency_ms : hsv_query_uint (req, "wait_ms", 1000),
                  0);
}

static void
handle_list (Platform *platform, h2o_req_t *req)
{
  char *prefix = hsv_query (req, "prefix");
  uint32_t found_count;

  platform->lists++;
  respond_after_latency (
      platform, req, 200,
      listing_text (platform, prefix != NULL ? prefix : "", 0, true, &found_count));
  g_free (prefix);
}

/* ---- Objects ---- */

static char *
version_text (const Obj *obj, bool with_value)
{
  JsonObject *root = json_object_new ();

  json_object_set_int_member (root, "version", obj != NULL ? (gint64) obj->revision : 0);
  if (with_value && obj != NULL)
    json_object_set_member (root, "value", jsn_parse (obj->value, strlen (obj->value)));
  return jsn_free_to_text (root, false);
}

static void
handle_get (Platform *platform, h2o_req_t *req, const char *path)
{
  const Obj *obj = obj_get (&platform->objects, path);

  platform->reads++;
  respond_after_latency (platform, req, obj != NULL ? 200 : 404, version_text (obj, true));
}

static bool
body_is_valid (h2o_req_t *req)
{
  JsonNode *root;

  if (req->entity.len > OBJECT_MAX_BYTES)
    return false;
  root = jsn_parse (req->entity.base, req->entity.len);
  if (root == NULL)
    return false;
  json_node_unref (root);
  return true;
}

static void
respond_to_write (Platform *platform, h2o_req_t *req, int status, const Obj *obj)
{
  if (platform->responses_to_drop == 0)
    {
      respond_after_latency (platform, req, status, version_text (obj, false));
      return;
    }
  platform->responses_to_drop--;
  pending_new (platform, req);
}

static void
handle_write (Platform *platform, h2o_req_t *req, const char *path, bool delete)
{
  const Obj *obj = obj_get (&platform->objects, path);
  uint64_t expected = hsv_query_uint (req, "if", UINT64_MAX);
  uint64_t current = obj != NULL ? obj->revision : 0;

  platform->writes++;
  if (!delete &&!body_is_valid (req))
    {
      respond_after_latency (platform, req, 400,
                             g_strdup ("{\"error\":\"not a JSON object under 1 MB\"}"));
      return;
    }
  if (expected != UINT64_MAX && expected != current)
    {
      respond_after_latency (platform, req, 409, version_text (obj, false));
      return;
    }
  char *value = delete ? NULL : g_strndup (req->entity.base, req->entity.len);
  platform->objects.revision++;
  obj_apply (&platform->objects, path, platform->objects.revision, delete, value);
  g_free (value);
  respond_to_write (platform, req, 200, obj_get (&platform->objects, path));
  notify_watches (platform, path);
}

/* ---- Faults ---- */

static void
handle_fault (Platform *platform, h2o_req_t *req)
{
  static const char *const modes[] = { "ok", "refuse", "silent" };
  char *mode = hsv_query (req, "mode");

  for (uint32_t i = 0; mode != NULL && i < G_N_ELEMENTS (modes); i++)
    if (strcmp (mode, modes[i]) == 0)
      platform->mode = (Mode) i;
  platform->latency_ms = (uint32_t) hsv_query_uint (req, "latency_ms", platform->latency_ms);
  platform->responses_to_drop
      = (uint32_t) hsv_query_uint (req, "lose_answers", platform->responses_to_drop);
  g_free (mode);
  hsv_respond (req, 200, "application/json", "{}");
}

static void
handle_counts (Platform *platform, h2o_req_t *req)
{
  char *text
      = g_strdup_printf ("{\"reads\":%lu,\"writes\":%lu,\"lists\":%lu,\"watches\":%lu}",
                         platform->reads, platform->writes, platform->lists, platform->watch_calls);

  hsv_respond (req, 200, "application/json", text);
  g_free (text);
}

static void
handle_api_request (Platform *platform, h2o_req_t *req, const char *path)
{
  const char *object = path + strlen ("/v1/objects/");

  if (strcmp (path, "/v1/list") == 0)
    handle_list (platform, req);
  else if (strcmp (path, "/v1/watch") == 0)
    handle_watch (platform, req);
  else if (!g_str_has_prefix (path, "/v1/objects/"))
    hsv_respond (req, 404, "application/json", "{}");
  else if (hsv_method_is (req, "PUT"))
    handle_write (platform, req, object, false);
  else if (hsv_method_is (req, "DELETE"))
    handle_write (platform, req, object, true);
  else
    handle_get (platform, req, object);
}

static void
on_http (void *user, h2o_req_t *req)
{
  Platform *platform = user;
  char *path = hsv_path (req);

  if (strcmp (path, "/standin/fault") == 0)
    handle_fault (platform, req);
  else if (strcmp (path, "/standin/counts") == 0)
    handle_counts (platform, req);
  else if (platform->mode == MODE_REFUSE)
    hsv_respond (req, 503, "application/json", "{}");
  else if (platform->mode == MODE_SILENT)
    pending_new (platform, req);
  else
    handle_api_request (platform, req, path);
  g_free (path);
}

int
main (int argc, char **argv)
{
  Platform platform = { .loop = uv_default_loop (), .watches = g_ptr_array_new () };
  bool check_only;
  Err err = { 0 };
  NetAddr addr;
  Settings *settings = set_load (settings_specs, "Stand-in of the platform's object service.", argc,
                                 argv, &check_only, &err);

  if (settings == NULL)
    {
      fprintf (stderr, "%s", err.text);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  obj_init (&platform.objects);
  platform.latency_ms = set_uint (settings, "latency-ms");
  net_addr_parse (set_text (settings, "listen"), &addr);
  HsvServer *server = hsv_start (platform.loop, addr, on_http, &platform, &err);
  if (server == NULL)
    {
      fprintf (stderr, "%s\n", err.text);
      return 1;
    }
  fprintf (stderr, "event=listening port=%u\n", hsv_port (server));
  return uv_run (platform.loop, UV_RUN_DEFAULT);
}
