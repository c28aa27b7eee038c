/* Command-line tool for operators: objects, drains, configuration, plan and request traces. */
#include "cac.h"
#include "cfg.h"
#include "hcl.h"
#include "jsn.h"
#include "pcc.h"
#include "trc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 3000
#define ADDRESSES_MAX 1000
#define PLAN_PATH "system/plan"

/** typedef ExitCode - exit codes of the program, listed by --help */
typedef enum
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2,
  EXIT_CONFLICT = 3,
  EXIT_REFUSED = 4,
  EXIT_UNAVAILABLE = 5,
} ExitCode;

/** struct Ctl - options and connections of one run */
typedef struct
{
  uv_loop_t *loop;
  HclCtx http;
  NetAddr store;
  char *store_option;
  char *output;
  char *file;
  char *team;
  char *account;
  gint64 if_version;
  char *against;
  gboolean in_force;
} Ctl;

typedef ExitCode (*CommandFn) (Ctl *ctl, char **args, int count);

/** struct Command - a subcommand and how many arguments it accepts */
typedef struct
{
  const char *name;
  int min_args;
  int max_args;
  CommandFn run;
  const char *usage;
  const char *help;
} Command;

/* ---- Calls to the object store ---- */

static ExitCode
store_call (Ctl *ctl, const char *method, const char *path, const char *body, char **response)
{
  int status;
  HclOutcome outcome = hcl_fetch_wait (&ctl->http, ctl->store, method, path, body, CALL_TIMEOUT_MS,
                                       &status, response);

  if (outcome == HCL_DONE && status == 200)
    return EXIT_OK;
  if (outcome == HCL_DONE && status == 404)
    {
      fprintf (stderr, "not found\n");
      return EXIT_FAILED;
    }
  if (outcome == HCL_DONE && status == 409)
    {
      fprintf (stderr, "conflict: the object has another version now: %s\n", *response);
      return EXIT_CONFLICT;
    }
  if (outcome == HCL_DONE && status == 400)
    {
      fprintf (stderr, "the platform refused the object\n");
      return EXIT_REFUSED;
    }
  fprintf (stderr, "the platform gave no answer; the change may have taken effect\n");
  return EXIT_UNAVAILABLE;
}

static ExitCode
load_objects (Ctl *ctl, ObjTable *table)
{
  char *response;
  ExitCode code = store_call (ctl, "GET", "/v1/list?prefix=" CFG_PREFIXES, NULL, &response);

  obj_init (table);
  if (code == EXIT_OK)
    {
      JsonNode *root = jsn_parse (response, strlen (response));
      JsonArray *list = root != NULL ? jsn_array (jsn_object (root), "objects") : NULL;
      for (uint32_t i = 0; list != NULL && i < json_array_get_length (list); i++)
        {
          JsonObject *item = json_array_get_object_element (list, i);
          char *value = json_to_string (jsn_member (item, "value"), FALSE);
          obj_apply (table, jsn_text (item, "path", ""), jsn_uint (item, "version", 0), false,
                     value);
          g_free (value);
        }
      if (root != NULL)
        obj_advance (table, jsn_uint (jsn_object (root), "revision", 0));
      g_clear_pointer (&root, json_node_unref);
    }
  g_free (response);
  return code;
}

static char *
read_value (Ctl *ctl)
{
  char *text = NULL;
  gsize size;

  if (ctl->file == NULL)
    fprintf (stderr, "--file is not given; accepted: a file with a JSON object, or '-'\n");
  else if (strcmp (ctl->file, "-") == 0)
    {
      GIOChannel *in = g_io_channel_unix_new (0);
      g_io_channel_read_to_end (in, &text, &size, NULL);
      g_io_channel_unref (in);
    }
  else if (!g_file_get_contents (ctl->file, &text, NULL, NULL))
    fprintf (stderr, "cannot read file '%s'\n", ctl->file);
  return text;
}

