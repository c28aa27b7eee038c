/* Simulation of upstreams, nodes and callers that runs the node's routing decisions. */
#include "mdl.h"

#include "adm.h"
#include "fqs.h"
#include "mds.h"
#include "shr.h"

#include <math.h>
#include <string.h>

#define STEP_MS 5
#define CACHE_OBJECTS_MAX 64
#define PERMILLE 1000u
#define RATE_PERIOD_MS 36000.0
#define RESTART_MS 4000
#define SLOW_FACTOR 5
#define SPREAD_PERMILLE 150
#define LATE_CREDIT_PERMILLE 200u
#define WAKE_TRIES_MAX 8
#define LOCAL_RTT_MS 2
#define SERVICE_TIME_WEIGHT 16
#define CONNECTION_IDLE_MAX_MS 4000
#define SHIFT_CAP_PERMILLE 150u
#define SHARES_INTERVAL_MS 100
#define RATE_WEIGHT 10
#define DEVIATION_WEIGHT 20
#define HOT_OBJECT 1u
#define ADVICE_SLACK_MS 500
#define AGE_BIN_MS 5
#define AGE_BINS 2000
#define NOISE_FACTOR_PERMILLE 2500u
#define DEGRADED_FACTOR 5
#define DEGRADED_EVERY 8
#define KNEE_FACTOR 2
#define PACE_USUAL_PCT 100

/**
 * struct Up - an upstream
 * @speed_permille: speed of its machine
 * @degrades: it is slow for the time that the load states
 * @reports: what it reports of its load
 * @noise_until_ms: end of a slowdown by a neighbour
 * @cached: objects that it is warm for, most recent first
 */
typedef struct
{
  uint32_t hash;
  uint32_t region;
  bool slow;
  uint32_t speed_permille;
  bool degrades;
  MdlReports reports;
  uint64_t noise_until_ms;
  bool advises;
  uint64_t down_until_ms;
  uint32_t cached[CACHE_OBJECTS_MAX];
  GQueue running;
  GQueue queue;
} Up;

/**
 * struct Vm - a node
 * @views: requests of the other nodes in flight on each upstream, as last reported
 * @sent_at_ms: time of the last request to each upstream; the connection stays open for a while
 * @relayed_at_ms: time of the last request through a relay of each region, likewise
 * @told_at_ms: when each upstream asked it to send no new requests
 * @against: requests that reached the upstream in spite of that
 * @shares: traffic split of its callers' requests
 * @asked: requests since the last step of the traffic split; @rate_mps: thousandths per second
 * @flows: NULL without fair queueing
 */
typedef struct
{
  uint32_t region;
  Ups *ups;
  uint32_t *views;
  uint64_t *sent_at_ms;
  uint64_t relayed_at_ms[REGIONS_MAX];
  uint64_t *advised_at_ms;
  uint32_t *violations;
  ShrSplit shares;
  ShrLoad load;
  uint32_t asked;
  uint32_t sent;
  uint32_t remote;
  uint64_t rate_mps;
  uint64_t sent_mps;
  uint64_t remote_mps;
  uint32_t service_ms;
  ShrSpillBucket spill;
  ShrAcceptance acceptance;
  uint32_t limits_ppm[REGIONS_MAX];
  uint64_t free_slots[REGIONS_MAX];
  LrnCurve curve;
  Crd objects;
  uint32_t cold_ms;
  uint32_t warm_ms;
  GQueue waiting;
  Fqs *flows;
} Vm;

typedef struct
{
  Vm *vm;
  uint32_t object;
  uint32_t draw_ppm;
  uint64_t asked_at_ms;
  uint64_t waits_since_ms;
  uint64_t waits_until_ms;
  uint64_t arrives_at_ms;
  uint64_t sent_at_ms;
  uint64_t ends_at_ms;
  uint32_t load;
  uint32_t up;
  uint32_t rtt_ms;
  bool sent_warm;
  AdmRequest admission;
  uint32_t flow_index;
  FqsFlow *flow;
  FqsRank rank;
} Job;

typedef struct
{
  const MdlLoad *load;
  MdlPolicy policy;
  GRand *random;
  uint64_t now_ms;
  Up *ups;
  uint32_t up_count;
  Vm *vms;
  uint32_t vm_count;
  GQueue in_transit;
  GQueue retrying;
  uint64_t runs;
  uint64_t warm_runs;
  uint32_t ages[AGE_BINS];
  double requests_due[REGIONS_MAX];
  Mds *shift;
  MdlReport report;
} Model;

/* ---- Upstreams ---- */

static bool
is_down (const Model *model, const Up *up)
{
  return model->now_ms < up->down_until_ms;
}

/* Returns whether the upstream is warm for the object, and makes it warm. */
static bool
handle_object (const Model *model, Up *up, uint32_t object)
{
  uint32_t last = 0;

  while (last < model->load->cache_objects - 1 && up->cached[last] != object)
    last++;
  bool warm = up->cached[last] == object;
  memmove (&up->cached[1], &up->cached[0], last * sizeof up->cached[0]);
  up->cached[0] = object;
  return warm;
}

/* ---- Machines ---- */

static bool
is_between_s (uint64_t at_ms, uint32_t from_s, uint32_t to_s)
{
  return at_ms >= (uint64_t) from_s * 1000 && at_ms < (uint64_t) to_s * 1000;
}

static bool
is_between (const Model *model, uint32_t from_s, uint32_t to_s)
{
  return is_between_s (model->now_ms, from_s, to_s);
}

static uint32_t
knee_slots (const Model *model)
{
  return MAX (model->load->slots * model->load->machines.knee_permille / PERMILLE, 1);
}

/* Factor on the time of work on the machine at the moment, besides its speed. */
static uint64_t
pace_permille (const Model *model, const Up *up)
{
  const MdlMachines *machines = &model->load->machines;
  uint64_t pace = model->now_ms < up->noise_until_ms ? NOISE_FACTOR_PERMILLE : PERMILLE;

  if (is_between (model, machines->all_slow_from_s, machines->all_slow_to_s))
    pace = pace * NOISE_FACTOR_PERMILLE / PERMILLE;
  if (up->degrades && is_between (model, machines->slow_from_s, machines->slow_to_s))
    pace *= DEGRADED_FACTOR;
  return pace;
}

