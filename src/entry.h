/* State of an entry process and the functions that its modules share. */
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

/**
 * enum EntryState - state of an entry process
 * @ENTRY_JOINING: no configuration received yet
 * @ENTRY_SERVING: accepts requests
 * @ENTRY_DRAINING: asked to stop; serves until cached lookups have expired and no request is open
 * @ENTRY_STOPPED: sends its final report, then exits
 */
typedef enum
{
  ENTRY_JOINING,
  ENTRY_SERVING,
  ENTRY_DRAINING,
  ENTRY_STOPPED,
} EntryState;

/**
 * struct EntryUsage - usage of one zone by the requests of one client group, since process start
 * @requests: sent to an upstream, each attempt counted
 * @refused: rejected without having been sent to an upstream
 * @busy_ms: integral of @in_flight over time, up to @updated_at_ms
 * @bytes: of the bodies of responses
 */
typedef struct
{
  uint64_t requests;
  uint64_t refused;
  uint64_t busy_ms;
  uint64_t bytes;
  uint32_t in_flight;
  uint64_t updated_at_ms;
} EntryUsage;

/**
 * struct EntryUpstream - state of an upstream in this entry
 * @slots: requests that it runs at a time, by configuration
 * @in_flight: requests of this entry that run on it
 * @suspects_in_flight: those of them that are suspected to be poison requests
 * @configured: it is in the configuration; otherwise it stays only for its open requests
 * @configured_leaving: the configuration marks it as leaving
 * @drained: used only when its zone has no other upstream that accepts requests
 */
typedef struct
{
  char id[NAME_MAX_BYTES];
  NetAddr addr;
  uint8_t zone;
  uint32_t slots;
  uint32_t in_flight;
  uint32_t suspects_in_flight;
  bool configured;
  bool configured_leaving;
  bool drained;
  Hlt health;
  h2o_socketpool_t pool;
} EntryUpstream;

/**
 * struct EntryLoan - budget that one lender process has granted to this entry
 * @incarnation: of the lender process
 * @slots: granted and not yet returned
 * @last_used_ms: latest time at which the balance had no spare slots
 * @last_statement_ms: time of the latest statement of outstanding slots to the lender
 * @request_open: a loan request to this lender has no reply yet
 */
typedef struct
{
  char lender[NAME_MAX_BYTES];
  uint64_t incarnation;
  uint32_t zone;
  uint32_t slots;
  uint64_t last_used_ms;
  uint64_t last_statement_ms;
  bool request_open;
} EntryLoan;

/**
 * struct EntryService - state of a service in this entry
 * @cfg: NULL when the service is no longer configured
 * @groups: traffic split in force for each client group
 * @plan_shares_ppm: traffic split of the plan, by client group and zone
 * @current_weight: state of the weighted round robin over zones, by client group
 * @balances: budget of each zone
 * @usage: by client group and zone
 * @waiting: requests that wait for budget or an upstream, by zone
 * @waiting_count: sum over all zones
 * @loans: EntryLoan of each lender
 * @next_lender: round-robin position in the members, for loan requests
 * @cursor: round-robin position in the upstreams
 */
typedef struct
{
  char name[NAME_MAX_BYTES];
  const CfgService *cfg;
  GPtrArray *upstreams;
  PlnGroup groups[ZONES_MAX];
  uint32_t plan_shares_ppm[ZONES_MAX][ZONES_MAX];
  int64_t current_weight[ZONES_MAX][ZONES_MAX];
  BudBalance balances[ZONES_MAX];
  EntryUsage usage[ZONES_MAX][ZONES_MAX];
  RtyBucket retries;
  GQueue waiting[ZONES_MAX];
  uint32_t waiting_count;
  GPtrArray *loans;
  uint32_t next_lender;
  uint32_t cursor;
} EntryService;

