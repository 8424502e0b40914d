#include "decide/estimate.h"

#include <math.h>
#include <stdbool.h>

enum {
    /* Counts are halved at this total, so that about the last 400 calls
     * matter and a change of the service time shows within them. */
    MAX_TOTAL = 512,
    /* A single observation moves the mean by at most this many medians. */
    CLIP_MEDIAN_FACTOR = 8,
    PERMILLE = 1000,
    MEDIAN_PERMILLE = 500
};

/* Returns the bucket of a duration. Bucket 0 holds up to 1 us. */
static uint32_t
bucket_index(uint64_t duration_us)
{
    double at;

    if (duration_us <= 1) {
        return 0;
    }
    at = log2((double)duration_us) * BB_ESTIMATE_STEPS;
    return at < BB_ESTIMATE_BUCKETS - 1 ? (uint32_t)at
                                        : BB_ESTIMATE_BUCKETS - 1;
}

/* Returns the middle of a bucket. */
static uint64_t
bucket_middle_us(uint32_t bucket)
{
    return (uint64_t)llround(exp2(((double)bucket + 0.5) / BB_ESTIMATE_STEPS));
}

/* Computes the mean with each observation clipped at a multiple of the
 * median, so that a few outliers cannot distort it. */
static uint64_t
clipped_mean_us(const struct bb_estimate *e, uint64_t median_us)
{
    uint64_t limit_us = median_us * CLIP_MEDIAN_FACTOR;
    uint64_t sum_us = 0;

    for (uint32_t i = 0; i < BB_ESTIMATE_BUCKETS; i++) {
        if (e->counts[i] > 0) {
            uint64_t us = bucket_middle_us(i);

            sum_us += e->counts[i] * (us < limit_us ? us : limit_us);
        }
    }
    return sum_us / e->total;
}

/* Halves all counts. */
static void
halve_counts(struct bb_estimate *e)
{
    e->total = 0;
    for (uint32_t i = 0; i < BB_ESTIMATE_BUCKETS; i++) {
        e->counts[i] /= 2;
        e->total += e->counts[i];
    }
}

/* Adds the duration of one finished call in microseconds. */
void
bb_estimate_add(struct bb_estimate *e, uint64_t duration_us)
{
    if (e->total >= MAX_TOTAL) {
        halve_counts(e);
    }
    e->counts[bucket_index(duration_us)]++;
    e->total++;
    e->median_us = bb_estimate_quantile_us(e, MEDIAN_PERMILLE);
    e->mean_us = clipped_mean_us(e, e->median_us);
}

/* Returns the duration that the given share of calls does not exceed, or 0
 * without observations. */
uint64_t
bb_estimate_quantile_us(const struct bb_estimate *e, uint32_t permille)
{
    uint64_t rank = ((uint64_t)e->total * permille + PERMILLE - 1) / PERMILLE;
    uint64_t seen = 0;

    for (uint32_t i = 0; e->total > 0 && i < BB_ESTIMATE_BUCKETS; i++) {
        seen += e->counts[i];
        if (seen > 0 && seen >= rank) {
            return bucket_middle_us(i);
        }
    }
    return 0;
}

/* Returns the clipped mean, or a default without observations. */
uint64_t
bb_estimate_mean_us(const struct bb_estimate *e, uint64_t default_us)
{
    return e->total == 0 ? default_us : e->mean_us;
}

/* Returns the median, or a default without observations. */
uint64_t
bb_estimate_median_us(const struct bb_estimate *e, uint64_t default_us)
{
    return e->total == 0 ? default_us : e->median_us;
}
