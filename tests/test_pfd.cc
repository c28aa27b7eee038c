// Platform feed: nodes that start while entries of another writer stand in the store's lists.
#include "fakes.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace
{
constexpr int kUpstreams = 9;
constexpr const char *kKinds[] = { "config", "servers", "evacuations", "nodes" };

// Upstreams whose registrations are listed in pages of one object, and a node that starts then.
class PlatformFeed : public testing::Test
{
protected:
  void
  SetUp () override
  {
    store_.SetPageSize (1);
    store_.Put ("config", "main", Configuration (7));
    for (int i = 0; i < kUpstreams; i++)
      {
        upstreams_.push_back (std::make_unique<FakeUpstream> ("up-" + std::to_string (i)));
        store_.Put ("servers", upstreams_[i]->id (), upstreams_[i]->Record ("desk", "east-a"));
      }
  }

  void
  StartNode ()
  {
    node_ = std::make_unique<NodeProcess> ("vm-1", "east-a", store_.address ());
  }

  bool
  IsServing ()
  {
    return node_->Call ("GET", "/read/a", { { "X-Request-Id", "a" } }).status == 200;
  }

  int
  KnownUpstreams ()
  {
    std::string state = node_->Status ("/state").body;
    int count = 0;
    for (const auto &upstream : upstreams_)
      count += state.find ("upstream=" + upstream->id () + " ") != std::string::npos;
    return count;
  }

  bool
  KnowsAllUpstreams ()
  {
    return WaitUntil (4000, [&] { return KnownUpstreams () == kUpstreams; });
  }

  FakeStore store_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::unique_ptr<NodeProcess> node_;
};

// Name of an entry that names no upstream; `label`: of the test.
struct Name
{
  const char *label;
  std::string text;
};

void
PrintTo (const Name &name, std::ostream *out)
{
  *out << name.label;
}

class OddName : public PlatformFeed, public testing::WithParamInterface<Name>
{
};
}

// Guards against a list that never ends, or is refused, because a name in it isn't percent-encoded
// in the request for the next page.
TEST_P (OddName, OtherEntriesAreUsed)
{
  for (const char *kind : kKinds)
    store_.Put (kind, GetParam ().text, "{\"service\":7}");
  StartNode ();
  ASSERT_TRUE (node_->WaitReady (5000));
  EXPECT_TRUE (KnowsAllUpstreams ()) << node_->Log ();
  EXPECT_TRUE (WaitUntil (1000, [&] { return IsServing (); })) << node_->Log ();
  int objects = kUpstreams + 1 + 4 + 1; // those put above, and the node's own
  EXPECT_LE (store_.lists (), objects + 4);
}

INSTANTIATE_TEST_SUITE_P (
    Names, OddName,
    testing::Values (Name{ "ampersand", "a&b" }, Name{ "plus", "a+b" }, Name{ "hash", "a#b" },
                     Name{ "blank", "a b" }, Name{ "percent", "a%b" }, Name{ "encoded", "%41" },
                     Name{ "ampersand_alone", "&" }, Name{ "equals", "a=b" },
                     Name{ "question_mark", "a?b" }, Name{ "slash", "a/b" },
                     Name{ "quote", "a\"b" }, Name{ "backslash", "a\\b" }, Name{ "tab", "a\tb" },
                     Name{ "line_end", "a\r\nX-More: 1" }, Name{ "control", "\x01" },
                     Name{ "delete", "\x7f" }, Name{ "not_ascii", "\xc3\xa9" }, Name{ "empty", "" },
                     Name{ "last_of_all", "zz&z" }, Name{ "among_others", "up-4+" },
                     Name{ "nul", std::string ("a\0b", 3) }, Name{ "not_utf8", "\xff\xfe" },
                     Name{ "partly_not_utf8", "a\xff" }, Name{ "long", std::string (230, 'n') },
                     Name{ "longer", std::string (4000, '&') }),
    [] (const auto &info) { return std::string (info.param.label); });

// Entries with such names come and go while two nodes run, one of which learns of them from the
// other; then both are restarted while the entries stand.
TEST_F (PlatformFeed, OddNamesOnAWatchAndFromPeersAffectNoOthers)
{
  const std::vector<std::string> names
      = { "a&b #+%", "a\r\nX-More: 1",      "\x01", "\xff\xfe", std::string ("a\0b", 3),
          "",        std::string (300, 'n') };
  StartNode ();
  NodeProcess other ("vm-2", "east-b", store_.address (), 2);
  ASSERT_TRUE (node_->WaitReady (5000));
  ASSERT_TRUE (other.WaitReady (5000));
  std::this_thread::sleep_for (2000ms); // one of the nodes watches then
  for (const char *kind : kKinds)
    for (const std::string &name : names)
      store_.Put (kind, name, "{\"service\":7}");
  FakeUpstream added ("added");
  store_.Put ("servers", added.id (), added.Record ("desk", "east-a"));
  auto knows = [&] (NodeProcess &node) {
    return node.Status ("/state").body.find ("upstream=added ") != std::string::npos;
  };
  EXPECT_TRUE (WaitUntil (4000, [&] { return knows (*node_) && knows (other); }));
  for (NodeProcess *node : { node_.get (), &other })
    {
      node->Signal (SIGKILL);
      node->WaitExit (2000);
    }
  node_->Start ();
  other.Start ();
  EXPECT_TRUE (node_->WaitReady (5000));
  EXPECT_TRUE (other.WaitReady (5000));
  EXPECT_TRUE (WaitUntil (4000, [&] { return knows (*node_) && knows (other); }))
      << node_->Log () << other.Log ();
  EXPECT_TRUE (KnowsAllUpstreams ());
  for (const std::string &name : names)
    store_.Delete ("servers", name);
  store_.Delete ("servers", added.id ());
  EXPECT_TRUE (WaitUntil (6000, [&] { return !knows (*node_) && !knows (other); }));
}

