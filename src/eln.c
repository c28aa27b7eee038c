/* Budget loans between entries: those with spare budget lend slots to others that have requests
 * waiting. */
#include "entry.h"

#include <string.h>

/** struct LoanRequest - context of a loan request without a reply yet */
typedef struct
{
  Entry *entry;
  EntryService *service;
  EntryLoan *loan;
} LoanRequest;

/* ---- Lender ---- */

static BudBalance *
balance_of (Entry *entry, const char *service_name, const char *zone_name)
{
  EntryService *service = esv_find_service (entry, service_name);
  uint32_t zone = entry->cfg != NULL ? cfg_zone_index (entry->cfg, zone_name) : ZONE_NONE;

  return service != NULL && zone != ZONE_NONE ? &service->balances[zone] : NULL;
}

static bool
on_loan_call (void *user, const void *args, void *result)
{
  Entry *entry = user;
  const wire_loan_args *in = args;
  wire_loan_reply *out = result;
  BudBalance *balance = balance_of (entry, in->service, in->zone);
  char service_zone[2 * NAME_MAX_BYTES + 4];

  if (balance == NULL || entry->state == ENTRY_JOINING || entry->state == ENTRY_STOPPED)
    return true;
  g_snprintf (service_zone, sizeof service_zone, "%s/%s", in->service, in->zone);
  out->lender_incarnation = entry->incarnation;
  out->slots
      = lon_grant (&entry->granted_loans, in->borrower, in->incarnation, in->sequence, service_zone,
                   balance, MIN (in->slots, LOAN_MAX_SLOTS), entry->state == ENTRY_DRAINING);
  entry->counters.loans_granted += out->slots;
  return true;
}

static bool
on_statement_call (void *user, const void *args, void *result)
{
  Entry *entry = user;
  const wire_loan_statement *in = args;
  BudBalance *balance = balance_of (entry, in->service, in->zone);
  char service_zone[2 * NAME_MAX_BYTES + 4];
  (void) result;

  if (balance == NULL || in->lender_incarnation != entry->incarnation)
    return true;
  g_snprintf (service_zone, sizeof service_zone, "%s/%s", in->service, in->zone);
  lon_apply_statement (&entry->granted_loans, in->borrower, in->incarnation, in->sequence,
                       service_zone, balance, in->slots);
  return true;
}

const OncProc eln_procs[] = {
  { WIRE_LOAN, (xdrproc_t) xdr_wire_loan_args, sizeof (wire_loan_args),
    (xdrproc_t) xdr_wire_loan_reply, sizeof (wire_loan_reply), on_loan_call },
  { WIRE_HELD, (xdrproc_t) xdr_wire_loan_statement, sizeof (wire_loan_statement),
    (xdrproc_t) xdr_wire_empty, sizeof (wire_empty), on_statement_call },
  { 0, NULL, 0, NULL, 0, NULL },
};

/* ---- Borrower ---- */

static EntryLoan *
get_or_add_loan (EntryService *service, const char *lender, uint64_t incarnation, uint32_t zone)
{
  for (uint32_t i = 0; i < service->loans->len; i++)
    {
      EntryLoan *loan = service->loans->pdata[i];
      if (loan->zone == zone && loan->incarnation == incarnation
          && strcmp (loan->lender, lender) == 0)
        return loan;
    }
  EntryLoan *loan = g_new0 (EntryLoan, 1);
  g_strlcpy (loan->lender, lender, sizeof loan->lender);
  loan->incarnation = incarnation;
  loan->zone = zone;
  g_ptr_array_add (service->loans, loan);
  return loan;
}

static void
on_loan_reply (void *user, const void *result)
{
  LoanRequest *request = user;
  const wire_loan_reply *reply = result;
  EntryLoan *loan = request->loan;

  loan->request_open = false;
  if (reply != NULL && reply->slots > 0 && reply->lender_incarnation == loan->incarnation)
    {
      loan->slots += reply->slots;
      loan->last_used_ms = entry_now_ms (request->entry);
      request->service->balances[loan->zone].borrowed += reply->slots;
      request->entry->counters.loans_received += reply->slots;
      dsp_dispatch_waiting (request->entry, request->service, loan->zone);
    }
  g_free (request);
}

static void
request_loan (Entry *entry, EntryService *service, const MemMember *lender, uint32_t zone,
              uint32_t wanted)
{
  EntryLoan *loan = get_or_add_loan (service, lender->vm, lender->entry_incarnation, zone);
  LoanRequest *request;
  wire_loan_args args = { .borrower = entry->vm,
                          .incarnation = entry->incarnation,
                          .service = service->name,
                          .zone = (char *) cfg_zone (entry->cfg, zone)->name,
                          .slots = MIN (wanted, LOAN_MAX_SLOTS) };

  if (loan->request_open)
    return;
  loan->request_open = true;
  args.sequence = ++entry->loan_sequence;
  request = g_new0 (LoanRequest, 1);
  *request = (LoanRequest){ .entry = entry, .service = service, .loan = loan };
  onc_call (entry->client, lender->entry_rpc, WIRE_LOAN, (xdrproc_t) xdr_wire_loan_args, &args,
            (xdrproc_t) xdr_wire_loan_reply, sizeof (wire_loan_reply), LOAN_TIMEOUT_MS,
            on_loan_reply, request);
}

static void
request_loan_for_zone (Entry *entry, EntryService *service, uint32_t zone)
{
  const GPtrArray *members = entry->members.members;

  if (g_queue_is_empty (&service->waiting[zone]) || bud_spare (&service->balances[zone]) > 0)
    return;
  for (uint32_t i = 0; i < members->len; i++)
    {
      const MemMember *lender = members->pdata[service->next_lender++ % members->len];
      if (lender->state != MEM_ALIVE || lender->entry_incarnation == 0
          || strcmp (lender->vm, entry->vm) == 0)
        continue;
      request_loan (entry, service, lender, zone, g_queue_get_length (&service->waiting[zone]));
      return;
    }
}

