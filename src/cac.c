/* Accounts on nodes: reads the nodes' state dumps, and prints quotas and use of accounts. */
#include "cac.h"

#include "jsn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 3000
#define STATUS_OK 200

/**
 * struct Row - an account on a node
 * @has_quota: the fields that follow it are set
 */
typedef struct
{
  char *account;
  char *node;
  uint64_t requests;
  uint64_t over_quota;
  bool has_quota;
  uint64_t rate_mps;
  uint64_t burst;
  uint64_t window_ms;
  uint64_t admitted;
  double level;
} Row;

/** struct Report - responses of all nodes; @unresponsive: addresses without one */
typedef struct
{
  GPtrArray *rows;
  GPtrArray *unresponsive;
} Report;

/* ---- State dumps ---- */

static void
row_free (gpointer data)
{
  Row *row = data;

  g_free (row->account);
  g_free (row->node);
  g_free (row);
}

/* Value of a name in a line of name=value pairs, as a new string, or NULL. */
static char *
find_value (const char *line, const char *name)
{
  size_t size = strlen (name);

  for (const char *at = line; at != NULL; at = strchr (at, ' '))
    {
      at += *at == ' ' ? 1 : 0;
      if (strncmp (at, name, size) == 0 && at[size] == '=')
        return g_strndup (at + size + 1, strcspn (at + size + 1, " "));
    }
  return NULL;
}

static uint64_t
find_number (const char *line, const char *name)
{
  char *value = find_value (line, name);
  uint64_t number = value != NULL ? strtoull (value, NULL, 10) : 0;

  g_free (value);
  return number;
}

static Row *
add_row (Report *report, const char *node, const char *line)
{
  Row *row = g_new0 (Row, 1);

  row->account = find_value (line, "account");
  row->node = g_strdup (node);
  row->requests = find_number (line, "requests");
  row->over_quota = find_number (line, "over_quota");
  g_ptr_array_add (report->rows, row);
  return row;
}

static void
set_quota (Row *row, const char *line)
{
  char *level = find_value (line, "level");

  row->has_quota = true;
  row->rate_mps = find_number (line, "rate_mps");
  row->burst = find_number (line, "burst");
  row->window_ms = find_number (line, "window_ms");
  row->admitted = find_number (line, "admitted");
  row->level = level != NULL ? g_ascii_strtod (level, NULL) : 0;
  g_free (level);
}

/* Return: false when the text is no state dump. */
static bool
read_dump (Report *report, const char *text)
{
  char *node = find_value (text, "node");
  char **lines = g_strsplit (text, "\n", -1);
  Row *row = NULL;
  bool ok = g_str_has_prefix (text, "node=");

  for (char **line = lines; ok && *line != NULL; line++)
    if (g_str_has_prefix (*line, "account="))
      row = add_row (report, node, *line);
    else if (row != NULL && g_str_has_prefix (*line, "account_quota="))
      set_quota (row, *line);
  g_strfreev (lines);
  g_free (node);
  return ok;
}

static void
query_node (HclCtx *http, const CacQuery *query, const char *address, Report *report)
{
  char *name = query->account != NULL ? g_uri_escape_string (query->account, NULL, FALSE) : NULL;
  char *path = name != NULL ? g_strdup_printf ("/state?account=%s", name) : g_strdup ("/state");
  char *response = NULL;
  int status = 0;
  NetAddr addr;

  net_addr_parse (address, &addr);
  HclOutcome outcome
      = hcl_fetch_wait (http, addr, "GET", path, NULL, CALL_TIMEOUT_MS, &status, &response);
  if (outcome != HCL_DONE || status != STATUS_OK || !read_dump (report, response))
    g_ptr_array_add (report->unresponsive, g_strdup (address));
  g_free (response);
  g_free (path);
  g_free (name);
}

/* ---- Output ---- */

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  const Row *x = *(Row *const *) a;
  const Row *y = *(Row *const *) b;
  int order = strcmp (x->account, y->account);

  return order != 0 ? order : strcmp (x->node, y->node);
}

