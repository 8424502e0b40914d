/* Workload files: which requests are made, how often, and how demand swings.
 */
#ifndef BB_LOAD_WORKLOAD_H
#define BB_LOAD_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/random.h"

enum { BB_LOAD_NAME_BYTES = 128, BB_LOAD_ID_BYTES = 48 };

struct bb_load_route {
    char method[16];
    char path[BB_LOAD_NAME_BYTES];
    char call_path[BB_LOAD_NAME_BYTES]; /* nested calls, or empty */
    uint64_t weight;
    uint64_t work_us; /* 0: the upstream draws it */
    uint64_t body_bytes;
    uint64_t answer_bytes; /* 0: a short text */
    uint64_t deadline_ms;  /* 0: none */
    bool is_long;          /* counted as long work in the report */
    bool is_keyed;         /* sent with an Idempotency-Key */
};

/* From a time on, the rate is the nominal one times the factor. */
struct bb_load_swing {
    uint64_t at_ms;
    double factor;
};

struct bb_workload {
    char name[BB_LOAD_NAME_BYTES];
    uint64_t rate; /* calls per second, all targets together */
    uint64_t long_permille;
    uint64_t long_factor;
    uint64_t swing_period_ms; /* the swings repeat; 0: once */
    struct bb_load_route *routes;
    uint32_t route_count;
    uint64_t weight_sum;
    struct bb_load_swing *swings;
    uint32_t swing_count;
};

/* One call that is to be made. */
struct bb_load_call {
    uint64_t at_us; /* from the beginning of the run */
    const struct bb_load_route *route;
    uint64_t work_us;
    uint32_t index;
    bool is_long;
    bool is_direct; /* of a pair */
};

bool bb_workload_read(struct bb_workload *w, const char *path,
                      struct bb_error *e);
void bb_workload_clear(struct bb_workload *w);
struct bb_load_call *bb_workload_plan(const struct bb_workload *w,
                                      uint64_t seed, uint64_t rate,
                                      uint64_t duration_ms, bool is_paired,
                                      uint32_t *count);

#endif
