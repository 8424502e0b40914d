/* Counts the requests of an upstream that states a limit. */
#include "soak.h"

enum {
    /* The rules: from this time after the limit was stated first, in each
     * window. */
    LIMIT_LEARNED_MS = 3000,
    LIMIT_WINDOW_MS = 4000,
    LIMIT_SLACK = 5 /* requests */
};

/* Begins to count for another limit; 0 requests a second: none. */
void
limit_begin(struct limit *l, uint32_t per_s)
{
    *l = (struct limit){.per_s = per_s};
}

/* Records that a response stated the limit. */
void
limit_state(struct limit *l)
{
    if (l->stated_us == 0) {
        l->stated_us = bb_clock_now_us();
    }
}

/* Counts a request. Returns whether the last window holds too many. */
bool
limit_count(struct limit *l)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t from_us = now_us - (uint64_t)LIMIT_WINDOW_MS * BB_US_PER_MS;
    uint32_t max = l->per_s * LIMIT_WINDOW_MS / 1000 * 3 / 2 + LIMIT_SLACK;
    uint32_t count = 0;

    if (l->stated_us == 0 ||
        now_us < l->stated_us + (uint64_t)LIMIT_LEARNED_MS * BB_US_PER_MS) {
        return false;
    }
    l->arrivals_us[l->count++ % SOAK_ARRIVALS_MAX] = now_us;
    for (uint32_t i = 0; i < MIN(l->count, (uint32_t)SOAK_ARRIVALS_MAX); i++) {
        count += l->arrivals_us[i] > from_us;
    }
    return count > max;
}
