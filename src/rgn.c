/* Counters of sent requests by region, logged once per period. */
#include "rgn.h"

#include <glib.h>
#include <string.h>

void
rgn_count_sent (RgnCounts *counts, uint32_t region, bool has_object)
{
  if (region >= REGIONS_MAX)
    return;
  counts->sent[region]++;
  if (!has_object)
    counts->objectless[region]++;
}

void
rgn_count_connected (RgnCounts *counts, uint32_t region)
{
  if (region < REGIONS_MAX)
    counts->connected[region]++;
}

char *
rgn_format (const uint32_t *values, uint32_t regions)
{
  GString *text = g_string_new (NULL);

  for (uint32_t r = 0; r < MIN (regions, REGIONS_MAX); r++)
    g_string_append_printf (text, "%s%u", r > 0 ? "," : "", values[r]);
  return g_string_free (text, FALSE);
}

void
rgn_log (RgnCounts *counts, uint32_t regions, const Log *log)
{
  static const RgnCounts zero;

  if (memcmp (counts, &zero, sizeof zero) == 0)
    return;
  char *sent = rgn_format (counts->sent, regions);
  char *objectless = rgn_format (counts->objectless, regions);
  char *connected = rgn_format (counts->connected, regions);
  log_event (log, LOG_INFO, "requests_by_region", "sent=%s objectless=%s connected=%s", sent,
             objectless, connected);
  g_free (sent);
  g_free (objectless);
  g_free (connected);
  *counts = zero;
}
