/* Hedges: an additional attempt in parallel to a slow one. */
#include "common/clock.h"
#include "common/counters.h"
#include "proxy/internal.h"

BB_COUNTER(hedges_total, "baobab_hedges_total", "Second attempts sent");

/* Returns whether a hedge may be started; if so, sets *q and the time at which
 * to start it. */
bool
bb_exchange_can_hedge(const struct bb_exchange *x, struct bb_hedge_request *q,
                      uint64_t *at_us)
{
    uint64_t now_us = bb_clock_now_us();

    if (x->is_forwarded || !x->is_idempotent || x->body != NULL ||
        bb_exchange_active_attempts(x) != 1 ||
        x->hedge_count >= x->route->hedge_limit ||
        x->service->usable_gatekeeper_count < 2) {
        return false;
    }
    *q = (struct bb_hedge_request){
        .service = x->service_name,
        .is_idempotent = true,
        .work_class = x->work_class,
        .hedge_count = x->hedge_count,
        .hedge_limit = x->route->hedge_limit,
        .elapsed_us = now_us - x->start_us,
        .remaining_us = x->deadline_us > now_us ? x->deadline_us - now_us : 0,
        .hedge_after_us = (uint64_t)x->route->hedge_after_ms * BB_US_PER_MS,
    };
    *at_us = x->start_us + bb_picker_hedge_delay_us(x->proxy->picker, q);
    return true;
}

/* Starts a hedge if its time has come and the hedge budget allows it. */
void
bb_exchange_try_hedge(struct bb_exchange *x)
{
    struct bb_hedge_request q;
    uint64_t at_us;
    struct bb_attempt *active = &x->attempts[x->attempts[0].is_active ? 0 : 1];
    struct bb_attempt *hedge = &x->attempts[x->attempts[0].is_active ? 1 : 0];
    uint32_t excluded_count = x->excluded_count;

    if (!bb_exchange_can_hedge(x, &q, &at_us) || bb_clock_now_us() < at_us) {
        return;
    }
    x->hedge_count++; /* counts even if the budget refuses it */
    if (!bb_picker_try_hedge(x->proxy->picker, &q)) {
        return;
    }
    bb_exchange_exclude_gatekeeper(x, active->host_key);
    bb_exchange_start_attempt(x, hedge, true);
    x->excluded_count = excluded_count;
    if (hedge->is_active && hedge->host_key == active->host_key) {
        bb_exchange_finish_attempt(x, hedge, BB_ATTEMPT_CANCELLED);
        return;
    }
    bb_counter_add(&hedges_total, hedge->is_active);
}
