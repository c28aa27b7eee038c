/* Poison requests: upstream crashes counted by request fingerprint, exchanged between nodes. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct PoiTable - suspects by fingerprint
 * @crashes_max: a suspect with that many crashes or more is blocked
 * @version: increases with each change of a suspect
 */
typedef struct
{
  GHashTable *by_fingerprint;
  uint32_t crashes_max;
  uint64_t version;
} PoiTable;

/**
 * struct PoiSuspect - a request that may crash upstreams
 * @crashes: crashes since the last response to the request; 0 if a response is its latest event
 * @at_ms: time of the latest crash, or of the response if @crashes is 0
 * @trial_at_ms: when poi_admit() last admitted it after a block; 0 for never
 * @version: the table's version at the last change of this suspect
 */
typedef struct
{
  uint64_t fingerprint;
  uint32_t crashes;
  uint64_t at_ms;
  uint64_t trial_at_ms;
  uint64_t version;
} PoiSuspect;

/** poi_init() - creates an empty table; @crashes_max: see &struct PoiTable. */
void poi_init (PoiTable *table, uint32_t crashes_max);
void poi_clear (PoiTable *table);

/** poi_fingerprint() - hash of method, path and body; equal for the retries of a request. */
uint64_t poi_fingerprint (const char *method, const char *path, const void *body, size_t size);

/** poi_record_crash() - counts a crash of an upstream that was running the request, maybe with
 * others. */
const PoiSuspect *poi_record_crash (PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/**
 * poi_merge() - merges a count reported by a peer
 * @crashes: the peer's count; 0 if the request got a response at @at_ms, which clears older crashes
 * @at_ms: time of the peer's latest crash, or of the response
 *
 * Ignored are counts that are not higher than the known one, and crashes from before a response.
 *
 * Return: true if the table changed.
 */
bool poi_merge (PoiTable *table, uint64_t fingerprint, uint32_t crashes, uint64_t at_ms);

/** poi_record_response() - clears the crashes of a request that got a response. */
void poi_record_response (PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/**
 * poi_crashes() - crashes of the request that still count
 *
 * Fewer crashes than the limit count for POISON_TTL_MS after the latest one. A blocked suspect
 * counts as one crash short of the limit after its block, so that a single crash blocks it again.
 */
uint32_t poi_crashes (const PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/**
 * poi_is_blocked() - whether the request has reached the limit of crashes
 *
 * The first block lasts POISON_TTL_MS after the latest crash; each further crash doubles it, up to
 * POISON_BLOCK_MAX_MS.
 */
bool poi_is_blocked (const PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/**
 * poi_admit() - whether a request that has just arrived may be sent to an upstream
 *
 * After a block it admits one request as a trial, and the next one only when the block's duration
 * has passed again or the trial got a response.
 */
bool poi_admit (PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/** poi_expire() - removes suspects and responses that no longer count; suspects that were blocked
 * stay for POISON_MEMORY_MS after their block. */
void poi_expire (PoiTable *table, uint64_t now_ms);
