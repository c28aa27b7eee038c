/* Settings of a process: command line flags, environment variables and defaults. */
#include "set.h"

#include "net.h"

#include <stdlib.h>
#include <stdio.h>
#include <string.h>

struct _Settings
{
  GHashTable *values;
};

static char *
env_name (const char *flag)
{
  char *upper = g_ascii_strup (flag, -1);
  char *name = g_strconcat ("CARDAMOM_", g_strdelimit (upper, "-", '_'), NULL);

  g_free (upper);
  return name;
}

static bool
uint_is_valid (const char *value, const char *accepted)
{
  char *end;
  unsigned long long min = 0;
  unsigned long long max = UINT32_MAX;
  unsigned long long number = strtoull (value, &end, 10);

  if (accepted != NULL)
    sscanf (accepted, "%llu..%llu", &min, &max);
  return g_ascii_isdigit (value[0]) && *end == '\0' && number >= min && number <= max;
}

static bool
value_is_valid (const SetSpec *spec, const char *value)
{
  NetAddr addr;

  switch (spec->kind)
    {
    case SET_TEXT:
      return value[0] != '\0';
    case SET_ADDRESS:
      return net_addr_parse (value, &addr);
    case SET_UINT:
      return uint_is_valid (value, spec->accepted);
    case SET_CHOICE:
      {
        char **choices = g_strsplit (spec->accepted, "|", -1);
        bool found = g_strv_contains ((const char *const *) choices, value);
        g_strfreev (choices);
        return found;
      }
    }
  return false;
}

static const char *
accepted_values (const SetSpec *spec)
{
  switch (spec->kind)
    {
    case SET_TEXT:
      return "a text that is not empty";
    case SET_ADDRESS:
      return "an IPv4 address and port such as 127.0.0.1:8080";
    case SET_UINT:
      return spec->accepted != NULL ? spec->accepted : "a whole number";
    case SET_CHOICE:
      return spec->accepted;
    }
  return "";
}

static void
resolve_setting (Settings *settings, const SetSpec *spec, char *flag_value, GString *errors)
{
  char *name = env_name (spec->flag);
  const char *value = flag_value != NULL ? flag_value : g_getenv (name);

  if (value == NULL)
    value = spec->fallback;
  if (value == NULL)
    g_string_append_printf (errors, "--%s (%s) is not given; accepted: %s\n", spec->flag, name,
                            accepted_values (spec));
  else if (value != spec->fallback && !value_is_valid (spec, value))
    g_string_append_printf (errors, "--%s (%s) is '%s'; accepted: %s\n", spec->flag, name, value,
                            accepted_values (spec));
  else
    g_hash_table_insert (settings->values, g_strdup (spec->flag), g_strdup (value));
  g_free (name);
}

Settings *
set_load (const SetSpec *specs, const char *summary, int argc, char **argv, bool *check_only,
          Err *err)
{
  size_t count = 0;
  gboolean check = FALSE;
  GError *error = NULL;
  GString *errors = g_string_new (NULL);
  Settings *settings = g_new0 (Settings, 1);
  GOptionContext *context = g_option_context_new (NULL);

  while (specs[count].flag != NULL)
    count++;
  GOptionEntry *entries = g_new0 (GOptionEntry, count + 2);
  char **flags = g_new0 (char *, count + 1);
  for (size_t i = 0; i < count; i++)
    entries[i] = (GOptionEntry){ .long_name = specs[i].flag,
                                 .arg = G_OPTION_ARG_STRING,
                                 .arg_data = &flags[i],
                                 .description = specs[i].help,
                                 .arg_description = "VALUE" };
  entries[count] = (GOptionEntry){ .long_name = "check",
                                   .arg = G_OPTION_ARG_NONE,
                                   .arg_data = &check,
                                   .description = "Check the settings and exit" };
  settings->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    g_string_append_printf (errors, "%s\n", error->message);
  g_clear_error (&error);
  if (argc > 1)
    g_string_append_printf (errors, "unexpected argument '%s'\n", argv[1]);
  for (size_t i = 0; i < count; i++)
    {
      resolve_setting (settings, &specs[i], flags[i], errors);
      g_free (flags[i]);
    }
  *check_only = check;
  if (errors->len > 0)
    {
      err_set (err, ERR_LAYER_SETTINGS, 1, "%s", errors->str);
      set_free (settings);
      settings = NULL;
    }
  g_string_free (errors, TRUE);
  g_free (entries);
  g_free (flags);
  g_option_context_free (context);
  return settings;
}

void
set_free (Settings *settings)
{
  if (settings == NULL)
    return;
  g_hash_table_unref (settings->values);
  g_free (settings);
}

const char *
set_text (const Settings *settings, const char *flag)
{
  return g_hash_table_lookup (settings->values, flag);
}

uint32_t
set_uint (const Settings *settings, const char *flag)
{
  return (uint32_t) strtoul (set_text (settings, flag), NULL, 10);
}
