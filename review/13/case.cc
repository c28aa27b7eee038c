// The directory after a machine was lost for good: does another machine that was suspended for some
// seconds bring it back?
#include "deployment.h"

#include <csignal>

using namespace deployment;

static const double stable_window_s = 4;
static const double freeze_after_s = 1;
static const double freeze_s = 4;
static const double observed_s = 12;
static const int allowed_answers = 3;

int
main ()
{
  static const char *const zones[]
      = { "tirol-inn", "tirol-hall", "wien-sim", "wien-flo", "stmk-graz" };
  static const std::string service
      = "{\"health-path\":\"/health\",\"max-conns\":1500,\"protocol\":\"h1\",\"tls\":false,"
        "\"cold-start-s\":3.0,\"cold-per-s\":3.9}";
  const size_t others = 25;
  const size_t frozen = others;
  const size_t lost = others + 1;
  Store store;
  Nodes nodes;

  store.start ();
  store.put ("config", "main",
             "{\"version\":\"r7\",\"routes\":{\"r-fetch\":{\"host\":\"einsatz.example\","
             "\"path-prefix\":\"/fetch/\",\"kind\":\"idempotent\",\"timeout-s\":2.5,"
             "\"goal-s\":0.4,\"priority\":0,\"service\":\"messwert\",\"attempts\":2,"
             "\"sticky\":false,\"allowed-regions\":[]}},\"services\":{\"messwert\":"
                 + service
                 + "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
                   "\"header-timeout-s\":3,\"idle-timeout-s\":15}}");
  for (size_t i = 0; i < others; i++)
    nodes.start ("edge-" + std::to_string (i), zones[i % 5], store.address ());
  nodes.start ("edge-frozen", "stmk-leoben", store.address ());
  nodes.start ("edge-lost", "stmk-leoben", store.address ());
  if (!nodes.wait_ready (30))
    finish (2, "the nodes did not become ready", nodes);
  sleep_s (8);
  if (nodes.look_up (0, "steiermark").find (nodes.front (lost)) == std::string::npos)
    finish (2, "the directory did not name the machine before it was lost", nodes);

  nodes.send_signal (lost, SIGKILL);
  double lost_s = now_s ();
  std::thread freeze ([&] {
    if (!trouble ())
      return;
    sleep_s (freeze_after_s);
    nodes.send_signal (frozen, SIGSTOP);
    sleep_s (freeze_s);
    nodes.send_signal (frozen, SIGCONT);
  });
  int asked = 0;
  int named = 0;
  int late = 0;
  double latest_s = 0;
  for (size_t i = 0; now_s () - lost_s < observed_s; i++)
    {
      size_t node = i % others;
      double after_s = now_s () - lost_s;
      std::string answer = nodes.look_up (node, "steiermark");
      bool names_lost = answer.find (nodes.front (lost)) != std::string::npos;
      asked += !answer.empty ();
      named += names_lost;
      record ("answered  %s, %.3f s after the loss: %s%s", nodes.name (node).c_str (), after_s,
              names_lost ? "names the lost machine: " : "", answer.c_str ());
      if (names_lost && after_s > stable_window_s + 3)
        {
          late++;
          latest_s = after_s;
        }
      sleep_s (0.02);
    }
  freeze.join ();
  if (!nodes.all_run () || asked < 100)
    finish (2, "a node has ended or the directory did not answer", nodes);
  char verdict[160];
  snprintf (verdict, sizeof verdict,
            "%d answers, %d named the lost machine, %d of them over %.0f s after its loss, the "
            "last one %.2f s after it",
            asked, named, late, stable_window_s + 3, latest_s);
  finish (late > allowed_answers ? 1 : 0, verdict, nodes);
}
