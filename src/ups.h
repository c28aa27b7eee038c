/* Upstreams known to a process: registration, requests in flight, failures and cached objects. */
#pragma once

#include "lim.h"
#include "lrn.h"
#include "ucn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct UpsRecord - registration of an upstream in the platform's store
 * @slots: requests that it runs at the same time
 * @born_ms: start of the incarnation, Unix milliseconds
 * @sequence: number of the registration within the incarnation
 * @cold_ms: remaining time for which the upstream is cold, 0 when it is warm
 */
typedef struct
{
  char id[NAME_MAX_BYTES];
  char service[NAME_MAX_BYTES];
  char zone[NAME_MAX_BYTES];
  NetAddr addr;
  uint32_t slots;
  bool draining;
  uint64_t born_ms;
  uint64_t sequence;
  uint32_t cold_ms;
} UpsRecord;

/**
 * struct UpsIncarnation - one run of an upstream's process
 * @born_ms: its start; not all platforms state it
 * @addr: its address, which differs from that of an incarnation with the same @born_ms
 */
typedef struct
{
  uint64_t born_ms;
  NetAddr addr;
} UpsIncarnation;

/**
 * struct Ups - state of one upstream
 * @hash: ups_hash() of its id; identifies it in messages between nodes
 * @zone: index of its zone, or ZONE_NONE
 * @gone: no longer registered; kept while requests are in flight
 * @turned_cold: it turned from warm to cold without draining, as after a crash
 * @missing_since_ms: since when its registration is missing while its removal is deferred, else 0
 * @in_flight: requests in flight from this node, without the relayed ones
 * @relayed: requests in flight that this node relays for other nodes, which count them as theirs
 * @others: requests in flight from other nodes
 * @others_in_views: part of @others that is reported in views; zone summaries report the rest
 * @failures: failures in a row
 * @backoff_until_ms: end of the backoff after the last failure
 * @shed_until_ms: end of the pause after it shed a request
 * @succeeded_at_ms: time of the last response without server error
 * @down_reports: number of peers that report it down
 * @down_reports_in_views: part of @down_reports that is reported in views
 * @paused_until_ms: end of the pause that it asked for
 * @leaving: it announced, in a response or to a peer, that this incarnation shuts down
 * @misdirected: another upstream uses its address; cleared by the next registration
 * @slowness_permille: moving average of its service time relative to the expected one
 * @learned: what this node has learned of its capacity, without effect while learning is off
 * @fault_permille: moving average of the share of requests that failed
 * @cold_assigned: while it is cold, it is assigned to this node
 * @cold_sent_ms: ring buffer of the times of the last requests sent while it was cold
 * @cold_sent_next: index in @cold_sent_ms of the next entry to overwrite
 * @objects: hashes of the objects that it handled last for this node, newest first
 * @lost_requests: fingerprints of the requests lost on it since @lost_since_ms
 * @crash_check_pending: a check whether it still listens is scheduled or in progress
 */
typedef struct
{
  UpsRecord record;
  uint32_t hash;
  uint32_t zone;
  bool gone;
  bool turned_cold;
  uint64_t missing_since_ms;
  uint64_t cold_until_ms;
  uint32_t in_flight;
  uint32_t relayed;
  uint32_t others;
  uint32_t others_in_views;
  uint32_t failures;
  uint64_t backoff_until_ms;
  uint64_t shed_until_ms;
  uint64_t succeeded_at_ms;
  uint32_t down_reports;
  uint32_t down_reports_in_views;
  uint64_t paused_until_ms;
  bool leaving;
  bool misdirected;
  uint32_t slowness_permille;
  Lrn learned;
  uint32_t fault_permille;
  bool cold_assigned;
  uint64_t cold_sent_ms[UPS_COLD_SENDS_MAX];
  uint32_t cold_sent_next;
  uint32_t objects[UPS_OBJECTS_MAX];
  uint64_t lost_requests[UPS_LOST_MAX];
  uint32_t lost_request_count;
  uint64_t lost_since_ms;
  bool crash_check_pending;
  UcnPool pool;
} Ups;

/**
 * struct UpsDeparted - feedback of an incarnation whose registration is gone
 * @hash: that of its upstream
 * @leaving, @paused_until_ms: as in &Ups
 */
typedef struct
{
  uint32_t hash;
  UpsIncarnation incarnation;
  bool leaving;
  uint64_t paused_until_ms;
} UpsDeparted;

/**
 * struct UpsTable - all known upstreams
 * @by_id: owns them
 * @by_hash: by ups_hash() of the id
 * @by_service: arrays of upstreams by service name
 * @departed: ring buffer, for registrations that come back
 * @departed_next: index in @departed of the next entry to overwrite
 */
typedef struct
{
  UcnCtx *ucn;
  GHashTable *by_id;
  GHashTable *by_hash;
  GHashTable *by_service;
  UpsDeparted departed[UPS_DEPARTED_MAX];
  uint32_t departed_next;
} UpsTable;

void ups_init (UpsTable *table, UcnCtx *ucn);
void ups_clear (UpsTable *table);

/** ups_is_older() - whether @a was made before @b: by their incarnations, then by their numbers.
 * Under one number, the one that drains is the later one where incarnations can be told apart. */
