/* Typed model of the configuration, built from the platform's objects. */
#include "cfg.h"

#include "jsn.h"

#include <stdio.h>
#include <string.h>

#define SCHEMA_VERSION 1
#define SAME_REGION_LATENCY_MS 1
#define INTER_REGION_LATENCY_MS 35

/* ---- Field checks ---- */

typedef enum
{
  FIELD_TEXT,
  FIELD_UINT,
  FIELD_BOOL,
  FIELD_ARRAY,
  FIELD_OBJECT,
} FieldKind;

typedef struct
{
  const char *name;
  FieldKind kind;
  bool required;
  uint64_t min;
  uint64_t max;
} Field;

static bool
field_has_kind (JsonNode *node, FieldKind kind)
{
  switch (kind)
    {
    case FIELD_TEXT:
      return JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_STRING;
    case FIELD_UINT:
      return JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_INT64;
    case FIELD_BOOL:
      return JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_BOOLEAN;
    case FIELD_ARRAY:
      return JSON_NODE_HOLDS_ARRAY (node);
    case FIELD_OBJECT:
      return JSON_NODE_HOLDS_OBJECT (node);
    }
  return false;
}

static bool
check_field (JsonObject *object, const Field *field, Err *err)
{
  static const char *const kinds[]
      = { "a text", "a whole number", "true or false", "a list", "an object" };
  JsonNode *node = jsn_member (object, field->name);

  if (node == NULL)
    {
      if (field->required)
        err_set (err, ERR_LAYER_CONFIG, 1, "field '%s' is missing", field->name);
      return !field->required;
    }
  if (!field_has_kind (node, field->kind))
    {
      err_set (err, ERR_LAYER_CONFIG, 2, "field '%s' must be %s", field->name, kinds[field->kind]);
      return false;
    }
  if (field->kind == FIELD_TEXT && strlen (json_node_get_string (node)) >= NAME_MAX_BYTES)
    {
      err_set (err, ERR_LAYER_CONFIG, 3, "field '%s' is longer than %d bytes", field->name,
               NAME_MAX_BYTES - 1);
      return false;
    }
  gint64 number = field->kind == FIELD_UINT ? json_node_get_int (node) : (gint64) field->min;
  if (number < (gint64) field->min || (field->max > 0 && number > (gint64) field->max))
    {
      err_set (err, ERR_LAYER_CONFIG, 4,
               "field '%s' is %" G_GINT64_FORMAT "; accepted: %" G_GUINT64_FORMAT
               "..%" G_GUINT64_FORMAT,
               field->name, number, field->min, field->max);
      return false;
    }
  return true;
}

static bool
check_fields (JsonObject *object, const Field *fields, Err *err)
{
  GList *names = json_object_get_members (object);
  bool ok = true;

  for (const Field *field = fields; ok && field->name != NULL; field++)
    ok = check_field (object, field, err);
  for (GList *item = names; ok && item != NULL; item = item->next)
    {
      bool known = false;
      for (const Field *field = fields; field->name != NULL; field++)
        known = known || strcmp (field->name, item->data) == 0;
      if (!known)
        {
          err_set (err, ERR_LAYER_CONFIG, 5, "unknown field '%s'", (char *) item->data);
          ok = false;
        }
    }
  g_list_free (names);
  return ok;
}

static const Field region_fields[]
    = { { "schema", FIELD_UINT, true, SCHEMA_VERSION, SCHEMA_VERSION },
        { "zones", FIELD_ARRAY, true, 0, 0 },
        { "max_inflight", FIELD_UINT, true, 1, 10000000 },
        { "headroom_pct", FIELD_UINT, false, 0, 90 },
        { NULL, FIELD_TEXT, false, 0, 0 } };

static const Field link_fields[] = { { "schema", FIELD_UINT, true, SCHEMA_VERSION, SCHEMA_VERSION },
                                     { "bytes_per_s", FIELD_UINT, true, 1000, 100000000000ull },
                                     { NULL, FIELD_TEXT, false, 0, 0 } };

static const Field distance_fields[]
    = { { "schema", FIELD_UINT, true, SCHEMA_VERSION, SCHEMA_VERSION },
        { "ms", FIELD_UINT, true, 0, 10000 },
        { NULL, FIELD_TEXT, false, 0, 0 } };

