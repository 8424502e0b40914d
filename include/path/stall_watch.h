/* Observes the requests that a gate has sent to its upstream, and reports
 * those that are stalled (decide/silence). */
#ifndef BB_PATH_STALL_WATCH_H
#define BB_PATH_STALL_WATCH_H

#include <stdint.h>
#include <uv.h>

enum {
    /* Interval at which the requests are looked at while there are any; short
     * against the age of a stalled request. */
    BB_STALL_WATCH_INTERVAL_MS = 50
};

struct bb_stall_watch;

struct bb_stall_watch_settings {
    /* A request is stalled; it is no longer observed. Called from the loop. */
    void (*stalled)(void *context, uint64_t id);
    void *context;
};

struct bb_stall_watch *
bb_stall_watch_create(uv_loop_t *loop,
                      const struct bb_stall_watch_settings *s);
void bb_stall_watch_reset(struct bb_stall_watch *w);
void bb_stall_watch_send(struct bb_stall_watch *w, uint64_t id,
                         uint32_t class_index);
void bb_stall_watch_answer(struct bb_stall_watch *w, uint64_t id);
void bb_stall_watch_expire(struct bb_stall_watch *w, uint64_t id);
void bb_stall_watch_drop(struct bb_stall_watch *w, uint64_t id);
uint32_t bb_stall_watch_slots(struct bb_stall_watch *w, uint32_t slots);
void bb_stall_watch_destroy(struct bb_stall_watch *w);

#endif
