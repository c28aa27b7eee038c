/* Admission control: how long a request may wait for a slot, which free slots are reserved for
 * requests of higher priority, and after what time a rejected caller retries. Pure: no I/O, no
 * clock. */
#include "adm.h"

#define RESERVE_DIVISOR 32
#define PROCESSING_DIVISOR 2
#define RETRY_AFTER_DIVISOR 3

uint32_t
adm_reserve (const AdmRequest *request, uint32_t slots)
{
  uint32_t step = slots / RESERVE_DIVISOR > 0 ? slots / RESERVE_DIVISOR : 1;
  uint32_t reserved_steps = request->priority_class > 0 ? 1 : 0;

  if (request->caller_retry)
    reserved_steps++;
  return slots > 4 ? reserved_steps * step : 0;
}

uint32_t
adm_max_wait_ms (const AdmRequest *request)
{
  uint32_t wait_ms = request->objective_ms / ADM_WAIT_DIVISOR;

  if (request->remaining_ms <= request->usual_ms)
    return 0;
  return wait_ms < request->remaining_ms - request->usual_ms
             ? wait_ms
             : request->remaining_ms - request->usual_ms;
}

bool
adm_misses_deadline (const AdmRequest *request)
{
  return request->remaining_ms < request->usual_ms / PROCESSING_DIVISOR;
}

uint32_t
adm_max_retry_after_ms (const AdmRequest *request)
{
  return request->remaining_ms / RETRY_AFTER_DIVISOR;
}

uint32_t
adm_retry_after_ms (const AdmRequest *request, uint32_t random)
{
  uint32_t max_ms = adm_max_retry_after_ms (request);

  if (max_ms > ADM_RETRY_AFTER_MAX_MS)
    max_ms = ADM_RETRY_AFTER_MAX_MS;
  if (max_ms <= ADM_RETRY_AFTER_MIN_MS)
    return max_ms;
  return ADM_RETRY_AFTER_MIN_MS + random % (max_ms - ADM_RETRY_AFTER_MIN_MS + 1);
}

bool
adm_precedes (const AdmRequest *a, uint32_t a_waited_ms, const AdmRequest *b, uint32_t b_waited_ms)
{
  if (a->priority_class != b->priority_class)
    return a->priority_class < b->priority_class;
  if (a->caller_retry != b->caller_retry)
    return b->caller_retry;
  return a_waited_ms < b_waited_ms;
}
