/* Budget of repeated sends. */
#include "decide/retry_window.h"

#include <string.h>

enum {
    US_PER_MS = 1000,
    PERMILLE = 1000,
    /* Used share of the budget: calls made by a repeated run count as
     * repeats at the service that they call, unseen by this host. */
    USED_PERMILLE = 600
};

/* Empties the buckets that have left the window. */
static void
advance(struct bb_retry_window *w, const struct bb_retry_limits *l,
        uint64_t now_us)
{
    uint64_t length_us =
        (uint64_t)l->window_ms * US_PER_MS / BB_RETRY_WINDOW_BUCKETS;
    uint64_t bucket = now_us / (length_us != 0 ? length_us : 1);

    if (bucket - w->bucket >= BB_RETRY_WINDOW_BUCKETS) {
        memset(w, 0, sizeof(*w));
        w->bucket = bucket;
        return;
    }
    while (w->bucket < bucket) {
        w->bucket++;
        w->firsts[w->bucket % BB_RETRY_WINDOW_BUCKETS] = 0;
        w->repeats[w->bucket % BB_RETRY_WINDOW_BUCKETS] = 0;
    }
}

/* Counts the first send of a request. */
void
bb_retry_window_first(struct bb_retry_window *w,
                      const struct bb_retry_limits *l, uint64_t now_us)
{
    advance(w, l, now_us);
    w->firsts[w->bucket % BB_RETRY_WINDOW_BUCKETS]++;
}

/* Takes one repeat out of the budget; returns false if it is spent. */
bool
bb_retry_window_take(struct bb_retry_window *w,
                     const struct bb_retry_limits *l, uint64_t now_us)
{
    uint64_t firsts = 0;
    uint64_t repeats = 0;
    uint64_t budget_milli;

    advance(w, l, now_us);
    for (uint32_t i = 0; i < BB_RETRY_WINDOW_BUCKETS; i++) {
        firsts += w->firsts[i];
        repeats += w->repeats[i];
    }
    budget_milli =
        firsts * l->ratio_permille +
        (uint64_t)l->allowance * PERMILLE / (l->hosts != 0 ? l->hosts : 1);
    if ((repeats + 1) * PERMILLE > budget_milli * USED_PERMILLE / PERMILLE) {
        return false;
    }
    w->repeats[w->bucket % BB_RETRY_WINDOW_BUCKETS]++;
    return true;
}
