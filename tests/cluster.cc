// Runs the real programs on loopback for integration tests.
#include "cluster.h"

#include "ports.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <curl/curl.h>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace
{

const char *const kZones[] = { "luz-a", "luz-b", "vis-a", "vis-b" };

std::string
ReadFile (const std::string &path)
{
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  return text.str ();
}

size_t
OnBody (char *data, size_t size, size_t count, void *user)
{
  static_cast<HttpResponse *> (user)->body.append (data, size * count);
  return size * count;
}

size_t
OnHeader (char *data, size_t size, size_t count, void *user)
{
  std::string line (data, size * count);
  size_t colon = line.find (": ");
  if (colon != std::string::npos)
    static_cast<HttpResponse *> (user)->headers[line.substr (0, colon)]
        = line.substr (colon + 2, line.find_last_not_of ("\r\n") - colon - 1);
  return size * count;
}

std::string
RegionOf (const std::string &zone)
{
  return zone.substr (0, 3) == "luz" ? "luzon" : "visayas";
}

} // namespace

void
SleepMs (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

long
NowMs ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             std::chrono::steady_clock::now ().time_since_epoch ())
      .count ();
}

std::string
JsonField (const std::string &json, const std::string &name)
{
  size_t at = json.find ("\"" + name + "\"");
  if (at == std::string::npos)
    return "";
  at = json.find_first_not_of (" :", at + name.size () + 2);
  if (json[at] == '"')
    return json.substr (at + 1, json.find ('"', at + 1) - at - 1);
  return json.substr (at, json.find_first_of (",}\n ", at) - at);
}

Cluster::Cluster (const Options &options) : options_ (options)
{
  char pattern[] = "/tmp/cardamom-test-XXXXXX";
  dir_ = mkdtemp (pattern);
  bin_ = PROGRAMS_DIR;
  store_addr_ = NextAddr ();
  Start (
      "platform", "standin-platform",
      { "--listen=" + store_addr_, "--latency-ms=" + std::to_string (options_.store_latency_ms) });
  store_for_vms_ = options_.proxy_store ? StartProxy ("store", store_addr_) : store_addr_;
  for (int i = 0; i < 100 && Http ("GET", store_addr_, "/standin/counts").status != 200; i++)
    SleepMs (50);
  PutTopology ();
  for (const std::string &vm : Entries ())
    {
      StartSteer (vm);
      StartEntry (vm);
    }
}

Cluster::~Cluster ()
{
  for (auto &[name, process] : processes_)
    kill (process.pid, SIGKILL);
  for (auto &[name, process] : processes_)
    waitpid (process.pid, nullptr, 0);
  if (getenv ("KEEP_LOGS") == nullptr)
    {
      for (auto &[name, process] : processes_)
        unlink (process.log.c_str ());
      for (const char *name : { "/exec", "/ctl.in", "/ctl.out" })
        unlink ((dir_ + name).c_str ());
      rmdir (dir_.c_str ());
    }
  else
    std::cerr << "logs are in " << dir_ << "\n";
}

std::string
Cluster::NextAddr ()
{
  return "127.0.0.1:" + std::to_string (FreePort ());
}

