/* Whether an attempt may be repeated or hedged, after which delay, and the
 * arithmetic of depth and deadline of nested calls. */
#ifndef BB_DECIDE_RETRY_H
#define BB_DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/estimate.h"
#include "decide/reason.h"

enum { BB_DEPTH_LIMIT = 16 };

/* Tokens in thousandths: each first attempt adds the share, each repeated
 * attempt takes one whole token. */
struct bb_retry_budget {
    uint32_t percent;
    uint64_t tokens_milli;
};

struct bb_retry_question {
    enum bb_reason reason;
    enum bb_ran ran;
    bool is_idempotent;
    uint32_t attempts; /* made so far, 1 or more */
    uint32_t retry_limit;
    uint64_t remaining_us; /* until the deadline */
    uint64_t expected_us;  /* usual duration of the call; 0: unknown */
    uint64_t random_bits;
};

struct bb_retry_answer {
    bool is_allowed;
    uint64_t delay_us;
    enum bb_reason reason; /* with which to answer if it is not allowed */
};

struct bb_hedge_question {
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t hedges; /* made so far */
    uint32_t hedge_limit;
    uint64_t elapsed_us;
    uint64_t remaining_us;
    uint64_t hedge_after_us; /* configured; 0: observed p95 */
};

void bb_retry_budget_configure(struct bb_retry_budget *b, uint32_t percent);
void bb_retry_budget_deposit(struct bb_retry_budget *b);
bool bb_retry_budget_has(const struct bb_retry_budget *b);
bool bb_retry_budget_take(struct bb_retry_budget *b);
bool bb_retry_reason_is_transient(enum bb_reason r);
struct bb_retry_answer bb_retry_decide(const struct bb_retry_question *q,
                                       struct bb_retry_budget *b);
uint64_t bb_retry_backoff_us(uint32_t attempts, uint64_t random_bits);
uint64_t bb_hedge_delay_us(const struct bb_hedge_question *q,
                           const struct bb_estimate *latency);
bool bb_hedge_decide(const struct bb_hedge_question *q,
                     const struct bb_estimate *latency,
                     struct bb_retry_budget *b);
bool bb_depth_next(uint32_t depth, uint32_t limit, uint32_t *next);
uint64_t bb_deadline_from_remaining(uint64_t remaining_us, uint64_t limit_us,
                                    uint64_t now_us);
uint64_t bb_deadline_remaining_us(uint64_t deadline_us, uint64_t now_us);
uint64_t bb_deadline_nested_us(uint64_t deadline_us, uint64_t now_us);

#endif