static uint32_t
machine_time_ms (const Model *model, const Up *up, uint32_t work_ms)
{
  uint64_t time_ms = (uint64_t) work_ms * pace_permille (model, up) / up->speed_permille;

  if (model->load->machines.knee_permille > 0 && up->running.length >= knee_slots (model))
    time_ms *= KNEE_FACTOR;
  return (uint32_t) time_ms;
}

static void
step_noise (Model *model)
{
  const MdlMachines *machines = &model->load->machines;

  if (machines->noise_permille == 0)
    return;
  for (uint32_t i = 0; i < model->up_count; i++)
    if (model->now_ms >= model->ups[i].noise_until_ms
        && g_rand_double (model->random) * machines->noise_ms
                   * (PERMILLE - machines->noise_permille)
               < (double) STEP_MS * machines->noise_permille)
      model->ups[i].noise_until_ms = model->now_ms + machines->noise_ms;
}

/* Applies the load that an upstream reports in the response to a request. */
static void
apply_load_report (const Model *model, const Up *up, Ups *ups, uint32_t others)
{
  LrnReport report = { .running = up->running.length,
                       .waiting = up->queue.length,
                       .slots = model->load->slots,
                       .pace_pct = (uint32_t) (pace_permille (model, up) / 10) };

  if (up->reports == MDL_REPORTS_NONE || model->load->machines.knowledge != MDL_KNOWS_LEARNED)
    return;
  if (up->reports == MDL_REPORTS_IDLE)
    report = (LrnReport){ .slots = model->load->slots, .pace_pct = PACE_USUAL_PCT };
  if (up->reports == MDL_REPORTS_FULL)
    report = (LrnReport){ .running = model->load->slots,
                          .waiting = model->load->queue,
                          .slots = model->load->slots,
                          .pace_pct = 10 * PACE_USUAL_PCT };
  lrn_apply_report (&ups->learned, &report, ups->in_flight + 1, others, model->now_ms);
}

static void
run_job (Model *model, Up *up, Job *job)
{
  bool warm = handle_object (model, up, job->object);
  uint32_t service_ms = warm ? model->load->warm_ms : model->load->cold_ms;
  int32_t spread = g_rand_int_range (model->random, -SPREAD_PERMILLE, SPREAD_PERMILLE + 1);

  service_ms
      = (uint32_t) ((int64_t) service_ms * (int32_t) (PERMILLE + spread) / (int32_t) PERMILLE);
  if (up->slow)
    service_ms *= SLOW_FACTOR;
  service_ms = machine_time_ms (model, up, service_ms);
  model->runs++;
  model->warm_runs += warm;
  mds_run (model->shift, job->vm->region, up->region, model->now_ms);
  job->ends_at_ms = model->now_ms + service_ms;
  g_queue_push_tail (&up->running, job);
}

static uint32_t
jobs_in (const Up *up)
{
  return up->running.length + up->queue.length;
}

/* ---- Advice ---- */

static MdlAdviceKind
current_advice (const Model *model, const Up *up)
{
  const MdlAdvice *advice = &model->load->advice;
  bool active = model->now_ms >= (uint64_t) advice->from_s * 1000
                && model->now_ms < (uint64_t) advice->to_s * 1000;

  return up->advises && active ? advice->kind : MDL_ADVICE_NONE;
}

/* End of a pause that an upstream states now. */
static uint64_t
pause_end_ms (const Model *model, uint64_t advised_ms)
{
  const MdlAdvice *advice = &model->load->advice;

  return advice->pause_ms > 0 ? advised_ms + advice->pause_ms : (uint64_t) advice->to_s * 1000;
}

/* Counts a request that its node sent in spite of earlier advice. */
static void
check_advice (Model *model, const Job *job)
{
  const MdlAdvice *advice = &model->load->advice;
  uint64_t advised_ms = job->vm->advised_at_ms[job->up];
  uint64_t until_ms
      = advice->kind == MDL_ADVICE_PAUSE ? pause_end_ms (model, advised_ms) : UINT64_MAX;

  if (advised_ms == 0 || job->sent_at_ms < advised_ms + ADVICE_SLACK_MS
      || job->sent_at_ms >= until_ms)
    return;
  uint32_t *violations = &job->vm->violations[job->up];
  model->report.advice_violations_max = MAX (model->report.advice_violations_max, ++*violations);
}

/* Applies the advice in an upstream's response to the node's state. */
static void
apply_advice (Model *model, const Job *job)
{
  Ups *ups = &job->vm->ups[job->up];
  MdlAdviceKind kind = current_advice (model, &model->ups[job->up]);
  bool is_new = kind == MDL_ADVICE_PAUSE ? model->now_ms >= ups->paused_until_ms : !ups->leaving;

  if (kind == MDL_ADVICE_NONE || !is_new)
    return;
  job->vm->advised_at_ms[job->up] = model->now_ms;
  job->vm->violations[job->up] = 0;
  if (kind == MDL_ADVICE_PAUSE)
    ups_pause (ups, pause_end_ms (model, model->now_ms));
  else
    ups_mark_leaving (ups, 0);
}

/* ---- Flows ---- */

static void
join_flow (const Model *model, Job *job)
{
  char name[16];
  bool accounts = model->load->flows.accounts;

  if (job->vm->flows == NULL)
    return;
  g_snprintf (name, sizeof name, "%u", job->flow_index);
  job->flow = fqs_acquire (job->vm->flows, accounts ? name : NULL, accounts ? "route" : name,
                           model->now_ms);
  if (!job->admission.caller_retry)
    fqs_count_requested (job->vm->flows, job->flow, model->now_ms);
}

static void
leave_flow (Job *job)
{
  if (job->flow != NULL)
    fqs_release (job->flow);
  job->flow = NULL;
}

/* Report of the job's flow, or NULL when it was not first sent during the burst. */
static MdlFlowReport *
flow_report (Model *model, const Job *job)
{
  const MdlFlows *flows = &model->load->flows;

  if (flows->count == 0 || !is_between_s (job->asked_at_ms, flows->from_s, flows->to_s))
    return NULL;
  return job->flow_index == 0 ? &model->report.bursting : &model->report.others;
}

