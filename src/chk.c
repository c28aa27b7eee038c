/* Check of a configuration: routes that never match, limits that contradict each other, and the
 * differences from another version. Pure: no I/O, no clock. */
#include "chk.h"

#include "jsn.h"

#include <string.h>

#define HOST_CHARACTERS "-._"

/* ---- Report ---- */

static const char *const level_names[CHK_LEVELS] = { "error", "warning", "change" };
static const char *const list_names[CHK_LEVELS] = { "errors", "warnings", "changes" };

static void
finding_free (gpointer data)
{
  ChkFinding *finding = data;

  g_free (finding->path);
  g_free (finding->text);
  g_free (finding);
}

void
chk_init (ChkReport *report)
{
  *report = (ChkReport){ .findings = g_ptr_array_new_with_free_func (finding_free) };
}

void
chk_clear (ChkReport *report)
{
  g_ptr_array_unref (report->findings);
}

static char *
replace_control_characters (char *text)
{
  for (char *at = text; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at))
      *at = '?';
  return text;
}

void
chk_add (ChkReport *report, ChkLevel level, const char *path, uint32_t line, const char *format,
         ...)
{
  ChkFinding *finding = g_new (ChkFinding, 1);
  va_list args;

  va_start (args, format);
  *finding = (ChkFinding){ .level = level,
                           .path = replace_control_characters (g_strdup (path)),
                           .line = line,
                           .text = replace_control_characters (g_strdup_vprintf (format, args)) };
  va_end (args);
  g_ptr_array_add (report->findings, finding);
  report->counts[level]++;
}

static bool
is_plain_name (const char *name)
{
  for (const char *at = name; *at != '\0'; at++)
    if (!g_ascii_isalnum (*at) && *at != '-' && *at != '_')
      return false;
  return *name != '\0';
}

char *
chk_path (const char *parent, const char *name)
{
  if (!is_plain_name (name))
    return g_strdup_printf ("%s[\"%s\"]", parent, name);
  return g_strdup_printf ("%s%s%s", parent, *parent != '\0' ? "." : "", name);
}

/* Path of the member @field of the entry @name in the table @table; @field may be NULL. */
static char *
entry_path (const char *table, const char *name, const char *field)
{
  char *entry = chk_path (table, name);
  char *path = field != NULL ? chk_path (entry, field) : g_strdup (entry);

  g_free (entry);
  return path;
}

static void
warn_entry (ChkReport *report, const char *table, const char *name, const char *field,
            const char *text)
{
  char *path = entry_path (table, name, field);

  chk_add (report, CHK_WARNING, path, 0, "%s", text);
  g_free (path);
}

/* ---- Entries that never match ---- */

/* Why no request has this host; NULL when one may have it. */
static const char *
host_fault (const char *host)
{
  if (*host == '\0')
    return "never matches: the host is empty";
  if (strchr (host, ':') != NULL)
    return "never matches: requests are compared without the port, so the host must have none";
  for (const char *at = host; *at != '\0'; at++)
    if (!g_ascii_isalnum (*at) && strchr (HOST_CHARACTERS, *at) == NULL)
      return "never matches: no request has this host, and patterns are not supported";
  return NULL;
}

static const char *
prefix_fault (const char *prefix)
{
  if (*prefix != '\0' && *prefix != '/')
    return "never matches: the path of a request begins with a slash";
  for (const char *at = prefix; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at) || *at == ' ' || *at == '#')
      return "never matches: no request has such characters in its path";
  return NULL;
}

/* Routes with longer prefixes take requests of a route with a shorter one, but never all of them;
 * so a route is shadowed only by one with the same host and prefix. */
static void
check_shadowed (ChkReport *report, const RteTable *table, const RteRoute *route,
                const ChkNames *names)
{
  const RteRoute *found
      = rte_match (table, route->host, strlen (route->host), route->prefix, strlen (route->prefix));
  if (found == NULL || found == route)
    return;
  char *path = entry_path (names->routes, route->name, NULL);
  chk_add (report, CHK_WARNING, path, 0,
           "never matches: route %s has the same host and prefix and gets the requests",
           found->name);
  g_free (path);
}

static void
check_match (ChkReport *report, const RteTable *table, const RteRoute *route, const ChkNames *names)
{
  const char *fault = host_fault (route->host);

  if (fault != NULL)
    {
      warn_entry (report, names->routes, route->name, names->host, fault);
      return;
    }
  fault = prefix_fault (route->prefix);
  if (fault != NULL)
    warn_entry (report, names->routes, route->name, names->prefix, fault);
  else
    check_shadowed (report, table, route, names);
}

