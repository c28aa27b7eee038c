// Stand-ins and process control shared by the cases: backends, clients and node processes.
#pragma once

#include "fakes.h"

#include <sys/types.h>

// Time in ms since the start of the case.
int CaseMs ();

// Writes one line to the record of the case, with the time.
void Note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

// True unless the environment has TROUBLE=0.
bool HasTrouble ();

// A backend as PROTOCOL.md describes it: runs `slots` requests at a time and queues three times as
// many, rejects further ones as not run, answers 421 to requests for another instance, echoes the
// request ID, and drops a request when its connection closes.
class Backend
{
public:
  struct Answer
  {
    int work_ms = 300;
    std::string body = "ok";
    bool without_length = false; // the answer ends with its connection
    bool crashes = false;        // the backend crashes when it begins to run the request
  };
  struct Arrival
  {
    std::string method;
    std::string path;
    std::string request_id;
    int at_ms;
    bool rejected;        // not run: 421 or 503 with X-Not-Executed
    bool crashed = false; // the backend crashed when it began to run it
  };
  using Handler = std::function<Answer (const Request &)>;

  Backend (const std::string &id, const std::string &service, const std::string &zone, int slots,
           Handler handler);
  ~Backend ();
  // Its entry in the store, as JSON.
  std::string Entry (const std::string &state = "ready", double cold_left_s = 0) const;
  // Closes its port and all connections.
  void Stop ();
  // Starts a new lifetime under the same id and address.
  void Restart ();
  bool crashed () const;
  std::vector<Arrival> arrivals () const;
  int running () const;
  const std::string id;

private:
  void Serve (int fd);
  void Respond (int fd, const Request &request);
  std::string service_;
  std::string zone_;
  int slots_;
  Handler handler_;
  mutable std::mutex mutex_;
  std::condition_variable freed_;
  std::vector<Arrival> arrivals_;
  int running_ = 0;
  int waiting_ = 0;
  bool crashed_ = false;
  long born_ms_;
  std::unique_ptr<Listener> listener_;
};

// A node process, started with the command of the deploy file and settings like those of
// gelorapido-orders. Its address is a loopback address of its own.
class NodeRunner
{
public:
  NodeRunner (const std::string &vm, const std::string &zone, int number,
              const std::string &store_address);
  ~NodeRunner ();
  void Start ();
  void Signal (int signal);
  // Exit code; -1 while it runs, -2 if a signal ended it.
  int Exit ();
  bool WaitReady (int timeout_ms);
  std::string Log () const;
  const std::string vm;
  const std::string ip;
  int front;

private:
  std::string folder_;
  int ready_;
  int control_;
  int directory_;
  int internal_;
  std::string store_address_;
  pid_t pid_ = 0;
  int exit_ = -1;
};

// A connection of a client that is kept for several requests.
class Connection
{
public:
  Connection (const std::string &ip, int port, int receive_buffer_bytes = 0);
  ~Connection ();
  Connection (const Connection &) = delete;
  bool Send (const std::string &method, const std::string &path, const Headers &headers,
             const std::string &body = "");
  struct Result
  {
    int status = 0;         // 0: the connection ended without an answer
    bool looks_complete = false; // as HTTP/1.1 frames it
    bool has_length = false;
    size_t body_bytes = 0;
    int error = 0; // errno of the read that ended the connection, 0 for an orderly end
    std::string signature;
  };
  // Reads one answer at most at the rate in bytes a second (0: no limit).
  Result Receive (int timeout_ms, long bytes_per_s = 0);

private:
  int fd_;
};

// A manifest with the routes /read/ (idempotent), /post/ (non_idempotent) and /load/ (download) on
// host.example to the service "desk".
std::string Manifest (int version);
