/* Messages between the system's own processes, carried by ONC RPC over TCP. */

typedef string wire_name<64>;
typedef string wire_path<256>;

struct wire_object {
  wire_path path;
  unsigned hyper revision;
  bool deleted;
  string value<1048576>;
};

/* State of a member: 0 alive, 1 leaving, 2 suspect, 3 dead.
 * entry_ended is the last incarnation of its entry that is known to have ended. */
struct wire_member {
  wire_name vm;
  wire_name region;
  wire_name zone;
  wire_name steer_addr;
  wire_name entry_http;
  wire_name entry_rpc;
  unsigned hyper incarnation;
  unsigned hyper refutation;
  unsigned hyper entry_incarnation;
  unsigned hyper entry_ended;
  int state;
};

/* State of an upstream as probed: 0 up, 1 down, 2 leaving. */
struct wire_upstream {
  wire_name id;
  wire_name region;
  unsigned int state;
  unsigned int load_permille;
  unsigned int age_ms;
};

struct wire_poison {
  unsigned hyper fingerprint;
  unsigned int crashes;
  unsigned int age_ms;
};

enum wire_item_kind {
  WIRE_ITEM_MEMBER = 0,
  WIRE_ITEM_UPSTREAM = 1,
  WIRE_ITEM_POISON = 2
};

union wire_item switch (wire_item_kind kind) {
  case WIRE_ITEM_MEMBER:
    wire_member member;
  case WIRE_ITEM_UPSTREAM:
    wire_upstream upstream;
  case WIRE_ITEM_POISON:
    wire_poison poison;
};

struct wire_gossip {
  wire_member from;
  unsigned hyper revision;
  wire_item items<512>;
};

struct wire_fetch_args {
  unsigned hyper since;
};

struct wire_fetch_reply {
  unsigned hyper revision;
  wire_object objects<>;
};

/* What one entry carried for one service, group and zone since its start. */
struct wire_usage {
  wire_name service;
  wire_name group;
  wire_name zone;
  unsigned hyper requests;
  unsigned hyper refused;
  unsigned hyper busy_ms;
  unsigned hyper bytes;
};

struct wire_loan {
  wire_name service;
  wire_name zone;
  wire_name lender;
  unsigned hyper lender_incarnation;
  unsigned int slots;
};

/* What an entry uses of its budget: in flight and lent, less borrowed; zones with 0 are left out. */
struct wire_hold {
  wire_name service;
  wire_name zone;
  unsigned int in_use;
};

struct wire_report {
  wire_name vm;
  unsigned hyper incarnation;
  unsigned hyper plan_epoch;
  unsigned int age_ms;
  bool ended;
  bool by_plan;
  wire_usage usage<>;
  wire_loan loans<>;
  wire_hold holds<>;
};

/* How far an entry knows a steer process's news, by kind. */
struct wire_news_mark {
  unsigned hyper steer_incarnation;
  unsigned hyper members;
  unsigned hyper upstreams;
  unsigned hyper poison;
};

struct wire_sync_args {
  wire_name vm;
  unsigned hyper entry_incarnation;
  bool leaving;
  bool local;
  unsigned hyper since;
  wire_news_mark known;
  wire_report report;
  wire_item items<512>;
};

struct wire_sync_reply {
  unsigned hyper revision;
  bool joined;
  wire_news_mark known;
  wire_object objects<>;
  wire_item items<4096>;
};

/* A borrower numbers all its loan requests and statements with one growing sequence. */
struct wire_loan_args {
  wire_name borrower;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  wire_name service;
  wire_name zone;
  unsigned int slots;
};

struct wire_loan_reply {
  unsigned hyper lender_incarnation;
  unsigned int slots;
};

/* States what the borrower still holds from the lender with that incarnation. */
struct wire_held_args {
  wire_name borrower;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  unsigned hyper lender_incarnation;
  wire_name service;
  wire_name zone;
  unsigned int slots;
};

struct wire_none {
  int unused;
};

program WIRE_PROGRAM {
  version WIRE_VERSION {
    wire_gossip WIRE_GOSSIP (wire_gossip) = 1;
    wire_fetch_reply WIRE_FETCH (wire_fetch_args) = 2;
    wire_sync_reply WIRE_SYNC (wire_sync_args) = 3;
    wire_none WIRE_REPORT (wire_report) = 4;
    wire_loan_reply WIRE_LOAN (wire_loan_args) = 5;
    wire_none WIRE_HELD (wire_held_args) = 6;
  } = 1;
} = 0x20004343;
