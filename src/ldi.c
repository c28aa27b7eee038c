/* Inputs of the planner: capacity of zones, demand of client groups, free bandwidth of links. */
#include "ldr.h"

#include <string.h>

static bool
upstream_accepts_requests (const Steer *steer, const CfgUpstream *upstream)
{
  const char *region = cfg_region (steer->cfg, cfg_zone (steer->cfg, upstream->zone)->region)->name;
  const Obs *obs = obs_get (&steer->observations, upstream->id, region);

  return !upstream->leaving && (obs == NULL || obs->state == OBS_UP)
         && !obs_any_leaving (&steer->observations, upstream->id, steer_now_ms (steer));
}

/* Slots of the upstreams in each zone that accept requests. */
static void
sum_zone_slots (const Steer *steer, const CfgService *service, bool with_drained, uint32_t *slots)
{
  memset (slots, 0, ZONES_MAX * sizeof *slots);
  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const CfgUpstream *upstream = &g_array_index (service->upstreams, CfgUpstream, i);
      if (upstream_accepts_requests (steer, upstream) && (with_drained || !upstream->drained))
        slots[upstream->zone] += upstream->slots;
    }
}

/* Limits of all services in each region before the limit of the region is applied. */
static void
sum_region_limits (const Steer *steer, uint64_t *sums)
{
  uint32_t slots[ZONES_MAX];

  for (uint32_t s = 0; s < steer->cfg->services->len; s++)
    {
      const CfgService *service = steer->cfg->services->pdata[s];
      sum_zone_slots (steer, service, true, slots);
      for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
        sums[cfg_zone (steer->cfg, z)->region]
            += (uint64_t) slots[z] * (100 - service->headroom_pct) / 100;
    }
}

/* Where the sum of all services exceeds a region's limit, each service is scaled down alike. */
void
ldi_limits (const Steer *steer, const CfgService *service, bool with_drained, uint32_t *limits)
{
  uint64_t sums[REGIONS_MAX] = { 0 };

  sum_region_limits (steer, sums);
  sum_zone_slots (steer, service, with_drained, limits);
  for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
    {
      uint8_t r = cfg_zone (steer->cfg, z)->region;
      const CfgRegion *region = cfg_region (steer->cfg, r);
      uint64_t region_limit = (uint64_t) region->max_inflight * (100 - region->headroom_pct) / 100;
      uint64_t limit = (uint64_t) limits[z] * (100 - service->headroom_pct) / 100;
      limits[z] = (uint32_t) (sums[r] > region_limit ? limit * region_limit / sums[r] : limit);
    }
}

typedef struct
{
  const Steer *steer;
  const char *service;
  PlnInput *input;
  uint64_t link_used_bytes_per_s[REGIONS_MAX][REGIONS_MAX];
} DemandSum;

/* Adds a rate to the demand of the service or, for other services, to the use of the link. */
static void
add_rate (void *user, const DemRate *rate)
{
  DemandSum *sum = user;
  const Cfg *cfg = sum->steer->cfg;
  uint32_t group = cfg_zone_index (cfg, rate->group);
  uint32_t zone = cfg_zone_index (cfg, rate->zone);

  if (group == ZONE_NONE || zone == ZONE_NONE)
    return;
  if (strcmp (rate->service, sum->service) == 0)
    {
      sum->input->demand_milli[group] += (uint64_t) rate->in_flight_milli;
      sum->input->demand_bytes_per_s[group] += (uint64_t) rate->bytes_per_s;
    }
  else
    sum->link_used_bytes_per_s[cfg_zone (cfg, group)->region][cfg_zone (cfg, zone)->region]
        += (uint64_t) rate->bytes_per_s;
}

/* Every live entry that has reported did so within REPORT_MAX_AGE_MS, and there is at least one. */
static bool
reports_are_recent (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_ms = steer_now_ms (steer);
  bool has_reports = false;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteerReport *report = value;
      const MemMember *member = mem_get (&steer->members, report->report.vm);
      if (member == NULL || member->state >= MEM_SUSPECT || report->report.ended)
        continue;
      has_reports = true;
      if (now_ms - report->received_at_ms > REPORT_MAX_AGE_MS)
        return false;
    }
  return has_reports;
}

static void
fill_links (const Steer *steer, const CfgService *service, const DemandSum *sum, PlnInput *input)
{
  for (uint32_t from = 0; from < steer->cfg->regions->len; from++)
    for (uint32_t to = 0; to < steer->cfg->regions->len; to++)
      {
        uint64_t limit
            = steer->cfg->link_bytes_per_s[from][to] * (100 - service->headroom_pct) / 100;
        uint64_t used = sum->link_used_bytes_per_s[from][to];
        input->link_limited[from][to] = from != to && steer->cfg->link_bytes_per_s[from][to] > 0;
        input->link_free_bytes_per_s[from][to] = limit > used ? limit - used : 0;
      }
}

void
ldi_fill (const Steer *steer, const CfgService *service, const uint32_t *limits, PlnInput *input)
{
  DemandSum sum = { .steer = steer, .service = service->name, .input = input };
  bool demand_known = reports_are_recent (steer);

  memset (input, 0, sizeof *input);
  input->zone_count = steer->cfg->zones->len;
  memcpy (input->latency_ms, steer->cfg->latency_ms, sizeof input->latency_ms);
  cfg_region_map (steer->cfg, input->region_of);
  dem_foreach (&steer->leader->demand, add_rate, &sum);
  fill_links (steer, service, &sum, input);
  for (uint32_t z = 0; z < input->zone_count; z++)
    {
      input->capacity_milli[z] = (uint64_t) limits[z] * 1000;
      input->excluded[z] = cfg_zone (steer->cfg, z)->drained || limits[z] == 0;
      input->demand_known[z] = demand_known;
    }
}
