// Loans: the sum of budgets in use never grows under lost, doubled and reordered messages.
#include <glib.h>
extern "C"
{
#include "lon.h"
}
#include <gtest/gtest.h>
#include <deque>
#include <random>

namespace
{

enum class Kind
{
  kRequest,
  kStatement
};

struct Message
{
  Kind kind;
  int borrower;
  uint64_t sequence;
  uint32_t slots;
};

struct Borrower
{
  uint64_t sequence = 0;
  uint32_t held = 0;
  bool asking = false;
  uint64_t asked = 0;
};

TEST (Lon, SumIsConservedUnderMessageFaults)
{
  for (uint32_t seed = 1; seed <= 3000; seed++)
    {
      std::mt19937 random (seed);
      LonBook book;
      lon_init (&book);
      BudHold lender = { 12, 0, 0, 0 };
      Borrower borrowers[3];
      std::deque<Message> network;
      for (int step = 0; step < 200; step++)
        {
          int b = random () % 3;
          Borrower &borrower = borrowers[b];
          switch (random () % 5)
            {
            case 0:
              if (!borrower.asking)
                {
                  borrower.asking = true;
                  borrower.asked = ++borrower.sequence;
                  network.push_back (
                      { Kind::kRequest, b, borrower.sequence, 1 + (uint32_t) random () % 4 });
                }
              break;
            case 1:
              borrower.held -= borrower.held > 0 ? random () % (borrower.held + 1) : 0;
              break;
            case 2:
              if (!borrower.asking)
                network.push_back ({ Kind::kStatement, b, ++borrower.sequence, borrower.held });
              break;
            case 3:
              borrower.asking = false; // the request timed out; its answer is dropped from now on
              break;
            default:
              if (network.empty ())
                break;
              size_t at = random () % network.size ();
              Message message = network[at];
              if (random () % 4 != 0)
                network.erase (network.begin () + (long) at); // else it arrives again later
              std::string name = "b" + std::to_string (message.borrower);
              if (message.kind == Kind::kStatement)
                {
                  lon_statement (&book, name.c_str (), 1, message.sequence, "s/z", &lender,
                                 message.slots);
                  break;
                }
              uint32_t got = lon_request (&book, name.c_str (), 1, message.sequence, "s/z", &lender,
                                          message.slots, false);
              Borrower &to = borrowers[message.borrower];
              if (to.asking && to.asked == message.sequence && random () % 3 != 0)
                {
                  to.held += got;
                  to.asking = false;
                }
            }
          uint32_t used = lender.plan - lender.lent;
          for (const Borrower &each : borrowers)
            used += each.held;
          ASSERT_LE (lender.lent, lender.plan) << "seed " << seed;
          ASSERT_LE (used, 12u) << "seed " << seed << " step " << step;
        }
      lon_clear (&book);
    }
}

TEST (Lon, StatementBringsBackWhatWasLostOnTheWay)
{
  LonBook book;
  lon_init (&book);
  BudHold lender = { 8, 0, 0, 0 };
  EXPECT_EQ (3u, lon_request (&book, "b", 1, 1, "s/z", &lender, 3, false));
  EXPECT_EQ (5u, bud_spare (&lender));
  lon_statement (&book, "b", 1, 2, "s/z", &lender, 0);
  EXPECT_EQ (8u, bud_spare (&lender));
  EXPECT_EQ (0u, lon_lent (&book, "b", 1, "s/z"));
  lon_clear (&book);
}

bool
OneIsGone (void *, const char *borrower, uint64_t incarnation)
{
  return std::string (borrower) == "b" && incarnation == 1;
}

BudHold *
OnlyHold (void *user, const char *)
{
  return static_cast<BudHold *> (user);
}

TEST (Lon, LoansOfAnEndedProcessComeBack)
{
  LonBook book;
  lon_init (&book);
  BudHold lender = { 8, 0, 0, 0 };
  lon_request (&book, "b", 1, 1, "s/z", &lender, 2, true);
  lon_request (&book, "b", 2, 1, "s/z", &lender, 3, true);
  LonSweep sweep = { OneIsGone, OnlyHold };
  lon_sweep (&book, &sweep, &lender);
  EXPECT_EQ (3u, lender.lent);
  EXPECT_EQ (3u, lon_lent (&book, "b", 2, "s/z"));
  lon_clear (&book);
}

TEST (Lon, DoubledRequestGrantsOnce)
{
  LonBook book;
  lon_init (&book);
  BudHold lender = { 8, 0, 0, 0 };
  EXPECT_EQ (2u, lon_request (&book, "b", 1, 1, "s/z", &lender, 2, false));
  EXPECT_EQ (0u, lon_request (&book, "b", 1, 1, "s/z", &lender, 2, false));
  EXPECT_EQ (2u, lender.lent);
  lon_clear (&book);
}

} // namespace