static bool
team_owns (const Ctl *ctl, const char *path)
{
  char *prefix;
  bool owns;

  if (ctl->team == NULL)
    return true;
  prefix = g_strdup_printf ("teams/%s/", ctl->team);
  owns = g_str_has_prefix (path, prefix) && strstr (path, "..") == NULL;
  if (!owns)
    fprintf (stderr, "team '%s' may change paths under %s only\n", ctl->team, prefix);
  g_free (prefix);
  return owns;
}

static ExitCode
put_object (Ctl *ctl, const char *path, const char *value, int64_t if_version)
{
  ObjTable table;
  Err err = { 0 };
  char *response = NULL;
  char *url;
  ExitCode code = load_objects (ctl, &table);

  if (code == EXIT_OK && !cfg_check_change (&table, path, value, &err))
    {
      fprintf (stderr, "refused: %s\n", err.text);
      code = EXIT_REFUSED;
    }
  if (code == EXIT_OK)
    {
      const Obj *obj = obj_get (&table, path);
      if (if_version < 0)
        if_version = obj != NULL ? (int64_t) obj->revision : 0;
      url = g_strdup_printf ("/v1/objects/%s?if=%" PRId64, path, if_version);
      code = store_call (ctl, value != NULL ? "PUT" : "DELETE", url, value, &response);
      g_free (url);
    }
  if (code == EXIT_OK)
    printf ("%s\n", response);
  g_free (response);
  obj_clear (&table);
  return code;
}

/* ---- Commands on objects ---- */

static ExitCode
run_get (Ctl *ctl, char **args, int count)
{
  char *url = g_strdup_printf ("/v1/objects/%s", args[0]);
  char *response;
  ExitCode code = store_call (ctl, "GET", url, NULL, &response);
  (void) count;

  if (code == EXIT_OK)
    printf ("%s\n", response);
  g_free (response);
  g_free (url);
  return code;
}

static ExitCode
run_set (Ctl *ctl, char **args, int count)
{
  char *value = team_owns (ctl, args[0]) ? read_value (ctl) : NULL;
  ExitCode code = value != NULL ? put_object (ctl, args[0], value, ctl->if_version) : EXIT_USAGE;
  (void) count;

  g_free (value);
  return code;
}

static ExitCode
run_delete (Ctl *ctl, char **args, int count)
{
  (void) count;
  return team_owns (ctl, args[0]) ? put_object (ctl, args[0], NULL, ctl->if_version) : EXIT_USAGE;
}

static ExitCode
run_apply (Ctl *ctl, char **args, int count)
{
  if (ctl->if_version < 0)
    {
      fprintf (stderr, "--if-version is not given; take it from 'get'\n");
      return EXIT_USAGE;
    }
  return run_set (ctl, args, count);
}

static ExitCode
run_diff (Ctl *ctl, char **args, int count)
{
  ObjTable table;
  Err err = { 0 };
  char *value = read_value (ctl);
  ExitCode code = value != NULL ? load_objects (ctl, &table) : EXIT_USAGE;
  (void) count;

  if (code == EXIT_OK)
    {
      const Obj *obj = obj_get (&table, args[0]);
      JsonNode *node = jsn_parse (value, strlen (value));
      char *new_value = node != NULL ? json_to_string (node, FALSE) : g_strdup ("(not JSON)");
      bool ok = cfg_check_change (&table, args[0], value, &err);
      printf ("path %s\nnow  %s\nnew  %s\n%s%s\n", args[0], obj != NULL ? obj->value : "(none)",
              new_value, ok ? "accepted" : "refused: ", err.text);
      code = ok ? EXIT_OK : EXIT_REFUSED;
      g_clear_pointer (&node, json_node_unref);
      g_free (new_value);
      obj_clear (&table);
    }
  g_free (value);
  return code;
}

