// Fair queueing: replays of the loads that it was designed for, on one node and one service.
#include <glib.h>

extern "C"
{
#include "fqs.h"
}

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <list>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace
{
constexpr uint64_t kStartMs = 1000000;
constexpr uint64_t kStepMs = 5;
constexpr uint32_t kServiceMs = 200;
constexpr uint32_t kObjectiveMs = 500;
constexpr uint32_t kDeadlineMs = 2000;
constexpr uint32_t kTriesMax = 12;
constexpr uint64_t kWindowMs = 10000;

// A flow of the load: rate in requests per second by the time since the start of the replay.
struct Source
{
  std::string account;
  std::string route;
  uint32_t priority_class;
  std::function<double (uint64_t ms)> rate_per_s;
  // Sends at exact times instead of at random ones.
  bool exact = false;

  uint32_t
  Number () const
  {
    return static_cast<uint32_t> (std::stoul (account.substr (1)));
  }
};

struct Request
{
  size_t source;
  uint64_t first_ms;
  uint64_t since_ms;
  uint64_t until_ms;
  AdmRequest admission;
  FqsFlow *flow;
  FqsRank rank;
};

struct Outcome
{
  uint64_t first_ms;
  size_t source;
  bool served;
  bool in_objective;
};

// A node that alone uses the service: @slots, of which each is in use for kServiceMs.
class Replay
{
public:
  Replay (std::vector<Source> sources, uint32_t slots, bool fair, uint32_t seed = 1)
      : sources_ (std::move (sources)), slots_ (slots), fair_ (fair), random_ (seed),
        fqs_ (fqs_new ())
  {
  }

  ~Replay ()
  {
    for (Request &request : waiting_)
      fqs_release (request.flow);
    fqs_free (fqs_);
  }

  void
  Run (uint64_t until_ms)
  {
    for (; now_ms_ < until_ms; now_ms_ += kStepMs)
      {
        running_.remove_if ([this] (uint64_t end_ms) { return end_ms <= now_ms_; });
        ServeWaiting ();
        RejectExpired ();
        Arrive ();
      }
  }

  // Served part of the requests that were first sent in the interval.
  double
  Served (std::function<bool (const Source &)> of, uint64_t from_ms, uint64_t to_ms,
          bool in_objective = false) const
  {
    double asked = 0;
    double served = 0;
    for (const Outcome &outcome : outcomes_)
      if (outcome.first_ms >= from_ms && outcome.first_ms < to_ms && of (sources_[outcome.source]))
        {
          asked++;
          served += in_objective ? outcome.in_objective : outcome.served;
        }
    return asked > 0 ? served / asked : 1.0;
  }

  double
  ServedOfAll (uint64_t from_ms, uint64_t to_ms) const
  {
    return Served ([] (const Source &) { return true; }, from_ms, to_ms);
  }

  // Requests that took a slot within the interval.
  double
  Sent (uint64_t from_ms, uint64_t to_ms) const
  {
    return std::count_if (sent_ms_.begin (), sent_ms_.end (),
                          [=] (uint64_t ms) { return ms >= from_ms && ms < to_ms; });
  }

  size_t
  Waiting () const
  {
    return waiting_.size ();
  }

private:
  FqsWaiting
  View (const Request &request) const
  {
    return { request.flow, &request.admission, request.rank,
             static_cast<uint32_t> (now_ms_ - request.since_ms) };
  }

  bool
  Precedes (const Request &a, const Request &b) const
  {
    FqsWaiting x = View (a);
    FqsWaiting y = View (b);
    return fair_ ? fqs_precedes (&x, &y)
                 : adm_precedes (x.admission, x.waited_ms, y.admission, y.waited_ms);
  }

  void
  Sort ()
  {
    waiting_.sort ([this] (const Request &a, const Request &b) {
      return adm_precedes (&a.admission, View (a).waited_ms, &b.admission, View (b).waited_ms);
    });
    fqs_begin_pass (fqs_, kStartMs + now_ms_);
    for (Request &request : waiting_)
      fqs_add_waiting (fqs_, request.flow, &request.admission);
    for (Request &request : waiting_)
      request.rank = fqs_rank (fqs_, request.flow);
    waiting_.sort ([this] (const Request &a, const Request &b) { return Precedes (a, b); });
  }

  void
  Send (const Request &request)
  {
    uint64_t age_ms = now_ms_ + kServiceMs - request.first_ms;
    fqs_count_served (fqs_, request.flow, kStartMs + now_ms_);
    fqs_release (request.flow);
    running_.push_back (now_ms_ + kServiceMs);
    sent_ms_.push_back (now_ms_);
    outcomes_.push_back ({ request.first_ms, request.source, true, age_ms <= kObjectiveMs });
  }

  void
  ServeWaiting ()
  {
    Sort ();
    for (uint32_t tries = 0; tries < kTriesMax && !waiting_.empty () && running_.size () < slots_;
         tries++)
      {
        Send (waiting_.front ());
        waiting_.pop_front ();
      }
  }

  void
  RejectExpired ()
  {
    for (auto item = waiting_.begin (); item != waiting_.end ();)
      {
        auto expired = item++;
        if (expired->until_ms > now_ms_)
          continue;
        auto rejected = expired;
        for (auto other = std::prev (waiting_.end ()); fair_ && other != expired; --other)
          {
            FqsWaiting x = View (*other);
            FqsWaiting y = View (*expired);
            if (other->until_ms <= now_ms_ || !fqs_yields (&x, &y))
              continue;
            rejected = other;
            expired->until_ms = other->until_ms;
            break;
          }
        if (rejected == item)
          ++item;
        Reject (*rejected);
        waiting_.erase (rejected);
      }
  }

  // A rejected caller sends the request again while there is time.
  void
  Reject (Request &request)
  {
    uint64_t deadline_ms = request.first_ms + kDeadlineMs;
    fqs_release (request.flow);
    request.admission.remaining_ms
        = deadline_ms > now_ms_ ? static_cast<uint32_t> (deadline_ms - now_ms_) : 0;
    request.admission.caller_retry = true;
    request.since_ms = now_ms_ + adm_retry_after_ms (&request.admission, random_ ());
    if (request.since_ms + kServiceMs < deadline_ms)
      returning_.push_back (request);
    else
      outcomes_.push_back ({ request.first_ms, request.source, false, false });
  }

  void
  Receive (Request request)
  {
    const Source &source = sources_[request.source];
    const char *account = source.account.empty () ? nullptr : source.account.c_str ();
    request.flow = fqs_acquire (fqs_, account, source.route.c_str (), kStartMs + now_ms_);
    request.since_ms = now_ms_;
    request.until_ms = now_ms_ + adm_max_wait_ms (&request.admission);
    request.admission.remaining_ms
        = static_cast<uint32_t> (request.first_ms + kDeadlineMs - now_ms_);
    if (!request.admission.caller_retry)
      fqs_count_requested (fqs_, request.flow, kStartMs + now_ms_);
    if (running_.size () < slots_)
      Send (request);
    else
      waiting_.push_back (request);
  }

  void
  Arrive ()
  {
    std::list<Request> returning;
    returning.swap (returning_);
    for (Request &request : returning)
      if (request.since_ms <= now_ms_)
        Receive (request);
      else
        returning_.push_back (request);
    std::vector<size_t> order;
    for (size_t i = 0; i < sources_.size (); i++)
      order.insert (order.end (), Draw (sources_[i]), i);
    std::shuffle (order.begin (), order.end (), random_);
    for (size_t i : order)
      Receive (NewRequest (i));
  }

  size_t
  Draw (const Source &source)
  {
    double mean = source.rate_per_s (now_ms_) * kStepMs / 1000.0;
    if (mean == 0 || source.exact)
      return static_cast<size_t> (mean);
    return static_cast<size_t> (std::poisson_distribution<int> (mean) (random_));
  }

  Request
  NewRequest (size_t source) const
  {
    Request request = {};
    request.source = source;
    request.first_ms = now_ms_;
    request.admission.priority_class = sources_[source].priority_class;
    request.admission.objective_ms = kObjectiveMs;
    request.admission.remaining_ms = kDeadlineMs;
    request.admission.usual_ms = kServiceMs;
    return request;
  }

  std::vector<Source> sources_;
  uint32_t slots_;
  bool fair_;
  std::mt19937 random_;
  Fqs *fqs_;
  uint64_t now_ms_ = 0;
  std::list<uint64_t> running_;
  std::list<Request> waiting_;
  std::list<Request> returning_;
  std::vector<Outcome> outcomes_;
  std::vector<uint64_t> sent_ms_;
};

std::function<double (uint64_t)>
Constant (double rate_per_s)
{
  return [rate_per_s] (uint64_t) { return rate_per_s; };
}

std::function<double (uint64_t)>
Burst (double usual_per_s, double burst_per_s, uint64_t from_ms, uint64_t to_ms)
{
  return [=] (uint64_t ms) { return ms >= from_ms && ms < to_ms ? burst_per_s : usual_per_s; };
}

std::function<bool (const Source &)>
OfAccount (const std::string &account)
{
  return [account] (const Source &source) { return source.account == account; };
}

std::function<bool (const Source &)>
OfRoute (const std::string &route)
{
  return [route] (const Source &source) { return source.route == route; };
}

std::vector<Source>
Accounts (uint32_t count, double rate_per_s)
{
  std::vector<Source> sources;
  for (uint32_t i = 0; i < count; i++)
    sources.push_back ({ "a" + std::to_string (i), "route", 0, Constant (rate_per_s) });
  return sources;
}

std::vector<Source>
KindBurst ()
{
  return { { "", "a", 0, Burst (90, 2.4 * 480, 5000, 15000) },
           { "", "b", 0, Constant (90) },
           { "", "c", 0, Constant (90) },
           { "", "d", 0, Constant (90) } };
}

struct Item
{
  FqsFlow *flow;
  AdmRequest admission;
  uint32_t waited_ms;
  FqsRank rank;

  FqsWaiting
  View () const
  {
    return { flow, &admission, rank, waited_ms };
  }
};

std::vector<Item>
RandomItems (std::mt19937 &random, FqsFlow *flow)
{
  std::vector<Item> items (20);
  for (uint32_t i = 0; i < items.size (); i++)
    {
      items[i].flow = flow;
      items[i].admission.priority_class = random () % 2;
      items[i].admission.caller_retry = random () % 2 == 0;
      items[i].waited_ms = i * 7 % 20;
    }
  return items;
}

template <typename Precedes>
std::vector<uint32_t>
Order (const std::vector<Item> &items, Precedes precedes)
{
  std::vector<uint32_t> order (items.size ());
  std::iota (order.begin (), order.end (), 0u);
  std::sort (order.begin (), order.end (),
             [&] (uint32_t a, uint32_t b) { return precedes (items[a], items[b]); });
  return order;
}

void
Rank (Fqs *fqs, std::vector<Item> &items, const std::vector<uint32_t> &order)
{
  fqs_begin_pass (fqs, kStartMs);
  for (const Item &item : items)
    fqs_add_waiting (fqs, item.flow, &item.admission);
  for (uint32_t i : order)
    items[i].rank = fqs_rank (fqs, items[i].flow);
}
}

