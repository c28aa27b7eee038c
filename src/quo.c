/* Quotas of client accounts: rate limits that hold over all nodes together. */
#include "quo.h"

#include <math.h>
#include <string.h>

/* Own requests are kept in bins until the longest report delay has passed; two bins are only partly
 * covered by it. The requests of all nodes are kept for a window and that delay in WINDOW_BINS,
 * whose length follows from the window. */
#define BIN_MS 50
#define OWN_BINS 32
#define WINDOW_BINS 64
#define DELAY_MAX_MS ((OWN_BINS - 2) * BIN_MS)

/* A count in a message: its generation in the upper bits, requests since its start in the lower. */
#define GENERATION_BITS 8
#define COUNT_BITS 24
#define COUNT_MAX ((1u << COUNT_BITS) - 1)

/* Part of the allowed excess that is used; the rest is for lost messages. */
#define EXCESS_USED 0.8

/* Part of the shares that is divided evenly, so that a node without use can admit. */
#define EVEN_PART 0.25

/* Weight of the even division in tokens while little use is reported. */
#define PRIOR_USE 0.5

/* Unreported requests that any node may have of an account that is far from its limit, beyond the
 * usual ones, and in standard deviations of these, and more where the account is in use. Nodes that
 * see a request of an account every few seconds sometimes see two within the report delay. */
#define SPARE_TOKENS 2.0
#define SPARE_USED_TOKENS 1.5
#define SPARE_USED_FACTOR 20.0
#define SPARE_DEVIATIONS 5.0

/* How far below full a bucket may fall before the account counts as close to its limit: below two
 * thirds of the rate, random arrivals hardly ever bring it so low. For small bursts, this reaches
 * into the excess, of which the rest is kept for accounts that do use their limit. */
#define FLUCTUATION_TOKENS 18.0
#define FLUCTUATION_PART 0.6

/* Time in which the part of the limit that this node's side uses rises from 0 to 1 after a
 * partition, so that the other side's counts arrive before both use the whole limit. A node that
 * has just started rises at once. */
#define HEARD_RISE_MS 2000.0

#define RETRY_AFTER_MIN_MS 50

/**
 * struct Tally - a count as messages carry it
 * @generation: increases when the count restarts at 0, after QUO_IDLE_MS without a request
 * @count: requests in this generation
 * @listed: @count when it was last listed for a message
 * @changed_ms: last change; 0 for never
 */
typedef struct
{
  uint32_t generation;
  uint32_t count;
  uint32_t listed;
  uint64_t changed_ms;
} Tally;

/**
 * struct Account - quota of a client account
 * @active: it is in the list of accounts that were used lately
 * @own: what this node has admitted
 * @zone: the same plus what the nodes of the zone have reported
 * @credits: refunded requests whose counts are not taken back, since counts never decrease
 * @credited_ms: time of the last refund
 * @heard_part: part of the limit that @level is about
 * @is_corrected: @level was corrected by what other nodes know, or need not be
 * @level: tokens of the bucket after all reported requests and all own ones; may be negative
 * @started_ms: since when this node would have known of its use; 0 before the first use
 * @updated_ms: time of @level and of the uses
 * @own_use: own requests older than the report delay, decaying with use_decay_ms()
 * @all_use: the same plus reported ones of others
 * @own_bin: number of the newest element of @own_bins
 * @own_bins: own requests by time, as a ring of BIN_MS each
 * @settled_bin: bins up to this one are part of @own_use
 * @window_bin: number of the newest element of @window_bins
 * @window_bins: known requests of all nodes within a window and the report delay
 * @refused: requests that this node has refused
 * @admitted_window: number of the window that @admitted_now is about
 * @admitted_now: own requests in that window, except refunded ones
 * @admitted: the same of the window before
 * @returns_ms: when the last caller that was refused is to return
 */
typedef struct
{
  uint32_t hash;
  uint64_t rate_mps;
  uint32_t burst;
  Tally own;
  Tally zone;
  bool active;
  uint32_t credits;
  uint64_t credited_ms;
  double heard_part;
  bool is_corrected;
  double level;
  uint64_t started_ms;
  uint64_t updated_ms;
  double own_use;
  double all_use;
  uint64_t own_bin;
  uint64_t settled_bin;
  uint32_t own_bins[OWN_BINS];
  uint64_t window_bin;
  uint32_t window_bins[WINDOW_BINS];
  uint64_t refused;
  uint64_t admitted_window;
  uint32_t admitted_now;
  uint32_t admitted;
  uint64_t returns_ms;
} Account;

