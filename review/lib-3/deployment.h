// Stand-ins for the cases of review 3: the platform's store, backends, clients and the nodes of a
// small deployment. All addresses are loopback addresses; each node has one of its own.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace deployment {

// ---- Time and the record ----

// Seconds since the case began.
double now_s ();
void sleep_s (double seconds);
// Writes a line with the time to the file RECORD.
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
// Whether the disruption is on: TROUBLE is not 0.
bool trouble ();
std::string random_id ();

// ---- HTTP ----

struct Message
{
  std::string start;
  std::map<std::string, std::string> headers; // names in lower case
  std::string body;
  std::string get (const std::string &name) const;
  int status () const;
};

class Connection
{
public:
  explicit Connection (int fd = -1) : fd (fd) {}
  Connection (const Connection &) = delete;
  ~Connection ();
  bool open (const std::string &address, double timeout_s);
  bool write (const std::string &bytes);
  // Reads a message with a length, or without a body. False at the end of the connection, or of
  // the time.
  bool read (Message &message, double until_s);

private:
  bool fill (double until_s);
  int fd;
  std::string buffer;
};

// A listener that runs a thread for each connection.
class Listener
{
public:
  using Handler = std::function<void (Connection &)>;
  void start (const std::string &ip, Handler handler);
  // While it refuses, it resets the connections that it has, and each new one at once.
  void set_refusing (bool refusing);
  std::string address;

private:
  struct State
  {
    std::mutex mutex;
    std::set<int> fds;
    bool refusing = false;
  };
  std::shared_ptr<State> state = std::make_shared<State> ();
};

std::string response (int status, const std::string &headers, const std::string &body);

// ---- The platform's store ----

class Store
{
public:
  void start ();
  // Writes as the operator or a backend does. Returns the time of the acknowledgement.
  double put (const std::string &kind, const std::string &name, const std::string &spec);
  double remove (const std::string &kind, const std::string &name);
  // While it is down, it resets all connections; writes of operator and backends wait.
  void set_down (bool down);
  std::string address () const { return listener.address; }

private:
  struct Object
  {
    uint64_t revision;
    uint64_t created;
    std::string spec;
  };
  struct Event
  {
    uint64_t revision;
    std::string kind;
    std::string name;
    Object object;
    bool deleted;
  };
  static std::string text (const std::string &name, const Object &object);
  std::string handle (const Message &request);
  std::string list (const std::string &kind, const std::string &after);
  std::string watch (const std::string &kind, uint64_t since, uint64_t wait_ms);
  void put_locked (const std::string &kind, const std::string &name, const std::string &spec);
  Listener listener;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
  uint64_t revision = 100;
  bool down = false;
};

// ---- Backends ----

struct Run
{
  double at_s;
  std::string id;
  std::string service;
  std::string backend;
};

// All runs of all backends.
class Runs
{
public:
  void add (const Run &run);
  std::vector<Run> of (const std::string &id);
  std::vector<Run> all ();
  size_t count ();

private:
  std::mutex mutex;
  std::multimap<std::string, Run> by_id;
};

class Backend
{
public:
  Backend (Store &store, Runs &runs, const std::string &id, const std::string &service,
           const std::string &zone);
  void start ();
  // Leaves without a report: its entry is removed, and it goes on serving. Returns the time of the
  // acknowledgement.
  double leave ();
  const std::string id;

private:
  void serve (Connection &connection);
  void beat ();
  Store &store;
  Runs &runs;
  const std::string service;
  const std::string zone;
  Listener listener;
  std::atomic<uint32_t> running{ 0 };
  std::mutex mutex;
  bool has_left = false;
  uint64_t sequence = 0;
  uint64_t born_ms = 0;
};

// ---- Nodes ----

class Nodes
{
public:
  ~Nodes ();
  // Starts the program of the deploy file with its command, in the repository's folder.
  void start (const std::string &name, const std::string &zone, const std::string &store);
  bool wait_ready (double timeout_s);
  const std::string &front (size_t node) const { return nodes[node].front; }
  const std::string &name (size_t node) const { return nodes[node].name; }
  size_t count () const { return nodes.size (); }
  // The directory's answer to a caller of that region, or an empty text.
  std::string look_up (size_t node, const std::string &region) const;
  // Sends SIGSTOP, SIGCONT or SIGKILL; a killed node does not start again.
  void send_signal (size_t node, int signal);
  // False when a process has ended that was not killed.
  bool all_run ();
  void stop ();

private:
  struct Node
  {
    std::string name;
    std::string front;
    std::string ready;
    std::string directory;
    pid_t pid;
    bool killed;
  };
  std::vector<Node> nodes;
};

// ---- Clients ----

struct Answer
{
  double sent_s = 0;
  int status = 0; // 0: none
};

// Sends a request with one more header on a new connection, and reads the answer until the time budget is over.
Answer send_request (const std::string &front, const std::string &path, const std::string &host,
                     const std::string &id, const std::string &header, double budget_s);

// Ends the nodes and the process: prints and records the verdict.
[[noreturn]] void finish (int status, const std::string &verdict, Nodes &nodes);

}
