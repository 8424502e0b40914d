/* Outlier detection: ejects gatekeepers whose upstream fails, or gets much
 * slower than usual while the rest of the service does not, and readmits them
 * gradually. An entry node has one struct bb_outliers for each service; the
 * caller serialises the calls on it.
 *
 * Gatekeepers are identified by the key of their struct bb_route_candidate;
 * calls with an unknown key do nothing. Times are microseconds of one
 * clock. */
#ifndef BB_DECIDE_OUTLIER_H
#define BB_DECIDE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/route_pick.h"

enum { BB_OUTLIER_GATEKEEPERS_MAX = 512, BB_OUTLIER_TRACKED_CALLS_MAX = 16 };

enum bb_outlier_stage {
    BB_OUTLIER_NORMAL,
    BB_OUTLIER_EJECTED,  /* gets no calls unless all others are full */
    BB_OUTLIER_PROBING,  /* gets one call at a time */
    BB_OUTLIER_RETURNING /* gets calls at a reduced weight */
};

/* An outstanding call. */
struct bb_outlier_call {
    uint64_t start_us; /* 0: the entry is free */
    enum bb_admission_class work_class;
    bool is_counted_slow; /* already counted as slow */
};

struct bb_outlier_gatekeeper {
    uint64_t key;
    enum bb_outlier_stage stage;
    uint32_t score; /* raised by slow and failed calls, lowered by good */
    uint32_t good_streak; /* good calls in a row since the stage began */
    uint32_t ejections;   /* in a row; each one is longer */
    uint32_t outstanding;
    uint64_t stage_since_us;
    uint64_t eject_until_us;
    /* Natural log of the latency in us: a slow and a fast moving average. */
    double usual_log_us[BB_ADMISSION_CLASS_COUNT];
    double recent_log_us[BB_ADMISSION_CLASS_COUNT];
    uint32_t observations[BB_ADMISSION_CLASS_COUNT];
    /* The first calls that found a free entry; others are not tracked. */
    struct bb_outlier_call calls[BB_OUTLIER_TRACKED_CALLS_MAX];
};

struct bb_outliers {
    uint32_t max_ejected_percent; /* max share that is ejected at a time */
    uint32_t count;
    /* When slowdown_log and highest_usual_us were computed. */
    uint64_t baselines_updated_us;
    /* By how much the service as a whole is slower than usual, as the natural
     * log of the factor. */
    double slowdown_log[BB_ADMISSION_CLASS_COUNT];
    /* Highest usual latency of any gatekeeper. */
    uint64_t highest_usual_us[BB_ADMISSION_CLASS_COUNT];
    struct bb_outlier_gatekeeper gatekeepers[BB_OUTLIER_GATEKEEPERS_MAX];
};

void bb_outliers_init(struct bb_outliers *o, uint32_t max_ejected_percent);
bool bb_outliers_add(struct bb_outliers *o, uint64_t key);
void bb_outliers_remove(struct bb_outliers *o, uint64_t key);
void bb_outlier_start(struct bb_outliers *o, uint64_t key,
                      enum bb_admission_class work_class, uint64_t now_us);
void bb_outlier_finish(struct bb_outliers *o, uint64_t key,
                       enum bb_admission_class work_class, uint64_t start_us,
                       bool is_failure, uint64_t now_us);
void bb_outlier_cancel(struct bb_outliers *o, uint64_t key, uint64_t start_us);
bool bb_outlier_report_slow(struct bb_outliers *o, uint64_t key,
                            uint64_t now_us);
bool bb_outlier_may_refuse_as_slow(const struct bb_outliers *o, uint64_t key);
void bb_outliers_tick(struct bb_outliers *o, uint64_t now_us);
uint32_t bb_outlier_weight(const struct bb_outliers *o, uint64_t key,
                           uint64_t now_us);
void bb_outlier_update_candidate(const struct bb_outliers *o,
                                 struct bb_route_candidate *c,
                                 uint64_t now_us);
uint32_t bb_outliers_count_ejected(const struct bb_outliers *o);

#endif
