/* Budgets: divides a limit of requests in flight among entries. */
#include "bud.h"

#include <string.h>

/* ---- Planner: allotments of all entries ---- */

static BudRow *
row_at (const BudTable *table, uint32_t index)
{
  return &g_array_index (table->rows, BudRow, index);
}

void
bud_init (BudTable *table)
{
  table->rows = g_array_new (FALSE, TRUE, sizeof (BudRow));
}

void
bud_clear (BudTable *table)
{
  g_array_unref (table->rows);
  table->rows = NULL;
}

BudRow *
bud_row (const BudTable *table, const char *vm, uint64_t incarnation)
{
  for (uint32_t i = 0; i < table->rows->len; i++)
    {
      BudRow *row = row_at (table, i);
      if (row->incarnation == incarnation && strcmp (row->vm, vm) == 0)
        return row;
    }
  return NULL;
}

BudRow *
bud_add_row (BudTable *table, const char *vm, uint64_t incarnation)
{
  BudRow new_row = { .incarnation = incarnation };
  BudRow *row = bud_row (table, vm, incarnation);

  if (row != NULL)
    return row;
  for (uint32_t i = 0; i < table->rows->len; i++)
    if (strcmp (row_at (table, i)->vm, vm) == 0)
      row_at (table, i)->dead = true;
  g_strlcpy (new_row.vm, vm, sizeof new_row.vm);
  g_array_append_val (table->rows, new_row);
  return row_at (table, table->rows->len - 1);
}

bool
bud_lower_ceiling (BudRow *row, uint32_t zone, uint32_t in_use)
{
  uint32_t ceiling = MAX (row->now[zone], in_use);

  if (ceiling >= row->ceiling[zone])
    return false;
  row->ceiling[zone] = ceiling;
  return true;
}

void
bud_end_row (BudRow *row, uint32_t zone, uint32_t lent)
{
  row->now[zone] = 0;
  row->ceiling[zone] = MIN (row->ceiling[zone], lent);
}

void
bud_remove_row (BudTable *table, const char *vm, uint64_t incarnation)
{
  for (uint32_t i = 0; i < table->rows->len; i++)
    {
      BudRow *row = row_at (table, i);
      if (row->incarnation == incarnation && strcmp (row->vm, vm) == 0)
        {
          g_array_remove_index (table->rows, i);
          return;
        }
    }
}

uint32_t
bud_ceiling_sum (const BudTable *table, uint32_t zone)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < table->rows->len; i++)
    sum += row_at (table, i)->ceiling[zone];
  return sum;
}

static uint64_t
weight_of (const BudTable *table, const uint64_t *weights, uint32_t index)
{
  return row_at (table, index)->dead ? 0 : weights[index];
}

/* Allots 1 to each row with a weight, unless there are more such rows than @limit. Returns the rest
 * of the limit. */
static uint32_t
allot_one_each (const BudTable *table, uint32_t limit, const uint64_t *weights,
                uint32_t *allotments)
{
  uint32_t weighted_rows = 0;

  for (uint32_t i = 0; i < table->rows->len; i++)
    weighted_rows += weight_of (table, weights, i) > 0;
  if (weighted_rows > limit)
    return limit;
  for (uint32_t i = 0; i < table->rows->len; i++)
    allotments[i] = weight_of (table, weights, i) > 0;
  return limit - weighted_rows;
}

/* Divides @limit in proportion to the weights by the largest remainder method. */
static void
apportion (const BudTable *table, uint32_t limit, const uint64_t *weights, uint32_t *allotments)
{
  uint32_t count = table->rows->len;
  uint32_t divisible = allot_one_each (table, limit, weights, allotments);
  uint64_t weight_sum = 0;
  uint32_t allotted = 0;
  uint64_t *remainders = g_new0 (uint64_t, count);

  for (uint32_t i = 0; i < count; i++)
    weight_sum += weight_of (table, weights, i);
  for (uint32_t i = 0; i < count && weight_sum > 0; i++)
    {
      uint64_t product = weight_of (table, weights, i) * divisible;
      allotments[i] += (uint32_t) (product / weight_sum);
      allotted += (uint32_t) (product / weight_sum);
      remainders[i] = product % weight_sum;
    }
  while (weight_sum > 0 && allotted < divisible)
    {
      uint32_t best = 0;
      for (uint32_t i = 1; i < count; i++)
        if (remainders[i] > remainders[best])
          best = i;
      if (remainders[best] == 0)
        break;
      allotments[best]++;
      remainders[best] = 0;
      allotted++;
    }
  g_free (remainders);
}

static bool
shrink_row (BudRow *row, uint32_t zone, uint32_t target)
{
  if (row->now[zone] <= target)
    return false;
  row->now[zone] = target;
  return true;
}

/* Grows within the ceiling at once, beyond it by at most @available, which it reduces. */
static bool
grow_row (BudRow *row, uint32_t zone, uint32_t target, uint32_t *available)
{
  uint32_t before = row->now[zone];
  uint32_t covered = MIN (target, row->ceiling[zone]);
  uint32_t extra = 0;

  row->now[zone] = MAX (before, covered);
  if (target > row->ceiling[zone])
    extra = MIN (target - row->ceiling[zone], *available);
  if (extra > 0)
    {
      row->ceiling[zone] += extra;
      row->now[zone] = row->ceiling[zone];
      *available -= extra;
    }
  return row->now[zone] != before;
}

bool
bud_replan (BudTable *table, uint32_t zone, uint32_t limit, const uint64_t *weights)
{
  uint32_t count = table->rows->len;
  uint32_t *targets = g_new0 (uint32_t, count);
  uint32_t reserved = bud_ceiling_sum (table, zone);
  uint32_t available = reserved < limit ? limit - reserved : 0;
  bool changed = false;

  apportion (table, limit, weights, targets);
  for (uint32_t i = 0; i < count; i++)
    changed = shrink_row (row_at (table, i), zone, targets[i]) || changed;
  for (uint32_t i = 0; i < count; i++)
    if (!row_at (table, i)->dead)
      changed = grow_row (row_at (table, i), zone, targets[i], &available) || changed;
  g_free (targets);
  return changed;
}

/* ---- Entry: use of its own budget ---- */

uint32_t
bud_limit (const BudBalance *balance)
{
  uint64_t total = (uint64_t) balance->plan + balance->borrowed;

  return total > balance->lent ? (uint32_t) (total - balance->lent) : 0;
}

uint32_t
bud_spare (const BudBalance *balance)
{
  uint32_t limit = bud_limit (balance);

  return limit > balance->in_flight ? limit - balance->in_flight : 0;
}

uint32_t
bud_in_use (const BudBalance *balance)
{
  uint64_t used = (uint64_t) balance->lent + balance->in_flight;

  return used > balance->borrowed ? (uint32_t) (used - balance->borrowed) : 0;
}

uint32_t
bud_lend (BudBalance *balance, uint32_t wanted, bool lend_all)
{
  uint32_t spare = bud_spare (balance);
  uint32_t lent = MIN (wanted, lend_all ? spare : (spare + 1) / 2);

  balance->lent += lent;
  return lent;
}

uint32_t
bud_return (BudBalance *balance, uint32_t wanted)
{
  uint32_t returned = MIN (MIN (wanted, balance->borrowed), bud_spare (balance));

  balance->borrowed -= returned;
  return returned;
}
