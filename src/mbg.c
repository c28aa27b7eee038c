/* Memory budget of a process: divides its memory and descriptors, and decides which connections go
 * on, wait, are rejected or are closed. Pure: no I/O, no clock. */
#include "mbg.h"

#define MEGABYTE (1024u * 1024u)

/* ---- Limits ---- */

static uint64_t
large_bytes (uint64_t memory_bytes, uint64_t other_bytes)
{
  return memory_bytes > other_bytes + MBG_LARGE_MIN_BYTES ? memory_bytes - other_bytes
                                                          : MBG_LARGE_MIN_BYTES;
}

static uint32_t
usable_fds (uint32_t max_fds)
{
  return max_fds > MBG_RESERVED_FDS ? max_fds - MBG_RESERVED_FDS : 0;
}

static uint32_t
callers_within (uint32_t max_fds)
{
  uint32_t usable = usable_fds (max_fds);

  return MAX (usable - usable / MBG_OUTGOING_FDS_DIVISOR, 1);
}

static MbgLimits
unbounded_limits (void)
{
  return (MbgLimits){ .small_bytes = UINT64_MAX / 2,
                      .large_bytes = RDL_RECEIVED_MAX_BYTES,
                      .responses_bytes = RESPONSES_TOTAL_MAX_BYTES,
                      .responses_max_bytes = RESPONSES_TOTAL_MAX_BYTES,
                      .waiting = UINT32_MAX,
                      .callers = UINT32_MAX,
                      .copies = 1 };
}

MbgLimits
mbg_limits (uint32_t memory_mb, uint32_t max_fds)
{
  uint64_t memory_bytes = (uint64_t) memory_mb * MEGABYTE;
  uint64_t part_bytes = memory_bytes / MBG_PART_DIVISOR;
  MbgLimits limits = unbounded_limits ();

  if (memory_mb > 0)
    limits = (MbgLimits){ .process_bytes = MBG_PROCESS_BYTES,
                          .connections_bytes = part_bytes,
                          .unread_bytes = part_bytes,
                          .small_bytes = part_bytes,
                          .large_bytes
                          = large_bytes (memory_bytes, MBG_PROCESS_BYTES + 4 * part_bytes),
                          .responses_bytes = part_bytes,
                          .responses_max_bytes = RESPONSES_TOTAL_MAX_BYTES,
                          .waiting = (uint32_t) (part_bytes / MBG_UNREAD_BYTES),
                          .callers = (uint32_t) (part_bytes / MBG_FREE_BYTES),
                          .copies = 1,
                          .bounded = true };
  if (max_fds > 0)
    limits.callers = MIN (limits.callers, callers_within (max_fds));
  return limits;
}

void
mbg_set_copies (MbgLimits *limits, uint32_t copies)
{
  if (limits->bounded)
    limits->copies = copies;
}

void
mbg_set_calls (MbgLimits *limits, uint32_t max_fds, uint32_t calls)
{
  if (max_fds > 0)
    limits->callers = MIN (limits->callers, MAX (usable_fds (max_fds) / (calls + 1), 1));
}

void
mbg_init (Mbg *mbg, const MbgLimits *limits)
{
  *mbg = (Mbg){ .limits = *limits };
}

uint64_t
mbg_body_max_bytes (const Mbg *mbg, uint64_t configured_bytes)
{
  if (!mbg->limits.bounded)
    return configured_bytes;
  return MIN (configured_bytes,
              mbg->limits.large_bytes / mbg->limits.copies - MBG_HEAD_MAX_BYTES - MBG_SPARE_BYTES);
}

/* ---- Claims ---- */

static MbgPool
pool_of (uint64_t bytes)
{
  return bytes <= MBG_SMALL_BYTES ? MBG_SMALL : MBG_LARGE;
}

static uint64_t
excess (uint64_t bytes, uint64_t limit_bytes)
{
  return bytes > limit_bytes ? bytes - limit_bytes : 0;
}

/* Memory of large requests that is in use, by them or by small requests and responses to which it
 * is lent. */
static uint64_t
used_of_large (const Mbg *mbg, uint64_t small_bytes, uint64_t large_bytes, uint64_t responses_bytes)
{
  const MbgLimits *limits = &mbg->limits;

  if (!limits->bounded)
    return large_bytes;
  return large_bytes + excess (small_bytes, limits->small_bytes)
         + excess (responses_bytes, limits->responses_bytes);
}

/* Nothing is lent while large requests wait, which would otherwise never be read. */
static bool
may_lend (const Mbg *mbg)
{
  return mbg->limits.bounded && g_queue_is_empty ((GQueue *) &mbg->waiting[MBG_LARGE]);
}

static uint64_t
response_bytes (const Mbg *mbg)
{
  return mbg->receiving_bytes + mbg->unread_bytes;
}

