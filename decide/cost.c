#include "decide/cost.h"

#include <math.h>
#include <string.h>

enum {
    /* Parts of a run in the bucket counts, so that halving keeps rare long
     * runs for a while. */
    BUCKET_PARTS = 64,
    BUCKETS_PER_OCTAVE = 2,
    /* Runs of the class that are added to the variance of a bin. */
    PRIOR_RUNS = 8,
    /* An average of the slowness follows about the last 8 runs. */
    SPEED_DIVISOR = 8
};

/* A bin is used if it differs from its class by a quarter (0.32 octaves) and,
 * in the mean logarithm, by four standard errors. At three, one of the bins of
 * a class without differences often passes by chance. */
#define MIN_DIFFERENCE_LOG2 0.32F
#define MIN_STANDARD_ERRORS 4.0F
/* One run changes the average of the slowness by at most a fourfold ratio, so
 * that a run from the tail does not look like a slow upstream. */
#define MAX_STEP_LOG2 2.0F
/* Upstreams of a service differ in speed by a factor of three, a busy
 * neighbour adds 2.5; beyond 16 the ratio is an error of the model. */
#define MAX_RATIO_LOG2 4.0F
/* Pull of the slowness towards 1 with each run. Without it the common factor
 * of durations and speeds is not determined and drifts. */
#define RATIO_KEPT 0.995F

/* Returns the logarithm of a duration, at least that of 1 us. */
static float
log2_us(uint64_t duration_us)
{
    return log2f(duration_us > 0 ? (float)duration_us : 1.0F);
}

/* Returns the bin of a text in one attribute (FNV-1a, folded). */
static uint8_t
text_bin(const char *text, size_t length)
{
    uint32_t hash = 2166136261U;

    for (size_t i = 0; i < length; i++) {
        hash = (hash ^ (uint8_t)text[i]) * 16777619U;
    }
    return (uint8_t)((hash ^ hash >> 16) % BB_COST_BIN_COUNT);
}

/* Returns the size class of a body: powers of 4 from 256 bytes on. */
static uint8_t
size_bin(uint64_t body_bytes)
{
    uint8_t bin = 0;

    while (body_bytes >= 256 && bin < BB_COST_BIN_COUNT - 1) {
        body_bytes /= 4;
        bin++;
    }
    return body_bytes > 0 && bin == 0 ? 1 : bin;
}

/* Returns the key of a request. target is its path, with or without a query.
 * Its first segments are compared within a class only, so the segments of the
 * route's prefix, which all requests of a route share, tell nothing apart.
 * team may be NULL. */
struct bb_cost_key
bb_cost_key(uint32_t class_index, uint32_t method, const char *target,
            uint64_t body_bytes, const char *team)
{
    struct bb_cost_key k = {.class_index =
                                (uint8_t)(class_index % BB_COST_CLASS_COUNT)};
    uint32_t a = 0;

    for (uint32_t i = 0; i < BB_COST_SEGMENTS; i++) {
        size_t length;

        target += *target == '/';
        length = strcspn(target, "/?#");
        k.bins[a++] = text_bin(target, length);
        target += length;
    }
    k.bins[a++] = (uint8_t)(method % BB_COST_BIN_COUNT);
    k.bins[a++] = size_bin(body_bytes);
    k.bins[a] = team != NULL ? text_bin(team, strlen(team)) : 0;
    return k;
}

/* Returns the upper bound of a bucket. */
static float
bucket_end_us(uint32_t bucket)
{
    float octave_us = (float)((uint64_t)BB_COST_BUCKET_MIN_US
                              << (bucket / BUCKETS_PER_OCTAVE));

    return bucket % BUCKETS_PER_OCTAVE == 0 ? octave_us
                                            : octave_us * 1.41421356F;
}

