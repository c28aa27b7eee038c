/* Typed model of the configuration, built from the platform's objects. */
#pragma once

#include "blk.h"
#include "err.h"
#include "lim.h"
#include "net.h"
#include "obj.h"
#include "shf.h"

/** Prefixes of the platform's objects that are replicated to all processes. */
#define CFG_PREFIXES "platform/,teams/,system/,vms/"

/**
 * struct CfgRegion - a region
 * @max_inflight: limit of requests in flight, including the headroom
 * @headroom_pct: percentage of @max_inflight that guarantees and plans leave free
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  uint32_t max_inflight;
  uint32_t headroom_pct;
} CfgRegion;

/**
 * struct CfgZone - an availability zone
 * @region: index in Cfg.regions
 * @drained: an operator drains the zone or its region
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  uint8_t region;
  bool drained;
} CfgZone;

/**
 * struct CfgUpstream - an upstream of one service
 * @zone: index in Cfg.zones
 * @leaving: its VM has state "leaving" in the VM list, so it gets no new requests
 * @drained: an operator drains it; its traffic is first shifted to other upstreams under the shift
 * cap
 */
typedef struct
{
  char id[NAME_MAX_BYTES];
  NetAddr addr;
  uint8_t zone;
  uint32_t slots;
  uint32_t max_connections;
  bool leaving;
  bool drained;
} CfgUpstream;

/**
 * struct CfgService - a service of one team
 * @upstreams: CfgUpstream
 * @store_down_allow: run non-idempotent requests while claims cannot be written
 * @guaranteed_inflight: requests in flight guaranteed to the service, by region
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  char team[NAME_MAX_BYTES];
  GArray *upstreams;
  ShfCaps caps;
  uint32_t headroom_pct;
  uint32_t retry_budget_pct;
  uint32_t queue_wait_ms;
  bool store_down_allow;
  uint32_t guaranteed_inflight[REGIONS_MAX];
} CfgService;

/**
 * struct CfgVm - an entry VM of the platform's VM list
 * @zone: index in Cfg.zones
 * @steer: address of its steer process
 * @entry_http: address at which its entry accepts HTTP requests
 * @leaving: the VM list or an operator's drain takes it out of service
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  uint8_t zone;
  NetAddr steer;
  NetAddr entry_http;
  bool leaving;
} CfgVm;

/**
 * struct Cfg - the valid configuration objects of one revision
 * @errors: rejected objects, one "path: reason" each
 * @blocks_hash: hash of the block objects' revisions and the zone names
 * @latency_ms: one-way latency between zones
 * @link_bytes_per_s: limit in each direction between two regions, 0 for no limit
 */
typedef struct
{
  uint64_t revision;
  GArray *regions;
  GArray *zones;
  GPtrArray *services;
  GArray *vms;
  GPtrArray *errors;
  BlkTable *blocks;
  uint64_t blocks_hash;
  uint32_t latency_ms[ZONES_MAX][ZONES_MAX];
  uint64_t link_bytes_per_s[REGIONS_MAX][REGIONS_MAX];
} Cfg;

/** cfg_build() - builds the model; skips invalid objects and lists them in errors. */
Cfg *cfg_build (const ObjTable *table);

/** cfg_rebuild() - as cfg_build(); shares the blocks of @previous when no block or zone changed. */
Cfg *cfg_rebuild (const ObjTable *table, const Cfg *previous);

/** cfg_is_plan_path() - true for the planner's objects, on which the model does not depend. */
bool cfg_is_plan_path (const char *path);
void cfg_free (Cfg *cfg);

/**
 * cfg_check_change() - true when @path is a configuration path and setting it to @value (NULL:
 * deleting it) adds no error to those of @table; otherwise @err is the first one.
 */
bool cfg_check_change (const ObjTable *table, const char *path, const char *value, Err *err);

/** cfg_zone_index() - index in Cfg.zones, or ZONE_NONE. */
uint32_t cfg_zone_index (const Cfg *cfg, const char *name);

/** cfg_region_index() - index in Cfg.regions, or ZONE_NONE. */
uint32_t cfg_region_index (const Cfg *cfg, const char *name);
const CfgZone *cfg_zone (const Cfg *cfg, uint32_t index);
const CfgRegion *cfg_region (const Cfg *cfg, uint32_t index);

/** cfg_service() - service of this name, or NULL. */
CfgService *cfg_service (const Cfg *cfg, const char *name);

/** cfg_vm() - entry VM of this name, or NULL. */
const CfgVm *cfg_vm (const Cfg *cfg, const char *name);

/** cfg_client_group() - zone index of the client group of @ip; 0 when no block contains @ip. */
uint32_t cfg_client_group (const Cfg *cfg, uint32_t ip);

/**
 * cfg_region_map() - fills @region_of (ZONES_MAX elements) with the region index of each zone, for
 * shf_advance().
 */
void cfg_region_map (const Cfg *cfg, uint8_t *region_of);
