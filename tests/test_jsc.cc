#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C"
{
#include "jsc.h"
}

namespace
{
JscSpan
Span (const std::string &text)
{
  return JscSpan{ text.data (), text.data () + text.size () };
}

std::string
Text (JscSpan span)
{
  return std::string (span.at, span.end);
}

std::vector<std::string>
Elements (const std::string &text)
{
  std::vector<std::string> found;
  JscSpan contents;
  JscSpan value;
  if (jsc_open (Span (text), &contents))
    while (jsc_next_element (&contents, &value))
      found.push_back (Text (value));
  return found;
}

std::string
Member (const std::string &text, const char *name)
{
  JscSpan contents;
  JscSpan value;
  return jsc_open (Span (text), &contents) && jsc_member (contents, name, &value) ? Text (value)
                                                                                  : "";
}
}

TEST (Jsc, FindsMembersOfAnyType)
{
  std::string text = " { \"a\" : 1 , \"b\":\"x\\\"},\" ,\"c\":{\"d\":[1,2]}, \"e\":[ ] }";
  EXPECT_EQ (Member (text, "a"), "1 ");
  EXPECT_EQ (Member (text, "b"), "\"x\\\"},\"");
  EXPECT_EQ (Member (text, "c"), "{\"d\":[1,2]}");
  EXPECT_EQ (Member (text, "e"), "[ ]");
  EXPECT_EQ (Member (text, "d"), "");
  EXPECT_EQ (Member ("[1]", "a"), "");
}

TEST (Jsc, DividesArrayWithUnreadableElements)
{
  std::string bad = "{\"a\":\"\xff\xfe\",\"b\":\"\\ud800\"}";
  std::vector<std::string> found = Elements ("[1, " + bad + ",{\"c\":[[[]]]},\"]\"]");
  EXPECT_EQ (found, (std::vector<std::string>{ "1", bad, "{\"c\":[[[]]]}", "\"]\"" }));
  EXPECT_TRUE (Elements ("[ ]").empty ());
}

TEST (Jsc, RejectsTextWithoutEnd)
{
  JscSpan contents;
  for (const char *text : { "", "{", "[1,2", "{\"a\":\"}", "{\"a\\", "1", "\"a\"" })
    EXPECT_FALSE (jsc_open (Span (text), &contents)) << text;
  EXPECT_EQ (Member ("{\"a\"}", "a"), "");
  EXPECT_EQ (Member ("{\"a\":}", "a"), "");
}

TEST (Jsc, ReadsNumbersAndLiterals)
{
  EXPECT_EQ (jsc_uint (Span ("42,"), 7), 42u);
  EXPECT_EQ (jsc_uint (Span ("18446744073709551615"), 7), UINT64_MAX);
  EXPECT_EQ (jsc_uint (Span ("18446744073709551616"), 7), 7u);
  EXPECT_EQ (jsc_uint (Span ("-1"), 7), 7u);
  EXPECT_TRUE (jsc_is_true (Span ("true")));
  EXPECT_FALSE (jsc_is_true (Span ("false")));
}

TEST (Jsc, MeasuresDepthWithoutRecursion)
{
  std::string deep (1000000, '[');
  EXPECT_EQ (jsc_depth (Span (deep)), 1000000u);
  EXPECT_EQ (jsc_depth (Span ("{\"a\":[{}],\"b\":\"[[[[\"}")), 3u);
  EXPECT_EQ (jsc_depth (Span ("1")), 0u);
}
