/* Services of an entry: traffic splits in force, budgets, upstreams and their health. */
#include "entry.h"

#include <arpa/inet.h>
#include <string.h>

uint64_t
entry_now_ms (const Entry *entry)
{
  return uv_now (entry->loop);
}

/* ---- Upstreams ---- */

EntryUpstream *
esv_find_upstream (const EntryService *service, const char *id)
{
  for (uint32_t i = 0; i < service->upstreams->len; i++)
    if (strcmp (((EntryUpstream *) service->upstreams->pdata[i])->id, id) == 0)
      return service->upstreams->pdata[i];
  return NULL;
}

static EntryUpstream *
add_upstream (Entry *entry, EntryService *service, const CfgUpstream *declared)
{
  EntryUpstream *upstream = g_new0 (EntryUpstream, 1);
  struct sockaddr_in sin = net_addr_sockaddr (declared->addr);

  g_strlcpy (upstream->id, declared->id, sizeof upstream->id);
  upstream->addr = declared->addr;
  hlt_init (&upstream->health, &entry->upstream_chart);
  h2o_socketpool_init_by_address (&upstream->pool, (struct sockaddr *) &sin, sizeof sin, 0,
                                  POOL_MAX_PER_UPSTREAM);
  h2o_socketpool_set_timeout (&upstream->pool, entry->loop, POOL_IDLE_MS);
  g_ptr_array_add (service->upstreams, upstream);
  return upstream;
}

/* An upstream whose address changed is added as a new one; the old one stays under another id
 * until its requests end. */
static void
update_upstream (Entry *entry, EntryService *service, const CfgUpstream *declared)
{
  EntryUpstream *upstream = esv_find_upstream (service, declared->id);

  if (upstream != NULL
      && (upstream->addr.ip != declared->addr.ip || upstream->addr.port != declared->addr.port))
    {
      g_strlcat (upstream->id, "#replaced", sizeof upstream->id);
      upstream = NULL;
    }
  if (upstream == NULL)
    upstream = add_upstream (entry, service, declared);
  upstream->zone = declared->zone;
  upstream->slots = declared->slots;
  upstream->configured = true;
  upstream->configured_leaving = declared->leaving;
  upstream->drained = declared->drained;
}

static bool
accepts_requests (const EntryUpstream *upstream)
{
  return upstream->configured && !upstream->configured_leaving
         && hlt_accepts_requests (&upstream->health);
}

static uint32_t
usable_slots (const EntryUpstream *upstream, uint64_t now_ms)
{
  uint32_t slots = upstream->slots * hlt_slow_start_permille (&upstream->health, now_ms) / 1000;

  return MAX (slots, 1);
}

static bool
was_tried (const GPtrArray *tried, const EntryUpstream *upstream)
{
  for (uint32_t i = 0; tried != NULL && i < tried->len; i++)
    if (tried->pdata[i] == upstream)
      return true;
  return false;
}

/* Drained upstreams get requests only while no other upstream of their zone accepts them. */
static bool
zone_uses_drained (const EntryService *service, uint32_t zone)
{
  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const EntryUpstream *upstream = service->upstreams->pdata[i];
      if (upstream->zone == zone && !upstream->drained && accepts_requests (upstream))
        return false;
    }
  return true;
}

static bool
is_eligible (const EntryUpstream *upstream, uint32_t zone, bool drained, bool suspect)
{
  return upstream->zone == zone && accepts_requests (upstream) && upstream->drained == drained
         && upstream->suspects_in_flight == 0 && (!suspect || upstream->in_flight == 0);
}

static uint32_t
eligible_slots (const EntryService *service, uint32_t zone, bool drained)
{
  uint32_t slots = 0;

  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const EntryUpstream *upstream = service->upstreams->pdata[i];
      if (upstream->zone == zone && accepts_requests (upstream) && upstream->drained == drained)
        slots += upstream->slots;
    }
  return slots;
}

EntryUpstream *
esv_choose_upstream (Entry *entry, EntryService *service, uint32_t zone, const GPtrArray *tried,
                     bool suspect)
{
  PckCandidate *candidates = g_new0 (PckCandidate, service->upstreams->len + 1);
  uint64_t now_ms = entry_now_ms (entry);
  bool drained = zone_uses_drained (service, zone);
  uint32_t zone_slots = eligible_slots (service, zone, drained);
  uint32_t limit = bud_limit (&service->balances[zone]);

  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const EntryUpstream *upstream = service->upstreams->pdata[i];
      candidates[i] = (PckCandidate){
        .eligible = is_eligible (upstream, zone, drained, suspect) && !was_tried (tried, upstream)
                    && !hlt_is_shedding (&upstream->health, now_ms),
        .slots = upstream->slots,
        .usable_slots = entry->budgets_disabled
                            ? usable_slots (upstream, now_ms)
                            : MIN (usable_slots (upstream, now_ms),
                                   pck_upstream_budget (upstream->slots, limit, zone_slots)),
        .in_flight = upstream->in_flight,
        .load_permille = hlt_load_permille (&upstream->health, now_ms),
      };
    }
  uint32_t chosen = pck_choose_upstream (candidates, service->upstreams->len, entry->policy,
                                         entry->random, &service->cursor);
  return chosen == PCK_NONE ? NULL : service->upstreams->pdata[chosen];
}

