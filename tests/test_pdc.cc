#include <glib.h>
#include <uv.h>

extern "C"
{
#include "pdc.h"
}

#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <string>

namespace
{
const AccSecret kSecret = { { 1 } };
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

// A configuration with these accounts, a route with a priority of 1, and a public one.
RteTable *
WithAccounts (const std::string &accounts, Err *err)
{
  std::string public_route = "{\"host\":\"h\",\"path-prefix\":\"/p/"
                             "\",\"service\":\"desk\",\"priority\":1,\"public\":true}";
  std::string text = "{\"version\":\"r12\",\"routes\":{\"a\":" + std::string (kRoute) + ",\"p\":"
                     + public_route + "}," + kServices + ",\"tenants\":" + accounts + "}";
  return pdc_parse_table (text.c_str (), &kSecret, err);
}

const AccAccount *
FindByKey (const RteTable *table, const std::string &key)
{
  AccDigest digest = acc_digest (&kSecret, key.data (), key.size ());
  return acc_find (table->accounts, &digest);
}

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
  RteTable *table = pdc_parse_table (Table (kRoute).c_str (), &kSecret, &err);
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
    EXPECT_EQ (pdc_parse_table (text.c_str (), &kSecret, &err), nullptr) << text;
}

// Guards against a critical message of the JSON library, which ends the process where criticals are
// fatal. Found by fuzzing.
TEST (Pdc, StickyOfAnotherTypeCountsAsMissing)
{
  static int criticals = 0;
  GLogFunc previous = g_log_set_default_handler (
      [] (const gchar *, GLogLevelFlags, const gchar *, gpointer) { criticals++; }, nullptr);
  for (const char *value : { "[]", "{}", "null", "\"true\"" })
    {
      Err err = {};
      std::string route = std::string ("{\"host\":\"h\",\"path-prefix\":\"/a/\",\"sticky\":")
                          + value + ",\"service\":\"desk\"}";
      RteTable *table = pdc_parse_table (Table (route).c_str (), &kSecret, &err);
      ASSERT_NE (table, nullptr) << value;
      EXPECT_FALSE (rte_match (table, "h", 1, "/a/", 3)->sticky) << value;
      rte_unref (table);
    }
  g_log_set_default_handler (previous, nullptr);
  EXPECT_EQ (criticals, 0);
}

TEST (Pdc, UnknownKindIsNotIdempotent)
{
  Err err = {};
  RteTable *table = pdc_parse_table (
      Table ("{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"new\",\"service\":\"desk\"}")
          .c_str (),
      &kSecret, &err);
  ASSERT_NE (table, nullptr);
  EXPECT_FALSE (rte_is_idempotent (rte_match (table, "h", 1, "/a/", 3)));
  rte_unref (table);
}

TEST (Pdc, ParsesAccounts)
{
  Err err = {};
  RteTable *table = WithAccounts ("{\"kaje80\":{\"api-keys\":[\"dedev3nax7u27gxprymh\","
                                  "\"2rrytapjsujqurtyiikd\"],\"priority\":0,"
                                  "\"rate-per-s\":456.5,\"burst\":400,\"allowed-regions\":[\"x\"]},"
                                  "\"free\":{\"api-keys\":[\"k3\"],\"allowed-regions\":[]},"
                                  "\"slow\":{\"api-keys\":[],\"rate-per-s\":0.00001,\"burst\":0}}",
                                  &err);
  ASSERT_NE (table, nullptr) << err.text;
  ASSERT_NE (table->accounts, nullptr);
  const AccAccount *account = FindByKey (table, "2rrytapjsujqurtyiikd");
  ASSERT_NE (account, nullptr);
  EXPECT_EQ (FindByKey (table, "dedev3nax7u27gxprymh"), account);
  EXPECT_STREQ (account->name, "kaje80");
  EXPECT_EQ (account->hash, acc_hash ("kaje80"));
  EXPECT_TRUE (account->has_priority);
  EXPECT_EQ (account->priority, 0u);
  EXPECT_EQ (account->rate_mps, 456500u);
  EXPECT_EQ (account->burst, 400u);
  EXPECT_TRUE (acc_allows_region (account, "x"));
  EXPECT_FALSE (acc_allows_region (account, "y"));
  EXPECT_EQ (table->top_priority, 0u);
  const AccAccount *free = FindByKey (table, "k3");
  ASSERT_NE (free, nullptr);
  EXPECT_FALSE (free->has_priority);
  EXPECT_EQ (free->rate_mps, 0u);
  EXPECT_TRUE (acc_allows_region (free, "y"));
  EXPECT_EQ (free->invalid_field, nullptr);
  const AccAccount *slow = acc_find_name (table->accounts, "slow");
  EXPECT_EQ (slow->rate_mps, 1u) << "a limit above 0 must not become none";
  EXPECT_EQ (slow->burst, 1u) << "no request passes a bucket that holds no token";
  EXPECT_FALSE (rte_match (table, "h", 1, "/a/", 3)->is_public);
  EXPECT_TRUE (rte_match (table, "h", 1, "/p/", 3)->is_public);
  rte_unref (table);
}

