/* State dump (JSON) and metrics (Prometheus text) of an entry. */
#include "entry.h"
#include "jsn.h"
#include "mbs.h"

#include <string.h>

/* ---- Dump ---- */

/* Requests in flight that the plan allots to this process, over all services and zones. */
static uint32_t
plan_budget (const Entry *entry)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t total = 0;

  g_hash_table_iter_init (&iter, entry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (uint32_t z = 0; z < ZONES_MAX; z++)
      total += ((EntryService *) value)->balances[z].plan;
  return total;
}

static JsonObject *
zone_values_object (const Entry *entry, const uint32_t *values)
{
  JsonObject *object = json_object_new ();

  for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
    if (values[z] > 0)
      json_object_set_int_member (object, cfg_zone (entry->cfg, z)->name, values[z]);
  return object;
}

static JsonObject *
balance_object (const BudBalance *balance)
{
  JsonObject *object = json_object_new ();

  json_object_set_int_member (object, "plan", balance->plan);
  json_object_set_int_member (object, "borrowed", balance->borrowed);
  json_object_set_int_member (object, "lent", balance->lent);
  json_object_set_int_member (object, "in_flight", balance->in_flight);
  return object;
}

static JsonArray *
upstreams_array (const EntryService *service)
{
  JsonArray *array = json_array_new ();

  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const EntryUpstream *upstream = service->upstreams->pdata[i];
      JsonObject *object = json_object_new ();
      json_object_set_string_member (object, "id", upstream->id);
      json_object_set_string_member (object, "state", hlt_state_name (upstream->health.state));
      json_object_set_boolean_member (object, "leaving", upstream->configured_leaving);
      json_object_set_int_member (object, "in_flight", upstream->in_flight);
      json_object_set_int_member (object, "load_permille", upstream->health.load_permille);
      json_array_add_object_element (array, object);
    }
  return array;
}

static JsonObject *
service_object (const Entry *entry, const EntryService *service)
{
  JsonObject *object = json_object_new ();
  JsonObject *shares = json_object_new ();
  JsonObject *budgets = json_object_new ();

  for (uint32_t g = 0; g < entry->cfg->zones->len; g++)
    if (service->groups[g].present)
      json_object_set_object_member (
          shares, cfg_zone (entry->cfg, g)->name,
          zone_values_object (entry, service->groups[g].state.shares_ppm));
  for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
    json_object_set_object_member (budgets, cfg_zone (entry->cfg, z)->name,
                                   balance_object (&service->balances[z]));
  json_object_set_object_member (object, "shares", shares);
  json_object_set_object_member (object, "budgets", budgets);
  json_object_set_array_member (object, "upstreams", upstreams_array (service));
  json_object_set_int_member (object, "waiting", service->waiting_count);
  return object;
}

char *
edm_dump (const Entry *entry)
{
  static const char *const states[] = { "joining", "serving", "draining", "stopped" };
  JsonObject *root = json_object_new ();
  JsonObject *services = json_object_new ();
  GHashTableIter iter;
  gpointer value;

  json_object_set_string_member (root, "process", "entry");
  json_object_set_string_member (root, "vm", entry->vm);
  json_object_set_int_member (root, "incarnation", (gint64) entry->incarnation);
  json_object_set_string_member (root, "state", states[entry->state]);
  json_object_set_int_member (root, "config_revision", (gint64) entry->objects.revision);
  json_object_set_int_member (root, "config_age_ms",
                              (gint64) (entry_now_ms (entry) - entry->cfg_since_ms));
  json_object_set_int_member (root, "plan_epoch", (gint64) entry->plan_epoch);
  json_object_set_int_member (root, "budget", plan_budget (entry));
  json_object_set_int_member (root, "config_errors",
                              entry->cfg != NULL ? entry->cfg->errors->len : 0);
  json_object_set_int_member (root, "open_requests", entry->open_requests);
  g_hash_table_iter_init (&iter, entry->services);
  while (entry->cfg != NULL && g_hash_table_iter_next (&iter, NULL, &value))
    json_object_set_object_member (services, ((EntryService *) value)->name,
                                   service_object (entry, value));
  json_object_set_object_member (root, "services", services);
  return jsn_free_to_text (root, true);
}

/* ---- Metrics ---- */

static uint64_t
impossible_events (const Entry *entry)
{
  return entry->entry_chart.impossible_events + entry->request_chart.impossible_events
         + entry->upstream_chart.impossible_events;
}

char *
edm_metrics (const Entry *entry)
{
  GString *out = g_string_new (NULL);
  const EntryCounters *counters = &entry->counters;
  const struct
  {
    const char *name;
    uint64_t value;
  } rows[] = {
    { "cardamom_entry_lookups_total", counters->lookups },
    { "cardamom_entry_requests_total", counters->requests },
    { "cardamom_entry_answered_total", counters->answered },
    { "cardamom_entry_refused_not_run_total", counters->refused_not_run },
    { "cardamom_entry_may_have_run_total", counters->may_have_run },
    { "cardamom_entry_replayed_total", counters->replayed },
    { "cardamom_entry_retries_total", counters->retries },
    { "cardamom_entry_sheds_total", counters->sheds },
    { "cardamom_entry_resumed_downloads_total", counters->resumed_downloads },
    { "cardamom_entry_cut_answers_total", counters->cut_answers },
    { "cardamom_entry_callers_gone_total", counters->callers_gone },
    { "cardamom_entry_poison_refused_total", counters->poison_refused },
    { "cardamom_entry_crashes_seen_total", counters->crashes_seen },
    { "cardamom_entry_ejections_total", counters->ejections },
    { "cardamom_entry_claims_won_total", counters->claims_won },
    { "cardamom_entry_claims_lost_total", counters->claims_lost },
    { "cardamom_entry_claims_unavailable_total", counters->claims_unavailable },
    { "cardamom_entry_claims_read_back_total", counters->claims_read_back },
    { "cardamom_entry_loans_granted_total", counters->loans_granted },
    { "cardamom_entry_loans_received_total", counters->loans_received },
    { "cardamom_entry_queued_total", counters->queued },
    { "cardamom_entry_queue_timeouts_total", counters->queue_timeouts },
    { "cardamom_entry_store_calls_total", entry->store.calls },
    { "cardamom_entry_store_failures_total", entry->store.failures },
    { "cardamom_entry_control_bytes_total",
      onc_client_bytes (entry->client) + onc_server_bytes (entry->rpc_server) },
    { "cardamom_entry_open_requests", entry->open_requests },
    { "cardamom_entry_config_revision", entry->objects.revision },
    { "cardamom_entry_plan_epoch", entry->plan_epoch },
    { "cardamom_entry_impossible_events_total", impossible_events (entry) },
  };

  for (uint32_t i = 0; i < G_N_ELEMENTS (rows); i++)
    met_write_value (out, rows[i].name, NULL, rows[i].value);
  if (entry->has_budget)
    mbs_write_metrics (&entry->memory, "cardamom_entry_", out);
  met_write_histogram (out, "cardamom_entry_request_seconds", &entry->latency);
  met_write_histogram (out, "cardamom_entry_claim_seconds", &entry->claim_latency);
  return g_string_free (out, FALSE);
}
