/* Budget of repeated sends for one service, which holds over all hosts
 * together: each host may repeat a share of what it has sent itself, and its
 * part of a fixed allowance. Answers retry storms. */
#ifndef BB_DECIDE_RETRY_WINDOW_H
#define BB_DECIDE_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

enum { BB_RETRY_WINDOW_BUCKETS = 12 };

struct bb_retry_limits {
    uint32_t window_ms;
    uint32_t ratio_permille; /* of the first sends in the window */
    uint32_t allowance;      /* for all hosts together */
    uint32_t hosts;          /* that share the allowance */
};

struct bb_retry_window {
    uint64_t bucket; /* number of the newest bucket */
    uint32_t firsts[BB_RETRY_WINDOW_BUCKETS];
    uint32_t repeats_milli[BB_RETRY_WINDOW_BUCKETS];
};

void bb_retry_window_first(struct bb_retry_window *w,
                           const struct bb_retry_limits *l,
                           uint32_t repeat_permille, uint64_t now_us);
bool bb_retry_window_take(struct bb_retry_window *w,
                          const struct bb_retry_limits *l, uint64_t now_us);

#endif
