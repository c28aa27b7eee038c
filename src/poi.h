/* Poison requests: upstream crashes counted by request fingerprint, exchanged between nodes. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct PoiTable - suspects by fingerprint
 * @version: increases with each change of a suspect
 */
typedef struct
{
  GHashTable *by_fingerprint;
  uint64_t version;
} PoiTable;

/**
 * struct PoiSuspect - a request that may crash upstreams
 * @crashes: crashes since the last response to the request; 0 if a response is its latest event
 * @at_ms: time of the latest crash, or of the response if @crashes is 0
 * @version: the table's version at the last change of this suspect
 */
typedef struct
{
  uint64_t fingerprint;
  uint32_t crashes;
  uint64_t at_ms;
  uint64_t version;
} PoiSuspect;

void poi_init (PoiTable *table);
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

/** poi_crashes() - crashes of the request; 0 from POISON_TTL_MS after the latest one. */
uint32_t poi_crashes (const PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/** poi_expire() - removes suspects whose latest crash or response is POISON_TTL_MS old. */
void poi_expire (PoiTable *table, uint64_t now_ms);
