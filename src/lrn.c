/* Learned capacity: how much load an upstream handles well, learned from its reports and from
 * service times. Pure: no I/O, no clock. */
#include "lrn.h"

#include <string.h>

#define PERMILLE 1000u
#define PPM 1000000u
#define PPM_OF_PERMILLE (PPM / PERMILLE)
#define PACE_USUAL_PCT 100u
#define PACE_MAX_PCT 10000u
#define PPM_OF_PCT 10000u
#define COUNT_MAX 1000000u

/* Moving averages: a new value has a weight of 1 / divisor. */
#define RECENT_DIVISOR 4
#define TRIAL_DIVISOR 2
#define UPSTREAM_DIVISOR 16
#define SERVICE_DIVISOR 64

/* Samples after which a moving average is used: its mean error is below the differences looked for.
 */
#define KNOWN_SAMPLES(divisor) ((divisor) *3 / 8 + 8)
#define TRUST_DIVISOR 16

/* Upper bound of a sample's weight in averages over a time, so that after a pause one sample does
 * not decide. */
#define TIMED_DIVISOR_MIN 16

#define TIME_MIN_PERMILLE 200u
#define TIME_MAX_PERMILLE 20000u
#define RELATIVE_PACE_MIN_PERMILLE 250u
#define RELATIVE_PACE_MAX_PERMILLE 4000u

/* Times in the highest known range of the load relative to those in the lowest one: from where on
 * there is a knee between them, and up to where a range counts as below it. The load is known only
 * within about one request, so that a range's times are mixed with its neighbours'. */
#define UPSTREAM_KNEE_PERMILLE 1400u
#define SERVICE_KNEE_PERMILLE 1330u
#define NO_KNEE_PERMILLE 1150u

static uint32_t
clamp (uint64_t value, uint32_t min, uint32_t max)
{
  if (value < min)
    return min;
  return value > max ? max : (uint32_t) value;
}

static uint32_t
average (uint32_t old, uint32_t value, int64_t divisor)
{
  return (uint32_t) (old + ((int64_t) value - (int64_t) old) / divisor);
}

/* The weight of a sample grows with the time since the last one, up to a bound, so that the average
 * spans about @span_ms unless samples are rare. */
static int64_t
divisor_by_time (uint64_t elapsed_ms, uint32_t span_ms)
{
  int64_t divisor = (int64_t) (1 + span_ms / (elapsed_ms > 0 ? elapsed_ms : 1));

  return divisor > TIMED_DIVISOR_MIN ? divisor : TIMED_DIVISOR_MIN;
}

static void
init_curve (LrnCurve *curve, uint32_t divisor, uint32_t knee_permille)
{
  memset (curve, 0, sizeof *curve);
  curve->divisor = divisor;
  curve->knee_permille = knee_permille;
  curve->limit = LRN_BANDS - 1;
}

void
lrn_init_service (LrnCurve *service)
{
  init_curve (service, SERVICE_DIVISOR, SERVICE_KNEE_PERMILLE);
}

void
lrn_init (Lrn *lrn)
{
  memset (lrn, 0, sizeof *lrn);
  lrn->pace_permille = PERMILLE;
  lrn->usual_pace_ppm = PACE_USUAL_PCT * PPM_OF_PCT;
  lrn->trust_permille = PERMILLE / 2;
  lrn->trial_period_ms = LRN_TRIAL_MIN_MS;
  init_curve (&lrn->curve, UPSTREAM_DIVISOR, UPSTREAM_KNEE_PERMILLE);
  lrn->recent_permille = PERMILLE;
  lrn->lasting_ppm = PPM;
}

/* ---- Reports ---- */

/* Parses a decimal number up to @max and moves @text behind it. */
static bool
parse_number (const char **text, uint32_t max, uint32_t *number)
{
  const char *start = *text;
  uint32_t value = 0;

  for (; **text >= '0' && **text <= '9'; (*text)++)
    {
      value = value * 10 + (uint32_t) (**text - '0');
      if (value > max)
        return false;
    }
  *number = value;
  return *text != start;
}

static bool
parse_comma (const char **text)
{
  if (**text != ',')
    return false;
  (*text)++;
  return true;
}

bool
lrn_parse_report (const char *text, LrnReport *report)
{
  report->pace_pct = PACE_USUAL_PCT;
  if (!parse_number (&text, COUNT_MAX, &report->running) || !parse_comma (&text))
    return false;
  if (!parse_number (&text, COUNT_MAX, &report->waiting) || !parse_comma (&text))
    return false;
  if (!parse_number (&text, UPS_SLOTS_MAX, &report->slots))
    return false;
  if (*text != '\0'
      && (!parse_comma (&text) || !parse_number (&text, PACE_MAX_PCT, &report->pace_pct)))
    return false;
  return *text == '\0' && report->slots > 0 && report->pace_pct > 0;
}

