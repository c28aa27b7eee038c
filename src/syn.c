/* Synchronization of an entry with a steer: receives objects, members, upstream states and poison
 * requests; sends reports and the items that this entry has observed. */
#include "entry.h"

#include <inttypes.h>
#include <string.h>

#define LOCAL_STEER_FAILURES_MAX 3
#define SYNC_SEND_ITEMS_MAX 256

/**
 * struct Syn - synchronization of an entry
 * @busy: an exchange is open
 * @again: start another exchange when the open one ends
 * @consecutive_failures: exchanges without a reply since the latest reply
 * @known: newest items of each kind that this entry has received
 * @reported_epoch: plan epoch of the latest report
 */
typedef struct
{
  uv_timer_t timer;
  Entry *entry;
  bool busy;
  bool again;
  uint32_t consecutive_failures;
  wire_known_versions known;
  uint64_t reported_at_ms;
  uint64_t reported_epoch;
} Syn;

static Syn *syn_of (Entry *entry);

/* ---- Reply ---- */

static void
apply_plan (Entry *entry)
{
  const Obj *obj = obj_get (&entry->objects, "system/plan");
  Err err = { 0 };

  if (obj == NULL || entry->cfg == NULL)
    return;
  Plan *plan = pln_decode (obj->value, entry->cfg, entry_now_ms (entry), &err);
  if (plan == NULL)
    {
      log_event (&entry->log, LOG_ERROR, "plan_refused", "error=\"%s\"", err.text);
      return;
    }
  if (plan->epoch > entry->plan_epoch)
    log_event (&entry->log, LOG_INFO, "plan_in_force", "epoch=%" PRIu64 " planner=%s", plan->epoch,
               plan->planner);
  if (plan->epoch >= entry->plan_epoch)
    {
      entry->plan_epoch = plan->epoch;
      entry->plan_revision = obj->revision;
      esv_apply_plan (entry, plan);
    }
  pln_free (plan);
}

static void
apply_config (Entry *entry)
{
  Cfg *cfg = cfg_rebuild (&entry->objects, entry->cfg);

  cfg_free (entry->cfg);
  entry->cfg = cfg;
  entry->cfg_since_ms = entry_now_ms (entry);
  esv_apply_config (entry);
  log_event (&entry->log, LOG_INFO, "config_in_force", "revision=%" PRIu64 " errors=%u",
             cfg->revision, cfg->errors->len);
}

static void
apply_objects (Entry *entry, const wire_sync_reply *reply)
{
  bool config_changed = false;
  bool plan_changed = false;

  if (!reply->joined || reply->revision < entry->objects.revision)
    return;
  for (u_int i = 0; i < reply->objects.objects_len; i++)
    {
      const wire_object *object = &reply->objects.objects_val[i];
      bool applied = obj_apply (&entry->objects, object->path, object->revision, object->deleted,
                                object->value);
      bool is_plan = cfg_is_plan_path (object->path);
      plan_changed = plan_changed || (applied && is_plan);
      config_changed = config_changed || (applied && !is_plan);
    }
  obj_advance (&entry->objects, reply->revision);
  if (config_changed)
    apply_config (entry);
  if (config_changed || plan_changed)
    apply_plan (entry);
}

static void
apply_items (Entry *entry, const wire_sync_reply *reply)
{
  uint64_t now_ms = entry_now_ms (entry);

  for (u_int i = 0; i < reply->items.items_len; i++)
    {
      const wire_item *item = &reply->items.items_val[i];
      const wire_upstream *upstream = &item->wire_item_u.upstream;
      const wire_poison *poison = &item->wire_item_u.poison;
      switch (item->kind)
        {
        case WIRE_ITEM_MEMBER:
          mem_apply (&entry->members, &item->wire_item_u.member, now_ms);
          break;
        case WIRE_ITEM_UPSTREAM:
          obs_record (&entry->observations, upstream->id, upstream->region, upstream->state,
                      upstream->load_permille, now_ms - MIN (upstream->age_ms, now_ms - 1));
          break;
        case WIRE_ITEM_POISON:
          poi_merge (&entry->poison, poison->fingerprint, poison->crashes,
                     now_ms - MIN (poison->age_ms, now_ms));
          break;
        }
    }
}

static void
on_sync_reply (void *user, const void *result)
{
  Syn *syn = user;
  Entry *entry = syn->entry;
  const wire_sync_reply *reply = result;

  syn->busy = false;
  if (reply == NULL)
    {
      syn->consecutive_failures++;
      return;
    }
  syn->consecutive_failures = 0;
  apply_objects (entry, reply);
  apply_items (entry, reply);
  syn->known = reply->known;
  if (entry->state == ENTRY_JOINING && reply->joined && entry->cfg != NULL)
    {
      chart_step (&entry->entry_chart, &entry->state, 0);
      log_event (&entry->log, LOG_INFO, "serving", "revision=%" PRIu64, entry->objects.revision);
    }
  esv_update (entry);
  if (syn->again)
    syn_now (entry);
}

/* ---- Request ---- */

static u_int
usage_capacity (const Entry *entry)
{
  return g_hash_table_size (entry->services) * ZONES_MAX * ZONES_MAX;
}

