/* Shift of requests between regions: change of the regions' shares from one window to the next. */
#include "mds.h"

#include "lim.h"

#include <glib.h>
#include <math.h>

#define SLOT_MS 500
#define SLOTS 256
#define WINDOW_SLOTS 4
#define WINDOW_RUNS_MIN 40
#define SAMPLING_DEVIATIONS 2.0
#define PERMILLE 1000.0

struct Mds
{
  uint32_t runs[REGIONS_MAX][SLOTS][REGIONS_MAX];
};

typedef struct
{
  uint32_t runs[REGIONS_MAX];
  uint32_t total;
} Window;

Mds *
mds_new (void)
{
  return g_new0 (Mds, 1);
}

void
mds_free (Mds *mds)
{
  g_free (mds);
}

void
mds_run (Mds *mds, uint32_t origin, uint32_t region, uint64_t now_ms)
{
  if (now_ms / SLOT_MS < SLOTS)
    mds->runs[origin][now_ms / SLOT_MS][region]++;
}

static Window
window_at (const Mds *mds, uint32_t origin, uint32_t first)
{
  Window window = { .total = 0 };

  for (uint32_t s = first; s < first + WINDOW_SLOTS; s++)
    for (uint32_t r = 0; r < REGIONS_MAX; r++)
      {
        window.runs[r] += mds->runs[origin][s][r];
        window.total += mds->runs[origin][s][r];
      }
  return window;
}

static double
sampling_error (const Window *a, const Window *b, uint32_t region)
{
  double share = (double) (a->runs[region] + b->runs[region]) / (a->total + b->total);

  return sqrt (share * (1.0 - share) * (1.0 / a->total + 1.0 / b->total));
}

static double
shifted_share (const Window *a, const Window *b)
{
  double sum = 0;
  double error = 0;

  if (a->total < WINDOW_RUNS_MIN || b->total < WINDOW_RUNS_MIN)
    return 0;
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    {
      double growth = (double) b->runs[r] / b->total - (double) a->runs[r] / a->total;
      sum += MAX (growth, 0.0);
      error = MAX (error, sampling_error (a, b, r));
    }
  return MAX (sum - SAMPLING_DEVIATIONS * error, 0.0);
}

uint32_t
mds_max_shift_permille (const Mds *mds, uint32_t *origin, uint32_t *at_ms)
{
  double worst = 0;

  *origin = 0;
  *at_ms = 0;
  for (uint32_t r = 0; r < REGIONS_MAX; r++)
    for (uint32_t s = 0; s + 2 * WINDOW_SLOTS <= SLOTS; s++)
      {
        Window first = window_at (mds, r, s);
        Window second = window_at (mds, r, s + WINDOW_SLOTS);
        double share = shifted_share (&first, &second);
        if (share <= worst)
          continue;
        worst = share;
        *origin = r;
        *at_ms = (s + WINDOW_SLOTS) * SLOT_MS;
      }
  return (uint32_t) lround (worst * PERMILLE);
}
