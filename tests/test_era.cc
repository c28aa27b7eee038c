// A fleet after the store's return from an older copy: time until all nodes are right, late nodes,
// values that are kept, calls to the store and bytes between nodes.
#include "fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace
{
constexpr uint64_t kCaughtUpMaxMs = 4000;
constexpr uint64_t kUpdateMaxMs = 1000;
constexpr uint64_t kStartMs = 6000;
constexpr uint64_t kStepMs = 50;
constexpr uint32_t kLossPermille = 10;
constexpr uint64_t kFirstEra = 3;
// Another seed is for trials by hand.
const uint32_t kSeed
    = g_getenv ("ERA_SEED") != nullptr ? (uint32_t) atoi (g_getenv ("ERA_SEED")) : 11;
constexpr uint32_t kConfigs = 8;
constexpr size_t kConfigBytes = 2000;
constexpr size_t kServerBytes = 180;
// Reads a second that the store of a small and of a large deployment serves.
constexpr uint64_t kSmallReadsMax = 2000;
constexpr uint64_t kLargeReadsMax = 6000;
constexpr uint32_t kLargeNodes = 300;

int
Version (const char *value)
{
  return atoi (value);
}

bool
IsDraining (const char *value)
{
  return strstr (value, "draining") != nullptr;
}

// The three are simplified from platform/pkv.c.
bool
KeepsConfig (const Obj *known, const char *value)
{
  return !known->deleted && (value == nullptr || Version (known->value) > Version (value));
}

bool
KeepsServer (const Obj *known, const char *value)
{
  return value != nullptr && (known->deleted || (IsDraining (known->value) && !IsDraining (value)));
}

bool
KeepsEvacuation (const Obj *known, const char *value)
{
  return !known->deleted && value == nullptr;
}

const std::vector<FleetKind> kKinds = {
  { "configs", KeepsConfig, false, false, 20000 },
  { "servers", KeepsServer, true, true, 20000 },
  { "evacuations", KeepsEvacuation, true, true, 600 },
  { "nodes", nullptr, false, true, 20000 },
};

std::string
Padded (const std::string &value, size_t bytes)
{
  return value + " " + std::string (bytes - std::min (bytes, value.size () + 1), '.');
}

std::string
Server (const std::string &state)
{
  return Padded (state, kServerBytes);
}

std::string
Config (int version)
{
  return Padded (std::to_string (version), kConfigBytes);
}

uint32_t
ServerCount (uint32_t nodes)
{
  return nodes >= kLargeNodes ? 1080 : 4 * nodes;
}

void
Fill (FleetStore &store, uint32_t nodes, uint64_t era)
{
  store.SetEra (era);
  for (uint32_t i = 0; i < nodes; i++)
    store.Write ("nodes", "edge-" + std::to_string (i), Padded ("edge", 120));
  for (uint32_t i = 0; i < kConfigs; i++)
    store.Write ("configs", "config-" + std::to_string (i), Config (1));
  for (uint32_t i = 0; i < ServerCount (nodes); i++)
    store.Write ("servers", "up-" + std::to_string (i), Server ("ready"));
}

// A fleet, and what all of its nodes are to know: the store's objects, but for values that are
// kept.
class EraFleet
{
public:
  // @era: of the store at the start; 0 for a store that counts none.
  explicit EraFleet (uint32_t nodes, uint64_t era = kFirstEra, uint32_t seed = kSeed)
      : fleet (nodes, seed + nodes, kLossPermille, kKinds,
               [nodes, era] (FleetStore &store) { Fill (store, nodes, era); })
  {
  }

  // Kept values by kind and name; "" for an object that stays deleted.
  std::map<std::string, std::map<std::string, std::string>> kept;
  Fleet fleet;

  FleetStore &
  store ()
  {
    return fleet.store ();
  }

  bool
  IsRight (uint32_t index)
  {
    for (const FleetKind &spec : kKinds)
      if (Describe (index, spec.name) != "")
        return false;
    return true;
  }

  // First difference between a node's objects of a kind and the expected ones; "" for none.
  std::string
  Describe (uint32_t index, const char *name)
  {
    RepKind *kind = rep_find_kind (&fleet.node (index).per.rep, name);
    size_t expected = 0;
    for (const auto &[path, value] : Expected (name))
      {
        const Obj *object = obj_get (&kind->table, path.c_str ());
        if (object == nullptr || *value != object->value)
          return std::string (name) + "/" + path + " "
                 + (object == nullptr ? "is missing" : object->value) + "\n";
        expected++;
      }
    return Live (kind) == expected ? "" : std::string (name) + ": more than expected\n";
  }

  std::vector<uint32_t>
  Wrong (int except = -1)
  {
    std::vector<uint32_t> wrong;
    for (uint32_t i = 0; i < fleet.size (); i++)
      if ((int) i != except && fleet.node (i).alive && fleet.node (i).knows_eras
          && fleet.now_ms () >= fleet.node (i).paused_until_ms && !IsRight (i))
        wrong.push_back (i);
    return wrong;
  }

  // Stops at twenty seconds and prints what is wrong then.
  uint64_t
  TimeUntilRight (int except = -1)
  {
    uint64_t since_ms = fleet.now_ms ();
    expected_.clear ();
    std::vector<uint32_t> wrong = Wrong (except);
    while (!wrong.empty () && fleet.now_ms () - since_ms < 20000)
      {
        // Only if none of the last ones is wrong, all are looked at again.
        fleet.Run (kStepMs);
        wrong.erase (std::remove_if (wrong.begin (), wrong.end (),
                                     [this] (uint32_t i) { return IsRight (i); }),
                     wrong.end ());
        if (wrong.empty ())
          wrong = Wrong (except);
      }
    if (!wrong.empty ())
      for (const FleetKind &spec : kKinds)
        printf ("%zu nodes are wrong; node %u: %s", wrong.size (), wrong[0],
                Describe (wrong[0], spec.name).c_str ());
    return fleet.now_ms () - since_ms;
  }

  // What is lost by the return: objects, values, deletions, and values that are kept instead.
  void
  WriteWhatGetsLost ()
  {
    store ().Copy ();
    store ().Write ("nodes", "edge-lost", Padded ("edge", 120));
    store ().Write ("servers", "up-lost", Server ("ready"));
    store ().Write ("servers", "up-0", Server ("ready, other tags"));
    store ().Delete ("servers", "up-1");
    store ().Write ("servers", "up-2", Server ("draining"));
    store ().Write ("configs", "config-0", Config (2));
    store ().Write ("evacuations", "zone-1", "{}");
    kept["servers"]["up-1"] = "";
    kept["servers"]["up-2"] = Server ("draining");
    kept["configs"]["config-0"] = Config (2);
    kept["evacuations"]["zone-1"] = "{}";
    fleet.Run (1500);
  }

  uint64_t
  CallsInWorstSecond (uint64_t since_ms)
  {
    const std::vector<uint64_t> &calls = fleet.calls ();
    size_t worst = 0;
    auto from = std::lower_bound (calls.begin (), calls.end (), since_ms);
    for (auto end = from; end != calls.end (); ++end)
      {
        while (*end - *from >= 1000)
          ++from;
        worst = std::max (worst, (size_t) (end - from) + 1);
      }
    return worst;
  }

private:
  // By kind, for the present state of the store; TimeUntilRight() starts afresh.
  const std::map<std::string, const std::string *> &
  Expected (const std::string &name)
  {
    auto found = expected_.find (name);
    if (found != expected_.end ())
      return found->second;
    auto &objects = expected_[name];
    for (const auto &[path, object] : store ().objects (name))
      if (!object.deleted)
        objects[path] = &object.value;
    for (const auto &[path, value] : kept[name])
      if (value == "")
        objects.erase (path);
      else
        objects[path] = &value;
    return objects;
  }

  static size_t
  Live (const RepKind *kind)
  {
    GHashTableIter iter;
    gpointer value;
    size_t live = 0;
    g_hash_table_iter_init (&iter, kind->table.by_path);
    while (g_hash_table_iter_next (&iter, nullptr, &value))
      live += !static_cast<Obj *> (value)->deleted;
    return live;
  }

  std::map<std::string, std::map<std::string, const std::string *>> expected_;
};

class Era : public testing::TestWithParam<uint32_t>
{
protected:
  void
  SetUp () override
  {
    era_ = std::make_unique<EraFleet> (GetParam ());
  }

  // All nodes are right before a test starts.
  void
  Start ()
  {
    era_->fleet.Run (kStartMs);
    ASSERT_EQ (era_->TimeUntilRight (), 0u);
  }

  // A node outside the first ranks, which does not watch.
  uint32_t
  LateNode () const
  {
    return GetParam () - 1;
  }

  // The others become right without the node of @except and stay it while it comes back.
  void
  ExpectNothingComesBack (uint32_t except, const std::function<void ()> &come_back)
  {
    Fleet &fleet = era_->fleet;
    EXPECT_LE (era_->TimeUntilRight ((int) except), kCaughtUpMaxMs);
    fleet.Run (1000);
    come_back ();
    for (uint64_t ms = 0; ms < kCaughtUpMaxMs; ms += kStepMs)
      {
        fleet.Run (kStepMs);
        ASSERT_TRUE (era_->Wrong ((int) except).empty ())
            << ms << " ms after the return of node " << except;
      }
    EXPECT_EQ (era_->TimeUntilRight (), 0u);
  }

  std::unique_ptr<EraFleet> era_;
};

class EraLarge : public Era
{
};
}