static const Field blocks_fields[]
    = { { "schema", FIELD_UINT, true, SCHEMA_VERSION, SCHEMA_VERSION },
        { "zone", FIELD_TEXT, true, 0, 0 },
        { "blocks", FIELD_ARRAY, true, 0, 0 },
        { NULL, FIELD_TEXT, false, 0, 0 } };

static const Field drain_fields[]
    = { { "schema", FIELD_UINT, true, SCHEMA_VERSION, SCHEMA_VERSION },
        { "kind", FIELD_TEXT, true, 0, 0 },
        { "target", FIELD_TEXT, true, 0, 0 },
        { NULL, FIELD_TEXT, false, 0, 0 } };

static const Field vm_fields[] = { { "schema", FIELD_UINT, true, SCHEMA_VERSION, SCHEMA_VERSION },
                                   { "role", FIELD_TEXT, true, 0, 0 },
                                   { "zone", FIELD_TEXT, true, 0, 0 },
                                   { "state", FIELD_TEXT, true, 0, 0 },
                                   { "steer", FIELD_TEXT, false, 0, 0 },
                                   { "entry", FIELD_TEXT, false, 0, 0 },
                                   { NULL, FIELD_TEXT, false, 0, 0 } };

static const Field service_fields[]
    = { { "schema", FIELD_UINT, true, SCHEMA_VERSION, SCHEMA_VERSION },
        { "upstreams", FIELD_ARRAY, true, 0, 0 },
        { "shift_cap_pct", FIELD_UINT, false, 1, 100 },
        { "evacuation_cap_pct", FIELD_UINT, false, 1, 100 },
        { "into_region_cap_pct", FIELD_UINT, false, 1, 100 },
        { "shift_period_ms", FIELD_UINT, false, 100, 3600000 },
        { "headroom_pct", FIELD_UINT, false, 0, 90 },
        { "retry_budget_pct", FIELD_UINT, false, 0, 100 },
        { "queue_wait_ms", FIELD_UINT, false, 0, 60000 },
        { "store_down", FIELD_TEXT, false, 0, 0 },
        { "guaranteed_inflight", FIELD_OBJECT, false, 0, 0 },
        { NULL, FIELD_TEXT, false, 0, 0 } };

static const Field upstream_fields[] = { { "id", FIELD_TEXT, true, 0, 0 },
                                         { "addr", FIELD_TEXT, true, 0, 0 },
                                         { "zone", FIELD_TEXT, true, 0, 0 },
                                         { "slots", FIELD_UINT, true, 1, 100000 },
                                         { "max_connections", FIELD_UINT, false, 1, 1000000 },
                                         { NULL, FIELD_TEXT, false, 0, 0 } };

/* ---- Readers, one for each kind of object ---- */

typedef bool (*ReadFn) (Cfg *cfg, const char *name, JsonObject *object, Err *err);

static bool
add_zone (Cfg *cfg, uint8_t region, const char *name, Err *err)
{
  CfgZone zone = { .region = region };

  if (name == NULL || cfg->zones->len == ZONES_MAX || cfg_zone_index (cfg, name) != ZONE_NONE)
    {
      err_set (err, ERR_LAYER_CONFIG, 6,
               "zone '%s' is not a text, is declared twice, or is over "
               "the limit of %d zones",
               name != NULL ? name : "?", ZONES_MAX);
      return false;
    }
  g_strlcpy (zone.name, name, sizeof zone.name);
  g_array_append_val (cfg->zones, zone);
  return true;
}

static const char *
element_text (JsonArray *array, uint32_t index)
{
  JsonNode *node = json_array_get_element (array, index);

  return field_has_kind (node, FIELD_TEXT) ? json_node_get_string (node) : NULL;
}

static bool
read_region (Cfg *cfg, const char *name, JsonObject *object, Err *err)
{
  CfgRegion region = { .max_inflight = (uint32_t) jsn_uint (object, "max_inflight", 0),
                       .headroom_pct = (uint32_t) jsn_uint (object, "headroom_pct", 10) };
  JsonArray *zones = jsn_array (object, "zones");
  uint32_t zones_before = cfg->zones->len;

  if (cfg->regions->len == REGIONS_MAX)
    {
      err_set (err, ERR_LAYER_CONFIG, 7, "over the limit of %d regions", REGIONS_MAX);
      return false;
    }
  g_strlcpy (region.name, name, sizeof region.name);
  for (uint32_t i = 0; i < json_array_get_length (zones); i++)
    if (!add_zone (cfg, (uint8_t) cfg->regions->len, element_text (zones, i), err))
      {
        g_array_set_size (cfg->zones, zones_before);
        return false;
      }
  g_array_append_val (cfg->regions, region);
  return true;
}