// Load: 74 accounts of 6 requests/s and one of 40/s, which sends 7.5 times as much; an equal share
// of the capacity is 8/s. Guards against its excess taking slots from the others.
TEST (Fqs, AccountsLoseNothingToTheExcessOfOne)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      std::vector<Source> sources = Accounts (75, 6);
      sources[0].rate_per_s = Burst (40, 300, 5000, 25000);
      Replay fair (sources, 120, true, seed);
      Replay plain (sources, 120, false, seed);
      fair.Run (30000);
      plain.Run (30000);
      auto others = [] (const Source &source) { return source.account != "a0"; };
      for (uint64_t from_ms = 5000; from_ms < 25000; from_ms += kWindowMs)
        {
          uint64_t to_ms = from_ms + kWindowMs;
          double of_all = fair.ServedOfAll (from_ms, to_ms);
          EXPECT_GE (fair.Served (others, from_ms, to_ms, true), 0.95) << "seed " << seed;
          EXPECT_LE (plain.Served (others, from_ms, to_ms, true), 0.85) << "seed " << seed;
          EXPECT_GE (fair.Served (OfAccount ("a0"), from_ms, to_ms), of_all / 4) << seed;
          EXPECT_GE (fair.Sent (from_ms + 1000, to_ms), plain.Sent (from_ms + 1000, to_ms) * 0.99)
              << "seed " << seed;
        }
    }
}

