/* Puts the newest configuration in force, and those between two of them not:
 * in a storm of changes a small processor would be busy with decoding alone.
 */
#include "apply_pace.h"

#include "common/clock.h"
#include "common/counters.h"

BB_COUNTER(applied_total, "baobab_configurations_applied_total",
           "Configurations put in force here");
BB_COUNTER(passed_total, "baobab_configurations_passed_over_total",
           "Configurations that a newer one replaced before they were in "
           "force here");

struct apply_pace {
    uv_timer_t timer;
    apply_pace_apply apply;
    void *context;
    GBytes *waiting;
    uint64_t waiting_version;
    uint64_t next_us; /* not before */
};

/* Puts the waiting configuration in force and sets when the next one may be.
 */
static void
apply_now(struct apply_pace *a)
{
    uint64_t from_us = bb_clock_now_us();
    GBytes *raw = a->waiting;
    uint64_t took_us;

    a->waiting = NULL;
    a->apply(a->context, a->waiting_version, raw);
    g_bytes_unref(raw);
    bb_counter_add(&applied_total, 1);
    took_us = bb_clock_now_us() - from_us;
    a->next_us = from_us + took_us +
                 MIN(took_us * APPLY_PACE_REST_TIMES,
                     (uint64_t)APPLY_PACE_REST_MAX_MS * BB_US_PER_MS);
}

static void
run_timer(uv_timer_t *t)
{
    struct apply_pace *a = t->data;

    if (a->waiting != NULL) {
        apply_now(a);
    }
}

/* Creates a pace; the first configuration is put in force at once. */
struct apply_pace *
apply_pace_create(uv_loop_t *loop, apply_pace_apply apply, void *context)
{
    struct apply_pace *a = g_new0(struct apply_pace, 1);

    a->apply = apply;
    a->context = context;
    (void)uv_timer_init(loop, &a->timer);
    a->timer.data = a;
    return a;
}

/* Takes a configuration that is newer than those before. It is put in force
 * within this call, or once the rest after the last one is over. */
void
apply_pace_take(struct apply_pace *a, uint64_t version, GBytes *raw)
{
    uint64_t now_us = bb_clock_now_us();

    if (a->waiting != NULL) {
        g_bytes_unref(a->waiting);
        bb_counter_add(&passed_total, 1);
    }
    a->waiting = g_bytes_ref(raw);
    a->waiting_version = version;
    if (now_us >= a->next_us) {
        apply_now(a);
        return;
    }
    (void)uv_timer_start(&a->timer, run_timer,
                         (a->next_us - now_us) / BB_US_PER_MS + 1, 0);
}

static void
free_pace(uv_handle_t *h)
{
    struct apply_pace *a = h->data;

    if (a->waiting != NULL) {
        g_bytes_unref(a->waiting);
    }
    g_free(a);
}

/* Drops what waits; NULL is allowed. */
void
apply_pace_destroy(struct apply_pace *a)
{
    if (a != NULL) {
        uv_close((uv_handle_t *)&a->timer, free_pace);
    }
}
