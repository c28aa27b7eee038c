/* State of a node process: one on each entry VM, which takes requests and answers look-ups. */
#pragma once

#include "crd.h"
#include "clk.h"
#include "cts.h"
#include "hsv.h"
#include "lag.h"
#include "log.h"
#include "met.h"
#include "per.h"
#include "poi.h"
#include "ptr.h"
#include "rbg.h"
#include "rgn.h"
#include "rte.h"
#include "shr.h"
#include "ucn.h"
#include "ups.h"

typedef enum
{
  NOD_STARTING,
  NOD_SERVING,
  NOD_STOPPING,
} NodState;

/** struct NodZone - an availability zone and the index of its region */
typedef struct
{
  char name[NAME_MAX_BYTES];
  uint32_t region;
} NodZone;

/**
 * struct NodHeaders - names of the headers that callers and upstreams use
 * @instance: names the upstream that is meant
 * @not_run: an upstream states that it did not run the request
 * @leaving: an upstream states that it leaves
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
} NodHeaders;

/**
 * struct NodSettings - settings of a node
 * @capacity: processors of the VM in thousandths of a core
 * @grace_ms: time between the request to stop and the forced end
 * @lookup_ttl_ms: how long callers may keep a look-up's answer
 * @shift_permille: cap on the change of a region's share of requests within two seconds
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
  uint32_t shift_permille;
  uint32_t capacity;
  uint32_t grace_ms;
  uint32_t lookup_ttl_ms;
} NodSettings;

/**
 * struct NodWork - what is learnt of a route's requests
 * @cold_ms: work time on an upstream that does not know the object
 * @warm_ms: work time on one that does
 * @deadline_ms: longest deadline seen, which is that of a first attempt
 */
typedef struct
{
  uint32_t cold_ms;
  uint32_t warm_ms;
  uint32_t deadline_ms;
} NodWork;

/**
 * struct RlyPeer - another node as a relay to the upstreams of its zone
 * @held: requests that use it
 * @down_until_ms: not used before
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  uint32_t held;
  uint64_t down_until_ms;
  UcnPool pool;
} RlyPeer;

/** struct Rly - relays by node, and the one that is used for each zone of other regions */
typedef struct
{
  GHashTable *by_vm;
  RlyPeer *of_zone[ZONES_MAX];
  uint64_t chosen_at_ms;
} Rly;

/**
 * struct NodFlow - what the callers of this node need of a service, and where its requests run
 * @asked: requests since the last tick
 * @sent: requests sent since the last tick, @away of them to other regions
 * @rate_mps: thousandths of a request a second
 * @sent_mps: the same of those sent, @away_mps of them to other regions, over a longer time
 * @work_ms: usual time of a request at work; 0 while it is not known
 * @begun: a request came
 * @load: what regions offer and their callers need, as of the last tick
 * @target: shares that the load asks for
 * @room: free slots of the regions, as of the last tick
 * @limits_ppm: parts of their requests that the regions may be sent
 * @lost_since_ms: since when a region lacks much of its upstreams without a plan; 0 when it does
 * not
 */
typedef struct
{
  uint32_t asked;
  uint32_t sent;
  uint32_t away;
  uint64_t rate_mps;
  uint64_t sent_mps;
  uint64_t away_mps;
  uint32_t work_ms;
  bool begun;
  ShrLoad load;
  ShrSplit target;
  ShrSplit shares;
  ShrSpillBucket spill;
  ShrAcceptance taking;
  uint32_t limits_ppm[REGIONS_MAX];
  uint64_t room[REGIONS_MAX];
  uint64_t lost_since_ms[REGIONS_MAX];
} NodFlow;

/**
 * struct NodService - what is kept of a service
 * @objects: census of its objects
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  Crd objects;
  RbgBudget retries;
  NodFlow flow;
  GQueue waiting;
} NodService;

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
} NodCounters;

/**
 * struct Node - central state
 * @log: lines about what the node knows and is
 * @request_log: lines about requests, whose number does not take from that of the others
 * @control: what nodes tell each other and what the store tells
 * @store_connections: connections of the control loop
 * @shares_at_ms: when the shares of the regions were last moved
 * @by_region: requests of the last second by region
 * @evacuated: zones that get no new work, a set of names
 * @open: requests without an answer, relayed ones included
 * @requests: those of callers, in the order in which they came
 */
typedef struct Node
{
  uv_loop_t *loop;
  Log log;
  LogLoad log_load;
  Log request_log;
  LogLoad request_log_load;
  NodSettings set;
  NodHeaders headers;
  NodState state;
  uint64_t started_at_ms;
  uint64_t stopping_since_ms;
  bool store_lost;
  uint64_t shares_at_ms;
  RgnCounts by_region;
  Cts control;
  UcnCtx store_connections;
  UcnCtx ucn;
  UpsBook upstreams;
  Per peers;
  Ptr transport;
  PoiTable poison;
  RteTable *table;
  GHashTable *evacuated;
  GHashTable *services;
  GHashTable *work;
  uint32_t zone_rtt_ms[ZONES_MAX];
  Rly relays;
  HsvServer *front;
  HsvServer *relay;
  HsvServer *ready;
  HsvServer *lookup;
  HsvServer *metrics;
  uv_timer_t tick;
  uint32_t open;
  GQueue requests;
  MetHistogram latency;
  Lag lag;
  NodCounters counters;
} Node;

/** nod_init() - prepares the state; settings and headers are set by the caller before. */
void nod_init (Node *node, uv_loop_t *loop);

/** nod_start() - listens and serves; @on_lookup answers look-ups. False with @err set when an
 * address cannot be used. */
bool nod_start (Node *node, HsvHandler on_lookup, Err *err);

/** nod_clear() - releases the state after the loop has ended. */
void nod_clear (Node *node);

/** nod_step() - before each step of work on requests: control work gets its turn. */
void nod_step (Node *node);

/** nod_stop() - begins a graceful stop; the loop ends when it is over. */
void nod_stop (Node *node);

/** nod_answers_until_ms() - when the last answers are given; UINT64_MAX while it does not stop. */
uint64_t nod_answers_until_ms (const Node *node);

/** nod_is_late() - it stops, and takes no new request any more. */
bool nod_is_late (const Node *node);

/** nod_configure() - puts a newer configuration in force; takes over the reference. */
bool nod_configure (Node *node, RteTable *table);

/** nod_upstream() - an upstream's registration, or its end when @record is NULL. */
void nod_upstream (Node *node, const char *id, const UpsRecord *record);

/** nod_evacuate() - starts or ends the evacuation of a zone. */
void nod_evacuate (Node *node, const char *zone, bool evacuated);

/** nod_store_contact() - contact with the platform's store was lost or is there. */
void nod_store_contact (Node *node, bool ok);

/** nod_share_cold() - works out which cold upstreams this node uses. */
void nod_share_cold (Node *node, uint64_t now_ms);

/** nod_zone_index() - index of a zone or ZONE_NONE. */
uint32_t nod_zone_index (const Node *node, const char *zone);

NodService *nod_service (Node *node, const char *name);
NodWork *nod_work (Node *node, const RteRoute *route);

/** nod_nodes() - nodes that share budgets, at least 1. */
uint32_t nod_nodes (const Node *node);