/** struct Report - last count of an account from a source */
typedef struct
{
  uint32_t generation;
  uint32_t count;
  uint64_t heard_ms;
} Report;

/**
 * struct Source - a node or zone reporter
 * @incarnation: changes when it restarts
 * @nodes: number of nodes that it counts for
 * @heard_since_ms: since when it has been heard without a long silence
 * @heard_ms: time of its last message
 * @swept_ms: when old reports were last removed
 * @reports: Report by account
 */
typedef struct
{
  uint64_t incarnation;
  uint32_t nodes;
  uint64_t heard_since_ms;
  uint64_t heard_ms;
  uint64_t swept_ms;
  GHashTable *reports;
} Source;

/**
 * struct Quo - quotas of all accounts
 * @window_bin_ms: length of a window bin
 * @heard_part: part of the limits that this node's side of a partition uses
 * @fleet_set_ms: time of the last quo_set_fleet()
 * @since_ms: when the node began to count; 0 before
 * @accounts: Account by hash
 * @sources: Source by hash
 * @active: accounts that were used lately
 */
struct Quo
{
  QuoBounds bounds;
  QuoFleet fleet;
  uint32_t window_bin_ms;
  double heard_part;
  uint64_t since_ms;
  uint64_t fleet_set_ms;
  GHashTable *accounts;
  GHashTable *sources;
  GPtrArray *active;
};

/* ---- Creation and release ---- */

static void
source_free (gpointer data)
{
  Source *source = data;

  g_hash_table_unref (source->reports);
  g_free (source);
}

Quo *
quo_new (const QuoBounds *bounds)
{
  Quo *quotas = g_new0 (Quo, 1);

  quotas->bounds = *bounds;
  quotas->heard_part = 1;
  quotas->fleet = (QuoFleet){ .known = 1, .heard = 1, .view_hold_ms = QUO_SOURCE_SILENT_MS };
  quotas->window_bin_ms = (bounds->window_ms + DELAY_MAX_MS) / (WINDOW_BINS - 2) + 1;
  quotas->accounts = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  quotas->sources = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, source_free);
  quotas->active = g_ptr_array_new ();
  return quotas;
}

void
quo_free (Quo *quotas)
{
  if (quotas == NULL)
    return;
  g_ptr_array_unref (quotas->active);
  g_hash_table_unref (quotas->sources);
  g_hash_table_unref (quotas->accounts);
  g_free (quotas);
}

/* ---- Limits ---- */

static Account *
find_account (const Quo *quotas, uint32_t hash)
{
  return g_hash_table_lookup (quotas->accounts, GUINT_TO_POINTER (hash));
}

static double
rate_per_s (const Quo *quotas, const Account *account)
{
  return account->rate_mps / 1000.0 * quotas->heard_part;
}

static double
burst_of (const Quo *quotas, const Account *account)
{
  return account->burst * quotas->heard_part;
}

static double
window_quota (const Quo *quotas, const Account *account)
{
  return rate_per_s (quotas, account) * quotas->bounds.window_ms / 1000.0
         + burst_of (quotas, account);
}

/* Excess that all nodes together may use. */
static double
whole_excess_of (const Quo *quotas, const Account *account)
{
  double quota = account->rate_mps / 1000.0 * quotas->bounds.window_ms / 1000 + account->burst;

  return EXCESS_USED * (quota * quotas->bounds.excess_permille / 1000 + quotas->bounds.slack);
}

static double
excess_of (const Quo *quotas, const Account *account)
{
  return whole_excess_of (quotas, account) * quotas->heard_part;
}

static void
lower_limit (Account *account, uint64_t rate_mps, uint32_t burst)
{
  double factor = (double) rate_mps / account->rate_mps;

  for (int i = 0; i < WINDOW_BINS; i++)
    account->window_bins[i] = (uint32_t) (account->window_bins[i] * factor);
  account->level = account->level > 0 ? MIN (account->level, burst) : account->level * factor;
}