static bool
fits_small (const Mbg *mbg, uint64_t small_bytes)
{
  if (small_bytes <= mbg->limits.small_bytes)
    return true;
  return may_lend (mbg)
         && used_of_large (mbg, small_bytes, mbg->used_bytes[MBG_LARGE], response_bytes (mbg))
                <= mbg->limits.large_bytes;
}

/* Without limits, a large request that is the only one is received in any case. */
static bool
fits (const Mbg *mbg, const MbgClaim *claim, uint64_t bytes)
{
  MbgPool pool = pool_of (bytes);
  uint64_t used_bytes[] = { mbg->used_bytes[MBG_SMALL], mbg->used_bytes[MBG_LARGE] };

  used_bytes[pool_of (claim->bytes)] -= claim->bytes;
  used_bytes[pool] += bytes;
  if (pool == MBG_SMALL)
    return fits_small (mbg, used_bytes[MBG_SMALL]);
  if (!mbg->limits.bounded && mbg->used_claims[MBG_LARGE] == 0)
    return true;
  return used_of_large (mbg, used_bytes[MBG_SMALL], used_bytes[MBG_LARGE], response_bytes (mbg))
         <= mbg->limits.large_bytes;
}

static void
set_granted (Mbg *mbg, MbgClaim *claim, uint64_t bytes)
{
  if (claim->bytes > 0)
    {
      mbg->used_bytes[pool_of (claim->bytes)] -= claim->bytes;
      mbg->used_claims[pool_of (claim->bytes)]--;
      g_queue_unlink (&mbg->active, &claim->active_link);
    }
  if (bytes > 0)
    {
      mbg->used_bytes[pool_of (bytes)] += bytes;
      mbg->used_claims[pool_of (bytes)]++;
      claim->active_link.data = claim;
      g_queue_push_tail_link (&mbg->active, &claim->active_link);
    }
  if (claim->is_relayed)
    mbg->relayed_bytes += bytes - claim->bytes;
  claim->bytes = bytes;
}

static void
stop_waiting (Mbg *mbg, MbgClaim *claim)
{
  if (claim->wanted_bytes == 0)
    return;
  g_queue_unlink (&mbg->waiting[pool_of (claim->wanted_bytes)], &claim->waiting_link);
  claim->wanted_bytes = 0;
}

MbgDecision
mbg_take (Mbg *mbg, MbgClaim *claim, uint64_t bytes, uint64_t now_ms)
{
  GQueue *waiting = &mbg->waiting[pool_of (bytes)];

  if (claim->wanted_bytes > 0)
    return MBG_WAIT;
  if (bytes <= claim->bytes)
    return MBG_TAKE;
  if (g_queue_is_empty (waiting) && fits (mbg, claim, bytes))
    {
      set_granted (mbg, claim, bytes);
      claim->progress_at_ms = now_ms;
      return MBG_TAKE;
    }
  if (mbg->waiting[MBG_SMALL].length + mbg->waiting[MBG_LARGE].length >= mbg->limits.waiting)
    {
      mbg->counters.rejected++;
      return MBG_REJECT;
    }
  mbg->counters.waited++;
  claim->wanted_bytes = bytes;
  claim->waiting_since_ms = now_ms;
  claim->waiting_link.data = claim;
  g_queue_push_tail_link (waiting, &claim->waiting_link);
  return MBG_WAIT;
}

void
mbg_progress (MbgClaim *claim, uint64_t received_bytes, uint64_t now_ms)
{
  if (received_bytes < claim->mark_bytes + MBG_PROGRESS_BYTES)
    return;
  claim->mark_bytes = received_bytes;
  claim->progress_at_ms = now_ms;
}

void
mbg_complete (Mbg *mbg, MbgClaim *claim, uint64_t bytes)
{
  claim->is_complete = true;
  set_granted (mbg, claim, bytes);
}

void
mbg_release (Mbg *mbg, MbgClaim *claim)
{
  stop_waiting (mbg, claim);
  set_granted (mbg, claim, 0);
  *claim = (MbgClaim){ .is_relayed = claim->is_relayed };
}

MbgClaim *
mbg_next (Mbg *mbg, uint64_t now_ms)
{
  for (MbgPool pool = MBG_SMALL; pool < MBG_POOL_COUNT; pool++)
    {
      MbgClaim *claim = g_queue_peek_head (&mbg->waiting[pool]);
      if (claim == NULL || !fits (mbg, claim, claim->wanted_bytes))
        continue;
      uint64_t bytes = claim->wanted_bytes;
      stop_waiting (mbg, claim);
      set_granted (mbg, claim, bytes);
      claim->progress_at_ms = now_ms;
      return claim;
    }
  return NULL;
}

/* ---- Requests without progress ---- */

