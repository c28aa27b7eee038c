// Settings: a flag overrides the environment, which overrides the default; all errors are reported.
#include <glib.h>
extern "C"
{
#include "set.h"
}
#include <cstdlib>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

const SetSpec kSpecs[] = { { "vm", SET_TEXT, nullptr, nullptr, "name" },
                           { "store", SET_ADDRESS, nullptr, nullptr, "address" },
                           { "slots", SET_UINT, "4", "1..10", "number" },
                           { "mode", SET_CHOICE, "on", "on|off", "choice" },
                           { nullptr, SET_TEXT, nullptr, nullptr, nullptr } };

Settings *
Load (std::vector<std::string> args, Err *err)
{
  static std::vector<std::string> storage;
  storage = std::move (args);
  storage.insert (storage.begin (), "program");
  std::vector<char *> argv;
  for (std::string &arg : storage)
    argv.push_back (arg.data ());
  argv.push_back (nullptr);
  bool check;
  return set_load (kSpecs, "test", (int) storage.size (), argv.data (), &check, err);
}

TEST (Set, FlagOverridesEnvironmentOverridesDefault)
{
  Err err = {};
  setenv ("CARDAMOM_SLOTS", "7", 1);
  setenv ("CARDAMOM_VM", "from-env", 1);
  Settings *settings = Load ({ "--store=127.0.0.1:80", "--slots=8" }, &err);
  ASSERT_NE (nullptr, settings) << err.text;
  EXPECT_EQ (8u, set_uint (settings, "slots"));
  EXPECT_STREQ ("from-env", set_text (settings, "vm"));
  EXPECT_STREQ ("on", set_text (settings, "mode"));
  set_free (settings);
  unsetenv ("CARDAMOM_SLOTS");
  unsetenv ("CARDAMOM_VM");
}

TEST (Set, ErrorTextHoldsAllErrorsWithNameValueAndAccepted)
{
  Err err = {};
  EXPECT_EQ (nullptr, Load ({ "--store=nowhere", "--slots=11", "--mode=maybe" }, &err));
  std::string text (err.text);
  EXPECT_NE (std::string::npos, text.find ("--vm (CARDAMOM_VM) is not given"));
  EXPECT_NE (std::string::npos, text.find ("--store (CARDAMOM_STORE) is 'nowhere'"));
  EXPECT_NE (std::string::npos, text.find ("--slots (CARDAMOM_SLOTS) is '11'; accepted: 1..10"));
  EXPECT_NE (std::string::npos, text.find ("--mode (CARDAMOM_MODE) is 'maybe'; accepted: on|off"));
}

TEST (Set, UnknownFlagAndExtraArgumentAreErrors)
{
  Err err = {};
  EXPECT_EQ (nullptr, Load ({ "--vm=a", "--store=127.0.0.1:1", "--bogus" }, &err));
  EXPECT_NE (std::string::npos, std::string (err.text).find ("bogus"));
  EXPECT_EQ (nullptr, Load ({ "--vm=a", "--store=127.0.0.1:1", "stray" }, &err));
  EXPECT_NE (std::string::npos, std::string (err.text).find ("stray"));
}

} // namespace
