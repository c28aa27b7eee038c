// Runs the real programs on loopback for integration tests.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

// A process started by a test, terminated by its id.
struct Process
{
  pid_t pid = 0;
  std::string log;
};

struct HttpResponse
{
  long status = 0;
  bool complete = false; // received in full, as its headers state
  std::string body;
  std::map<std::string, std::string> headers;
};

// Results of a load run, by the field names of the JSON report of cardamom-load.
using Report = std::map<std::string, long>;

struct Options
{
  int upstreams_per_zone = 1;
  int slots = 8;
  int service_ms = 5;
  int entries = 3;
  int store_latency_ms = 2;
  bool proxy_upstreams = false;
  bool proxy_store = false;
  std::string service_fields; // more JSON fields of the service, each with a leading comma
  std::vector<std::string> entry_flags;
};

class Cluster
{
public:
  explicit Cluster (const Options &options);
  ~Cluster ();

  // Waits until all entries serve and have a budget from a plan; returns false after 20 s.
  bool WaitServing ();
  // Repeats a cardamomctl command until its output contains text; returns false after timeout_ms.
  bool WaitForOutput (int timeout_ms, const std::vector<std::string> &command,
                      const std::string &text);

  void StartUpstream (const std::string &id);
  void StartSteer (const std::string &vm);
  void StartEntry (const std::string &vm);
  void Signal (const std::string &name, int signal);
  // Waits for a process to exit; returns its exit code, -1 after timeout_ms, -2 if a signal ended
  // it.
  int WaitExit (const std::string &name, int timeout_ms);
  bool IsRunning (const std::string &name);
  pid_t
  Pid (const std::string &name) const
  {
    return processes_.at (name).pid;
  }

  HttpResponse Http (const std::string &method, const std::string &addr, const std::string &path,
                     const std::vector<std::string> &headers = {}, long timeout_ms = 20000);
  std::string Dump (const std::string &vm);
  HttpResponse SetStoreFault (const std::string &fault);
  HttpResponse ControlUpstream (const std::string &upstream, const std::string &query);
  long UpstreamCount (const std::string &upstream, const std::string &name);
  void ProxyCommand (const std::string &name, const std::string &command);
  int Ctl (const std::vector<std::string> &args, const std::string &input, std::string *output);
  bool Put (const std::string &path, const std::string &value);
  // Writes an object to the store without the validation by cardamomctl.
  void PutUnchecked (const std::string &path, const std::string &value);
  std::string
  SteerHttp (const std::string &vm)
  {
    return steer_http_[vm];
  }

  // StartLoad starts a load in the background; FinishLoad waits for its end and returns its report.
  void StartLoad (const std::string &name, const std::vector<std::string> &flags);
  Report FinishLoad (const std::string &name);
  Report Load (const std::vector<std::string> &flags);

  // Number of lines in the upstreams' execution log that contain text.
  long Executions (const std::string &text);
  std::string ProcessLog (const std::string &name);
  std::string
  EntryAddr (const std::string &vm)
  {
    return entry_addr_[vm];
  }
  std::string
  StoreAddr ()
  {
    return store_addr_;
  }
  std::vector<std::string> Upstreams ();
  std::vector<std::string> Entries ();

private:
  std::string NextAddr ();
  void Start (const std::string &name, const std::string &program, std::vector<std::string> args,
              const std::string &stdout_file = "");
  std::string StartProxy (const std::string &name, const std::string &target);
  void PutTopology ();

  Options options_;
  std::string dir_;
  std::string bin_;
  int runs_ = 0; // number of the last load; part of its keys, so that no two loads share a key
  std::string store_addr_;
  std::string store_for_vms_;
  std::map<std::string, Process> processes_;
  std::map<std::string, std::string> entry_addr_, steer_addr_, rpc_addr_, upstream_addr_,
      control_addr_;
  std::map<std::string, std::string> zone_of_, steer_http_;
  std::string peers_;
};

// Returns the value of the first member of that name in a JSON document; "" if there is none.
std::string JsonField (const std::string &json, const std::string &name);
void SleepMs (int ms);
long NowMs ();
