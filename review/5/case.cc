// All nodes are killed and start again while a backend leaves; one of them gets an older list.
#include "stage.h"
#include "store.h"

#include <csignal>
#include <random>

using namespace std::chrono_literals;

namespace
{
const int kDrainMs = 2500;
const int kStableWindowMs = 4000;
const int kStaleMs = 2000;
const int kLeavingServesMs = 14000;
const int kClients = 8;

struct Place
{
  const char *zone;
  int nodes;
  int backends;
};

const Place kPlaces[] = { { "norte-a", 2, 3 }, { "lisboa-a", 2, 3 }, { "algarve-a", 2, 2 },
                          { "norte-b", 2, 3 }, { "lisboa-b", 2, 3 }, { "algarve-b", 1, 2 } };
}

int
main ()
{
  signal (SIGPIPE, SIG_IGN);
  Store store;
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
                return Backend::Answer{ .work_ms = request.method == "POST" ? 700 : 250 };
              }));
          store.Put ("servers", backends.back ()->id, backends.back ()->Entry ());
        }
      for (int i = 0; i < place.nodes; i++)
        nodes.push_back (std::make_unique<NodeRunner> (
            "edge-" + std::string (place.zone) + "-" + std::to_string (i + 1), place.zone,
            static_cast<int> (nodes.size ()), store.address ()));
    }
  auto all_ready = [&] {
    for (auto &node : nodes)
      if (!node->WaitReady (15000))
        {
          Note ("%s isn't ready: the case can't run", node->vm.c_str ());
          return false;
        }
    return true;
  };
  if (!all_ready ())
    return 2;
  std::this_thread::sleep_for (3000ms);

  // A backend of norte leaves; it is one of those that never report draining.
  Backend &leaving = *backends[0];
  NodeRunner &behind = *nodes[1];
  store.Delete ("servers", leaving.id);
  int ack_ms = CaseMs ();
  Note ("store: the entry of %s is gone; it serves on for %d ms", leaving.id.c_str (),
        kLeavingServesMs);
  std::this_thread::sleep_for (500ms);
  if (HasTrouble ())
    {
      for (auto &node : nodes)
        node->Signal (SIGKILL);
      for (auto &node : nodes)
        WaitUntil (2000, [&] { return node->Exit () != -1; });
      Note ("all %zu nodes are killed", nodes.size ());
      std::this_thread::sleep_for (300ms);
      for (auto &node : nodes)
        if (node.get () != &behind)
          node->Start ();
      int lists = store.lists ("servers");
      WaitUntil (3000, [&] { return store.lists ("servers") >= lists + 10; });
      store.SetStaleAge (kStaleMs);
      lists = store.lists ("servers");
      behind.Start ();
      WaitUntil (3000, [&] { return store.lists ("servers") > lists; });
      Note ("all have started again; %s got a list that is %d ms old", behind.vm.c_str (), kStaleMs);
      std::this_thread::sleep_for (200ms);
      store.SetStaleAge (0);
    }
  if (!all_ready ())
    return 2;
  int ready_ms = CaseMs ();

  std::atomic<bool> ending{ false };
  std::atomic<int> next_id{ 0 };
  std::atomic<int> answered{ 0 };
  std::atomic<int> lost_posts{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; i++)
    clients.emplace_back ([&, i] {
      std::mt19937 random (static_cast<unsigned> (i));
      while (!ending)
        {
          NodeRunner &node = i % 2 == 0 ? behind : *nodes[random () % nodes.size ()];
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
          if (post && result.status != 200 && result.status != 503)
            {
              lost_posts++;
              Note ("client: %s POST at %s gets %d", id.c_str (), node.vm.c_str (), result.status);
            }
          std::this_thread::sleep_for (100ms);
        }
    });
  std::this_thread::sleep_for (std::chrono::milliseconds (ack_ms + kLeavingServesMs - CaseMs ()));
  int at_work = leaving.running ();
  leaving.Stop ();
  Note ("%s exits, %d requests at work", leaving.id.c_str (), at_work);
  std::this_thread::sleep_for (1000ms);
  ending = true;
  for (std::thread &client : clients)
    client.join ();

  // In touch: the processes ran for stable-window-s.
  int from_ms = std::max (ack_ms + kDrainMs, HasTrouble () ? ready_ms + kStableWindowMs : 0);
  int late = 0;
  for (const Backend::Arrival &arrival : leaving.arrivals ())
    {
      if (arrival.rejected || arrival.at_ms <= from_ms)
        continue;
      late++;
      Note ("%s got %s %s %d ms after the store's ack", leaving.id.c_str (),
            arrival.method.c_str (), arrival.request_id.c_str (), arrival.at_ms - ack_ms);
    }
  Note ("answered with 200: %d; posts that ended without a promise: %d", answered.load (),
        lost_posts.load ());
  Note ("requests at %s later than %d ms after the ack, by machines in touch: %d",
        leaving.id.c_str (), kDrainMs, late);
  if (answered < 50)
    return 2;
  Note (late > 0 ? "DRAIN is broken" : "DRAIN held");
  return late > 0 ? 1 : 0;
}
