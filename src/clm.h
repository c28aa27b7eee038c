/* Claims: a non-idempotent request runs only after its idempotency key was claimed in the store. */
#pragma once

#include "entry.h"

/**
 * typedef ClmResult - result of acquiring a claim
 * @CLM_WON: the claim was acquired; the request may run once
 * @CLM_REPLAY: the request ran before and its response is stored
 * @CLM_MAY_HAVE_RUN: the key was claimed before and no result is recorded
 * @CLM_KEY_REUSED: the key was used for a request with another fingerprint
 * @CLM_UNAVAILABLE: the store could not be read or written; this call did not run the request
 */
typedef enum
{
  CLM_WON,
  CLM_REPLAY,
  CLM_MAY_HAVE_RUN,
  CLM_KEY_REUSED,
  CLM_UNAVAILABLE,
} ClmResult;

/** struct ClmResponse - response stored for a replay; @body is NULL when it was too large to store
 */
typedef struct
{
  int status;
  const char *content_type;
  const char *body;
  size_t size;
} ClmResponse;

typedef struct _Clm Clm;
typedef void (*ClmFn) (void *user, ClmResult result, const ClmResponse *response);

/**
 * clm_acquire() - claims an idempotency key for a request
 * @fingerprint: hash of the request, which tells a repeated request from a reused key
 *
 * Calls @fn once. After CLM_WON the caller ends the claim by clm_finish(), clm_release() or
 * clm_abandon(); after any other result it must not use the claim any more. While the store is
 * unavailable, a service with store_down_allow claims the key in this process only.
 *
 * Return: the claim, valid until @fn returns, and after CLM_WON until it is ended
 */
Clm *clm_acquire (Entry *entry, const CfgService *service, const char *key, uint64_t fingerprint,
                  ClmFn fn, void *user);

/** clm_finish() - records that the request ran, and its response; frees @claim. */
void clm_finish (Clm *claim, const ClmResponse *response);

/** clm_release() - records that the request did not run, so a retry may run; frees @claim. */
void clm_release (Clm *claim);

/** clm_abandon() - leaves the record as claimed, as the request may have run; frees @claim. */
void clm_abandon (Clm *claim);