void
esv_record_failure (Entry *entry, EntryService *service, EntryUpstream *upstream)
{
  uint32_t ejected = 0;

  if (!hlt_record_request (&upstream->health, false))
    return;
  for (uint32_t i = 0; i < service->upstreams->len; i++)
    ejected += ((EntryUpstream *) service->upstreams->pdata[i])->health.state == HLT_EJECTED;
  if (!hlt_eject (&upstream->health, &entry->upstream_chart, ejected, service->upstreams->len,
                  entry_now_ms (entry)))
    return;
  entry->counters.ejections++;
  log_event (&entry->log, LOG_WARN, "upstream_ejected", "service=%s upstream=%s reason=errors",
             service->name, upstream->id);
}

void
esv_record_leaving (Entry *entry, EntryUpstream *upstream)
{
  wire_item item = { .kind = WIRE_ITEM_UPSTREAM };
  char region[NAME_MAX_BYTES];

  if (upstream->health.state == HLT_LEAVING)
    return;
  hlt_set_leaving (&upstream->health, &entry->upstream_chart, true, entry_now_ms (entry));
  g_snprintf (region, sizeof region, OBS_SEEN_PREFIX "%.50s", entry->vm);
  obs_record (&entry->observations, upstream->id, region, OBS_LEAVING, 1000, entry_now_ms (entry));
  item.wire_item_u.upstream = (wire_upstream){ .id = g_strdup (upstream->id),
                                               .region = g_strdup (region),
                                               .state = OBS_LEAVING,
                                               .load_permille = 1000 };
  g_array_append_val (entry->unsent_items, item);
  log_event (&entry->log, LOG_INFO, "upstream_state", "upstream=%s to=leaving source=response",
             upstream->id);
  syn_now (entry);
}

/* ---- Services ---- */

EntryService *
esv_find_service (Entry *entry, const char *name)
{
  return g_hash_table_lookup (entry->services, name);
}

static EntryService *
add_service (Entry *entry, const char *name)
{
  EntryService *service = g_new0 (EntryService, 1);

  g_strlcpy (service->name, name, sizeof service->name);
  service->upstreams = g_ptr_array_new ();
  service->loans = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    g_queue_init (&service->waiting[z]);
  g_hash_table_insert (entry->services, g_strdup (name), service);
  return service;
}

void
esv_apply_config (Entry *entry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      EntryService *service = value;
      service->cfg = NULL;
      for (uint32_t i = 0; i < service->upstreams->len; i++)
        ((EntryUpstream *) service->upstreams->pdata[i])->configured = false;
    }
  for (uint32_t s = 0; s < entry->cfg->services->len; s++)
    {
      const CfgService *declared = entry->cfg->services->pdata[s];
      EntryService *service = esv_find_service (entry, declared->name);
      if (service == NULL)
        service = add_service (entry, declared->name);
      service->cfg = declared;
      for (uint32_t i = 0; i < declared->upstreams->len; i++)
        update_upstream (entry, service, &g_array_index (declared->upstreams, CfgUpstream, i));
    }
}

static void
apply_service_plan (Entry *entry, EntryService *service, const PlnService *planned)
{
  const BudRow *row = bud_row (&planned->budgets, entry->vm, entry->incarnation);

  for (uint32_t g = 0; g < ZONES_MAX; g++)
    if (planned->groups[g].present)
      memcpy (service->plan_shares_ppm[g], planned->groups[g].state.shares_ppm,
              sizeof service->plan_shares_ppm[g]);
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    service->balances[z].plan = row != NULL ? row->now[z] : 0;
}

void
esv_apply_plan (Entry *entry, const Plan *plan)
{
  for (uint32_t i = 0; i < plan->services->len; i++)
    {
      const PlnService *planned = plan->services->pdata[i];
      EntryService *service = esv_find_service (entry, planned->name);
      if (service != NULL)
        apply_service_plan (entry, service, planned);
    }
}

/* ---- Traffic splits in force ---- */

/* The zone has upstreams and each of them is down or leaving. */
static bool
zone_has_failed (const EntryService *service, uint32_t zone)
{
  bool has_upstreams = false;

  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const EntryUpstream *upstream = service->upstreams->pdata[i];
      if (upstream->zone != zone || !upstream->configured)
        continue;
      if (upstream->health.state != HLT_DOWN && upstream->health.state != HLT_LEAVING
          && !upstream->configured_leaving)
        return false;
      has_upstreams = true;
    }
  return has_upstreams;
}

/* Moves the weights of failed zones to the others, in proportion to their weights. When no weight
 * remains, the nearest zone with budget gets all of it; without such a zone the split in force
 * stays. */
