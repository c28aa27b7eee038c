/* Admission control: how long a request may wait for a slot, which free slots are reserved for
 * requests of higher priority, which waiting requests are tried, and after what time a rejected
 * caller retries. Pure: no I/O, no clock. */
#include "adm.h"

#define RESERVE_DIVISOR 32
#define PROCESSING_DIVISOR 2
#define RETRY_AFTER_DIVISOR 3
/* Deadlines of first attempts vary by the time that requests take to arrive. */
#define CALLER_RETRY_MARGIN_MS 60
#define TRIES_IN_ORDER 6
#define TRIES_IN_TURN 6

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

static void
insert_deadline (AdmDeadlines *deadlines, uint32_t deadline_ms)
{
  for (uint32_t i = 0; i < ADM_DEADLINES_MAX; i++)
    if (deadline_ms > deadlines->longest_ms[i])
      {
        uint32_t shorter_ms = deadlines->longest_ms[i];
        deadlines->longest_ms[i] = deadline_ms;
        deadline_ms = shorter_ms;
      }
}

void
adm_record_deadline (AdmDeadlines *deadlines, uint32_t deadline_ms)
{
  insert_deadline (deadlines, deadline_ms);
  deadlines->count++;
  uint32_t reached_ms = deadlines->longest_ms[ADM_DEADLINES_MAX - 1];
  if (reached_ms > deadlines->first_ms)
    deadlines->first_ms = reached_ms;
  if (deadlines->count < ADM_DEADLINES_WINDOW)
    return;
  *deadlines = (AdmDeadlines){ .first_ms = reached_ms };
}

uint32_t
adm_retry_age_ms (const AdmDeadlines *deadlines, uint32_t deadline_ms)
{
  return deadline_ms + CALLER_RETRY_MARGIN_MS < deadlines->first_ms
             ? deadlines->first_ms - deadline_ms
             : 0;
}

void
adm_begin_pass (AdmTries *tries)
{
  tries->in_order = TRIES_IN_ORDER;
  tries->in_turn = TRIES_IN_TURN;
}

bool
adm_may_try (AdmTries *tries, uint32_t *tried_round)
{
  if (tries->in_order > 0)
    tries->in_order--;
  else if (tries->in_turn > 0 && *tried_round != tries->round)
    tries->in_turn--;
  else
    return false;
  *tried_round = tries->round;
  return true;
}

/* With tries left over, all that wait have been tried in this round. */
void
adm_end_pass (AdmTries *tries)
{
  if (tries->in_turn > 0)
    tries->round++;
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
