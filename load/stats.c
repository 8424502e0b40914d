#include <math.h>

#include "load/engine.h"

/* Bins grow by 2% from 1 us to 100 s, so the error of a percentile is at most
 * 2%. */
enum { BINS = 931 };

static const double bin_growth = 1.02;

/* Creates an empty histogram. */
static gsl_histogram *
create_histogram(void)
{
    gsl_histogram *h = gsl_histogram_alloc(BINS);
    double ranges[BINS + 1];

    for (int i = 0; i <= BINS; i++) {
        ranges[i] = pow(bin_growth, i);
    }
    (void)gsl_histogram_set_ranges(h, ranges, BINS + 1);
    return h;
}

/* Creates empty statistics for a run of interval_count intervals. The caller
 * frees them with bb_load_stats_destroy. */
struct bb_load_stats *
bb_load_stats_create(uint32_t interval_count)
{
    struct bb_load_stats *s = g_new0(struct bb_load_stats, 1);

    for (int k = 0; k < BB_LOAD_KIND_COUNT; k++) {
        s->latency[k] = create_histogram();
    }
    s->ok_by_interval = g_new0(uint64_t, interval_count + 1);
    return s;
}

/* Frees statistics and their histograms. */
void
bb_load_stats_destroy(struct bb_load_stats *s)
{
    for (int k = 0; k < BB_LOAD_KIND_COUNT; k++) {
        gsl_histogram_free(s->latency[k]);
    }
    g_free(s->ok_by_interval);
    g_free(s);
}

/* Adds the latency of a successful call. A latency above 100 s counts in the
 * maximum and the mean but not in the percentiles. */
void
bb_load_stats_add_latency(struct bb_load_stats *s, enum bb_load_kind kind,
                          uint64_t latency_us)
{
    double value = latency_us > 1 ? (double)latency_us : 1.0;

    (void)gsl_histogram_increment(s->latency[kind], value);
    s->max_us[kind] = MAX(s->max_us[kind], latency_us);
    s->sum_us[kind] += latency_us;
    s->counts[kind]++;
}

/* Adds part to total. Both must have interval_count intervals. */
void
bb_load_stats_merge(struct bb_load_stats *total,
                    const struct bb_load_stats *part, uint32_t interval_count)
{
    for (int k = 0; k < BB_LOAD_KIND_COUNT; k++) {
        (void)gsl_histogram_add(total->latency[k], part->latency[k]);
        total->max_us[k] = MAX(total->max_us[k], part->max_us[k]);
        total->sum_us[k] += part->sum_us[k];
        total->counts[k] += part->counts[k];
    }
    for (int i = 0; i < BB_LOAD_RESULT_COUNT; i++) {
        total->result_counts[i] += part->result_counts[i];
    }
    for (int i = 0; i < BB_REASON_COUNT; i++) {
        total->refusals_by_reason[i] += part->refusals_by_reason[i];
    }
    for (uint32_t i = 0; i <= interval_count; i++) {
        total->ok_by_interval[i] += part->ok_by_interval[i];
    }
    total->unknown_count += part->unknown_count;
    total->late_count += part->late_count;
    total->response_bytes += part->response_bytes;
}

/* Returns a percentile (0 to 100) of the latency in microseconds, interpolated
 * within its bin; 0 if there are no values. */
double
bb_load_percentile(const struct bb_load_stats *s, enum bb_load_kind kind,
                   double percentile)
{
    const gsl_histogram *h = s->latency[kind];
    double wanted = gsl_histogram_sum(h) * percentile / 100;
    double sum = 0;

    for (size_t i = 0; i < BINS; i++) {
        double count = gsl_histogram_get(h, i);

        if (count > 0 && sum + count >= wanted) {
            double low = h->range[i];
            double high = h->range[i + 1];

            return low + (high - low) * (wanted - sum) / count;
        }
        sum += count;
    }
    return (double)s->max_us[kind];
}
