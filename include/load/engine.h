/* Open-loop load: every call is sent at its planned time, whether or not
 * earlier ones were answered, and latency counts from that time. Threads take
 * the calls in order; when all of them are busy, the wait for one counts. */
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
enum bb_load_end {
    BB_LOAD_OK,
    BB_LOAD_REFUSED, /* with a reason */
    BB_LOAD_STATUS,  /* another status than 200 */
    BB_LOAD_BROKEN,  /* connection failed or answer cut */
    BB_LOAD_WRONG,   /* a complete answer that is not this call's own */
    BB_LOAD_ENDS
};

enum bb_load_kind {
    BB_LOAD_PROXIED,
    BB_LOAD_SHORT, /* proxied calls only */
    BB_LOAD_LONG,
    BB_LOAD_DIRECT,
    BB_LOAD_KINDS
};

struct bb_load_stats {
    gsl_histogram *latency[BB_LOAD_KINDS]; /* microseconds of BB_LOAD_OK */
    uint64_t max_us[BB_LOAD_KINDS];
    uint64_t sum_us[BB_LOAD_KINDS];
    uint64_t counts[BB_LOAD_KINDS];
    uint64_t ends[BB_LOAD_ENDS];
    uint64_t refusals[BB_REASONS];
    uint64_t unknown; /* refusals that may have run */
    uint64_t late;    /* sent more than 1 ms after the planned time */
    uint64_t bytes;   /* of checked answer bodies */
    uint64_t *ok_by_interval;
};

enum { BB_LOAD_INTERVAL_MS = 100 };

struct bb_load_run {
    const struct bb_workload *workload;
    struct bb_address_list targets;
    struct bb_address direct;
    uint64_t seed;
    uint64_t duration_ms;
    uint64_t threads;
    uint64_t timeout_s;
    const struct bb_load_call *calls;
    uint32_t call_count;
    uint32_t interval_count;
    FILE *record; /* one JSON line per call; NULL: none */
    pthread_mutex_t record_lock;
    ne_inet_addr *unusable_address;
    uint64_t start_us;
    atomic_uint next;
};

struct bb_load_stats *bb_load_stats_create(uint32_t interval_count);
void bb_load_stats_destroy(struct bb_load_stats *s);
void bb_load_stats_add(struct bb_load_stats *to,
                       const struct bb_load_stats *from,
                       uint32_t interval_count);
void bb_load_stats_record(struct bb_load_stats *s, enum bb_load_kind kind,
                          uint64_t latency_us);
double bb_load_percentile(const struct bb_load_stats *s,
                          enum bb_load_kind kind, double percent);

struct bb_load_stats *bb_load_execute(struct bb_load_run *run);
void bb_load_report(const struct bb_load_run *run,
                    const struct bb_load_stats *s, bool is_json, FILE *out);

#endif
