/* Lender's table of budget loans. */
#include "lon.h"

#include <inttypes.h>

typedef struct
{
  char *borrower;
  char *service_zone;
  uint64_t incarnation;
  uint64_t sequence;
  uint32_t lent;
} Loan;

static void
loan_free (gpointer data)
{
  Loan *loan = data;

  g_free (loan->borrower);
  g_free (loan->service_zone);
  g_free (loan);
}

void
lon_init (LonTable *loans)
{
  loans->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, loan_free);
}

void
lon_clear (LonTable *loans)
{
  g_hash_table_unref (loans->by_key);
}

static char *
key_of (const char *borrower, uint64_t incarnation, const char *service_zone)
{
  return g_strdup_printf ("%s/%" PRIu64 "/%s", borrower, incarnation, service_zone);
}

/* Finds or adds the borrower's loan; NULL for a duplicate or late message. */
static Loan *
loan_for_message (LonTable *loans, const char *borrower, uint64_t incarnation, uint64_t sequence,
                  const char *service_zone)
{
  char *key = key_of (borrower, incarnation, service_zone);
  Loan *loan = g_hash_table_lookup (loans->by_key, key);

  if (loan == NULL)
    {
      loan = g_new0 (Loan, 1);
      loan->borrower = g_strdup (borrower);
      loan->service_zone = g_strdup (service_zone);
      loan->incarnation = incarnation;
      g_hash_table_insert (loans->by_key, key, loan);
    }
  else
    g_free (key);
  if (sequence <= loan->sequence)
    return NULL;
  loan->sequence = sequence;
  return loan;
}

uint32_t
lon_grant (LonTable *loans, const char *borrower, uint64_t incarnation, uint64_t sequence,
           const char *service_zone, BudBalance *balance, uint32_t wanted, bool lend_all)
{
  Loan *loan = loan_for_message (loans, borrower, incarnation, sequence, service_zone);
  uint32_t lent;

  if (loan == NULL)
    return 0;
  lent = bud_lend (balance, wanted, lend_all);
  loan->lent += lent;
  return lent;
}

void
lon_apply_statement (LonTable *loans, const char *borrower, uint64_t incarnation, uint64_t sequence,
                     const char *service_zone, BudBalance *balance, uint32_t outstanding)
{
  Loan *loan = loan_for_message (loans, borrower, incarnation, sequence, service_zone);

  if (loan == NULL || outstanding >= loan->lent)
    return;
  balance->lent -= loan->lent - outstanding;
  loan->lent = outstanding;
}

uint32_t
lon_lent (const LonTable *loans, const char *borrower, uint64_t incarnation,
          const char *service_zone)
{
  char *key = key_of (borrower, incarnation, service_zone);
  const Loan *loan = g_hash_table_lookup (loans->by_key, key);

  g_free (key);
  return loan != NULL ? loan->lent : 0;
}

void
lon_reclaim (LonTable *loans, const LonCallbacks *callbacks, void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loans->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Loan *loan = value;
      BudBalance *balance;
      if (!callbacks->has_ended (user, loan->borrower, loan->incarnation))
        continue;
      balance = callbacks->balance_of (user, loan->service_zone);
      if (balance != NULL)
        balance->lent -= loan->lent;
      g_hash_table_iter_remove (&iter);
    }
}