static void
count_served (Model *model, const Job *job, bool in_objective)
{
  MdlFlowReport *report = flow_report (model, job);

  if (report == NULL)
    return;
  report->served++;
  report->in_objective += in_objective;
}

/* ---- Ends of requests ---- */

static uint32_t
in_flight_on (const Model *model, const Vm *vm, uint32_t up)
{
  const Ups *ups = &vm->ups[up];

  if (model->load->machines.knowledge == MDL_KNOWS_LEARNED)
    return lrn_in_flight (&ups->learned, ups->in_flight, vm->views[up], model->now_ms);
  return ups->in_flight + vm->views[up];
}

static MdlSecond *
second_of (Model *model, const Job *job)
{
  return &model->report.seconds[job->asked_at_ms / 1000];
}

static void
reject_or_retry (Model *model, Job *job)
{
  AdmRequest *admission = &job->admission;
  uint64_t end_ms = job->asked_at_ms + model->load->timeout_ms;

  leave_flow (job);
  admission->remaining_ms = end_ms > model->now_ms ? (uint32_t) (end_ms - model->now_ms) : 0;
  if (admission->caller_retry || admission->remaining_ms == 0)
    {
      second_of (model, job)->refused++;
      g_free (job);
      return;
    }
  admission->caller_retry = true;
  job->arrives_at_ms = model->now_ms + adm_retry_after_ms (admission, g_rand_int (model->random));
  g_queue_push_tail (&model->retrying, job);
}

static void
finish (Model *model, Job *job)
{
  uint64_t age_ms = model->now_ms + job->rtt_ms / 2 - job->asked_at_ms;
  uint32_t took_ms = (uint32_t) (model->now_ms + job->rtt_ms / 2 - job->sent_at_ms);
  Ups *ups = &job->vm->ups[job->up];
  uint32_t *usual_ms = job->sent_warm ? &job->vm->warm_ms : &job->vm->cold_ms;

  ups->in_flight--;
  apply_advice (model, job);
  apply_load_report (model, &model->ups[job->up], ups, job->vm->views[job->up]);
  LrnSample sample = { .time_ms = took_ms,
                       .rtt_ms = job->rtt_ms,
                       .expected_ms = *usual_ms,
                       .load = job->load,
                       .slots = model->load->slots };
  lrn_record_service_time (&ups->learned, &job->vm->curve, &sample, model->now_ms);
  ups_record_service_time (ups, took_ms, *usual_ms);
  model->ages[MIN (age_ms / AGE_BIN_MS, AGE_BINS - 1)]++;
  *usual_ms
      = (uint32_t) ((int64_t) *usual_ms + ((int64_t) took_ms - *usual_ms) / SERVICE_TIME_WEIGHT);
  job->vm->service_ms
      = (uint32_t) ((int64_t) job->vm->service_ms
                    + ((int64_t) took_ms - job->vm->service_ms) / SERVICE_TIME_WEIGHT);
  ups_record_object (ups, job->object);
  leave_flow (job);
  if (age_ms <= model->load->timeout_ms)
    count_served (model, job, age_ms <= model->load->objective_ms);
  if (age_ms <= model->load->objective_ms)
    second_of (model, job)->in_objective++;
  else if (age_ms <= model->load->timeout_ms)
    second_of (model, job)->late++;
  else
    second_of (model, job)->refused++;
  g_free (job);
}

/* Handles, at the node, a request that its upstream shed or that was lost when the upstream failed.
 */
static void
return_failed (Model *model, Job *job, bool shed)
{
  Ups *ups = &job->vm->ups[job->up];

  ups->in_flight--;
  if (job->flow != NULL)
    fqs_uncount_served (job->vm->flows, job->flow, model->now_ms);
  if (shed)
    {
      model->report.sheds++;
      ups->shed_until_ms = model->now_ms + SHED_PAUSE_MS;
      apply_advice (model, job);
    }
  else
    ups_record_failure (ups, model->now_ms);
  reject_or_retry (model, job);
}

/* ---- Decisions ---- */

static bool
is_usable (const Model *model, const Ups *ups)
{
  return model->now_ms >= ups->backoff_until_ms && model->now_ms >= ups->shed_until_ms
         && model->now_ms >= ups->paused_until_ms && !ups->leaving
         && !(ups->failures > 0 && ups->in_flight > 0);
}

static uint32_t
good_slots_of (const Model *model, const Vm *vm, uint32_t up)
{
  const MdlMachines *machines = &model->load->machines;

  if (machines->knowledge == MDL_KNOWS_LEARNED)
    return lrn_slots (&vm->ups[up].learned, &vm->curve, model->load->slots, model->now_ms);
  bool knows_knee = machines->knowledge == MDL_KNOWS_ALL && machines->knee_permille > 0;
  return knows_knee ? knee_slots (model) : model->load->slots;
}

static void
add_knowledge (const Model *model, const Vm *vm, uint32_t up, PlcCandidate *candidate)
{
  const Lrn *learned = &vm->ups[up].learned;
  uint32_t own = vm->ups[up].in_flight;

  switch (model->load->machines.knowledge)
    {
    case MDL_KNOWS_LEARNED:
      candidate->slowness_permille = lrn_slowness_permille (learned, own, model->now_ms);
      candidate->slow = learned->slow;
      candidate->pace_permille = lrn_pace_permille (learned, model->now_ms);
      break;
    case MDL_KNOWS_ALL:
      candidate->slowness_permille = PERMILLE * PERMILLE / model->ups[up].speed_permille;
      break;
    case MDL_KNOWS_REGISTRATION:
    case MDL_KNOWS_WEIGHTS:
      break;
    }
}

static PlcCandidate *
candidates_of (const Model *model, const Vm *vm)
{
  PlcCandidate *candidates = g_new0 (PlcCandidate, model->up_count);

  for (uint32_t i = 0; i < model->up_count; i++)
    {
      const Ups *ups = &vm->ups[i];
      bool is_local = model->ups[i].region == vm->region;
      candidates[i]
          = (PlcCandidate){ .eligible = !ups_is_down (ups) && !ups->leaving,
                            .usable = is_usable (model, ups),
                            .hash = model->ups[i].hash,
                            .region = model->ups[i].region,
                            .slots = ups_resume_slots (ups, model->load->slots, model->now_ms),
                            .good_slots = good_slots_of (model, vm, i),
                            .in_flight = in_flight_on (model, vm, i),
                            .rtt_ms = is_local ? LOCAL_RTT_MS : model->load->remote_rtt_ms,
                            .slowness_permille = ups->slowness_permille,
                            .untried = ups->objects[0] == 0 && is_local,
                            .objects = ups->objects,
                            .object_count = UPS_OBJECTS_MAX };
      add_knowledge (model, vm, i, &candidates[i]);
    }
  return candidates;
}

