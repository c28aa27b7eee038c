/* Lender's table of budget loans: the sum of the budgets stays the same under any message loss.
 * Pure. */
#pragma once

#include "bud.h"

#include <glib.h>

/**
 * struct LonTable - loans that an entry has granted, by borrower process, service and zone
 *
 * A borrower numbers its messages in one growing sequence; a duplicate or late message has no
 * effect. It sends no statement while a loan request of its own is open, so that a statement covers
 * all its outstanding slots.
 */
typedef struct
{
  GHashTable *by_key;
} LonTable;

void lon_init (LonTable *loans);
void lon_clear (LonTable *loans);

/**
 * lon_grant() - grants slots for a borrower's loan request
 * @service_zone: "SERVICE/ZONE" of the budget
 * @balance: the lender's budget, from which the slots are lent
 * @lend_all: lend up to all spare slots, because this entry is draining
 *
 * Return: slots granted, at most @wanted; 0 for a duplicate or late message.
 */
uint32_t lon_grant (LonTable *loans, const char *borrower, uint64_t incarnation, uint64_t sequence,
                    const char *service_zone, BudBalance *balance, uint32_t wanted, bool lend_all);

/**
 * lon_apply_statement() - applies a borrower's statement of its outstanding slots
 *
 * What was granted beyond @outstanding returns to @balance: it was returned or its reply was lost.
 */
void lon_apply_statement (LonTable *loans, const char *borrower, uint64_t incarnation,
                          uint64_t sequence, const char *service_zone, BudBalance *balance,
                          uint32_t outstanding);

/**
 * struct LonCallbacks - callbacks of lon_reclaim()
 * @has_ended: the borrower's process has ended
 * @balance_of: finds the lender's budget; NULL when the service or zone no longer exists
 */
typedef struct
{
  bool (*has_ended) (void *user, const char *borrower, uint64_t incarnation);
  BudBalance *(*balance_of) (void *user, const char *service_zone);
} LonCallbacks;

/** lon_reclaim() - reclaims the loans of borrowers whose processes have ended. */
void lon_reclaim (LonTable *loans, const LonCallbacks *callbacks, void *user);

/** lon_lent() - slots granted to a borrower's process and not yet returned. */
uint32_t lon_lent (const LonTable *loans, const char *borrower, uint64_t incarnation,
                   const char *service_zone);