static void
print_row (const Row *row)
{
  printf ("account=%s node=%s requests=%" G_GUINT64_FORMAT " over_quota=%" G_GUINT64_FORMAT,
          row->account, row->node, row->requests, row->over_quota);
  if (row->has_quota)
    printf (" rate_per_s=%.3f burst=%" G_GUINT64_FORMAT " window_ms=%" G_GUINT64_FORMAT
            " admitted=%" G_GUINT64_FORMAT " level=%.1f\n",
            (double) row->rate_mps / 1000, row->burst, row->window_ms, row->admitted, row->level);
  else
    printf (" rate_per_s=unlimited\n");
}

static void
print_json_row (const Row *row)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "account", row->account);
  json_object_set_string_member (object, "node", row->node);
  json_object_set_int_member (object, "requests", (gint64) row->requests);
  json_object_set_int_member (object, "over_quota", (gint64) row->over_quota);
  if (row->has_quota)
    {
      json_object_set_double_member (object, "rate_per_s", (double) row->rate_mps / 1000);
      json_object_set_int_member (object, "burst", (gint64) row->burst);
      json_object_set_int_member (object, "window_ms", (gint64) row->window_ms);
      json_object_set_int_member (object, "admitted", (gint64) row->admitted);
      json_object_set_double_member (object, "level", row->level);
    }
  char *text = jsn_free_to_text (object, false);
  printf ("%s\n", text);
  g_free (text);
}

static void
print_report (const Report *report, const CacQuery *query)
{
  for (guint i = 0; i < report->rows->len; i++)
    if (query->json)
      print_json_row (g_ptr_array_index (report->rows, i));
    else
      print_row (g_ptr_array_index (report->rows, i));
  for (guint i = 0; i < report->unresponsive->len; i++)
    printf (query->json ? "{\"address\":\"%s\",\"state\":\"no_answer\"}\n"
                        : "address=%s state=no_answer\n",
            (const char *) g_ptr_array_index (report->unresponsive, i));
  if (query->account != NULL && report->rows->len == 0)
    fprintf (stderr, "no node that responded has an account '%s'\n", query->account);
}

/* ---- Query ---- */

static bool
check_addresses (char **addresses)
{
  NetAddr addr;

  for (char **address = addresses; *address != NULL; address++)
    if (!net_addr_parse (*address, &addr))
      {
        fprintf (stderr, "'%s' is not an address; accepted: a.b.c.d:port\n", *address);
        return false;
      }
  if (addresses[0] == NULL)
    fprintf (stderr, "no address of a node's metrics is given, nor in " CAC_NODES_VARIABLE "\n");
  return addresses[0] != NULL;
}

/* The addresses given, or those of the environment, as a new list. */
static char **
list_addresses (const CacQuery *query)
{
  GPtrArray *list = g_ptr_array_new ();
  const char *variable = query->count == 0 ? g_getenv (CAC_NODES_VARIABLE) : NULL;
  char **words = g_strsplit_set (variable != NULL ? variable : "", " \t\n,", -1);

  for (int i = 0; i < query->count; i++)
    g_ptr_array_add (list, g_strdup (query->addresses[i]));
  for (char **word = words; *word != NULL; word++)
    if (**word != '\0')
      g_ptr_array_add (list, g_strdup (*word));
  g_strfreev (words);
  g_ptr_array_add (list, NULL);
  return (char **) g_ptr_array_free (list, FALSE);
}

int
cac_run (HclCtx *http, const CacQuery *query)
{
  Report report = { .rows = g_ptr_array_new_with_free_func (row_free),
                    .unresponsive = g_ptr_array_new_with_free_func (g_free) };
  char **addresses = list_addresses (query);
  int code = 2;

  if (check_addresses (addresses))
    {
      for (char **address = addresses; *address != NULL; address++)
        query_node (http, query, *address, &report);
      g_ptr_array_sort (report.rows, compare_rows);
      print_report (&report, query);
      code = report.unresponsive->len > 0 ? 1 : 0;
    }
  g_strfreev (addresses);
  g_ptr_array_unref (report.rows);
  g_ptr_array_unref (report.unresponsive);
  return code;
}
