/* Upstream selection: chooses region and upstream of a request from the node's state. */
#pragma once

#include "adm.h"
#include "nod.h"

/**
 * struct ChsRequest - input of the selection for one request
 * @account: the client account that sent it, or NULL
 * @key: hash of its object, 0 for none
 * @region_hash: hash that decides the region in which it runs
 * @draw_ppm: random number below SHARE_ONE_PPM, compared with the limits on the traffic split and
 *   on spillover
 * @tried: hashes of the upstreams to which it was sent before
 */
typedef struct
{
  const RteTable *table;
  const RteRoute *route;
  const AccAccount *account;
  const NodService *service;
  const NodRouteStats *work;
  const AdmRequest *admission;
  uint32_t key;
  uint32_t region_hash;
  uint32_t draw_ppm;
  const uint32_t *tried;
  uint32_t tried_count;
} ChsRequest;

/**
 * struct ChsCandidates - snapshot of the candidates of a route and account; outdated when the next
 * request is sent
 * @upstreams: upstreams of the service, NULL for none
 * @candidates: one for each of @upstreams, NULL for none
 * @allowed_regions: bits of the regions that may serve both the route and the account
 * @total_slots: slots of all @upstreams
 */
typedef struct
{
  const Node *node;
  const GPtrArray *upstreams;
  struct PlcCandidate *candidates;
  uint32_t allowed_regions;
  uint32_t total_slots;
} ChsCandidates;

/**
 * struct ChsChoice - result of the selection
 * @ups: the upstream, or NULL when none can accept the request now
 * @region: the region to which the traffic split assigns the request, REGIONS_MAX for none; @ups is
 *   in another one after spillover
 * @held_back: the request would exceed the cap on shift between regions; @ups is NULL then
 */
typedef struct
{
  Ups *ups;
  uint32_t region;
  bool held_back;
} ChsChoice;

/** chs_candidates_new() - the current candidates for requests of @request's route and
 * account. */
ChsCandidates *chs_candidates_new (const Node *node, const ChsRequest *request);
void chs_candidates_free (ChsCandidates *set);

/** chs_earliest_resume_ms() - earliest end of the eligible upstreams' pauses (see ups_pause()), a
 * past time when one is not paused; 0 when the service has no known upstream, UINT64_MAX when none
 * of its upstreams is eligible. */
uint64_t chs_earliest_resume_ms (const Node *node, const ChsRequest *request);

/** struct ChsFeedback - number of a service's upstreams that asked for no requests */
typedef struct
{
  uint32_t paused;
  uint32_t leaving;
} ChsFeedback;

/** chs_count_feedback() - counts them, for the log. */
ChsFeedback chs_count_feedback (const Node *node, const char *service, uint64_t now_ms);

/** chs_accepts_requests() - new requests may be sent to an upstream: it is registered, neither
 * leaving nor draining, and its zone is not evacuated. */
bool chs_accepts_requests (const Node *node, const Ups *ups);

/** chs_slots() - requests that an upstream runs at the same time: its registered slots, or fewer
 * that it stated itself. */
uint32_t chs_slots (const Node *node, const Ups *ups, uint64_t now_ms);

/** chs_good_slots() - concurrent requests that an upstream takes well: chs_slots(), or fewer that
 * were learned. */
uint32_t chs_good_slots (const Node *node, const NodService *service, const Ups *ups,
                         uint64_t now_ms);

/** chs_in_flight() - estimate of the requests on an upstream from all nodes. */
uint32_t chs_in_flight (const Node *node, const Ups *ups, uint64_t now_ms);

/** chs_expected_rtt_ms() - round-trip time to an upstream, or an assumption by its region. */
uint32_t chs_expected_rtt_ms (const Node *node, const Ups *ups);

/** chs_choose() - the region and the upstream of a request; upstreams in @tried are excluded. */
ChsChoice chs_choose (ChsCandidates *set, const ChsRequest *request);

/** chs_choose_once() - chs_choose() on candidates built for this request alone. */
ChsChoice chs_choose_once (const Node *node, const ChsRequest *request);
