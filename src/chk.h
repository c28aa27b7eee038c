/* Check of a configuration: routes that never match, limits that contradict each other, and the
 * differences from another version. Pure: no I/O, no clock. */
#pragma once

#include "rte.h"

/**
 * typedef ChkLevel - kind of a finding
 * @CHK_ERROR: nodes reject the configuration, or ignore a value or use another one in its place
 * @CHK_WARNING: it is accepted, but a part of it has no effect
 * @CHK_CHANGE: a difference from the version compared with
 */
typedef enum
{
  CHK_ERROR,
  CHK_WARNING,
  CHK_CHANGE,
} ChkLevel;

#define CHK_LEVELS 3

/**
 * struct ChkFinding - one finding
 * @path: path of the JSON member, "" for the whole text
 * @line: line of the text from 1 on, 0 when not known
 */
typedef struct
{
  ChkLevel level;
  char *path;
  uint32_t line;
  char *text;
} ChkFinding;

/** struct ChkReport - all findings of a check; @counts: their number by ChkLevel */
typedef struct
{
  GPtrArray *findings;
  uint32_t counts[CHK_LEVELS];
} ChkReport;

/** struct ChkNames - the platform's names of JSON members, for the paths of findings */
typedef struct
{
  const char *version;
  const char *routes;
  const char *host;
  const char *prefix;
  const char *objective;
  const char *service;
  const char *services;
  const char *accounts;
  const char *keys;
  const char *regions;
} ChkNames;

void chk_init (ChkReport *report);
void chk_clear (ChkReport *report);

/** chk_add() - adds a finding; control characters in @path and in the text are replaced. */
void chk_add (ChkReport *report, ChkLevel level, const char *path, uint32_t line,
              const char *format, ...) __attribute__ ((format (printf, 5, 6)));

/** chk_path() - path of the member @name of the member at @parent, as a new string. */
char *chk_path (const char *parent, const char *name);

/** chk_table() - adds warnings about entries that have no effect or contradict each other. */
void chk_table (ChkReport *report, const RteTable *table, const ChkNames *names);

/**
 * chk_compare() - adds the differences between two versions
 *
 * Keys of accounts are counted. Both tables must have been read with the same AccSecret.
 */
void chk_compare (ChkReport *report, const RteTable *before, const RteTable *after,
                  const ChkNames *names);

/** chk_format_text() - one line for each finding and one with their numbers; free with g_free(). */
char *chk_format_text (const ChkReport *report);

/** chk_format_json() - an object with the arrays errors, warnings and changes; free with g_free().
 */
char *chk_format_json (const ChkReport *report);