static uint32_t
choose_in (const Model *model, const Job *job, const PlcCandidate *candidates, uint32_t region)
{
  const Vm *vm = job->vm;
  PlcRequest request
      = { .key = job->object,
          .cold_ms = vm->cold_ms,
          .warm_ms = vm->warm_ms,
          .objects = (uint32_t) ((uint64_t) crd_estimate (&vm->objects) * vm->shares.ppm[region]
                                 / SHARE_ONE_PPM),
          .standby_region = region,
          .regions = 1u << region,
          .wait_max_ms = model->load->objective_ms / PLC_QUEUE_WAIT_DIVISOR,
          .reserved_slots = adm_reserve (&job->admission, model->up_count * model->load->slots) };
  return plc_choose (candidates, model->up_count, &request);
}

static uint32_t
region_of (const Job *job)
{
  return shr_region (&job->vm->shares, job->vm->load.capacity, UINT32_MAX, job->object);
}

/* Weighted rendezvous hashing: an operator's fixed weights, in proportion to the true capacity. The
 * second upstream is used while the first one's queue is long. */
static uint32_t
choose_by_weight (const Model *model, const Job *job, uint32_t region)
{
  uint32_t best[2] = { PLC_NONE, PLC_NONE };
  double best_score[2] = { 0, 0 };
  uint32_t slots
      = model->load->machines.knee_permille > 0 ? knee_slots (model) : model->load->slots;

  for (uint32_t i = 0; i < model->up_count; i++)
    {
      const Up *up = &model->ups[i];
      if (up->region != region || !is_usable (model, &job->vm->ups[i]))
        continue;
      uint32_t mixed = (job->object * 0x9e3779b1u ^ up->hash) * 0x85ebca6bu;
      mixed = (mixed ^ (mixed >> 15)) * 0xc2b2ae35u;
      double score = -(double) up->speed_permille / log ((mixed + 0.5) / 4294967296.0);
      uint32_t rank = score > best_score[0] ? 0 : score > best_score[1] ? 1 : 2;
      if (rank == 0)
        {
          best[1] = best[0];
          best_score[1] = best_score[0];
        }
      if (rank < 2)
        {
          best[rank] = i;
          best_score[rank] = score;
        }
    }
  for (uint32_t rank = 0; rank < 2; rank++)
    if (best[rank] != PLC_NONE && in_flight_on (model, job->vm, best[rank]) < slots * 2)
      return best[rank];
  return PLC_NONE;
}

static uint32_t
choose_by_product (const Model *model, const Job *job)
{
  Vm *vm = job->vm;
  uint32_t region = region_of (job);

  if (model->load->machines.knowledge == MDL_KNOWS_WEIGHTS)
    return choose_by_weight (model, job, region);
  PlcCandidate *candidates = candidates_of (model, vm);
  uint32_t chosen = choose_in (model, job, candidates, region);
  uint32_t other = shr_spill_region (vm->free_slots, UINT32_MAX, region);

  if (chosen == PLC_NONE && other != REGIONS_MAX && shr_spill_allows (&vm->spill, job->draw_ppm))
    {
      chosen = choose_in (model, job, candidates, other);
      if (chosen != PLC_NONE)
        shr_spill_consume (&vm->spill);
    }
  g_free (candidates);
  return chosen;
}

static uint32_t
choose_at_random (const Model *model, const Job *job)
{
  uint32_t found = 0;
  uint32_t chosen = PLC_NONE;

  for (uint32_t i = 0; i < model->up_count; i++)
    if (is_usable (model, &job->vm->ups[i]) && in_flight_on (model, job->vm, i) < model->load->slots
        && g_rand_int_range (model->random, 0, (gint32) ++found) == 0)
      chosen = i;
  return chosen;
}

static uint32_t
choose_least_loaded (const Model *model, const Job *job)
{
  uint32_t chosen = PLC_NONE;
  uint32_t least = model->load->slots;

  for (uint32_t i = 0; i < model->up_count; i++)
    if (is_usable (model, &job->vm->ups[i]) && in_flight_on (model, job->vm, i) < least)
      {
        least = in_flight_on (model, job->vm, i);
        chosen = i;
      }
  return chosen;
}

static uint32_t
choose (const Model *model, const Job *job)
{
  switch (model->policy)
    {
    case MDL_PRODUCT:
      return choose_by_product (model, job);
    case MDL_RANDOM_FIFO:
      return choose_at_random (model, job);
    case MDL_REFUSE_WHEN_FULL:
      return choose_least_loaded (model, job);
    }
  return PLC_NONE;
}

static uint32_t
longest_wait_ms (const Model *model, const Job *job)
{
  switch (model->policy)
    {
    case MDL_PRODUCT:
      return adm_max_wait_ms (&job->admission);
    case MDL_RANDOM_FIFO:
      return job->admission.remaining_ms;
    case MDL_REFUSE_WHEN_FULL:
      return 0;
    }
  return 0;
}

/* Returns whether the connection is still open, and records its use. */
static bool
use_connection (const Model *model, uint64_t *sent_at_ms, uint32_t idle_max_ms)
{
  bool open = *sent_at_ms != 0 && model->now_ms - *sent_at_ms < idle_max_ms;

  *sent_at_ms = model->now_ms;
  return open;
}

/* Time to open a connection if none is open. To a remote region the node connects to its relay,
 * which connects to the upstream. */
static uint32_t
connect_ms (const Model *model, const Job *job)
{
  uint32_t region = model->ups[job->up].region;

  if (use_connection (model, &job->vm->sent_at_ms[job->up], CONNECTION_IDLE_MAX_MS))
    return 0;
  if (region == job->vm->region || model->policy != MDL_PRODUCT)
    return job->rtt_ms;
  bool open
      = use_connection (model, &job->vm->relayed_at_ms[region], RLY_NON_IDEMPOTENT_IDLE_MAX_MS);
  return LOCAL_RTT_MS + (open ? 0 : job->rtt_ms);
}