static ExitCode
run_list (Ctl *ctl, char **args, int count)
{
  char *url = g_strdup_printf ("/v1/list?prefix=%s", count > 0 ? args[0] : CFG_PREFIXES);
  char *response;
  ExitCode code = store_call (ctl, "GET", url, NULL, &response);
  JsonNode *root = code == EXIT_OK ? jsn_parse (response, strlen (response)) : NULL;
  JsonArray *list = root != NULL ? jsn_array (jsn_object (root), "objects") : NULL;

  for (uint32_t i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *item = json_array_get_object_element (list, i);
      printf ("%" G_GUINT64_FORMAT " %s\n", jsn_uint (item, "version", 0),
              jsn_text (item, "path", ""));
    }
  g_clear_pointer (&root, json_node_unref);
  g_free (response);
  g_free (url);
  return code;
}

/* ---- Drains ---- */

static char *
drain_path (const Ctl *ctl, const char *kind, const char *name)
{
  if (ctl->team != NULL)
    return g_strdup_printf ("teams/%s/drains/%s-%s", ctl->team, kind, name);
  return g_strdup_printf ("platform/drains/%s-%s", kind, name);
}

static ExitCode
run_drain (Ctl *ctl, char **args, int count)
{
  char *path = drain_path (ctl, args[0], args[1]);
  char *value
      = g_strdup_printf ("{\"schema\":1,\"kind\":\"%s\",\"target\":\"%s\"}", args[0], args[1]);
  ExitCode code = put_object (ctl, path, value, -1);
  (void) count;

  g_free (value);
  g_free (path);
  return code;
}

static ExitCode
run_undrain (Ctl *ctl, char **args, int count)
{
  char *path = drain_path (ctl, args[0], args[1]);
  ExitCode code = put_object (ctl, path, NULL, -1);
  (void) count;

  g_free (path);
  return code;
}

/* ---- Configuration and plan in force ---- */

static char *
fetch_dump (Ctl *ctl, NetAddr addr)
{
  char *response;
  int status;

  hcl_fetch_wait (&ctl->http, addr, "GET", "/dump", NULL, CALL_TIMEOUT_MS, &status, &response);
  if (status == 200)
    return response;
  g_free (response);
  return NULL;
}

static void
print_effective (const CfgVm *vm, const char *dump, bool json)
{
  JsonNode *root = dump != NULL ? jsn_parse (dump, strlen (dump)) : NULL;
  JsonObject *object = root != NULL ? jsn_object (root) : NULL;
  const char *state = jsn_text (object, "state", "no_answer");
  uint64_t revision = jsn_uint (object, "config_revision", 0);
  uint64_t age_ms = jsn_uint (object, "config_age_ms", 0);
  uint64_t epoch = jsn_uint (object, "plan_epoch", 0);
  uint64_t budget = jsn_uint (object, "budget", 0);

  if (json)
    printf ("{\"vm\":\"%s\",\"state\":\"%s\",\"config_revision\":%" PRIu64
            ",\"in_force_for_ms\":%" PRIu64 ",\"plan_epoch\":%" PRIu64 ",\"budget\":%" PRIu64 "}\n",
            vm->name, state, revision, age_ms, epoch, budget);
  else
    printf ("%s state=%s config_revision=%" PRIu64 " in_force_for_ms=%" PRIu64
            " plan_epoch=%" PRIu64 " budget=%" PRIu64 "\n",
            vm->name, state, revision, age_ms, epoch, budget);
  g_clear_pointer (&root, json_node_unref);
}

/* Prints the configuration in force at each entry; fails if an entry does not respond. */
static ExitCode
run_effective (Ctl *ctl, char **args, int count)
{
  ObjTable table;
  ExitCode code = load_objects (ctl, &table);
  bool json = strcmp (ctl->output, "json") == 0;
  Cfg *cfg;
  (void) args;
  (void) count;

  if (code != EXIT_OK)
    return code;
  cfg = cfg_build (&table);
  for (uint32_t i = 0; i < cfg->vms->len; i++)
    {
      const CfgVm *vm = &g_array_index (cfg->vms, CfgVm, i);
      char *dump = fetch_dump (ctl, vm->entry_http);
      print_effective (vm, dump, json);
      if (dump == NULL)
        code = EXIT_FAILED;
      g_free (dump);
    }
  for (uint32_t i = 0; i < cfg->errors->len; i++)
    printf ("refused %s\n", (char *) cfg->errors->pdata[i]);
  cfg_free (cfg);
  obj_clear (&table);
  return code;
}

