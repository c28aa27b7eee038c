/* Fair queueing: which waiting request of a service is next, and which one is rejected in place of
 * another whose time is over. Pure: no I/O, no clock. */
#include "fqs.h"

#define ONE_M 1000u
/* Below this a flow is idle: 14 s after a single request. */
#define IDLE_M 250u
/* A flow is starved while it is served less than 3 / 8 as often as all flows together. The goal is
 * a quarter over all nodes; the margin is for the few requests that each node sees. */
#define STARVED_MUL 3u
#define STARVED_DIV 8u

/* A request that has waited for this many times its waiting time is rejected itself, as its
 * response would mostly be late. */
#define EXTENDED_WAIT_FACTOR 2

/**
 * struct Fqs - state of a service
 * @flows: FqsFlow, a set by account and route
 * @accounts: number of flows by name of the account
 * @shared: flow of the requests that have none of their own
 * @shared_used: it was used since the last decay step
 * @requested_m: first attempts of all flows; @served_m: those sent to upstreams
 * @pass: number of the current pass over the queue
 * @decayed_at_ms: time of the last decay step
 */
struct Fqs
{
  GHashTable *flows;
  GHashTable *accounts;
  FqsFlow shared;
  bool shared_used;
  uint64_t requested_m;
  uint64_t served_m;
  uint64_t pass;
  uint64_t decayed_at_ms;
};

/* ---- Flows ---- */

static guint
flow_hash (gconstpointer data)
{
  const FqsFlow *flow = data;
  guint account_hash = flow->account != NULL ? g_str_hash (flow->account) : 0;

  return account_hash * 31u + g_str_hash (flow->route);
}

static gboolean
flow_equal (gconstpointer a, gconstpointer b)
{
  const FqsFlow *x = a;
  const FqsFlow *y = b;

  return g_strcmp0 (x->account, y->account) == 0 && g_strcmp0 (x->route, y->route) == 0;
}

static void
flow_free (gpointer data)
{
  FqsFlow *flow = data;

  g_free (flow->account);
  g_free (flow->route);
  g_free (flow);
}

Fqs *
fqs_new (void)
{
  Fqs *fqs = g_new0 (Fqs, 1);

  fqs->flows = g_hash_table_new_full (flow_hash, flow_equal, NULL, flow_free);
  fqs->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return fqs;
}

void
fqs_free (Fqs *fqs)
{
  if (fqs == NULL)
    return;
  g_hash_table_unref (fqs->flows);
  g_hash_table_unref (fqs->accounts);
  g_free (fqs);
}

static void
adjust_account_flows (Fqs *fqs, const char *account, int change)
{
  if (account == NULL)
    return;
  int count = GPOINTER_TO_INT (g_hash_table_lookup (fqs->accounts, account));
  if (count + change == 0)
    g_hash_table_remove (fqs->accounts, account);
  else
    g_hash_table_insert (fqs->accounts, g_strdup (account), GINT_TO_POINTER (count + change));
}

static bool
has_room (const Fqs *fqs, const char *account)
{
  if (g_hash_table_size (fqs->flows) >= FQS_FLOWS_MAX)
    return false;
  return account == NULL || g_hash_table_contains (fqs->accounts, account)
         || g_hash_table_size (fqs->accounts) < FQS_ACCOUNTS_MAX;
}

/* ---- Decay ---- */

static uint64_t
decay (uint64_t value_m, uint32_t time_steps, uint64_t steps)
{
  for (uint64_t i = 0; i < steps && value_m > 0; i++)
    value_m = value_m * (time_steps - 1) / time_steps;
  return value_m;
}

static void
decay_flow (FqsFlow *flow, uint64_t steps)
{
  flow->taken_m = decay (flow->taken_m, FQS_SHARE_DECAY_STEPS, steps);
  flow->requested_m = decay (flow->requested_m, FQS_RATIO_DECAY_STEPS, steps);
  flow->served_m = decay (flow->served_m, FQS_RATIO_DECAY_STEPS, steps);
}

