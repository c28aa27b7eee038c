// Several nodes under random faults: killed, suspended and terminated processes, a store and an
// upstream behind fault proxies, lost responses, removed upstreams. Beside the faults, an API key
// is removed and added again, an account exceeds its quota, upstreams announce their shutdown, ask
// for a pause, or leave and start anew, a zone is evacuated, the store returns from an older copy,
// and the watches of one kind get no response; the seed decides which of these take place.
// CARDAMOM_SOAK_SEED sets the seed, CARDAMOM_SOAK_S the duration in seconds; a failed run leaves
// its nodes' logs and the times of the events in the folder CARDAMOM_SOAK_LOGS, if set.
#include "fakes.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace std::chrono_literals;

namespace
{
int
FromEnvironment (const char *name, int fallback)
{
  const char *text = getenv (name);
  return text != nullptr ? atoi (text) : fallback;
}

// Runs the fault proxy as a child process and sends commands to its control address.
class FaultProxy
{
public:
  explicit FaultProxy (const std::string &target) : port_ (FreePort ()), control_ (FreePort ())
  {
    std::string listen = "127.0.0.1:" + std::to_string (port_);
    std::string control = "127.0.0.1:" + std::to_string (control_);
    pid_ = fork ();
    if (pid_ == 0)
      {
        execl (PROGRAMS_DIR "/faultproxy", "faultproxy", "--listen", listen.c_str (), "--target",
               target.c_str (), "--control", control.c_str (), nullptr);
        _exit (127);
      }
    std::this_thread::sleep_for (100ms);
  }

  ~FaultProxy ()
  {
    kill (pid_, SIGKILL);
    waitpid (pid_, nullptr, 0);
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port_);
  }

  void
  Command (const std::string &line)
  {
    SendLine ("127.0.0.1", control_, line + "\n");
  }

private:
  int port_;
  int control_;
  pid_t pid_;
};

constexpr int kNodes = 3;
constexpr int kStore = -1; // In Fault::node: all nodes are cut off from the store.
constexpr int kUpstreams = 6;
constexpr int kUpstreamsMax = 10;
// A configuration is in force, and a shutdown notice takes effect, within this time.
constexpr int kInForceMs = 3000;
// Nodes that run and reach the store have a configuration or the leaving of an upstream in force
// within kApplyMs of the store's acknowledgement, an evacuation within kEvacuateMs, and what they
// couldn't hear of within kCatchUpMs of when they run and reach the store again. A version that a
// node showed to be in force is so for requests sent kBackMs later.
constexpr int kCatchUpMs = 4000;
constexpr int kApplyMs = 2500;
constexpr int kEvacuateMs = 5000;
constexpr int kBackMs = 250;
const char *const kEvacuatedZone = "west-a";
constexpr int kAwayMs = 800; // before the store returns from a copy
constexpr int kLostChangesMax = 60;
constexpr int kRewriteMs = 1000; // what the copy lacks is written again within this
// After the last fault of nodes and of the store, while other events go on.
constexpr int kCalmMs = 8000;
constexpr int kReturnsInSeriesMs = 300; // between two returns in series
// Time for requests in transit when an upstream asks for a pause.
constexpr int kTransitMs = 500;
constexpr size_t kSendsDuringPauseMax = 2;
constexpr int kFirstVersion = 12;
constexpr int kVersionStep = 2;
constexpr int kHotRate = 20;
constexpr int kHotBurst = 20;
constexpr int kHotFactor = 5;
constexpr int kHotCallers = 5;
constexpr int kQuotaWindowMs = 5000;
// (rate x window + burst) x 1.1 + 20
constexpr int kQuotaMax = (kHotRate * kQuotaWindowMs / 1000 + kHotBurst) * 11 / 10 + 20;

std::string
ZoneOfNode (int node)
{
  return node < 2 ? "east-a" : "west-a";
}

std::string
ZoneOfUpstream (int upstream)
{
  return upstream % 2 == 0 ? "east-a" : "west-a";
}

// A request of a caller. `notice`: number of the shutdown notice in its response, -1 for none;
// `version`: of the configuration that alone has its route, 0 for a route of all versions.
struct Call
{
  int node;
  int sent_ms;
  int replied_ms = 0;
  int status = 0;
  bool uses_rotated_key = false;
  int notice = -1;
  int version = 0;
};

struct Arrival
{
  std::string id;
  int upstream;
  int at_ms;
};

// An upstream's response with Retry-After. `says_not_run`: it has the header for that.
struct Pause
{
  std::string id;
  int upstream;
  int at_ms;
  int until_ms;
  bool says_not_run;
};

// The time in which an upstream announces its shutdown, until its next incarnation is registered.
struct Notice
{
  int upstream;
  int start_ms;
  int end_ms = INT32_MAX;
};

struct KeyChange
{
  bool removed;
  int put_ms;
  int acknowledged_ms;
};

struct Version
{
  int number;
  int put_ms;
  int acknowledged_ms;
};

// The time in which an upstream drains or has left, or a zone is evacuated.
struct Withdrawal
{
  int upstream; // -1 for the zone
  int put_ms;
  int acknowledged_ms;
  int end_ms = INT32_MAX;
};

// A restart or a freeze of a node, or an outage of the store. The return of the store from a copy
// lasts until all that the copy lacked has been written again.
struct Fault
{
  int node;
  int start_ms;
  int end_ms;
  bool is_restart = false;
};

// What callers, upstreams and the injection of faults recorded.
struct Records
{
  std::mutex mutex;
  std::map<std::string, Call> calls;
  std::vector<Arrival> arrivals;
  std::map<std::string, int> first_run_ms;
  std::vector<Pause> pauses;
  std::vector<Notice> notices;
  std::vector<KeyChange> key_changes;
  std::vector<Version> versions;
  std::vector<Withdrawal> leaves;
  std::vector<Withdrawal> evacuations;
  std::vector<Fault> faults;
};

bool
IsAffected (const Records &records, int node, int from_ms, int to_ms)
{
  return std::any_of (records.faults.begin (), records.faults.end (), [&] (const Fault &fault) {
    return fault.node == node && fault.start_ms <= to_ms && fault.end_ms >= from_ms;
  });
}

// The node and those that may relay its requests to the upstream.
std::vector<int>
PathNodes (int node, int upstream)
{
  std::vector<int> nodes = { node };
  for (int relay = 0; relay < kNodes; relay++)
    if (ZoneOfNode (relay) == ZoneOfUpstream (upstream) && ZoneOfNode (node) != ZoneOfNode (relay))
      nodes.push_back (relay);
  return nodes;
}

// The node, or one that may relay its requests to the upstream, was restarted or frozen.
bool
IsPathAffected (const Records &records, int node, int upstream, int from_ms, int to_ms)
{
  std::vector<int> path = PathNodes (node, upstream);
  return std::any_of (path.begin (), path.end (),
                      [&] (int on_path) { return IsAffected (records, on_path, from_ms, to_ms); });
}

