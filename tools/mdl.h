/* Simulation of upstreams, nodes and callers that runs the node's routing decisions. */
#pragma once

#include "crd.h"
#include "plc.h"
#include "ups.h"

#define MDL_SECONDS_MAX 120
#define MDL_BURSTS_MAX 2

/** typedef MdlPolicy - routing policy of the simulated nodes */
typedef enum
{
  MDL_PRODUCT,
  MDL_RANDOM_FIFO,
  MDL_REFUSE_WHEN_FULL,
} MdlPolicy;

/** struct MdlBurst - interval in which the request rate of a region is multiplied by @factor;
 * @region REGIONS_MAX stands for all regions */
typedef struct
{
  uint32_t region;
  uint32_t from_s;
  uint32_t to_s;
  double factor;
} MdlBurst;

/**
 * struct MdlFlows - kinds of requests, or accounts; all requests are of one flow when @count is 0
 * @accounts: the flows are accounts that use the same route
 * @fair_queueing: nodes order waiting requests by the shares of the flows
 * @burst_permille: usual part of the requests that are of the bursting flow; the other flows are
 *   of equal size
 * @factor: factor on the rate of the bursting flow from @from_s to @to_s
 */
typedef struct
{
  uint32_t count;
  bool accounts;
  bool fair_queueing;
  uint32_t burst_permille;
  uint32_t from_s;
  uint32_t to_s;
  double factor;
} MdlFlows;

/** typedef MdlAdviceKind - what some upstreams state in their responses about new requests */
typedef enum
{
  MDL_ADVICE_NONE,
  MDL_ADVICE_PAUSE,
  MDL_ADVICE_LEAVING,
} MdlAdviceKind;

/**
 * struct MdlAdvice - upstreams that ask nodes to send no new requests
 * @permille: share of the upstreams
 * @pause_ms: pause stated in the response; a pausing upstream rejects every request from @from_s to
 * @to_s. 0: the time until @to_s, so that all pauses end together
 */
typedef struct
{
  MdlAdviceKind kind;
  uint32_t permille;
  uint32_t from_s;
  uint32_t to_s;
  uint32_t pause_ms;
} MdlAdvice;

/** typedef MdlReports - what upstreams report of their load in responses */
typedef enum
{
  MDL_REPORTS_NONE,
  MDL_REPORTS_TRUE,
  MDL_REPORTS_IDLE,
  MDL_REPORTS_FULL,
} MdlReports;

/** typedef MdlKnowledge - what the simulated nodes know of the upstreams' capacity */
typedef enum
{
  MDL_KNOWS_REGISTRATION,
  MDL_KNOWS_LEARNED,
  MDL_KNOWS_ALL,
  MDL_KNOWS_WEIGHTS,
} MdlKnowledge;

#define MDL_SPEEDS 3

/**
 * struct MdlMachines - machines on which the upstreams run
 * @knowledge: of the nodes. MDL_KNOWS_ALL: placement is given the true speeds and knees;
 *   MDL_KNOWS_WEIGHTS: objects are assigned in proportion to the true capacity
 * @speed_permille: speeds of the upstreams in turn; 0 stands for 1000
 * @knee_permille: part of the slots from which on work takes twice as long; 0 for none
 * @noise_permille: part of the upstreams that a neighbour slows to 2.5 times the time, at any time
 * @noise_ms: length of such a slowdown
 * @slow_from_s: one of eight upstreams takes 5 times as long until @slow_to_s
 * @all_slow_from_s: all upstreams take 2.5 times as long until @all_slow_to_s
 * @reports: what the upstreams report
 * @false_permille: part of the upstreams that report MDL_REPORTS_IDLE and MDL_REPORTS_FULL in turn
 */
typedef struct
{
  MdlKnowledge knowledge;
  uint32_t speed_permille[MDL_SPEEDS];
  uint32_t knee_permille;
  uint32_t noise_permille;
  uint32_t noise_ms;
  uint32_t slow_from_s;
  uint32_t slow_to_s;
  uint32_t all_slow_from_s;
  uint32_t all_slow_to_s;
  MdlReports reports;
  uint32_t false_permille;
} MdlMachines;

