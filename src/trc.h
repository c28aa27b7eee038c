/* Trace of one request: its log lines from all processes in order of time, and its outcome. */
#pragma once

#include <glib.h>
#include <stdio.h>

/** struct Trc - request and its log lines */
typedef struct
{
  char *id;
  GPtrArray *lines;
} Trc;

void trc_init (Trc *trace, const char *id);
void trc_clear (Trc *trace);

/** trc_read() - adds the lines of @log whose id is that of the request. */
void trc_read (Trc *trace, FILE *log);

/** trc_print() - writes the lines by timestamp, then the outcome in one sentence. */
void trc_print (Trc *trace, FILE *out);

/** trc_outcome() - sorts the lines and returns one sentence on the request's end; a new string. */
char *trc_outcome (Trc *trace);
