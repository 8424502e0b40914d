/* The behaviour of the simulated upstream: capacity, service times and faults.
 * It can be changed while the upstream runs. Thread-safe. */
#ifndef BB_UPSTREAM_BEHAVIOUR_H
#define BB_UPSTREAM_BEHAVIOUR_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/random.h"

/* Distribution of service times. */
enum bb_upstream_distribution {
    BB_UPSTREAM_DISTRIBUTION_FIXED,
    BB_UPSTREAM_DISTRIBUTION_EXPONENTIAL
};

/* The names of the numeric members are also their keys in JSON. Members in
 * permille are probabilities per request. */
struct bb_behaviour_values {
    uint64_t slots;       /* requests that run at the same time */
    uint64_t connections; /* announced maximum; the HTTP server reads it only
                             when it starts */
    uint64_t service_us;  /* mean of the service time */
    enum bb_upstream_distribution distribution;
    uint64_t long_permille;   /* requests with long work */
    uint64_t long_factor;     /* long work takes this many times longer */
    uint64_t cold_start_ms;   /* duration of the cold start */
    uint64_t cold_factor;     /* slowdown during the cold start */
    uint64_t slow_period_ms;  /* 0: no slow phases */
    uint64_t slow_ms;         /* slow phase at the beginning of each period */
    uint64_t slow_factor;     /* slowdown in a slow phase */
    uint64_t load_lag_ms;     /* age of the reported load */
    uint64_t load_percent;    /* reported load, in percent of the true load */
    uint64_t silent_permille; /* requests whose response is delayed by 30 s */
    uint64_t truncate_permille; /* streamed responses that end halfway */
    bool is_shedding;           /* refuse all requests */
};

struct bb_behaviour {
    pthread_mutex_t lock; /* leaf lock: no other lock is taken under it */
    struct bb_behaviour_values values;
    struct bb_random *random;
    uint64_t start_us;
};

void bb_behaviour_init(struct bb_behaviour *b,
                       const struct bb_behaviour_values *values,
                       uint64_t seed);
void bb_behaviour_clear(struct bb_behaviour *b);
struct bb_behaviour_values bb_behaviour_get_values(struct bb_behaviour *b);
bool bb_behaviour_apply(struct bb_behaviour *b, const json_t *changes,
                        struct bb_error *e);
json_t *bb_behaviour_to_json(struct bb_behaviour *b);
uint64_t bb_behaviour_draw_service_us(struct bb_behaviour *b, uint64_t now_us,
                                      uint64_t wanted_us);
bool bb_behaviour_draw_bool(struct bb_behaviour *b, uint64_t permille);

#endif
