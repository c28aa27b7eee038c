/* Budgets of requests in flight: divided among entries so that their sum stays within a limit. */
#include "bud.h"

#include <string.h>

/* ---- Planner's side ---- */

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
bud_join (BudTable *table, const char *vm, uint64_t incarnation)
{
  BudRow added = { .incarnation = incarnation };
  BudRow *row = bud_row (table, vm, incarnation);

  if (row != NULL)
    return row;
  for (uint32_t i = 0; i < table->rows->len; i++)
    if (strcmp (row_at (table, i)->vm, vm) == 0)
      row_at (table, i)->dead = true;
  g_strlcpy (added.vm, vm, sizeof added.vm);
  g_array_append_val (table->rows, added);
  return row_at (table, table->rows->len - 1);
}

bool
bud_settle (BudRow *row, uint32_t zone, uint32_t in_use)
{
  uint32_t ceiling = MAX (row->now[zone], in_use);

  if (ceiling >= row->ceiling[zone])
    return false;
  row->ceiling[zone] = ceiling;
  return true;
}

void
bud_end (BudRow *row, uint32_t zone, uint32_t lent)
{
  row->now[zone] = 0;
  row->ceiling[zone] = MIN (row->ceiling[zone], lent);
}

void
bud_remove (BudTable *table, const char *vm, uint64_t incarnation)
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

/* One for each row with a need, when the limit has that many; returns what is left to divide. */
static uint32_t
give_one_each (const BudTable *table, uint32_t limit, const uint64_t *weights, uint32_t *wanted)
{
  uint32_t needy = 0;

  for (uint32_t i = 0; i < table->rows->len; i++)
    needy += weight_of (table, weights, i) > 0;
  if (needy > limit)
    return limit;
  for (uint32_t i = 0; i < table->rows->len; i++)
    wanted[i] = weight_of (table, weights, i) > 0;
  return limit - needy;
}

/* Divides @limit by weight; what rounding leaves goes to the largest remainders. */
static void
apportion (const BudTable *table, uint32_t limit, const uint64_t *weights, uint32_t *wanted)
{
  uint32_t count = table->rows->len;
  uint32_t left = give_one_each (table, limit, weights, wanted);
  uint64_t total = 0;
  uint32_t given = 0;
  uint64_t *rest = g_new0 (uint64_t, count);

  for (uint32_t i = 0; i < count; i++)
    total += weight_of (table, weights, i);
  for (uint32_t i = 0; i < count && total > 0; i++)
    {
      uint64_t product = weight_of (table, weights, i) * left;
      wanted[i] += (uint32_t) (product / total);
      given += (uint32_t) (product / total);
      rest[i] = product % total;
    }
  while (total > 0 && given < left)
    {
      uint32_t best = 0;
      for (uint32_t i = 1; i < count; i++)
        if (rest[i] > rest[best])
          best = i;
      if (rest[best] == 0)
        break;
      wanted[best]++;
      rest[best] = 0;
      given++;
    }
  g_free (rest);
}

static bool
shrink_row (BudRow *row, uint32_t zone, uint32_t wanted)
{
  if (row->now[zone] <= wanted)
    return false;
  row->now[zone] = wanted;
  return true;
}

static bool
grow_row (BudRow *row, uint32_t zone, uint32_t wanted, uint32_t *available)
{
  uint32_t before = row->now[zone];
  uint32_t within = MIN (wanted, row->ceiling[zone]);
  uint32_t extra = 0;

  row->now[zone] = MAX (before, within);
  if (wanted > row->ceiling[zone])
    extra = MIN (wanted - row->ceiling[zone], *available);
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
  uint32_t *wanted = g_new0 (uint32_t, count);
  uint32_t used = bud_ceiling_sum (table, zone);
  uint32_t available = used < limit ? limit - used : 0;
  bool changed = false;

  apportion (table, limit, weights, wanted);
  for (uint32_t i = 0; i < count; i++)
    changed = shrink_row (row_at (table, i), zone, wanted[i]) || changed;
  for (uint32_t i = 0; i < count; i++)
    if (!row_at (table, i)->dead)
      changed = grow_row (row_at (table, i), zone, wanted[i], &available) || changed;
  g_free (wanted);
  return changed;
}

/* ---- Entry's side ---- */

uint32_t
bud_held (const BudHold *hold)
{
  uint64_t held = (uint64_t) hold->plan + hold->borrowed;

  return held > hold->lent ? (uint32_t) (held - hold->lent) : 0;
}

uint32_t
bud_spare (const BudHold *hold)
{
  uint32_t held = bud_held (hold);

  return held > hold->in_flight ? held - hold->in_flight : 0;
}

uint32_t
bud_in_use (const BudHold *hold)
{
  uint64_t used = (uint64_t) hold->lent + hold->in_flight;

  return used > hold->borrowed ? (uint32_t) (used - hold->borrowed) : 0;
}

uint32_t
bud_lend (BudHold *hold, uint32_t wanted, bool all)
{
  uint32_t spare = bud_spare (hold);
  uint32_t lent = MIN (wanted, all ? spare : (spare + 1) / 2);

  hold->lent += lent;
  return lent;
}

uint32_t
bud_give_back (BudHold *hold, uint32_t wanted)
{
  uint32_t returned = MIN (MIN (wanted, hold->borrowed), bud_spare (hold));

  hold->borrowed -= returned;
  return returned;
}
