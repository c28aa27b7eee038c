/* Planner task: holds the platform's lease by conditional writes and plans while it does. */
#include "dem.h"
#include "jsn.h"
#include "steer.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

#define LEASE_PATH "lease/planner"
#define PLAN_PATH "system/plan"
#define PROXIMITY_SAME_ZONE 8
#define PROXIMITY_SAME_REGION 2

struct _Ldr
{
  uv_timer_t lease_timer;
  uv_timer_t plan_timer;
  bool lease_busy;
  bool holding;
  int64_t lease_version;
  int64_t seen_version;
  uint64_t seen_at_ms;
  uint64_t sent_at_ms;
  uint64_t valid_until_ms;
  bool plan_busy;
  bool plan_loaded;
  bool fence_needed;
  int64_t plan_version;
  uint64_t plan_written_at_ms;
  uint64_t shares_epoch;
  uint64_t budgets_at_ms;
  Plan *plan;
  DemTable demand;
  GHashTable *dead_since;
  GHashTable *decided;
};

static void load_plan (Steer *steer);

/* ---- Lease ---- */

static void
lose_lease (Steer *steer, const char *reason)
{
  Ldr *ldr = steer->lead;

  if (!ldr->holding)
    return;
  ldr->holding = false;
  ldr->plan_loaded = false;
  steer->counters.lease_losses++;
  log_event (&steer->log, LOG_WARN, "lease_lost", "reason=%s", reason);
}

static void
hold_lease (Steer *steer, int64_t version)
{
  Ldr *ldr = steer->lead;

  ldr->lease_version = version;
  ldr->valid_until_ms = ldr->sent_at_ms + LEASE_TTL_MS;
  if (ldr->holding)
    return;
  ldr->holding = true;
  ldr->fence_needed = true;
  steer->counters.lease_takeovers++;
  log_event (&steer->log, LOG_INFO, "lease_taken", "version=%" PRId64, version);
  load_plan (steer);
}

static void
on_lease_put (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  (void) value;

  steer->lead->lease_busy = false;
  if (result == STO_OK)
    hold_lease (steer, (int64_t) version);
  else if (result == STO_CONFLICT)
    lose_lease (steer, "conflict");
}

static char *
lease_text (const char *holder, uint64_t incarnation)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "holder", holder);
  json_object_set_int_member (object, "incarnation", (gint64) incarnation);
  return jsn_take (object, false);
}

static void
put_lease (Steer *steer, int64_t if_version)
{
  Ldr *ldr = steer->lead;
  char *text = lease_text (steer->vm, steer->incarnation);

  ldr->lease_busy = true;
  ldr->sent_at_ms = steer_now_ms (steer);
  sto_put (&steer->store, LEASE_PATH, text, if_version, on_lease_put, steer);
  g_free (text);
}

/* The lease was released, or was taken by a write of this process that got no answer. */
static bool
lease_is_free (const Steer *steer, const char *value)
{
  JsonNode *root = value != NULL ? jsn_parse (value, strlen (value)) : NULL;

  if (root == NULL)
    return false;
  const char *holder = jsn_text (jsn_object (root), "holder", "");
  bool is_free = holder[0] == '\0'
                 || (strcmp (holder, steer->vm) == 0
                     && jsn_uint (jsn_object (root), "incarnation", 0) == steer->incarnation);
  json_node_unref (root);
  return is_free;
}

/* A lease counts as lapsed when it did not change for its time to live on the own clock. */
static void
on_lease_get (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  Ldr *ldr = steer->lead;
  uint64_t now_ms = steer_now_ms (steer);

  ldr->lease_busy = false;
  if (result == STO_NOT_FOUND)
    put_lease (steer, STO_ABSENT);
  if (result != STO_OK)
    return;
  if ((int64_t) version != ldr->seen_version)
    {
      ldr->seen_version = (int64_t) version;
      ldr->seen_at_ms = now_ms;
    }
  if (now_ms - ldr->seen_at_ms > LEASE_TTL_MS || lease_is_free (steer, value))
    put_lease (steer, (int64_t) version);
}