// Load: 75 accounts of 4 requests/s, one of which sends 40 times as much; an equal share would be
// less than a quarter of the mean. Guards against starving the account that causes it.
TEST (Fqs, NoAccountIsServedLessThanAQuarterAsOftenAsAll)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      std::vector<Source> sources = Accounts (75, 4);
      sources[0].rate_per_s = Burst (4, 160, 5000, 25000);
      Replay replay (sources, 70, true, seed);
      replay.Run (30000);
      for (uint64_t from_ms = 5000; from_ms < 25000; from_ms += kWindowMs)
        {
          uint64_t to_ms = from_ms + kWindowMs;
          double quarter = replay.ServedOfAll (from_ms, to_ms) / 4;
          for (uint32_t i = 0; i < 75; i++)
            EXPECT_GE (replay.Served (OfAccount ("a" + std::to_string (i)), from_ms, to_ms),
                       quarter)
                << "seed " << seed << " account " << i;
        }
    }
}

// Load: four kinds, one of which sends 2.4 times the capacity for 10 s. Without accounts.
TEST (Fqs, KindsLoseNothingToTheBurstOfOne)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      Replay fair (KindBurst (), 96, true, seed);
      Replay plain (KindBurst (), 96, false, seed);
      fair.Run (25000);
      plain.Run (25000);
      auto others = [] (const Source &source) { return source.route != "a"; };
      EXPECT_GE (fair.Served (others, 5000, 15000, true), 0.98) << "seed " << seed;
      EXPECT_LE (plain.Served (others, 5000, 15000, true), 0.50) << "seed " << seed;
      double of_all = fair.ServedOfAll (5000, 15000);
      EXPECT_GE (fair.Served (OfRoute ("a"), 5000, 15000), of_all / 4) << "seed " << seed;
      EXPECT_GE (fair.Sent (6000, 15000), plain.Sent (6000, 15000) * 0.99) << "seed " << seed;
    }
}