TEST (Pdc, ConfigurationWithoutAccountsHasNoTableOfThem)
{
  Err err = {};
  for (const char *accounts : { "{}", "null" })
    {
      RteTable *table = WithAccounts (accounts, &err);
      ASSERT_NE (table, nullptr) << err.text;
      EXPECT_EQ (table->accounts, nullptr);
      rte_unref (table);
    }
}

// Guards against a configuration in which it is not certain who holds a key, and against one that
// turns authentication off because it cannot be read. No error names a key.
TEST (Pdc, RejectsAccountsWithInvalidKeys)
{
  for (const char *accounts :
       { "{\"one\":{\"api-keys\":[\"\"]}}", "{\"one\":{\"api-keys\":[\"secret\",7]}}",
         "{\"one\":{\"api-keys\":\"secret\"}}", "{\"one\":[\"secret\"]}", "[\"secret\"]",
         "\"secret\"",
         "{\"two\":{\"api-keys\":[\"secret\"]},\"one\":{\"api-keys\":[\"other\",\"secret\"]}}",
         "{\"a b\":{\"api-keys\":[\"secret\"]}}", "{\"\":{\"api-keys\":[\"secret\"]}}",
         "{\"one\\r\\nX: y\":{\"api-keys\":[\"secret\"]}}" })
    {
      Err err = {};
      EXPECT_EQ (WithAccounts (accounts, &err), nullptr) << accounts;
      EXPECT_NE (err.code, 0) << accounts;
      EXPECT_EQ (strstr (err.text, "secret"), nullptr) << err.text;
      bool is_named = strstr (err.text, "one") != nullptr;
      EXPECT_TRUE (is_named || strstr (accounts, "\"one\":{") == nullptr) << err.text;
    }
}

TEST (Pdc, InvalidNumbersOfAnAccountCountAsMissing)
{
  const std::pair<const char *, const char *> cases[] = {
    { "\"rate-per-s\":-1", "rate-per-s" },
    { "\"rate-per-s\":\"many\"", "rate-per-s" },
    { "\"rate-per-s\":1e999", "rate-per-s" },
    { "\"rate-per-s\":[]", "rate-per-s" },
    { "\"rate-per-s\":5,\"burst\":-2", "burst" },
    { "\"rate-per-s\":5,\"burst\":true", "burst" },
    { "\"priority\":-1", "priority" },
    { "\"priority\":\"top\"", "priority" },
  };
  for (const auto &[fields, name] : cases)
    {
      Err err = {};
      RteTable *table
          = WithAccounts (std::string ("{\"one\":{\"api-keys\":[\"key\"],") + fields + "}}", &err);
      ASSERT_NE (table, nullptr) << err.text;
      const AccAccount *account = FindByKey (table, "key");
      EXPECT_STREQ (account->invalid_field, name) << fields;
      EXPECT_EQ (account->rate_mps, strcmp (name, "burst") == 0 ? 5000u : 0u) << fields;
      EXPECT_FALSE (account->has_priority);
      EXPECT_EQ (table->top_priority, 1u);
      rte_unref (table);
    }
}

