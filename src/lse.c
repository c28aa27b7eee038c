/* Lease of the planner: acquired, renewed and released by compare-and-set on the store's object. */
#include "jsn.h"
#include "ldr.h"

#include <inttypes.h>
#include <string.h>

#define LEASE_PATH "lease/planner"

void
lse_lose (Steer *steer, const char *reason)
{
  Ldr *ldr = steer->leader;

  if (!ldr->holds_lease)
    return;
  ldr->holds_lease = false;
  ldr->plan_loaded = false;
  steer->counters.lease_losses++;
  log_event (&steer->log, LOG_WARN, "lease_lost", "reason=%s", reason);
}

/* The lease runs from the time the write was sent, so that it ends here before others regard it as
 * expired. */
static void
apply_lease_write (Steer *steer, int64_t version)
{
  Ldr *ldr = steer->leader;

  ldr->lease_version = version;
  ldr->lease_valid_until_ms = ldr->lease_sent_at_ms + LEASE_TTL_MS;
  if (ldr->holds_lease)
    return;
  ldr->holds_lease = true;
  ldr->fence_needed = true;
  steer->counters.lease_takeovers++;
  log_event (&steer->log, LOG_INFO, "lease_taken", "version=%" PRId64, version);
  ldr_load_plan (steer);
}

static void
on_lease_written (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  (void) value;

  steer->leader->lease_busy = false;
  if (result == STO_OK)
    apply_lease_write (steer, (int64_t) version);
  else if (result == STO_CONFLICT)
    lse_lose (steer, "conflict");
}

static char *
lease_json (const char *holder, uint64_t incarnation)
{
  JsonObject *object = json_object_new ();

  json_object_set_string_member (object, "holder", holder);
  json_object_set_int_member (object, "incarnation", (gint64) incarnation);
  return jsn_free_to_text (object, false);
}

static void
write_lease (Steer *steer, int64_t if_version)
{
  Ldr *ldr = steer->leader;
  char *text = lease_json (steer->vm, steer->incarnation);

  ldr->lease_busy = true;
  ldr->lease_sent_at_ms = steer_now_ms (steer);
  sto_put (&steer->store, LEASE_PATH, text, if_version, on_lease_written, steer);
  g_free (text);
}

/* The lease was released, or acquired by a write of this process whose response was lost. */
static bool
lease_is_free (const Steer *steer, const char *value)
{
  JsonNode *root = value != NULL ? jsn_parse (value, strlen (value)) : NULL;

  if (root == NULL)
    return false;
  const char *holder = jsn_text (jsn_object (root), "holder", "");
  bool is_free = holder[0] == '\0'
                 || (strcmp (holder, steer->vm) == 0
                     && jsn_uint (jsn_object (root), "incarnation", 0) == steer->incarnation);
  json_node_unref (root);
  return is_free;
}

/* A lease has expired when its version did not change for LEASE_TTL_MS on the loop's clock, so that
 * the clocks of VMs need not agree. */
static void
on_lease_read (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  Ldr *ldr = steer->leader;
  uint64_t now_ms = steer_now_ms (steer);

  ldr->lease_busy = false;
  if (result == STO_NOT_FOUND)
    write_lease (steer, STO_ABSENT);
  if (result != STO_OK)
    return;
  if ((int64_t) version != ldr->seen_lease_version)
    {
      ldr->seen_lease_version = (int64_t) version;
      ldr->lease_seen_at_ms = now_ms;
    }
  if (now_ms - ldr->lease_seen_at_ms > LEASE_TTL_MS || lease_is_free (steer, value))
    write_lease (steer, (int64_t) version);
}

static void
on_lease_tick (uv_timer_t *timer)
{
  Steer *steer = timer->data;
  Ldr *ldr = steer->leader;

  if (ldr->holds_lease && steer_now_ms (steer) > ldr->lease_valid_until_ms)
    lse_lose (steer, "not_renewed_in_time");
  if (ldr->lease_busy || !steer->joined)
    return;
  if (ldr->holds_lease)
    write_lease (steer, ldr->lease_version);
  else if (flw_is_watcher (steer))
    {
      ldr->lease_busy = true;
      sto_get (&steer->store, LEASE_PATH, on_lease_read, steer);
    }
}

static void
on_released (void *user, StoResult result, uint64_t version, const char *value)
{
  Steer *steer = user;
  (void) result;
  (void) version;
  (void) value;

  uv_stop (steer->loop);
}

void
lse_release (Steer *steer)
{
  Ldr *ldr = steer->leader;
  char *text;

  uv_timer_stop (&ldr->lease_timer);
  if (!ldr->holds_lease || ldr->lease_busy || ldr->plan_busy)
    {
      uv_stop (steer->loop);
      return;
    }
  text = lease_json ("", 0);
  sto_put (&steer->store, LEASE_PATH, text, ldr->lease_version, on_released, steer);
  g_free (text);
}

void
lse_start (Steer *steer)
{
  Ldr *ldr = steer->leader;

  ldr->seen_lease_version = -1;
  uv_timer_init (steer->loop, &ldr->lease_timer);
  ldr->lease_timer.data = steer;
  uv_timer_start (&ldr->lease_timer, on_lease_tick,
                  (uint64_t) g_rand_int_range (steer->random, 100, LEASE_RENEW_MS), LEASE_RENEW_MS);
}
