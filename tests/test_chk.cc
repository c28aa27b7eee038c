// cardamomctl check: each file has one mistake, which must be found at its path; files without
// mistakes, differences between versions, exit codes and output.
#include <glib.h>

#include "fakes.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace
{
const char kRoute[] = "\"host\":\"shop.example\",\"path-prefix\":\"/pay/\",\"kind\":\"idempotent\","
                      "\"timeout-s\":2,\"goal-s\":0.5,\"attempts\":2,\"priority\":1,"
                      "\"allowed-regions\":[\"east\"],\"service\":\"desk\"";
const char kServices[] = "\"desk\":{\"health-path\":\"/health\",\"cold-per-s\":6}";
const char kAccount[] = "\"one\":{\"api-keys\":[\"secret-1\"],\"rate-per-s\":5,\"burst\":5}";

struct Result
{
  int code;
  std::string out;
};

// Replaces `from`, which must be in the text, or appends `to` if `from` is empty.
std::string
Replace (std::string text, const std::string &from, const std::string &to)
{
  size_t at = from.empty () ? text.size () : text.find (from);
  EXPECT_NE (at, std::string::npos) << from;
  return at == std::string::npos ? text : text.replace (at, from.size (), to);
}

std::string
ConfigurationText (const std::string &routes, const std::string &services,
                   const std::string &accounts, const std::string &version = "r7",
                   const std::string &limits = "\"idle-timeout-s\":15")
{
  return "{\"version\":\"" + version + "\",\n\"routes\":{" + routes + "},\n\"services\":{"
         + services + "},\n\"limits\":{" + limits + "},\n\"tenants\":{" + accounts + "}}";
}

std::string
PayRoute (const std::string &fields)
{
  return "\"pay\":{" + fields + "}";
}

std::string
ValidText ()
{
  return ConfigurationText (PayRoute (kRoute), kServices, kAccount);
}

class ConfigurationCheck : public ::testing::Test
{
protected:
  ConfigurationCheck ()
  {
    char directory[] = "/tmp/cardamom-chk-XXXXXX";
    directory_ = mkdtemp (directory);
  }

  ~ConfigurationCheck () override
  {
    for (const char *name : { "new", "old" })
      unlink ((directory_ + "/" + name).c_str ());
    rmdir (directory_.c_str ());
  }

  std::string
  File (const std::string &name, const std::string &text)
  {
    std::ofstream (directory_ + "/" + name) << text;
    return directory_ + "/" + name;
  }

  static Result
  Command (const std::string &arguments)
  {
    std::string command = std::string (PROGRAMS_DIR "/cardamomctl check ") + arguments + " 2>&1";
    FILE *pipe = popen (command.c_str (), "r");
    Result run = {};
    char piece[4096];
    for (size_t size; (size = fread (piece, 1, sizeof piece, pipe)) > 0;)
      run.out.append (piece, size);
    run.code = WEXITSTATUS (pclose (pipe));
    return run;
  }

  Result
  CheckText (const std::string &text)
  {
    return Command (File ("new", text));
  }

  Result
  Compare (const std::string &before, const std::string &after)
  {
    return Command (File ("new", after) + " --against=" + File ("old", before));
  }

  std::string directory_;
};

// `finding` is the beginning of the only line of the output that reports one.
struct Mistake
{
  const char *name;
  std::string text;
  std::string finding;
};

void
PrintTo (const Mistake &mistake, std::ostream *out)
{
  *out << mistake.name;
}

std::string
RouteWith (const std::string &from, const std::string &to)
{
  return ConfigurationText (PayRoute (Replace (kRoute, from, to)), kServices, kAccount);
}

std::string
AccountWith (const std::string &from, const std::string &to)
{
  return ConfigurationText (PayRoute (kRoute), kServices, Replace (kAccount, from, to));
}

std::string
Split (const std::string &destinations)
{
  return RouteWith ("\"service\":\"desk\"", "\"split\":[" + destinations + "]");
}

const Mistake kErrors[] = {
  { "NotJson", Replace (ValidText (), "\"limits\":{", "\"limits\":{{"),
    "error line 4: not valid JSON" },
  { "NoObject", "[1]", "error: expected an object" },
  { "TooDeep", std::string (100, '[') + std::string (100, ']'), "error: nested deeper" },
  { "NoRoutes", Replace (ValidText (), "\"routes\"", "\"roads\""), "error routes: missing" },
  { "BadVersion", Replace (ValidText (), "r7", "7"), "error version: expected the letter r" },
  { "NoHost", RouteWith ("\"host\":\"shop.example\",", ""), "error routes.pay.host: missing" },
  { "RouteIsNoObject", ConfigurationText (PayRoute (kRoute) + ",\"b\":7", kServices, kAccount),
    "error routes.b: expected an object" },
  { "TimeoutIsText", RouteWith ("\"timeout-s\":2", "\"timeout-s\":\"2\""),
    "error routes.pay.timeout-s: expected a number" },
  { "TimeoutIsZero", RouteWith ("\"timeout-s\":2", "\"timeout-s\":0"),
    "error routes.pay.timeout-s: expected a number from" },
  { "AttemptsNegative", RouteWith ("\"attempts\":2", "\"attempts\":-1"),
    "error routes.pay.attempts: expected a number from" },
  { "AttemptsFraction", RouteWith ("\"attempts\":2", "\"attempts\":1.5"),
    "error routes.pay.attempts: expected a whole number" },
  { "AttemptsHuge", RouteWith ("\"attempts\":2", "\"attempts\":1e300"),
    "error routes.pay.attempts: expected a whole number" },
  { "RegionsAreText", RouteWith ("[\"east\"]", "\"east\""),
    "error routes.pay.allowed-regions: expected an array of strings" },
  { "NoService", RouteWith (",\"service\":\"desk\"", ""), "error routes.pay: has neither" },
  { "WeightsSumToZero", Split ("{\"service\":\"desk\",\"weight\":0.0}"),
    "error routes.pay.split: the weights sum to zero" },
  { "LongService",
    ConfigurationText (PayRoute (kRoute)
                           + ",\"b\":{\"host\":\"h\",\"path-prefix\":\"/\",\"service\":\""
                           + std::string (64, 's') + "\"}",
                       kServices, kAccount),
    "error routes.b: a service's name has at most 63 bytes" },
  { "BodyLimitNegative",
    ConfigurationText (PayRoute (kRoute), kServices, kAccount, "r7", "\"max-body-bytes\":-5"),
    "error limits.max-body-bytes: expected a number from" },
  { "EmptyKey", AccountWith ("secret-1", ""), "error tenants.one.api-keys: key 0 is empty" },
  { "SharedKey",
    ConfigurationText (PayRoute (kRoute), kServices,
                       std::string (kAccount) + ",\"two\":{\"api-keys\":[\"secret-1\"]}"),
    "error tenants.two.api-keys: key 0 is also a key of account one" },
  { "AccountName", AccountWith ("\"one\"", "\"o ne\""),
    "error tenants[\"o ne\"]: an account's name has" },
  { "RateIsText", AccountWith ("\"rate-per-s\":5", "\"rate-per-s\":\"5\""),
    "error tenants.one.rate-per-s: expected a number" },
};

const Mistake kWarnings[] = {
  { "UnknownMember", RouteWith ("\"timeout-s\"", "\"timeout\""),
    "warning routes.pay.timeout: unknown member" },
  { "RepeatedMember", RouteWith ("\"timeout-s\":2", "\"timeout-s\":1,\"timeout-s\":2"),
    "warning line 2: member \"timeout-s\" is repeated" },
  { "UnknownKind", RouteWith ("\"idempotent\"", "\"idempotnt\""),
    "warning routes.pay.kind: unknown kind" },
  { "ShadowedRoute",
    ConfigurationText (PayRoute (kRoute) + ",\"buy\":{"
                           + Replace (kRoute, "shop.example", "SHOP.example") + "}",
                       kServices, kAccount),
    "warning routes." },
  { "ShadowedRouteWithoutSlash",
    ConfigurationText (PayRoute (Replace (kRoute, "/pay/", "/pay")) + ",\"buy\":{"
                           + Replace (kRoute, "/pay/", "/pay") + "}",
                       kServices, kAccount),
    "warning routes." },
  { "HostWithPort", RouteWith ("shop.example", "shop.example:80"),
    "warning routes.pay.host: never matches" },
  { "HostPattern", RouteWith ("shop.example", "*.example"),
    "warning routes.pay.host: never matches" },
  { "EmptyHost", RouteWith ("shop.example", ""), "warning routes.pay.host: never matches" },
  { "PrefixWithoutSlash", RouteWith ("/pay/", "pay/"),
    "warning routes.pay.path-prefix: never matches" },
  { "PrefixWithBlank", RouteWith ("/pay/", "/p ay/"),
    "warning routes.pay.path-prefix: never matches" },
  { "TimeoutBelowObjective", RouteWith ("\"goal-s\":0.5", "\"goal-s\":2.5"),
    "warning routes.pay.goal-s: the objective, 2500 ms, is above the timeout, 2000 ms" },
  { "WeightOfZero",
    Split ("{\"service\":\"desk\",\"weight\":1.0},{\"service\":\"desk\",\"weight\":0}"),
    "warning routes.pay.split: element 1 gets no requests" },
  { "ServiceAndSplit",
    RouteWith ("\"service\":\"desk\"",
               "\"service\":\"desk\",\"split\":[{\"service\":\"desk\",\"weight\":1}]"),
    "warning routes.pay: has a service and a split" },
  { "UnknownService",
    ConfigurationText (PayRoute (kRoute) + ",\"b\":{"
                           + Replace (Replace (kRoute, "/pay/", "/b/"), "desk", "dek") + "}",
                       kServices, kAccount),
    "warning routes.b.service: service dek is not among the services" },
  { "UnusedService",
    ConfigurationText (PayRoute (kRoute), std::string (kServices) + ",\"old\":{}", kAccount),
    "warning services.old: no route leads" },
  { "BurstBelowOne", AccountWith ("\"burst\":5", "\"burst\":0.5"),
    "warning tenants.one.burst: less than one request" },
  { "BurstWithoutRate", AccountWith ("\"rate-per-s\":5", "\"rate-per-s\":0"),
    "warning tenants.one.burst: has no effect" },
  { "NoCommonRegion", AccountWith ("\"burst\":5", "\"burst\":5,\"allowed-regions\":[\"west\"]"),
    "warning tenants.one.allowed-regions: no region in common with 1 of the routes" },
  { "AccountWithoutKey", AccountWith ("\"secret-1\"", ""),
    "warning tenants.one.api-keys: without a key" },
};

class ErrorCheck : public ConfigurationCheck, public ::testing::WithParamInterface<Mistake>
{
};

class WarningCheck : public ConfigurationCheck, public ::testing::WithParamInterface<Mistake>
{
};

std::string
NameOf (const ::testing::TestParamInfo<Mistake> &info)
{
  return info.param.name;
}
}

