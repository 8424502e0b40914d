/* What an entry node knows of the gatekeepers of each service (reports, own
 * latency, ejections, budgets), around the decision modules. The modules'
 * struct bb_route shares its name with one of config/config.h, so only
 * picker.c includes both.
 *
 * Lock order: the picker's lock is a leaf. */
#ifndef BB_PROXY_PICKER_H
#define BB_PROXY_PICKER_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/reason.h"

enum { BB_PICK_EXCLUDED_MAX = 16 };

/* One usable gatekeeper; nearness as in enum bb_nearness. */
struct bb_pick_target {
    uint64_t key;
    uint32_t nearness;
    uint32_t slots;
};

struct bb_pick_request {
    const char *service;
    const struct bb_pick_target *targets;
    uint32_t target_count;
    enum bb_admission_class work_class;
    bool is_idempotent;
    bool can_retry;      /* a first attempt, which may be sent again */
    uint64_t link_bytes; /* expected, for the budget of the paid link */
    bool is_hedge;
    uint64_t excluded[BB_PICK_EXCLUDED_MAX];
    uint32_t excluded_count;
    uint64_t random_bits;
};

struct bb_pick_result {
    int32_t index; /* into the targets, or -1 */
    enum bb_reason reason;
    bool may_go_elsewhere; /* if the gatekeeper's upstream is slow */
};

/* The end of one attempt as the entry node saw it. */
enum bb_attempt_result {
    BB_ATTEMPT_ANSWERED,
    BB_ATTEMPT_FAILED,       /* connection or upstream */
    BB_ATTEMPT_REFUSED,      /* by the gatekeeper; says nothing about speed */
    BB_ATTEMPT_REFUSED_SLOW, /* refused because the upstream is slow */
    BB_ATTEMPT_NOT_CONNECTED,
    BB_ATTEMPT_CANCELLED
};

struct bb_picker_limits {
    uint32_t retry_percent;
    uint32_t hedge_percent;
    uint32_t ejection_percent;
    uint64_t link_bytes_per_s;
};

struct bb_retry_request {
    const char *service;
    enum bb_reason reason;
    enum bb_ran ran;
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t attempt_count;
    uint32_t retry_limit;
    uint64_t remaining_us;
    uint64_t random_bits;
};

struct bb_hedge_request {
    const char *service;
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t hedge_count;
    uint32_t hedge_limit;
    uint64_t elapsed_us;
    uint64_t remaining_us;
    uint64_t hedge_after_us;
};

struct bb_picker;

struct bb_picker *bb_picker_create(const char *policy);
void bb_picker_destroy(struct bb_picker *p);
void bb_picker_configure(struct bb_picker *p,
                         const struct bb_picker_limits *l);
struct bb_pick_result bb_picker_pick(struct bb_picker *p,
                                     const struct bb_pick_request *q,
                                     uint64_t now_us);
void bb_picker_finish_attempt(struct bb_picker *p, const char *service,
                              uint64_t key, enum bb_admission_class work_class,
                              uint64_t start_us, enum bb_attempt_result end,
                              uint64_t now_us);
void bb_picker_update_load(struct bb_picker *p, const char *service,
                           uint64_t key, const char *load, uint64_t now_us);
void bb_picker_count_first_attempt(struct bb_picker *p);
bool bb_picker_try_retry(struct bb_picker *p, const struct bb_retry_request *q,
                         uint64_t *delay_us, enum bb_reason *reason);
uint64_t bb_picker_hedge_delay_us(struct bb_picker *p,
                                  const struct bb_hedge_request *q);
bool bb_picker_try_hedge(struct bb_picker *p,
                         const struct bb_hedge_request *q);

#endif
