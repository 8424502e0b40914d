#include "proxy/workers.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

enum {
    STACK_BYTES = 256 * 1024,
    IDLE_MAX_S = 30,
    /* How long a worker woken early spins for work. Slightly longer than
     * reading and routing the head of a request takes. */
    SPIN_US = 80
};

BB_GAUGE(busy_gauge, "baobab_workers_busy", "Workers that run a call");
BB_GAUGE(detached_gauge, "baobab_workers_detached",
         "Workers whose caller has gone");

/* What a worker thread needs to wait for work. It is not freed when the thread
 * ends but kept for a later one, because another thread may still signal wake,
 * which is done without the lock. */
struct idle_worker {
    pthread_cond_t wake;
    _Atomic(struct bb_work *) work;
    bool is_woken_early;
    struct idle_worker *next;
};

struct bb_workers {
    pthread_mutex_t lock;
    pthread_cond_t capacity_freed; /* also signalled when a thread ends */
    struct bb_workers_limits limits;
    uint32_t busy_count[BB_CALL_DEPTH_MAX + 1]; /* by depth, not detached */
    uint32_t detached_count;
    uint32_t thread_count;
    uint32_t waiting_count;
    struct idle_worker *free_list;
    struct idle_worker *idle_stack; /* last in, first out: warm caches */
    bool is_stopping;
};

/* Initialises a condition variable that uses the monotonic clock. */
static void
init_condition(pthread_cond_t *c)
{
    pthread_condattr_t attributes;

    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(c, &attributes);
    (void)pthread_condattr_destroy(&attributes);
}

/* Creates a pool. Threads are started on demand. */
struct bb_workers *
bb_workers_create(const struct bb_workers_limits *limits)
{
    struct bb_workers *p = g_new0(struct bb_workers, 1);

    (void)pthread_mutex_init(&p->lock, NULL);
    init_condition(&p->capacity_freed);
    p->limits = *limits;
    return p;
}

/* Returns whether one more call of this depth stays within the limits of all
 * depths d >= depth, since it counts towards each of them. Called with the
 * lock held. */
static bool
has_capacity(const struct bb_workers *p, uint32_t depth)
{
    uint32_t extra = p->detached_count > p->limits.detached_max
                         ? p->detached_count - p->limits.detached_max
                         : 0;
    uint32_t sum = extra;

    for (uint32_t d = 0; d <= BB_CALL_DEPTH_MAX; d++) {
        sum += p->busy_count[d];
        if (d >= depth &&
            sum >= p->limits.depth_zero_max + p->limits.extra_per_depth * d) {
            return false;
        }
    }
    return true;
}

/* Updates the metrics. Called with the lock held. */
static void
update_gauges(const struct bb_workers *p)
{
    uint64_t sum = 0;

    for (uint32_t d = 0; d <= BB_CALL_DEPTH_MAX; d++) {
        sum += p->busy_count[d];
    }
    bb_counter_set(&busy_gauge, sum);
    bb_counter_set(&detached_gauge, p->detached_count);
}

/* Removes finished work from the counts. Called with the lock held. */
static void
remove_from_counts(struct bb_workers *p, struct bb_work *w)
{
    w->is_done = true;
    if (w->is_detached) {
        p->detached_count--;
    }
    else {
        p->busy_count[w->depth]--;
    }
    update_gauges(p);
    if (p->waiting_count > 0) {
        (void)pthread_cond_broadcast(&p->capacity_freed);
    }
}

/* Removes a thread from the idle stack. Called with the lock held. */
static void
remove_from_idle_stack(struct bb_workers *p, const struct idle_worker *self)
{
    struct idle_worker **link = &p->idle_stack;

    while (*link != NULL && *link != self) {
        link = &(*link)->next;
    }
    if (*link != NULL) {
        *link = self->next;
    }
}

/* Spins for work for a short time. Called with the lock held, which is
 * released meanwhile. */
static void
spin_for_work(struct bb_workers *p, struct idle_worker *self)
{
    uint64_t end_us = bb_clock_now_us() + SPIN_US;

    (void)pthread_mutex_unlock(&p->lock);
    while (atomic_load(&self->work) == NULL && bb_clock_now_us() < end_us) {
    }
    (void)pthread_mutex_lock(&p->lock);
    self->is_woken_early = false;
}

/* Waits for work. Returns NULL after IDLE_MAX_S or when the pool stops. Called
 * with the lock held. */
