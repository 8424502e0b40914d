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
    atomic_uint references;
};

/* Creates a notifier with one reference. */
struct bb_notifier *
bb_notifier_create(void)
{
    struct bb_notifier *w = g_new0(struct bb_notifier, 1);
    pthread_condattr_t attributes;

    (void)pthread_mutex_init(&w->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&w->changed, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    atomic_init(&w->references, 1);
    return w;
}

/* Adds a reference. */
struct bb_notifier *
bb_notifier_ref(struct bb_notifier *w)
{
    (void)atomic_fetch_add(&w->references, 1);
    return w;
}

/* Drops a reference; the last one frees the notifier. NULL is allowed. */
void
bb_notifier_unref(struct bb_notifier *w)
{
    if (w == NULL || atomic_fetch_sub(&w->references, 1) != 1) {
        return;
    }
    (void)pthread_cond_destroy(&w->changed);
    (void)pthread_mutex_destroy(&w->lock);
    g_free(w);
}

/* Locks the notifier, which guards the state of its HTTP calls. */
void
bb_notifier_lock(struct bb_notifier *w)
{
    (void)pthread_mutex_lock(&w->lock);
}

/* Unlocks the notifier. */
void
bb_notifier_unlock(struct bb_notifier *w)
{
    (void)pthread_mutex_unlock(&w->lock);
}

/* Wakes the waiting side. */
void
bb_notifier_signal(struct bb_notifier *w)
{
    (void)pthread_cond_broadcast(&w->changed);
}

/* Waits for a signal until end_us. Returns false on timeout. Called with the
 * lock held. */
bool
bb_notifier_wait(struct bb_notifier *w, uint64_t end_us)
{
    struct timespec end = bb_clock_timespec(end_us);

    return pthread_cond_timedwait(&w->changed, &w->lock, &end) != ETIMEDOUT;
}