static bool
split_pair (const char *name, char *a, char *b, Err *err)
{
  const char *separator = strchr (name, '~');

  if (separator == NULL || separator - name >= NAME_MAX_BYTES)
    {
      err_set (err, ERR_LAYER_CONFIG, 8, "the name must be 'A~B'");
      return false;
    }
  g_strlcpy (a, name, (size_t) (separator - name) + 1);
  g_strlcpy (b, separator + 1, NAME_MAX_BYTES);
  return true;
}

static bool
read_link (Cfg *cfg, const char *name, JsonObject *object, Err *err)
{
  char a[NAME_MAX_BYTES];
  char b[NAME_MAX_BYTES];

  if (!split_pair (name, a, b, err))
    return false;
  uint32_t from = cfg_region_index (cfg, a);
  uint32_t to = cfg_region_index (cfg, b);
  if (from == ZONE_NONE || to == ZONE_NONE)
    {
      err_set (err, ERR_LAYER_CONFIG, 9, "unknown region '%s'", from == ZONE_NONE ? a : b);
      return false;
    }
  cfg->link_bytes_per_s[from][to] = jsn_uint (object, "bytes_per_s", 0);
  cfg->link_bytes_per_s[to][from] = cfg->link_bytes_per_s[from][to];
  return true;
}

static bool
read_distance (Cfg *cfg, const char *name, JsonObject *object, Err *err)
{
  char a[NAME_MAX_BYTES];
  char b[NAME_MAX_BYTES];

  if (!split_pair (name, a, b, err))
    return false;
  uint32_t from = cfg_zone_index (cfg, a);
  uint32_t to = cfg_zone_index (cfg, b);
  if (from == ZONE_NONE || to == ZONE_NONE)
    {
      err_set (err, ERR_LAYER_CONFIG, 10, "unknown zone '%s'", from == ZONE_NONE ? a : b);
      return false;
    }
  cfg->latency_ms[from][to] = (uint32_t) jsn_uint (object, "ms", 0);
  cfg->latency_ms[to][from] = cfg->latency_ms[from][to];
  return true;
}

static bool
read_zone (const Cfg *cfg, JsonObject *object, uint32_t *zone, Err *err)
{
  const char *name = jsn_text (object, "zone", "");

  *zone = cfg_zone_index (cfg, name);
  if (*zone == ZONE_NONE)
    err_set (err, ERR_LAYER_CONFIG, 10, "unknown zone '%s'", name);
  return *zone != ZONE_NONE;
}

static bool
read_addr (JsonObject *object, const char *field, NetAddr *addr, Err *err)
{
  const char *text = jsn_text (object, field, "");

  if (net_addr_parse (text, addr))
    return true;
  err_set (err, ERR_LAYER_CONFIG, 11, "field '%s' is '%s'; accepted: a.b.c.d:port", field, text);
  return false;
}

static bool
read_vm (Cfg *cfg, const char *name, JsonObject *object, Err *err)
{
  CfgVm vm = { .leaving = strcmp (jsn_text (object, "state", ""), "leaving") == 0 };
  uint32_t zone;

  if (strcmp (jsn_text (object, "role", ""), "entry") != 0)
    return true;
  if (!read_zone (cfg, object, &zone, err) || !read_addr (object, "steer", &vm.steer, err)
      || !read_addr (object, "entry", &vm.entry_http, err))
    return false;
  vm.zone = (uint8_t) zone;
  g_strlcpy (vm.name, name, sizeof vm.name);
  g_array_append_val (cfg->vms, vm);
  return true;
}

