/* Admission in front of one upstream. Answers load in excess of its slots: a
 * request runs at once on a free slot, waits if it can still be answered in
 * time, or is refused at once, never after waiting in vain.
 *
 * Order of the queue: the urgent ranks first, then those that can still be
 * answered within their aim, the one with the earliest first. */
#ifndef BB_DECIDE_GATE_QUEUE_H
#define BB_DECIDE_GATE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BB_GATE_QUEUE_MAX = 512,
    BB_GATE_CLASSES = 64,
    /* Weight of the newest duration in the moving average, in percent. */
    BB_GATE_AVERAGE_PERCENT = 10,
    /* Part of the time left until the aim that a wait may take: durations
     * vary, and a longer queue serves no more requests. */
    BB_GATE_WAIT_PERCENT = 35,
    /* Part of the time left that wait and run may take where the aim is
     * missed anyway. */
    BB_GATE_LATE_PERCENT = 35,
    /* Part of the usual duration that must be left at the start. */
    BB_GATE_LEAST_PERCENT = 75,
    BB_GATE_LEAST_NESTED_PERCENT = 25,
    /* Assumed duration before the first request has ended. */
    BB_GATE_FIRST_DURATION_US = 100 * 1000
};

enum bb_gate_verdict { BB_GATE_RUN, BB_GATE_WAIT, BB_GATE_REFUSE };

struct bb_gate_request {
    uint64_t id;          /* unique among those queued */
    uint32_t rank;        /* 0: most urgent */
    uint32_t class_index; /* requests that last alike; of their route */
    bool is_nested;
    uint64_t aim_us;      /* time by which the answer is worth most */
    uint64_t deadline_us; /* time after which nobody waits */
};

struct bb_gate_queue {
    uint32_t slots;
    uint32_t running;
    uint32_t queued;
    uint64_t duration_us[BB_GATE_CLASSES]; /* moving averages */
    uint64_t mean_us;                      /* over all classes */
    struct bb_gate_request queue[BB_GATE_QUEUE_MAX];
};

void bb_gate_queue_init(struct bb_gate_queue *q, uint32_t slots);
void bb_gate_queue_set_slots(struct bb_gate_queue *q, uint32_t slots);
enum bb_gate_verdict bb_gate_queue_arrive(struct bb_gate_queue *q,
                                          const struct bb_gate_request *r,
                                          uint64_t wait_max_us,
                                          uint64_t now_us);
bool bb_gate_queue_next(struct bb_gate_queue *q, uint64_t now_us, uint64_t *id,
                        enum bb_gate_verdict *verdict);
bool bb_gate_queue_cancel(struct bb_gate_queue *q, uint64_t id);
void bb_gate_queue_finish(struct bb_gate_queue *q, uint32_t class_index,
                          uint64_t duration_us, bool is_success);
uint64_t bb_gate_queue_due_us(const struct bb_gate_queue *q);

#endif
