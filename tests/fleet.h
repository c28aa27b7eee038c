// Discrete-event simulation of the exchange between many nodes in one process, with a simulated
// network and clock. A run is reproducible from its seed.
#pragma once

#include <glib.h>

extern "C"
{
#include "exc.h"
#include "upd.h"
#include "sum.h"
#include "wch.h"
}

#include "fleet_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

class Fleet;

// Kind of objects of a fleet. @keeps and @may_be_deleted as in platform/pfd.c, @lists_again: nodes
// that don't watch look themselves after a return of the store.
struct FleetKind
{
  const char *name;
  RepKeepsFn keeps;
  bool may_be_deleted;
  bool lists_again;
  uint32_t watch_wait_ms;
};

// How a node follows a kind, as KindSync of platform/pfd.c.
struct FleetSync
{
  const FleetKind *spec = nullptr;
  RepKind *kind = nullptr;
  bool watching = false;
  bool listed = false;
  bool paused = false;
  bool watch_is_open = false;
  uint64_t watch_opened_ms = 0;
  uint64_t next_call_ms = 0;
  uint64_t relist_at_ms = 0;
  uint64_t revision = 0;
  std::string cursor;
  std::vector<std::pair<std::string, FleetStore::Object>> pages;
};

// Simulated node: its state and its current faults.
struct FleetNode
{
  Per per = {};
  UpsTable upstreams = {};
  UcnCtx connections = {};
  PoiTable poison = {};
  Trf traffic = {};
  Log log = {};
  LogRateLimit load = {};
  Fleet *fleet = nullptr;
  uint32_t index = 0;
  uint32_t zone = 0;
  RepKind *kind = nullptr;
  bool alive = true;
  bool drops_incoming = false; // messages to the node are lost
  bool drops_outgoing = false; // messages from the node are lost
  bool cut_from_store = false;
  bool knows_eras = true; // false: a node of an earlier version, whose positions are revisions
  uint64_t era = 0;
  uint64_t started_ms = 0;
  std::vector<FleetSync> syncs;
  uint64_t paused_until_ms = 0;
};

class Fleet
{
public:
  static constexpr uint32_t kZones = 9;
  static constexpr uint32_t kRegions = 3;

  // What the nodes know at the start is written by @fill.
  Fleet (
      uint32_t nodes, uint32_t seed, uint32_t loss_permille,
      std::vector<FleetKind> kinds = { { "servers", nullptr, true, true, 20000 } },
      std::function<void (FleetStore &)> fill
      = [] (FleetStore &store) { store.Write ("servers", "first", "{}"); });
  ~Fleet ();

  uint64_t
  now_ms () const
  {
    return now_ms_;
  }

  FleetNode &
  node (uint32_t index)
  {
    return *nodes_[index];
  }

  uint32_t
  size () const
  {
    return (uint32_t) nodes_.size ();
  }

  void Run (uint64_t for_ms);

  FleetStore &
  store ()
  {
    return store_;
  }

  // Changes an object in the store and returns the position of the change.
  Pos ChangeObject (const std::string &name);

  // Starts a node that was not alive from the start on, with an empty replica.
  void StartNode (uint32_t index);

  // Live nodes, neither paused nor dropping incoming messages, that have not applied the change.
  std::vector<uint32_t> Outdated (Pos position) const;

  // When nodes started lists and watches, in ms.
  const std::vector<uint64_t> &
  calls () const
  {
    return calls_;
  }

  // Bytes of messages and of fetches that nodes have sent.
  uint64_t
  sent_bytes () const
  {
    return sent_bytes_;
  }

  // Runs until Outdated() is empty, at most a minute; returns the simulated time that passed, in
  // ms.
  uint64_t TimeUntilAllUpdated (Pos position);

  // Live nodes with a healthy watch on the store.
  std::vector<uint32_t> Watchers () const;

  bool Deliver (uint32_t from, const char *data, uint32_t size, NetAddr to);
  void Fetch (uint32_t from, NetAddr to, const peer_fetch_args *args, uint32_t timeout_ms,
              PerFetchedFn fn, void *user);

private:
  struct Event
  {
    uint64_t at_ms;
    uint64_t sequence;
    std::function<void ()> fn;
    bool
    operator<(const Event &other) const
    {
      return at_ms != other.at_ms ? at_ms > other.at_ms : sequence > other.sequence;
    }
  };

  void Schedule (uint64_t at_ms, std::function<void ()> fn);
  void Tick (FleetNode *node);
  void Follow (FleetNode *node);
  void StartEra (FleetNode *node, uint64_t era, bool should_watch);
  void Step (FleetNode *node, FleetSync *sync, bool should_watch);
  void ListPage (FleetNode *node, FleetSync *sync);
  void EndList (FleetNode *node, FleetSync *sync);
  void Watch (FleetNode *node, FleetSync *sync);
  void Apply (FleetNode *node, FleetSync *sync, const std::string &name,
              const FleetStore::Object &object);
  uint64_t DelayMs (const FleetNode &from, const FleetNode &to);
  FleetNode *Find (NetAddr addr);

  uint64_t now_ms_ = 100000;
  uint64_t event_count_ = 0;
  uint32_t loss_permille_;
  uint64_t sent_bytes_ = 0;
  std::vector<uint64_t> calls_;
  std::vector<FleetKind> kinds_;
  FleetStore store_;
  std::mt19937 random_;
  FILE *null_log_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
  std::priority_queue<Event> events_;
  // Pending fetches by their user pointer; the reply is null until the request arrives.
  std::map<void *, peer_fetch_reply *> pending_fetches_;
};
