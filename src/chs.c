/* Upstream selection: chooses region and upstream of a request from the node's state. */
#include "chs.h"

#include "nsh.h"
#include "plc.h"

/* Part of a cold upstream's rate limit for each of the UPS_COLD_NODES nodes that use it, so that
 * all of them together stay below the limit. */
#define COLD_RATE_PERMILLE 450
/* A started node sends nothing to cold upstreams for this time. */
#define COLD_START_DELAY_MS 2000
#define PERMILLE 1000u
#define TRIED_MAX 8

/* Requests per second that this node may send to a cold upstream; 0 for no limit. */
static uint32_t
cold_rate_per_s (const ChsRequest *request)
{
  const RteService *service = rte_find_service (request->table, request->service->name);

  if (service == NULL || service->cold_per_s <= 0)
    return 0;
  return MAX ((uint32_t) (service->cold_per_s * COLD_RATE_PERMILLE / PERMILLE), 1);
}

static bool
cold_limit_allows (const Node *node, const Ups *ups, uint32_t max_per_s, uint64_t now_ms)
{
  if (max_per_s == 0 || !ups_is_cold (ups, now_ms))
    return true;
  if (now_ms - node->started_at_ms < COLD_START_DELAY_MS || !ups->cold_assigned)
    return false;
  return ups_cold_rate_allows (ups, max_per_s, now_ms);
}

uint32_t
chs_expected_rtt_ms (const Node *node, const Ups *ups)
{
  uint32_t zone_ms = ups->zone < ZONES_MAX ? node->zone_rtt_ms[ups->zone] : UINT32_MAX;

  if (ups->pool.min_connect_ms != UINT32_MAX)
    return ups->pool.min_connect_ms;
  if (zone_ms != UINT32_MAX)
    return zone_ms;
  return nod_region (node, ups->zone) == node->settings.region_index ? PLC_LOCAL_RTT_MS
                                                                     : PLC_REMOTE_RTT_MS;
}

/* Most services report no load; their candidates must not cost more than without learning. */
static bool
uses_reports (const Node *node, const Ups *ups)
{
  return node->settings.learned_capacity && ups->learned.reported_at_ms != 0;
}

uint32_t
chs_slots (const Node *node, const Ups *ups, uint64_t now_ms)
{
  return uses_reports (node, ups) ? lrn_stated_slots (&ups->learned, ups->record.slots, now_ms)
                                  : ups->record.slots;
}

/* Whether a knee was found, of the upstream or of its service. */
static bool
has_knee (const NodService *service, const Ups *ups)
{
  return ups->learned.curve.limit < LRN_BANDS - 1 || service->curve.limit < LRN_BANDS - 1;
}

uint32_t
chs_good_slots (const Node *node, const NodService *service, const Ups *ups, uint64_t now_ms)
{
  if (!node->settings.learned_capacity || !has_knee (service, ups))
    return chs_slots (node, ups, now_ms);
  return lrn_slots (&ups->learned, &service->curve, ups->record.slots, now_ms);
}

uint32_t
chs_in_flight (const Node *node, const Ups *ups, uint64_t now_ms)
{
  return uses_reports (node, ups)
             ? lrn_in_flight (&ups->learned, ups->in_flight, ups->others, now_ms)
             : ups->in_flight + ups->others;
}

static uint32_t
slowness_permille (const Node *node, const Ups *ups, uint64_t now_ms)
{
  return node->settings.learned_capacity
             ? lrn_slowness_permille (&ups->learned, ups->in_flight, now_ms)
             : ups->slowness_permille;
}

/* Bits of the regions that may serve both the route and the account. */
static uint32_t
find_allowed_regions (const Node *node, const ChsRequest *request)
{
  uint32_t allowed_regions = 0;

  for (uint32_t r = 0; r < MIN (node->settings.regions->len, REGIONS_MAX); r++)
    {
      const char *region = g_ptr_array_index (node->settings.regions, r);
      if (rte_allows_region (request->route, region)
          && acc_allows_region (request->account, region))
        allowed_regions |= 1u << r;
    }
  return allowed_regions;
}

bool
chs_accepts_requests (const Node *node, const Ups *ups)
{
  if (ups->gone || ups->leaving || ups->record.draining)
    return false;
  return g_hash_table_size (node->evacuated) == 0
         || !g_hash_table_contains (node->evacuated, ups->record.zone);
}

/* Objects may be assigned to the upstream, also while it is temporarily not usable. */
static bool
is_eligible (const Node *node, uint32_t allowed_regions, const Ups *ups, uint32_t region)
{
  if (ups->zone == ZONE_NONE || ups->record.slots == 0)
    return false;
  return chs_accepts_requests (node, ups) && (allowed_regions >> region & 1u) != 0;
}

