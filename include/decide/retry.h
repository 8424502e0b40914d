/* Decides whether a request is retried or hedged (sent a second time while the
 * first attempt has no response) and after which delay; computes the depth and
 * the deadline of nested calls. Used by the entry nodes of baobab-node;
 * baobab-proxy limits its retries by decide/retry_window.h. Times are
 * microseconds. */
#ifndef BB_DECIDE_RETRY_H
#define BB_DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/duration_stats.h"
#include "decide/reason.h"

/* Max nesting depth of calls. */
enum { BB_CALL_DEPTH_MAX = 16 };

/* Token bucket in thousandths of a token: each first attempt adds `percent`
 * hundredths of a token, each retry or hedge takes a whole one. */
struct bb_retry_budget {
    uint32_t percent; /* of first attempts that may be retried or hedged */
    uint64_t tokens_milli;
};

/* A request whose last attempt failed. */
struct bb_failed_request {
    enum bb_reason reason; /* of the failure */
    enum bb_ran ran;
    bool is_idempotent;
    uint32_t attempt_count;        /* made so far, 1 or more */
    uint32_t retry_limit;          /* max retries of a request */
    uint64_t remaining_us;         /* until the deadline */
    uint64_t expected_duration_us; /* usual duration of the call; 0: unknown */
    uint64_t random_bits;          /* for the jitter of the delay */
};

struct bb_retry_decision {
    bool is_allowed;
    uint64_t delay_us; /* before the retry */
    /* If not allowed: that of the failed attempt, or BB_REASON_RETRY_BUDGET.
     */
    enum bb_reason reason;
};

/* A request whose first attempt has no response yet. */
struct bb_pending_request {
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t hedge_count;    /* sent so far */
    uint32_t hedge_limit;    /* max hedges of a request */
    uint64_t elapsed_us;     /* since the first attempt */
    uint64_t remaining_us;   /* until the deadline */
    uint64_t hedge_after_us; /* configured delay; 0: from the observed p95 */
};

void bb_retry_budget_configure(struct bb_retry_budget *b, uint32_t percent);
void bb_retry_budget_deposit(struct bb_retry_budget *b);
bool bb_retry_budget_has_token(const struct bb_retry_budget *b);
bool bb_retry_budget_take(struct bb_retry_budget *b);
bool bb_retry_reason_is_transient(enum bb_reason r);
struct bb_retry_decision bb_retry_decide(const struct bb_failed_request *q,
                                         struct bb_retry_budget *b);
uint64_t bb_retry_backoff_us(uint32_t attempt_count, uint64_t random_bits);
uint64_t bb_hedge_delay_us(const struct bb_pending_request *q,
                           const struct bb_duration_stats *latency);
bool bb_hedge_decide(const struct bb_pending_request *q,
                     const struct bb_duration_stats *latency,
                     struct bb_retry_budget *b);
bool bb_call_depth_next(uint32_t depth, uint32_t limit, uint32_t *next);
uint64_t bb_deadline_from_remaining(uint64_t remaining_us, uint64_t limit_us,
                                    uint64_t now_us);
uint64_t bb_deadline_remaining_us(uint64_t deadline_us, uint64_t now_us);
uint64_t bb_deadline_nested_remaining_us(uint64_t deadline_us,
                                         uint64_t now_us);

#endif
