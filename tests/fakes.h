// Test doubles of the store, upstreams and callers, and a wrapper that runs real node processes.
#pragma once

#include "ports.h"

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

// `head`: the request line and the headers as they were received.
struct Request
{
  std::string head;
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

// Response as the client received it. `whole`: the body is complete; `framed`: it has a
// Content-Length or is chunked.
struct Reply
{
  int status = 0;
  Headers headers;
  std::string body;
  bool whole = false;
  bool framed = false;
  int elapsed_ms = 0;
};

// TCP server on 127.0.0.1 that runs a function on a new thread for each connection.
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
  // Closes the listening socket and shuts down all connections; new connections are refused.
  void Stop ();
  // Listens again on the same port.
  void Restart ();

private:
  void Run ();
  int port_ = 0;
  int fd_ = -1;
  std::function<void (int)> serve_;
  std::mutex mutex_;
  std::set<int> connections_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
  std::atomic<bool> stopping_{ false };
};

// Reads one request; false if the connection ends before the request is complete.
bool ReadRequest (int fd, Request *request);
void WriteAll (int fd, const std::string &bytes);

// The platform's metadata store: objects by kind, with lists and watches. It reads queries and
// paths strictly: one with a character that has to be percent-encoded gets status 400.
class FakeStore
{
public:
  enum class Mode
  {
    kUp,
    kUnavailable,
    kNoResponse,
    kClose,
  };

  FakeStore ();
  ~FakeStore ();
  void Put (const std::string &kind, const std::string &name, const std::string &spec);
  // Stores several objects of a kind in one atomic step.
  void PutAll (const std::string &kind, const std::map<std::string, std::string> &specs);
  void Delete (const std::string &kind, const std::string &name);
  // Stores an object that lists and watches show as `text` instead of as JSON with its name.
  void PutText (const std::string &kind, const std::string &name, const std::string &text);
  // How a list continues: as documented, with `more` on the last page too, or from its start
  // always.
  enum class Paging
  {
    kCorrect,
    kWithoutEnd,
    kIgnoresCursor,
  };
  // The object as lists show it; empty without one.
  std::string Text (const std::string &kind, const std::string &name) const;
  // Largest number of objects in a page of a list.
  void SetPageSize (size_t objects, Paging paging = Paging::kCorrect);
  // Requests with a longer target get status 414.
  void SetTargetLimit (size_t bytes);
  void SetMode (Mode mode);
  // Drops the event history: watches from an earlier revision get status 410.
  void ForgetHistory ();
  // Takes the copy of all objects that Restore() returns to.
  void TakeCopy ();
  // Returns to the copy: revisions go back and are given out again, watches from one that the copy
  // doesn't have get status 410, and the era in the header of all responses rises by one.
  void Restore ();
  // Value of that header from now on; none if empty.
  void SetEra (const std::string &era);
  // Watches of the kind that are waiting now never get a response, and nor does any later request
  // on their connections. With an address, of connections to it alone.
  void SilenceWatches (const std::string &kind, const std::string &address = "");
  // A request for objects: page of a list, or watch.
  struct Read
  {
    std::string kind;
    std::string address; // that it came to
    bool is_watch;
    bool continues_list;
  };
  // What happens to the response: `wait_ms` before it is made, `hold_ms` between that and its way
  // to the node, or it is lost, as is all that follows on its connection.
  struct Handling
  {
    int wait_ms = 0;
    int hold_ms = 0;
    bool lost = false;
  };
  // Asked about each request for objects from now on.
  void SetHandler (std::function<Handling (const Read &)> handler);
  // Revision of the last change.
  long revision () const;
  // Takes a snapshot of the objects, which is the response to all later lists that allow stale
  // data.
  void FreezeStaleLists ();
  // Whether lists that allow stale data get that snapshot, or the current objects.
  void ServeStaleLists (bool enabled);
  std::string address () const;
  // Opens a further address of the store and returns it. SilenceAddedAddress makes all of these
  // drop their responses.
  std::string AddAddress ();
  void SilenceAddedAddress (bool silent);
  int calls () const;
  // Watches that are currently waiting for a change.
  int watches () const;
  // List requests handled so far.
  int lists () const;
  // Watches of a kind so far that did not wait for a change.
  int immediate_watches (const std::string &kind) const;
  // Create and replace requests of nodes so far, including rejected ones.
  int writes () const;

private:
  // `text`: of the whole object as the store sends it.
  struct Object
  {
    std::string text;
    long revision;
  };
  struct Event
  {
    std::string kind;
    std::string text;
    bool deleted;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;
  void Serve (int fd, const std::string &address);
  Handling Handle (const Request &request, const std::string &address);
  std::string Answer (const Request &request, const std::string &address);
  std::string AddEra (std::string answer) const;
  std::string List (const std::string &kind, bool may_be_stale, const std::string *after);
  std::string Watch (const std::string &kind, long from, int wait_ms, const std::string &address);
  int Silences (const std::string &kind, const std::string &address) const;
  std::string Write (const Request &request, const std::string &kind, const std::string &name);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  long revision_ = 1;
  long history_start_ = 0;
  Objects objects_;
  Objects stale_objects_;
  Objects copied_objects_;
  long stale_revision_ = 0;
  long copied_revision_ = 0;
  std::string era_ = "1";
  bool serves_stale_ = true;
  size_t page_size_ = SIZE_MAX;
  Paging paging_ = Paging::kCorrect;
  std::atomic<size_t> target_limit_{ SIZE_MAX };
  std::vector<Event> events_;
  std::map<std::string, int> immediate_watches_;
  // Calls of SilenceWatches by kind and address.
  std::map<std::pair<std::string, std::string>, int> silences_;
  std::function<Handling (const Read &)> handler_;
  std::atomic<Mode> mode_{ Mode::kUp };
  std::atomic<int> calls_{ 0 };
  std::atomic<int> watches_{ 0 };
  std::atomic<int> lists_{ 0 };
  std::atomic<int> writes_{ 0 };
  std::atomic<bool> ending_{ false };
  std::atomic<bool> added_silent_{ false };
  std::unique_ptr<Listener> listener_;
  std::vector<std::unique_ptr<Listener>> added_listeners_;
};

// HTTP server in place of an upstream. A Behaviour writes the bytes of the response; the default
// sends a complete signed response.
class FakeUpstream
{
public:
  using Behaviour = std::function<void (int fd, const Request &request)>;

