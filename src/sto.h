/* Client of the platform's object service; another platform is another version of this file. */
#pragma once

#include "hcl.h"
#include "obj.h"

/**
 * typedef StoResult - how a call to the store ended
 * @STO_CONFLICT: a conditional write met another version; nothing was written
 * @STO_UNAVAILABLE: the call did not take effect
 * @STO_UNKNOWN: no answer came; a write may have taken effect
 */
typedef enum
{
  STO_OK,
  STO_NOT_FOUND,
  STO_CONFLICT,
  STO_INVALID,
  STO_UNAVAILABLE,
  STO_UNKNOWN,
} StoResult;

#define STO_ANY_VERSION (-1)
#define STO_ABSENT 0

typedef struct
{
  HclCtx *http;
  NetAddr addr;
  uint64_t calls;
  uint64_t failures;
} Sto;

/** struct StoChanges - result of a list or watch */
typedef struct
{
  uint64_t revision;
  GPtrArray *objects;
} StoChanges;

/** typedef StoValueFn - @version and @value are set when @result is STO_OK */
typedef void (*StoValueFn) (void *user, StoResult result, uint64_t version, const char *value);
typedef void (*StoChangesFn) (void *user, StoResult result, const StoChanges *changes);

void sto_init (Sto *sto, HclCtx *http, NetAddr addr);

void sto_get (Sto *sto, const char *path, StoValueFn fn, void *user);

/**
 * sto_put() - writes an object
 * @value: JSON text
 * @if_version: version that must be in place, STO_ABSENT, or STO_ANY_VERSION
 */
void sto_put (Sto *sto, const char *path, const char *value, int64_t if_version, StoValueFn fn,
              void *user);
void sto_delete (Sto *sto, const char *path, int64_t if_version, StoValueFn fn, void *user);

/** sto_list() - all live objects under the prefixes, separated by commas. */
void sto_list (Sto *sto, const char *prefixes, StoChangesFn fn, void *user);

/** sto_watch() - changes after @from; waits up to WATCH_WAIT_MS for one. */
void sto_watch (Sto *sto, const char *prefixes, uint64_t from, StoChangesFn fn, void *user);

const char *sto_result_name (StoResult result);
