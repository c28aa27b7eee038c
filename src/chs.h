/* Choice of an upstream: turns what the node knows into candidates for placement. */
#pragma once

#include "adm.h"
#include "nod.h"

/**
 * struct ChsRequest - what the choice needs to know of a request
 * @key: hash of its object, 0 for none
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
  const uint32_t *tried;
  uint32_t tried_count;
} ChsRequest;

/** chs_upstream() - the upstream that takes the request now, or NULL when none has room. */
Ups *chs_upstream (const Node *node, const ChsRequest *request);