// Guards against a list with an error that allows every region.
TEST (Pdc, InvalidRegionsOfAnAccountAllowNothing)
{
  for (const char *regions : { "[7]", "[\"\"]", "\"x\"", "{}", "[[\"x\"]]" })
    {
      Err err = {};
      RteTable *table = WithAccounts (
          std::string ("{\"one\":{\"api-keys\":[\"key\"],\"allowed-regions\":") + regions + "}}",
          &err);
      ASSERT_NE (table, nullptr) << err.text;
      EXPECT_FALSE (acc_allows_region (FindByKey (table, "key"), "x")) << regions;
      rte_unref (table);
    }
}

namespace
{
// `accounts` accounts with `keys` keys each: a0 has key-0-0, key-0-1, ...
std::string
ManyAccounts (int accounts, int keys)
{
  std::string text;
  for (int i = 0; i < accounts; i++)
    {
      std::string name = std::to_string (i);
      text += (i > 0 ? ",\"a" : "{\"a") + name + "\":{\"rate-per-s\":" + std::to_string (i + 1)
              + ",\"api-keys\":[";
      for (int k = 0; k < keys; k++)
        text += (k > 0 ? ",\"key-" : "\"key-") + name + "-" + std::to_string (k) + "\"";
      text += "]}";
    }
  return "{\"version\":\"r12\",\"tenants\":" + text + "},\"routes\":{\"a\":" + kRoute + "},"
         + kServices + "}";
}

// Reads in steps of `keys` keys, from a copy of the text that is freed after the first of them.
RteTable *
LoadInSteps (const std::string &text, uint32_t keys, int *steps, Err *err)
{
  auto copy = std::make_unique<std::string> (text);
  PacReader *reader = pac_new (copy->c_str (), &kSecret);
  PacState state = pac_step (reader, keys, err);
  pac_keep_text (reader);
  copy.reset ();
  for (*steps = 1; state == PAC_MORE; ++*steps)
    state = pac_step (reader, keys, err);
  RteTable *table = state == PAC_DONE ? pdc_finish_table (reader, err) : nullptr;
  pac_free (reader);
  return table;
}
}

// Guards against a step that reads more than its part: one stops the node for all its requests.
TEST (Pdc, StepsAreBoundedAndReadTheSameTable)
{
  for (auto [accounts, keys] : { std::pair{ 300, 4 }, std::pair{ 1, 3000 } })
    {
      Err err = {};
      int steps = 0;
      RteTable *table = LoadInSteps (ManyAccounts (accounts, keys), 20, &steps, &err);
      ASSERT_NE (table, nullptr) << err.text;
      EXPECT_GE (steps, (accounts * keys) / 21);
      EXPECT_EQ (table->accounts->accounts->len, (guint) accounts);
      for (int i = 0; i < accounts; i++)
        for (int k = 0; k < keys; k++)
          {
            const AccAccount *account
                = FindByKey (table, "key-" + std::to_string (i) + "-" + std::to_string (k));
            ASSERT_NE (account, nullptr) << i << " " << k;
            EXPECT_STREQ (account->name, ("a" + std::to_string (i)).c_str ());
            EXPECT_EQ (account->rate_mps, 1000u * (unsigned) (i + 1));
          }
      EXPECT_EQ (FindByKey (table, "key-0-" + std::to_string (keys)), nullptr);
      EXPECT_NE (rte_match (table, "h", 1, "/a/b", 4), nullptr);
      rte_unref (table);
    }
}

// Guards against a small configuration that comes into force later than in the turn it arrives in.
TEST (Pdc, EightyAccountsAreReadInOneStep)
{
  Err err = {};
  int steps = 0;
  RteTable *table = LoadInSteps (ManyAccounts (80, 2), LOAD_STEP_KEYS, &steps, &err);
  ASSERT_NE (table, nullptr) << err.text;
  EXPECT_EQ (steps, 1);
  rte_unref (table);
}

