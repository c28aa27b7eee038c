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

/** struct LogLoad - what bounds the volume of one logger; NULL in struct Log for no bound */
typedef struct
{
  uint64_t second;
  uint32_t lines;
  uint64_t dropped;
} LogLoad;

/**
 * struct Log - a logger
 * @out: stream written to, line buffered
 * @load: bounds events below LOG_WARN to LOG_LINES_PER_S, and counts what was dropped
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
  LogLoad *load;
} Log;

/** log_level_parse() - reads a level's name; returns -1 for an unknown one. */
int log_level_parse (const char *name);

/** log_set_nonblocking() - a full pipe drops lines rather than blocking the process. */
void log_set_nonblocking (const Log *log);

/** log_dropped() - lines that were dropped because of the bound or a full pipe. */
uint64_t log_dropped (const Log *log);

/** log_event() - writes one event; @format gives the pairs after the common ones. */
void log_event (const Log *log, LogLevel level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
