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

// Target of the call for the page after that name.
std::string
PageAfter (const std::string &name, bool allow_stale)
{
  GString *after = g_string_new_len (name.data (), (gssize) name.size ());
  std::string url = Take (pur_list ("servers", allow_stale, after));
  g_string_free (after, TRUE);
  return url;
}
}

TEST (Pur, PagesOfAList)
{
  EXPECT_EQ (Take (pur_list ("servers", false, nullptr)), "/objects/servers?");
  EXPECT_EQ (Take (pur_list ("servers", true, nullptr)), "/objects/servers?allow-stale=1&");
  EXPECT_EQ (PageAfter ("i-7.x_y~", true), "/objects/servers?allow-stale=1&after=i-7.x_y~");
}

// Any name is one value of the query, whatever its bytes and its length.
TEST (Pur, NamesArePercentEncoded)
{
  EXPECT_EQ (PageAfter ("a&b=c+d#e f%g/\r\n\xc3\xa9", false),
             "/objects/servers?after=a%26b%3Dc%2Bd%23e%20f%25g%2F%0D%0A%C3%A9");
  EXPECT_EQ (PageAfter (std::string ("\0\xff", 2), false), "/objects/servers?after=%00%FF");
  EXPECT_EQ (PageAfter (std::string (5000, '&'), false).size (),
             std::string ("/objects/servers?after=").size () + 3 * 5000);
}

TEST (Pur, Objects)
{
  EXPECT_EQ (Take (pur_kind ("nodes")), "/objects/nodes");
  EXPECT_EQ (Take (pur_object ("nodes", "vm-1")), "/objects/nodes/vm-1");
  EXPECT_EQ (Take (pur_object ("nodes", "vm 1/?")), "/objects/nodes/vm%201%2F%3F");
}

TEST (Pur, Watch)
{
  EXPECT_EQ (Take (pur_watch ("servers", 18446744073709551615u, 600)),
             "/objects/servers?watch=18446744073709551615&wait-ms=600");
}
