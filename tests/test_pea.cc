// Eras of the store: what a response's header says, and what peers know.
#include <glib.h>

extern "C"
{
#include "pea.h"
}

#include <cstdio>
#include <gtest/gtest.h>
#include <string>

namespace
{
class Eras : public testing::Test
{
protected:
  void
  SetUp () override
  {
    log_.out = tmpfile ();
    log_.process = "test";
    log_.vm = "vm";
    pea_init (&eras_, &log_);
  }

  void
  TearDown () override
  {
    fclose (log_.out);
  }

  PeaChange
  Note (const char *text)
  {
    UcnHeader header = { const_cast<char *> ("Store-Era"), const_cast<char *> (text) };
    GPtrArray *headers = g_ptr_array_new ();
    UcnResponse response = { 200, false, headers, nullptr };
    if (text != nullptr)
      g_ptr_array_add (headers, &header);
    PeaChange change = pea_note (&eras_, &response);
    g_ptr_array_unref (headers);
    return change;
  }

  int
  LoggedLines ()
  {
    int lines = 0;
    rewind (log_.out);
    for (int c = fgetc (log_.out); c != EOF; c = fgetc (log_.out))
      lines += c == '\n';
    return lines;
  }

  Pea eras_ = {};
  Log log_ = {};
};
}

TEST_F (Eras, RiseIsSeenOnce)
{
  EXPECT_EQ (Note ("7"), PEA_SAME);
  EXPECT_EQ (Note ("8"), PEA_ROSE);
  EXPECT_EQ (Note ("8"), PEA_SAME);
  EXPECT_EQ (eras_.era, 8u);
  EXPECT_EQ (LoggedLines (), 0);
}

TEST_F (Eras, FirstEraMayBeZero)
{
  EXPECT_EQ (Note ("0"), PEA_SAME);
  EXPECT_EQ (Note ("1"), PEA_ROSE);
}

TEST_F (Eras, LargeEraRises)
{
  EXPECT_EQ (Note ("1796600000000"), PEA_SAME);
  EXPECT_EQ (Note ("1796600000001"), PEA_ROSE);
}

TEST_F (Eras, HeaderThatCannotBeUsedChangesNothingAndIsLoggedOnce)
{
  Note ("3");
  for (const char *text : { "x", "-1", "", "4.5", "99999999999999999999999" })
    EXPECT_EQ (Note (text), PEA_SAME) << text;
  EXPECT_EQ (LoggedLines (), 1);
  EXPECT_EQ (Note (nullptr), PEA_SAME);
  EXPECT_EQ (Note (nullptr), PEA_SAME);
  EXPECT_EQ (LoggedLines (), 2);
  EXPECT_EQ (eras_.era, 3u);
}

TEST_F (Eras, FallIsLoggedOnceAndKeepsTheNewest)
{
  Note ("3");
  EXPECT_EQ (Note ("2"), PEA_FELL);
  EXPECT_EQ (Note ("2"), PEA_FELL);
  EXPECT_EQ (eras_.era, 3u);
  EXPECT_EQ (LoggedLines (), 1);
}

TEST_F (Eras, StoreWithoutErasIsNotLogged)
{
  EXPECT_EQ (Note (nullptr), PEA_SAME);
  EXPECT_EQ (eras_.era, 0u);
  EXPECT_EQ (LoggedLines (), 0);
}

TEST_F (Eras, PeersTellOfARise)
{
  Note ("3");
  EXPECT_FALSE (pea_note_peers (&eras_, 3));
  EXPECT_TRUE (pea_note_peers (&eras_, 4));
  EXPECT_EQ (Note ("4"), PEA_SAME);
}

// What peers know before the first response is no rise.
TEST_F (Eras, PeersTellOfTheFirstEra)
{
  EXPECT_FALSE (pea_note_peers (&eras_, 4));
  EXPECT_EQ (Note ("4"), PEA_SAME);
  EXPECT_EQ (Note ("3"), PEA_FELL);
}
