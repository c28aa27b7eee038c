/* Peers: the views that nodes send each other, who is alive, and objects fetched from peers. */
#pragma once

#include "log.h"
#include "net.h"
#include "onc.h"
#include "peer.h"
#include "poi.h"
#include "rep.h"
#include "ups.h"

/** typedef PerState - what a node says of itself */
typedef enum
{
  PER_STARTING,
  PER_SERVING,
  PER_STOPPING,
} PerState;

/** typedef PerWatch - whether a node hears of changes from the platform's store itself */
typedef enum
{
  PER_WATCH_NONE,
  PER_WATCH_HEALTHY,
  PER_WATCH_FAILING,
} PerWatch;

/**
 * struct PerPeer - another node
 * @heard_at_ms: last view received, 0 for none yet
 * @view: its last view
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  uint32_t zone;
  NetAddr front;
  NetAddr addr;
  uint64_t incarnation;
  PerState state;
  PerWatch watch;
  uint64_t heard_at_ms;
  uint64_t sent_at_ms;
  peer_view view;
} PerPeer;

/** struct PerSelf - the own node */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  char zone[NAME_MAX_BYTES];
  uint32_t zone_index;
  NetAddr front;
  NetAddr addr;
  uint64_t incarnation;
  PerState state;
  PerWatch watch;
  bool settling;
} PerSelf;

/** typedef PerZoneFn - index of a zone by name */
typedef uint32_t (*PerZoneFn) (void *user, const char *zone);

/** typedef PerRegionFn - index of a zone's region */
typedef uint32_t (*PerRegionFn) (void *user, uint32_t zone);

/** typedef PerReadFn - asks the platform's store for a kind; false when it cannot be asked */
typedef bool (*PerReadFn) (void *user, const char *kind);

typedef struct
{
  uv_loop_t *loop;
  Log *log;
  PerSelf self;
  PerZoneFn zone_of;
  PerRegionFn region_of;
  void *user;
  PerReadFn read_store;
  void *reader;
  UpsBook *upstreams;
  Rep rep;
  PoiTable *poison;
  GHashTable *peers;
  OncClient *client;
  OncServer *server;
  uv_udp_t udp;
  char *buffer;
  uint64_t ticked_at_ms;
  uint64_t summed_at_ms;
  uint64_t unwatched_since_ms;
  uint64_t sent;
  uint64_t received;
  uint64_t fetches;
} Per;

/** per_start() - listens for views and fetches on the own address. */
bool per_start (Per *per, uv_loop_t *loop, Err *err);

/** per_clear() - releases the state after the loop has ended. */
void per_clear (Per *per);

/** per_tick() - sends views that are due and fetches what a peer knows better. */
void per_tick (Per *per, uint64_t now_ms);

/** per_name() - names a node that may be alive. */
void per_name (Per *per, const char *vm, NetAddr addr);

/** per_alive() - it was heard within PER_LOST_MS. */
bool per_alive (const PerPeer *peer, uint64_t now_ms);

/** per_count() - nodes that were heard lately, the own one included. */
uint32_t per_count (const Per *per, uint64_t now_ms);

/**
 * per_should_watch() - the own node is to hear of changes from the platform's store itself
 *
 * In each region the node with the best score does so, and the others fetch from it and from those
 * of the other regions. When no better one does, they step in one after the other.
 */
bool per_should_watch (Per *per, uint64_t now_ms);

/** per_watch_rank() - nodes of the own region with a better score. */
uint32_t per_watch_rank (const Per *per, uint64_t now_ms);

/** per_store_is_heard() - a node that was heard lately hears of changes from the store. */
bool per_store_is_heard (const Per *per, uint64_t now_ms);

/** per_any_settling() - a node regained a store that no node could reach a moment ago. */
bool per_any_settling (const Per *per, uint64_t now_ms);
