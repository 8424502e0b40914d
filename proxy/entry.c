/* The course of a request at its entry: which gatekeeper, repeats, hedges,
 * silent and broken connections, deadline. At a gatekeeper the same loop runs
 * with a single attempt at the own upstream. */
#include <poll.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "proxy/internal.h"

enum {
    /* How long an answer that has begun to arrive is waited for without
     * sleeping; a short one is read within it. */
    ARRIVAL_US = 60,
    GONE_CHECK_US = 50 * BB_US_PER_MS, /* for callers that closed */
    LINK_OVERHEAD_BYTES = 4096         /* fields and a usual answer */
};

BB_COUNTER(gone_total, "baobab_callers_gone_total",
           "Requests whose caller closed the connection");

enum event { EVENT_TIMER, EVENT_SENDING, EVENT_LEG };

/* Sets the outcome to a refusal, which says "not run" only if no earlier
 * attempt may have run either. */
void
bb_entry_refuse(struct bb_exchange *x, enum bb_reason reason, enum bb_ran ran)
{
    if (x->may_have_run) {
        ran = BB_RAN_UNKNOWN;
    }
    x->outcome = (struct bb_outcome){
        .kind = BB_OUTCOME_REFUSED, .reason = reason, .ran = ran};
}

/* Returns the number of attempts in progress. */
uint32_t
bb_entry_active_legs(const struct bb_exchange *x)
{
    uint32_t count = 0;

    for (int i = 0; i < BB_LEGS_MAX; i++) {
        count += x->legs[i].is_used;
    }
    return count;
}

/* Passes the load that came with an answer or a refusal to the picker. */
static void
report_load(const struct bb_exchange *x, const struct bb_leg *leg)
{
    if (leg->attempt != NULL && !leg->is_local) {
        bb_picker_report(x->proxy->picker, x->service_name, leg->key,
                         bb_headers_get(leg->attempt->headers, BB_HEADER_LOAD),
                         bb_clock_now_us());
    }
}

/* Passes the load of the own gatekeeper to the picker, which would not know
 * of the calls that other entry nodes have sent there. */
static void
report_own_load(const struct bb_exchange *x, uint64_t key)
{
    char text[BB_LOAD_TEXT_BYTES];

    bb_picker_report(x->proxy->picker, x->service_name, key,
                     bb_gatekeeper_load(x->proxy->gatekeeper, text),
                     bb_clock_now_us());
}

/* Ends a leg: reports to the picker and lets go of its attempt, unless the
 * outcome keeps it. */
void
bb_entry_end_leg(struct bb_exchange *x, struct bb_leg *leg,
                 enum bb_pick_end end)
{
    if (!x->is_forwarded) {
        bb_picker_end(x->proxy->picker, x->service_name, leg->key,
                      x->work_class, leg->start_us, end, bb_clock_now_us());
        if (end == BB_PICK_ANSWERED || end == BB_PICK_REFUSED ||
            end == BB_PICK_SLOW) {
            report_load(x, leg);
        }
    }
    x->last_endpoint = leg->endpoint;
    x->last_incarnation = leg->incarnation;
    if (leg->attempt != x->outcome.attempt) {
        bb_attempt_release(leg->attempt);
    }
    *leg = (struct bb_leg){0};
}

/* Ends all legs that are still in progress, whose work is not needed. */
static void
cancel_legs(struct bb_exchange *x)
{
    for (int i = 0; i < BB_LEGS_MAX; i++) {
        if (x->legs[i].is_used) {
            bb_leg_cancel(x, &x->legs[i]);
            bb_entry_end_leg(x, &x->legs[i], BB_PICK_CANCELLED);
        }
    }
}

/* Lets go of everything that an exchange still holds of its attempts. */
void
bb_entry_release(struct bb_exchange *x)
{
    cancel_legs(x);
    bb_attempt_release(x->outcome.attempt);
    bb_stored_answer_unref(x->outcome.stored);
    x->outcome.attempt = NULL;
    x->outcome.stored = NULL;
}

/* Leaves a gatekeeper out of later picks. */
void
bb_entry_exclude(struct bb_exchange *x, uint64_t key)
{
    if (x->excluded_count < BB_PICK_EXCLUDED_MAX) {
        x->excluded[x->excluded_count++] = key;
    }
}

