/* Relays: nodes in the zones of remote regions that forward requests to the upstreams there.
 *
 * The node selects one relay for each zone of a remote region and keeps connections to it, so that
 * a request to an upstream there rarely waits for a new connection between regions. */
#pragma once

#include "nod.h"

/**
 * typedef RlyOutcome - outcome of a relayed request
 * @RLY_ANSWERED: the relay forwarded the upstream's response, or rejected the request in the place
 *   of a paused upstream
 * @RLY_REFUSED: the relay rejected the request: it does not know the upstream, the request has no
 *   time left, or the relay is stopping
 * @RLY_NOT_SENT: as UCN_NOT_SENT, between relay and upstream
 * @RLY_WITHDRAWN: the upstream stopped accepting requests before the relay sent this one
 * @RLY_LOST: the request was sent to the upstream, and no response arrived
 * @RLY_TRUNCATED: as UCN_TRUNCATED, between relay and upstream
 * @RLY_INVALID: as UCN_INVALID, between relay and upstream
 */
typedef enum
{
  RLY_ANSWERED,
  RLY_REFUSED,
  RLY_NOT_SENT,
  RLY_WITHDRAWN,
  RLY_LOST,
  RLY_TRUNCATED,
  RLY_INVALID,
} RlyOutcome;

/** RLY_OUTCOME_HEADER - response header in which a relay reports any outcome but RLY_ANSWERED */
#define RLY_OUTCOME_HEADER "x-cardamom-relay-end"

/** rly_outcome_name() - an outcome as the value of RLY_OUTCOME_HEADER. */
const char *rly_outcome_name (RlyOutcome outcome);

/** rly_parse_outcome() - the outcome that a relay's response reports: RLY_ANSWERED without the
 * header, RLY_LOST for an unknown value. */
RlyOutcome rly_parse_outcome (const UcnResponse *response);

/** rly_from_ucn() - at the relay: the outcome of its exchange with the upstream. */
RlyOutcome rly_from_ucn (UcnOutcome exchange);

/** rly_to_ucn() - at the sending node: the outcome of an equivalent direct exchange with the
 * upstream; UCN_WITHDRAWN for RLY_REFUSED. */
UcnOutcome rly_to_ucn (RlyOutcome outcome);

/** rly_init(), rly_clear() - initializes and releases the state. */
void rly_init (Rly *rly);
void rly_clear (Rly *rly);

/** rly_tick() - every RLY_SELECTION_PERIOD_MS, selects the relay of each zone of remote regions
 * again and frees the unused relays of nodes that are no longer peers. */
void rly_tick (Node *node, uint64_t now_ms);

/**
 * rly_acquire() - the relay for a request to an upstream, or NULL when it is to be sent directly
 * @idle_max_ms: longest idle time after which a connection to the upstream may be reused
 *
 * Requests are sent directly to upstreams of the local region, to those with an idle connection,
 * and when the upstream's zone has no available relay. The caller ends its use of the relay with
 * rly_release().
 */
RlyPeer *rly_acquire (Node *node, Ups *ups, uint32_t idle_max_ms, uint64_t now_ms);
void rly_release (RlyPeer *relay);

/** rly_record_failure() - records that a relay failed; it gets no request for
 * RLY_FAILURE_BACKOFF_MS. */
void rly_record_failure (RlyPeer *relay, uint64_t now_ms);
