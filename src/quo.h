/* Quotas of client accounts: rate limits that hold over all nodes together. Pure: no I/O, no clock.
 *
 * Each node counts what it admits, messages carry the counts (peer_quota), and each node computes
 * the same token bucket from them. docs/design/quotas.md has the argument for the bound.
 */
#pragma once

#include "lim.h"
#include "peer.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct QuoBounds - how far the fleet may exceed a quota
 * @window_ms: length of each window in which the excess is counted
 * @excess_permille: allowed excess, in thousandths of the quota of a window
 * @slack: further requests allowed in a window
 */
typedef struct
{
  uint32_t window_ms;
  uint32_t excess_permille;
  uint32_t slack;
} QuoBounds;

/**
 * struct QuoFleet - what the exchange knows of the nodes
 * @node: hash of the own node's name
 * @known: nodes that are not known to have left, including the own one; at least 1
 * @heard: those of them whose counts arrive, including the own one; at least 1
 * @report_delay_ms: time within which the counts of a node reach all others that hear it
 * @silence_ms: time without a message after which a node is not heard any more
 * @settled_permille: part of the nodes that this one hears directly that have counted for a window
 * @view_hold_ms: how long a view repeats a count after its last change
 */
typedef struct
{
  uint32_t node;
  uint32_t known;
  uint32_t heard;
  uint32_t report_delay_ms;
  uint32_t silence_ms;
  uint32_t settled_permille;
  uint32_t view_hold_ms;
} QuoFleet;

typedef struct Quo Quo;

Quo *quo_new (const QuoBounds *bounds);
void quo_free (Quo *quotas);

/**
 * quo_set_limit() - sets the limit of an account
 * @account: acc_hash() of its name
 * @rate_mps: thousandths of a request per second; 0 for no limit
 * @burst: requests that it may send at once beyond the rate
 */
void quo_set_limit (Quo *quotas, uint32_t account, uint64_t rate_mps, uint32_t burst);

/**
 * quo_admit() - takes a token for a request that is about to be dispatched
 * @retry_after_ms: set on refusal: time until a token is likely to be available
 *
 * Return: false when the account is over its quota.
 */
bool quo_admit (Quo *quotas, uint32_t account, uint64_t now_ms, uint32_t *retry_after_ms);

/** quo_would_admit() - the same without taking a token; a refusal counts as one. */
bool quo_would_admit (Quo *quotas, uint32_t account, uint64_t now_ms, uint32_t *retry_after_ms);

/** quo_refund() - returns the token of a request that no upstream can have run. */
void quo_refund (Quo *quotas, uint32_t account, uint64_t now_ms);

/** quo_is_active() - whether any account has a limit; without one, nothing is sent or applied. */
bool quo_is_active (const Quo *quotas);

/** quo_age_ms() - time for which the node has counted; starts with the first quo_set_fleet(). */
uint32_t quo_age_ms (const Quo *quotas, uint64_t now_ms);

/** quo_is_settled() - whether a node that has counted for @age_ms knows the use of a window. */
bool quo_is_settled (const Quo *quotas, uint32_t age_ms);

/** quo_set_fleet() - sets what is known of the nodes; called at each tick of the exchange. */
void quo_set_fleet (Quo *quotas, const QuoFleet *fleet, uint64_t now_ms);

/**
 * quo_apply_counts() - applies the counts of a message; also called for a message without any
 * @source: node or zone reporter that counted
 * @incarnation: changes when the source restarts and its counts begin again
 * @nodes: number of nodes that the source counts for
 * @in_zone: the source is a node whose counts belong to the sums of the own zone
 */
void quo_apply_counts (Quo *quotas, uint32_t source, uint64_t incarnation, uint32_t nodes,
                       bool in_zone, const peer_quota *counts, u_int length, uint64_t now_ms);

/** quo_list_own() - counts of the own node that changed lately, those with the largest unsent
 * change first, @capacity at most. Return: number of entries written. */
u_int quo_list_own (Quo *quotas, peer_quota *counts, u_int capacity, uint64_t now_ms);

/** quo_list_zone() - the same of the sums over the own zone, as this node knows them. */
u_int quo_list_zone (Quo *quotas, peer_quota *counts, u_int capacity, uint64_t now_ms);

/**
 * struct QuoStatus - quota of an account as this node sees it
 * @level: tokens of the bucket over all nodes, by what is known of them; may be negative
 * @admitted: requests that this node admitted in the last whole window
 * @admitted_now: the same of the window that has begun
 */
typedef struct
{
  uint64_t rate_mps;
  uint32_t burst;
  double level;
  uint32_t admitted;
  uint32_t admitted_now;
} QuoStatus;

/** quo_read() - reads an account's quota; false when it has none. */
bool quo_read (Quo *quotas, uint32_t account, uint64_t now_ms, QuoStatus *status);

/** quo_dump() - appends one line for the fleet and one for each of the QUO_DUMP_MAX accounts that
 * were used most lately. */
void quo_dump (Quo *quotas, uint64_t now_ms, GString *out);
