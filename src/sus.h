/* Crash suspicion: which requests an upstream was running when it crashed. */
#pragma once

#include "nod.h"

/**
 * sus_record_loss() - records that an exchange was lost on an upstream
 * @fingerprint: see poi_fingerprint()
 *
 * SUS_CHECK_DELAY_MS later it checks whether the upstream still listens; if the connection is
 * refused, sus_record_refusal() follows.
 */
void sus_record_loss (Node *node, Ups *ups, uint64_t fingerprint);

/** sus_record_refusal() - records that an upstream refused a connection: each request that was lost
 * on it within UPS_LOST_MAX_AGE_MS before is suspected of having crashed it. */
void sus_record_refusal (Node *node, Ups *ups);