void
quo_set_limit (Quo *quotas, uint32_t hash, uint64_t rate_mps, uint32_t burst)
{
  Account *account = find_account (quotas, hash);

  if (rate_mps == 0)
    {
      if (account != NULL)
        g_ptr_array_remove_fast (quotas->active, account);
      g_hash_table_remove (quotas->accounts, GUINT_TO_POINTER (hash));
      return;
    }
  if (account == NULL)
    {
      account = g_new0 (Account, 1);
      account->hash = hash;
      g_hash_table_insert (quotas->accounts, GUINT_TO_POINTER (hash), account);
    }
  else if (rate_mps < account->rate_mps)
    lower_limit (account, rate_mps, burst);
  account->rate_mps = rate_mps;
  account->burst = burst;
}

bool
quo_is_active (const Quo *quotas)
{
  return quotas != NULL && g_hash_table_size (quotas->accounts) > 0;
}

/* ---- Passing of time ---- */

/* Moves own requests that are older than the report delay into the uses, as the other nodes have
 * done by now. */
static void
settle_own_bins (const Quo *quotas, Account *account, uint64_t now_ms)
{
  uint64_t now_bin = now_ms / BIN_MS;
  uint64_t settled = (now_ms - MIN (quotas->fleet.report_delay_ms, now_ms)) / BIN_MS - 1;

  if (settled <= account->settled_bin)
    settled = account->settled_bin;
  for (uint64_t bin = account->settled_bin + 1; bin <= MIN (settled, account->own_bin); bin++)
    {
      account->own_use += account->own_bins[bin % OWN_BINS];
      account->all_use += account->own_bins[bin % OWN_BINS];
      account->own_bins[bin % OWN_BINS] = 0;
    }
  account->settled_bin = settled;
  account->own_bin = MAX (account->own_bin, now_bin);
}

static void
advance_window (const Quo *quotas, Account *account, uint64_t now_ms)
{
  uint64_t now_bin = now_ms / quotas->window_bin_ms;
  uint64_t steps = MIN (now_bin - account->window_bin, WINDOW_BINS);

  for (uint64_t i = 0; i < steps; i++)
    account->window_bins[(now_bin - i) % WINDOW_BINS] = 0;
  account->window_bin = now_bin;
}

/* Requests of all nodes that this one has known of for up to @age_ms. */
static uint32_t
used_within (const Quo *quotas, const Account *account, uint32_t age_ms)
{
  uint32_t bins = MIN (age_ms / quotas->window_bin_ms + 1, WINDOW_BINS - 1);
  uint32_t sum = 0;

  for (uint32_t i = 0; i <= bins; i++)
    sum += account->window_bins[(account->window_bin - i) % WINDOW_BINS];
  return sum;
}

/* Without use in a window, the bucket is full. A node that has counted for less than a window
 * starts half-way into the allowed excess: two restarts of all nodes within a window then use no
 * more than the excess. */
static void
start_account (const Quo *quotas, Account *account, uint64_t now_ms)
{
  account->is_corrected = quo_is_settled (quotas, quo_age_ms (quotas, now_ms));
  account->level
      = account->is_corrected ? burst_of (quotas, account) : -whole_excess_of (quotas, account) / 2;
  account->heard_part = quotas->heard_part;
  account->started_ms = quotas->since_ms != 0 ? quotas->since_ms : now_ms;
  account->updated_ms = account->is_corrected ? now_ms : account->started_ms;
  account->own_bin = now_ms / BIN_MS;
  account->settled_bin = account->own_bin - 1;
  account->window_bin = now_ms / quotas->window_bin_ms;
}

/* Where the other nodes have counted for longer than this one, they don't admit the excess that
 * this one has held back. */
static void
correct_start (const Quo *quotas, Account *account, uint64_t now_ms)
{
  if (account->is_corrected || now_ms - account->started_ms < quotas->fleet.report_delay_ms)
    return;
  account->is_corrected = true;
  account->level += excess_of (quotas, account) / 2 * quotas->fleet.settled_permille / 1000.0;
}

/* Adapts the level when nodes fall silent or are heard again. Of the level when they fell silent,
 * they keep their part; since then, this side has refilled and used it alone. When they are heard
 * again, their side is taken to be as far from its limit as this one. A node that has just started
 * has no such part. */
