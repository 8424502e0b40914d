/* Generates open-loop load on an admission state in virtual time, so that one
 * line of a trace can stand for seconds of load. */
#ifndef BB_REPLAY_OFFERED_LOAD_H
#define BB_REPLAY_OFFERED_LOAD_H

#include <jansson.h>
#include <stdint.h>

#include "decide/admission.h"

/* Parameters of one run. Arrivals are a Poisson process with the given seed;
 * service times are uniformly distributed between 2/3 and 4/3 of their mean.
 */
struct bb_offered_load {
    uint64_t rate_per_s[BB_ADMISSION_CLASS_COUNT]; /* calls per second */
    uint64_t service_us[BB_ADMISSION_CLASS_COUNT]; /* mean service time */
    uint64_t deadline_us; /* from the arrival of each call */
    uint64_t duration_us;
    uint64_t seed;
};

enum {
    BB_OFFERED_LOAD_ACTIVE_MAX = 2048,  /* calls that run or are queued */
    BB_OFFERED_LOAD_CALLS_MAX = 1000000 /* calls of one run */
};

/* A call that runs or is queued. */
struct bb_offered_load_call {
    uint64_t id;
    uint64_t arrive_us;
    uint64_t finish_us; /* 0 while it is queued */
    uint64_t duration_us;
    uint64_t deadline_us;
    enum bb_admission_class work_class;
};

/* State that is carried over from one run to the next. */
struct bb_offered_load_state {
    uint64_t end_us; /* end of the previous run */
    uint64_t next_id;
    uint32_t active_count;
    struct bb_offered_load_call active_calls[BB_OFFERED_LOAD_ACTIVE_MAX];
};

void bb_offered_load_run(struct bb_offered_load_state *s,
                         struct bb_admission *a,
                         const struct bb_offered_load *l, uint64_t now_us,
                         json_t *result);

#endif
