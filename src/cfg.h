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

typedef struct
{
  char name[NAME_MAX_BYTES];
  uint32_t max_inflight;
  uint32_t headroom_pct;
} CfgRegion;

typedef struct
{
  char name[NAME_MAX_BYTES];
  uint8_t region;
  bool drained;
} CfgZone;

/**
 * struct CfgUpstream - an upstream of one service
 * @leaving: the VM list says that it leaves, so it gets no new work
 * @drained: an operator drains it, so its share moves away under the shift cap first
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
 * @store_down_allow: run non-idempotent requests while claims cannot be written
 * @guaranteed_inflight: requests in flight that each region must have room for
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

/** struct CfgVm - an entry VM as the platform lists it */
typedef struct
{
  char name[NAME_MAX_BYTES];
  uint8_t zone;
  NetAddr steer;
  NetAddr entry_http;
  bool leaving;
} CfgVm;

/**
 * struct Cfg - everything in force at one revision
 * @errors: refused objects, one "path: reason" each
 * @latency_ms: one way between zones
 * @link_bytes_per_s: limit for each direction between regions, 0 for none
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
  uint64_t blocks_mark;
  uint32_t latency_ms[ZONES_MAX][ZONES_MAX];
  uint64_t link_bytes_per_s[REGIONS_MAX][REGIONS_MAX];
} Cfg;

/** cfg_build() - builds the model; bad objects are refused one by one and named in errors. */
Cfg *cfg_build (const ObjTable *table);

/** cfg_rebuild() - as cfg_build(), but keeps the block table of @before when no block changed. */
Cfg *cfg_rebuild (const ObjTable *table, const Cfg *before);

/** cfg_is_plan_path() - the object belongs to the planner, so the model does not depend on it. */
bool cfg_is_plan_path (const char *path);
void cfg_free (Cfg *cfg);

/** cfg_check_change() - tells whether @table with one object set would be accepted whole. */
bool cfg_check_change (const ObjTable *table, const char *path, const char *value, Err *err);

uint32_t cfg_zone_index (const Cfg *cfg, const char *name);
uint32_t cfg_region_index (const Cfg *cfg, const char *name);
const CfgZone *cfg_zone (const Cfg *cfg, uint32_t index);
const CfgRegion *cfg_region (const Cfg *cfg, uint32_t index);
CfgService *cfg_service (const Cfg *cfg, const char *name);
const CfgVm *cfg_vm (const Cfg *cfg, const char *name);

/** cfg_group_of() - zone whose client group holds @ip; the first zone when no block does. */
uint32_t cfg_group_of (const Cfg *cfg, uint32_t ip);

/** cfg_region_map() - region index of each zone, for shf_advance(). */
void cfg_region_map (const Cfg *cfg, uint8_t *region_of);
