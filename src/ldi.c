/* Inputs of the planner: capacity, demand, links and their ages. */
#include "ldr.h"

#include <string.h>

static bool
upstream_serves (const Steer *steer, const CfgUpstream *upstream)
{
  const char *region = cfg_region (steer->cfg, cfg_zone (steer->cfg, upstream->zone)->region)->name;
  const Obs *obs = obs_get (&steer->observations, upstream->id, region);

  return !upstream->leaving && (obs == NULL || obs->state == OBS_UP)
         && !obs_any_leaving (&steer->observations, upstream->id, steer_now_ms (steer));
}

/* Slots in each zone; drained upstreams count only for what is still there. */
static void
slots_of (const Steer *steer, const CfgService *service, bool with_drained, uint32_t *slots)
{
  memset (slots, 0, ZONES_MAX * sizeof *slots);
  for (uint32_t i = 0; i < service->upstreams->len; i++)
    {
      const CfgUpstream *upstream = &g_array_index (service->upstreams, CfgUpstream, i);
      if (upstream_serves (steer, upstream) && (with_drained || !upstream->drained))
        slots[upstream->zone] += upstream->slots;
    }
}

static void
region_slots (const Steer *steer, uint64_t *sums)
{
  uint32_t slots[ZONES_MAX];

  for (uint32_t s = 0; s < steer->cfg->services->len; s++)
    {
      const CfgService *service = steer->cfg->services->pdata[s];
      slots_of (steer, service, true, slots);
      for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
        sums[cfg_zone (steer->cfg, z)->region]
            += (uint64_t) slots[z] * (100 - service->headroom_pct) / 100;
    }
}

/* Requests in flight that a service may have in each zone, within the limits of the regions. */
void
ldi_limits (const Steer *steer, const CfgService *service, bool with_drained, uint32_t *limits)
{
  uint64_t sums[REGIONS_MAX] = { 0 };

  region_slots (steer, sums);
  slots_of (steer, service, with_drained, limits);
  for (uint32_t z = 0; z < steer->cfg->zones->len; z++)
    {
      uint8_t r = cfg_zone (steer->cfg, z)->region;
      const CfgRegion *region = cfg_region (steer->cfg, r);
      uint64_t allowed = (uint64_t) region->max_inflight * (100 - region->headroom_pct) / 100;
      uint64_t limit = (uint64_t) limits[z] * (100 - service->headroom_pct) / 100;
      limits[z] = (uint32_t) (sums[r] > allowed ? limit * allowed / sums[r] : limit);
    }
}

typedef struct
{
  const Steer *steer;
  const char *service;
  PlnInput *input;
  uint64_t link_used[REGIONS_MAX][REGIONS_MAX];
} Gather;

static void
gather_rate (void *user, const DemRate *rate)
{
  Gather *gather = user;
  const Cfg *cfg = gather->steer->cfg;
  uint32_t group = cfg_zone_index (cfg, rate->group);
  uint32_t zone = cfg_zone_index (cfg, rate->zone);

  if (group == ZONE_NONE || zone == ZONE_NONE)
    return;
  if (strcmp (rate->service, gather->service) == 0)
    {
      gather->input->demand_milli[group] += (uint64_t) rate->in_flight_milli;
      gather->input->demand_bytes_per_s[group] += (uint64_t) rate->bytes_per_s;
    }
  else
    gather->link_used[cfg_zone (cfg, group)->region][cfg_zone (cfg, zone)->region]
        += (uint64_t) rate->bytes_per_s;
}

static bool
entries_report (const Steer *steer)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t now_ms = steer_now_ms (steer);
  bool found = false;

  g_hash_table_iter_init (&iter, steer->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SteerReport *report = value;
      const MemMember *member = mem_get (&steer->members, report->report.vm);
      if (member == NULL || member->state >= MEM_SUSPECT || report->report.ended)
        continue;
      found = true;
      if (now_ms - report->received_at_ms > REPORT_MAX_AGE_MS)
        return false;
    }
  return found;
}

static void
fill_links (const Steer *steer, const CfgService *service, const Gather *gather, PlnInput *input)
{
  for (uint32_t a = 0; a < steer->cfg->regions->len; a++)
    for (uint32_t b = 0; b < steer->cfg->regions->len; b++)
      {
        uint64_t limit = steer->cfg->link_bytes_per_s[a][b] * (100 - service->headroom_pct) / 100;
        uint64_t used = gather->link_used[a][b];
        input->link_limited[a][b] = a != b && steer->cfg->link_bytes_per_s[a][b] > 0;
        input->link_free_bytes_per_s[a][b] = limit > used ? limit - used : 0;
      }
}

void
ldi_fill (const Steer *steer, const CfgService *service, const uint32_t *limits, PlnInput *input)
{
  Gather gather = { .steer = steer, .service = service->name, .input = input };
  bool known = entries_report (steer);

  memset (input, 0, sizeof *input);
  input->zone_count = steer->cfg->zones->len;
  memcpy (input->latency_ms, steer->cfg->latency_ms, sizeof input->latency_ms);
  cfg_region_map (steer->cfg, input->region_of);
  dem_foreach (&steer->lead->demand, gather_rate, &gather);
  fill_links (steer, service, &gather, input);
  for (uint32_t z = 0; z < input->zone_count; z++)
    {
      input->capacity_milli[z] = (uint64_t) limits[z] * 1000;
      input->excluded[z] = cfg_zone (steer->cfg, z)->drained || limits[z] == 0;
      input->demand_known[z] = known;
    }
}