static void
on_lease_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  Ldr *ldr = steer->lead;

  if (ldr->holding && steer_now_ms (steer) > ldr->valid_until_ms)
    lose_lease (steer, "not_renewed_in_time");
  if (ldr->lease_busy || !steer->joined)
    return;
  if (ldr->holding)
    put_lease (steer, ldr->lease_version);
  else if (flw_is_watcher (steer))
    {
      ldr->lease_busy = true;
      sto_get (&steer->store, LEASE_PATH, on_lease_get, steer);
    }
}

/* ---- Reading and writing the plan ---- */

static void
on_plan_loaded (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  Ldr *ldr = steer->lead;
  Err err = { 0 };
  Plan *plan = NULL;

  ldr->plan_busy = false;
  if (result == STO_OK && steer->cfg != NULL)
    plan = pln_decode (value, steer->cfg, steer_now_ms (steer), &err);
  if (result == STO_NOT_FOUND)
    plan = pln_new ();
  if (err.code != 0)
    {
      log_event (&steer->log, LOG_ERROR, "plan_unreadable", "error=\"%s\"", err.text);
      plan = pln_new ();
    }
  if (plan == NULL)
    return;
  pln_free (ldr->plan);
  ldr->plan = plan;
  ldr->plan_version = result == STO_OK ? (int64_t) version : STO_ABSENT;
  ldr->plan_loaded = true;
}

static void
load_plan (Steer *steer)
{
  Ldr *ldr = steer->lead;

  if (ldr->plan_busy)
    return;
  ldr->plan_loaded = false;
  ldr->plan_busy = true;
  sto_get (&steer->store, PLAN_PATH, on_plan_loaded, steer);
}

static void
on_plan_put (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  Ldr *ldr = steer->lead;
  (void) value;

  ldr->plan_busy = false;
  if (result == STO_OK)
    {
      ldr->plan_version = (int64_t) version;
      ldr->plan_written_at_ms = steer_now_ms (steer);
      ldr->fence_needed = false;
      steer->counters.plans_written++;
      log_event (&steer->log, LOG_INFO, "plan_written", "epoch=%" PRIu64 " version=%" PRIu64,
                 ldr->plan->epoch, version);
      return;
    }
  steer->counters.plan_conflicts += result == STO_CONFLICT;
  log_event (&steer->log, LOG_WARN, "plan_not_written", "result=%s epoch=%" PRIu64,
             sto_result_name (result), ldr->plan->epoch);
  if (result == STO_CONFLICT)
    lose_lease (steer, "plan_conflict");
  ldr->plan_loaded = false;
}

static void
write_plan (Steer *steer)
{
  Ldr *ldr = steer->lead;

  ldr->plan->epoch++;
  g_strlcpy (ldr->plan->planner, steer->vm, sizeof ldr->plan->planner);
  char *text = pln_encode (ldr->plan, steer->cfg, steer_now_ms (steer));
  ldr->plan_busy = true;
  sto_put (&steer->store, PLAN_PATH, text, ldr->plan_version, on_plan_put, steer);
  g_free (text);
}

/* ---- Inputs ---- */

static bool
upstream_serves (const Steer *steer, const CfgUpstream *upstream)
{
  const char *region = cfg_region (steer->cfg, cfg_zone (steer->cfg, upstream->zone)->region)->name;
  const Obs *obs = obs_get (&steer->observations, upstream->id, region);

  return !upstream->leaving && (obs == NULL || obs->state == OBS_UP)
         && !obs_any_leaving (&steer->observations, upstream->id, steer_now_ms (steer));
}

/* Slots in each zone; drained upstreams count only for what is still there. */
static void
slots_of (const Steer *steer, const CfgService *service, bool with_drained, uint32_t *slots)
{
  memset (slots, 0, ZONES_MAX * sizeof *slots);
  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const CfgUpstream *upstream = &g_array_index (service->upstreams, CfgUpstream, i);
      if (upstream_serves (steer, upstream) && (with_drained || !upstream->drained))
        slots[upstream->zone] += upstream->slots;
    }
}

static void
region_slots (const Steer *steer, uint64_t *sums)
{
  uint32_t slots[ZONES_MAX];

  for (uint32_t s = 0; s < steer->cfg->services->len; s++)
    {
      const CfgService *service = steer->cfg->services->pdata[s];
      slots_of (steer, service, true, slots);
      for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
        sums[cfg_zone (steer->cfg, z)->region]
            += (uint64_t) slots[z] * (100 - service->headroom_pct) / 100;
    }
}

