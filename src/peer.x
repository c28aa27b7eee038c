/* Protocol between nodes: messages sent in datagrams, and fetches of objects over RPC. */

typedef string peer_name<64>;

/* Newest position (pos.h) that a node knows of one kind of the platform's objects. Revisions in all
 * messages are positions: nodes of an earlier version send plain revisions, which count as less. */
struct peer_revision {
  peer_name kind;
  unsigned hyper revision;
};

/* A count that concerns one upstream. @upstream is the hash of its id. */
struct peer_count {
  unsigned int upstream;
  unsigned int count;
};

/* Demand for a service. @service is the hash of its name; @mslots is the demand of the callers in
 * thousandths of a slot. @ppm is the traffic split of the node that reports it: the share of
 * each region, in the order of the regions' names; empty in summaries. */
struct peer_service {
  unsigned int service;
  unsigned int mslots;
  unsigned int ppm<8>;
};

/* A request suspected of crashing upstreams. @crashes is how many upstreams were lost while they
 * ran it, the last one @age_ms ago; with 0 it was answered @age_ms ago and is no longer
 * suspected. */
struct peer_crash {
  unsigned hyper fingerprint;
  unsigned int crashes;
  unsigned int age_ms;
};

/* Requests of a client account that were admitted. @account is the hash of its name; the upper 8 bits
 * of @count are its generation, which changes when the count restarts after a time without requests,
 * the lower 24 the requests since its start. */
struct peer_quota {
  unsigned int account;
  unsigned int count;
};

/* An upstream that leaves and is not yet marked as draining in the platform's objects. @upstream
 * is the hash of its id; @born_ms is the start of the incarnation that leaves. */
struct peer_leaving {
  unsigned int upstream;
  unsigned hyper born_ms;
};

/* Addresses and state of a node.
 * @front_port is for callers, @peer_port for these messages; @relay_port is for requests that it
 * relays to upstreams of its zone, and 0 when it relays none.
 * @capacity is its share of processors in thousandths of a core.
 * @state: 0 starting, 1 serving, 2 stopping.
 * @watch, its watch of the platform's store: 0 none, 1 working, 2 failing. */
struct peer_member {
  peer_name vm;
  peer_name zone;
  unsigned int ip;
  unsigned int front_port;
  unsigned int peer_port;
  unsigned int relay_port;
  unsigned hyper incarnation;
  unsigned int capacity;
  unsigned int state;
  unsigned int watch;
};

/* View of one node: its own state and what it observes of the upstreams.
 * @removal_defer_ms is how much longer upstreams stay whose registrations have vanished. The time
 * starts when a node reaches the store again after none could; registrations that lapsed
 * meanwhile are renewed in it.
 * @loads are the node's requests in flight by upstream.
 * @down are the upstreams that do not answer the node, by the hash of their ids.
 * @quotas are the node's own counts of accounts with a quota that were used lately, and
 * @quota_age_ms is the time for which the node has counted. */
struct peer_view {
  peer_member self;
  unsigned int removal_defer_ms;
  peer_revision revisions<16>;
  peer_count loads<1024>;
  unsigned int down<256>;
  peer_crash crashes<64>;
  peer_service services<32>;
  peer_leaving leaving<64>;
  unsigned int quota_age_ms;
  peer_quota quotas<64>;
};

/* A node of the zone that a summary covers. @age_ms is the time since its last message. */
struct peer_reported_member {
  peer_member member;
  unsigned int age_ms;
};

/* Totals over the nodes of a zone, sent by one of them to one node of each other zone. The
 * receiver forwards it to the nodes of its own zone when @relay is set, and clears @relay in these
 * copies.
 * @loads are the zone's requests in flight by upstream.
 * @down are the numbers of nodes that an upstream does not answer.
 * @quotas are what the sender has counted for its zone since it started; @quota_source changes when
 * another node sends, or the same one after a restart. */
struct peer_summary {
  peer_name zone;
  bool relay;
  unsigned int removal_defer_ms;
  peer_revision revisions<16>;
  peer_reported_member members<256>;
  peer_count loads<1024>;
  peer_count down<256>;
  peer_crash crashes<64>;
  peer_service services<32>;
  peer_leaving leaving<64>;
  unsigned hyper quota_source;
  peer_quota quotas<512>;
};

/* One version of an object; value is empty when @deleted is set. */
struct peer_object {
  string name<256>;
  unsigned hyper revision;
  bool deleted;
  string value<16777216>;
};

/* The decoder allocates an array before it reads its elements. A datagram and a record of
 * RPC_RECORD_MAX_BYTES hold hardly more. */
const PEER_UPDATE_OBJECTS_MAX = 2048;
const PEER_FETCHED_OBJECTS_MAX = 262144;

/* Changes of one kind of object, after revision @since and up to @revision. When @has_objects is
 * false, it carries the revision alone, and the receiver fetches the changes. */
struct peer_update {
  peer_name kind;
  unsigned hyper since;
  unsigned hyper revision;
  bool has_objects;
  unsigned int removal_defer_ms;
  peer_object objects<PEER_UPDATE_OBJECTS_MAX>;
};

enum peer_message_kind {
  PEER_VIEW = 1,
  PEER_SUMMARY = 2,
  PEER_UPDATE = 3
};

union peer_message switch (peer_message_kind kind) {
case PEER_VIEW:
  peer_view view;
case PEER_SUMMARY:
  peer_summary summary;
case PEER_UPDATE:
  peer_update update;
};

/* Fetches the changes of a kind after revision @since, oldest first. The objects of the reply
 * don't exceed @max_bytes in total. */
struct peer_fetch_args {
  peer_name kind;
  unsigned hyper since;
  unsigned int max_bytes;
};

/* All changes up to @revision are in objects or older than @since. @too_large is set when the
 * first change alone exceeds @max_bytes. */
struct peer_fetch_reply {
  unsigned hyper revision;
  bool too_large;
  peer_object objects<PEER_FETCHED_OBJECTS_MAX>;
};