static bool
read_upstream (Cfg *cfg, CfgService *service, JsonNode *node, Err *err)
{
  CfgUpstream upstream = { 0 };
  uint32_t zone;

  if (!field_has_kind (node, FIELD_OBJECT))
    {
      err_set (err, ERR_LAYER_CONFIG, 2, "each upstream must be an object");
      return false;
    }
  JsonObject *object = json_node_get_object (node);
  if (!check_fields (object, upstream_fields, err) || !read_zone (cfg, object, &zone, err)
      || !read_addr (object, "addr", &upstream.addr, err))
    return false;
  g_strlcpy (upstream.id, jsn_text (object, "id", ""), sizeof upstream.id);
  upstream.zone = (uint8_t) zone;
  upstream.slots = (uint32_t) jsn_uint (object, "slots", 1);
  upstream.max_connections = (uint32_t) jsn_uint (object, "max_connections", 300);
  for (uint32_t i = 0; i < service->upstreams->len; i++)
    if (strcmp (g_array_index (service->upstreams, CfgUpstream, i).id, upstream.id) == 0)
      {
        err_set (err, ERR_LAYER_CONFIG, 12, "upstream '%s' is declared twice", upstream.id);
        return false;
      }
  g_array_append_val (service->upstreams, upstream);
  return true;
}

static bool
read_guaranteed (const Cfg *cfg, CfgService *service, JsonObject *object, Err *err)
{
  JsonObject *guaranteed = jsn_child (object, "guaranteed_inflight");
  GList *names = guaranteed != NULL ? json_object_get_members (guaranteed) : NULL;
  bool ok = true;

  for (GList *item = names; ok && item != NULL; item = item->next)
    {
      uint32_t region = cfg_region_index (cfg, item->data);
      ok = region != ZONE_NONE;
      if (!ok)
        err_set (err, ERR_LAYER_CONFIG, 9, "guaranteed_inflight: unknown region '%s'",
                 (char *) item->data);
      else
        service->guaranteed_inflight[region] = (uint32_t) jsn_uint (guaranteed, item->data, 0);
    }
  g_list_free (names);
  return ok;
}

/* In each region, the guarantees of all services must fit into max_inflight less headroom. */
static bool
check_guaranteed_sums (const Cfg *cfg, const CfgService *added, Err *err)
{
  for (uint32_t r = 0; r < cfg->regions->len; r++)
    {
      const CfgRegion *region = cfg_region (cfg, r);
      uint64_t limit = (uint64_t) region->max_inflight * (100 - region->headroom_pct) / 100;
      uint64_t total = added->guaranteed_inflight[r];
      for (uint32_t i = 0; i < cfg->services->len; i++)
        total += ((CfgService *) cfg->services->pdata[i])->guaranteed_inflight[r];
      if (total > limit)
        {
          err_set (err, ERR_LAYER_CONFIG, 13,
                   "region '%s': guaranteed_inflight sums to %" G_GUINT64_FORMAT
                   " over all services; the limit is %u less %u%% headroom = %" G_GUINT64_FORMAT,
                   region->name, total, region->max_inflight, region->headroom_pct, limit);
          return false;
        }
    }
  return true;
}

static void
service_free (gpointer data)
{
  CfgService *service = data;

  g_array_unref (service->upstreams);
  g_free (service);
}

static bool
fill_service (Cfg *cfg, CfgService *service, JsonObject *object, Err *err)
{
  JsonArray *upstreams = jsn_array (object, "upstreams");
  const char *store_down = jsn_text (object, "store_down", "refuse");

  service->caps.shift_cap_ppm = (uint32_t) jsn_uint (object, "shift_cap_pct", 10) * 10000;
  service->caps.evacuation_cap_ppm = (uint32_t) jsn_uint (object, "evacuation_cap_pct", 50) * 10000;
  service->caps.into_region_cap_ppm
      = (uint32_t) jsn_uint (object, "into_region_cap_pct", jsn_uint (object, "shift_cap_pct", 10))
        * 10000;
  service->caps.period_ms = (uint32_t) jsn_uint (object, "shift_period_ms", 10000);
  service->headroom_pct = (uint32_t) jsn_uint (object, "headroom_pct", 20);
  service->retry_budget_pct = (uint32_t) jsn_uint (object, "retry_budget_pct", 10);
  service->queue_wait_ms = (uint32_t) jsn_uint (object, "queue_wait_ms", QUEUE_WAIT_MS);
  service->store_down_allow = strcmp (store_down, "allow") == 0;
  if (!service->store_down_allow && strcmp (store_down, "refuse") != 0)
    {
      err_set (err, ERR_LAYER_CONFIG, 14, "field 'store_down' is '%s'; accepted: refuse|allow",
               store_down);
      return false;
    }
  for (uint32_t i = 0; i < json_array_get_length (upstreams); i++)
    if (!read_upstream (cfg, service, json_array_get_element (upstreams, i), err))
      return false;
  return read_guaranteed (cfg, service, object, err) && check_guaranteed_sums (cfg, service, err);
}