/* Requests in flight that a service may have in each zone, within the limits of the regions. */
static void
zone_limits (const Steer *steer, const CfgService *service, bool with_drained, uint32_t *limits)
{
  uint64_t sums[REGIONS_MAX] = { 0 };

  region_slots (steer, sums);
  slots_of (steer, service, with_drained, limits);
  for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
    {
      uint8_t r = cfg_zone (steer->cfg, z)->region;
      const CfgRegion *region = cfg_region (steer->cfg, r);
      uint64_t allowed = (uint64_t) region->max_inflight * (100 - region->headroom_pct) / 100;
      uint64_t limit = (uint64_t) limits[z] * (100 - service->headroom_pct) / 100;
      limits[z] = (uint32_t) (sums[r] > allowed ? limit * allowed / sums[r] : limit);
    }
}

typedef struct
{
  const Steer *steer;
  const char *service;
  PlnInput *input;
  uint64_t link_used[REGIONS_MAX][REGIONS_MAX];
} Gather;

static void
gather_rate (void *user, const DemRate *rate)
{
  Gather *gather = user;
  const Cfg *cfg = gather->steer->cfg;
  uint32_t group = cfg_zone_index (cfg, rate->group);
  uint32_t zone = cfg_zone_index (cfg, rate->zone);

  if (group == ZONE_NONE || zone == ZONE_NONE)
    return;
  if (strcmp (rate->service, gather->service) == 0)
    {
      gather->input->demand_milli[group] += (uint64_t) rate->in_flight_milli;
      gather->input->demand_bytes_per_s[group] += (uint64_t) rate->bytes_per_s;
    }
  else
    gather->link_used[cfg_zone (cfg, group)->region][cfg_zone (cfg, zone)->region]
        += (uint64_t) rate->bytes_per_s;
}

static bool
entries_report (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_ms = steer_now_ms (steer);
  bool found = false;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteerReport *report = value;
      const MemMember *member = mem_get (&steer->members, report->report.vm);
      if (member == NULL || member->state >= MEM_SUSPECT || report->report.ended)
        continue;
      found = true;
      if (now_ms - report->received_at_ms > REPORT_MAX_AGE_MS)
        return false;
    }
  return found;
}

static void
fill_links (const Steer *steer, const CfgService *service, const Gather *gather, PlnInput *input)
{
  for (uint32_t a = 0; a < steer->cfg->regions->len; a++)
    for (uint32_t b = 0; b < steer->cfg->regions->len; b++)
      {
        uint64_t limit = steer->cfg->link_bytes_per_s[a][b] * (100 - service->headroom_pct) / 100;
        uint64_t used = gather->link_used[a][b];
        input->link_limited[a][b] = a != b && steer->cfg->link_bytes_per_s[a][b] > 0;
        input->link_left_bytes_per_s[a][b] = limit > used ? limit - used : 0;
      }
}

static void
fill_input (const Steer *steer, const CfgService *service, const uint32_t *limits, PlnInput *input)
{
  Gather gather = { .steer = steer, .service = service->name, .input = input };
  bool known = entries_report (steer);

  memset (input, 0, sizeof *input);
  input->zone_count = steer->cfg->zones->len;
  memcpy (input->latency_ms, steer->cfg->latency_ms, sizeof input->latency_ms);
  cfg_region_map (steer->cfg, input->region_of);
  dem_each (&steer->lead->demand, gather_rate, &gather);
  fill_links (steer, service, &gather, input);
  for (uint32_t z = 0; z < input->zone_count; z++)
    {
      input->capacity_milli[z] = (uint64_t) limits[z] * 1000;
      input->excluded[z] = cfg_zone (steer->cfg, z)->drained || limits[z] == 0;
      input->demand_known[z] = known;
    }
}

/* ---- Shares ---- */

static uint64_t
oldest_report_ms (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t oldest = 0;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    oldest = MAX (oldest, steer_now_ms (steer) - ((SteerReport *) value)->received_at_ms);
  return oldest;
}

