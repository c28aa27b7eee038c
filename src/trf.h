/* Traffic: bytes that a node sends and receives, by purpose and by distance of the other end. */
#pragma once

#include "log.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef TrfPurpose - what bytes are sent and received for
 * @TRF_UPSTREAMS: requests sent to upstreams, and their responses
 * @TRF_CALLERS: requests received from callers, and the responses to them
 * @TRF_RELAYS: requests sent to relays, and their responses
 * @TRF_RELAYED: requests received from nodes for which this one is the relay, and the responses
 *   to them; its exchanges with the upstreams count as TRF_UPSTREAMS
 * @TRF_VIEWS: views
 * @TRF_SUMMARIES: zone summaries, also those passed on within a zone
 * @TRF_UPDATES: changed objects passed on from node to node
 * @TRF_FETCHES: objects fetched from other nodes or by them
 * @TRF_STORE: calls of the platform's store
 * @TRF_PROBES: readiness probes, metrics and state dumps
 * @TRF_LOOKUPS: lookups of node addresses
 */
typedef enum
{
  TRF_UPSTREAMS,
  TRF_CALLERS,
  TRF_RELAYS,
  TRF_RELAYED,
  TRF_VIEWS,
  TRF_SUMMARIES,
  TRF_UPDATES,
  TRF_FETCHES,
  TRF_STORE,
  TRF_PROBES,
  TRF_LOOKUPS,
  TRF_PURPOSES,
} TrfPurpose;

/**
 * typedef TrfDistance - distance of the other end
 * @TRF_ZONE: in the own zone
 * @TRF_REGION: in another zone of the own region
 * @TRF_REMOTE: in another region
 * @TRF_UNKNOWN: its zone is not known, as for callers and the store
 */
typedef enum
{
  TRF_ZONE,
  TRF_REGION,
  TRF_REMOTE,
  TRF_UNKNOWN,
  TRF_DISTANCES,
} TrfDistance;

/** struct TrfCount - payload of TCP connections and of datagrams, without their headers */
typedef struct
{
  uint64_t sent_bytes;
  uint64_t received_bytes;
} TrfCount;

/**
 * struct Trf - bytes since the start of the process
 * @logged: @counts at the last log line
 * @logged_at_ms: time of that line; 0 for none yet
 */
typedef struct
{
  TrfCount counts[TRF_PURPOSES][TRF_DISTANCES];
  TrfCount logged[TRF_PURPOSES][TRF_DISTANCES];
  uint64_t logged_at_ms;
} Trf;

/** trf_distance() - distance of a zone, given the own zone and both regions; TRF_UNKNOWN when
 * @zone is ZONE_NONE. */
TrfDistance trf_distance (uint32_t own_zone, uint32_t own_region, uint32_t zone, uint32_t region);

/** trf_count() - the counter of a purpose and a distance; NULL when @trf is NULL. */
TrfCount *trf_count (Trf *trf, TrfPurpose purpose, TrfDistance distance);

/** trf_add_sent(), trf_add_received() - counts bytes; no effect when @count is NULL. */
static inline void
trf_add_sent (TrfCount *count, uint64_t bytes)
{
  if (count != NULL)
    count->sent_bytes += bytes;
}

static inline void
trf_add_received (TrfCount *count, uint64_t bytes)
{
  if (count != NULL)
    count->received_bytes += bytes;
}

/** trf_purpose_name(), trf_distance_name() - names in log lines and labels of metrics. */
const char *trf_purpose_name (TrfPurpose purpose);
const char *trf_distance_name (TrfDistance distance);

/**
 * trf_log() - every TRF_LOG_PERIOD_MS, logs the bytes since the last line
 *
 * The values are separated by commas in the order of TrfDistance. Purposes without bytes are left
 * out.
 */
void trf_log (Trf *trf, const Log *log, uint64_t now_ms);

/** trf_write_metrics() - appends the counters that are not 0 as a metric in the Prometheus text
 * format. */
void trf_write_metrics (const Trf *trf, const char *name, GString *out);

/** trf_dump() - appends a line for each purpose. */
void trf_dump (const Trf *trf, GString *out);
