#include "upstream/runs.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>

#include "common/clock.h"

enum { HISTORY_MAX_ENTRIES = 400000, LOAD_SAMPLES_MAX = 4096 };

/* A request that waits for a slot or runs. Lives on the stack of its thread.
 */
struct run {
    const char *id;
    bool is_cancelled;
};

/* A request that ran. */
struct history_entry {
    char *id;
    char *call; /* X-Call-Id of the caller */
    uint64_t start_us;
    uint64_t end_us;
    enum bb_run_outcome outcome;
};

/* The load after a change. */
struct load_sample {
    uint64_t time_us;
    uint32_t running;
    uint32_t queued;
};

struct bb_runs {
    struct bb_behaviour *behaviour;
    pthread_mutex_t lock;
    pthread_cond_t changed; /* a slot is free or a request is cancelled */
    GPtrArray *active;      /* of struct run */
    GArray *history;        /* of struct history_entry */
    uint64_t dropped;       /* entries removed from the full history */
    uint32_t running;
    uint32_t queued;
    struct load_sample samples[LOAD_SAMPLES_MAX]; /* ring buffer */
    uint64_t sample_count;
};

/* Frees the strings of a history entry. */
static void
clear_history_entry(void *data)
{
    struct history_entry *entry = data;

    g_free(entry->id);
    g_free(entry->call);
}

/* Creates an empty set of requests. The caller frees it with bb_runs_destroy
 * and keeps behaviour alive until then. */
