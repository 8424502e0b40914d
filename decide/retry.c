#include "decide/retry.h"

enum {
    MILLI = 1000,
    PERCENT = 100,
    /* First and highest number of tokens: retries may exceed the configured
     * share for a short series of refusals, but not for a long one. */
    BUDGET_START_TOKENS = 5,
    BUDGET_MAX_TOKENS = 50,
    /* The first retry goes elsewhere at once; the second waits up to
     * BACKOFF_BASE_US. */
    BACKOFF_BASE_US = 2000,
    BACKOFF_MAX_US = 250000,
    BACKOFF_DOUBLINGS_MAX = 7,
    HEDGE_QUANTILE_PERMILLE = 950,
    /* The delay is a quarter longer than p95: at p95 itself one call in twenty
     * would always be hedged, which leaves no budget for a slow period. */
    HEDGE_MARGIN_PERCENT = 125,
    HEDGE_DELAY_MIN_US = 2000,
    /* Below this number of observed latencies, the default delay is used. */
    HEDGE_OBSERVATIONS_MIN = 20,
    HEDGE_DELAY_DEFAULT_US = 50000,
    /* The deadline of a nested call is this much earlier, so that its response
     * can still be passed on. */
    NESTED_MARGIN_MAX_US = 1000,
    NESTED_MARGIN_DIVISOR = 20
};

/* Sets the share of first attempts that may be retried or hedged, in percent,
 * and resets the tokens to their start value. */
void
bb_retry_budget_configure(struct bb_retry_budget *b, uint32_t percent)
{
    b->percent = percent;
    b->tokens_milli = percent > 0 ? BUDGET_START_TOKENS * MILLI : 0;
}

/* Adds tokens for one first attempt. */
void
bb_retry_budget_deposit(struct bb_retry_budget *b)
{
    b->tokens_milli += (uint64_t)b->percent * MILLI / PERCENT;
    if (b->tokens_milli > (uint64_t)BUDGET_MAX_TOKENS * MILLI) {
        b->tokens_milli = (uint64_t)BUDGET_MAX_TOKENS * MILLI;
    }
}

/* Returns whether a token is available, without taking it. */
bool
bb_retry_budget_has_token(const struct bb_retry_budget *b)
{
    return b->tokens_milli >= MILLI;
}

/* Takes one token. Returns false if there is none. */
bool
bb_retry_budget_take(struct bb_retry_budget *b)
{
    if (!bb_retry_budget_has_token(b)) {
        return false;
    }
    b->tokens_milli -= MILLI;
    return true;
}

/* Returns whether a request refused for this reason may succeed at another
 * gatekeeper, or at the same one later. */
bool
bb_retry_reason_is_transient(enum bb_reason r)
{
    switch (r) {
    case BB_REASON_QUEUE_FULL:
    case BB_REASON_CANNOT_FINISH:
    case BB_REASON_SERVICE_LIMIT:
    case BB_REASON_TEAM_LIMIT:
    case BB_REASON_CONNECTION_LIMIT:
    case BB_REASON_WORKER_LIMIT:
    case BB_REASON_NO_UPSTREAM:
    case BB_REASON_UPSTREAM_DRAINING:
    case BB_REASON_UPSTREAM_SHEDDING:
    case BB_REASON_UPSTREAM_STARTING:
    case BB_REASON_SHUTTING_DOWN:
    case BB_REASON_CONNECT_FAILED:
    case BB_REASON_CONNECTION_LOST:
    case BB_REASON_CONNECTION_SILENT:
    case BB_REASON_GATEKEEPER_RESTARTED:
    case BB_REASON_ALREADY_REFUSED:
    case BB_REASON_RECORD_FULL:
    case BB_REASON_KEY_OWNER_CHANGED:
    case BB_REASON_UPSTREAM_BROKEN:
    case BB_REASON_UPSTREAM_SLOW:
        return true;
    default:
        return false;
    }
}

/* Returns the delay before the next retry in microseconds, after a number of
 * attempts: 0 before the first retry, then exponential backoff with full
 * jitter. */
uint64_t
bb_retry_backoff_us(uint32_t attempt_count, uint64_t random_bits)
{
    uint32_t doublings = attempt_count < 2 ? 0 : attempt_count - 2;
    uint64_t limit_us;

    if (attempt_count < 2) {
        return 0;
    }
    if (doublings > BACKOFF_DOUBLINGS_MAX) {
        doublings = BACKOFF_DOUBLINGS_MAX;
    }
    limit_us = (uint64_t)BACKOFF_BASE_US << doublings;
    if (limit_us > BACKOFF_MAX_US) {
        limit_us = BACKOFF_MAX_US;
    }
    return random_bits % (limit_us + 1);
}