// Guards against a mistake that isn't found, or is reported more than once or elsewhere.
TEST_P (ErrorCheck, MistakeIsTheOnlyFinding)
{
  Result run = CheckText (GetParam ().text);
  EXPECT_EQ (run.code, 1);
  EXPECT_EQ (run.out.rfind (GetParam ().finding, 0), 0u) << run.out;
  EXPECT_NE (run.out.find ("\nerrors=1 "), std::string::npos) << run.out;
  EXPECT_EQ (run.out.find ("secret-1"), std::string::npos) << run.out;
}

INSTANTIATE_TEST_SUITE_P (Files, ErrorCheck, ::testing::ValuesIn (kErrors), NameOf);

// Guards against a part without effect that isn't found, or that makes the check fail.
TEST_P (WarningCheck, MistakeIsTheOnlyFinding)
{
  Result run = CheckText (GetParam ().text);
  EXPECT_EQ (run.code, 0);
  EXPECT_EQ (run.out.rfind (GetParam ().finding, 0), 0u) << run.out;
  EXPECT_NE (run.out.find ("\nerrors=0 warnings=1 changes=0\n"), std::string::npos) << run.out;
}

INSTANTIATE_TEST_SUITE_P (Files, WarningCheck, ::testing::ValuesIn (kWarnings), NameOf);