/* Returns the bucket of a duration; the last one has no upper bound. */
static uint32_t
find_bucket(uint64_t duration_us)
{
    uint32_t bucket = 0;

    while (bucket < BB_COST_BUCKET_COUNT - 1 &&
           (float)duration_us >= bucket_end_us(bucket)) {
        bucket++;
    }
    return bucket;
}

/* Adds a run to a bin, which first forgets half of its runs if it has
 * BB_COST_RUNS_MAX. */
static void
add_run(struct bb_cost_bin *b, uint64_t duration_us, float log2_duration,
        uint32_t bucket)
{
    if (b->runs >= BB_COST_RUNS_MAX) {
        b->runs /= 2;
        b->sum_us /= 2;
        b->log2_sum /= 2;
        b->log2_square_sum /= 2;
        for (uint32_t i = 0; i < BB_COST_BUCKET_COUNT; i++) {
            b->counts[i] /= 2;
        }
    }
    b->runs += 1;
    b->sum_us += (float)duration_us;
    b->log2_sum += log2_duration;
    b->log2_square_sum += log2_duration * log2_duration;
    b->counts[bucket] += BUCKET_PARTS;
}

/* Adds a complete run. Runs that were aborted, made by a cold upstream, or
 * include nested calls must not be added. */
void
bb_cost_add(struct bb_cost *c, const struct bb_cost_key *k,
            uint64_t duration_us)
{
    float log2_duration = log2_us(duration_us);
    uint32_t bucket = find_bucket(duration_us);

    add_run(&c->all, duration_us, log2_duration, bucket);
    add_run(&c->classes[k->class_index], duration_us, log2_duration, bucket);
    for (uint32_t a = 0; a < BB_COST_ATTRIBUTES; a++) {
        add_run(&c->bins[k->class_index][a][k->bins[a]], duration_us,
                log2_duration, bucket);
    }
}

/* Returns the variance of the logarithms of the durations of a bin. */
static float
log2_variance(const struct bb_cost_bin *b)
{
    float mean = b->log2_sum / b->runs;

    return fmaxf(b->log2_square_sum / b->runs - mean * mean, 0);
}

/* Returns the variance of the logarithms of the durations of a bin. That of a
 * few runs is often too low by chance, so some runs of its class are added. */
static float
bin_variance(const struct bb_cost_bin *b, const struct bb_cost_bin *parent)
{
    return (log2_variance(b) * b->runs + log2_variance(parent) * PRIOR_RUNS) /
           (b->runs + PRIOR_RUNS);
}

/* Returns whether the runs of a bin clearly differ from those of its class, in
 * their mean or in the mean of their logarithms. */
static bool
is_distinct(const struct bb_cost_bin *b, const struct bb_cost_bin *parent)
{
    float difference;
    float mean_ratio;

    if (b->runs < BB_COST_BIN_RUNS_MIN) {
        return false;
    }
    difference =
        fabsf(b->log2_sum / b->runs - parent->log2_sum / parent->runs);
    if (difference * difference * b->runs <
        MIN_STANDARD_ERRORS * MIN_STANDARD_ERRORS * bin_variance(b, parent)) {
        return false;
    }
    mean_ratio =
        fabsf(log2f((b->sum_us / b->runs) / (parent->sum_us / parent->runs)));
    return fmaxf(difference, mean_ratio) >= MIN_DIFFERENCE_LOG2;
}

/* Returns the bin that predicts a request, or NULL if nothing is known: the
 * distinct bin with the least variance. A bin that differs because it shares
 * some requests with another one has a larger variance than that one. */
static const struct bb_cost_bin *
find_bin(const struct bb_cost *c, const struct bb_cost_key *k)
{
    const struct bb_cost_bin *parent = &c->classes[k->class_index];
    const struct bb_cost_bin *best = parent;
    float best_variance = INFINITY;

    if (parent->runs < BB_COST_RUNS_MIN) {
        return c->all.runs < BB_COST_RUNS_MIN ? NULL : &c->all;
    }
    for (uint32_t a = 0; a < BB_COST_ATTRIBUTES; a++) {
        const struct bb_cost_bin *b = &c->bins[k->class_index][a][k->bins[a]];

        if (is_distinct(b, parent) &&
            bin_variance(b, parent) < best_variance) {
            best = b;
            best_variance = bin_variance(b, parent);
        }
    }
    return best;
}

