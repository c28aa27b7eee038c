/* Peers: the nodes that are known, who is alive, their and their cells. */
#pragma once

#include "log.h"
#include "net.h"
#include "ovl.h"
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
 * @named_at_ms: when it became known
 * @heard_at_ms: when it last spoke, to this node or to one that told so; 0 for never
 * @direct_at_ms: when its last view came; 0 for never
 * @near: it is of the own cell
 * @by_summary: it is heard of in summaries
 * @is_head: it is among the best of another cell
 * @relay: where it takes requests for upstreams near it; port 0 when it does not
 * @counted: the loads of its view are part of the sums
 * @view: its last view
 */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  uint32_t hash;
  uint32_t zone;
  NetAddr front;
  NetAddr addr;
  NetAddr relay;
  uint64_t incarnation;
  uint32_t capacity;
  PerState state;
  PerWatch watch;
  uint64_t named_at_ms;
  uint64_t heard_at_ms;
  uint64_t direct_at_ms;
  uint64_t sent_at_ms;
  bool near;
  bool by_summary;
  bool is_head;
  bool counted;
  peer_view view;
} PerPeer;

/** struct PerSelf - the own node; @capacity: processors in thousandths of a core */
typedef struct
{
  char vm[NAME_MAX_BYTES];
  uint32_t hash;
  char zone[NAME_MAX_BYTES];
  uint32_t zone_index;
  NetAddr front;
  NetAddr addr;
  uint16_t relay_port;
  uint64_t incarnation;
  uint32_t capacity;
  PerState state;
  PerWatch watch;
} PerSelf;

/** typedef PerZoneFn - index of a zone by name */
typedef uint32_t (*PerZoneFn) (void *user, const char *zone);

/** typedef PerRegionFn - index of a zone's region */
typedef uint32_t (*PerRegionFn) (void *user, uint32_t zone);

/** typedef PerReadFn - asks the platform's store for a kind; false when it cannot be asked */
typedef bool (*PerReadFn) (void *user, const char *kind);

/** typedef PerFetchedFn - end of a fetch; @reply is NULL when no answer came in time */
typedef void (*PerFetchedFn) (void *user, const void *reply);

/**
 * struct PerTransport - what carries messages
 * @send: sends a datagram; false when it cannot be sent now
 * @fetch: asks a peer for objects
 */
typedef struct
{
  bool (*send) (void *user, const char *data, uint32_t size, NetAddr to);
  void (*fetch) (void *user, NetAddr peer, peer_fetch_args *args, uint32_t timeout_ms,
                 PerFetchedFn fn, void *fn_user);
  void *user;
} PerTransport;

/**
 * struct Per - the nodes that are known
 *
 * Up to OVL_FLAT_MAX nodes send each other views, and a cell is a region. More do so within a zone,
 * which is a cell then, and hear of other zones by summaries.
 * @services: what the own node tells of the services' requests, @service_count of them
 * @zoned: cells are zones
 * @near: the other live nodes of the own cell, best first
 * @rank: own position among them
 * @heads: the best nodes of the other cells
 * @settling_until_ms: until then, registrations that vanish are held
 * @unread_since_ms: since when messages wait that arrived and were not taken; 0 when none did last
 * @unread_worst_ms: the longest such time
 */
typedef struct
{
  Log *log;
  PerSelf self;
  PerZoneFn zone_of;
  PerRegionFn region_of;
  void *user;
  PerReadFn read_store;
  void *reader;
  PerTransport transport;
  UpsBook *upstreams;
  Rep rep;
  PoiTable *poison;
  peer_service services[PER_SERVICES_MAX];
  u_int service_ppm[PER_SERVICES_MAX][REGIONS_MAX];
  u_int service_count;
  GHashTable *peers;
  bool zoned;
  GPtrArray *near;
  uint32_t rank;
  GPtrArray *heads;
  uint32_t live;
  peer_summary summaries[ZONES_MAX];
  uint64_t summary_at_ms[ZONES_MAX];
  uint64_t summed_up_at_ms;
  uint32_t summary_number;
  char *out;
  uint64_t ticked_at_ms;
  uint64_t summed_at_ms;
  uint64_t unwatched_since_ms;
  uint64_t settling_until_ms;
  uint64_t unread_since_ms;
  uint64_t unread_worst_ms;
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received;
  uint64_t received_bytes;
  uint64_t send_failures;
  uint64_t garbled;
  uint64_t fetches;
  uint64_t news_sent;
} Per;

