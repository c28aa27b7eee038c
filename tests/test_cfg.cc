// Configuration: each invalid object is rejected with its reason; the others stay in effect.
#include <glib.h>
#include <rpc/rpc.h>
extern "C"
{
#include "cfg.h"
}
#include <gtest/gtest.h>
#include <string>

namespace
{

const char kRegion[] = R"({"schema":1,"zones":["a1","a2"],"max_inflight":100,"headroom_pct":10})";
const char kOtherRegion[] = R"({"schema":1,"zones":["b1"],"max_inflight":100})";
const char kService[]
    = R"({"schema":1,"upstreams":[{"id":"u1","addr":"127.0.0.1:1","zone":"a1","slots":6}]})";

class CfgTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    obj_init (&table_);
    Put ("platform/regions/a", kRegion);
    Put ("platform/regions/b", kOtherRegion);
    Put ("teams/t1/services/desk", kService);
  }
  void
  TearDown () override
  {
    obj_clear (&table_);
  }
  void
  Put (const std::string &path, const std::string &value)
  {
    obj_apply (&table_, path.c_str (), ++revision_, false, value.c_str ());
    obj_advance (&table_, revision_);
  }
  std::string
  Check (const std::string &path, const std::string &value)
  {
    Err err = {};
    return cfg_check_change (&table_, path.c_str (), value.c_str (), &err) ? "" : err.text;
  }
  void
  ExpectRejected (const std::string &path, const std::string &value, const std::string &reason)
  {
    EXPECT_NE (std::string::npos, Check (path, value).find (reason)) << Check (path, value);
  }
  ObjTable table_;
  uint64_t revision_ = 0;
};

TEST_F (CfgTest, BuildReadsZonesLinksBlocksAndServices)
{
  Put ("platform/links/a~b", R"({"schema":1,"bytes_per_s":35000000})");
  Put ("platform/blocks/x", R"({"schema":1,"zone":"b1","blocks":["10.2.0.0/16"]})");
  Cfg *cfg = cfg_build (&table_);
  EXPECT_EQ (0u, cfg->errors->len);
  EXPECT_EQ (3u, cfg->zones->len);
  EXPECT_EQ (35000000u, cfg->link_bytes_per_s[0][1]);
  EXPECT_EQ (1u, cfg->latency_ms[0][1]);
  EXPECT_EQ (35u, cfg->latency_ms[0][2]);
  EXPECT_EQ (2u, cfg_client_group (cfg, 0x0a020005));
  EXPECT_EQ (6u, g_array_index (cfg_service (cfg, "desk")->upstreams, CfgUpstream, 0).slots);
  cfg_free (cfg);
}

TEST_F (CfgTest, InvalidObjectIsSkippedAndListedInErrors)
{
  Put ("teams/t1/services/broken", R"({"schema":1,"upstreams":"none"})");
  Cfg *cfg = cfg_build (&table_);
  ASSERT_EQ (1u, cfg->errors->len);
  EXPECT_STREQ ("teams/t1/services/broken: field 'upstreams' must be a list",
                (char *) cfg->errors->pdata[0]);
  EXPECT_NE (nullptr, cfg_service (cfg, "desk"));
  cfg_free (cfg);
}

