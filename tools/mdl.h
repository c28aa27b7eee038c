/* Model of upstreams, nodes and callers in which the node's decisions are replayed. */
#pragma once

#include "crd.h"
#include "plc.h"
#include "ups.h"

#define MDL_SECONDS_MAX 120
#define MDL_BURSTS_MAX 2

/** typedef MdlPolicy - who decides where a request goes */
typedef enum
{
  MDL_PRODUCT,
  MDL_RANDOM_FIFO,
  MDL_REFUSE_WHEN_FULL,
} MdlPolicy;

/** struct MdlBurst - a region's callers ask @factor times as often for a while; REGIONS_MAX for all
 * regions */
typedef struct
{
  uint32_t region;
  uint32_t from_s;
  uint32_t to_s;
  double factor;
} MdlBurst;

/** typedef MdlWord - what some upstreams say in their answers about new work */
typedef enum
{
  MDL_SAYS_NOTHING,
  MDL_SAYS_PAUSE,
  MDL_SAYS_LEAVING,
} MdlWord;

/**
 * struct MdlAdvice - upstreams that say something about new work
 * @permille: share of the upstreams
 * @pause_ms: the time that they name; they turn all away from @from_s to @to_s
 */
typedef struct
{
  MdlWord word;
  uint32_t permille;
  uint32_t from_s;
  uint32_t to_s;
  uint32_t pause_ms;
} MdlAdvice;

/**
 * struct MdlLoad - a load pattern
 * @upstreams: upstreams of each region
 * @nodes: nodes of each region; callers are spread evenly over the nodes
 * @slots: requests that an upstream runs at a time
 * @queue: requests that wait at an upstream before it sheds
 * @keeps: objects that an upstream is fast for, the last ones it handled
 * @hot_permille: share of the requests that concern one object
 * @swing_permille: how far the rate rises and falls around its mean, over 36 s
 * @phase_permille: how far a region's rate is ahead in that
 * @lost_region: region whose upstreams end at @lost_at_s and are back, knowing nothing, 4 s later;
 *   REGIONS_MAX for none
 * @slow_permille: share of the upstreams whose work takes five times as long
 * @view_ms: age that views of other nodes reach
 * @advice: said by some upstreams
 * @bursts: those with a @factor of 0 do not take place
 */
typedef struct
{
  const char *name;
  uint32_t upstreams[REGIONS_MAX];
  uint32_t nodes[REGIONS_MAX];
  uint32_t slots;
  uint32_t queue;
  uint32_t keeps;
  uint32_t objects;
  uint32_t hot_permille;
  uint32_t rate_per_s;
  uint32_t swing_permille;
  uint32_t phase_permille[REGIONS_MAX];
  uint32_t cold_ms;
  uint32_t warm_ms;
  uint32_t objective_ms;
  uint32_t timeout_ms;
  uint32_t remote_rtt_ms;
  uint32_t view_ms;
  uint32_t lost_region;
  uint32_t lost_at_s;
  uint32_t slow_permille;
  MdlAdvice advice;
  MdlBurst bursts[MDL_BURSTS_MAX];
  uint32_t seconds;
} MdlLoad;

/** struct MdlSecond - requests by the second in which their callers first sent them */
typedef struct
{
  uint32_t asked;
  uint32_t in_objective;
  uint32_t late;
  uint32_t refused;
} MdlSecond;

/**
 * struct MdlReport - what came of a replay
 * @credit_permille: credit earned of the credit owed; a late answer earns a fifth
 * @bound_permille: credit when each object were known everywhere and no slot ever idle in need
 * @warm_permille: runs on an upstream that knew the object
 * @sheds: requests that an upstream refused for load
 * @most_in_upstream: most requests that one upstream had at once, running and waiting
 * @most_against_advice: most requests of a node that reached an upstream, sent half a second or
 * more after it had told that node to send none and within that time
 * @shift_permille: largest share of a region's runs that changed their region from one window of 2
 * s to the next, less what sampling explains; of windows with 40 runs or more
 * @shift_region: the region whose callers' requests they were
 * @shift_at_ms: start of the second window
 */
typedef struct
{
  MdlSecond seconds[MDL_SECONDS_MAX];
  uint32_t asked;
  uint32_t credit_permille;
  uint32_t bound_permille;
  uint32_t warm_permille;
  uint32_t sheds;
  uint32_t most_in_upstream;
  uint32_t most_against_advice;
  uint32_t shift_permille;
  uint32_t shift_region;
  uint32_t shift_at_ms;
} MdlReport;

/** mdl_loads() - the load patterns, ended by one without a name. */
const MdlLoad *mdl_loads (void);

/** mdl_load() - a load pattern by name or NULL. */
const MdlLoad *mdl_load (const char *name);

/** mdl_replay() - replays a load; the same for the same seed. */
MdlReport mdl_replay (const MdlLoad *load, MdlPolicy policy, uint32_t seed);