static struct bb_work *
wait_for_work(struct bb_workers *p, struct idle_worker *self)
{
    struct timespec end = bb_clock_to_timespec(
        bb_clock_now_us() + (uint64_t)IDLE_MAX_S * BB_US_PER_S);

    self->work = NULL;
    self->is_woken_early = false;
    self->next = p->idle_stack;
    p->idle_stack = self;
    while (self->work == NULL && !p->is_stopping) {
        if (self->is_woken_early) {
            spin_for_work(p, self);
            continue;
        }
        if (pthread_cond_timedwait(&self->wake, &p->lock, &end) == ETIMEDOUT &&
            self->work == NULL) {
            break;
        }
    }
    if (self->work == NULL) {
        remove_from_idle_stack(p, self);
    }
    return self->work;
}

/* Returns the idle state for a new thread, from the free list if possible.
 * Called with the lock held. */
static struct idle_worker *
pop_free_list(struct bb_workers *p)
{
    struct idle_worker *w = p->free_list;

    if (w != NULL) {
        p->free_list = w->next;
    }
    else {
        w = g_new0(struct idle_worker, 1);
        init_condition(&w->wake);
    }
    return w;
}

/* Argument of run_worker, which frees it. */
struct thread_start {
    struct bb_workers *pool;
    struct bb_work *work;
};

/* Thread main function: runs units of work until none arrives for IDLE_MAX_S.
 */
static void *
run_worker(void *argument)
{
    struct thread_start start = *(struct thread_start *)argument;
    struct bb_workers *p = start.pool;
    struct bb_work *w = start.work;
    struct idle_worker *self;

    g_free(argument);
    (void)pthread_mutex_lock(&p->lock);
    self = pop_free_list(p);
    while (w != NULL) {
        void (*run)(void *) = w->run;
        void *context = w->context;

        (void)pthread_mutex_unlock(&p->lock);
        run(context);
        (void)pthread_mutex_lock(&p->lock);
        w = wait_for_work(p, self);
    }
    p->thread_count--;
    self->next = p->free_list;
    p->free_list = self;
    (void)pthread_cond_broadcast(&p->capacity_freed);
    (void)pthread_mutex_unlock(&p->lock);
    return NULL;
}

/* Starts a thread with its first unit of work. Returns false if it cannot be
 * created. Called with the lock held. */
static bool
start_thread(struct bb_workers *p, struct bb_work *w)
{
    struct thread_start *start = g_new0(struct thread_start, 1);
    pthread_attr_t attributes;
    pthread_t thread;
    int result;

    *start = (struct thread_start){.pool = p, .work = w};
    (void)pthread_attr_init(&attributes);
    (void)pthread_attr_setstacksize(&attributes, STACK_BYTES);
    (void)pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    result = pthread_create(&thread, &attributes, run_worker, start);
    (void)pthread_attr_destroy(&attributes);
    if (result != 0) {
        g_free(start);
        return false;
    }
    p->thread_count++;
    return true;
}

/* Waits for capacity until deadline_us and counts the work as running. Returns
 * false on timeout or when the pool stops. Called with the lock held. */
static bool
acquire_capacity(struct bb_workers *p, struct bb_work *w, uint64_t deadline_us)
{
    struct timespec deadline = bb_clock_to_timespec(deadline_us);

    w->depth = MIN(w->depth, (uint32_t)BB_CALL_DEPTH_MAX);
    while (!p->is_stopping && !has_capacity(p, w->depth)) {
        int result;

        p->waiting_count++;
        result =
            pthread_cond_timedwait(&p->capacity_freed, &p->lock, &deadline);
        p->waiting_count--;
        if (result == ETIMEDOUT && !has_capacity(p, w->depth)) {
            return false;
        }
    }
    if (p->is_stopping) {
        return false;
    }
    p->busy_count[w->depth]++;
    update_gauges(p);
    return true;
}

/* Assigns work to an idle thread or a new one. Returns false if no thread can
 * be started. Called with the lock held; *idle, if not NULL, must be signalled
 * after the unlock. */
static bool
assign_work(struct bb_workers *p, struct bb_work *w, struct idle_worker **idle)
{
    *idle = p->idle_stack;
    if (*idle == NULL) {
        return start_thread(p, w);
    }
    p->idle_stack = (*idle)->next;
    (*idle)->work = w;
    return true;
}

/* Submits work to a worker, waiting for capacity until deadline_us. run must
 * call bb_workers_finish exactly once. Returns false, without running the
 * work, on timeout, when the pool stops, or if no thread can be started. */
bool
bb_workers_submit(struct bb_workers *p, struct bb_work *w,
                  uint64_t deadline_us)
{
    struct idle_worker *idle = NULL;
    bool is_accepted;

    (void)pthread_mutex_lock(&p->lock);
    is_accepted = acquire_capacity(p, w, deadline_us);
    if (is_accepted && !assign_work(p, w, &idle)) {
        p->busy_count[w->depth]--;
        is_accepted = false;
    }
    (void)pthread_mutex_unlock(&p->lock);
    if (idle != NULL) {
        (void)pthread_cond_signal(&idle->wake);
    }
    return is_accepted;
}