/* Returns the expected duration of a request in microseconds; 0: unknown. */
uint64_t
bb_cost_mean_us(const struct bb_cost *c, const struct bb_cost_key *k)
{
    const struct bb_cost_bin *b = find_bin(c, k);

    return b != NULL ? (uint64_t)(b->sum_us / b->runs) + 1 : 0;
}

/* Returns the expected duration of the requests of a class, whatever their
 * attributes; 0: unknown. */
uint64_t
bb_cost_class_mean_us(const struct bb_cost *c, const struct bb_cost_key *k)
{
    const struct bb_cost_bin *b = &c->classes[k->class_index];

    return b->runs >= BB_COST_RUNS_MIN ? (uint64_t)(b->sum_us / b->runs) + 1
                                       : 0;
}

/* Returns how much longer a run of some age is expected to take, in
 * microseconds; 0: unknown. One more run that would take as long again is
 * added to those that outlasted this age, so that the time left grows with the
 * age beyond the longest known run. */
uint64_t
bb_cost_left_us(const struct bb_cost *c, const struct bb_cost_key *k,
                uint64_t age_us)
{
    const struct bb_cost_bin *b = find_bin(c, k);
    float age = (float)age_us;
    float sum_us = age;
    float runs = 1;

    if (b == NULL) {
        return 0;
    }
    if (age_us < BB_COST_BUCKET_MIN_US) {
        return (uint64_t)(b->sum_us / b->runs) + 1;
    }
    for (uint32_t i = find_bucket(age_us); i < BB_COST_BUCKET_COUNT; i++) {
        float count = (float)b->counts[i] / BUCKET_PARTS;
        float end_us = bucket_end_us(i);
        /* 2^-1/4: geometric middle of a half octave */
        float middle_us = end_us * 0.8409F;

        if (middle_us < age) {
            middle_us = end_us > age ? (age + end_us) / 2 : age;
        }
        sum_us += count * (middle_us - age);
        runs += count;
    }
    return (uint64_t)(sum_us / runs) + 1;
}

/* Updates the slowness of an upstream with a run there. Does nothing until the
 * model knows such requests. */
void
bb_cost_speed_add(struct bb_cost_speed *s, const struct bb_cost *c,
                  const struct bb_cost_key *k, uint64_t duration_us)
{
    const struct bb_cost_bin *b = find_bin(c, k);
    float step;

    if (b == NULL) {
        return;
    }
    step = log2_us(duration_us) - b->log2_sum / b->runs - s->log2_ratio;
    step = fmaxf(-MAX_STEP_LOG2, fminf(step, MAX_STEP_LOG2));
    s->log2_ratio = RATIO_KEPT * (s->log2_ratio + step / SPEED_DIVISOR);
    s->log2_ratio =
        fmaxf(-MAX_RATIO_LOG2, fminf(s->log2_ratio, MAX_RATIO_LOG2));
}

/* Returns the duration at an upstream of a request that usually takes
 * usual_us. */
uint64_t
bb_cost_speed_apply(const struct bb_cost_speed *s, uint64_t usual_us)
{
    return s->log2_ratio == 0
               ? usual_us
               : (uint64_t)((float)usual_us * exp2f(s->log2_ratio));
}

/* Returns the usual duration of a request that took observed_us at an
 * upstream. */
uint64_t
bb_cost_speed_remove(const struct bb_cost_speed *s, uint64_t observed_us)
{
    return (uint64_t)((float)observed_us * exp2f(-s->log2_ratio));
}
