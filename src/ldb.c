/* Budgets of the planner task: applies the reports of entries and divides limits among them. */
#include "ldr.h"

#include <inttypes.h>
#include <string.h>

/* Multiples of PROXIMITY_WEIGHT_MICRO for entries in the zone and elsewhere in its region. */
#define PROXIMITY_SAME_ZONE 8
#define PROXIMITY_SAME_REGION 2

/* Weight that each entry has besides its traffic, in millionths of a request in flight. */
#define PROXIMITY_WEIGHT_MICRO 20000

/* The latest report of the row's process; NULL when the VM has reported for another process. */
static const SteerReport *
report_of_row (const Steer *steer, const BudRow *row)
{
  const SteerReport *report = g_hash_table_lookup (steer->reports, row->vm);

  if (report == NULL || report->report.incarnation != row->incarnation)
    return NULL;
  return report;
}

static void
add_reporting_entries (Steer *steer, PlnService *planned)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteerReport *report = value;
      if (!report->report.ended && steer_now_ms (steer) - report->received_at_ms <= REPORT_LIVE_MS
          && cfg_vm (steer->cfg, report->report.vm) != NULL)
        bud_add_row (&planned->budgets, report->report.vm, report->report.incarnation);
    }
}

/* Every live entry has reported after its last loan request to the ended process has completed, so
 * that the reports name all slots still borrowed from it. */
static bool
loans_are_known (Steer *steer, const PlnService *planned, const BudRow *ended, uint64_t ended_at_ms)
{
  uint64_t reported_after_ms = ended_at_ms + LOAN_TIMEOUT_MS + REPORT_PERIOD_MS;

  for (uint32_t i = 0; i < planned->budgets.rows->len; i++)
    {
      const BudRow *row = &g_array_index (planned->budgets.rows, BudRow, i);
      if (row->dead || row == ended)
        continue;
      const SteerReport *report = report_of_row (steer, row);
      if (report == NULL || report->received_at_ms < reported_after_ms)
        return false;
    }
  return steer_now_ms (steer) >= reported_after_ms;
}

/* When this planner first saw the row's process as ended. */
static uint64_t
first_seen_ended_ms (Steer *steer, const BudRow *row)
{
  char *key = g_strdup_printf ("%s/%" PRIu64, row->vm, row->incarnation);
  uint64_t *seen_at_ms = g_hash_table_lookup (steer->leader->ended_since, key);
  uint64_t now_ms = steer_now_ms (steer);

  if (seen_at_ms == NULL)
    {
      seen_at_ms = g_memdup2 (&now_ms, sizeof now_ms);
      g_hash_table_insert (steer->leader->ended_since, g_strdup (key), seen_at_ms);
    }
  g_free (key);
  return *seen_at_ms;
}

/* The configuration no longer lists the VM, or the process was reported as ended. */
static bool
process_has_ended (const Steer *steer, const BudRow *row)
{
  const SteerReport *report = report_of_row (steer, row);

  return cfg_vm (steer->cfg, row->vm) == NULL || (report != NULL && report->report.ended);
}

static bool
remove_ended_rows (Steer *steer, PlnService *planned)
{
  bool changed = false;

  for (uint32_t i = planned->budgets.rows->len; i > 0; i--)
    {
      BudRow *row = &g_array_index (planned->budgets.rows, BudRow, i - 1);
      row->dead = row->dead || process_has_ended (steer, row);
      if (!row->dead || !loans_are_known (steer, planned, row, first_seen_ended_ms (steer, row)))
        continue;
      bud_remove_row (&planned->budgets, row->vm, row->incarnation);
      changed = true;
    }
  return changed;
}

/* Slots that entries still borrow from lenders whose rows were removed. */
static uint32_t
orphaned_slots (const Steer *steer, const PlnService *planned, const char *zone)
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
reported_use (const Steer *steer, const wire_report *report, const char *service, uint32_t zone)
{
  for (u_int i = 0; i < report->budget_use.budget_use_len; i++)
    {
      const wire_budget_use *hold = &report->budget_use.budget_use_val[i];
      if (strcmp (hold->service, service) == 0
          && strcmp (hold->zone, cfg_zone (steer->cfg, zone)->name) == 0)
        return hold->in_use;
    }
  return 0;
}