static bool
is_usable (const Node *node, const Ups *ups, uint32_t cold_per_s, uint64_t now_ms)
{
  if (now_ms < ups->backoff_until_ms || now_ms < ups->shed_until_ms
      || now_ms < ups->paused_until_ms)
    return false;
  if (ups->misdirected || ups_is_suspected (ups, now_ms))
    return false;
  if (ups->failures > 0 && ups->in_flight > 0)
    return false;
  return cold_limit_allows (node, ups, cold_per_s, now_ms);
}

static PlcCandidate *
new_candidates (const Node *node, const ChsRequest *request, uint32_t allowed_regions,
                const GPtrArray *upstreams, uint64_t now_ms)
{
  PlcCandidate *candidates = g_new0 (PlcCandidate, MAX (upstreams->len, 1));
  uint32_t cold_per_s = cold_rate_per_s (request);
  bool learned = node->settings.learned_capacity;

  for (guint i = 0; i < upstreams->len; i++)
    {
      const Ups *ups = g_ptr_array_index (upstreams, i);
      uint32_t region = nod_region (node, ups->zone);
      if (region >= REGIONS_MAX)
        continue;
      bool eligible = is_eligible (node, allowed_regions, ups, region);
      candidates[i] = (PlcCandidate){
        .eligible = eligible && !ups_is_down (ups),
        .usable = eligible && is_usable (node, ups, cold_per_s, now_ms),
        .hash = ups->hash,
        .region = region,
        .local_zone = ups->zone == node->settings.zone_index,
        .slots = ups_resume_slots (ups, chs_slots (node, ups, now_ms), now_ms),
        .good_slots = chs_good_slots (node, request->service, ups, now_ms),
        .in_flight = chs_in_flight (node, ups, now_ms),
        .rtt_ms = chs_expected_rtt_ms (node, ups),
        .slowness_permille = slowness_permille (node, ups, now_ms),
        .slow = learned && ups->learned.slow,
        .pace_permille
        = uses_reports (node, ups) ? lrn_pace_permille (&ups->learned, now_ms) : PERMILLE,
        .fault_permille = ups->fault_permille,
        .untried = ups->objects[0] == 0 && region == node->settings.region_index,
        .objects = ups->objects,
        .object_count = UPS_OBJECTS_MAX
      };
    }
  return candidates;
}

static uint32_t
sum_slots (const Node *node, const GPtrArray *upstreams, uint64_t now_ms)
{
  uint32_t slots = 0;

  for (guint i = 0; i < upstreams->len; i++)
    slots += chs_slots (node, g_ptr_array_index (upstreams, i), now_ms);
  return slots;
}

ChsCandidates *
chs_candidates_new (const Node *node, const ChsRequest *request)
{
  GPtrArray *upstreams = ups_by_service (&node->upstreams, request->service->name);
  ChsCandidates *set = g_new0 (ChsCandidates, 1);
  uint64_t now_ms = clk_now_ms ();

  set->node = node;
  set->upstreams = upstreams;
  if (upstreams == NULL || upstreams->len == 0)
    return set;
  set->allowed_regions = find_allowed_regions (node, request);
  set->candidates = new_candidates (node, request, set->allowed_regions, upstreams, now_ms);
  set->total_slots = sum_slots (node, upstreams, now_ms);
  return set;
}

void
chs_candidates_free (ChsCandidates *set)
{
  g_free (set->candidates);
  g_free (set);
}

static bool
was_tried (const ChsRequest *request, uint32_t hash)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == hash)
      return true;
  return false;
}

/* Marks candidates that were tried before as not usable; returns their number, and their indices
 * in @excluded. */
static uint32_t
exclude_tried (ChsCandidates *set, const ChsRequest *request, uint32_t *excluded,
               uint32_t excluded_max)
{
  uint32_t count = 0;

  for (guint i = 0; request->tried_count > 0 && i < set->upstreams->len && count < excluded_max;
       i++)
    {
      if (!set->candidates[i].usable || !was_tried (request, set->candidates[i].hash))
        continue;
      set->candidates[i].usable = false;
      excluded[count++] = i;
    }
  return count;
}

/* Estimated number of distinct objects of this node's callers whose requests run in the region. */
static uint32_t
distinct_objects_in (const NodService *service, uint32_t region)
{
  uint64_t objects = crd_estimate (&service->objects);

  return (uint32_t) (objects * service->traffic.shares.ppm[region] / SHARE_ONE_PPM);
}

/* Whether the upstreams of the node's availability zone are enough for the objects of its callers.
 */
