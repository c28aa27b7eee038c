/* Process settings from flags and environment variables. */
#pragma once

#include "err.h"

#include <glib.h>

typedef enum
{
  SET_TEXT,
  SET_ADDRESS,
  SET_UINT,
  SET_CHOICE,
} SetKind;

/**
 * struct SetSpec - one setting
 * @flag: long flag without dashes; the environment variable is CARDAMOM_ and the flag in capitals
 * @kind: how the value is checked
 * @fallback: default value, or NULL when the setting must be given
 * @accepted: for SET_CHOICE the values separated by '|'; for SET_UINT "min..max"
 * @help: text for --help
 */
typedef struct
{
  const char *flag;
  SetKind kind;
  const char *fallback;
  const char *accepted;
  const char *help;
} SetSpec;

typedef struct _Settings Settings;

/**
 * set_load() - reads and checks all settings
 * @summary: text shown by --help
 *
 * All errors are collected into @err's text, one line each.
 * Return: the settings, or NULL with @err set. @check_only tells that --check was given.
 */
Settings *set_load (const SetSpec *specs, const char *summary, int argc, char **argv,
                    bool *check_only, Err *err);
void set_free (Settings *settings);

/** set_text() - a setting's value; the flag must be one of the specs. */
const char *set_text (const Settings *settings, const char *flag);
uint32_t set_uint (const Settings *settings, const char *flag);
