/* Health of one upstream: probes, ejection, slow start, load. Pure: no I/O, no clock. */
#pragma once

#include "chart.h"
#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * typedef HltState - states of the chart upstream.chart
 * @HLT_UNKNOWN: no probe result yet; accepts requests
 * @HLT_EJECTED: excluded for EJECT_MS after consecutive failed requests
 * @HLT_LEAVING: shutting down; finishes its requests and accepts no new ones
 */
typedef enum
{
  HLT_UNKNOWN,
  HLT_UP,
  HLT_DOWN,
  HLT_EJECTED,
  HLT_LEAVING,
} HltState;

/**
 * typedef HltEvent - events of the chart upstream.chart
 * @HLT_ANSWERED: enough consecutive probes succeeded
 * @HLT_FAILED: enough consecutive probes failed
 * @HLT_EJECT_OVER: EJECT_MS have passed
 * @HLT_RETURN: the upstream is no longer shutting down
 */
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
 * @state: an HltState
 * @consecutive_failed_probes: consecutive failed probes
 * @consecutive_ok_probes: consecutive successful probes
 * @consecutive_errors: consecutive failed requests
 * @load_permille: load that the upstream reported last
 * @load_reported_at_ms: time of that report, 0 without one
 * @last_shed_at_ms: time when the upstream last shed a request, 0 without one
 * @up_since_ms: last time that it came up from HLT_DOWN, HLT_EJECTED or HLT_LEAVING, 0 without one
 */
typedef struct
{
  int32_t state;
  uint32_t consecutive_failed_probes;
  uint32_t consecutive_ok_probes;
  uint32_t consecutive_errors;
  uint32_t load_permille;
  uint64_t load_reported_at_ms;
  uint64_t last_shed_at_ms;
  uint64_t up_since_ms;
  uint64_t ejected_at_ms;
} Hlt;

/** hlt_chart_load() - reads the upstream chart from the directory @dir. */
bool hlt_chart_load (Chart *chart, const char *dir, Err *err);
void hlt_init (Hlt *hlt, const Chart *chart);

/**
 * hlt_record_probe() - records the result of a probe
 *
 * The state changes after HEALTHY_THRESHOLD_PROBES or UNHEALTHY_THRESHOLD_PROBES consecutive equal
 * results, so that one lost probe does not exclude an upstream. The first success ends HLT_UNKNOWN.
 */
void hlt_record_probe (Hlt *hlt, Chart *chart, bool ok, uint64_t now_ms);

/** hlt_set_leaving() - sets whether the upstream is shutting down. */
void hlt_set_leaving (Hlt *hlt, Chart *chart, bool leaving, uint64_t now_ms);

/**
 * hlt_record_request() - records the end of a request
 *
 * Return: true when EJECT_ERRORS consecutive requests failed, so that it should be ejected.
 */
bool hlt_record_request (Hlt *hlt, bool ok);

/**
 * hlt_eject() - ejects the upstream for EJECT_MS
 * @ejected: number of the service's upstreams that are ejected already
 * @total: number of the service's upstreams
 *
 * Return: false when it is not up or more than EJECT_MAX_PCT of @total would be ejected.
 */
bool hlt_eject (Hlt *hlt, Chart *chart, uint32_t ejected, uint32_t total, uint64_t now_ms);

/** hlt_expire_ejection() - ends an ejection after EJECT_MS. */
void hlt_expire_ejection (Hlt *hlt, Chart *chart, uint64_t now_ms);

/** hlt_record_shed() - records that the upstream shed a request. */
void hlt_record_shed (Hlt *hlt, uint64_t now_ms);

/** hlt_is_shedding() - whether the upstream shed a request within the last SHED_PAUSE_MS. */
bool hlt_is_shedding (const Hlt *hlt, uint64_t now_ms);

/**
 * hlt_load_permille() - estimates the load of the upstream
 *
 * Without a report the estimate is half load; a report decays linearly to that over
 * LOAD_REPORT_MAX_AGE_MS. After a shed request reports are ignored for the same time, because an
 * upstream that sheds may report that it is idle: the estimate falls linearly from full load to 0.
 */
uint32_t hlt_load_permille (const Hlt *hlt, uint64_t now_ms);

/**
 * hlt_slow_start_permille() - share of the slots that may be used in the slow start
 *
 * It rises linearly over SLOW_START_MS after the upstream came up again; 1000 otherwise.
 */
uint32_t hlt_slow_start_permille (const Hlt *hlt, uint64_t now_ms);

/** hlt_accepts_requests() - whether the state allows new requests. */
bool hlt_accepts_requests (const Hlt *hlt);
const char *hlt_state_name (int32_t state);
