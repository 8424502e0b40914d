/* Adapter of the retry module. Events: configure (retry and hedge budgets),
 * call (first attempts), retry and hedge (request a number of them). */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/registry.h"
#include "decide/retry.h"
#include "replay/replay.h"

enum { PERCENT_MAX = 100, ATTEMPTS_MAX = 1000, TIMES_MAX = 1000000 };

struct state {
    struct bb_retry_budget retries;
    struct bb_retry_budget hedges;
    struct bb_duration_stats latency;
};

static const char *const ran_names[] = {"no", "unknown"};

/* Returns a zeroed state, or NULL if out of memory. */
static void *
create(void)
{
    return calloc(1, sizeof(struct state));
}

/* Sets the retry and hedge budgets in percent of first attempts. */
static bool
configure(struct state *s, struct bb_replay_line *l)
{
    uint64_t retries;
    uint64_t hedges;

    if (!bb_replay_read_number(l, "retry_percent", PERCENT_MAX, &retries) ||
        !bb_replay_read_number(l, "hedge_percent", PERCENT_MAX, &hedges)) {
        return false;
    }
    bb_retry_budget_configure(&s->retries, (uint32_t)retries);
    bb_retry_budget_configure(&s->hedges, (uint32_t)hedges);
    return true;
}

/* Adds first attempts to the budgets, and their latency to the estimate. */
static bool
add_calls(struct state *s, struct bb_replay_line *l)
{
    uint64_t times;
    uint64_t latency_us;

    if (!bb_replay_read_number_or(l, "times", TIMES_MAX, 1, &times) ||
        !bb_replay_read_number_or(l, "latency_us", BB_REPLAY_NUMBER_MAX, 0,
                                  &latency_us)) {
        return false;
    }
    for (uint64_t i = 0; i < times; i++) {
        bb_retry_budget_deposit(&s->retries);
        bb_retry_budget_deposit(&s->hedges);
        if (latency_us > 0) {
            bb_duration_stats_add(&s->latency, latency_us);
        }
    }
    return true;
}

/* Requests a number of retries and reports how many are allowed. */
static bool
request_retries(struct state *s, struct bb_replay_line *l, json_t *result)
{
    struct bb_failed_request q = {0};
    struct bb_retry_decision a = {0};
    const char *reason;
    uint64_t times;
    uint64_t attempts;
    uint64_t limit;
    uint64_t allowed = 0;
    uint32_t ran;

    if (!bb_replay_read_string(l, "reason", &reason) ||
        !bb_replay_read_enum(l, "ran", ran_names, 2, BB_RAN_NO, &ran) ||
        !bb_replay_read_bool_or(l, "idempotent", false, &q.is_idempotent) ||
        !bb_replay_read_number_or(l, "times", TIMES_MAX, 1, &times) ||
        !bb_replay_read_number_or(l, "attempts", ATTEMPTS_MAX, 1, &attempts) ||
        !bb_replay_read_number_or(l, "limit", ATTEMPTS_MAX, 3, &limit) ||
        !bb_replay_read_number_or(l, "remaining_us", BB_REPLAY_NUMBER_MAX,
                                  BB_US_PER_S, &q.remaining_us)) {
        return false;
    }
    if (!bb_reason_parse(reason, &q.reason)) {
        return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                            "unknown reason \"%.64s\"", reason);
    }
    q.ran = (enum bb_ran)ran;
    q.attempt_count = (uint32_t)attempts;
    q.retry_limit = (uint32_t)limit;
    for (uint64_t i = 0; i < times; i++) {
        a = bb_retry_decide(&q, &s->retries);
        allowed += a.is_allowed;
    }
    bb_replay_set_number(result, "allowed", allowed);
    bb_replay_set_string(result, "reason", bb_reason_name(a.reason));
    return true;
}

/* Requests a number of hedges and reports how many are allowed. */
static bool
request_hedges(struct state *s, struct bb_replay_line *l, json_t *result)
{
    struct bb_pending_request q = {.hedge_limit = 1};
    uint64_t times;
    uint64_t allowed = 0;
    bool is_long;

    if (!bb_replay_read_bool_or(l, "idempotent", false, &q.is_idempotent) ||
        !bb_replay_read_bool_or(l, "long", false, &is_long) ||
        !bb_replay_read_number(l, "elapsed_us", BB_REPLAY_NUMBER_MAX,
                               &q.elapsed_us) ||
        !bb_replay_read_number_or(l, "times", TIMES_MAX, 1, &times) ||
        !bb_replay_read_number_or(l, "remaining_us", BB_REPLAY_NUMBER_MAX,
                                  BB_US_PER_S, &q.remaining_us)) {
        return false;
    }
    q.work_class =
        is_long ? BB_ADMISSION_CLASS_LONG : BB_ADMISSION_CLASS_SHORT;
    for (uint64_t i = 0; i < times; i++) {
        allowed += bb_hedge_decide(&q, &s->latency, &s->hedges);
    }
    bb_replay_set_number(result, "allowed", allowed);
    bb_replay_set_number(result, "delay_us",
                         bb_hedge_delay_us(&q, &s->latency));
    return true;
}

/* Applies one event. Returns false with l->error set if it is unknown or
 * invalid. */
static bool
apply(void *state, const char *event, struct bb_replay_line *l, json_t *result)
{
    if (strcmp(event, "configure") == 0) {
        return configure(state, l);
    }
    if (strcmp(event, "call") == 0) {
        return add_calls(state, l);
    }
    if (strcmp(event, "retry") == 0) {
        return request_retries(state, l, result);
    }
    if (strcmp(event, "hedge") == 0) {
        return request_hedges(state, l, result);
    }
    return bb_replay_reject_event(l, event);
}

static const struct bb_replay_module retries = {
    .create = create, .destroy = free, .apply = apply};

BB_PLUGIN(retries, BB_PLUGIN_REPLAY_MODULE, "retry", &retries);