/* Decides whether a request is retried: if the failed attempt did not run or
 * the request is idempotent, the reason is transient, the limit is not
 * reached, and the delay plus the expected duration is less than the remaining
 * time. Takes a token if the retry is allowed; if there is none, the reason
 * becomes BB_REASON_RETRY_BUDGET. */
struct bb_retry_decision
bb_retry_decide(const struct bb_failed_request *q, struct bb_retry_budget *b)
{
    struct bb_retry_decision d = {.reason = q->reason};
    bool is_safe = q->ran == BB_RAN_NO || q->is_idempotent;

    if (!is_safe || !bb_retry_reason_is_transient(q->reason) ||
        q->attempt_count > q->retry_limit) {
        return d;
    }
    d.delay_us = bb_retry_backoff_us(q->attempt_count, q->random_bits);
    if (d.delay_us + q->expected_duration_us >= q->remaining_us) {
        return d;
    }
    if (!bb_retry_budget_take(b)) {
        d.reason = BB_REASON_RETRY_BUDGET;
        return d;
    }
    d.is_allowed = true;
    return d;
}

/* Returns after how many microseconds without a response a hedge is sent: the
 * configured delay, or the observed p95 plus a margin, and at least
 * HEDGE_DELAY_MIN_US. */
uint64_t
bb_hedge_delay_us(const struct bb_pending_request *q,
                  const struct bb_duration_stats *latency)
{
    uint64_t us = q->hedge_after_us;

    if (us == 0) {
        us = latency->total < HEDGE_OBSERVATIONS_MIN
                 ? HEDGE_DELAY_DEFAULT_US
                 : bb_duration_stats_quantile_us(latency,
                                                 HEDGE_QUANTILE_PERMILLE) *
                       HEDGE_MARGIN_PERCENT / PERCENT;
    }
    return us < HEDGE_DELAY_MIN_US ? HEDGE_DELAY_MIN_US : us;
}

/* Returns true if a hedge is to be sent now, and takes a token for it. Only
 * idempotent short requests are hedged, after the hedge delay, and if more
 * than the median latency is left until the deadline. */
bool
bb_hedge_decide(const struct bb_pending_request *q,
                const struct bb_duration_stats *latency,
                struct bb_retry_budget *b)
{
    if (!q->is_idempotent || q->work_class != BB_ADMISSION_CLASS_SHORT ||
        q->hedge_count >= q->hedge_limit) {
        return false;
    }
    if (q->elapsed_us < bb_hedge_delay_us(q, latency) ||
        q->remaining_us <= bb_duration_stats_median_us(latency, 0)) {
        return false;
    }
    return bb_retry_budget_take(b);
}

/* Sets *next to the depth of a call nested in one of `depth`. Returns false if
 * it would exceed the limit (0: the default, BB_CALL_DEPTH_MAX, which is also
 * the highest). */
bool
bb_call_depth_next(uint32_t depth, uint32_t limit, uint32_t *next)
{
    if (limit == 0 || limit > BB_CALL_DEPTH_MAX) {
        limit = BB_CALL_DEPTH_MAX;
    }
    if (depth >= limit) {
        return false;
    }
    *next = depth + 1;
    return true;
}

/* Returns the deadline of a call that arrives with a remaining time (0: none
 * given): at most the route's limit_us from now. */
uint64_t
bb_deadline_from_remaining(uint64_t remaining_us, uint64_t limit_us,
                           uint64_t now_us)
{
    uint64_t us =
        remaining_us == 0 || remaining_us > limit_us ? limit_us : remaining_us;

    return us > UINT64_MAX - now_us ? UINT64_MAX : now_us + us;
}

/* Returns the time left until a deadline, 0 if it has passed. */
uint64_t
bb_deadline_remaining_us(uint64_t deadline_us, uint64_t now_us)
{
    return deadline_us > now_us ? deadline_us - now_us : 0;
}

/* Returns the time that a nested call may take: the time left, less a margin
 * for passing on its response: 1/NESTED_MARGIN_DIVISOR of that time, at most
 * NESTED_MARGIN_MAX_US. */
uint64_t
bb_deadline_nested_remaining_us(uint64_t deadline_us, uint64_t now_us)
{
    uint64_t left_us = bb_deadline_remaining_us(deadline_us, now_us);
    uint64_t margin_us = left_us / NESTED_MARGIN_DIVISOR;

    return left_us - (margin_us > NESTED_MARGIN_MAX_US ? NESTED_MARGIN_MAX_US
                                                       : margin_us);
}
