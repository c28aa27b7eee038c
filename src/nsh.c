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

/* A cold upstream counts with at most the slots that its permitted request rate keeps in use. */
static uint64_t
capacity_mslots (const Node *node, const NodService *service, const RteService *limits,
                 const Ups *ups, uint64_t now_ms)
{
  uint64_t slots
      = node->settings.learned_capacity
            ? lrn_capacity_mslots (&ups->learned, &service->curve, ups->record.slots, now_ms)
            : (uint64_t) ups->record.slots * PERMILLE;

  if (limits == NULL || limits->cold_per_s <= 0 || !ups_is_cold (ups, now_ms))
    return slots;
  return MIN (slots, (uint64_t) (limits->cold_per_s * service->traffic.service_time_ms));
}

static uint32_t
free_slots (const Node *node, const Ups *ups, uint64_t now_ms)
{
  uint32_t slots = chs_slots (node, ups, now_ms);
  uint32_t in_flight = chs_in_flight (node, ups, now_ms);

  return slots - MIN (in_flight, slots);
}

/* Down, suspected, or cold again after an unplanned restart. */
static bool
has_failed (const Ups *ups, uint64_t now_ms)
{
  return ups_is_down (ups) || ups_is_suspected (ups, now_ms)
         || (ups->turned_cold && ups_is_cold (ups, now_ms));
}

