/* Thread pool for the blocking HTTP client. The number of workers busy with
 * calls of depth <= d never exceeds depth_zero_max + extra_per_depth * d. A
 * call at depth d + 1 thus always finds workers that shallower calls can't
 * occupy, and nested calls cannot deadlock.
 *
 * A worker whose caller no longer waits for it is detached, because only the
 * library's timeout can end its call. Up to detached_max such workers don't
 * count against the limit.
 *
 * Times ending in _us are those of bb_clock_now_us.
 *
 * Lock order: the pool's lock is a leaf. */
#ifndef BB_PROXY_WORKERS_H
#define BB_PROXY_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/retry.h"

struct bb_workers_limits {
    uint32_t depth_zero_max;  /* workers for calls of depth 0 */
    uint32_t extra_per_depth; /* additional workers for each level */
    uint32_t detached_max;    /* detached workers beyond this count as busy */
};

struct bb_workers;

/* A unit of work. Initialised to zero by the caller. Must stay valid until
 * bb_workers_finish, and longer if bb_workers_detach can still be called with
 * it. run must call bb_workers_finish exactly once; the pool does not use the
 * work afterwards, so run may then free it. */
struct bb_work {
    void (*run)(void *context);
    void *context;
    uint32_t depth; /* of the call; above BB_CALL_DEPTH_MAX counts as that */
    /* Both are guarded by the pool's lock. */
    bool is_detached;
    bool is_done;
    struct bb_work *next;
};

struct bb_workers *bb_workers_create(const struct bb_workers_limits *limits);
bool bb_workers_submit(struct bb_workers *p, struct bb_work *w,
                       uint64_t deadline_us);
void bb_workers_wake_early(struct bb_workers *p);
bool bb_workers_begin_inline(struct bb_workers *p, struct bb_work *w,
                             uint64_t deadline_us);
bool bb_workers_hand_over(struct bb_workers *p, struct bb_work *w);
void bb_workers_finish(struct bb_workers *p, struct bb_work *w);
void bb_workers_detach(struct bb_workers *p, struct bb_work *w);
bool bb_workers_destroy(struct bb_workers *p, uint32_t timeout_ms);

#endif
