/* Threads that run the blocking HTTP client. The number busy with calls of
 * depth <= d never exceeds base + step * d, so a call at depth d + 1 finds
 * workers that no shallower call can take, and nested calls cannot deadlock.
 *
 * A worker whose caller has gone is detached: it no longer counts against
 * the limit, since the library's timeout alone can end its wait.
 *
 * Lock order: the pool's lock is a leaf. */
#ifndef BB_PROXY_WORKERS_H
#define BB_PROXY_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

enum { BB_DEPTH_MAX = 16 };

struct bb_workers_limits {
    uint32_t depth_zero_max;
    uint32_t extra_per_depth;
    uint32_t detached_max; /* beyond it detached workers count again */
};

struct bb_workers;

/* One unit of work; zeroed and kept by the caller until bb_workers_finish,
 * which run calls last. */
struct bb_work {
    void (*run)(void *context);
    void *context;
    uint32_t depth;
    bool is_detached; /* owned by the pool's lock */
    bool is_done;
    struct bb_work *next;
};

struct bb_workers *bb_workers_create(const struct bb_workers_limits *limits);
bool bb_workers_submit(struct bb_workers *p, struct bb_work *w,
                       uint64_t end_us);
void bb_workers_wake_early(struct bb_workers *p);
bool bb_workers_begin_inline(struct bb_workers *p, struct bb_work *w,
                             uint64_t end_us);
bool bb_workers_hand_over(struct bb_workers *p, struct bb_work *w);
void bb_workers_finish(struct bb_workers *p, struct bb_work *w);
void bb_workers_detach(struct bb_workers *p, struct bb_work *w);
bool bb_workers_destroy(struct bb_workers *p, uint32_t timeout_ms);

#endif
