/* Limits and tunables of all programs; each name ends with its unit. */
#pragma once

#include <stdint.h>

#define SHARE_ONE_PPM 1000000u

/* Names and sizes. */
#define NAME_MAX_BYTES 64
#define OBJECT_MAX_BYTES (1024u * 1024u)
#define REQUEST_BODY_MAX_BYTES (4u * 1024u * 1024u)
#define KEY_MAX_BYTES 200
#define JSON_DEPTH_MAX 64
#define ZONES_MAX 16
#define REGIONS_MAX 8
#define ZONE_NONE UINT32_MAX

/* Client accounts. The name is sent in a header, and at most ACC_LISTED_MAX accounts are listed in
 * the state dump. */
#define ACC_NAME_MAX_BYTES 128
#define ACC_LISTED_MAX 64
#define ACC_SHARDS 64

/* Configurations are loaded and applied in steps, so that requests are handled in between. Reading
 * an account costs as much as reading some keys; a step takes about 1 ms. */
#define LOAD_STEP_KEYS 500
#define LOAD_ACCOUNT_KEYS 4
#define LOAD_BYTES_PER_KEY 128
#define LOAD_STEP_BYTES (256u * 1024u)
#define LOAD_PERIOD_MS 5
#define APPLY_STEP_ACCOUNTS 500

/* Replication of objects between processes. */
#define SYNC_PERIOD_MS 300
#define SYNC_TIMEOUT_MS 1000
#define GOSSIP_PERIOD_MS 1000
#define GOSSIP_TIMEOUT_MS 1000
#define GOSSIP_ITEMS_MAX 24
#define GOSSIP_FANOUT 4
#define RPC_RECORD_MAX_BYTES (16u * 1024u * 1024u)
#define FETCH_BODY_MAX_BYTES (16u * 1024u * 1024u)
#define RPC_IDLE_MAX_MS 10000
#define JOIN_WAIT_MAX_MS 3000

/* Membership. */
#define MEMBER_SUSPECT_MS 3000
#define MEMBER_DEAD_MS 10000

/* A change of a member has reached all entries by then: pushes between steers, then synchronisation
 * with the entries. */
#define MEMBER_PROPAGATION_MS (2 * SYNC_PERIOD_MS + 400)
#define WATCHERS_PER_REGION 2
#define PROBERS_PER_REGION 2

/* Calls and watches of the platform's store. */
#define STORE_CALL_TIMEOUT_MS 2000
#define WATCH_WAIT_MS 20000
#define WATCH_TIMEOUT_MS 25000
#define BACKOFF_FIRST_MS 100
#define BACKOFF_MAX_MS 5000

/* Planner. */
#define LEASE_TTL_MS 6000
#define LEASE_RENEW_MS 2000
#define PLAN_PERIOD_MS 1000
#define REPORT_PERIOD_MS 1000
#define REPORT_MAX_AGE_MS 30000
#define PLAN_ACK_WAIT_MAX_MS 5000
#define BUDGET_PERIOD_MS 3000
#define REPORT_LIVE_MS 5000
#define REFUSAL_LOG_PERIOD_MS 10000
#define PLAN_DEADBAND_PPM 20000u
#define PLAN_DECISIONS_MAX 64
#define SHIFT_MOVES_MAX 64

/* Upstream health. */
#define PROBE_PERIOD_MS 1000
#define PROBE_TIMEOUT_MS 800
#define PROBE_BODY_MAX_BYTES (64u * 1024u)
#define UNHEALTHY_THRESHOLD_PROBES 3
#define HEALTHY_THRESHOLD_PROBES 2
#define EJECT_MS 5000
#define EJECT_MAX_PCT 34
#define EJECT_ERRORS 5
#define SLOW_START_MS 10000
#define LOAD_REPORT_MAX_AGE_MS 5000
#define OBS_SEEN_TTL_MS 30000
#define OBS_REFRESH_MS 3000
#define SYNC_ITEMS_MAX 4096

/* Request path. */
#define RESPONSE_HEAD_MAX_BYTES (64u * 1024u)
#define CONNECT_TIMEOUT_MS 500
#define HEAD_TIMEOUT_MS 10000
#define REUSED_HEAD_DIVISOR 3
#define SHED_PAUSE_MS 100
#define PROGRESS_TIMEOUT_MS 5000
#define DEADLINE_DEFAULT_MS 15000
#define DEADLINE_MAX_MS 600000
#define QUEUE_MAX 256
#define QUEUE_WAIT_MS 2000
#define ATTEMPTS_MAX 3
#define RETRY_AFTER_S 1
#define LOOKUP_TTL_MS 2000
#define STREAM_BUFFER_MAX_BYTES (256u * 1024u)
#define POOL_IDLE_MS 5000
#define POOL_MAX_PER_UPSTREAM 16
#define TCP_USER_TIMEOUT_MS 5000

