/* Health of one upstream: chart, hysteresis, ejection, ramp and reported load. Pure. */
#pragma once

#include "chart.h"
#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  HLT_UNKNOWN,
  HLT_UP,
  HLT_DOWN,
  HLT_EJECTED,
  HLT_LEAVING,
} HltState;

typedef enum
{
  HLT_ANSWERED,
  HLT_FAILED,
  HLT_EJECT,
  HLT_EJECT_OVER,
  HLT_LEAVE,
  HLT_RETURN,
} HltEvent;

/**
 * struct Hlt - health of one upstream
 * @errors: consecutive requests that failed on it
 * @load_permille: last load that it reported, @load_at_ms says when
 * @contradicted_at_ms: when it shed work although its report said it had room
 */
typedef struct
{
  int32_t state;
  uint32_t fails;
  uint32_t oks;
  uint32_t errors;
  uint32_t load_permille;
  uint64_t load_at_ms;
  uint64_t contradicted_at_ms;
  uint64_t up_since_ms;
  uint64_t ejected_at_ms;
} Hlt;

bool hlt_chart_load (Chart *chart, const char *dir, Err *err);
void hlt_init (Hlt *hlt, const Chart *chart);

/** hlt_probe() - takes a probe's result; state changes after several equal results. */
void hlt_probe (Hlt *hlt, Chart *chart, bool ok, uint64_t now_ms);

/** hlt_set_leaving() - the upstream says, or the platform says, whether it leaves. */
void hlt_set_leaving (Hlt *hlt, Chart *chart, bool leaving, uint64_t now_ms);

/** hlt_request() - takes the end of a request; true when the upstream should be ejected. */
bool hlt_request (Hlt *hlt, bool ok);

/** hlt_eject() - ejects unless that would put more than EJECT_MAX_PCT of @total out. */
bool hlt_eject (Hlt *hlt, Chart *chart, uint32_t ejected, uint32_t total, uint64_t now_ms);

/** hlt_tick() - ends an ejection when its time is over. */
void hlt_tick (Hlt *hlt, Chart *chart, uint64_t now_ms);

/** hlt_shed() - the upstream refused a request for load. */
void hlt_shed (Hlt *hlt, uint64_t now_ms);

/** hlt_is_full() - it refused a request for load within the last SHED_PAUSE_MS. */
bool hlt_is_full (const Hlt *hlt, uint64_t now_ms);

/** hlt_load_permille() - load to reckon with: the report, aged, and full after a contradiction. */
uint32_t hlt_load_permille (const Hlt *hlt, uint64_t now_ms);

/** hlt_ramp_permille() - share of its slots that an upstream that came up lately may use. */
uint32_t hlt_ramp_permille (const Hlt *hlt, uint64_t now_ms);

/** hlt_can_serve() - new work may go to it. */
bool hlt_can_serve (const Hlt *hlt);
const char *hlt_state_name (int32_t state);
