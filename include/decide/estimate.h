/* Durations of finished calls in a logarithmic histogram whose older part
 * fades. Quantiles and a mean without the influence of a few outliers. */
#ifndef BB_DECIDE_ESTIMATE_H
#define BB_DECIDE_ESTIMATE_H

#include <stdint.h>

enum {
    BB_ESTIMATE_STEPS = 4, /* buckets for each doubling */
    BB_ESTIMATE_BUCKETS = 104
};

struct bb_estimate {
    uint16_t counts[BB_ESTIMATE_BUCKETS];
    uint32_t total;
    uint64_t mean_us;   /* kept up to date by bb_estimate_add */
    uint64_t median_us; /* likewise */
};

void bb_estimate_add(struct bb_estimate *e, uint64_t duration_us);
uint64_t bb_estimate_quantile_us(const struct bb_estimate *e,
                                 uint32_t permille);
uint64_t bb_estimate_mean_us(const struct bb_estimate *e, uint64_t default_us);
uint64_t bb_estimate_median_us(const struct bb_estimate *e,
                               uint64_t default_us);

#endif