bool
WasRestarted (const Records &records, int node, int from_ms, int to_ms)
{
  return std::any_of (records.faults.begin (), records.faults.end (), [&] (const Fault &fault) {
    return fault.node == node && fault.is_restart && fault.start_ms <= to_ms
           && fault.end_ms >= from_ms;
  });
}

// Whether the node was restarted while the store was away or had just returned, so that neither it
// nor the store may have known by `at_ms` what was acknowledged before.
bool
StartedWithoutStore (const Records &records, int node, int at_ms)
{
  for (const Fault &restart : records.faults)
    {
      if (restart.node != node || !restart.is_restart || restart.start_ms > at_ms)
        continue;
      int until_ms = restart.end_ms + kCatchUpMs;
      bool met_store = false;
      // Faults of the store overlap, so that each may lengthen the time for one before it.
      for (size_t pass = 0; pass < records.faults.size (); pass++)
        for (const Fault &fault : records.faults)
          if (fault.node == kStore && fault.start_ms <= until_ms
              && fault.end_ms >= restart.start_ms)
            {
              met_store = true;
              until_ms = std::max (until_ms, fault.end_ms + kCatchUpMs);
            }
      if (met_store && at_ms <= until_ms)
        return true;
    }
  return false;
}

// When a change is in force on a node that ran and reached the store meanwhile, or has done so for
// kCatchUpMs again. It stays in force through all later faults.
int
DueMs (const Records &records, int put_ms, int acknowledged_ms, int apply_ms, int node)
{
  int due_ms = acknowledged_ms + apply_ms;
  for (bool is_longer = true; is_longer;)
    {
      is_longer = false;
      for (const Fault &fault : records.faults)
        if ((fault.node == node || fault.node == kStore) && fault.start_ms < due_ms
            && fault.end_ms > put_ms && fault.end_ms + kCatchUpMs > due_ms)
          {
            due_ms = fault.end_ms + kCatchUpMs;
            is_longer = true;
          }
    }
  return due_ms;
}

// Until when a change of the configuration must be in force on a node. During a fault that the
// change meets, it cannot reach the node.
int
InForceMs (const Records &records, const KeyChange &change, int node)
{
  int until_ms = change.acknowledged_ms + kInForceMs;
  for (const Fault &fault : records.faults)
    if ((fault.node == node || fault.node == kStore) && fault.start_ms < until_ms
        && fault.end_ms > change.put_ms)
      until_ms = std::max (until_ms, fault.end_ms + kInForceMs);
  return until_ms;
}

// Adds requests with the key that `change` removed that reached an upstream before `end_ms`.
void
AddAcceptedWithRemovedKey (const Records &records, const KeyChange &change, int end_ms,
                           std::vector<std::string> *violations)
{
  for (const Arrival &arrival : records.arrivals)
    {
      auto call = records.calls.find (arrival.id);
      if (call == records.calls.end () || !call->second.uses_rotated_key)
        continue;
      int late_ms = arrival.at_ms - InForceMs (records, change, call->second.node);
      if (late_ms >= 0 && arrival.at_ms < end_ms)
        violations->push_back (arrival.id + " reached upstream " + std::to_string (arrival.upstream)
                               + " with a removed key, " + std::to_string (late_ms)
                               + " ms late, by node " + std::to_string (call->second.node));
    }
}

// Adds requests with the key that `change` added that got 401 before `end_ms`.
void
AddRejectedWithAddedKey (const Records &records, const KeyChange &change, int end_ms,
                         std::vector<std::string> *violations)
{
  for (const auto &[id, call] : records.calls)
    if (call.uses_rotated_key && call.status == 401
        && call.sent_ms >= InForceMs (records, change, call.node) && call.replied_ms < end_ms)
      violations->push_back (id + " got 401 with a valid key from node "
                             + std::to_string (call.node));
}

// Requests with a removed key that reached an upstream, and those with a valid one that got 401.
std::vector<std::string>
KeyViolations (const Records &records)
{
  std::vector<std::string> violations;
  for (size_t i = 0; i < records.key_changes.size (); i++)
    {
      const KeyChange &change = records.key_changes[i];
      int end_ms
          = i + 1 < records.key_changes.size () ? records.key_changes[i + 1].put_ms : INT32_MAX;
      if (change.removed)
        AddAcceptedWithRemovedKey (records, change, end_ms, &violations);
      else
        AddRejectedWithAddedKey (records, change, end_ms, &violations);
    }
  for (const auto &[id, call] : records.calls)
    if (!call.uses_rotated_key && call.status == 401)
      violations.push_back (id + " got 401 with a key that was never removed");
  return violations;
}

// Index of the version among those that were written.
size_t
VersionIndex (const Records &records, int number)
{
  auto found = std::find_if (records.versions.begin (), records.versions.end (),
                             [&] (const Version &version) { return version.number == number; });
  return static_cast<size_t> (found - records.versions.begin ());
}

// When the next version was written: the route of this one may be gone from then on.
int
ReplacedMs (const Records &records, size_t version)
{
  return version + 1 < records.versions.size () ? records.versions[version + 1].put_ms : INT32_MAX;
}

// The version that a request should have found in force; null if it may find an older one.
const Version *
DueVersion (const Records &records, size_t version, const Call &call)
{
  if (version >= records.versions.size ())
    return nullptr;
  const Version &due = records.versions[version];
  bool is_due
      = call.sent_ms > DueMs (records, due.put_ms, due.acknowledged_ms, kApplyMs, call.node);
  return is_due && !StartedWithoutStore (records, call.node, call.replied_ms) ? &due : nullptr;
}

// Requests that nodes handled as only an older version of the configuration allows.
std::vector<std::string>
LateVersionViolations (const Records &records)
{
  std::vector<std::string> violations;
  for (const auto &[id, call] : records.calls)
    {
      if (call.version == 0)
        continue;
      size_t index = VersionIndex (records, call.version);
      const Version *due = nullptr;
      if (call.status == 404 && call.replied_ms < ReplacedMs (records, index))
        due = DueVersion (records, index, call);
      else if (call.status == 200)
        due = DueVersion (records, index + 1, call);
      if (due != nullptr)
        violations.push_back (id + " got " + std::to_string (call.status) + " for the route of "
                              + std::to_string (call.version) + " from node "
                              + std::to_string (call.node) + ", sent at "
                              + std::to_string (call.sent_ms) + ", " + std::to_string (due->number)
                              + " was acknowledged at " + std::to_string (due->acknowledged_ms));
    }
  return violations;
}

// Whether `call` was handled as only a version before that of `served` allows.
bool
IsOlder (const Records &records, const Call &call, const Call &served)
{
  if (call.status == 200)
    return call.version < served.version;
  return call.version == served.version
         && call.replied_ms < ReplacedMs (records, VersionIndex (records, call.version));
}

