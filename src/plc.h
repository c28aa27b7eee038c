/* Placement: which upstream takes a request. Pure. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct PlcCandidate - what is known of one upstream
 * @listed: it counts when objects are assigned, also while it is not usable for a moment
 * @region: index of its region
 * @in_flight: requests on it from all nodes
 * @rtt_ms: time to reach it and back
 * @slowness_permille: its work times against the usual ones
 * @fault_permille: recent share of requests that it failed
 * @objects: hashes of the objects for which this node sent it requests lately
 * @untried: this node has sent it nothing since it joined
 */
typedef struct PlcCandidate
{
  bool listed;
  bool usable;
  uint32_t hash;
  uint32_t region;
  uint32_t slots;
  uint32_t in_flight;
  uint32_t rtt_ms;
  uint32_t slowness_permille;
  uint32_t fault_permille;
  const uint32_t *objects;
  uint32_t object_count;
  bool untried;
} PlcCandidate;

/**
 * struct PlcRequest - what the choice depends on
 * @key: hash of the object, 0 when placement does not depend on one
 * @cold_ms: usual work time where the object is not known
 * @warm_ms: usual work time where it is
 * @objects: objects that the service has, as far as this node has seen
 * @home_region: index of the region in which a deputy may take it
 * @regions: bits of the regions that may take it
 * @wait_max_ms: longest time that it may wait in an upstream's queue
 * @reserve: slots that must stay free in all candidates together
 */
typedef struct
{
  uint32_t key;
  uint32_t cold_ms;
  uint32_t warm_ms;
  uint32_t objects;
  uint32_t home_region;
  uint32_t regions;
  uint32_t wait_max_ms;
  uint32_t reserve;
} PlcRequest;

#define PLC_NONE UINT32_MAX

/**
 * plc_choose() - the candidate that is expected to answer first
 *
 * An upstream is fast for the few objects that it handled last, so each object is assigned to one
 * of each region, by a hash of object and upstream, the same on all nodes. In the home region a
 * deputy takes it while the first is slow or faulty or no region's first can be used, and one that
 * had the object goes on with it while the first is new. A region
 * with too few upstreams for all objects is assigned a part of them. A request may wait for an
 * upstream of its object; others take it only when none of those can serve, and only while less
 * than half of their slots are in use, because work on an unknown object takes capacity from the
 * others. One that joined is tried with the first request for an object of its own. Return: its
 * index, or PLC_NONE.
 */
uint32_t plc_choose (const PlcCandidate *candidates, uint32_t count, const PlcRequest *request);

/** plc_free_slots() - free slots of all usable candidates. */
uint32_t plc_free_slots (const PlcCandidate *candidates, uint32_t count);