/* ---- Contradictions ---- */

static void
check_destinations (ChkReport *report, const RteTable *table, const RteRoute *route,
                    const ChkNames *names)
{
  for (guint i = 0; i < route->destinations->len; i++)
    {
      const char *service = g_array_index (route->destinations, RteDestination, i).service;
      if (rte_find_service (table, service) != NULL)
        continue;
      char *path = entry_path (names->routes, route->name, names->service);
      chk_add (report, CHK_WARNING, path, 0, "service %s is not among the services", service);
      g_free (path);
    }
}

static void
check_route (ChkReport *report, const RteTable *table, const RteRoute *route, const ChkNames *names)
{
  check_match (report, table, route, names);
  check_destinations (report, table, route, names);
  if (route->objective_ms <= route->timeout_ms)
    return;
  char *path = entry_path (names->routes, route->name, names->objective);
  chk_add (report, CHK_WARNING, path, 0, "the objective, %u ms, is above the timeout, %u ms",
           route->objective_ms, route->timeout_ms);
  g_free (path);
}

static bool
has_destination (const RteRoute *route, const char *service)
{
  for (guint i = 0; i < route->destinations->len; i++)
    if (strcmp (g_array_index (route->destinations, RteDestination, i).service, service) == 0)
      return true;
  return false;
}

static void
check_service (ChkReport *report, const RteTable *table, const char *service, const ChkNames *names)
{
  for (guint i = 0; i < table->routes->len; i++)
    if (has_destination (g_ptr_array_index (table->routes, i), service))
      return;
  warn_entry (report, names->services, service, NULL, "no route leads to this service");
}

static bool
have_common_region (char **a, char **b)
{
  if (a == NULL || b == NULL || a[0] == NULL || b[0] == NULL)
    return true;
  for (char **name = a; *name != NULL; name++)
    if (g_strv_contains ((const gchar *const *) b, *name))
      return true;
  return false;
}

/* One finding for each account: it may concern many routes. */
static void
check_account_regions (ChkReport *report, const RteTable *table, const AccAccount *account,
                       const ChkNames *names)
{
  const RteRoute *first = NULL;
  uint32_t count = 0;

  for (guint i = 0; i < table->routes->len; i++)
    {
      const RteRoute *route = g_ptr_array_index (table->routes, i);
      if (have_common_region (account->regions, route->regions))
        continue;
      count++;
      if (first == NULL || strcmp (route->name, first->name) < 0)
        first = route;
    }
  if (first == NULL)
    return;
  char *path = entry_path (names->accounts, account->name, names->regions);
  chk_add (report, CHK_WARNING, path, 0,
           "no region in common with %u of the routes, such as route %s: its requests get 503",
           count, first->name);
  g_free (path);
}

/* Number of keys by AccAccount. */
static GHashTable *
count_keys (const AccTable *accounts)
{
  GHashTable *counts = g_hash_table_new (g_direct_hash, g_direct_equal);
  AccKeyIter iter = { 0 };
  const AccKey *key;

  while ((key = acc_next_key (accounts, &iter)) != NULL)
    {
      uint32_t count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, key->account));
      g_hash_table_insert (counts, key->account, GUINT_TO_POINTER (count + 1));
    }
  return counts;
}

static void
check_accounts (ChkReport *report, const RteTable *table, const ChkNames *names)
{
  GHashTable *keys = count_keys (table->accounts);

  for (guint i = 0; i < table->accounts->accounts->len; i++)
    {
      const AccAccount *account = g_ptr_array_index (table->accounts->accounts, i);
      check_account_regions (report, table, account, names);
      if (!g_hash_table_contains (keys, account))
        warn_entry (report, names->accounts, account->name, names->keys,
                    "without a key, no request belongs to this account");
    }
  g_hash_table_unref (keys);
}

void
chk_table (ChkReport *report, const RteTable *table, const ChkNames *names)
{
  for (guint i = 0; i < table->routes->len; i++)
    check_route (report, table, g_ptr_array_index (table->routes, i), names);
  for (guint i = 0; i < table->services->len; i++)
    check_service (report, table, ((RteService *) g_ptr_array_index (table->services, i))->name,
                   names);
  if (table->accounts != NULL)
    check_accounts (report, table, names);
}

