/* Observed states of upstreams, one for each upstream and observing region. Pure. */
#pragma once

#include "lim.h"
#include "wire.h"

#include <glib.h>
#include <stdbool.h>

/** Prefix of the region name for states that an entry took from an upstream's response. */
#define OBS_SEEN_PREFIX "seen:"

typedef enum
{
  OBS_UP,
  OBS_DOWN,
  OBS_LEAVING,
} ObsState;

/**
 * struct Obs - latest observation of an upstream from one region
 * @region: region of the probers, or OBS_SEEN_PREFIX and the VM of an entry
 * @state: an ObsState
 * @load_permille: load at the last change that obs_record() reported
 * @sends_left: how many more times a steer sends the observation to others
 * @version: the table's version at the last change, or refresh after OBS_REFRESH_MS
 * @published_at_ms: time of the observation that set @version
 */
typedef struct
{
  char id[NAME_MAX_BYTES];
  char region[NAME_MAX_BYTES];
  uint32_t state;
  uint32_t load_permille;
  uint64_t at_ms;
  uint32_t sends_left;
  uint64_t version;
  uint64_t published_at_ms;
} Obs;

typedef struct
{
  GHashTable *by_key;
  uint64_t version;
} ObsTable;

void obs_init (ObsTable *table);
void obs_clear (ObsTable *table);

/**
 * obs_record() - records an observation made at @at_ms, if it is newer than the known one
 *
 * Return: true if it is the first, or changes the state, or the load by more than 100 permille.
 */
bool obs_record (ObsTable *table, const char *id, const char *region, uint32_t state,
                 uint32_t load_permille, uint64_t at_ms);

/**
 * obs_get() - observation from @region, or else the newest by the probers of another region
 *
 * Return: NULL if there is none.
 */
const Obs *obs_get (const ObsTable *table, const char *id, const char *region);

/** obs_any_leaving() - whether probers of any region, or an entry within OBS_SEEN_TTL_MS, observed
 * that the upstream is leaving. */
bool obs_any_leaving (const ObsTable *table, const char *id, uint64_t now_ms);

const char *obs_state_name (uint32_t state);
