#include "fleet.h"

#include <cstdlib>
#include <cstring>

namespace
{
constexpr uint32_t kFirstIp = 0x0a000001;
constexpr uint16_t kPort = 7720;
constexpr uint64_t kCallMs = 50; // time that a call to the store takes
constexpr uint64_t kWatchStartDelayMs = 1500;
constexpr uint64_t kWatchBatchDelayMs = 150;
constexpr uint64_t kEraListSpreadMs = 2000;
constexpr size_t kPageObjects = 500;

uint32_t
ZoneOf (void *, const char *zone)
{
  return (uint32_t) atoi (zone + strlen ("zone-"));
}

uint32_t
RegionOf (void *, uint32_t zone)
{
  return zone < Fleet::kZones ? zone % Fleet::kRegions : ZONE_NONE;
}

void
OnChanged (void *, const char *, const Obj *)
{
}

bool
Send (void *user, const char *data, uint32_t size, NetAddr to)
{
  auto *node = static_cast<FleetNode *> (user);
  return node->fleet->Deliver (node->index, data, size, to);
}

void
StartFetch (void *user, NetAddr to, peer_fetch_args *args, uint32_t timeout_ms, PerFetchedFn fn,
            void *fn_user)
{
  auto *node = static_cast<FleetNode *> (user);
  node->fleet->Fetch (node->index, to, args, timeout_ms, fn, fn_user);
}
}

Fleet::Fleet (uint32_t nodes, uint32_t seed, uint32_t loss_permille, std::vector<FleetKind> kinds,
              std::function<void (FleetStore &)> fill)
    : loss_permille_ (loss_permille), kinds_ (std::move (kinds)), random_ (seed),
      null_log_ (fopen ("/dev/null", "w"))
{
  fill (store_);
  for (uint32_t i = 0; i < nodes; i++)
    {
      auto node = std::make_unique<FleetNode> ();
      node->fleet = this;
      node->index = i;
      node->zone = i % kZones;
      node->log.out = null_log_;
      node->log.level = LOG_ERROR;
      node->log.load = &node->load;
      PerSelf &self = node->per.self;
      g_snprintf (self.vm, sizeof self.vm, "edge-%u", i);
      g_snprintf (self.zone, sizeof self.zone, "zone-%u", node->zone);
      self.zone_index = node->zone;
      self.addr = NetAddr{ kFirstIp + i, kPort };
      self.front = NetAddr{ kFirstIp + i, 8000 };
      self.incarnation = 1;
      self.capacity = i % 11 == 0 ? 500 : 100;
      self.state = PER_SERVING;
      ups_init (&node->upstreams, &node->connections);
      poi_init (&node->poison, POISON_NODE_CRASHES_MAX);
      rep_init (&node->per.rep, OnChanged, nullptr);
      for (const FleetKind &kind : kinds_)
        {
          FleetSync sync;
          sync.spec = &kind;
          sync.kind = rep_ensure_kind (&node->per.rep, kind.name);
          sync.kind->keeps = kind.keeps;
          sync.listed = sync.watching = true;
          sync.revision = store_.revision ();
          sync.kind->listed = pos_make (store_.era (), sync.revision);
          for (const auto &[name, object] : store_.objects (kind.name))
            Apply (node.get (), &sync, name, object);
          node->syncs.push_back (sync);
        }
      node->era = store_.era ();
      node->kind = rep_find_kind (&node->per.rep, "servers");
      node->per.log = &node->log;
      node->per.zone_of = ZoneOf;
      node->per.region_of = RegionOf;
      node->per.upstreams = &node->upstreams;
      node->per.poison = &node->poison;
      node->per.traffic = &node->traffic;
      node->per.transport = PerTransport{ Send, StartFetch, node.get () };
      per_init (&node->per);
      upd_push (&node->per, false);
      nodes_.push_back (std::move (node));
    }
  for (auto &node : nodes_)
    {
      for (auto &other : nodes_)
        per_add (&node->per, other->per.self.vm, other->per.self.addr, other->zone,
                 other->per.self.capacity, now_ms_);
      FleetNode *node_ptr = node.get ();
      Schedule (now_ms_ + random_ () % PER_TICK_MS, [this, node_ptr] { Tick (node_ptr); });
      Schedule (now_ms_ + random_ () % kCallMs, [this, node_ptr] { Follow (node_ptr); });
    }
}

Fleet::~Fleet ()
{
  for (auto &[user, reply] : pending_fetches_)
    {
      if (reply != nullptr)
        xdr_free ((xdrproc_t) xdr_peer_fetch_reply, (char *) reply);
      g_free (reply);
      g_free (user);
    }
  for (auto &node : nodes_)
    {
      per_clear (&node->per);
      rep_clear (&node->per.rep);
      poi_clear (&node->poison);
      ups_clear (&node->upstreams);
    }
  fclose (null_log_);
}

void
Fleet::Schedule (uint64_t at_ms, std::function<void ()> fn)
{
  events_.push (Event{ at_ms, event_count_++, std::move (fn) });
}

