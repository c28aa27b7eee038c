/* Traffic split of a node's services: measures the demand of the node's callers, moves the split
 * towards its target, and assigns requests to regions. */
#include "nsh.h"

#include "chs.h"
#include "dms.h"

#include <string.h>

#define PERMILLE 1000u
#define RATE_EWMA_DIVISOR 10
#define SENT_EWMA_DIVISOR 20
#define SERVICE_TIME_EWMA_DIVISOR 16
#define STEP_INTERVAL_MAX_MS 500

/* ---- Capacity of the regions ---- */

static uint32_t
region_of (const Node *node, const Ups *ups)
{
  return ups->zone < node->set.zones->len
             ? g_array_index (node->set.zones, NodZone, ups->zone).region
             : REGIONS_MAX;
}

/* A cold upstream counts with at most the slots that its permitted request rate keeps in use. */
static uint64_t
capacity_mslots (const NodFlow *flow, const RteService *limits, const Ups *ups, uint64_t now_ms)
{
  uint64_t slots = (uint64_t) ups->record.slots * PERMILLE;

  if (limits == NULL || limits->cold_per_s <= 0 || !ups_is_cold (ups, now_ms))
    return slots;
  return MIN (slots, (uint64_t) (limits->cold_per_s * flow->work_ms));
}

/* Down, suspected, or cold again after an unplanned restart. */
static bool
has_failed (const Ups *ups, uint64_t now_ms)
{
  return ups_is_down (ups) || ups_is_doubted (ups, now_ms)
         || (ups->fell_cold && ups_is_cold (ups, now_ms));
}

static void
measure_capacity (const Node *node, NodService *service, uint64_t *lost_mslots, uint64_t now_ms)
{
  NodFlow *flow = &service->flow;
  const GPtrArray *upstreams = ups_of (&node->upstreams, service->name);
  const RteService *limits
      = node->table != NULL ? rte_find_service (node->table, service->name) : NULL;

  memset (&flow->load.capacity, 0, sizeof flow->load.capacity);
  memset (&flow->room, 0, sizeof flow->room);
  for (guint i = 0; upstreams != NULL && i < upstreams->len; i++)
    {
      const Ups *ups = g_ptr_array_index (upstreams, i);
      uint32_t region = region_of (node, ups);
      uint32_t in_flight = ups->in_flight + ups->others;
      if (region >= REGIONS_MAX || !chs_accepts_requests (node, ups)
          || now_ms < ups->paused_until_ms)
        continue;
      if (!ups_is_down (ups) && !ups_is_doubted (ups, now_ms))
        {
          flow->load.capacity[region] += capacity_mslots (flow, limits, ups, now_ms);
          flow->room[region] += ups->record.slots - MIN (in_flight, ups->record.slots);
        }
      if (has_failed (ups, now_ms))
        lost_mslots[region] += (uint64_t) ups->record.slots * PERMILLE;
    }
}

/* Return: bit mask of the regions that lost a large part of their capacity within the last
 * SHR_LOST_EXEMPT_MS. */
static uint32_t
detect_lost_regions (Node *node, NodService *service, const uint64_t *lost_mslots, uint64_t now_ms)
{
  NodFlow *flow = &service->flow;
  uint32_t mask = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      bool is_region_lost
          = lost_mslots[r] > (flow->load.capacity[r] + lost_mslots[r]) / SHR_LOST_DIVISOR;
      if (is_region_lost && flow->lost_since_ms[r] == 0)
        {
          flow->lost_since_ms[r] = now_ms;
          node->counters.regions_lost++;
          log_event (&node->log, LOG_WARN, "region_lost",
                     "service=%s region=%s lost_mslots=%llu remaining_mslots=%llu", service->name,
                     (const char *) g_ptr_array_index (node->set.regions, r),
                     (unsigned long long) lost_mslots[r],
                     (unsigned long long) flow->load.capacity[r]);
        }
      else if (!is_region_lost)
        flow->lost_since_ms[r] = 0;
      if (is_region_lost && now_ms - flow->lost_since_ms[r] < SHR_LOST_EXEMPT_MS)
        mask |= 1u << r;
    }
  return mask;
}

/* ---- Initial split ---- */

/* Counts all known nodes, also those without recent messages. */
static void
count_nodes_by_region (const Node *node, uint32_t *nodes)
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
initial_split (const Node *node, const NodService *service)
{
  uint32_t slots[REGIONS_MAX];
  uint32_t nodes[REGIONS_MAX] = { 0 };
  ShrSplit split;

  if (dms_reported_split (&node->peers, service->name, &split))
    return split;
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    slots[r] = (uint32_t) (service->flow.load.capacity[r] / PERMILLE);
  count_nodes_by_region (node, nodes);
  return shr_initial (node->set.region_index, slots, nodes);
}

void
nsh_start (Node *node, NodService *service, uint64_t now_ms)
{
  uint64_t lost_mslots[REGIONS_MAX] = { 0 };

  measure_capacity (node, service, lost_mslots, now_ms);
  service->flow.shares = initial_split (node, service);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    service->flow.limits_ppm[r] = SHARE_ONE_PPM;
}

/* ---- Demand ---- */

/* Repeated at each request until the service has capacity in a region. */
static void
try_init_split (Node *node, NodService *service)
{
  nsh_start (node, service, clk_now_ms ());
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    service->flow.begun = service->flow.begun || service->flow.load.capacity[r] > 0;
}

