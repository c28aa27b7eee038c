/* Placement: selects the upstream that serves a request. Pure: no I/O and no clock. */
#include "plc.h"

#define PERMILLE 1000u

/* Likelihood that the primary or the standby upstream of an object is warm for it. */
#define PRIMARY_WARM_PERMILLE 800u
#define STANDBY_WARM_PERMILLE 400u

/* From these values on, a candidate counts as degraded. */
#define SLOW_PERMILLE 3000u
#define FAULTY_PERMILLE 400u

/* Work beyond the good slots is assumed to take longer by this factor. */
#define BEYOND_KNEE_FACTOR 2

/**
 * struct Ranking - eligible candidates of one region by their score for an object
 * @primary_score: highest score
 * @standby_score: second-highest score
 * @count: number of eligible candidates
 * @standby_allowed: the primary is degraded, or no assigned upstream of the allowed regions
 *   is usable
 * @primary_untried: this node has sent the primary no request since it joined
 */
typedef struct
{
  uint32_t primary_score;
  uint32_t standby_score;
  uint32_t count;
  bool standby_allowed;
  bool primary_untried;
} Ranking;

/* Score of an upstream for an object; the object is assigned to the highest one. */
static uint32_t
rendezvous_score (uint32_t key, uint32_t hash)
{
  uint32_t x = key ^ (hash * 0x9e3779b1u);

  x = (x ^ (x >> 16)) * 0x85ebca6bu;
  x = (x ^ (x >> 13)) * 0xc2b2ae35u;
  return x ^ (x >> 16);
}

static uint32_t
good_slots (const PlcCandidate *candidate)
{
  return candidate->good_slots > 0 ? candidate->good_slots : candidate->slots;
}

/* It runs so many requests that its work takes longer. */
static bool
is_beyond_knee (const PlcCandidate *candidate)
{
  return good_slots (candidate) < candidate->slots
         && candidate->in_flight >= good_slots (candidate);
}

static bool
is_degraded (const PlcCandidate *candidate)
{
  return candidate->slow || is_beyond_knee (candidate)
         || candidate->slowness_permille >= SLOW_PERMILLE
         || candidate->fault_permille >= FAULTY_PERMILLE;
}

static void
ranking_add (Ranking *ranking, const PlcCandidate *candidate, uint32_t score)
{
  ranking->count++;
  if (score > ranking->primary_score)
    {
      ranking->standby_score = ranking->primary_score;
      ranking->primary_score = score;
      ranking->standby_allowed = is_degraded (candidate);
      ranking->primary_untried = candidate->untried;
    }
  else if (score > ranking->standby_score)
    ranking->standby_score = score;
}

static bool
is_permitted (const PlcCandidate *candidate, const PlcRequest *request)
{
  return candidate->region < REGIONS_MAX && (candidate->local_zone || !request->local_zone_only);
}

static void
rank_regions (const PlcCandidate *candidates, uint32_t count, const PlcRequest *request,
              Ranking *rankings)
{
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    rankings[r] = (Ranking){ 0 };
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].eligible && is_permitted (&candidates[i], request))
      ranking_add (&rankings[candidates[i].region], &candidates[i],
                   rendezvous_score (request->key, candidates[i].hash));
}

static bool
region_is_allowed (const PlcCandidate *candidate, const PlcRequest *request)
{
  return is_permitted (candidate, request) && (request->regions >> candidate->region & 1u) != 0;
}

/* Whether the region is assigned the object, with the same result on every node. */
static bool
region_is_assigned (const Ranking *ranking, const PlcRequest *request)
{
  uint64_t capacity = (uint64_t) ranking->count * PLC_OBJECTS_PER_UPSTREAM;

  if (capacity >= request->objects)
    return true;
  return rendezvous_score (request->key, 0) % request->objects < capacity;
}

static bool
is_warm (const PlcCandidate *candidate, uint32_t key)
{
  for (uint32_t i = 0; i < candidate->object_count; i++)
    if (candidate->objects[i] == key)
      return true;
  return false;
}

/* Likelihood that the candidate is warm for the object; 0 when the object is not assigned to it. */
static uint32_t
warm_likelihood_permille (const PlcCandidate *candidate, const PlcRequest *request,
                          const Ranking *rankings)
{
  if (request->key == 0 || !is_permitted (candidate, request))
    return 0;
  const Ranking *region = &rankings[candidate->region];
  uint32_t score = rendezvous_score (request->key, candidate->hash);
  if (score < region->standby_score)
    return 0;
  bool warm = is_warm (candidate, request->key);
  bool primary = score >= region->primary_score;
  bool standby = score >= region->standby_score && candidate->region == request->standby_region
                 && (region->standby_allowed || (region->primary_untried && warm));
  if (!(primary || standby) || !region_is_assigned (region, request))
    return 0;
  if (warm)
    return PERMILLE;
  return primary ? PRIMARY_WARM_PERMILLE : STANDBY_WARM_PERMILLE;
}