void
Fleet::Run (uint64_t for_ms)
{
  uint64_t end_ms = now_ms_ + for_ms;
  while (!events_.empty () && events_.top ().at_ms <= end_ms)
    {
      Event event = events_.top ();
      events_.pop ();
      now_ms_ = event.at_ms;
      event.fn ();
    }
  now_ms_ = end_ms;
}

void
Fleet::Tick (FleetNode *node)
{
  Schedule (now_ms_ + PER_TICK_MS, [this, node] { Tick (node); });
  if (!node->alive || now_ms_ < node->paused_until_ms)
    return;
  exc_tick (&node->per, now_ms_);
}

void
Fleet::Apply (FleetNode *node, FleetSync *sync, const std::string &name,
              const FleetStore::Object &object)
{
  Pos position = pos_make (node->knows_eras ? store_.era () : 0, object.revision);
  rep_take (&node->per.rep, sync->kind, name.c_str (), position, object.deleted,
            g_strdup (object.value.c_str ()));
}

// As start_era() and restart_in_new_era() of platform/pfd.c.
void
Fleet::StartEra (FleetNode *node, uint64_t era, bool should_watch)
{
  node->era = era;
  for (FleetSync &sync : node->syncs)
    {
      sync.cursor.clear ();
      sync.pages.clear ();
      sync.watching = false;
      sync.watch_is_open = false;
      sync.relist_at_ms = 0;
      sync.next_call_ms = now_ms_ + kCallMs;
      sync.paused = !should_watch && sync.listed;
      if (sync.paused && sync.spec->lists_again)
        sync.relist_at_ms = now_ms_ + 1 + random_ () % kEraListSpreadMs;
    }
}

// As apply_pages() and end_list() of platform/pfd.c.
void
Fleet::EndList (FleetNode *node, FleetSync *sync)
{
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  for (auto &[name, object] : sync->pages)
    {
      if (object.revision <= sync->revision)
        Apply (node, sync, name, object);
      g_hash_table_add (listed, (gpointer) name.c_str ());
    }
  rep_reconcile (&node->per.rep, sync->kind, listed,
                 pos_make (node->knows_eras ? store_.era () : 0, sync->revision));
  g_hash_table_unref (listed);
  sync->pages.clear ();
  sync->cursor.clear ();
  sync->listed = sync->watching = true;
}

// The response to a call that was started kCallMs ago; the next page is asked for at once.
void
Fleet::ListPage (FleetNode *node, FleetSync *sync)
{
  calls_.push_back (now_ms_);
  if (sync->pages.empty ())
    sync->revision = store_.revision ();
  const FleetStore::Objects &objects = store_.objects (sync->spec->name);
  auto next = sync->cursor.empty () ? objects.begin () : objects.upper_bound (sync->cursor);
  for (size_t count = 0; next != objects.end () && count < kPageObjects; ++next)
    if (!next->second.deleted)
      {
        sync->pages.push_back (*next);
        sync->cursor = next->first;
        count++;
      }
  if (next == objects.end ())
    EndList (node, sync);
}

void
Fleet::Watch (FleetNode *node, FleetSync *sync)
{
  if (!sync->watch_is_open)
    {
      calls_.push_back (now_ms_);
      sync->watch_is_open = true;
      sync->watch_opened_ms = now_ms_;
    }
  bool has_events = false;
  for (const auto &[name, object] : store_.objects (sync->spec->name))
    if (object.revision > sync->revision)
      {
        Apply (node, sync, name, object);
        has_events = true;
      }
  if (!has_events && now_ms_ - sync->watch_opened_ms < sync->spec->watch_wait_ms)
    return;
  sync->revision = store_.revision ();
  sync->watch_is_open = false;
  sync->next_call_ms = now_ms_ + kWatchBatchDelayMs;
}

void
Fleet::Step (FleetNode *node, FleetSync *sync, bool should_watch)
{
  if (now_ms_ < sync->next_call_ms)
    return;
  if (sync->relist_at_ms > 0 && now_ms_ >= sync->relist_at_ms)
    {
      sync->relist_at_ms = 0;
      sync->paused = sync->watching = sync->watch_is_open = false;
    }
  if (should_watch)
    sync->paused = false;
  bool calls = should_watch || (!sync->watching && !sync->paused);
  if (!calls || node->cut_from_store)
    return;
  if (node->knows_eras && node->era != store_.era ())
    {
      calls_.push_back (now_ms_);
      StartEra (node, store_.era (), should_watch);
    }
  else if (sync->watching)
    Watch (node, sync);
  else
    ListPage (node, sync);
}

void
Fleet::Follow (FleetNode *node)
{
  Schedule (now_ms_ + kCallMs, [this, node] { Follow (node); });
  if (!node->alive || now_ms_ < node->paused_until_ms)
    return;
  Per *per = &node->per;
  bool should = (node->started_ms == 0 || now_ms_ - node->started_ms >= kWatchStartDelayMs)
                && wch_should_watch (per, now_ms_);
  if (node->knows_eras && rep_era (&per->rep) > node->era)
    StartEra (node, rep_era (&per->rep), should);
  bool watching = should;
  for (FleetSync &sync : node->syncs)
    {
      if (!should)
        sync.watch_is_open = false;
      Step (node, &sync, should);
      watching = watching && sync.watching;
    }
  per->self.watch = should && node->cut_from_store ? PER_WATCH_FAILING
                    : watching                     ? PER_WATCH_HEALTHY
                                                   : PER_WATCH_NONE;
  upd_push (per, should);
}