// With the sanitizers, a test takes ten times as long; all sizes are run only without them. At 300
// nodes only what the size matters for is run, so that the program ends in time.
#ifdef __SANITIZE_ADDRESS__
INSTANTIATE_TEST_SUITE_P (Sizes, EraLarge, testing::Values (9));
INSTANTIATE_TEST_SUITE_P (Sizes, Era, testing::Values (9));
#else
INSTANTIATE_TEST_SUITE_P (Sizes, EraLarge, testing::Values (9, 30, 99, 300));
INSTANTIATE_TEST_SUITE_P (Sizes, Era, testing::Values (9, 30, 99));
#endif

// Prints the figures of docs/CAPACITY.md.
TEST_P (EraLarge, ReturnIsCaughtUpWithFewCalls)
{
  Fleet &fleet = era_->fleet;
  Start ();
  uint64_t calm_bytes = fleet.sent_bytes ();
  fleet.Run (2000);
  calm_bytes = (fleet.sent_bytes () - calm_bytes) / 2;
  era_->WriteWhatGetsLost ();

  uint64_t returned_ms = fleet.now_ms ();
  uint64_t bytes = fleet.sent_bytes ();
  era_->store ().Return ();
  era_->store ().Write ("servers", "up-3", Server ("ready, after"));
  uint64_t right_ms = era_->TimeUntilRight ();
  EXPECT_LE (right_ms, kCaughtUpMaxMs);
  fleet.Run (kCaughtUpMaxMs - std::min (right_ms, kCaughtUpMaxMs));
  bytes = fleet.sent_bytes () - bytes;
  uint64_t calls = era_->CallsInWorstSecond (returned_ms);
  EXPECT_LE (calls, GetParam () >= kLargeNodes ? kLargeReadsMax : kSmallReadsMax);

  era_->store ().Write ("servers", "up-4", Server ("ready, later"));
  uint64_t update_ms = era_->TimeUntilRight ();
  EXPECT_LE (update_ms, kUpdateMaxMs);
  uint64_t after_bytes = fleet.sent_bytes ();
  fleet.Run (2000);
  after_bytes = (fleet.sent_bytes () - after_bytes) / 2;
  printf ("return: nodes=%u objects=%u right_ms=%llu next_change_ms=%llu worst_second_calls=%llu "
          "bytes_per_s_and_node=%llu in_4_s_after=%llu later=%llu\n",
          GetParam (), ServerCount (GetParam ()), (unsigned long long) right_ms,
          (unsigned long long) update_ms, (unsigned long long) calls,
          (unsigned long long) (calm_bytes / GetParam ()),
          (unsigned long long) (bytes / 4 / GetParam ()),
          (unsigned long long) (after_bytes / GetParam ()));
}

