/* Fair queueing: which waiting request of a service is next, and which one is rejected in place of
 * another whose time is over. Pure: no I/O, no clock.
 *
 * A flow is a route and, where there are accounts, an account. A slot that becomes free goes to the
 * flow that has taken the fewest lately. docs/design/fair-queueing.md has the rules.
 */
#pragma once

#include "adm.h"

#include <glib.h>

/**
 * struct FqsFlow - requests of a flow; counts are in thousandths of a request
 * @account: NULL without accounts
 * @route: NULL for the flow that requests beyond the bounds share
 * @open: requests that have not ended, which keep the flow in existence
 * @taken_m: slots taken, decaying over FQS_SHARE_DECAY_STEPS
 * @requested_m: first attempts, decaying over FQS_RATIO_DECAY_STEPS
 * @served_m: requests sent to upstreams, decaying like @requested_m
 * @pass: the last pass over the queue in which one of its requests waited
 * @waiting_m: its first attempts that waited in that pass
 * @ranked_m: its waiting requests that were given a rank in that pass
 */
typedef struct
{
  char *account;
  char *route;
  uint32_t open;
  uint64_t taken_m;
  uint64_t requested_m;
  uint64_t served_m;
  uint64_t pass;
  uint64_t waiting_m;
  uint64_t ranked_m;
} FqsFlow;

/**
 * struct FqsRank - rank of a waiting request by its flow
 * @is_starved: its flow is served much less often than all flows together
 * @taken_m: slots that its flow will have taken when all its requests of a higher rank are served
 */
typedef struct
{
  bool is_starved;
  uint64_t taken_m;
} FqsRank;

/** struct FqsWaiting - a waiting request, as input of the decisions */
typedef struct
{
  const FqsFlow *flow;
  const AdmRequest *admission;
  FqsRank rank;
  uint32_t waited_ms;
} FqsWaiting;

typedef struct Fqs Fqs;

/** fqs_new() - the state of a service, without history. */
Fqs *fqs_new (void);
void fqs_free (Fqs *fqs);

/**
 * fqs_acquire() - the flow of a request, which the caller releases with fqs_release()
 * @account: name of its account; NULL without one
 *
 * The number of flows is bounded by FQS_ACCOUNTS_MAX and FQS_FLOWS_MAX; requests beyond that share
 * one flow until a flow is idle.
 */
FqsFlow *fqs_acquire (Fqs *fqs, const char *account, const char *route, uint64_t now_ms);
void fqs_release (FqsFlow *flow);

/** fqs_count_requested() - counts the first attempt of a request. */
void fqs_count_requested (Fqs *fqs, FqsFlow *flow, uint64_t now_ms);

/** fqs_count_served() - counts a request that was sent to an upstream for the first time. */
void fqs_count_served (Fqs *fqs, FqsFlow *flow, uint64_t now_ms);

/** fqs_uncount_served() - reverses fqs_count_served() for a request that ended without running. */
void fqs_uncount_served (Fqs *fqs, FqsFlow *flow, uint64_t now_ms);

/** fqs_begin_pass() - begins a pass over the queue: no request has a rank. */
void fqs_begin_pass (Fqs *fqs, uint64_t now_ms);

/** fqs_add_waiting() - counts a waiting request of the flow; called for all of them before the
 * first fqs_rank(). */
void fqs_add_waiting (const Fqs *fqs, FqsFlow *flow, const AdmRequest *admission);

/** fqs_rank() - the rank of the flow's next waiting request; called for them in the order of
 * adm_precedes(). */
FqsRank fqs_rank (const Fqs *fqs, FqsFlow *flow);

/** fqs_precedes() - true when the waiting request @a is tried before @b: requests of starved flows,
 * then by priority, first attempts before retries, by rank, and the one that has waited for less
 * time. */
bool fqs_precedes (const FqsWaiting *a, const FqsWaiting *b);

/** fqs_yields() - true when @waiting is to be rejected in place of @expired, a request of another
 * flow whose waiting time is over; @expired then waits for as long as @waiting would have, up to
 * adm_max_wait_ms(). */
bool fqs_yields (const FqsWaiting *waiting, const FqsWaiting *expired);

/** fqs_served_permille() - served part of the flow's requests, or of all when @flow is NULL. */
uint32_t fqs_served_permille (const Fqs *fqs, const FqsFlow *flow);

/** fqs_flow_count(), fqs_account_count() - flows, and accounts that have flows of their own. */
uint32_t fqs_flow_count (const Fqs *fqs);
uint32_t fqs_account_count (const Fqs *fqs);

/** fqs_dump() - appends one line for each of the FQS_LISTED_MAX flows with the most requests. */
void fqs_dump (Fqs *fqs, const char *service, uint64_t now_ms, GString *out);
