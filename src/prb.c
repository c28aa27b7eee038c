/* Prober: periodic health checks of upstreams, which also report their load. */
#include "jsn.h"
#include "steer.h"

#include <string.h>

struct _Prb
{
  uv_timer_t timer;
  GHashTable *health;
};

typedef struct
{
  Steer *steer;
  char id[NAME_MAX_BYTES];
} Probe;

static Hlt *
get_health (Steer *steer, const char *id)
{
  Hlt *hlt = g_hash_table_lookup (steer->probe->health, id);

  if (hlt == NULL)
    {
      hlt = g_new0 (Hlt, 1);
      hlt_init (hlt, &steer->upstream_chart);
      g_hash_table_insert (steer->probe->health, g_strdup (id), hlt);
    }
  return hlt;
}

static uint32_t
observed_state (const Hlt *hlt)
{
  if (hlt->state == HLT_LEAVING)
    return OBS_LEAVING;
  return hlt->state == HLT_DOWN ? OBS_DOWN : OBS_UP;
}

static void
apply_response (Steer *steer, Hlt *hlt, const char *body, size_t size)
{
  JsonNode *root = jsn_parse (body, size);

  if (root == NULL)
    return;
  bool leaving = strcmp (jsn_text (jsn_object (root), "state", ""), "draining") == 0;
  hlt_set_leaving (hlt, &steer->upstream_chart, leaving, steer_now_ms (steer));
  hlt->load_permille = (uint32_t) jsn_uint (jsn_object (root), "load_permille", 500);
  hlt->load_reported_at_ms = steer_now_ms (steer);
  json_node_unref (root);
}

static void
on_probed (void *user, HclOutcome outcome, int status, const char *body, size_t size)
{
  Probe *probe = user;
  Steer *steer = probe->steer;
  Hlt *hlt = get_health (steer, probe->id);
  int32_t old_state = hlt->state;
  bool ok = outcome == HCL_DONE && status == 200;

  if (ok)
    apply_response (steer, hlt, body, size);
  hlt_record_probe (hlt, &steer->upstream_chart, ok, steer_now_ms (steer));
  if (old_state != hlt->state)
    log_event (&steer->log, LOG_INFO, "upstream_state", "upstream=%s from=%s to=%s source=probe",
               probe->id, hlt_state_name (old_state), hlt_state_name (hlt->state));
  if (hlt->state != HLT_UNKNOWN
      && obs_record (&steer->observations, probe->id, steer->region, observed_state (hlt),
                     hlt->load_permille, steer_now_ms (steer))
      && old_state != hlt->state)
    gsp_push (steer);
  g_free (probe);
}

static void
start_probe (Steer *steer, const CfgUpstream *upstream)
{
  Probe *probe = g_new0 (Probe, 1);

  probe->steer = steer;
  g_strlcpy (probe->id, upstream->id, sizeof probe->id);
  steer->counters.probes++;
  HclCall *call = hcl_fetch (&steer->http, upstream->addr, "GET", "/health", NULL, PROBE_TIMEOUT_MS,
                             on_probed, probe);
  hcl_limit_fetch (call, PROBE_BODY_MAX_BYTES);
}

static void
on_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;

  if (steer->cfg == NULL)
    return;
  for (uint32_t s = 0; s < steer->cfg->services->len; s++)
    {
      const CfgService *service = steer->cfg->services->pdata[s];
      for (uint32_t i = 0; i < service->upstreams->len; i++)
        {
          const CfgUpstream *upstream = &g_array_index (service->upstreams, CfgUpstream, i);
          if (mem_rank (&steer->members, steer->vm, upstream->id) < PROBERS_PER_REGION)
            start_probe (steer, upstream);
        }
    }
}

void
prb_start (Steer *steer)
{
  steer->probe = g_new0 (Prb, 1);
  steer->probe->health = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uv_timer_init (steer->loop, &steer->probe->timer);
  steer->probe->timer.data = steer;
  uv_timer_start (&steer->probe->timer, on_tick,
                  (uint64_t) g_rand_int_range (steer->random, 0, PROBE_PERIOD_MS), PROBE_PERIOD_MS);
}