TEST_P (Era, NodePausedOverTheReturnBringsNothingBack)
{
  Fleet &fleet = era_->fleet;
  uint32_t late = LateNode ();
  Start ();
  era_->WriteWhatGetsLost ();
  fleet.node (late).paused_until_ms = UINT64_MAX;
  era_->store ().Return ();
  ExpectNothingComesBack (late, [&] { fleet.node (late).paused_until_ms = 0; });
}

TEST_P (Era, WatcherPausedOverTheReturnBringsNothingBack)
{
  Fleet &fleet = era_->fleet;
  Start ();
  uint32_t late = fleet.Watchers ()[0];
  era_->WriteWhatGetsLost ();
  fleet.node (late).paused_until_ms = UINT64_MAX;
  era_->store ().Return ();
  ExpectNothingComesBack (late, [&] { fleet.node (late).paused_until_ms = 0; });
}

TEST_P (Era, NodeCutOffFromTheStoreBringsNothingBack)
{
  Fleet &fleet = era_->fleet;
  uint32_t late = LateNode ();
  Start ();
  era_->WriteWhatGetsLost ();
  fleet.node (late).cut_from_store = true;
  era_->store ().Return ();
  ExpectNothingComesBack (late, [&] { fleet.node (late).cut_from_store = false; });
}

TEST_P (Era, WatcherCutOffFromTheStoreBringsNothingBack)
{
  Fleet &fleet = era_->fleet;
  Start ();
  uint32_t late = fleet.Watchers ()[0];
  era_->WriteWhatGetsLost ();
  fleet.node (late).cut_from_store = true;
  era_->store ().Return ();
  ExpectNothingComesBack (late, [&] { fleet.node (late).cut_from_store = false; });
}

TEST_P (Era, NodeThatHearsNoPeerBringsNothingBack)
{
  Fleet &fleet = era_->fleet;
  uint32_t late = LateNode ();
  Start ();
  era_->WriteWhatGetsLost ();
  fleet.node (late).drops_incoming = true;
  era_->store ().Return ();
  ExpectNothingComesBack (late, [&] { fleet.node (late).drops_incoming = false; });
}

