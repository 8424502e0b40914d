/* Statistics of the durations of finished calls: a logarithmic histogram in
 * which old calls lose weight. Gives quantiles, and a mean that a few outliers
 * cannot distort. A zeroed struct is an empty one. */
#ifndef BB_DECIDE_DURATION_STATS_H
#define BB_DECIDE_DURATION_STATS_H

#include <stdint.h>

enum {
    BB_DURATION_STATS_BUCKETS_PER_DOUBLING =
        4, /* buckets per doubling of the duration */
    /* 26 doublings: up to 67 s. Longer durations go into the last bucket. */
    BB_DURATION_STATS_BUCKET_COUNT = 104
};

struct bb_duration_stats {
    uint16_t counts[BB_DURATION_STATS_BUCKET_COUNT];
    uint32_t total;     /* sum of counts */
    uint64_t mean_us;   /* clipped; updated by bb_duration_stats_add */
    uint64_t median_us; /* updated by bb_duration_stats_add */
};

void bb_duration_stats_add(struct bb_duration_stats *s, uint64_t duration_us);
uint64_t bb_duration_stats_quantile_us(const struct bb_duration_stats *s,
                                       uint32_t permille);
uint64_t bb_duration_stats_mean_us(const struct bb_duration_stats *s,
                                   uint64_t default_us);
uint64_t bb_duration_stats_median_us(const struct bb_duration_stats *s,
                                     uint64_t default_us);

#endif
