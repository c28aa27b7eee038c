/* Node process, one on each entry VM: forwards callers' requests to upstreams and answers lookups.
 * Declares the state that its modules share. */
#pragma once

#include "adm.h"
#include "crd.h"
#include "clk.h"
#include "cts.h"
#include "fqs.h"
#include "hsv.h"
#include "lag.h"
#include "log.h"
#include "mbg.h"
#include "met.h"
#include "per.h"
#include "poi.h"
#include "tpt.h"
#include "quo.h"
#include "rbg.h"
#include "rgn.h"
#include "rte.h"
#include "shr.h"
#include "ucn.h"
#include "trf.h"
#include "ups.h"

typedef enum
{
  NOD_STARTING,
  NOD_SERVING,
  NOD_STOPPING,
} NodState;

/** typedef NodFairness - where fair queueing is in force */
typedef enum
{
  NOD_FAIR_WITH_ACCOUNTS,
  NOD_FAIR_ON,
  NOD_FAIR_OFF,
} NodFairness;

/** struct NodZone - an availability zone; @region: index of its region */
typedef struct
{
  char name[NAME_MAX_BYTES];
  uint32_t region;
} NodZone;

/**
 * struct NodHeaders - names of the HTTP headers of requests and responses
 * @deadline_ms: remaining time until the caller's deadline
 * @affinity: name of the cookie that carries the object's key
 * @signature: present in each complete response of an upstream with a 2xx status
 * @instance: id of the upstream that is to run the request
 * @not_run: set in the response to a request that did not run
 * @leaving: set by an upstream that is about to leave
 * @account: name of the client account, set by the node for the upstream
 * @load: load and pace that an upstream reports in its responses
 */
typedef struct
{
  const char *request_id;
  const char *deadline_ms;
  const char *affinity;
  const char *signature;
  const char *instance;
  const char *not_run;
  const char *leaving;
  const char *account;
  const char *load;
} NodHeaders;

/**
 * struct NodSettings - settings of a node
 * @front: listener for callers' requests
 * @ready: listener for readiness probes
 * @lookup: listener for lookups
 * @peer: address for messages and calls from other nodes
 * @relay: listener for requests that this node relays for nodes of other regions; port 0 without
 * one
 * @metrics: listener for metrics and the state dump; port 0 without one
 * @zones: all zones, as NodZone
 * @regions: names of all regions
 * @zone_index: index of the own zone in @zones
 * @region_index: index of the local region in @regions
 * @retry: limits of the retry budget of each service
 * @quota: allowed excess over the quotas of client accounts
 * @shift_permille: cap on the requests of a service that change their region within
 * SHR_CAP_PERIOD_MS, in thousandths
 * @capacity: CPU capacity of the VM in thousandths of a core
 * @grace_ms: time between the signal to stop and the forced end of the process
 * @learned_capacity: use the learned capacity of upstreams
 * @fair_queueing: where waiting requests are ordered by the shares of their flows
 * @lookup_ttl_ms: longest time for which callers may cache the response to a lookup
 * @memory_mb: memory of the VM; 0 if not stated
 * @max_fds: file descriptors that the process may open; 0 if not stated
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  char zone[NAME_MAX_BYTES];
  NetAddr front;
  NetAddr ready;
  NetAddr lookup;
  NetAddr peer;
  NetAddr relay;
  NetAddr metrics;
  GArray *zones;
  GPtrArray *regions;
  uint32_t zone_index;
  uint32_t region_index;
  RbgLimits retry;
  QuoBounds quota;
  uint32_t shift_permille;
  uint32_t capacity;
  uint32_t grace_ms;
  bool learned_capacity;
  NodFairness fair_queueing;
  uint32_t lookup_ttl_ms;
  uint32_t memory_mb;
  uint32_t max_fds;
} NodSettings;

/**
 * struct NodRouteStats - statistics of a route's requests
 * @cold_ms: moving average of the service time on upstreams that are cold for the object
 * @warm_ms: the same on upstreams that are warm for it
 * @deadlines: recent deadlines, for telling callers' first attempts from retries
 * @response_bytes: size of a large response, decreasing with each smaller one
 */
typedef struct
{
  uint32_t cold_ms;
  uint32_t warm_ms;
  AdmDeadlines deadlines;
  uint32_t response_bytes;
} NodRouteStats;

