/* Lookup: lists the entries that a caller should use for a service, nearest first, with weights. */
#include "entry.h"
#include "jsn.h"

#include <string.h>

#define WEIGHT_SAME_ZONE 100
#define WEIGHT_SAME_REGION 20
#define WEIGHT_OTHER_REGION 1

typedef struct
{
  const MemMember *member;
  uint32_t weight;
  uint32_t latency_ms;
} Candidate;

static int
compare_candidates (const void *a, const void *b)
{
  const Candidate *x = a;
  const Candidate *y = b;

  if (x->latency_ms != y->latency_ms)
    return x->latency_ms < y->latency_ms ? -1 : 1;
  return strcmp (x->member->vm, y->member->vm);
}

static uint32_t
list_candidates (const Entry *entry, uint32_t group, Candidate *candidates)
{
  const Cfg *cfg = entry->cfg;
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry->members.members->len; i++)
    {
      const MemMember *member = entry->members.members->pdata[i];
      uint32_t zone = cfg_zone_index (cfg, member->zone);
      const CfgVm *vm = cfg_vm (cfg, member->vm);
      if (zone == ZONE_NONE || member->state != MEM_ALIVE || member->entry_incarnation == 0
          || (vm != NULL && vm->leaving) || cfg_zone (cfg, zone)->drained)
        continue;
      bool same_region = cfg_zone (cfg, zone)->region == cfg_zone (cfg, group)->region;
      candidates[count++] = (Candidate){
        .member = member,
        .weight = zone == group ? WEIGHT_SAME_ZONE
                                : (same_region ? WEIGHT_SAME_REGION : WEIGHT_OTHER_REGION),
        .latency_ms = cfg->latency_ms[group][zone],
      };
    }
  qsort (candidates, count, sizeof *candidates, compare_candidates);
  return count;
}

static char *
lookup_json (const Entry *entry, const char *service, uint32_t group)
{
  JsonObject *root = json_object_new ();
  JsonArray *entries = json_array_new ();
  Candidate *candidates = g_new0 (Candidate, entry->members.members->len + 1);
  uint32_t count = list_candidates (entry, group, candidates);
  char addr_text[32];

  for (uint32_t i = 0; i < count; i++)
    {
      JsonObject *object = json_object_new ();
      json_object_set_string_member (object, "vm", candidates[i].member->vm);
      json_object_set_string_member (object, "addr",
                                     net_addr_text (candidates[i].member->entry_http, addr_text));
      json_object_set_int_member (object, "weight", candidates[i].weight);
      json_array_add_object_element (entries, object);
    }
  g_free (candidates);
  json_object_set_string_member (root, "service", service);
  json_object_set_string_member (root, "group", cfg_zone (entry->cfg, group)->name);
  json_object_set_int_member (root, "ttl_ms", LOOKUP_TTL_MS);
  json_object_set_array_member (root, "entries", entries);
  return jsn_free_to_text (root, false);
}

void
lkp_respond (Entry *entry, h2o_req_t *req)
{
  char *service = hsv_query (req, "service");
  char *addr = hsv_query (req, "addr");
  uint32_t ip = hsv_peer_ip (req);
  char cache_control[32];

  entry->counters.lookups++;
  entry->last_lookup_ms = entry_now_ms (entry);
  if (service == NULL || (addr != NULL && !net_ip_parse (addr, &ip)))
    hsv_respond (req, 400, "text/plain", "usage: /lookup?service=NAME[&addr=a.b.c.d]\n");
  else if (entry->cfg == NULL || cfg_service (entry->cfg, service) == NULL)
    hsv_respond (req, 404, "text/plain", "unknown service\n");
  else
    {
      char *json = lookup_json (entry, service, cfg_client_group (entry->cfg, ip));
      g_snprintf (cache_control, sizeof cache_control, "max-age=%d", LOOKUP_TTL_MS / 1000);
      hsv_add_header (req, "cache-control", cache_control);
      hsv_respond (req, 200, "application/json", json);
      g_free (json);
    }
  g_free (service);
  g_free (addr);
}