/* Chooses a gatekeeper; NULL with a reason if there is none. */
static const struct bb_endpoint *
pick(struct bb_exchange *x, struct bb_leg *leg, bool is_hedge,
     enum bb_reason *reason)
{
    const struct bb_table_service *s = x->service;
    struct bb_pick_target *targets =
        g_new(struct bb_pick_target, s->endpoint_count);
    struct bb_pick_question q = {
        .service = x->service_name,
        .targets = targets,
        .work_class = x->work_class,
        .is_idempotent = x->is_idempotent,
        .can_repeat = x->attempts == 0 && x->route->retry_limit > 0 &&
                      !x->is_keyed && !x->is_streaming,
        .link_bytes = (uint64_t)MAX(x->length_bytes, 0) + LINK_OVERHEAD_BYTES,
        .is_hedge = is_hedge,
        .excluded_count = x->excluded_count,
        .random_bits = bb_random_u64(x->proxy->random),
    };
    const struct bb_endpoint *chosen = NULL;
    struct bb_pick_answer a;

    memcpy(q.excluded, x->excluded, sizeof(q.excluded));
    for (uint32_t i = 0; i < s->endpoint_count; i++) {
        const struct bb_endpoint *e = &s->endpoints[i];
        uint64_t key = bb_host_key(e->host);

        targets[q.target_count++] = (struct bb_pick_target){
            .key = key, .nearness = e->nearness, .slots = e->slots};
        if (e->is_own) {
            report_own_load(x, key);
        }
        /* A hedge does not wait in the own queue. */
        if (is_hedge && e->is_own && q.excluded_count < BB_PICK_EXCLUDED_MAX) {
            q.excluded[q.excluded_count++] = key;
        }
    }
    leg->start_us = bb_clock_now_us();
    a = bb_picker_pick(x->proxy->picker, &q, leg->start_us);
    *reason = a.reason;
    if (a.index >= 0) {
        chosen = &s->endpoints[a.index];
        leg->key = targets[a.index].key;
        leg->may_go_elsewhere = a.may_go_elsewhere;
    }
    g_free(targets);
    return chosen;
}

/* Tells whether a keyed request may be tried elsewhere. A claim that was not
 * granted can be repeated; one that was granted can move on only when its
 * gatekeeper has refused the request for good. If that gatekeeper restarted,
 * nobody knows whether the request ran, which the reason then says. */
static bool
may_claim_again(struct bb_exchange *x, enum bb_reason *reason,
                enum bb_ran *ran)
{
    enum bb_query_result result;

    if (*reason == BB_REASON_KEY_OWNER_UNAVAILABLE ||
        *reason == BB_REASON_KEY_OWNER_CHANGED) {
        return true;
    }
    if (x->last_endpoint == NULL ||
        !bb_claim_query(x, x->last_endpoint, x->last_incarnation, &result)) {
        return false;
    }
    if (result == BB_QUERY_OTHER_INCARNATION) {
        *reason = BB_REASON_GATEKEEPER_RESTARTED;
        *ran = BB_RAN_UNKNOWN;
    }
    return result == BB_QUERY_NEVER_SEEN || result == BB_QUERY_REFUSED;
}

/* Decides what follows a refused or failed attempt: a repeat elsewhere, or
 * the refusal as the outcome. */
void
bb_entry_after_failure(struct bb_exchange *x, uint64_t key,
                       enum bb_reason reason, enum bb_ran ran,
                       bool has_sent_body)
{
    uint64_t now_us = bb_clock_now_us();
    struct bb_repeat_question q = {
        .service = x->service_name,
        .reason = reason,
        .ran = ran,
        .is_idempotent = x->is_idempotent,
        .work_class = x->work_class,
        .attempts = x->attempts,
        .remaining_us = x->deadline_us > now_us ? x->deadline_us - now_us : 0,
        .random_bits = bb_random_u64(x->proxy->random),
    };
    enum bb_reason final = reason;
    uint64_t delay_us = 0;

    x->may_have_run |= ran == BB_RAN_UNKNOWN;
    if (bb_entry_active_legs(x) > 0) {
        return;
    }
    q.retry_limit = x->is_forwarded ? 0 : x->route->retry_limit;
    if (x->is_forwarded || has_sent_body ||
        (x->is_keyed && !may_claim_again(x, &final, &ran)) ||
        !bb_picker_may_repeat(x->proxy->picker, &q, &delay_us, &final)) {
        bb_entry_refuse(x, final, ran);
        return;
    }
    bb_reason_count_retry(reason);
    x->repeated_reason = reason;
    bb_entry_exclude(x, key);
    bb_clock_sleep_us(delay_us);
}

