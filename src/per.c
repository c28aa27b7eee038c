/* Peers: the views that nodes send each other, who is alive, and objects fetched from peers. */
#include "per.h"

#include "clk.h"

#include <string.h>

#define PROC_FETCH 101
#define FETCH_TIMEOUT_MS 1000
#define FETCH_LARGE_TIMEOUT_MS 4000
#define FETCH_MOST_BYTES (48u * 1024u)
#define BEHIND_MS 300
#define RESUM_MS 1000
#define LOADS_MAX 1024
#define DOWNS_MAX 256
#define CRASHES_MAX 64

/* ---- Peers ---- */

static void
peer_free (gpointer data)
{
  PerPeer *peer = data;

  xdr_free ((xdrproc_t) xdr_peer_view, &peer->view);
  g_free (peer);
}

static PerPeer *
peer_get (Per *per, const char *vm)
{
  PerPeer *peer = g_hash_table_lookup (per->peers, vm);

  if (peer != NULL)
    return peer;
  peer = g_new0 (PerPeer, 1);
  g_strlcpy (peer->vm, vm, sizeof peer->vm);
  peer->zone = ZONE_NONE;
  g_hash_table_insert (per->peers, peer->vm, peer);
  return peer;
}

void
per_name (Per *per, const char *vm, NetAddr addr)
{
  if (strcmp (vm, per->self.vm) == 0)
    return;
  PerPeer *peer = peer_get (per, vm);
  if (peer->heard_at_ms == 0)
    peer->addr = addr;
}

bool
per_alive (const PerPeer *peer, uint64_t now_ms)
{
  return peer->heard_at_ms != 0 && now_ms - peer->heard_at_ms < PER_LOST_MS;
}

uint32_t
per_count (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 1;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (per_alive (value, now_ms))
      count++;
  return count;
}

static uint32_t
send_period_ms (const Per *per)
{
  uint32_t peers = g_hash_table_size (per->peers);

  return MAX (PER_TICK_MS, peers * 1000 / PER_SENDS_PER_S);
}

/* ---- What peers say of upstreams ---- */

static void
add_reports (Per *per, const peer_view *view)
{
  for (u_int i = 0; i < view->loads.loads_len; i++)
    {
      const peer_load *load = &view->loads.loads_val[i];
      Ups *ups = ups_by_hash (per->upstreams, load->upstream);
      if (ups != NULL)
        ups->others += load->in_flight;
    }
  for (u_int i = 0; i < view->downs.downs_len; i++)
    {
      Ups *ups = ups_by_hash (per->upstreams, view->downs.downs_val[i]);
      if (ups != NULL)
        ups->down_reports++;
    }
}

static void
take_back_reports (Per *per, const peer_view *view)
{
  for (u_int i = 0; i < view->loads.loads_len; i++)
    {
      const peer_load *load = &view->loads.loads_val[i];
      Ups *ups = ups_by_hash (per->upstreams, load->upstream);
      if (ups != NULL)
        ups->others -= MIN (ups->others, load->in_flight);
    }
  for (u_int i = 0; i < view->downs.downs_len; i++)
    {
      Ups *ups = ups_by_hash (per->upstreams, view->downs.downs_val[i]);
      if (ups != NULL)
        ups->down_reports -= MIN (ups->down_reports, 1);
    }
}

static void
sum_reports (Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((Ups *) value)->others = 0;
      ((Ups *) value)->down_reports = 0;
    }
  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (per_alive (value, now_ms))
      add_reports (per, &((PerPeer *) value)->view);
}

/* ---- Fetching objects from a peer ---- */

typedef struct
{
  Per *per;
  RepKind *kind;
} Fetch;

/* Large objects come from the store, whose link is wide; from a peer only when there is no store.
 */
static void
read_large (Per *per, RepKind *kind)
{
  kind->any_size = per->read_store == NULL || !per->read_store (per->reader, kind->name);
}

static void
on_fetched (void *user, const void *result)
{
  Fetch *fetch = user;
  const peer_fetch_reply *reply = result;

  fetch->kind->fetching = false;
  fetch->kind->behind_since_ms = 0;
  if (reply != NULL && reply->too_large)
    read_large (fetch->per, fetch->kind);
  else if (reply != NULL)
    for (u_int i = 0; i < reply->objects.objects_len; i++)
      {
        const peer_object *object = &reply->objects.objects_val[i];
        rep_take (&fetch->per->rep, fetch->kind, object->name, object->revision, object->deleted,
                  object->value);
      }
  g_free (fetch);
}

