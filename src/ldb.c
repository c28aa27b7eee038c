/* Budgets of the planner: rows of entries, their ends, and what is lent between them. */
#include "ldr.h"

#include <inttypes.h>
#include <string.h>

#define PROXIMITY_SAME_ZONE 8
#define PROXIMITY_SAME_REGION 2
#define PROXIMITY_UNIT 20000

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
      bud_remove (&planned->budgets, row->vm, row->incarnation);
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

bool
ldb_update (Steer *steer, PlnService *planned)
{
  uint32_t rows = planned->budgets.rows->len;
  bool changed = settle_rows (steer, planned);

  join_rows (steer, planned);
  changed = drop_dead_rows (steer, planned) || changed;
  return changed || planned->budgets.rows->len != rows;
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

bool
ldb_replan (Steer *steer, PlnService *planned, const uint32_t *limits)
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
              + PROXIMITY_UNIT
                    * proximity (steer, g_array_index (planned->budgets.rows, BudRow, i).vm, z);
      changed = bud_replan (&planned->budgets, z, limits[z] > lost ? limits[z] - lost : 0, weights)
                || changed;
      g_free (weights);
    }
  return changed;
}
