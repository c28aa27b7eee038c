/* A caller's request on a node: its state, and how it ends. */
#pragma once

#include "adm.h"
#include "msg.h"
#include "nod.h"

#define FRQ_SENDS_MAX 5

/**
 * struct Frq - one request
 * @link: lives with h2o's request and tells when that ends
 * @key: hash of the object that it concerns, 0 for none
 * @region_hash: decides in which region it runs; the same for all requests that concern the same
 * object
 * @draw_ppm: decides whether it may run elsewhere when that region has no room
 * @region: the region to which it belonged when it was last looked at
 * @may_have_run: it was sent and nothing proves that it did not run
 * @relay: the node by way of which it was sent; NULL when it went directly
 * @back_least_ms: a refused caller comes back in vain before
 * @item: its place among the node's requests
 * @tried: hashes of the upstreams that it was sent to
 */
typedef struct
{
  Node *node;
  h2o_req_t *h2o;
  void *gone_key;
  struct FrqLink *link;
  RteTable *table;
  RteRoute *route;
  NodService *service;
  NodWork *work;
  MsgRequest message;
  char *id;
  uint32_t key;
  uint32_t region_hash;
  uint32_t draw_ppm;
  uint32_t region;
  uint64_t fingerprint;
  AdmRequest admission;
  uint64_t at_ms;
  uint64_t ends_at_ms;
  uint64_t waits_until_ms;
  uint64_t waiting_since_ms;
  uint32_t back_least_ms;
  uint64_t sent_at_ms;
  uint32_t sends;
  uint32_t runs;
  uint32_t misdirects;
  bool may_have_run;
  bool waiting;
  bool sent_warm;
  uint32_t tried[FRQ_SENDS_MAX];
  char last_upstream[NAME_MAX_BYTES];
  Ups *ups;
  RlyPeer *relay;
  UcnCall *call;
  uv_timer_t timer;
  GList *item;
} Frq;

/** struct FrqLink - lives with h2o's request; NULL once the own state is gone */
typedef struct FrqLink
{
  Frq *frq;
} FrqLink;

/** frq_detach() - ends the request's state; h2o's request, which is still to be answered. */
h2o_req_t *frq_detach (Frq *frq);

/** frq_free() - releases the state; the upstream's work is cancelled. */
void frq_free (Frq *frq);

/** frq_stop_waiting() - takes it out of the queue for room. */
void frq_stop_waiting (Frq *frq);

/** frq_release_relay() - the request is no longer on its way by a relay. */
void frq_release_relay (Frq *frq);

/** frq_release_upstream() - the request is no longer on its upstream. */
void frq_release_upstream (Frq *frq);

/** frq_answer_own() - answers with a status of the node's own. */
void frq_answer_own (Frq *frq, int status, const char *reason);

/** frq_answer_not_run() - 503 with a time to come back, or 502 where it may have run. */
void frq_answer_not_run (Frq *frq, const char *reason);

/** frq_deliver() - passes an upstream's answer on. */
void frq_deliver (Frq *frq, const UcnAnswer *answer);

/** frq_is_sampled() - it is logged also when nothing fails. */
bool frq_is_sampled (const Frq *frq);

/** frq_expected_ms() - usual time of its work on the upstream that it was sent to. */
uint32_t frq_expected_ms (const Frq *frq);
