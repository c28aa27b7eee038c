/* Memory budget on the metrics page, in the state dump and in the log. */
#include "mbs.h"

#include "met.h"

#define NAME_BYTES 80

/** struct Value - a value of the memory budget; @offset: in MbgCounters or Mbg */
typedef struct
{
  const char *name;
  size_t offset;
} Value;

static const Value counters[] = {
  { "memory_waited", offsetof (MbgCounters, waited) },
  { "memory_rejected", offsetof (MbgCounters, rejected) },
  { "memory_stalled", offsetof (MbgCounters, stalled) },
  { "memory_unread_closed", offsetof (MbgCounters, unread_closed) },
  { "heads_over_limit", offsetof (MbgCounters, heads_over_limit) },
  { "bodies_over_limit", offsetof (MbgCounters, bodies_over_limit) },
  { "connections_closed", offsetof (MbgCounters, connections_closed) },
  { "connections_refused", offsetof (MbgCounters, connections_refused) },
};

static const Value gauges[] = {
  { "memory_small_requests_bytes", offsetof (Mbg, used_bytes[MBG_SMALL]) },
  { "memory_large_requests_bytes", offsetof (Mbg, used_bytes[MBG_LARGE]) },
  { "memory_relayed_requests_bytes", offsetof (Mbg, relayed_bytes) },
  { "memory_received_answers_bytes", offsetof (Mbg, receiving_bytes) },
  { "memory_unread_answers_bytes", offsetof (Mbg, unread_bytes) },
};

static uint64_t
value_at (const void *base, const Value *value)
{
  return *(const uint64_t *) ((const char *) base + value->offset);
}

static void
write_value (GString *out, const char *prefix, const char *name, const char *suffix, uint64_t value)
{
  char full_name[NAME_BYTES];

  g_snprintf (full_name, sizeof full_name, "%s%s%s", prefix, name, suffix);
  met_write_value (out, full_name, NULL, value);
}

void
mbs_write_metrics (const Mbg *mbg, const char *prefix, GString *out)
{
  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    write_value (out, prefix, counters[i].name, "_total", value_at (&mbg->counters, &counters[i]));
  for (size_t i = 0; i < G_N_ELEMENTS (gauges); i++)
    write_value (out, prefix, gauges[i].name, "", value_at (mbg, &gauges[i]));
  write_value (out, prefix, "caller_connections", "", mbg->connections);
}

void
mbs_write_counters (const Mbg *mbg, GString *out)
{
  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    g_string_append_printf (out, " %s=%llu", counters[i].name,
                            (unsigned long long) value_at (&mbg->counters, &counters[i]));
}

void
mbs_log (const Mbg *mbg, const Log *log, uint64_t *logged)
{
  const MbgCounters *c = &mbg->counters;

  if (mbg_turned_away (mbg) == *logged)
    return;
  *logged = mbg_turned_away (mbg);
  log_event (log, LOG_WARN, "callers_turned_away",
             "rejected=%llu stalled=%llu unread=%llu heads=%llu bodies=%llu closed=%llu "
             "refused=%llu small_bytes=%llu large_bytes=%llu answer_bytes=%llu waiting=%u "
             "connections=%u",
             (unsigned long long) c->rejected, (unsigned long long) c->stalled,
             (unsigned long long) c->unread_closed, (unsigned long long) c->heads_over_limit,
             (unsigned long long) c->bodies_over_limit, (unsigned long long) c->connections_closed,
             (unsigned long long) c->connections_refused,
             (unsigned long long) mbg->used_bytes[MBG_SMALL],
             (unsigned long long) mbg->used_bytes[MBG_LARGE],
             (unsigned long long) (mbg->receiving_bytes + mbg->unread_bytes),
             mbg->waiting[MBG_SMALL].length + mbg->waiting[MBG_LARGE].length, mbg->connections);
}
