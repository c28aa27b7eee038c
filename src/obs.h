/* Observations of upstreams by probers, one for each upstream and region. Pure. */
#pragma once

#include "lim.h"
#include "wire.h"

#include <glib.h>
#include <stdbool.h>

/** Region name prefix of what an entry saw in an upstream's answer. */
#define OBS_SEEN_PREFIX "seen:"

typedef enum
{
  OBS_UP,
  OBS_DOWN,
  OBS_LEAVING,
} ObsState;

/**
 * struct Obs - what the probers of one region saw last of an upstream
 * @version: the table's version when it was last worth telling, at @told_at_ms
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
  uint64_t told_at_ms;
} Obs;

typedef struct
{
  GHashTable *by_key;
  uint64_t version;
} ObsTable;

void obs_init (ObsTable *table);
void obs_clear (ObsTable *table);

/**
 * obs_learn() - takes an observation made at @at_ms
 *
 * Return: true when it changes the state, or the load by more than a tenth.
 */
bool obs_learn (ObsTable *table, const char *id, const char *region, uint32_t state,
                uint32_t load_permille, uint64_t at_ms);

/** obs_get() - the observation of @region, or the newest of another region; NULL for none. */
const Obs *obs_get (const ObsTable *table, const char *id, const char *region);

/** obs_any_leaving() - a prober of any region, or an entry lately, saw that the upstream leaves. */
bool obs_any_leaving (const ObsTable *table, const char *id, uint64_t now_ms);

const char *obs_state_name (uint32_t state);