static JsonNode *
load_plan (Ctl *ctl, ExitCode *code)
{
  char *response;
  JsonNode *root = NULL;

  *code = store_call (ctl, "GET", "/v1/objects/" PLAN_PATH, NULL, &response);
  if (*code == EXIT_OK)
    root = jsn_parse (response, strlen (response));
  g_free (response);
  return root;
}

static void
print_traffic_split (JsonObject *service)
{
  JsonObject *groups = jsn_child (service, "groups");
  GList *names = groups != NULL ? json_object_get_members (groups) : NULL;

  for (GList *item = names; item != NULL; item = item->next)
    {
      JsonNode *shares = jsn_member (jsn_child (groups, item->data), "shares");
      char *text = shares != NULL ? json_to_string (shares, FALSE) : g_strdup ("{}");
      printf ("callers near %s go to %s\n", (char *) item->data, text);
      g_free (text);
    }
  g_list_free (names);
}

static ExitCode
run_explain (Ctl *ctl, char **args, int count)
{
  ExitCode code;
  JsonNode *root = load_plan (ctl, &code);
  JsonObject *plan = root != NULL ? jsn_child (jsn_object (root), "value") : NULL;
  JsonObject *service = jsn_child (jsn_child (plan, "services"), args[0]);
  JsonArray *decisions = jsn_array (plan, "decisions");
  char *service_pair = g_strdup_printf ("service=%s ", args[0]);
  (void) count;

  if (code == EXIT_OK && service == NULL)
    {
      fprintf (stderr, "the plan has no service '%s'\n", args[0]);
      code = EXIT_FAILED;
    }
  if (service != NULL)
    {
      printf ("plan epoch %" G_GUINT64_FORMAT " by %s\n", jsn_uint (plan, "epoch", 0),
              jsn_text (plan, "planner", "?"));
      print_traffic_split (service);
      for (uint32_t i = 0; decisions != NULL && i < json_array_get_length (decisions); i++)
        if (strstr (json_array_get_string_element (decisions, i), service_pair) != NULL)
          printf ("%s\n", json_array_get_string_element (decisions, i));
    }
  g_free (service_pair);
  g_clear_pointer (&root, json_node_unref);
  return code;
}

static ExitCode
run_status (Ctl *ctl, char **args, int count)
{
  ExitCode code;
  JsonNode *root = load_plan (ctl, &code);
  JsonObject *plan = root != NULL ? jsn_child (jsn_object (root), "value") : NULL;

  if (plan != NULL)
    printf ("plan epoch %" G_GUINT64_FORMAT " by %s\n", jsn_uint (plan, "epoch", 0),
            jsn_text (plan, "planner", "?"));
  g_clear_pointer (&root, json_node_unref);
  ExitCode effective = run_effective (ctl, args, count);
  return code != EXIT_OK ? code : effective;
}

static ExitCode
run_history (Ctl *ctl, char **args, int count)
{
  ExitCode code;
  JsonNode *root = load_plan (ctl, &code);
  JsonArray *decisions
      = root != NULL ? jsn_array (jsn_child (jsn_object (root), "value"), "decisions") : NULL;
  (void) args;
  (void) count;

  for (uint32_t i = 0; decisions != NULL && i < json_array_get_length (decisions); i++)
    printf ("%s\n", json_array_get_string_element (decisions, i));
  g_clear_pointer (&root, json_node_unref);
  return code;
}

static ExitCode
run_dump (Ctl *ctl, char **args, int count)
{
  NetAddr addr;
  char *dump;
  (void) count;

  if (!net_addr_parse (args[0], &addr))
    {
      fprintf (stderr, "'%s' is not an address; accepted: a.b.c.d:port\n", args[0]);
      return EXIT_USAGE;
    }
  dump = fetch_dump (ctl, addr);
  if (dump == NULL)
    {
      fprintf (stderr, "no answer from %s\n", args[0]);
      return EXIT_UNAVAILABLE;
    }
  printf ("%s\n", dump);
  g_free (dump);
  return EXIT_OK;
}

