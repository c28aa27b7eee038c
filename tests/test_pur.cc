// Platform URLs: targets of calls to the store.
#include <glib.h>

extern "C"
{
#include "pur.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
std::string
Take (char *text)
{
  std::string copy = text;
  g_free (text);
  return copy;
}
}

TEST (Pur, PagesOfAList)
{
  EXPECT_EQ (Take (pur_list ("servers", false, nullptr)), "/objects/servers?");
  EXPECT_EQ (Take (pur_list ("servers", true, nullptr)), "/objects/servers?allow-stale=1&");
  EXPECT_EQ (Take (pur_list ("servers", true, "i-7.x_y~")),
             "/objects/servers?allow-stale=1&after=i-7.x_y~");
}

// Any name is one value of the query, whatever its bytes and its length.
TEST (Pur, NamesArePercentEncoded)
{
  EXPECT_EQ (Take (pur_list ("servers", false, "a&b=c+d#e f%g/\r\n\xc3\xa9")),
             "/objects/servers?after=a%26b%3Dc%2Bd%23e%20f%25g%2F%0D%0A%C3%A9");
  std::string name (5000, '&');
  std::string url = Take (pur_list ("servers", false, name.c_str ()));
  EXPECT_EQ (url.size (), std::string ("/objects/servers?after=").size () + 3 * name.size ());
}

TEST (Pur, Watch)
{
  EXPECT_EQ (Take (pur_watch ("servers", 18446744073709551615u, 600)),
             "/objects/servers?watch=18446744073709551615&wait-ms=600");
}
