/* Shares of a node's services: what its callers need, and in which regions their requests run. */
#include "nsh.h"

#include "chs.h"
#include "dms.h"

#include <string.h>

#define PERMILLE 1000u
#define RATE_WEIGHT 10
#define SENT_WEIGHT 20
#define WORK_WEIGHT 16
#define STEP_MOST_MS 500

/* ---- What regions offer ---- */

static uint32_t
region_of (const Node *node, const Ups *ups)
{
  return ups->zone < node->set.zones->len
             ? g_array_index (node->set.zones, NodZone, ups->zone).region
             : REGIONS_MAX;
}

/* A cold upstream carries what its service allows. */
static uint64_t
offered_mslots (const NodFlow *flow, const RteService *limits, const Ups *ups, uint64_t now_ms)
{
  uint64_t slots = (uint64_t) ups->record.slots * PERMILLE;

  if (limits == NULL || limits->cold_per_s <= 0 || !ups_is_cold (ups, now_ms))
    return slots;
  return MIN (slots, (uint64_t) (limits->cold_per_s * flow->work_ms));
}

/* Down, or cold again without a plan. */
static bool
is_lost (const Ups *ups, uint64_t now_ms)
{
  return ups_is_down (ups) || ups_is_doubted (ups, now_ms)
         || (ups->fell_cold && ups_is_cold (ups, now_ms));
}

static void
measure_regions (const Node *node, NodService *service, uint64_t *lost, uint64_t now_ms)
{
  NodFlow *flow = &service->flow;
  const GPtrArray *list = ups_of (&node->upstreams, service->name);
  const RteService *limits
      = node->table != NULL ? rte_find_service (node->table, service->name) : NULL;

  memset (&flow->load.capacity, 0, sizeof flow->load.capacity);
  memset (&flow->room, 0, sizeof flow->room);
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const Ups *ups = g_ptr_array_index (list, i);
      uint32_t region = region_of (node, ups);
      uint32_t in_flight = ups->in_flight + ups->others;
      if (region >= REGIONS_MAX || !chs_accepts_requests (node, ups)
          || now_ms < ups->paused_until_ms)
        continue;
      if (!ups_is_down (ups) && !ups_is_doubted (ups, now_ms))
        {
          flow->load.capacity[region] += offered_mslots (flow, limits, ups, now_ms);
          flow->room[region] += ups->record.slots - MIN (in_flight, ups->record.slots);
        }
      if (is_lost (ups, now_ms))
        lost[region] += (uint64_t) ups->record.slots * PERMILLE;
    }
}

/* Bits of the regions that lost much a moment ago. */
static uint32_t
note_lost (Node *node, NodService *service, const uint64_t *lost, uint64_t now_ms)
{
  NodFlow *flow = &service->flow;
  uint32_t bits = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      bool is_much = lost[r] > (flow->load.capacity[r] + lost[r]) / SHR_LOST_DIVISOR;
      if (is_much && flow->lost_since_ms[r] == 0)
        {
          flow->lost_since_ms[r] = now_ms;
          node->counters.regions_lost++;
          log_event (&node->log, LOG_WARN, "region_lost",
                     "service=%s region=%s lost_mslots=%llu left_mslots=%llu", service->name,
                     (const char *) g_ptr_array_index (node->set.regions, r),
                     (unsigned long long) lost[r], (unsigned long long) flow->load.capacity[r]);
        }
      else if (!is_much)
        flow->lost_since_ms[r] = 0;
      if (is_much && now_ms - flow->lost_since_ms[r] < SHR_LOST_EXEMPT_MS)
        bits |= 1u << r;
    }
  return bits;
}

/* ---- Shares ---- */

/* All known nodes count, also those that were not heard lately. */
static void
count_nodes (const Node *node, uint32_t *nodes)
{
  GHashTableIter iter;
  gpointer value;

  nodes[MIN (node->set.region_index, REGIONS_MAX - 1)]++;
  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint32_t zone = ((const PerPeer *) value)->zone;
      if (zone < node->set.zones->len)
        nodes[g_array_index (node->set.zones, NodZone, zone).region]++;
    }
}

