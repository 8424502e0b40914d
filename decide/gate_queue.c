/* Admission in front of one upstream. */
#include "decide/gate_queue.h"

#include <string.h>

enum { PERCENT = 100 };

/* Prepares an empty queue. */
void
bb_gate_queue_init(struct bb_gate_queue *q, uint32_t slots)
{
    memset(q, 0, sizeof(*q));
    q->slots = slots;
    q->mean_us = BB_GATE_FIRST_DURATION_US;
}

/* Sets how many requests may run; running ones are not affected. */
void
bb_gate_queue_set_slots(struct bb_gate_queue *q, uint32_t slots)
{
    q->slots = slots;
}

/* Returns the usual duration of a class of requests. */
static uint64_t
usual_us(const struct bb_gate_queue *q, uint32_t class_index)
{
    uint64_t d = q->duration_us[class_index % BB_GATE_CLASSES];

    return d != 0 ? d : q->mean_us;
}

/* Returns the least time that a request is given. Calls of running requests
 * get a chance also with little time: their parent has run already. */
static uint64_t
least_us(const struct bb_gate_queue *q, const struct bb_gate_request *r)
{
    return usual_us(q, r->class_index) *
           (r->is_nested ? BB_GATE_LEAST_NESTED_PERCENT
                         : BB_GATE_LEAST_PERCENT) /
           PERCENT;
}

/* Returns whether a request can be expected to be answered within its aim if
 * it starts now. */
static bool
is_in_time(const struct bb_gate_queue *q, const struct bb_gate_request *r,
           uint64_t now_us)
{
    return r->aim_us >= now_us + usual_us(q, r->class_index);
}

/* Returns whether a goes before b. */
static bool
goes_before(const struct bb_gate_queue *q, const struct bb_gate_request *a,
            const struct bb_gate_request *b, uint64_t now_us)
{
    bool a_in_time = is_in_time(q, a, now_us);
    bool b_in_time = is_in_time(q, b, now_us);

    if (a->rank != b->rank) {
        return a->rank < b->rank;
    }
    if (a_in_time != b_in_time) {
        return a_in_time;
    }
    return a_in_time ? a->aim_us < b->aim_us : a->deadline_us < b->deadline_us;
}

/* Estimates how long a request would wait while all slots are taken, from
 * those that go before it. */
static uint64_t
expected_wait_us(const struct bb_gate_queue *q,
                 const struct bb_gate_request *r, uint64_t now_us)
{
    uint64_t ahead = 0;

    for (uint32_t i = 0; i < q->queued; i++) {
        ahead += !goes_before(q, r, &q->queue[i], now_us);
    }
    return (ahead + 1) * q->mean_us / q->slots;
}

/* Returns whether a request should wait. One that would miss its aim takes
 * the slot of others that would not: it waits only for a short queue. Calls
 * of running requests wait as long as they can, since a refusal would waste
 * what has run already. */
static bool
is_worth_waiting(const struct bb_gate_queue *q,
                 const struct bb_gate_request *r, uint64_t wait_us,
                 uint64_t now_us)
{
    uint64_t usual = usual_us(q, r->class_index);
    uint64_t left_us = r->deadline_us - now_us;

    if (r->is_nested) {
        return wait_us + usual / 2 <= left_us;
    }
    if (now_us + wait_us + usual <= r->aim_us) {
        return wait_us * PERCENT <=
               (r->aim_us - now_us) * BB_GATE_WAIT_PERCENT;
    }
    return q->queued == 0 &&
           (wait_us + usual) * PERCENT <= left_us * BB_GATE_LATE_PERCENT;
}

/* Takes a request that has arrived. Runs only if a slot is free and nothing
 * waits before it, and waits no longer than wait_max_us. */