// Adds requests, in the order in which they were sent to one node, that a process handled as only
// an older version allows than the one that it had in force.
void
AddRevertedVersions (const Records &records, const std::vector<const Call *> &calls,
                     std::vector<std::string> *violations)
{
  const Call *newest = nullptr;
  for (const Call *call : calls)
    {
      if (newest != nullptr
          && WasRestarted (records, call->node, newest->sent_ms, call->replied_ms))
        newest = nullptr;
      if (call->status == 200 && (newest == nullptr || call->version > newest->version))
        newest = call;
      else if (newest != nullptr && call->sent_ms >= newest->replied_ms + kBackMs
               && IsOlder (records, *call, *newest))
        violations->push_back ("node " + std::to_string (call->node) + " went back from "
                               + std::to_string (newest->version) + ": "
                               + std::to_string (call->status) + " for the route of "
                               + std::to_string (call->version) + ", sent at "
                               + std::to_string (call->sent_ms));
    }
}

std::vector<std::string>
RevertedVersionViolations (const Records &records)
{
  std::array<std::vector<const Call *>, kNodes> calls;
  for (const auto &[id, call] : records.calls)
    if (call.version != 0 && (call.status == 200 || call.status == 404))
      calls[call.node].push_back (&call);
  std::vector<std::string> violations;
  for (auto &of_node : calls)
    {
      std::sort (of_node.begin (), of_node.end (),
                 [] (const Call *a, const Call *b) { return a->sent_ms < b->sent_ms; });
      AddRevertedVersions (records, of_node, &violations);
    }
  return violations;
}

// Adds requests that reached an upstream after a change that ought to keep them away, by nodes at
// which it was due.
void
AddLateArrivals (const Records &records, const std::function<bool (int upstream)> &is_meant,
                 const Withdrawal &change, int apply_ms, std::vector<std::string> *violations)
{
  std::array<int, kNodes> due_ms;
  for (int node = 0; node < kNodes; node++)
    due_ms[node] = DueMs (records, change.put_ms, change.acknowledged_ms, apply_ms, node);
  for (const Arrival &arrival : records.arrivals)
    {
      auto call = records.calls.find (arrival.id);
      if (call == records.calls.end () || !is_meant (arrival.upstream)
          || arrival.at_ms >= change.end_ms)
        continue;
      std::vector<int> path = PathNodes (call->second.node, arrival.upstream);
      if (std::any_of (path.begin (), path.end (), [&] (int node) {
            return arrival.at_ms <= due_ms[node]
                   || StartedWithoutStore (records, node, arrival.at_ms);
          }))
        continue;
      violations->push_back (arrival.id + " reached upstream " + std::to_string (arrival.upstream)
                             + " by node " + std::to_string (call->second.node) + " at "
                             + std::to_string (arrival.at_ms) + ", sent at "
                             + std::to_string (call->second.sent_ms) + ", acknowledged at "
                             + std::to_string (change.acknowledged_ms));
    }
}

std::vector<std::string>
LeaveViolations (const Records &records)
{
  std::vector<std::string> violations;
  for (const Withdrawal &leave : records.leaves)
    AddLateArrivals (
        records, [&] (int upstream) { return upstream == leave.upstream; }, leave, kApplyMs,
        &violations);
  return violations;
}

std::vector<std::string>
EvacuationViolations (const Records &records)
{
  std::vector<std::string> violations;
  for (const Withdrawal &evacuation : records.evacuations)
    AddLateArrivals (
        records, [&] (int upstream) { return ZoneOfUpstream (upstream) == kEvacuatedZone; },
        evacuation, kEvacuateMs, &violations);
  return violations;
}

// When each node first passed a response with the notice on to a caller; INT32_MAX for never.
std::array<int, kNodes>
PassedOnMs (const Records &records, int notice)
{
  std::array<int, kNodes> times_ms;
  times_ms.fill (INT32_MAX);
  for (const auto &[id, call] : records.calls)
    if (call.notice == notice)
      times_ms[call.node] = std::min (times_ms[call.node], call.replied_ms);
  return times_ms;
}

// Requests to an upstream that were sent too long after their node had passed its notice on.
std::vector<std::string>
NoticeViolations (const Records &records)
{
  std::vector<std::string> violations;
  for (size_t i = 0; i < records.notices.size (); i++)
    {
      const Notice &notice = records.notices[i];
      std::array<int, kNodes> passed_on_ms = PassedOnMs (records, static_cast<int> (i));
      for (const Arrival &arrival : records.arrivals)
        {
          auto found = records.calls.find (arrival.id);
          if (found == records.calls.end () || arrival.upstream != notice.upstream
              || arrival.at_ms < notice.start_ms || arrival.at_ms >= notice.end_ms)
            continue;
          const Call &call = found->second;
          int since_ms = passed_on_ms[call.node];
          if (since_ms == INT32_MAX || call.sent_ms <= since_ms + kInForceMs
              || IsAffected (records, call.node, since_ms, arrival.at_ms))
            continue;
          violations.push_back (
              arrival.id + " reached leaving upstream " + std::to_string (notice.upstream)
              + " by node " + std::to_string (call.node) + ", sent "
              + std::to_string (call.sent_ms - since_ms) + " ms after its notice was passed on");
        }
    }
  return violations;
}

// End of a pause: a new incarnation of the upstream has asked for none.
int
PauseEndMs (const Records &records, const Pause &pause)
{
  int end_ms = pause.until_ms;
  for (const Notice &notice : records.notices)
    if (notice.upstream == pause.upstream && notice.end_ms > pause.at_ms)
      end_ms = std::min (end_ms, notice.end_ms);
  return end_ms;
}

// Pauses during which more requests than allowed reached the upstream from the node that got the
// response.
std::vector<std::string>
PauseViolations (const Records &records)
{
  std::vector<std::string> violations;
  for (const Pause &pause : records.pauses)
    {
      auto paused = records.calls.find (pause.id);
      if (paused == records.calls.end ())
        continue;
      int node = paused->second.node;
      int until_ms = PauseEndMs (records, pause);
      std::vector<std::string> sent;
      for (const Arrival &arrival : records.arrivals)
        {
          auto call = records.calls.find (arrival.id);
          if (call != records.calls.end () && call->second.node == node
              && arrival.upstream == pause.upstream && arrival.at_ms >= pause.at_ms + kTransitMs
              && arrival.at_ms < until_ms)
            sent.push_back (arrival.id + " at +" + std::to_string (arrival.at_ms - pause.at_ms));
        }
      if (sent.size () <= kSendsDuringPauseMax
          || IsPathAffected (records, node, pause.upstream, pause.at_ms, until_ms))
        continue;
      violations.push_back (std::to_string (sent.size ()) + " requests by node "
                            + std::to_string (node) + " to upstream "
                            + std::to_string (pause.upstream) + " in its pause of "
                            + std::to_string (pause.until_ms - pause.at_ms) + " ms after "
                            + pause.id + (pause.says_not_run ? "" : " (without not-run)")
                            + ", the first " + sent.front () + " ms");
    }
  return violations;
}

// Most requests of the hot account that ran in a window of 5 s.
int
LargestHotWindow (const Records &records)
{
  std::vector<int> times_ms;
  for (const auto &[id, at_ms] : records.first_run_ms)
    if (id[0] == 'h')
      times_ms.push_back (at_ms);
  std::sort (times_ms.begin (), times_ms.end ());
  size_t largest = 0;
  size_t first = 0;
  for (size_t i = 0; i < times_ms.size (); i++)
    {
      while (times_ms[i] - times_ms[first] >= kQuotaWindowMs)
        first++;
      largest = std::max (largest, i + 1 - first);
    }
  return static_cast<int> (largest);
}