/* ---- Differences ---- */

/**
 * struct Property - a value of an entry, in an operator's terms
 * @unit: follows the value, "" for none
 * @format: the value as a new string
 */
typedef struct
{
  const char *name;
  const char *unit;
  char *(*format) (const void *entry);
} Property;

/* Commas separate groups of three digits. */
static char *
format_count (uint64_t number)
{
  GString *out = g_string_new (NULL);

  g_string_printf (out, "%" G_GUINT64_FORMAT, number);
  for (gssize at = (gssize) out->len - 3; at > 0; at -= 3)
    g_string_insert_c (out, at, ',');
  return g_string_free (out, FALSE);
}

static char *
format_fraction (double number)
{
  return g_strdup_printf ("%.12g", number);
}

static char *
format_switch (bool on)
{
  return g_strdup (on ? "on" : "off");
}

static char *
format_regions (char **regions)
{
  return regions != NULL && regions[0] != NULL ? g_strjoinv (",", regions) : g_strdup ("all");
}

static char *
format_host (const void *entry)
{
  return g_strdup (((const RteRoute *) entry)->host);
}

static char *
format_prefix (const void *entry)
{
  return g_strdup (((const RteRoute *) entry)->prefix);
}

static char *
format_kind (const void *entry)
{
  static const char *const names[] = { [RTE_NON_IDEMPOTENT] = "non-idempotent",
                                       [RTE_IDEMPOTENT] = "idempotent",
                                       [RTE_DOWNLOAD] = "download",
                                       [RTE_UPLOAD] = "upload" };

  return g_strdup (names[((const RteRoute *) entry)->kind]);
}

static char *
format_timeout (const void *entry)
{
  return format_count (((const RteRoute *) entry)->timeout_ms);
}

static char *
format_objective (const void *entry)
{
  return format_count (((const RteRoute *) entry)->objective_ms);
}

static char *
format_attempts (const void *entry)
{
  return format_count (((const RteRoute *) entry)->attempts);
}

static char *
format_route_priority (const void *entry)
{
  return format_count (((const RteRoute *) entry)->priority);
}

static char *
format_sticky (const void *entry)
{
  return format_switch (((const RteRoute *) entry)->sticky);
}

static char *
format_public (const void *entry)
{
  return format_switch (((const RteRoute *) entry)->is_public);
}

static char *
format_route_regions (const void *entry)
{
  return format_regions (((const RteRoute *) entry)->regions);
}

static char *
format_destinations (const void *entry)
{
  const RteRoute *route = entry;
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < route->destinations->len; i++)
    {
      const RteDestination *destination = &g_array_index (route->destinations, RteDestination, i);
      g_string_append_printf (out, "%s%s", i > 0 ? "," : "", destination->service);
      if (route->destinations->len > 1)
        g_string_append_printf (out, "=%u", destination->weight);
    }
  return g_string_free (out, FALSE);
}

static const Property route_properties[] = {
  { "host", "", format_host },
  { "prefix", "", format_prefix },
  { "kind", "", format_kind },
  { "timeout", " ms", format_timeout },
  { "objective", " ms", format_objective },
  { "attempts", "", format_attempts },
  { "priority", "", format_route_priority },
  { "sticky", "", format_sticky },
  { "public", "", format_public },
  { "regions", "", format_route_regions },
  { "services", "", format_destinations },
};

static char *
format_cold_rate (const void *entry)
{
  double rate_per_s = ((const RteService *) entry)->cold_per_s;

  return rate_per_s > 0 ? format_fraction (rate_per_s) : g_strdup ("unlimited");
}

static const Property service_properties[] = {
  { "rate of a cold upstream", " requests/s", format_cold_rate },
};

static char *
format_account_priority (const void *entry)
{
  const AccAccount *account = entry;

  return account->has_priority ? format_count (account->priority) : g_strdup ("that of the route");
}

static char *
format_rate (const void *entry)
{
  uint64_t rate_mps = ((const AccAccount *) entry)->rate_mps;

  return rate_mps > 0 ? format_fraction ((double) rate_mps / 1000) : g_strdup ("unlimited");
}

static char *
format_burst (const void *entry)
{
  return format_count (((const AccAccount *) entry)->burst);
}

static char *
format_account_regions (const void *entry)
{
  return format_regions (((const AccAccount *) entry)->regions);
}

