#include <glib.h>
#include <uv.h>

extern "C"
{
#include "pdc.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
const std::string kServices = "\"services\":{\"desk\":{\"cold-per-s\":7.2}}";

std::string
Table (const std::string &route)
{
  return "{\"version\":\"r12\",\"routes\":{\"a\":" + route + "}," + kServices + "}";
}

const char kRoute[]
    = "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"download\",\"timeout-s\":2.5,"
      "\"goal-s\":0.6,\"priority\":1,\"attempts\":2,\"sticky\":true,\"allowed-regions\":[\"x\"],"
      "\"split\":[{\"service\":\"desk\",\"weight\":90},{\"service\":\"other\",\"weight\":10}]}";

bool
Upstream (const std::string &text, UpsRecord *record)
{
  Err err = {};
  return pdc_parse_upstream ("i-1", text.c_str (), record, &err);
}
}

TEST (Pdc, ParsesValidConfiguration)
{
  Err err = {};
  RteTable *table = pdc_parse_table (Table (kRoute).c_str (), &err);
  ASSERT_NE (table, nullptr) << err.text;
  EXPECT_EQ (table->version, 12u);
  const RteRoute *route = rte_match (table, "h", 1, "/a/b", 4);
  ASSERT_NE (route, nullptr);
  EXPECT_EQ (route->kind, RTE_DOWNLOAD);
  EXPECT_EQ (route->timeout_ms, 2500u);
  EXPECT_EQ (route->objective_ms, 600u);
  EXPECT_EQ (route->destinations->len, 2u);
  EXPECT_FALSE (rte_allows_region (route, "y"));
  EXPECT_DOUBLE_EQ (rte_find_service (table, "desk")->cold_per_s, 7.2);
  rte_unref (table);
}

TEST (Pdc, RejectsInvalidConfiguration)
{
  Err err = {};
  for (const std::string &text :
       { std::string ("{"), std::string ("[]"), std::string ("{}"), Table ("7"), Table ("{}"),
         std::string ("{\"version\":12,\"routes\":{}," + kServices + "}"),
         std::string ("{\"version\":\"x1\",\"routes\":{}," + kServices + "}") })
    EXPECT_EQ (pdc_parse_table (text.c_str (), &err), nullptr) << text;
}

TEST (Pdc, UnknownKindIsNotIdempotent)
{
  Err err = {};
  RteTable *table = pdc_parse_table (
      Table ("{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"new\",\"service\":\"desk\"}")
          .c_str (),
      &err);
  ASSERT_NE (table, nullptr);
  EXPECT_FALSE (rte_is_idempotent (rte_match (table, "h", 1, "/a/", 3)));
  rte_unref (table);
}

TEST (Pdc, ParsesValidRegistration)
{
  UpsRecord record;
  ASSERT_TRUE (
      Upstream ("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
                "\"state\":\"draining\",\"cold-left-s\":1.5,\"seq\":4,\"born\":1770626858}",
                &record));
  EXPECT_EQ (record.slots, 6u);
  EXPECT_TRUE (record.draining);
  EXPECT_EQ (record.cold_ms, 1500u);
  EXPECT_EQ (record.born_ms, 1770626858u);
}

TEST (Pdc, RejectsRegistrationWithMissingOrInvalidFields)
{
  UpsRecord record;
  for (const char *text :
       { "", "7", "[]", "{}", "{\"service\":\"s\"}",
         "{\"service\":\"s\",\"address\":\"x\",\"zone\":\"z\",\"slots\":6,\"state\":\"ready\"}",
         "{\"service\":\"s\",\"address\":\"1.1.1.1:1\",\"zone\":\"z\",\"slots\":\"6\",\"state\":"
         "\"ready\"}",
         "{\"service\":\"s\",\"address\":\"1.1.1.1:1\",\"zone\":\"z\",\"slots\":6,\"state\":"
         "\"up\"}",
         "{\"service\":\"s\",\"address\":\"1.1.1.1:0\",\"zone\":\"z\",\"slots\":6,\"state\":"
         "\"ready\"}",
         "{\"service\":\"s\",\"address\":\"1.1.1.1:99999\",\"zone\":\"z\",\"slots\":6,\"state\":"
         "\"ready\"}",
         "{\"service\":\"s\",\"address\":\"1.1.1.1:1\",\"zone\":\"z\",\"slots\":1e999,\"state\":"
         "\"ready\"}",
         "{\"service\":1,\"address\":\"1.1.1.1:1\",\"zone\":\"z\",\"slots\":6,\"state\":"
         "\"ready\"}" })
    EXPECT_FALSE (Upstream (text, &record)) << text;
}