/* Wakes an idle worker for work that will soon be submitted, so that its
 * wake-up overlaps the preparation of the work. */
void
bb_workers_wake_early(struct bb_workers *p)
{
    struct idle_worker *w;

    (void)pthread_mutex_lock(&p->lock);
    w = p->idle_stack;
    while (w != NULL && w->is_woken_early) {
        w = w->next;
    }
    if (w != NULL) {
        w->is_woken_early = true;
    }
    (void)pthread_mutex_unlock(&p->lock);
    if (w != NULL) {
        (void)pthread_cond_signal(&w->wake);
    }
}

/* Counts work that the calling thread runs itself, waiting for capacity until
 * deadline_us. Returns false on timeout or when the pool stops. The work ends
 * with bb_workers_finish, in this thread or in the worker it is handed over
 * to. */
bool
bb_workers_begin_inline(struct bb_workers *p, struct bb_work *w,
                        uint64_t deadline_us)
{
    bool is_accepted;

    (void)pthread_mutex_lock(&p->lock);
    is_accepted = acquire_capacity(p, w, deadline_us);
    (void)pthread_mutex_unlock(&p->lock);
    return is_accepted;
}

/* Hands work started with bb_workers_begin_inline over to a worker. If it
 * returns false, no worker is available and the caller still owns the work. */
bool
bb_workers_hand_over(struct bb_workers *p, struct bb_work *w)
{
    struct idle_worker *idle = NULL;
    bool is_assigned;

    (void)pthread_mutex_lock(&p->lock);
    is_assigned = !p->is_stopping && assign_work(p, w, &idle);
    (void)pthread_mutex_unlock(&p->lock);
    if (idle != NULL) {
        (void)pthread_cond_signal(&idle->wake);
    }
    return is_assigned;
}

/* Marks a unit of work as finished. Called from its run function, or by the
 * thread that began it with bb_workers_begin_inline. */
void
bb_workers_finish(struct bb_workers *p, struct bb_work *w)
{
    (void)pthread_mutex_lock(&p->lock);
    remove_from_counts(p, w);
    (void)pthread_mutex_unlock(&p->lock);
}

/* Detaches a running unit of work whose result nobody needs, so that it no
 * longer counts against the limit of its depth, unless more than detached_max
 * are detached. Does nothing if the work is finished. */
void
bb_workers_detach(struct bb_workers *p, struct bb_work *w)
{
    (void)pthread_mutex_lock(&p->lock);
    if (!w->is_done && !w->is_detached) {
        w->is_detached = true;
        p->busy_count[w->depth]--;
        p->detached_count++;
        update_gauges(p);
        (void)pthread_cond_broadcast(&p->capacity_freed);
    }
    (void)pthread_mutex_unlock(&p->lock);
}

/* Stops the pool and waits for its threads for up to timeout_ms. Returns
 * false, without freeing the pool, if workers are still blocked by a silent
 * peer: they keep using its memory until the process exits. NULL is allowed.
 */
bool
bb_workers_destroy(struct bb_workers *p, uint32_t timeout_ms)
{
    struct timespec end = bb_clock_to_timespec(
        bb_clock_now_us() + (uint64_t)timeout_ms * BB_US_PER_MS);
    uint32_t left;

    if (p == NULL) {
        return true;
    }
    (void)pthread_mutex_lock(&p->lock);
    p->is_stopping = true;
    for (struct idle_worker *i = p->idle_stack; i != NULL; i = i->next) {
        (void)pthread_cond_signal(&i->wake);
    }
    (void)pthread_cond_broadcast(&p->capacity_freed);
    while (p->thread_count > 0) {
        if (pthread_cond_timedwait(&p->capacity_freed, &p->lock, &end) ==
            ETIMEDOUT) {
            break;
        }
    }
    left = p->thread_count;
    (void)pthread_mutex_unlock(&p->lock);
    if (left > 0) {
        bb_log_warning(
            "workers.left",
            "%u workers still wait for a peer; their memory is not freed",
            left);
        return false;
    }
    while (p->free_list != NULL) {
        struct idle_worker *w = p->free_list;

        p->free_list = w->next;
        (void)pthread_cond_destroy(&w->wake);
        g_free(w);
    }
    (void)pthread_cond_destroy(&p->capacity_freed);
    (void)pthread_mutex_destroy(&p->lock);
    g_free(p);
    return true;
}
