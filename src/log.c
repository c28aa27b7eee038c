/* Logger: one line of key=value pairs for each event. */
#include "log.h"

#include "lim.h"

#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <stdbool.h>
#include <time.h>
#include <unistd.h>

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
log_set_nonblocking (const Log *log)
{
  int fd = fileno (log->out);
  int flags = fcntl (fd, F_GETFL);

  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

uint64_t
log_dropped (const Log *log)
{
  return log->load != NULL ? log->load->dropped : 0;
}

/* Warnings and errors are rare and exempt from the limit. */
static bool
is_within_rate_limit (const Log *log, LogLevel level, uint64_t second)
{
  LogRateLimit *load = log->load;

  if (load == NULL || level >= LOG_WARN)
    return true;
  if (load->second != second)
    {
      load->second = second;
      load->lines = 0;
    }
  if (load->lines < LOG_LINES_PER_S)
    {
      load->lines++;
      return true;
    }
  load->dropped++;
  return false;
}

/* With a rate limit a line is one write(), so that a full pipe drops it as a whole if possible. */
static void
write_line (const Log *log, char *line, size_t size)
{
  if (log->load == NULL)
    {
      fwrite (line, 1, size, log->out);
      fflush (log->out);
    }
  else if (write (fileno (log->out), line, size) != (ssize_t) size)
    log->load->dropped++;
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
  if (!is_within_rate_limit (log, level, (uint64_t) now.tv_sec))
    return;
  n = snprintf (line, sizeof line, "ts=%lld.%03ld level=%s process=%s vm=%s event=%s ",
                (long long) now.tv_sec, now.tv_nsec / 1000000, level_names[level], log->process,
                log->vm, event);
  n = MIN (n, (int) sizeof line - 1);
  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t) n, format, args);
  va_end (args);
  n = MIN (n, (int) sizeof line - 2);
  for (char *p = line; *p != '\0'; p++)
    if (g_ascii_iscntrl (*p))
      *p = ' ';
  line[n] = '\n';
  write_line (log, line, (size_t) n + 1);
}