/**
 * struct RlyPeer - another node as a relay to the upstreams of its zone
 * @in_flight: number of requests that were sent to it and have not ended
 * @backoff_until_ms: time before which it gets no requests, after a failure
 * @pool: connections to its relay listener
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  uint32_t in_flight;
  uint64_t backoff_until_ms;
  UcnPool pool;
} RlyPeer;

/**
 * struct Rly - relays to remote regions
 * @by_vm: RlyPeer by name of its VM
 * @by_zone: selected relay of each zone in a remote region; NULL without one
 * @chosen_at_ms: time of the last selection
 */
typedef struct
{
  GHashTable *by_vm;
  RlyPeer *by_zone[ZONES_MAX];
  uint64_t chosen_at_ms;
} Rly;

/**
 * struct NodTraffic - demand of this node's callers for a service, and its traffic split
 * @arrived: requests received since the last tick
 * @sent: requests sent to upstreams since the last tick
 * @remote: those of @sent that went to remote regions
 * @rate_mps: moving average of the requests received, in thousandths of a request per second
 * @sent_mps: moving average of @sent over a longer time, in the same unit
 * @remote_mps: moving average of @remote over the same time as @sent_mps
 * @service_time_ms: moving average of the service time; 0 while unknown
 * @initialized: the initial split is based on known upstreams
 * @load: capacity and demand of the regions, as of the last tick
 * @target: traffic split that fits @load
 * @shares: traffic split in use, which moves towards @target
 * @spill: token bucket for spillover
 * @acceptance: counts for the acceptance ratios of the regions
 * @limits_ppm: largest part of its assigned requests that each region may be sent
 * @free_slots: free slots of each region, as of the last tick
 * @lost_since_ms: since when each region has lost more than 1 / SHR_LOST_DIVISOR of its capacity
 * unplanned; 0 when it has not
 */
typedef struct
{
  uint32_t arrived;
  uint32_t sent;
  uint32_t remote;
  uint64_t rate_mps;
  uint64_t sent_mps;
  uint64_t remote_mps;
  uint32_t service_time_ms;
  bool initialized;
  ShrLoad load;
  ShrSplit target;
  ShrSplit shares;
  ShrSpillBucket spill;
  ShrAcceptance acceptance;
  uint32_t limits_ppm[REGIONS_MAX];
  uint64_t free_slots[REGIONS_MAX];
  uint64_t lost_since_ms[REGIONS_MAX];
} NodTraffic;

/**
 * struct NodService - state of a service
 * @objects: cardinality estimate of its objects
 * @retries: retry budget
 * @traffic: demand and traffic split
 * @curve: service time of its upstreams by their load
 * @waiting: requests that wait for a free slot, as Frq
 * @tries: which of @waiting to try next
 * @flows: shares of its flows; NULL before fair queueing is in force
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  Crd objects;
  RbgBudget retries;
  NodTraffic traffic;
  LrnCurve curve;
  GQueue waiting;
  AdmTries tries;
  Fqs *flows;
} NodService;

/**
 * struct NodCounters - counters since the start of the process, each a metric
 * cardamom_node_NAME_total
 * @requests: requests from callers
 * @answered: upstreams' responses that were delivered to callers
 * @refused: requests that the node rejected and that did not run
 * @may_have_run: requests that ended with an error and may have run
 * @no_route: requests that match no route
 * @callers_gone: requests whose caller closed its connection before the response
 * @timeouts: requests without a response by their deadline or the timeout of their route
 * @sends: attempts to send a request to an upstream
 * @retries: attempts that the retry budget allowed after a failed one
 * @sheds: attempts that an upstream rejected for overload
 * @misdirected: attempts that an upstream rejected as meant for another one
 * @connect_failures: attempts that failed before the request was sent
 * @withdrawn: attempts given up during connecting because the upstream no longer
 * accepts requests
 * @poison_refused: requests rejected because they are suspected of crashing upstreams
 * @broken_answers: responses that were lost, incomplete or unsigned
 * @regions_lost: unplanned losses of a region's capacity
 * @spilled: requests sent to another region for want of free slots in their own
 * @held_back: requests rejected because of the cap on shift
 * @sent_by_relay: attempts sent by way of a relay
 * @relayed: requests of other nodes that this node relayed
 * @relays_lost: attempts by way of a relay that failed or that the relay rejected
 * @unauthorized: requests rejected for want of a known API key
 * @revoked: requests rejected because their API key was removed after their arrival
 * @over_quota: requests rejected because their account was over its quota
 * @load_reports: reports of their load in upstreams' responses
 * @load_reports_invalid: those of them that were malformed and ignored
 * @leaving_notices: upstreams that announced in a response that they leave
 * @pauses: responses that paused their upstream
 * @pauses_invalid: 503 responses whose Retry-After was not valid and ignored
 * @fair_reordered: tries of waiting requests out of the order without fair queueing
 * @fair_yielded: waiting requests rejected in place of one of another flow
 * @store_restores: times that the platform's store returned from an older copy
 * @watch_timeouts: watches of the platform's store that got no response in time
 * @watches_silent: watches of the platform's store that did not report a change that it had
 */
typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t refused;
  uint64_t may_have_run;
  uint64_t no_route;
  uint64_t callers_gone;
  uint64_t timeouts;
  uint64_t sends;
  uint64_t retries;
  uint64_t sheds;
  uint64_t misdirected;
  uint64_t connect_failures;
  uint64_t withdrawn;
  uint64_t poison_refused;
  uint64_t broken_answers;
  uint64_t lookups;
  uint64_t regions_lost;
  uint64_t spilled;
  uint64_t held_back;
  uint64_t sent_by_relay;
  uint64_t relayed;
  uint64_t relays_lost;
  uint64_t unauthorized;
  uint64_t revoked;
  uint64_t over_quota;
  uint64_t load_reports;
  uint64_t load_reports_invalid;
  uint64_t leaving_notices;
  uint64_t pauses;
  uint64_t pauses_invalid;
  uint64_t fair_reordered;
  uint64_t fair_yielded;
  uint64_t store_restores;
  uint64_t watch_timeouts;
  uint64_t watches_silent;
} NodCounters;

/**
 * struct NodAccountChange - accounts of a new configuration, which are applied in steps
 * @pending: not all are applied
 * @previous: table before, or NULL
 * @dropped: number of accounts of @previous whose quotas are dropped if they were removed
 * @applied: number of accounts of the table in force that are applied
 */
typedef struct
{
  bool pending;
  RteTable *previous;
  guint dropped;
  guint applied;
} NodAccountChange;

/**
 * struct Node - state of the node process
 * @log: log of the node's own state
 * @log_load: rate limit of @log
 * @request_log: log of single requests, whose lines don't count towards the rate limit of @log
 * @request_log_load: rate limit of @request_log
 * @memory: budget of the process's memory and descriptors
 * @turned_away_logged: mbg_turned_away() of the last log line
 * @store_lost: the platform's store cannot be reached
 * @splits_updated_at_ms: time of the last update of the traffic splits
 * @sent_by_region: requests sent since the last log line, by region
 * @traffic: bytes sent and received, by purpose and distance
 * @control: scheduler of control work: messages between nodes and calls of the platform's store
 * @store_connections: connections to the platform's store, on the loop of @control
 * @ucn: connections to upstreams and relays
 * @table: routing table in force; NULL until the first configuration
 * @account_change: accounts of @table that are still to be applied
 * @configured_at_ms: time since which @table is in force
 * @account_secret: key of the hash of API keys
 * @rejects_logged_at_s: last second in which a rejection on arrival was logged
 * @rejects_logged: rejections logged in that second
 * @revocations_pending: an open request may be marked as revoked and not rejected yet
 * @evacuated: names of the zones under evacuation, whose upstreams get no new requests
 * @services: NodService by name
 * @route_stats: NodRouteStats by name of the route
 * @quotas: quotas of client accounts
 * @zone_rtt_ms: shortest time measured for connecting to each zone; UINT32_MAX while unknown
 * @open_requests: callers' and relayed requests that have no response yet
 * @requests: callers' requests that have no response yet, as Frq in order of arrival
 * @latency: time from the arrival of a request to the delivery of an upstream's response
 */
