/* What upstreams say in their answers about new work: that they leave, or for how long they want
 * none. */
#pragma once

#include "nod.h"

/**
 * adv_take() - takes what an answer says of its upstream
 *
 * An upstream that leaves gets no new work in this incarnation. One that turned a request away with
 * a time gets none for so long; a time that cannot be read is logged and passed over.
 */
void adv_take (Node *node, Ups *ups, const UcnAnswer *answer);

/** adv_pause_ms() - the time in a Retry-After header, ADV_PAUSE_MAX_MS at most; 0 when it is none.
 */
uint32_t adv_pause_ms (const char *text);