static void
follow_heard_part (const Quo *quotas, Account *account)
{
  double part = quotas->heard_part;
  double kept = part / account->heard_part;

  account->heard_part = part;
  if (kept < 1)
    account->level = account->level * kept
                     - (1 - kept) * used_within (quotas, account, quotas->fleet.silence_ms);
  else if (kept > 1 && account->is_corrected)
    account->level
        = MAX (account->level * kept, MIN (account->level, -excess_of (quotas, account)));
}

static double
use_decay_ms (const Quo *quotas)
{
  return MAX (quotas->fleet.report_delay_ms / 2, QUO_USE_DECAY_MIN_MS);
}

static void
advance (const Quo *quotas, Account *account, uint64_t now_ms)
{
  if (account->started_ms == 0)
    start_account (quotas, account, now_ms);
  if (now_ms <= account->updated_ms)
    return;
  double elapsed_ms = (double) (now_ms - account->updated_ms);
  double refill = rate_per_s (quotas, account) * elapsed_ms / 1000;
  double kept = exp (-elapsed_ms / use_decay_ms (quotas));
  advance_window (quotas, account, now_ms);
  follow_heard_part (quotas, account);
  account->level = MIN (account->level + refill, burst_of (quotas, account));
  correct_start (quotas, account, now_ms);
  account->own_use *= kept;
  account->all_use *= kept;
  account->updated_ms = now_ms;
  settle_own_bins (quotas, account, now_ms);
}

/* ---- Decision ---- */

static double
unreported_of (const Account *account)
{
  uint32_t sum = 0;

  for (int i = 0; i < OWN_BINS; i++)
    sum += account->own_bins[i];
  return sum;
}

/* The own part of what all nodes together may admit unreported. The parts of the nodes that hear
 * each other add up to 1. */
static double
share_of (const Quo *quotas, const Account *account)
{
  double even = 1.0 / quotas->fleet.heard;
  double by_use = (account->own_use + PRIOR_USE * even) / (account->all_use + PRIOR_USE);

  return (1 - EVEN_PART) * by_use + EVEN_PART * even;
}

static uint32_t
mix (uint32_t value)
{
  value = (value ^ (value >> 16)) * 0x7feb352dU;
  value = (value ^ (value >> 15)) * 0x846ca68bU;
  return value ^ (value >> 16);
}

/* Number in [0, 1) that differs between nodes and changes with each report delay. Added before
 * rounding down, it gives fractions of a token to as many nodes as there are whole tokens. */
static double
rounding_of (const Quo *quotas, const Account *account, uint64_t now_ms)
{
  uint32_t delay_ms = MAX (quotas->fleet.report_delay_ms, BIN_MS);
  uint32_t epoch = (uint32_t) (now_ms / delay_ms);

  return mix (mix (mix (quotas->fleet.node) ^ account->hash) ^ epoch) / 4294967296.0;
}

/* Strict rule: the own unreported requests stay within the own share of the bucket and excess. */
static double
strict_allowance (const Quo *quotas, const Account *account, double unreported)
{
  double tokens = account->level + unreported + excess_of (quotas, account);

  return MAX (0, share_of (quotas, account) * tokens);
}

/* What the other nodes have at least admitted since their counts were sent, if they go on as of
 * late; the latest use of a small account is high by chance. */
static double
predicted_use (const Quo *quotas, const Account *account)
{
  double others_per_ms = MAX (0, account->all_use - account->own_use) / use_decay_ms (quotas);
  double predicted = others_per_ms * quotas->fleet.report_delay_ms / 2;

  return MAX (0, predicted - 2 * sqrt (predicted));
}

/* What the window leaves after all requests that may lie in it. */
static double
left_in_window (const Quo *quotas, const Account *account)
{
  uint32_t age_ms = quotas->bounds.window_ms + quotas->fleet.report_delay_ms;

  return window_quota (quotas, account) + excess_of (quotas, account)
         - used_within (quotas, account, age_ms);
}

/* Unreported requests that a node has by chance while the account is used as in the last window,
 * and within its rate of late. */
