/* Follower: keeps the object table up to date by list and watch calls to the platform's store. */
#include "steer.h"

#include <inttypes.h>

struct _Flw
{
  uv_timer_t timer;
  bool call_pending;
  bool has_listed;
  uint32_t backoff_ms;
};

static void start_next_call (uv_timer_t *timer);

uint64_t
steer_now_ms (const Steer *steer)
{
  return uv_now (steer->loop);
}

bool
flw_is_watcher (const Steer *steer)
{
  return mem_rank (&steer->members, steer->vm, "watch") < WATCHERS_PER_REGION;
}

bool
flw_has_listed (const Steer *steer)
{
  return steer->follower->has_listed;
}

static void
schedule (Steer *steer, uint32_t delay_ms)
{
  uv_timer_start (&steer->follower->timer, start_next_call, delay_ms, 0);
}

/* Exponential backoff; the delay is random between half of the backoff and all of it. */
static void
schedule_backoff (Steer *steer)
{
  Flw *flw = steer->follower;

  flw->backoff_ms = MIN (MAX (flw->backoff_ms * 2, BACKOFF_FIRST_MS), BACKOFF_MAX_MS);
  schedule (steer, (uint32_t) g_rand_int_range (steer->random, (gint32) flw->backoff_ms / 2,
                                                (gint32) flw->backoff_ms));
}

static SteerChanges
apply_changes (Steer *steer, const StoChanges *received)
{
  SteerChanges changes = { 0 };

  for (uint32_t i = 0; i < received->objects->len; i++)
    {
      const Obj *obj = received->objects->pdata[i];
      steer_apply_object (steer, obj->path, obj->revision, obj->deleted, obj->value, &changes);
    }
  return changes;
}

static void
on_list (void *user, StoResult result, const StoChanges *changes)
{
  Steer *steer = user;
  Flw *flw = steer->follower;

  flw->call_pending = false;
  if (result != STO_OK)
    {
      log_event (&steer->log, LOG_WARN, "store_list_failed", "result=%s", sto_result_name (result));
      schedule_backoff (steer);
      return;
    }
  flw->backoff_ms = 0;
  flw->has_listed = true;
  if (changes->revision >= steer->objects.revision)
    {
      GHashTable *listed_paths = g_hash_table_new (g_str_hash, g_str_equal);
      for (uint32_t i = 0; i < changes->objects->len; i++)
        g_hash_table_add (listed_paths, ((Obj *) changes->objects->pdata[i])->path);
      SteerChanges full_change = { .any = true, .config = true };
      apply_changes (steer, changes);
      obj_reconcile (&steer->objects, listed_paths, changes->revision);
      g_hash_table_unref (listed_paths);
      obj_advance (&steer->objects, changes->revision);
      steer_objects_changed (steer, &full_change, "store_list");
    }
  schedule (steer, 0);
}

static void
on_watch (void *user, StoResult result, const StoChanges *changes)
{
  Steer *steer = user;

  steer->follower->call_pending = false;
  if (result != STO_OK)
    {
      log_event (&steer->log, LOG_WARN, "store_watch_failed", "result=%s",
                 sto_result_name (result));
      schedule_backoff (steer);
      return;
    }
  steer->follower->backoff_ms = 0;
  if (changes->revision >= steer->objects.revision)
    {
      SteerChanges applied = apply_changes (steer, changes);
      obj_advance (&steer->objects, changes->revision);
      steer_objects_changed (steer, &applied, "store_watch");
    }
  schedule (steer, 0);
}

static void
start_next_call (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  Flw *flw = steer->follower;

  if (flw->call_pending)
    return;
  if (!flw->has_listed)
    {
      flw->call_pending = true;
      sto_list (&steer->store, CFG_PREFIXES, on_list, steer);
    }
  else if (flw_is_watcher (steer))
    {
      flw->call_pending = true;
      sto_watch (&steer->store, CFG_PREFIXES, steer->objects.revision, on_watch, steer);
    }
  else
    schedule (steer, GOSSIP_PERIOD_MS);
}

void
flw_start (Steer *steer)
{
  steer->follower = g_new0 (Flw, 1);
  uv_timer_init (steer->loop, &steer->follower->timer);
  steer->follower->timer.data = steer;
  schedule (steer, 0);
}
