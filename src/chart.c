/* State charts: transition tables of state machines, loaded from files and checked. */
#include "chart.h"

#include <glib.h>
#include <string.h>

static int32_t
index_of (const char *const *names, const char *name)
{
  for (int32_t i = 0; names[i] != NULL; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return CHART_NONE;
}

static bool
parse_initial (Chart *chart, char **words, uint32_t line, Err *err)
{
  chart->initial = (int8_t) index_of (chart->states, words[1]);
  if (chart->initial == CHART_NONE)
    err_set (err, ERR_LAYER_CHART, 2, "%s line %u: unknown state '%s'", chart->name, line,
             words[1]);
  return chart->initial != CHART_NONE;
}

static bool
parse_transition (Chart *chart, char **words, uint32_t line, Err *err)
{
  int32_t from = index_of (chart->states, words[1]);
  int32_t event = index_of (chart->events, words[2]);
  int32_t to = index_of (chart->states, words[4]);

  if (from == CHART_NONE || to == CHART_NONE)
    {
      err_set (err, ERR_LAYER_CHART, 2, "%s line %u: unknown state '%s'", chart->name, line,
               from == CHART_NONE ? words[1] : words[4]);
      return false;
    }
  if (event == CHART_NONE)
    {
      err_set (err, ERR_LAYER_CHART, 3, "%s line %u: unknown event '%s'", chart->name, line,
               words[2]);
      return false;
    }
  if (chart->next[from][event] != CHART_NONE)
    {
      err_set (err, ERR_LAYER_CHART, 4, "%s line %u: second transition for '%s' on '%s'",
               chart->name, line, words[1], words[2]);
      return false;
    }
  chart->next[from][event] = (int8_t) to;
  return true;
}

static bool
parse_line (Chart *chart, const char *text, uint32_t line, Err *err)
{
  char *stripped = g_strstrip (g_strdup (text));
  char **words = g_strsplit_set (stripped, " ", -1);
  uint32_t count = g_strv_length (words);
  bool ok = true;

  if (stripped[0] == '\0' || stripped[0] == '#')
    ok = true;
  else if (count == 2 && strcmp (words[0], "initial") == 0)
    ok = parse_initial (chart, words, line, err);
  else if (count == 5 && strcmp (words[0], "on") == 0 && strcmp (words[3], "->") == 0)
    ok = parse_transition (chart, words, line, err);
  else
    {
      err_set (err, ERR_LAYER_CHART, 1, "%s line %u: cannot read '%s'", chart->name, line,
               stripped);
      ok = false;
    }
  g_strfreev (words);
  g_free (stripped);
  return ok;
}

static bool
check_reachable (const Chart *chart, Err *err)
{
  bool reachable[CHART_STATES_MAX] = { false };
  bool changed = true;

  reachable[chart->initial] = true;
  while (changed)
    {
      changed = false;
      for (uint32_t s = 0; s < chart->state_count; s++)
        for (uint32_t e = 0; reachable[s] && e < chart->event_count; e++)
          if (chart->next[s][e] != CHART_NONE && !reachable[chart->next[s][e]])
            reachable[chart->next[s][e]] = changed = true;
    }
  for (uint32_t s = 0; s < chart->state_count; s++)
    if (!reachable[s])
      {
        err_set (err, ERR_LAYER_CHART, 5, "%s: state '%s' is unreachable", chart->name,
                 chart->states[s]);
        return false;
      }
  return true;
}

static bool
check_events_used (const Chart *chart, Err *err)
{
  for (uint32_t e = 0; e < chart->event_count; e++)
    {
      bool used = false;
      for (uint32_t s = 0; s < chart->state_count; s++)
        used = used || chart->next[s][e] != CHART_NONE;
      if (!used)
        {
          err_set (err, ERR_LAYER_CHART, 6, "%s: event '%s' has no transition", chart->name,
                   chart->events[e]);
          return false;
        }
    }
  return true;
}

bool
chart_load (Chart *chart, const char *path, const char *const *states, const char *const *events,
            Err *err)
{
  char *text = NULL;
  bool ok = true;

  memset (chart, 0, sizeof *chart);
  memset (chart->next, CHART_NONE, sizeof chart->next);
  chart->states = states;
  chart->events = events;
  chart->state_count = g_strv_length ((char **) states);
  chart->event_count = g_strv_length ((char **) events);
  chart->initial = CHART_NONE;
  char *base = g_path_get_basename (path);
  g_strlcpy (chart->name, base, sizeof chart->name);
  g_free (base);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      err_set (err, ERR_LAYER_CHART, 7, "cannot read chart file %s", path);
      return false;
    }
  char **lines = g_strsplit (text, "\n", -1);
  for (uint32_t i = 0; ok && lines[i] != NULL; i++)
    ok = parse_line (chart, lines[i], i + 1, err);
  g_strfreev (lines);
  g_free (text);
  if (ok && chart->initial == CHART_NONE)
    {
      err_set (err, ERR_LAYER_CHART, 8, "%s: no initial state", chart->name);
      return false;
    }
  return ok && check_reachable (chart, err) && check_events_used (chart, err);
}

bool
chart_load_named (Chart *chart, const char *dir, const char *name, const char *const *states,
                  const char *const *events, Err *err)
{
  char *path = g_strdup_printf ("%s/%s.chart", dir, name);
  bool ok = chart_load (chart, path, states, events, err);

  g_free (path);
  return ok;
}

bool
chart_step (Chart *chart, int32_t *state, int32_t event)
{
  int8_t next = chart->next[*state][event];

  if (next == CHART_NONE)
    {
      chart->impossible_events++;
      return false;
    }
  *state = next;
  return true;
}