// Guards against a burst that is remembered: two seconds after it, its kind is served as before.
TEST (Fqs, NothingIsLeftOfABurstAfterTwoSeconds)
{
  Replay replay (KindBurst (), 96, true);
  // The retries of the burst's last requests have ended by then.
  replay.Run (15000 + kDeadlineMs + kServiceMs);
  EXPECT_EQ (replay.Waiting (), 0u);
  replay.Run (25000);
  EXPECT_EQ (replay.Served (OfRoute ("a"), 17000, 24000, true), 1.0);
  EXPECT_EQ (replay.ServedOfAll (17000, 24000), 1.0);

  Fqs *fqs = fqs_new ();
  FqsFlow *flow = fqs_acquire (fqs, nullptr, "a", kStartMs);
  for (uint32_t i = 0; i < 5000; i++)
    fqs_count_served (fqs, flow, kStartMs + i * 2);
  uint64_t in_burst_m = flow->taken_m;
  fqs_begin_pass (fqs, kStartMs + 12000);
  EXPECT_LE (flow->taken_m, in_burst_m / 8);
  fqs_free (fqs);
}

// Load: twice the capacity from 20 accounts, and one account with a request every 3 s.
TEST (Fqs, RareRequestsAreServed)
{
  std::vector<Source> sources = Accounts (20, 48);
  sources.push_back (
      { "rare", "route", 0, [] (uint64_t ms) { return ms % 3000 == 0 ? 1000.0 / kStepMs : 0; } });
  sources.back ().exact = true;
  Replay replay (sources, 96, true);
  replay.Run (33000);
  EXPECT_GE (replay.Served (OfAccount ("rare"), 0, 30000), 0.95);
  EXPECT_LE (replay.ServedOfAll (5000, 30000), 0.6);
}

