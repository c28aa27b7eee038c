#include <glib.h>

extern "C"
{
#include "acc.h"
}

#include <cstring>
#include <ctime>
#include <gtest/gtest.h>
#include <string>

namespace
{
const AccSecret kSecret = { { 1, 2, 3 } };

AccDigest
Digest (const std::string &key, const AccSecret &secret = kSecret)
{
  return acc_digest (&secret, key.data (), key.size ());
}

class Accounts : public testing::Test
{
protected:
  ~Accounts () override { acc_free (table_); }

  bool
  AddKey (AccAccount *account, const std::string &key)
  {
    AccDigest digest = Digest (key);
    return acc_add_key (table_, account, &digest);
  }

  AccAccount *
  Find (const std::string &key)
  {
    AccDigest digest = Digest (key);
    return acc_find (table_, &digest);
  }

  AccTable *table_ = acc_new ();
};

std::string
Bearer (const std::string &value)
{
  size_t size = 0;
  const char *key = acc_parse_bearer (value.c_str (), &size);
  return key != nullptr ? std::string (key, size) : "none";
}
}

TEST_F (Accounts, EachKeyFindsItsAccount)
{
  AccAccount *one = acc_add (table_, "one");
  AccAccount *two = acc_add (table_, "two");
  EXPECT_TRUE (AddKey (one, "key-1"));
  EXPECT_TRUE (AddKey (one, "key-2"));
  EXPECT_TRUE (AddKey (two, "key-3"));
  EXPECT_EQ (Find ("key-1"), one);
  EXPECT_EQ (Find ("key-2"), one);
  EXPECT_EQ (Find ("key-3"), two);
  EXPECT_EQ (Find ("key-"), nullptr);
  EXPECT_EQ (Find ("key-4"), nullptr);
  EXPECT_EQ (acc_find_name (table_, "two"), two);
  EXPECT_EQ (acc_find_name (table_, "three"), nullptr);
}

// Guards against keys that are lost while a shard grows.
TEST_F (Accounts, AllKeysAreListedOnce)
{
  AccAccount *accounts[] = { acc_add (table_, "one"), acc_add (table_, "two") };
  for (int i = 0; i < 5000; i++)
    EXPECT_TRUE (AddKey (accounts[i % 2], "key-" + std::to_string (i)));
  for (int i = 0; i < 5000; i++)
    EXPECT_EQ (Find ("key-" + std::to_string (i)), accounts[i % 2]) << i;
  int counts[2] = { 0, 0 };
  AccKeyIter iter = {};
  while (const AccKey *key = acc_next_key (table_, &iter))
    {
      EXPECT_EQ (acc_find (table_, &key->digest), key->account);
      counts[key->account == accounts[1]]++;
    }
  EXPECT_EQ (counts[0], 2500);
  EXPECT_EQ (counts[1], 2500);
}

TEST_F (Accounts, KeyOfAnotherAccountIsRefused)
{
  AccAccount *one = acc_add (table_, "one");
  AccAccount *two = acc_add (table_, "two");
  EXPECT_TRUE (AddKey (one, "key"));
  EXPECT_TRUE (AddKey (one, "key"));
  EXPECT_FALSE (AddKey (two, "key"));
  EXPECT_EQ (Find ("key"), one);
  EXPECT_EQ (acc_add (table_, "one"), nullptr);
}

// Guards against digests that anyone can compute: they depend on the secret of the process.
TEST (Acc, DigestDependsOnTheSecretAndTheWholeKey)
{
  const AccSecret other = { { 9 } };
  AccDigest digest = Digest ("key");
  AccDigest same = Digest ("key");
  AccDigest with_other_secret = Digest ("key", other);
  AccDigest of_other_key = Digest ("kez");
  EXPECT_EQ (memcmp (&digest, &same, sizeof digest), 0);
  EXPECT_NE (memcmp (&digest, &with_other_secret, sizeof digest), 0);
  EXPECT_NE (memcmp (&digest, &of_other_key, sizeof digest), 0);
}