static void
fetch_from (Per *per, PerPeer *peer, RepKind *kind)
{
  uint32_t timeout_ms = kind->any_size ? FETCH_LARGE_TIMEOUT_MS : FETCH_TIMEOUT_MS;
  peer_fetch_args args = { .kind = kind->name,
                           .since = kind->changed,
                           .most_bytes = kind->any_size ? UINT32_MAX : FETCH_MOST_BYTES };
  Fetch *fetch = g_new (Fetch, 1);

  *fetch = (Fetch){ .per = per, .kind = kind };
  kind->fetching = true;
  kind->any_size = false;
  per->fetches++;
  onc_call (per->client, peer->addr, PROC_FETCH, (xdrproc_t) xdr_peer_fetch_args, &args,
            (xdrproc_t) xdr_peer_fetch_reply, sizeof (peer_fetch_reply), timeout_ms, on_fetched,
            fetch);
}

/* A node that watches the store usually hears of a change first, so it asks only after a moment. */
static void
compare_revisions (Per *per, PerPeer *peer, uint64_t now_ms)
{
  for (u_int i = 0; i < peer->view.revisions.revisions_len; i++)
    {
      const peer_revision *revision = &peer->view.revisions.revisions_val[i];
      RepKind *kind = rep_find (&per->rep, revision->kind);
      if (kind == NULL || revision->revision <= kind->changed || kind->fetching)
        continue;
      if (kind->behind_since_ms == 0)
        kind->behind_since_ms = now_ms;
      if (per->self.watch != PER_WATCH_HEALTHY || now_ms - kind->behind_since_ms >= BEHIND_MS)
        fetch_from (per, peer, kind);
    }
}

static void
collect_object (void *user, const Obj *obj)
{
  peer_object object = { .name = strdup (obj->path),
                         .revision = obj->revision,
                         .deleted = obj->deleted,
                         .value = strdup (obj->value != NULL ? obj->value : "") };

  g_array_append_val ((GArray *) user, object);
}

/* What is not told now is asked for next; one change that is too large comes from the store. */
static bool
run_fetch (void *user, const void *args, void *result)
{
  Per *per = user;
  const peer_fetch_args *wanted = args;
  peer_fetch_reply *reply = result;
  RepKind *kind = rep_find (&per->rep, wanted->kind);
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (peer_object));

  if (kind != NULL)
    reply->revision
        = obj_part_since (&kind->table, wanted->since, wanted->most_bytes, collect_object, objects);
  reply->too_large
      = kind != NULL && kind->changed > wanted->since && reply->revision == wanted->since;
  reply->objects.objects_len = objects->len;
  reply->objects.objects_val = malloc (MAX (objects->len, 1) * sizeof (peer_object));
  memcpy (reply->objects.objects_val, objects->data, objects->len * sizeof (peer_object));
  g_array_unref (objects);
  return true;
}

static const OncProc procs[] = {
  { .number = PROC_FETCH,
    .xdr_args = (xdrproc_t) xdr_peer_fetch_args,
    .args_size = sizeof (peer_fetch_args),
    .xdr_result = (xdrproc_t) xdr_peer_fetch_reply,
    .result_size = sizeof (peer_fetch_reply),
    .fn = run_fetch },
  { .number = 0 },
};

/* ---- Who watches the platform's store ---- */

static bool
is_recent (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  uint32_t limit_ms = MAX (PER_RECENT_MS, 3 * send_period_ms (per));

  return peer->heard_at_ms != 0 && now_ms - peer->heard_at_ms < limit_ms;
}

static bool
is_better_neighbour (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  uint32_t own = ups_hash (per->self.vm);
  uint32_t region = per->region_of (per->user, per->self.zone_index);

  return is_recent (per, peer, now_ms) && peer->state != PER_STOPPING
         && per->region_of (per->user, peer->zone) == region && ups_hash (peer->vm) > own;
}

uint32_t
per_watch_rank (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t rank = 0;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_better_neighbour (per, value, now_ms))
      rank++;
  return rank;
}

static bool
better_one_watches (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_better_neighbour (per, value, now_ms) && ((PerPeer *) value)->watch == PER_WATCH_HEALTHY)
      return true;
  return false;
}

bool
per_store_is_heard (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_recent (per, value, now_ms) && ((PerPeer *) value)->watch == PER_WATCH_HEALTHY)
      return true;
  return false;
}

bool
per_any_settling (const Per *per, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_recent (per, value, now_ms) && ((PerPeer *) value)->view.settling)
      return true;
  return per->self.settling;
}

