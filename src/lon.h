/* Lender's book of budget loans: the sum of budgets stays the same under any message loss. Pure. */
#pragma once

#include "bud.h"

#include <glib.h>

/**
 * struct LonBook - loans that an entry has handed out
 *
 * A borrower numbers its messages; one that comes late or twice has no effect. A borrower sends no
 * statement while a request of its own is open, so a statement names all that it holds.
 */
typedef struct
{
  GHashTable *by_key;
} LonBook;

void lon_init (LonBook *book);
void lon_clear (LonBook *book);

/** lon_request() - a borrower asks; returns the slots handed out, taken from @hold.
 * @all: hand out all that is spare, as this entry leaves */
uint32_t lon_request (LonBook *book, const char *borrower, uint64_t incarnation, uint64_t sequence,
                      const char *place, BudHold *hold, uint32_t wanted, bool all);

/** lon_statement() - a borrower states what it holds; the rest comes back to @hold. */
void lon_statement (LonBook *book, const char *borrower, uint64_t incarnation, uint64_t sequence,
                    const char *place, BudHold *hold, uint32_t held);

/** struct LonSweep - what lon_sweep() asks of its caller */
typedef struct
{
  bool (*is_gone) (void *user, const char *borrower, uint64_t incarnation);
  BudHold *(*hold_of) (void *user, const char *place);
} LonSweep;

/** lon_sweep() - takes back the loans of borrowers whose processes have ended. */
void lon_sweep (LonBook *book, const LonSweep *sweep, void *user);

/** lon_lent() - slots that a borrower's process may hold. */
uint32_t lon_lent (const LonBook *book, const char *borrower, uint64_t incarnation,
                   const char *place);
