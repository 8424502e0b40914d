/* Workload files, which define the requests to send, their rate and how the
 * rate changes over time. */
#ifndef BB_LOAD_WORKLOAD_H
#define BB_LOAD_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/random.h"

enum { BB_LOAD_NAME_BYTES = 128, BB_LOAD_ID_BYTES = 48 };

/* A type of request in the workload. */
struct bb_load_route {
    char method[16];
    char path[BB_LOAD_NAME_BYTES];
    char call_path[BB_LOAD_NAME_BYTES]; /* X-Call-Path of nested calls, or
                                           empty */
    uint64_t weight;     /* share of the calls, relative to the others */
    uint64_t work_us;    /* service time; 0: random, chosen by the upstream */
    uint64_t body_bytes; /* of the request */
    uint64_t response_bytes; /* of the response; 0: a short text */
    uint64_t deadline_ms;    /* 0: none */
    bool is_long;            /* always reported as long work */
    bool is_keyed;           /* sent with an Idempotency-Key */
};

/* From at_ms after the start of the period on, the rate is the nominal rate
 * times the factor. */
struct bb_load_rate_change {
    uint64_t at_ms; /* strictly ascending in a list of changes */
    double factor;  /* above 0 */
};

struct bb_workload {
    char name[BB_LOAD_NAME_BYTES];
    uint64_t rate;          /* calls per second, all targets together */
    uint64_t long_permille; /* share of calls with long work */
    uint64_t long_factor;   /* long work takes this many times longer */
    /* Period after which the rate changes apply again; 0: they apply once, and
     * their times count from the start of the run. */
    uint64_t rate_change_period_ms;
    struct bb_load_route *routes;
    uint32_t route_count;
    uint64_t total_weight;
    struct bb_load_rate_change *rate_changes;
    uint32_t rate_change_count;
};

/* A planned call. */
struct bb_load_call {
    uint64_t planned_us; /* planned time, from the start of the run */
    const struct bb_load_route *route;
    uint64_t work_us;
    uint32_t index;
    bool is_long;
    bool is_direct; /* the direct call of a pair */
};

bool bb_workload_read(struct bb_workload *w, const char *path,
                      struct bb_error *e);
void bb_workload_clear(struct bb_workload *w);
struct bb_load_call *bb_workload_plan(const struct bb_workload *w,
                                      uint64_t seed, uint64_t rate,
                                      uint64_t duration_ms, bool is_paired,
                                      uint32_t *count);

#endif
