// Stand-ins for the cases of review 2: the platform's store, backends, clients and the processes of
// a small deployment. All addresses are loopback addresses; each node has an address of its own.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

// ---- Time and the record ----

// Seconds since the case began.
double now_s ();
void sleep_s (double seconds);
// Writes a line with the time to record.txt.
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
// Whether the disruption is on: TROUBLE is not 0.
bool trouble ();
double random_unit ();
std::string random_id ();

// ---- HTTP ----

struct Message
{
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // The value of a header, or an empty string.
  std::string get (const std::string &name) const;
  bool has (const std::string &name) const;
};

// How the reading of a message ended.
enum class Read
{
  DONE,
  CLOSED, // the peer closed in order
  RESET,
  TIMEOUT,
};

struct Connection
{
  int fd = -1;
  std::string buffer;
  ~Connection ();
  bool open (const std::string &address, double timeout_s, int receive_buffer = 0);
  bool write (const std::string &bytes) const;
  // Reads once more into the buffer.
  Read fill (double until_s);
  // Reads a head, and a body with a length or in chunks.
  Read read (Message &message, double until_s, bool is_response);
  Read read_head (Message &message, double until_s);
  void close_fd ();
  void reset ();
};

// A listener that runs a thread for each connection.
class Listener
{
public:
  using Handler = std::function<void (Connection &)>;
  bool start (const std::string &ip, uint16_t port, Handler handler);
  // Stops listening and resets all connections.
  void kill ();
  uint16_t port = 0;
  std::string ip;
  std::string address () const;

private:
  struct State
  {
    std::mutex mutex;
    std::set<int> fds;
    std::atomic<bool> stopped{ false };
    int fd = -1;
    Handler handler;
  };
  static void accept_loop (std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

// ---- The platform's store ----

class Store
{
public:
  void start (const std::string &ip);
  std::string address () const { return listener.address (); }
  // Writes as the operator or a backend does. Returns false while the store is down.
  bool put (const std::string &kind, const std::string &name, const std::string &spec);
  bool remove (const std::string &kind, const std::string &name);
  // While it is down, it closes connections and accepts no calls.
  void set_down (bool down);

private:
  struct Object
  {
    std::string name;
    uint64_t revision = 0;
    uint64_t created = 0;
    std::string spec;
  };
  struct Event
  {
    uint64_t revision;
    std::string kind;
    bool deleted;
    Object object;
  };
  static std::string text (const Object &object);
  void serve (Connection &connection);
  bool handle (Connection &connection, const Message &request);
  std::string list (const std::string &kind, const std::string &after);
  std::string watch (const std::string &kind, uint64_t since, uint64_t wait_ms);
  void write (const std::string &kind, const std::string &name, const std::string &spec);
  Listener listener;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
  uint64_t revision = 100;
  std::atomic<bool> down{ false };
};

// ---- Backends ----

struct Run
{
  double at_s;
  std::string id;
  std::string backend;
  std::string target;
  std::string body;
};

struct BackendSettings
{
  std::string id;
  std::string service;
  std::string zone;
  uint32_t slots = 6;
  double cold_s = 3;
  // Service time, of a warm and of a cold backend.
  double work_s = 0.2;
  double cold_work_s = 0.4;
  double heartbeat_s = 1.5;
};

// A backend of the deployment: registers itself, runs requests in its slots, queues 18 more.
class Backend
{
public:
  Backend (Store &store, const std::string &ip, const BackendSettings &settings);
  // Starts a lifetime that is cold for cold_s seconds.
  void start (double cold_s);
  // As a process that ends without notice: no listener, all connections reset.
  void crash ();
  bool is_up () const { return up; }
  bool is_cold ();
  // Called as a request begins to run, after its arrival is recorded; false: it crashes the
  // backend, which has then been told to crash().
  std::function<bool (Backend &, const Message &)> on_run;
  // Writes the response itself when set.
  std::function<void (Connection &, const Message &)> respond;
  std::function<void (const Run &)> on_arrival;
  const BackendSettings settings;

private:
  void serve (Connection &connection);
  bool handle (Connection &connection, const Message &request);
  void beat_loop ();
  std::string registration ();
  Store &store;
  const std::string ip;
  Listener listener;
  uint16_t port = 0;
  std::atomic<bool> up{ false };
  std::atomic<uint32_t> lifetime{ 0 };
  std::mutex mutex;
  std::condition_variable freed;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint64_t sequence = 0;
  uint64_t born_ms = 0;
  double cold_until_s = 0;
};

// ---- Nodes ----

struct NodeSettings
{
  std::string name;
  std::string zone;
  uint32_t memory_mb = 260;
  uint32_t max_fds = 4100;
  std::string bounds; // replaces the bounds of kwpc-glb
};

class Nodes
{
public:
  ~Nodes ();
  // Starts the program of the deploy file with its command. The current folder is the repository.
  void start (const NodeSettings &settings, const std::string &store);
  // Waits until all say that they are ready.
  bool wait_ready (double timeout_s);
  bool is_ready (size_t node) const;
  std::string front (size_t node) const { return nodes[node].front; }
  size_t count () const { return nodes.size (); }
  // False when a process has ended.
  bool all_run ();
  void stop ();
  std::string state (size_t node, const std::string &path);

private:
  struct Node
  {
    std::string name;
    std::string ip;
    std::string front;
    std::string ready;
    pid_t pid;
  };
  std::vector<Node> nodes;
};

// An unused loopback address for node @index of this run.
std::string node_ip (size_t index);
uint16_t free_port (const std::string &ip);

// ---- Clients ----

struct Answer
{
  int status = 0;     // 0: none
  bool complete = false; // ends as the protocol says
  Read end = Read::DONE;
  Message message;
};

// Sends a request on a new connection, and reads the answer until the time budget is over.
Answer send_request (const std::string &front, const std::string &method, const std::string &path,
                     const std::string &host, const std::string &id, const std::string &object,
                     double budget_s, const std::string &body = "");

// Ends with the exit status of a case: prints and records the verdict.
[[noreturn]] void finish (int status, const std::string &verdict, Nodes &nodes);

}
