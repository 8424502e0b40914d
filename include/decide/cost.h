/* Expected duration of requests, learned from complete runs. A request belongs
 * to a class and, in each of a few attributes, to a bin. Of the bins whose
 * runs clearly differ from those of the class, the one with the least variance
 * predicts the request; without one the class does.
 *
 * A gate keeps a model of the durations at its own upstream and derives the
 * remaining work of its slots from it. An entry keeps a model of durations
 * divided by the slowness of the upstream (struct bb_cost_speed), so that a
 * slow upstream does not make its requests look expensive.
 *
 * A model takes sizeof(struct bb_cost), about 450 kB, whatever the traffic.
 * Each bin forgets half of its runs whenever it has BB_COST_RUNS_MAX.
 *
 * Times are microseconds. The caller serialises the calls. */
#ifndef BB_DECIDE_COST_H
#define BB_DECIDE_COST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    BB_COST_CLASS_COUNT = 64,
    /* Method, three segments of the path, size of the body, team. */
    BB_COST_SEGMENTS = 3,
    BB_COST_ATTRIBUTES = BB_COST_SEGMENTS + 3,
    BB_COST_BIN_COUNT = 16, /* of each attribute */
    /* Half octaves from BB_COST_BUCKET_MIN_US up to 32 s. */
    BB_COST_BUCKET_COUNT = 28,
    BB_COST_BUCKET_MIN_US = 2000,
    BB_COST_RUNS_MAX = 512,
    /* With fewer runs, a class or a bin predicts nothing. */
    BB_COST_RUNS_MIN = 16,
    BB_COST_BIN_RUNS_MIN = 4
};

/* Runs of one bin: their number, and sums over them. */
struct bb_cost_bin {
    float runs;
    float sum_us;
    float log2_sum;        /* of the logarithms of the durations */
    float log2_square_sum; /* of the squares of these logarithms */
    uint16_t counts[BB_COST_BUCKET_COUNT]; /* in 1/64 of a run */
};

struct bb_cost {
    struct bb_cost_bin all;
    struct bb_cost_bin classes[BB_COST_CLASS_COUNT];
    struct bb_cost_bin bins[BB_COST_CLASS_COUNT][BB_COST_ATTRIBUTES]
                           [BB_COST_BIN_COUNT];
};

/* What is known of a request before it runs. */
struct bb_cost_key {
    uint8_t class_index;
    uint8_t bins[BB_COST_ATTRIBUTES];
};

/* Slowness of an upstream: moving average of the logarithm of the ratio
 * between observed and expected durations. */
struct bb_cost_speed {
    float log2_ratio;
};

struct bb_cost_key bb_cost_key(uint32_t class_index, uint32_t method,
                               const char *target, uint64_t body_bytes,
                               const char *team);
void bb_cost_add(struct bb_cost *c, const struct bb_cost_key *k,
                 uint64_t duration_us);
uint64_t bb_cost_mean_us(const struct bb_cost *c, const struct bb_cost_key *k);
uint64_t bb_cost_class_mean_us(const struct bb_cost *c,
                               const struct bb_cost_key *k);
uint64_t bb_cost_left_us(const struct bb_cost *c, const struct bb_cost_key *k,
                         uint64_t age_us);
void bb_cost_speed_add(struct bb_cost_speed *s, const struct bb_cost *c,
                       const struct bb_cost_key *k, uint64_t duration_us);
uint64_t bb_cost_speed_apply(const struct bb_cost_speed *s, uint64_t usual_us);
uint64_t bb_cost_speed_remove(const struct bb_cost_speed *s,
                              uint64_t observed_us);

#endif
