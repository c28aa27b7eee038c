// Several nodes under random faults: killed, suspended and terminated processes, a store and an
// upstream behind fault proxies, lost responses, removed upstreams. CARDAMOM_SOAK_SEED sets the
// seed, CARDAMOM_SOAK_S the duration in seconds.
#include "fakes.h"

#include <csignal>
#include <gtest/gtest.h>
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
    store_proxy_ = std::make_unique<FaultProxy> (store_.address ());
    store_.Put ("config", "main", Configuration (version_));
    for (int i = 0; i < 4; i++)
      AddUpstream ();
    upstream_proxy_ = std::make_unique<FaultProxy> (upstreams_[0]->address ());
    Register (0, "ready");
    for (int i = 0; i < 3; i++)
      {
        nodes_.push_back (std::make_unique<NodeProcess> ("vm-" + std::to_string (i),
                                                         i < 2 ? "east-a" : "west-a",
                                                         store_proxy_->address (), i + 1));
        ASSERT_TRUE (nodes_[i]->WaitReady (5000));
      }
  }

  void
  AddUpstream ()
  {
    int index = static_cast<int> (upstreams_.size ());
    upstreams_.push_back (std::make_unique<FakeUpstream> ("up-" + std::to_string (index), 10));
    FakeUpstream *upstream = upstreams_.back ().get ();
    upstream->SetBehaviour (
        [this, upstream] (int fd, const Request &request) { Respond (upstream, fd, request); });
    if (index > 0)
      Register (index, "ready");
  }

  void
  Register (int index, const std::string &state)
  {
    std::string record
        = upstreams_[index]->Record ("desk", index % 2 == 0 ? "east-a" : "west-a", state);
    if (index == 0)
      {
        std::string own = upstreams_[0]->address ();
        record.replace (record.find (own), own.size (), upstream_proxy_->address ());
      }
    store_.Put ("servers", upstreams_[index]->id (), record);
  }

  // Responds to a request: some are shed, some responses are lost or followed by an extra one.
  void
  Respond (FakeUpstream *upstream, int fd, const Request &request)
  {
    const std::string &id = request.headers.at ("x-request-id");
    unsigned fate = request_count_++ % 31;
    if (fate == 7)
      {
        WriteAll (fd, "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return;
      }
    request_log_.RecordRun (id);
    if (fate == 13)
      shutdown (fd, SHUT_RDWR);
    else if (fate == 19)
      WriteAll (fd, upstream->SignedResponse (request, id)
                        + upstream->SignedResponse (request, "extra"));
    else
      WriteAll (fd, upstream->SignedResponse (request, id));
  }

  void
  CallUntilEnd (int caller)
  {
    for (int i = 0; !ending_; i++)
      {
        std::string id = "c" + std::to_string (caller) + "-" + std::to_string (i);
        Headers headers = { { "X-Request-Id", id },
                            { "X-Deadline-Ms", "2000" },
                            { "Cookie", "X-Affinity-Key=" + std::to_string (i % 11) } };
        NodeProcess &node = *nodes_[static_cast<size_t> ((caller + i) % 3)];
        bool post = i % 2 == 0;
        Reply reply = post ? node.Call ("POST", "/post/a", headers, "body", 3000)
                           : node.Call ("GET", "/read/a", headers, "", 3000);
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
    NodeProcess &node = *nodes_[random_ () % 3];
    switch (random_ () % 8)
      {
      case 0:
        node.Signal (SIGKILL);
        node.WaitExit (2000);
        node.Start ();
        break;
      case 1:
        node.Signal (SIGTERM);
        EXPECT_EQ (node.WaitExit (6500), 0) << "seed " << seed_ << "\n" << StopEvents (node);
        node.Start ();
        break;
      case 2:
        node.Signal (SIGSTOP);
        std::this_thread::sleep_for (1s);
        node.Signal (SIGCONT);
        break;
      case 3:
        ApplyFault (*store_proxy_, random_ () % 2 == 0 ? "cut" : "blackhole");
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
        store_.Put ("config", "main", Configuration (version_ += 2));
        break;
      default:
        ReplaceUpstream ();
      }
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
    if (upstreams_.size () >= 8)
      return;
    AddUpstream ();
    Register (static_cast<int> (upstreams_.size ()) - 3, "draining");
  }

  double
  SuccessRate ()
  {
    int served = 0;
    for (int i = 0; i < 60; i++)
      {
        Headers headers
            = { { "X-Request-Id", "end-" + std::to_string (i) }, { "X-Deadline-Ms", "2000" } };
        served
            += nodes_[static_cast<size_t> (i % 3)]->Call ("GET", "/read/a", headers).status == 200;
      }
    return served / 60.0;
  }

  unsigned seed_ = 0;
  int version_ = 10;
  std::mt19937 random_;
  std::atomic<bool> ending_{ false };
  std::atomic<unsigned> request_count_{ 0 };
  RequestLog request_log_;
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
  while (NowMs () < end_ms)
    {
      InjectFault ();
      std::this_thread::sleep_for (300ms);
    }
  ending_ = true;
  for (std::thread &caller : callers)
    caller.join ();
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
  RecordProperty ("requests", static_cast<int> (request_log_.statuses.size ()));
  printf ("soak: seed %u, %zu requests, %d answered, %d without response\n", seed_,
          request_log_.statuses.size (), answered, no_response);
}
