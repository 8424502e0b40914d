/* What the simulated upstream does, changeable while it runs. */
#ifndef BB_UPSTREAM_BEHAVIOUR_H
#define BB_UPSTREAM_BEHAVIOUR_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/random.h"

enum bb_upstream_distribution {
    BB_DISTRIBUTION_FIXED,
    BB_DISTRIBUTION_EXPONENTIAL
};

struct bb_behaviour_values {
    uint64_t slots;
    uint64_t connections;
    uint64_t service_us; /* mean of the service time */
    enum bb_upstream_distribution distribution;
    uint64_t long_permille; /* share of long work */
    uint64_t long_factor;
    uint64_t cold_start_ms; /* slower for this long after the start */
    uint64_t cold_factor;
    uint64_t slow_period_ms; /* 0: no slow spells */
    uint64_t slow_ms;        /* at the beginning of each period */
    uint64_t slow_factor;
    uint64_t load_lag_ms;     /* age of the load that is reported */
    uint64_t load_percent;    /* of the true load that is reported */
    uint64_t silent_permille; /* requests that are never answered */
    uint64_t truncate_permille;
    bool is_shedding;
};

struct bb_behaviour {
    pthread_mutex_t lock; /* a leaf */
    struct bb_behaviour_values values;
    struct bb_random *random;
    uint64_t start_us;
};

void bb_behaviour_init(struct bb_behaviour *b,
                       const struct bb_behaviour_values *values,
                       uint64_t seed);
void bb_behaviour_clear(struct bb_behaviour *b);
struct bb_behaviour_values bb_behaviour_get(struct bb_behaviour *b);
bool bb_behaviour_apply(struct bb_behaviour *b, const json_t *changes,
                        struct bb_error *e);
json_t *bb_behaviour_json(struct bb_behaviour *b);
uint64_t bb_behaviour_service_us(struct bb_behaviour *b, uint64_t now_us,
                                 uint64_t wanted_us);
bool bb_behaviour_draw(struct bb_behaviour *b, uint64_t permille);

#endif
