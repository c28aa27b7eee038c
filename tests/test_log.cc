// Logger: lines stay within their buffer.
extern "C"
{
#include "log.h"
}
#include <gtest/gtest.h>
#include <string>

// Guards against writes past the line buffer: the common part alone was longer than the buffer.
TEST (Log, LongNamesAreTruncatedWithinTheLine)
{
  for (size_t size = 1900; size < 2200; size += 10)
    {
      std::string vm (size, 'v');
      std::FILE *out = std::tmpfile ();
      Log log = { out, LOG_INFO, "node", vm.c_str (), nullptr };

      log_event (&log, LOG_INFO, "started", "port=%d", 1);

      std::rewind (out);
      std::string line (8192, '\0');
      line.resize (std::fread (line.data (), 1, line.size (), out));
      std::fclose (out);
      EXPECT_EQ (0u, line.find ("ts=")) << size;
      EXPECT_LE (line.size (), 2048u) << size;
      EXPECT_EQ (line.size () - 1, line.find ('\n')) << size;
    }
}

// Guards against a line break in a value that forges a second line.
TEST (Log, LineBreaksInValuesBecomeBlanks)
{
  std::FILE *out = std::tmpfile ();
  Log log = { out, LOG_INFO, "node", "vm-1", nullptr };

  log_event (&log, LOG_INFO, "started", "path=%s", "a\r\nts=0 event=forged");

  std::rewind (out);
  std::string line (512, '\0');
  line.resize (std::fread (line.data (), 1, line.size (), out));
  std::fclose (out);
  EXPECT_EQ (line.size () - 1, line.find ('\n'));
  EXPECT_EQ (std::string::npos, line.find ('\r'));
}

// Guards against a name that writes to the terminal of whoever reads the log, or ends the line.
TEST (Log, ControlBytesInValuesBecomeBlanks)
{
  std::FILE *out = std::tmpfile ();
  Log log = { out, LOG_INFO, "node", "vm-1", nullptr };

  log_event (&log, LOG_INFO, "started", "name=%s", "a\x1b[2J\x7f\t\x01z");

  std::rewind (out);
  std::string line (512, '\0');
  line.resize (std::fread (line.data (), 1, line.size (), out));
  std::fclose (out);
  EXPECT_NE (line.find ("name=a [2J   z\n"), std::string::npos) << line;
}