static void
replace_failed_zones (const Entry *entry, const EntryService *service, uint32_t group,
                      const bool *failed, uint32_t *target)
{
  uint32_t failed_ppm = 0;
  uint32_t nearest = ZONE_NONE;

  for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
    {
      if (failed[z])
        {
          failed_ppm += target[z];
          target[z] = 0;
          continue;
        }
      if (service->balances[z].plan == 0 || cfg_zone (entry->cfg, z)->drained)
        continue;
      if (nearest == ZONE_NONE
          || entry->cfg->latency_ms[group][z] < entry->cfg->latency_ms[group][nearest])
        nearest = z;
    }
  if (failed_ppm == 0)
    return;
  uint32_t remaining_ppm = SHARE_ONE_PPM - failed_ppm;
  if (remaining_ppm == 0 && nearest != ZONE_NONE)
    target[nearest] = SHARE_ONE_PPM;
  else if (remaining_ppm == 0)
    memcpy (target, service->groups[group].state.shares_ppm, sizeof (uint32_t) * ZONES_MAX);
  else
    {
      uint32_t assigned_ppm = 0;
      uint32_t largest = ZONE_NONE;
      for (uint32_t z = 0; z < ZONES_MAX; z++)
        {
          target[z] = (uint32_t) ((uint64_t) target[z] * SHARE_ONE_PPM / remaining_ppm);
          assigned_ppm += target[z];
          if (target[z] > 0 && (largest == ZONE_NONE || target[z] > target[largest]))
            largest = z;
        }
      target[largest] += SHARE_ONE_PPM - assigned_ppm;
    }
}

static void
advance_split (Entry *entry, EntryService *service, uint32_t group, const bool *failed,
               const uint8_t *region_of)
{
  uint32_t target[ZONES_MAX];
  uint64_t sum_ppm = 0;

  memcpy (target, service->plan_shares_ppm[group], sizeof target);
  for (uint32_t z = 0; z < ZONES_MAX; z++)
    sum_ppm += target[z];
  if (sum_ppm != SHARE_ONE_PPM)
    return;
  replace_failed_zones (entry, service, group, failed, target);
  ShfMove move = shf_advance (&service->groups[group].state, target, failed, region_of,
                              &service->cfg->caps, entry_now_ms (entry));
  service->groups[group].present = true;
  if (move.moved_ppm + move.evacuated_ppm > 0)
    log_event (&entry->log, LOG_INFO, "shares_moved",
               "service=%s group=%s moved_ppm=%u evacuated_ppm=%u left_ppm=%u bound=%s",
               service->name, cfg_zone (entry->cfg, group)->name, move.moved_ppm,
               move.evacuated_ppm, move.remaining_ppm, shf_bound_name (move.bound));
}

static void
update_health (Entry *entry, EntryService *service)
{
  uint64_t now_ms = entry_now_ms (entry);

  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      EntryUpstream *upstream = service->upstreams->pdata[i];
      const CfgVm *own = cfg_vm (entry->cfg, entry->vm);
      uint32_t region = own != NULL ? cfg_zone (entry->cfg, own->zone)->region : 0;
      const Obs *obs
          = obs_get (&entry->observations, upstream->id, cfg_region (entry->cfg, region)->name);
      int32_t old_state = upstream->health.state;
      if (obs != NULL)
        {
          hlt_set_leaving (&upstream->health, &entry->upstream_chart,
                           obs_any_leaving (&entry->observations, upstream->id, now_ms), now_ms);
          hlt_record_probe (&upstream->health, &entry->upstream_chart, obs->state != OBS_DOWN,
                            now_ms);
          upstream->health.load_permille = obs->load_permille;
          upstream->health.load_reported_at_ms = obs->at_ms;
        }
      hlt_expire_ejection (&upstream->health, &entry->upstream_chart, now_ms);
      if (old_state != upstream->health.state)
        log_event (&entry->log, LOG_INFO, "upstream_state", "upstream=%s from=%s to=%s",
                   upstream->id, hlt_state_name (old_state),
                   hlt_state_name (upstream->health.state));
    }
}

void
esv_update (Entry *entry)
{
  uint8_t region_of[ZONES_MAX];
  GHashTableIter iter;
  gpointer value;

  if (entry->cfg == NULL || entry->cfg->zones->len == 0)
    return;
  cfg_region_map (entry->cfg, region_of);
  g_hash_table_iter_init (&iter, entry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      EntryService *service = value;
      bool failed[ZONES_MAX] = { false };
      if (service->cfg == NULL)
        continue;
      update_health (entry, service);
      for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
        failed[z] = zone_has_failed (service, z);
      for (uint32_t g = 0; g < entry->cfg->zones->len; g++)
        advance_split (entry, service, g, failed, region_of);
      for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
        dsp_dispatch_waiting (entry, service, z);
    }
}

/* ---- Budgets and usage ---- */

void
esv_update_usage (Entry *entry, EntryUsage *usage, int32_t change)
{
  uint64_t now_ms = entry_now_ms (entry);

  usage->busy_ms += usage->in_flight * (now_ms - usage->updated_at_ms);
  usage->updated_at_ms = now_ms;
  usage->in_flight = (uint32_t) ((int32_t) usage->in_flight + change);
}
