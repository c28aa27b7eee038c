/* Look-ups: which nodes a caller should connect to. */
#pragma once

#include "nod.h"

/** dir_addresses() - front addresses of nodes for callers of a region; may be empty. */
GPtrArray *dir_addresses (const Node *node, uint32_t region, uint64_t now_ms);
