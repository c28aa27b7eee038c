/* Memory budget of a process: divides its memory and descriptors, and decides which connections go
 * on, wait, are rejected or are closed. Pure: no I/O, no clock. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct MbgLimits - division of a process's memory and descriptors
 * @process_bytes: the process without callers, including its control messages
 * @connections_bytes: MBG_FREE_BYTES for each connection of a caller
 * @unread_bytes: MBG_UNREAD_BYTES in the kernel for each connection that waits
 * @small_bytes: claims of up to MBG_SMALL_BYTES: request heads and small bodies
 * @large_bytes: larger request bodies; small requests and responses may use what is free of it
 * @responses_bytes: responses that are being received or not yet read by callers
 * @responses_max_bytes: the same, including what is lent to them
 * @waiting: connections that may wait at the same time
 * @callers: connections of callers
 * @copies: number of times that the process holds each received request in memory
 * @bounded: the limits come from a stated memory size; if not, only @large_bytes and
 *   @responses_bytes are limited
 */
typedef struct
{
  uint64_t process_bytes;
  uint64_t connections_bytes;
  uint64_t unread_bytes;
  uint64_t small_bytes;
  uint64_t large_bytes;
  uint64_t responses_bytes;
  uint64_t responses_max_bytes;
  uint32_t waiting;
  uint32_t callers;
  uint32_t copies;
  bool bounded;
} MbgLimits;

/**
 * struct MbgCounters - connections of callers that waited or were turned away
 * @waited: requests that were not read for a time
 * @rejected: requests rejected because too many others waited
 * @stalled: requests without progress that were closed to make room
 * @heads_over_limit: requests whose head exceeds MBG_HEAD_MAX_BYTES
 * @bodies_over_limit: requests whose body exceeds the configuration's limit
 * @unread_closed: connections closed because their callers did not read a response
 * @connections_closed: connections closed because of the number of connections
 * @connections_refused: new connections closed because no other could be
 */
typedef struct
{
  uint64_t waited;
  uint64_t rejected;
  uint64_t stalled;
  uint64_t heads_over_limit;
  uint64_t bodies_over_limit;
  uint64_t unread_closed;
  uint64_t connections_closed;
  uint64_t connections_refused;
} MbgCounters;

/**
 * typedef MbgPool - part of the budget that a claim is taken from
 * @MBG_SMALL: claims of up to MBG_SMALL_BYTES
 * @MBG_LARGE: larger ones
 */
typedef enum
{
  MBG_SMALL,
  MBG_LARGE,
  MBG_POOL_COUNT,
} MbgPool;

/**
 * typedef MbgDecision - what happens to a request that asks for memory
 * @MBG_TAKE: granted
 * @MBG_WAIT: it is not read until mbg_next() returns its claim
 * @MBG_REJECT: too many wait already
 */
typedef enum
{
  MBG_TAKE,
  MBG_WAIT,
  MBG_REJECT,
} MbgDecision;

/**
 * struct MbgClaim - memory of one request that is being received or at work; zero between
 * requests except for @is_relayed
 * @bytes: granted
 * @wanted_bytes: what it waits for, 0 unless it waits
 * @waiting_since_ms: when it began to wait
 * @progress_at_ms: when it was last granted memory, or last received MBG_PROGRESS_BYTES more than
 *   @mark_bytes
 * @mark_bytes: received at the last such progress
 * @is_complete: the request is received
 * @is_relayed: the request comes from another node
 */
typedef struct
{
  uint64_t bytes;
  uint64_t wanted_bytes;
  uint64_t waiting_since_ms;
  uint64_t progress_at_ms;
  uint64_t mark_bytes;
  bool is_complete;
  bool is_relayed;
  GList active_link;
  GList waiting_link;
} MbgClaim;

/**
 * struct Mbg - budget in use
 * @used_bytes: granted by pool
 * @used_claims: claims by pool
 * @relayed_bytes: the part of @used_bytes that other nodes sent
 * @receiving_bytes: responses that are being received
 * @unread_bytes: responses that callers have not read
 * @wanted_bytes: largest response that has found no room since MBG_WANTED_MS before
 *   @wanted_at_ms, 0 without one
 * @wanted_at_ms: when a response last found no room
 * @connections: open connections of callers
 * @active: claims with granted bytes
 * @waiting: claims that wait, by the pool of what they want
 */
