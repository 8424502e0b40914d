/* Limits how often new configurations are applied: after each one there is a
 * pause, and only the newest of those that arrive meanwhile is applied.
 * Without the pause, a host with few cores would do nothing but decode during
 * a burst of changes. */
#include "config_throttle.h"

#include "common/clock.h"
#include "common/counters.h"

BB_COUNTER(applied_total, "baobab_configurations_applied_total",
           "Configurations put in force here");
BB_COUNTER(replaced_total, "baobab_configurations_passed_over_total",
           "Configurations that a newer one replaced before they were in "
           "force here");

struct config_throttle {
    uv_timer_t timer;
    config_throttle_apply apply;
    void *context;
    GBytes *pending; /* not applied yet, or NULL */
    uint64_t pending_version;
    struct bb_state_id pending_state;
    uint64_t apply_after_us; /* on the monotonic clock */
};

/* Applies the pending configuration and sets the end of the pause after it. */
static void
apply_now(struct config_throttle *t)
{
    uint64_t from_us = bb_clock_now_us();
    GBytes *raw = t->pending;
    uint64_t took_us;

    t->pending = NULL;
    t->apply(t->context, t->pending_version, &t->pending_state, raw);
    g_bytes_unref(raw);
    /* Also counts one that apply() found invalid. */
    bb_counter_add(&applied_total, 1);
    took_us = bb_clock_now_us() - from_us;
    t->apply_after_us =
        from_us + took_us +
        MIN(took_us * CONFIG_THROTTLE_PAUSE_FACTOR,
            (uint64_t)CONFIG_THROTTLE_PAUSE_MAX_MS * BB_US_PER_MS);
}

/* Applies the pending configuration at the end of a pause. */
static void
on_timer(uv_timer_t *timer)
{
    struct config_throttle *t = timer->data;

    if (t->pending != NULL) {
        apply_now(t);
    }
}

/* Creates a throttle, which calls `apply` for each configuration to apply; the
 * first one is applied at once. */
struct config_throttle *
config_throttle_create(uv_loop_t *loop, config_throttle_apply apply,
                       void *context)
{
    struct config_throttle *t = g_new0(struct config_throttle, 1);

    t->apply = apply;
    t->context = context;
    (void)uv_timer_init(loop, &t->timer);
    t->timer.data = t;
    return t;
}

/* Submits a configuration that is newer than all earlier ones. It is applied
 * within this call, or at the end of the pause unless a newer one replaces it.
 * Keeps a reference to `raw` until then. */
void
config_throttle_submit(struct config_throttle *t, uint64_t version,
                       const struct bb_state_id *state, GBytes *raw)
{
    uint64_t now_us = bb_clock_now_us();

    if (t->pending != NULL) {
        g_bytes_unref(t->pending);
        bb_counter_add(&replaced_total, 1);
    }
    t->pending = g_bytes_ref(raw);
    t->pending_version = version;
    t->pending_state = *state;
    if (now_us >= t->apply_after_us) {
        apply_now(t);
        return;
    }
    (void)uv_timer_start(&t->timer, on_timer,
                         (t->apply_after_us - now_us) / BB_US_PER_MS + 1, 0);
}

/* Records that a newer state holds the same configuration as the one that was
 * submitted last. Returns false if that has been applied. */
bool
config_throttle_keep(struct config_throttle *t,
                     const struct bb_state_id *state)
{
    if (t->pending == NULL) {
        return false;
    }
    t->pending_state = *state;
    return true;
}

/* Frees the throttle once libuv has closed its timer. */
static void
free_throttle(uv_handle_t *h)
{
    struct config_throttle *t = h->data;

    if (t->pending != NULL) {
        g_bytes_unref(t->pending);
    }
    g_free(t);
}

/* Destroys a throttle without applying a pending configuration. NULL is
 * allowed. */
void
config_throttle_destroy(struct config_throttle *t)
{
    if (t != NULL) {
        uv_close((uv_handle_t *)&t->timer, free_throttle);
    }
}