/* Claims: at-most-once execution of requests. */
#define CLAIM_RESPONSE_MAX_BYTES (16u * 1024u)
#define CLAIM_READBACK_TRIES_MAX 4
#define CLAIM_RECORD_TRIES_MAX 20

/* Poison requests. */
#define POISON_CRASHES_MAX 2
#define POISON_PROPAGATION_MS 800
#define POISON_TTL_MS 60000
#define POISON_BLOCK_MAX_MS 3600000u
#define POISON_MEMORY_MS 3600000u
#define POISON_ENTRIES_MAX 4096

/* Budget loans between entries. */
#define LOAN_PERIOD_MS 50
#define LOAN_TIMEOUT_MS 500
#define LOAN_MAX_SLOTS 8
#define LOAN_IDLE_MS 500
#define LOAN_STATEMENT_PERIOD_MS 500

/* Requests that callers send, in processes whose memory is not stated. */
#define RDL_RECEIVED_MAX_BYTES (24u * 1024u * 1024u)

/* Memory budget of a process. MBG_PROCESS_BYTES covers the process without callers and its control
 * messages; connections, unread bytes, small requests and responses get 1 / MBG_PART_DIVISOR of the
 * memory each, so that 64 MB remain for one body on a VM with 112 MB. Heads up to
 * MBG_HEAD_MAX_BYTES are four times as large as configurations allow. A request within
 * MBG_FREE_BYTES is covered by its connection; a larger one is granted MBG_SPARE_BYTES beyond its
 * own size. MBG_RESERVED_FDS are kept for files, and 1 / MBG_OUTGOING_FDS_DIVISOR of the other
 * descriptors for outgoing connections. */
#define MBG_PROCESS_BYTES (16u * 1024u * 1024u)
#define MBG_PART_DIVISOR 16
#define MBG_LARGE_MIN_BYTES (4u * 1024u * 1024u)
#define MBG_FREE_BYTES (8u * 1024u)
#define MBG_SMALL_BYTES (512u * 1024u)
#define MBG_HEAD_MAX_BYTES (64u * 1024u)
#define MBG_SPARE_BYTES (16u * 1024u)
#define MBG_PROGRESS_BYTES (16u * 1024u)
#define MBG_STALL_MS 2000
#define MBG_UNREAD_STALL_MS 4000
#define MBG_WANTED_MS 1000
#define MBG_RESERVED_FDS 200
#define MBG_OUTGOING_FDS_DIVISOR 3
#define MBG_PROBES_DIVISOR 16
#define MBG_TICK_MS 100

/* Memory of larger blocks returns to the system when they are freed; by default the C library
 * raises this limit with the blocks that it has freed. */
#define MBG_MMAP_THRESHOLD_BYTES (128 * 1024)

/* An entry holds a request in the buffer in which it was received, for further attempts, and in the
 * attempt. A request has a connection to an upstream and one to the store. */
#define ENTRY_REQUEST_COPIES 3
#define ENTRY_CALLS_PER_REQUEST 2

/* Socket buffers of callers in processes whose memory is stated. The kernel doubles the sizes. A
 * connection that waits holds up to MBG_UNREAD_BYTES unread. */
#define MBG_UNREAD_BYTES (64u * 1024u)
#define RDL_RECEIVE_BUFFER_BYTES (64 * 1024)
#define RDL_LARGE_RECEIVE_BUFFER_BYTES (128 * 1024)
#define RDL_WAITING_RECEIVE_BUFFER_BYTES (4 * 1024)
#define RDL_SEND_BUFFER_BYTES (64 * 1024)

/* After a request was rejected before its body, the connection is read for this time and size, so
 * that the caller gets the response. */
#define RDL_DISCARD_MAX_MS 1000
#define RDL_DISCARD_MAX_BYTES (1024u * 1024u)

/* Bytes behind a request at work that are read to notice the end of its connection. */
#define HSV_PIPELINED_MAX_BYTES (16u * 1024u)
#define HSV_READ_MIN_BYTES 4096u
#define HSV_COPIED_BODY_MAX_BYTES (16u * 1024u)

