#include "decide/duration_stats.h"

#include <math.h>
#include <stdbool.h>

enum {
    /* Counts are halved at this total, so that the statistics cover about the
     * last 400 calls and follow a change of the durations within them. */
    MAX_TOTAL = 512,
    /* Durations above this many medians are clipped for the mean. */
    CLIP_MEDIAN_FACTOR = 8,
    PERMILLE = 1000,
    MEDIAN_PERMILLE = 500
};

/* Returns the bucket of a duration. Bucket 0 starts at 0; longer durations
 * than the histogram covers go into the last bucket. */
static uint32_t
bucket_index(uint64_t duration_us)
{
    double position;

    if (duration_us <= 1) {
        return 0;
    }
    position =
        log2((double)duration_us) * BB_DURATION_STATS_BUCKETS_PER_DOUBLING;
    return position < BB_DURATION_STATS_BUCKET_COUNT - 1
               ? (uint32_t)position
               : BB_DURATION_STATS_BUCKET_COUNT - 1;
}

/* Returns the middle of a bucket on the logarithmic scale, in microseconds. */
static uint64_t
bucket_middle_us(uint32_t bucket)
{
    return (uint64_t)llround(
        exp2(((double)bucket + 0.5) / BB_DURATION_STATS_BUCKETS_PER_DOUBLING));
}

/* Returns the mean duration in microseconds, with each one clipped at
 * CLIP_MEDIAN_FACTOR medians. The histogram must not be empty. */
static uint64_t
clipped_mean_us(const struct bb_duration_stats *s, uint64_t median_us)
{
    uint64_t limit_us = median_us * CLIP_MEDIAN_FACTOR;
    uint64_t sum_us = 0;

    for (uint32_t i = 0; i < BB_DURATION_STATS_BUCKET_COUNT; i++) {
        if (s->counts[i] > 0) {
            uint64_t us = bucket_middle_us(i);

            sum_us += s->counts[i] * (us < limit_us ? us : limit_us);
        }
    }
    return sum_us / s->total;
}

/* Halves all counts, so that old durations lose weight. */
static void
halve_counts(struct bb_duration_stats *s)
{
    s->total = 0;
    for (uint32_t i = 0; i < BB_DURATION_STATS_BUCKET_COUNT; i++) {
        s->counts[i] /= 2;
        s->total += s->counts[i];
    }
}

/* Adds the duration of one finished call in microseconds. */
void
bb_duration_stats_add(struct bb_duration_stats *s, uint64_t duration_us)
{
    if (s->total >= MAX_TOTAL) {
        halve_counts(s);
    }
    s->counts[bucket_index(duration_us)]++;
    s->total++;
    s->median_us = bb_duration_stats_quantile_us(s, MEDIAN_PERMILLE);
    s->mean_us = clipped_mean_us(s, s->median_us);
}

/* Returns a quantile of the durations in microseconds, as the middle of its
 * bucket; 0 if there are none. permille 500 is the median. */
uint64_t
bb_duration_stats_quantile_us(const struct bb_duration_stats *s,
                              uint32_t permille)
{
    uint64_t rank = ((uint64_t)s->total * permille + PERMILLE - 1) / PERMILLE;
    uint64_t seen = 0;

    for (uint32_t i = 0; s->total > 0 && i < BB_DURATION_STATS_BUCKET_COUNT;
         i++) {
        seen += s->counts[i];
        if (seen > 0 && seen >= rank) {
            return bucket_middle_us(i);
        }
    }
    return 0;
}

/* Returns the clipped mean in microseconds, or default_us if there are no
 * durations yet. */
uint64_t
bb_duration_stats_mean_us(const struct bb_duration_stats *s,
                          uint64_t default_us)
{
    return s->total == 0 ? default_us : s->mean_us;
}

/* Returns the median in microseconds, or default_us if there are no durations
 * yet. */
uint64_t
bb_duration_stats_median_us(const struct bb_duration_stats *s,
                            uint64_t default_us)
{
    return s->total == 0 ? default_us : s->median_us;
}
