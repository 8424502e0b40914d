/* A mutex and condition variable shared by a waiting request and the threads
 * that run its HTTP calls. */
#include <errno.h>
#include <glib.h>
#include <stdatomic.h>

#include "common/clock.h"
#include "proxy/http_client.h"

struct bb_notifier {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    atomic_uint reference_count;
};

/* Creates a notifier with one reference. */
struct bb_notifier *
bb_notifier_create(void)
{
    struct bb_notifier *n = g_new0(struct bb_notifier, 1);
    pthread_condattr_t attributes;

    (void)pthread_mutex_init(&n->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&n->changed, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    atomic_init(&n->reference_count, 1);
    return n;
}

/* Adds a reference. */
struct bb_notifier *
bb_notifier_ref(struct bb_notifier *n)
{
    (void)atomic_fetch_add(&n->reference_count, 1);
    return n;
}

/* Drops a reference; the last one frees the notifier. NULL is allowed. */
void
bb_notifier_unref(struct bb_notifier *n)
{
    if (n == NULL || atomic_fetch_sub(&n->reference_count, 1) != 1) {
        return;
    }
    (void)pthread_cond_destroy(&n->changed);
    (void)pthread_mutex_destroy(&n->lock);
    g_free(n);
}

/* Locks the notifier, which guards the state of its HTTP calls. */
void
bb_notifier_lock(struct bb_notifier *n)
{
    (void)pthread_mutex_lock(&n->lock);
}

/* Unlocks the notifier. */
void
bb_notifier_unlock(struct bb_notifier *n)
{
    (void)pthread_mutex_unlock(&n->lock);
}

/* Wakes all threads in bb_notifier_wait. Can be called without the lock. */
void
bb_notifier_signal(struct bb_notifier *n)
{
    (void)pthread_cond_broadcast(&n->changed);
}

/* Waits for a signal until deadline_us. Returns false on timeout. Called with
 * the lock held. */
bool
bb_notifier_wait(struct bb_notifier *n, uint64_t deadline_us)
{
    struct timespec deadline = bb_clock_to_timespec(deadline_us);

    return pthread_cond_timedwait(&n->changed, &n->lock, &deadline) !=
           ETIMEDOUT;
}
