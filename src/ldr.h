/* Planner task: state and functions shared by its files (ldr.c, lse.c, ldi.c, ldb.c). */
#pragma once

#include "dem.h"
#include "steer.h"

/**
 * struct _Ldr - state of the planner task
 * @lease_busy: a read or write of the lease is in progress
 * @holds_lease: this process holds the lease
 * @lease_version: version of the last successful write of the lease
 * @seen_lease_version: version of the lease last read, unchanged since @lease_seen_at_ms
 * @lease_sent_at_ms: when the last write of the lease was sent
 * @lease_valid_until_ms: end of the lease on the loop's clock
 * @plan_busy: a read or write of the plan is in progress
 * @plan_loaded: @plan is the stored plan, of @plan_version
 * @fence_needed: no plan was written since the lease was acquired; writing one makes later writes
 *   of the former holder conflict
 * @split_epoch: epoch of the last plan that changed a traffic split
 * @budgets_planned_at_ms: when limits were last divided among the entries
 * @demand: demand reported by the entries
 * @ended_since: when each budget row's process was first seen as ended, by VM and incarnation
 * @logged_refusals: when each refused move was last logged, by service, group, reason and bound
 */
struct _Ldr
{
  uv_timer_t lease_timer;
  uv_timer_t plan_timer;
  bool lease_busy;
  bool holds_lease;
  int64_t lease_version;
  int64_t seen_lease_version;
  uint64_t lease_seen_at_ms;
  uint64_t lease_sent_at_ms;
  uint64_t lease_valid_until_ms;
  bool plan_busy;
  bool plan_loaded;
  bool fence_needed;
  int64_t plan_version;
  uint64_t plan_written_at_ms;
  uint64_t split_epoch;
  uint64_t budgets_planned_at_ms;
  Plan *plan;
  DemTable demand;
  GHashTable *ended_since;
  GHashTable *logged_refusals;
};

/** ldr_load_plan() - replaces the plan in memory by the one in the store. */
void ldr_load_plan (Steer *steer);

/** lse_start() - starts to compete for the lease; calls ldr_load_plan() on each acquisition. */
void lse_start (Steer *steer);

/** lse_lose() - records the loss of the lease; @reason is logged. */
void lse_lose (Steer *steer, const char *reason);

/** lse_release() - releases the lease if this process holds it, then stops the loop. */
void lse_release (Steer *steer);

/**
 * ldi_limits() - computes the limit of a service's requests in flight in each zone
 * @with_drained: count the slots of drained upstreams too
 * @limits: one per zone; headroom and the regions' limits are applied
 */
void ldi_limits (const Steer *steer, const CfgService *service, bool with_drained,
                 uint32_t *limits);

/** ldi_fill() - fills @input, from which the target traffic split of a service is computed. */
void ldi_fill (const Steer *steer, const CfgService *service, const uint32_t *limits,
               PlnInput *input);

/** ldb_apply_reports() - applies the entries' reports to budget rows; true when a row changed. */
bool ldb_apply_reports (Steer *steer, PlnService *planned);

/** ldb_replan() - divides each zone's limit among the entries; true when an allotment changed. */
bool ldb_replan (Steer *steer, PlnService *planned, const uint32_t *limits);