// Guards against a cut or damaged object that is put in force without some of its accounts.
TEST (Pdc, DamagedAccountsRejectTheWholeObject)
{
  std::string text = ManyAccounts (3, 2);
  int steps = 0;
  for (size_t size = 0; size < text.size (); size++)
    {
      Err err = {};
      EXPECT_EQ (LoadInSteps (text.substr (0, size), 2, &steps, &err), nullptr) << size;
      EXPECT_EQ (std::string (err.text).find ("key-"), std::string::npos);
    }
  for (const char *accounts :
       { "{\"one\":{\"api-keys\":[\"a\",]}}", "{\"one\":{\"api-keys\":[\"a\" \"b\"]}}",
         "{\"one\":{\"api-keys\":[\"a\"],}}", "{\"one\":{\"api-keys\":[\"a\"]},}",
         "{\"one\":{\"api-keys\":[\"a\"]}\"two\":{}}", "{\"one\":{\"api-keys\":[,\"a\"]}}",
         "{one:{\"api-keys\":[\"a\"]}}", "{\"one\"{\"api-keys\":[\"a\"]}}",
         "{\"one\":{\"api-keys\":[\"a\"],\"burst\":tru}}",
         "{\"one\":{\"api-keys\":[\"\\ud800\"]}}}", "{\"one\":{\"api-keys\":[\"\xff\"]}}",
         "{\"one\":{\"api-keys\":[\"a\"]},\"one\":{\"api-keys\":[\"b\"]}}",
         "{\"one\":{\"api-keys\":[\"a\"],\"api-keys\":[\"b\"]}}",
         "{\"one\":{\"api-keys\":[\"a\"],\"api-keys\":7}}",
         "{\"one\":{\"api-keys\":[\"a\"]}},\"tenants\":{\"two\":{}}" })
    {
      Err err = {};
      EXPECT_EQ (WithAccounts (accounts, &err), nullptr) << accounts;
    }
  Err err = {};
  EXPECT_EQ (pdc_parse_table ((text + "}").c_str (), &kSecret, &err), nullptr);
}

// Guards against names and keys that are compared as they are written.
TEST (Pdc, EscapesInNamesAndKeysAreDecoded)
{
  Err err = {};
  std::string text = ManyAccounts (1, 1);
  for (auto [plain, escaped] :
       { std::pair{ "tenants", "tenant\\u0073" }, std::pair{ "api-keys", "api\\u002dkeys" },
         std::pair{ "key-0-0", "key\\u002d0-\\u0030" } })
    text.replace (text.find (plain), strlen (plain), escaped);
  RteTable *table = pdc_parse_table (text.c_str (), &kSecret, &err);
  ASSERT_NE (table, nullptr) << err.text;
  ASSERT_NE (table->accounts, nullptr);
  EXPECT_NE (FindByKey (table, "key-0-0"), nullptr);
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

// An ID is sent in a header: a line end in it would add a header of its own to each request.
TEST (Pdc, RejectsRegistrationWhoseIdIsNoHeaderValue)
{
  const char text[] = "{\"service\":\"s\",\"address\":\"1.1.1.1:1\",\"zone\":\"z\",\"slots\":6,"
                      "\"state\":\"ready\"}";
  UpsRecord record;
  Err err = {};
  for (const char *id : { "i-1", "a&b c", "\xc3\xa9" })
    EXPECT_TRUE (pdc_parse_upstream (id, text, &record, &err)) << id;
  for (const std::string &id :
       { std::string (), std::string (" a"), std::string ("a "), std::string ("a\r\nb"),
         std::string ("a\tb"), std::string ("a\x7f"), std::string (64, 'n') })
    EXPECT_FALSE (pdc_parse_upstream (id.c_str (), text, &record, &err)) << id;
}