/**
 * struct MdlLoad - a load pattern
 * @upstreams: upstreams of each region
 * @nodes: nodes of each region; callers are spread evenly over the nodes
 * @slots: requests that an upstream runs concurrently
 * @queue: queue length of an upstream; it sheds requests beyond that
 * @cache_objects: number of most recently handled objects that an upstream caches
 * @hot_permille: share of the requests for the most requested object
 * @swing_permille: amplitude of the rate around its mean, with a period of 36 s
 * @phase_permille: phase lead of a region's rate in that period
 * @lost_region: region whose upstreams end at @lost_at_s and restart with empty caches 4 s later;
 *   REGIONS_MAX for none
 * @slow_permille: share of the upstreams whose service time is five times as long
 * @view_ms: maximum age of the views of other nodes
 * @advice: stated by a share of the upstreams
 * @machines: differences between the upstreams
 * @bursts: entries with a @factor of 0 are unused
 * @flows: kinds of requests, or accounts
 */
typedef struct
{
  const char *name;
  uint32_t upstreams[REGIONS_MAX];
  uint32_t nodes[REGIONS_MAX];
  uint32_t slots;
  uint32_t queue;
  uint32_t cache_objects;
  uint32_t objects;
  uint32_t hot_permille;
  uint32_t rate_per_s;
  uint32_t swing_permille;
  uint32_t phase_permille[REGIONS_MAX];
  uint32_t cold_ms;
  uint32_t warm_ms;
  uint32_t objective_ms;
  uint32_t timeout_ms;
  uint32_t remote_rtt_ms;
  uint32_t view_ms;
  uint32_t lost_region;
  uint32_t lost_at_s;
  uint32_t slow_permille;
  MdlAdvice advice;
  MdlMachines machines;
  MdlBurst bursts[MDL_BURSTS_MAX];
  MdlFlows flows;
  uint32_t seconds;
} MdlLoad;

/** struct MdlSecond - requests by the second in which their callers first sent them */
typedef struct
{
  uint32_t asked;
  uint32_t in_objective;
  uint32_t late;
  uint32_t refused;
} MdlSecond;

/** struct MdlFlowReport - requests that callers first sent during the burst of a flow */
typedef struct
{
  uint32_t asked;
  uint32_t served;
  uint32_t in_objective;
} MdlFlowReport;

/**
 * struct MdlReport - results of a replay
 * @credit_permille: earned share of the possible credit; a late response earns a fifth
 * @bound_permille: upper bound of the credit: every object warm everywhere, no slot idle while
 * requests wait
 * @warm_permille: share of the runs on an upstream that is warm for the object
 * @p50_ms: median response time of the answered requests, including waits and retries
 * @p99_ms: its 99th percentile
 * @in_objective_permille: share of the requests answered within the objective
 * @sheds: requests rejected by upstreams for overload
 * @upstream_requests_max: maximum of requests at one upstream, running and queued
 * @advice_violations_max: maximum of requests from one node that reached an upstream during the
 * pause it had stated to that node, sent half a second or more after that statement
 * @shift_permille: largest share of a region's runs that changed region between two
 * consecutive windows of 2 s with 40 runs or more, less the sampling error
 * @shift_region: region of the callers whose requests shifted
 * @shift_at_ms: start of the second window
 * @bursting: the bursting flow during its burst; @others: the other flows
 */
typedef struct
{
  MdlSecond seconds[MDL_SECONDS_MAX];
  uint32_t asked;
  uint32_t credit_permille;
  uint32_t bound_permille;
  uint32_t warm_permille;
  uint32_t p50_ms;
  uint32_t p99_ms;
  uint32_t in_objective_permille;
  uint32_t sheds;
  uint32_t upstream_requests_max;
  uint32_t advice_violations_max;
  uint32_t shift_permille;
  uint32_t shift_region;
  uint32_t shift_at_ms;
  MdlFlowReport bursting;
  MdlFlowReport others;
} MdlReport;

/** mdl_loads() - load patterns; the last entry has a NULL name. */
const MdlLoad *mdl_loads (void);

/** mdl_find() - entry of @loads by name; NULL if unknown. @loads ends with a NULL name. */
const MdlLoad *mdl_find (const MdlLoad *loads, const char *name);

/** mdl_load() - load pattern by name; NULL if unknown. */
const MdlLoad *mdl_load (const char *name);

/** mdl_replay() - replays @load; the result is deterministic for a given @seed. */
MdlReport mdl_replay (const MdlLoad *load, MdlPolicy policy, uint32_t seed);
