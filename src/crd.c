/* Estimates the number of distinct objects of a service. Pure: no I/O and no clock. */
#include "crd.h"

/* Upper bound of the estimated unseen objects per seen object. */
#define UNSEEN_PER_SEEN_MAX 4

/** struct Seen - an object that was requested lately */
typedef struct
{
  uint64_t requested_at_ms;
  uint32_t requests;
} Seen;

void
crd_init (Crd *estimator)
{
  *estimator = (Crd){ .seen = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free) };
}

void
crd_clear (Crd *estimator)
{
  g_hash_table_unref (estimator->seen);
}

/* Adds @change to the number of objects that were requested as often as @seen. */
static void
update_counts (Crd *estimator, const Seen *seen, int32_t change)
{
  if (seen->requests == 1)
    estimator->singletons = (uint32_t) ((int32_t) estimator->singletons + change);
  else if (seen->requests == 2)
    estimator->doubletons = (uint32_t) ((int32_t) estimator->doubletons + change);
}

void
crd_add (Crd *estimator, uint32_t object, uint64_t now_ms)
{
  Seen *seen = g_hash_table_lookup (estimator->seen, GUINT_TO_POINTER (object));

  if (seen == NULL)
    {
      seen = g_new0 (Seen, 1);
      g_hash_table_insert (estimator->seen, GUINT_TO_POINTER (object), seen);
    }
  update_counts (estimator, seen, -1);
  seen->requests++;
  seen->requested_at_ms = now_ms;
  update_counts (estimator, seen, 1);
}

void
crd_expire (Crd *estimator, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, estimator->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Seen *seen = value;
      if (now_ms - seen->requested_at_ms < CRD_OBJECT_TTL_MS)
        continue;
      update_counts (estimator, seen, -1);
      g_hash_table_iter_remove (&iter);
    }
}

uint32_t
crd_estimate (const Crd *estimator)
{
  uint64_t seen_count = g_hash_table_size (estimator->seen);
  uint64_t singletons = estimator->singletons;
  uint64_t unseen_count = singletons > 0 ? singletons * (singletons - 1)
                                               / (2 * ((uint64_t) estimator->doubletons + 1))
                                         : 0;

  return (uint32_t) (seen_count + MIN (unseen_count, UNSEEN_PER_SEEN_MAX * seen_count));
}
