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

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

class Fleet;

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
  uint64_t paused_until_ms = 0;
};

class Fleet
{
public:
  static constexpr uint32_t kZones = 9;
  static constexpr uint32_t kRegions = 3;

  Fleet (uint32_t nodes, uint32_t seed, uint32_t loss_permille);
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

  // Changes an object in the store and returns the new revision.
  uint64_t ChangeObject (const std::string &name);

  // Live nodes, neither paused nor dropping incoming messages, that have not applied the revision.
  std::vector<uint32_t> Outdated (uint64_t revision) const;

  // Runs until Outdated() is empty, at most a minute; returns the simulated time that passed, in
  // ms.
  uint64_t TimeUntilAllUpdated (uint64_t revision);

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

  struct StoreChange
  {
    std::string name;
    uint64_t revision;
  };

  void Schedule (uint64_t at_ms, std::function<void ()> fn);
  void Tick (FleetNode *node);
  void Watch (FleetNode *node);
  uint64_t DelayMs (const FleetNode &from, const FleetNode &to);
  FleetNode *Find (NetAddr addr);

  uint64_t now_ms_ = 100000;
  uint64_t event_count_ = 0;
  uint32_t loss_permille_;
  uint64_t revision_ = 1;
  std::mt19937 random_;
  FILE *null_log_;
  std::vector<StoreChange> store_changes_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
  std::priority_queue<Event> events_;
  // Pending fetches by their user pointer; the reply is null until the request arrives.
  std::map<void *, peer_fetch_reply *> pending_fetches_;
};
