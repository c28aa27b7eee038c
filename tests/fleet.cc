#include "fleet.h"

#include <cstdlib>
#include <cstring>

namespace
{
constexpr uint32_t kFirstIp = 0x0a000001;
constexpr uint16_t kPort = 7720;
constexpr uint64_t kWatchMs = 50;

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

Fleet::Fleet (uint32_t nodes, uint32_t seed, uint32_t loss_permille)
    : loss_permille_ (loss_permille), random_ (seed), null_log_ (fopen ("/dev/null", "w"))
{
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
      node->kind = rep_ensure_kind (&node->per.rep, "servers");
      rep_apply (&node->per.rep, node->kind, "first", 1, false, "{}");
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
      Schedule (now_ms_ + random_ () % kWatchMs, [this, node_ptr] { Watch (node_ptr); });
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
Fleet::Watch (FleetNode *node)
{
  Schedule (now_ms_ + kWatchMs, [this, node] { Watch (node); });
  if (!node->alive || now_ms_ < node->paused_until_ms)
    return;
  Per *per = &node->per;
  bool should = wch_should_watch (per, now_ms_);
  per->self.watch = !should                ? PER_WATCH_NONE
                    : node->cut_from_store ? PER_WATCH_FAILING
                                           : PER_WATCH_HEALTHY;
  if (per->self.watch != PER_WATCH_HEALTHY)
    return;
  uint64_t known = node->kind->newest;
  for (const StoreChange &change : store_changes_)
    if (change.revision > known)
      rep_apply (&per->rep, node->kind, change.name.c_str (), change.revision, false, "{}");
  upd_push (per, true);
}

uint64_t
Fleet::ChangeObject (const std::string &name)
{
  store_changes_.push_back (StoreChange{ name, ++revision_ });
  return revision_;
}

std::vector<uint32_t>
Fleet::Outdated (uint64_t revision) const
{
  std::vector<uint32_t> behind;
  for (const auto &node : nodes_)
    if (node->alive && now_ms_ >= node->paused_until_ms && !node->drops_incoming
        && node->kind->newest < revision)
      behind.push_back (node->index);
  return behind;
}

uint64_t
Fleet::TimeUntilAllUpdated (uint64_t revision)
{
  uint64_t since_ms = now_ms_;
  while (now_ms_ - since_ms < 60000 && !Outdated (revision).empty ())
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
      upd_fill_reply (&target->per, &arrived_args, reply);
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