  explicit FakeUpstream (const std::string &id, int work_ms = 0);
  void SetBehaviour (Behaviour behaviour);
  void SetWork (int work_ms);
  // Bytes of a complete signed response to the request.
  std::string SignedResponse (const Request &request, const std::string &body) const;
  // The upstream's registration object in the store, as JSON.
  std::string Record (const std::string &service, const std::string &zone,
                      const std::string &state = "ready", const std::string &more = "") const;
  int arrivals () const;
  int runs (const std::string &request_id) const;
  int max_concurrent () const;
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
  int concurrent_ = 0;
  int max_concurrent_ = 0;
  std::unique_ptr<Listener> listener_;
};

// Runs a node process with its own settings file.
class NodeProcess
{
public:
  // `limits`: JSON object with the limits of the machine; none if empty.
  NodeProcess (const std::string &vm, const std::string &zone, const std::string &store_address,
               int ip_last = 1, const std::string &limits = "");
  ~NodeProcess ();
  void Start ();
  void Signal (int signal);
  // Exit code; -1 if the process has not exited in time, -2 if a signal terminated it.
  int WaitExit (int timeout_ms);
  bool WaitReady (int timeout_ms);
  Reply Call (const std::string &method, const std::string &path, const Headers &headers = {},
              const std::string &body = "", int timeout_ms = 5000);
  Reply Ready ();
  Reply Lookup (const std::string &region);
  // GET of "/metrics" or "/state".
  Reply Status (const std::string &path);
  // Value of a counter or gauge of "/metrics"; -1 without it.
  long Metric (const std::string &name);
  // Exchange() with the node's front address.
  std::string ExchangeBytes (const std::vector<std::string> &pieces, int pause_ms, int timeout_ms);
  std::string Log () const;
  pid_t
  pid () const
  {
    return pid_;
  }
  // Peak resident memory of the process; -1 if it isn't running.
  long PeakMemoryKb () const;
  std::string front () const;
  std::string lookup () const;
  // Address for messages from other nodes.
  std::string peer () const;
  // Address for requests of other nodes.
  std::string relay () const;
  int OpenDescriptors () const;
  // Address of Status().
  std::string metrics () const;

private:
  void WriteSettings (const std::string &store_address, const std::string &limits);
  std::string vm_;
  std::string zone_;
  std::string ip_;
  std::string folder_;
  int metrics_;
  int front_;
  int ready_;
  int lookup_;
  int peer_; // The relay listens on the port after it.
  pid_t pid_ = 0;
};

// Connects to "IP:port". A small receive buffer makes the peer wait for the reads.
int Connect (const std::string &address, int receive_buffer_bytes = 0);

// Closes the connection with a reset.
void CloseWithReset (int fd);

// How a response that ends with its connection arrived: in order, or by a reset or timeout.
struct Download
{
  int status = 0;
  size_t body_bytes = 0;
  bool ended_in_order = false;
};

// Reads such a response, up to a piece at a time with a pause after each. With `paused`, waits
// until it is false once the head has arrived.
Download ReadDownload (int fd, size_t piece_bytes, int pause_ms,
                       const std::atomic<bool> *paused = nullptr);

// Response without a length to a request, signed like that of FakeUpstream.
void WriteUnframedResponse (int fd, const Request &request, size_t body_bytes);

// Sends one request on a new connection.
Reply Fetch (const std::string &ip, int port, const std::string &method, const std::string &path,
             const Headers &headers, const std::string &body, int timeout_ms);

// Sends pieces on a new connection with a pause after each; returns all bytes received until the
// connection closes or a receive times out.
std::string Exchange (const std::string &ip, int port, const std::vector<std::string> &pieces,
                      int pause_ms, int timeout_ms);

// Sends a line on a new connection and ignores the response.
void SendLine (const std::string &ip, int port, const std::string &line);

int NowMs ();

// Polls the condition until it is true; false on timeout.
bool WaitUntil (int timeout_ms, const std::function<bool ()> &condition);

// An id that request sampling selects, so that its request is logged even without a failure.
std::string SampledId (const std::string &prefix);

// Configuration with one route of each kind (idempotent, non-idempotent, download) to service
// "desk".
std::string Configuration (int version, const std::string &more_routes = "",
                           const std::string &route_fields = "\"timeout-s\":2,\"goal-s\":0.5");
