/* Feedback in upstreams' response headers: shutdown notice, Retry-After and load. */
#include "fbk.h"

#include <math.h>
#include <string.h>

#define STATUS_SERVICE_UNAVAILABLE 503
#define MS_PER_S 1000.0

uint32_t
fbk_retry_after_ms (const char *text)
{
  char *end = NULL;
  double seconds = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0' || !isfinite (seconds) || seconds <= 0)
    return 0;
  return (uint32_t) ceil (fmin (seconds * MS_PER_S, FBK_PAUSE_MAX_MS));
}

static void
apply_leaving (Node *node, Ups *ups, const char *id, const UcnResponse *response)
{
  const char *leaving = ucn_header (response, node->headers.leaving);

  if (leaving == NULL || strcmp (leaving, "1") != 0 || !ups_mark_leaving (ups, ups->record.born_ms))
    return;
  node->counters.leaving_notices++;
  log_event (&node->log, LOG_INFO, "upstream_leaves",
             "upstream=%s told_by=answer id=%s status=%d header=%s", ups->record.id, id,
             response->status, node->headers.leaving);
}

static void
apply_retry_after (Node *node, Ups *ups, const char *id, const UcnResponse *response)
{
  const char *text = ucn_header (response, "retry-after");

  if (text == NULL || response->status != STATUS_SERVICE_UNAVAILABLE)
    return;
  uint32_t pause_ms = fbk_retry_after_ms (text);
  if (pause_ms == 0)
    {
      node->counters.pauses_invalid++;
      log_event (&node->log, LOG_WARN, "pause_not_understood",
                 "upstream=%s id=%s retry_after=\"%s\"", ups->record.id, id, text);
      return;
    }
  uint64_t now_ms = clk_now_ms ();
  ups_pause (ups, now_ms + pause_ms);
  node->counters.pauses++;
  log_event (&node->log, LOG_INFO, "upstream_pauses",
             "upstream=%s id=%s header=retry-after pause_ms=%u limited=%d end_in_ms=%llu",
             ups->record.id, id, pause_ms, pause_ms == FBK_PAUSE_MAX_MS,
             (unsigned long long) (ups->paused_until_ms - now_ms));
}

static void
apply_load (Node *node, Ups *ups, const UcnResponse *response)
{
  const char *text = node->headers.load != NULL ? ucn_header (response, node->headers.load) : NULL;
  LrnReport report;

  if (text == NULL || !node->settings.learned_capacity)
    return;
  node->counters.load_reports++;
  if (lrn_parse_report (text, &report))
    lrn_apply_report (&ups->learned, &report, ups->in_flight, ups->others, clk_now_ms ());
  else
    node->counters.load_reports_invalid++;
}

void
fbk_apply (Node *node, Ups *ups, const UpsIncarnation *incarnation, const char *id,
           const UcnResponse *response)
{
  const char *logged_id = id != NULL ? id : "-";

  if (!ups_is_incarnation (ups, incarnation))
    return;
  apply_leaving (node, ups, logged_id, response);
  apply_retry_after (node, ups, logged_id, response);
  apply_load (node, ups, response);
}
