// Head scanner: heads of HTTP/1 responses, however their bytes are divided.
extern "C"
{
#include "hsc.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
// Scans in pieces of that size; false when the bytes are no heads.
bool
Scan (const std::string &bytes, size_t piece, Hsc *hsc)
{
  hsc_start (hsc);
  for (size_t at = 0; at < bytes.size (); at += piece)
    if (!hsc_scan (hsc, bytes.data () + at, std::min (piece, bytes.size () - at)))
      return false;
  return true;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n";
}

TEST (Hsc, EndsWithTheLastHead)
{
  const std::string interim = "HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n";
  for (size_t piece : { (size_t) 1, (size_t) 3, (size_t) 1000 })
    {
      Hsc hsc;
      EXPECT_TRUE (Scan (interim, piece, &hsc));
      EXPECT_EQ (hsc.state, HSC_VERSION);
      EXPECT_TRUE (Scan (interim + kHead, piece, &hsc));
      EXPECT_EQ (hsc.state, HSC_DONE);
      EXPECT_EQ (hsc.status, 200u);
      EXPECT_TRUE (Scan (interim + kHead + "any \x01 body", piece, &hsc));
    }
}

TEST (Hsc, AnyPartOfAHeadIsValid)
{
  for (size_t size = 0; size < kHead.size (); size++)
    {
      Hsc hsc;
      EXPECT_TRUE (Scan (kHead.substr (0, size), 1, &hsc));
      EXPECT_NE (hsc.state, HSC_DONE);
    }
}

TEST (Hsc, StatusCodes)
{
  for (int status = 0; status < 1000; status++)
    {
      char head[64];
      Hsc hsc;
      snprintf (head, sizeof head, "HTTP/1.0 %03d\r\n\r\n", status);
      EXPECT_EQ (Scan (head, 1, &hsc), status >= 100 && status < 600 && status != 101) << status;
    }
}
