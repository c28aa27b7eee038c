/* State of a request on an entry, and the responses that the entry itself generates. */
#pragma once

#include "clm.h"
#include "entry.h"

/** typedef ReqState - states of the request chart, in the order of their names in entry.c */
typedef enum
{
  REQ_ADMITTED,
  REQ_CLAIMING,
  REQ_WAITING,
  REQ_RUNNING,
  REQ_ANSWERING,
  REQ_ANSWERED,
  REQ_ABANDONED,
} ReqState;

/** typedef ReqEvent - events of the request chart, in the order of their names in entry.c */
typedef enum
{
  REQ_CLAIM_NEEDED,
  REQ_CLAIM_NOT_NEEDED,
  REQ_CLAIM_WON,
  REQ_REPLAYED,
  REQ_DISPATCHED,
  REQ_NOT_RUN,
  REQ_FAILED_IDEMPOTENT,
  REQ_HEAD,
  REQ_INTERRUPTED,
  REQ_FINISHED,
  REQ_CUT,
  REQ_REFUSED,
  REQ_CALLER_GONE,
} ReqEvent;

/** typedef RunState - whether an upstream ran the request; sent as x-cardamom-run */
typedef enum
{
  RUN_NOT_RUN,
  RUN_MAY_HAVE_RUN,
  RUN_RAN,
} RunState;

/**
 * struct Req - a request
 * @h2o: request of the HTTP server, NULL after the caller disconnected
 * @target: request target that is sent to the upstream: path after the service name, and query
 * @key: Idempotency-Key header, NULL without one
 * @headers: header lines that are forwarded to the upstream
 * @group: client group of the caller
 * @zone: zone in which the request runs, ZONE_NONE before one is chosen
 * @queued: waits in the queue of @zone
 * @upstream: upstream of the attempt in progress, NULL without one
 * @usage: usage of the group and zone of the last attempt, NULL before the first attempt
 * @tried: upstreams of the earlier attempts
 * @sheds: attempts that upstreams rejected for overload
 * @needs_retry_token: the next attempt is a retry for which no retry token was consumed yet
 * @waits_until_ms: end of the waiting time in the queue, 0 before the request waits
 * @crashes: upstream processes that ended while they ran the request
 * @call: HTTP exchange with @upstream, NULL without one
 * @claim: claim that the request acquired or is acquiring, NULL without one
 * @claiming: the result of acquiring @claim is outstanding
 * @checking_crash: a check whether the upstream's process has ended is in progress
 * @outcome: outcome of the last attempt, while @checking_crash
 * @may_have_run: an earlier attempt may have run the request
 * @suspect: the attempt counts in the upstream's suspects, as the request has crashed upstreams
 * @fingerprint: hash of method, target and body that identifies a poison request
 * @status: status of the upstream's response; so are @content_type, @etag and @content_length
 * @close_delimited: the end of the caller's connection ends the response
 * @received: bytes of the response body received from upstreams
 * @response_started: the head of the response was received from an upstream
 * @response_ended: the response to the caller is final
 * @sending: the HTTP server is sending @sending_body
 * @upstream_response_complete: the whole response was received from upstreams
 * @response_failed: the response to the caller can't be completed
 * @pending_body: response body that waits to be sent to the caller
 * @sending_body: response body that the HTTP server is sending
 * @write: while @sending
 * @counted_bytes: bytes of @pending_body and @sending_body that the budget counts
 * @memory: what the budget counts of a request that goes on without its caller
 * @claim_body: response body to store with the claim, at most CLAIM_RESPONSE_MAX_BYTES
 */
typedef struct
{
  h2o_generator_t generator;
  Entry *entry;
  h2o_req_t *h2o;
  EntryService *service;
  int32_t state;
  char *method;
  char *target;
  char *key;
  GString *headers;
  GByteArray *body;
  bool idempotent;
  uint32_t caller_ip;
  uint32_t group;
  uint32_t zone;
  bool queued;
  EntryUpstream *upstream;
  EntryUsage *usage;
  GPtrArray *tried;
  uint32_t attempts;
  uint32_t sheds;
  bool needs_retry_token;
  uint64_t waits_until_ms;
  uint32_t crashes;
  HclCall *call;
  Clm *claim;
  bool claiming;
  bool checking_crash;
  HclOutcome outcome;
  bool may_have_run;
  bool suspect;
  uint64_t fingerprint;
  uint64_t started_us;
  uint64_t deadline_at_ms;
  uv_timer_t *timer;
  int status;
  char *content_type;
  char *etag;
  uint64_t content_length;
  bool has_length;
  bool close_delimited;
  uint64_t received;
  bool response_started;
  bool response_ended;
  bool sending;
  bool upstream_response_complete;
  bool response_failed;
  GByteArray *pending_body;
  GByteArray *sending_body;
  GByteArray *claim_body;
  WrtResponse write;
  uint32_t counted_bytes;
  MbgClaim memory;
} Req;

/**
 * rqs_step() - applies an event of the request chart
 *
 * Logs an event that is impossible in the request's state. Ignored after the caller disconnected
 * (REQ_ABANDONED), although the request may still run.
 */
void rqs_step (Req *req, ReqEvent event);

/**
 * rqs_free_if_done() - frees the request unless a caller, call, queue or callback still uses it
 *
 * A claim that the request still has is abandoned when the request may have run, else released.
 */
void rqs_free_if_done (Req *req);

/** rqs_leave_queue() - removes the request from the queue of its zone, if it waits there. */
void rqs_leave_queue (Req *req);

/** rqs_release_upstream() - ends the attempt: frees the slot of the upstream and of the budget. */
void rqs_release_upstream (Req *req);

/** rqs_end_response() - marks the response as final: stops the timer and leaves the queue. */
void rqs_end_response (Req *req);

/**
 * rqs_respond_error() - ends the request with an error response generated by the entry
 * @run: sent as x-cardamom-run; RUN_NOT_RUN also releases the claim
 * @text: body of the response
 *
 * May free the request.
 */
void rqs_respond_error (Req *req, int status, RunState run, const char *text);

/** rqs_reject() - ends the request with 503 and logs the values that led to it. */
void rqs_reject (Req *req, const char *reason);

/** rqs_run_state() - whether the attempts up to now may have run the request; never RUN_RAN. */
RunState rqs_run_state (const Req *req);
bool rqs_deadline_passed (const Req *req);

/** rqs_is_poison() - whether the request has crashed POISON_CRASHES_MAX upstreams or more. */
bool rqs_is_poison (const Req *req);

/** rqs_record_crash() - counts a crash of the upstream that ran the request and reports it. */
void rqs_record_crash (Req *req);
