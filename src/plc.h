/* Placement: selects the upstream that serves a request. Pure: no I/O and no clock. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct PlcCandidate - state of one upstream
 * @eligible: objects may be assigned to it, also while it is temporarily not usable
 * @usable: requests may be sent to it now
 * @hash: hash of its id
 * @region: index of its region
 * @local_zone: it is in the node's availability zone
 * @slots: requests that it runs at the same time; 0 only when it is not usable
 * @good_slots: requests beyond which its work takes longer, 0 for @slots; a preference, since
 *   running them is better than rejecting them
 * @in_flight: requests on it from all nodes
 * @rtt_ms: round-trip time to it
 * @slowness_permille: its work times relative to the usual ones of the routes, 1000 for equal
 * @slow: it has been slower than its peers for seconds, not only for a moment
 * @pace_permille: current pace relative to the one in @slowness_permille, 0 for unknown; it passes
 *   within fractions of a second, so that no object moves because of it
 * @fault_permille: recent share of requests that it failed
 * @objects: hashes of the objects for which this node sent it requests lately
 * @untried: this node has sent it no request since it joined
 */
typedef struct PlcCandidate
{
  bool eligible;
  bool usable;
  uint32_t hash;
  uint32_t region;
  bool local_zone;
  uint32_t slots;
  uint32_t good_slots;
  uint32_t in_flight;
  uint32_t rtt_ms;
  uint32_t slowness_permille;
  bool slow;
  uint32_t pace_permille;
  uint32_t fault_permille;
  const uint32_t *objects;
  uint32_t object_count;
  bool untried;
} PlcCandidate;

/**
 * struct PlcRequest - input of the selection for one request
 * @key: hash of the object, 0 when placement does not depend on one
 * @cold_ms: usual work time on an upstream that is cold for the object
 * @warm_ms: usual work time on an upstream that is warm for the object
 * @objects: estimated number of distinct objects of the service
 * @standby_region: index of the region whose standby upstreams may serve the request
 * @regions: bits of the regions whose upstreams may serve the request
 * @local_zone_only: only upstreams in the node's availability zone may serve it
 * @wait_max_ms: longest expected time in an upstream's queue
 * @reserved_slots: slots of all candidates together that the request must leave free
 */
typedef struct
{
  uint32_t key;
  uint32_t cold_ms;
  uint32_t warm_ms;
  uint32_t objects;
  uint32_t standby_region;
  uint32_t regions;
  bool local_zone_only;
  uint32_t wait_max_ms;
  uint32_t reserved_slots;
} PlcRequest;

#define PLC_NONE UINT32_MAX

/**
 * plc_choose() - index of the candidate with the lowest expected response time
 *
 * An upstream is fast for the few objects that it handled last (it is warm for them). Rendezvous
 * hashing of object and upstream therefore assigns each object to one primary upstream in each
 * region, the same on all nodes. A region whose upstreams are too few for all objects is assigned
 * only a part of them.
 *
 * In @standby_region the standby upstream, which has the second-highest score, may serve the object
 * too while the primary is slow or faulty or has more requests than it serves well, or no assigned
 * upstream of the allowed regions is usable, and, when it is warm for the object, while the primary
 * is untried.
 *
 * A request may queue at an upstream to which its object is assigned. Other upstreams are used only
 * when no assigned one is usable, and only while less than half of their slots are in use, because
 * a request for an uncached object costs them capacity that their own objects need. An untried
 * primary without requests in flight is preferred to all others, so that an upstream that joined is
 * used from the first request for one of its objects.
 *
 * Return: the candidate's index, or PLC_NONE.
 */
uint32_t plc_choose (const PlcCandidate *candidates, uint32_t count, const PlcRequest *request);

/** plc_free_slots() - free slots of all usable candidates. */
uint32_t plc_free_slots (const PlcCandidate *candidates, uint32_t count);
