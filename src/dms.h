/* What the callers of each region need of a service, and how it is shared, as nodes tell each
 * other. */
#pragma once

#include "per.h"
#include "shr.h"

/** dms_put() - what the own node tells: thousandths of a slot, and its shares. */
void dms_put (Per *per, const char *service, uint32_t mslots, const ShrShares *shares);

/** dms_of_region() - thousandths of a slot that a region's callers need, by what was told lately.
 */
uint64_t dms_of_region (const Per *per, const char *service, uint32_t region, uint64_t now_ms);

/** dms_shares() - the shares of a serving node of the own region; false when none told any. */
bool dms_shares (const Per *per, const char *service, ShrShares *shares);

/** dms_of_cell() - sums of the own cell for a summary; @room of them at most. Return: their number.
 */
u_int dms_of_cell (const Per *per, peer_service *sums, u_int room, uint64_t now_ms);