static void
count_sent (Model *model, Job *job)
{
  Vm *vm = job->vm;
  uint32_t region = region_of (job);

  vm->sent++;
  vm->remote += model->ups[job->up].region != vm->region;
  shr_spill_refill (&vm->spill, SHIFT_CAP_PERMILLE, vm->rate_mps);
  shr_count_request (&vm->acceptance, region, model->ups[job->up].region);
}

static bool
try_to_send (Model *model, Job *job)
{
  uint32_t chosen = choose (model, job);

  if (chosen == PLC_NONE)
    return false;
  Ups *ups = &job->vm->ups[chosen];
  job->up = chosen;
  job->rtt_ms
      = model->ups[chosen].region == job->vm->region ? LOCAL_RTT_MS : model->load->remote_rtt_ms;
  job->sent_at_ms = model->now_ms;
  job->arrives_at_ms = model->now_ms + connect_ms (model, job) + job->rtt_ms / 2;
  job->sent_warm = ups_is_warm_for (ups, job->object);
  ups->in_flight++;
  job->load = in_flight_on (model, job->vm, chosen);
  if (model->policy == MDL_PRODUCT)
    count_sent (model, job);
  if (job->flow != NULL)
    fqs_count_served (job->vm->flows, job->flow, model->now_ms);
  g_queue_push_tail (&model->in_transit, job);
  return true;
}

static void
reject_unplaced (Model *model, Job *job)
{
  shr_count_request (&job->vm->acceptance, region_of (job), REGIONS_MAX);
  reject_or_retry (model, job);
}

static void
receive_request (Model *model, Job *job)
{
  uint64_t end_ms = job->asked_at_ms + model->load->timeout_ms;

  job->admission.remaining_ms = end_ms > model->now_ms ? (uint32_t) (end_ms - model->now_ms) : 0;
  job->admission.usual_ms = job->vm->warm_ms;
  job->waits_since_ms = model->now_ms;
  job->waits_until_ms = model->now_ms + longest_wait_ms (model, job);
  crd_add (&job->vm->objects, job->object, model->now_ms);
  job->vm->asked++;
  if (model->policy == MDL_PRODUCT && job->draw_ppm >= job->vm->limits_ppm[region_of (job)])
    {
      reject_or_retry (model, job);
      return;
    }
  join_flow (model, job);
  if (try_to_send (model, job))
    return;
  if (job->waits_until_ms > model->now_ms)
    g_queue_push_tail (&job->vm->waiting, job);
  else
    reject_unplaced (model, job);
}

/* ---- Steps of the simulated time ---- */

static gint
compare_waiting (gconstpointer a, gconstpointer b, gpointer user)
{
  const Model *model = user;
  const Job *x = a;
  const Job *y = b;

  if (model->policy != MDL_PRODUCT)
    return x->waits_since_ms < y->waits_since_ms ? -1 : x->waits_since_ms > y->waits_since_ms;
  return adm_precedes (&x->admission, (uint32_t) (model->now_ms - x->waits_since_ms), &y->admission,
                       (uint32_t) (model->now_ms - y->waits_since_ms))
             ? -1
             : 1;
}

static FqsWaiting
fair_view (const Model *model, const Job *job)
{
  return (FqsWaiting){ .flow = job->flow,
                       .admission = &job->admission,
                       .rank = job->rank,
                       .waited_ms = (uint32_t) (model->now_ms - job->waits_since_ms) };
}

static gint
compare_fair (gconstpointer a, gconstpointer b, gpointer user)
{
  FqsWaiting x = fair_view (user, a);
  FqsWaiting y = fair_view (user, b);

  return fqs_precedes (&x, &y) ? -1 : 1;
}

static void
order_by_flows (Model *model, Vm *vm)
{
  if (vm->flows == NULL)
    return;
  fqs_begin_pass (vm->flows, model->now_ms);
  for (GList *item = vm->waiting.head; item != NULL; item = item->next)
    {
      Job *job = item->data;
      fqs_add_waiting (vm->flows, job->flow, &job->admission);
    }
  for (GList *item = vm->waiting.head; item != NULL; item = item->next)
    {
      Job *job = item->data;
      job->rank = fqs_rank (vm->flows, job->flow);
    }
  g_queue_sort (&vm->waiting, compare_fair, model);
}

/* The job to reject when the waiting time of @expired is over. */
static Job *
choose_rejected (const Model *model, Vm *vm, Job *expired)
{
  FqsWaiting expired_view = fair_view (model, expired);

  for (GList *item = vm->waiting.tail; vm->flows != NULL && item->data != expired;
       item = item->prev)
    {
      Job *job = item->data;
      FqsWaiting waiting = fair_view (model, job);
      if (model->now_ms >= job->waits_until_ms || !fqs_yields (&waiting, &expired_view))
        continue;
      expired->waits_until_ms
          = MIN (job->waits_until_ms, model->now_ms + adm_max_wait_ms (&expired->admission));
      return job;
    }
  return expired;
}

static void
step_waiting (Model *model, Vm *vm)
{
  uint32_t tries = 0;

  g_queue_sort (&vm->waiting, compare_waiting, model);
  order_by_flows (model, vm);
  for (GList *item = vm->waiting.head; item != NULL;)
    {
      GList *next = item->next;
      Job *job = item->data;
      bool sent = tries++ < WAKE_TRIES_MAX && try_to_send (model, job);
      bool expired = !sent && model->now_ms >= job->waits_until_ms;
      Job *rejected = expired ? choose_rejected (model, vm, job) : NULL;
      if (rejected != NULL && next != NULL && next->data == rejected)
        next = next->next;
      if (sent || rejected != NULL)
        g_queue_remove (&vm->waiting, sent ? job : rejected);
      if (rejected != NULL)
        reject_unplaced (model, rejected);
      item = next;
    }
}

static bool
is_paused (Model *model, const Job *job)
{
  check_advice (model, job);
  return current_advice (model, &model->ups[job->up]) == MDL_ADVICE_PAUSE;
}