bool
per_should_watch (Per *per, uint64_t now_ms)
{
  if (per->self.state == PER_STOPPING || better_one_watches (per, now_ms))
    {
      per->unwatched_since_ms = 0;
      return false;
    }
  if (per->unwatched_since_ms == 0)
    per->unwatched_since_ms = now_ms;
  return now_ms - per->unwatched_since_ms >= per_watch_rank (per, now_ms) * PER_STEP_IN_MS;
}

/* ---- Receiving views ---- */

static void
take_crashes (Per *per, const peer_view *view, uint64_t now_ms)
{
  for (u_int i = 0; i < view->crashes.crashes_len; i++)
    {
      const peer_crash *crash = &view->crashes.crashes_val[i];
      poi_learn (per->poison, crash->fingerprint, crash->crashes, now_ms - crash->age_ms);
    }
}

static void
take_view (Per *per, peer_view *view, uint64_t now_ms)
{
  PerPeer *peer = peer_get (per, view->vm);

  if (view->incarnation < peer->incarnation)
    {
      xdr_free ((xdrproc_t) xdr_peer_view, view);
      return;
    }
  if (per_alive (peer, now_ms))
    take_back_reports (per, &peer->view);
  xdr_free ((xdrproc_t) xdr_peer_view, &peer->view);
  peer->view = *view;
  add_reports (per, &peer->view);
  peer->incarnation = view->incarnation;
  peer->zone = per->zone_of (per->user, view->zone);
  peer->front = (NetAddr){ .ip = view->ip, .port = (uint16_t) view->front_port };
  peer->addr = (NetAddr){ .ip = view->ip, .port = (uint16_t) view->peer_port };
  peer->watch = (PerWatch) MIN (view->watch, (u_int) PER_WATCH_FAILING);
  peer->state = (PerState) MIN (view->state, (u_int) PER_STOPPING);
  if (!per_alive (peer, now_ms))
    log_event (per->log, LOG_INFO, "peer_heard", "peer=%s incarnation=%llu", peer->vm,
               (unsigned long long) peer->incarnation);
  peer->heard_at_ms = now_ms;
  take_crashes (per, &peer->view, now_ms);
  compare_revisions (per, peer, now_ms);
}

static void
on_view (uv_udp_t *udp, ssize_t size, const uv_buf_t *buf, const struct sockaddr *from,
         unsigned int flags)
{
  Per *per = udp->data;
  peer_view view = { 0 };
  XDR xdr;
  (void) from;
  (void) flags;

  if (size <= 0)
    return;
  per->received++;
  xdrmem_create (&xdr, buf->base, (u_int) size, XDR_DECODE);
  if (xdr_peer_view (&xdr, &view) && strcmp (view.vm, per->self.vm) != 0)
    take_view (per, &view, clk_now_ms ());
  else
    xdr_free ((xdrproc_t) xdr_peer_view, &view);
  xdr_destroy (&xdr);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  Per *per = handle->data;
  (void) suggested;

  *buf = uv_buf_init (per->buffer, PER_DATAGRAM_MAX_BYTES);
}

/* ---- Sending views ---- */

static u_int
own_loads (const Per *per, peer_load *loads)
{
  GHashTableIter iter;
  gpointer value;
  u_int count = 0;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (count < LOADS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Ups *ups = value;
      if (ups->in_flight > 0)
        loads[count++] = (peer_load){ .upstream = ups->hash, .in_flight = ups->in_flight };
    }
  return count;
}

