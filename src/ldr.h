/* What the files of the planner task share. */
#pragma once

#include "dem.h"
#include "steer.h"

/**
 * struct _Ldr - state of the planner task
 * @seen_version: version of the lease last read, unchanged since @seen_at_ms
 * @valid_until_ms: end of the lease on the own clock
 * @fence_needed: no plan was written since the lease was taken
 * @shares_epoch: last epoch that changed shares
 * @dead_since: when rows were first seen as ended, by VM and incarnation
 * @decided: when refused moves were last recorded, by their reason
 */
struct _Ldr
{
  uv_timer_t lease_timer;
  uv_timer_t plan_timer;
  bool lease_busy;
  bool holding;
  int64_t lease_version;
  int64_t seen_version;
  uint64_t seen_at_ms;
  uint64_t sent_at_ms;
  uint64_t valid_until_ms;
  bool plan_busy;
  bool plan_loaded;
  bool fence_needed;
  int64_t plan_version;
  uint64_t plan_written_at_ms;
  uint64_t shares_epoch;
  uint64_t budgets_at_ms;
  Plan *plan;
  DemTable demand;
  GHashTable *dead_since;
  GHashTable *decided;
};

/** ldr_load_plan() - reads the plan in the platform in place of the one in memory. */
void ldr_load_plan (Steer *steer);

/** lse_start() - competes for the lease; ldr_load_plan() follows when it is taken. */
void lse_start (Steer *steer);

/** lse_lose() - stops acting as the holder. */
void lse_lose (Steer *steer, const char *reason);

/** lse_release() - gives up the lease when it is held, then stops the loop. */
void lse_release (Steer *steer);

/** ldi_limits() - requests in flight that a service may have in each zone, within all limits. */
void ldi_limits (const Steer *steer, const CfgService *service, bool with_drained,
                 uint32_t *limits);

/** ldi_fill() - gathers the input of a service's targets. */
void ldi_fill (const Steer *steer, const CfgService *service, const uint32_t *limits,
               PlnInput *input);

/** ldb_apply_reports() - takes what entries report of their use; true when budgets can move. */
bool ldb_apply_reports (Steer *steer, PlnService *planned);

/** ldb_replan() - divides the limits among the entries; true when an allotment changed. */
bool ldb_replan (Steer *steer, PlnService *planned, const uint32_t *limits);
