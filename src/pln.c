/* Planner: traffic split of each client group by zone, and the plan that stores it. */
#include "pln.h"

#include "jsn.h"

#include <string.h>

#define SCHEMA_VERSION 1

/* Zone capacity used by the first pass of assign_demand(); the second one uses all of it. */
#define FILL_PCT 95
#define LATENCY_GAIN_MIN_TENTH_MS 1 /* per request on average */
#define MILLI 1000

/* ---- Targets ---- */

/* struct Pair - a client group and a zone that it may be assigned to */
typedef struct
{
  uint32_t group;
  uint32_t zone;
  uint32_t latency_ms;
  uint32_t current_ppm;
} Pair;

/* Lowest latency first; among equal ones, the largest current share first. */
static int
compare_pairs (const void *a, const void *b)
{
  const Pair *x = a;
  const Pair *y = b;

  if (x->latency_ms != y->latency_ms)
    return x->latency_ms < y->latency_ms ? -1 : 1;
  if (x->current_ppm != y->current_ppm)
    return x->current_ppm > y->current_ppm ? -1 : 1;
  if (x->group != y->group)
    return x->group < y->group ? -1 : 1;
  return x->zone < y->zone ? -1 : 1;
}

static uint64_t
sum_shares (const uint32_t *shares)
{
  uint64_t sum = 0;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    sum += shares[z];
  return sum;
}

/* Demand of a group, at least a thousandth of a request so that idle groups get shares too. */
static uint64_t
demand_of (const PlnInput *input, uint32_t group)
{
  return MAX (input->demand_milli[group], 1);
}

/* Requests in flight, in thousandths, whose response bytes fit the link from @group to @zone. */
static uint64_t
link_free_milli (const PlnInput *input, uint32_t group, uint32_t zone,
                 uint64_t free_bytes_per_s[REGIONS_MAX][REGIONS_MAX])
{
  uint8_t from = input->region_of[group];
  uint8_t to = input->region_of[zone];
  uint64_t bytes = input->demand_bytes_per_s[group];

  if (from == to || !input->link_limited[from][to] || bytes == 0)
    return UINT64_MAX;
  return free_bytes_per_s[from][to] * demand_of (input, group) / bytes;
}

static void
deduct_link_bytes (const PlnInput *input, const Pair *pair, uint64_t amount_milli,
                   uint64_t free_bytes_per_s[REGIONS_MAX][REGIONS_MAX])
{
  uint8_t from = input->region_of[pair->group];
  uint8_t to = input->region_of[pair->zone];
  uint64_t bytes
      = amount_milli * input->demand_bytes_per_s[pair->group] / demand_of (input, pair->group);

  if (from != to && input->link_limited[from][to])
    free_bytes_per_s[from][to] -= MIN (free_bytes_per_s[from][to], bytes);
}

/* Lists the pairs whose zone has capacity and is not excluded, sorted by compare_pairs(). */
static uint32_t
list_pairs (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX], Pair *pairs)
{
  uint32_t count = 0;

  for (uint32_t g = 0; g < input->zone_count; g++)
    for (uint32_t z = 0; z < input->zone_count; z++)
      if (!input->excluded[z] && input->capacity_milli[z] > 0)
        pairs[count++] = (Pair){
          .group = g, .zone = z, .latency_ms = input->latency_ms[g][z], .current_ppm = current[g][z]
        };
  qsort (pairs, count, sizeof *pairs, compare_pairs);
  return count;
}

/*
 * Assigns demand to the pairs in order of latency, within the capacity of zones and links: first up
 * to FILL_PCT of each zone's capacity, then up to all of it. A group without current shares for
 * which nothing was free is assigned to its nearest zone, so that it gets shares.
 */