static ShrSplit
first_shares (const Node *node, const NodService *service)
{
  uint32_t slots[REGIONS_MAX];
  uint32_t nodes[REGIONS_MAX] = { 0 };
  ShrSplit shares;

  if (dms_reported_split (&node->peers, service->name, &shares))
    return shares;
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    slots[r] = (uint32_t) (service->flow.load.capacity[r] / PERMILLE);
  count_nodes (node, nodes);
  return shr_initial (node->set.region_index, slots, nodes);
}

void
nsh_start (Node *node, NodService *service, uint64_t now_ms)
{
  uint64_t lost[REGIONS_MAX] = { 0 };

  measure_regions (node, service, lost, now_ms);
  service->flow.shares = first_shares (node, service);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    service->flow.limits_ppm[r] = SHARE_ONE_PPM;
}

/* ---- What callers need ---- */

/* The shares begin with the first request that comes when upstreams are known. */
static void
begin (Node *node, NodService *service)
{
  nsh_start (node, service, clk_now_ms ());
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    service->flow.begun = service->flow.begun || service->flow.load.capacity[r] > 0;
}

void
nsh_asked (Node *node, NodService *service, uint32_t usual_ms)
{
  NodFlow *flow = &service->flow;

  flow->asked++;
  if (flow->work_ms == 0)
    flow->work_ms = usual_ms;
  if (!flow->begun)
    begin (node, service);
}

void
nsh_took (NodService *service, uint32_t took_ms)
{
  NodFlow *flow = &service->flow;
  int64_t usual_ms = flow->work_ms;

  flow->work_ms = (uint32_t) (usual_ms + ((int64_t) took_ms - usual_ms) / WORK_WEIGHT);
}

static uint64_t
fade (uint64_t rate_mps, uint32_t count, uint32_t elapsed_ms, uint32_t weight)
{
  uint64_t now_mps = (uint64_t) count * PERMILLE * 1000 / MAX (elapsed_ms, 1);

  return (rate_mps * (weight - 1) + now_mps) / weight;
}

static void
measure (NodFlow *flow, uint32_t elapsed_ms)
{
  flow->rate_mps = fade (flow->rate_mps, flow->asked, elapsed_ms, RATE_WEIGHT);
  flow->sent_mps = fade (flow->sent_mps, flow->sent, elapsed_ms, SENT_WEIGHT);
  flow->away_mps = fade (flow->away_mps, flow->away, elapsed_ms, SENT_WEIGHT);
  flow->asked = 0;
  flow->sent = 0;
  flow->away = 0;
  for (uint32_t fades = MAX (elapsed_ms / SHR_DECAY_MS, 1); fades > 0; fades--)
    shr_decay (&flow->taking);
}

/* ---- Ticks ---- */

/* How much more ran away from home of late than the shares say. */
static uint32_t
uneven_ppm (const NodFlow *flow, uint32_t home)
{
  uint64_t away_ppm = flow->away_mps * SHARE_ONE_PPM / MAX (flow->sent_mps, 1);
  uint32_t share_ppm = SHARE_ONE_PPM - flow->shares.ppm[home];

  return away_ppm > share_ppm ? (uint32_t) away_ppm - share_ppm : 0;
}

static uint32_t
step_ppm (const Node *node, const NodFlow *flow, uint32_t elapsed_ms)
{
  uint32_t home = node->set.region_index;

  return shr_max_step_ppm (node->set.shift_permille, MIN (elapsed_ms, STEP_MOST_MS),
                           uneven_ppm (flow, home),
                           flow->target.ppm[home] > flow->shares.ppm[home]);
}