static bool
decision_is_new (Steer *steer, const char *key)
{
  GHashTable *decided = steer->lead->decided;
  uint64_t *at = g_hash_table_lookup (decided, key);
  uint64_t now_ms = steer_now_ms (steer);

  if (at != NULL && now_ms - *at < DECISION_REPEAT_MS)
    return false;
  g_hash_table_insert (decided, g_strdup (key), g_memdup2 (&now_ms, sizeof now_ms));
  return true;
}

static void
record_decision (Steer *steer, const char *service, uint32_t group, const PlnInput *input,
                 PlnReason reason, const ShfMove *move)
{
  bool moved = move->moved_ppm + move->evacuated_ppm > 0;
  const char *name = cfg_zone (steer->cfg, group)->name;
  char *key = g_strdup_printf ("%s/%s/%d/%d/%d", service, name, reason, move->bound, moved);

  if (moved)
    steer->counters.moves++;
  else
    steer->counters.refused_moves++;
  if (moved || decision_is_new (steer, key))
    {
      char *text = g_strdup_printf (
          "t=%lld epoch=%" PRIu64 " service=%s group=%s action=%s reason=%s moved_ppm=%u "
          "evacuated_ppm=%u left_ppm=%u bound=%s demand_milli=%" PRIu64 " oldest_report_ms=%" PRIu64
          " config_revision=%" PRIu64,
          (long long) time (NULL), steer->lead->plan->epoch + 1, service, name,
          moved ? "move" : (reason == PLN_MOVE_FIRST ? "place" : "refuse"),
          pln_reason_name (reason), move->moved_ppm, move->evacuated_ppm, move->left_ppm,
          shf_bound_name (move->bound), input->demand_milli[group], oldest_report_ms (steer),
          steer->cfg->revision);
      pln_decide (steer->lead->plan, "%s", text);
      log_event (&steer->log, LOG_INFO, "steering_decision", "%s", text);
      g_free (text);
    }
  g_free (key);
}

static bool
zone_has_failed (const Steer *steer, const CfgService *service, uint32_t zone)
{
  bool any = false;

  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const CfgUpstream *upstream = &g_array_index (service->upstreams, CfgUpstream, i);
      if (upstream->zone != zone)
        continue;
      any = true;
      if (upstream->leaving)
        continue;
      const Obs *obs = obs_get (&steer->observations, upstream->id,
                                cfg_region (steer->cfg, cfg_zone (steer->cfg, zone)->region)->name);
      if (obs == NULL || obs->state == OBS_UP)
        return false;
    }
  return any;
}

static bool
move_groups (Steer *steer, const CfgService *service, PlnService *planned, const PlnInput *input,
             PlnReason reason, uint32_t target[ZONES_MAX][ZONES_MAX])
{
  bool failed[ZONES_MAX] = { false };
  bool changed = false;

  for (uint32_t z = 0; z < input->zone_count; z++)
    failed[z] = zone_has_failed (steer, service, z);
  for (uint32_t g = 0; g < input->zone_count; g++)
    {
      PlnGroup *group = &planned->groups[g];
      uint32_t before[ZONES_MAX];
      memcpy (before, group->state.shares_ppm, sizeof before);
      ShfMove move = shf_advance (&group->state, target[g], failed, input->region_of,
                                  &service->caps, steer_now_ms (steer));
      bool moved = shf_distance_ppm (before, group->state.shares_ppm) > 0 || !group->present;
      uint64_t sum = 0;
      for (uint32_t z = 0; z < ZONES_MAX; z++)
        sum += group->state.shares_ppm[z];
      group->present = sum == SHARE_ONE_PPM;
      changed = changed || (moved && group->present);
      if (moved || move.left_ppm > 0)
        record_decision (steer, service->name, g, input, reason, &move);
    }
  return changed;
}

/* ---- Budgets ---- */

static const SteerReport *
live_report (const Steer *steer, const BudRow *row)
{
  const SteerReport *report = g_hash_table_lookup (steer->reports, row->vm);

  if (report == NULL || report->report.incarnation != row->incarnation)
    return NULL;
  return report;
}

