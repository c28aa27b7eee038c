// Configuration: propagation to all entries, monotonic revisions, conflicts, invalid input.
#include "cluster.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <set>
#include <sstream>

namespace
{

constexpr int kPropagationMaxMs = 5000;

long
ConfigRevision (Cluster &cluster, const std::string &vm)
{
  return atol (JsonField (cluster.Dump (vm), "config_revision").c_str ());
}

std::string
ServiceValue (Cluster &cluster)
{
  std::string output;
  cluster.Ctl ({ "get", "teams/t/services/desk" }, "", &output);
  size_t at = output.find ("\"value\":") + strlen ("\"value\":");
  return output.substr (at, output.rfind ('}') - at);
}

TEST (Configuration, AcceptedChangeReachesAllEntriesInTime)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  ASSERT_TRUE (cluster.Put ("platform/blocks/more",
                            R"({"schema":1,"zone":"vis-b","blocks":["10.9.0.0/16"]})"));
  long start = NowMs ();
  for (const std::string &vm : cluster.Entries ())
    while (NowMs () - start < 2 * kPropagationMaxMs)
      {
        std::string body
            = cluster.Http ("GET", cluster.EntryAddr (vm), "/lookup?service=desk&addr=10.9.0.1")
                  .body;
        if (JsonField (body, "group") == "vis-b")
          break;
        SleepMs (20);
      }
  EXPECT_LT (NowMs () - start, kPropagationMaxMs);
}

TEST (Configuration, EntryStartedDuringAStoreOutageGetsConfigFromPeers)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  long before = ConfigRevision (cluster, "e0");
  cluster.SetStoreFault ("mode=silent");
  cluster.Signal ("entry-e1", SIGKILL);
  cluster.WaitExit ("entry-e1", 2000);
  cluster.Signal ("steer-e1", SIGKILL);
  cluster.WaitExit ("steer-e1", 2000);
  cluster.StartSteer ("e1");
  cluster.StartEntry ("e1");
  long end = NowMs () + 3 * kPropagationMaxMs;
  while (NowMs () < end && JsonField (cluster.Dump ("e1"), "state") != "serving")
    SleepMs (100);
  EXPECT_EQ ("serving", JsonField (cluster.Dump ("e1"), "state"));
  EXPECT_GE (ConfigRevision (cluster, "e1"), before);
  EXPECT_EQ ("0", JsonField (cluster.Dump ("e1"), "config_errors"));
}

TEST (Configuration, RevisionNeverDecreasesAcrossRestartsAndOutages)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  long highest[3] = {};
  for (int round = 0; round < 6; round++)
    {
      if (round % 2 == 0)
        cluster.Put ("platform/blocks/r" + std::to_string (round),
                     R"({"schema":1,"zone":"vis-b","blocks":["10.8.)" + std::to_string (round)
                         + R"(.0/24"]})");
      cluster.SetStoreFault (round % 3 == 1 ? "mode=refuse" : "mode=ok");
      std::string steer = "steer-e" + std::to_string (round % 3);
      cluster.Signal (steer, SIGKILL);
      cluster.WaitExit (steer, 2000);
      cluster.StartSteer ("e" + std::to_string (round % 3));
      for (int i = 0; i < 10; i++)
        {
          for (int e = 0; e < 3; e++)
            {
              long now = ConfigRevision (cluster, "e" + std::to_string (e));
              EXPECT_GE (now, highest[e]);
              highest[e] = std::max (highest[e], now);
            }
          SleepMs (50);
        }
    }
}

TEST (Configuration, SecondChangeOfTheSameVersionIsAConflict)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  std::string output;
  cluster.Ctl ({ "get", "teams/t/services/desk" }, "", &output);
  std::string version = JsonField (output, "version");
  std::string value = ServiceValue (cluster);
  std::vector<std::string> command
      = { "apply", "teams/t/services/desk", "--if-version=" + version };
  EXPECT_EQ (0, cluster.Ctl (command, value, &output)) << output;
  EXPECT_EQ (3, cluster.Ctl (command, value, &output)) << output;
  EXPECT_NE (std::string::npos, output.find ("conflict"));
}

TEST (Configuration, InvalidInputIsRejectedAndChangesNothing)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  std::string before = ServiceValue (cluster);
  std::string output;
  EXPECT_EQ (4, cluster.Ctl ({ "set", "teams/t/services/desk" }, "{\"schema\":1}", &output));
  EXPECT_NE (std::string::npos, output.find ("field 'upstreams' is missing")) << output;
  EXPECT_EQ (2, cluster.Ctl ({ "set", "platform/regions/x", "--team=t" }, "{}", &output));
  EXPECT_NE (std::string::npos, output.find ("may change paths under teams/t/ only")) << output;
  EXPECT_EQ (4, cluster.Ctl ({ "drain", "zone", "nowhere" }, "", &output));
  EXPECT_EQ (2, cluster.Ctl ({ "fly" }, "", &output));
  EXPECT_EQ (2, cluster.Ctl ({ "drain", "zone" }, "", &output));
  EXPECT_EQ (before, ServiceValue (cluster));
}

TEST (Configuration, UnresponsiveStoreIsReported)
{
  Cluster cluster ({});
  std::string output;
  cluster.SetStoreFault ("mode=silent");
  EXPECT_EQ (5, cluster.Ctl ({ "list" }, "", &output));
  EXPECT_NE (std::string::npos, output.find ("no answer"));
}

TEST (Configuration, InvalidStoredObjectIsReportedAndOthersStayInUse)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  std::string output;
  cluster.PutUnchecked ("teams/t/services/bad", "{\"schema\":9}");
  SleepMs (1500);
  cluster.Ctl ({ "effective" }, "", &output);
  EXPECT_NE (std::string::npos, output.find ("refused teams/t/services/bad")) << output;
  Report report = cluster.Load ({ "--rate=50", "--seconds=1" });
  EXPECT_EQ (report["requests"], report["ok"]);
}

// Metric names in a text, without the suffixes of histogram samples.
std::set<std::string>
MetricNames (const std::string &text)
{
  std::set<std::string> names;
  std::regex pattern ("cardamom_(entry|steer)_[a-z0-9_]+");
  for (std::sregex_iterator it (text.begin (), text.end (), pattern), end; it != end; ++it)
    names.insert (std::regex_replace (it->str (), std::regex ("_(bucket|sum|count)$"), ""));
  return names;
}

TEST (Configuration, OperatorsPageListsExactlyTheExportedMetrics)
{
  Cluster cluster ({});
  ASSERT_TRUE (cluster.WaitServing ());
  std::ifstream page ("docs/OPERATIONS.md");
  std::stringstream text;
  text << page.rdbuf ();
  std::string running = cluster.Http ("GET", cluster.EntryAddr ("e0"), "/metrics").body
                        + cluster.Http ("GET", cluster.SteerHttp ("e0"), "/metrics").body;
  EXPECT_EQ (MetricNames (running), MetricNames (text.str ()));
}

} // namespace