static void
step_in_transit (Model *model)
{
  for (uint32_t remaining = model->in_transit.length; remaining > 0; remaining--)
    {
      Job *job = g_queue_pop_head (&model->in_transit);
      Up *up = &model->ups[job->up];
      if (job->arrives_at_ms > model->now_ms)
        g_queue_push_tail (&model->in_transit, job);
      else if (is_down (model, up))
        return_failed (model, job, false);
      else if (is_paused (model, job))
        return_failed (model, job, true);
      else if (jobs_in (up) >= model->load->slots + model->load->queue)
        return_failed (model, job, true);
      else if (up->running.length < model->load->slots)
        run_job (model, up, job);
      else
        g_queue_push_tail (&up->queue, job);
      model->report.upstream_requests_max = MAX (model->report.upstream_requests_max, jobs_in (up));
    }
}

static void
step_upstream (Model *model, Up *up)
{
  for (uint32_t remaining = up->running.length; remaining > 0; remaining--)
    {
      Job *job = g_queue_pop_head (&up->running);
      if (job->ends_at_ms > model->now_ms)
        g_queue_push_tail (&up->running, job);
      else
        finish (model, job);
    }
  while (up->running.length < model->load->slots && !g_queue_is_empty (&up->queue))
    run_job (model, up, g_queue_pop_head (&up->queue));
}

static void
fail_upstream (Model *model, Up *up)
{
  up->down_until_ms = model->now_ms + RESTART_MS;
  memset (up->cached, 0, sizeof up->cached);
  while (!g_queue_is_empty (&up->running))
    return_failed (model, g_queue_pop_head (&up->running), false);
  while (!g_queue_is_empty (&up->queue))
    return_failed (model, g_queue_pop_head (&up->queue), false);
}

static void
step_faults (Model *model)
{
  const MdlLoad *load = model->load;

  if (load->lost_region == REGIONS_MAX || model->now_ms != (uint64_t) load->lost_at_s * 1000)
    return;
  for (uint32_t i = 0; i < model->up_count; i++)
    if (model->ups[i].region == load->lost_region)
      fail_upstream (model, &model->ups[i]);
}

/* Reports a leaving upstream to all nodes once one node knows of it. */
static void
report_leaving (Model *model, uint32_t up)
{
  bool leaves = false;

  for (uint32_t v = 0; v < model->vm_count; v++)
    leaves = leaves || model->vms[v].ups[up].leaving;
  for (uint32_t v = 0; leaves && v < model->vm_count; v++)
    model->vms[v].ups[up].leaving = true;
}

/* Reports to every node the requests that the others have in flight, every view_ms. */
static void
step_views (Model *model)
{
  if (model->now_ms % model->load->view_ms >= STEP_MS)
    return;
  for (uint32_t i = 0; i < model->up_count; i++)
    {
      uint32_t total = 0;
      report_leaving (model, i);
      for (uint32_t v = 0; v < model->vm_count; v++)
        total += model->vms[v].ups[i].in_flight;
      for (uint32_t v = 0; v < model->vm_count; v++)
        model->vms[v].views[i] = total - model->vms[v].ups[i].in_flight;
    }
}

/* Reads the capacity and free slots that a node sees in each region. Returns a bit mask of the
 * regions that lost much of their capacity. */
static uint32_t
read_capacity (const Model *model, Vm *vm)
{
  uint64_t down[REGIONS_MAX] = { 0 };
  uint32_t lost = 0;

  memset (vm->load.capacity, 0, sizeof vm->load.capacity);
  memset (vm->free_slots, 0, sizeof vm->free_slots);
  for (uint32_t i = 0; i < model->up_count; i++)
    {
      uint64_t slots = (uint64_t) model->load->slots * PERMILLE;
      uint32_t in_flight = in_flight_on (model, vm, i);
      if (model->load->machines.knowledge == MDL_KNOWS_LEARNED)
        slots = lrn_capacity_mslots (&vm->ups[i].learned, &vm->curve, model->load->slots,
                                     model->now_ms);
      if (vm->ups[i].leaving || model->now_ms < vm->ups[i].paused_until_ms)
        continue;
      if (in_flight < model->load->slots && !ups_is_down (&vm->ups[i]))
        vm->free_slots[model->ups[i].region] += model->load->slots - in_flight;
      if (ups_is_down (&vm->ups[i]))
        down[model->ups[i].region] += slots;
      else
        vm->load.capacity[model->ups[i].region] += slots;
    }
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    if (down[r] > (vm->load.capacity[r] + down[r]) / SHR_LOST_DIVISOR)
      lost |= 1u << r;
  return lost;
}

/* Reports the demand of each region to all nodes, at the same times as requests in flight. */
static void
report_demand (Model *model)
{
  uint64_t demand[REGIONS_MAX] = { 0 };

  for (uint32_t v = 0; v < model->vm_count; v++)
    demand[model->vms[v].region] += model->vms[v].rate_mps * model->vms[v].service_ms / PERMILLE;
  for (uint32_t v = 0; v < model->vm_count; v++)
    memcpy (model->vms[v].load.demand, demand, sizeof demand);
}

/* Recent share of requests sent to remote regions in excess of the traffic split. */
static uint32_t
deviation_ppm (const Vm *vm)
{
  uint64_t remote_ppm = vm->remote_mps * SHARE_ONE_PPM / MAX (vm->sent_mps, 1);
  uint32_t share_ppm = SHARE_ONE_PPM - vm->shares.ppm[vm->region];

  return remote_ppm > share_ppm ? (uint32_t) remote_ppm - share_ppm : 0;
}

static uint32_t
step_ppm (const Vm *vm, const ShrSplit *target)
{
  return shr_max_step_ppm (SHIFT_CAP_PERMILLE, SHARES_INTERVAL_MS, deviation_ppm (vm),
                           target->ppm[vm->region] > vm->shares.ppm[vm->region]);
}

static uint64_t
decay_rate (uint64_t rate_mps, uint32_t count)
{
  uint64_t now_mps = (uint64_t) count * PERMILLE * (1000 / SHARES_INTERVAL_MS);

  return (rate_mps * (DEVIATION_WEIGHT - 1) + now_mps) / DEVIATION_WEIGHT;
}

