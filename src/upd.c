/* Object updates: pushed from node to node, and fetched from a peer when some are missing. */
#include "upd.h"

#include <string.h>

#define FETCH_TIMEOUT_MS 1000
#define FETCH_LARGE_TIMEOUT_MS 4000
#define FETCH_REPLY_MAX_BYTES (48u * 1024u)
#define TARGETS_MAX (OVL_FANOUT + OVL_HEADS * (ZONES_MAX + 1))

/* ---- Encoding and applying objects ---- */

static void
append_object (void *user, const Obj *obj)
{
  peer_object object = { .name = strdup (obj->path),
                         .revision = obj->revision,
                         .deleted = obj->deleted,
                         .value = strdup (obj->value != NULL ? obj->value : "") };

  g_array_append_val ((GArray *) user, object);
}

void
upd_log_applied (const Per *per, const RepKind *kind, const char *source, Pos after)
{
  if (kind->newest > after)
    log_event (per->log, LOG_INFO, "objects_applied",
               "kind=%s source=%s after=%llu revision=%llu era=%llu", kind->name, source,
               (unsigned long long) pos_revision (after),
               (unsigned long long) pos_revision (kind->newest),
               (unsigned long long) pos_era (kind->newest));
}

static void
apply_objects (Per *per, RepKind *kind, const char *source, const peer_object *objects, u_int count)
{
  Pos after = kind->newest;

  for (u_int i = 0; i < count; i++)
    rep_apply (&per->rep, kind, objects[i].name, objects[i].revision, objects[i].deleted,
               objects[i].value);
  upd_log_applied (per, kind, source, after);
}

/* ---- Fetching objects from a peer ---- */

typedef struct
{
  Per *per;
  RepKind *kind;
} Fetch;

/* Large objects are read from the store, whose link has the higher bandwidth. They are fetched from
 * a peer, without a size limit, when the store cannot be asked, or has nothing newer, as with a
 * value that peers keep. */
static void
request_large_objects (Per *per, RepKind *kind)
{
  bool was_asked = kind->asked_at_ms != 0 && kind->asked_after == kind->newest;

  if (was_asked)
    {
      kind->unlimited_fetch = per->last_tick_ms - kind->asked_at_ms >= UPD_STORE_READ_MS;
      return;
    }
  kind->asked_after = kind->newest;
  kind->asked_at_ms = per->last_tick_ms;
  kind->unlimited_fetch = per->read_store == NULL || !per->read_store (per->store_user, kind->name);
}

static void
on_fetch_done (void *user, const void *result)
{
  Fetch *fetch = user;
  const peer_fetch_reply *reply = result;

  fetch->kind->fetch_started_at_ms = 0;
  fetch->kind->behind_since_ms = 0;
  if (reply != NULL && reply->too_large)
    request_large_objects (fetch->per, fetch->kind);
  else if (reply != NULL)
    {
      apply_objects (fetch->per, fetch->kind, "fetch", reply->objects.objects_val,
                     reply->objects.objects_len);
      upd_push (fetch->per, false);
    }
  g_free (fetch);
}

static void
fetch_from (Per *per, NetAddr peer, RepKind *kind, uint64_t now_ms)
{
  uint32_t timeout_ms = kind->unlimited_fetch ? FETCH_LARGE_TIMEOUT_MS : FETCH_TIMEOUT_MS;
  peer_fetch_args args
      = { .kind = kind->name,
          .since = kind->newest,
          .max_bytes = kind->unlimited_fetch ? UINT32_MAX : FETCH_REPLY_MAX_BYTES };
  Fetch *fetch = g_new (Fetch, 1);

  *fetch = (Fetch){ .per = per, .kind = kind };
  kind->fetch_started_at_ms = now_ms;
  kind->unlimited_fetch = false;
  per->fetches++;
  per->transport.fetch (per->transport.user, peer, &args, timeout_ms, on_fetch_done, fetch);
}

/* A fetch that has run for UPD_FETCH_RETRY_MS no longer prevents the next one. */
static bool
is_fetching (const RepKind *kind, uint64_t now_ms)
{
  return kind->fetch_started_at_ms != 0 && now_ms - kind->fetch_started_at_ms < UPD_FETCH_RETRY_MS;
}

static bool
is_newer (const RepKind *kind, Pos position)
{
  return position > kind->newest && !rep_is_superseded (kind, position);
}

/* The delay leaves time for a pushed update to arrive, or for the node's own watch of the store to
 * report the change; only what is still missing after it is fetched. */
void
upd_check_revisions (Per *per, const peer_revision *revisions, u_int count, NetAddr from,
                     uint64_t now_ms)
{
  uint32_t wait_ms
      = per->self.watch == PER_WATCH_HEALTHY ? UPD_WATCHER_FETCH_DELAY_MS : UPD_FETCH_DELAY_MS;

  for (u_int i = 0; i < count; i++)
    {
      RepKind *kind = rep_find_kind (&per->rep, revisions[i].kind);
      if (kind == NULL || !is_newer (kind, revisions[i].revision) || is_fetching (kind, now_ms))
        continue;
      if (kind->behind_since_ms == 0)
        kind->behind_since_ms = now_ms;
      if (now_ms - kind->behind_since_ms >= wait_ms)
        fetch_from (per, from, kind, now_ms);
    }
}

/* The peer fetches what does not fit into this reply in its next one. A single change that is too
 * large for a reply is read from the store (request_large_objects()). */