/* Views of other nodes are old and requests may be under way, so that only a large difference is a
 * contradiction. */
static bool
contradicts (const LrnReport *report, uint32_t known)
{
  uint32_t reported = report->running + report->waiting;

  if (known >= 2 && reported * 2 < known)
    return true;
  return reported > known * 2 + report->slots;
}

static void
record_pace (Lrn *lrn, uint32_t pace_pct, uint64_t now_ms)
{
  lrn->previous_pace_permille = lrn->pace_permille;
  lrn->previous_report_at_ms = lrn->reported_at_ms;
  lrn->usual_pace_ppm = average (lrn->usual_pace_ppm, pace_pct * PPM_OF_PCT,
                                 divisor_by_time (now_ms - lrn->reported_at_ms, LRN_USUAL_PACE_MS));
  lrn->pace_permille = clamp ((uint64_t) pace_pct * PPM_OF_PCT * PERMILLE / lrn->usual_pace_ppm,
                              RELATIVE_PACE_MIN_PERMILLE, RELATIVE_PACE_MAX_PERMILLE);
}

void
lrn_apply_report (Lrn *lrn, const LrnReport *report, uint32_t own, uint32_t others, uint64_t now_ms)
{
  uint32_t reported = report->running + report->waiting;
  uint32_t ended_or_own = own > 1 ? own : 1;
  uint32_t others_max = report->slots * 2;

  lrn->trust_permille = average (lrn->trust_permille,
                                 contradicts (report, own + others) ? 0 : PERMILLE, TRUST_DIVISOR);
  lrn->reported_others = reported > ended_or_own ? reported - ended_or_own : 0;
  if (lrn->reported_others > others_max)
    lrn->reported_others = others_max;
  lrn->reported_slots = report->slots;
  record_pace (lrn, report->pace_pct, now_ms);
  lrn->reported_at_ms = now_ms;
}

/* Weight of the last report, by its age. */
static uint32_t
freshness_permille (const Lrn *lrn, uint64_t now_ms)
{
  if (lrn->reported_at_ms == 0)
    return 0;
  uint64_t age_ms = now_ms > lrn->reported_at_ms ? now_ms - lrn->reported_at_ms : 0;
  if (age_ms >= LRN_REPORT_MAX_AGE_MS)
    return 0;
  if (age_ms <= LRN_REPORT_FRESH_MS)
    return PERMILLE;
  return (uint32_t) ((LRN_REPORT_MAX_AGE_MS - age_ms) * PERMILLE
                     / (LRN_REPORT_MAX_AGE_MS - LRN_REPORT_FRESH_MS));
}

static uint32_t
blend (uint32_t known, uint32_t reported, uint32_t weight_permille)
{
  int64_t difference = (int64_t) reported - (int64_t) known;

  return (uint32_t) (known + difference * weight_permille / (int64_t) PERMILLE);
}

uint32_t
lrn_in_flight (const Lrn *lrn, uint32_t own, uint32_t others, uint64_t now_ms)
{
  uint32_t weight_permille = freshness_permille (lrn, now_ms) * lrn->trust_permille / PERMILLE;

  if (weight_permille == 0)
    return own + others;
  return own + blend (others, lrn->reported_others, weight_permille);
}

uint32_t
lrn_pace_permille (const Lrn *lrn, uint64_t now_ms)
{
  uint32_t weight_permille = freshness_permille (lrn, now_ms);

  return weight_permille > 0 ? blend (PERMILLE, lrn->pace_permille, weight_permille) : PERMILLE;
}

/* ---- Service times ---- */

static uint32_t
relative_time_permille (uint64_t time_ms, uint32_t expected_ms)
{
  if (expected_ms == 0)
    return PERMILLE;
  return clamp (time_ms * PERMILLE / expected_ms, TIME_MIN_PERMILLE, TIME_MAX_PERMILLE);
}

static bool
is_trial (const Lrn *lrn, uint64_t now_ms)
{
  return (lrn->slow || lrn->recent_permille >= LRN_SLOW_PERMILLE)
         && now_ms - lrn->measured_at_ms >= lrn->trial_period_ms;
}