/* ---- Traces ---- */

static ExitCode
run_trace (Ctl *ctl, char **args, int count)
{
  FILE *log = ctl->file != NULL && strcmp (ctl->file, "-") != 0 ? fopen (ctl->file, "r") : stdin;
  Trc trace;
  (void) count;

  if (log == NULL)
    {
      fprintf (stderr, "%s cannot be read\n", ctl->file);
      return EXIT_FAILED;
    }
  trc_init (&trace, args[0]);
  trc_read (&trace, log);
  trc_print (&trace, stdout);
  trc_clear (&trace);
  if (log != stdin)
    fclose (log);
  return EXIT_OK;
}

/* ---- Accounts ---- */

static ExitCode
run_accounts (Ctl *ctl, char **args, int count)
{
  CacQuery query = { .addresses = args,
                     .count = count,
                     .account = ctl->account,
                     .json = strcmp (ctl->output, "json") == 0 };

  return (ExitCode) cac_run (&ctl->http, &query);
}

/* ---- Check of a configuration of the node ---- */

static ExitCode
run_check (Ctl *ctl, char **args, int count)
{
  static const ExitCode codes[] = { [PCC_OK] = EXIT_OK,
                                    [PCC_ERRORS] = EXIT_FAILED,
                                    [PCC_UNREADABLE] = EXIT_USAGE,
                                    [PCC_NO_ANSWER] = EXIT_UNAVAILABLE };
  PccRequest request = { .file = args[0],
                         .against = ctl->against,
                         .store = ctl->in_force ? &ctl->store : NULL,
                         .as_json = strcmp (ctl->output, "json") == 0 };
  (void) count;

  if (ctl->against != NULL && ctl->in_force)
    {
      fprintf (stderr, "--against and --in-force exclude each other\n");
      return EXIT_USAGE;
    }
  return codes[pcc_check (&ctl->http, &request)];
}

/* ---- Command line ---- */

static const Command commands[] = {
  { "get", 1, 1, run_get, "get PATH", "print an object with its version" },
  { "list", 0, 1, run_list, "list [PREFIX]", "print versions and paths" },
  { "set", 1, 1, run_set, "set PATH --file=FILE", "check and write an object" },
  { "apply", 1, 1, run_apply, "apply PATH --file=FILE --if-version=N",
    "write an object if it still has version N" },
  { "delete", 1, 1, run_delete, "delete PATH", "remove an object" },
  { "diff", 1, 1, run_diff, "diff PATH --file=FILE", "show what a change would do" },
  { "drain", 2, 2, run_drain, "drain vm|zone|region NAME", "move traffic away under the caps" },
  { "undrain", 2, 2, run_undrain, "undrain vm|zone|region NAME", "abort or undo a drain" },
  { "effective", 0, 0, run_effective, "effective", "ask every entry what is in force" },
  { "explain", 1, 1, run_explain, "explain SERVICE", "why traffic goes where it goes" },
  { "history", 0, 0, run_history, "history", "latest steering decisions" },
  { "status", 0, 0, run_status, "status", "plan, entries and refused objects" },
  { "dump", 1, 1, run_dump, "dump ADDRESS", "state of one process" },
  { "accounts", 0, ADDRESSES_MAX, run_accounts, "accounts [ADDRESS...] [--account=NAME]",
    "quotas and use of accounts on nodes" },
  { "trace", 1, 1, run_trace, "trace ID [--file=LOG]", "a request's log lines and its cause" },
  { "check", 1, 1, run_check, "check FILE [--against=FILE|--in-force]",
    "check a configuration of the node" },
};

