/* Clock, timer, log and counters around decide/silence. */
#include "path/stall_watch.h"

#include <glib.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "decide/silence.h"

BB_COUNTER(stalled_total, "baobab_gate_stalled_total",
           "Requests given up because the upstream does not respond to them");
BB_GAUGE(accepted_gauge, "baobab_gate_accepted_limit",
         "Requests at once that a silent upstream accepts; 0: no limit");

struct bb_stall_watch {
    uv_timer_t timer;
    struct bb_stall_watch_settings settings;
    struct bb_silence silence;
    bool is_silent; /* as logged */
    bool has_limit; /* as logged */
};

/* Logs whether the upstream counts as a silent one, and the begin and end of
 * a limit. */
static void
log_changes(struct bb_stall_watch *w)
{
    const struct bb_silence *s = &w->silence;

    bb_counter_set(&accepted_gauge, s->limit);
    if (w->is_silent != s->is_silent) {
        w->is_silent = s->is_silent;
        bb_log_info("upstream.stalls", "%s",
                    s->is_silent ? "the upstream leaves requests unanswered"
                                 : "none for a minute");
    }
    if (w->has_limit != (s->limit != 0)) {
        w->has_limit = s->limit != 0;
        bb_log_info("upstream.accepts",
                    s->limit != 0 ? "%u requests at once"
                                  : "as many as announced (limit %u)",
                    s->limit);
    }
}

/* Reports the stalled requests, and stops the timer once none is observed. */
static void
on_timer(uv_timer_t *t)
{
    struct bb_stall_watch *w = t->data;
    uint64_t now_us = bb_clock_now_us();
    uint64_t id;

    while (bb_silence_take_stalled(&w->silence, now_us, &id)) {
        bb_counter_add(&stalled_total, 1);
        w->settings.stalled(w->settings.context, id);
    }
    log_changes(w);
    if (w->silence.count == 0) {
        (void)uv_timer_stop(&w->timer);
    }
}

/* Creates a watch for an upstream of which nothing is known. */
struct bb_stall_watch *
bb_stall_watch_create(uv_loop_t *loop, const struct bb_stall_watch_settings *s)
{
    struct bb_stall_watch *w = g_new0(struct bb_stall_watch, 1);

    w->settings = *s;
    bb_silence_init(&w->silence);
    (void)uv_timer_init(loop, &w->timer);
    w->timer.data = w;
    return w;
}

/* Forgets what is known, as another run of the upstream has begun. */
void
bb_stall_watch_reset(struct bb_stall_watch *w)
{
    bb_silence_init(&w->silence);
    log_changes(w);
}

/* Observes a request that is sent completely. The id is unique at the gate. */
void
bb_stall_watch_send(struct bb_stall_watch *w, uint64_t id,
                    uint32_t class_index)
{
    bb_silence_send(&w->silence, id, class_index, bb_clock_now_us());
    if (!uv_is_active((uv_handle_t *)&w->timer)) {
        (void)uv_timer_start(&w->timer, on_timer, BB_STALL_WATCH_INTERVAL_MS,
                             BB_STALL_WATCH_INTERVAL_MS);
    }
}

/* Records that the response to a request began. */
void
bb_stall_watch_answer(struct bb_stall_watch *w, uint64_t id)
{
    bb_silence_answer(&w->silence, id, bb_clock_now_us());
}

/* Records that the entry has waited for a request until its deadline. */
void
bb_stall_watch_expire(struct bb_stall_watch *w, uint64_t id)
{
    bb_silence_expire(&w->silence, id, bb_clock_now_us());
    log_changes(w);
}

/* Ends the observation of a request that says nothing: it failed, its caller
 * left, or the upstream did not run it. Does nothing if it is not observed. */
void
bb_stall_watch_drop(struct bb_stall_watch *w, uint64_t id)
{
    bb_silence_drop(&w->silence, id);
}

/* Returns how many requests the upstream may get at once. */
uint32_t
bb_stall_watch_slots(struct bb_stall_watch *w, uint32_t slots)
{
    uint32_t allowed = bb_silence_slots(&w->silence, slots, bb_clock_now_us());

    log_changes(w);
    return allowed;
}

static void
free_watch(uv_handle_t *h)
{
    g_free(h->data);
}

/* Destroys the watch; NULL is allowed. */
void
bb_stall_watch_destroy(struct bb_stall_watch *w)
{
    if (w != NULL) {
        uv_close((uv_handle_t *)&w->timer, free_watch);
    }
}
