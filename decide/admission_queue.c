#include <string.h>

#include "common/clock.h"
#include "decide/admission_capacity.h"

enum {
    PERCENT = 100,
    /* A standing queue with a longer wait takes more than a second to drain
     * after a burst at 80% load, and serves callers no better. */
    MAX_WAIT_MS_DEFAULT = 200,
    /* Maximum wait of long requests, as a multiple of their mean duration. */
    LONG_WAIT_DURATIONS = 4
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

/* Inserts a request into the queue in order of deadline, and of arrival among
 * equal deadlines. The caller has checked that the queue has space. */
void
bb_admission_enqueue(struct bb_admission *a,
                     const struct bb_admission_request *r)
{
    uint32_t position = a->queued_count;

    while (position > 0 &&
           a->queue[position - 1].request.deadline_us > r->deadline_us) {
        position--;
    }
    memmove(&a->queue[position + 1], &a->queue[position],
            (a->queued_count - position) * sizeof(a->queue[0]));
    a->queue[position] = (struct bb_admission_queued){.request = *r};
    a->queued_count++;
}

/* Removes the request at a position in the queue. */
void
bb_admission_remove_queued(struct bb_admission *a, uint32_t position)
{
    if (a->queue[position].is_evicted) {
        a->evicted_count--;
    }
    a->queued_count--;
    memmove(&a->queue[position], &a->queue[position + 1],
            (a->queued_count - position) * sizeof(a->queue[0]));
}

/* Counts the queued requests of a class, without evicted ones, whose deadline
 * is not after deadline_us. */
uint32_t
bb_admission_count_ahead(const struct bb_admission *a,
                         enum bb_admission_class work_class,
                         uint64_t deadline_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < a->queued_count; i++) {
        const struct bb_admission_queued *q = &a->queue[i];

        if (q->request.deadline_us > deadline_us) {
            break;
        }
        if (!q->is_evicted && q->request.work_class == work_class) {
            count++;
        }
    }
    return count;
}

/* Marks as evicted the first queued request that cannot run now and is
 * expected to miss its deadline. only_long: considers long requests only, for
 * when it is their limit that is reached. Returns false if there is none. */
bool
bb_admission_evict_infeasible(struct bb_admission *a,
                              const struct bb_admission_capacity *c,
                              bool only_long, uint64_t now_us)
{
    uint32_t ahead[BB_ADMISSION_CLASS_COUNT] = {0};

    for (uint32_t i = 0; i < a->queued_count; i++) {
        struct bb_admission_queued *q = &a->queue[i];
        enum bb_admission_class work_class = q->request.work_class;

        if (q->is_evicted) {
            continue;
        }
        if ((!only_long || work_class == BB_ADMISSION_CLASS_LONG) &&
            !bb_admission_can_run(a, c, &q->request) &&
            !bb_admission_can_meet_deadline(
                a, &q->request,
                bb_admission_expected_wait_us(a, c, work_class,
                                              ahead[work_class]),
                now_us)) {
            q->is_evicted = true;
            a->evicted_count++;
            return true;
        }
        ahead[work_class]++;
    }
    return false;
}

/* Returns how many long requests the queue may hold: the same share as of the
 * slots, and at least one. */
static uint32_t
max_queued_long(const struct bb_admission *a)
{
    uint64_t limit = (uint64_t)a->limits.queue_length *
                     min_u32(a->limits.long_work_percent, PERCENT) / PERCENT;

    return limit == 0 && a->limits.queue_length > 0 ? 1 : (uint32_t)limit;
}

/* Returns the longest expected wait, in microseconds, with which a request of
 * a class is queued. It is at least the configured wait. Long requests may
 * wait LONG_WAIT_DURATIONS times their mean duration, as they would hardly
 * ever be queued otherwise, short ones at least one mean duration. */
uint64_t
bb_admission_max_wait_us(const struct bb_admission *a,
                         enum bb_admission_class work_class)
{
    uint64_t max_wait_ms = a->limits.queue_wait_ms > 0
                               ? a->limits.queue_wait_ms
                               : MAX_WAIT_MS_DEFAULT;
    uint64_t max_wait_us = max_wait_ms * BB_US_PER_MS;
    uint64_t duration_us = bb_admission_mean_duration_us(a, work_class);

    if (work_class == BB_ADMISSION_CLASS_LONG) {
        duration_us *= LONG_WAIT_DURATIONS;
    }
    return duration_us > max_wait_us ? duration_us : max_wait_us;
}

/* Estimates how long a request would wait in the queue, in microseconds. */
uint64_t
bb_admission_request_wait_us(const struct bb_admission *a,
                             const struct bb_admission_capacity *c,
                             const struct bb_admission_request *r)
{
    return bb_admission_expected_wait_us(
        a, c, r->work_class,
        bb_admission_count_ahead(a, r->work_class, r->deadline_us));
}

/* Returns whether a request may be added to the queue. If the queue is full,
 * or full of long requests for a long one, it evicts a request that is
 * expected to miss its deadline first, and returns false if there is none. */
bool
bb_admission_make_queue_space(struct bb_admission *a,
                              const struct bb_admission_capacity *c,
                              const struct bb_admission_request *r,
                              uint64_t now_us)
{
    uint32_t queued = a->queued_count - a->evicted_count;
    bool is_long_full =
        r->work_class == BB_ADMISSION_CLASS_LONG &&
        bb_admission_count_ahead(a, BB_ADMISSION_CLASS_LONG, UINT64_MAX) >=
            max_queued_long(a);

    if (a->queued_count >= BB_ADMISSION_QUEUE_MAX) {
        return false;
    }
    if (queued < a->limits.queue_length && !is_long_full) {
        return true;
    }
    return a->limits.queue_length > 0 &&
           bb_admission_evict_infeasible(a, c, is_long_full, now_us);
}