static void
assign_demand (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX],
               uint64_t assigned[ZONES_MAX][ZONES_MAX])
{
  Pair pairs[ZONES_MAX * ZONES_MAX] = { { 0 } };
  uint32_t count = list_pairs (input, current, pairs);
  uint64_t free_bytes_per_s[REGIONS_MAX][REGIONS_MAX];
  uint64_t unassigned_milli[ZONES_MAX];
  uint64_t load_milli[ZONES_MAX] = { 0 };

  memcpy (free_bytes_per_s, input->link_free_bytes_per_s, sizeof free_bytes_per_s);
  for (uint32_t g = 0; g < ZONES_MAX; g++)
    unassigned_milli[g] = g < input->zone_count ? demand_of (input, g) : 0;
  for (uint32_t pct = FILL_PCT; pct <= 100; pct += 100 - FILL_PCT)
    for (uint32_t i = 0; i < count; i++)
      {
        const Pair *pair = &pairs[i];
        uint64_t limit = input->capacity_milli[pair->zone] * pct / 100;
        uint64_t free_milli = limit > load_milli[pair->zone] ? limit - load_milli[pair->zone] : 0;
        uint64_t amount = MIN (unassigned_milli[pair->group], free_milli);
        amount = MIN (amount, link_free_milli (input, pair->group, pair->zone, free_bytes_per_s));
        assigned[pair->group][pair->zone] += amount;
        load_milli[pair->zone] += amount;
        unassigned_milli[pair->group] -= amount;
        deduct_link_bytes (input, pair, amount, free_bytes_per_s);
      }
  for (uint32_t i = 0; i < count; i++)
    if (sum_shares (current[pairs[i].group]) == 0 && unassigned_milli[pairs[i].group] > 0
        && unassigned_milli[pairs[i].group] == demand_of (input, pairs[i].group))
      {
        assigned[pairs[i].group][pairs[i].zone] = 1;
        unassigned_milli[pairs[i].group] = 0;
      }
}

/*
 * Scales assigned demand to shares that sum to SHARE_ONE_PPM; the largest share absorbs the
 * rounding error. @shares stay as they are when nothing is assigned.
 */
static void
normalize_shares (const uint64_t *assigned, uint32_t *shares)
{
  uint64_t total = 0;
  uint32_t sum = 0;
  uint32_t largest = 0;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    total += assigned[z];
  if (total == 0)
    return;
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    {
      shares[z] = (uint32_t) (assigned[z] * SHARE_ONE_PPM / total);
      sum += shares[z];
      if (assigned[z] > assigned[largest])
        largest = z;
    }
  shares[largest] += SHARE_ONE_PPM - sum;
}

static bool
uses_excluded_zone (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX])
{
  for (uint32_t g = 0; g < input->zone_count; g++)
    for (uint32_t z = 0; z < input->zone_count; z++)
      if (current[g][z] > 0 && (input->excluded[z] || input->capacity_milli[z] == 0))
        return true;
  return false;
}

/* The current shares exceed the capacity of a zone or a link at the reported demand. */
static bool
over_capacity (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX])
{
  uint64_t link_bytes_per_s[REGIONS_MAX][REGIONS_MAX] = { { 0 } };

  for (uint32_t z = 0; z < input->zone_count; z++)
    {
      uint64_t load = 0;
      for (uint32_t g = 0; g < input->zone_count; g++)
        {
          load += input->demand_milli[g] * current[g][z] / SHARE_ONE_PPM;
          link_bytes_per_s[input->region_of[g]][input->region_of[z]]
              += input->demand_bytes_per_s[g] * current[g][z] / SHARE_ONE_PPM;
        }
      if (load > input->capacity_milli[z])
        return true;
    }
  for (uint32_t a = 0; a < REGIONS_MAX; a++)
    for (uint32_t b = 0; b < REGIONS_MAX; b++)
      if (a != b && input->link_limited[a][b]
          && link_bytes_per_s[a][b] > input->link_free_bytes_per_s[a][b])
        return true;
  return false;
}

/* Sum of demand times latency over all groups, thousandths of a request times milliseconds. */
static uint64_t
latency_cost (const PlnInput *input, uint32_t shares[ZONES_MAX][ZONES_MAX], uint64_t *demand_sum)
{
  uint64_t cost = 0;

  *demand_sum = 0;
  for (uint32_t g = 0; g < input->zone_count; g++)
    {
      *demand_sum += demand_of (input, g);
      for (uint32_t z = 0; z < input->zone_count; z++)
        cost += demand_of (input, g) * input->latency_ms[g][z] * (uint64_t) shares[g][z]
                / SHARE_ONE_PPM;
    }
  return cost;
}