static bool
read_service (Cfg *cfg, const char *team, const char *name, JsonObject *object, Err *err)
{
  CfgService *service = g_new0 (CfgService, 1);
  const CfgService *other = cfg_service (cfg, name);

  service->upstreams = g_array_new (FALSE, FALSE, sizeof (CfgUpstream));
  g_strlcpy (service->name, name, sizeof service->name);
  g_strlcpy (service->team, team, sizeof service->team);
  if (other != NULL)
    err_set (err, ERR_LAYER_CONFIG, 15, "service '%s' is declared by team '%s' already", name,
             other->team);
  if (other != NULL || !fill_service (cfg, service, object, err))
    {
      service_free (service);
      return false;
    }
  g_ptr_array_add (cfg->services, service);
  return true;
}

/* ---- Drains ---- */

/* Marks upstreams @id of @team (NULL: all teams) as leaving or drained; false if none exists. */
static bool
mark_upstreams (Cfg *cfg, const char *team, const char *id, bool leaving)
{
  bool found = false;

  for (uint32_t s = 0; s < cfg->services->len; s++)
    {
      CfgService *service = cfg->services->pdata[s];
      if (team != NULL && strcmp (service->team, team) != 0)
        continue;
      for (uint32_t i = 0; i < service->upstreams->len; i++)
        {
          CfgUpstream *upstream = &g_array_index (service->upstreams, CfgUpstream, i);
          if (strcmp (upstream->id, id) != 0)
            continue;
          found = true;
          upstream->leaving = upstream->leaving || leaving;
          upstream->drained = upstream->drained || !leaving;
        }
    }
  return found;
}

static bool
drain_vm (Cfg *cfg, const char *team, const char *target)
{
  bool found = mark_upstreams (cfg, team, target, false);

  for (uint32_t i = 0; team == NULL && i < cfg->vms->len; i++)
    {
      CfgVm *vm = &g_array_index (cfg->vms, CfgVm, i);
      if (strcmp (vm->name, target) == 0)
        found = vm->leaving = true;
    }
  return found;
}

static bool
drain_zones (Cfg *cfg, const char *kind, const char *target)
{
  bool whole_region = strcmp (kind, "region") == 0;
  bool found = false;

  for (uint32_t z = 0; z < cfg->zones->len; z++)
    {
      CfgZone *zone = &g_array_index (cfg->zones, CfgZone, z);
      const char *name = whole_region ? cfg_region (cfg, zone->region)->name : zone->name;
      if (strcmp (name, target) == 0)
        found = zone->drained = true;
    }
  return found;
}

/* @team is NULL for a drain by the platform, which may also drain zones and regions. */
static bool
read_team_drain (Cfg *cfg, const char *team, JsonObject *object, Err *err)
{
  const char *kind = jsn_text (object, "kind", "");
  const char *target = jsn_text (object, "target", "");
  bool found = false;

  if (strcmp (kind, "vm") == 0)
    found = drain_vm (cfg, team, target);
  else if (team != NULL)
    {
      err_set (err, ERR_LAYER_CONFIG, 16, "a team may drain VMs of its own services only");
      return false;
    }
  else if (strcmp (kind, "zone") == 0 || strcmp (kind, "region") == 0)
    found = drain_zones (cfg, kind, target);
  else
    {
      err_set (err, ERR_LAYER_CONFIG, 17, "field 'kind' is '%s'; accepted: vm|zone|region", kind);
      return false;
    }
  if (!found)
    err_set (err, ERR_LAYER_CONFIG, 18, "no %s named '%s'%s", kind, target,
             team != NULL ? " in this team's services" : "");
  return found;
}

static bool
read_drain (Cfg *cfg, const char *name, JsonObject *object, Err *err)
{
  (void) name;
  return read_team_drain (cfg, NULL, object, err);
}

/* ---- Blocks ---- */

