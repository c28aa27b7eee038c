/* Admission control: how long a request may wait for a slot, which free slots are reserved for
 * requests of higher priority, and after what time a rejected caller retries. Pure: no I/O, no
 * clock. */
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

/** adm_precedes() - true when the waiting request @a is served before @b: by priority, then first
 * attempts before retries, then the one that has waited for less time. */
bool adm_precedes (const AdmRequest *a, uint32_t a_waited_ms, const AdmRequest *b,
                   uint32_t b_waited_ms);