static bool
is_idle_untried_primary (const PlcCandidate *candidate, const PlcRequest *request,
                         const Ranking *rankings)
{
  return candidate->untried && candidate->in_flight == 0
         && rendezvous_score (request->key, candidate->hash)
                >= rankings[candidate->region].primary_score;
}

static uint32_t
expected_work_ms (const PlcCandidate *candidate, const PlcRequest *request, uint32_t warm_permille)
{
  uint64_t weighted_ms = (uint64_t) request->warm_ms * warm_permille
                         + (uint64_t) request->cold_ms * (PERMILLE - warm_permille);

  uint64_t work_ms = weighted_ms / PERMILLE * candidate->slowness_permille / PERMILLE;
  if (candidate->pace_permille == 0)
    return (uint32_t) work_ms;
  return (uint32_t) (work_ms * candidate->pace_permille / PERMILLE);
}

static uint32_t
expected_wait_ms (const PlcCandidate *candidate, uint32_t work_ms)
{
  if (candidate->in_flight < candidate->slots)
    return 0;
  return (candidate->in_flight - candidate->slots + 1) * work_ms / candidate->slots;
}

static bool
may_serve (const PlcCandidate *candidate, const PlcRequest *request, uint32_t warm_permille,
           bool allow_unassigned)
{
  if (!candidate->usable || !region_is_allowed (candidate, request))
    return false;
  if (request->key == 0)
    return candidate->in_flight < candidate->slots;
  if (warm_permille > 0)
    return expected_wait_ms (candidate, expected_work_ms (candidate, request, warm_permille))
           <= request->wait_max_ms;
  return allow_unassigned && candidate->in_flight * 2 < candidate->slots;
}

/* Expected response time, plus PLC_LOAD_COST_MS in proportion to the load. */
static uint64_t
cost_ms (const PlcCandidate *candidate, const PlcRequest *request, uint32_t warm_permille)
{
  uint64_t work_ms = expected_work_ms (candidate, request, warm_permille);
  uint64_t load_ms = (uint64_t) candidate->in_flight * PLC_LOAD_COST_MS / good_slots (candidate);

  work_ms += work_ms * candidate->fault_permille / PERMILLE;
  /* Requests without an object go elsewhere first; objects move only by the rules for standbys. */
  if (request->key == 0 && is_beyond_knee (candidate))
    work_ms *= BEYOND_KNEE_FACTOR;
  return candidate->rtt_ms + work_ms + expected_wait_ms (candidate, (uint32_t) work_ms) + load_ms;
}

uint32_t
plc_free_slots (const PlcCandidate *candidates, uint32_t count)
{
  uint32_t slots = 0;

  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].usable && candidates[i].in_flight < candidates[i].slots)
      slots += candidates[i].slots - candidates[i].in_flight;
  return slots;
}

static bool
has_usable_assigned (const PlcCandidate *candidates, uint32_t count, const PlcRequest *request,
                     const Ranking *rankings)
{
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].usable && region_is_allowed (&candidates[i], request)
        && warm_likelihood_permille (&candidates[i], request, rankings) > 0)
      return true;
  return false;
}

uint32_t
plc_choose (const PlcCandidate *candidates, uint32_t count, const PlcRequest *request)
{
  Ranking rankings[REGIONS_MAX];
  uint32_t best = PLC_NONE;
  uint64_t best_ms = UINT64_MAX;

  if (request->reserved_slots > 0 && plc_free_slots (candidates, count) <= request->reserved_slots)
    return PLC_NONE;
  rank_regions (candidates, count, request, rankings);
  if (request->standby_region < REGIONS_MAX
      && !has_usable_assigned (candidates, count, request, rankings))
    rankings[request->standby_region].standby_allowed = true;
  bool allow_unassigned = !has_usable_assigned (candidates, count, request, rankings);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t warm_permille = warm_likelihood_permille (&candidates[i], request, rankings);
      if (!may_serve (&candidates[i], request, warm_permille, allow_unassigned))
        continue;
      bool preferred
          = warm_permille > 0 && is_idle_untried_primary (&candidates[i], request, rankings);
      uint64_t candidate_ms = preferred ? 0 : cost_ms (&candidates[i], request, warm_permille);
      if (candidate_ms >= best_ms)
        continue;
      best = i;
      best_ms = candidate_ms;
    }
  return best;
}