static double
usual_allowance (const Quo *quotas, const Account *account)
{
  double within_rate = rate_per_s (quotas, account) * use_decay_ms (quotas) / 1000;
  double share = MAX (share_of (quotas, account), 1.0 / quotas->fleet.heard);
  double used = used_within (quotas, account, quotas->bounds.window_ms);
  double usual = share * used * quotas->fleet.report_delay_ms / quotas->bounds.window_ms;

  if (account->all_use > within_rate + SPARE_DEVIATIONS * sqrt (within_rate) + SPARE_TOKENS)
    return 0;
  double spare = SPARE_TOKENS + MIN (SPARE_USED_TOKENS, SPARE_USED_FACTOR * usual);
  return usual + SPARE_DEVIATIONS * sqrt (usual) + spare;
}

/* How far the level of an account with a small burst falls below 0 by chance. Without the predicted
 * use, an account whose burst is less than this would never count as far from its limit. */
static double
fluctuation_of (const Quo *quotas, const Account *account)
{
  double missing
      = FLUCTUATION_TOKENS + predicted_use (quotas, account) - burst_of (quotas, account);

  return CLAMP (missing, 0, excess_of (quotas, account) * FLUCTUATION_PART);
}

/* Rule of an account that is far from its limit, also after what the others have probably admitted:
 * the own unreported requests stay within the own share of what the window leaves, or close to what
 * is usual at this node. */
static double
relaxed_allowance (const Quo *quotas, const Account *account, double unreported)
{
  double reserve = account->level + fluctuation_of (quotas, account);
  double left = left_in_window (quotas, account) + unreported;

  if (reserve <= predicted_use (quotas, account) || left <= 0)
    return 0;
  return MAX (share_of (quotas, account) * left, usual_allowance (quotas, account));
}

/* Spaces the return of refused callers by the own share of the rate: of callers that returned at
 * the same time, most would be refused again. */
static uint32_t
retry_after_ms_of (const Quo *quotas, Account *account, double unreported, uint64_t now_ms)
{
  double excess = excess_of (quotas, account);
  double share = share_of (quotas, account);
  double missing = (unreported + 1) / share - (account->level + unreported + excess);
  double first_ms = CLAMP (missing, 1, 1 + excess / 2) * 1000 / rate_per_s (quotas, account);
  double interval_ms = 1000 / (share * rate_per_s (quotas, account));
  uint64_t first = now_ms + (uint64_t) MIN (first_ms, quotas->bounds.window_ms);
  uint64_t next = account->returns_ms + (uint64_t) MIN (interval_ms, quotas->bounds.window_ms);

  account->returns_ms = MIN (MAX (first, next), now_ms + quotas->bounds.window_ms);
  return (uint32_t) MAX (account->returns_ms - now_ms, RETRY_AFTER_MIN_MS);
}

static void
count_use (Quo *quotas, Account *account, Tally *tally, uint32_t requests, uint64_t now_ms)
{
  bool was_idle = tally->changed_ms != 0 && now_ms - tally->changed_ms >= QUO_IDLE_MS;

  if ((was_idle && tally->listed == tally->count) || tally->count + requests > COUNT_MAX)
    {
      tally->generation = (tally->generation + 1) % (1u << GENERATION_BITS);
      tally->count = 0;
      tally->listed = 0;
    }
  tally->count += requests;
  tally->changed_ms = now_ms;
  if (!account->active)
    g_ptr_array_add (quotas->active, account);
  account->active = true;
}

static void
advance_admitted (const Quo *quotas, Account *account, uint64_t now_ms)
{
  uint64_t window = now_ms / quotas->bounds.window_ms;

  if (window == account->admitted_window)
    return;
  account->admitted = window == account->admitted_window + 1 ? account->admitted_now : 0;
  account->admitted_now = 0;
  account->admitted_window = window;
}

static void
take_token (Quo *quotas, Account *account, uint64_t now_ms)
{
  account->level -= 1;
  advance_admitted (quotas, account, now_ms);
  account->admitted_now++;
  account->window_bins[account->window_bin % WINDOW_BINS]++;
  if (account->credits > 0 && now_ms - account->credited_ms < quotas->bounds.window_ms)
    {
      account->credits--;
      return;
    }
  account->credits = 0;
  account->own_bins[account->own_bin % OWN_BINS]++;
  count_use (quotas, account, &account->own, 1, now_ms);
  count_use (quotas, account, &account->zone, 1, now_ms);
}