void
Cluster::Start (const std::string &name, const std::string &program, std::vector<std::string> args,
                const std::string &stdout_file)
{
  Process process;
  process.log = dir_ + "/" + name + ".log";
  args.insert (args.begin (), bin_ + "/" + program);
  std::vector<char *> argv;
  for (std::string &arg : args)
    argv.push_back (arg.data ());
  argv.push_back (nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, 2, process.log.c_str (),
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (!stdout_file.empty ())
    posix_spawn_file_actions_addopen (&actions, 1, stdout_file.c_str (),
                                      O_WRONLY | O_CREAT | O_TRUNC, 0644);
  if (posix_spawn (&process.pid, argv[0], &actions, nullptr, argv.data (), environ) != 0)
    abort ();
  posix_spawn_file_actions_destroy (&actions);
  processes_[name] = process;
}

std::string
Cluster::StartProxy (const std::string &name, const std::string &target)
{
  std::string addr = NextAddr ();
  control_addr_[name] = NextAddr ();
  Start ("proxy-" + name, "faultproxy",
         { "--listen=" + addr, "--target=" + target, "--control=" + control_addr_[name] });
  return addr;
}

std::vector<std::string>
Cluster::Upstreams ()
{
  std::vector<std::string> ids;
  for (int n = 0; n < options_.upstreams_per_zone; n++)
    for (const char *zone : kZones)
      ids.push_back (std::string ("u-") + zone + "-" + std::to_string (n));
  return ids;
}

std::vector<std::string>
Cluster::Entries ()
{
  std::vector<std::string> vms;
  for (int i = 0; i < options_.entries; i++)
    vms.push_back ("e" + std::to_string (i));
  return vms;
}

void
Cluster::PutTopology ()
{
  Put ("platform/regions/luzon", R"({"schema":1,"zones":["luz-a","luz-b"],"max_inflight":1000})");
  Put ("platform/regions/visayas", R"({"schema":1,"zones":["vis-a","vis-b"],"max_inflight":1000})");
  Put ("platform/blocks/luz", R"({"schema":1,"zone":"luz-a","blocks":["10.1.0.0/16"]})");
  Put ("platform/blocks/vis", R"({"schema":1,"zone":"vis-a","blocks":["10.2.0.0/16"]})");
  std::string list;
  for (const std::string &id : Upstreams ())
    {
      std::string zone = id.substr (2, 5);
      upstream_addr_[id] = NextAddr ();
      StartUpstream (id);
      std::string addr
          = options_.proxy_upstreams ? StartProxy (id, upstream_addr_[id]) : upstream_addr_[id];
      list += (list.empty () ? "" : ",") + std::string ("{\"id\":\"") + id + "\",\"addr\":\"" + addr
              + "\",\"zone\":\"" + zone + "\",\"slots\":" + std::to_string (options_.slots) + "}";
    }
  Put ("teams/t/services/desk",
       "{\"schema\":1,\"upstreams\":[" + list + "]" + options_.service_fields + "}");
  for (int i = 0; i < options_.entries; i++)
    {
      std::string vm = "e" + std::to_string (i);
      zone_of_[vm] = kZones[(i * 2 + i / 2) % 4];
      steer_addr_[vm] = NextAddr ();
      entry_addr_[vm] = NextAddr ();
      rpc_addr_[vm] = NextAddr ();
      steer_http_[vm] = NextAddr ();
      peers_ += (peers_.empty () ? "" : ",") + steer_addr_[vm];
      Put ("vms/" + vm, "{\"schema\":1,\"role\":\"entry\",\"zone\":\"" + zone_of_[vm]
                            + "\",\"state\":\"live\",\"steer\":\"" + steer_addr_[vm]
                            + "\",\"entry\":\"" + entry_addr_[vm] + "\"}");
    }
}

void
Cluster::StartUpstream (const std::string &id)
{
  Start (id, "standin-upstream",
         { "--listen=" + upstream_addr_[id], "--id=" + id,
           "--slots=" + std::to_string (options_.slots),
           "--service-ms=" + std::to_string (options_.service_ms),
           "--exec-log=" + dir_ + "/exec" });
}

void
Cluster::StartSteer (const std::string &vm)
{
  Start ("steer-" + vm, "cardamom-steer",
         { "--vm=" + vm, "--region=" + RegionOf (zone_of_[vm]), "--zone=" + zone_of_[vm],
           "--steer-listen=" + steer_addr_[vm], "--entry-advertise=" + entry_addr_[vm],
           "--entry-rpc=" + rpc_addr_[vm], "--steer-http=" + steer_http_[vm],
           "--store=" + store_for_vms_, "--peers=" + peers_ });
}

void
Cluster::StartEntry (const std::string &vm)
{
  std::vector<std::string> args
      = { "--vm=" + vm, "--entry-listen=" + entry_addr_[vm], "--entry-rpc-listen=" + rpc_addr_[vm],
          "--steer=" + steer_addr_[vm], "--store=" + store_for_vms_ };
  args.insert (args.end (), options_.entry_flags.begin (), options_.entry_flags.end ());
  Start ("entry-" + vm, "cardamom-entry", args);
}

void
Cluster::Signal (const std::string &name, int signal)
{
  kill (processes_.at (name).pid, signal);
}

int
Cluster::WaitExit (const std::string &name, int timeout_ms)
{
  long end = NowMs () + timeout_ms;
  int status;
  while (NowMs () < end)
    {
      if (waitpid (processes_.at (name).pid, &status, WNOHANG) != 0)
        {
          processes_.erase (name);
          return WIFEXITED (status) ? WEXITSTATUS (status) : -2;
        }
      SleepMs (20);
    }
  return -1;
}

bool
Cluster::IsRunning (const std::string &name)
{
  return processes_.count (name) > 0 && waitpid (processes_.at (name).pid, nullptr, WNOHANG) == 0;
}

HttpResponse
Cluster::Http (const std::string &method, const std::string &addr, const std::string &path,
               const std::vector<std::string> &headers, long timeout_ms)
{
  HttpResponse response;
  CURL *curl = curl_easy_init ();
  curl_slist *list = nullptr;
  for (const std::string &header : headers)
    list = curl_slist_append (list, header.c_str ());
  curl_easy_setopt (curl, CURLOPT_URL, ("http://" + addr + path).c_str ());
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method.c_str ());
  if (method == "POST")
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, "");
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, 0L);
    }
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &response);
  response.complete = curl_easy_perform (curl) == CURLE_OK;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response.status);
  curl_slist_free_all (list);
  curl_easy_cleanup (curl);
  return response;
}

std::string
Cluster::Dump (const std::string &vm)
{
  return Http ("GET", entry_addr_[vm], "/dump", {}, 2000).body;
}

HttpResponse
Cluster::SetStoreFault (const std::string &fault)
{
  return Http ("POST", store_addr_, "/standin/fault?" + fault);
}

HttpResponse
Cluster::ControlUpstream (const std::string &upstream, const std::string &query)
{
  return Http ("POST", upstream_addr_[upstream], "/standin/control?" + query);
}

