/* Peers: the known nodes, which of them are alive, and the cells that they form. No clock; messages
 * and fetches go through a PerTransport. */
#pragma once

#include "log.h"
#include "net.h"
#include "ovl.h"
#include "peer.h"
#include "poi.h"
#include "quo.h"
#include "rep.h"
#include "trf.h"
#include "ups.h"

/** typedef PerState - state that a node reports of itself */
typedef enum
{
  PER_STARTING,
  PER_SERVING,
  PER_STOPPING,
} PerState;

/** typedef PerWatch - whether a node watches the platform's store for changes */
typedef enum
{
  PER_WATCH_NONE,
  PER_WATCH_HEALTHY,
  PER_WATCH_FAILING,
} PerWatch;

/**
 * struct PerPeer - another node
 * @zone: index, or ZONE_NONE
 * @front: address for callers
 * @addr: address for messages of other nodes
 * @relay: address for requests that it relays to upstreams of its zone; port 0 when it relays none
 * @incarnation: larger after each restart of the node
 * @capacity: processors in thousandths of a core
 * @era: newest era of the store that it, or the summary that reports it, knew
 * @known_since_ms: when it became known
 * @last_seen_ms: time of its last message to this node or, as other nodes report it, to one of
 *   them; 0 for never
 * @last_view_ms: when its last view was received; 0 for never
 * @view_sent_ms: when a view was last sent to it
 * @own_cell: it belongs to the cell of the own node
 * @in_summaries: it is in another cell and reported in summaries
 * @is_head: it is a head of another cell
 * @in_totals: its view is part of the totals of the upstreams
 * @left: the platform has removed it, and nothing was heard of it since
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
  uint64_t era;
  uint64_t known_since_ms;
  uint64_t last_seen_ms;
  uint64_t last_view_ms;
  uint64_t view_sent_ms;
  bool own_cell;
  bool in_summaries;
  bool is_head;
  bool in_totals;
  bool left;
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

/** typedef PerReadFn - starts to read the objects of a kind from the platform's store; false when
 * the store is not available */
typedef bool (*PerReadFn) (void *user, const char *kind);

/** typedef PerFetchedFn - end of a fetch; @reply is NULL when it failed or timed out */
typedef void (*PerFetchedFn) (void *user, const void *reply);

/**
 * struct PerTransport - transport of messages between nodes
 * @send: sends a datagram; false when it cannot be sent now
 * @fetch: requests objects from a peer; calls @fn at the end
 */
typedef struct
{
  bool (*send) (void *user, const char *data, uint32_t size, NetAddr to);
  void (*fetch) (void *user, NetAddr peer, peer_fetch_args *args, uint32_t timeout_ms,
                 PerFetchedFn fn, void *fn_user);
  void *user;
} PerTransport;

/**
 * struct Per - the known nodes and the state of the exchange with them
 *
 * Up to OVL_FLAT_MAX nodes all send each other views, and a cell is a region. With more nodes, a
 * cell is a zone: views are sent within it, and a summary of it goes to the other zones.
 * @user: argument of @zone_of and @region_of
 * @read_store: may be NULL
 * @store_user: argument of @read_store
 * @quotas: quotas of client accounts; may be NULL
 * @traffic: counts the bytes of messages; may be NULL
 * @services: demand of the services that the own node reports, @service_count of them
 * @service_ppm: traffic split of each of them in ppm by region
 * @peers: PerPeer by VM name
 * @zones_by_addr: zone of a node by its address for messages
 * @zoned: cells are zones
 * @own_cell: the other live nodes of the own cell, first rank first
 * @rank: own rank in the cell
 * @heads: the heads of the other cells
 * @live_count: peers that are alive or expected to be
 * @summaries: last summary by zone
 * @summary_received_ms: when each of them was received; 0 for never
 * @summary_sent_ms: when the own node last sent a summary
 * @summary_sequence: number of summaries that it sent
 * @send_buffer: PER_DATAGRAM_MAX_BYTES
 * @last_tick_ms: time of the last exc_tick(); 0 for none yet
 * @totals_updated_ms: when the totals of the upstreams were last recomputed
 * @unwatched_since_ms: since when no node that precedes this one watches the store; 0 when one
 * does, or when the own node must not watch it
 * @removal_defer_until_ms: until then, vanished registrations are not removed
 * @unread_since_ms: since when received messages wait in the socket; 0 when it was empty last
 * @unread_longest_ms: the longest such time
 * @garbled: received messages that could not be decoded
 */
typedef struct
{
  Log *log;
  PerSelf self;
  PerZoneFn zone_of;
  PerRegionFn region_of;
  void *user;
  PerReadFn read_store;
  void *store_user;
  PerTransport transport;
  UpsTable *upstreams;
  Rep rep;
  PoiTable *poison;
  Quo *quotas;
  Trf *traffic;
  peer_service services[PER_SERVICES_MAX];
  u_int service_ppm[PER_SERVICES_MAX][REGIONS_MAX];
  u_int service_count;
  GHashTable *peers;
  GHashTable *zones_by_addr;
  bool zoned;
  GPtrArray *own_cell;
  uint32_t rank;
  GPtrArray *heads;
  uint32_t live_count;
  peer_summary summaries[ZONES_MAX];
  uint64_t summary_received_ms[ZONES_MAX];
  uint64_t summary_sent_ms;
  uint32_t summary_sequence;
  char *send_buffer;
  uint64_t last_tick_ms;
  uint64_t totals_updated_ms;
  uint64_t unwatched_since_ms;
  uint64_t removal_defer_until_ms;
  uint64_t unread_since_ms;
  uint64_t unread_longest_ms;
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received;
  uint64_t received_bytes;
  uint64_t send_failures;
  uint64_t garbled;
  uint64_t fetches;
  uint64_t updates_sent;
} Per;