static void
join_rows (Steer *steer, PlnService *planned)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteerReport *report = value;
      if (!report->report.ended && steer_now_ms (steer) - report->received_at_ms <= REPORT_LIVE_MS
          && cfg_vm (steer->cfg, report->report.vm) != NULL)
        bud_join (&planned->budgets, report->report.vm, report->report.incarnation);
    }
}

/* All live entries have reported since the row's process ended, so its loans are known. */
static bool
loans_are_known (Steer *steer, const PlnService *planned, const BudRow *dead, uint64_t since_ms)
{
  uint64_t needed_ms = since_ms + LOAN_REPLY_MAX_MS + REPORT_PERIOD_MS;

  for (uint32_t i = 0; i < planned->budgets.rows->len; i++)
    {
      const BudRow *row = &g_array_index (planned->budgets.rows, BudRow, i);
      if (row->dead || row == dead)
        continue;
      const SteerReport *report = live_report (steer, row);
      if (report == NULL || report->received_at_ms < needed_ms)
        return false;
    }
  return steer_now_ms (steer) >= needed_ms;
}

static uint64_t
dead_since (Steer *steer, const BudRow *row)
{
  char *key = g_strdup_printf ("%s/%" PRIu64, row->vm, row->incarnation);
  uint64_t *at = g_hash_table_lookup (steer->lead->dead_since, key);
  uint64_t now_ms = steer_now_ms (steer);

  if (at == NULL)
    {
      at = g_memdup2 (&now_ms, sizeof now_ms);
      g_hash_table_insert (steer->lead->dead_since, g_strdup (key), at);
    }
  g_free (key);
  return *at;
}

/* The platform no longer lists the VM, or its steer found that the process is gone. */
static bool
process_has_ended (const Steer *steer, const BudRow *row)
{
  const SteerReport *report = live_report (steer, row);

  return cfg_vm (steer->cfg, row->vm) == NULL || (report != NULL && report->report.ended);
}

static bool
drop_dead_rows (Steer *steer, PlnService *planned)
{
  bool changed = false;

  for (uint32_t i = planned->budgets.rows->len; i > 0; i--)
    {
      BudRow *row = &g_array_index (planned->budgets.rows, BudRow, i - 1);
      row->dead = row->dead || process_has_ended (steer, row);
      if (!row->dead || !loans_are_known (steer, planned, row, dead_since (steer, row)))
        continue;
      g_array_remove_index (planned->budgets.rows, i - 1);
      changed = true;
    }
  return changed;
}

/* Slots that live entries still hold from lenders whose rows are gone. */
static uint32_t
orphan_loans (const Steer *steer, const PlnService *planned, const char *zone)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t sum = 0;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const wire_report *report = &((SteerReport *) value)->report;
      for (u_int i = 0; i < report->loans.loans_len; i++)
        {
          const wire_loan *loan = &report->loans.loans_val[i];
          if (strcmp (loan->service, planned->name) == 0 && strcmp (loan->zone, zone) == 0
              && bud_row (&planned->budgets, loan->lender, loan->lender_incarnation) == NULL)
            sum += loan->slots;
        }
    }
  return sum;
}

static uint32_t
stated_use (const Steer *steer, const wire_report *report, const char *service, uint32_t zone)
{
  for (u_int i = 0; i < report->holds.holds_len; i++)
    {
      const wire_hold *hold = &report->holds.holds_val[i];
      if (strcmp (hold->service, service) == 0
          && strcmp (hold->zone, cfg_zone (steer->cfg, zone)->name) == 0)
        return hold->in_use;
    }
  return 0;
}

static bool
settle_row (const Steer *steer, const PlnService *planned, BudRow *row, const wire_report *report)
{
  bool changed = false;

  for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
    changed = bud_settle (row, z, stated_use (steer, report, planned->name, z)) || changed;
  return changed;
}

/* An entry that ended by plan states what it lent; the rest of its allotment is free at once. One
 * that crashed could not state it, so its row waits until its borrowers have reported. */
static bool
end_row (const Steer *steer, const PlnService *planned, BudRow *row, const wire_report *report)
{
  bool changed = false;

  for (uint32_t z = 0; report->by_plan && z < steer->cfg->zones->len; z++)
    {
      uint32_t before = row->ceiling[z];
      bud_end (row, z, stated_use (steer, report, planned->name, z));
      changed = changed || row->ceiling[z] < before;
    }
  return changed;
}

