/* Logger: one line of key=value pairs for each event. */
#include "log.h"

#include <stdarg.h>
#include <string.h>
#include <time.h>

static const char *const level_names[] = { "debug", "info", "warn", "error" };

int
log_level_parse (const char *name)
{
  for (int i = 0; i < 4; i++)
    if (strcmp (name, level_names[i]) == 0)
      return i;
  return -1;
}

void
log_event (const Log *log, LogLevel level, const char *event, const char *format, ...)
{
  char line[2048];
  struct timespec now;
  va_list args;
  int n;

  if (log == NULL || log->out == NULL || level < log->level)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  n = snprintf (line, sizeof line, "ts=%lld.%03ld level=%s process=%s vm=%s event=%s ",
                (long long) now.tv_sec, now.tv_nsec / 1000000, level_names[level], log->process,
                log->vm, event);
  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t) n, format, args);
  va_end (args);
  for (char *p = line; *p != '\0'; p++)
    if (*p == '\n' || *p == '\r')
      *p = ' ';
  fprintf (log->out, "%s\n", line);
  fflush (log->out);
}