/** per_init() - prepares the state; the own node, the functions and the transport are set before.
 */
void per_init (Per *per);
void per_clear (Per *per);

/** per_forgive_pause() - after a pause of the own process, silence of the others says nothing. */
void per_forgive_pause (Per *per, uint64_t now_ms);

/** per_name() - names a node that may be alive. */
void per_name (Per *per, const char *vm, NetAddr addr, uint32_t zone, uint32_t capacity,
               uint64_t now_ms);

/** per_member() - takes what a node said of itself at @heard_at_ms; NULL when it is old news.
 */
PerPeer *per_member (Per *per, const peer_member *member, uint64_t heard_at_ms, uint64_t now_ms);

/** per_own_member() - what the own node says of itself. */
peer_member per_own_member (const Per *per);

/** per_alive() - it was heard lately. */
bool per_alive (const PerPeer *peer, uint64_t now_ms);

/** typedef PerTestFn - whether a peer is counted */
typedef bool (*PerTestFn) (const Per *per, const PerPeer *peer, uint64_t now_ms);

/** per_count_if() - peers that pass a test. */
uint32_t per_count_if (const Per *per, PerTestFn test, uint64_t now_ms);

/** per_count() - nodes that were heard lately, the own one included. */
uint32_t per_count (const Per *per, uint64_t now_ms);

/** per_is_recent() - its last view came so lately that it is not missed yet. */
bool per_is_recent (const Per *per, const PerPeer *peer, uint64_t now_ms);

/** per_order() - a peer's and the own place in the order of nodes. */
OvlNode per_order (const PerPeer *peer);
OvlNode per_own_order (const Per *per);

/** per_is_head() - the own node is among the best of its cell. */
bool per_is_head (const Per *per);

/** per_period_ms() - time between views to the same peer. */
uint32_t per_period_ms (const Per *per);

/** per_arrange() - works out the cells, their order and their heads anew. */
void per_arrange (Per *per, uint64_t now_ms);

/** per_send() - sends a message to some peers; false when it is too large for a datagram. */
bool per_send (Per *per, const peer_message *message, PerPeer *const *peers, uint32_t count);

/** per_revisions() - revisions of the kinds known; @room of them at most. */
u_int per_revisions (const Per *per, peer_revision *revisions, u_int room);

/** per_crashes() - requests suspected of crashing upstreams, then those answered since; @room at
 * most. */
u_int per_crashes (const Per *per, peer_crash *crashes, u_int room, uint64_t now_ms);
void per_take_crashes (Per *per, const peer_crash *crashes, u_int count, uint64_t now_ms);

/** per_unread() - messages that arrived were all taken (@waiting is false) or are being taken. */
void per_unread (Per *per, bool waiting, uint64_t now_ms);

/** per_unread_ms() - how old the oldest message may be that was not taken yet. */
uint32_t per_unread_ms (const Per *per, uint64_t now_ms);

/**
 * per_settle() - registrations that vanish are held for some time
 *
 * A node that regains a store that no node could reach begins it, with UPS_MISSING_HOLD_MS. The
 * others are told the time that is left, so that it ends everywhere at much the same moment.
 */
void per_settle (Per *per, uint32_t left_ms, uint64_t now_ms);

/** per_settling_ms() - how much longer registrations that vanish are held; 0 when they are not. */
uint32_t per_settling_ms (const Per *per, uint64_t now_ms);

/**
 * per_settling_to_tell_ms() - what other nodes are told of it
 *
 * Less by PER_HOP_MS, which is more than a message takes, so that nodes that tell each other do not
 * go on for ever.
 */
uint32_t per_settling_to_tell_ms (const Per *per, uint64_t now_ms);
