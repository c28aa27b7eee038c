// Trace of one request: its outcome as derived from the log lines.
#include <glib.h>
extern "C"
{
#include "trc.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
std::string
OutcomeOf (const std::string &log, const char *id)
{
  Trc trace;
  FILE *file = fmemopen (const_cast<char *> (log.data ()), log.size (), "r");
  trc_init (&trace, id);
  trc_read (&trace, file);
  char *outcome = trc_outcome (&trace);
  std::string text = outcome;
  g_free (outcome);
  trc_clear (&trace);
  fclose (file);
  return text;
}

const char kLog[]
    = "ts=3.100 level=info process=node vm=a event=request_failed id=x1 status=502 "
      "reason=answer_lost route=r sends=1\n"
      "ts=3.000 level=info process=node vm=a event=request_sent id=x1 upstream=u send=1\n"
      "ts=3.050 level=info process=node vm=b event=request_failed id=x12 status=503 "
      "reason=no_room route=r sends=0\n"
      "ts=4.000 level=info process=node vm=b event=request_sent id=x3 upstream=u send=1\n";
}

TEST (Trc, FailedRequestIsDescribedByItsReason)
{
  EXPECT_NE (OutcomeOf (kLog, "x1").find ("502 by a: the upstream's connection ended"),
             std::string::npos);
  EXPECT_NE (OutcomeOf (kLog, "x12").find ("no upstream that may take it had room"),
             std::string::npos);
}

TEST (Trc, MissingEndOrMissingRequestIsReported)
{
  EXPECT_NE (OutcomeOf (kLog, "x3").find ("no end is in the logs"), std::string::npos);
  EXPECT_NE (OutcomeOf (kLog, "x4").find ("not in the logs"), std::string::npos);
}
