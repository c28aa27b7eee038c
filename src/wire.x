/* RPC messages between the steer and entry processes, carried by ONC RPC over TCP. Ages are times
 * since the event at the sender, because clocks differ between VMs. */

/* Elements of arrays that have no smaller bound: the decoder allocates an array before it reads its
 * elements, and a record of RPC_RECORD_MAX_BYTES holds hardly more. */
const WIRE_ELEMENTS_MAX = 262144;

typedef string wire_name<64>;
typedef string wire_path<256>;

struct wire_object {
  wire_path path;
  unsigned hyper revision;
  bool deleted;
  string value<1048576>;
};

/* A VM and its processes. state is a MemState: 0 alive, 1 leaving, 2 suspected, 3 dead. incarnation
 * identifies the steer process, entry_incarnation the entry process; entry_ended is the last
 * incarnation of the entry process that is known to have ended. The member itself raises refutation
 * to override a suspected or dead state that others report. */
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

/* Result of probing an upstream. state: 0 up, 1 down, 2 leaving. */
struct wire_upstream {
  wire_name id;
  wire_name region;
  unsigned int state;
  unsigned int load_permille;
  unsigned int age_ms;
};

/* Crashes caused by requests with this fingerprint; 0 after such a request got a response. */
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

/* Requests the objects that changed after the revision since. */
struct wire_fetch_args {
  unsigned hyper since;
};

struct wire_fetch_reply {
  unsigned hyper revision;
  wire_object objects<WIRE_ELEMENTS_MAX>;
};

/* Totals of one service, client group and zone since the start of the entry process. busy_ms is the
 * sum of the requests' times in flight. */
struct wire_usage {
  wire_name service;
  wire_name group;
  wire_name zone;
  unsigned hyper requests;
  unsigned hyper refused;
  unsigned hyper busy_ms;
  unsigned hyper bytes;
};

/* Slots that the reporting entry has borrowed from the lender and not yet returned. */
struct wire_loan {
  wire_name service;
  wire_name zone;
  wire_name lender;
  unsigned hyper lender_incarnation;
  unsigned int slots;
};

/* Slots in use of an entry's budget for one service and zone: in flight and lent, less borrowed.
 * Reports leave out zones with 0. */
struct wire_budget_use {
  wire_name service;
  wire_name zone;
  unsigned int in_use;
};

/* Usage, loans and budget of one entry process. age_ms is the time since a steer process received
 * the report from the entry. ended: the process has ended; set in its final report, or by the steer
 * process of its VM after a crash. planned_shutdown: orderly shutdown, so that the report is final. */
struct wire_report {
  wire_name vm;
  unsigned hyper incarnation;
  unsigned hyper plan_epoch;
  unsigned int age_ms;
  bool ended;
  bool planned_shutdown;
  wire_usage usage<WIRE_ELEMENTS_MAX>;
  wire_loan loans<WIRE_ELEMENTS_MAX>;
  wire_budget_use budget_use<WIRE_ELEMENTS_MAX>;
};

/* Newest version of each kind of item that an entry has received from a steer process. */
struct wire_known_versions {
  unsigned hyper steer_incarnation;
  unsigned hyper members;
  unsigned hyper upstreams;
  unsigned hyper poison;
};

/* Sent by an entry. local is set when it addresses the steer process of its own VM; since is the
 * newest object revision that the entry has applied. A report with incarnation 0 is ignored. */
struct wire_sync_args {
  wire_name vm;
  unsigned hyper entry_incarnation;
  bool leaving;
  bool local;
  unsigned hyper since;
  wire_known_versions known;
  wire_report report;
  wire_item items<512>;
};

/* joined: the steer process has the current objects; before that it sends none. known is sent back
 * in the entry's next wire_sync_args. */
struct wire_sync_reply {
  unsigned hyper revision;
  bool joined;
  wire_known_versions known;
  wire_object objects<WIRE_ELEMENTS_MAX>;
  wire_item items<4096>;
};

/* Requests a loan. The loan requests and statements of a borrower share one increasing sequence, so
 * that the lender can ignore duplicate and late messages. */
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

/* Statement of the slots that the borrower has outstanding from that incarnation of the lender. */
struct wire_loan_statement {
  wire_name borrower;
  unsigned hyper incarnation;
  unsigned hyper sequence;
  unsigned hyper lender_incarnation;
  wire_name service;
  wire_name zone;
  unsigned int slots;
};

/* Empty result. */
struct wire_empty {
  int unused;
};

program WIRE_PROGRAM {
  version WIRE_VERSION {
    wire_gossip WIRE_GOSSIP (wire_gossip) = 1;
    wire_fetch_reply WIRE_FETCH (wire_fetch_args) = 2;
    wire_sync_reply WIRE_SYNC (wire_sync_args) = 3;
    wire_empty WIRE_REPORT (wire_report) = 4;
    wire_loan_reply WIRE_LOAN (wire_loan_args) = 5;
    wire_empty WIRE_HELD (wire_loan_statement) = 6;
  } = 1;
} = 0x20004343;