static bool
settle_rows (Steer *steer, PlnService *planned)
{
  bool changed = false;

  for (uint32_t i = 0; i < planned->budgets.rows->len; i++)
    {
      BudRow *row = &g_array_index (planned->budgets.rows, BudRow, i);
      const SteerReport *report = live_report (steer, row);
      if (report == NULL)
        continue;
      if (report->report.ended)
        changed = end_row (steer, planned, row, &report->report) || changed;
      else if (report->report.plan_epoch >= steer->lead->plan->epoch)
        changed = settle_row (steer, planned, row, &report->report) || changed;
    }
  return changed;
}

typedef struct
{
  const Steer *steer;
  const PlnService *planned;
  uint32_t zone;
  uint64_t *weights;
} Weigh;

static void
weigh_rate (void *user, const DemRate *rate)
{
  Weigh *weigh = user;
  const Cfg *cfg = weigh->steer->cfg;
  uint32_t group = cfg_zone_index (cfg, rate->group);

  if (group == ZONE_NONE || strcmp (rate->service, weigh->planned->name) != 0)
    return;
  for (uint32_t i = 0; i < weigh->planned->budgets.rows->len; i++)
    {
      const BudRow *row = &g_array_index (weigh->planned->budgets.rows, BudRow, i);
      if (strcmp (row->vm, rate->vm) == 0 && row->incarnation == rate->incarnation)
        weigh->weights[i]
            += (uint64_t) (rate->in_flight_milli
                           * weigh->planned->groups[group].state.shares_ppm[weigh->zone] / 1000.0);
    }
}

/* An entry without traffic counts by how near it is, so that it can start at once; one that
 * leaves counts by its traffic only. */
static uint64_t
proximity (const Steer *steer, const char *vm, uint32_t zone)
{
  const CfgVm *entry = cfg_vm (steer->cfg, vm);
  const MemMember *member = mem_get (&steer->members, vm);

  if (entry == NULL || (member != NULL && member->state == MEM_LEAVING))
    return 0;
  if (entry->zone == zone)
    return PROXIMITY_SAME_ZONE;
  return cfg_zone (steer->cfg, entry->zone)->region == cfg_zone (steer->cfg, zone)->region
             ? PROXIMITY_SAME_REGION
             : 1;
}

static bool
replan_budgets (Steer *steer, PlnService *planned, const uint32_t *limits)
{
  bool changed = false;

  for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
    {
      uint64_t *weights = g_new0 (uint64_t, planned->budgets.rows->len);
      Weigh weigh = { .steer = steer, .planned = planned, .zone = z, .weights = weights };
      uint32_t lost = orphan_loans (steer, planned, cfg_zone (steer->cfg, z)->name);
      dem_each (&steer->lead->demand, weigh_rate, &weigh);
      for (uint32_t i = 0; i < planned->budgets.rows->len; i++)
        weights[i]
            = weights[i]
              + 20000 * proximity (steer, g_array_index (planned->budgets.rows, BudRow, i).vm, z);
      changed = bud_replan (&planned->budgets, z, limits[z] > lost ? limits[z] - lost : 0, weights)
                || changed;
      g_free (weights);
    }
  return changed;
}

/* ---- Planning ---- */

/* An entry that reports has not yet put the last change of shares in force. */
static bool
laggards (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_ms = steer_now_ms (steer);

  if (now_ms - steer->lead->plan_written_at_ms > PLAN_ACK_WAIT_MS)
    return false;
  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteerReport *report = value;
      if (!report->report.ended && now_ms - report->received_at_ms <= REPORT_LIVE_MS
          && report->report.plan_epoch < steer->lead->shares_epoch)
        return true;
    }
  return false;
}