static bool
contains (const bool *flags, uint32_t count, bool value)
{
  for (uint32_t i = 0; i < count; i++)
    if (flags[i] == value)
      return true;
  return false;
}

static bool
has_unplaced_group (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX])
{
  for (uint32_t g = 0; g < input->zone_count; g++)
    if (sum_shares (current[g]) == 0)
      return true;
  return false;
}

static uint32_t
largest_change (const PlnInput *input, uint32_t a[ZONES_MAX][ZONES_MAX],
                uint32_t b[ZONES_MAX][ZONES_MAX])
{
  uint32_t largest = 0;

  for (uint32_t g = 0; g < input->zone_count; g++)
    largest = MAX (largest, shf_distance_ppm (a[g], b[g]));
  return largest;
}

static PlnReason
keep_current (uint32_t current[ZONES_MAX][ZONES_MAX], uint32_t target[ZONES_MAX][ZONES_MAX],
              PlnReason reason)
{
  memcpy (target, current, sizeof (uint32_t) * ZONES_MAX * ZONES_MAX);
  return reason;
}

PlnReason
pln_targets (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX],
             uint32_t target[ZONES_MAX][ZONES_MAX])
{
  uint64_t assigned[ZONES_MAX][ZONES_MAX] = { { 0 } };
  uint64_t capacity = 0;
  uint64_t demand_sum;

  keep_current (current, target, PLN_KEEP_WITHIN_DEADBAND);
  for (uint32_t z = 0; z < input->zone_count; z++)
    capacity += input->excluded[z] ? 0 : input->capacity_milli[z];
  if (capacity == 0)
    return PLN_KEEP_NO_CAPACITY;
  assign_demand (input, current, assigned);
  for (uint32_t g = 0; g < input->zone_count; g++)
    normalize_shares (assigned[g], target[g]);
  if (has_unplaced_group (input, current))
    return PLN_MOVE_FIRST;
  if (uses_excluded_zone (input, current))
    return PLN_MOVE_EXCLUDED_ZONE;
  if (contains (input->demand_known, input->zone_count, false))
    return keep_current (current, target, PLN_KEEP_DEMAND_UNKNOWN);
  if (over_capacity (input, current))
    return PLN_MOVE_OVER_CAPACITY;
  uint64_t current_cost = latency_cost (input, current, &demand_sum);
  uint64_t target_cost = latency_cost (input, target, &demand_sum);
  if (current_cost > target_cost
      && current_cost - target_cost >= LATENCY_GAIN_MIN_TENTH_MS * demand_sum / 10
      && largest_change (input, current, target) > PLAN_DEADBAND_PPM)
    return PLN_MOVE_LATENCY;
  return keep_current (current, target, PLN_KEEP_WITHIN_DEADBAND);
}

const char *
pln_reason_name (PlnReason reason)
{
  static const char *const names[]
      = { "within_deadband", "demand_unknown", "excluded_zone", "over_capacity",
          "latency",         "first",          "no_capacity" };

  return names[reason];
}

/* ---- Plans ---- */

static void
service_free (gpointer data)
{
  PlnService *service = data;

  bud_clear (&service->budgets);
  g_free (service);
}

Plan *
pln_new (void)
{
  Plan *plan = g_new0 (Plan, 1);

  plan->services = g_ptr_array_new_with_free_func (service_free);
  plan->decisions = g_ptr_array_new_with_free_func (g_free);
  return plan;
}

void
pln_free (Plan *plan)
{
  if (plan == NULL)
    return;
  g_ptr_array_unref (plan->services);
  g_ptr_array_unref (plan->decisions);
  g_free (plan);
}

PlnService *
pln_service (const Plan *plan, const char *name)
{
  for (uint32_t i = 0; i < plan->services->len; i++)
    if (strcmp (((PlnService *) plan->services->pdata[i])->name, name) == 0)
      return plan->services->pdata[i];
  return NULL;
}

