// Loans: the sum of the budgets never grows under lost, duplicated and reordered messages.
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
  uint32_t borrowed = 0;
  bool request_open = false;
  uint64_t request_sequence = 0;
};

TEST (Lon, SumNeverGrowsUnderMessageFaults)
{
  for (uint32_t seed = 1; seed <= 3000; seed++)
    {
      std::mt19937 random (seed);
      LonTable loans;
      lon_init (&loans);
      BudBalance lender = { 12, 0, 0, 0 };
      Borrower borrowers[3];
      std::deque<Message> network;
      for (int step = 0; step < 200; step++)
        {
          int b = random () % 3;
          Borrower &borrower = borrowers[b];
          switch (random () % 5)
            {
            case 0:
              if (!borrower.request_open)
                {
                  borrower.request_open = true;
                  borrower.request_sequence = ++borrower.sequence;
                  network.push_back (
                      { Kind::kRequest, b, borrower.sequence, 1 + (uint32_t) random () % 4 });
                }
              break;
            case 1:
              borrower.borrowed -= borrower.borrowed > 0 ? random () % (borrower.borrowed + 1) : 0;
              break;
            case 2:
              if (!borrower.request_open)
                network.push_back ({ Kind::kStatement, b, ++borrower.sequence, borrower.borrowed });
              break;
            case 3:
              // The request timed out; the borrower ignores a later reply.
              borrower.request_open = false;
              break;
            default:
              if (network.empty ())
                break;
              size_t position = random () % network.size ();
              Message message = network[position];
              // In one of four cases the message stays in the network and is delivered again.
              if (random () % 4 != 0)
                network.erase (network.begin () + (long) position);
              std::string name = "b" + std::to_string (message.borrower);
              if (message.kind == Kind::kStatement)
                {
                  lon_apply_statement (&loans, name.c_str (), 1, message.sequence, "s/z", &lender,
                                       message.slots);
                  break;
                }
              uint32_t granted = lon_grant (&loans, name.c_str (), 1, message.sequence, "s/z",
                                            &lender, message.slots, false);
              Borrower &requester = borrowers[message.borrower];
              if (requester.request_open && requester.request_sequence == message.sequence
                  && random () % 3 != 0)
                {
                  requester.borrowed += granted;
                  requester.request_open = false;
                }
            }
          uint32_t used = lender.plan - lender.lent;
          for (const Borrower &each : borrowers)
            used += each.borrowed;
          ASSERT_LE (lender.lent, lender.plan) << "seed " << seed;
          ASSERT_LE (used, 12u) << "seed " << seed << " step " << step;
        }
      lon_clear (&loans);
    }
}

TEST (Lon, StatementReclaimsSlotsOfLostReply)
{
  LonTable loans;
  lon_init (&loans);
  BudBalance lender = { 8, 0, 0, 0 };
  EXPECT_EQ (3u, lon_grant (&loans, "b", 1, 1, "s/z", &lender, 3, false));
  EXPECT_EQ (5u, bud_spare (&lender));
  lon_apply_statement (&loans, "b", 1, 2, "s/z", &lender, 0);
  EXPECT_EQ (8u, bud_spare (&lender));
  EXPECT_EQ (0u, lon_lent (&loans, "b", 1, "s/z"));
  lon_clear (&loans);
}

bool
FirstProcessHasEnded (void *, const char *borrower, uint64_t incarnation)
{
  return std::string (borrower) == "b" && incarnation == 1;
}

BudBalance *
OnlyBalance (void *user, const char *)
{
  return static_cast<BudBalance *> (user);
}

TEST (Lon, LoansOfEndedProcessAreReclaimed)
{
  LonTable loans;
  lon_init (&loans);
  BudBalance lender = { 8, 0, 0, 0 };
  lon_grant (&loans, "b", 1, 1, "s/z", &lender, 2, true);
  lon_grant (&loans, "b", 2, 1, "s/z", &lender, 3, true);
  LonCallbacks callbacks = { FirstProcessHasEnded, OnlyBalance };
  lon_reclaim (&loans, &callbacks, &lender);
  EXPECT_EQ (3u, lender.lent);
  EXPECT_EQ (3u, lon_lent (&loans, "b", 2, "s/z"));
  lon_clear (&loans);
}

TEST (Lon, DuplicateRequestIsGrantedOnce)
{
  LonTable loans;
  lon_init (&loans);
  BudBalance lender = { 8, 0, 0, 0 };
  EXPECT_EQ (2u, lon_grant (&loans, "b", 1, 1, "s/z", &lender, 2, false));
  EXPECT_EQ (0u, lon_grant (&loans, "b", 1, 1, "s/z", &lender, 2, false));
  EXPECT_EQ (2u, lender.lent);
  lon_clear (&loans);
}

} // namespace
