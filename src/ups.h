/* Upstreams as one process sees them: what is declared, what is in flight, how they behave. */
#pragma once

#include "lim.h"
#include "ucn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct UpsRecord - an upstream as its registration declares it
 * @born_ms: start of the incarnation, Unix milliseconds
 * @sequence: number of the registration within the incarnation
 * @cold_ms: how much longer it stays cold
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
 * struct Ups - one upstream
 * @fell_cold: it is cold again though it did not leave
 * @gone: no longer registered; kept while requests are in flight
 * @relayed: requests in flight that other nodes send by way of this one, and count as theirs
 * @others: requests in flight from other nodes, of which @others_near from those whose views
 *   this node gets
 * @down_until_ms: not tried before; @failures counts failures in a row
 * @full_until_ms: it refused work for load
 * @paused_until_ms: it wants nothing from this node before
 * @leaving: it leaves, as it or a peer said; until its next incarnation
 * @misdirected: another upstream has its address; until its registration changes
 * @down_reports: peers that say that it does not answer, of which @down_near as above
 * @slowness_permille: its work times against what is usual for the route
 * @fault_permille: recent share of requests that it failed
 * @objects: hashes of the objects that it handled last for this node, newest first
 * @lost: fingerprints of the requests that were lost on it since @lost_at_ms
 * @cold_shared: this node is among the few that use it while it is cold
 * @cold_sent_ms: times of the last requests sent while it is cold
 */
typedef struct
{
  UpsRecord record;
  uint32_t hash;
  uint32_t zone;
  bool gone;
  bool fell_cold;
  uint64_t missing_since_ms;
  uint64_t cold_until_ms;
  uint32_t in_flight;
  uint32_t relayed;
  uint32_t others;
  uint32_t others_near;
  uint32_t failures;
  uint64_t down_until_ms;
  uint64_t full_until_ms;
  uint64_t succeeded_at_ms;
  uint32_t down_reports;
  uint32_t down_near;
  uint64_t paused_until_ms;
  bool leaving;
  bool misdirected;
  uint32_t slowness_permille;
  uint32_t fault_permille;
  bool cold_shared;
  uint64_t cold_sent_ms[UPS_COLD_TIMES];
  uint32_t cold_cursor;
  uint32_t objects[UPS_OBJECTS_KEPT];
  uint64_t lost[UPS_LOST_KEPT];
  uint32_t lost_count;
  uint64_t lost_at_ms;
  UcnPool pool;
} Ups;

/** struct UpsBook - all upstreams; by id, by hash of the id, and by service */
typedef struct
{
  UcnCtx *ucn;
  GHashTable *by_id;
  GHashTable *by_hash;
  GHashTable *by_service;
} UpsBook;

void ups_init (UpsBook *book, UcnCtx *ucn);
void ups_clear (UpsBook *book);

/** ups_apply() - takes a registration; false when it is older than the one known. */
bool ups_apply (UpsBook *book, const UpsRecord *record, uint32_t zone, uint64_t now_ms);

/** ups_remove() - the registration is gone; no new work goes there. */
void ups_remove (UpsBook *book, const char *id);

Ups *ups_get (const UpsBook *book, const char *id);
Ups *ups_by_hash (const UpsBook *book, uint32_t hash);

/** ups_of() - upstreams of a service, or NULL. */
GPtrArray *ups_of (const UpsBook *book, const char *service);

/** ups_release() - a request on it ended; frees an upstream that is gone and unused. */
void ups_release (UpsBook *book, Ups *ups);

/** ups_unrelay() - a relayed request on it ended; frees as ups_release(). */
void ups_unrelay (UpsBook *book, Ups *ups);

/** ups_failed() - a connection or request failed; it rests for a time that doubles. */
void ups_failed (Ups *ups, uint64_t now_ms);

/** ups_answered_failure() - it answered with a failure of its own. */
void ups_answered_failure (Ups *ups);
void ups_succeeded (Ups *ups, uint64_t now_ms);

/** ups_leaves() - the incarnation that began at @born_ms leaves; true when that is news. */
bool ups_leaves (Ups *ups, uint64_t born_ms);

/** ups_pause() - it wants nothing from this node before a time. */
void ups_pause (Ups *ups, uint64_t until_ms);

/** ups_count() - adds to a number of reports, or takes back from it, down to 0. */
void ups_count (uint32_t *number, uint32_t count, bool add);

/** ups_is_down() - it does not answer this node. */
bool ups_is_down (const Ups *ups);

/** ups_is_doubted() - several peers say that it does not answer, and this node knows no better. */
bool ups_is_doubted (const Ups *ups, uint64_t now_ms);

/** ups_took() - learns from the time that a request took against the usual one. */
void ups_took (Ups *ups, uint32_t took_ms, uint32_t usual_ms);

bool ups_is_cold (const Ups *ups, uint64_t now_ms);

/** ups_cold_room() - fewer than @per_s requests were sent to it in the last second. */
bool ups_cold_room (const Ups *ups, uint32_t per_s, uint64_t now_ms);
void ups_cold_note (Ups *ups, uint64_t now_ms);

/** ups_note_lost() - a request that it was running was lost. */
void ups_note_lost (Ups *ups, uint64_t fingerprint, uint64_t now_ms);

/**
 * ups_take_lost() - requests that were lost on it just before it refused a connection, so one of
 * them may have crashed it; UPS_LOST_KEPT at most. Return: their number.
 */
uint32_t ups_take_lost (Ups *ups, uint64_t *fingerprints, uint64_t now_ms);

/** ups_knows() - it handled the object for this node lately. */
bool ups_knows (const Ups *ups, uint32_t object);
void ups_note_object (Ups *ups, uint32_t object);

/** ups_hash() - FNV-1a hash of a text. */
uint32_t ups_hash (const char *text);
