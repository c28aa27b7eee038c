/* Choice of an upstream: turns what the node knows into candidates for placement. */
#include "chs.h"

#include "nsh.h"
#include "plc.h"

#define COLD_SHARE_PERMILLE 450
#define COLD_SETTLE_MS 2000
#define PERMILLE 1000u
#define TRIED_MAX 8

/* Requests a second that this node may send to a cold upstream; 0 when there is no limit. */
static uint32_t
cold_rate (const ChsRequest *request)
{
  const RttService *service = rtt_service (request->table, request->service->name);

  if (service == NULL || service->cold_per_s <= 0)
    return 0;
  return MAX ((uint32_t) (service->cold_per_s * COLD_SHARE_PERMILLE / PERMILLE), 1);
}

static bool
cold_allows (const Node *node, const Ups *ups, uint32_t per_s, uint64_t now_ms)
{
  if (per_s == 0 || !ups_is_cold (ups, now_ms))
    return true;
  if (now_ms - node->started_at_ms < COLD_SETTLE_MS || !ups->cold_shared)
    return false;
  return ups_cold_room (ups, per_s, now_ms);
}

static uint32_t
rtt_to (const Node *node, const Ups *ups, uint32_t region)
{
  uint32_t zone_ms = ups->zone < ZONES_MAX ? node->zone_rtt_ms[ups->zone] : UINT32_MAX;

  if (ups->pool.connect_ms != UINT32_MAX)
    return ups->pool.connect_ms;
  if (zone_ms != UINT32_MAX)
    return zone_ms;
  return region == node->set.region_index ? PLC_NEAR_RTT_MS : PLC_REMOTE_RTT_MS;
}

/* Bits of the regions in which the route may be served. */
static uint32_t
allowed_regions (const Node *node, const ChsRequest *request)
{
  uint32_t allowed = 0;

  for (uint32_t r = 0; r < MIN (node->set.regions->len, REGIONS_MAX); r++)
    if (rtt_allows_region (request->route, g_ptr_array_index (node->set.regions, r)))
      allowed |= 1u << r;
  return allowed;
}

bool
chs_takes_work (const Node *node, const Ups *ups)
{
  if (ups->gone || ups->leaving || ups->record.draining)
    return false;
  return g_hash_table_size (node->evacuated) == 0
         || !g_hash_table_contains (node->evacuated, ups->record.zone);
}

/* Objects are assigned among these, whatever holds for a moment. */
static bool
is_listed (const Node *node, uint32_t allowed, const Ups *ups, uint32_t region)
{
  if (ups->zone == ZONE_NONE || ups->record.slots == 0)
    return false;
  return chs_takes_work (node, ups) && (allowed >> region & 1u) != 0;
}

static bool
is_usable (const Node *node, const Ups *ups, uint32_t cold_per_s, uint64_t now_ms)
{
  if (now_ms < ups->down_until_ms || now_ms < ups->full_until_ms || now_ms < ups->paused_until_ms)
    return false;
  if (ups->misdirected || ups_is_doubted (ups, now_ms))
    return false;
  if (ups->failures > 0 && ups->in_flight > 0)
    return false;
  return cold_allows (node, ups, cold_per_s, now_ms);
}

static uint32_t
region_of (const Node *node, const Ups *ups)
{
  return ups->zone < node->set.zones->len
             ? g_array_index (node->set.zones, NodZone, ups->zone).region
             : REGIONS_MAX;
}

static PlcCandidate *
candidates_of (const Node *node, const ChsRequest *request, uint32_t allowed, const GPtrArray *list,
               uint64_t now_ms)
{
  PlcCandidate *candidates = g_new0 (PlcCandidate, MAX (list->len, 1));
  uint32_t cold_per_s = cold_rate (request);

  for (guint i = 0; i < list->len; i++)
    {
      const Ups *ups = g_ptr_array_index (list, i);
      uint32_t region = region_of (node, ups);
      if (region >= REGIONS_MAX)
        continue;
      bool listed = is_listed (node, allowed, ups, region);
      candidates[i]
          = (PlcCandidate){ .listed = listed && !ups_is_down (ups),
                            .usable = listed && is_usable (node, ups, cold_per_s, now_ms),
                            .hash = ups->hash,
                            .region = region,
                            .slots = ups->record.slots,
                            .in_flight = ups->in_flight + ups->others,
                            .rtt_ms = rtt_to (node, ups, region),
                            .slowness_permille = ups->slowness_permille,
                            .fault_permille = ups->fault_permille,
                            .untried = ups->objects[0] == 0 && region == node->set.region_index,
                            .objects = ups->objects,
                            .object_count = UPS_OBJECTS_KEPT };
    }
  return candidates;
}

