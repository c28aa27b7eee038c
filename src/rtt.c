/* Routing table: the typed configuration that decides which service may run a request. Pure. */
#include "rtt.h"

#include <string.h>

static void
route_free (gpointer data)
{
  RttRoute *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_strfreev (route->regions);
  g_array_unref (route->parts);
  g_free (route);
}

static void
table_clear (gpointer data)
{
  RttTable *table = data;

  g_ptr_array_unref (table->routes);
  g_ptr_array_unref (table->services);
}

RttTable *
rtt_new (uint64_t version)
{
  RttTable *table = g_rc_box_new0 (RttTable);

  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (route_free);
  table->services = g_ptr_array_new_with_free_func (g_free);
  return table;
}

RttTable *
rtt_ref (RttTable *table)
{
  return g_rc_box_acquire (table);
}

void
rtt_unref (RttTable *table)
{
  g_rc_box_release_full (table, table_clear);
}

RttRoute *
rtt_add_route (RttTable *table, const char *name)
{
  RttRoute *route = g_new0 (RttRoute, 1);

  route->name = g_strdup (name);
  route->parts = g_array_new (FALSE, TRUE, sizeof (RttPart));
  g_ptr_array_add (table->routes, route);
  return route;
}

void
rtt_add_part (RttRoute *route, const char *service, uint32_t weight)
{
  RttPart part = { .weight = weight };

  g_strlcpy (part.service, service, sizeof part.service);
  g_array_append_val (route->parts, part);
}

RttService *
rtt_add_service (RttTable *table, const char *name)
{
  RttService *service = g_new0 (RttService, 1);

  g_strlcpy (service->name, name, sizeof service->name);
  g_ptr_array_add (table->services, service);
  return service;
}

static bool
host_is (const RttRoute *route, const char *host, size_t size)
{
  return strlen (route->host) == size && g_ascii_strncasecmp (route->host, host, size) == 0;
}

static size_t
host_without_port (const char *host, size_t size)
{
  const char *colon = memchr (host, ':', size);

  return colon != NULL ? (size_t) (colon - host) : size;
}

RttRoute *
rtt_match (const RttTable *table, const char *host, size_t host_size, const char *path,
           size_t path_size)
{
  RttRoute *best = NULL;
  size_t best_size = 0;

  host_size = host_without_port (host, host_size);
  for (guint i = 0; i < table->routes->len; i++)
    {
      RttRoute *route = g_ptr_array_index (table->routes, i);
      size_t size = strlen (route->prefix);
      if (size > path_size || (best != NULL && size <= best_size))
        continue;
      if (memcmp (route->prefix, path, size) != 0 || !host_is (route, host, host_size))
        continue;
      best = route;
      best_size = size;
    }
  return best;
}

const RttPart *
rtt_choose_part (RttRoute *route)
{
  RttPart *best = NULL;
  int64_t total = 0;

  for (guint i = 0; i < route->parts->len; i++)
    {
      RttPart *part = &g_array_index (route->parts, RttPart, i);
      total += part->weight;
      part->credit += part->weight;
      if (part->weight > 0 && (best == NULL || part->credit > best->credit))
        best = part;
    }
  if (best != NULL)
    best->credit -= total;
  return best;
}

const RttService *
rtt_service (const RttTable *table, const char *name)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      const RttService *service = g_ptr_array_index (table->services, i);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

bool
rtt_allows_region (const RttRoute *route, const char *region)
{
  if (route->regions == NULL || route->regions[0] == NULL)
    return true;
  return g_strv_contains ((const gchar *const *) route->regions, region);
}

bool
rtt_repeatable (const RttRoute *route)
{
  return route->kind != RTT_NON_IDEMPOTENT;
}