TEST_F (CfgTest, InvalidObjectIsRejectedWithReason)
{
  ExpectRejected ("teams/t1/services/x", "nonsense", "not a JSON object");
  ExpectRejected ("teams/t1/services/x", R"({"upstreams":[]})", "'schema' is missing");
  ExpectRejected ("teams/t1/services/x", R"({"schema":2,"upstreams":[]})", "'schema' is 2");
  ExpectRejected ("teams/t1/services/x", R"({"schema":1,"upstreams":[],"colour":1})",
                  "unknown field 'colour'");
  ExpectRejected ("teams/t1/services/x", R"({"schema":1,"upstreams":[],"shift_cap_pct":101})",
                  "accepted: 1..100");
  ExpectRejected ("teams/t1/services/x", R"({"schema":1,"upstreams":[],"store_down":"maybe"})",
                  "accepted: refuse|allow");
  ExpectRejected (
      "teams/t1/services/x",
      R"({"schema":1,"upstreams":[{"id":"u","addr":"127.0.0.1:1","zone":"zz","slots":1}]})",
      "unknown zone 'zz'");
  ExpectRejected ("platform/regions/c", R"({"schema":1,"zones":["a1"],"max_inflight":1})", "a1");
  ExpectRejected ("platform/links/a-b", R"({"schema":1,"bytes_per_s":5000})", "A~B");
  ExpectRejected ("platform/blocks/x", R"({"schema":1,"zone":"a1","blocks":["10.0.0.1/8"]})",
                  "10.0.0.1/8");
  ExpectRejected ("elsewhere/x", "{}", "not a configuration path");
  ExpectRejected ("teams/t1/x", "{}", "teams/TEAM/services/NAME");
}

TEST_F (CfgTest, TeamChangesOnlyItsOwnServices)
{
  ExpectRejected ("teams/t2/services/desk", kService, "declared by team 't1'");
  ExpectRejected ("teams/t2/drains/x", R"({"schema":1,"kind":"vm","target":"u1"})",
                  "in this team's services");
  ExpectRejected ("teams/t1/drains/x", R"({"schema":1,"kind":"zone","target":"a1"})",
                  "own services only");
  EXPECT_EQ ("", Check ("teams/t1/drains/x", R"({"schema":1,"kind":"vm","target":"u1"})"));
}

TEST_F (CfgTest, GuaranteesOverRegionLimitAreRejectedWithSum)
{
  const char *big = R"({"schema":1,"upstreams":[],"guaranteed_inflight":{"a":60}})";
  EXPECT_EQ ("", Check ("teams/t1/services/one", big));
  Put ("teams/t1/services/one", big);
  ExpectRejected ("teams/t2/services/two", big, "sums to 120");
  ExpectRejected ("teams/t2/services/two", big, "= 90");
}

TEST_F (CfgTest, RebuildSharesBlockTableUntilBlockChanges)
{
  Put ("platform/blocks/x", R"({"schema":1,"zone":"b1","blocks":["10.2.0.0/16"]})");
  Put ("platform/blocks/y", R"({"schema":1,"zone":"b1","blocks":["bad"]})");
  Cfg *first = cfg_build (&table_);
  Put ("teams/t1/services/other", R"({"schema":1,"upstreams":[]})");
  Cfg *second = cfg_rebuild (&table_, first);
  EXPECT_EQ (first->blocks, second->blocks);
  EXPECT_EQ (first->errors->len, second->errors->len);
  Put ("platform/blocks/x", R"({"schema":1,"zone":"a1","blocks":["10.2.0.0/16"]})");
  Cfg *third = cfg_rebuild (&table_, second);
  EXPECT_NE (second->blocks, third->blocks);
  cfg_free (first);
  cfg_free (second);
  EXPECT_EQ (0u, cfg_client_group (third, 0x0a020005));
  cfg_free (third);
}

TEST_F (CfgTest, DrainMarksZonesAndVmStateMarksUpstreams)
{
  Put ("platform/drains/d", R"({"schema":1,"kind":"region","target":"a"})");
  Put ("vms/u1", R"({"schema":1,"role":"upstream","zone":"a1","state":"leaving"})");
  Cfg *cfg = cfg_build (&table_);
  EXPECT_TRUE (cfg_zone (cfg, 0)->drained);
  EXPECT_TRUE (cfg_zone (cfg, 1)->drained);
  EXPECT_FALSE (cfg_zone (cfg, 2)->drained);
  EXPECT_TRUE (g_array_index (cfg_service (cfg, "desk")->upstreams, CfgUpstream, 0).leaving);
  cfg_free (cfg);
}

} // namespace