// HMAC-SHA-256 of the key 0x0b x 20 and "Hi There" (RFC 4231, test case 1), whose key is padded
// with zeros to the size of the secret.
TEST (Acc, DigestIsHmacSha256)
{
  AccSecret secret = {};
  memset (secret.bytes, 0x0b, 20);
  AccDigest digest = Digest ("Hi There", secret);
  const uint8_t expected[] = { 0xb0, 0x34, 0x4c, 0x61, 0xd8, 0xdb, 0x38, 0x53 };
  EXPECT_EQ (memcmp (digest.bytes, expected, sizeof expected), 0);
}

TEST (Acc, BearerKeyIsReadFromTheHeader)
{
  EXPECT_EQ (Bearer ("Bearer abc"), "abc");
  EXPECT_EQ (Bearer ("bearer  abc \t"), "abc");
  EXPECT_EQ (Bearer ("Bearer a b"), "a b");
  for (const char *value : { "", "Bearer", "Bearer ", "Bearer \t ", "Bearerabc", "Basic abc", "abc",
                             "Bear", " Bearer abc" })
    EXPECT_EQ (Bearer (value), "none") << value;
}

TEST (Acc, NamesThatCannotBeSentInAHeaderAreInvalid)
{
  EXPECT_TRUE (acc_is_valid_name ("kaje80"));
  EXPECT_TRUE (acc_is_valid_name ("m\xc3\xbcller"));
  EXPECT_TRUE (acc_is_valid_name (std::string (ACC_NAME_MAX_BYTES, 'n').c_str ()));
  for (const std::string &name :
       { std::string (), std::string ("a b"), std::string ("a\r\nX: y"), std::string ("a\x7f"),
         std::string (ACC_NAME_MAX_BYTES + 1, 'n') })
    EXPECT_FALSE (acc_is_valid_name (name.c_str ())) << name;
}

TEST_F (Accounts, OnlyListedRegionsAreAllowed)
{
  AccAccount *account = acc_add (table_, "one");
  EXPECT_TRUE (acc_allows_region (nullptr, "east"));
  EXPECT_TRUE (acc_allows_region (account, "east"));
  account->regions = g_strsplit ("west,unknown", ",", -1);
  EXPECT_TRUE (acc_limits_regions (account));
  EXPECT_FALSE (acc_allows_region (account, "east"));
  EXPECT_TRUE (acc_allows_region (account, "west"));
  g_strfreev (account->regions);
  account->regions = g_new0 (char *, 1);
  EXPECT_FALSE (acc_limits_regions (account));
  EXPECT_TRUE (acc_allows_region (account, "east"));
}

TEST_F (Accounts, AreSortedByRequests)
{
  acc_add (table_, "few")->requests = 1;
  acc_add (table_, "many")->requests = 9;
  acc_add (table_, "none");
  acc_add (table_, "also-few")->requests = 1;
  GPtrArray *sorted = acc_by_requests (table_);
  std::string names;
  for (guint i = 0; i < sorted->len; i++)
    names += std::string (((AccAccount *) g_ptr_array_index (sorted, i))->name) + " ";
  g_ptr_array_unref (sorted);
  EXPECT_EQ (names, "many also-few few none ");
}

namespace
{
double
MicrosecondsPerLookup (int keys)
{
  AccTable *table = acc_new ();
  AccAccount *account = acc_add (table, "one");
  for (int i = 0; i < keys; i++)
    {
      AccDigest digest = Digest ("key-" + std::to_string (i));
      acc_add_key (table, account, &digest);
    }
  const int kLookups = 20000;
  int found = 0;
  clock_t start = clock ();
  for (int i = 0; i < kLookups; i++)
    {
      AccDigest digest = Digest ("key-" + std::to_string (i % (2 * keys)));
      found += acc_find (table, &digest) != nullptr;
    }
  double us = 1e6 * (double) (clock () - start) / CLOCKS_PER_SEC / kLookups;
  EXPECT_GT (found, 0);
  acc_free (table);
  return us;
}
}

// Guards against a search through all keys: 100,000 of them take a few times as long as 10, because
// of the processor's caches, and not 10,000 times.
TEST (Acc, LookupTimeDoesNotGrowWithTheNumberOfKeys)
{
  double few_us = MicrosecondsPerLookup (10);
  double many_us = MicrosecondsPerLookup (100000);
  RecordProperty ("few_us", std::to_string (few_us));
  RecordProperty ("many_us", std::to_string (many_us));
  EXPECT_LT (many_us, 20 * few_us);
}
