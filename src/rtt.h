/* Routing table: maps a request's host and path to a service. Pure: no I/O, no clock. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef RttKind - kind of a route's requests
 * @RTT_NON_IDEMPOTENT: the request runs at most once for each attempt of the caller
 * @RTT_IDEMPOTENT: the request may run more than once
 * @RTT_DOWNLOAD: idempotent, the response may be large
 */
typedef enum
{
  RTT_NON_IDEMPOTENT,
  RTT_IDEMPOTENT,
  RTT_DOWNLOAD,
} RttKind;

/**
 * struct RttPart - service that gets a share of a route's requests; one for a route without a split
 * @weight: share of the requests, relative to the sum of the route's weights
 * @current_weight: state of the smooth weighted round robin
 */
typedef struct
{
  char service[NAME_MAX_BYTES];
  uint32_t weight;
  int64_t current_weight;
} RttPart;

/**
 * struct RttRoute - policy for the requests of one host below one path prefix
 * @timeout_ms: maximum time from a request's arrival to its response
 * @objective_ms: latency objective
 * @attempts: maximum number of attempts that run, or may have run, one request
 * @priority: 0 is the highest
 * @sticky: prefer an upstream that is warm for the object, as it responds faster
 * @regions: names of the regions that may serve the route, NULL-terminated; NULL or empty for all
 * @parts: array of RttPart
 */
typedef struct
{
  char *name;
  char *host;
  char *prefix;
  RttKind kind;
  uint32_t timeout_ms;
  uint32_t objective_ms;
  uint32_t attempts;
  uint32_t priority;
  bool sticky;
  char **regions;
  GArray *parts;
} RttRoute;

/**
 * struct RttService - limits of a service's upstreams
 * @cold_per_s: maximum requests per second of a cold upstream, 0 for no limit
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  double cold_per_s;
} RttService;

/**
 * struct RttTable - one version of the configuration
 * @routes: all RttRoutes, owned by the table
 * @by_prefix: routes by host and prefix, for prefixes that begin and end with a slash
 * @uneven: the other routes, searched linearly
 * @most_urgent: lowest priority number of all routes, UINT32_MAX before one is set
 * @services: all RttServices, owned by the table
 * @body_max_bytes: maximum size of a request body
 * @idle_timeout_ms: time after which an idle connection of a caller is closed
 */
typedef struct
{
  uint64_t version;
  GPtrArray *routes;
  GHashTable *by_prefix;
  GPtrArray *uneven;
  uint32_t most_urgent;
  GPtrArray *services;
  uint32_t body_max_bytes;
  uint32_t idle_timeout_ms;
} RttTable;

/** rtt_new() - creates an empty table with one reference. */
RttTable *rtt_new (uint64_t version);
RttTable *rtt_ref (RttTable *table);
void rtt_unref (RttTable *table);

/** rtt_add_route() - adds a route without destinations; the table owns it. */
RttRoute *rtt_add_route (RttTable *table, const char *name, const char *host, const char *prefix);
void rtt_set_priority (RttTable *table, RttRoute *route, uint32_t priority);
void rtt_add_part (RttRoute *route, const char *service, uint32_t weight);
RttService *rtt_add_service (RttTable *table, const char *name);

/**
 * rtt_match() - finds the route of the host with the longest prefix of @path
 * @host: host of the request, with or without a port; compared without case
 *
 * Return: the route, or NULL.
 */
RttRoute *rtt_match (const RttTable *table, const char *host, size_t host_size, const char *path,
                     size_t path_size);

/**
 * rtt_choose_part() - chooses the service of the next request by smooth weighted round robin
 *
 * Every sequence of consecutive requests is split by the weights, up to rounding.
 * Return: the destination, or NULL when no weight is above 0.
 */
const RttPart *rtt_choose_part (RttRoute *route);

/** rtt_service() - finds a service by name, or NULL. */
const RttService *rtt_service (const RttTable *table, const char *name);

/** rtt_allows_region() - whether the region may serve the route. */
bool rtt_allows_region (const RttRoute *route, const char *region);

/** rtt_repeatable() - whether a request of the route may run more than once. */
bool rtt_repeatable (const RttRoute *route);
