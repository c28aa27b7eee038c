/* State of a steer process, and the functions that its tasks call of each other. */
#pragma once

#include "cfg.h"
#include "hcl.h"
#include "hlt.h"
#include "hsv.h"
#include "log.h"
#include "mem.h"
#include "met.h"
#include "obs.h"
#include "onc.h"
#include "pln.h"
#include "poi.h"
#include "sto.h"

/**
 * struct SteerCounters - counters of the metrics page
 * @fetches: replies to gsp_fetch() that were applied
 * @syncs: sync calls of entries
 * @moves: steps of a traffic split that moved requests
 * @refused_moves: steps that moved no requests, first placements included
 */
typedef struct
{
  uint64_t gossip_sent;
  uint64_t gossip_received;
  uint64_t fetches;
  uint64_t syncs;
  uint64_t probes;
  uint64_t lease_takeovers;
  uint64_t lease_losses;
  uint64_t plans_written;
  uint64_t plan_conflicts;
  uint64_t moves;
  uint64_t refused_moves;
} SteerCounters;

/**
 * struct SteerReport - last report of an entry
 * @received_at_ms: when this process received it, on the loop's clock
 * @direct: received from the entry itself; else forwarded by another steer
 */
typedef struct
{
  wire_report report;
  uint64_t received_at_ms;
  bool direct;
} SteerReport;

typedef struct _Flw Flw;
typedef struct _Gsp Gsp;
typedef struct _Prb Prb;
typedef struct _Ldr Ldr;

/**
 * struct Steer - a steer process
 * @incarnation: start of the process, wall clock in microseconds
 * @seeds: steers to contact at start (NetAddr)
 * @cfg: configuration, rebuilt when its objects change; NULL until the first
 * @cfg_since_ms: when @cfg was built
 * @joined: the objects are complete enough to be passed to entries
 * @local_sync_at_ms: last sync call of this VM's entry; 0 before the first
 * @poison_sends_left: gossip messages that are still to carry a suspect, by fingerprint
 * @reports: last report (SteerReport) of each entry, by VM name
 * @status_server: metrics and state dump
 * @memory: budget of @status_server, if @has_budget
 * @turned_away_logged: mbg_turned_away() of the last log line
 */
typedef struct
{
  uv_loop_t *loop;
  Log log;
  HclCtx http;
  Sto store;
  OncClient *client;
  OncServer *server;
  char vm[NAME_MAX_BYTES];
  char region[NAME_MAX_BYTES];
  char zone[NAME_MAX_BYTES];
  uint64_t incarnation;
  uint64_t started_at_ms;
  GArray *seeds;
  GRand *random;
  Chart upstream_chart;
  ObjTable objects;
  Cfg *cfg;
  uint64_t cfg_since_ms;
  bool joined;
  uint64_t local_sync_at_ms;
  MemTable members;
  ObsTable observations;
  PoiTable poison;
  GHashTable *poison_sends_left;
  GHashTable *reports;
  SteerCounters counters;
  HsvServer *status_server;
  Mbg memory;
  bool has_budget;
  uint64_t turned_away_logged;
  Flw *follower;
  Gsp *gossip;
  Prb *probe;
  Ldr *leader;
} Steer;

/** steer_now_ms() - monotonic time of the event loop's iteration. */
uint64_t steer_now_ms (const Steer *steer);

/**
 * struct SteerChanges - result of applying a batch of objects
 * @any: at least one object changed
 * @config: at least one changed object belongs to the configuration
 */
typedef struct
{
  bool any;
  bool config;
} SteerChanges;

/** steer_apply_object() - applies one object and adds the result to @changes. */
void steer_apply_object (Steer *steer, const char *path, uint64_t revision, bool deleted,
                         const char *value, SteerChanges *changes);

/**
 * steer_objects_changed() - rebuilds the configuration and notifies peers as @changes require
 * @source: where the objects came from, for the log
 */
void steer_objects_changed (Steer *steer, const SteerChanges *changes, const char *source);

/** steer_apply_report() - stores an entry's report; @direct when the entry itself sent it. */
void steer_apply_report (Steer *steer, const wire_report *report, bool direct);

/** flw_start() - lists the store's objects, then watches them while this steer is a watcher. */
void flw_start (Steer *steer);

/** flw_is_watcher() - this steer is one of the WATCHERS_PER_REGION that watch the store. */
bool flw_is_watcher (const Steer *steer);

/** flw_has_listed() - the first list of the store has completed. */
bool flw_has_listed (const Steer *steer);

/** gsp_start() - starts the periodic exchange of updates with other steers. */
void gsp_start (Steer *steer);

/** gsp_push() - sends updates to GOSSIP_FANOUT random peers at once. */
void gsp_push (Steer *steer);

/** gsp_peer_replied() - at least one peer has replied since the start. */
bool gsp_peer_replied (const Steer *steer);

/** gsp_apply_items() - applies updates received from an entry or another steer. */
void gsp_apply_items (Steer *steer, const wire_item *items, uint32_t count);

/**
 * gsp_fill_items() - allocates an array of at most @max updates of all kinds
 * @known: versions that an entry has, to get what changed since; NULL for the updates that are
 *   still to be sent to other steers, whose count of sends is reduced
 */
wire_item *gsp_fill_items (Steer *steer, uint32_t max, const wire_known_versions *known,
                           u_int *count);
void gsp_free_items (wire_item *items, u_int count);

/** gsp_fetch() - fetches the objects newer than the own revision from @peer. */
void gsp_fetch (Steer *steer, NetAddr peer);

/** prb_start() - probes the upstreams that are assigned to this steer. */
void prb_start (Steer *steer);

/** liv_start() - checks periodically whether this VM's entry process has ended. */
void liv_start (Steer *steer);

/** ldr_start() - competes for the planner's lease, and plans while this process holds it. */
void ldr_start (Steer *steer);

/** ldr_stop() - releases the lease if this process holds it, then stops the loop. */
void ldr_stop (Steer *steer);

/** ldr_apply_report() - updates the demand from an entry's report; removes that of an ended entry.
 */
void ldr_apply_report (Steer *steer, const wire_report *report);

/** ldr_is_planner() - this process holds the planner's lease. */
bool ldr_is_planner (const Steer *steer);
