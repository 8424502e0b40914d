/* Latency histograms with fixed buckets. */
#include "common/histogram.h"

#include <string.h>

#include "common/clock.h"

/* Upper bounds of the buckets. They start at the latency that two hops may add
 * to a request. */
static const uint64_t bounds_us[BB_HISTOGRAM_BUCKET_COUNT] = {
    100,   340,    1000,   2500,   5000,    10000,   25000,
    50000, 100000, 250000, 500000, 1000000, 2500000, 5000000};

static struct bb_histogram *first_histogram;

/* Adds a histogram to the list, sorted by name. */
void
bb_histogram_register(struct bb_histogram *h)
{
    struct bb_histogram **at = &first_histogram;

    while (*at != NULL && strcmp((*at)->name, h->name) <= 0) {
        at = &(*at)->next;
    }
    h->next = *at;
    *at = h;
}

/* Counts one duration. */
void
bb_histogram_observe(struct bb_histogram *h, uint64_t duration_us)
{
    uint32_t i = 0;

    while (i < BB_HISTOGRAM_BUCKET_COUNT && duration_us > bounds_us[i]) {
        i++;
    }
    h->counts[i]++;
    h->sum_us += duration_us;
}

/* Returns how many durations were observed. */
static uint64_t
total_count(const struct bb_histogram *h)
{
    uint64_t count = 0;

    for (uint32_t i = 0; i <= BB_HISTOGRAM_BUCKET_COUNT; i++) {
        count += h->counts[i];
    }
    return count;
}

/* Appends one sample line; `bound` (NULL: none) is the value of the label
 * "le". */
static void
write_sample(GString *out, const struct bb_histogram *h, const char *suffix,
             const char *bound, double value)
{
    const char *separator = h->label != NULL && bound != NULL ? "," : "";
    char text[G_ASCII_DTOSTR_BUF_SIZE];

    g_string_append_printf(out, "%s%s", h->name, suffix);
    if (h->label != NULL || bound != NULL) {
        g_string_append_printf(out, "{%s%s", h->label != NULL ? h->label : "",
                               separator);
        if (bound != NULL) {
            g_string_append_printf(out, "le=\"%s\"", bound);
        }
        g_string_append_c(out, '}');
    }
    g_string_append_printf(out, " %s\n",
                           g_ascii_dtostr(text, sizeof(text), value));
}

/* Appends all histograms in the Prometheus text format. */
void
bb_histograms_write(GString *out)
{
    const char *previous = "";

    for (const struct bb_histogram *h = first_histogram; h != NULL;
         h = h->next) {
        uint64_t sum = 0;

        if (strcmp(previous, h->name) != 0) {
            g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n",
                                   h->name, h->help, h->name);
            previous = h->name;
        }
        for (uint32_t i = 0; i < BB_HISTOGRAM_BUCKET_COUNT; i++) {
            char bound[G_ASCII_DTOSTR_BUF_SIZE];

            sum += h->counts[i];
            write_sample(out, h, "_bucket",
                         g_ascii_dtostr(bound, sizeof(bound),
                                        (double)bounds_us[i] / BB_US_PER_S),
                         (double)sum);
        }
        write_sample(out, h, "_bucket", "+Inf", (double)total_count(h));
        write_sample(out, h, "_sum", NULL, (double)h->sum_us / BB_US_PER_S);
        write_sample(out, h, "_count", NULL, (double)total_count(h));
    }
}
