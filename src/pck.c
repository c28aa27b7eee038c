/* Load balancing: choice of zone and upstream. Pure: no I/O, no clock; the RNG is passed in. */
#include "pck.h"

#include <string.h>

/* Use of the candidate's usable slots with one more request, in permille, plus its estimated load.
 */
static uint64_t
load_score (const PckCandidate *candidate)
{
  uint64_t usage_permille
      = ((uint64_t) candidate->in_flight + 1) * 1000 / MAX (candidate->usable_slots, 1);

  return usage_permille + candidate->load_permille;
}

static uint32_t
list_eligible (const PckCandidate *candidates, uint32_t count, uint32_t *eligible)
{
  uint32_t eligible_count = 0;

  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].eligible && candidates[i].in_flight < candidates[i].usable_slots)
      eligible[eligible_count++] = i;
  return eligible_count;
}

static uint32_t
two_choices (const PckCandidate *candidates, const uint32_t *eligible, uint32_t eligible_count,
             GRand *random)
{
  uint32_t first = (uint32_t) g_rand_int_range (random, 0, (gint32) eligible_count);
  uint32_t second = (uint32_t) g_rand_int_range (random, 0, (gint32) eligible_count - 1);

  if (second >= first)
    second++;
  if (load_score (&candidates[eligible[first]]) <= load_score (&candidates[eligible[second]]))
    return eligible[first];
  return eligible[second];
}

static uint32_t
least_reported (const PckCandidate *candidates, const uint32_t *eligible, uint32_t eligible_count)
{
  uint32_t best = eligible[0];

  for (uint32_t i = 1; i < eligible_count; i++)
    if (candidates[eligible[i]].load_permille < candidates[best].load_permille)
      best = eligible[i];
  return best;
}

static uint32_t
choose (const PckCandidate *candidates, const uint32_t *eligible, uint32_t eligible_count,
        PckPolicy policy, GRand *random, uint32_t *cursor)
{
  if (eligible_count == 0)
    return PCK_NONE;
  if (eligible_count == 1)
    return eligible[0];
  switch (policy)
    {
    case PCK_TWO_CHOICES:
      return two_choices (candidates, eligible, eligible_count, random);
    case PCK_RANDOM:
      return eligible[g_rand_int_range (random, 0, (gint32) eligible_count)];
    case PCK_LEAST_REPORTED:
      return least_reported (candidates, eligible, eligible_count);
    case PCK_ROUND_ROBIN:
      return eligible[(*cursor)++ % eligible_count];
    }
  return PCK_NONE;
}

uint32_t
pck_choose_upstream (const PckCandidate *candidates, uint32_t count, PckPolicy policy,
                     GRand *random, uint32_t *cursor)
{
  uint32_t *eligible = g_new (uint32_t, count + 1);
  uint32_t eligible_count = list_eligible (candidates, count, eligible);
  uint32_t chosen = choose (candidates, eligible, eligible_count, policy, random, cursor);

  g_free (eligible);
  return chosen;
}

uint32_t
pck_upstream_budget (uint32_t slots, uint32_t zone_budget, uint32_t zone_slots)
{
  if (zone_slots == 0)
    return 0;
  return (uint32_t) (((uint64_t) slots * zone_budget + zone_slots - 1) / zone_slots);
}

uint32_t
pck_choose_zone (const uint32_t *weights_ppm, int64_t *current_weights)
{
  uint32_t best = ZONE_NONE;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    {
      if (weights_ppm[z] == 0)
        {
          current_weights[z] = 0;
          continue;
        }
      current_weights[z] += weights_ppm[z];
      if (best == ZONE_NONE || current_weights[z] > current_weights[best])
        best = z;
    }
  if (best != ZONE_NONE)
    current_weights[best] -= SHARE_ONE_PPM;
  return best;
}

bool
pck_policy_parse (const char *name, PckPolicy *policy)
{
  static const char *const names[] = { "two-choices", "random", "least-reported", "round-robin" };

  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], name) == 0)
      {
        *policy = (PckPolicy) i;
        return true;
      }
  return false;
}
