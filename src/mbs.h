/* Memory budget on the metrics page, in the state dump and in the log. */
#pragma once

#include "log.h"
#include "mbg.h"

/** mbs_write_metrics() - appends what is used and who was turned away; names begin with @prefix. */
void mbs_write_metrics (const Mbg *mbg, const char *prefix, GString *out);

/** mbs_write_counters() - appends " name=value" for each counter of who was turned away. */
void mbs_write_counters (const Mbg *mbg, GString *out);

/** mbs_log() - logs who was turned away, if any was since *@logged was set. */
void mbs_log (const Mbg *mbg, const Log *log, uint64_t *logged);
