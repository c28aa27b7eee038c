/* Trace of one request: its log lines from all processes, in order, and the cause of its end. */
#include "trc.h"

#include <stdbool.h>
#include <string.h>

#define LINE_MAX_BYTES 4096

/** struct Reason - what a reason in the log means for an operator */
typedef struct
{
  const char *name;
  const char *text;
} Reason;

static const Reason reasons[] = {
  { "no_room", "no upstream that may take it had room, so it was refused as not run" },
  { "shift_cap", "it was turned away so that the cap on shift holds, as not run" },
  { "upstream_left", "its upstream left before it was sent, so it was refused as not run" },
  { "no_connection", "no upstream accepted a connection, so it was refused as not run" },
  { "too_little_time", "too little of its deadline was left, so it was refused as not run" },
  { "crashes_upstreams", "it had crashed the upstreams that ran it, so it was refused" },
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

/* The value of a key in a line of key=value pairs; a new string or NULL. */
static char *
value_of (const char *line, const char *key)
{
  char *pattern = g_strconcat (" ", key, "=", NULL);
  const char *found = strstr (line, pattern);
  size_t skip = strlen (pattern);

  g_free (pattern);
  if (found == NULL)
    return NULL;
  found += skip;
  return g_strndup (found, strcspn (found, " \n"));
}

static bool
has_value (const char *line, const char *key, const char *wanted)
{
  char *value = value_of (line, key);
  bool same = g_strcmp0 (value, wanted) == 0;

  g_free (value);
  return same;
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
time_of (const char *line)
{
  const char *found = strstr (line, "ts=");

  return found != NULL ? found : line;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  return strcmp (time_of (*(const char *const *) a), time_of (*(const char *const *) b));
}

static char *
failure_text (const char *line)
{
  char *reason = value_of (line, "reason");
  char *status = value_of (line, "status");
  char *vm = value_of (line, "vm");
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
trc_cause (Trc *trace)
{
  g_ptr_array_sort (trace->lines, compare_times);
  for (guint i = trace->lines->len; i > 0; i--)
    {
      const char *line = g_ptr_array_index (trace->lines, i - 1);
      if (has_value (line, "event", "request_failed"))
        return failure_text (line);
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
  char *cause = trc_cause (trace);

  for (guint i = 0; i < trace->lines->len; i++)
    fputs (g_ptr_array_index (trace->lines, i), out);
  fprintf (out, "%s: %s\n", trace->id, cause);
  g_free (cause);
}
