/* Latency histograms with fixed buckets, written in the Prometheus text
 * format in seconds. Not thread-safe. */
#ifndef BB_COMMON_HISTOGRAM_H
#define BB_COMMON_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

enum { BB_HISTOGRAM_BUCKET_COUNT = 14 };

struct bb_histogram {
    const char *name;
    const char *help;
    const char *label; /* label pairs, such as outcome="answered", or NULL */
    /* Durations in each bucket, not cumulative; the last one has no upper
     * bound. */
    uint64_t counts[BB_HISTOGRAM_BUCKET_COUNT + 1];
    uint64_t sum_us;
    struct bb_histogram *next;
};

void bb_histogram_register(struct bb_histogram *h);
void bb_histogram_observe(struct bb_histogram *h, uint64_t duration_us);
void bb_histograms_write(GString *out);

/* Defines a histogram that is registered by constructor before main runs. */
#define BB_HISTOGRAM(identifier, name_, label_, help_)                        \
    static struct bb_histogram identifier = {                                 \
        .name = (name_), .help = (help_), .label = (label_)};                 \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        bb_histogram_register(&identifier);                                   \
    }                                                                         \
    struct bb_histogram

#endif