static void
remove_flow (Fqs *fqs, const FqsFlow *flow)
{
  adjust_account_flows (fqs, flow->account, -1);
  g_hash_table_remove (fqs->flows, flow);
}

/* Decays the flows and removes idle ones. Return: the unused flow with the fewest requests. */
static FqsFlow *
decay_flows (Fqs *fqs, uint64_t steps)
{
  FqsFlow *smallest = NULL;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, fqs->flows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      FqsFlow *flow = key;
      decay_flow (flow, steps);
      if (flow->open > 0)
        continue;
      if (flow->requested_m < IDLE_M)
        {
          adjust_account_flows (fqs, flow->account, -1);
          g_hash_table_iter_remove (&iter);
        }
      else if (smallest == NULL || flow->requested_m < smallest->requested_m)
        smallest = flow;
    }
  return smallest;
}

/* While requests use the shared flow, the smallest flow is removed in each step, so that the
 * accounts with the most requests get flows of their own. */
static void
advance (Fqs *fqs, uint64_t now_ms)
{
  uint64_t steps = now_ms > fqs->decayed_at_ms ? (now_ms - fqs->decayed_at_ms) / FQS_STEP_MS : 0;

  if (steps == 0)
    return;
  fqs->decayed_at_ms += steps * FQS_STEP_MS;
  decay_flow (&fqs->shared, steps);
  fqs->requested_m = decay (fqs->requested_m, FQS_RATIO_DECAY_STEPS, steps);
  fqs->served_m = decay (fqs->served_m, FQS_RATIO_DECAY_STEPS, steps);
  FqsFlow *smallest = decay_flows (fqs, steps);
  if (fqs->shared_used && smallest != NULL)
    remove_flow (fqs, smallest);
  fqs->shared_used = false;
}

/* ---- Counts ---- */

FqsFlow *
fqs_acquire (Fqs *fqs, const char *account, const char *route, uint64_t now_ms)
{
  FqsFlow wanted = { .account = (char *) account, .route = (char *) route };

  advance (fqs, now_ms);
  FqsFlow *flow = g_hash_table_lookup (fqs->flows, &wanted);
  if (flow == NULL && has_room (fqs, account))
    {
      flow = g_new0 (FqsFlow, 1);
      flow->account = g_strdup (account);
      flow->route = g_strdup (route);
      g_hash_table_add (fqs->flows, flow);
      adjust_account_flows (fqs, account, 1);
    }
  if (flow == NULL)
    {
      flow = &fqs->shared;
      fqs->shared_used = true;
    }
  flow->open++;
  return flow;
}

void
fqs_release (FqsFlow *flow)
{
  flow->open--;
}

void
fqs_count_requested (Fqs *fqs, FqsFlow *flow, uint64_t now_ms)
{
  advance (fqs, now_ms);
  flow->requested_m += ONE_M;
  fqs->requested_m += ONE_M;
}

void
fqs_count_served (Fqs *fqs, FqsFlow *flow, uint64_t now_ms)
{
  advance (fqs, now_ms);
  flow->taken_m += ONE_M;
  flow->served_m += ONE_M;
  fqs->served_m += ONE_M;
}

void
fqs_uncount_served (Fqs *fqs, FqsFlow *flow, uint64_t now_ms)
{
  advance (fqs, now_ms);
  flow->taken_m -= MIN (flow->taken_m, ONE_M);
  flow->served_m -= MIN (flow->served_m, ONE_M);
  fqs->served_m -= MIN (fqs->served_m, ONE_M);
}

uint32_t
fqs_served_permille (const Fqs *fqs, const FqsFlow *flow)
{
  uint64_t requested_m = flow != NULL ? flow->requested_m : fqs->requested_m;
  uint64_t served_m = flow != NULL ? flow->served_m : fqs->served_m;

  return requested_m > 0 ? (uint32_t) MIN (served_m * ONE_M / requested_m, ONE_M) : ONE_M;
}

uint32_t
fqs_flow_count (const Fqs *fqs)
{
  return g_hash_table_size (fqs->flows);
}

