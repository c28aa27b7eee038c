// A request that crashes the backends that run it comes again and again, at any node.
#include "stage.h"

#include <algorithm>
#include <csignal>
#include <random>

using namespace std::chrono_literals;

namespace
{
const int kStableWindowMs = 4000;
const int kRetriesMax = 3; // BUDGET: in more than three retries
const size_t kCrashesCounted = 3;
const int kBackAfterMs = 3000;
const int kClients = 16; // about 10 requests a second, as at night
const int kPoisonPeriodMs = 1000;
const int kPoisonForMs = 80000; // longer than the 60 s for which nodes remember it

struct Place
{
  const char *zone;
  int nodes;
  int backends;
};

// As in gelorapido-orders: 11 nodes and the 32 backends of orders-api.
const Place kPlaces[] = { { "norte-a", 2, 6 }, { "lisboa-a", 2, 8 }, { "algarve-a", 2, 2 },
                          { "norte-b", 2, 6 }, { "lisboa-b", 2, 8 }, { "algarve-b", 1, 2 } };
}

int
main ()
{
  signal (SIGPIPE, SIG_IGN);
  FakeStore store;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<NodeRunner>> nodes;
  store.Put ("config", "main", Manifest (7));
  for (const Place &place : kPlaces)
    {
      for (int i = 0; i < place.backends; i++)
        {
          backends.push_back (std::make_unique<Backend> (
              "i-" + std::to_string (backends.size ()), "desk", place.zone, 3,
              [] (const Request &request) {
                Backend::Answer answer;
                answer.work_ms = request.method == "POST" ? 600 : 300;
                answer.crashes = HasTrouble () && request.target == "/read/poison";
                return answer;
              }));
          store.Put ("servers", backends.back ()->id, backends.back ()->Entry ());
        }
      for (int i = 0; i < place.nodes; i++)
        nodes.push_back (std::make_unique<NodeRunner> (
            "edge-" + std::string (place.zone) + "-" + std::to_string (i + 1), place.zone,
            static_cast<int> (nodes.size ()), store.address ()));
    }
  for (auto &node : nodes)
    if (!node->WaitReady (15000))
      {
        Note ("%s isn't ready: the case can't run", node->vm.c_str ());
        return 2;
      }
  std::this_thread::sleep_for (6000ms); // all nodes are in touch

  // Crashed backends lose their port and connections, and are back after kBackAfterMs.
  std::atomic<bool> ending{ false };
  std::thread crashes ([&] {
    std::map<size_t, int> back_at_ms;
    while (!ending)
      {
        std::this_thread::sleep_for (1ms);
        for (size_t i = 0; i < backends.size (); i++)
          {
            if (backends[i]->crashed () && back_at_ms.count (i) == 0)
              {
                Note ("%s crashes, %d other requests at work", backends[i]->id.c_str (),
                      backends[i]->running ());
                backends[i]->Stop ();
                back_at_ms[i] = CaseMs () + kBackAfterMs;
              }
            if (back_at_ms.count (i) == 0 || CaseMs () < back_at_ms[i])
              continue;
            back_at_ms.erase (i);
            backends[i]->Restart ();
            store.Put ("servers", backends[i]->id, backends[i]->Entry ("ready", 3));
          }
      }
  });

  std::atomic<int> next_id{ 0 };
  std::atomic<int> answered{ 0 };
  std::atomic<int> lost_posts{ 0 };
  std::atomic<int> others{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; i++)
    clients.emplace_back ([&, i] {
      std::mt19937 random (static_cast<unsigned> (i));
      while (!ending)
        {
          NodeRunner &node = *nodes[random () % nodes.size ()];
          int number = next_id++;
          bool post = number % 3 == 0;
          std::string id = "q" + std::to_string (number);
          Connection connection (node.ip, node.front);
          connection.Send (post ? "POST" : "GET", post ? "/post/p" : "/read/q",
                           { { "X-Request-Id", id },
                             { "X-Deadline-Ms", post ? "6000" : "4000" },
                             { "Cookie", "X-Affinity-Key=" + std::to_string (random () % 24) } },
                           post ? "deposit" : "");
          Connection::Result result = connection.Receive (6000);
          answered += result.status == 200;
          others += result.status != 200;
          if (post && result.status == 502)
            {
              lost_posts++;
              Note ("client: %s POST gets 502", id.c_str ());
            }
          std::this_thread::sleep_for (std::chrono::milliseconds (1200 + random () % 400));
        }
    });
  std::this_thread::sleep_for (3000ms);

  std::mt19937 random (7);
  int start_ms = CaseMs ();
  for (int i = 0; CaseMs () < start_ms + kPoisonForMs; i++)
    {
      NodeRunner &node = *nodes[random () % nodes.size ()];
      Connection connection (node.ip, node.front);
      connection.Send ("GET", "/read/poison",
                       { { "X-Request-Id", "again-" + std::to_string (i) },
                         { "X-Deadline-Ms", "4000" } });
      Note ("client: GET /read/poison again-%d at %s gets %d", i, node.vm.c_str (),
            connection.Receive (4000).status);
      std::this_thread::sleep_for (std::chrono::milliseconds (kPoisonPeriodMs));
    }
  ending = true;
  for (std::thread &client : clients)
    client.join ();
  crashes.join ();

  std::vector<int> arrivals_ms;
  std::vector<int> crashes_ms;
  for (auto &backend : backends)
    for (const Backend::Arrival &arrival : backend->arrivals ())
      if (arrival.path == "/read/poison")
        {
          arrivals_ms.push_back (arrival.at_ms);
          if (arrival.crashed)
            crashes_ms.push_back (arrival.at_ms);
        }
  std::sort (crashes_ms.begin (), crashes_ms.end ());
  int late = 0;
  for (int arrival_ms : arrivals_ms)
    late += crashes_ms.size () >= kCrashesCounted
            && arrival_ms > crashes_ms[kCrashesCounted - 1] + kStableWindowMs;
  Note ("answered with 200: %d, others: %d; posts that ended with 502: %d", answered.load (),
        others.load (), lost_posts.load ());
  Note ("/read/poison reached backends %zu times and crashed %zu; %d times later than %d ms after "
        "its third crash",
        arrivals_ms.size (), crashes_ms.size (), late, kStableWindowMs);
  if (arrivals_ms.size () < kCrashesCounted || answered < 100)
    return 2;
  bool broken = late > kRetriesMax;
  Note (broken ? "BUDGET is broken" : "BUDGET held");
  return broken ? 1 : 0;
}