enum bb_gate_verdict
bb_gate_queue_arrive(struct bb_gate_queue *q, const struct bb_gate_request *r,
                     uint64_t wait_max_us, uint64_t now_us)
{
    uint64_t wait_us;

    if (r->deadline_us <= now_us || q->slots == 0) {
        return BB_GATE_REFUSE;
    }
    if (q->running < q->slots) {
        q->running++;
        return BB_GATE_RUN;
    }
    wait_us = expected_wait_us(q, r, now_us);
    if (wait_us > wait_max_us || q->queued == BB_GATE_QUEUE_MAX ||
        !is_worth_waiting(q, r, wait_us, now_us)) {
        return BB_GATE_REFUSE;
    }
    q->queue[q->queued++] = *r;
    return BB_GATE_WAIT;
}

/* Removes the request at a position. */
static void
remove_at(struct bb_gate_queue *q, uint32_t at)
{
    q->queue[at] = q->queue[--q->queued];
}

/* Returns whether a queued request should be refused now: its deadline is too
 * near, or it will miss its aim and those in time keep all slots busy. */
static bool
is_hopeless(const struct bb_gate_queue *q, const struct bb_gate_request *r,
            uint32_t in_time, uint64_t now_us)
{
    if (now_us + least_us(q, r) >= r->deadline_us) {
        return true;
    }
    return !r->is_nested && in_time >= q->slots && !is_in_time(q, r, now_us);
}

/* Returns the next queued request that is to run, or that can no longer be
 * answered in time. Call until it returns false. */
bool
bb_gate_queue_next(struct bb_gate_queue *q, uint64_t now_us, uint64_t *id,
                   enum bb_gate_verdict *verdict)
{
    uint32_t best = 0;
    uint32_t in_time = 0;

    for (uint32_t i = 0; i < q->queued; i++) {
        in_time += is_in_time(q, &q->queue[i], now_us);
    }
    for (uint32_t i = 0; i < q->queued; i++) {
        const struct bb_gate_request *r = &q->queue[i];

        if (q->slots == 0 || is_hopeless(q, r, in_time, now_us)) {
            *id = r->id;
            *verdict = BB_GATE_REFUSE;
            remove_at(q, i);
            return true;
        }
        if (goes_before(q, r, &q->queue[best], now_us)) {
            best = i;
        }
    }
    if (q->queued == 0 || q->running >= q->slots) {
        return false;
    }
    *id = q->queue[best].id;
    *verdict = BB_GATE_RUN;
    remove_at(q, best);
    q->running++;
    return true;
}

/* Removes a queued request; returns false if it is not queued. */
bool
bb_gate_queue_cancel(struct bb_gate_queue *q, uint64_t id)
{
    for (uint32_t i = 0; i < q->queued; i++) {
        if (q->queue[i].id == id) {
            remove_at(q, i);
            return true;
        }
    }
    return false;
}

/* Moves an average towards a value. */
static uint64_t
average(uint64_t old_us, uint64_t new_us)
{
    return old_us == 0 ? new_us
                       : (old_us * (PERCENT - BB_GATE_AVERAGE_PERCENT) +
                          new_us * BB_GATE_AVERAGE_PERCENT) /
                             PERCENT;
}

/* Frees the slot of a request that has ended. Only whole answers tell how
 * long requests take. */
void
bb_gate_queue_finish(struct bb_gate_queue *q, uint32_t class_index,
                     uint64_t duration_us, bool is_success)
{
    uint64_t *of_class = &q->duration_us[class_index % BB_GATE_CLASSES];

    q->running -= q->running > 0;
    if (is_success) {
        *of_class = average(*of_class, duration_us);
        q->mean_us = average(q->mean_us, duration_us);
    }
}

/* Returns the earliest time at which a queued request has to be refused, or 0
 * if none is queued. */
uint64_t
bb_gate_queue_due_us(const struct bb_gate_queue *q)
{
    uint64_t due_us = 0;

    for (uint32_t i = 0; i < q->queued; i++) {
        uint64_t least = least_us(q, &q->queue[i]);
        uint64_t end_us = q->queue[i].deadline_us;
        uint64_t at_us = end_us > least ? end_us - least : 1;

        if (due_us == 0 || at_us < due_us) {
            due_us = at_us;
        }
    }
    return due_us;
}
