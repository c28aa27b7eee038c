/* Object updates: pushed from node to node, and fetched from a peer when some are missing. */
#include "nws.h"

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
nws_log_taken (const Per *per, const RepKind *kind, const char *source, uint64_t after)
{
  if (kind->changed > after)
    log_event (per->log, LOG_INFO, "objects_applied", "kind=%s source=%s after=%llu revision=%llu",
               kind->name, source, (unsigned long long) after, (unsigned long long) kind->changed);
}

static void
apply_objects (Per *per, RepKind *kind, const char *source, const peer_object *objects, u_int count)
{
  uint64_t after = kind->changed;

  for (u_int i = 0; i < count; i++)
    rep_take (&per->rep, kind, objects[i].name, objects[i].revision, objects[i].deleted,
              objects[i].value);
  nws_log_taken (per, kind, source, after);
}

/* ---- Fetching objects from a peer ---- */

typedef struct
{
  Per *per;
  RepKind *kind;
} Fetch;

/* Large objects are read from the store, whose link has the higher bandwidth. They are fetched from
 * a peer, without a size limit, only when the store cannot be asked. */
static void
request_large_objects (Per *per, RepKind *kind)
{
  kind->any_size = per->read_store == NULL || !per->read_store (per->reader, kind->name);
}

static void
on_fetch_done (void *user, const void *result)
{
  Fetch *fetch = user;
  const peer_fetch_reply *reply = result;

  fetch->kind->fetched_at_ms = 0;
  fetch->kind->behind_since_ms = 0;
  if (reply != NULL && reply->too_large)
    request_large_objects (fetch->per, fetch->kind);
  else if (reply != NULL)
    {
      apply_objects (fetch->per, fetch->kind, "fetch", reply->objects.objects_val,
                     reply->objects.objects_len);
      nws_push (fetch->per, false);
    }
  g_free (fetch);
}

static void
fetch_from (Per *per, NetAddr peer, RepKind *kind, uint64_t now_ms)
{
  uint32_t timeout_ms = kind->any_size ? FETCH_LARGE_TIMEOUT_MS : FETCH_TIMEOUT_MS;
  peer_fetch_args args = { .kind = kind->name,
                           .since = kind->changed,
                           .most_bytes = kind->any_size ? UINT32_MAX : FETCH_REPLY_MAX_BYTES };
  Fetch *fetch = g_new (Fetch, 1);

  *fetch = (Fetch){ .per = per, .kind = kind };
  kind->fetched_at_ms = now_ms;
  kind->any_size = false;
  per->fetches++;
  per->transport.fetch (per->transport.user, peer, &args, timeout_ms, on_fetch_done, fetch);
}

/* A fetch that has run for NWS_NEXT_FETCH_MS no longer prevents the next one. */
static bool
is_fetching (const RepKind *kind, uint64_t now_ms)
{
  return kind->fetched_at_ms != 0 && now_ms - kind->fetched_at_ms < NWS_NEXT_FETCH_MS;
}

/* The delay leaves time for a pushed update to arrive, or for the node's own watch of the store to
 * report the change; only what is still missing after it is fetched. */
void
nws_compare (Per *per, const peer_revision *revisions, u_int count, NetAddr from, uint64_t now_ms)
{
  uint32_t wait_ms = per->self.watch == PER_WATCH_HEALTHY ? NWS_WATCHER_WAIT_MS : NWS_WAIT_MS;

  for (u_int i = 0; i < count; i++)
    {
      RepKind *kind = rep_find (&per->rep, revisions[i].kind);
      if (kind == NULL || revisions[i].revision <= kind->changed || is_fetching (kind, now_ms))
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
nws_answer (const Per *per, const peer_fetch_args *args, peer_fetch_reply *reply)
{
  RepKind *kind = rep_find (&per->rep, args->kind);
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (peer_object));

  if (kind != NULL)
    reply->revision
        = obj_part_since (&kind->table, args->since, args->most_bytes, append_object, objects);
  reply->too_large = kind != NULL && kind->changed > args->since && reply->revision == args->since;
  reply->objects.objects_len = objects->len;
  reply->objects.objects_val = malloc (MAX (objects->len, 1) * sizeof (peer_object));
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
  return g_ptr_array_index (per->near, rank > per->rank ? rank - 1 : rank);
}

static uint32_t
find_targets (const Per *per, bool from_store, PerPeer **targets)
{
  uint32_t ranks[OVL_FANOUT + OVL_HEADS];
  uint32_t cell_size = per->near->len + 1;
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
send_update (Per *per, const RepKind *kind, uint64_t revision, const GArray *objects,
             PerPeer *const *targets, uint32_t count)
{
  peer_message message = { .kind = PEER_NEWS };
  peer_news *update = &message.peer_message_u.news;

  update->kind = (char *) kind->name;
  update->since = kind->pushed;
  update->revision = revision;
  update->settling_ms = per_settling_to_tell_ms (per, per->ticked_at_ms);
  update->told = objects != NULL;
  update->objects.objects_val = objects != NULL ? (peer_object *) (void *) objects->data : NULL;
  update->objects.objects_len = objects != NULL ? objects->len : 0;
  per->news_sent += count;
  return per_send (per, &message, targets, count);
}

/* Pushes the next changes that fit into one datagram, oldest first. Return: false when none fits or
 * the message cannot be sent. */
static bool
push_datagram (Per *per, RepKind *kind, PerPeer *const *targets, uint32_t count)
{
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (peer_object));
  uint64_t revision
      = obj_part_since (&kind->table, kind->pushed, NWS_DATAGRAM_BYTES, append_object, objects);
  bool sent = revision > kind->pushed && send_update (per, kind, revision, objects, targets, count);

  if (sent)
    kind->pushed = revision;
  free_objects (objects);
  return sent;
}

/* The objects known when the node starts are not pushed. Changes that do not fit into
 * NWS_DATAGRAMS_MAX datagrams are announced by their revision alone, and the receivers fetch them.
 */
static void
push_kind (Per *per, RepKind *kind, PerPeer *const *targets, uint32_t count)
{
  bool sent = true;

  if (kind->pushed == 0 || count == 0)
    {
      kind->pushed = kind->changed;
      return;
    }
  for (uint32_t i = 0; sent && i < NWS_DATAGRAMS_MAX && kind->pushed < kind->changed; i++)
    sent = push_datagram (per, kind, targets, count);
  if (kind->pushed < kind->changed)
    send_update (per, kind, kind->changed, NULL, targets, count);
  kind->pushed = kind->changed;
}

void
nws_push (Per *per, bool from_store)
{
  PerPeer *targets[TARGETS_MAX];
  uint32_t count = find_targets (per, from_store, targets);

  for (guint i = 0; i < per->rep.kinds->len; i++)
    push_kind (per, g_ptr_array_index (per->rep.kinds, i), targets, count);
}

void
nws_take (Per *per, const peer_news *update, NetAddr from, uint64_t now_ms)
{
  RepKind *kind = rep_find (&per->rep, update->kind);

  per_settle (per, update->settling_ms, now_ms);
  if (kind == NULL || update->revision <= kind->changed)
    return;
  if (update->told && update->since <= kind->changed)
    {
      kind->behind_since_ms = 0;
      apply_objects (per, kind, "news", update->objects.objects_val, update->objects.objects_len);
      nws_push (per, false);
    }
  else if (!is_fetching (kind, now_ms))
    fetch_from (per, from, kind, now_ms);
}
