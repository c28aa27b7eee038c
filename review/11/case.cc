// A backend leaves four seconds after the store has come back: do its requests end in time?
#include "deployment.h"

#include <deque>
#include <map>

using namespace deployment;

static const char host[] = "messwert.example";
static const double drain_s = 3;
static const double outage_s = 8;
// The store is stable again `stable-window-s` (4 s) after its return.
static const double leave_after_s = 4.2;
static const double observed_s = 8;
static const int rounds = 3;
static const int nodes_per_zone = 3;

int
main ()
{
  static const char *const zones[]
      = { "tirol-inn", "tirol-hall", "wien-sim", "wien-flo", "stmk-graz", "stmk-leoben" };
  Store store;
  Runs runs;
  Nodes nodes;
  std::deque<Backend> backends;
  std::map<std::string, double> left_s;
  std::atomic<bool> ended{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> senders;

  store.start ();
  store.put ("config", "main",
             "{\"version\":\"r7\",\"routes\":{\"r-fetch\":{\"host\":\"messwert.example\","
             "\"path-prefix\":\"/fetch/\",\"kind\":\"idempotent\",\"timeout-s\":2.5,"
             "\"goal-s\":0.4,\"priority\":0,\"service\":\"messwert\",\"attempts\":2,"
             "\"sticky\":true,\"allowed-regions\":[]}},\"services\":{\"messwert\":"
             "{\"health-path\":\"/health\",\"max-conns\":1500,\"protocol\":\"h1\",\"tls\":false,"
             "\"cold-start-s\":3.0,\"cold-per-s\":3.9}},\"limits\":{\"max-header-bytes\":16384,"
             "\"max-body-bytes\":67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15}}");
  for (int i = 0; i < 18; i++)
    backends.emplace_back (store, runs, "i-" + std::to_string (i), "messwert", zones[i % 6]);
  for (Backend &backend : backends)
    backend.start ();
  for (int i = 0; i < 6 * nodes_per_zone; i++)
    nodes.start ("edge-" + std::to_string (i), zones[i % 6], store.address ());
  if (!nodes.wait_ready (30))
    finish (2, "the nodes did not become ready", nodes);
  sleep_s (8);

  for (size_t node = 0; node < nodes.count (); node++)
    senders.emplace_back ([&, node] {
      for (int object = 0; !ended; object++)
        {
          std::string id = random_id ();
          Answer answer = send_request (nodes.front (node), "/fetch/x", host, id,
                                        "Cookie: X-Affinity-Key=" + std::to_string (object % 30),
                                        2.5);
          sent++;
          served += answer.status == 200;
          record ("answered  %s sent to %s at %.3f: %d", id.c_str (), nodes.name (node).c_str (),
                  answer.sent_s, answer.status);
          sleep_s (0.02);
        }
    });
  for (int round = 0; round < rounds; round++)
    {
      sleep_s (2);
      if (trouble ())
        store.set_down (true);
      sleep_s (outage_s);
      if (trouble ())
        store.set_down (false);
      sleep_s (leave_after_s);
      /* One backend of each region. */
      for (int i = 0; i < 3; i++)
        {
          Backend &backend = backends[(size_t) (round * 6 + i * 2)];
          left_s[backend.id] = backend.leave ();
        }
      sleep_s (observed_s);
    }
  ended = true;
  for (std::thread &sender : senders)
    sender.join ();
  if (!nodes.all_run () || served < sent * 9 / 10)
    finish (2, "a node has ended, or the requests were not served", nodes);

  int late = 0;
  double latest_s = 0;
  for (const Run &run : runs.all ())
    {
      auto left = left_s.find (run.backend);
      if (left == left_s.end () || run.at_s - left->second <= drain_s)
        continue;
      late++;
      latest_s = std::max (latest_s, run.at_s - left->second);
      record ("broken    %s reached %s %.3f s after the ack of its leaving", run.id.c_str (),
              run.backend.c_str (), run.at_s - left->second);
    }
  char verdict[200];
  snprintf (verdict, sizeof verdict,
            "%d requests, %d served; %d reached a backend later than %.0f s after the ack of its "
            "leaving, the last one %.2f s after it",
            sent.load (), served.load (), late, drain_s, latest_s);
  finish (late > 0 ? 1 : 0, verdict, nodes);
}
