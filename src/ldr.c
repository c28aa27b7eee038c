/* Planner task: while it holds the lease, computes plans and writes them by compare-and-set. */
#include "ldr.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

#define PLAN_PATH "system/plan"

/* ---- Reading and writing the plan ---- */

static void
on_plan_loaded (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  Ldr *ldr = steer->leader;
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

void
ldr_load_plan (Steer *steer)
{
  Ldr *ldr = steer->leader;

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
  Ldr *ldr = steer->leader;
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
    lse_lose (steer, "plan_conflict");
  ldr->plan_loaded = false;
}

static void
write_plan (Steer *steer)
{
  Ldr *ldr = steer->leader;

  ldr->plan->epoch++;
  g_strlcpy (ldr->plan->planner, steer->vm, sizeof ldr->plan->planner);
  char *text = pln_encode (ldr->plan, steer->cfg, steer_now_ms (steer));
  ldr->plan_busy = true;
  sto_put (&steer->store, PLAN_PATH, text, ldr->plan_version, on_plan_put, steer);
  g_free (text);
}

/* ---- Traffic split ---- */

static uint64_t
oldest_report_age_ms (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t oldest_ms = 0;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    oldest_ms = MAX (oldest_ms, steer_now_ms (steer) - ((SteerReport *) value)->received_at_ms);
  return oldest_ms;
}

/* A refusal is logged once in REFUSAL_LOG_PERIOD_MS for each @key. */
static bool
should_log_refusal (Steer *steer, const char *key)
{
  GHashTable *logged = steer->leader->logged_refusals;
  uint64_t *logged_at_ms = g_hash_table_lookup (logged, key);
  uint64_t now_ms = steer_now_ms (steer);

  if (logged_at_ms != NULL && now_ms - *logged_at_ms < REFUSAL_LOG_PERIOD_MS)
    return false;
  g_hash_table_insert (logged, g_strdup (key), g_memdup2 (&now_ms, sizeof now_ms));
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
  if (moved || should_log_refusal (steer, key))
    {
      char *text = g_strdup_printf (
          "t=%lld epoch=%" PRIu64 " service=%s group=%s action=%s reason=%s moved_ppm=%u "
          "evacuated_ppm=%u left_ppm=%u bound=%s demand_milli=%" PRIu64 " oldest_report_ms=%" PRIu64
          " config_revision=%" PRIu64,
          (long long) time (NULL), steer->leader->plan->epoch + 1, service, name,
          moved ? "move" : (reason == PLN_MOVE_FIRST ? "place" : "refuse"),
          pln_reason_name (reason), move->moved_ppm, move->evacuated_ppm, move->remaining_ppm,
          shf_bound_name (move->bound), input->demand_milli[group], oldest_report_age_ms (steer),
          steer->cfg->revision);
      pln_add_decision (steer->leader->plan, "%s", text);
      log_event (&steer->log, LOG_INFO, "steering_decision", "%s", text);
      g_free (text);
    }
  g_free (key);
}

/* All upstreams of the service in the zone are leaving or down; false for a zone without any. */
static bool
zone_has_failed (const Steer *steer, const CfgService *service, uint32_t zone)
{
  bool has_upstreams = false;

  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const CfgUpstream *upstream = &g_array_index (service->upstreams, CfgUpstream, i);
      if (upstream->zone != zone)
        continue;
      has_upstreams = true;
      if (upstream->leaving)
        continue;
      const Obs *obs = obs_get (&steer->observations, upstream->id,
                                cfg_region (steer->cfg, cfg_zone (steer->cfg, zone)->region)->name);
      if (obs == NULL || obs->state == OBS_UP)
        return false;
    }
  return has_upstreams;
}

/* Moves each client group one step towards its target; true when a traffic split changed. */
static bool
step_groups (Steer *steer, const CfgService *service, PlnService *planned, const PlnInput *input,
             PlnReason reason, uint32_t target[ZONES_MAX][ZONES_MAX])
{
  bool failed[ZONES_MAX] = { false };
  bool changed = false;

  for (uint32_t z = 0; z < input->zone_count; z++)
    failed[z] = zone_has_failed (steer, service, z);
  for (uint32_t g = 0; g < input->zone_count; g++)
    {
      PlnGroup *group = &planned->groups[g];
      uint32_t old_shares_ppm[ZONES_MAX];
      memcpy (old_shares_ppm, group->state.shares_ppm, sizeof old_shares_ppm);
      ShfMove move = shf_advance (&group->state, target[g], failed, input->region_of,
                                  &service->caps, steer_now_ms (steer));
      bool moved
          = shf_distance_ppm (old_shares_ppm, group->state.shares_ppm) > 0 || !group->present;
      uint64_t sum_ppm = 0;
      for (uint32_t z = 0; z < ZONES_MAX; z++)
        sum_ppm += group->state.shares_ppm[z];
      group->present = sum_ppm == SHARE_ONE_PPM;
      changed = changed || (moved && group->present);
      if (moved || move.remaining_ppm > 0)
        record_decision (steer, service->name, g, input, reason, &move);
    }
  return changed;
}

