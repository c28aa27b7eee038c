// Kept values: which objects stay as they were when the store has returned from an older copy.
#include <glib.h>

extern "C"
{
#include "pkv.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
Obj
Known (const std::string &value)
{
  return Obj{ const_cast<char *> ("name"), 1, false, const_cast<char *> (value.c_str ()) };
}

const Obj kTombstone = { const_cast<char *> ("name"), 1, true, nullptr };

std::string
Registration (const std::string &state, const std::string &born = "")
{
  return "{\"service\":\"desk\",\"address\":\"127.0.0.1:80\",\"zone\":\"a\",\"slots\":4,\"state\":"
         "\""
         + state + "\"" + (born.empty () ? "" : ",\"born\":" + born) + "}";
}

bool
KeepsUpstream (const std::string &known, const std::string &copied)
{
  Obj obj = Known (known);
  return pkv_keeps_upstream (&obj, copied.c_str ());
}

bool
KeepsConfig (const std::string &known, const char *copied)
{
  Obj obj = Known (known);
  return pkv_keeps_config (&obj, copied);
}
}

TEST (KeptConfig, NewerVersionStays)
{
  EXPECT_TRUE (
      KeepsConfig (R"({"routes":{"version":"r9"},"version":"r7"})", R"({"version":"r6"})"));
  EXPECT_FALSE (KeepsConfig (R"({"version":"r7"})", R"({"version":"r7"})"));
  EXPECT_FALSE (KeepsConfig (R"({"version":"r7"})", R"({"version":"r10"})"));
}

TEST (KeptConfig, StaysWithoutAnotherOne)
{
  EXPECT_TRUE (KeepsConfig (R"({"version":"r7"})", nullptr));
  EXPECT_TRUE (KeepsConfig (R"({"version":"r7"})", "null"));
  EXPECT_FALSE (pkv_keeps_config (&kTombstone, R"({"version":"r7"})"));
}

TEST (KeptUpstream, ThatDrainsOrLeftIsNotReadyAgain)
{
  EXPECT_TRUE (KeepsUpstream (Registration ("draining"), Registration ("ready")));
  EXPECT_TRUE (KeepsUpstream (Registration ("draining", "5"), Registration ("ready", "5")));
  EXPECT_TRUE (pkv_keeps_upstream (&kTombstone, Registration ("ready", "5").c_str ()));
  EXPECT_FALSE (KeepsUpstream (Registration ("ready"), Registration ("draining")));
  EXPECT_FALSE (KeepsUpstream (Registration ("ready"), Registration ("ready")));
}

TEST (KeptUpstream, NewerIncarnationCounts)
{
  EXPECT_FALSE (KeepsUpstream (Registration ("draining", "5"), Registration ("ready", "6")));
  EXPECT_TRUE (KeepsUpstream (Registration ("ready", "6"), Registration ("ready", "5")));
  EXPECT_TRUE (KeepsUpstream (Registration ("ready", "6"), Registration ("draining", "5")));
}

// It is kept for a while by other means.
TEST (KeptUpstream, IsNotKeptWithoutARegistration)
{
  Obj known = Known (Registration ("ready"));
  EXPECT_FALSE (pkv_keeps_upstream (&known, nullptr));
  EXPECT_FALSE (KeepsUpstream (Registration ("ready"), "{}"));
}

// The number stands within "born", as both are plain members of the registration.
TEST (LateRegistration, IsTheOneWithTheLowerNumberOfAnIncarnation)
{
  std::string text = Registration ("draining", "1000,\"seq\":6");
  Obj known = Known (text);
  auto precedes = [&] (const std::string &born_and_number) {
    return pkv_precedes_upstream (&known, Registration ("ready", born_and_number).c_str ());
  };
  EXPECT_TRUE (precedes ("1000,\"seq\":5"));
  EXPECT_FALSE (precedes ("1000,\"seq\":7"));
  EXPECT_FALSE (precedes ("2000,\"seq\":1"));
  EXPECT_FALSE (pkv_precedes_upstream (&known, "{}"));
}

TEST (KeptEvacuation, StaysThatTheCopyLacksAndReturnsThatItHas)
{
  Obj known = Known ("{}");
  EXPECT_TRUE (pkv_keeps_evacuation (&known, nullptr));
  EXPECT_FALSE (pkv_keeps_evacuation (&known, "{}"));
  EXPECT_FALSE (pkv_keeps_evacuation (&kTombstone, "{}"));
}
