/* Routing table: maps a request's host and path to a service. Pure: no I/O, no clock. */
#include "rte.h"

#include <string.h>

static void
route_free (gpointer data)
{
  RteRoute *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_strfreev (route->regions);
  g_array_unref (route->destinations);
  g_free (route);
}

static void
table_clear (gpointer data)
{
  RteTable *table = data;

  g_hash_table_unref (table->index);
  g_ptr_array_unref (table->unindexed);
  g_ptr_array_unref (table->routes);
  g_ptr_array_unref (table->services);
  acc_free (table->accounts);
}

RteTable *
rte_new (uint64_t version)
{
  RteTable *table = g_rc_box_new0 (RteTable);

  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (route_free);
  table->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table->unindexed = g_ptr_array_new ();
  table->top_priority = UINT32_MAX;
  table->services = g_ptr_array_new_with_free_func (g_free);
  return table;
}

RteTable *
rte_ref (RteTable *table)
{
  return g_rc_box_acquire (table);
}

void
rte_unref (RteTable *table)
{
  g_rc_box_release_full (table, table_clear);
}

/* The separator is a line break, which no host contains. Without it, host "a/b" with path "/c"
 * would match the prefix "/b/" of host "a". */
static char *
prefix_key (const char *host, size_t host_size, const char *prefix, size_t prefix_size)
{
  char *key = g_malloc (host_size + 1 + prefix_size + 1);

  for (size_t i = 0; i < host_size; i++)
    key[i] = g_ascii_tolower (host[i]);
  key[host_size] = '\n';
  memcpy (key + host_size + 1, prefix, prefix_size);
  key[host_size + 1 + prefix_size] = '\0';
  return key;
}

/* Of several routes with the same host and prefix, the first one is used. */
static void
index_route (RteTable *table, RteRoute *route)
{
  size_t size = strlen (route->prefix);

  if (size == 0 || route->prefix[0] != '/' || route->prefix[size - 1] != '/')
    {
      g_ptr_array_add (table->unindexed, route);
      return;
    }
  char *key = prefix_key (route->host, strlen (route->host), route->prefix, size);
  if (g_hash_table_contains (table->index, key))
    g_free (key);
  else
    g_hash_table_insert (table->index, key, route);
}

RteRoute *
rte_add_route (RteTable *table, const char *name, const char *host, const char *prefix)
{
  RteRoute *route = g_new0 (RteRoute, 1);

  route->name = g_strdup (name);
  route->host = g_strdup (host);
  route->prefix = g_strdup (prefix);
  route->destinations = g_array_new (FALSE, TRUE, sizeof (RteDestination));
  g_ptr_array_add (table->routes, route);
  index_route (table, route);
  return route;
}

void
rte_set_priority (RteTable *table, RteRoute *route, uint32_t priority)
{
  route->priority = priority;
  table->top_priority = MIN (table->top_priority, priority);
}

void
rte_add_destination (RteRoute *route, const char *service, uint32_t weight)
{
  RteDestination destination = { .weight = weight };

  g_strlcpy (destination.service, service, sizeof destination.service);
  g_array_append_val (route->destinations, destination);
}

RteService *
rte_add_service (RteTable *table, const char *name)
{
  RteService *service = g_new0 (RteService, 1);

  g_strlcpy (service->name, name, sizeof service->name);
  g_ptr_array_add (table->services, service);
  return service;
}

void
rte_set_accounts (RteTable *table, AccTable *accounts)
{
  if (accounts->accounts->len == 0)
    {
      acc_free (accounts);
      return;
    }
  table->accounts = accounts;
  for (guint i = 0; i < accounts->accounts->len; i++)
    {
      const AccAccount *account = g_ptr_array_index (accounts->accounts, i);
      if (account->has_priority)
        table->top_priority = MIN (table->top_priority, account->priority);
    }
}

static bool
matches_host (const RteRoute *route, const char *host, size_t size)
{
  return strlen (route->host) == size && g_ascii_strncasecmp (route->host, host, size) == 0;
}

static size_t
host_without_port (const char *host, size_t size)
{
  const char *colon = memchr (host, ':', size);

  return colon != NULL ? (size_t) (colon - host) : size;
}

static bool
matches_request (const RteRoute *route, const char *host, size_t host_size, const char *path,
                 size_t path_size)
{
  size_t size = strlen (route->prefix);

  return size <= path_size && memcmp (route->prefix, path, size) == 0
         && matches_host (route, host, host_size);
}

static RteRoute *
match_unindexed (const RteTable *table, const char *host, size_t host_size, const char *path,
                 size_t path_size)
{
  RteRoute *best = NULL;

  for (guint i = 0; i < table->unindexed->len; i++)
    {
      RteRoute *route = g_ptr_array_index (table->unindexed, i);
      if (matches_request (route, host, host_size, path, path_size)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}

/* Looks up each prefix of the path that ends with a slash, the longest first. */
static RteRoute *
match_indexed (const RteTable *table, const char *host, size_t host_size, const char *path,
               size_t path_size)
{
  char *key = prefix_key (host, host_size, path, path_size);
  RteRoute *found = NULL;

  for (size_t end = host_size + 1 + path_size; found == NULL && end > host_size + 1; end--)
    if (key[end - 1] == '/')
      {
        key[end] = '\0';
        found = g_hash_table_lookup (table->index, key);
      }
  g_free (key);
  return found;
}

RteRoute *
rte_match (const RteTable *table, const char *host, size_t host_size, const char *path,
           size_t path_size)
{
  size_t name_size = host_without_port (host, host_size);
  RteRoute *indexed_route = match_indexed (table, host, name_size, path, path_size);
  RteRoute *unindexed_route = match_unindexed (table, host, name_size, path, path_size);

  if (indexed_route == NULL || unindexed_route == NULL)
    return indexed_route != NULL ? indexed_route : unindexed_route;
  return strlen (unindexed_route->prefix) > strlen (indexed_route->prefix) ? unindexed_route
                                                                           : indexed_route;
}

const RteDestination *
rte_choose_destination (RteRoute *route)
{
  RteDestination *best = NULL;
  int64_t weight_sum = 0;

  for (guint i = 0; i < route->destinations->len; i++)
    {
      RteDestination *destination = &g_array_index (route->destinations, RteDestination, i);
      weight_sum += destination->weight;
      destination->current_weight += destination->weight;
      if (destination->weight > 0
          && (best == NULL || destination->current_weight > best->current_weight))
        best = destination;
    }
  if (best != NULL)
    best->current_weight -= weight_sum;
  return best;
}

const RteService *
rte_find_service (const RteTable *table, const char *name)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      const RteService *service = g_ptr_array_index (table->services, i);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

bool
rte_allows_region (const RteRoute *route, const char *region)
{
  if (route->regions == NULL || route->regions[0] == NULL)
    return true;
  return g_strv_contains ((const gchar *const *) route->regions, region);
}

bool
rte_is_idempotent (const RteRoute *route)
{
  return route->kind == RTE_IDEMPOTENT || route->kind == RTE_DOWNLOAD;
}

bool
rte_has_large_bodies (const RteRoute *route)
{
  return route->kind == RTE_DOWNLOAD || route->kind == RTE_UPLOAD;
}
