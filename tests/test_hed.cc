#include <glib.h>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "hed.h"
}

namespace
{
std::string
Text (HedText text)
{
  return std::string (text.at, text.size);
}

std::string
Header (const Hed &head, const char *name)
{
  char *value = hed_header (&head, name);
  std::string text = value != nullptr ? value : "none";
  g_free (value);
  return text;
}

HedState
Read (const std::string &bytes)
{
  Hed head;
  return hed_read (bytes.data (), bytes.size (), &head);
}

std::string
Head (const std::string &lines)
{
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n";
}

bool
LacksBody (const std::string &lines, const std::string &body)
{
  std::string bytes = Head (lines) + body;
  Hed head;
  EXPECT_EQ (hed_read (bytes.data (), bytes.size (), &head), HED_READ) << lines;
  return hed_lacks_body (&head, bytes.data (), bytes.size ());
}
}

// Guards against values that differ from the server's, and against a decision on a part of a head.
TEST (Hed, ReadsARequestsHead)
{
  std::string bytes = "PUT /a/b?c=d HTTP/1.1\r\nhOST:  h.example:80 \r\nContent-Length: 12\r\n"
                      "Empty:\r\nX: 1\r\nx: 2\r\n\r\nbody";
  Hed head;
  ASSERT_EQ (hed_read (bytes.data (), bytes.size (), &head), HED_READ);
  EXPECT_EQ (Text (head.method), "PUT");
  EXPECT_EQ (Text (head.path), "/a/b?c=d");
  EXPECT_EQ (Text (head.host), "h.example:80");
  EXPECT_EQ (head.size, bytes.size () - 4);
  EXPECT_EQ (head.body_bytes, 12u);
  EXPECT_FALSE (head.is_chunked);
  EXPECT_EQ (Header (head, "x"), "1");
  EXPECT_EQ (Header (head, "empty"), "");
  EXPECT_EQ (Header (head, "absent"), "none");
  for (size_t size = 0; size < head.size; size++)
    EXPECT_EQ (hed_read (bytes.data (), size, &head), HED_INCOMPLETE) << size;
}

// Guards against a decision on a head that the server reads in another way.
TEST (Hed, AmbiguousHeadsAreUnusual)
{
  for (const std::string lines :
       { "Host: other\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n",
         "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "Content-Length: -1\r\n",
         "Content-Length: +1\r\n", "Content-Length: \r\n", "Transfer-Encoding: gzip, chunked\r\n",
         "X: 1\r\n folded: 2\r\n", "X : 1\r\n", "no colon\r\n", ": no name\r\n",
         "Content-Length: 99999999999999999999\r\n" })
    EXPECT_EQ (Read (Head (lines)), HED_UNUSUAL) << lines;
  for (const std::string bytes :
       { "GET h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
         "GET / HTTP/2.0\r\nHost: h\r\n\r\n", "GET /\r\nHost: h\r\n\r\n", "\r\n\r\n",
         "GET / HTTP/1.1\r\n\r\n", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
         "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n" })
    EXPECT_EQ (Read (bytes), HED_UNUSUAL) << bytes;
}

// Guards against a caller that adds a header to its response: the response to a rejected head
// repeats the request's id, and one with a line feed began a further line.
TEST (Hed, ControlCharactersAreUnusual)
{
  for (const std::string lines :
       { "X-Request-Id: a\nSet-Cookie: x=1\r\n", "X: a\rb\r\n", "Authorization: Bearer k\nX: 1\r\n",
         "X: a\x01\r\n", "X: a\x7f\r\n", "X: 1\n\r\n" })
    EXPECT_EQ (Read (Head (lines)), HED_UNUSUAL) << lines;
  EXPECT_NE (Read (Head (std::string ("X: a\0b\r\n", 9))), HED_READ);
  EXPECT_EQ (Read (Head ("X:\ta\tb\r\n")), HED_READ);
}

// Guards against checks of requests that have arrived whole, which are checked once more later.
TEST (Hed, KnowsWhetherTheBodyIsMissing)
{
  EXPECT_FALSE (LacksBody ("", ""));
  EXPECT_TRUE (LacksBody ("Content-Length: 3\r\n", "ab"));
  EXPECT_FALSE (LacksBody ("Content-Length: 3\r\n", "abc"));
  EXPECT_FALSE (LacksBody ("Content-Length: 3\r\n", "abcGET"));
  EXPECT_TRUE (LacksBody ("Transfer-Encoding: chunked\r\n", ""));
  EXPECT_TRUE (LacksBody ("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n"));
  EXPECT_FALSE (LacksBody ("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"));
}

// Guards against reads outside the bytes received, which the sanitizers' build reports.
TEST (Hed, DamagedHeadsStayWithinTheirBytes)
{
  const std::string usual = Head ("Content-Length: 12\r\nAuthorization: Bearer key\r\n") + "body";
  std::mt19937 random (7);
  for (int i = 0; i < 50000; i++)
    {
      std::string bytes = usual;
      for (int k = random () % 4; k >= 0; k--)
        {
          size_t at = random () % bytes.size ();
          switch (random () % 3)
            {
            case 0:
              bytes[at] = "\r\n: \t0\0HX"[random () % 9];
              break;
            case 1:
              bytes.erase (at, 1 + random () % 5);
              break;
            default:
              bytes.insert (at, bytes.substr (random () % bytes.size (), random () % 20));
            }
          if (bytes.empty ())
            bytes = "\r";
        }
      std::vector<char> exact (bytes.begin (), bytes.end ());
      Hed head;
      if (hed_read (exact.data (), exact.size (), &head) != HED_READ)
        continue;
      ASSERT_LE (head.size, exact.size ());
      ASSERT_GE (head.host.at, exact.data ());
      ASSERT_LE (head.host.at + head.host.size, exact.data () + head.size);
      hed_lacks_body (&head, exact.data (), exact.size ());
      g_free (hed_header (&head, "authorization"));
    }
}
