/* Choice of an upstream: turns what the node knows into candidates for placement. */
#include "chs.h"

#include "plc.h"

#define COLD_SHARE_PERMILLE 450
#define COLD_SETTLE_MS 2000
#define PERMILLE 1000u
#define SHIFT_USED_PCT 55
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

/**
 * struct Regions - what holds for all upstreams of a region
 * @allowed: the route may be served there
 * @may_grow: the cap on shift lets its share grow
 */
typedef struct
{
  bool allowed[REGIONS_MAX];
  bool may_grow[REGIONS_MAX];
} Regions;

/* Load moves between regions no faster than the cap; work may leave what was lost at once. */
static bool
shift_allows (const Node *node, uint32_t region, uint64_t now_ms)
{
  if (nod_uncapped_ms (node, now_ms) > 0)
    return true;
  return shr_allows (&node->shares, region, node->set.shift_permille * SHIFT_USED_PCT / 100,
                     now_ms);
}

static Regions
regions_for (Node *node, const ChsRequest *request, uint64_t now_ms)
{
  Regions regions = { 0 };

  for (uint32_t r = 0; r < MIN (node->set.regions->len, REGIONS_MAX); r++)
    {
      regions.allowed[r]
          = rtt_allows_region (request->route, g_ptr_array_index (node->set.regions, r));
      regions.may_grow[r] = shift_allows (node, r, now_ms);
      if (regions.may_grow[r])
        continue;
      node->counters.shift_barred++;
      rgn_note_barred (&node->by_region, r);
    }
  return regions;
}

bool
chs_takes_work (const Node *node, const Ups *ups)
{
  if (ups->gone || ups->record.draining)
    return false;
  return g_hash_table_size (node->evacuated) == 0
         || !g_hash_table_contains (node->evacuated, ups->record.zone);
}

/* Objects are assigned among these, whatever holds for a moment. */
static bool
is_listed (const Node *node, const Regions *regions, const Ups *ups, uint32_t region)
{
  if (ups->zone == ZONE_NONE || ups->record.slots == 0)
    return false;
  return chs_takes_work (node, ups) && regions->allowed[region];
}

static bool
is_usable (const Node *node, const Ups *ups, uint32_t cold_per_s, uint64_t now_ms)
{
  if (now_ms < ups->down_until_ms || now_ms < ups->full_until_ms)
    return false;
  if (ups->misdirected || ups_is_doubted (ups, now_ms))
    return false;
  if (ups->failures > 0 && ups->in_flight > 0)
    return false;
  return cold_allows (node, ups, cold_per_s, now_ms);
}

static PlcCandidate *
candidates_of (Node *node, const ChsRequest *request, const GPtrArray *list, uint64_t now_ms)
{
  PlcCandidate *candidates = g_new0 (PlcCandidate, MAX (list->len, 1));
  Regions regions = regions_for (node, request, now_ms);
  uint32_t cold_per_s = cold_rate (request);

  for (guint i = 0; i < list->len; i++)
    {
      const Ups *ups = g_ptr_array_index (list, i);
      uint32_t region = ups->zone < node->set.zones->len
                            ? g_array_index (node->set.zones, NodZone, ups->zone).region
                            : REGIONS_MAX;
      if (region >= REGIONS_MAX)
        continue;
      bool listed = is_listed (node, &regions, ups, region);
      candidates[i]
          = (PlcCandidate){ .listed = listed && !ups_is_down (ups),
                            .usable = listed && regions.may_grow[region]
                                      && is_usable (node, ups, cold_per_s, now_ms),
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
chs_set_new (Node *node, const ChsRequest *request)
{
  GPtrArray *list = ups_of (&node->upstreams, request->service->name);
  ChsSet *set = g_new0 (ChsSet, 1);

  set->node = node;
  set->list = list;
  if (list == NULL || list->len == 0)
    return set;
  set->candidates = candidates_of (node, request, list, clk_now_ms ());
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

Ups *
chs_choose (ChsSet *set, const ChsRequest *request)
{
  uint32_t hidden[TRIED_MAX];

  if (set->candidates == NULL)
    return NULL;
  PlcRequest placed = { .key = request->key,
                        .cold_ms = request->work->cold_ms,
                        .warm_ms = request->work->warm_ms,
                        .objects = cen_objects (&request->service->objects),
                        .home_region = set->node->set.region_index,
                        .wait_max_ms = request->route->objective_ms / PLC_QUEUE_SHARE,
                        .reserve = adm_reserve (request->admission, set->slots) };
  uint32_t count = hide_tried (set, request, hidden, TRIED_MAX);
  uint32_t index = plc_choose (set->candidates, set->list->len, &placed);
  for (uint32_t i = 0; i < count; i++)
    set->candidates[hidden[i]].usable = true;
  return index != PLC_NONE ? g_ptr_array_index (set->list, index) : NULL;
}

Ups *
chs_upstream (Node *node, const ChsRequest *request)
{
  ChsSet *set = chs_set_new (node, request);
  Ups *ups = chs_choose (set, request);

  chs_set_free (set);
  return ups;
}
