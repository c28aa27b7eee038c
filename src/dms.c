/* Demand of each service by region, and its traffic split, as exchanged between nodes. */
#include "dms.h"

#include "sum.h"

#include <string.h>

static peer_service *
find_service (peer_service *services, u_int count, uint32_t hash)
{
  for (u_int i = 0; i < count; i++)
    if (services[i].service == hash)
      return &services[i];
  return NULL;
}

void
dms_report (Per *per, const char *service, uint32_t mslots, const ShrSplit *split)
{
  uint32_t hash = ups_hash (service);
  peer_service *own = find_service (per->services, per->service_count, hash);

  if (own == NULL)
    {
      if (per->service_count == PER_SERVICES_MAX)
        return;
      own = &per->services[per->service_count];
      own->service = hash;
      own->ppm.ppm_val = per->service_ppm[per->service_count++];
      own->ppm.ppm_len = REGIONS_MAX;
    }
  own->mslots = mslots;
  memcpy (own->ppm.ppm_val, split->ppm, sizeof split->ppm);
}

static uint64_t
demand_of (peer_service *services, u_int count, uint32_t hash)
{
  const peer_service *found = find_service (services, count, hash);

  return found != NULL ? found->mslots : 0;
}

/* Nodes known only from summaries are counted with the summary of their zone. */
static bool
reports_directly (const PerPeer *peer, uint64_t now_ms)
{
  return !peer->in_summaries && peer->last_view_ms != 0 && per_is_alive (peer, now_ms);
}

uint64_t
dms_region_demand (const Per *per, const char *service, uint32_t region, uint64_t now_ms)
{
  uint32_t hash = ups_hash (service);
  uint64_t sum = 0;
  GHashTableIter iter;
  gpointer value;

  if (per->region_of (per->user, per->self.zone_index) == region)
    sum += demand_of ((peer_service *) per->services, per->service_count, hash);
  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      if (reports_directly (peer, now_ms) && per->region_of (per->user, peer->zone) == region)
        sum += demand_of (peer->view.services.services_val, peer->view.services.services_len, hash);
    }
  for (uint32_t zone = 0; zone < ZONES_MAX; zone++)
    if (sum_is_current (per, zone, now_ms) && per->region_of (per->user, zone) == region)
      sum += demand_of (per->summaries[zone].services.services_val,
                        per->summaries[zone].services.services_len, hash);
  return sum;
}

bool
dms_reported_split (const Per *per, const char *service, ShrSplit *split)
{
  uint32_t region = per->region_of (per->user, per->self.zone_index);
  uint32_t hash = ups_hash (service);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      if (peer->in_summaries || peer->state != PER_SERVING
          || per->region_of (per->user, peer->zone) != region)
        continue;
      const peer_service *found
          = find_service (peer->view.services.services_val, peer->view.services.services_len, hash);
      if (found == NULL || found->ppm.ppm_len != REGIONS_MAX)
        continue;
      memcpy (split->ppm, found->ppm.ppm_val, sizeof split->ppm);
      return true;
    }
  return false;
}

static u_int
add_demands (peer_service *sums, u_int count, u_int capacity, const peer_service *services,
             u_int length)
{
  for (u_int i = 0; i < length; i++)
    {
      peer_service *sum = find_service (sums, count, services[i].service);
      if (sum == NULL && count < capacity)
        {
          sum = &sums[count++];
          *sum = (peer_service){ .service = services[i].service };
        }
      if (sum != NULL)
        sum->mslots += services[i].mslots;
    }
  return count;
}

u_int
dms_cell_demand (const Per *per, peer_service *sums, u_int capacity, uint64_t now_ms)
{
  u_int count = add_demands (sums, 0, capacity, per->services, per->service_count);

  for (guint i = 0; i < per->own_cell->len; i++)
    {
      const PerPeer *peer = g_ptr_array_index (per->own_cell, i);
      if (reports_directly (peer, now_ms))
        count = add_demands (sums, count, capacity, peer->view.services.services_val,
                             peer->view.services.services_len);
    }
  return count;
}
