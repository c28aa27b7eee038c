/* Messages that nodes send each other in datagrams, and objects that they fetch from each other. */

typedef string peer_name<64>;

/* A revision of one kind of the platform's objects. */
struct peer_revision {
  peer_name kind;
  unsigned hyper revision;
};

/* A number for one upstream, which is named by the hash of its id. */
struct peer_count {
  unsigned int upstream;
  unsigned int count;
};

/* What callers need of a service, which is named by the hash of its name, in thousandths of a slot.
 * ppm are the shares of the regions, in the order of their names, in which the requests of a node's
 * callers run; none in sums. */
struct peer_service {
  unsigned int service;
  unsigned int mslots;
  unsigned int ppm<8>;
};

/* A request that was lost with the upstream that ran it; crashes of 0: it was answered age_ms ago. */
struct peer_crash {
  unsigned hyper fingerprint;
  unsigned int crashes;
  unsigned int age_ms;
};

/* An upstream whose incarnation leaves, though the platform does not list it so yet. */
struct peer_leaving {
  unsigned int upstream;
  unsigned hyper born_ms;
};

/* What a node is. state: 0 starting, 1 serving, 2 stopping.
 * relay_port is 0 when it relays nothing.
 * watch tells whether it hears of changes from the platform's store: 0 no, 1 yes, 2 in vain.
 * capacity is its share of processors in thousandths of a core. */
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

/* A node's own view.
 * settling_ms is how much longer registrations that vanished are held, because a node regained a store
 * that no node could reach.
 * loads are its requests in flight.
 * downs names upstreams that do not answer it, by the hash of their ids. */
struct peer_view {
  peer_member self;
  unsigned int settling_ms;
  peer_revision revisions<16>;
  peer_count loads<1024>;
  unsigned int downs<256>;
  peer_crash crashes<64>;
  peer_service services<32>;
  peer_leaving leaving<64>;
};

/* A node that another one heard of itself, age_ms ago. */
struct peer_heard {
  peer_member member;
  unsigned int age_ms;
};

/* Sums over the nodes of a zone, made by one of them. A relay passes it on in its own zone. */
struct peer_summary {
  peer_name zone;
  bool relay;
  unsigned int settling_ms;
  peer_revision revisions<16>;
  peer_heard members<256>;
  peer_count loads<1024>;
  peer_count downs<256>;
  peer_crash crashes<64>;
  peer_service services<32>;
  peer_leaving leaving<64>;
};

struct peer_object {
  string name<256>;
  unsigned hyper revision;
  bool deleted;
  string value<1048576>;
};

/* Changes of a kind after since and up to revision; none of them when only the revision is told. */
struct peer_news {
  peer_name kind;
  unsigned hyper since;
  unsigned hyper revision;
  bool told;
  unsigned int settling_ms;
  peer_object objects<>;
};

enum peer_kind {
  PEER_VIEW = 1,
  PEER_SUMMARY = 2,
  PEER_NEWS = 3
};

union peer_message switch (peer_kind kind) {
case PEER_VIEW:
  peer_view view;
case PEER_SUMMARY:
  peer_summary summary;
case PEER_NEWS:
  peer_news news;
};

/* Asks for what changed after a revision, oldest first; an answer ends before most_bytes. */
struct peer_fetch_args {
  peer_name kind;
  unsigned hyper since;
  unsigned int most_bytes;
};

/* Nothing is missing up to revision. too_large tells that the first change alone is over the limit. */
struct peer_fetch_reply {
  unsigned hyper revision;
  bool too_large;
  peer_object objects<>;
};
