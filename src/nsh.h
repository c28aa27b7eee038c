/* Shares of a node's services: what its callers need, and in which regions their requests run. */
#pragma once

#include "nod.h"

/** nsh_start() - shares of a service that has just become known. */
void nsh_start (Node *node, NodService *service, uint64_t now_ms);

/** nsh_asked() - a caller's request for the service came; @usual_ms is a first guess of its work.
 */
void nsh_asked (Node *node, NodService *service, uint32_t usual_ms);

/** nsh_took() - a request of the service was at work for a time. */
void nsh_took (NodService *service, uint32_t took_ms);

/** nsh_tick() - tells the peers what this node's callers need, and moves the shares. */
void nsh_tick (Node *node, uint64_t now_ms);

/** nsh_region() - the region in which a request runs, of those in @allowed; REGIONS_MAX for none.
 */
uint32_t nsh_region (const NodService *service, uint32_t allowed, uint32_t lot);

/** nsh_other_region() - the region in which a request may run as its own has no room; @draw_ppm was
 * drawn for the request. REGIONS_MAX for none. */
uint32_t nsh_other_region (const NodService *service, uint32_t allowed, uint32_t region,
                           uint32_t draw_ppm);

/** nsh_holds_back() - a request of the region is turned away so that the cap on shift holds. */
bool nsh_holds_back (const NodService *service, uint32_t region, uint32_t draw_ppm);

/** nsh_sent() - a request of @region was sent to region @to. */
void nsh_sent (Node *node, NodService *service, uint32_t region, uint32_t to);

/** nsh_turned_away() - a request of the region was turned away for want of room. */
void nsh_turned_away (NodService *service, uint32_t region);

/** nsh_log() - one line for each service with the shares and what they were worked out from. */
void nsh_log (const Node *node);