TEST_F (ConfigurationCheck, FileWithoutMistakesHasNoFindings)
{
  for (const std::string &text :
       { ValidText (), Configuration (7, "", "\"timeout-s\":3,\"goal-s\":0.5"),
         Split ("{\"service\":\"desk\",\"weight\":0.5},{\"service\":\"desk\",\"weight\":1}") })
    {
      Result run = CheckText (text);
      EXPECT_EQ (run.code, 0);
      // The usual configuration of the tests has a service that no route uses.
      std::string unused = "warning services.other: no route leads to this service\n";
      if (run.out.rfind (unused, 0) == 0)
        run.out = Replace (run.out.substr (unused.size ()), "warnings=1", "warnings=0");
      EXPECT_EQ (run.out, "errors=0 warnings=0 changes=0\n");
    }
}

// Guards against changes that six digits don't show.
TEST_F (ConfigurationCheck, SmallChangeOfALargeRateIsReported)
{
  auto with_rate = [] (const char *rate) {
    return ConfigurationText (
        "\"/pay\":{" + std::string (kRoute) + "}", kServices,
        Replace (kAccount, "\"rate-per-s\":5", std::string ("\"rate-per-s\":") + rate));
  };
  Result run = Compare (with_rate ("1234570"), with_rate ("1234567.25"));
  EXPECT_NE (run.out.find ("account one: rate 1234570 to 1234567.25 requests/s"), std::string::npos)
      << run.out;
}