// Load: urgent requests alone exceed the capacity. Guards against starving the others, of which one
// kind is frequent and one is rare, and against losing the order by priority.
TEST (Fqs, UrgentRequestsGoFirstAndDoNotStarveOthers)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      std::vector<Source> sources = { { "", "urgent", 0, Constant (600) },
                                      { "", "other", 1, Constant (200) },
                                      { "", "rare", 1, Constant (0.5) } };
      Replay fair (sources, 96, true, seed);
      fair.Run (40000);
      double of_all = fair.ServedOfAll (5000, 35000);
      double of_urgent = fair.Served (OfRoute ("urgent"), 5000, 35000);
      double of_other = fair.Served (OfRoute ("other"), 5000, 35000);
      EXPECT_GT (of_urgent, of_other * 1.5) << "seed " << seed;
      EXPECT_GE (fair.Served (OfRoute ("rare"), 5000, 35000), of_all / 4) << "seed " << seed;
      for (uint64_t from_ms = 5000; from_ms < 35000; from_ms += kWindowMs)
        EXPECT_GE (fair.Served (OfRoute ("other"), from_ms, from_ms + kWindowMs),
                   fair.ServedOfAll (from_ms, from_ms + kWindowMs) / 4)
            << "seed " << seed << " at " << from_ms;
    }
}

// Load: a thousand accounts that send one request each within a second, at twice the capacity.
// Guards against serving only the accounts that have flows of their own, or only the others.
TEST (Fqs, AThousandAccountsShareOneFlowBeyondTheBound)
{
  for (uint32_t seed : { 1, 2, 3 })
    {
      std::vector<Source> sources = Accounts (1000, 0);
      for (uint32_t i = 0; i < sources.size (); i++)
        {
          sources[i].rate_per_s
              = [i] (uint64_t ms) { return ms == i / 5 * kStepMs ? 1000.0 / kStepMs : 0; };
          sources[i].exact = true;
        }
      Replay fair (sources, 100, true, seed);
      Replay plain (sources, 100, false, seed);
      fair.Run (4000);
      plain.Run (4000);
      double of_all = fair.ServedOfAll (0, 1000);
      EXPECT_GE (of_all, plain.ServedOfAll (0, 1000) * 0.98) << "seed " << seed;
      for (uint32_t first = 0; first < 1000; first += 100)
        EXPECT_GE (fair.Served (
                       [first] (const Source &source) {
                         return source.Number () >= first && source.Number () < first + 100;
                       },
                       0, 1000),
                   of_all / 4)
            << "seed " << seed << " accounts from " << first;
    }
}

// Guards against accounts beyond the bound staying in the shared flow, and against unbounded state.
TEST (Fqs, FlowsAreBoundedAndTheLargestAccountsHaveTheirOwn)
{
  Fqs *fqs = fqs_new ();
  uint64_t now_ms = kStartMs;
  for (uint32_t i = 0; i < 3000; i++, now_ms += 2)
    {
      std::string account = "a" + std::to_string (i);
      FqsFlow *flow = fqs_acquire (fqs, account.c_str (), "route", now_ms);
      fqs_count_requested (fqs, flow, now_ms);
      fqs_release (flow);
    }
  FqsFlow *flow = nullptr;
  for (uint32_t i = 0; i < 2000; i++, now_ms++)
    {
      std::string account = i % 3 == 0 ? "hot" : "b" + std::to_string (i);
      flow = fqs_acquire (fqs, account.c_str (), "route", now_ms);
      fqs_count_requested (fqs, flow, now_ms);
      fqs_release (flow);
    }
  flow = fqs_acquire (fqs, "hot", "route", now_ms);
  ASSERT_NE (flow->account, nullptr);
  EXPECT_STREQ (flow->account, "hot");
  fqs_release (flow);
  for (uint32_t i = 0; i < 2 * FQS_FLOWS_MAX; i++)
    fqs_release (fqs_acquire (fqs, nullptr, ("r" + std::to_string (i)).c_str (), now_ms));
  EXPECT_LE (fqs_flow_count (fqs), FQS_FLOWS_MAX);
  EXPECT_LE (fqs_account_count (fqs), FQS_ACCOUNTS_MAX);
  fqs_begin_pass (fqs, now_ms + 60000);
  EXPECT_EQ (fqs_flow_count (fqs), 0u);
  EXPECT_EQ (fqs_account_count (fqs), 0u);
  fqs_free (fqs);
}