static bool
lower_ceilings (const Steer *steer, const PlnService *planned, BudRow *row,
                const wire_report *report)
{
  bool changed = false;

  for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
    changed = bud_lower_ceiling (row, z, reported_use (steer, report, planned->name, z)) || changed;
  return changed;
}

/* After a planned shutdown the final report names the slots lent, and the rest of the allotment is
 * released at once. A crashed entry sends none; its row stays until its borrowers have reported. */
static bool
apply_final_report (const Steer *steer, const PlnService *planned, BudRow *row,
                    const wire_report *report)
{
  bool changed = false;

  for (uint32_t z = 0; report->planned_shutdown && z < steer->cfg->zones->len; z++)
    {
      uint32_t before = row->ceiling[z];
      bud_end_row (row, z, reported_use (steer, report, planned->name, z));
      changed = changed || row->ceiling[z] < before;
    }
  return changed;
}

static bool
apply_reports (Steer *steer, PlnService *planned)
{
  bool changed = false;

  for (uint32_t i = 0; i < planned->budgets.rows->len; i++)
    {
      BudRow *row = &g_array_index (planned->budgets.rows, BudRow, i);
      const SteerReport *report = report_of_row (steer, row);
      if (report == NULL)
        continue;
      if (report->report.ended)
        changed = apply_final_report (steer, planned, row, &report->report) || changed;
      else if (report->report.plan_epoch >= steer->leader->plan->epoch)
        changed = lower_ceilings (steer, planned, row, &report->report) || changed;
    }
  return changed;
}

bool
ldb_apply_reports (Steer *steer, PlnService *planned)
{
  uint32_t rows_before = planned->budgets.rows->len;
  bool changed = apply_reports (steer, planned);

  add_reporting_entries (steer, planned);
  changed = remove_ended_rows (steer, planned) || changed;
  return changed || planned->budgets.rows->len != rows_before;
}

typedef struct
{
  const Steer *steer;
  const PlnService *planned;
  uint32_t zone;
  uint64_t *weights;
} WeightSum;

/* Adds the requests in flight that an entry offers to the zone, in millionths, to its weight. */
static void
add_rate (void *user, const DemRate *rate)
{
  WeightSum *sum = user;
  const Cfg *cfg = sum->steer->cfg;
  uint32_t group = cfg_zone_index (cfg, rate->group);

  if (group == ZONE_NONE || strcmp (rate->service, sum->planned->name) != 0)
    return;
  for (uint32_t i = 0; i < sum->planned->budgets.rows->len; i++)
    {
      const BudRow *row = &g_array_index (sum->planned->budgets.rows, BudRow, i);
      if (strcmp (row->vm, rate->vm) == 0 && row->incarnation == rate->incarnation)
        sum->weights[i]
            += (uint64_t) (rate->in_flight_milli
                           * sum->planned->groups[group].state.shares_ppm[sum->zone] / 1000.0);
    }
}

/* Multiple of PROXIMITY_WEIGHT_MICRO by the entry's distance from the zone. It gives an entry
 * without traffic some budget, so that it can send requests at once; 0 for an entry that is
 * leaving. */
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

bool
ldb_replan (Steer *steer, PlnService *planned, const uint32_t *limits)
{
  bool changed = false;

  for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
    {
      uint64_t *weights = g_new0 (uint64_t, planned->budgets.rows->len);
      WeightSum sum = { .steer = steer, .planned = planned, .zone = z, .weights = weights };
      uint32_t orphaned = orphaned_slots (steer, planned, cfg_zone (steer->cfg, z)->name);
      dem_foreach (&steer->leader->demand, add_rate, &sum);
      for (uint32_t i = 0; i < planned->budgets.rows->len; i++)
        weights[i]
            = weights[i]
              + PROXIMITY_WEIGHT_MICRO
                    * proximity (steer, g_array_index (planned->budgets.rows, BudRow, i).vm, z);
      changed = bud_replan (&planned->budgets, z, limits[z] > orphaned ? limits[z] - orphaned : 0,
                            weights)
                || changed;
      g_free (weights);
    }
  return changed;
}