/** struct EntryCounters - events since process start; exported as metrics of the same names */
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
 * @incarnation: start time in microseconds since 1970; identifies the process among those of its VM
 * @steer: address of this VM's steer
 * @budgets_disabled: budgets of requests in flight are off
 * @cfg_since_ms: time at which @cfg came into force
 * @plan_revision: revision of the plan object in force
 * @plan_epoch: epoch of the plan in force
 * @unsent_items: wire_item for the steer that were not yet sent
 * @services: EntryService by name
 * @claimed_locally: store paths of the claims that only this process knows
 * @granted_loans: loans to other entries
 * @loan_sequence: number of the latest loan request or statement sent
 * @sync: state of the synchronization with the steer, private to syn.c
 * @has_budget: requests and responses are held within @memory
 * @turned_away_logged: mbg_turned_away() of the last log line
 * @latency: from the start of a request to the end of its response
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
  bool budgets_disabled;
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
  GArray *unsent_items;
  GHashTable *services;
  GHashTable *claimed_locally;
  LonTable granted_loans;
  uint64_t loan_sequence;
  void *sync;
  uint32_t open_requests;
  uint64_t draining_since_ms;
  uint64_t stopped_at_ms;
  uint64_t last_lookup_ms;
  MetHistogram latency;
  MetHistogram claim_latency;
  EntryCounters counters;
  Mbg memory;
  bool has_budget;
  uint64_t turned_away_logged;
} Entry;

/** entry_now_ms() - monotonic time, cached by the event loop once per iteration. */
uint64_t entry_now_ms (const Entry *entry);

/* Services, zones and upstreams. */

/** esv_find_service() - finds a service; NULL when it was never configured. */
EntryService *esv_find_service (Entry *entry, const char *name);

/** esv_apply_config() - updates services and upstreams from the configuration in force. */
void esv_apply_config (Entry *entry);

/** esv_apply_plan() - applies a plan's traffic splits and budgets. */
void esv_apply_plan (Entry *entry, const Plan *plan);

/** esv_update() - updates upstream health and traffic splits, then dispatches waiting requests. */
void esv_update (Entry *entry);

/** esv_update_usage() - integrates busy time up to now and changes the requests in flight by
 * @change. */
void esv_update_usage (Entry *entry, EntryUsage *usage, int32_t change);

/**
 * esv_choose_upstream() - chooses an upstream of the zone that accepts a request now
 * @tried: upstreams that already failed for the request; may be NULL
 * @suspect: the request may be a poison request, so it needs an upstream without other requests
 *
 * Return: NULL when there is none.
 */
EntryUpstream *esv_choose_upstream (Entry *entry, EntryService *service, uint32_t zone,
                                    const GPtrArray *tried, bool suspect);

/** esv_find_upstream() - finds an upstream by id; NULL when there is none. */
EntryUpstream *esv_find_upstream (const EntryService *service, const char *id);

/** esv_record_failure() - records a failed request; ejects the upstream after too many. */
void esv_record_failure (Entry *entry, EntryService *service, EntryUpstream *upstream);

/** esv_record_leaving() - records and reports that a response marked the upstream as leaving. */
void esv_record_leaving (Entry *entry, EntryUpstream *upstream);

/* Lookups. */
void lkp_respond (Entry *entry, h2o_req_t *req);

/* Requests. */
void req_start (Entry *entry, h2o_req_t *req, const char *path);

/** dsp_dispatch_waiting() - dispatches waiting requests of a zone after its budget or upstreams
 * changed. */
void dsp_dispatch_waiting (Entry *entry, EntryService *service, uint32_t zone);

/* Synchronization with the steer. */
void syn_start (Entry *entry);

/** syn_now() - synchronizes at once, or again as soon as the open exchange has ended. */
void syn_now (Entry *entry);

/** syn_report_crashes() - reports crashes that requests with this fingerprint have caused. */
void syn_report_crashes (Entry *entry, uint64_t fingerprint, uint32_t crashes);

/* Budget loans between entries. */

/** eln_procs - RPC procedures of the lender */
extern const OncProc eln_procs[];
void eln_start (Entry *entry);

/** eln_fill_report() - adds the outstanding loans and the budget in use to a report. */
void eln_fill_report (const Entry *entry, wire_report *report);

/* Dump and metrics. */
char *edm_dump (const Entry *entry);
char *edm_metrics (const Entry *entry);
