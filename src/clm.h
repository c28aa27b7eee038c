/* Claims: a non-idempotent request runs only for the one that wrote its claim to the platform. */
#pragma once

#include "entry.h"

/**
 * typedef ClmResult - outcome of a claim
 * @CLM_WON: the request may run, once
 * @CLM_REPLAY: it ran before and its answer is known
 * @CLM_MAY_HAVE_RUN: it was claimed before and its end is not known
 * @CLM_KEY_REUSED: the key was used for another request
 * @CLM_UNAVAILABLE: the platform could not say; the request was not run by this call
 */
typedef enum
{
  CLM_WON,
  CLM_REPLAY,
  CLM_MAY_HAVE_RUN,
  CLM_KEY_REUSED,
  CLM_UNAVAILABLE,
} ClmResult;

/** struct ClmAnswer - answer kept for a replay; @body is NULL when it was too large to keep */
typedef struct
{
  int status;
  const char *content_type;
  const char *body;
  size_t size;
} ClmAnswer;

typedef struct _Clm Clm;
typedef void (*ClmFn) (void *user, ClmResult result, const ClmAnswer *answer);

/** clm_begin() - claims a key; @fn comes once, after which the claim is held when it was won. */
Clm *clm_begin (Entry *entry, const CfgService *service, const char *key, uint64_t fingerprint,
                ClmFn fn, void *user);

/** clm_finish() - records that the request ran and what it answered; releases @claim. */
void clm_finish (Clm *claim, const ClmAnswer *answer);

/** clm_release() - records that the request was not run, so that a resend may; releases @claim. */
void clm_release (Clm *claim);

/** clm_abandon() - leaves the claim in place, as the request may have run; releases @claim. */
void clm_abandon (Clm *claim);
