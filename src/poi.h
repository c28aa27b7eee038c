/* Poison requests: crashes counted by request fingerprint, shared between entries. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct PoiTable - suspects by fingerprint */
typedef struct
{
  GHashTable *by_fingerprint;
  uint64_t version;
} PoiTable;

/**
 * struct PoiSuspect - what is known of a request
 * @crashes: counted since it was last answered; 0 when that is the last that is known
 * @at_ms: time of the last crash, or of the answer
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

/** poi_fingerprint() - the same for a resent request. */
uint64_t poi_fingerprint (const char *method, const char *path, const void *body, size_t size);

/** poi_crash() - the request was alone on, or among those on, an upstream that crashed. */
const PoiSuspect *poi_crash (PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/**
 * poi_learn() - takes a count from another entry; true when it was news
 *
 * A count of 0 tells that the request was answered at @at_ms, which clears what is older. Crashes
 * older than an answer are no news.
 */
bool poi_learn (PoiTable *table, uint64_t fingerprint, uint32_t crashes, uint64_t at_ms);

/** poi_clear_suspect() - the request was answered, so it is innocent of the crashes before. */
void poi_clear_suspect (PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/** poi_crashes() - crashes counted within POISON_TTL_MS. */
uint32_t poi_crashes (const PoiTable *table, uint64_t fingerprint, uint64_t now_ms);

/** poi_expire() - forgets suspects older than POISON_TTL_MS. */
void poi_expire (PoiTable *table, uint64_t now_ms);