/* Upstream connections of the node process. */
#define UCN_READ_BUFFER_BYTES (64u * 1024u)
#define UCN_TCP_USER_TIMEOUT_MS 1500
#define HSV_TCP_USER_TIMEOUT_MS 30000u
#define RESPONSE_MAX_BYTES (32u * 1024u * 1024u)
#define RESPONSE_SMALL_BYTES (64u * 1024u)
#define RESPONSES_TOTAL_MAX_BYTES (64u * 1024u * 1024u)
#define UPS_IDLE_MAX_MS 4000
#define UPS_NON_IDEMPOTENT_IDLE_MAX_MS 1000
#define UPS_CONNECT_TIMEOUT_MS 400

/* Upstream state of the node process. */
#define UPS_BACKOFF_FIRST_MS 300
#define UPS_BACKOFF_MAX_MS 2000
#define UPS_DOWN_FAILURES 3
#define UPS_SUSPECT_REPORTS_MIN 2
#define UPS_SUCCESS_MAX_AGE_MS 2000
#define UPS_COLD_MARGIN_MS 300
#define UPS_COLD_NODES 2
#define UPS_REMOVAL_DEFER_MAX_MS 2000
#define UPS_COLD_SENDS_MAX 24
/* After a pause, the slots of an upstream are used in steps. */
#define UPS_RESUME_MS 1000
#define UPS_RESUME_STEPS 4
/* Registrations that are gone and may come back: what their instances asked for is kept. */
#define UPS_DEPARTED_MAX 64
#define UPS_OBJECTS_MAX 24
#define UPS_SLOTS_MAX 65536
#define UPS_LOST_MAX 16
#define UPS_LOST_MAX_AGE_MS 1500
#define SUS_CHECK_DELAY_MS 100
#define POISON_NODE_CRASHES_MAX 3

/* Pauses that upstreams ask for in responses. */
#define FBK_PAUSE_MAX_MS 600000u

/* Learned capacity of upstreams. The registered slots are divided into LRN_BANDS ranges of the
 * load; what is known of a range is forgotten LRN_BAND_TTL_MS after its last request. An upstream
 * is slow from LRN_SLOW_PERMILLE of its peers' time on until it falls below LRN_RECOVERED_PERMILLE;
 * an average over LRN_LASTING_MS passes over slowdowns of some hundred ms. A slow upstream is tried
 * again after LRN_TRIAL_MIN_MS without requests. */
#define LRN_BANDS 4
#define LRN_BAND_TTL_MS 15000
#define LRN_REPORT_FRESH_MS 100
#define LRN_REPORT_MAX_AGE_MS 400
#define LRN_SLOTS_MAX_AGE_MS 5000
#define LRN_WORK_MIN_MS 10
#define LRN_LASTING_MS 4000
#define LRN_USUAL_PACE_MS 5000
#define LRN_PREVIOUS_PACE_MS 1000
#define LRN_SLOW_PERMILLE 1400u
#define LRN_RECOVERED_PERMILLE 1200u
#define LRN_FAST_PERMILLE 800u
#define LRN_CAPACITY_MIN_PERMILLE 500u
#define LRN_CAPACITY_MAX_PERMILLE 4000u
#define LRN_TRIAL_MIN_MS 2000
#define LRN_TRIAL_MAX_MS 16000

/* Relays in remote regions. */
#define RLY_SELECTION_PERIOD_MS 500
#define RLY_FAILURE_BACKOFF_MS 3000
#define RLY_IDLE_MAX_MS 15000
#define RLY_NON_IDEMPOTENT_IDLE_MAX_MS 4000
#define RLY_SERVER_IDLE_MAX_MS 30000

/* Placement. PLC_LOAD_COST_MS is the cost of an upstream with all slots in use; the round-trip
 * times hold until one is measured. A request's expected time in an upstream's queue is limited to
 * its latency objective divided by PLC_QUEUE_WAIT_DIVISOR, or PLC_ZONED_QUEUE_WAIT_DIVISOR where
 * the counts of other zones come in summaries: a queue in them may have become shorter since. */
#define PLC_OBJECTS_PER_UPSTREAM 24
#define CRD_OBJECT_TTL_MS 15000
#define PLC_QUEUE_WAIT_DIVISOR 2
#define PLC_ZONED_QUEUE_WAIT_DIVISOR 1
#define PLC_LOAD_COST_MS 40
#define PLC_REMOTE_RTT_MS 70
#define PLC_LOCAL_RTT_MS 3

