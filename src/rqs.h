/* State of a request on an entry: its life, and the answers that the entry makes itself. */
#pragma once

#include "clm.h"
#include "entry.h"

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

typedef enum
{
  RUN_NOT_RUN,
  RUN_MAY_HAVE_RUN,
  RUN_RAN,
} RunState;

/** struct Link - lives with h2o's request and tells when the caller is gone */

/**
 * struct Req - a request
 * @h2o: the caller's request, NULL when the caller is gone
 * @sheds: attempts that upstreams refused for load
 * @owes_retry: the next attempt is a retry that was not yet paid for
 * @waits_until_ms: end of its waiting time, 0 before it waits
 * @checking: it is being found out whether its upstream's process has ended
 * @kept: the answer's body for the claim
 */
typedef struct
{
  h2o_generator_t generator;
  Entry *entry;
  h2o_req_t *h2o;
  EntryService *service;
  int32_t state;
  char *method;
  char *rest;
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
  bool owes_retry;
  uint64_t waits_until_ms;
  uint32_t crashes;
  HclCall *call;
  Clm *claim;
  bool claiming;
  bool checking;
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
  uint64_t received;
  bool response_started;
  bool response_ended;
  bool sending;
  bool upstream_done;
  bool answer_failed;
  GByteArray *out;
  GByteArray *in_flight_out;
  GByteArray *kept;
} Req;

/** rqs_step() - an event of the request chart; one that goes on without its caller has left it. */
void rqs_step (Req *req, ReqEvent event);

/** rqs_free_if_done() - frees the request when nothing refers to it any more. */
void rqs_free_if_done (Req *req);
void rqs_leave_queue (Req *req);

/** rqs_free_upstream() - the attempt is over: slots and budget are free again. */
void rqs_free_upstream (Req *req);

/** rqs_end() - the answer is decided; no timer or queue holds the request any more. */
void rqs_end (Req *req);

/** rqs_answer() - ends it with an answer of the entry's own. */
void rqs_answer (Req *req, int status, RunState run, const char *text);
void rqs_refuse (Req *req, const char *reason);
RunState rqs_run_so_far (const Req *req);
bool rqs_deadline_passed (const Req *req);
bool rqs_is_poison (const Req *req);

/** rqs_note_crash() - its upstream's process ended while it ran. */
void rqs_note_crash (Req *req);