TEST_F (ConfigurationCheck, DifferencesAreInAnOperatorsTerms)
{
  std::string routes
      = "\"/pay\":{" + Replace (kRoute, "\"timeout-s\":2", "\"timeout-s\":1.5") + "}";
  std::string before = ConfigurationText ("\"/pay\":{" + std::string (kRoute) + "},\"gone\":{"
                                              + Replace (kRoute, "/pay/", "/gone/") + "}",
                                          kServices, kAccount);
  std::string after
      = ConfigurationText (routes, Replace (kServices, ":6", ":8"),
                           Replace (Replace (kAccount, "\"rate-per-s\":5", "\"rate-per-s\":7.5"),
                                    "secret-1", "secret-2\",\"secret-3")
                               + ",\"two\":{\"api-keys\":[\"secret-1\"]}",
                           "r8", "\"idle-timeout-s\":20,\"max-body-bytes\":1000000");
  Result run = Compare (before, after);
  EXPECT_EQ (run.code, 0);
  EXPECT_EQ (run.out, "change: version r7 to r8\n"
                      "change: route /pay: timeout 2,000 to 1,500 ms\n"
                      "change: route gone: removed\n"
                      "change: service desk: rate of a cold upstream 6 to 8 requests/s\n"
                      "change: limits: request body 67,108,864 to 1,000,000 bytes\n"
                      "change: limits: timeout of idle callers 15,000 to 20,000 ms\n"
                      "change: account one: rate 5 to 7.5 requests/s\n"
                      "change: account two: added\n"
                      "change: account one: keys added 2, removed 1\n"
                      "change: account two: keys added 1, removed 0\n"
                      "errors=0 warnings=0 changes=10\n");
}

// Nodes keep what they have unless the version is higher, and the operator would wait for nothing.
TEST_F (ConfigurationCheck, VersionThatIsNotHigherIsAWarning)
{
  std::string newer = Replace (ValidText (), "r7", "r9");
  EXPECT_NE (Compare (newer, ValidText ()).out.find ("warning version: r7 is below r9"),
             std::string::npos);
  EXPECT_NE (Compare (ValidText (), ValidText ()).out.find ("warning version: r7 is the version"),
             std::string::npos);
}

TEST_F (ConfigurationCheck, FirstAccountTurnsAuthenticationOn)
{
  Result run = Compare (ConfigurationText (PayRoute (kRoute), kServices, ""),
                        ConfigurationText (PayRoute (kRoute), kServices, kAccount, "r8"));
  EXPECT_NE (run.out.find ("change: requests: API keys are required"), std::string::npos)
      << run.out;
}

