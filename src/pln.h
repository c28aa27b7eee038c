/* Planner: traffic split of each client group by zone, and the plan that stores it. Pure. */
#pragma once

#include "bud.h"
#include "cfg.h"
#include "err.h"
#include "shf.h"

/**
 * struct PlnGroup - traffic split of one client group for one service
 * @present: the group has shares
 */
typedef struct
{
  bool present;
  ShfState state;
} PlnGroup;

/**
 * struct PlnService - plan of one service
 * @groups: client groups, by index of their zone
 * @budgets: requests in flight allotted to each entry
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  PlnGroup groups[ZONES_MAX];
  BudTable budgets;
} PlnService;

/**
 * struct Plan - plan of all services, stored as one object
 * @epoch: increases by one with each plan written
 * @planner: VM of the steer that wrote the plan
 * @services: PlnService elements
 * @decisions: texts of the latest decisions, oldest first
 */
typedef struct
{
  uint64_t epoch;
  char planner[NAME_MAX_BYTES];
  GPtrArray *services;
  GPtrArray *decisions;
} Plan;

/**
 * struct PlnInput - input of pln_targets() for one service
 * @zone_count: zones in use, also the number of client groups
 * @capacity_milli: requests in flight that each zone can run after headroom, thousandths
 * @demand_milli: offered load of each group in requests in flight, thousandths
 * @demand_known: the reports behind the demand are recent enough
 * @demand_bytes_per_s: response bytes of each group
 * @link_free_bytes_per_s: free capacity of each link, [region of caller][region of upstream]
 * @link_limited: the link has a configured limit
 * @latency_ms: one way, [zone of client group][zone of upstream]
 * @region_of: region index of each zone
 * @excluded: zones that must not get requests
 */
typedef struct
{
  uint32_t zone_count;
  uint64_t capacity_milli[ZONES_MAX];
  uint64_t demand_milli[ZONES_MAX];
  bool demand_known[ZONES_MAX];
  uint64_t demand_bytes_per_s[ZONES_MAX];
  uint64_t link_free_bytes_per_s[REGIONS_MAX][REGIONS_MAX];
  bool link_limited[REGIONS_MAX][REGIONS_MAX];
  uint32_t latency_ms[ZONES_MAX][ZONES_MAX];
  uint8_t region_of[ZONES_MAX];
  bool excluded[ZONES_MAX];
} PlnInput;

/**
 * typedef PlnReason - why the targets keep or change the current shares
 * @PLN_KEEP_WITHIN_DEADBAND: new targets would save too little latency or differ too little
 * @PLN_KEEP_DEMAND_UNKNOWN: the demand of a group is unknown
 * @PLN_MOVE_EXCLUDED_ZONE: a group has a share in a zone that is excluded or has no capacity
 * @PLN_MOVE_OVER_CAPACITY: the load of a zone or link exceeds its capacity
 * @PLN_MOVE_LATENCY: new targets lower the mean latency
 * @PLN_MOVE_FIRST: a group has no shares yet
 * @PLN_KEEP_NO_CAPACITY: no zone has capacity
 */
typedef enum
{
  PLN_KEEP_WITHIN_DEADBAND,
  PLN_KEEP_DEMAND_UNKNOWN,
  PLN_MOVE_EXCLUDED_ZONE,
  PLN_MOVE_OVER_CAPACITY,
  PLN_MOVE_LATENCY,
  PLN_MOVE_FIRST,
  PLN_KEEP_NO_CAPACITY,
} PlnReason;

/**
 * pln_targets() - computes target shares of all groups: nearest zones first, within capacity
 * @current: shares in force; a group whose shares sum to 0 has none yet
 * @target: receives shares that sum to SHARE_ONE_PPM for each group, or a copy of @current
 *
 * A group whose demand fits only in part is split in the proportions of that part; a group of which
 * nothing fits keeps its shares.
 */
PlnReason pln_targets (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX],
                       uint32_t target[ZONES_MAX][ZONES_MAX]);

/** pln_reason_name() - name of the reason in decisions and log events. */
const char *pln_reason_name (PlnReason reason);

Plan *pln_new (void);
void pln_free (Plan *plan);

/** pln_service() - looks up a service; NULL when the plan has none of that name. */
PlnService *pln_service (const Plan *plan, const char *name);

/** pln_add_service() - returns the service of that name; adds it when the plan has none. */
PlnService *pln_add_service (Plan *plan, const char *name);

/** pln_add_decision() - records the text of a decision; keeps the latest PLAN_DECISIONS_MAX of
 * them. */
void pln_add_decision (Plan *plan, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** pln_encode() - returns a plan as JSON; @now_ms is the planner's monotonic clock. */
char *pln_encode (const Plan *plan, const Cfg *cfg, uint64_t now_ms);

/**
 * pln_decode() - parses a plan; its moves within the last period count as made at @now_ms
 * @err: set when @text is not JSON or has another schema version
 *
 * Zones that the configuration no longer lists are dropped; a group whose other shares don't sum to
 * SHARE_ONE_PPM is decoded without shares. Return: the plan, or NULL with @err set.
 */
Plan *pln_decode (const char *text, const Cfg *cfg, uint64_t now_ms, Err *err);
