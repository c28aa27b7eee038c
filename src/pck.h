/* Load balancing: choice of zone and upstream. Pure: no I/O, no clock; the RNG is passed in. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef PckPolicy - load balancing policy for the choice among eligible upstreams
 * @PCK_TWO_CHOICES: the less loaded of two random upstreams
 * @PCK_LEAST_REPORTED: the lowest reported load
 */
typedef enum
{
  PCK_TWO_CHOICES,
  PCK_RANDOM,
  PCK_LEAST_REPORTED,
  PCK_ROUND_ROBIN,
} PckPolicy;

/**
 * struct PckCandidate - an upstream that may be chosen
 * @eligible: whether it accepts requests
 * @slots: requests that it runs at the same time
 * @usable_slots: maximum requests in flight, limited by the slow start and the entry's budget
 * @in_flight: the entry's requests on it
 * @load_permille: estimated load, see hlt_load_permille()
 */
typedef struct
{
  bool eligible;
  uint32_t slots;
  uint32_t usable_slots;
  uint32_t in_flight;
  uint32_t load_permille;
} PckCandidate;

#define PCK_NONE UINT32_MAX

/**
 * pck_choose_upstream() - chooses an eligible upstream with a free usable slot
 * @cursor: state of the round robin
 *
 * Return: its index in @candidates, or PCK_NONE.
 */
uint32_t pck_choose_upstream (const PckCandidate *candidates, uint32_t count, PckPolicy policy,
                              GRand *random, uint32_t *cursor);

/**
 * pck_upstream_budget() - maximum requests in flight of an entry on one upstream
 * @slots: slots of the upstream
 * @zone_budget: the entry's budget for the zone, requests in flight
 * @zone_slots: slots of all upstreams that serve in the zone
 *
 * The budget is divided over the zone's upstreams by their slots, without regard to reported load,
 * which may be wrong. All entries together exceed an upstream's slots by less than one request per
 * entry, and an entry can use its whole budget. Return: the upstream's part, rounded up.
 */
uint32_t pck_upstream_budget (uint32_t slots, uint32_t zone_budget, uint32_t zone_slots);

/**
 * pck_choose_zone() - chooses the zone of the next request by smooth weighted round robin
 * @weights_ppm: ZONES_MAX weights; a zone of weight 0 is never chosen
 * @current_weights: ZONES_MAX values of state, one array per client group
 *
 * Every sequence of consecutive requests is split by the weights, up to rounding.
 * Return: the zone's index, or ZONE_NONE when all weights are 0.
 */
uint32_t pck_choose_zone (const uint32_t *weights_ppm, int64_t *current_weights);

/** pck_policy_parse() - parses the name of a policy; false when unknown. */
bool pck_policy_parse (const char *name, PckPolicy *policy);
