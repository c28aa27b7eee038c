// Runs the real programs on loopback for integration tests.
#pragma once

#include <map>
#include <string>
#include <vector>

// One process started by a test; ended by its id.
struct Process
{
  pid_t pid = 0;
  std::string log;
};

struct HttpAnswer
{
  long status = 0;
  bool whole = false; // the answer came to its end as its headers promised
  std::string body;
  std::map<std::string, std::string> headers;
};

// Figures of a load run, by the names of the tool's JSON report.
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
  std::string service_fields; // further fields of the service, each with a leading comma
  std::vector<std::string> entry_flags;
};

class Cluster
{
public:
  explicit Cluster (const Options &options);
  ~Cluster ();

  // Waits until all entries serve with budgets of a plan; false after 20 s.
  bool WaitServing ();
  // Waits until text is in the output of a command; false after the time.
  bool WaitFor (int timeout_ms, const std::vector<std::string> &command, const std::string &text);

  void StartUpstream (const std::string &id);
  void StartSteer (const std::string &vm);
  void StartEntry (const std::string &vm);
  void Signal (const std::string &name, int signal);
  // Waits for a process to end and gives its exit code, -1 after the time, -2 when killed.
  int WaitExit (const std::string &name, int timeout_ms);
  bool IsRunning (const std::string &name);

  HttpAnswer Http (const std::string &method, const std::string &addr, const std::string &path,
                   const std::vector<std::string> &headers = {}, long timeout_ms = 20000);
  std::string Dump (const std::string &vm);
  HttpAnswer Platform (const std::string &fault);
  HttpAnswer Control (const std::string &upstream, const std::string &query);
  long Count (const std::string &upstream, const std::string &name);
  void ProxyCommand (const std::string &name, const std::string &command);
  int Ctl (const std::vector<std::string> &args, const std::string &input, std::string *output);
  bool Put (const std::string &path, const std::string &value);
  // Writes an object without the checks of cardamomctl.
  void PutRaw (const std::string &path, const std::string &value);
  std::string
  SteerHttp (const std::string &vm)
  {
    return steer_http_[vm];
  }

  // Starts a load in the background, and reads its report when it has ended.
  void StartLoad (const std::string &name, const std::vector<std::string> &flags);
  Report FinishLoad (const std::string &name);
  Report Load (const std::vector<std::string> &flags);

  // Lines of the upstreams' execution log that hold text.
  long Executions (const std::string &text);
  std::string LogOf (const std::string &name);
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
  std::vector<int> ports_;
  size_t next_port_ = 0;
  int runs_ = 0; // numbers the keys of each load, so that no two share any
  std::string store_addr_;
  std::string store_for_vms_;
  std::map<std::string, Process> processes_;
  std::map<std::string, std::string> entry_addr_, steer_addr_, rpc_addr_, upstream_addr_,
      control_addr_;
  std::map<std::string, std::string> zone_of_, steer_http_;
  std::string peers_;
};

// A number or text of a JSON document by its first member of that name; "" when absent.
std::string JsonField (const std::string &json, const std::string &name);
void SleepMs (int ms);
long NowMs ();