static void
add_usage (Entry *entry, EntryService *service, wire_report *report)
{
  for (uint32_t g = 0; g < entry->cfg->zones->len; g++)
    for (uint32_t z = 0; z < entry->cfg->zones->len; z++)
      {
        EntryUsage *usage = &service->usage[g][z];
        if (usage->requests + usage->refused == 0)
          continue;
        esv_update_usage (entry, usage, 0);
        report->usage.usage_val[report->usage.usage_len++]
            = (wire_usage){ .service = g_strdup (service->name),
                            .group = g_strdup (cfg_zone (entry->cfg, g)->name),
                            .zone = g_strdup (cfg_zone (entry->cfg, z)->name),
                            .requests = usage->requests,
                            .refused = usage->refused,
                            .busy_ms = usage->busy_ms,
                            .bytes = usage->bytes };
      }
}

static void
fill_report (Entry *entry, wire_report *report)
{
  GHashTableIter iter;
  gpointer value;

  report->incarnation = entry->incarnation;
  report->plan_epoch = entry->plan_epoch;
  report->ended = entry->state == ENTRY_STOPPED;
  report->planned_shutdown = report->ended;
  if (entry->cfg == NULL)
    return;
  report->usage.usage_val = g_new0 (wire_usage, usage_capacity (entry) + 1);
  g_hash_table_iter_init (&iter, entry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_usage (entry, value, report);
  eln_fill_report (entry, report);
}

static void
fill_items (Entry *entry, wire_sync_args *args)
{
  u_int count = MIN (entry->unsent_items->len, SYNC_SEND_ITEMS_MAX);

  args->items.items_val = g_new0 (wire_item, count + 1);
  args->items.items_len = count;
  if (count == 0)
    return;
  memcpy (args->items.items_val, entry->unsent_items->data, count * sizeof (wire_item));
  g_array_remove_range (entry->unsent_items, 0, count);
}

/* After several failures every second exchange goes to a random steer: the own VM's may be down. */
static NetAddr
choose_steer (Entry *entry, uint32_t failures, bool *local)
{
  const GPtrArray *members = entry->members.members;

  *local = failures < LOCAL_STEER_FAILURES_MAX || failures % 2 == 0 || members->len < 2;
  if (*local)
    return entry->steer;
  const MemMember *member = members->pdata[g_rand_int (entry->random) % members->len];
  *local = strcmp (member->vm, entry->vm) == 0;
  return *local ? entry->steer : member->steer;
}

/* A report is sent every REPORT_PERIOD_MS, and at once when a plan came into force or the process
 * has stopped. */
static bool
start_report (Syn *syn)
{
  const Entry *entry = syn->entry;
  uint64_t now_ms = entry_now_ms (entry);

  if (entry->state != ENTRY_STOPPED && entry->plan_epoch == syn->reported_epoch
      && now_ms - syn->reported_at_ms < REPORT_PERIOD_MS)
    return false;
  syn->reported_at_ms = now_ms;
  syn->reported_epoch = entry->plan_epoch;
  return true;
}

void
syn_now (Entry *entry)
{
  Syn *syn = syn_of (entry);
  wire_sync_args args = { 0 };
  bool local;

  if (syn->busy)
    {
      syn->again = true;
      return;
    }
  syn->again = false;
  syn->busy = true;
  NetAddr steer = choose_steer (entry, syn->consecutive_failures, &local);
  args.vm = g_strdup (entry->vm);
  args.entry_incarnation
      = entry->state == ENTRY_JOINING || entry->state == ENTRY_STOPPED ? 0 : entry->incarnation;
  args.leaving = entry->state == ENTRY_DRAINING;
  args.local = local;
  args.since = entry->objects.revision;
  args.known = syn->known;
  args.report.vm = g_strdup (entry->vm);
  if (start_report (syn))
    fill_report (entry, &args.report);
  fill_items (entry, &args);
  onc_call (entry->client, steer, WIRE_SYNC, (xdrproc_t) xdr_wire_sync_args, &args,
            (xdrproc_t) xdr_wire_sync_reply, sizeof (wire_sync_reply), SYNC_TIMEOUT_MS,
            on_sync_reply, syn);
  xdr_free ((xdrproc_t) xdr_wire_sync_args, &args);
}

void
syn_report_crashes (Entry *entry, uint64_t fingerprint, uint32_t crashes)
{
  wire_item item = { .kind = WIRE_ITEM_POISON };

  item.wire_item_u.poison = (wire_poison){ .fingerprint = fingerprint, .crashes = crashes };
  g_array_append_val (entry->unsent_items, item);
  syn_now (entry);
}

/* ---- Timer ---- */

static void
on_timer (uv_timer_t *timer)
{
  Syn *syn = (Syn *) timer;

  esv_update (syn->entry);
  poi_expire (&syn->entry->poison, entry_now_ms (syn->entry));
  syn_now (syn->entry);
}

static Syn *
syn_of (Entry *entry)
{
  return entry->sync;
}

void
syn_start (Entry *entry)
{
  Syn *syn = g_new0 (Syn, 1);

  entry->sync = syn;
  syn->entry = entry;
  uv_timer_init (entry->loop, &syn->timer);
  uv_timer_start (&syn->timer, on_timer, 0, SYNC_PERIOD_MS);
}