struct bb_runs *
bb_runs_create(struct bb_behaviour *behaviour)
{
    struct bb_runs *r = g_new0(struct bb_runs, 1);
    pthread_condattr_t attributes;

    r->behaviour = behaviour;
    (void)pthread_mutex_init(&r->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&r->changed, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    r->active = g_ptr_array_new();
    r->history = g_array_new(FALSE, FALSE, sizeof(struct history_entry));
    g_array_set_clear_func(r->history, clear_history_entry);
    return r;
}

/* Frees the set; no request may be active. */
void
bb_runs_destroy(struct bb_runs *r)
{
    (void)g_ptr_array_free(r->active, TRUE);
    (void)g_array_free(r->history, TRUE);
    (void)pthread_cond_destroy(&r->changed);
    (void)pthread_mutex_destroy(&r->lock);
    g_free(r);
}

/* Adds the current load to the samples, from which delayed load is reported.
 */
static void
sample_load(struct bb_runs *r)
{
    r->samples[r->sample_count++ % LOAD_SAMPLES_MAX] = (struct load_sample){
        .time_us = bb_clock_now_us(),
        .running = r->running,
        .queued = r->queued,
    };
}

/* Appends a request that ends now to the history. Drops the older half of a
 * full history. */
static void
add_to_history(struct bb_runs *r, const char *id, const char *call,
               uint64_t start_us, enum bb_run_outcome outcome)
{
    struct history_entry entry = {
        .id = g_strdup(id),
        .call = g_strdup(call),
        .start_us = start_us,
        .end_us = bb_clock_now_us(),
        .outcome = outcome,
    };

    if (r->history->len >= HISTORY_MAX_ENTRIES) {
        (void)g_array_remove_range(r->history, 0, HISTORY_MAX_ENTRIES / 2);
        r->dropped += HISTORY_MAX_ENTRIES / 2;
    }
    g_array_append_val(r->history, entry);
}

/* Waits until until_us or the cancellation of the request. The lock must be
 * held; the wait releases it. */
static void
wait_until(struct bb_runs *r, const struct run *run, uint64_t until_us)
{
    struct timespec until = bb_clock_to_timespec(until_us);

    while (!run->is_cancelled && pthread_cond_timedwait(&r->changed, &r->lock,
                                                        &until) != ETIMEDOUT) {
    }
}

/* Waits for a free slot and takes it. Returns false if the request is
 * cancelled or deadline_us passes first. */
static bool
acquire_slot(struct bb_runs *r, const struct run *run, uint64_t deadline_us)
{
    struct timespec end = bb_clock_to_timespec(deadline_us);
    bool has_time = true;

    r->queued++;
    sample_load(r);
    while (has_time && !run->is_cancelled &&
           r->running >= bb_behaviour_get_values(r->behaviour).slots) {
        has_time =
            pthread_cond_timedwait(&r->changed, &r->lock, &end) != ETIMEDOUT;
    }
    r->queued--;
    if (!has_time || run->is_cancelled) {
        return false;
    }
    r->running++;
    sample_load(r);
    return true;
}

/* Runs a request: waits for a slot, holds it for the service time (wanted_us;
 * 0: random), then makes the nested call unless it is NULL. A cancellation or
 * deadline_us ends the wait for a slot and the service time early; the nested
 * call must itself end by deadline_us. Returns how the request ended. */
enum bb_run_outcome
bb_runs_execute(struct bb_runs *r, const char *id, const char *call,
                uint64_t wanted_us, uint64_t deadline_us,
                const struct bb_run_nested_call *nested_call)
{
    struct run run = {.id = id};
    enum bb_run_outcome outcome = BB_RUN_NOT_STARTED;
    uint64_t start_us;
    uint64_t service_end_us;

    if (bb_behaviour_get_values(r->behaviour).is_shedding) {
        return BB_RUN_REFUSED;
    }
    (void)pthread_mutex_lock(&r->lock);
    g_ptr_array_add(r->active, &run);
    if (!acquire_slot(r, &run, deadline_us)) {
        goto out;
    }
    start_us = bb_clock_now_us();
    service_end_us = start_us + bb_behaviour_draw_service_us(
                                    r->behaviour, start_us, wanted_us);
    wait_until(r, &run, MIN(service_end_us, deadline_us));
    outcome = run.is_cancelled               ? BB_RUN_CANCELLED
              : service_end_us > deadline_us ? BB_RUN_DEADLINE
                                             : BB_RUN_DONE;
    if (outcome == BB_RUN_DONE && nested_call != NULL) {
        (void)pthread_mutex_unlock(&r->lock);
        nested_call->run(nested_call->context, deadline_us);
        (void)pthread_mutex_lock(&r->lock);
    }
    add_to_history(r, id, call, start_us, outcome);
    r->running--;
    sample_load(r);
    (void)pthread_cond_broadcast(&r->changed);
out:
    (void)g_ptr_array_remove_fast(r->active, &run);
    (void)pthread_mutex_unlock(&r->lock);
    return outcome;
}

/* Cancels the active requests with an id. Returns false if there are none. */
bool
bb_runs_cancel(struct bb_runs *r, const char *id)
{
    bool is_found = false;

    (void)pthread_mutex_lock(&r->lock);
    for (guint i = 0; i < r->active->len; i++) {
        struct run *run = g_ptr_array_index(r->active, i);

        if (g_strcmp0(run->id, id) == 0) {
            run->is_cancelled = true;
            is_found = true;
        }
    }
    (void)pthread_cond_broadcast(&r->changed);
    (void)pthread_mutex_unlock(&r->lock);
    return is_found;
}

/* Returns the number of requests that wait for a slot or run. */
uint32_t
bb_runs_active_count(struct bb_runs *r)
{
    uint32_t count;

    (void)pthread_mutex_lock(&r->lock);
    count = r->active->len;
    (void)pthread_mutex_unlock(&r->lock);
    return count;
}

/* Returns the load as the upstream reports it: delayed by load_lag_ms and
 * scaled by load_percent. */
void
bb_runs_get_reported_load(struct bb_runs *r, uint32_t *running,
                          uint32_t *queued)
{
    struct bb_behaviour_values v = bb_behaviour_get_values(r->behaviour);
    uint64_t lag_us = v.load_lag_ms * BB_US_PER_MS;
    uint64_t at_us = bb_clock_now_us() - lag_us;
    struct load_sample s = {0};

    (void)pthread_mutex_lock(&r->lock);
    for (uint64_t i = 0; i < MIN(r->sample_count, (uint64_t)LOAD_SAMPLES_MAX);
         i++) {
        s = r->samples[(r->sample_count - 1 - i) % LOAD_SAMPLES_MAX];
        if (s.time_us <= at_us) {
            break;
        }
    }
    (void)pthread_mutex_unlock(&r->lock);
    *running = (uint32_t)(s.running * v.load_percent / 100);
    *queued = (uint32_t)(s.queued * v.load_percent / 100);
}

/* Appends the history to out as JSON Lines: a line of totals, then one line
 * per request that ran. Ids aren't escaped: the server only accepts ids that
 * need no escaping. */
void
bb_runs_write_history(struct bb_runs *r, GString *out)
{
    static const char *const names[] = {"done", "cancelled", "deadline"};

    (void)pthread_mutex_lock(&r->lock);
    g_string_append_printf(out,
                           "{\"runs\":%" PRIu64 ",\"dropped\":%" PRIu64
                           ",\"busy\":%u,\"waiting\":%u}\n",
                           r->history->len + r->dropped, r->dropped,
                           r->running, r->queued);
    for (guint i = 0; i < r->history->len; i++) {
        const struct history_entry *entry =
            &g_array_index(r->history, struct history_entry, i);

        g_string_append_printf(
            out,
            "{\"id\":\"%s\",\"call\":\"%s\",\"start_us\":%" PRIu64
            ",\"end_us\":%" PRIu64 ",\"outcome\":\"%s\"}\n",
            entry->id, entry->call, entry->start_us, entry->end_us,
            names[entry->outcome]);
    }
    (void)pthread_mutex_unlock(&r->lock);
}

/* Clears the history. */
void
bb_runs_clear_history(struct bb_runs *r)
{
    (void)pthread_mutex_lock(&r->lock);
    (void)g_array_set_size(r->history, 0);
    r->dropped = 0;
    (void)pthread_mutex_unlock(&r->lock);
}
