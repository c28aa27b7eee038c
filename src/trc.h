/* Trace of one request: its log lines from all processes, in order, and the cause of its end. */
#pragma once

#include <glib.h>
#include <stdio.h>

/** struct Trc - lines that name the request */
typedef struct
{
  char *id;
  GPtrArray *lines;
} Trc;

void trc_init (Trc *trace, const char *id);
void trc_clear (Trc *trace);

/** trc_read() - takes the lines of a log that name the request. */
void trc_read (Trc *trace, FILE *log);

/** trc_print() - writes the lines in the order of their times, then the cause in one sentence. */
void trc_print (Trc *trace, FILE *out);

/** trc_cause() - one sentence on how the request ended; a new string. */
char *trc_cause (Trc *trace);
