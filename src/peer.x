/* Views that nodes send each other in datagrams, and objects that they fetch from each other. */

typedef string peer_name<64>;

/* A revision of one kind of the platform's objects. */
struct peer_revision {
  peer_name kind;
  unsigned hyper revision;
};

/* Requests in flight on one upstream, named by the hash of its id. */
struct peer_load {
  unsigned int upstream;
  unsigned int in_flight;
};

/* A request that was lost with the upstream that ran it. */
struct peer_crash {
  unsigned hyper fingerprint;
  unsigned int crashes;
  unsigned int age_ms;
};

/* State of a node: 0 starting, 1 serving, 2 stopping.
 * watch tells whether it hears of changes from the platform's store: 0 no, 1 yes, 2 in vain.
 * settling tells that it regained a store that no node could reach a moment ago.
 * downs names upstreams that do not answer it, by the hash of their ids. */
struct peer_view {
  peer_name vm;
  peer_name zone;
  unsigned int ip;
  unsigned int front_port;
  unsigned int peer_port;
  unsigned hyper incarnation;
  unsigned int state;
  unsigned int watch;
  bool settling;
  peer_revision revisions<16>;
  peer_load loads<1024>;
  unsigned int downs<256>;
  peer_crash crashes<64>;
};

/* Asks for what changed after a revision, oldest first; an answer ends before most_bytes. */
struct peer_fetch_args {
  peer_name kind;
  unsigned hyper since;
  unsigned int most_bytes;
};

struct peer_object {
  string name<256>;
  unsigned hyper revision;
  bool deleted;
  string value<1048576>;
};

/* Nothing is missing up to revision. too_large tells that the first change alone is over the limit. */
struct peer_fetch_reply {
  unsigned hyper revision;
  bool too_large;
  peer_object objects<>;
};