static bool
read_blocks (GArray *blocks, const Cfg *cfg, JsonObject *object, Err *err)
{
  JsonArray *list = jsn_array (object, "blocks");
  uint32_t zone;
  uint32_t len_before = blocks->len;

  if (!read_zone (cfg, object, &zone, err))
    return false;
  for (uint32_t i = 0; i < json_array_get_length (list); i++)
    {
      BlkBlock block = { .group = (uint16_t) zone };
      const char *text = element_text (list, i);
      if (text == NULL || !blk_block_parse (text, &block))
        {
          err_set (err, ERR_LAYER_CONFIG, 19, "block '%s' is not a.b.c.d/length without host bits",
                   text != NULL ? text : "?");
          g_array_set_size (blocks, len_before);
          return false;
        }
      g_array_append_val (blocks, block);
    }
  return true;
}

/* ---- Building ---- */

typedef struct
{
  const char *prefix;
  const Field *fields;
  ReadFn read;
} ObjectKind;

/* Each kind after those that it refers to. */
static const ObjectKind ordered_kinds[]
    = { { "platform/regions/", region_fields, read_region },
        { "platform/links/", link_fields, read_link },
        { "platform/distances/", distance_fields, read_distance },
        { "vms/", vm_fields, read_vm } };
static const ObjectKind kind_drain = { "platform/drains/", drain_fields, read_drain };

typedef struct
{
  Cfg *cfg;
  const ObjectKind *kind;
  GArray *blocks;
} BuildContext;

static void
add_error (Cfg *cfg, const Obj *obj, const Err *err)
{
  g_ptr_array_add (cfg->errors, g_strdup_printf ("%s: %s", obj->path, err->text));
}

static JsonNode *
parse_object (const Obj *obj, const Field *fields, Err *err)
{
  JsonNode *root = jsn_parse (obj->value, strlen (obj->value));

  if (root == NULL)
    err_set (err, ERR_LAYER_CONFIG, 20, "not a JSON object");
  else if (!check_fields (jsn_object (root), fields, err))
    g_clear_pointer (&root, json_node_unref);
  return root;
}

static void
build_kind (void *user, const Obj *obj)
{
  BuildContext *build = user;
  Err err = { 0 };
  JsonNode *root = parse_object (obj, build->kind->fields, &err);

  if (root == NULL
      || !build->kind->read (build->cfg, obj->path + strlen (build->kind->prefix),
                             jsn_object (root), &err))
    add_error (build->cfg, obj, &err);
  g_clear_pointer (&root, json_node_unref);
}

static void
build_blocks (void *user, const Obj *obj)
{
  BuildContext *build = user;
  Err err = { 0 };
  JsonNode *root = parse_object (obj, blocks_fields, &err);

  if (root == NULL || !read_blocks (build->blocks, build->cfg, jsn_object (root), &err))
    add_error (build->cfg, obj, &err);
  g_clear_pointer (&root, json_node_unref);
}

static void
build_team_object (BuildContext *build, const Obj *obj, bool read_drains)
{
  char **parts = g_strsplit (obj->path, "/", -1);
  bool valid_path = g_strv_length (parts) == 4 && parts[1][0] != '\0' && parts[3][0] != '\0';
  bool is_service = valid_path && strcmp (parts[2], "services") == 0;
  bool is_drain = valid_path && strcmp (parts[2], "drains") == 0;
  Err err = { 0 };
  bool ok = true;

  if (!is_service && !is_drain && !read_drains)
    {
      err_set (&err, ERR_LAYER_CONFIG, 21,
               "path is not teams/TEAM/services/NAME or teams/TEAM/drains/NAME");
      ok = false;
    }
  if ((is_service && !read_drains) || (is_drain && read_drains))
    {
      JsonNode *root = parse_object (obj, read_drains ? drain_fields : service_fields, &err);
      ok = root != NULL
           && (read_drains
                   ? read_team_drain (build->cfg, parts[1], jsn_object (root), &err)
                   : read_service (build->cfg, parts[1], parts[3], jsn_object (root), &err));
      g_clear_pointer (&root, json_node_unref);
    }
  if (!ok)
    add_error (build->cfg, obj, &err);
  g_strfreev (parts);
}

static void
build_service (void *user, const Obj *obj)
{
  build_team_object (user, obj, false);
}

