/* Routing table: the typed configuration that decides which service may run a request. Pure. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef RttKind - what may be repeated
 * @RTT_NON_IDEMPOTENT: runs at most once for each client attempt
 */
typedef enum
{
  RTT_NON_IDEMPOTENT,
  RTT_IDEMPOTENT,
  RTT_DOWNLOAD,
} RttKind;

/** struct RttPart - one service of a route; a route without a split has one part */
typedef struct
{
  char service[NAME_MAX_BYTES];
  uint32_t weight;
  int64_t credit;
} RttPart;

/**
 * struct RttRoute - requests of one host below one path prefix
 * @timeout_ms: longest time that a request may wait for its answer
 * @objective_ms: latency objective
 * @attempts: upstreams to which one request may be sent
 * @priority: 0 is the most urgent
 * @sticky: an upstream that handled the object lately is faster
 * @regions: regions that may serve it, a NULL-terminated list; empty for all
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
 * @cold_per_s: requests a second that a cold upstream tolerates, 0 for no limit
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  double cold_per_s;
} RttService;

/**
 * struct RttTable - one version of the configuration
 * @by_prefix: routes by host and prefix
 * @uneven: routes whose prefix does not end with a slash
 * @most_urgent: lowest priority number of all routes
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

/** rtt_new() - an empty table with one reference. */
RttTable *rtt_new (uint64_t version);
RttTable *rtt_ref (RttTable *table);
void rtt_unref (RttTable *table);

/** rtt_add_route() - adds a route without parts; the table owns it. */
RttRoute *rtt_add_route (RttTable *table, const char *name, const char *host, const char *prefix);
void rtt_set_priority (RttTable *table, RttRoute *route, uint32_t priority);
void rtt_add_part (RttRoute *route, const char *service, uint32_t weight);
RttService *rtt_add_service (RttTable *table, const char *name);

/** rtt_match() - the route of the host with the longest prefix of @path, or NULL. */
RttRoute *rtt_match (const RttTable *table, const char *host, size_t host_size, const char *path,
                     size_t path_size);

/** rtt_choose_part() - spreads requests over the parts so that any run of them keeps the weights.
 */
const RttPart *rtt_choose_part (RttRoute *route);

const RttService *rtt_service (const RttTable *table, const char *name);

/** rtt_allows_region() - the route may be served in the region. */
bool rtt_allows_region (const RttRoute *route, const char *region);

/** rtt_repeatable() - a request of the route may run more than once. */
bool rtt_repeatable (const RttRoute *route);
