/* Budgets of requests in flight: divided among entries so that their sum stays within a limit. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct BudRow - what one entry may use of one service
 * @now: allotment of the current plan, requests in flight for each zone
 * @ceiling: largest allotment that the entry may still be using
 * @dead: the process has ended; the row stays until its loans are known
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  uint64_t incarnation;
  bool dead;
  uint32_t now[ZONES_MAX];
  uint32_t ceiling[ZONES_MAX];
} BudRow;

/** struct BudTable - rows of one service */
typedef struct
{
  GArray *rows;
} BudTable;

void bud_init (BudTable *table);
void bud_clear (BudTable *table);
BudRow *bud_row (const BudTable *table, const char *vm, uint64_t incarnation);

/** bud_join() - adds a row without budget for a new process; rows of the VM's older ones die. */
BudRow *bud_join (BudTable *table, const char *vm, uint64_t incarnation);

/**
 * bud_settle() - an entry that has the current plan in force states what it uses of a zone
 *
 * It cannot use more than the larger of that and its allotment. Return: true when that frees some.
 */
bool bud_settle (BudRow *row, uint32_t zone, uint32_t in_use);

/** bud_end() - the entry's process has ended and leaves @lent in use by others. */
void bud_end (BudRow *row, uint32_t zone, uint32_t lent);

/** bud_remove() - releases a row whose process has ended and whose loans are known. */
void bud_remove (BudTable *table, const char *vm, uint64_t incarnation);

/**
 * bud_replan() - makes new allotments for one zone
 * @limit: requests in flight that all entries together may have
 * @weights: expected need of each row, in row order
 *
 * Rows shrink at once; a row grows only into what no other row may still be using, so that the
 * sum of all ceilings never exceeds the larger of @limit and the sum before the call.
 * Return: true when an allotment changed.
 */
bool bud_replan (BudTable *table, uint32_t zone, uint32_t limit, const uint64_t *weights);

/** bud_ceiling_sum() - requests in flight that all rows together may be using in a zone. */
uint32_t bud_ceiling_sum (const BudTable *table, uint32_t zone);

/**
 * struct BudHold - an entry's own side of its budget for one zone
 * @plan: allotment of the plan in force
 * @borrowed: received from other entries and not yet returned
 * @lent: handed to other entries and not yet returned
 */
typedef struct
{
  uint32_t plan;
  uint32_t borrowed;
  uint32_t lent;
  uint32_t in_flight;
} BudHold;

/** bud_held() - requests in flight that this entry may have. */
uint32_t bud_held (const BudHold *hold);

/** bud_spare() - requests that may start now; 0 when the budget is used or overdrawn. */
uint32_t bud_spare (const BudHold *hold);

/** bud_in_use() - requests in flight and lent, less borrowed. */
uint32_t bud_in_use (const BudHold *hold);

/** bud_lend() - hands out up to @wanted, at most half of what is spare unless @all may go. */
uint32_t bud_lend (BudHold *hold, uint32_t wanted, bool all);

/** bud_give_back() - takes unused borrowed budget out of use; returns the slots to send back. */
uint32_t bud_give_back (BudHold *hold, uint32_t wanted);
