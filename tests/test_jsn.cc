#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "jsn.h"
#include "lim.h"
}

namespace
{
std::string
Nested (uint32_t depth)
{
  return "{\"a\":" + std::string (depth, '[') + std::string (depth, ']') + "}";
}

bool
IsParsed (const std::string &text)
{
  JsonNode *node = jsn_parse (text.data (), text.size ());
  bool parsed = node != nullptr;
  if (parsed)
    json_node_unref (node);
  return parsed;
}
}

// Guards against a text that ends each process that reads it: the parser's recursion exhausts the
// stack.
TEST (Jsn, TooDeeplyNestedTextIsRejected)
{
  EXPECT_TRUE (IsParsed (Nested (JSON_DEPTH_MAX - 1)));
  EXPECT_FALSE (IsParsed (Nested (JSON_DEPTH_MAX)));
  EXPECT_FALSE (IsParsed (Nested (200000)));
  EXPECT_FALSE (IsParsed ("{\"a\":" + std::string (200000, '[')));
}

TEST (Jsn, RootMustBeAnObject)
{
  EXPECT_TRUE (IsParsed ("{}"));
  EXPECT_FALSE (IsParsed ("[]"));
  EXPECT_FALSE (IsParsed ("\"\\ud800\""));
  EXPECT_FALSE (IsParsed ("{\"a\":\"\xff\xfe\"}"));
}
