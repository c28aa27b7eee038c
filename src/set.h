/* Settings of a process: command line flags, environment variables and defaults. */
#pragma once

#include "err.h"

#include <glib.h>

/**
 * typedef SetKind - type of a setting's value
 * @SET_TEXT: text that is not empty
 * @SET_ADDRESS: IPv4 address and port
 * @SET_UINT: unsigned integer of at most 32 bits
 * @SET_CHOICE: one of a list of values
 */
typedef enum
{
  SET_TEXT,
  SET_ADDRESS,
  SET_UINT,
  SET_CHOICE,
} SetKind;

/**
 * struct SetSpec - definition of a setting
 * @flag: long flag without the leading dashes; the environment variable is CARDAMOM_ and the flag
 *   in capitals, with underscores for dashes
 * @kind: type of the value; a value of another type is an error
 * @fallback: default value, or NULL for a required setting
 * @accepted: for SET_CHOICE the values separated by '|'; for SET_UINT "min..max" or NULL
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
 * set_load() - reads and checks all settings: a flag overrides the environment, which overrides the
 * default
 * @specs: definitions, ended by one whose flag is NULL
 * @summary: text shown by --help
 * @check_only: set to whether --check was given
 *
 * All errors are collected into @err's text, one line each.
 * Return: the settings, to be freed with set_free(), or NULL with @err set.
 */
Settings *set_load (const SetSpec *specs, const char *summary, int argc, char **argv,
                    bool *check_only, Err *err);
void set_free (Settings *settings);

/** set_text() - a setting's value as text; @flag must be one of the specs. */
const char *set_text (const Settings *settings, const char *flag);

/** set_uint() - the value of a SET_UINT setting; @flag must be one of the specs. */
uint32_t set_uint (const Settings *settings, const char *flag);