static void
build_team_drain (void *user, const Obj *obj)
{
  build_team_object (user, obj, true);
}

static void
mark_leaving_upstreams (void *user, const Obj *obj)
{
  BuildContext *build = user;
  JsonNode *root = jsn_parse (obj->value, strlen (obj->value));

  if (root != NULL && strcmp (jsn_text (jsn_object (root), "role", ""), "upstream") == 0
      && strcmp (jsn_text (jsn_object (root), "state", ""), "leaving") == 0)
    mark_upstreams (build->cfg, NULL, obj->path + strlen ("vms/"), true);
  g_clear_pointer (&root, json_node_unref);
}

static void
default_latencies (Cfg *cfg)
{
  for (uint32_t a = 0; a < cfg->zones->len; a++)
    for (uint32_t b = 0; b < cfg->zones->len; b++)
      if (a != b)
        cfg->latency_ms[a][b] = cfg_zone (cfg, a)->region == cfg_zone (cfg, b)->region
                                    ? SAME_REGION_LATENCY_MS
                                    : INTER_REGION_LATENCY_MS;
}

/* Adds a block object's revision to the hash; the factor is the 64-bit FNV prime. */
static void
hash_block (void *user, const Obj *obj)
{
  uint64_t *hash = user;

  *hash = *hash * 1099511628211u + obj->revision;
}

/* Changes with any block object and with the zone names, to which blocks refer. */
static uint64_t
hash_blocks (const Cfg *cfg, const ObjTable *table)
{
  uint64_t hash = 1;

  for (uint32_t z = 0; z < cfg->zones->len; z++)
    hash = hash * 1099511628211u + g_str_hash (cfg_zone (cfg, z)->name);
  obj_foreach (table, "platform/blocks/", hash_block, &hash);
  return hash;
}

static void
copy_block_errors (Cfg *cfg, const Cfg *previous)
{
  for (uint32_t i = 0; i < previous->errors->len; i++)
    if (g_str_has_prefix (previous->errors->pdata[i], "platform/blocks/"))
      g_ptr_array_add (cfg->errors, g_strdup (previous->errors->pdata[i]));
}

static void
build_block_table (BuildContext *build, const ObjTable *table, const Cfg *previous)
{
  Cfg *cfg = build->cfg;

  cfg->blocks_hash = hash_blocks (cfg, table);
  if (previous != NULL && previous->blocks_hash == cfg->blocks_hash)
    {
      cfg->blocks = blk_ref (previous->blocks);
      copy_block_errors (cfg, previous);
      return;
    }
  obj_foreach (table, "platform/blocks/", build_blocks, build);
  cfg->blocks = blk_build ((BlkBlock *) (void *) build->blocks->data, build->blocks->len);
}

Cfg *
cfg_rebuild (const ObjTable *table, const Cfg *previous)
{
  Cfg *cfg = g_new0 (Cfg, 1);
  BuildContext build = { .cfg = cfg, .blocks = g_array_new (FALSE, FALSE, sizeof (BlkBlock)) };

  cfg->revision = table->revision;
  cfg->regions = g_array_new (FALSE, FALSE, sizeof (CfgRegion));
  cfg->zones = g_array_new (FALSE, FALSE, sizeof (CfgZone));
  cfg->vms = g_array_new (FALSE, FALSE, sizeof (CfgVm));
  cfg->services = g_ptr_array_new_with_free_func (service_free);
  cfg->errors = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < G_N_ELEMENTS (ordered_kinds); i++)
    {
      build.kind = &ordered_kinds[i];
      obj_foreach (table, build.kind->prefix, build_kind, &build);
      if (i == 0)
        default_latencies (cfg);
    }
  obj_foreach (table, "teams/", build_service, &build);
  build.kind = &kind_drain;
  obj_foreach (table, kind_drain.prefix, build_kind, &build);
  obj_foreach (table, "teams/", build_team_drain, &build);
  obj_foreach (table, "vms/", mark_leaving_upstreams, &build);
  build_block_table (&build, table, previous);
  g_array_unref (build.blocks);
  return cfg;
}

Cfg *
cfg_build (const ObjTable *table)
{
  return cfg_rebuild (table, NULL);
}

bool
cfg_is_plan_path (const char *path)
{
  return g_str_has_prefix (path, "system/");
}

