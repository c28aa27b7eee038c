#include <glib.h>

extern "C"
{
#include "rtt.h"
}

#include <cstring>
#include <gtest/gtest.h>

namespace
{
RttRoute *
AddRoute (RttTable *table, const char *name, const char *prefix)
{
  RttRoute *route = rtt_add_route (table, name);
  route->host = g_strdup ("host.example");
  route->prefix = g_strdup (prefix);
  return route;
}

RttRoute *
Match (RttTable *table, const char *host, const char *path)
{
  return rtt_match (table, host, strlen (host), path, strlen (path));
}
}

TEST (Rtt, TheLongestPrefixOfTheHostWins)
{
  RttTable *table = rtt_new (3);
  RttRoute *wide = AddRoute (table, "wide", "/a/");
  RttRoute *narrow = AddRoute (table, "narrow", "/a/b/");
  EXPECT_EQ (Match (table, "host.example", "/a/c"), wide);
  EXPECT_EQ (Match (table, "HOST.example:80", "/a/b/c"), narrow);
  EXPECT_EQ (Match (table, "host.example", "/a"), nullptr);
  EXPECT_EQ (Match (table, "other.example", "/a/b/c"), nullptr);
  rtt_unref (table);
}

TEST (Rtt, AnyRunOfRequestsKeepsTheWeights)
{
  RttTable *table = rtt_new (1);
  RttRoute *route = AddRoute (table, "split", "/s/");
  rtt_add_part (route, "big", 90);
  rtt_add_part (route, "small", 10);
  int small = 0;
  for (int i = 1; i <= 1000; i++)
    {
      small += strcmp (rtt_choose_part (route)->service, "small") == 0;
      EXPECT_NEAR (small, i * 0.1, 1.0);
    }
  rtt_unref (table);
}

TEST (Rtt, APartWithoutWeightIsNeverChosen)
{
  RttTable *table = rtt_new (1);
  RttRoute *route = AddRoute (table, "split", "/s/");
  rtt_add_part (route, "none", 0);
  EXPECT_EQ (rtt_choose_part (route), nullptr);
  rtt_add_part (route, "all", 5);
  for (int i = 0; i < 10; i++)
    EXPECT_STREQ (rtt_choose_part (route)->service, "all");
  rtt_unref (table);
}

TEST (Rtt, RegionsBindOnlyWhereSomeAreNamed)
{
  RttTable *table = rtt_new (1);
  RttRoute *route = AddRoute (table, "r", "/r/");
  EXPECT_TRUE (rtt_allows_region (route, "east"));
  route->regions = g_strsplit ("west,north", ",", -1);
  EXPECT_FALSE (rtt_allows_region (route, "east"));
  EXPECT_TRUE (rtt_allows_region (route, "north"));
  rtt_unref (table);
}