/* Claims the key of a keyed request and sends the request. */
static struct bb_outcome
send_leg(struct bb_exchange *x, struct bb_leg *leg)
{
    struct bb_outcome o = {.kind = BB_OUTCOME_NONE};

    if (x->is_keyed) {
        o = bb_claim_call(x, leg);
    }
    if (o.kind == BB_OUTCOME_NONE) {
        o = leg->is_local ? bb_leg_start_local(x, leg)
                          : bb_leg_start_peer(x, leg);
    }
    return o;
}

/* Starts an attempt in a free leg. */
void
bb_entry_start_leg(struct bb_exchange *x, struct bb_leg *leg, bool is_hedge)
{
    uint64_t check_us =
        (uint64_t)x->proxy->settings.silent_check_ms * BB_US_PER_MS;
    enum bb_reason reason = BB_REASON_NONE;
    struct bb_outcome o;
    uint64_t key;

    *leg = (struct bb_leg){.is_local = x->is_forwarded};
    if (!x->is_forwarded) {
        leg->endpoint = pick(x, leg, is_hedge, &reason);
        if (leg->endpoint == NULL) {
            if (!is_hedge) {
                /* The gatekeepers that refused before are left out. */
                if (reason == BB_REASON_NO_UPSTREAM &&
                    x->repeated_reason != BB_REASON_NONE) {
                    reason = x->repeated_reason;
                }
                bb_entry_refuse(x, reason, BB_RAN_NO);
            }
            return;
        }
        leg->is_local = leg->endpoint->is_own;
        leg->incarnation = leg->endpoint->incarnation;
    }
    x->attempts++;
    leg->is_used = true;
    o = send_leg(x, leg);
    switch (o.kind) {
    case BB_OUTCOME_NONE:
        bb_probe_init(&leg->probe, x->is_idempotent, x->is_keyed, check_us,
                      x->deadline_us, bb_clock_now_us());
        break;
    case BB_OUTCOME_REFUSED:
        key = leg->key;
        bb_entry_end_leg(x, leg, bb_entry_refusal_end(o.reason));
        bb_entry_after_failure(x, key, o.reason, o.ran, false);
        break;
    case BB_OUTCOME_ANSWER:
    case BB_OUTCOME_STORED:
        bb_entry_end_leg(x, leg, BB_PICK_CANCELLED);
        x->outcome = o;
        break;
    }
}

/* Returns when the waiting side must look again without a signal. */
static uint64_t
wake_time(const struct bb_exchange *x)
{
    uint64_t wake_us = MIN(x->deadline_us, bb_clock_now_us() + GONE_CHECK_US);
    struct bb_hedge_request q;
    uint64_t hedge_us;

    if (bb_entry_hedge_time(x, &q, &hedge_us)) {
        wake_us = MIN(wake_us, hedge_us);
    }
    for (int i = 0; i < BB_LEGS_MAX; i++) {
        const struct bb_leg *leg = &x->legs[i];

        if (leg->is_used && !leg->is_local) {
            wake_us = MIN(wake_us, bb_probe_next_wakeup_us(&leg->probe));
        }
    }
    return wake_us;
}

/* Looks for the end of a short answer that is being read, without sleeping.
 * False if there is none, or after it was looked for once. Called with the
 * watch's lock, which is given up meanwhile. */
static bool
watch_arrival(struct bb_exchange *x)
{
    for (int i = 0; i < BB_LEGS_MAX; i++) {
        struct bb_leg *leg = &x->legs[i];
        uint64_t end_us;

        if (leg->attempt == NULL || leg->has_watched ||
            !atomic_load(&leg->attempt->is_arriving)) {
            continue;
        }
        leg->has_watched = true;
        end_us = bb_clock_now_us() + ARRIVAL_US;
        bb_watch_unlock(x->watch);
        while (!atomic_load(&leg->attempt->is_over) &&
               bb_clock_now_us() < end_us) {
        }
        bb_watch_lock(x->watch);
        return true;
    }
    return false;
}

