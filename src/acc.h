/* Client accounts of one version of the configuration: API keys, quotas and allowed regions. Pure:
 * no I/O, no clock. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ACC_SECRET_BYTES 32
#define ACC_DIGEST_BYTES 32

/** struct AccSecret - random key of the hash of API keys; one for each process */
typedef struct
{
  uint8_t bytes[ACC_SECRET_BYTES];
} AccSecret;

/** struct AccDigest - keyed hash (HMAC-SHA-256) of an API key */
typedef struct
{
  uint8_t bytes[ACC_DIGEST_BYTES];
} AccDigest;

/**
 * struct AccAccount - a client account
 * @hash: acc_hash() of its name; identifies it in messages between nodes
 * @has_priority: @priority takes precedence over that of the route
 * @rate_mps: quota in thousandths of a request per second, over all nodes; 0 for no limit
 * @burst: requests that it may send at once beyond @rate_mps
 * @regions: names of the regions that may serve its requests, NULL-terminated; NULL or empty for
 * all
 * @invalid_field: name of a field whose invalid value is ignored, or NULL
 * @is_applied: the node has set its quota and added the counters of the version before
 * @requests: its requests on this node, carried over to the next version
 * @over_quota: those of @requests that were rejected because of the quota
 */
typedef struct
{
  char *name;
  uint32_t hash;
  bool has_priority;
  uint32_t priority;
  uint64_t rate_mps;
  uint32_t burst;
  char **regions;
  const char *invalid_field;
  bool is_applied;
  uint64_t requests;
  uint64_t over_quota;
} AccAccount;

/** struct AccKey - an API key's digest and its account; free while @account is NULL */
typedef struct
{
  AccDigest digest;
  AccAccount *account;
} AccKey;

/** struct AccShard - part of the keys, as a hash table with open addressing
 * @capacity: number of slots, 0 or a power of 2 */
typedef struct
{
  AccKey *slots;
  uint32_t capacity;
  uint32_t count;
} AccShard;

/**
 * struct AccTable - all accounts of one version of the configuration
 * @accounts: AccAccount in order of addition, owned by the table
 * @names: storage of their names
 * @by_name: the same by name
 * @shards: keys by digest; each shard grows separately, so that no addition moves all keys
 */
typedef struct
{
  GPtrArray *accounts;
  GStringChunk *names;
  GHashTable *by_name;
  AccShard shards[ACC_SHARDS];
} AccTable;

/** acc_hash() - hash of an account's name, not 0. */
uint32_t acc_hash (const char *name);

AccTable *acc_new (void);
void acc_free (AccTable *table);

/** acc_is_valid_name() - whether the name can be the value of a header: 1 to ACC_NAME_MAX_BYTES
 * bytes without blanks and control characters. */
bool acc_is_valid_name (const char *name);

/** acc_add() - adds an account without keys and limits; NULL when there is one of that name. The
 * table owns it. */
AccAccount *acc_add (AccTable *table, const char *name);

/** acc_add_key() - adds a key of an account; false when it is another account's key. */
bool acc_add_key (AccTable *table, AccAccount *account, const AccDigest *digest);

/** struct AccKeyIter - position among the keys; starts with zeros */
typedef struct
{
  uint32_t shard;
  uint32_t slot;
} AccKeyIter;

/** acc_next_key() - next key of any account, NULL after the last; the table must not change. */
const AccKey *acc_next_key (const AccTable *table, AccKeyIter *iter);

/** acc_key_bytes() - memory of the keys of all accounts. */
size_t acc_key_bytes (const AccTable *table);

/** acc_digest() - the keyed hash of an API key. */
AccDigest acc_digest (const AccSecret *secret, const char *key, size_t size);

/** acc_find() - the account that holds the key with this digest, or NULL. Takes constant time, of
 * which no part depends on how much of a wrong key is right. */
AccAccount *acc_find (const AccTable *table, const AccDigest *digest);

/** acc_find_name() - the account of this name, or NULL. */
AccAccount *acc_find_name (const AccTable *table, const char *name);

/**
 * acc_parse_bearer() - the key in the value of an Authorization header ("Bearer KEY")
 * @size: set to the length of the key
 *
 * Return: the key within @value, not NUL-terminated, or NULL when there is none.
 */
const char *acc_parse_bearer (const char *value, size_t *size);

/** acc_limits_regions() - whether not all regions may serve the account. */
bool acc_limits_regions (const AccAccount *account);

/** acc_allows_region() - whether the region may serve the account; @account may be NULL. */
bool acc_allows_region (const AccAccount *account, const char *region);

/** acc_by_requests() - the accounts in descending order of their requests, as a new array. */
GPtrArray *acc_by_requests (const AccTable *table);