static void
step_shares (Model *model)
{
  if (model->now_ms % SHARES_INTERVAL_MS != 0)
    return;
  if (model->now_ms % model->load->view_ms == 0)
    report_demand (model);
  for (uint32_t v = 0; v < model->vm_count; v++)
    {
      Vm *vm = &model->vms[v];
      uint64_t rate_mps = (uint64_t) vm->asked * PERMILLE * (1000 / SHARES_INTERVAL_MS);
      vm->rate_mps = (vm->rate_mps * (RATE_WEIGHT - 1) + rate_mps) / RATE_WEIGHT;
      vm->sent_mps = decay_rate (vm->sent_mps, vm->sent);
      vm->remote_mps = decay_rate (vm->remote_mps, vm->remote);
      vm->asked = 0;
      vm->sent = 0;
      vm->remote = 0;
      uint32_t lost = read_capacity (model, vm);
      ShrSplit target = shr_target (vm->region, &vm->load);
      shr_decay (&vm->acceptance);
      shr_limits (&vm->shares, &vm->acceptance, SHIFT_CAP_PERMILLE, vm->limits_ppm);
      shr_move (&vm->shares, &target, step_ppm (vm, &target), lost);
    }
}

static void
step_cardinality (Model *model)
{
  if (model->now_ms % 1000 != 0)
    return;
  for (uint32_t v = 0; v < model->vm_count; v++)
    crd_expire (&model->vms[v].objects, model->now_ms);
}

static uint32_t
draw_object (Model *model)
{
  if (g_rand_int_range (model->random, 0, PERMILLE) < (gint32) model->load->hot_permille)
    return HOT_OBJECT;
  return HOT_OBJECT + 1
         + (uint32_t) g_rand_int_range (model->random, 0, (gint32) model->load->objects);
}

static bool
has_flow_burst (const Model *model)
{
  const MdlFlows *flows = &model->load->flows;

  return flows->count > 0 && flows->factor > 0 && is_between (model, flows->from_s, flows->to_s);
}

/* Factor of the burst of one flow on the rate of all requests. */
static double
flow_factor (const Model *model)
{
  const MdlFlows *flows = &model->load->flows;

  return has_flow_burst (model)
             ? 1.0 + (flows->factor - 1.0) * flows->burst_permille / (double) PERMILLE
             : 1.0;
}

/* Index of the flow of a request; 0 is the bursting one. */
static uint32_t
draw_flow (Model *model)
{
  const MdlFlows *flows = &model->load->flows;

  if (flows->count == 0)
    return 0;
  double bursting = flows->burst_permille / (double) PERMILLE / flow_factor (model)
                    * (has_flow_burst (model) ? flows->factor : 1.0);
  if (g_rand_double (model->random) < bursting)
    return 0;
  return 1 + (uint32_t) g_rand_int_range (model->random, 0, (gint32) flows->count - 1);
}

/* Requests per second of one region's callers. */
static double
rate_now (const Model *model, uint32_t region)
{
  const MdlLoad *load = model->load;
  double amplitude = load->swing_permille / (double) PERMILLE;
  double cycles
      = (double) model->now_ms / RATE_PERIOD_MS + load->phase_permille[region] / (double) PERMILLE;
  double rate = load->rate_per_s * (1.0 + amplitude * sin (2.0 * G_PI * cycles))
                * load->nodes[region] / model->vm_count;

  for (uint32_t i = 0; i < MDL_BURSTS_MAX; i++)
    {
      const MdlBurst *burst = &load->bursts[i];
      bool active = model->now_ms >= (uint64_t) burst->from_s * 1000
                    && model->now_ms < (uint64_t) burst->to_s * 1000;
      bool in_region = burst->region == region || burst->region == REGIONS_MAX;
      if (burst->factor > 0 && in_region && active)
        rate *= burst->factor;
    }
  return rate * flow_factor (model);
}

static uint32_t
first_vm (const Model *model, uint32_t region)
{
  uint32_t first = 0;

  for (uint32_t r = 0; r < region; r++)
    first += model->load->nodes[r];
  return first;
}

static void
start_request (Model *model, uint32_t region)
{
  Job *job = g_new0 (Job, 1);
  gint32 nodes = (gint32) model->load->nodes[region];

  job->vm = &model->vms[first_vm (model, region)
                        + (uint32_t) g_rand_int_range (model->random, 0, nodes)];
  job->object = draw_object (model);
  job->asked_at_ms = model->now_ms;
  job->draw_ppm = (uint32_t) g_rand_int_range (model->random, 0, SHARE_ONE_PPM);
  job->admission.objective_ms = model->load->objective_ms;
  job->flow_index = draw_flow (model);
  second_of (model, job)->asked++;
  if (flow_report (model, job) != NULL)
    flow_report (model, job)->asked++;
  model->report.asked++;
  receive_request (model, job);
}

static void
step_callers (Model *model)
{
  for (uint32_t remaining = model->retrying.length; remaining > 0; remaining--)
    {
      Job *job = g_queue_pop_head (&model->retrying);
      if (job->arrives_at_ms > model->now_ms)
        g_queue_push_tail (&model->retrying, job);
      else
        receive_request (model, job);
    }
  if (model->now_ms >= (uint64_t) model->load->seconds * 1000)
    return;
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      if (model->load->nodes[r] == 0)
        continue;
      model->requests_due[r] += rate_now (model, r) * STEP_MS / 1000.0;
      for (; model->requests_due[r] >= 1.0; model->requests_due[r] -= 1.0)
        start_request (model, r);
    }
}

/* ---- Replay ---- */

static uint32_t
speed_of (const MdlMachines *machines, uint32_t up)
{
  uint32_t speed_permille = machines->speed_permille[up % MDL_SPEEDS];

  return speed_permille > 0 ? speed_permille : PERMILLE;
}

static MdlReports
reports_of (const MdlMachines *machines, uint32_t up)
{
  if (up * machines->false_permille % PERMILLE >= machines->false_permille)
    return machines->reports;
  return up * machines->false_permille / PERMILLE % 2 == 0 ? MDL_REPORTS_IDLE : MDL_REPORTS_FULL;
}

