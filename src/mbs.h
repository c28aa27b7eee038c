/* Memory budget on the metrics page, in the state dump and in the log. */
#pragma once

#include "log.h"
#include "mbg.h"

/** mbs_write_metrics() - appends the memory in use and the counters of rejected requests and closed
 * connections; names begin with @prefix. */
void mbs_write_metrics (const Mbg *mbg, const char *prefix, GString *out);

/** mbs_write_counters() - appends " name=value" for each of these counters. */
void mbs_write_counters (const Mbg *mbg, GString *out);

/** mbs_log() - logs these counters if mbg_turned_away() is no longer *@logged, and updates that. */
void mbs_log (const Mbg *mbg, const Log *log, uint64_t *logged);
