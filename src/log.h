/* Logger: one line of key=value pairs for each event. */
#pragma once

#include <stdint.h>
#include <stdio.h>

typedef enum
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR,
} LogLevel;

/**
 * struct LogRateLimit - rate limit of a logger
 * @second: current second of the real-time clock (Unix time)
 * @lines: lines below LOG_WARN written in the current second
 * @dropped: lines dropped because of the limit or a failed write, since the start
 */
typedef struct
{
  uint64_t second;
  uint32_t lines;
  uint64_t dropped;
} LogRateLimit;

/**
 * struct Log - a logger
 * @out: output stream, line buffered
 * @load: limits events below LOG_WARN to LOG_LINES_PER_S and counts dropped lines; NULL for
 *   no limit
 * @level: events below this level are dropped
 * @process: name written into each line
 * @vm: VM name written into each line
 */
typedef struct
{
  FILE *out;
  LogLevel level;
  const char *process;
  const char *vm;
  LogRateLimit *load;
} Log;

/** log_level_parse() - the LogLevel with this name, -1 for an unknown name. */
int log_level_parse (const char *name);

/** log_set_nonblocking() - makes @out non-blocking, so that a full pipe never blocks the process.
 */
void log_set_nonblocking (const Log *log);

/** log_dropped() - number of lines dropped because of the rate limit or a full pipe. */
uint64_t log_dropped (const Log *log);

/** log_event() - writes one event; @format gives the key=value pairs after the common ones. */
void log_event (const Log *log, LogLevel level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
