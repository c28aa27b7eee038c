/* Traffic: bytes that a node sends and receives, by purpose and by distance of the other end. */
#include "trf.h"

#include "lim.h"
#include "met.h"

#include <string.h>

static const char *const purpose_names[TRF_PURPOSES] = {
  [TRF_UPSTREAMS] = "upstreams", [TRF_CALLERS] = "callers", [TRF_RELAYS] = "relays",
  [TRF_RELAYED] = "relayed",     [TRF_VIEWS] = "views",     [TRF_SUMMARIES] = "summaries",
  [TRF_UPDATES] = "updates",     [TRF_FETCHES] = "fetches", [TRF_STORE] = "store",
  [TRF_PROBES] = "probes",       [TRF_LOOKUPS] = "lookups",
};

static const char *const distance_names[TRF_DISTANCES] = {
  [TRF_ZONE] = "zone",
  [TRF_REGION] = "region",
  [TRF_REMOTE] = "remote",
  [TRF_UNKNOWN] = "unknown",
};

static const struct
{
  const char *name;
  size_t offset;
} directions[] = {
  { "sent", offsetof (TrfCount, sent_bytes) },
  { "received", offsetof (TrfCount, received_bytes) },
};

const char *
trf_purpose_name (TrfPurpose purpose)
{
  return purpose_names[purpose];
}

const char *
trf_distance_name (TrfDistance distance)
{
  return distance_names[distance];
}

TrfDistance
trf_distance (uint32_t own_zone, uint32_t own_region, uint32_t zone, uint32_t region)
{
  if (zone == ZONE_NONE)
    return TRF_UNKNOWN;
  if (zone == own_zone)
    return TRF_ZONE;
  return region == own_region ? TRF_REGION : TRF_REMOTE;
}

TrfCount *
trf_count (Trf *trf, TrfPurpose purpose, TrfDistance distance)
{
  return trf != NULL ? &trf->counts[purpose][distance] : NULL;
}

static uint64_t
bytes_of (const TrfCount *count, size_t direction)
{
  return *(const uint64_t *) ((const char *) count + directions[direction].offset);
}

/* The difference between two states of a purpose's counters. */
static void
append_purpose (GString *out, const char *prefix, const TrfCount *now, const TrfCount *before)
{
  for (size_t direction = 0; direction < G_N_ELEMENTS (directions); direction++)
    {
      g_string_append_printf (out, " %s%s=", prefix, directions[direction].name);
      for (size_t i = 0; i < TRF_DISTANCES; i++)
        g_string_append_printf (out, "%s%" G_GUINT64_FORMAT, i > 0 ? "," : "",
                                bytes_of (&now[i], direction) - bytes_of (&before[i], direction));
    }
}

void
trf_log (Trf *trf, const Log *log, uint64_t now_ms)
{
  uint64_t period_ms = trf->logged_at_ms != 0 ? now_ms - trf->logged_at_ms : 0;

  if (trf->logged_at_ms != 0 && period_ms < TRF_LOG_PERIOD_MS)
    return;
  trf->logged_at_ms = now_ms;
  if (memcmp (trf->counts, trf->logged, sizeof trf->counts) == 0)
    return;
  GString *text = g_string_new (NULL);
  for (size_t purpose = 0; purpose < TRF_PURPOSES; purpose++)
    {
      char prefix[32];
      if (memcmp (trf->counts[purpose], trf->logged[purpose], sizeof trf->counts[purpose]) == 0)
        continue;
      g_snprintf (prefix, sizeof prefix, "%s_", purpose_names[purpose]);
      append_purpose (text, prefix, trf->counts[purpose], trf->logged[purpose]);
    }
  log_event (log, LOG_INFO, "traffic", "period_ms=%" G_GUINT64_FORMAT "%s", period_ms, text->str);
  g_string_free (text, TRUE);
  memcpy (trf->logged, trf->counts, sizeof trf->logged);
}

void
trf_write_metrics (const Trf *trf, const char *name, GString *out)
{
  for (size_t purpose = 0; purpose < TRF_PURPOSES; purpose++)
    for (size_t distance = 0; distance < TRF_DISTANCES; distance++)
      for (size_t direction = 0; direction < G_N_ELEMENTS (directions); direction++)
        {
          uint64_t bytes = bytes_of (&trf->counts[purpose][distance], direction);
          char labels[96];
          if (bytes == 0)
            continue;
          g_snprintf (labels, sizeof labels, "purpose=\"%s\",distance=\"%s\",direction=\"%s\"",
                      purpose_names[purpose], distance_names[distance], directions[direction].name);
          met_write_value (out, name, labels, bytes);
        }
}

void
trf_dump (const Trf *trf, GString *out)
{
  static const TrfCount none[TRF_DISTANCES];

  for (size_t purpose = 0; purpose < TRF_PURPOSES; purpose++)
    {
      g_string_append_printf (out, "traffic=%s", purpose_names[purpose]);
      append_purpose (out, "", trf->counts[purpose], none);
      g_string_append_c (out, '\n');
    }
}
