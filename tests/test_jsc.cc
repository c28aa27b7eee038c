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
  return JscSpan{ text.data (), text.data () + text.size (), nullptr };
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

// Guards against an index that changes the values found: the text is read with and without it.
TEST (Jsc, IndexedTextHasTheSameMembers)
{
  std::string large (5000, 'x');
  std::string text = "{\"a\":[{\"spec\":{\"text\":\"" + large + "\\\"]}\"},\"n\":1}],\"b\":[[[[[[\""
                     + large + "\"]]]]]],\"c\":2}";
  JscIndex index;
  jsc_index_start (&index, text.data (), text.size ());
  int steps = 1;
  while (!jsc_index_step (&index, 100))
    steps++;
  EXPECT_GT (steps, 2);
  EXPECT_GT (index.count, 3u);
  JscSpan span = Span (text);
  span.index = &index;
  JscSpan contents;
  JscSpan indexed_contents;
  ASSERT_TRUE (jsc_open (Span (text), &contents));
  ASSERT_TRUE (jsc_open (span, &indexed_contents));
  JscMember members[] = { { "a", {} }, { "b", {} }, { "c", {} }, { "d", {} } };
  JscMember indexed_members[] = { { "a", {} }, { "b", {} }, { "c", {} }, { "d", {} } };
  jsc_members (contents, members, 4);
  jsc_members (indexed_contents, indexed_members, 4);
  for (int i = 0; i < 4; i++)
    {
      EXPECT_EQ (members[i].value.at, indexed_members[i].value.at) << i;
      EXPECT_EQ (members[i].value.end, indexed_members[i].value.end) << i;
    }
  EXPECT_EQ (Text (members[2].value), "2");
}

// Guards against reads outside the text at unbalanced brackets and open strings.
TEST (Jsc, IndexOfAnInvalidTextEnds)
{
  for (const std::string &text :
       { std::string ("]]]}}"), std::string ("[[[[[[[[[["), "\"" + std::string (9000, 'x'),
         std::string (9000, '['), std::string (9000, ']'), std::string ("") })
    {
      JscIndex index;
      jsc_index_start (&index, text.data (), text.size ());
      while (!jsc_index_step (&index, 7))
        continue;
      EXPECT_EQ (index.at, index.end);
    }
}
