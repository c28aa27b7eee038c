/* Choice of an upstream and of a zone. */
#include "pck.h"

#include <string.h>

/* Load of a candidate in thousandths of its usable slots, with one more request on it. */
static uint64_t
score (const PckUpstream *candidate)
{
  uint64_t local = ((uint64_t) candidate->in_flight + 1) * 1000 / MAX (candidate->usable_slots, 1);

  return local + candidate->load_permille;
}

static uint32_t
list_eligible (const PckUpstream *candidates, uint32_t count, uint32_t *eligible)
{
  uint32_t found = 0;

  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].eligible && candidates[i].in_flight < candidates[i].usable_slots)
      eligible[found++] = i;
  return found;
}

static uint32_t
two_choices (const PckUpstream *candidates, const uint32_t *eligible, uint32_t found, GRand *random)
{
  uint32_t a = (uint32_t) g_rand_int_range (random, 0, (gint32) found);
  uint32_t b = (uint32_t) g_rand_int_range (random, 0, (gint32) found - 1);

  if (b >= a)
    b++;
  if (score (&candidates[eligible[a]]) <= score (&candidates[eligible[b]]))
    return eligible[a];
  return eligible[b];
}

static uint32_t
least_reported (const PckUpstream *candidates, const uint32_t *eligible, uint32_t found)
{
  uint32_t best = eligible[0];

  for (uint32_t i = 1; i < found; i++)
    if (candidates[eligible[i]].load_permille < candidates[best].load_permille)
      best = eligible[i];
  return best;
}

static uint32_t
choose (const PckUpstream *candidates, const uint32_t *eligible, uint32_t found, PckPolicy policy,
        GRand *random, uint32_t *cursor)
{
  if (found == 0)
    return PCK_NONE;
  if (found == 1)
    return eligible[0];
  switch (policy)
    {
    case PCK_TWO_CHOICES:
      return two_choices (candidates, eligible, found, random);
    case PCK_RANDOM:
      return eligible[g_rand_int_range (random, 0, (gint32) found)];
    case PCK_LEAST_REPORTED:
      return least_reported (candidates, eligible, found);
    case PCK_ROUND_ROBIN:
      return eligible[(*cursor)++ % found];
    }
  return PCK_NONE;
}

uint32_t
pck_upstream (const PckUpstream *candidates, uint32_t count, PckPolicy policy, GRand *random,
              uint32_t *cursor)
{
  uint32_t *eligible = g_new (uint32_t, count + 1);
  uint32_t found = list_eligible (candidates, count, eligible);
  uint32_t chosen = choose (candidates, eligible, found, policy, random, cursor);

  g_free (eligible);
  return chosen;
}

uint32_t
pck_share (uint32_t slots, uint32_t held, uint32_t zone_slots)
{
  if (zone_slots == 0)
    return 0;
  return (uint32_t) (((uint64_t) slots * held + zone_slots - 1) / zone_slots);
}

uint32_t
pck_zone (const uint32_t *shares_ppm, int64_t *credit)
{
  uint32_t best = ZONE_NONE;

  for (uint32_t z = 0; z < ZONES_MAX; z++)
    {
      if (shares_ppm[z] == 0)
        {
          credit[z] = 0;
          continue;
        }
      credit[z] += shares_ppm[z];
      if (best == ZONE_NONE || credit[z] > credit[best])
        best = z;
    }
  if (best != ZONE_NONE)
    credit[best] -= SHARE_ONE_PPM;
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