static void
build_model (Model *model)
{
  const MdlLoad *load = model->load;
  uint32_t slow_every = load->slow_permille > 0 ? PERMILLE / load->slow_permille : 0;
  uint32_t slots[REGIONS_MAX] = { 0 };

  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      model->up_count += load->upstreams[r];
      model->vm_count += load->nodes[r];
      slots[r] = load->upstreams[r] * load->slots;
    }
  model->ups = g_new0 (Up, model->up_count);
  model->vms = g_new0 (Vm, model->vm_count);
  for (uint32_t r = 0, at = 0; r < REGIONS_MAX; r++)
    for (uint32_t i = 0; i < load->upstreams[r]; i++, at++)
      model->ups[at]
          = (Up){ .hash = g_rand_int (model->random),
                  .region = r,
                  .slow = slow_every > 0 && at % slow_every == 0,
                  .speed_permille = speed_of (&load->machines, at),
                  .degrades = load->machines.slow_to_s > 0 && at % DEGRADED_EVERY == 0,
                  .reports = reports_of (&load->machines, at),
                  .advises = at * load->advice.permille % PERMILLE < load->advice.permille };
  for (uint32_t r = 0, at = 0; r < REGIONS_MAX; r++)
    for (uint32_t i = 0; i < load->nodes[r]; i++, at++)
      {
        Vm *vm = &model->vms[at];
        vm->region = r;
        vm->ups = g_new0 (Ups, model->up_count);
        vm->views = g_new0 (uint32_t, model->up_count);
        vm->sent_at_ms = g_new0 (uint64_t, model->up_count);
        vm->advised_at_ms = g_new0 (uint64_t, model->up_count);
        vm->violations = g_new0 (uint32_t, model->up_count);
        vm->shares = shr_initial (r, slots, load->nodes);
        vm->service_ms = load->objective_ms;
        for (uint32_t other = 0; other < REGIONS_MAX; other++)
          vm->limits_ppm[other] = SHARE_ONE_PPM;
        vm->cold_ms = load->objective_ms;
        vm->warm_ms = load->objective_ms / 2;
        crd_init (&vm->objects);
        if (load->flows.fair_queueing && load->flows.count > 0 && model->policy == MDL_PRODUCT)
          vm->flows = fqs_new ();
        lrn_init_service (&vm->curve);
        for (uint32_t u = 0; u < model->up_count; u++)
          {
            vm->ups[u].slowness_permille = PERMILLE;
            lrn_init (&vm->ups[u].learned);
          }
      }
}

static void
free_model (Model *model)
{
  for (uint32_t i = 0; i < model->up_count; i++)
    {
      g_queue_clear_full (&model->ups[i].running, g_free);
      g_queue_clear_full (&model->ups[i].queue, g_free);
    }
  for (uint32_t v = 0; v < model->vm_count; v++)
    {
      g_queue_clear_full (&model->vms[v].waiting, g_free);
      crd_clear (&model->vms[v].objects);
      fqs_free (model->vms[v].flows);
      g_free (model->vms[v].ups);
      g_free (model->vms[v].views);
      g_free (model->vms[v].sent_at_ms);
      g_free (model->vms[v].advised_at_ms);
      g_free (model->vms[v].violations);
    }
  g_queue_clear_full (&model->in_transit, g_free);
  g_queue_clear_full (&model->retrying, g_free);
  g_free (model->ups);
  g_free (model->vms);
  g_rand_free (model->random);
  mds_free (model->shift);
}

/* Requests beyond the capacity of one second may run in the next, within the objective. */
static uint32_t
bound_permille (const Model *model)
{
  double per_s = (double) model->up_count * model->load->slots * 1000.0 / model->load->warm_ms;
  double carried = 0;
  double done = 0;

  for (uint32_t s = 0; s < model->load->seconds; s++)
    {
      double wanted = model->report.seconds[s].asked + carried;
      double now = MIN (wanted, per_s);
      done += now;
      carried = MIN (wanted - now, per_s * model->load->objective_ms / 1000.0);
    }
  return (uint32_t) (done * PERMILLE / MAX (model->report.asked, 1));
}

static uint32_t
age_percentile_ms (const Model *model, uint32_t permille)
{
  uint64_t total = 0;
  uint64_t below = 0;

  for (uint32_t i = 0; i < AGE_BINS; i++)
    total += model->ages[i];
  for (uint32_t i = 0; i < AGE_BINS; i++)
    {
      below += model->ages[i];
      if (below * PERMILLE >= total * permille)
        return i * AGE_BIN_MS;
    }
  return AGE_BINS * AGE_BIN_MS;
}

static void
summarize (Model *model)
{
  MdlReport *report = &model->report;
  uint64_t credit = 0;
  uint64_t in_objective = 0;

  for (uint32_t s = 0; s < model->load->seconds; s++)
    in_objective += report->seconds[s].in_objective;
  report->in_objective_permille = (uint32_t) (in_objective * PERMILLE / MAX (report->asked, 1));
  report->p50_ms = age_percentile_ms (model, 500);
  report->p99_ms = age_percentile_ms (model, 990);

  for (uint32_t s = 0; s < model->load->seconds; s++)
    credit += (uint64_t) report->seconds[s].in_objective * PERMILLE
              + (uint64_t) report->seconds[s].late * LATE_CREDIT_PERMILLE;
  report->credit_permille = (uint32_t) (credit / MAX (report->asked, 1));
  report->warm_permille = (uint32_t) (model->warm_runs * PERMILLE / MAX (model->runs, 1));
  report->bound_permille = bound_permille (model);
  report->shift_permille
      = mds_max_shift_permille (model->shift, &report->shift_region, &report->shift_at_ms);
}

MdlReport
mdl_replay (const MdlLoad *load, MdlPolicy policy, uint32_t seed)
{
  Model model = {
    .load = load, .policy = policy, .random = g_rand_new_with_seed (seed), .shift = mds_new ()
  };
  uint64_t end_ms = (uint64_t) load->seconds * 1000 + load->timeout_ms;

  build_model (&model);
  for (; model.now_ms < end_ms; model.now_ms += STEP_MS)
    {
      step_faults (&model);
      step_noise (&model);
      step_views (&model);
      step_cardinality (&model);
      step_shares (&model);
      for (uint32_t i = 0; i < model.up_count; i++)
        step_upstream (&model, &model.ups[i]);
      step_in_transit (&model);
      for (uint32_t v = 0; v < model.vm_count; v++)
        step_waiting (&model, &model.vms[v]);
      step_callers (&model);
    }
  summarize (&model);
  free_model (&model);
  return model.report;
}