static const Property account_properties[] = {
  { "priority", "", format_account_priority },
  { "rate", " requests/s", format_rate },
  { "burst", " requests", format_burst },
  { "regions", "", format_account_regions },
};

static char *
format_body_limit (const void *entry)
{
  return format_count (((const RteTable *) entry)->body_max_bytes);
}

static char *
format_idle_timeout (const void *entry)
{
  return format_count (((const RteTable *) entry)->idle_timeout_ms);
}

static const Property limit_properties[] = {
  { "request body", " bytes", format_body_limit },
  { "timeout of idle callers", " ms", format_idle_timeout },
};

static void
compare_properties (ChkReport *report, const char *label, const Property *properties, size_t count,
                    const void *before, const void *after)
{
  for (size_t i = 0; i < count; i++)
    {
      char *old_value = properties[i].format (before);
      char *new_value = properties[i].format (after);
      if (strcmp (old_value, new_value) != 0)
        chk_add (report, CHK_CHANGE, "", 0, "%s: %s %s to %s%s", label, properties[i].name,
                 old_value, new_value, properties[i].unit);
      g_free (old_value);
      g_free (new_value);
    }
}

/** struct Entries - the entries of a kind in one version, by name; @names: of both versions */
typedef struct
{
  GHashTable *before;
  GHashTable *after;
  GPtrArray *names;
} Entries;

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static GHashTable *
index_entries (const GPtrArray *entries, const char *(*name_of) (const void *), GPtrArray *names,
               GHashTable *others)
{
  GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; entries != NULL && i < entries->len; i++)
    {
      void *entry = g_ptr_array_index (entries, i);
      char *name = (char *) name_of (entry);
      if (!g_hash_table_contains (index, name)
          && (others == NULL || !g_hash_table_contains (others, name)))
        g_ptr_array_add (names, name);
      g_hash_table_insert (index, name, entry);
    }
  return index;
}

static Entries
entries_new (const GPtrArray *before, const GPtrArray *after,
             const char *(*name_of) (const void *) )
{
  Entries entries = { .names = g_ptr_array_new () };

  entries.before = index_entries (before, name_of, entries.names, NULL);
  entries.after = index_entries (after, name_of, entries.names, entries.before);
  g_ptr_array_sort (entries.names, compare_names);
  return entries;
}

static void
entries_clear (Entries *entries)
{
  g_hash_table_unref (entries->before);
  g_hash_table_unref (entries->after);
  g_ptr_array_unref (entries->names);
}

static void
compare_entries (ChkReport *report, const char *kind, const Entries *entries,
                 const Property *properties, size_t count)
{
  for (guint i = 0; i < entries->names->len; i++)
    {
      const char *name = g_ptr_array_index (entries->names, i);
      const void *before = g_hash_table_lookup (entries->before, name);
      const void *after = g_hash_table_lookup (entries->after, name);
      char *label = g_strdup_printf ("%s %s", kind, name);
      if (before == NULL || after == NULL)
        chk_add (report, CHK_CHANGE, "", 0, "%s: %s", label, before == NULL ? "added" : "removed");
      else
        compare_properties (report, label, properties, count, before, after);
      g_free (label);
    }
}

static const char *
route_name (const void *entry)
{
  return ((const RteRoute *) entry)->name;
}

static const char *
service_name (const void *entry)
{
  return ((const RteService *) entry)->name;
}

static const char *
account_name (const void *entry)
{
  return ((const AccAccount *) entry)->name;
}

/* Number of keys of each account, by name, that the same account doesn't have in @other. */
static GHashTable *
count_missing_keys (const AccTable *accounts, const AccTable *other)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  AccKeyIter iter = { 0 };
  const AccKey *key;

  if (accounts == NULL)
    return counts;
  while ((key = acc_next_key (accounts, &iter)) != NULL)
    {
      const AccAccount *account = key->account;
      const AccAccount *holder = other != NULL ? acc_find (other, &key->digest) : NULL;
      if (holder != NULL && strcmp (holder->name, account->name) == 0)
        continue;
      uint32_t count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, account->name));
      g_hash_table_insert (counts, account->name, GUINT_TO_POINTER (count + 1));
    }
  return counts;
}