static uint32_t
total_slots (const GPtrArray *list)
{
  uint32_t slots = 0;

  for (guint i = 0; i < list->len; i++)
    slots += ((const Ups *) g_ptr_array_index (list, i))->record.slots;
  return slots;
}

ChsSet *
chs_set_new (const Node *node, const ChsRequest *request)
{
  GPtrArray *list = ups_of (&node->upstreams, request->service->name);
  ChsSet *set = g_new0 (ChsSet, 1);

  set->node = node;
  set->list = list;
  if (list == NULL || list->len == 0)
    return set;
  set->allowed = allowed_regions (node, request);
  set->candidates = candidates_of (node, request, set->allowed, list, clk_now_ms ());
  set->slots = total_slots (list);
  return set;
}

void
chs_set_free (ChsSet *set)
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

/* Takes the upstreams that were tried out of the choice; returns them in @hidden. */
static uint32_t
hide_tried (ChsSet *set, const ChsRequest *request, uint32_t *hidden, uint32_t room)
{
  uint32_t count = 0;

  for (guint i = 0; request->tried_count > 0 && i < set->list->len && count < room; i++)
    {
      if (!set->candidates[i].usable || !was_tried (request, set->candidates[i].hash))
        continue;
      set->candidates[i].usable = false;
      hidden[count++] = i;
    }
  return count;
}

/* Objects whose requests run in a region, of those of this node's callers. */
static uint32_t
objects_in (const NodService *service, uint32_t region)
{
  uint64_t objects = cen_objects (&service->objects);

  return (uint32_t) (objects * service->flow.shares.ppm[region] / SHARE_ONE_PPM);
}

static Ups *
choose_in (const ChsSet *set, const ChsRequest *request, uint32_t region)
{
  PlcRequest placed = { .key = request->key,
                        .cold_ms = request->work->cold_ms,
                        .warm_ms = request->work->warm_ms,
                        .objects = objects_in (request->service, region),
                        .home_region = region,
                        .regions = 1u << region,
                        .wait_max_ms = request->route->objective_ms / PLC_QUEUE_SHARE,
                        .reserve = adm_reserve (request->admission, set->slots) };
  uint32_t index = plc_choose (set->candidates, set->list->len, &placed);

  return index != PLC_NONE ? g_ptr_array_index (set->list, index) : NULL;
}

static ChsChoice
choose_region (const ChsSet *set, const ChsRequest *request)
{
  ChsChoice choice = { .region = nsh_region (request->service, set->allowed, request->lot) };

  if (choice.region >= REGIONS_MAX)
    return choice;
  choice.held_back = nsh_holds_back (request->service, choice.region, request->draw_ppm);
  if (choice.held_back)
    return choice;
  choice.ups = choose_in (set, request, choice.region);
  if (choice.ups != NULL)
    return choice;
  uint32_t other
      = nsh_other_region (request->service, set->allowed, choice.region, request->draw_ppm);
  if (other < REGIONS_MAX)
    choice.ups = choose_in (set, request, other);
  return choice;
}

uint64_t
chs_soonest_ms (const Node *node, const ChsRequest *request)
{
  const GPtrArray *list = ups_of (&node->upstreams, request->service->name);
  uint32_t allowed = allowed_regions (node, request);
  uint64_t soonest_ms = UINT64_MAX;

  if (list == NULL || list->len == 0)
    return 0;
  for (guint i = 0; i < list->len; i++)
    {
      const Ups *ups = g_ptr_array_index (list, i);
      uint32_t region = region_of (node, ups);
      if (region < REGIONS_MAX && is_listed (node, allowed, ups, region))
        soonest_ms = MIN (soonest_ms, ups->paused_until_ms);
    }
  return soonest_ms;
}

ChsChoice
chs_choose (ChsSet *set, const ChsRequest *request)
{
  uint32_t hidden[TRIED_MAX];

  if (set->candidates == NULL)
    return (ChsChoice){ .region = REGIONS_MAX };
  uint32_t count = hide_tried (set, request, hidden, TRIED_MAX);
  ChsChoice choice = choose_region (set, request);
  for (uint32_t i = 0; i < count; i++)
    set->candidates[hidden[i]].usable = true;
  return choice;
}

ChsChoice
chs_upstream (const Node *node, const ChsRequest *request)
{
  ChsSet *set = chs_set_new (node, request);
  ChsChoice choice = chs_choose (set, request);

  chs_set_free (set);
  return choice;
}
