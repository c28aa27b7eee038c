/* Admission control: how long a request may wait for a slot, which free slots are reserved for
 * requests of higher priority, which waiting requests are tried, and after what time a rejected
 * caller retries. Pure: no I/O, no clock. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct AdmRequest - inputs of the admission decisions
 * @priority_class: 0 for the routes of the highest priority in the service, 1 for all others
 * @caller_retry: the caller sent the request again after a rejection, so that little or no time is
 * left within its latency objective
 * @objective_ms: latency objective of the route
 * @remaining_ms: time until its deadline or its route's timeout
 * @usual_ms: moving average of the processing time
 */
typedef struct
{
  uint32_t priority_class;
  bool caller_retry;
  uint32_t objective_ms;
  uint32_t remaining_ms;
  uint32_t usual_ms;
} AdmRequest;

/** adm_reserve() - number of free slots, out of @slots, that the request must leave to requests of
 * higher priority and to first attempts; 0 when @slots is 4 or less. */
uint32_t adm_reserve (const AdmRequest *request, uint32_t slots);

/** adm_max_wait_ms() - longest time that the request may wait for a slot; 0 when it may not wait.
 */
uint32_t adm_max_wait_ms (const AdmRequest *request);

/** adm_misses_deadline() - true when less than half of the usual processing time is left. */
bool adm_misses_deadline (const AdmRequest *request);

/** adm_max_retry_after_ms() - largest retry-after time that leaves enough time for the retry. */
uint32_t adm_max_retry_after_ms (const AdmRequest *request);

/** adm_retry_after_ms() - time after which a rejected caller may retry; @random adds jitter. */
uint32_t adm_retry_after_ms (const AdmRequest *request, uint32_t random);

#define ADM_DEADLINES_MAX 8
#define ADM_DEADLINES_WINDOW 64

/**
 * struct AdmDeadlines - deadlines of a route's requests, for telling first attempts from retries,
 * which have only the rest of the first attempt's deadline
 * @first_ms: deadline of first attempts; 0 while unknown
 * @longest_ms: the longest deadlines of the current window, in descending order
 * @count: requests in the current window
 */
typedef struct
{
  uint32_t first_ms;
  uint32_t longest_ms[ADM_DEADLINES_MAX];
  uint32_t count;
} AdmDeadlines;

/**
 * adm_record_deadline() - records the deadline of a request
 *
 * A rejected caller returns up to three times, so that at least a quarter of the requests are first
 * attempts. Their deadline is the one that an eighth of the last window's requests reach, so that a
 * few callers with longer deadlines do not turn all others into retries.
 */
void adm_record_deadline (AdmDeadlines *deadlines, uint32_t deadline_ms);

/** adm_retry_age_ms() - time since the caller's first attempt; 0 for a first attempt. */
uint32_t adm_retry_age_ms (const AdmDeadlines *deadlines, uint32_t deadline_ms);

/**
 * struct AdmTries - which waiting requests to try in one pass over the queue
 * @round: the current round, in which each waiting request is tried once
 * @in_order: tries left for the requests that precede all others
 * @in_turn: tries left for those that have not been tried in this round
 *
 * Requests at the head of the queue that cannot be placed use up the first kind of tries; the
 * second kind reaches all others in turn.
 */
typedef struct
{
  uint32_t round;
  uint32_t in_order;
  uint32_t in_turn;
} AdmTries;

/** adm_begin_pass() - begins a pass over the queue. */
void adm_begin_pass (AdmTries *tries);

/** adm_may_try() - true when a waiting request is to be tried; called in the order of
 * adm_precedes(). @tried_round: the round in which it was last tried, updated when true. */
bool adm_may_try (AdmTries *tries, uint32_t *tried_round);

/** adm_end_pass() - ends a pass. */
void adm_end_pass (AdmTries *tries);

/** adm_precedes() - true when the waiting request @a is served before @b: by priority, then first
 * attempts before retries, then the one that has waited for less time. */
bool adm_precedes (const AdmRequest *a, uint32_t a_waited_ms, const AdmRequest *b,
                   uint32_t b_waited_ms);