// Guards against another order than without fair queueing where there is a single flow.
TEST (Fqs, SingleFlowKeepsTheOrderOfAdmission)
{
  Fqs *fqs = fqs_new ();
  std::mt19937 random (1);
  for (uint32_t round = 0; round < 200; round++)
    {
      FqsFlow *flow = fqs_acquire (fqs, nullptr, "route", kStartMs + round * 30);
      std::vector<Item> items = RandomItems (random, flow);
      fqs_count_requested (fqs, flow, kStartMs + round * 30);
      if (round % 3 == 0)
        fqs_count_served (fqs, flow, kStartMs + round * 30);
      std::vector<uint32_t> expected = Order (items, [] (const Item &a, const Item &b) {
        return adm_precedes (&a.admission, a.waited_ms, &b.admission, b.waited_ms);
      });
      Rank (fqs, items, expected);
      std::vector<uint32_t> order = Order (items, [] (const Item &a, const Item &b) {
        FqsWaiting x = a.View ();
        FqsWaiting y = b.View ();
        EXPECT_FALSE (fqs_yields (&x, &y));
        return fqs_precedes (&x, &y);
      });
      EXPECT_EQ (order, expected) << round;
      fqs_release (flow);
    }
  fqs_free (fqs);
}

// Guards against rejecting a request of a flow within its share, or a more urgent one, in place of
// one whose time is over.
TEST (Fqs, OnlyRequestsOfFlowsWithMoreSlotsYield)
{
  FqsFlow small = {};
  FqsFlow large = {};
  AdmRequest other = { 1, false, kObjectiveMs, kDeadlineMs, kServiceMs };
  AdmRequest urgent = other;
  urgent.priority_class = 0;
  FqsWaiting expired = { &small, &other, { false, 1000 }, 60 };
  FqsWaiting excess = { &large, &other, { false, 2000 }, 10 };
  EXPECT_TRUE (fqs_yields (&excess, &expired));
  EXPECT_FALSE (fqs_yields (&expired, &excess));
  excess.rank.taken_m = 1999;
  EXPECT_FALSE (fqs_yields (&excess, &expired));
  excess.rank.taken_m = 9000;
  excess.admission = &urgent;
  EXPECT_FALSE (fqs_yields (&excess, &expired));
  expired.rank.is_starved = true;
  EXPECT_TRUE (fqs_yields (&excess, &expired));
  expired.waited_ms = 2 * adm_max_wait_ms (&other);
  EXPECT_FALSE (fqs_yields (&excess, &expired));
  expired.waited_ms--;
  excess.flow = &small;
  EXPECT_FALSE (fqs_yields (&excess, &expired));
}

// Guards against counting as served what an upstream rejected.
TEST (Fqs, RequestsThatDidNotRunAreNotCountedAsServed)
{
  Fqs *fqs = fqs_new ();
  FqsFlow *flow = fqs_acquire (fqs, "a", "route", kStartMs);
  fqs_count_requested (fqs, flow, kStartMs);
  fqs_count_requested (fqs, flow, kStartMs);
  fqs_count_served (fqs, flow, kStartMs);
  EXPECT_EQ (fqs_served_permille (fqs, flow), 500u);
  EXPECT_EQ (fqs_served_permille (fqs, nullptr), 500u);
  fqs_uncount_served (fqs, flow, kStartMs + 1000);
  fqs_uncount_served (fqs, flow, kStartMs + 1000);
  EXPECT_EQ (fqs_served_permille (fqs, flow), 0u);
  EXPECT_EQ (fqs_served_permille (fqs, nullptr), 0u);
  fqs_free (fqs);
}

TEST (Fqs, DumpListsTheLargestFlows)
{
  Fqs *fqs = fqs_new ();
  for (uint32_t i = 0; i < 40; i++)
    for (uint32_t j = 0; j <= i; j++)
      {
        FqsFlow *flow = fqs_acquire (fqs, ("a" + std::to_string (i)).c_str (), "r", kStartMs);
        fqs_count_requested (fqs, flow, kStartMs);
        fqs_release (flow);
      }
  GString *out = g_string_new (nullptr);
  fqs_dump (fqs, "pay", kStartMs, out);
  std::string text = out->str;
  g_string_free (out, TRUE);
  fqs_free (fqs);
  EXPECT_EQ (std::count (text.begin (), text.end (), '\n'), FQS_LISTED_MAX);
  EXPECT_EQ (text.substr (0, text.find ('\n')),
             "flow service=pay route=r account=a39 requested=40.000 served=0.000 open=0");
}
