#include "decide/upstream_limit.h"

enum {
    /* Stands for "never" in sums of times that must not overflow. */
    INTERVAL_MAX_US = 3600u * 1000 * 1000
};

static const uint64_t US_TIMES_MRPS = 1000000000; /* one request */

/* Returns the time between two requests at a rate; an hour at most, also for
 * rate 0. */
uint64_t
bb_upstream_limit_interval_us(uint32_t rate_mrps)
{
    uint64_t interval_us =
        rate_mrps != 0 ? US_TIMES_MRPS / rate_mrps : INTERVAL_MAX_US;

    return interval_us < INTERVAL_MAX_US ? interval_us : INTERVAL_MAX_US;
}

/* Sets the rate. A time to wait that is due to a lower one is shortened. */
static void
set_rate(struct bb_upstream_limit *l, uint32_t rate_mrps, uint64_t now_us)
{
    uint64_t latest_us = now_us + bb_upstream_limit_interval_us(rate_mrps);

    l->rate_mrps = rate_mrps;
    if (l->next_us > latest_us) {
        l->next_us = latest_us;
    }
}

/* Applies what the response states to a request that was sent at sent_us. A
 * first or lower limit holds at once. A higher one, and the end of the limit,
 * is believed only if the request was sent after the limit was stated last:
 * the responses of earlier requests may be older than the limit. Returns
 * whether the limit has changed. */
bool
bb_upstream_limit_update(struct bb_upstream_limit *l,
                         const struct bb_limit_report *r, uint64_t sent_us,
                         uint64_t now_us)
{
    bool is_newer = sent_us >= l->stated_us;
    struct bb_upstream_limit before = *l;

    switch (r->statement) {
    case BB_LIMIT_INVALID:
        break;
    case BB_LIMIT_NONE:
        if (l->is_limited && is_newer) {
            *l = (struct bb_upstream_limit){0};
        }
        break;
    case BB_LIMIT_STATED:
        if (!l->is_limited) {
            *l = (struct bb_upstream_limit){.is_limited = true,
                                            .rate_mrps = r->rate_mrps,
                                            .began_us = now_us,
                                            .next_us = now_us};
        }
        else if (r->rate_mrps < l->rate_mrps || is_newer) {
            set_rate(l, r->rate_mrps, now_us);
        }
        l->stated_us = now_us;
        break;
    }
    return before.is_limited != l->is_limited ||
           before.rate_mrps != l->rate_mrps;
}

/* Counts a request that is sent to the upstream, also one that may not wait
 * for its turn. */
void
bb_upstream_limit_count(struct bb_upstream_limit *l, uint64_t now_us)
{
    if (!l->is_limited) {
        return;
    }
    if (l->next_us + BB_UPSTREAM_LIMIT_BURST_US < now_us) {
        l->next_us = now_us - BB_UPSTREAM_LIMIT_BURST_US;
    }
    l->next_us += bb_upstream_limit_interval_us(l->rate_mrps);
}

/* Returns how long a request waits for its turn behind `ahead` others; 0
 * without a limit. At rate 0 it waits an hour at least. */
uint64_t
bb_upstream_limit_wait_us(const struct bb_upstream_limit *l, uint32_t ahead,
                          uint64_t now_us)
{
    uint64_t from_us = l->next_us;
    uint64_t turn_us;

    if (!l->is_limited) {
        return 0;
    }
    if (l->rate_mrps == 0) {
        return INTERVAL_MAX_US;
    }
    if (from_us + BB_UPSTREAM_LIMIT_BURST_US < now_us) {
        from_us = now_us - BB_UPSTREAM_LIMIT_BURST_US;
    }
    turn_us = from_us + ahead * bb_upstream_limit_interval_us(l->rate_mrps);
    return turn_us > now_us ? turn_us - now_us : 0;
}

/* Returns after what time a refused caller comes back, so that callers return
 * one after the other at the rate, none before wait_us. */
uint64_t
bb_return_schedule_take(struct bb_return_schedule *s, uint32_t rate_mrps,
                        uint64_t wait_us, uint64_t now_us)
{
    uint64_t latest_us = now_us + BB_RETURN_SCHEDULE_MAX_US;
    uint64_t at_us = now_us + wait_us;

    if (at_us < s->next_us) {
        at_us = s->next_us;
    }
    if (at_us > latest_us) {
        at_us = latest_us;
    }
    s->next_us = at_us + bb_upstream_limit_interval_us(rate_mrps);
    return at_us - now_us;
}
