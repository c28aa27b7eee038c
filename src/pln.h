/* Planner: shares of each client group for each zone, and budgets of each entry. Pure. */
#pragma once

#include "bud.h"
#include "cfg.h"
#include "err.h"
#include "shf.h"

/** struct PlnGroup - where one client group's requests for one service go */
typedef struct
{
  bool present;
  ShfState state;
} PlnGroup;

typedef struct
{
  char name[NAME_MAX_BYTES];
  PlnGroup groups[ZONES_MAX];
  BudTable budgets;
} PlnService;

/**
 * struct Plan - all services
 * @epoch: grows by one with each plan
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
 * struct PlnInput - what a target is computed from, for one service
 * @capacity_milli: requests in flight that each zone carries less headroom, thousandths
 * @demand_milli: requests in flight that each group offers, thousandths
 * @demand_known: the demand was reported lately enough
 * @demand_bytes_per_s: answers' bytes of each group
 * @link_left_bytes_per_s: what is left of each link, region of caller to region of upstream
 * @excluded: zones that must get nothing
 */
typedef struct
{
  uint32_t zone_count;
  uint64_t capacity_milli[ZONES_MAX];
  uint64_t demand_milli[ZONES_MAX];
  bool demand_known[ZONES_MAX];
  uint64_t demand_bytes_per_s[ZONES_MAX];
  uint64_t link_left_bytes_per_s[REGIONS_MAX][REGIONS_MAX];
  bool link_limited[REGIONS_MAX][REGIONS_MAX];
  uint32_t latency_ms[ZONES_MAX][ZONES_MAX];
  uint8_t region_of[ZONES_MAX];
  bool excluded[ZONES_MAX];
} PlnInput;

/** typedef PlnReason - why the targets are what they are */
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
 * pln_targets() - computes target shares of all groups
 * @current: shares in force; a group whose shares sum to 0 has none yet
 * @target: filled with shares that sum to SHARE_ONE_PPM, or a copy of @current
 */
PlnReason pln_targets (const PlnInput *input, uint32_t current[ZONES_MAX][ZONES_MAX],
                       uint32_t target[ZONES_MAX][ZONES_MAX]);

const char *pln_reason_name (PlnReason reason);

Plan *pln_new (void);
void pln_free (Plan *plan);
PlnService *pln_service (const Plan *plan, const char *name);
PlnService *pln_add_service (Plan *plan, const char *name);

/** pln_decide() - adds a decision's text; the oldest is dropped beyond PLAN_DECISIONS_MAX. */
void pln_decide (Plan *plan, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** pln_encode() - JSON text of a plan; @now_ms is the planner's monotonic clock. */
char *pln_encode (const Plan *plan, const Cfg *cfg, uint64_t now_ms);

/**
 * pln_decode() - reads a plan; all moves within the last period count as made at @now_ms
 *
 * Zones that the configuration no longer has are dropped.
 */
Plan *pln_decode (const char *text, const Cfg *cfg, uint64_t now_ms, Err *err);
