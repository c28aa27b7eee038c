// Platform list pages: continuing a list, and noticing that it can't be continued.
#include <glib.h>

extern "C"
{
#include "plp.h"
}

#include <gtest/gtest.h>
#include <string>

namespace
{
class ListPages : public testing::Test
{
protected:
  void
  SetUp () override
  {
    plp_start (&cursor_);
  }

  void
  TearDown () override
  {
    plp_clear (&cursor_);
  }

  // Passes a page with objects of these names.
  PlpStep
  Advance (const std::vector<std::string> &names, bool more)
  {
    std::string items;
    for (const std::string &name : names)
      items += std::string (items.empty () ? "" : ",") + "{\"metadata\":{\"name\":" + name + "}}";
    std::string text
        = "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") + ",\"as-of\":3}";
    PobResponse page;
    EXPECT_TRUE (pob_parse_list (text.data (), text.size (), nullptr, &page));
    PlpStep step = plp_advance (&cursor_, &page);
    pob_clear (&page);
    return step;
  }

  PlpCursor cursor_ = {};
};
}

TEST_F (ListPages, ContinueAfterTheLastName)
{
  EXPECT_EQ (cursor_.after, nullptr);
  EXPECT_EQ (Advance ({ "\"a\"", "\"b\"" }, true), PLP_NEXT);
  EXPECT_STREQ (cursor_.after->str, "b");
  EXPECT_EQ (Advance ({ "\"c\"", "7" }, true), PLP_NEXT);
  EXPECT_STREQ (cursor_.after->str, "c");
  EXPECT_EQ (Advance ({ "\"d\"" }, false), PLP_END);
}

TEST_F (ListPages, EndWithoutAName)
{
  EXPECT_EQ (Advance ({}, false), PLP_END);
  EXPECT_EQ (Advance ({}, true), PLP_STUCK);
  EXPECT_EQ (Advance ({ "7" }, true), PLP_STUCK);
}

// A store that doesn't understand the cursor gives the same pages again.
TEST_F (ListPages, EndWhenTheyRepeat)
{
  EXPECT_EQ (Advance ({ "\"a\"" }, true), PLP_NEXT);
  EXPECT_EQ (Advance ({ "\"a\\u0000b\"" }, true), PLP_NEXT);
  EXPECT_EQ (Advance ({ "\"a\"" }, true), PLP_STUCK);
  plp_start (&cursor_);
  EXPECT_EQ (Advance ({ "\"a\"" }, true), PLP_NEXT);
}
