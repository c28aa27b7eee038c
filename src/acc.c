/* Client accounts of one version of the configuration: API keys, quotas and allowed regions. */
#include "acc.h"

#include "ups.h"

#include <string.h>

#define SCHEME "Bearer"
#define SCHEME_BYTES 6
#define SHARD_SLOTS_MIN 4u
#define NAMES_BLOCK_BYTES 1024

uint32_t
acc_hash (const char *name)
{
  return ups_hash (name) | 1u;
}

/* ---- Table ---- */

static void
account_free (gpointer data)
{
  AccAccount *account = data;

  g_strfreev (account->regions);
  g_free (account);
}

/* Digests are uniformly distributed, so that their first bytes are a hash: its lowest bits select
 * the shard, the others the slot. */
static uint64_t
digest_hash (const AccDigest *digest)
{
  uint64_t hash;

  memcpy (&hash, digest->bytes, sizeof hash);
  return hash;
}

/* The slot of the digest, or the free one in which to add it; the shard has a free slot. */
static AccKey *
find_slot (const AccShard *shard, const AccDigest *digest)
{
  uint64_t at = digest_hash (digest) / ACC_SHARDS;
  AccKey *key;

  do
    key = &shard->slots[at++ & (shard->capacity - 1)];
  while (key->account != NULL && memcmp (&key->digest, digest, sizeof *digest) != 0);
  return key;
}

static void
grow_shard (AccShard *shard)
{
  AccShard grown
      = { .capacity = MAX (2 * shard->capacity, SHARD_SLOTS_MIN), .count = shard->count };

  grown.slots = g_new0 (AccKey, grown.capacity);
  for (uint32_t i = 0; i < shard->capacity; i++)
    if (shard->slots[i].account != NULL)
      *find_slot (&grown, &shard->slots[i].digest) = shard->slots[i];
  g_free (shard->slots);
  *shard = grown;
}

AccTable *
acc_new (void)
{
  AccTable *table = g_new0 (AccTable, 1);

  table->accounts = g_ptr_array_new_with_free_func (account_free);
  table->names = g_string_chunk_new (NAMES_BLOCK_BYTES);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return table;
}

void
acc_free (AccTable *table)
{
  if (table == NULL)
    return;
  for (uint32_t i = 0; i < ACC_SHARDS; i++)
    g_free (table->shards[i].slots);
  g_hash_table_unref (table->by_name);
  g_ptr_array_unref (table->accounts);
  g_string_chunk_free (table->names);
  g_free (table);
}

bool
acc_is_valid_name (const char *name)
{
  size_t size = strlen (name);

  for (size_t i = 0; i < size; i++)
    if ((unsigned char) name[i] <= ' ' || name[i] == 0x7f)
      return false;
  return size > 0 && size <= ACC_NAME_MAX_BYTES;
}

AccAccount *
acc_add (AccTable *table, const char *name)
{
  if (acc_find_name (table, name) != NULL)
    return NULL;
  AccAccount *account = g_new0 (AccAccount, 1);
  account->name = g_string_chunk_insert (table->names, name);
  account->hash = acc_hash (name);
  g_ptr_array_add (table->accounts, account);
  g_hash_table_insert (table->by_name, account->name, account);
  return account;
}

bool
acc_add_key (AccTable *table, AccAccount *account, const AccDigest *digest)
{
  AccShard *shard = &table->shards[digest_hash (digest) % ACC_SHARDS];
  const AccAccount *holder = acc_find (table, digest);

  if (holder != NULL)
    return holder == account;
  if (4 * (shard->count + 1) > 3 * shard->capacity)
    grow_shard (shard);
  *find_slot (shard, digest) = (AccKey){ .digest = *digest, .account = account };
  shard->count++;
  return true;
}

const AccKey *
acc_next_key (const AccTable *table, AccKeyIter *iter)
{
  for (; iter->shard < ACC_SHARDS; iter->shard++, iter->slot = 0)
    {
      const AccShard *shard = &table->shards[iter->shard];
      while (iter->slot < shard->capacity)
        {
          const AccKey *key = &shard->slots[iter->slot++];
          if (key->account != NULL)
            return key;
        }
    }
  return NULL;
}

size_t
acc_key_bytes (const AccTable *table)
{
  size_t bytes = 0;

  for (uint32_t i = 0; i < ACC_SHARDS; i++)
    bytes += table->shards[i].capacity * sizeof (AccKey);
  return bytes;
}

/* ---- Keys ---- */

AccDigest
acc_digest (const AccSecret *secret, const char *key, size_t size)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, secret->bytes, sizeof secret->bytes);
  AccDigest digest;
  gsize digest_size = sizeof digest.bytes;

  g_hmac_update (hmac, (const guchar *) key, (gssize) size);
  g_hmac_get_digest (hmac, digest.bytes, &digest_size);
  g_hmac_unref (hmac);
  return digest;
}

AccAccount *
acc_find (const AccTable *table, const AccDigest *digest)
{
  const AccShard *shard = &table->shards[digest_hash (digest) % ACC_SHARDS];

  return shard->capacity > 0 ? find_slot (shard, digest)->account : NULL;
}

AccAccount *
acc_find_name (const AccTable *table, const char *name)
{
  return g_hash_table_lookup (table->by_name, name);
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

const char *
acc_parse_bearer (const char *value, size_t *size)
{
  *size = 0;
  if (g_ascii_strncasecmp (value, SCHEME, SCHEME_BYTES) != 0 || !is_blank (value[SCHEME_BYTES]))
    return NULL;
  const char *key = value + SCHEME_BYTES;
  while (is_blank (*key))
    key++;
  size_t length = strlen (key);
  while (length > 0 && is_blank (key[length - 1]))
    length--;
  *size = length;
  return length > 0 ? key : NULL;
}

/* ---- Regions ---- */

bool
acc_limits_regions (const AccAccount *account)
{
  return account != NULL && account->regions != NULL && account->regions[0] != NULL;
}

bool
acc_allows_region (const AccAccount *account, const char *region)
{
  return !acc_limits_regions (account)
         || g_strv_contains ((const gchar *const *) account->regions, region);
}

/* ---- Status ---- */

static gint
compare_requests (gconstpointer a, gconstpointer b)
{
  const AccAccount *x = *(AccAccount *const *) a;
  const AccAccount *y = *(AccAccount *const *) b;

  if (x->requests != y->requests)
    return x->requests > y->requests ? -1 : 1;
  return strcmp (x->name, y->name);
}

GPtrArray *
acc_by_requests (const AccTable *table)
{
  GPtrArray *sorted = g_ptr_array_copy (table->accounts, NULL, NULL);

  g_ptr_array_set_free_func (sorted, NULL);
  g_ptr_array_sort (sorted, compare_requests);
  return sorted;
}