typedef struct
{
  MbgLimits limits;
  uint64_t used_bytes[MBG_POOL_COUNT];
  uint32_t used_claims[MBG_POOL_COUNT];
  uint64_t relayed_bytes;
  uint64_t receiving_bytes;
  uint64_t unread_bytes;
  uint64_t wanted_bytes;
  uint64_t wanted_at_ms;
  uint32_t connections;
  GQueue active;
  GQueue waiting[MBG_POOL_COUNT];
  MbgCounters counters;
} Mbg;

/**
 * mbg_limits() - derives the limits from the process's memory and descriptors
 * @memory_mb: 0 if unknown: the constants of lim.h apply
 * @max_fds: 0 if unknown: the number of connections is limited by memory only
 */
MbgLimits mbg_limits (uint32_t memory_mb, uint32_t max_fds);

/** mbg_set_copies() - sets how many times the process holds each request in memory; no effect if
 * its memory is not limited. */
void mbg_set_copies (MbgLimits *limits, uint32_t copies);

/** mbg_set_calls() - limits the callers so that each can have @calls outgoing connections; no
 * effect if @max_fds is 0. */
void mbg_set_calls (MbgLimits *limits, uint32_t max_fds, uint32_t calls);

void mbg_init (Mbg *mbg, const MbgLimits *limits);

/** mbg_body_max_bytes() - largest request body that the budget can ever hold, at most
 * @configured_bytes. */
uint64_t mbg_body_max_bytes (const Mbg *mbg, uint64_t configured_bytes);

/**
 * mbg_take() - asks for a total of @bytes for a request that is being received
 *
 * Return: MBG_WAIT when the request isn't to be read until mbg_next() returns its claim, and
 * MBG_REJECT when too many wait.
 */
MbgDecision mbg_take (Mbg *mbg, MbgClaim *claim, uint64_t bytes, uint64_t now_ms);

/** mbg_progress() - records how much of a request has been received. */
void mbg_progress (MbgClaim *claim, uint64_t received_bytes, uint64_t now_ms);

/** mbg_complete() - the request is received and takes @bytes, also if it was granted less. */
void mbg_complete (Mbg *mbg, MbgClaim *claim, uint64_t bytes);

/** mbg_release() - returns what was granted and ends the wait. */
void mbg_release (Mbg *mbg, MbgClaim *claim);

/** mbg_next() - grants what a waiting claim asks for, if there is room now; NULL if there is none.
 */
MbgClaim *mbg_next (Mbg *mbg, uint64_t now_ms);

/**
 * mbg_victim() - the claim to close so that others need not wait
 *
 * Return: of the requests without progress for MBG_STALL_MS that hold what others wait for, the one
 * with the largest product of memory and time; NULL without one.
 */
MbgClaim *mbg_victim (const Mbg *mbg, uint64_t now_ms);

/** mbg_turned_away() - connections and requests of callers that were turned away so far. */
uint64_t mbg_turned_away (const Mbg *mbg);

/** mbg_set_responses() - records the memory of responses; @total_bytes includes @unread_bytes. */
void mbg_set_responses (Mbg *mbg, uint64_t total_bytes, uint64_t unread_bytes);

/** mbg_add_unread() - adds @bytes, which may be negative, to the responses that callers have not
 * read; for processes that don't call mbg_set_responses(). */
void mbg_add_unread (Mbg *mbg, int64_t bytes);

/** mbg_watches_unread() - whether responses that callers have not read take so much that
 * mbg_must_close_unread() can be true. */
bool mbg_watches_unread (const Mbg *mbg);

/**
 * mbg_must_close_unread() - whether a caller that has read nothing for @idle_ms must lose its
 * connection
 *
 * Only while its memory is needed: unread responses take over half of what responses may take,
 * requests wait for memory that is lent to responses, or a response has found no room within
 * MBG_WANTED_MS.
 */
bool mbg_must_close_unread (const Mbg *mbg, uint64_t idle_ms, uint64_t now_ms);

/** mbg_has_response_room() - whether a response of @bytes can be received at once. */
bool mbg_has_response_room (const Mbg *mbg, uint64_t bytes);

/** mbg_want_response_room() - the same, for a response that has arrived or is about to: without
 * room, it counts in mbg_must_close_unread(). */
bool mbg_want_response_room (Mbg *mbg, uint64_t bytes, uint64_t now_ms);