/** per_init() - initializes the state; the caller has set the own node, the callbacks and the
 * transport. */
void per_init (Per *per);
void per_clear (Per *per);

/**
 * per_compensate_pause() - excludes a pause of the own process from the times without a message
 *
 * Otherwise the node would take its peers for dead after the pause.
 */
void per_compensate_pause (Per *per, uint64_t now_ms);

/** per_add() - adds a node that is expected to be alive; no effect once a report of it was
 * received. */
void per_add (Per *per, const char *vm, NetAddr addr, uint32_t zone, uint32_t capacity,
              uint64_t now_ms);

/** per_mark_left() - records that the platform has removed a node. */
void per_mark_left (Per *per, const char *vm);

/** per_apply_member() - applies what a node reported of itself at @last_seen_ms. Return: the peer;
 * NULL when newer data is known or the node is the own one. */
PerPeer *per_apply_member (Per *per, const peer_member *member, uint64_t last_seen_ms,
                           uint64_t now_ms);

/** per_own_member() - what the own node reports of itself. */
peer_member per_own_member (const Per *per);

/** per_distance_of() - distance of the node with an address for messages. */
TrfDistance per_distance_of (const Per *per, NetAddr addr);

/** per_is_alive() - its last message is more recent than PER_TIMEOUT_MS, or PER_SUMMARY_TIMEOUT_MS
 * for a peer that is reported in summaries. */
bool per_is_alive (const PerPeer *peer, uint64_t now_ms);

/** typedef PerTestFn - whether a peer meets a condition */
typedef bool (*PerTestFn) (const Per *per, const PerPeer *peer, uint64_t now_ms);

/** per_count_if() - number of peers that meet the condition @test. */
uint32_t per_count_if (const Per *per, PerTestFn test, uint64_t now_ms);

/** per_count() - number of live nodes, including the own one. */
uint32_t per_count (const Per *per, uint64_t now_ms);

/** per_is_recent() - true while no view of the peer, or no summary that reports it, is overdue. */
bool per_is_recent (const Per *per, const PerPeer *peer, uint64_t now_ms);

/** per_ovl_node() - what the rank of a peer depends on. */
OvlNode per_ovl_node (const PerPeer *peer);

/** per_own_ovl_node() - what the rank of the own node depends on. */
OvlNode per_own_ovl_node (const Per *per);

/** per_is_head() - the own node is a head of its cell. */
bool per_is_head (const Per *per);

/** per_view_period_ms() - time between views to the same peer; rises with the number of peers. */
uint32_t per_view_period_ms (const Per *per);

/** per_update_cells() - recomputes the cells, the ranks of their nodes and their heads. */
void per_update_cells (Per *per, uint64_t now_ms);

/** per_send() - sends a message to @count peers; false when it is too large for a datagram. */
bool per_send (Per *per, const peer_message *message, PerPeer *const *peers, uint32_t count);

/** per_purpose() - what a message's bytes are counted as. */
TrfPurpose per_purpose (const peer_message *message);

/** per_list_revisions() - newest positions of the known kinds, @capacity at most. Return: entries
 * written. */
u_int per_list_revisions (const Per *per, peer_revision *revisions, u_int capacity);

/** per_newest_era() - newest era of the store in revisions that a node reports; 0 for none. */
uint64_t per_newest_era (const peer_revision *revisions, u_int count);

/** per_peers_know_era() - whether a peer has reported this era of the store or a newer one. */
bool per_peers_know_era (const Per *per, uint64_t era);

/** per_list_crashes() - requests suspected of crashing upstreams, then those that got a response
 * since, @capacity at most. Return: entries written. */
u_int per_list_crashes (const Per *per, peer_crash *crashes, u_int capacity, uint64_t now_ms);

/** per_apply_crashes() - applies the crashes that another node reports. */
void per_apply_crashes (Per *per, const peer_crash *crashes, u_int count, uint64_t now_ms);

/** per_record_unread() - records that the socket is empty (@waiting is false) or still has
 * messages. Logs a warning when messages waited for LAG_STALL_MS or longer. */
void per_record_unread (Per *per, bool waiting, uint64_t now_ms);

/** per_unread_ms() - upper bound of the time that the oldest unread message has waited. */
uint32_t per_unread_ms (const Per *per, uint64_t now_ms);

/**
 * per_defer_removal() - defers the removal of vanished registrations for @remaining_ms,
 * UPS_REMOVAL_DEFER_MAX_MS at most
 *
 * A node that reaches the store again after an outage for all nodes starts the deferral. Its
 * messages carry the remaining time, so that the deferral ends on all nodes at about the same time.
 */
void per_defer_removal (Per *per, uint32_t remaining_ms, uint64_t now_ms);

/** per_removal_defer_ms() - remaining time for which the removal of vanished registrations is
 * deferred; 0 for none. */
uint32_t per_removal_defer_ms (const Per *per, uint64_t now_ms);

/**
 * per_advertised_defer_ms() - remaining time of the deferral as reported to other nodes
 *
 * It is shorter by PER_TRANSIT_MAX_MS, more than a message is under way, so that nodes do not
 * extend the deferral by their messages to each other.
 */
uint32_t per_advertised_defer_ms (const Per *per, uint64_t now_ms);