PlnService *
pln_add_service (Plan *plan, const char *name)
{
  PlnService *service = pln_service (plan, name);

  if (service != NULL)
    return service;
  service = g_new0 (PlnService, 1);
  g_strlcpy (service->name, name, sizeof service->name);
  bud_init (&service->budgets);
  g_ptr_array_add (plan->services, service);
  return service;
}

void
pln_add_decision (Plan *plan, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (plan->decisions, g_strdup_vprintf (format, args));
  va_end (args);
  if (plan->decisions->len > PLAN_DECISIONS_MAX)
    g_ptr_array_remove_index (plan->decisions, 0);
}

/* ---- Encoding ---- */

static JsonObject *
encode_zone_values (const Cfg *cfg, const uint32_t *values)
{
  JsonObject *object = json_object_new ();

  for (uint32_t z = 0; z < cfg->zones->len; z++)
    if (values[z] > 0)
      json_object_set_int_member (object, cfg_zone (cfg, z)->name, values[z]);
  return object;
}

static JsonObject *
encode_group (const Cfg *cfg, const CfgService *service, const PlnGroup *group, uint64_t now_ms)
{
  JsonObject *object = json_object_new ();
  JsonObject *into_region = json_object_new ();
  uint32_t period_ms = service != NULL ? service->caps.period_ms : UINT32_MAX;

  for (uint32_t r = 0; r < cfg->regions->len; r++)
    json_object_set_int_member (into_region, cfg_region (cfg, r)->name,
                                shf_used_ppm (&group->state.into_region[r], period_ms, now_ms));
  json_object_set_object_member (object, "shares",
                                 encode_zone_values (cfg, group->state.shares_ppm));
  json_object_set_int_member (object, "moved",
                              shf_used_ppm (&group->state.shifts, period_ms, now_ms));
  json_object_set_int_member (object, "evacuated",
                              shf_used_ppm (&group->state.evacuations, period_ms, now_ms));
  json_object_set_object_member (object, "into", into_region);
  return object;
}

static JsonArray *
encode_budgets (const Cfg *cfg, const BudTable *table)
{
  JsonArray *array = json_array_new ();

  for (uint32_t i = 0; i < table->rows->len; i++)
    {
      const BudRow *row = &g_array_index (table->rows, BudRow, i);
      JsonObject *object = json_object_new ();
      json_object_set_string_member (object, "vm", row->vm);
      json_object_set_int_member (object, "incarnation", (gint64) row->incarnation);
      json_object_set_boolean_member (object, "dead", row->dead);
      json_object_set_object_member (object, "now", encode_zone_values (cfg, row->now));
      json_object_set_object_member (object, "ceiling", encode_zone_values (cfg, row->ceiling));
      json_array_add_object_element (array, object);
    }
  return array;
}

char *
pln_encode (const Plan *plan, const Cfg *cfg, uint64_t now_ms)
{
  JsonObject *root = json_object_new ();
  JsonObject *services = json_object_new ();
  JsonArray *decisions = json_array_new ();

  for (uint32_t i = 0; i < plan->services->len; i++)
    {
      const PlnService *service = plan->services->pdata[i];
      JsonObject *object = json_object_new ();
      JsonObject *groups = json_object_new ();
      for (uint32_t g = 0; g < cfg->zones->len; g++)
        if (service->groups[g].present)
          json_object_set_object_member (
              groups, cfg_zone (cfg, g)->name,
              encode_group (cfg, cfg_service (cfg, service->name), &service->groups[g], now_ms));
      json_object_set_object_member (object, "groups", groups);
      json_object_set_array_member (object, "budgets", encode_budgets (cfg, &service->budgets));
      json_object_set_object_member (services, service->name, object);
    }
  for (uint32_t i = 0; i < plan->decisions->len; i++)
    json_array_add_string_element (decisions, plan->decisions->pdata[i]);
  json_object_set_int_member (root, "schema", SCHEMA_VERSION);
  json_object_set_int_member (root, "epoch", (gint64) plan->epoch);
  json_object_set_string_member (root, "planner", plan->planner);
  json_object_set_object_member (root, "services", services);
  json_object_set_array_member (root, "decisions", decisions);
  return jsn_free_to_text (root, false);
}