/* Counts a refusal, and sets its Retry-After time, when it returns false. */
static bool
admits_next (Quo *quotas, Account *account, uint64_t now_ms, uint32_t *retry_after_ms)
{
  advance (quotas, account, now_ms);
  double unreported = unreported_of (account);
  double allowance = MAX (strict_allowance (quotas, account, unreported),
                          relaxed_allowance (quotas, account, unreported));

  if (floor (allowance + rounding_of (quotas, account, now_ms)) > unreported)
    return true;
  account->refused++;
  *retry_after_ms = retry_after_ms_of (quotas, account, unreported, now_ms);
  return false;
}

bool
quo_would_admit (Quo *quotas, uint32_t hash, uint64_t now_ms, uint32_t *retry_after_ms)
{
  Account *account = find_account (quotas, hash);

  *retry_after_ms = 0;
  return account == NULL || admits_next (quotas, account, now_ms, retry_after_ms);
}

bool
quo_admit (Quo *quotas, uint32_t hash, uint64_t now_ms, uint32_t *retry_after_ms)
{
  Account *account = find_account (quotas, hash);

  *retry_after_ms = 0;
  if (account == NULL)
    return true;
  if (!admits_next (quotas, account, now_ms, retry_after_ms))
    return false;
  take_token (quotas, account, now_ms);
  return true;
}

void
quo_refund (Quo *quotas, uint32_t hash, uint64_t now_ms)
{
  Account *account = find_account (quotas, hash);

  if (account == NULL || account->started_ms == 0)
    return;
  advance (quotas, account, now_ms);
  account->level += 1;
  advance_admitted (quotas, account, now_ms);
  account->admitted_now -= MIN (account->admitted_now, 1);
  if (account->window_bins[account->window_bin % WINDOW_BINS] > 0)
    account->window_bins[account->window_bin % WINDOW_BINS]--;
  account->credits++;
  account->credited_ms = now_ms;
}

/* ---- Messages ---- */

uint32_t
quo_age_ms (const Quo *quotas, uint64_t now_ms)
{
  return quotas->since_ms != 0 ? (uint32_t) MIN (now_ms - quotas->since_ms, UINT32_MAX) : 0;
}

bool
quo_is_settled (const Quo *quotas, uint32_t age_ms)
{
  return age_ms >= quotas->bounds.window_ms + DELAY_MAX_MS;
}

void
quo_set_fleet (Quo *quotas, const QuoFleet *fleet, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  double heard_part = (double) fleet->heard / fleet->known;
  double rise = (double) (now_ms - quotas->fleet_set_ms) / HEARD_RISE_MS;

  if (quotas->since_ms == 0)
    quotas->since_ms = now_ms;
  if (quo_is_settled (quotas, quo_age_ms (quotas, now_ms)))
    heard_part = MIN (heard_part, quotas->heard_part + rise);
  quotas->heard_part = heard_part;
  quotas->fleet_set_ms = now_ms;
  quotas->fleet = *fleet;
  quotas->fleet.report_delay_ms = MIN (fleet->report_delay_ms, DELAY_MAX_MS);
  g_hash_table_iter_init (&iter, quotas->sources);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((const Source *) value)->heard_ms >= QUO_FORGET_MS)
      g_hash_table_iter_remove (&iter);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer now_ms)
{
  (void) key;
  return *(const uint64_t *) now_ms - ((const Report *) value)->heard_ms >= QUO_FORGET_MS;
}

/* After a long silence, what the source has admitted was within its part of the quota: its counts
 * are a new baseline. */
static Source *
hear_source (Quo *quotas, uint32_t hash, uint64_t incarnation, uint32_t nodes, uint64_t now_ms)
{
  Source *source = g_hash_table_lookup (quotas->sources, GUINT_TO_POINTER (hash));

  if (source == NULL)
    {
      source = g_new0 (Source, 1);
      source->incarnation = incarnation;
      source->reports = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
      g_hash_table_insert (quotas->sources, GUINT_TO_POINTER (hash), source);
    }
  bool was_silent = now_ms - source->heard_ms >= QUO_SOURCE_SILENT_MS;
  if (was_silent)
    source->heard_since_ms = now_ms;
  if (was_silent || source->incarnation != incarnation)
    g_hash_table_remove_all (source->reports);
  source->incarnation = incarnation;
  source->nodes = nodes;
  source->heard_ms = now_ms;
  if (now_ms - source->swept_ms >= QUO_FORGET_MS)
    {
      g_hash_table_foreach_remove (source->reports, is_forgotten, &now_ms);
      source->swept_ms = now_ms;
    }
  return source;
}