static void
update (Node *node, NodService *service, uint32_t elapsed_ms, uint64_t now_ms)
{
  NodFlow *flow = &service->flow;
  uint64_t lost[REGIONS_MAX] = { 0 };

  measure (flow, elapsed_ms);
  measure_regions (node, service, lost, now_ms);
  uint32_t lost_bits = note_lost (node, service, lost, now_ms);
  if (!flow->begun)
    return;
  dms_report (&node->peers, service->name, (uint32_t) (flow->rate_mps * flow->work_ms / PERMILLE),
              &flow->shares);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    flow->load.demand[r] = dms_region_demand (&node->peers, service->name, r, now_ms);
  flow->target = shr_target (node->set.region_index, &flow->load);
  shr_move (&flow->shares, &flow->target, step_ppm (node, flow, elapsed_ms), lost_bits);
  shr_limits (&flow->shares, &flow->taking, node->set.shift_permille, flow->limits_ppm);
}

void
nsh_tick (Node *node, uint64_t now_ms)
{
  uint32_t elapsed_ms = (uint32_t) (now_ms - node->shares_at_ms);
  GHashTableIter iter;
  gpointer value;

  node->shares_at_ms = now_ms;
  g_hash_table_iter_init (&iter, node->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update (node, value, elapsed_ms, now_ms);
}

uint32_t
nsh_region (const NodService *service, uint32_t allowed, uint32_t lot)
{
  const NodFlow *flow = &service->flow;
  uint32_t offering = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    if (flow->load.capacity[r] > 0)
      offering |= 1u << r;
  if ((allowed & offering) != 0)
    allowed &= offering;
  return shr_region (&flow->shares, flow->load.capacity, allowed, lot);
}

uint32_t
nsh_other_region (const NodService *service, uint32_t allowed, uint32_t region, uint32_t draw_ppm)
{
  if (!shr_spill_allows (&service->flow.spill, draw_ppm))
    return REGIONS_MAX;
  return shr_spill_region (service->flow.room, allowed, region);
}

bool
nsh_holds_back (const NodService *service, uint32_t region, uint32_t draw_ppm)
{
  return draw_ppm >= service->flow.limits_ppm[region];
}

void
nsh_sent (Node *node, NodService *service, uint32_t region, uint32_t to)
{
  NodFlow *flow = &service->flow;

  flow->sent++;
  flow->away += to != node->set.region_index;
  shr_spill_refill (&flow->spill, node->set.shift_permille, flow->rate_mps);
  shr_count_request (&flow->taking, region, to);
  if (to == region)
    return;
  node->counters.spilled++;
  shr_spill_consume (&flow->spill);
}

void
nsh_turned_away (NodService *service, uint32_t region)
{
  shr_count_request (&service->flow.taking, region, REGIONS_MAX);
}

/* ---- Log ---- */

static char *
text_of (const Node *node, const uint64_t *numbers)
{
  uint32_t small[REGIONS_MAX];

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    small[r] = (uint32_t) (numbers[r] / PERMILLE);
  return rgn_format (small, node->set.regions->len);
}

static void
log_service (const Node *node, const NodService *service)
{
  const NodFlow *flow = &service->flow;
  char *shares = rgn_format (flow->shares.ppm, node->set.regions->len);
  char *target = rgn_format (flow->target.ppm, node->set.regions->len);
  char *capacity = text_of (node, flow->load.capacity);
  char *demand = text_of (node, flow->load.demand);
  char *limits = rgn_format (flow->limits_ppm, node->set.regions->len);

  log_event (
      &node->log, LOG_INFO, "shares",
      "service=%s ppm=%s target_ppm=%s slots=%s needed=%s work_ms=%u limits_ppm=%s uneven_ppm=%u",
      service->name, shares, target, capacity, demand, flow->work_ms, limits,
      uneven_ppm (flow, node->set.region_index));
  g_free (shares);
  g_free (target);
  g_free (capacity);
  g_free (demand);
  g_free (limits);
}

void
nsh_log (const Node *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const NodService *) value)->flow.begun)
      log_service (node, value);
}
