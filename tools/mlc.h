/* Load patterns for learned capacity: upstreams of one service that differ. */
#pragma once

#include "mdl.h"

/** mlc_loads() - load patterns; the last entry has a NULL name. */
const MdlLoad *mlc_loads (void);

/** mlc_load() - load pattern by name; NULL if unknown. */
const MdlLoad *mlc_load (const char *name);
