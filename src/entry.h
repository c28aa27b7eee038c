/* State of an entry process, and the messages between its tasks. */
#pragma once

#include "cfg.h"
#include "chart.h"
#include "hcl.h"
#include "hlt.h"
#include "hsv.h"
#include "log.h"
#include "lon.h"
#include "mem.h"
#include "met.h"
#include "obs.h"
#include "onc.h"
#include "pck.h"
#include "pln.h"
#include "poi.h"
#include "rty.h"
#include "sto.h"

typedef enum
{
  ENTRY_JOINING,
  ENTRY_SERVING,
  ENTRY_DRAINING,
  ENTRY_STOPPED,
} EntryState;

/** struct EntryUsage - what was carried for one group and zone, integrated over time */
typedef struct
{
  uint64_t requests;
  uint64_t refused;
  uint64_t busy_ms;
  uint64_t bytes;
  uint32_t in_flight;
  uint64_t counted_at_ms;
} EntryUsage;

/** struct EntryUpstream - an upstream as this entry uses it */
typedef struct
{
  char id[NAME_MAX_BYTES];
  NetAddr addr;
  uint8_t zone;
  uint32_t slots;
  uint32_t in_flight;
  uint32_t suspects;
  bool listed;
  bool leaving_listed;
  bool drained;
  Hlt health;
  h2o_socketpool_t pool;
} EntryUpstream;

/** struct EntryLoan - budget held from one lender's process */
typedef struct
{
  char lender[NAME_MAX_BYTES];
  uint64_t incarnation;
  uint32_t zone;
  uint32_t slots;
  uint64_t used_at_ms;
  uint64_t stated_at_ms;
  bool asking;
} EntryLoan;

/** struct EntryService - a service as this entry carries it */
typedef struct
{
  char name[NAME_MAX_BYTES];
  const CfgService *cfg;
  GPtrArray *upstreams;
  PlnGroup groups[ZONES_MAX];
  uint32_t plan_shares[ZONES_MAX][ZONES_MAX];
  int64_t credit[ZONES_MAX][ZONES_MAX];
  BudBalance holds[ZONES_MAX];
  EntryUsage usage[ZONES_MAX][ZONES_MAX];
  RtyBucket retries;
  GQueue waiting[ZONES_MAX];
  uint32_t waiting_count;
  GPtrArray *loans;
  uint32_t next_lender;
  uint32_t cursor;
} EntryService;

typedef struct
{
  uint64_t lookups;
  uint64_t requests;
  uint64_t answered;
  uint64_t refused_not_run;
  uint64_t may_have_run;
  uint64_t replayed;
  uint64_t retries;
  uint64_t sheds;
  uint64_t resumed_downloads;
  uint64_t cut_answers;
  uint64_t callers_gone;
  uint64_t poison_refused;
  uint64_t crashes_seen;
  uint64_t ejections;
  uint64_t claims_won;
  uint64_t claims_lost;
  uint64_t claims_unavailable;
  uint64_t claims_read_back;
  uint64_t loans_granted;
  uint64_t loans_received;
  uint64_t queued;
  uint64_t queue_timeouts;
} EntryCounters;

/**
 * struct Entry - an entry process
 * @plan_epoch: plan in force
 * @news: items for the steer that were not yet sent
 */
typedef struct
{
  uv_loop_t *loop;
  Log log;
  HclCtx http;
  Sto store;
  OncClient *client;
  OncServer *rpc_server;
  HsvServer *server;
  char vm[NAME_MAX_BYTES];
  uint64_t incarnation;
  NetAddr steer;
  GRand *random;
  PckPolicy policy;
  bool claims_enabled;
  bool baseline;
  Chart entry_chart;
  Chart request_chart;
  Chart upstream_chart;
  int32_t state;
  ObjTable objects;
  Cfg *cfg;
  uint64_t cfg_since_ms;
  uint64_t plan_revision;
  uint64_t plan_epoch;
  MemTable members;
  ObsTable observations;
  PoiTable poison;
  GArray *news;
  GHashTable *services;
  GHashTable *claimed_locally;
  LonTable loan_book;
  uint64_t loan_sequence;
  void *sync;
  uint32_t open_requests;
  uint64_t draining_since_ms;
  uint64_t stopped_at_ms;
  uint64_t last_lookup_ms;
  MetHistogram latency;
  MetHistogram claim_latency;
  EntryCounters counters;
} Entry;

uint64_t entry_now_ms (const Entry *entry);

/* Services, zones and upstreams. */
EntryService *esv_get (Entry *entry, const char *name);
void esv_config_changed (Entry *entry);
void esv_plan_changed (Entry *entry, const Plan *plan);
void esv_tick (Entry *entry);
void esv_count (Entry *entry, EntryUsage *usage, int32_t change);

/** esv_pick() - an upstream of the zone that may take a request now, or NULL. */
EntryUpstream *esv_pick (Entry *entry, EntryService *service, uint32_t zone, const GPtrArray *tried,
                         bool suspect);
EntryUpstream *esv_find (const EntryService *service, const char *id);

/** esv_upstream_failed() - a request failed on it; ejects it when there were too many. */
void esv_upstream_failed (Entry *entry, EntryService *service, EntryUpstream *upstream);

/** esv_saw_leaving() - an answer said that the upstream leaves. */
void esv_saw_leaving (Entry *entry, EntryUpstream *upstream);

/* Look-ups. */
void lkp_answer (Entry *entry, h2o_req_t *req);

/* Requests. */
void req_start (Entry *entry, h2o_req_t *req, const char *path);

/** dsp_wake() - dispatches waiting requests of a zone whose budget or upstreams changed. */
void dsp_wake (Entry *entry, EntryService *service, uint32_t zone);

/* Synchronisation with the steer. */
void syn_start (Entry *entry);
void syn_now (Entry *entry);
void syn_add_poison (Entry *entry, uint64_t fingerprint, uint32_t crashes);

/* Budget loans. */
extern const OncProc lot_procs[];
void lot_start (Entry *entry);
void lot_fill_report (const Entry *entry, wire_report *report);

/* Dump and metrics. */
char *edm_dump (const Entry *entry);
char *edm_metrics (const Entry *entry);