/* ---- Decoding ---- */

static void
decode_zone_values (const Cfg *cfg, JsonObject *object, uint32_t *values)
{
  for (uint32_t z = 0; z < cfg->zones->len; z++)
    values[z] = (uint32_t) jsn_uint (object, cfg_zone (cfg, z)->name, 0);
}

static void
decode_group (const Cfg *cfg, JsonObject *object, PlnGroup *group, uint64_t now_ms)
{
  uint32_t shares[ZONES_MAX] = { 0 };
  uint32_t into_region_ppm[REGIONS_MAX] = { 0 };

  decode_zone_values (cfg, jsn_child (object, "shares"), shares);
  for (uint32_t r = 0; r < cfg->regions->len; r++)
    into_region_ppm[r]
        = (uint32_t) jsn_uint (jsn_child (object, "into"), cfg_region (cfg, r)->name, 0);
  group->present = sum_shares (shares) == SHARE_ONE_PPM;
  if (group->present)
    shf_restore (&group->state, shares, (uint32_t) jsn_uint (object, "moved", 0),
                 (uint32_t) jsn_uint (object, "evacuated", 0), into_region_ppm, now_ms);
}

static void
decode_budgets (const Cfg *cfg, JsonArray *array, BudTable *table)
{
  for (uint32_t i = 0; array != NULL && i < json_array_get_length (array); i++)
    {
      JsonObject *object = json_array_get_object_element (array, i);
      BudRow row = { .incarnation = jsn_uint (object, "incarnation", 0),
                     .dead = jsn_bool (object, "dead", false) };
      g_strlcpy (row.vm, jsn_text (object, "vm", ""), sizeof row.vm);
      decode_zone_values (cfg, jsn_child (object, "now"), row.now);
      decode_zone_values (cfg, jsn_child (object, "ceiling"), row.ceiling);
      g_array_append_val (table->rows, row);
    }
}

static void
decode_service (const Cfg *cfg, Plan *plan, const char *name, JsonObject *object, uint64_t now_ms)
{
  PlnService *service = pln_add_service (plan, name);
  JsonObject *groups = jsn_child (object, "groups");

  for (uint32_t g = 0; groups != NULL && g < cfg->zones->len; g++)
    {
      JsonObject *group = jsn_child (groups, cfg_zone (cfg, g)->name);
      if (group != NULL)
        decode_group (cfg, group, &service->groups[g], now_ms);
    }
  decode_budgets (cfg, jsn_array (object, "budgets"), &service->budgets);
}

Plan *
pln_decode (const char *text, const Cfg *cfg, uint64_t now_ms, Err *err)
{
  JsonNode *node = jsn_parse (text, strlen (text));
  JsonObject *services;
  JsonArray *decisions;
  Plan *plan;

  if (node == NULL || jsn_uint (jsn_object (node), "schema", 0) != SCHEMA_VERSION)
    {
      err_set (err, ERR_LAYER_PLAN, 1, "plan is not JSON or has an unknown schema");
      g_clear_pointer (&node, json_node_unref);
      return NULL;
    }
  plan = pln_new ();
  plan->epoch = jsn_uint (jsn_object (node), "epoch", 0);
  g_strlcpy (plan->planner, jsn_text (jsn_object (node), "planner", ""), sizeof plan->planner);
  services = jsn_child (jsn_object (node), "services");
  GList *names = services != NULL ? json_object_get_members (services) : NULL;
  for (GList *item = names; item != NULL; item = item->next)
    decode_service (cfg, plan, item->data, jsn_child (services, item->data), now_ms);
  g_list_free (names);
  decisions = jsn_array (jsn_object (node), "decisions");
  for (uint32_t i = 0; decisions != NULL && i < json_array_get_length (decisions); i++)
    g_ptr_array_add (plan->decisions, g_strdup (json_array_get_string_element (decisions, i)));
  json_node_unref (node);
  return plan;
}