long
Cluster::UpstreamCount (const std::string &upstream, const std::string &name)
{
  std::string body = Http ("GET", upstream_addr_[upstream], "/standin/counts").body;
  return atol (JsonField (body, name).c_str ());
}

void
Cluster::ProxyCommand (const std::string &name, const std::string &command)
{
  const std::string &addr = control_addr_.at (name);
  sockaddr_in proxy_addr = {};
  char response[64];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  proxy_addr.sin_family = AF_INET;
  proxy_addr.sin_port = htons ((uint16_t) atoi (addr.substr (addr.find (':') + 1).c_str ()));
  proxy_addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  std::string line = command + "\n";
  if (connect (fd, (sockaddr *) &proxy_addr, sizeof proxy_addr) != 0
      || write (fd, line.data (), line.size ()) < 0 || read (fd, response, sizeof response) < 4)
    std::cerr << "proxy " << name << " did not acknowledge the command\n";
  close (fd);
}

int
Cluster::Ctl (const std::vector<std::string> &args, const std::string &input, std::string *output)
{
  std::ofstream (dir_ + "/ctl.in") << input;
  std::vector<std::string> full_args = args;
  full_args.push_back ("--store=" + store_addr_);
  if (!input.empty ())
    full_args.push_back ("--file=" + dir_ + "/ctl.in");
  Start ("ctl", "cardamomctl", full_args, dir_ + "/ctl.out");
  std::string log = processes_["ctl"].log;
  int code = WaitExit ("ctl", 20000);
  if (output != nullptr)
    *output = ReadFile (dir_ + "/ctl.out") + ReadFile (log);
  unlink (log.c_str ());
  return code;
}

bool
Cluster::Put (const std::string &path, const std::string &value)
{
  std::string output;
  if (Ctl ({ "set", path }, value, &output) == 0)
    return true;
  std::cerr << path << ": " << output;
  return false;
}

void
Cluster::PutUnchecked (const std::string &path, const std::string &value)
{
  CURL *curl = curl_easy_init ();
  HttpResponse ignored;
  curl_easy_setopt (curl, CURLOPT_URL, ("http://" + store_addr_ + "/v1/objects/" + path).c_str ());
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, value.c_str ());
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &ignored);
  curl_easy_perform (curl);
  curl_easy_cleanup (curl);
}

bool
Cluster::WaitForOutput (int timeout_ms, const std::vector<std::string> &command,
                        const std::string &text)
{
  long end = NowMs () + timeout_ms;
  std::string output;
  while (NowMs () < end)
    {
      Ctl (command, "", &output);
      if (output.find (text) != std::string::npos)
        return true;
      SleepMs (100);
    }
  std::cerr << output;
  return false;
}

bool
Cluster::WaitServing ()
{
  long end = NowMs () + 20000;
  while (NowMs () < end)
    {
      bool all_serving = true;
      for (const auto &[vm, addr] : entry_addr_)
        {
          std::string dump = Dump (vm);
          all_serving = all_serving && JsonField (dump, "state") == "serving"
                        && JsonField (dump, "config_errors") == "0"
                        && atol (JsonField (dump, "budget").c_str ()) > 0
                        && dump.find ("\"state\" : \"unknown\"") == std::string::npos;
        }
      if (all_serving)
        return true;
      SleepMs (100);
    }
  return false;
}

void
Cluster::StartLoad (const std::string &name, const std::vector<std::string> &flags)
{
  std::string entries;
  for (const auto &[vm, addr] : entry_addr_)
    entries += (entries.empty () ? "" : ",") + addr;
  std::vector<std::string> args
      = { "--entries=" + entries,         "--service=desk",   "--callers=10.1.0.1,10.2.0.1",
          "--exec-log=" + dir_ + "/exec", "--run-id=" + name, "--output=json" };
  args.insert (args.end (), flags.begin (), flags.end ());
  Start (name, "cardamom-load", args, dir_ + "/" + name + ".out");
}

Report
Cluster::FinishLoad (const std::string &name)
{
  Report report;
  WaitExit (name, 120000);
  std::string path = dir_ + "/" + name + ".out";
  std::string text = ReadFile (path);
  std::cerr << name << " " << text;
  for (size_t at = text.find ('"'); at != std::string::npos; at = text.find ('"', at + 1))
    {
      size_t end = text.find ('"', at + 1);
      std::string key = text.substr (at + 1, end - at - 1);
      report[key] = atol (text.c_str () + end + 2);
      at = end;
    }
  unlink (path.c_str ());
  unlink ((dir_ + "/" + name + ".log").c_str ());
  return report;
}

Report
Cluster::Load (const std::vector<std::string> &flags)
{
  std::string name = "run" + std::to_string (++runs_);
  StartLoad (name, flags);
  return FinishLoad (name);
}

long
Cluster::Executions (const std::string &text)
{
  std::istringstream lines (ReadFile (dir_ + "/exec"));
  long count = 0;
  for (std::string line; std::getline (lines, line);)
    count += line.find (text) != std::string::npos;
  return count;
}

std::string
Cluster::ProcessLog (const std::string &name)
{
  return ReadFile (dir_ + "/" + name + ".log");
}