/* Trials of an upstream that stays slow become rarer. */
static void
record_recent (Lrn *lrn, uint32_t time_permille, uint64_t now_ms)
{
  bool trial = is_trial (lrn, now_ms);

  if (trial && time_permille >= LRN_SLOW_PERMILLE)
    lrn->trial_period_ms = clamp ((uint64_t) lrn->trial_period_ms * 2, 0, LRN_TRIAL_MAX_MS);
  else if (time_permille < LRN_SLOW_PERMILLE)
    lrn->trial_period_ms = LRN_TRIAL_MIN_MS;
  bool recovers = trial && time_permille < lrn->recent_permille;
  lrn->recent_permille
      = average (lrn->recent_permille, time_permille, recovers ? TRIAL_DIVISOR : RECENT_DIVISOR);
  if (recovers)
    lrn->lasting_ppm = average (lrn->lasting_ppm, time_permille * PPM_OF_PERMILLE, TRIAL_DIVISOR);
}

static void
record_lasting (Lrn *lrn, uint32_t time_permille, uint64_t now_ms)
{
  int64_t divisor = divisor_by_time (now_ms - lrn->measured_at_ms, LRN_LASTING_MS);

  lrn->lasting_ppm = average (lrn->lasting_ppm, time_permille * PPM_OF_PERMILLE, divisor);
  if (lrn->lasting_ppm >= LRN_SLOW_PERMILLE * PPM_OF_PERMILLE)
    lrn->slow = true;
  else if (lrn->lasting_ppm < LRN_RECOVERED_PERMILLE * PPM_OF_PERMILLE)
    lrn->slow = false;
}

static uint32_t
band_of (uint32_t load, uint32_t slots)
{
  uint32_t band = load > 0 ? (load * LRN_BANDS - 1) / slots : 0;

  return band < LRN_BANDS ? band : LRN_BANDS - 1;
}

static bool
is_known (const LrnCurve *curve, uint32_t band, uint64_t now_ms)
{
  return curve->bands[band].samples >= KNOWN_SAMPLES (curve->divisor)
         && now_ms - curve->bands[band].measured_at_ms < LRN_BAND_TTL_MS;
}

static void
record_band (LrnCurve *curve, uint32_t load_band, uint32_t time_permille, uint64_t now_ms)
{
  LrnBand *band = &curve->bands[load_band];

  if (now_ms - band->measured_at_ms >= LRN_BAND_TTL_MS)
    band->samples = 0;
  if (band->samples < curve->divisor)
    band->samples++;
  band->time_ppm = average (band->time_ppm, time_permille * PPM_OF_PERMILLE, band->samples);
  band->measured_at_ms = now_ms;
}

static uint32_t
relative_to_permille (const LrnCurve *curve, uint32_t band, uint32_t base)
{
  return (uint32_t) ((uint64_t) curve->bands[band].time_ppm * PERMILLE
                     / curve->bands[base].time_ppm);
}

static uint32_t
limit_of (const LrnCurve *curve, uint64_t now_ms)
{
  if (curve->limit < LRN_BANDS - 1 && now_ms - curve->limited_at_ms < LRN_BAND_TTL_MS)
    return curve->limit;
  return LRN_BANDS - 1;
}

/* Lowers the limit to the ranges below a knee, or removes it. */
static void
update_limit (LrnCurve *curve, uint64_t now_ms)
{
  uint32_t low = 0;
  uint32_t high = LRN_BANDS - 1;

  while (low < high && !is_known (curve, low, now_ms))
    low++;
  while (high > low && !is_known (curve, high, now_ms))
    high--;
  if (low == high)
    return;
  uint32_t high_permille = relative_to_permille (curve, high, low);
  bool limited = limit_of (curve, now_ms) < high;
  if (high == LRN_BANDS - 1 && high_permille < NO_KNEE_PERMILLE)
    curve->straight_at_ms = now_ms;
  if (high_permille < (limited ? NO_KNEE_PERMILLE : curve->knee_permille))
    {
      curve->limit = LRN_BANDS - 1;
      return;
    }
  /* The knee is where the time passes the middle between both. */
  uint32_t middle_permille = (PERMILLE + high_permille) / 2;
  curve->limit = high - 1;
  while (curve->limit > low
         && (!is_known (curve, curve->limit, now_ms)
             || relative_to_permille (curve, curve->limit, low) >= middle_permille))
    curve->limit--;
  curve->limited_at_ms = now_ms;
}

static void
record_curve (LrnCurve *curve, uint32_t band, uint32_t time_permille, uint64_t now_ms)
{
  record_band (curve, band, time_permille, now_ms);
  update_limit (curve, now_ms);
}

static uint64_t
distance (uint64_t a, uint64_t b)
{
  return a > b ? a - b : b - a;
}

/* Service time at the usual pace. The pace may have changed while the request ran: the reports at
 * its end and before, and the usual pace, may each explain its time; the one is taken that brings
 * it closest to the upstream's lasting time. */
