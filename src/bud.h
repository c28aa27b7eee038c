/* Budgets: divides a limit of requests in flight among entries; the sum stays within it. Pure. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct BudRow - budget of one entry process for one service
 * @now: allotment of the current plan for each zone, in requests in flight
 * @ceiling: most requests in flight that the entry may still be using in each zone; the entry may
 *   not have applied the current plan yet
 * @dead: the process has ended; the row stays until all live entries have reported their loans
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  uint64_t incarnation;
  bool dead;
  uint32_t now[ZONES_MAX];
  uint32_t ceiling[ZONES_MAX];
} BudRow;

/** struct BudTable - budgets of all entry processes for one service */
typedef struct
{
  GArray *rows;
} BudTable;

void bud_init (BudTable *table);
void bud_clear (BudTable *table);

/** bud_row() - finds a process's row; NULL when there is none. */
BudRow *bud_row (const BudTable *table, const char *vm, uint64_t incarnation);

/**
 * bud_add_row() - returns the row of a process, adding one without budget when there is none
 *
 * A new row marks the rows of other processes of the same VM as dead. The pointer is valid until
 * the next row is added or removed.
 */
BudRow *bud_add_row (BudTable *table, const char *vm, uint64_t incarnation);

/**
 * bud_lower_ceiling() - lowers the ceiling of an entry that reports its use of a zone
 * @in_use: requests in flight and lent, less borrowed; the entry has applied the current plan
 *
 * The ceiling becomes the larger of @in_use and the allotment; it never grows here.
 * Return: true when the ceiling fell.
 */
bool bud_lower_ceiling (BudRow *row, uint32_t zone, uint32_t in_use);

/** bud_end_row() - removes the allotment of an ended process; its ceiling falls to @lent at most.
 */
void bud_end_row (BudRow *row, uint32_t zone, uint32_t lent);

/** bud_remove_row() - removes the row of an ended process once its loans are known. */
void bud_remove_row (BudTable *table, const char *vm, uint64_t incarnation);

/**
 * bud_replan() - computes new allotments for one zone
 * @limit: requests in flight that all entries together may have
 * @weights: expected need of each row, in row order and any common unit
 *
 * Allotments are proportional to the weights; each row with a need gets at least 1 when @limit
 * suffices. Rows shrink at once. A row grows only by what no other row may still be using, so that
 * the sum of all ceilings never exceeds the larger of @limit and the sum before the call.
 * Return: true when an allotment changed.
 */
bool bud_replan (BudTable *table, uint32_t zone, uint32_t limit, const uint64_t *weights);

/** bud_ceiling_sum() - requests in flight that all rows together may be using in a zone. */
uint32_t bud_ceiling_sum (const BudTable *table, uint32_t zone);

/**
 * struct BudBalance - an entry's budget for one service and zone, in slots (requests in flight)
 * @plan: allotment of the plan in force
 * @borrowed: received from other entries and not yet returned
 * @lent: granted to other entries and not yet returned
 * @in_flight: requests of this entry in flight
 */
typedef struct
{
  uint32_t plan;
  uint32_t borrowed;
  uint32_t lent;
  uint32_t in_flight;
} BudBalance;

/** bud_limit() - requests that this entry may have in flight. */
uint32_t bud_limit (const BudBalance *balance);

/** bud_spare() - requests that may start now; 0 when the budget is used up or overdrawn. */
uint32_t bud_spare (const BudBalance *balance);

/** bud_in_use() - slots in flight and lent, less borrowed; 0 when more is borrowed. */
uint32_t bud_in_use (const BudBalance *balance);

/**
 * bud_lend() - lends spare slots to another entry
 * @lend_all: lend up to all spare slots instead of half of them, rounded up
 *
 * Return: slots lent, at most @wanted.
 */
uint32_t bud_lend (BudBalance *balance, uint32_t wanted, bool lend_all);

/**
 * bud_return() - removes spare borrowed slots from the budget
 *
 * Return: slots to send back to the lender, at most @wanted.
 */
uint32_t bud_return (BudBalance *balance, uint32_t wanted);