void
nsh_count_request (Node *node, NodService *service, uint32_t estimate_ms)
{
  NodFlow *flow = &service->flow;

  flow->asked++;
  if (flow->work_ms == 0)
    flow->work_ms = estimate_ms;
  if (!flow->begun)
    try_init_split (node, service);
}

void
nsh_record_service_time (NodService *service, uint32_t duration_ms)
{
  NodFlow *flow = &service->flow;
  int64_t average_ms = flow->work_ms;

  flow->work_ms
      = (uint32_t) (average_ms + ((int64_t) duration_ms - average_ms) / SERVICE_TIME_EWMA_DIVISOR);
}

static uint64_t
update_rate (uint64_t rate_mps, uint32_t count, uint32_t elapsed_ms, uint32_t divisor)
{
  uint64_t current_mps = (uint64_t) count * PERMILLE * 1000 / MAX (elapsed_ms, 1);

  return (rate_mps * (divisor - 1) + current_mps) / divisor;
}

static void
update_rates (NodFlow *flow, uint32_t elapsed_ms)
{
  flow->rate_mps = update_rate (flow->rate_mps, flow->asked, elapsed_ms, RATE_EWMA_DIVISOR);
  flow->sent_mps = update_rate (flow->sent_mps, flow->sent, elapsed_ms, SENT_EWMA_DIVISOR);
  flow->away_mps = update_rate (flow->away_mps, flow->away, elapsed_ms, SENT_EWMA_DIVISOR);
  flow->asked = 0;
  flow->sent = 0;
  flow->away = 0;
  for (uint32_t steps = MAX (elapsed_ms / SHR_DECAY_MS, 1); steps > 0; steps--)
    shr_decay (&flow->taking);
}

/* ---- Moving the split ---- */

/* By how much the share of recent requests that were sent to remote regions exceeds the split. */
static uint32_t
deviation_ppm (const NodFlow *flow, uint32_t local)
{
  uint64_t remote_ppm = flow->away_mps * SHARE_ONE_PPM / MAX (flow->sent_mps, 1);
  uint32_t split_ppm = SHARE_ONE_PPM - flow->shares.ppm[local];

  return remote_ppm > split_ppm ? (uint32_t) remote_ppm - split_ppm : 0;
}

static uint32_t
max_step_ppm (const Node *node, const NodFlow *flow, uint32_t elapsed_ms)
{
  uint32_t local = node->set.region_index;

  return shr_max_step_ppm (node->set.shift_permille, MIN (elapsed_ms, STEP_INTERVAL_MAX_MS),
                           deviation_ppm (flow, local),
                           flow->target.ppm[local] > flow->shares.ppm[local]);
}

static void
update_service (Node *node, NodService *service, uint32_t elapsed_ms, uint64_t now_ms)
{
  NodFlow *flow = &service->flow;
  uint64_t lost_mslots[REGIONS_MAX] = { 0 };

  update_rates (flow, elapsed_ms);
  measure_capacity (node, service, lost_mslots, now_ms);
  uint32_t lost_regions = detect_lost_regions (node, service, lost_mslots, now_ms);
  if (!flow->begun)
    return;
  dms_report (&node->peers, service->name, (uint32_t) (flow->rate_mps * flow->work_ms / PERMILLE),
              &flow->shares);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    flow->load.demand[r] = dms_region_demand (&node->peers, service->name, r, now_ms);
  flow->target = shr_target (node->set.region_index, &flow->load);
  shr_move (&flow->shares, &flow->target, max_step_ppm (node, flow, elapsed_ms), lost_regions);
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
    update_service (node, value, elapsed_ms, now_ms);
}

/* ---- Regions of requests ---- */

uint32_t
nsh_region (const NodService *service, uint32_t allowed, uint32_t region_hash)
{
  const NodFlow *flow = &service->flow;
  uint32_t with_capacity = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    if (flow->load.capacity[r] > 0)
      with_capacity |= 1u << r;
  if ((allowed & with_capacity) != 0)
    allowed &= with_capacity;
  return shr_region (&flow->shares, flow->load.capacity, allowed, region_hash);
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
nsh_count_sent (Node *node, NodService *service, uint32_t region, uint32_t to)
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
nsh_count_rejected (NodService *service, uint32_t region)
{
  shr_count_request (&service->flow.taking, region, REGIONS_MAX);
}

/* ---- Log ---- */

static char *
format_thousandths (const Node *node, const uint64_t *values)
{
  uint32_t units[REGIONS_MAX];

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    units[r] = (uint32_t) (values[r] / PERMILLE);
  return rgn_format (units, node->set.regions->len);
}

static void
log_service (const Node *node, const NodService *service)
{
  const NodFlow *flow = &service->flow;
  char *split = rgn_format (flow->shares.ppm, node->set.regions->len);
  char *target = rgn_format (flow->target.ppm, node->set.regions->len);
  char *capacity = format_thousandths (node, flow->load.capacity);
  char *demand = format_thousandths (node, flow->load.demand);
  char *limits = rgn_format (flow->limits_ppm, node->set.regions->len);

  log_event (&node->log, LOG_INFO, "shares",
             "service=%s ppm=%s target_ppm=%s slots=%s demand=%s work_ms=%u limits_ppm=%s "
             "deviation_ppm=%u",
             service->name, split, target, capacity, demand, flow->work_ms, limits,
             deviation_ppm (flow, node->set.region_index));
  g_free (split);
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