/* Traffic split between regions and spillover. */
#define SHR_CAP_PERIOD_MS 2000
#define SHR_UTILIZATION_MAX_PCT 50
#define SHR_LOST_DIVISOR 8
#define SHR_SPILL_BURST_MS 500
#define SHR_DECAY_MS 100
#define SHR_LOST_EXEMPT_MS 4000

/* Admission control and queueing. */
#define ADM_WAIT_DIVISOR 8
#define ADM_RETRY_AFTER_MIN_MS 150
#define ADM_RETRY_AFTER_MAX_MS 1000

/* Fair queueing. Counts decay in steps of FQS_STEP_MS: the slots that a flow took over about 1 s,
 * so that little is left of a burst after two seconds; served and requested over about 10 s. */
#define FQS_ACCOUNTS_MAX 64
#define FQS_FLOWS_MAX 1024
#define FQS_STEP_MS 100
#define FQS_SHARE_DECAY_STEPS 10
#define FQS_RATIO_DECAY_STEPS 100
#define FQS_LISTED_MAX 16

/* Retry budget. */
#define RBG_SLOT_MS 1000
#define RBG_SLOTS 16

/* Overlay network of the nodes: up to OVL_FLAT_MAX nodes exchange views directly; with more nodes,
 * views stay within a zone. */
#define OVL_FLAT_MAX 24
#define OVL_FANOUT 4
#define OVL_HEADS 2

/* Views exchanged between nodes. */
#define PER_TICK_MS 100
#define PER_HEARTBEAT_MS 500
#define PER_TIMEOUT_MS 3000
#define PER_SUMMARY_TIMEOUT_MS 4000
#define PER_LONG_SILENT_MS 30000
#define PER_LONG_SILENT_HEARTBEAT_MS 5000
#define PER_DATAGRAM_MAX_BYTES 32768
#define PER_VIEWS_PER_S 120
#define PER_FAST_VIEW_PERIOD_MS 250
#define PER_RECENT_MS 700
#define PER_TAKEOVER_DELAY_MS 100
#define PER_TRANSIT_MAX_MS 80u
#define PER_LOADS_MAX 1024
#define PER_DOWN_MAX 256
#define PER_CRASHES_MAX 64
#define PER_LEAVING_MAX 64
#define PER_REVISIONS_MAX 8
#define PER_SERVICES_MAX 32
#define PER_QUOTAS_MAX 64

/* Zone summaries sent to other zones. */
#define SUM_PERIOD_MS 500
#define SUM_AGE_MAX_MS 4000
#define SUM_MEMBERS_MAX 128

/* Quotas of client accounts. A count that was not used for QUO_IDLE_MS starts again. Messages
 * repeat counts for less than that, and receivers forget them later than that. */
#define QUO_SUMMARY_MAX 512
#define QUO_IDLE_MS 2000
#define QUO_FORGET_MS 12000
#define QUO_SOURCE_SILENT_MS 2000
#define QUO_ZONE_SILENT_MS 1300
#define QUO_PEER_GONE_MS 600000u
#define QUO_TRANSIT_MS 150u
#define QUO_USE_DECAY_MIN_MS 300
#define QUO_DUMP_MAX 64

/* Updates of changed objects, passed from node to node. */
#define UPD_DATAGRAM_MAX_BYTES (8u * 1024u)
#define UPD_DATAGRAMS_MAX 8
#define UPD_FETCH_DELAY_MS 80
#define UPD_WATCHER_FETCH_DELAY_MS 300
#define UPD_FETCH_RETRY_MS 300
#define UPD_STORE_READ_MS 2000

/* Stalls of the event loop. */
#define LAG_STALL_MS 250u

/* Control work, interleaved with requests. */
#define CTS_PERIOD_MS 20
#define CTS_ITERATIONS_MAX 16

/* Shutdown of the node process. */
#define NOD_REJECT_AFTER_MS 2800
#define NOD_FLUSH_MS 200
#define NOD_STOP_MARGIN_FACTOR 2

/* Logs of the node process. */
#define LOG_LINES_PER_S 200
#define LOG_REJECTS_PER_S 50
#define LOG_SAMPLE 64
#define TRF_LOG_PERIOD_MS 5000
