// JSON strings: decoding of any bytes.
#include <glib.h>

extern "C"
{
#include "jst.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
// "none" where the text is no string.
std::string
Decode (const std::string &text)
{
  GString *decoded = jst_decode (JscSpan{ text.data (), text.data () + text.size (), nullptr });
  if (decoded == nullptr)
    return "none";
  std::string out (decoded->str, decoded->len);
  g_string_free (decoded, TRUE);
  return out;
}
}

TEST (Jst, DecodesStrings)
{
  EXPECT_EQ (Decode ("\"\""), "");
  EXPECT_EQ (Decode ("\"i-7\""), "i-7");
  EXPECT_EQ (Decode (R"("\"\\\/\b\f\n\r\t")"), "\"\\/\b\f\n\r\t");
  EXPECT_EQ (Decode (R"("\u0041\u00e9\u20AC")"), "A\xc3\xa9\xe2\x82\xac");
  EXPECT_EQ (Decode (R"("\ud83d\ude00")"), "\xf0\x9f\x98\x80");
}

TEST (Jst, KeepsWhatIsNoText)
{
  EXPECT_EQ (Decode (R"("a\u0000b")"), std::string ("a\0b", 3));
  EXPECT_EQ (Decode ("\"\xff\xfe\""), "\xff\xfe");
  EXPECT_EQ (Decode (R"("\ud800")"), "\xed\xa0\x80");
  EXPECT_EQ (Decode (R"("\ud800\u0041")"), "\xed\xa0\x80"
                                           "A");
  EXPECT_EQ (Decode (R"("\q\u12")"), "qu12");
}

TEST (Jst, OtherValuesAreNoStrings)
{
  for (const char *text : { "", "\"", "5", "null", "[\"a\"]", "{}" })
    EXPECT_EQ (Decode (text), "none") << text;
}