/* Time without progress; a request that waits for large memory makes none until it is granted. */
static uint64_t
idle_ms (const MbgClaim *claim, uint64_t now_ms)
{
  uint64_t since_ms = claim->wanted_bytes > 0 ? claim->waiting_since_ms : claim->progress_at_ms;

  return now_ms - MIN (since_ms, now_ms);
}

static bool
is_blocked (const Mbg *mbg, MbgPool pool)
{
  const MbgClaim *claim = g_queue_peek_head ((GQueue *) &mbg->waiting[pool]);

  return claim != NULL && !fits (mbg, claim, claim->wanted_bytes);
}

MbgClaim *
mbg_victim (const Mbg *mbg, uint64_t now_ms)
{
  bool large_blocked = is_blocked (mbg, MBG_LARGE);
  bool small_is_lent = mbg->used_bytes[MBG_SMALL] > mbg->limits.small_bytes;
  bool blocked[]
      = { is_blocked (mbg, MBG_SMALL) || (large_blocked && small_is_lent), large_blocked };
  MbgClaim *victim = NULL;
  double victim_score = 0;

  if (!blocked[MBG_SMALL] && !blocked[MBG_LARGE])
    return NULL;
  for (GList *item = mbg->active.head; item != NULL; item = item->next)
    {
      MbgClaim *claim = item->data;
      uint64_t held_ms = idle_ms (claim, now_ms);
      double score = (double) held_ms * (double) claim->bytes;
      if (claim->is_complete || !blocked[pool_of (claim->bytes)] || held_ms < MBG_STALL_MS)
        continue;
      if (score <= victim_score)
        continue;
      victim = claim;
      victim_score = score;
    }
  return victim;
}

/* ---- Responses and connections ---- */

uint64_t
mbg_turned_away (const Mbg *mbg)
{
  const MbgCounters *counters = &mbg->counters;

  return counters->rejected + counters->stalled + counters->heads_over_limit
         + counters->bodies_over_limit + counters->unread_closed + counters->connections_closed
         + counters->connections_refused;
}

void
mbg_set_responses (Mbg *mbg, uint64_t total_bytes, uint64_t unread_bytes)
{
  mbg->receiving_bytes = total_bytes - unread_bytes;
  mbg->unread_bytes = unread_bytes;
}

void
mbg_add_unread (Mbg *mbg, int64_t bytes)
{
  mbg->unread_bytes += (uint64_t) bytes;
}

/* Most that responses may take while requests take what they do now. */
static uint64_t
responses_limit (const Mbg *mbg)
{
  const MbgLimits *limits = &mbg->limits;
  uint64_t requests_bytes
      = used_of_large (mbg, mbg->used_bytes[MBG_SMALL], mbg->used_bytes[MBG_LARGE], 0);
  uint64_t lent_bytes = may_lend (mbg) ? excess (limits->large_bytes, requests_bytes) : 0;
  uint64_t with_lent_bytes
      = MIN (limits->responses_bytes + lent_bytes, limits->responses_max_bytes);

  return MAX (limits->responses_bytes, with_lent_bytes);
}

bool
mbg_has_response_room (const Mbg *mbg, uint64_t bytes)
{
  return response_bytes (mbg) + bytes <= responses_limit (mbg);
}

bool
mbg_want_response_room (Mbg *mbg, uint64_t bytes, uint64_t now_ms)
{
  if (mbg_has_response_room (mbg, bytes))
    return true;
  if (now_ms - mbg->wanted_at_ms > MBG_WANTED_MS)
    mbg->wanted_bytes = 0;
  mbg->wanted_bytes = MAX (mbg->wanted_bytes, MAX (bytes, 1));
  mbg->wanted_at_ms = now_ms;
  return false;
}

/* Whether responses take lent memory that requests wait for. */
static bool
blocks_requests (const Mbg *mbg)
{
  return response_bytes (mbg) > mbg->limits.responses_bytes
         && (is_blocked (mbg, MBG_SMALL) || is_blocked (mbg, MBG_LARGE));
}

static bool
is_response_wanted (const Mbg *mbg, uint64_t now_ms)
{
  return mbg->wanted_bytes > 0 && now_ms - mbg->wanted_at_ms <= MBG_WANTED_MS
         && !mbg_has_response_room (mbg, mbg->wanted_bytes);
}

bool
mbg_watches_unread (const Mbg *mbg)
{
  return mbg->limits.bounded && mbg->unread_bytes > mbg->limits.responses_bytes / 2;
}

bool
mbg_must_close_unread (const Mbg *mbg, uint64_t idle_ms, uint64_t now_ms)
{
  if (!mbg_watches_unread (mbg) || idle_ms < MBG_UNREAD_STALL_MS)
    return false;
  return mbg->unread_bytes > responses_limit (mbg) / 2 || blocks_requests (mbg)
         || is_response_wanted (mbg, now_ms);
}