void
upd_fill_reply (const Per *per, const peer_fetch_args *args, peer_fetch_reply *reply)
{
  RepKind *kind = rep_find_kind (&per->rep, args->kind);
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (peer_object));

  if (kind != NULL)
    reply->revision
        = obj_batch_since (&kind->table, args->since, args->max_bytes, append_object, objects);
  reply->too_large = kind != NULL && kind->newest > args->since && reply->revision == args->since;
  reply->objects.objects_len = objects->len;
  reply->objects.objects_val = malloc (MAX (objects->len, 1) * sizeof (peer_object));
  if (objects->len > 0)
    memcpy (reply->objects.objects_val, objects->data, objects->len * sizeof (peer_object));
  g_array_unref (objects);
}

/* ---- Pushing ---- */

static void
add_target (PerPeer **targets, uint32_t *count, PerPeer *peer)
{
  for (uint32_t i = 0; i < *count; i++)
    if (targets[i] == peer)
      return;
  if (*count < TARGETS_MAX)
    targets[(*count)++] = peer;
}

/* The peer of that rank in the own cell; NULL for the own node. per->near lists the other nodes
 * only, so the ranks behind the own one are shifted by one. */
static PerPeer *
peer_at_rank (const Per *per, uint32_t rank)
{
  if (rank == per->rank)
    return NULL;
  return g_ptr_array_index (per->own_cell, rank > per->rank ? rank - 1 : rank);
}

static uint32_t
find_targets (const Per *per, bool from_store, PerPeer **targets)
{
  uint32_t ranks[OVL_FANOUT + OVL_HEADS];
  uint32_t cell_size = per->own_cell->len + 1;
  uint32_t found = ovl_children (per->rank, cell_size, ranks);
  uint32_t count = 0;

  for (uint32_t i = 0; from_store && i < MIN (OVL_HEADS, cell_size); i++)
    ranks[found++] = i;
  for (uint32_t i = 0; i < found; i++)
    {
      PerPeer *peer = peer_at_rank (per, ranks[i]);
      if (peer != NULL)
        add_target (targets, &count, peer);
    }
  for (guint i = 0; from_store && i < per->heads->len; i++)
    add_target (targets, &count, g_ptr_array_index (per->heads, i));
  return count;
}

static void
free_objects (GArray *objects)
{
  for (guint i = 0; i < objects->len; i++)
    xdr_free ((xdrproc_t) xdr_peer_object, &g_array_index (objects, peer_object, i));
  g_array_unref (objects);
}

static bool
send_update (Per *per, const RepKind *kind, Pos position, const GArray *objects,
             PerPeer *const *targets, uint32_t count)
{
  peer_message message = { .kind = PEER_UPDATE };
  peer_update *update = &message.peer_message_u.update;

  update->kind = (char *) kind->name;
  update->since = kind->pushed;
  update->revision = position;
  update->removal_defer_ms = per_advertised_defer_ms (per, per->last_tick_ms);
  update->has_objects = objects != NULL;
  update->objects.objects_val = objects != NULL ? (peer_object *) (void *) objects->data : NULL;
  update->objects.objects_len = objects != NULL ? objects->len : 0;
  per->updates_sent += count;
  return per_send (per, &message, targets, count);
}

/* Pushes the next changes that fit into one datagram, oldest first. Return: false when none fits or
 * the message cannot be sent. */
static bool
push_datagram (Per *per, RepKind *kind, PerPeer *const *targets, uint32_t count)
{
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (peer_object));
  Pos position = obj_batch_since (&kind->table, kind->pushed, UPD_DATAGRAM_MAX_BYTES, append_object,
                                  objects);
  bool sent = position > kind->pushed && send_update (per, kind, position, objects, targets, count);

  if (sent)
    kind->pushed = position;
  free_objects (objects);
  return sent;
}

/* The objects known when the node starts are not pushed, nor what it then fetches from others in
 * place of lists that may be stale. Changes that do not fit into UPD_DATAGRAMS_MAX datagrams are
 * announced by their position alone, and the receivers fetch them. */
static void
push_kind (Per *per, RepKind *kind, bool from_store, PerPeer *const *targets, uint32_t count)
{
  bool sent = true;

  rep_raise_kept (kind);
  if (kind->pushed == 0 || count == 0 || (pos_is_stale (kind->pushed) && !from_store))
    {
      kind->pushed = kind->newest;
      return;
    }
  for (uint32_t i = 0; sent && i < UPD_DATAGRAMS_MAX && kind->pushed < kind->newest; i++)
    sent = push_datagram (per, kind, targets, count);
  if (kind->pushed < kind->newest)
    send_update (per, kind, kind->newest, NULL, targets, count);
  kind->pushed = kind->newest;
}

void
upd_push (Per *per, bool from_store)
{
  PerPeer *targets[TARGETS_MAX];
  uint32_t count = find_targets (per, from_store, targets);

  for (guint i = 0; i < per->rep.kinds->len; i++)
    push_kind (per, g_ptr_array_index (per->rep.kinds, i), from_store, targets, count);
}

void
upd_apply (Per *per, const peer_update *update, NetAddr from, uint64_t now_ms)
{
  RepKind *kind = rep_find_kind (&per->rep, update->kind);

  per_defer_removal (per, update->removal_defer_ms, now_ms);
  if (kind == NULL || !is_newer (kind, update->revision))
    return;
  if (update->has_objects && update->since <= kind->newest)
    {
      kind->behind_since_ms = 0;
      apply_objects (per, kind, "news", update->objects.objects_val, update->objects.objects_len);
      upd_push (per, false);
    }
  else if (!is_fetching (kind, now_ms))
    fetch_from (per, from, kind, now_ms);
}
