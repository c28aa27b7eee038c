/* Choice of an upstream: turns what the node knows into candidates for placement. */
#pragma once

#include "adm.h"
#include "nod.h"

/**
 * struct ChsRequest - what the choice needs to know of a request
 * @key: hash of its object, 0 for none
 * @lot: decides in which region it runs
 * @draw_ppm: decides whether it may run elsewhere when that has no room
 * @tried: hashes of the upstreams that it was sent to
 */
typedef struct
{
  const RttTable *table;
  const RttRoute *route;
  const NodService *service;
  const NodWork *work;
  const AdmRequest *admission;
  uint32_t key;
  uint32_t lot;
  uint32_t draw_ppm;
  const uint32_t *tried;
  uint32_t tried_count;
} ChsRequest;

/**
 * struct ChsSet - the candidates of a route at one moment; holds until something is sent
 * @allowed: bits of the regions in which the route may be served
 */
typedef struct
{
  const Node *node;
  const GPtrArray *list;
  struct PlcCandidate *candidates;
  uint32_t allowed;
  uint32_t slots;
} ChsSet;

/**
 * struct ChsChoice - what becomes of a request now
 * @ups: an upstream, or NULL when none has room
 * @region: the region to which the request belongs, of which @ups may be outside
 * @held_back: it is turned away so that the cap on shift holds
 */
typedef struct
{
  Ups *ups;
  uint32_t region;
  bool held_back;
} ChsChoice;

/** chs_set_new() - works out the candidates for requests of @request's route. */
ChsSet *chs_set_new (const Node *node, const ChsRequest *request);
void chs_set_free (ChsSet *set);

/** chs_soonest_ms() - when the first upstream that may take the request wants work again; 0 for at
 * once and while none is known, UINT64_MAX when all leave. */
uint64_t chs_soonest_ms (const Node *node, const ChsRequest *request);

/** chs_takes_work() - new work may go to an upstream: it is not leaving, and its zone is not
 * evacuated. */
bool chs_takes_work (const Node *node, const Ups *ups);

/** chs_choose() - the upstream that takes the request now. */
ChsChoice chs_choose (ChsSet *set, const ChsRequest *request);

/** chs_upstream() - the same, with a set for this request alone. */
ChsChoice chs_upstream (const Node *node, const ChsRequest *request);