void
cfg_free (Cfg *cfg)
{
  if (cfg == NULL)
    return;
  g_array_unref (cfg->regions);
  g_array_unref (cfg->zones);
  g_array_unref (cfg->vms);
  g_ptr_array_unref (cfg->services);
  g_ptr_array_unref (cfg->errors);
  blk_unref (cfg->blocks);
  g_free (cfg);
}

static void
copy_to_table (void *user, const Obj *obj)
{
  obj_apply (user, obj->path, obj->revision, false, obj->value);
}

static bool
path_is_known (const char *path)
{
  static const char *const prefixes[] = { "platform/regions/",
                                          "platform/links/",
                                          "platform/distances/",
                                          "platform/blocks/",
                                          "platform/drains/",
                                          "teams/",
                                          "vms/",
                                          NULL };

  for (uint32_t i = 0; prefixes[i] != NULL; i++)
    if (g_str_has_prefix (path, prefixes[i]) && strlen (path) > strlen (prefixes[i]))
      return true;
  return false;
}

static void
find_new_error (const Cfg *before, const Cfg *after, Err *err)
{
  for (uint32_t i = 0; i < after->errors->len; i++)
    {
      bool known = false;
      for (uint32_t k = 0; k < before->errors->len; k++)
        known = known || strcmp (before->errors->pdata[k], after->errors->pdata[i]) == 0;
      if (!known && err->code == 0)
        err_set (err, ERR_LAYER_CONFIG, 22, "%s", (char *) after->errors->pdata[i]);
    }
}

bool
cfg_check_change (const ObjTable *table, const char *path, const char *value, Err *err)
{
  ObjTable changed;
  Err found = { 0 };

  if (!path_is_known (path))
    {
      err_set (err, ERR_LAYER_CONFIG, 23, "path '%s' is not a configuration path", path);
      return false;
    }
  Cfg *before = cfg_build (table);
  obj_init (&changed);
  obj_foreach (table, "", copy_to_table, &changed);
  obj_apply (&changed, path, UINT64_MAX, value == NULL, value);
  Cfg *after = cfg_build (&changed);
  find_new_error (before, after, &found);
  cfg_free (before);
  cfg_free (after);
  obj_clear (&changed);
  if (found.code != 0 && err != NULL)
    *err = found;
  return found.code == 0;
}

/* ---- Access ---- */

uint32_t
cfg_zone_index (const Cfg *cfg, const char *name)
{
  for (uint32_t i = 0; i < cfg->zones->len; i++)
    if (strcmp (cfg_zone (cfg, i)->name, name) == 0)
      return i;
  return ZONE_NONE;
}

uint32_t
cfg_region_index (const Cfg *cfg, const char *name)
{
  for (uint32_t i = 0; i < cfg->regions->len; i++)
    if (strcmp (cfg_region (cfg, i)->name, name) == 0)
      return i;
  return ZONE_NONE;
}

const CfgZone *
cfg_zone (const Cfg *cfg, uint32_t index)
{
  return &g_array_index (cfg->zones, CfgZone, index);
}

const CfgRegion *
cfg_region (const Cfg *cfg, uint32_t index)
{
  return &g_array_index (cfg->regions, CfgRegion, index);
}

CfgService *
cfg_service (const Cfg *cfg, const char *name)
{
  for (uint32_t i = 0; i < cfg->services->len; i++)
    if (strcmp (((CfgService *) cfg->services->pdata[i])->name, name) == 0)
      return cfg->services->pdata[i];
  return NULL;
}

const CfgVm *
cfg_vm (const Cfg *cfg, const char *name)
{
  for (uint32_t i = 0; i < cfg->vms->len; i++)
    if (strcmp (g_array_index (cfg->vms, CfgVm, i).name, name) == 0)
      return &g_array_index (cfg->vms, CfgVm, i);
  return NULL;
}

uint32_t
cfg_client_group (const Cfg *cfg, uint32_t ip)
{
  uint16_t group = blk_lookup (cfg->blocks, ip);

  return group == BLK_NONE ? 0 : group;
}

void
cfg_region_map (const Cfg *cfg, uint8_t *region_of)
{
  memset (region_of, 0, ZONES_MAX);
  for (uint32_t z = 0; z < cfg->zones->len; z++)
    region_of[z] = cfg_zone (cfg, z)->region;
}
