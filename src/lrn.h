/* Learned capacity: how much load an upstream handles well, learned from its reports and from
 * service times. Pure: no I/O, no clock. */
#pragma once

#include "lim.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct LrnReport - load that an upstream reports in a response
 * @running: requests that it runs
 * @waiting: requests in its queue
 * @slots: requests that it runs at the same time
 * @pace_pct: how long work takes on its machine at the moment, 100 for the usual time
 */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t pace_pct;
} LrnReport;

/**
 * struct LrnSample - service time of one request
 * @time_ms: time from sending the request to the response
 * @rtt_ms: round-trip time, part of @time_ms
 * @expected_ms: average time of the same kind of work on all upstreams of the service
 * @load: requests on the upstream from all nodes when it was sent, including the request itself
 * @slots: slots of the upstream's registration; fewer that it states are known from its reports
 */
typedef struct
{
  uint32_t time_ms;
  uint32_t rtt_ms;
  uint32_t expected_ms;
  uint32_t load;
  uint32_t slots;
} LrnSample;

/**
 * struct LrnBand - service times in one range of the load, each LRN_BANDS-th of the slots
 * @time_ppm: moving average of the service time relative to the expected one
 * @samples: number of samples, up to the divisor of the moving average
 * @measured_at_ms: time of the last sample
 */
typedef struct
{
  uint32_t time_ppm;
  uint32_t samples;
  uint64_t measured_at_ms;
} LrnBand;

/**
 * struct LrnCurve - service time as a function of the load, of one upstream or of a service
 * @divisor: of the moving averages
 * @knee_permille: time in the highest known range relative to the lowest one from which on there is
 *   a knee between them
 * @limit: highest range to use, below the knee; LRN_BANDS - 1 without a knee
 * @limited_at_ms: when @limit was last confirmed
 * @straight_at_ms: when the times in the highest range were last like those in the lowest one
 */
typedef struct
{
  uint32_t limit;
  uint32_t divisor;
  uint64_t limited_at_ms;
  uint64_t straight_at_ms;
  uint32_t knee_permille;
  LrnBand bands[LRN_BANDS];
} LrnCurve;

/**
 * struct Lrn - what a node has learned of one incarnation of an upstream
 * @reported_at_ms: time of the last report; 0 for none
 * @reported_others: reported requests less those in flight from this node at that time
 * @reported_slots: slots that it reported
 * @pace_permille: reported pace relative to @usual_pace_ppm
 * @previous_pace_permille: the same of the report before
 * @previous_report_at_ms: time of the report before; 0 for none
 * @usual_pace_ppm: moving average of the reported pace over LRN_USUAL_PACE_MS
 * @trust_permille: share of the recent reports that agree with the requests known to be in flight
 * @measured_at_ms: time of the last service time; 0 for none
 * @trial_period_ms: time without requests after which a slow upstream is tried again
 * @recent_permille: service time relative to the expected one, over the last few requests
 * @lasting_ppm: the same over some seconds and without the time in the upstream's queue
 * @slow: @lasting_ppm reached LRN_SLOW_PERMILLE and has not fallen below LRN_RECOVERED_PERMILLE
 *   since
 * @curve: its service time by load
 */
typedef struct
{
  uint64_t reported_at_ms;
  uint32_t reported_others;
  uint32_t reported_slots;
  uint32_t pace_permille;
  uint32_t previous_pace_permille;
  uint64_t previous_report_at_ms;
  uint32_t usual_pace_ppm;
  uint32_t trust_permille;
  uint64_t measured_at_ms;
  uint32_t trial_period_ms;
  uint32_t recent_permille;
  uint32_t lasting_ppm;
  bool slow;
  LrnCurve curve;
} Lrn;

/** lrn_init() - nothing is known: all slots, as fast as its peers. */
void lrn_init (Lrn *lrn);

/** lrn_init_service() - the curve over all upstreams of a service: no knee. */
void lrn_init_service (LrnCurve *service);

/**
 * lrn_parse_report() - parses the load header
 * @text: RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,PACE in decimal digits
 *
 * Return: false when @text is malformed or a number is out of range.
 */
bool lrn_parse_report (const char *text, LrnReport *report);

/**
 * lrn_apply_report() - applies a report
 * @own: requests in flight from this node, including the one that ended with the report
 * @others: requests in flight from other nodes, as they reported
 *
 * A report that contradicts the known requests lowers the weight of the following ones.
 */
void lrn_apply_report (Lrn *lrn, const LrnReport *report, uint32_t own, uint32_t others,
                       uint64_t now_ms);

/**
 * lrn_record_service_time() - learns from the response to a request
 * @service: curve over all upstreams of the service
 *
 * A report in the same response is applied first.
 */
void lrn_record_service_time (Lrn *lrn, LrnCurve *service, const LrnSample *sample,
                              uint64_t now_ms);

/**
 * lrn_in_flight() - estimate of the requests on the upstream from all nodes
 * @own: requests in flight from this node, the lower bound
 * @others: requests in flight from other nodes, as they reported
 */
uint32_t lrn_in_flight (const Lrn *lrn, uint32_t own, uint32_t others, uint64_t now_ms);

/**
 * lrn_stated_slots() - requests that the upstream runs at the same time: as many as it reported
 * when these are fewer than the @slots of its registration
 */
uint32_t lrn_stated_slots (const Lrn *lrn, uint32_t slots, uint64_t now_ms);

/**
 * lrn_slots() - concurrent requests beyond which work on the upstream takes longer
 * @service: curve over all upstreams of the service, which holds while the upstream's own is
 * unknown
 * @slots: slots of its registration, the upper bound
 */
uint32_t lrn_slots (const Lrn *lrn, const LrnCurve *service, uint32_t slots, uint64_t now_ms);

/**
 * lrn_slowness_permille() - service time relative to that of its peers, at its usual pace
 * @own: requests in flight from this node
 *
 * A slow upstream that had no request for some time counts as fast for one request, so that its
 * recovery is seen.
 */
uint32_t lrn_slowness_permille (const Lrn *lrn, uint32_t own, uint64_t now_ms);

/** lrn_pace_permille() - current pace relative to the usual one, while the report is recent. */
uint32_t lrn_pace_permille (const Lrn *lrn, uint64_t now_ms);

/** lrn_capacity_mslots() - slots of peers, in thousandths, that do the work of the upstream. */
uint64_t lrn_capacity_mslots (const Lrn *lrn, const LrnCurve *service, uint32_t slots,
                              uint64_t now_ms);