/* Waits until an attempt has news or it is time to look again. */
static enum event
wait_for_event(struct bb_exchange *x, bool until_sending, struct bb_leg **out)
{
    enum event event = EVENT_TIMER;
    uint64_t wake_us = wake_time(x);
    bool has_time = true;

    bb_watch_lock(x->watch);
    while (event == EVENT_TIMER) {
        for (int i = 0; i < BB_LEGS_MAX && event == EVENT_TIMER; i++) {
            const struct bb_attempt *a = x->legs[i].attempt;

            if (a == NULL || a->state == BB_ATTEMPT_STARTED) {
                continue;
            }
            if (a->state != BB_ATTEMPT_SENDING) {
                event = EVENT_LEG;
                *out = &x->legs[i];
            }
            else if (until_sending) {
                event = EVENT_SENDING;
            }
        }
        if (event != EVENT_TIMER || !has_time) {
            break;
        }
        if (!watch_arrival(x)) {
            has_time = bb_watch_wait(x->watch, wake_us);
        }
    }
    bb_watch_unlock(x->watch);
    return event;
}

/* An answer's head has arrived. */
static void
on_head(struct bb_exchange *x, struct bb_leg *leg)
{
    if (bb_entry_on_refusal(x, leg)) {
        return;
    }
    x->outcome = (struct bb_outcome){.kind = BB_OUTCOME_ANSWER,
                                     .attempt = leg->attempt};
    bb_entry_end_leg(x, leg, BB_PICK_ANSWERED);
    cancel_legs(x);
}

/* Deals with an attempt that has news. */
static void
on_leg(struct bb_exchange *x, struct bb_leg *leg)
{
    uint64_t key = leg->key;

    switch (leg->attempt->state) {
    case BB_ATTEMPT_HEAD:
        on_head(x, leg);
        break;
    case BB_ATTEMPT_LOST:
        bb_entry_on_lost(x, leg);
        break;
    case BB_ATTEMPT_NOT_SENT:
        bb_entry_end_leg(x, leg, BB_PICK_NOT_CONNECTED);
        bb_entry_after_failure(x, key, BB_REASON_CONNECT_FAILED, BB_RAN_NO,
                               false);
        break;
    case BB_ATTEMPT_STARTED:
    case BB_ATTEMPT_SENDING:
        break;
    }
}

/* Tells whether the caller has closed its connection. A non-idempotent
 * request goes on, since its answer may be asked for again. */
static bool
is_caller_gone(const struct bb_exchange *x)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct pollfd p = {.events = POLLRDHUP};

    if (info == NULL || !x->is_idempotent) {
        return false;
    }
    p.fd = info->connect_fd;
    return poll(&p, 1, 0) == 1 &&
           (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Does what is due without news from an attempt. */
static void
on_timer(struct bb_exchange *x)
{
    if (is_caller_gone(x)) {
        bb_counter_add(&gone_total, 1);
        cancel_legs(x);
        bb_entry_refuse(x, BB_REASON_CANCELLED, BB_RAN_UNKNOWN);
        return;
    }
    bb_entry_try_hedge(x);
    for (int i = 0; i < BB_LEGS_MAX; i++) {
        struct bb_leg *leg = &x->legs[i];

        if (x->outcome.kind == BB_OUTCOME_NONE && leg->is_used &&
            !leg->is_local) {
            bb_entry_check_silence(x, leg);
        }
    }
}

/* The deadline has passed: the caller gets its answer now, and the workers
 * are left to themselves. */
static void
on_deadline(struct bb_exchange *x)
{
    bool was_sent = bb_entry_active_legs(x) > 0;

    cancel_legs(x);
    bb_entry_refuse(x,
                    was_sent ? BB_REASON_DEADLINE_RUNNING
                             : BB_REASON_DEADLINE_BEFORE_RUN,
                    was_sent ? BB_RAN_UNKNOWN : BB_RAN_NO);
}

/* Runs attempts until the outcome is known; with until_sending, also returns
 * once a peer takes the body. */
void
bb_entry_run(struct bb_exchange *x, bool until_sending)
{
    struct bb_leg *leg = NULL;

    if (!x->is_forwarded && x->attempts == 0) {
        bb_picker_first(x->proxy->picker);
    }
    while (x->outcome.kind == BB_OUTCOME_NONE) {
        if (bb_clock_now_us() >= x->deadline_us) {
            on_deadline(x);
            break;
        }
        if (bb_entry_active_legs(x) == 0) {
            bb_entry_start_leg(x, &x->legs[0], false);
            continue;
        }
        switch (wait_for_event(x, until_sending, &leg)) {
        case EVENT_SENDING:
            return;
        case EVENT_LEG:
            on_leg(x, leg);
            break;
        case EVENT_TIMER:
            on_timer(x);
            break;
        }
    }
}