// A connection that is kept for several requests.
class KeptConnection
{
public:
  explicit KeptConnection (const std::string &address) : fd_ (Connect (address))
  {
    timeval timeout = { 3, 0 };
    if (fd_ >= 0)
      setsockopt (fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }

  ~KeptConnection ()
  {
    if (fd_ >= 0)
      close (fd_);
  }

  // Status of the response; 0 without one, after which the connection is of no more use.
  int
  Get (const std::string &id, const std::string &key)
  {
    if (fd_ < 0)
      return 0;
    WriteAll (fd_, "GET /read/a HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: " + id
                       + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\n\r\n");
    std::string bytes;
    char buffer[4096];
    for (ssize_t n; !IsWhole (bytes); bytes.append (buffer, static_cast<size_t> (n)))
      if ((n = recv (fd_, buffer, sizeof buffer, 0)) <= 0)
        return 0;
    return atoi (bytes.substr (bytes.find (' ') + 1, 3).c_str ());
  }

private:
  static bool
  IsWhole (const std::string &bytes)
  {
    static const std::string name = "\r\ncontent-length: ";
    size_t end = bytes.find ("\r\n\r\n");
    if (end == std::string::npos)
      return false;
    std::string head = bytes.substr (0, end);
    std::transform (head.begin (), head.end (), head.begin (), ::tolower);
    size_t at = head.find (name);
    return at != std::string::npos
           && bytes.size () >= end + 4 + strtoul (head.c_str () + at + name.size (), nullptr, 10);
  }

  int fd_;
};

// Responses received by callers and executions on upstreams, by request ID.
struct RequestLog
{
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::map<std::string, int> statuses;
  std::vector<std::string> wrong;

  void
  RecordRun (const std::string &id)
  {
    std::lock_guard<std::mutex> lock (mutex);
    runs[id]++;
  }

  void
  RecordReply (const std::string &id, const Reply &reply)
  {
    std::lock_guard<std::mutex> lock (mutex);
    statuses[id] = reply.status;
    if (reply.status == 200
        && (!reply.whole || reply.body != id || reply.headers.count ("x-response-signature") == 0))
      wrong.push_back (id + " got \"" + reply.body + "\"");
  }
};

class Soak : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    seed_ = static_cast<unsigned> (FromEnvironment ("CARDAMOM_SOAK_SEED", 1));
    random_.seed (seed_);
    ChooseEvents ();
    for (auto &notice : notice_)
      notice = -1;
    upstreams_.reserve (kUpstreamsMax);
    store_proxy_ = std::make_unique<FaultProxy> (store_.address ());
    Configure (true);
    for (int i = 0; i < kUpstreams; i++)
      AddUpstream ();
    upstream_proxy_ = std::make_unique<FaultProxy> (upstreams_[0]->address ());
    Register (0);
    for (int i = 0; i < kNodes; i++)
      {
        int start_ms = NowMs ();
        nodes_.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (i), ZoneOfNode (i),
                                                         store_proxy_->address (), i + 1));
        ASSERT_TRUE (nodes_[i]->WaitReady (5000));
        records_.faults.push_back ({ i, start_ms, NowMs (), true });
      }
  }

  void
  TearDown () override
  {
    if (HasFailure () && getenv ("CARDAMOM_SOAK_LOGS") != nullptr)
      WriteLogs (std::string (getenv ("CARDAMOM_SOAK_LOGS")) + "/soak-" + std::to_string (seed_));
  }

  void
  WriteLogs (const std::string &prefix)
  {
    for (size_t i = 0; i < nodes_.size (); i++)
      std::ofstream (prefix + "-vm-" + std::to_string (i) + ".log") << nodes_[i]->Log ();
    std::ofstream events (prefix + "-events.log");
    for (const Fault &fault : records_.faults)
      events << fault.start_ms << " fault node=" << fault.node << " end=" << fault.end_ms
             << " restart=" << fault.is_restart << "\n";
    for (const Version &version : records_.versions)
      events << version.put_ms << " version " << version.number
             << " acknowledged=" << version.acknowledged_ms << "\n";
    for (const KeyChange &change : records_.key_changes)
      events << change.put_ms << " key removed=" << change.removed
             << " acknowledged=" << change.acknowledged_ms << "\n";
    for (const Withdrawal &leave : records_.leaves)
      events << leave.acknowledged_ms << " leave upstream=" << leave.upstream
             << " end=" << leave.end_ms << "\n";
    for (const Withdrawal &evacuation : records_.evacuations)
      events << evacuation.acknowledged_ms << " evacuation end=" << evacuation.end_ms << "\n";
    for (const Notice &notice : records_.notices)
      events << notice.start_ms << " notice upstream=" << notice.upstream
             << " end=" << notice.end_ms << "\n";
    for (const auto &[at_ms, what] : store_events_)
      events << at_ms << " store " << what << "\n";
  }

  // Each kind of event is absent from one seed of five or seven; seed 1, which CI uses, has all
  // kinds.
  void
  ChooseEvents ()
  {
    changes_keys_ = seed_ % 5 != 2;
    has_hot_account_ = seed_ % 5 != 3;
    has_notices_ = seed_ % 5 != 4;
    has_pauses_ = seed_ % 5 != 0;
    has_leaves_ = seed_ % 7 != 2;
    has_evacuations_ = seed_ % 7 != 3;
    has_returns_ = seed_ % 7 != 4;
    has_silences_ = seed_ % 7 != 5;
    returns_twice_ = seed_ % 3 == 1;
  }

  // The store acknowledges a write of the operator or an upstream; without `spec` it removes the
  // object, which is written again first if the store lost it. Waits while the store is away.
  // Returns the time of the acknowledgement.
  int
  Write (const std::string &kind, const std::string &name, const std::optional<std::string> &spec)
  {
    std::lock_guard<std::mutex> lock (writes_mutex_);
    std::optional<std::string> &last = written_[{ kind, name }];
    bool is_lost = last.has_value () && store_.Text (kind, name).empty ();
    if (!spec.has_value () && is_lost)
      store_.Put (kind, name, *last);
    last = spec;
    WriteLast (kind, name);
    return NowMs ();
  }

  // Brings the store's object to what was written last. The caller holds writes_mutex_.
  void
  WriteLast (const std::string &kind, const std::string &name)
  {
    const std::optional<std::string> &spec = written_[{ kind, name }];
    if (spec.has_value ())
      store_.Put (kind, name, *spec);
    else if (!store_.Text (kind, name).empty ())
      store_.Delete (kind, name);
  }

  // Writes a new version of the configuration, with or without the rotated key, or as before. Each
  // version has a route of its own.
  void
  Configure (std::optional<bool> has_rotated_key = std::nullopt)
  {
    std::lock_guard<std::mutex> lock (configuration_mutex_);
    has_rotated_key_ = has_rotated_key.value_or (has_rotated_key_);
    version_ += kVersionStep;
    int put_ms = NowMs ();
    std::string keys = has_rotated_key_ ? "\"key-kept\",\"key-rotated\"" : "\"key-kept\"";
    std::string limit = ",\"rate-per-s\":" + std::to_string (kHotRate)
                        + ",\"burst\":" + std::to_string (kHotBurst);
    std::string name = "v" + std::to_string (version_);
    std::string own_route = ",\"" + name + "\":{\"host\":\"host.example\",\"path-prefix\":\"/"
                            + name
                            + "/\",\"kind\":\"idempotent\",\"timeout-s\":2,\"goal-s\":0.5,"
                              "\"priority\":2,\"service\":\"desk\",\"attempts\":2}";
    int acknowledged_ms = Write ("config", "main",
                                 "{\"tenants\":{\"usual\":{\"api-keys\":[\"key-usual\"]},"
                                 "\"rotating\":{\"api-keys\":["
                                     + keys + "]},\"hot\":{\"api-keys\":[\"key-hot\"]" + limit
                                     + "}}," + Configuration (version_, own_route).substr (1));
    std::lock_guard<std::mutex> records_lock (records_.mutex);
    records_.versions.push_back ({ version_, put_ms, acknowledged_ms });
    acknowledged_version_ = version_;
  }

  void
  AddUpstream ()
  {
    int index = static_cast<int> (upstreams_.size ());
    upstreams_.push_back (std::make_unique<FakeUpstream> ("up-" + std::to_string (index), 10));
    FakeUpstream *upstream = upstreams_.back ().get ();
    upstream->SetBehaviour ([this, upstream, index] (int fd, const Request &request) {
      Respond (upstream, index, fd, request);
    });
    if (index > 0)
      Register (index);
    upstream_count_ = index + 1;
  }

  // Returns the time of the store's acknowledgement.
  int
  Register (int index)
  {
    std::lock_guard<std::mutex> lock (registration_mutex_);
    std::string state = drained_[index] || leaving_[index] ? "draining" : "ready";
    std::string record
        = upstreams_[index]->Record ("desk", ZoneOfUpstream (index), state,
                                     ",\"born\":" + std::to_string (incarnations_[index]));
    if (index == 0)
      {
        std::string own = upstreams_[0]->address ();
        record.replace (record.find (own), own.size (), upstream_proxy_->address ());
      }
    return Write ("servers", upstreams_[index]->id (), record);
  }

  // The response to a request during a pause.
  std::string
  PauseResponse (int index, const std::string &id)
  {
    int now_ms = NowMs ();
    int pause_ms = pause_ms_[index];
    bool says_not_run = says_not_run_[index];
    {
      std::lock_guard<std::mutex> lock (records_.mutex);
      records_.pauses.push_back ({ id, index, now_ms, now_ms + pause_ms, says_not_run });
    }
    return "HTTP/1.1 503 Busy\r\nX-Request-Id: " + id + "\r\n"
           + (says_not_run ? "X-Not-Executed: 1\r\n" : "")
           + "Retry-After: " + std::to_string (pause_ms / 1000.0) + "\r\nContent-Length: 0\r\n\r\n";
  }

  // A signed response, with the shutdown notice of the upstream if there is one.
  std::string
  FinalResponse (FakeUpstream *upstream, int index, const Request &request, const std::string &body)
  {
    std::string response = upstream->SignedResponse (request, body);
    int notice = notice_[index];
    if (notice >= 0)
      response.insert (response.find ("\r\n") + 2,
                       "Server-Leaving: 1\r\nX-Notice-Number: " + std::to_string (notice) + "\r\n");
    return response;
  }

  // Responds to a request: some are shed, some responses are lost or followed by an extra one.
  void
  Respond (FakeUpstream *upstream, int index, int fd, const Request &request)
  {
    const std::string &id = request.headers.at ("x-request-id");
    if (NowMs () < pauses_until_ms_[index])
      {
        WriteAll (fd, PauseResponse (index, id));
        return;
      }
    unsigned response_case = request_count_++ % 31;
    if (response_case == 7)
      {
        WriteAll (fd, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
      }
    request_log_.RecordRun (id);
    {
      std::lock_guard<std::mutex> lock (records_.mutex);
      records_.first_run_ms.emplace (id, NowMs ());
    }
    if (response_case == 13)
      shutdown (fd, SHUT_RDWR);
    else if (response_case == 19)
      WriteAll (fd, FinalResponse (upstream, index, request, id)
                        + upstream->SignedResponse (request, "extra"));
    else
      WriteAll (fd, FinalResponse (upstream, index, request, id));
  }

  void
  RecordCall (const std::string &id, int node, int sent_ms, bool uses_rotated_key, int version = 0)
  {
    std::lock_guard<std::mutex> lock (records_.mutex);
    Call call{ node, sent_ms };
    call.uses_rotated_key = uses_rotated_key;
    call.version = version;
    records_.calls.emplace (id, call);
  }

  void
  RecordReply (const std::string &id, const Reply &reply)
  {
    auto notice = reply.headers.find ("x-notice-number");
    std::lock_guard<std::mutex> lock (records_.mutex);
    Call &call = records_.calls.at (id);
    call.replied_ms = NowMs ();
    call.status = reply.status;
    if (notice != reply.headers.end ())
      call.notice = std::stoi (notice->second);
  }

  // Sends requests with the key that is removed and added again, on connections that are kept.
  void
  CallWithRotatedKey (int node)
  {
    auto connection = std::make_unique<KeptConnection> (nodes_[node]->front ());
    for (int i = 0; !ending_; i++)
      {
        std::string id = "k" + std::to_string (node) + "-" + std::to_string (i);
        RecordCall (id, node, NowMs (), true);
        Reply reply;
        reply.status = connection->Get (id, "key-rotated");
        RecordReply (id, reply);
        if (reply.status == 0)
          connection = std::make_unique<KeptConnection> (nodes_[node]->front ());
        std::this_thread::sleep_for (40ms);
      }
  }

  // Sends requests to the route of the newest configuration, and some to that of the one before.
  void
  CallVersions (int node)
  {
    for (int i = 0; !ending_; i++)
      {
        std::string id = "v" + std::to_string (node) + "-" + std::to_string (i);
        int version = acknowledged_version_ - (i % 4 == 3 ? kVersionStep : 0);
        if (version >= kFirstVersion)
          {
            RecordCall (id, node, NowMs (), false, version);
            RecordReply (id, nodes_[node]->Call ("GET", "/v" + std::to_string (version) + "/a",
                                                 { { "X-Request-Id", id },
                                                   { "X-Deadline-Ms", "1000" },
                                                   { "Authorization", "Bearer key-usual" } },
                                                 "", 1000));
          }
        std::this_thread::sleep_for (30ms);
      }
  }

  // The callers of the hot account together send five times its limit, to all nodes in turn.
  void
  CallOverQuota (int caller)
  {
    auto next = std::chrono::steady_clock::now ();
    for (int i = 0; !ending_; i++)
      {
        std::string id = "h" + std::to_string (caller) + "-" + std::to_string (i);
        int node = (caller + i) % kNodes;
        RecordCall (id, node, NowMs (), false);
        RecordReply (id, nodes_[node]->Call ("GET", "/read/a",
                                             { { "X-Request-Id", id },
                                               { "X-Deadline-Ms", "1000" },
                                               { "Authorization", "Bearer key-hot" } },
                                             "", 1000));
        next += std::chrono::milliseconds (1000 * kHotCallers / (kHotFactor * kHotRate));
        std::this_thread::sleep_until (next);
      }
  }

  // Sleeps, and returns early at the end of the test.
  void
  SleepUnlessEnding (int duration_ms)
  {
    WaitUntil (duration_ms, [this] { return ending_.load (); });
  }

  void
  ChangeKeys (std::mt19937 random)
  {
    {
      std::lock_guard<std::mutex> lock (records_.mutex);
      records_.key_changes.push_back ({ false, NowMs (), NowMs () });
    }
    for (bool removed = true; !ending_; removed = !removed)
      {
        SleepUnlessEnding (4500 + static_cast<int> (random () % 1500));
        if (ending_)
          return;
        int put_ms = NowMs ();
        Configure (!removed);
        std::lock_guard<std::mutex> lock (records_.mutex);
        records_.key_changes.push_back ({ removed, put_ms, NowMs () });
      }
  }

  // An upstream other than the first two, whose responses may be lost on their way.
  int
  RandomUpstream (std::mt19937 *random)
  {
    return 2 + static_cast<int> ((*random) () % (upstream_count_ - 2));
  }

  void
  AnnounceShutdowns (std::mt19937 random)
  {
    while (!ending_)
      {
        SleepUnlessEnding (1000 + static_cast<int> (random () % 1500));
        int index = RandomUpstream (&random);
        int number;
        {
          std::lock_guard<std::mutex> lock (records_.mutex);
          number = static_cast<int> (records_.notices.size ());
          records_.notices.push_back ({ index, NowMs () });
        }
        notice_[index] = number;
        SleepUnlessEnding (kInForceMs + 3000);
        notice_[index] = -1;
        incarnations_[index]++;
        {
          std::lock_guard<std::mutex> lock (records_.mutex);
          records_.notices[number].end_ms = std::min (records_.notices[number].end_ms, NowMs ());
        }
        Register (index);
      }
  }

  void
  AskForPauses (std::mt19937 random)
  {
    while (!ending_)
      {
        SleepUnlessEnding (500 + static_cast<int> (random () % 1500));
        int index = RandomUpstream (&random);
        pause_ms_[index] = 900 + static_cast<int> (random () % 1600);
        says_not_run_[index] = random () % 2 == 0;
        pauses_until_ms_[index] = NowMs () + 200;
      }
  }

  // Upstreams report that they drain, some are removed then, and they start anew under their ids.
  void
  LeaveAndReturn (std::mt19937 random)
  {
    while (!ending_)
      {
        SleepUnlessEnding (500 + static_cast<int> (random () % 1500));
        int index = RandomUpstream (&random);
        leaving_[index] = true;
        size_t number;
        int put_ms = NowMs ();
        int acknowledged_ms = Register (index);
        {
          std::lock_guard<std::mutex> lock (records_.mutex);
          number = records_.leaves.size ();
          records_.leaves.push_back ({ index, put_ms, acknowledged_ms });
        }
        SleepUnlessEnding (kApplyMs + static_cast<int> (random () % 3000));
        if (random () % 2 == 0)
          Write ("servers", upstreams_[index]->id (), std::nullopt);
        SleepUnlessEnding (1000 + static_cast<int> (random () % 2000));
        {
          std::lock_guard<std::mutex> lock (records_.mutex);
          records_.leaves[number].end_ms = NowMs ();
          // The new incarnation has announced nothing.
          int notice = notice_[index].exchange (-1);
          if (notice >= 0)
            records_.notices[notice].end_ms = NowMs ();
        }
        leaving_[index] = false;
        incarnations_[index]++;
        Register (index);
      }
  }

  void
  EvacuateZone (std::mt19937 random)
  {
    while (!ending_)
      {
        SleepUnlessEnding (500 + static_cast<int> (random () % 2500));
        int put_ms = NowMs ();
        int acknowledged_ms = Write ("evacuations", kEvacuatedZone, "{}");
        size_t number;
        {
          std::lock_guard<std::mutex> lock (records_.mutex);
          number = records_.evacuations.size ();
          records_.evacuations.push_back ({ -1, put_ms, acknowledged_ms });
        }
        SleepUnlessEnding (kEvacuateMs + 2000 + static_cast<int> (random () % 2000));
        {
          std::lock_guard<std::mutex> lock (records_.mutex);
          records_.evacuations[number].end_ms = NowMs ();
        }
        Write ("evacuations", kEvacuatedZone, std::nullopt);
      }
  }

  using Written = std::map<std::pair<std::string, std::string>, std::optional<std::string>>;

  void
  RecordStoreEvent (const std::string &what)
  {
    std::lock_guard<std::mutex> lock (records_.mutex);
    store_events_.push_back ({ NowMs (), what });
  }

  // Takes the copy that the store may return to. Returns what had been written then.
  Written
  TakeCopy ()
  {
    std::lock_guard<std::mutex> lock (writes_mutex_);
    store_.TakeCopy ();
    RecordStoreEvent ("copied");
    return written_;
  }

  // The store is away for a moment and returns from the copy. The operator and the upstreams write
  // again what they wrote since, in a random order.
  void
  ReturnFromCopy (const Written &copied, std::mt19937 *random)
  {
    int start_ms = NowMs ();
    std::vector<std::pair<std::string, std::string>> lost;
    {
      std::lock_guard<std::mutex> lock (writes_mutex_);
      store_.SetMode (FakeStore::Mode::kClose);
      std::this_thread::sleep_for (std::chrono::milliseconds (kAwayMs));
      store_.Restore ();
      for (const auto &[object, spec] : written_)
        if (copied.count (object) == 0 || copied.at (object) != spec)
          lost.push_back (object);
      store_.SetMode (FakeStore::Mode::kUp);
    }
    RecordStoreEvent ("returned, " + std::to_string (lost.size ()) + " objects lost");
    std::shuffle (lost.begin (), lost.end (), *random);
    for (const auto &[kind, name] : lost)
      {
        std::this_thread::sleep_for (
            std::chrono::milliseconds ((*random) () % (kRewriteMs / lost.size ())));
        WriteAgain (kind, name);
      }
    std::lock_guard<std::mutex> lock (records_.mutex);
    records_.faults.push_back ({ kStore, start_ms, NowMs () });
  }

  void
  WriteAgain (const std::string &kind, const std::string &name)
  {
    std::lock_guard<std::mutex> lock (writes_mutex_);
    WriteLast (kind, name);
    RecordStoreEvent ("wrote again " + kind + " " + name);
  }

  // Changes that concern nobody. The store gives their revisions out again after its return.
  void
  MakeChanges (int count)
  {
    for (int i = 0; i < count; i++)
      Write ("servers", "filler", "{\"service\":\"other\",\"change\":" + std::to_string (i) + "}");
  }

  // Returns from copies, some in series, until the calm.
  void
  ReturnFromCopies (std::mt19937 random)
  {
    auto sleep = [&] (int least_ms, int most_ms) {
      int duration_ms = least_ms + static_cast<int> (random () % (most_ms - least_ms));
      return !WaitUntil (duration_ms, [this] { return calm_.load (); });
    };
    while (sleep (0, 2000))
      {
        Written copied = TakeCopy ();
        MakeChanges (static_cast<int> (random () % kLostChangesMax));
        if (!sleep (1500, 5500))
          return;
        ReturnFromCopy (copied, &random);
        if (returns_twice_)
          {
            std::this_thread::sleep_for (std::chrono::milliseconds (kReturnsInSeriesMs));
            ReturnFromCopy (copied, &random);
          }
        if (!sleep (5000, 10000))
          return;
      }
  }

  void
  SilenceWatches (std::mt19937 random)
  {
    const std::array<const char *, 4> kinds = { "config", "servers", "nodes", "evacuations" };
    while (!ending_)
      {
        SleepUnlessEnding (500 + static_cast<int> (random () % 3000));
        const char *kind = kinds[random () % kinds.size ()];
        store_.SilenceWatches (kind);
        RecordStoreEvent (std::string ("silenced ") + kind);
      }
  }

  // Starts the threads of the kinds of events that this seed has.
  std::vector<std::thread>
  StartEvents ()
  {
    std::vector<std::thread> threads;
    for (int node = 0; changes_keys_ && node < kNodes; node++)
      threads.emplace_back ([this, node] { CallWithRotatedKey (node); });
    for (int caller = 0; has_hot_account_ && caller < kHotCallers; caller++)
      threads.emplace_back ([this, caller] { CallOverQuota (caller); });
    for (int node = 0; node < kNodes; node++)
      threads.emplace_back ([this, node] { CallVersions (node); });
    if (changes_keys_)
      threads.emplace_back ([this] { ChangeKeys (std::mt19937 (seed_ + 1)); });
    if (has_notices_)
      threads.emplace_back ([this] { AnnounceShutdowns (std::mt19937 (seed_ + 2)); });
    if (has_pauses_)
      threads.emplace_back ([this] { AskForPauses (std::mt19937 (seed_ + 3)); });
    if (has_leaves_)
      threads.emplace_back ([this] { LeaveAndReturn (std::mt19937 (seed_ + 4)); });
    if (has_evacuations_)
      threads.emplace_back ([this] { EvacuateZone (std::mt19937 (seed_ + 5)); });
    if (has_silences_)
      threads.emplace_back ([this] { SilenceWatches (std::mt19937 (seed_ + 7)); });
    return threads;
  }

  void
  CollectArrivals ()
  {
    for (size_t index = 0; index < upstreams_.size (); index++)
      {
        std::vector<Request> requests = upstreams_[index]->requests ();
        std::vector<int> times_ms = upstreams_[index]->arrival_times_ms ();
        for (size_t i = 0; i < std::min (requests.size (), times_ms.size ()); i++)
          records_.arrivals.push_back (
              { requests[i].headers["x-request-id"], static_cast<int> (index), times_ms[i] });
      }
  }

  void
  CheckEvents ()
  {
    const std::pair<const char *, std::vector<std::string>> checks[] = {
      { "keys", KeyViolations (records_) },
      { "notices", NoticeViolations (records_) },
      { "pauses", PauseViolations (records_) },
      { "versions in time", LateVersionViolations (records_) },
      { "versions that went back", RevertedVersionViolations (records_) },
      { "leaves", LeaveViolations (records_) },
      { "evacuations", EvacuationViolations (records_) },
    };
    for (const auto &[name, violations] : checks)
      {
        for (size_t i = 0; i < std::min<size_t> (violations.size (), 5); i++)
          ADD_FAILURE () << name << ": " << violations[i] << ", seed " << seed_;
        printf ("soak: seed %u, check %s, %zu violations\n", seed_, name, violations.size ());
      }
    size_t not_run = std::count_if (records_.pauses.begin (), records_.pauses.end (),
                                    [] (const Pause &pause) { return pause.says_not_run; });
    size_t unauthorized
        = std::count_if (records_.calls.begin (), records_.calls.end (),
                         [] (const auto &call) { return call.second.status == 401; });
    int hot = LargestHotWindow (records_);
    EXPECT_LE (hot, kQuotaMax) << "requests of the hot account in " << kQuotaWindowMs
                               << " ms, seed " << seed_;
    printf ("soak: seed %u, %zu key states, %zu requests got 401, %zu notices, %zu pause responses "
            "(%zu say not run), %d hot requests ran in a window of %d ms, %d are allowed\n",
            seed_, records_.key_changes.size (), unauthorized, records_.notices.size (),
            records_.pauses.size (), not_run, hot, kQuotaWindowMs, kQuotaMax);
    PrintCoverage ();
  }

  // How many requests the checks of versions covered.
  void
  PrintCoverage ()
  {
    size_t of_versions = 0;
    size_t due = 0;
    for (const auto &[id, call] : records_.calls)
      if (call.version != 0)
        {
          of_versions++;
          due += DueVersion (records_, VersionIndex (records_, call.version), call) != nullptr;
        }
    printf ("soak: seed %u, %zu versions, %zu of %zu requests when their version was due, %zu "
            "leaves, %zu evacuations, %zu events of the store\n",
            seed_, records_.versions.size (), due, of_versions, records_.leaves.size (),
            records_.evacuations.size (), store_events_.size ());
  }

  void
  CallUntilEnd (int caller)
  {
    for (int i = 0; !ending_; i++)
      {
        std::string id = "c" + std::to_string (caller) + "-" + std::to_string (i);
        Headers headers = { { "X-Request-Id", id },
                            { "X-Deadline-Ms", "2000" },
                            { "Authorization", "Bearer key-usual" },
                            { "Cookie", "X-Affinity-Key=" + std::to_string (i % 11) } };
        int node_index = (caller + i) % kNodes;
        NodeProcess &node = *nodes_[node_index];
        bool post = i % 2 == 0;
        RecordCall (id, node_index, NowMs (), false);
        Reply reply = post ? node.Call ("POST", "/post/a", headers, "body", 3000)
                           : node.Call ("GET", "/read/a", headers, "", 3000);
        RecordReply (id, reply);
        request_log_.RecordReply ((post ? "p" : "g") + id,
                                  WithKindPrefix (reply, (post ? "p" : "g")));
      }
  }

  static Reply
  WithKindPrefix (Reply reply, const std::string &kind)
  {
    if (reply.status == 200)
      reply.body = kind + reply.body;
    return reply;
  }

  // Injects one random fault and returns when it has ended.
  void
  InjectFault ()
  {
    int index = static_cast<int> (random_ () % kNodes);
    int start_ms = NowMs ();
    NodeProcess &node = *nodes_[index];
    std::optional<int> affected;
    bool is_restart = false;
    switch (random_ () % 8)
      {
      case 0:
        node.Signal (SIGKILL);
        node.WaitExit (2000);
        node.Start ();
        affected = index;
        is_restart = true;
        break;
      case 1:
        node.Signal (SIGTERM);
        EXPECT_EQ (node.WaitExit (6500), 0) << "seed " << seed_ << "\n" << StopEvents (node);
        node.Start ();
        affected = index;
        is_restart = true;
        break;
      case 2:
        node.Signal (SIGSTOP);
        std::this_thread::sleep_for (1s);
        node.Signal (SIGCONT);
        affected = index;
        break;
      case 3:
        ApplyFault (*store_proxy_, random_ () % 2 == 0 ? "cut" : "blackhole");
        affected = kStore;
        break;
      case 4:
        ApplyFault (*upstream_proxy_, random_ () % 2 == 0 ? "refuse" : "silent");
        break;
      case 5:
        upstreams_[1]->Stop ();
        std::this_thread::sleep_for (500ms);
        upstreams_[1]->Restart ();
        break;
      case 6:
        Configure ();
        break;
      default:
        ReplaceUpstream ();
      }
    std::lock_guard<std::mutex> lock (records_.mutex);
    if (affected.has_value ())
      records_.faults.push_back ({ *affected, start_ms, NowMs (), is_restart });
  }

  // The lines of the node's log that tell how its stop went.
  static std::string
  StopEvents (const NodeProcess &node)
  {
    std::istringstream log (node.Log ());
    std::string lines;
    for (std::string line; std::getline (log, line);)
      if (line.find ("event=stop") != std::string::npos)
        lines += line + "\n";
    return lines;
  }

  static void
  ApplyFault (FaultProxy &proxy, const std::string &command)
  {
    proxy.Command (command);
    std::this_thread::sleep_for (1500ms);
    proxy.Command ("ok");
  }

  // Adds an upstream and drains an older one that has no fault proxy.
  void
  ReplaceUpstream ()
  {
    if (upstreams_.size () >= kUpstreamsMax)
      return;
    AddUpstream ();
    int drained = static_cast<int> (upstreams_.size ()) - 3;
    drained_[drained] = true;
    int put_ms = NowMs ();
    int acknowledged_ms = Register (drained);
    std::lock_guard<std::mutex> lock (records_.mutex);
    records_.leaves.push_back ({ drained, put_ms, acknowledged_ms });
  }

  double
  SuccessRate ()
  {
    int served = 0;
    for (int i = 0; i < 60; i++)
      {
        Headers headers = { { "X-Request-Id", "end-" + std::to_string (i) },
                            { "X-Deadline-Ms", "2000" },
                            { "Authorization", "Bearer key-usual" } };
        served
            += nodes_[static_cast<size_t> (i % 3)]->Call ("GET", "/read/a", headers).status == 200;
      }
    return served / 60.0;
  }

  unsigned seed_ = 0;
  int version_ = kFirstVersion - kVersionStep;
  std::atomic<int> acknowledged_version_{ 0 };
  std::mt19937 random_;
  std::atomic<bool> calm_{ false }; // no further faults of nodes and of the store
  std::atomic<bool> ending_{ false };
  std::atomic<unsigned> request_count_{ 0 };
  RequestLog request_log_;
  Records records_;
  bool changes_keys_ = false;
  bool has_hot_account_ = false;
  bool has_notices_ = false;
  bool has_pauses_ = false;
  bool has_leaves_ = false;
  bool has_evacuations_ = false;
  bool has_returns_ = false;
  bool has_silences_ = false;
  bool returns_twice_ = false;
  std::vector<std::pair<int, std::string>> store_events_;
  std::mutex writes_mutex_;
  Written written_; // what the operator and the upstreams wrote last, by kind and name
  std::mutex registration_mutex_;
  std::mutex configuration_mutex_;
  bool has_rotated_key_ = true;
  std::atomic<int> upstream_count_{ 0 };
  // By index of the upstream.
  std::array<std::atomic<int>, kUpstreamsMax> incarnations_{};
  std::array<std::atomic<bool>, kUpstreamsMax> drained_{};
  std::array<std::atomic<bool>, kUpstreamsMax> leaving_{};
  std::array<std::atomic<int>, kUpstreamsMax> notice_{};
  std::array<std::atomic<int>, kUpstreamsMax> pauses_until_ms_{};
  std::array<std::atomic<int>, kUpstreamsMax> pause_ms_{};
  std::array<std::atomic<bool>, kUpstreamsMax> says_not_run_{};
  FakeStore store_;
  std::unique_ptr<FaultProxy> store_proxy_;
  std::unique_ptr<FaultProxy> upstream_proxy_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};
}

