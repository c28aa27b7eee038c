/* Relays: nodes near the upstreams of other regions, to which connections are kept. */
#pragma once

#include "nod.h"

/** typedef RlyEnd - how a relayed request ended at the relay, when not by an upstream's answer */
typedef enum
{
  RLY_ANSWERED,
  RLY_REFUSED,
  RLY_NOT_SENT,
  RLY_WITHDRAWN,
  RLY_LOST,
  RLY_TRUNCATED,
  RLY_GARBLED,
} RlyEnd;

/** RLY_END_HEADER - header in which a relay tells RlyEnd to the node that asked it */
#define RLY_END_HEADER "x-cardamom-relay-end"

/** rly_end_text(), rly_end_of() - a relay's end as the header's value, and back; RLY_ANSWERED
 * without the header, RLY_LOST for an unknown value. */
const char *rly_end_text (RlyEnd end);
RlyEnd rly_end_of (const UcnAnswer *answer);

/** rly_end_of_outcome() - what a relay tells of an exchange with an upstream. */
RlyEnd rly_end_of_outcome (UcnOutcome outcome);

/** rly_outcome() - the same as if the exchange had been the asking node's own; RLY_REFUSED counts
 * as withdrawn. */
UcnOutcome rly_outcome (RlyEnd end);

/** rly_init(), rly_clear() - prepares and releases the state. */
void rly_init (Rly *rly);
void rly_clear (Rly *rly);

/** rly_tick() - chooses the relay of each zone of other regions anew every RLY_CHOOSE_MS. */
void rly_tick (Node *node, uint64_t now_ms);

/**
 * rly_take() - the relay by which a request goes to an upstream; NULL when it goes there directly
 * @idle_max_ms: a kept connection that was idle for longer is not used for this request
 *
 * Upstreams of the own region, and those to which a connection is kept, are reached directly. The
 * relay is held until rly_release().
 */
RlyPeer *rly_take (Node *node, Ups *ups, uint32_t idle_max_ms, uint64_t now_ms);
void rly_release (RlyPeer *relay);

/** rly_failed() - a relay did not answer; it is not used for RLY_REST_MS. */
void rly_failed (RlyPeer *relay, uint64_t now_ms);
