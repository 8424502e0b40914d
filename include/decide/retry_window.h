/* Retry budget of one service over a sliding window, against retry storms, for
 * the entry nodes of baobab-proxy (those of baobab-node use decide/retry.h).
 * It holds for all hosts together without coordination: the budget of each
 * host is a share of its own first attempts, plus its part of a fixed
 * allowance. Half of the budget is kept as a reserve, for nested calls of
 * retried requests, which other hosts send without a limit, and because a host
 * learns late how many others share the allowance.
 *
 * Times are microseconds of one clock that never goes back. The caller
 * serialises the calls on each struct. */
#ifndef BB_DECIDE_RETRY_WINDOW_H
#define BB_DECIDE_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/* Ten buckets for the window, and two more in which retries still count. */
enum { BB_RETRY_WINDOW_BUCKET_COUNT = 12 };

struct bb_retry_window_limits {
    uint32_t window_ms;      /* above 0 */
    uint32_t ratio_permille; /* retries per first attempt in the window */
    uint32_t allowance;      /* retries in the window, of all hosts together */
    uint32_t host_count;     /* hosts that share the allowance; 0: 1 */
};

/* Counts by time bucket. A zeroed struct is an empty one. */
struct bb_retry_window {
    uint64_t bucket; /* number of the newest bucket */
    uint32_t first_attempts[BB_RETRY_WINDOW_BUCKET_COUNT];
    /* Thousandths of a retry. */
    uint32_t retries_milli[BB_RETRY_WINDOW_BUCKET_COUNT];
};

void
bb_retry_window_count_first_attempt(struct bb_retry_window *w,
                                    const struct bb_retry_window_limits *l,
                                    uint32_t retry_permille, uint64_t now_us);
bool bb_retry_window_take(struct bb_retry_window *w,
                          const struct bb_retry_window_limits *l,
                          uint64_t now_us);

#endif
