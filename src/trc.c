/* Trace of one request: its log lines from all processes in order of time, and its outcome. */
#include "trc.h"

#include <stdbool.h>
#include <string.h>

#define LINE_MAX_BYTES 4096

/** struct ReasonText - description of a reason in the log for operators */
typedef struct
{
  const char *name;
  const char *text;
} ReasonText;

static const ReasonText reasons[] = {
  { "no_room", "no upstream that may take it had room, so it was refused as not run" },
  { "all_paused",
    "all upstreams that may take it had asked for a pause, so it was refused as not run" },
  { "no_upstream",
    "all upstreams that may take it leave or are drained, so it was refused as not run" },
  { "shift_cap", "it was turned away so that the cap on shift holds, as not run" },
  { "upstream_left", "its upstream left before it was sent, so it was refused as not run" },
  { "no_connection", "no upstream accepted a connection, so it was refused as not run" },
  { "too_little_time", "too little of its deadline was left, so it was refused as not run" },
  { "crashes_upstreams", "it had crashed the upstreams that ran it, so it was refused" },
  { "key_removed", "its API key was removed before it was sent, so it was refused as not run" },
  { "over_quota", "its account was over its quota, so it was refused as not run" },
  { "no_region", "no region may serve both its account and its route, so it was refused" },
  { "timeout", "its route's timeout or its deadline passed" },
  { "answer_lost", "the upstream's connection ended before an answer, so it may have run" },
  { "relay_lost", "the connection to its relay ended before an answer, so it may have run" },
  { "answer_broken", "the upstream's answer was cut or garbled, so it may have run" },
  { "answer_unsigned", "the upstream's answer had no digest, so it may have run" },
  { "upstream_failed", "the upstream answered with a failure" },
  { "no_configuration", "the node knew no configuration yet" },
  { "stopping", "the node was about to stop, so it was refused as not run" },
};

void
trc_init (Trc *trace, const char *id)
{
  trace->id = g_strdup (id);
  trace->lines = g_ptr_array_new_with_free_func (g_free);
}

void
trc_clear (Trc *trace)
{
  g_free (trace->id);
  g_ptr_array_unref (trace->lines);
}

/* Value of @key in a line of key=value pairs: a new string, or NULL if the key is missing. */
static char *
dup_value (const char *line, const char *key)
{
  char *pattern = g_strconcat (" ", key, "=", NULL);
  const char *found = strstr (line, pattern);
  size_t pattern_bytes = strlen (pattern);

  g_free (pattern);
  if (found == NULL)
    return NULL;
  found += pattern_bytes;
  return g_strndup (found, strcspn (found, " \n"));
}

static bool
has_value (const char *line, const char *key, const char *expected)
{
  char *value = dup_value (line, key);
  bool equal = g_strcmp0 (value, expected) == 0;

  g_free (value);
  return equal;
}

void
trc_read (Trc *trace, FILE *log)
{
  char line[LINE_MAX_BYTES];

  while (fgets (line, sizeof line, log) != NULL)
    if (has_value (line, "id", trace->id))
      g_ptr_array_add (trace->lines, g_strdup (line));
}

static const char *
timestamp_of (const char *line)
{
  const char *found = strstr (line, "ts=");

  return found != NULL ? found : line;
}

static gint
compare_timestamps (gconstpointer a, gconstpointer b)
{
  return strcmp (timestamp_of (*(const char *const *) a), timestamp_of (*(const char *const *) b));
}

static char *
describe_failure (const char *line)
{
  char *reason = dup_value (line, "reason");
  char *status = dup_value (line, "status");
  char *vm = dup_value (line, "vm");
  const char *text = reason;

  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (g_strcmp0 (reasons[i].name, reason) == 0)
      text = reasons[i].text;
  char *out = g_strdup_printf ("answered %s by %s: %s", status, vm, text);
  g_free (reason);
  g_free (status);
  g_free (vm);
  return out;
}

char *
trc_outcome (Trc *trace)
{
  g_ptr_array_sort (trace->lines, compare_timestamps);
  for (guint i = trace->lines->len; i > 0; i--)
    {
      const char *line = g_ptr_array_index (trace->lines, i - 1);
      if (has_value (line, "event", "request_failed"))
        return describe_failure (line);
      if (has_value (line, "event", "request_answered"))
        return g_strdup ("answered with what an upstream sent");
    }
  if (trace->lines->len > 0)
    return g_strdup ("sent, but no end is in the logs: the node ended or the line was dropped");
  return g_strdup ("not in the logs: it was answered and not sampled, or reached no node");
}

void
trc_print (Trc *trace, FILE *out)
{
  char *outcome = trc_outcome (trace);

  for (guint i = 0; i < trace->lines->len; i++)
    fputs (g_ptr_array_index (trace->lines, i), out);
  fprintf (out, "%s: %s\n", trace->id, outcome);
  g_free (outcome);
}
