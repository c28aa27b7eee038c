/* Census of a service's objects: how many there are, also those that this node has not seen. */
#pragma once

#include "lim.h"

#include <glib.h>
#include <stdint.h>

/**
 * struct Cen - objects asked for lately, by hash
 * @once: how many of them were asked for once
 * @twice: how many of them were asked for twice
 */
typedef struct
{
  GHashTable *seen;
  uint32_t once;
  uint32_t twice;
} Cen;

void cen_init (Cen *census);
void cen_clear (Cen *census);

/** cen_note() - a request for an object; @object is not 0. */
void cen_note (Cen *census, uint32_t object, uint64_t now_ms);

/** cen_forget() - drops objects that nobody asked for in PLC_OBJECT_TTL_MS. */
void cen_forget (Cen *census, uint64_t now_ms);

/**
 * cen_objects() - estimated number of objects
 *
 * A node sees a part of the requests only. The number not seen follows from how many were seen once
 * and twice (the estimator of Chao, with the correction for small numbers).
 */
uint32_t cen_objects (const Cen *census);
