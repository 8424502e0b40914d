/* Open-loop load generator: sends every call at its planned time, whether or
 * not earlier ones have ended. Latency is measured from the planned time, so
 * it includes the wait for a free thread when all threads are busy. */
#ifndef BB_LOAD_ENGINE_H
#define BB_LOAD_ENGINE_H

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>

#include "common/address.h"
#include "common/settings.h"
#include "decide/reason.h"
#include "load/workload.h"

/* How one call ended, as its caller saw it. */
enum bb_load_result {
    BB_LOAD_OK,
    BB_LOAD_REFUSED,           /* refused by a node, with a reason */
    BB_LOAD_UNEXPECTED_STATUS, /* a status other than 200 */
    BB_LOAD_BROKEN,            /* connection failed or response truncated */
    BB_LOAD_WRONG_RESPONSE,    /* complete response that doesn't belong to this
                                  call */
    BB_LOAD_RESULT_COUNT
};

/* Names of enum bb_load_result in reports and record files, as the initialiser
 * of a table. */
#define BB_LOAD_RESULT_NAMES                                                  \
    {                                                                         \
        "ok", "refused", "status", "broken", "wrong"                          \
    }

/* Kinds of calls whose latency is reported separately. A proxied call counts
 * in BB_LOAD_PROXIED and also in BB_LOAD_SHORT or BB_LOAD_LONG. */
enum bb_load_kind {
    BB_LOAD_PROXIED,
    BB_LOAD_SHORT,
    BB_LOAD_LONG,
    BB_LOAD_DIRECT, /* sent directly to the upstream */
    BB_LOAD_KIND_COUNT
};

/* Statistics of one thread or of the whole run. Latencies are those of
 * BB_LOAD_OK calls, in microseconds. */
struct bb_load_stats {
    gsl_histogram *latency[BB_LOAD_KIND_COUNT];
    uint64_t max_us[BB_LOAD_KIND_COUNT];
    uint64_t sum_us[BB_LOAD_KIND_COUNT];
    uint64_t counts[BB_LOAD_KIND_COUNT];
    uint64_t result_counts[BB_LOAD_RESULT_COUNT];
    uint64_t refusals_by_reason[BB_REASON_COUNT];
    uint64_t unknown_count;  /* refused calls that may have run */
    uint64_t late_count;     /* sent more than 1 ms after the planned time */
    uint64_t response_bytes; /* in the bodies of BB_LOAD_OK calls */
    /* Proxied BB_LOAD_OK calls by the interval of BB_LOAD_INTERVAL_MS in which
     * they ended; the last entry counts those that ended after the run. */
    uint64_t *ok_by_interval;
};

enum { BB_LOAD_INTERVAL_MS = 100 };

/* Settings and state of a run. */
struct bb_load_run {
    const struct bb_workload *workload;
    struct bb_address_list targets;
    struct bb_address direct; /* upstream of direct calls; port 0: none */
    uint64_t seed;
    uint64_t duration_ms;
    uint64_t threads;   /* number of sending threads */
    uint64_t timeout_s; /* read timeout of a response */
    const struct bb_load_call *calls;
    uint32_t call_count;
    uint32_t interval_count;
    FILE *record_file; /* one JSON line per call; NULL: none */
    pthread_mutex_t record_lock;
    ne_inet_addr *unusable_address; /* local address that cannot be bound */
    uint64_t start_us;
    atomic_uint next_call; /* index of the next call to send */
};

struct bb_load_stats *bb_load_stats_create(uint32_t interval_count);
void bb_load_stats_destroy(struct bb_load_stats *s);
void bb_load_stats_merge(struct bb_load_stats *total,
                         const struct bb_load_stats *part,
                         uint32_t interval_count);
void bb_load_stats_add_latency(struct bb_load_stats *s, enum bb_load_kind kind,
                               uint64_t latency_us);
double bb_load_percentile(const struct bb_load_stats *s,
                          enum bb_load_kind kind, double percentile);

struct bb_load_stats *bb_load_run_execute(struct bb_load_run *run);
void bb_load_write_report(const struct bb_load_run *run,
                          const struct bb_load_stats *s, bool is_json,
                          FILE *out);

#endif
