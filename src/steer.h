/* State of a steer process, and the messages between its tasks. */
#pragma once

#include "cfg.h"
#include "hcl.h"
#include "hlt.h"
#include "log.h"
#include "mem.h"
#include "met.h"
#include "obs.h"
#include "onc.h"
#include "pln.h"
#include "poi.h"
#include "sto.h"

/** struct SteerCounters - counters shown on the metrics page */
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

/** struct SteerReport - the last report of an entry */
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
 * @cfg: rebuilt when the objects change
 * @reports: last report of each entry by VM name
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
  GHashTable *poison_sends;
  GHashTable *reports;
  SteerCounters counters;
  Flw *follow;
  Gsp *gossip;
  Prb *probe;
  Ldr *lead;
} Steer;

/** steer_now_ms() - the loop's monotonic clock. */
uint64_t steer_now_ms (const Steer *steer);

/**
 * struct SteerChanges - what a set of objects changed
 * @any: at least one object was new
 * @config: at least one of them belongs to the configuration
 */
typedef struct
{
  bool any;
  bool config;
} SteerChanges;

/** steer_take_object() - takes one object and notes what it changes. */
void steer_take_object (Steer *steer, const char *path, uint64_t revision, bool deleted,
                        const char *value, SteerChanges *changes);

/** steer_objects_changed() - rebuilds the configuration when it changed, and tells the peers. */
void steer_objects_changed (Steer *steer, const SteerChanges *changes, const char *source);

/** steer_take_report() - keeps an entry's report; @direct when it came from the entry itself. */
void steer_take_report (Steer *steer, const wire_report *report, bool direct);

/** flw_start() - follows the platform: lists at start, watches when chosen. */
void flw_start (Steer *steer);
bool flw_is_watcher (const Steer *steer);
bool flw_store_answered (const Steer *steer);

/** gsp_start() - exchanges news with other steers. */
void gsp_start (Steer *steer);

/** gsp_push() - tells some peers at once. */
void gsp_push (Steer *steer);
bool gsp_peer_answered (const Steer *steer);

/** gsp_take_items() - learns news; from an entry or another steer. */
void gsp_take_items (Steer *steer, const wire_item *items, uint32_t count);

/**
 * gsp_fill_items() - writes news of all kinds
 * @known: what an entry knows already, or NULL for what other steers are still to be told
 */
wire_item *gsp_fill_items (Steer *steer, uint32_t max, const wire_news_mark *known, u_int *count);
void gsp_free_items (wire_item *items, u_int count);

/** gsp_fetch() - fetches objects after the own revision from a peer. */
void gsp_fetch (Steer *steer, NetAddr peer);

/** prb_start() - probes the upstreams that this steer is chosen for. */
void prb_start (Steer *steer);

/** liv_start() - watches whether the entry process of this VM has ended. */
void liv_start (Steer *steer);

/** ldr_start() - competes for the planner's lease and plans while holding it. */
void ldr_start (Steer *steer);

/** ldr_stop() - releases the lease when it is held, then stops the loop. */
void ldr_stop (Steer *steer);
void ldr_take_report (Steer *steer, const wire_report *report);
bool ldr_is_planner (const Steer *steer);