static void
measure_capacity (const Node *node, NodService *service, uint64_t *lost_mslots, uint64_t now_ms)
{
  NodTraffic *traffic = &service->traffic;
  const GPtrArray *upstreams = ups_by_service (&node->upstreams, service->name);
  const RteService *limits
      = node->table != NULL ? rte_find_service (node->table, service->name) : NULL;

  memset (&traffic->load.capacity, 0, sizeof traffic->load.capacity);
  memset (&traffic->free_slots, 0, sizeof traffic->free_slots);
  for (guint i = 0; upstreams != NULL && i < upstreams->len; i++)
    {
      const Ups *ups = g_ptr_array_index (upstreams, i);
      uint32_t region = nod_region (node, ups->zone);
      if (region >= REGIONS_MAX || !chs_accepts_requests (node, ups)
          || now_ms < ups->paused_until_ms)
        continue;
      if (!ups_is_down (ups) && !ups_is_suspected (ups, now_ms))
        {
          traffic->load.capacity[region] += capacity_mslots (node, service, limits, ups, now_ms);
          traffic->free_slots[region] += free_slots (node, ups, now_ms);
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
  NodTraffic *traffic = &service->traffic;
  uint32_t mask = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      bool is_region_lost
          = lost_mslots[r] > (traffic->load.capacity[r] + lost_mslots[r]) / SHR_LOST_DIVISOR;
      if (is_region_lost && traffic->lost_since_ms[r] == 0)
        {
          traffic->lost_since_ms[r] = now_ms;
          node->counters.regions_lost++;
          log_event (&node->log, LOG_WARN, "region_lost",
                     "service=%s region=%s lost_mslots=%llu remaining_mslots=%llu", service->name,
                     (const char *) g_ptr_array_index (node->settings.regions, r),
                     (unsigned long long) lost_mslots[r],
                     (unsigned long long) traffic->load.capacity[r]);
        }
      else if (!is_region_lost)
        traffic->lost_since_ms[r] = 0;
      if (is_region_lost && now_ms - traffic->lost_since_ms[r] < SHR_LOST_EXEMPT_MS)
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

  nodes[MIN (node->settings.region_index, REGIONS_MAX - 1)]++;
  g_hash_table_iter_init (&iter, node->peers.peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint32_t zone = ((const PerPeer *) value)->zone;
      if (zone < node->settings.zones->len)
        nodes[g_array_index (node->settings.zones, NodZone, zone).region]++;
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
    slots[r] = (uint32_t) (service->traffic.load.capacity[r] / PERMILLE);
  count_nodes_by_region (node, nodes);
  return shr_initial (node->settings.region_index, slots, nodes);
}

void
nsh_init_split (Node *node, NodService *service, uint64_t now_ms)
{
  uint64_t lost_mslots[REGIONS_MAX] = { 0 };

  measure_capacity (node, service, lost_mslots, now_ms);
  service->traffic.shares = initial_split (node, service);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    service->traffic.limits_ppm[r] = SHARE_ONE_PPM;
}

/* ---- Demand ---- */

/* Repeated at each request until the service has capacity in a region. */
static void
try_init_split (Node *node, NodService *service)
{
  nsh_init_split (node, service, clk_now_ms ());
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    service->traffic.initialized
        = service->traffic.initialized || service->traffic.load.capacity[r] > 0;
}

void
nsh_count_request (Node *node, NodService *service, uint32_t estimate_ms)
{
  NodTraffic *traffic = &service->traffic;

  traffic->arrived++;
  if (traffic->service_time_ms == 0)
    traffic->service_time_ms = estimate_ms;
  if (!traffic->initialized)
    try_init_split (node, service);
}

void
nsh_record_service_time (NodService *service, uint32_t duration_ms)
{
  NodTraffic *traffic = &service->traffic;
  int64_t average_ms = traffic->service_time_ms;

  traffic->service_time_ms
      = (uint32_t) (average_ms + ((int64_t) duration_ms - average_ms) / SERVICE_TIME_EWMA_DIVISOR);
}

static uint64_t
update_rate (uint64_t rate_mps, uint32_t count, uint32_t elapsed_ms, uint32_t divisor)
{
  uint64_t current_mps = (uint64_t) count * PERMILLE * 1000 / MAX (elapsed_ms, 1);

  return (rate_mps * (divisor - 1) + current_mps) / divisor;
}

static void
update_rates (NodTraffic *traffic, uint32_t elapsed_ms)
{
  traffic->rate_mps
      = update_rate (traffic->rate_mps, traffic->arrived, elapsed_ms, RATE_EWMA_DIVISOR);
  traffic->sent_mps = update_rate (traffic->sent_mps, traffic->sent, elapsed_ms, SENT_EWMA_DIVISOR);
  traffic->remote_mps
      = update_rate (traffic->remote_mps, traffic->remote, elapsed_ms, SENT_EWMA_DIVISOR);
  traffic->arrived = 0;
  traffic->sent = 0;
  traffic->remote = 0;
  for (uint32_t steps = MAX (elapsed_ms / SHR_DECAY_MS, 1); steps > 0; steps--)
    shr_decay (&traffic->acceptance);
}

/* ---- Moving the split ---- */

/* By how much the share of recent requests that were sent to remote regions exceeds the split. */
static uint32_t
deviation_ppm (const NodTraffic *traffic, uint32_t local)
{
  uint64_t remote_ppm = traffic->remote_mps * SHARE_ONE_PPM / MAX (traffic->sent_mps, 1);
  uint32_t split_ppm = SHARE_ONE_PPM - traffic->shares.ppm[local];

  return remote_ppm > split_ppm ? (uint32_t) remote_ppm - split_ppm : 0;
}

static uint32_t
max_step_ppm (const Node *node, const NodTraffic *traffic, uint32_t elapsed_ms)
{
  uint32_t local = node->settings.region_index;

  return shr_max_step_ppm (node->settings.shift_permille, MIN (elapsed_ms, STEP_INTERVAL_MAX_MS),
                           deviation_ppm (traffic, local),
                           traffic->target.ppm[local] > traffic->shares.ppm[local]);
}

static void
update_service (Node *node, NodService *service, uint32_t elapsed_ms, uint64_t now_ms)
{
  NodTraffic *traffic = &service->traffic;
  uint64_t lost_mslots[REGIONS_MAX] = { 0 };

  update_rates (traffic, elapsed_ms);
  measure_capacity (node, service, lost_mslots, now_ms);
  uint32_t lost_regions = detect_lost_regions (node, service, lost_mslots, now_ms);
  if (!traffic->initialized)
    return;
  dms_report (&node->peers, service->name,
              (uint32_t) (traffic->rate_mps * traffic->service_time_ms / PERMILLE),
              &traffic->shares);
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    traffic->load.demand[r] = dms_region_demand (&node->peers, service->name, r, now_ms);
  traffic->target = shr_target (node->settings.region_index, &traffic->load);
  shr_move (&traffic->shares, &traffic->target, max_step_ppm (node, traffic, elapsed_ms),
            lost_regions);
  shr_limits (&traffic->shares, &traffic->acceptance, node->settings.shift_permille,
              traffic->limits_ppm);
}

void
nsh_tick (Node *node, uint64_t now_ms)
{
  uint32_t elapsed_ms = (uint32_t) (now_ms - node->splits_updated_at_ms);
  GHashTableIter iter;
  gpointer value;

  node->splits_updated_at_ms = now_ms;
  g_hash_table_iter_init (&iter, node->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_service (node, value, elapsed_ms, now_ms);
}

/* ---- Regions of requests ---- */

uint32_t
nsh_assigned_region (const NodService *service, uint32_t allowed, uint32_t region_hash)
{
  const NodTraffic *traffic = &service->traffic;
  uint32_t with_capacity = 0;

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    if (traffic->load.capacity[r] > 0)
      with_capacity |= 1u << r;
  if ((allowed & with_capacity) != 0)
    allowed &= with_capacity;
  return shr_region (&traffic->shares, traffic->load.capacity, allowed, region_hash);
}

uint32_t
nsh_spill_region (const NodService *service, uint32_t allowed, uint32_t region, uint32_t draw_ppm)
{
  if (!shr_spill_allows (&service->traffic.spill, draw_ppm))
    return REGIONS_MAX;
  return shr_spill_region (service->traffic.free_slots, allowed, region);
}

bool
nsh_exceeds_shift_cap (const NodService *service, uint32_t region, uint32_t draw_ppm)
{
  return draw_ppm >= service->traffic.limits_ppm[region];
}

void
nsh_count_sent (Node *node, NodService *service, uint32_t region, uint32_t to)
{
  NodTraffic *traffic = &service->traffic;

  traffic->sent++;
  traffic->remote += to != node->settings.region_index;
  shr_spill_refill (&traffic->spill, node->settings.shift_permille, traffic->rate_mps);
  shr_count_request (&traffic->acceptance, region, to);
  if (to == region)
    return;
  node->counters.spilled++;
  shr_spill_consume (&traffic->spill);
}

void
nsh_count_rejected (NodService *service, uint32_t region)
{
  shr_count_request (&service->traffic.acceptance, region, REGIONS_MAX);
}

/* ---- Log ---- */

static char *
format_thousandths (const Node *node, const uint64_t *values)
{
  uint32_t units[REGIONS_MAX];

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    units[r] = (uint32_t) (values[r] / PERMILLE);
  return rgn_format (units, node->settings.regions->len);
}

static void
log_service (const Node *node, const NodService *service)
{
  const NodTraffic *traffic = &service->traffic;
  char *split = rgn_format (traffic->shares.ppm, node->settings.regions->len);
  char *target = rgn_format (traffic->target.ppm, node->settings.regions->len);
  char *capacity = format_thousandths (node, traffic->load.capacity);
  char *demand = format_thousandths (node, traffic->load.demand);
  char *limits = rgn_format (traffic->limits_ppm, node->settings.regions->len);

  log_event (&node->log, LOG_INFO, "shares",
             "service=%s ppm=%s target_ppm=%s slots=%s demand=%s work_ms=%u limits_ppm=%s "
             "deviation_ppm=%u",
             service->name, split, target, capacity, demand, traffic->service_time_ms, limits,
             deviation_ppm (traffic, node->settings.region_index));
  g_free (split);
  g_free (target);
  g_free (capacity);
  g_free (demand);
  g_free (limits);
}

void
nsh_log_splits (const Node *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const NodService *) value)->traffic.initialized)
      log_service (node, value);
}