// A node that starts asks peers and the store at once: what a peer sends that hasn't noticed the
// return may arrive after the store's list.
TEST_P (Era, NodeThatStartsDuringTheReturnIsRight)
{
  uint32_t attempts = GetParam () <= 30 ? 24 : 1;
  for (uint32_t attempt = 0; attempt < attempts; attempt++)
    {
      era_ = std::make_unique<EraFleet> (GetParam (), kFirstEra, kSeed + attempt);
      Fleet &fleet = era_->fleet;
      uint32_t late = LateNode ();
      fleet.node (late).alive = false;
      Start ();
      era_->WriteWhatGetsLost ();
      fleet.StartNode (late);
      fleet.Run (50 + attempt % 6 * 25);
      era_->store ().Return ();
      EXPECT_LE (era_->TimeUntilRight (), kCaughtUpMaxMs) << "attempt " << attempt;
    }
}

TEST_P (Era, TwoReturnsInSeries)
{
  Start ();
  era_->WriteWhatGetsLost ();
  era_->store ().Return ();
  era_->fleet.Run (700);
  era_->store ().Write ("servers", "up-lost-again", Server ("ready"));
  era_->store ().Write ("servers", "up-5", Server ("ready, lost again"));
  era_->fleet.Run (300);
  era_->store ().Return ();
  era_->store ().Write ("servers", "up-3", Server ("ready, after"));
  EXPECT_LE (era_->TimeUntilRight (), kCaughtUpMaxMs);
  era_->fleet.Run (kCaughtUpMaxMs);
  era_->store ().Write ("servers", "up-4", Server ("ready, later"));
  EXPECT_LE (era_->TimeUntilRight (), kUpdateMaxMs);
}

// An upstream that drains would get requests again from a node that starts after the return.
TEST_P (Era, KeptValueReachesANodeThatStartsLaterAndYieldsToTheNextWrite)
{
  Fleet &fleet = era_->fleet;
  uint32_t late = LateNode ();
  fleet.node (late).alive = false;
  Start ();
  era_->WriteWhatGetsLost ();
  era_->store ().Return ();
  EXPECT_LE (era_->TimeUntilRight (), kCaughtUpMaxMs);
  fleet.Run (kCaughtUpMaxMs);
  era_->store ().Write ("servers", "up-3", Server ("ready, after"));
  fleet.Run (kCaughtUpMaxMs);
  fleet.StartNode (late);
  EXPECT_LE (era_->TimeUntilRight (), kCaughtUpMaxMs);

  era_->kept.clear ();
  era_->store ().Write ("servers", "up-1", Server ("ready"));
  era_->store ().Write ("servers", "up-2", Server ("ready"));
  era_->store ().Write ("configs", "config-0", Config (1));
  era_->store ().Write ("evacuations", "zone-1", "{}");
  EXPECT_LE (era_->TimeUntilRight (), kUpdateMaxMs);
  era_->store ().Delete ("evacuations", "zone-1");
  EXPECT_LE (era_->TimeUntilRight (), kUpdateMaxMs);
}

// Nodes of an earlier version report revisions without an era, larger ones than those after the
// return.
TEST_P (Era, NodesOfAnEarlierVersionAreNeitherNewerNorAnError)
{
  Fleet &fleet = era_->fleet;
  for (uint32_t i = 0; i < fleet.size (); i += 3)
    {
      FleetNode &node = fleet.node (i);
      node.knows_eras = false;
      fleet.StartNode (i);
      for (FleetSync &sync : node.syncs)
        sync.kind->keeps = nullptr;
    }
  Start ();
  era_->WriteWhatGetsLost ();
  era_->store ().Return ();
  era_->store ().Write ("servers", "up-3", Server ("ready, after"));
  EXPECT_LE (era_->TimeUntilRight (), kCaughtUpMaxMs);
  fleet.Run (kCaughtUpMaxMs);
  era_->store ().Write ("servers", "up-4", Server ("ready, later"));
  EXPECT_LE (era_->TimeUntilRight (), kUpdateMaxMs);
  for (uint32_t i = 0; i < fleet.size (); i++)
    EXPECT_EQ (fleet.node (i).per.garbled, 0u) << "node " << i;
}

// Without a return, eras cost nothing.
TEST_P (Era, EraAddsNoBytes)
{
  EraFleet without (GetParam (), 0);
  for (EraFleet *each : { era_.get (), &without })
    {
      each->fleet.Run (kStartMs);
      each->store ().Write ("servers", "up-3", Server ("ready, after"));
      each->fleet.Run (1000);
    }
  EXPECT_EQ (era_->fleet.sent_bytes (), without.fleet.sent_bytes ());
}
