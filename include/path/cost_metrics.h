/* Metrics of the predictions that placement relies on: predicted beside actual
 * times, and the error by request class. At most two histograms of each kind
 * for each of the BB_REQUEST_CLASS_COUNT classes are registered, each with its
 * first observation. Not thread-safe. */
#ifndef BB_PATH_COST_METRICS_H
#define BB_PATH_COST_METRICS_H

#include <stdint.h>

enum bb_prediction {
    BB_PREDICTION_GATE_WAIT,      /* in the queue, by the gate */
    BB_PREDICTION_GATE_DURATION,  /* at the upstream, by the gate */
    BB_PREDICTION_ENTRY_WAIT,     /* queue and network, by the entry */
    BB_PREDICTION_ENTRY_DURATION, /* at the upstream, by the entry */
    BB_PREDICTION_COUNT
};

void bb_cost_metrics_observe(enum bb_prediction kind, uint32_t class_index,
                             uint64_t predicted_us, uint64_t actual_us);

#endif