typedef struct Node
{
  uv_loop_t *loop;
  Log log;
  LogRateLimit log_load;
  Log request_log;
  LogRateLimit request_log_load;
  NodSettings settings;
  Mbg memory;
  uint64_t turned_away_logged;
  NodHeaders headers;
  NodState state;
  uint64_t started_at_ms;
  uint64_t stopping_since_ms;
  bool store_lost;
  uint64_t splits_updated_at_ms;
  RgnCounts sent_by_region;
  Trf traffic;
  Cts control;
  UcnCtx store_connections;
  UcnCtx ucn;
  UpsTable upstreams;
  Per peers;
  Tpt transport;
  PoiTable poison;
  RteTable *table;
  NodAccountChange account_change;
  uint64_t configured_at_ms;
  AccSecret account_secret;
  uint64_t rejects_logged_at_s;
  uint32_t rejects_logged;
  bool revocations_pending;
  GHashTable *evacuated;
  GHashTable *services;
  GHashTable *route_stats;
  Quo *quotas;
  uint32_t zone_rtt_ms[ZONES_MAX];
  Rly relays;
  HsvServer *front;
  HsvServer *relay;
  HsvServer *ready;
  HsvServer *lookup;
  HsvServer *metrics;
  uv_timer_t tick;
  uint32_t open_requests;
  GQueue requests;
  MetHistogram latency;
  Lag lag;
  NodCounters counters;
} Node;

/** nod_init() - initializes the state; the caller has set the log, the settings and the headers. */
void nod_init (Node *node, uv_loop_t *loop);

/**
 * nod_start() - opens the listeners and starts the timers
 * @on_lookup: handles lookups
 *
 * Return: false with @err set when an address cannot be used. Without its relay or metrics
 * listener, the node starts all the same.
 */
bool nod_start (Node *node, HsvHandler on_lookup, Err *err);

/** nod_clear() - releases the state after the loop has ended. */
void nod_clear (Node *node);

/** nod_run_control() - runs control work if any is due; to be called before each piece of request
 * processing. */
void nod_run_control (Node *node);

/** nod_send_response() - sends an upstream's response to the caller or node that asked for it; its
 * body is moved, and counts as memory in use until it is written. */
void nod_send_response (Node *node, h2o_req_t *h2o, const UcnResponse *response);

/** nod_stop() - starts a graceful stop, at the end of which the loop ends. */
void nod_stop (Node *node);

/** nod_response_deadline_ms() - time by which all responses must be sent; UINT64_MAX unless the
 * node is stopping. */
uint64_t nod_response_deadline_ms (const Node *node);

/** nod_rejects_requests() - whether the node has been stopping for so long that it rejects new
 * requests. */
bool nod_rejects_requests (const Node *node);

/**
 * nod_configure() - applies a configuration
 * @table: its routing table; the node takes ownership of the reference
 *
 * Return: false when @table is not newer than the one in force.
 */
bool nod_configure (Node *node, RteTable *table);

/** nod_apply_upstream() - applies an upstream's registration, or its removal when @record is NULL.
 */
void nod_apply_upstream (Node *node, const char *id, const UpsRecord *record);

/** nod_evacuate() - starts or ends the evacuation of a zone. */
void nod_evacuate (Node *node, const char *zone, bool evacuated);

/** nod_set_store_reachable() - records whether the platform's store can be reached. */
void nod_set_store_reachable (Node *node, bool reachable);

/** nod_assign_cold() - updates which cold upstreams are assigned to this node. */
void nod_assign_cold (Node *node, uint64_t now_ms);

/** nod_zone_index() - index of a zone in the settings, or ZONE_NONE. */
uint32_t nod_zone_index (const Node *node, const char *zone);

/** nod_region() - index of a zone's region, or REGIONS_MAX when the zone is not in the settings. */
uint32_t nod_region (const Node *node, uint32_t zone);

/** nod_traffic() - the counter of traffic with a zone. */
TrfCount *nod_traffic (Node *node, TrfPurpose purpose, uint32_t zone);

/** nod_service(), nod_route_stats() - the state of a service, the statistics of a route; created at
 * first use. */
NodService *nod_service (Node *node, const char *name);
NodRouteStats *nod_route_stats (Node *node, const RteRoute *route);

/** nod_node_count() - number of nodes that share a retry budget, at least 1. */
uint32_t nod_node_count (const Node *node);
