/* Ejection of gatekeepers whose upstream is much slower than the others of
 * its service, or fails, and their gradual return. One struct bb_outliers for
 * each service at an entry node; the caller serialises calls. */
#ifndef BB_DECIDE_OUTLIER_H
#define BB_DECIDE_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/route_pick.h"

enum { BB_OUTLIER_MEMBERS_MAX = 512, BB_OUTLIER_OUTSTANDING_MAX = 16 };

enum bb_outlier_stage {
    BB_OUTLIER_NORMAL,
    BB_OUTLIER_EJECTED,
    BB_OUTLIER_PROBING,  /* one call at a time */
    BB_OUTLIER_RETURNING /* part of its weight */
};

struct bb_outlier_call {
    uint64_t start_us; /* 0: free */
    enum bb_admission_class work_class;
    bool is_counted; /* as slow, while outstanding */
};

struct bb_outlier_member {
    uint64_t key;
    enum bb_outlier_stage stage;
    uint32_t score;     /* raised by slow and failed calls */
    uint32_t good;      /* normal calls in a row since the stage began */
    uint32_t ejections; /* in a row, for the length of the next one */
    uint32_t outstanding;
    uint64_t stage_since_us;
    uint64_t eject_until_us;
    double usual[BB_ADMISSION_CLASSES];  /* natural log of us, slow average */
    double recent[BB_ADMISSION_CLASSES]; /* the same, fast average */
    uint32_t observations[BB_ADMISSION_CLASSES];
    struct bb_outlier_call calls[BB_OUTLIER_OUTSTANDING_MAX];
};

struct bb_outliers {
    uint32_t share_percent; /* most members ejected at a time */
    uint32_t count;
    uint64_t compared_us; /* when shift and highest were computed */
    /* How much slower than usual the service is as a whole, as a logarithm,
     * and the highest usual latency of a member in us. */
    double shift[BB_ADMISSION_CLASSES];
    uint64_t highest_us[BB_ADMISSION_CLASSES];
    struct bb_outlier_member members[BB_OUTLIER_MEMBERS_MAX];
};

void bb_outliers_init(struct bb_outliers *o, uint32_t share_percent);
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
bool bb_outlier_may_go_elsewhere(const struct bb_outliers *o, uint64_t key);
void bb_outliers_tick(struct bb_outliers *o, uint64_t now_us);
uint32_t bb_outlier_weight(const struct bb_outliers *o, uint64_t key,
                           uint64_t now_us);
void bb_outlier_apply(const struct bb_outliers *o, struct bb_candidate *c,
                      uint64_t now_us);
uint32_t bb_outliers_ejected(const struct bb_outliers *o);

#endif
