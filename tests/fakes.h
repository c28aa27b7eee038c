// Stand-ins for the platform's store, for upstreams and for callers, around real node processes.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using Headers = std::map<std::string, std::string>; // names in lower case

struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

// What a client saw. `framed` tells that the end of the body was marked by a length or by chunks.
struct Reply
{
  int status = 0;
  Headers headers;
  std::string body;
  bool whole = false;
  bool framed = false;
  int took_ms = 0;
};

int FreePort ();

// Accepts connections and hands each to a function on a thread of its own.
class Listener
{
public:
  explicit Listener (std::function<void (int)> serve);
  virtual ~Listener ();
  Listener (const Listener &) = delete;
  int
  port () const
  {
    return port_;
  }
  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port_);
  }
  // Closes the listening socket and all connections; later connections are refused.
  void Stop ();
  // Listens again on the same port.
  void Restart ();

private:
  void Run ();
  int port_ = 0;
  int fd_ = -1;
  std::function<void (int)> serve_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
  std::atomic<bool> stopping_{ false };
};

// Reads one request from a connection; false when it ends first.
bool ReadRequest (int fd, Request *request);
void WriteAll (int fd, const std::string &bytes);

// The platform's metadata store: objects by kind, with lists and watches.
class FakeStore
{
public:
  enum class Mode
  {
    kUp,
    kBusy,
    kSilent,
    kReset,
  };

  FakeStore ();
  ~FakeStore ();
  void Put (const std::string &kind, const std::string &name, const std::string &spec);
  // Changes that a reader sees all at once.
  void PutAll (const std::string &kind, const std::map<std::string, std::string> &specs);
  void Delete (const std::string &kind, const std::string &name);
  void SetMode (Mode mode);
  // Watches that start from an earlier revision are answered 410.
  void ForgetHistory ();
  // From now on, lists that may be stale show what there is at this moment.
  void FreezeStaleLists ();
  std::string address () const;
  // A further address of the same store, and whether its answers are lost without a word.
  std::string AddPath ();
  void SilencePath (bool silent);
  int calls () const;
  // Watches that wait for a change now.
  int watches () const;
  // Lists answered so far.
  int lists () const;
  // Objects that nodes created or replaced so far, refused ones included.
  int writes () const;

private:
  struct Object
  {
    std::string spec;
    long revision;
  };
  struct Event
  {
    std::string kind;
    std::string name;
    std::string spec;
    long revision;
    bool deleted;
  };
  void Serve (int fd, bool on_path);
  std::string Answer (const Request &request);
  std::string List (const std::string &kind, bool may_be_stale);
  std::string Watch (const std::string &kind, long from, int wait_ms);
  std::string Write (const Request &request, const std::string &kind, const std::string &name);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  long revision_ = 1;
  long forgotten_ = 0;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::map<std::string, std::map<std::string, Object>> stale_objects_;
  long stale_revision_ = 0;
  std::vector<Event> events_;
  std::atomic<Mode> mode_{ Mode::kUp };
  std::atomic<int> calls_{ 0 };
  std::atomic<int> watches_{ 0 };
  std::atomic<int> lists_{ 0 };
  std::atomic<int> writes_{ 0 };
  std::atomic<bool> ending_{ false };
  std::atomic<bool> path_silent_{ false };
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<Listener> path_;
};

// An upstream. Its behaviour writes the bytes of an answer; the default answers whole and signed.
class FakeUpstream
{
public:
  using Behaviour = std::function<void (int fd, const Request &request)>;

  explicit FakeUpstream (const std::string &id, int work_ms = 0);
  void SetBehaviour (Behaviour behaviour);
  void SetWork (int work_ms);
  // A whole signed answer to the request.
  std::string Whole (const Request &request, const std::string &body) const;
  // Registration as the store holds it.
  std::string Record (const std::string &service, const std::string &zone,
                      const std::string &state = "ready", const std::string &more = "") const;
  int arrivals () const;
  int runs (const std::string &request_id) const;
  int most_at_once () const;
  std::vector<int> arrival_times_ms () const;
  std::vector<Request> requests () const;
  void Stop ();
  void Restart ();
  std::string address () const;
  const std::string &
  id () const
  {
    return id_;
  }

private:
  void Serve (int fd);
  std::string id_;
  std::atomic<int> work_ms_;
  mutable std::mutex mutex_;
  Behaviour behaviour_;
  std::vector<Request> requests_;
  std::vector<int> times_ms_;
  std::map<std::string, int> runs_;
  int at_once_ = 0;
  int most_at_once_ = 0;
  std::unique_ptr<Listener> listener_;
};

// A real node process with a settings file of its own.
class NodeProcess
{
public:
  NodeProcess (const std::string &vm, const std::string &zone, const std::string &store_address,
               int ip_last = 1);
  ~NodeProcess ();
  void Start ();
  void Signal (int signal);
  // Exit code, -1 when it does not end in time, -2 when a signal ended it.
  int WaitExit (int timeout_ms);
  bool WaitReady (int timeout_ms);
  Reply Call (const std::string &method, const std::string &path, const Headers &headers = {},
              const std::string &body = "", int timeout_ms = 5000);
  Reply Ready ();
  Reply Lookup (const std::string &region);
  // Sends pieces to the front on one connection, with a pause between; what comes back.
  std::string Raw (const std::vector<std::string> &pieces, int pause_ms, int timeout_ms);
  std::string Log () const;
  // The most memory that it has had so far.
  long PeakMemoryKb () const;
  std::string front () const;
  // Where it hears its peers.
  std::string peer () const;

private:
  void WriteSettings (const std::string &store_address);
  std::string vm_;
  std::string zone_;
  std::string ip_;
  std::string folder_;
  int front_;
  int ready_;
  int lookup_;
  int peer_;
  pid_t pid_ = 0;
};

// One request on a connection of its own.
Reply Fetch (const std::string &ip, int port, const std::string &method, const std::string &path,
             const Headers &headers, const std::string &body, int timeout_ms);

// Sends some bytes on a connection of its own; all that comes back until it closes or in time.
std::string Exchange (const std::string &ip, int port, const std::vector<std::string> &pieces,
                      int pause_ms, int timeout_ms);

// Sends a line on a connection of its own.
void SendLine (const std::string &ip, int port, const std::string &line);

int NowMs ();

// Waits until the condition holds; false after the time.
bool WaitUntil (int timeout_ms, const std::function<bool ()> &condition);

// A configuration with one route for each of the three kinds, all to service "desk".
std::string Configuration (int version, const std::string &more_routes = "",
                           const std::string &route_fields = "\"timeout-s\":2,\"goal-s\":0.5");