// An object whose name is a string, with metadata that a JSON parser rejects.
class OddMetadata : public PlatformFeed, public testing::WithParamInterface<const char *>
{
};

TEST_P (OddMetadata, OtherEntriesAreUsed)
{
  for (const char *kind : kKinds)
    store_.PutText (kind, "odd",
                    std::string ("{\"metadata\":{\"name\":\"odd\",\"revision\":1,") + GetParam ()
                        + "},\"spec\":{\"service\":7}}");
  StartNode ();
  ASSERT_TRUE (node_->WaitReady (5000));
  EXPECT_TRUE (KnowsAllUpstreams ()) << node_->Log ();
}

INSTANTIATE_TEST_SUITE_P (Texts, OddMetadata,
                          testing::Values (R"("finalizers":["\ud800"])",
                                           "\"finalizers\":[\"\xff\xfe\"]", R"("finalizers":1e999)",
                                           R"("deleting":maybe)"));

// Guards against a list that is asked for without end, and of which nothing is used, because a page
// leads nowhere.
class EndlessList : public PlatformFeed
{
protected:
  // Expects that the node serves requests and lists each kind at most once more in some seconds.
  void
  ExpectServing (int upstreams)
  {
    ASSERT_TRUE (node_->WaitReady (5000));
    EXPECT_TRUE (WaitUntil (4000, [&] { return KnownUpstreams () >= upstreams; }))
        << KnownUpstreams () << "\n"
        << node_->Log ();
    EXPECT_TRUE (WaitUntil (1000, [&] { return IsServing (); })) << node_->Log ();
    int lists = store_.lists ();
    std::this_thread::sleep_for (3000ms);
    EXPECT_LE (store_.lists () - lists, kUpstreams + 8) << node_->Log ();
  }
};

TEST_F (EndlessList, PageWithoutANameEndsIt)
{
  store_.PutText ("servers", "up-4+", "5");
  StartNode ();
  ExpectServing (5);
  store_.Delete ("servers", "up-4+");
  EXPECT_TRUE (WaitUntil (10000, [&] { return KnownUpstreams () == kUpstreams; })) << node_->Log ();
}

TEST_F (EndlessList, PagesWithoutEndAreUsed)
{
  store_.SetPageSize (4, FakeStore::Paging::kWithoutEnd);
  StartNode ();
  ExpectServing (kUpstreams);
}

TEST_F (EndlessList, RepeatedPageIsUsed)
{
  store_.SetPageSize (4, FakeStore::Paging::kIgnoresCursor);
  StartNode ();
  ExpectServing (4);
}

TEST_F (EndlessList, RefusedPageEndsIt)
{
  store_.Put ("servers", "up-4" + std::string (3000, '&'), "{}");
  store_.SetTargetLimit (8000);
  StartNode ();
  ExpectServing (5);
}

// What a list that was cut off lacks is not removed.
TEST_F (EndlessList, KeepsWhatItLacks)
{
  StartNode ();
  ExpectServing (kUpstreams);
  store_.SetPageSize (4, FakeStore::Paging::kIgnoresCursor);
  store_.ForgetHistory ();
  std::this_thread::sleep_for (1000ms);
  EXPECT_EQ (KnownUpstreams (), kUpstreams) << node_->Log ();
}

// Guards against a node that never registers because its name isn't percent-encoded in the request.
TEST_F (PlatformFeed, NodeWithAnOddNameRegisters)
{
  const std::string vm = "vm 1&a+#%/";
  store_.Put ("nodes", vm, "{\"address\":\"127.0.0.9:9\",\"zone\":\"east-a\"}");
  node_ = std::make_unique<NodeProcess> (vm, "east-a", store_.address ());
  EXPECT_TRUE (WaitUntil (4000, [&] {
    return store_.Text ("nodes", vm).find (node_->peer ()) != std::string::npos;
  })) << store_.Text ("nodes", vm);
}

// An entry that would be used but for its name, which can't be sent in a header.
class UnsendableName : public PlatformFeed, public testing::WithParamInterface<Name>
{
};

TEST_P (UnsendableName, NamesNoUpstream)
{
  FakeUpstream other ("other");
  store_.Put ("servers", GetParam ().text, other.Record ("desk", "east-a"));
  StartNode ();
  ASSERT_TRUE (node_->WaitReady (5000));
  EXPECT_TRUE (KnowsAllUpstreams ()) << node_->Log ();
  for (int i = 0; i < 60; i++)
    EXPECT_TRUE (IsServing ());
  EXPECT_EQ (other.arrivals (), 0) << other.requests ()[0].head;
}

INSTANTIATE_TEST_SUITE_P (Names, UnsendableName,
                          testing::Values (Name{ "line_end", "a\r\nX-More: 1" },
                                           Name{ "line_feed", "a\nX-More: 1" },
                                           Name{ "control", "a\x01" }, Name{ "tab", "a\tb" },
                                           Name{ "delete", "a\x7f" }, Name{ "empty", "" },
                                           Name{ "blank_first", " a" }, Name{ "blank_last", "a " }),
                          [] (const auto &info) { return std::string (info.param.label); });