static bool
zone_holds_objects (const ChsCandidates *set, uint32_t objects)
{
  uint32_t count = 0;

  for (guint i = 0; i < set->upstreams->len; i++)
    if (set->candidates[i].eligible && set->candidates[i].local_zone)
      count++;
  return count > 0 && (uint64_t) count * PLC_OBJECTS_PER_UPSTREAM >= objects;
}

/* Large bodies stay within the zone as long as it has room, at the cost of a copy of the object in
 * each zone. */
static uint32_t
choose_placement (const ChsCandidates *set, const ChsRequest *request, PlcRequest *placement)
{
  if (rte_has_large_bodies (request->route)
      && placement->standby_region == set->node->settings.region_index
      && zone_holds_objects (set, placement->objects))
    {
      placement->local_zone_only = true;
      uint32_t index = plc_choose (set->candidates, set->upstreams->len, placement);
      if (index != PLC_NONE)
        return index;
      placement->local_zone_only = false;
    }
  return plc_choose (set->candidates, set->upstreams->len, placement);
}

static uint32_t
max_queue_wait_ms (const Node *node, const RteRoute *route)
{
  uint32_t divisor = node->peers.zoned ? PLC_ZONED_QUEUE_WAIT_DIVISOR : PLC_QUEUE_WAIT_DIVISOR;

  return route->objective_ms / divisor;
}

static Ups *
choose_in (const ChsCandidates *set, const ChsRequest *request, uint32_t region)
{
  PlcRequest placement = { .key = request->key,
                           .cold_ms = request->work->cold_ms,
                           .warm_ms = request->work->warm_ms,
                           .objects = distinct_objects_in (request->service, region),
                           .standby_region = region,
                           .regions = 1u << region,
                           .wait_max_ms = max_queue_wait_ms (set->node, request->route),
                           .reserved_slots = adm_reserve (request->admission, set->total_slots) };
  uint32_t index = choose_placement (set, request, &placement);

  return index != PLC_NONE ? g_ptr_array_index (set->upstreams, index) : NULL;
}

static ChsChoice
choose_region (const ChsCandidates *set, const ChsRequest *request)
{
  ChsChoice choice = { .region = nsh_assigned_region (request->service, set->allowed_regions,
                                                      request->region_hash) };

  if (choice.region >= REGIONS_MAX)
    return choice;
  choice.held_back = nsh_exceeds_shift_cap (request->service, choice.region, request->draw_ppm);
  if (choice.held_back)
    return choice;
  choice.ups = choose_in (set, request, choice.region);
  if (choice.ups != NULL)
    return choice;
  uint32_t spill_region
      = nsh_spill_region (request->service, set->allowed_regions, choice.region, request->draw_ppm);
  if (spill_region < REGIONS_MAX)
    choice.ups = choose_in (set, request, spill_region);
  return choice;
}

uint64_t
chs_earliest_resume_ms (const Node *node, const ChsRequest *request)
{
  const GPtrArray *upstreams = ups_by_service (&node->upstreams, request->service->name);
  uint32_t allowed_regions = find_allowed_regions (node, request);
  uint64_t soonest_ms = UINT64_MAX;

  if (upstreams == NULL || upstreams->len == 0)
    return 0;
  for (guint i = 0; i < upstreams->len; i++)
    {
      const Ups *ups = g_ptr_array_index (upstreams, i);
      uint32_t region = nod_region (node, ups->zone);
      if (region < REGIONS_MAX && is_eligible (node, allowed_regions, ups, region))
        soonest_ms = MIN (soonest_ms, ups->paused_until_ms);
    }
  return soonest_ms;
}

ChsFeedback
chs_count_feedback (const Node *node, const char *service, uint64_t now_ms)
{
  const GPtrArray *upstreams = ups_by_service (&node->upstreams, service);
  ChsFeedback count = { 0 };

  for (guint i = 0; upstreams != NULL && i < upstreams->len; i++)
    {
      const Ups *ups = g_ptr_array_index (upstreams, i);
      count.paused += now_ms < ups->paused_until_ms;
      count.leaving += ups->leaving;
    }
  return count;
}

ChsChoice
chs_choose (ChsCandidates *set, const ChsRequest *request)
{
  uint32_t excluded[TRIED_MAX];

  if (set->candidates == NULL)
    return (ChsChoice){ .region = REGIONS_MAX };
  uint32_t count = exclude_tried (set, request, excluded, TRIED_MAX);
  ChsChoice choice = choose_region (set, request);
  for (uint32_t i = 0; i < count; i++)
    set->candidates[excluded[i]].usable = true;
  return choice;
}

ChsChoice
chs_choose_once (const Node *node, const ChsRequest *request)
{
  ChsCandidates *set = chs_candidates_new (node, request);
  ChsChoice choice = chs_choose (set, request);

  chs_candidates_free (set);
  return choice;
}
