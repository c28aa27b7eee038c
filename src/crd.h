/* Estimates the number of distinct objects of a service. Pure: no I/O and no clock. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdint.h>

/**
 * struct Crd - objects requested lately
 * @seen: request counts by hash of the object
 * @singletons: number of objects that were requested once
 * @doubletons: number of objects that were requested twice
 */
typedef struct
{
  GHashTable *seen;
  uint32_t singletons;
  uint32_t doubletons;
} Crd;

void crd_init (Crd *estimator);
void crd_clear (Crd *estimator);

/** crd_add() - counts a request for an object; @object: hash of the object, not 0. */
void crd_add (Crd *estimator, uint32_t object, uint64_t now_ms);

/** crd_expire() - drops the objects that were not requested within the last CRD_OBJECT_TTL_MS. */
void crd_expire (Crd *estimator, uint64_t now_ms);

/**
 * crd_estimate() - estimated number of distinct objects requested lately
 *
 * A node sees only a part of the requests. The number of objects that it has not seen is estimated
 * from how many it has seen once and twice: the bias-corrected Chao1 estimator. Source: A. Chao,
 * Nonparametric Estimation of the Number of Classes in a Population, Scandinavian Journal of
 * Statistics 11 (1984).
 */
uint32_t crd_estimate (const Crd *estimator);
