/* Metrics of predicted waits and durations. */
#include "path/cost_metrics.h"

#include <glib.h>

#include "common/histogram.h"
#include "decide/balance.h"

enum { LABEL_BYTES = 64 };

/* Histograms of one kind of prediction. Errors are apart by sign: [0] the
 * actual time was longer than predicted, [1] shorter. */
struct prediction_histograms {
    struct bb_histogram predicted;
    struct bb_histogram actual;
    struct bb_histogram errors[BB_REQUEST_CLASS_COUNT][2];
    char labels[BB_REQUEST_CLASS_COUNT][2][LABEL_BYTES];
};

static struct prediction_histograms histograms[BB_PREDICTION_COUNT];

static const char *const kind_labels[BB_PREDICTION_COUNT] = {
    "of=\"gate_wait\"", "of=\"gate_duration\"", "of=\"entry_wait\"",
    "of=\"entry_duration\""};

/* Counts a time in a histogram, which its first use registers. */
static void
observe(struct bb_histogram *h, const char *name, const char *help,
        const char *label, uint64_t time_us)
{
    if (h->name == NULL) {
        h->name = name;
        h->help = help;
        h->label = label;
        bb_histogram_register(h);
    }
    bb_histogram_observe(h, time_us);
}

/* Records a prediction and what came of it, in microseconds. Predictions of 0
 * durations, which stand for none, must not be passed. */
void
bb_cost_metrics_observe(enum bb_prediction kind, uint32_t class_index,
                        uint64_t predicted_us, uint64_t actual_us)
{
    struct prediction_histograms *p = &histograms[kind];
    uint32_t class = class_index % BB_REQUEST_CLASS_COUNT;
    bool is_over = predicted_us > actual_us;
    char *label = p->labels[class][is_over];

    if (label[0] == '\0') {
        (void)g_snprintf(label, LABEL_BYTES,
                         "%s,class=\"%u\",predicted=\"%s\"", kind_labels[kind],
                         class, is_over ? "longer" : "shorter");
    }
    observe(&p->predicted, "baobab_predicted_seconds",
            "Predicted waits and durations", kind_labels[kind], predicted_us);
    observe(&p->actual, "baobab_predicted_actual_seconds",
            "Actual times of the predicted waits and durations",
            kind_labels[kind], actual_us);
    observe(&p->errors[class][is_over], "baobab_prediction_error_seconds",
            "Difference between predicted and actual times", label,
            is_over ? predicted_us - actual_us : actual_us - predicted_us);
}
