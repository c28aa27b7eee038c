/* Estimates the number of distinct objects of a service. Pure: no I/O and no clock. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdint.h>

/**
 * struct Cen - objects requested lately
 * @seen: request counts by hash of the object
 * @singletons: number of objects that were requested once
 * @doubletons: number of objects that were requested twice
 */
typedef struct
{
  GHashTable *seen;
  uint32_t singletons;
  uint32_t doubletons;
} Cen;

void cen_init (Cen *estimator);
void cen_clear (Cen *estimator);

/** cen_note() - counts a request for an object; @object: hash of the object, not 0. */
void cen_note (Cen *estimator, uint32_t object, uint64_t now_ms);

/** cen_forget() - drops the objects that were not requested within the last PLC_OBJECT_TTL_MS. */
void cen_forget (Cen *estimator, uint64_t now_ms);

/**
 * cen_objects() - estimated number of distinct objects requested lately
 *
 * A node sees only a part of the requests. The number of objects that it has not seen is estimated
 * from how many it has seen once and twice: the bias-corrected Chao1 estimator. Source: A. Chao,
 * Nonparametric Estimation of the Number of Classes in a Population, Scandinavian Journal of
 * Statistics 11 (1984).
 */
uint32_t cen_objects (const Cen *estimator);