static char *
summary_text (void)
{
  GString *text = g_string_new ("Commands:\n");

  for (uint32_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %-40s %s\n", commands[i].usage, commands[i].help);
  g_string_append (text, "\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 version conflict, "
                         "4 refused by the checks, 5 no answer");
  return g_string_free (text, FALSE);
}

static ExitCode
run_command (Ctl *ctl, char **argv, int argc)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (commands[i].name, argv[1]) != 0)
        continue;
      if (argc - 2 >= commands[i].min_args && argc - 2 <= commands[i].max_args)
        return commands[i].run (ctl, argv + 2, argc - 2);
      fprintf (stderr, "usage: cardamomctl %s\n", commands[i].usage);
      return EXIT_USAGE;
    }
  fprintf (stderr, "unknown command '%s'; see cardamomctl --help\n", argv[1]);
  return EXIT_USAGE;
}

static bool
needs_store (const Ctl *ctl, const char *command)
{
  if (strcmp (command, "check") == 0)
    return ctl->in_force;
  return strcmp (command, "trace") != 0 && strcmp (command, "accounts") != 0;
}

static bool
check_options (Ctl *ctl, const char *command)
{
  const char *store = ctl->store_option != NULL ? ctl->store_option : g_getenv ("CARDAMOM_STORE");

  if (ctl->output == NULL)
    ctl->output = g_strdup ("text");
  if (strcmp (ctl->output, "text") != 0 && strcmp (ctl->output, "json") != 0)
    {
      fprintf (stderr, "--output is '%s'; accepted: text|json\n", ctl->output);
      return false;
    }
  if (needs_store (ctl, command) && (store == NULL || !net_addr_parse (store, &ctl->store)))
    {
      fprintf (stderr, "--store (CARDAMOM_STORE) is '%s'; accepted: a.b.c.d:port\n",
               store != NULL ? store : "not given");
      return false;
    }
  return true;
}

/* Removes the options from @argv, which then holds the command and its arguments. */
static bool
parse_options (Ctl *ctl, int *argc, char ***argv)
{
  const GOptionEntry options[] = {
    { "store", 's', 0, G_OPTION_ARG_STRING, &ctl->store_option, "address of the platform", "ADDR" },
    { "output", 'o', 0, G_OPTION_ARG_STRING, &ctl->output, "text or json", "FORM" },
    { "file", 'f', 0, G_OPTION_ARG_STRING, &ctl->file, "JSON object to write, '-' for input",
      "FILE" },
    { "team", 't', 0, G_OPTION_ARG_STRING, &ctl->team, "change this team's subtree only", "TEAM" },
    { "account", 0, 0, G_OPTION_ARG_STRING, &ctl->account, "this account alone", "NAME" },
    { "if-version", 0, 0, G_OPTION_ARG_INT64, &ctl->if_version, "version that must be in place",
      "N" },
    { "against", 0, 0, G_OPTION_ARG_STRING, &ctl->against, "configuration to compare with",
      "FILE" },
    { "in-force", 0, 0, G_OPTION_ARG_NONE, &ctl->in_force,
      "compare with the newest configuration in the store", NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("COMMAND [ARGUMENT...]");
  char *summary = summary_text ();

  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, options, NULL);
  bool ok = g_option_context_parse (context, argc, argv, &error);
  if (!ok)
    fprintf (stderr, "%s\n", error->message);
  else if (*argc < 2)
    fprintf (stderr, "%s\n", summary);
  g_clear_error (&error);
  g_free (summary);
  g_option_context_free (context);
  return ok && *argc >= 2;
}

static void
clear_options (Ctl *ctl)
{
  g_free (ctl->store_option);
  g_free (ctl->output);
  g_free (ctl->file);
  g_free (ctl->team);
  g_free (ctl->account);
  g_free (ctl->against);
}

int
main (int argc, char **argv)
{
  Ctl ctl = { .if_version = -1 };
  ExitCode code = EXIT_USAGE;

  if (parse_options (&ctl, &argc, &argv) && check_options (&ctl, argv[1]))
    {
      ctl.loop = uv_default_loop ();
      hcl_ctx_init (&ctl.http, ctl.loop);
      code = run_command (&ctl, argv, argc);
    }
  clear_options (&ctl);
  return (int) code;
}