/* Part of a count without an earlier one that is new. A source that has been heard for as long as a
 * generation lasts without use would have listed the account before, so that the generation is new.
 * Before, the generation may be old. Then the count is new as far as the source is likely to have
 * admitted it since it is heard, or since this node counts. */
static uint32_t
new_part (const Quo *quotas, const Account *account, const Source *source, uint32_t count,
          uint64_t now_ms)
{
  uint64_t heard_ms = now_ms - source->heard_since_ms;
  uint32_t age_ms = quo_age_ms (quotas, now_ms);

  if (heard_ms >= QUO_IDLE_MS + DELAY_MAX_MS)
    return count;
  if (!quo_is_settled (quotas, age_ms))
    heard_ms = MIN (heard_ms + quotas->fleet.report_delay_ms, age_ms);
  double all = rate_per_s (quotas, account) * (double) heard_ms / 1000;
  double likely = all * source->nodes / quotas->fleet.heard;
  return (uint32_t) MIN (count, 1 + likely);
}

/* Requests that a count reports anew. */
static uint32_t
apply_report (const Quo *quotas, const Account *account, Source *source, const peer_quota *reported,
              uint64_t now_ms)
{
  Report *last = g_hash_table_lookup (source->reports, GUINT_TO_POINTER (account->hash));
  uint32_t generation = reported->count >> COUNT_BITS;
  uint32_t count = reported->count & COUNT_MAX;
  uint32_t added = count;

  if (last == NULL)
    {
      last = g_new0 (Report, 1);
      g_hash_table_insert (source->reports, GUINT_TO_POINTER (account->hash), last);
      added = new_part (quotas, account, source, count, now_ms);
    }
  else if (last->generation == generation && count < last->count)
    return 0;
  else if (last->generation == generation)
    added = count - last->count;
  *last = (Report){ .generation = generation, .count = count, .heard_ms = now_ms };
  return added;
}

void
quo_apply_counts (Quo *quotas, uint32_t source_hash, uint64_t incarnation, uint32_t nodes,
                  bool in_zone, const peer_quota *counts, u_int length, uint64_t now_ms)
{
  Source *source = hear_source (quotas, source_hash, incarnation, nodes, now_ms);

  for (u_int i = 0; i < length; i++)
    {
      Account *account = find_account (quotas, counts[i].account);
      if (account == NULL)
        continue;
      uint32_t added = apply_report (quotas, account, source, &counts[i], now_ms);
      if (added == 0)
        continue;
      advance (quotas, account, now_ms);
      account->level -= added;
      account->all_use += added;
      account->window_bins[account->window_bin % WINDOW_BINS] += added;
      if (in_zone)
        count_use (quotas, account, &account->zone, added, now_ms);
    }
}

static Tally *
own_tally (Account *account)
{
  return &account->own;
}

static Tally *
zone_tally (Account *account)
{
  return &account->zone;
}

typedef Tally *(*TallyFn) (Account *account);

/* The largest change that no message has carried first, then the oldest change. */
static gint
compare_unlisted (const Tally *a, const Tally *b)
{
  uint32_t unlisted_a = a->count - a->listed;
  uint32_t unlisted_b = b->count - b->listed;

  if (unlisted_a != unlisted_b)
    return unlisted_a > unlisted_b ? -1 : 1;
  return (a->changed_ms > b->changed_ms) - (a->changed_ms < b->changed_ms);
}

static gint
compare_own (gconstpointer a, gconstpointer b)
{
  return compare_unlisted (&(*(Account *const *) a)->own, &(*(Account *const *) b)->own);
}

static gint
compare_zone (gconstpointer a, gconstpointer b)
{
  return compare_unlisted (&(*(Account *const *) a)->zone, &(*(Account *const *) b)->zone);
}

static void
drop_idle_accounts (Quo *quotas, uint64_t now_ms)
{
  for (guint i = quotas->active->len; i > 0; i--)
    {
      Account *account = g_ptr_array_index (quotas->active, i - 1);
      bool is_listed = account->own.listed == account->own.count;
      if (now_ms - account->zone.changed_ms < QUO_IDLE_MS || !is_listed)
        continue;
      account->active = false;
      g_ptr_array_remove_index_fast (quotas->active, i - 1);
    }
}

