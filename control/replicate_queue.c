/* A queue between threads. GAsyncQueue is not used, as the thread sanitizer
 * does not see its locks. */
#include <errno.h>

#include "common/clock.h"
#include "replicate_internal.h"

/* Initialises an empty queue. */
void
replicate_queue_init(struct replicate_queue *q)
{
    pthread_condattr_t attributes;

    (void)pthread_mutex_init(&q->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&q->not_empty, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    g_queue_init(&q->items);
}

/* Frees the items and what the queue allocated; no thread may be using it. */
void
replicate_queue_clear(struct replicate_queue *q, void (*free_item)(void *))
{
    void *item;

    while ((item = g_queue_pop_head(&q->items)) != NULL) {
        free_item(item);
    }
    (void)pthread_cond_destroy(&q->not_empty);
    (void)pthread_mutex_destroy(&q->lock);
}

/* Appends an item. If the queue then has more than max items, the oldest is
 * removed and returned to be freed, else NULL. */
void *
replicate_queue_push(struct replicate_queue *q, void *item, uint32_t max)
{
    void *oldest = NULL;

    (void)pthread_mutex_lock(&q->lock);
    g_queue_push_tail(&q->items, item);
    if (g_queue_get_length(&q->items) > max) {
        oldest = g_queue_pop_head(&q->items);
    }
    (void)pthread_cond_signal(&q->not_empty);
    (void)pthread_mutex_unlock(&q->lock);
    return oldest;
}

/* Removes and returns the oldest item. Waits for one until a time of the
 * monotonic clock; returns NULL if none came. */
void *
replicate_queue_pop(struct replicate_queue *q, uint64_t until_us)
{
    struct timespec until = bb_clock_to_timespec(until_us);
    void *item;

    (void)pthread_mutex_lock(&q->lock);
    while (g_queue_is_empty(&q->items) &&
           pthread_cond_timedwait(&q->not_empty, &q->lock, &until) !=
               ETIMEDOUT) {
    }
    item = g_queue_pop_head(&q->items);
    (void)pthread_mutex_unlock(&q->lock);
    return item;
}

/* Returns the number of items. */
uint32_t
replicate_queue_length(struct replicate_queue *q)
{
    uint32_t length;

    (void)pthread_mutex_lock(&q->lock);
    length = g_queue_get_length(&q->items);
    (void)pthread_mutex_unlock(&q->lock);
    return length;
}
