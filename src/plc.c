/* Placement: which upstream takes a request. Pure. */
#include "plc.h"

#define PERMILLE 1000u

/* Likelihood that an upstream knows an object that is assigned to it, or to its deputy. */
#define FIRST_PERMILLE 800u
#define DEPUTY_PERMILLE 400u

#define SLOW_PERMILLE 3000u
#define FAULTY_PERMILLE 400u

/**
 * struct Ranks - the two best scores of one region's candidates, and how many there are
 * @first_is_weak: the first is slow or faulty, or no region's first can be used
 * @first_is_new: this node has sent the first nothing since it joined
 */
typedef struct
{
  uint32_t first;
  uint32_t second;
  uint32_t count;
  bool first_is_weak;
  bool first_is_new;
} Ranks;

static uint32_t
score_of (uint32_t key, uint32_t hash)
{
  uint32_t x = key ^ (hash * 0x9e3779b1u);

  x = (x ^ (x >> 16)) * 0x85ebca6bu;
  x = (x ^ (x >> 13)) * 0xc2b2ae35u;
  return x ^ (x >> 16);
}

static bool
is_weak (const PlcCandidate *candidate)
{
  return candidate->slowness_permille >= SLOW_PERMILLE
         || candidate->fault_permille >= FAULTY_PERMILLE;
}

static void
ranks_add (Ranks *ranks, const PlcCandidate *candidate, uint32_t score)
{
  ranks->count++;
  if (score > ranks->first)
    {
      ranks->second = ranks->first;
      ranks->first = score;
      ranks->first_is_weak = is_weak (candidate);
      ranks->first_is_new = candidate->untried;
    }
  else if (score > ranks->second)
    ranks->second = score;
}

static void
rank_regions (const PlcCandidate *candidates, uint32_t count, uint32_t key, Ranks *ranks)
{
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    ranks[r] = (Ranks){ 0 };
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].listed && candidates[i].region < REGIONS_MAX)
      ranks_add (&ranks[candidates[i].region], &candidates[i], score_of (key, candidates[i].hash));
}

static bool
is_allowed (const PlcCandidate *candidate, const PlcRequest *request)
{
  return candidate->region < REGIONS_MAX && (request->regions >> candidate->region & 1u) != 0;
}

/* The same part of the objects on every node. */
static bool
region_has_object (const Ranks *ranks, const PlcRequest *request)
{
  uint64_t room = (uint64_t) ranks->count * PLC_OBJECTS_PER_UPSTREAM;

  if (room >= request->objects)
    return true;
  return score_of (request->key, 0) % request->objects < room;
}

static bool
knows_object (const PlcCandidate *candidate, uint32_t key)
{
  for (uint32_t i = 0; i < candidate->object_count; i++)
    if (candidate->objects[i] == key)
      return true;
  return false;
}

/* Likelihood that the candidate knows the object; 0 when the object is not assigned to it. */
static uint32_t
warm_permille (const PlcCandidate *candidate, const PlcRequest *request, const Ranks *ranks)
{
  if (request->key == 0 || candidate->region >= REGIONS_MAX)
    return 0;
  const Ranks *region = &ranks[candidate->region];
  uint32_t score = score_of (request->key, candidate->hash);
  if (score < region->second)
    return 0;
  bool known = knows_object (candidate, request->key);
  bool first = score >= region->first;
  bool deputy = score >= region->second && candidate->region == request->home_region
                && (region->first_is_weak || (region->first_is_new && known));
  if (!(first || deputy) || !region_has_object (region, request))
    return 0;
  if (known)
    return PERMILLE;
  return first ? FIRST_PERMILLE : DEPUTY_PERMILLE;
}

static bool
is_trial (const PlcCandidate *candidate, const PlcRequest *request, const Ranks *ranks)
{
  return candidate->untried && candidate->in_flight == 0
         && score_of (request->key, candidate->hash) >= ranks[candidate->region].first;
}

static uint32_t
work_ms (const PlcCandidate *candidate, const PlcRequest *request, uint32_t warm)
{
  uint64_t mixed
      = (uint64_t) request->warm_ms * warm + (uint64_t) request->cold_ms * (PERMILLE - warm);

  return (uint32_t) (mixed / PERMILLE * candidate->slowness_permille / PERMILLE);
}

static uint32_t
wait_ms (const PlcCandidate *candidate, uint32_t work)
{
  if (candidate->in_flight < candidate->slots)
    return 0;
  return (candidate->in_flight - candidate->slots + 1) * work / candidate->slots;
}

static bool
may_take (const PlcCandidate *candidate, const PlcRequest *request, uint32_t warm, bool any)
{
  if (!candidate->usable || !is_allowed (candidate, request))
    return false;
  if (request->key == 0)
    return candidate->in_flight < candidate->slots;
  if (warm > 0)
    return wait_ms (candidate, work_ms (candidate, request, warm)) <= request->wait_max_ms;
  return any && candidate->in_flight * 2 < candidate->slots;
}

static uint64_t
cost_ms (const PlcCandidate *candidate, const PlcRequest *request, uint32_t warm)
{
  uint64_t work = work_ms (candidate, request, warm);
  uint64_t load = (uint64_t) candidate->in_flight * PLC_LOAD_COST_MS / candidate->slots;

  work += work * candidate->fault_permille / PERMILLE;
  return candidate->rtt_ms + work + wait_ms (candidate, (uint32_t) work) + load;
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
has_likely (const PlcCandidate *candidates, uint32_t count, const PlcRequest *request,
            const Ranks *ranks)
{
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].usable && is_allowed (&candidates[i], request)
        && warm_permille (&candidates[i], request, ranks) > 0)
      return true;
  return false;
}

uint32_t
plc_choose (const PlcCandidate *candidates, uint32_t count, const PlcRequest *request)
{
  Ranks ranks[REGIONS_MAX];
  uint32_t best = PLC_NONE;
  uint64_t best_ms = UINT64_MAX;

  if (request->reserve > 0 && plc_free_slots (candidates, count) <= request->reserve)
    return PLC_NONE;
  rank_regions (candidates, count, request->key, ranks);
  if (request->home_region < REGIONS_MAX && !has_likely (candidates, count, request, ranks))
    ranks[request->home_region].first_is_weak = true;
  bool any = !has_likely (candidates, count, request, ranks);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t warm = warm_permille (&candidates[i], request, ranks);
      if (!may_take (&candidates[i], request, warm, any))
        continue;
      bool trial = warm > 0 && is_trial (&candidates[i], request, ranks);
      uint64_t ms = trial ? 0 : cost_ms (&candidates[i], request, warm);
      if (ms >= best_ms)
        continue;
      best = i;
      best_ms = ms;
    }
  return best;
}
