extern "C"
{
#include "shr.h"
}

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

TEST (Shr, FewRequestsBindNothing)
{
  ShrWindow window = {};
  for (uint64_t now_ms = 10000; now_ms < 12000; now_ms += 250)
    shr_note (&window, 0, now_ms);
  EXPECT_TRUE (shr_allows (&window, 1, 80, 12100));
}

TEST (Shr, BeginsWithWhatTheRegionsCanCarry)
{
  ShrWindow window = {};
  const uint32_t slots[REGIONS_MAX] = { 12, 60, 72 };
  const uint32_t nodes[REGIONS_MAX] = { 3, 3, 3 };
  shr_set_prior (&window, 0, slots, nodes);
  EXPECT_EQ (window.prior_permille[0], 175u); // 0.7 of what it could carry
  EXPECT_EQ (window.prior_permille[1], 375u);
  EXPECT_EQ (window.prior_permille[2], 450u);
  int home = 0;
  for (int i = 0; i < 60; i++)
    {
      uint32_t region = shr_allows (&window, 0, 80, 10000 + i * 10) ? 0 : 1;
      shr_note (&window, region, 10000 + i * 10);
      home += region == 0;
    }
  EXPECT_LE (home, 60 * 28 / 100);
  shr_set_prior (&window, 2, slots, nodes);
  EXPECT_EQ (window.prior_permille[2], 1000u);
}

// Load: traffic begins while the near upstreams know nothing, so much of it runs far away.
TEST (Shr, WorkThatBeganFarAwayComesBackUnderTheCap)
{
  ShrWindow window = {};
  std::vector<int> near (6);
  for (uint64_t now_ms = 20000; now_ms < 32000; now_ms += 30)
    {
      bool wants_near = now_ms >= 21500 || now_ms / 30 % 3 == 0;
      uint32_t region = wants_near && shr_allows (&window, 0, 80, now_ms) ? 0 : 1;
      shr_note (&window, region, now_ms);
      near[(now_ms - 20000) / 2000] += region == 0;
    }
  for (size_t i = 1; i < near.size (); i++)
    EXPECT_LE (near[i] - near[i - 1], 67 * 15 / 100 + 2) << i;
  EXPECT_GT (near.back (), near.front ());
}

// Property: whatever the load wants, no share grows by more than the cap from one window to the
// next.
TEST (Shr, GeneratedLoadsKeepTheCap)
{
  const uint32_t cap_permille = 80;
  std::mt19937 random (99);
  for (int round = 0; round < 10; round++)
    {
      ShrWindow window = {};
      std::vector<std::pair<uint64_t, uint32_t>> sent;
      for (uint64_t now_ms = 20000; now_ms < 50000; now_ms += 10)
        {
          uint32_t wanted = (now_ms / 5000 + random () % 4 / 3) % 2;
          for (uint32_t region : { wanted, 1 - wanted })
            if (shr_allows (&window, region, cap_permille, now_ms))
              {
                shr_note (&window, region, now_ms);
                sent.emplace_back (now_ms, region);
                break;
              }
        }
      EXPECT_GE (sent.size (), 2900u);
      for (uint64_t at = 24000; at < 50000; at += 250)
        {
          auto share = [&] (uint64_t from) {
            double total = 0;
            double first = 0;
            for (const auto &[time, region] : sent)
              if (time >= from && time < from + 2000)
                {
                  total++;
                  first += region == 0;
                }
            return first / total;
          };
          EXPECT_LE (std::abs (share (at - 2000) - share (at - 4000)), 0.15) << at;
        }
    }
}
