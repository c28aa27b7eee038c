#include <glib.h>

extern "C"
{
#include "rte.h"
}

#include <cstring>
#include <gtest/gtest.h>
#include <random>
#include <string>

namespace
{
RteRoute *
AddRoute (RteTable *table, const char *name, const char *prefix)
{
  return rte_add_route (table, name, "host.example", prefix);
}

RteRoute *
Match (RteTable *table, const char *host, const char *path)
{
  return rte_match (table, host, strlen (host), path, strlen (path));
}
}

TEST (Rte, LongestPrefixOfTheHostWins)
{
  RteTable *table = rte_new (3);
  RteRoute *wide = AddRoute (table, "wide", "/a/");
  RteRoute *narrow = AddRoute (table, "narrow", "/a/b/");
  EXPECT_EQ (Match (table, "host.example", "/a/c"), wide);
  EXPECT_EQ (Match (table, "HOST.example:80", "/a/b/c"), narrow);
  EXPECT_EQ (Match (table, "host.example", "/a"), nullptr);
  EXPECT_EQ (Match (table, "other.example", "/a/b/c"), nullptr);
  EXPECT_EQ (Match (table, "host.example/a", "/b/c"), nullptr);
  rte_unref (table);
}

// The index must find the same routes as a linear search, also with prefixes that it does not hold.
TEST (Rte, MatchEqualsLinearSearchThroughAllRoutes)
{
  std::mt19937 random (5);
  RteTable *table = rte_new (1);
  auto path = [&random] (bool end_with_slash) {
    std::string text = random () % 9 == 0 ? "" : "/";
    for (uint32_t i = random () % 4; i > 0; i--)
      text += std::string (1 + random () % 2, (char) ('a' + random () % 3)) + "/";
    return end_with_slash || random () % 4 != 0 ? text : text + "a";
  };
  for (int i = 0; i < 300; i++)
    rte_add_route (table, "r", random () % 2 == 0 ? "one.example" : "Two.example",
                   path (false).c_str ());
  for (int i = 0; i < 3000; i++)
    {
      std::string host = random () % 2 == 0 ? "ONE.example:80" : "two.example";
      std::string requested = path (false) + "c";
      const RteRoute *best = nullptr;
      for (guint k = 0; k < table->routes->len; k++)
        {
          auto *route = (const RteRoute *) g_ptr_array_index (table->routes, k);
          if (g_ascii_strncasecmp (route->host, host.c_str (), strlen (route->host)) == 0
              && requested.compare (0, strlen (route->prefix), route->prefix) == 0
              && (best == nullptr || strlen (route->prefix) > strlen (best->prefix)))
            best = route;
        }
      EXPECT_EQ (Match (table, host.c_str (), requested.c_str ()), best) << host << requested;
    }
  rte_unref (table);
}

TEST (Rte, TopPriorityIsTheLowestNumberOfAllRoutes)
{
  RteTable *table = rte_new (1);
  rte_set_priority (table, AddRoute (table, "later", "/l/"), 2);
  rte_set_priority (table, AddRoute (table, "sooner", "/s/"), 1);
  EXPECT_EQ (table->top_priority, 1u);
  rte_unref (table);
}

TEST (Rte, TopPriorityIncludesThoseOfAccounts)
{
  RteTable *table = rte_new (1);
  rte_set_priority (table, AddRoute (table, "route", "/r/"), 2);
  AccTable *accounts = acc_new ();
  acc_add (accounts, "without");
  AccAccount *urgent = acc_add (accounts, "urgent");
  urgent->has_priority = true;
  urgent->priority = 1;
  rte_set_accounts (table, accounts);
  EXPECT_EQ (table->top_priority, 1u);
  EXPECT_EQ (table->accounts, accounts);
  rte_unref (table);
}

TEST (Rte, EmptySetOfAccountsIsNone)
{
  RteTable *table = rte_new (1);
  rte_set_accounts (table, acc_new ());
  EXPECT_EQ (table->accounts, nullptr);
  rte_unref (table);
}

TEST (Rte, RequestsAreSplitByWeightAfterEachRequest)
{
  RteTable *table = rte_new (1);
  RteRoute *route = AddRoute (table, "split", "/s/");
  rte_add_destination (route, "big", 90);
  rte_add_destination (route, "small", 10);
  int small = 0;
  for (int i = 1; i <= 1000; i++)
    {
      small += strcmp (rte_choose_destination (route)->service, "small") == 0;
      EXPECT_NEAR (small, i * 0.1, 1.0);
    }
  rte_unref (table);
}

TEST (Rte, DestinationWithZeroWeightIsNeverChosen)
{
  RteTable *table = rte_new (1);
  RteRoute *route = AddRoute (table, "split", "/s/");
  rte_add_destination (route, "none", 0);
  EXPECT_EQ (rte_choose_destination (route), nullptr);
  rte_add_destination (route, "all", 5);
  for (int i = 0; i < 10; i++)
    EXPECT_STREQ (rte_choose_destination (route)->service, "all");
  rte_unref (table);
}

TEST (Rte, RouteWithoutRegionListAllowsEveryRegion)
{
  RteTable *table = rte_new (1);
  RteRoute *route = AddRoute (table, "r", "/r/");
  EXPECT_TRUE (rte_allows_region (route, "east"));
  route->regions = g_strsplit ("west,north", ",", -1);
  EXPECT_FALSE (rte_allows_region (route, "east"));
  EXPECT_TRUE (rte_allows_region (route, "north"));
  rte_unref (table);
}

// Guards against an upload that is sent to a second upstream after the first may have run it.
TEST (Rte, UploadsAreNotIdempotent)
{
  RteRoute upload = {};
  RteRoute download = {};
  upload.kind = RTE_UPLOAD;
  download.kind = RTE_DOWNLOAD;
  EXPECT_FALSE (rte_is_idempotent (&upload));
  EXPECT_TRUE (rte_is_idempotent (&download));
  EXPECT_TRUE (rte_has_large_bodies (&upload) && rte_has_large_bodies (&download));
}