Pos
Fleet::ChangeObject (const std::string &name)
{
  return pos_make (store_.era (), store_.Write ("servers", name, "{}"));
}

void
Fleet::StartNode (uint32_t index)
{
  FleetNode &node = *nodes_[index];
  node.alive = true;
  node.started_ms = now_ms_;
  node.era = 0;
  for (FleetSync &sync : node.syncs)
    {
      obj_clear (&sync.kind->table);
      obj_init (&sync.kind->table);
      sync.kind->newest = sync.kind->pushed = sync.kind->listed = 0;
      sync.kind->kept = 0;
      sync.listed = sync.watching = false;
    }
}

std::vector<uint32_t>
Fleet::Outdated (Pos position) const
{
  std::vector<uint32_t> behind;
  for (const auto &node : nodes_)
    if (node->alive && now_ms_ >= node->paused_until_ms && !node->drops_incoming
        && node->kind->newest < position)
      behind.push_back (node->index);
  return behind;
}

uint64_t
Fleet::TimeUntilAllUpdated (Pos position)
{
  uint64_t since_ms = now_ms_;
  while (now_ms_ - since_ms < 60000 && !Outdated (position).empty ())
    Run (10);
  return now_ms_ - since_ms;
}

std::vector<uint32_t>
Fleet::Watchers () const
{
  std::vector<uint32_t> watchers;
  for (const auto &node : nodes_)
    if (node->alive && node->per.self.watch == PER_WATCH_HEALTHY)
      watchers.push_back (node->index);
  return watchers;
}

uint64_t
Fleet::DelayMs (const FleetNode &from, const FleetNode &to)
{
  bool same_region = RegionOf (nullptr, from.zone) == RegionOf (nullptr, to.zone);
  return (same_region ? 1 : 35) + random_ () % 4;
}

FleetNode *
Fleet::Find (NetAddr addr)
{
  uint32_t index = addr.ip - kFirstIp;
  return index < nodes_.size () ? nodes_[index].get () : nullptr;
}

bool
Fleet::Deliver (uint32_t from, const char *data, uint32_t size, NetAddr to)
{
  FleetNode *sender = nodes_[from].get ();
  FleetNode *target = Find (to);
  sent_bytes_ += size;
  if (target == nullptr || sender->drops_outgoing || random_ () % 1000 < loss_permille_)
    return true;
  std::string bytes (data, size);
  Schedule (now_ms_ + DelayMs (*sender, *target), [this, sender, target, bytes] {
    if (target->alive && !target->drops_incoming && now_ms_ >= target->paused_until_ms)
      exc_receive (&target->per, bytes.data (), (uint32_t) bytes.size (), sender->per.self.addr,
                   now_ms_);
  });
  return true;
}

// The reply is created when the request arrives and delivered after the same one-way delay. A
// fault at that time makes the fetch fail after the timeout.
void
Fleet::Fetch (uint32_t from, NetAddr to, const peer_fetch_args *args, uint32_t timeout_ms,
              PerFetchedFn fn, void *user)
{
  FleetNode *caller = nodes_[from].get ();
  FleetNode *target = Find (to);
  std::string kind = args->kind;
  uint64_t since = args->since;
  uint32_t max_bytes = args->max_bytes;
  uint64_t one_way_ms = DelayMs (*caller, *target);

  pending_fetches_[user] = nullptr;
  Schedule (now_ms_ + one_way_ms, [=] {
    bool reached = target->alive && !target->drops_incoming && !target->drops_outgoing
                   && !caller->drops_outgoing && !caller->drops_incoming
                   && now_ms_ >= target->paused_until_ms;
    auto *reply = g_new0 (peer_fetch_reply, 1);
    pending_fetches_[user] = reply;
    peer_fetch_args arrived_args = {};
    arrived_args.kind = const_cast<char *> (kind.c_str ());
    arrived_args.since = since;
    arrived_args.max_bytes = max_bytes;
    if (reached)
      {
        upd_fill_reply (&target->per, &arrived_args, reply);
        sent_bytes_ += xdr_sizeof ((xdrproc_t) xdr_peer_fetch_args, &arrived_args)
                       + xdr_sizeof ((xdrproc_t) xdr_peer_fetch_reply, reply);
      }
    Schedule (now_ms_ + (reached ? one_way_ms : timeout_ms), [=] {
      pending_fetches_.erase (user);
      if (caller->alive)
        fn (user, reached ? reply : nullptr);
      else
        g_free (user);
      xdr_free ((xdrproc_t) xdr_peer_fetch_reply, (char *) reply);
      g_free (reply);
    });
  });
}