static uint32_t
usual_time_permille (const Lrn *lrn, uint32_t time_permille, uint64_t now_ms)
{
  uint32_t lasting_permille = lrn->lasting_ppm / PPM_OF_PERMILLE;
  uint32_t paces[] = { PERMILLE, PERMILLE };
  uint64_t best = time_permille;

  if (lrn->reported_at_ms != 0 && now_ms - lrn->reported_at_ms <= LRN_REPORT_FRESH_MS)
    {
      paces[0] = lrn->pace_permille;
      if (now_ms - lrn->previous_report_at_ms < LRN_PREVIOUS_PACE_MS)
        paces[1] = lrn->previous_pace_permille;
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      uint64_t usual_permille = (uint64_t) time_permille * PERMILLE / paces[i];
      if (distance (usual_permille, lasting_permille) < distance (best, lasting_permille))
        best = usual_permille;
    }
  return clamp (best, TIME_MIN_PERMILLE, TIME_MAX_PERMILLE);
}

void
lrn_record_service_time (Lrn *lrn, LrnCurve *service, const LrnSample *sample, uint64_t now_ms)
{
  uint32_t work_ms = sample->time_ms > sample->rtt_ms ? sample->time_ms - sample->rtt_ms : 0;
  uint32_t time_permille = relative_time_permille (sample->time_ms, sample->expected_ms);

  record_recent (lrn, usual_time_permille (lrn, time_permille, now_ms), now_ms);
  if (sample->slots > 0 && sample->expected_ms >= LRN_WORK_MIN_MS)
    {
      /* A request behind a full set of slots waits; that is load, not slowness. */
      uint32_t slots = lrn_stated_slots (lrn, sample->slots, now_ms);
      uint32_t load = sample->load > slots ? sample->load : slots;
      time_permille
          = relative_time_permille ((uint64_t) work_ms * slots / load, sample->expected_ms);
      time_permille = usual_time_permille (lrn, time_permille, now_ms);
      record_lasting (lrn, time_permille, now_ms);
      /* Slow upstreams are loaded more, which is no knee: the curve is relative to each one's own.
       */
      time_permille = time_permille * PERMILLE / (lrn->lasting_ppm / PPM_OF_PERMILLE);
      uint32_t band = band_of (sample->load, sample->slots);
      record_curve (&lrn->curve, band, time_permille, now_ms);
      record_curve (service, band, time_permille, now_ms);
    }
  lrn->measured_at_ms = now_ms;
}

/* ---- Results ---- */

uint32_t
lrn_stated_slots (const Lrn *lrn, uint32_t slots, uint64_t now_ms)
{
  bool usable = lrn->reported_at_ms != 0 && now_ms - lrn->reported_at_ms < LRN_SLOTS_MAX_AGE_MS
                && lrn->trust_permille >= PERMILLE / 2;

  return usable && lrn->reported_slots < slots ? lrn->reported_slots : slots;
}

static uint32_t
band_slots (uint32_t band, uint32_t slots)
{
  uint32_t upper = slots * (band + 1) / LRN_BANDS;

  return upper > 0 ? upper : 1;
}

static bool
is_straight (const LrnCurve *curve, uint64_t now_ms)
{
  return curve->straight_at_ms != 0 && now_ms - curve->straight_at_ms < LRN_BAND_TTL_MS;
}

uint32_t
lrn_slots (const Lrn *lrn, const LrnCurve *service, uint32_t slots, uint64_t now_ms)
{
  uint32_t limit = limit_of (&lrn->curve, now_ms);
  uint32_t service_limit = limit_of (service, now_ms);
  uint32_t stated = lrn_stated_slots (lrn, slots, now_ms);

  if (service_limit < limit && !is_straight (&lrn->curve, now_ms))
    limit = service_limit;
  uint32_t good = band_slots (limit, slots);
  return good < stated ? good : stated;
}

uint32_t
lrn_slowness_permille (const Lrn *lrn, uint32_t own, uint64_t now_ms)
{
  return own == 0 && is_trial (lrn, now_ms) ? PERMILLE : lrn->recent_permille;
}

uint64_t
lrn_capacity_mslots (const Lrn *lrn, const LrnCurve *service, uint32_t slots, uint64_t now_ms)
{
  uint64_t mslots = (uint64_t) lrn_slots (lrn, service, slots, now_ms) * PERMILLE;
  uint32_t lasting_permille = lrn->lasting_ppm / PPM_OF_PERMILLE;
  bool is_usual = lasting_permille > LRN_FAST_PERMILLE && lasting_permille < LRN_RECOVERED_PERMILLE;

  if (is_usual || now_ms - lrn->measured_at_ms >= LRN_BAND_TTL_MS)
    return mslots;
  return mslots * PERMILLE
         / clamp (lasting_permille, LRN_CAPACITY_MIN_PERMILLE, LRN_CAPACITY_MAX_PERMILLE);
}