bool ups_is_older (const UpsRecord *a, const UpsRecord *b);

/**
 * ups_apply() - adds an upstream or updates it from its registration
 * @zone: index of the upstream's zone, or ZONE_NONE
 *
 * A new incarnation or address resets failures, pauses and cached objects, and closes the
 * connections to the previous one as soon as they are idle.
 *
 * Return: false when the registration is older than the one known; nothing changes then.
 */
bool ups_apply (UpsTable *table, const UpsRecord *record, uint32_t zone, uint64_t now_ms);

/** ups_incarnation() - the incarnation that is registered. */
UpsIncarnation ups_incarnation (const Ups *ups);

/** ups_is_incarnation() - whether it is still the one that is registered. */
bool ups_is_incarnation (const Ups *ups, const UpsIncarnation *incarnation);

/** ups_remove() - marks an upstream as gone; frees it when no requests are in flight. */
void ups_remove (UpsTable *table, const char *id);

Ups *ups_get (const UpsTable *table, const char *id);
Ups *ups_by_hash (const UpsTable *table, uint32_t hash);

/** ups_by_service() - upstreams of a service, or NULL. */
GPtrArray *ups_by_service (const UpsTable *table, const char *service);

/** ups_release() - ends a request in flight; frees the upstream when it is gone and unused. */
void ups_release (UpsTable *table, Ups *ups);

/** ups_release_relayed() - ends a relayed request; frees the upstream as ups_release() does. */
void ups_release_relayed (UpsTable *table, Ups *ups);

/**
 * ups_record_failure() - records a failed connection or request
 *
 * Starts a backoff from UPS_BACKOFF_FIRST_MS, which doubles with each failure in a row up to
 * UPS_BACKOFF_MAX_MS.
 */
void ups_record_failure (Ups *ups, uint64_t now_ms);

/** ups_record_error_response() - records a 5xx response; starts no backoff. */
void ups_record_error_response (Ups *ups);

/** ups_record_success() - records a response without server error and ends the backoff. */
void ups_record_success (Ups *ups, uint64_t now_ms);

/**
 * ups_mark_leaving() - marks an upstream as leaving
 * @born_ms: start of the incarnation that leaves
 *
 * Return: true when it was not marked before; false also for another incarnation.
 */
bool ups_mark_leaving (Ups *ups, uint64_t born_ms);

/** ups_pause() - no requests from this node until then; a later end already set stays. */
void ups_pause (Ups *ups, uint64_t until_ms);

/**
 * ups_resume_slots() - part of @slots that may be used after the end of a pause
 *
 * Rises in UPS_RESUME_STEPS steps over UPS_RESUME_MS, so that an upstream isn't filled at once by
 * all nodes whose pauses end together. At least 1 unless @slots is 0.
 */
uint32_t ups_resume_slots (const Ups *ups, uint32_t slots, uint64_t now_ms);

/** ups_adjust_total() - adds @count to a total, or subtracts it, stopping at 0. */
void ups_adjust_total (uint32_t *total, uint32_t count, bool add);

/** ups_is_down() - misdirected, or UPS_DOWN_FAILURES or more failures in a row. */
bool ups_is_down (const Ups *ups);

/**
 * ups_is_suspected() - at least UPS_SUSPECT_REPORTS_MIN peers report it down, and this node has had
 * no response without server error for longer than UPS_SUCCESS_MAX_AGE_MS
 */
bool ups_is_suspected (const Ups *ups, uint64_t now_ms);

/** ups_record_service_time() - updates @slowness_permille from the service time of a request. */
void ups_record_service_time (Ups *ups, uint32_t service_time_ms, uint32_t expected_ms);

bool ups_is_cold (const Ups *ups, uint64_t now_ms);

/** ups_cold_rate_allows() - fewer than @max_per_s requests were sent to it cold in the last second.
 */
bool ups_cold_rate_allows (const Ups *ups, uint32_t max_per_s, uint64_t now_ms);

/** ups_record_cold_send() - records a request sent while it is cold. */
void ups_record_cold_send (Ups *ups, uint64_t now_ms);

/**
 * ups_record_lost_request() - records a request whose connection broke before the response was
 * complete
 *
 * Equal fingerprints are recorded once.
 */
void ups_record_lost_request (Ups *ups, uint64_t fingerprint, uint64_t now_ms);

/**
 * ups_pop_lost_requests() - returns the lost requests and clears them
 * @fingerprints: array of UPS_LOST_MAX entries
 *
 * Called when the upstream refuses a connection: one of the requests lost within
 * UPS_LOST_MAX_AGE_MS before may have crashed it.
 *
 * Return: number of fingerprints.
 */
uint32_t ups_pop_lost_requests (Ups *ups, uint64_t *fingerprints, uint64_t now_ms);

/** ups_is_warm_for() - the object is among the last UPS_OBJECTS_MAX that it handled for this node.
 */
bool ups_is_warm_for (const Ups *ups, uint32_t object);

/** ups_record_object() - records an object that it handled for this node. */
void ups_record_object (Ups *ups, uint32_t object);

/** ups_hash() - 32-bit FNV-1a hash of a string. */
uint32_t ups_hash (const char *text);
