/* Routing table: maps a request's host and path to a service. Pure: no I/O, no clock. */
#pragma once

#include "acc.h"
#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef RteKind - kind of a route's requests
 * @RTE_NON_IDEMPOTENT: the request runs at most once for each attempt of the caller
 * @RTE_IDEMPOTENT: the request may run more than once
 * @RTE_DOWNLOAD: idempotent, the response may be large
 * @RTE_UPLOAD: not idempotent, the request body may be large
 */
typedef enum
{
  RTE_NON_IDEMPOTENT,
  RTE_IDEMPOTENT,
  RTE_DOWNLOAD,
  RTE_UPLOAD,
} RteKind;

/**
 * struct RteDestination - service that gets a share of a route's requests; one for a route without
 * a split
 * @weight: share of the requests, relative to the sum of the route's weights
 * @current_weight: state of the smooth weighted round robin
 */
typedef struct
{
  char service[NAME_MAX_BYTES];
  uint32_t weight;
  int64_t current_weight;
} RteDestination;

/**
 * struct RteRoute - policy for the requests of one host below one path prefix
 * @timeout_ms: maximum time from a request's arrival to its response
 * @objective_ms: latency objective
 * @attempts: maximum number of attempts that run, or may have run, one request
 * @priority: 0 is the highest
 * @sticky: prefer an upstream that is warm for the object, as it responds faster
 * @is_public: requests need no API key
 * @regions: names of the regions that may serve the route, NULL-terminated; NULL or empty for all
 * @destinations: array of RteDestination
 */
typedef struct
{
  char *name;
  char *host;
  char *prefix;
  RteKind kind;
  uint32_t timeout_ms;
  uint32_t objective_ms;
  uint32_t attempts;
  uint32_t priority;
  bool sticky;
  bool is_public;
  char **regions;
  GArray *destinations;
} RteRoute;

/**
 * struct RteService - limits of a service's upstreams
 * @cold_per_s: maximum requests per second of a cold upstream, 0 for no limit
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  double cold_per_s;
} RteService;

/**
 * struct RteTable - one version of the configuration
 * @routes: all RttRoutes, owned by the table
 * @index: routes by host and prefix, for prefixes that begin and end with a slash
 * @unindexed: the other routes, searched linearly
 * @top_priority: lowest priority number of all routes and accounts, UINT32_MAX before one is set
 * @services: all RttServices, owned by the table
 * @accounts: client accounts, owned by the table; NULL when the configuration has none
 * @body_max_bytes: maximum size of a request body
 * @idle_timeout_ms: time after which an idle connection of a caller is closed
 */
typedef struct
{
  uint64_t version;
  GPtrArray *routes;
  GHashTable *index;
  GPtrArray *unindexed;
  uint32_t top_priority;
  GPtrArray *services;
  AccTable *accounts;
  uint32_t body_max_bytes;
  uint32_t idle_timeout_ms;
} RteTable;

/** rte_new() - creates an empty table with one reference. */
RteTable *rte_new (uint64_t version);
RteTable *rte_ref (RteTable *table);
void rte_unref (RteTable *table);

/** rte_add_route() - adds a route without destinations; the table owns it. */
RteRoute *rte_add_route (RteTable *table, const char *name, const char *host, const char *prefix);
void rte_set_priority (RteTable *table, RteRoute *route, uint32_t priority);
void rte_add_destination (RteRoute *route, const char *service, uint32_t weight);
RteService *rte_add_service (RteTable *table, const char *name);

/** rte_set_accounts() - sets the client accounts, once; the table owns them, and has none when
 * there is no account in @accounts. */
void rte_set_accounts (RteTable *table, AccTable *accounts);

/**
 * rte_match() - finds the route of the host with the longest prefix of @path
 * @host: host of the request, with or without a port; compared without case
 *
 * Return: the route, or NULL.
 */
RteRoute *rte_match (const RteTable *table, const char *host, size_t host_size, const char *path,
                     size_t path_size);

/**
 * rte_choose_destination() - chooses the service of the next request by smooth weighted round robin
 *
 * Every sequence of consecutive requests is split by the weights, up to rounding.
 * Return: the destination, or NULL when no weight is above 0.
 */
const RteDestination *rte_choose_destination (RteRoute *route);

/** rte_find_service() - finds a service by name, or NULL. */
const RteService *rte_find_service (const RteTable *table, const char *name);

/** rte_allows_region() - whether the region may serve the route. */
bool rte_allows_region (const RteRoute *route, const char *region);

/** rte_is_idempotent() - whether a request of the route may run more than once. */
bool rte_is_idempotent (const RteRoute *route);

/** rte_has_large_bodies() - whether the route's request or response bodies may be large. */
bool rte_has_large_bodies (const RteRoute *route);
