/* Choice of an upstream and of a zone. Pure; the random source is passed in. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** typedef PckPolicy - how an upstream is chosen */
typedef enum
{
  PCK_TWO_CHOICES,
  PCK_RANDOM,
  PCK_LEAST_REPORTED,
  PCK_ROUND_ROBIN,
} PckPolicy;

/**
 * struct PckUpstream - what is known of a candidate
 * @usable_slots: slots after the ramp of a cold start
 */
typedef struct
{
  bool eligible;
  uint32_t slots;
  uint32_t usable_slots;
  uint32_t in_flight;
  uint32_t load_permille;
} PckUpstream;

#define PCK_NONE UINT32_MAX

/** pck_upstream() - index of the chosen candidate, or PCK_NONE. */
uint32_t pck_upstream (const PckUpstream *candidates, uint32_t count, PckPolicy policy,
                       GRand *random, uint32_t *cursor);

/**
 * pck_share() - requests in flight that an entry may have on one upstream
 * @slots: slots of the upstream
 * @held: the entry's budget for the zone, requests in flight
 * @zone_slots: slots of all upstreams that serve in the zone
 *
 * All entries together exceed the slots by less than one for each entry, whatever upstreams report;
 * over the zone's upstreams an entry may use all of its budget. Return: the part, rounded up.
 */
uint32_t pck_share (uint32_t slots, uint32_t held, uint32_t zone_slots);

/**
 * pck_zone() - spreads requests over zones so that each gets its share of any run of requests
 * @credit: state kept for each group, ZONES_MAX values
 */
uint32_t pck_zone (const uint32_t *shares_ppm, int64_t *credit);

/** pck_policy_parse() - reads a policy's name; false when unknown. */
bool pck_policy_parse (const char *name, PckPolicy *policy);