/* ---- Planning ---- */

/* A live entry has not applied the last change of a traffic split, and PLAN_ACK_WAIT_MAX_MS has not
 * passed since the plan was written. */
static bool
is_awaiting_entries (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_ms = steer_now_ms (steer);

  if (now_ms - steer->leader->plan_written_at_ms > PLAN_ACK_WAIT_MAX_MS)
    return false;
  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteerReport *report = value;
      if (!report->report.ended && now_ms - report->received_at_ms <= REPORT_LIVE_MS
          && report->report.plan_epoch < steer->leader->split_epoch)
        return true;
    }
  return false;
}

/* Updates the plan of a service; drained upstreams count for budgets only, so that requests move
 * to other zones while those upstreams still serve. */
static bool
plan_service (Steer *steer, const CfgService *service, bool move_traffic, bool replan_budgets)
{
  PlnService *planned = pln_add_service (steer->leader->plan, service->name);
  uint32_t target[ZONES_MAX][ZONES_MAX];
  uint32_t current[ZONES_MAX][ZONES_MAX];
  uint32_t limits[ZONES_MAX];
  uint32_t undrained_limits[ZONES_MAX];
  PlnInput input;
  bool changed = ldb_apply_reports (steer, planned);

  ldi_limits (steer, service, true, limits);
  if (move_traffic)
    {
      ldi_limits (steer, service, false, undrained_limits);
      ldi_fill (steer, service, undrained_limits, &input);
      for (uint32_t g = 0; g < ZONES_MAX; g++)
        memcpy (current[g], planned->groups[g].state.shares_ppm, sizeof current[g]);
      PlnReason reason = pln_targets (&input, current, target);
      if (step_groups (steer, service, planned, &input, reason, target))
        {
          steer->leader->split_epoch = steer->leader->plan->epoch + 1;
          changed = true;
        }
    }
  if (changed || replan_budgets)
    changed = ldb_replan (steer, planned, limits) || changed;
  return changed;
}

/* Removes services from the plan that the configuration no longer has. */
static void
remove_absent_services (Steer *steer)
{
  GPtrArray *services = steer->leader->plan->services;

  for (uint32_t i = services->len; i > 0; i--)
    if (cfg_service (steer->cfg, ((PlnService *) services->pdata[i - 1])->name) == NULL)
      g_ptr_array_remove_index (services, i - 1);
}

static void
on_plan_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  Ldr *ldr = steer->leader;
  uint64_t now_ms = steer_now_ms (steer);

  if (!ldr->holds_lease || ldr->plan_busy || steer->cfg == NULL
      || now_ms > ldr->lease_valid_until_ms)
    return;
  if (!ldr->plan_loaded)
    {
      ldr_load_plan (steer);
      return;
    }
  dem_expire (&ldr->demand, now_ms, REPORT_MAX_AGE_MS);
  bool move_traffic = !is_awaiting_entries (steer);
  bool replan_budgets = now_ms - ldr->budgets_planned_at_ms >= BUDGET_PERIOD_MS;
  bool changed = ldr->fence_needed;
  if (replan_budgets)
    ldr->budgets_planned_at_ms = now_ms;
  remove_absent_services (steer);
  for (uint32_t s = 0; s < steer->cfg->services->len; s++)
    changed = plan_service (steer, steer->cfg->services->pdata[s], move_traffic, replan_budgets)
              || changed;
  if (changed)
    write_plan (steer);
}

void
ldr_stop (Steer *steer)
{
  uv_timer_stop (&steer->leader->plan_timer);
  lse_release (steer);
}

bool
ldr_is_planner (const Steer *steer)
{
  return steer->leader->holds_lease;
}

void
ldr_apply_report (Steer *steer, const wire_report *report)
{
  uint64_t now_ms = steer_now_ms (steer);

  if (report->ended)
    dem_remove_vm (&steer->leader->demand, report->vm);
  else
    dem_apply_report (&steer->leader->demand, report, now_ms - MIN (report->age_ms, now_ms));
}

void
ldr_start (Steer *steer)
{
  Ldr *ldr = g_new0 (Ldr, 1);

  steer->leader = ldr;
  dem_init (&ldr->demand);
  ldr->ended_since = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ldr->logged_refusals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_timer_init (steer->loop, &ldr->plan_timer);
  ldr->plan_timer.data = steer;
  lse_start (steer);
  uv_timer_start (&ldr->plan_timer, on_plan_tick, PLAN_PERIOD_MS, PLAN_PERIOD_MS);
}
