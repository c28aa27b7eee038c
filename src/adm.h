/* Admission: whether a request may wait, what it must leave free, and when it may come back. Pure.
 */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct AdmRequest - what admission depends on
 * @urgency: 0 for the most urgent routes of the service
 * @returned: the caller came back after a refusal, so the objective is missed or nearly
 * @left_ms: time until its deadline or its route's timeout
 * @usual_ms: usual work time
 */
typedef struct
{
  uint32_t urgency;
  bool returned;
  uint32_t objective_ms;
  uint32_t left_ms;
  uint32_t usual_ms;
} AdmRequest;

/** adm_reserve() - free slots that the request must leave to more urgent ones. */
uint32_t adm_reserve (const AdmRequest *request, uint32_t slots);

/** adm_wait_ms() - how long it may wait for a slot, 0 for not at all. */
uint32_t adm_wait_ms (const AdmRequest *request);

/** adm_is_hopeless() - it could not be answered in the time that is left. */
bool adm_is_hopeless (const AdmRequest *request);

/** adm_back_most_ms() - the longest time after which a caller comes back. */
uint32_t adm_back_most_ms (const AdmRequest *request);

/** adm_back_ms() - when a refused caller may come back; @random spreads callers. */
uint32_t adm_back_ms (const AdmRequest *request, uint32_t random);

/** adm_is_before() - @a is served before @b when both wait. @waited tells for how long. */
bool adm_is_before (const AdmRequest *a, uint32_t a_waited_ms, const AdmRequest *b,
                    uint32_t b_waited_ms);
