/* Replays load patterns with the node's routing policy and with simple policies as a baseline. */
#include "mdl.h"
#include "set.h"

#include <stdio.h>
#include <string.h>

#define BAR_CHARS 50
#define PERMILLE 1000u

static const SetSpec settings_specs[] = {
  { "load", SET_TEXT, "all", NULL, "load pattern, or all" },
  { "policy", SET_CHOICE, "all", "all|product|random-fifo|refuse-when-full", "who decides" },
  { "seed", SET_UINT, "1", "0..4294967295", "seed of the arrivals" },
  { "fair-queueing", SET_CHOICE, "off", "on|off", "order waiting requests by flow" },
  { "view-ms", SET_UINT, "0", "0..60000", "age of the views; 0 for that of the load pattern" },
  { "plot", SET_CHOICE, "off", "on|off", "show the credit of each second" },
  { NULL, SET_TEXT, NULL, NULL, NULL },
};

static const struct
{
  const char *name;
  MdlPolicy policy;
} policies[] = {
  { "product", MDL_PRODUCT },
  { "random-fifo", MDL_RANDOM_FIFO },
  { "refuse-when-full", MDL_REFUSE_WHEN_FULL },
};

static void
print_plot (const MdlLoad *load, const MdlReport *report)
{
  char bar[BAR_CHARS + 1];

  for (uint32_t s = 0; s < load->seconds; s++)
    {
      const MdlSecond *second = &report->seconds[s];
      uint32_t credit = second->in_objective * PERMILLE / MAX (second->asked, 1);
      uint32_t length = MIN (credit * BAR_CHARS / PERMILLE, BAR_CHARS);
      memset (bar, '#', length);
      bar[length] = '\0';
      printf ("  %3u asked=%-5u in_objective=%-5u late=%-5u refused=%-5u %s\n", s, second->asked,
              second->in_objective, second->late, second->refused, bar);
    }
}

static void
print_flows (const char *name, const MdlFlowReport *flows)
{
  printf ("  %s asked=%u served=%.3f in_objective=%.3f\n", name, flows->asked,
          flows->served / (double) MAX (flows->asked, 1),
          flows->in_objective / (double) MAX (flows->asked, 1));
}

static void
replay (const Settings *settings, const MdlLoad *pattern)
{
  const char *wanted = set_text (settings, "policy");
  MdlLoad load_with_settings = *pattern;
  const MdlLoad *load = &load_with_settings;

  load_with_settings.flows.fair_queueing = strcmp (set_text (settings, "fair-queueing"), "on") == 0;
  if (set_uint (settings, "view-ms") > 0)
    load_with_settings.view_ms = set_uint (settings, "view-ms");

  for (uint32_t i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      if (strcmp (wanted, "all") != 0 && strcmp (wanted, policies[i].name) != 0)
        continue;
      MdlReport report
          = mdl_replay (load, policies[i].policy, (uint32_t) set_uint (settings, "seed"));
      printf ("load=%s policy=%s asked=%u credit=%.3f bound=%.3f warm=%.3f sheds=%u most=%u "
              "shift=%.3f shift_region=%u shift_at=%.1f\n",
              load->name, policies[i].name, report.asked, report.credit_permille / 1000.0,
              report.bound_permille / 1000.0, report.warm_permille / 1000.0, report.sheds,
              report.upstream_requests_max, report.shift_permille / 1000.0, report.shift_region,
              report.shift_at_ms / 1000.0);
      if (load->flows.count > 0)
        {
          print_flows ("bursting", &report.bursting);
          print_flows ("others", &report.others);
        }
      if (strcmp (set_text (settings, "plot"), "on") == 0)
        print_plot (load, &report);
    }
}

int
main (int argc, char **argv)
{
  bool check_only;
  Err err = { 0 };
  Settings *settings
      = set_load (settings_specs, "Replays load patterns through the node's decisions.", argc, argv,
                  &check_only, &err);

  if (settings == NULL)
    {
      fprintf (stderr, "%s", err.text);
      return 2;
    }
  const char *wanted = set_text (settings, "load");
  bool all_loads = strcmp (wanted, "all") == 0;
  if (!all_loads && mdl_load (wanted) == NULL)
    {
      fprintf (stderr, "unknown load pattern '%s'\n", wanted);
      return 2;
    }
  for (const MdlLoad *load = mdl_loads (); !check_only && load->name != NULL; load++)
    if (all_loads || strcmp (load->name, wanted) == 0)
      replay (settings, load);
  set_free (settings);
  return 0;
}