static u_int
own_downs (const Per *per, u_int *downs)
{
  GHashTableIter iter;
  gpointer value;
  u_int count = 0;

  g_hash_table_iter_init (&iter, per->upstreams->by_id);
  while (count < DOWNS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    if (!((const Ups *) value)->gone && ups_is_down (value))
      downs[count++] = ((const Ups *) value)->hash;
  return count;
}

static u_int
own_crashes (const Per *per, peer_crash *crashes, u_int room, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  u_int count = 0;

  g_hash_table_iter_init (&iter, per->poison->by_fingerprint);
  while (count < room && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PoiSuspect *suspect = value;
      crashes[count++] = (peer_crash){ .fingerprint = suspect->fingerprint,
                                       .crashes = suspect->crashes,
                                       .age_ms = (u_int) (now_ms - suspect->at_ms) };
    }
  return count;
}

static u_int
own_revisions (const Per *per, peer_revision *revisions, u_int room)
{
  u_int count = 0;

  for (guint i = 0; i < per->rep.kinds->len && count < room; i++)
    {
      RepKind *kind = g_ptr_array_index (per->rep.kinds, i);
      revisions[count++] = (peer_revision){ .kind = kind->name, .revision = kind->changed };
    }
  return count;
}

static u_int
encode_view (const Per *per, char *out, u_int room, uint64_t now_ms)
{
  peer_crash crashes[CRASHES_MAX];
  peer_load loads[LOADS_MAX];
  peer_revision revisions[8];
  u_int downs[DOWNS_MAX];
  const PerSelf *self = &per->self;
  peer_view view = { .vm = (char *) self->vm,
                     .zone = (char *) self->zone,
                     .ip = self->front.ip,
                     .front_port = self->front.port,
                     .peer_port = self->addr.port,
                     .incarnation = self->incarnation,
                     .state = self->state,
                     .watch = self->watch,
                     .settling = self->settling };
  XDR xdr;

  view.loads.loads_val = loads;
  view.loads.loads_len = own_loads (per, loads);
  view.crashes.crashes_val = crashes;
  view.crashes.crashes_len = own_crashes (per, crashes, CRASHES_MAX, now_ms);
  view.downs.downs_val = downs;
  view.downs.downs_len = own_downs (per, downs);
  view.revisions.revisions_val = revisions;
  view.revisions.revisions_len = own_revisions (per, revisions, G_N_ELEMENTS (revisions));
  xdrmem_create (&xdr, out, room, XDR_ENCODE);
  u_int size = xdr_peer_view (&xdr, &view) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return size;
}

static bool
is_due (const Per *per, const PerPeer *peer, uint64_t now_ms)
{
  uint32_t period_ms = per_alive (peer, now_ms) ? send_period_ms (per) : PER_BEAT_MS;

  if (per->self.watch == PER_WATCH_HEALTHY)
    period_ms = MIN (period_ms, PER_NEWS_MS);

  return peer->addr.port != 0 && now_ms - peer->sent_at_ms + PER_TICK_MS / 4 >= period_ms;
}

static void
send_views (Per *per, uint64_t now_ms)
{
  char out[PER_DATAGRAM_MAX_BYTES];
  u_int size = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PerPeer *peer = value;
      if (!is_due (per, peer, now_ms))
        continue;
      if (size == 0)
        size = encode_view (per, out, sizeof out, now_ms);
      struct sockaddr_in sin = net_addr_sockaddr (peer->addr);
      uv_buf_t buf = uv_buf_init (out, size);
      uv_udp_try_send (&per->udp, &buf, 1, (struct sockaddr *) &sin);
      peer->sent_at_ms = now_ms;
      per->sent++;
    }
}

/* After a pause of the own process, silence of the others says nothing. */
static void
forgive_pause (Per *per, uint64_t now_ms)
{
  uint64_t gap_ms = per->ticked_at_ms != 0 ? now_ms - per->ticked_at_ms : 0;
  GHashTableIter iter;
  gpointer value;

  per->ticked_at_ms = now_ms;
  if (gap_ms < PER_BEAT_MS)
    return;
  g_hash_table_iter_init (&iter, per->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((PerPeer *) value)->heard_at_ms != 0)
      ((PerPeer *) value)->heard_at_ms += MIN (gap_ms, now_ms - ((PerPeer *) value)->heard_at_ms);
}

void
per_tick (Per *per, uint64_t now_ms)
{
  forgive_pause (per, now_ms);
  send_views (per, now_ms);
  if (now_ms - per->summed_at_ms >= RESUM_MS)
    {
      per->summed_at_ms = now_ms;
      sum_reports (per, now_ms);
    }
}

bool
per_start (Per *per, uv_loop_t *loop, Err *err)
{
  struct sockaddr_in sin = net_addr_sockaddr (per->self.addr);

  per->loop = loop;
  per->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  per->buffer = g_malloc (PER_DATAGRAM_MAX_BYTES);
  per->client = onc_client_new (loop);
  per->server = onc_serve (loop, per->self.addr, procs, per, err);
  if (per->server == NULL)
    return false;
  uv_udp_init (loop, &per->udp);
  per->udp.data = per;
  int rc = uv_udp_bind (&per->udp, (struct sockaddr *) &sin, 0);
  if (rc != 0)
    {
      err_set (err, ERR_LAYER_RPC, rc, "cannot bind datagrams: %s", uv_strerror (rc));
      return false;
    }
  uv_udp_recv_start (&per->udp, on_alloc, on_view);
  return true;
}

void
per_clear (Per *per)
{
  g_hash_table_unref (per->peers);
  rep_clear (&per->rep);
  onc_client_free (per->client);
  g_free (per->buffer);
}