static void
compare_keys (ChkReport *report, const AccTable *before, const AccTable *after,
              const GPtrArray *names)
{
  GHashTable *added = count_missing_keys (after, before);
  GHashTable *removed = count_missing_keys (before, after);

  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      uint32_t added_count = GPOINTER_TO_UINT (g_hash_table_lookup (added, name));
      uint32_t removed_count = GPOINTER_TO_UINT (g_hash_table_lookup (removed, name));
      if (added_count > 0 || removed_count > 0)
        chk_add (report, CHK_CHANGE, "", 0, "account %s: keys added %u, removed %u", name,
                 added_count, removed_count);
    }
  g_hash_table_unref (added);
  g_hash_table_unref (removed);
}

static void
compare_accounts (ChkReport *report, const AccTable *before, const AccTable *after)
{
  Entries entries = entries_new (before != NULL ? before->accounts : NULL,
                                 after != NULL ? after->accounts : NULL, account_name);

  if ((before == NULL) != (after == NULL))
    chk_add (report, CHK_CHANGE, "", 0, "requests: API keys are %s",
             after != NULL ? "required, except on public routes" : "not required any more");
  compare_entries (report, "account", &entries, account_properties,
                   G_N_ELEMENTS (account_properties));
  compare_keys (report, before, after, entries.names);
  entries_clear (&entries);
}

static void
compare_versions (ChkReport *report, const RteTable *before, const RteTable *after,
                  const ChkNames *names)
{
  if (after->version == before->version)
    chk_add (report, CHK_WARNING, names->version, 0,
             "r%" G_GUINT64_FORMAT " is the version compared with: nodes that have it keep theirs",
             after->version);
  else if (after->version < before->version)
    chk_add (report, CHK_WARNING, names->version, 0,
             "r%" G_GUINT64_FORMAT " is below r%" G_GUINT64_FORMAT ": nodes keep the latter",
             after->version, before->version);
  else
    chk_add (report, CHK_CHANGE, "", 0, "version r%" G_GUINT64_FORMAT " to r%" G_GUINT64_FORMAT,
             before->version, after->version);
}

void
chk_compare (ChkReport *report, const RteTable *before, const RteTable *after,
             const ChkNames *names)
{
  Entries routes = entries_new (before->routes, after->routes, route_name);
  Entries services = entries_new (before->services, after->services, service_name);

  compare_versions (report, before, after, names);
  compare_entries (report, "route", &routes, route_properties, G_N_ELEMENTS (route_properties));
  compare_entries (report, "service", &services, service_properties,
                   G_N_ELEMENTS (service_properties));
  compare_properties (report, "limits", limit_properties, G_N_ELEMENTS (limit_properties), before,
                      after);
  compare_accounts (report, before->accounts, after->accounts);
  entries_clear (&routes);
  entries_clear (&services);
}

/* ---- Output ---- */

char *
chk_format_text (const ChkReport *report)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < report->findings->len; i++)
    {
      const ChkFinding *finding = g_ptr_array_index (report->findings, i);
      g_string_append (out, level_names[finding->level]);
      if (*finding->path != '\0')
        g_string_append_printf (out, " %s", finding->path);
      if (finding->line > 0)
        g_string_append_printf (out, " line %u", finding->line);
      g_string_append_printf (out, ": %s\n", finding->text);
    }
  g_string_append_printf (out, "errors=%u warnings=%u changes=%u\n", report->counts[CHK_ERROR],
                          report->counts[CHK_WARNING], report->counts[CHK_CHANGE]);
  return g_string_free (out, FALSE);
}

static JsonObject *
finding_to_json (const ChkFinding *finding)
{
  JsonObject *object = json_object_new ();

  if (*finding->path != '\0')
    json_object_set_string_member (object, "path", finding->path);
  if (finding->line > 0)
    json_object_set_int_member (object, "line", finding->line);
  json_object_set_string_member (object, "text", finding->text);
  return object;
}

char *
chk_format_json (const ChkReport *report)
{
  JsonObject *root = json_object_new ();
  JsonArray *lists[CHK_LEVELS];

  for (uint32_t level = 0; level < CHK_LEVELS; level++)
    {
      lists[level] = json_array_new ();
      json_object_set_array_member (root, list_names[level], lists[level]);
    }
  for (guint i = 0; i < report->findings->len; i++)
    {
      const ChkFinding *finding = g_ptr_array_index (report->findings, i);
      json_array_add_object_element (lists[finding->level], finding_to_json (finding));
    }
  return jsn_free_to_text (root, false);
}
