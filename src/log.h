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
 * struct Log - a logger
 * @out: stream written to, line buffered
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
} Log;

/** log_level_parse() - reads a level's name; returns -1 for an unknown one. */
int log_level_parse (const char *name);

/** log_event() - writes one event; @format gives the pairs after the common ones. */
void log_event (const Log *log, LogLevel level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
