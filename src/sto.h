/* Client of the platform's object store; a port to another platform replaces this module. */
#pragma once

#include "hcl.h"
#include "obj.h"

/**
 * typedef StoResult - result of a call to the store
 * @STO_CONFLICT: the object's version differs from that of a conditional write; nothing was written
 * @STO_INVALID: the store rejected the request or the object's size
 * @STO_UNAVAILABLE: a read failed, or a write failed without taking effect
 * @STO_UNKNOWN: no complete response to a write, which may have taken effect
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

/* Values of @if_version: write unconditionally, or only if the object does not exist. */
#define STO_ANY_VERSION (-1)
#define STO_ABSENT 0

/**
 * struct Sto - client of one store
 * @failures: calls that ended as STO_UNAVAILABLE or STO_UNKNOWN
 */
typedef struct
{
  HclCtx *http;
  NetAddr addr;
  uint64_t calls;
  uint64_t failures;
} Sto;

/** struct StoChanges - objects of a list, or changes of a watch, up to @revision */
typedef struct
{
  uint64_t revision;
  GPtrArray *objects;
} StoChanges;

/**
 * typedef StoValueFn - receives the result of a call on one object
 * @version: the object's version from a response with STO_OK or STO_CONFLICT, else 0
 * @value: JSON text from such a response, or NULL if it has none
 */
typedef void (*StoValueFn) (void *user, StoResult result, uint64_t version, const char *value);
/** typedef StoChangesFn - receives the result of a list or watch */
typedef void (*StoChangesFn) (void *user, StoResult result, const StoChanges *changes);

void sto_init (Sto *sto, HclCtx *http, NetAddr addr);

void sto_get (Sto *sto, const char *path, StoValueFn fn, void *user);

/**
 * sto_put() - writes an object
 * @value: JSON text
 * @if_version: version that the object must have, STO_ABSENT, or STO_ANY_VERSION
 */
void sto_put (Sto *sto, const char *path, const char *value, int64_t if_version, StoValueFn fn,
              void *user);
void sto_delete (Sto *sto, const char *path, int64_t if_version, StoValueFn fn, void *user);

/** sto_list() - lists the objects under @prefixes, which are separated by commas. */
void sto_list (Sto *sto, const char *prefixes, StoChangesFn fn, void *user);

/** sto_watch() - changes after revision @since; the store waits up to WATCH_WAIT_MS for one. */
void sto_watch (Sto *sto, const char *prefixes, uint64_t since, StoChangesFn fn, void *user);

const char *sto_result_name (StoResult result);