TEST_F (ConfigurationCheck, InForceComparesWithTheNewestConfigurationOfTheStore)
{
  FakeStore store;
  store.Put ("config", "old", Replace (ValidText (), "r7", "r5"));
  store.Put ("config", "main", Replace (ValidText (), "\"attempts\":2", "\"attempts\":3"));
  store.Put ("config", "broken", "{\"version\":\"r99\"}");
  std::string file = File ("new", Replace (ValidText (), "r7", "r8"));
  Result run = Command (file + " --in-force --store=" + store.address ());
  EXPECT_EQ (run.code, 0);
  EXPECT_EQ (run.out, "change: version r7 to r8\nchange: route pay: attempts 3 to 2\n"
                      "errors=0 warnings=0 changes=2\n");
  store.SetMode (FakeStore::Mode::kUnavailable);
  EXPECT_EQ (Command (file + " --in-force --store=" + store.address ()).code, 5);
}

// Guards against a list that never ends because an object's name isn't percent-encoded in the
// request for the next page.
TEST_F (ConfigurationCheck, InForceReadsPastAnObjectWithAnOddName)
{
  FakeStore store;
  store.SetPageSize (1);
  store.Put ("config", "a&b #+%", "{\"service\":7}");
  store.Put ("config", "main", ValidText ());
  std::string file = File ("new", Replace (ValidText (), "r7", "r8"));
  Result run = Command (file + " --in-force --store=" + store.address ());
  EXPECT_EQ (run.code, 0);
  EXPECT_EQ (run.out, "change: version r7 to r8\nerrors=0 warnings=0 changes=1\n");
  EXPECT_LE (store.lists (), 2);
}

TEST_F (ConfigurationCheck, InForceEndsWhenTheStoreRepeatsAPage)
{
  FakeStore store;
  store.SetPageSize (1, FakeStore::Paging::kIgnoresCursor);
  store.Put ("config", "main", ValidText ());
  store.Put ("config", "other", "{}");
  std::string file = File ("new", Replace (ValidText (), "r7", "r8"));
  Result run = Command (file + " --in-force --store=" + store.address ());
  EXPECT_EQ (run.code, 0);
  EXPECT_NE (run.out.find ("change: version r7 to r8\n"), std::string::npos) << run.out;
  EXPECT_NE (run.out.find ("warning: "), std::string::npos) << run.out;
}

TEST_F (ConfigurationCheck, WrongUsageAndUnreadableFilesEndWithTwo)
{
  std::string file = File ("new", ValidText ());
  std::string broken = File ("old", "{");
  for (const std::string &arguments :
       { std::string (), directory_ + "/none", file + " --against=" + directory_ + "/none",
         file + " --against=" + broken, file + " --in-force",
         file + " --in-force --store=127.0.0.1:1 --against=" + file, file + " --output=xml",
         file + " --unknown" })
    {
      Result run = Command (arguments);
      EXPECT_EQ (run.code, 2) << arguments;
      EXPECT_FALSE (run.out.empty ()) << arguments;
    }
}

TEST_F (ConfigurationCheck, OutputIsJsonOnRequest)
{
  std::string file = File ("new", RouteWith ("\"timeout-s\":2", "\"timeout-s\":\"2\""));
  Result run = Command (file + " --output=json");
  EXPECT_EQ (run.code, 1);
  EXPECT_EQ (run.out, "{\"errors\":[{\"path\":\"routes.pay.timeout-s\",\"text\":\"expected a "
                      "number\"}],\"warnings\":[],\"changes\":[]}\n");
}

// A name from the file must not write to the operator's terminal.
TEST_F (ConfigurationCheck, ControlCharactersAreNotPrinted)
{
  Result run = CheckText (RouteWith ("\"timeout-s\"", "\"time\\u001b[2J\""));
  EXPECT_EQ (run.out.find ('\033'), std::string::npos);
  EXPECT_NE (run.out.find ("unknown member"), std::string::npos);
}