static bool
plan_service (Steer *steer, const CfgService *service, bool move, bool budgets)
{
  PlnService *planned = pln_add_service (steer->lead->plan, service->name);
  uint32_t rows = planned->budgets.rows->len;
  uint32_t target[ZONES_MAX][ZONES_MAX];
  uint32_t current[ZONES_MAX][ZONES_MAX];
  uint32_t limits[ZONES_MAX];
  uint32_t lasting[ZONES_MAX];
  PlnInput input;
  bool changed = settle_rows (steer, planned);

  join_rows (steer, planned);
  changed = drop_dead_rows (steer, planned) || changed;
  changed = changed || planned->budgets.rows->len != rows;
  zone_limits (steer, service, true, limits);
  if (move)
    {
      zone_limits (steer, service, false, lasting);
      fill_input (steer, service, lasting, &input);
      for (uint32_t g = 0; g < ZONES_MAX; g++)
        memcpy (current[g], planned->groups[g].state.shares_ppm, sizeof current[g]);
      PlnReason reason = pln_targets (&input, current, target);
      if (move_groups (steer, service, planned, &input, reason, target))
        {
          steer->lead->shares_epoch = steer->lead->plan->epoch + 1;
          changed = true;
        }
    }
  if (changed || budgets)
    changed = replan_budgets (steer, planned, limits) || changed;
  return changed;
}

static void
drop_services (Steer *steer)
{
  GPtrArray *services = steer->lead->plan->services;

  for (uint32_t i = services->len; i > 0; i--)
    if (cfg_service (steer->cfg, ((PlnService *) services->pdata[i - 1])->name) == NULL)
      g_ptr_array_remove_index (services, i - 1);
}

static void
on_plan_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  Ldr *ldr = steer->lead;
  uint64_t now_ms = steer_now_ms (steer);

  if (!ldr->holding || ldr->plan_busy || steer->cfg == NULL || now_ms > ldr->valid_until_ms)
    return;
  if (!ldr->plan_loaded)
    {
      load_plan (steer);
      return;
    }
  dem_forget (&ldr->demand, now_ms, REPORT_MAX_AGE_MS);
  bool move = !laggards (steer);
  bool budgets = now_ms - ldr->budgets_at_ms >= BUDGET_PERIOD_MS;
  bool changed = ldr->fence_needed;
  if (budgets)
    ldr->budgets_at_ms = now_ms;
  drop_services (steer);
  for (uint32_t s = 0; s < steer->cfg->services->len; s++)
    changed = plan_service (steer, steer->cfg->services->pdata[s], move, budgets) || changed;
  if (changed)
    write_plan (steer);
}

static void
on_released (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  (void) result;
  (void) version;
  (void) value;

  uv_stop (steer->loop);
}

void
ldr_stop (Steer *steer)
{
  Ldr *ldr = steer->lead;
  char *text;

  uv_timer_stop (&ldr->lease_timer);
  uv_timer_stop (&ldr->plan_timer);
  if (!ldr->holding || ldr->lease_busy || ldr->plan_busy)
    {
      uv_stop (steer->loop);
      return;
    }
  text = lease_text ("", 0);
  sto_put (&steer->store, LEASE_PATH, text, ldr->lease_version, on_released, steer);
  g_free (text);
}

bool
ldr_is_planner (const Steer *steer)
{
  return steer->lead->holding;
}

const Plan *
ldr_plan (const Steer *steer)
{
  return steer->lead->plan;
}

void
ldr_take_report (Steer *steer, const wire_report *report)
{
  uint64_t now_ms = steer_now_ms (steer);

  if (report->ended)
    dem_drop (&steer->lead->demand, report->vm);
  else
    dem_take (&steer->lead->demand, report, now_ms - MIN (report->age_ms, now_ms));
}

void
ldr_start (Steer *steer)
{
  Ldr *ldr = g_new0 (Ldr, 1);

  steer->lead = ldr;
  ldr->seen_version = -1;
  dem_init (&ldr->demand);
  ldr->dead_since = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ldr->decided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_timer_init (steer->loop, &ldr->lease_timer);
  uv_timer_init (steer->loop, &ldr->plan_timer);
  ldr->lease_timer.data = ldr->plan_timer.data = steer;
  uv_timer_start (&ldr->lease_timer, on_lease_tick,
                  (uint64_t) g_rand_int_range (steer->random, 100, LEASE_RENEW_MS), LEASE_RENEW_MS);
  uv_timer_start (&ldr->plan_timer, on_plan_tick, PLAN_PERIOD_MS, PLAN_PERIOD_MS);
}