static u_int
list_counts (Quo *quotas, TallyFn tally_of, GCompareFunc compare, uint32_t hold_ms,
             peer_quota *counts, u_int capacity, uint64_t now_ms)
{
  u_int length = 0;

  drop_idle_accounts (quotas, now_ms);
  if (quotas->active->len > capacity)
    g_ptr_array_sort (quotas->active, compare);
  for (guint i = 0; i < quotas->active->len && length < capacity; i++)
    {
      Account *account = g_ptr_array_index (quotas->active, i);
      Tally *tally = tally_of (account);
      bool is_recent = tally->changed_ms != 0 && now_ms - tally->changed_ms < hold_ms;
      if (!is_recent && tally->listed == tally->count)
        continue;
      tally->listed = tally->count;
      counts[length++] = (peer_quota){ .account = account->hash,
                                       .count = tally->generation << COUNT_BITS | tally->count };
    }
  return length;
}

u_int
quo_list_own (Quo *quotas, peer_quota *counts, u_int capacity, uint64_t now_ms)
{
  return list_counts (quotas, own_tally, compare_own, quotas->fleet.view_hold_ms, counts, capacity,
                      now_ms);
}

u_int
quo_list_zone (Quo *quotas, peer_quota *counts, u_int capacity, uint64_t now_ms)
{
  return list_counts (quotas, zone_tally, compare_zone, 2 * SUM_PERIOD_MS + PER_TICK_MS, counts,
                      capacity, now_ms);
}

/* ---- State dump ---- */

bool
quo_read (Quo *quotas, uint32_t hash, uint64_t now_ms, QuoStatus *status)
{
  Account *account = find_account (quotas, hash);

  if (account == NULL)
    return false;
  advance (quotas, account, now_ms);
  advance_admitted (quotas, account, now_ms);
  *status = (QuoStatus){ .rate_mps = account->rate_mps,
                         .burst = account->burst,
                         .level = account->level,
                         .admitted = account->admitted,
                         .admitted_now = account->admitted_now };
  return true;
}

static gint
compare_use (gconstpointer a, gconstpointer b)
{
  const Account *x = *(Account *const *) a;
  const Account *y = *(Account *const *) b;

  return (x->all_use < y->all_use) - (x->all_use > y->all_use);
}

/* Accounts that were used within a window, the most used first. */
static GPtrArray *
list_used (const Quo *quotas, uint64_t now_ms)
{
  GPtrArray *used = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quotas->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *account = value;
      if (account->started_ms == 0)
        continue;
      advance (quotas, account, now_ms);
      if (used_within (quotas, account, quotas->bounds.window_ms) > 0)
        g_ptr_array_add (used, account);
    }
  g_ptr_array_sort (used, compare_use);
  return used;
}

static void
dump_account (const Quo *quotas, const Account *account, GString *out)
{
  g_string_append_printf (
      out,
      "quota account=%08x rate_mps=%llu burst=%u level=%.1f excess=%.1f share_ppm=%u "
      "unreported=%u use_mps=%u window=%u refused=%llu\n",
      account->hash, (unsigned long long) account->rate_mps, account->burst, account->level,
      excess_of (quotas, account), (uint32_t) (share_of (quotas, account) * SHARE_ONE_PPM),
      (uint32_t) unreported_of (account),
      (uint32_t) (account->all_use * 1e6 / use_decay_ms (quotas)),
      used_within (quotas, account, quotas->bounds.window_ms),
      (unsigned long long) account->refused);
}

void
quo_dump (Quo *quotas, uint64_t now_ms, GString *out)
{
  if (!quo_is_active (quotas))
    return;
  GPtrArray *used = list_used (quotas, now_ms);
  g_string_append_printf (
      out, "quotas accounts=%u used=%u known=%u heard=%u part_permille=%u report_delay_ms=%u\n",
      g_hash_table_size (quotas->accounts), used->len, quotas->fleet.known, quotas->fleet.heard,
      (uint32_t) (quotas->heard_part * 1000), quotas->fleet.report_delay_ms);
  for (guint i = 0; i < MIN (used->len, QUO_DUMP_MAX); i++)
    dump_account (quotas, g_ptr_array_index (used, i), out);
  g_ptr_array_unref (used);
}