static void
ignore_reply (void *user, const void *result)
{
  (void) user;
  (void) result;
}

static void
send_statement (Entry *entry, EntryService *service, EntryLoan *loan)
{
  const MemMember *lender = mem_get (&entry->members, loan->lender);
  wire_loan_statement args = { .borrower = entry->vm,
                               .incarnation = entry->incarnation,
                               .lender_incarnation = loan->incarnation,
                               .service = service->name,
                               .zone = (char *) cfg_zone (entry->cfg, loan->zone)->name,
                               .slots = loan->slots };

  loan->last_statement_ms = entry_now_ms (entry);
  if (lender == NULL)
    return;
  args.sequence = ++entry->loan_sequence;
  onc_call (entry->client, lender->entry_rpc, WIRE_HELD, (xdrproc_t) xdr_wire_loan_statement, &args,
            (xdrproc_t) xdr_wire_empty, sizeof (wire_empty), LOAN_TIMEOUT_MS, ignore_reply, NULL);
}

/* Returns the spare slots of a loan once the balance has had spare slots for LOAN_IDLE_MS, and at
 * once when this entry has stopped. No statement is sent while a loan request is open: see
 * LonTable. */
static void
return_spare_slots (Entry *entry, EntryService *service, EntryLoan *loan)
{
  BudBalance *balance = &service->balances[loan->zone];
  uint64_t now_ms = entry_now_ms (entry);
  uint32_t returned = 0;

  if (bud_spare (balance) == 0)
    loan->last_used_ms = now_ms;
  if (now_ms - loan->last_used_ms >= LOAN_IDLE_MS || entry->state == ENTRY_STOPPED)
    returned = bud_return (balance, loan->slots);
  loan->slots -= returned;
  if (!loan->request_open
      && (returned > 0 || now_ms - loan->last_statement_ms >= LOAN_STATEMENT_PERIOD_MS))
    send_statement (entry, service, loan);
}

static void
tick_service (Entry *entry, EntryService *service)
{
  if (service->cfg == NULL)
    return;
  for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
    request_loan_for_zone (entry, service, z);
  for (uint32_t i = service->loans->len; i > 0; i--)
    {
      EntryLoan *loan = service->loans->pdata[i - 1];
      return_spare_slots (entry, service, loan);
      if (loan->slots == 0 && !loan->request_open
          && mem_entry_has_ended (&entry->members, loan->lender, loan->incarnation))
        g_ptr_array_remove_index (service->loans, i - 1);
    }
}

static bool
borrower_has_ended (void *user, const char *borrower, uint64_t incarnation)
{
  return mem_entry_has_ended (&((Entry *) user)->members, borrower, incarnation);
}

static BudBalance *
balance_of_service_zone (void *user, const char *service_zone)
{
  char **parts = g_strsplit (service_zone, "/", 2);
  BudBalance *balance = balance_of (user, parts[0], parts[1]);

  g_strfreev (parts);
  return balance;
}

static const LonCallbacks loan_callbacks
    = { .has_ended = borrower_has_ended, .balance_of = balance_of_service_zone };

static void
on_tick (uv_timer_t *timer)
{
  Entry *entry = timer->data;
  GHashTableIter iter;
  gpointer value;

  if (entry->cfg == NULL || entry->budgets_disabled)
    return;
  lon_reclaim (&entry->granted_loans, &loan_callbacks, entry);
  g_hash_table_iter_init (&iter, entry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    tick_service (entry, value);
}

static void
add_loans (const Entry *entry, const EntryService *service, GArray *loans)
{
  for (uint32_t i = 0; i < service->loans->len; i++)
    {
      const EntryLoan *loan = service->loans->pdata[i];
      if (loan->slots == 0)
        continue;
      wire_loan out = { .service = g_strdup (service->name),
                        .zone = g_strdup (cfg_zone (entry->cfg, loan->zone)->name),
                        .lender = g_strdup (loan->lender),
                        .lender_incarnation = loan->incarnation,
                        .slots = loan->slots };
      g_array_append_val (loans, out);
    }
}

static void
add_budgets_in_use (const Entry *entry, const EntryService *service, GArray *holds)
{
  for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
    {
      uint32_t in_use = bud_in_use (&service->balances[z]);
      if (in_use == 0)
        continue;
      wire_budget_use out = { .service = g_strdup (service->name),
                              .zone = g_strdup (cfg_zone (entry->cfg, z)->name),
                              .in_use = in_use };
      g_array_append_val (holds, out);
    }
}

void
eln_fill_report (const Entry *entry, wire_report *report)
{
  GHashTableIter iter;
  gpointer value;
  GArray *loans = g_array_new (FALSE, TRUE, sizeof (wire_loan));
  GArray *holds = g_array_new (FALSE, TRUE, sizeof (wire_budget_use));

  g_hash_table_iter_init (&iter, entry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      add_loans (entry, value, loans);
      add_budgets_in_use (entry, value, holds);
    }
  report->loans.loans_len = loans->len;
  report->loans.loans_val = (wire_loan *) (void *) g_array_free (loans, FALSE);
  report->budget_use.budget_use_len = holds->len;
  report->budget_use.budget_use_val = (wire_budget_use *) (void *) g_array_free (holds, FALSE);
}

void
eln_start (Entry *entry)
{
  uv_timer_t *timer = g_new0 (uv_timer_t, 1);

  uv_timer_init (entry->loop, timer);
  timer->data = entry;
  uv_timer_start (timer, on_tick, LOAN_PERIOD_MS, LOAN_PERIOD_MS);
}