uint32_t
fqs_account_count (const Fqs *fqs)
{
  return g_hash_table_size (fqs->accounts);
}

/* ---- Decisions ---- */

void
fqs_begin_pass (Fqs *fqs, uint64_t now_ms)
{
  advance (fqs, now_ms);
  fqs->pass++;
}

void
fqs_add_waiting (const Fqs *fqs, FqsFlow *flow, const AdmRequest *admission)
{
  if (flow->pass != fqs->pass)
    {
      flow->pass = fqs->pass;
      flow->waiting_m = 0;
      flow->ranked_m = 0;
    }
  flow->waiting_m += admission->caller_retry ? 0 : ONE_M;
}

/* First attempts that still wait are not counted as missed by their flow. */
static bool
is_starved (const Fqs *fqs, const FqsFlow *flow)
{
  uint64_t ended_m = flow->requested_m - MIN (flow->requested_m, flow->waiting_m);

  return (flow->served_m + flow->ranked_m) * STARVED_DIV * ONE_M
         < ended_m * STARVED_MUL * fqs_served_permille (fqs, NULL);
}

FqsRank
fqs_rank (const Fqs *fqs, FqsFlow *flow)
{
  FqsRank rank
      = { .is_starved = is_starved (fqs, flow), .taken_m = flow->taken_m + flow->ranked_m };

  flow->ranked_m += ONE_M;
  return rank;
}

bool
fqs_precedes (const FqsWaiting *a, const FqsWaiting *b)
{
  if (a->rank.is_starved != b->rank.is_starved)
    return a->rank.is_starved;
  if (a->admission->priority_class != b->admission->priority_class)
    return a->admission->priority_class < b->admission->priority_class;
  if (a->admission->caller_retry != b->admission->caller_retry)
    return b->admission->caller_retry;
  if (a->rank.taken_m != b->rank.taken_m)
    return a->rank.taken_m < b->rank.taken_m;
  return a->waited_ms < b->waited_ms;
}

/* A difference of less than a slot is no excess. */
bool
fqs_yields (const FqsWaiting *waiting, const FqsWaiting *expired)
{
  if (expired->waited_ms >= adm_max_wait_ms (expired->admission) * EXTENDED_WAIT_FACTOR)
    return false;
  if (waiting->flow == expired->flow || !fqs_precedes (expired, waiting))
    return false;
  return (expired->rank.is_starved && !waiting->rank.is_starved)
         || waiting->rank.taken_m >= expired->rank.taken_m + ONE_M;
}

/* ---- State dump ---- */

static gint
compare_requested (gconstpointer a, gconstpointer b)
{
  const FqsFlow *x = *(FqsFlow *const *) a;
  const FqsFlow *y = *(FqsFlow *const *) b;

  return (x->requested_m < y->requested_m) - (x->requested_m > y->requested_m);
}

void
fqs_dump (Fqs *fqs, const char *service, uint64_t now_ms, GString *out)
{
  GPtrArray *flows = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  advance (fqs, now_ms);
  g_hash_table_iter_init (&iter, fqs->flows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (flows, key);
  if (fqs->shared.requested_m >= IDLE_M)
    g_ptr_array_add (flows, &fqs->shared);
  g_ptr_array_sort (flows, compare_requested);
  for (guint i = 0; i < MIN (flows->len, FQS_LISTED_MAX); i++)
    {
      const FqsFlow *flow = g_ptr_array_index (flows, i);
      g_string_append_printf (
          out, "flow service=%s route=%s account=%s requested=%u.%03u served=%u.%03u open=%u\n",
          service, flow->route != NULL ? flow->route : "(rest)",
          flow->account != NULL ? flow->account : "-", (uint32_t) (flow->requested_m / ONE_M),
          (uint32_t) (flow->requested_m % ONE_M), (uint32_t) (flow->served_m / ONE_M),
          (uint32_t) (flow->served_m % ONE_M), flow->open);
    }
  g_ptr_array_unref (flows);
}