TEST_F (Soak, NonIdempotentRequestsRunAtMostOnceAndNodesRecoverFromRandomFaults)
{
  int end_ms = NowMs () + 1000 * FromEnvironment ("CARDAMOM_SOAK_S", 20);
  std::vector<std::thread> callers;
  for (int i = 0; i < 6; i++)
    callers.emplace_back ([this, i] { CallUntilEnd (i); });
  std::vector<std::thread> events = StartEvents ();
  std::thread returns ([this] {
    if (has_returns_)
      ReturnFromCopies (std::mt19937 (seed_ + 6));
  });
  while (NowMs () < end_ms)
    {
      InjectFault ();
      std::this_thread::sleep_for (300ms);
    }
  calm_ = true;
  returns.join ();
  Configure ();
  SleepUnlessEnding (kCalmMs);
  ending_ = true;
  for (std::thread &caller : callers)
    caller.join ();
  for (std::thread &event : events)
    event.join ();
  CollectArrivals ();
  EXPECT_TRUE (WaitUntil (15000, [this] { return SuccessRate () >= 0.9; })) << "seed " << seed_;
  int answered = 0;
  // Requests to nodes that were down; callers send their next request without a pause.
  int no_response = 0;
  for (const auto &[name, status] : request_log_.statuses)
    {
      bool post = name[0] == 'p';
      auto found = request_log_.runs.find (name.substr (1));
      int runs = found != request_log_.runs.end () ? found->second : 0;
      answered += status == 200;
      no_response += status == 0;
      EXPECT_TRUE (!post || runs <= 1) << name << " ran " << runs << " times, seed " << seed_;
      EXPECT_TRUE (!post || status != 503 || runs == 0)
          << name << " got status 503 but ran, seed " << seed_;
    }
  for (const std::string &wrong : request_log_.wrong)
    ADD_FAILURE () << wrong << ", seed " << seed_;
  EXPECT_GT (answered, static_cast<int> (request_log_.statuses.size ()) / 2) << "seed " << seed_;
  CheckEvents ();
  RecordProperty ("requests", static_cast<int> (request_log_.statuses.size ()));
  printf ("soak: seed %u, %zu requests, %d answered, %d without response\n", seed_,
          request_log_.statuses.size (), answered, no_response);
}
