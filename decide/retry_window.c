#include "decide/retry_window.h"

#include <string.h>

#include "common/clock.h"

enum {
    PERMILLE = 1000,
    /* Share of the budget that is used. The rest is a reserve: nested calls of
     * retried requests come on top at other hosts, where they are not limited,
     * and a host learns late how many others share the allowance. */
    USABLE_PERMILLE = 500,
    /* First attempts are counted over the window, retries over two more
     * buckets, as the budget must hold in every interval of the window's
     * length. */
    FIRST_ATTEMPT_BUCKETS = BB_RETRY_WINDOW_BUCKET_COUNT - 2
};

/* Moves the window to now_us and clears the buckets that have left it. */
static void
drop_old_buckets(struct bb_retry_window *w,
                 const struct bb_retry_window_limits *l, uint64_t now_us)
{
    uint64_t length_us =
        (uint64_t)l->window_ms * BB_US_PER_MS / FIRST_ATTEMPT_BUCKETS;
    uint64_t bucket = now_us / (length_us != 0 ? length_us : 1);

    if (bucket - w->bucket >= BB_RETRY_WINDOW_BUCKET_COUNT) {
        memset(w, 0, sizeof(*w));
        w->bucket = bucket;
        return;
    }
    while (w->bucket < bucket) {
        w->bucket++;
        w->first_attempts[w->bucket % BB_RETRY_WINDOW_BUCKET_COUNT] = 0;
        w->retries_milli[w->bucket % BB_RETRY_WINDOW_BUCKET_COUNT] = 0;
    }
}

/* Counts the first attempt of a request. retry_permille is the probability
 * that the request was sent by an upstream that runs a retried request; to
 * that extent it counts as a retry too. */
void
bb_retry_window_count_first_attempt(struct bb_retry_window *w,
                                    const struct bb_retry_window_limits *l,
                                    uint32_t retry_permille, uint64_t now_us)
{
    uint32_t current;

    drop_old_buckets(w, l, now_us);
    current = w->bucket % BB_RETRY_WINDOW_BUCKET_COUNT;
    w->first_attempts[current]++;
    w->retries_milli[current] += retry_permille;
}

/* Takes one retry from the budget. Returns false if the budget is used up. */
bool
bb_retry_window_take(struct bb_retry_window *w,
                     const struct bb_retry_window_limits *l, uint64_t now_us)
{
    uint64_t first_attempts = 0;
    uint64_t retries_milli = 0;
    uint64_t budget_milli;

    drop_old_buckets(w, l, now_us);
    for (uint32_t i = 0; i < BB_RETRY_WINDOW_BUCKET_COUNT; i++) {
        uint32_t slot =
            (uint32_t)((w->bucket + BB_RETRY_WINDOW_BUCKET_COUNT - i) %
                       BB_RETRY_WINDOW_BUCKET_COUNT);

        first_attempts +=
            i < FIRST_ATTEMPT_BUCKETS ? w->first_attempts[slot] : 0;
        retries_milli += w->retries_milli[slot];
    }
    budget_milli = first_attempts * l->ratio_permille +
                   (uint64_t)l->allowance * PERMILLE /
                       (l->host_count != 0 ? l->host_count : 1);
    if (retries_milli + PERMILLE > budget_milli * USABLE_PERMILLE / PERMILLE) {
        return false;
    }
    w->retries_milli[w->bucket % BB_RETRY_WINDOW_BUCKET_COUNT] += PERMILLE;
    return true;
}
