/* Lender's book of budget loans. */
#include "lon.h"

#include <inttypes.h>

typedef struct
{
  char *borrower;
  char *place;
  uint64_t incarnation;
  uint64_t sequence;
  uint32_t lent;
} Loan;

static void
loan_free (gpointer data)
{
  Loan *loan = data;

  g_free (loan->borrower);
  g_free (loan->place);
  g_free (loan);
}

void
lon_init (LonBook *book)
{
  book->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, loan_free);
}

void
lon_clear (LonBook *book)
{
  g_hash_table_unref (book->by_key);
}

static char *
key_of (const char *borrower, uint64_t incarnation, const char *place)
{
  return g_strdup_printf ("%s/%" PRIu64 "/%s", borrower, incarnation, place);
}

/* The loan when the message is newer than all before it, or NULL. */
static Loan *
loan_for (LonBook *book, const char *borrower, uint64_t incarnation, uint64_t sequence,
          const char *place)
{
  char *key = key_of (borrower, incarnation, place);
  Loan *loan = g_hash_table_lookup (book->by_key, key);

  if (loan == NULL)
    {
      loan = g_new0 (Loan, 1);
      loan->borrower = g_strdup (borrower);
      loan->place = g_strdup (place);
      loan->incarnation = incarnation;
      g_hash_table_insert (book->by_key, key, loan);
    }
  else
    g_free (key);
  if (sequence <= loan->sequence)
    return NULL;
  loan->sequence = sequence;
  return loan;
}

uint32_t
lon_request (LonBook *book, const char *borrower, uint64_t incarnation, uint64_t sequence,
             const char *place, BudHold *hold, uint32_t wanted, bool all)
{
  Loan *loan = loan_for (book, borrower, incarnation, sequence, place);
  uint32_t lent;

  if (loan == NULL)
    return 0;
  lent = bud_lend (hold, wanted, all);
  loan->lent += lent;
  return lent;
}

void
lon_statement (LonBook *book, const char *borrower, uint64_t incarnation, uint64_t sequence,
               const char *place, BudHold *hold, uint32_t held)
{
  Loan *loan = loan_for (book, borrower, incarnation, sequence, place);

  if (loan == NULL || held >= loan->lent)
    return;
  hold->lent -= loan->lent - held;
  loan->lent = held;
}

uint32_t
lon_lent (const LonBook *book, const char *borrower, uint64_t incarnation, const char *place)
{
  char *key = key_of (borrower, incarnation, place);
  const Loan *loan = g_hash_table_lookup (book->by_key, key);

  g_free (key);
  return loan != NULL ? loan->lent : 0;
}

void
lon_sweep (LonBook *book, const LonSweep *sweep, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, book->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Loan *loan = value;
      BudHold *hold;
      if (!sweep->is_gone (user, loan->borrower, loan->incarnation))
        continue;
      hold = sweep->hold_of (user, loan->place);
      if (hold != NULL)
        hold->lent -= loan->lent;
      g_hash_table_iter_remove (&iter);
    }
}
