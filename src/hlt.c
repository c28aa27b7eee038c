/* Health of one upstream: probes, ejection, slow start, load. Pure: no I/O, no clock. */
#include "hlt.h"

#include <string.h>

#define SLOW_START_MIN_PERMILLE 250

static const char *const state_names[] = { "unknown", "up", "down", "ejected", "leaving", NULL };
static const char *const event_names[]
    = { "answered", "failed", "eject", "eject_over", "leave", "return", NULL };

bool
hlt_chart_load (Chart *chart, const char *dir, Err *err)
{
  return chart_load_named (chart, dir, "upstream", state_names, event_names, err);
}

void
hlt_init (Hlt *hlt, const Chart *chart)
{
  memset (hlt, 0, sizeof *hlt);
  hlt->state = chart->initial;
}

static void
step (Hlt *hlt, Chart *chart, HltEvent event, uint64_t now_ms)
{
  int32_t old_state = hlt->state;

  chart_step (chart, &hlt->state, (int32_t) event);
  if (hlt->state == HLT_UP && old_state != HLT_UP && old_state != HLT_UNKNOWN)
    hlt->up_since_ms = now_ms;
}

void
hlt_record_probe (Hlt *hlt, Chart *chart, bool ok, uint64_t now_ms)
{
  hlt->consecutive_ok_probes = ok ? hlt->consecutive_ok_probes + 1 : 0;
  hlt->consecutive_failed_probes = ok ? 0 : hlt->consecutive_failed_probes + 1;
  if (ok && (hlt->state == HLT_UNKNOWN || hlt->consecutive_ok_probes >= HEALTHY_THRESHOLD_PROBES))
    step (hlt, chart, HLT_ANSWERED, now_ms);
  if (!ok && hlt->consecutive_failed_probes >= UNHEALTHY_THRESHOLD_PROBES)
    step (hlt, chart, HLT_FAILED, now_ms);
}

void
hlt_set_leaving (Hlt *hlt, Chart *chart, bool leaving, uint64_t now_ms)
{
  if (leaving && hlt->state != HLT_LEAVING)
    step (hlt, chart, HLT_LEAVE, now_ms);
  if (!leaving && hlt->state == HLT_LEAVING)
    step (hlt, chart, HLT_RETURN, now_ms);
}

bool
hlt_record_request (Hlt *hlt, bool ok)
{
  hlt->consecutive_errors = ok ? 0 : hlt->consecutive_errors + 1;
  return hlt->state == HLT_UP && hlt->consecutive_errors >= EJECT_ERRORS;
}

bool
hlt_eject (Hlt *hlt, Chart *chart, uint32_t ejected, uint32_t total, uint64_t now_ms)
{
  if ((ejected + 1) * 100 > total * EJECT_MAX_PCT || hlt->state != HLT_UP)
    return false;
  step (hlt, chart, HLT_EJECT, now_ms);
  hlt->ejected_at_ms = now_ms;
  hlt->consecutive_errors = 0;
  return true;
}

void
hlt_expire_ejection (Hlt *hlt, Chart *chart, uint64_t now_ms)
{
  if (hlt->state == HLT_EJECTED && now_ms - hlt->ejected_at_ms >= EJECT_MS)
    step (hlt, chart, HLT_EJECT_OVER, now_ms);
}

void
hlt_record_shed (Hlt *hlt, uint64_t now_ms)
{
  hlt->last_shed_at_ms = now_ms;
}

bool
hlt_is_shedding (const Hlt *hlt, uint64_t now_ms)
{
  return hlt->last_shed_at_ms != 0 && now_ms - hlt->last_shed_at_ms < SHED_PAUSE_MS;
}

uint32_t
hlt_load_permille (const Hlt *hlt, uint64_t now_ms)
{
  uint64_t age_ms = now_ms - hlt->load_reported_at_ms;

  if (hlt->last_shed_at_ms != 0 && now_ms - hlt->last_shed_at_ms < LOAD_REPORT_MAX_AGE_MS)
    return (uint32_t) (1000 - (now_ms - hlt->last_shed_at_ms) * 1000 / LOAD_REPORT_MAX_AGE_MS);
  if (hlt->load_reported_at_ms == 0 || age_ms >= LOAD_REPORT_MAX_AGE_MS)
    return 500;
  return (uint32_t) ((hlt->load_permille * (LOAD_REPORT_MAX_AGE_MS - age_ms) + 500 * age_ms)
                     / LOAD_REPORT_MAX_AGE_MS);
}

uint32_t
hlt_slow_start_permille (const Hlt *hlt, uint64_t now_ms)
{
  uint64_t up_ms = now_ms - hlt->up_since_ms;

  if (hlt->up_since_ms == 0 || up_ms >= SLOW_START_MS)
    return 1000;
  return (uint32_t) (SLOW_START_MIN_PERMILLE
                     + (1000 - SLOW_START_MIN_PERMILLE) * up_ms / SLOW_START_MS);
}

bool
hlt_accepts_requests (const Hlt *hlt)
{
  return hlt->state == HLT_UP || hlt->state == HLT_UNKNOWN;
}

const char *
hlt_state_name (int32_t state)
{
  return state_names[state];
}
