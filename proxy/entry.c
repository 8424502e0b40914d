/* Attempt scheduling for a request: gatekeeper selection, retries, hedges,
 * broken and silent connections, and the deadline. At a gatekeeper the same
 * loop runs with a single attempt at the local upstream. */
#include <poll.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "proxy/internal.h"

enum {
    /* How long to spin for a response that has begun to arrive, instead of
     * sleeping. Short responses are complete within this time. */
    RESPONSE_SPIN_US = 60,
    CALLER_CHECK_INTERVAL_US = 50 * BB_US_PER_MS,
    /* For the budget of the paid link: header fields and a typical response.
     * The request's body is added to it. */
    LINK_OVERHEAD_BYTES = 4096
};

BB_COUNTER(callers_gone_total, "baobab_callers_gone_total",
           "Requests whose caller closed the connection");

enum event { EVENT_TIMER, EVENT_SENDING, EVENT_ATTEMPT };

/* Sets the outcome to a refusal once attempts may have started; see
 * bb_exchange_refuse. It reports "not run" only if no earlier attempt may have
 * run. */
void
bb_exchange_refuse_as_entry(struct bb_exchange *x, enum bb_reason reason,
                            enum bb_ran ran)
{
    if (x->may_have_run) {
        ran = BB_RAN_UNKNOWN;
    }
    x->outcome = (struct bb_outcome){
        .kind = BB_OUTCOME_REFUSED, .reason = reason, .ran = ran};
}

/* Returns the number of active attempts. */
uint32_t
bb_exchange_active_attempts(const struct bb_exchange *x)
{
    uint32_t count = 0;

    for (int i = 0; i < BB_ATTEMPTS_ACTIVE_MAX; i++) {
        count += x->attempts[i].is_active;
    }
    return count;
}

/* Updates the picker with the load reported in a response or a refusal. */
static void
update_picker_load(const struct bb_exchange *x,
                   const struct bb_attempt *attempt)
{
    if (attempt->call != NULL && !attempt->is_local) {
        bb_picker_update_load(
            x->proxy->picker, x->service_name, attempt->host_key,
            bb_headers_get(attempt->call->headers, BB_HEADER_LOAD),
            bb_clock_now_us());
    }
}

/* Updates the picker with the load of this node's gatekeeper, because the
 * picker does not know of the requests that other entry nodes forwarded to it.
 */
static void
update_local_load(const struct bb_exchange *x, uint64_t host_key)
{
    char text[BB_GATEKEEPER_LOAD_TEXT_BYTES];

    bb_picker_update_load(
        x->proxy->picker, x->service_name, host_key,
        bb_gatekeeper_format_load(x->proxy->gatekeeper, text),
        bb_clock_now_us());
}

/* Ends an attempt: reports its result to the picker, and releases its HTTP
 * call unless the outcome holds it. */
void
bb_exchange_finish_attempt(struct bb_exchange *x, struct bb_attempt *attempt,
                           enum bb_attempt_result result)
{
    if (!x->is_forwarded) {
        bb_picker_finish_attempt(x->proxy->picker, x->service_name,
                                 attempt->host_key, x->work_class,
                                 attempt->start_us, result, bb_clock_now_us());
        if (result == BB_ATTEMPT_COMPLETED || result == BB_ATTEMPT_REFUSED ||
            result == BB_ATTEMPT_REFUSED_SLOW) {
            update_picker_load(x, attempt);
        }
    }
    x->last_gatekeeper = attempt->gatekeeper;
    x->last_incarnation = attempt->incarnation;
    if (attempt->call != x->outcome.call) {
        bb_http_call_release(attempt->call);
    }
    *attempt = (struct bb_attempt){0};
}

/* Cancels all active attempts. */
static void
cancel_attempts(struct bb_exchange *x)
{
    for (int i = 0; i < BB_ATTEMPTS_ACTIVE_MAX; i++) {
        if (x->attempts[i].is_active) {
            bb_attempt_cancel(x, &x->attempts[i]);
            bb_exchange_finish_attempt(x, &x->attempts[i],
                                       BB_ATTEMPT_CANCELLED);
        }
    }
}

/* Cancels all active attempts and releases the outcome's HTTP call and stored
 * response. */
void
bb_exchange_release_attempts(struct bb_exchange *x)
{
    cancel_attempts(x);
    bb_http_call_release(x->outcome.call);
    bb_stored_response_unref(x->outcome.stored);
    x->outcome.call = NULL;
    x->outcome.stored = NULL;
}

/* Excludes a gatekeeper from later picks of this request. Does nothing if
 * BB_ROUTE_EXCLUDED_MAX are excluded already. */
void
bb_exchange_exclude_gatekeeper(struct bb_exchange *x, uint64_t host_key)
{
    if (x->excluded_count < BB_ROUTE_EXCLUDED_MAX) {
        x->excluded[x->excluded_count++] = host_key;
    }
}

/* Picks a gatekeeper for an attempt and counts the attempt as started. Returns
 * NULL and sets *reason if none can be used. */
static const struct bb_table_gatekeeper *
pick_gatekeeper(struct bb_exchange *x, struct bb_attempt *attempt,
                bool is_hedge, enum bb_reason *reason)
{
    const struct bb_table_service *s = x->service;
    struct bb_pick_target *targets =
        g_new(struct bb_pick_target, s->usable_gatekeeper_count);
    struct bb_pick_request q = {
        .service = x->service_name,
        .targets = targets,
        .work_class = x->work_class,
        .is_idempotent = x->is_idempotent,
        .can_retry = x->attempt_count == 0 && x->route->retry_limit > 0 &&
                     !x->is_keyed && !x->is_streaming,
        .link_bytes = (uint64_t)MAX(x->length_bytes, 0) + LINK_OVERHEAD_BYTES,
        .is_hedge = is_hedge,
        .excluded_count = x->excluded_count,
        .random_bits = bb_random_u64(x->proxy->random),
    };
    const struct bb_table_gatekeeper *chosen = NULL;
    struct bb_pick_result result;

    memcpy(q.excluded, x->excluded, sizeof(q.excluded));
    for (uint32_t i = 0; i < s->usable_gatekeeper_count; i++) {
        const struct bb_table_gatekeeper *g = &s->usable_gatekeepers[i];
        uint64_t host_key = bb_host_key(g->host);

        targets[q.target_count++] = (struct bb_pick_target){
            .host_key = host_key, .distance = g->distance, .slots = g->slots};
        if (g->is_local) {
            update_local_load(x, host_key);
        }
        /* A hedge must not wait in this node's queue. */
        if (is_hedge && g->is_local &&
            q.excluded_count < BB_ROUTE_EXCLUDED_MAX) {
            q.excluded[q.excluded_count++] = host_key;
        }
    }
    attempt->start_us = bb_clock_now_us();
    result = bb_picker_pick(x->proxy->picker, &q, attempt->start_us);
    *reason = result.reason;
    if (result.index >= 0) {
        chosen = &s->usable_gatekeepers[result.index];
        attempt->host_key = targets[result.index].host_key;
        attempt->may_refuse_as_slow = result.may_refuse_as_slow;
    }
    g_free(targets);
    return chosen;
}

/* Returns whether a keyed request may be retried at another gatekeeper. A
 * claim that was not granted can be retried. A granted one can only move once
 * its gatekeeper has refused the request permanently. If that gatekeeper
 * restarted, it is unknown whether the request ran, and *reason and *ran are
 * set to say so. */
static bool
can_move_claim(struct bb_exchange *x, enum bb_reason *reason, enum bb_ran *ran)
{
    enum bb_query_result result;

    if (*reason == BB_REASON_KEY_OWNER_UNAVAILABLE ||
        *reason == BB_REASON_KEY_OWNER_CHANGED) {
        return true;
    }
    if (x->last_gatekeeper == NULL ||
        !bb_exchange_query_gatekeeper(x, x->last_gatekeeper,
                                      x->last_incarnation, &result)) {
        return false;
    }
    if (result == BB_QUERY_OTHER_INCARNATION) {
        *reason = BB_REASON_GATEKEEPER_RESTARTED;
        *ran = BB_RAN_UNKNOWN;
    }
    return result == BB_QUERY_NEVER_SEEN || result == BB_QUERY_REFUSED;
}

/* Prepares the retry of a refused or failed attempt: excludes its gatekeeper
 * and sleeps for the retry delay, after which bb_exchange_run_attempts starts
 * the next attempt. If no retry is allowed, sets a refusal as the outcome.
 * Does nothing while another attempt is active. */
void
bb_exchange_retry_or_refuse(struct bb_exchange *x, uint64_t host_key,
                            enum bb_reason reason, enum bb_ran ran,
                            bool is_body_consumed)
{
    uint64_t now_us = bb_clock_now_us();
    struct bb_retry_request q = {
        .service = x->service_name,
        .reason = reason,
        .ran = ran,
        .is_idempotent = x->is_idempotent,
        .work_class = x->work_class,
        .attempt_count = x->attempt_count,
        .remaining_us = x->deadline_us > now_us ? x->deadline_us - now_us : 0,
        .random_bits = bb_random_u64(x->proxy->random),
    };
    enum bb_reason final = reason;
    uint64_t delay_us = 0;

    x->may_have_run |= ran == BB_RAN_UNKNOWN;
    if (bb_exchange_active_attempts(x) > 0) {
        return;
    }
    q.retry_limit = x->is_forwarded ? 0 : x->route->retry_limit;
    if (x->is_forwarded || is_body_consumed ||
        (x->is_keyed && !can_move_claim(x, &final, &ran)) ||
        !bb_picker_try_retry(x->proxy->picker, &q, &delay_us, &final)) {
        bb_exchange_refuse_as_entry(x, final, ran);
        return;
    }
    bb_reason_count_retry(reason);
    x->last_retry_reason = reason;
    bb_exchange_exclude_gatekeeper(x, host_key);
    bb_clock_sleep_us(delay_us);
}

/* Sends the request of an attempt, after claiming its key if it has one.
 * Returns BB_OUTCOME_NONE once it is sent or a worker has taken it. */
static struct bb_outcome
send_attempt(struct bb_exchange *x, struct bb_attempt *attempt)
{
    struct bb_outcome o = {.kind = BB_OUTCOME_NONE};

    if (x->is_keyed) {
        o = bb_exchange_claim_key(x, attempt);
    }
    if (o.kind == BB_OUTCOME_NONE) {
        o = attempt->is_local ? bb_attempt_start_local(x, attempt)
                              : bb_attempt_start_peer(x, attempt);
    }
    return o;
}

/* Starts an attempt in a free entry of the attempts array. If no gatekeeper
 * can be picked, sets a refusal as the outcome, or does nothing for a hedge.
 */
void
bb_exchange_start_attempt(struct bb_exchange *x, struct bb_attempt *attempt,
                          bool is_hedge)
{
    uint64_t check_us =
        (uint64_t)x->proxy->settings.check_interval_ms * BB_US_PER_MS;
    enum bb_reason reason = BB_REASON_NONE;
    struct bb_outcome o;
    uint64_t host_key;

    *attempt = (struct bb_attempt){.is_local = x->is_forwarded};
    if (!x->is_forwarded) {
        attempt->gatekeeper = pick_gatekeeper(x, attempt, is_hedge, &reason);
        if (attempt->gatekeeper == NULL) {
            if (!is_hedge) {
                /* Gatekeepers that refused are excluded, so their reason
                 * explains the failure better than no_upstream. */
                if (reason == BB_REASON_NO_UPSTREAM &&
                    x->last_retry_reason != BB_REASON_NONE) {
                    reason = x->last_retry_reason;
                }
                bb_exchange_refuse_as_entry(x, reason, BB_RAN_NO);
            }
            return;
        }
        attempt->is_local = attempt->gatekeeper->is_local;
        attempt->incarnation = attempt->gatekeeper->incarnation;
    }
    x->attempt_count++;
    attempt->is_active = true;
    o = send_attempt(x, attempt);
    switch (o.kind) {
    case BB_OUTCOME_NONE:
        bb_call_recovery_init(&attempt->recovery, x->is_idempotent,
                              x->is_keyed, check_us, x->deadline_us,
                              bb_clock_now_us());
        break;
    case BB_OUTCOME_REFUSED:
        host_key = attempt->host_key;
        bb_exchange_finish_attempt(x, attempt,
                                   bb_attempt_result_from_reason(o.reason));
        bb_exchange_retry_or_refuse(x, host_key, o.reason, o.ran, false);
        break;
    case BB_OUTCOME_RESPONSE:
    case BB_OUTCOME_STORED:
        bb_exchange_finish_attempt(x, attempt, BB_ATTEMPT_CANCELLED);
        x->outcome = o;
        break;
    }
}

/* Returns the time at which timers must be checked next, in us. */
static uint64_t
next_wakeup_us(const struct bb_exchange *x)
{
    uint64_t wake_us =
        MIN(x->deadline_us, bb_clock_now_us() + CALLER_CHECK_INTERVAL_US);
    struct bb_hedge_request q;
    uint64_t hedge_us;

    if (bb_exchange_can_hedge(x, &q, &hedge_us)) {
        wake_us = MIN(wake_us, hedge_us);
    }
    for (int i = 0; i < BB_ATTEMPTS_ACTIVE_MAX; i++) {
        const struct bb_attempt *attempt = &x->attempts[i];

        if (attempt->is_active && !attempt->is_local) {
            wake_us = MIN(wake_us,
                          bb_call_recovery_next_wakeup_us(&attempt->recovery));
        }
    }
    return wake_us;
}

/* Spins until a short response that is being read is complete, for at most
 * RESPONSE_SPIN_US and once per attempt. Returns false if there is nothing to
 * spin for. Called with the notifier's lock held, which is released meanwhile.
 */
static bool
spin_for_response(struct bb_exchange *x)
{
    for (int i = 0; i < BB_ATTEMPTS_ACTIVE_MAX; i++) {
        struct bb_attempt *attempt = &x->attempts[i];
        uint64_t end_us;

        if (attempt->call == NULL || attempt->has_spun_for_response ||
            !atomic_load(&attempt->call->is_response_arriving)) {
            continue;
        }
        attempt->has_spun_for_response = true;
        end_us = bb_clock_now_us() + RESPONSE_SPIN_US;
        bb_notifier_unlock(x->notifier);
        while (!atomic_load(&attempt->call->is_state_final) &&
               bb_clock_now_us() < end_us) {
        }
        bb_notifier_lock(x->notifier);
        return true;
    }
    return false;
}

/* Waits for an event of an attempt, at most until the next timer. With
 * until_sending, a peer that accepts the body is an event too. Sets *out for
 * EVENT_ATTEMPT. */
static enum event
wait_for_event(struct bb_exchange *x, bool until_sending,
               struct bb_attempt **out)
{
    enum event event = EVENT_TIMER;
    uint64_t wake_us = next_wakeup_us(x);
    bool is_before_wakeup = true;

    bb_notifier_lock(x->notifier);
    while (event == EVENT_TIMER) {
        for (int i = 0; i < BB_ATTEMPTS_ACTIVE_MAX && event == EVENT_TIMER;
             i++) {
            const struct bb_http_call *call = x->attempts[i].call;

            if (call == NULL || call->state == BB_HTTP_CALL_STARTED) {
                continue;
            }
            if (call->state != BB_HTTP_CALL_SENDING_BODY) {
                event = EVENT_ATTEMPT;
                *out = &x->attempts[i];
            }
            else if (until_sending) {
                event = EVENT_SENDING;
            }
        }
        if (event != EVENT_TIMER || !is_before_wakeup) {
            break;
        }
        if (!spin_for_response(x)) {
            is_before_wakeup = bb_notifier_wait(x->notifier, wake_us);
        }
    }
    bb_notifier_unlock(x->notifier);
    return event;
}

/* Called when the head of a response has arrived. A response that is not a
 * refusal becomes the outcome. */
static void
on_response_head(struct bb_exchange *x, struct bb_attempt *attempt)
{
    if (bb_exchange_process_refusal(x, attempt)) {
        return;
    }
    x->outcome = (struct bb_outcome){.kind = BB_OUTCOME_RESPONSE,
                                     .call = attempt->call};
    bb_exchange_finish_attempt(x, attempt, BB_ATTEMPT_COMPLETED);
    cancel_attempts(x);
}

/* Processes a state change of an attempt's HTTP call. */
static void
on_attempt_event(struct bb_exchange *x, struct bb_attempt *attempt)
{
    uint64_t host_key = attempt->host_key;

    switch (attempt->call->state) {
    case BB_HTTP_CALL_HEAD_RECEIVED:
        on_response_head(x, attempt);
        break;
    case BB_HTTP_CALL_LOST:
        bb_exchange_on_connection_lost(x, attempt);
        break;
    case BB_HTTP_CALL_NOT_CONNECTED:
        bb_exchange_finish_attempt(x, attempt, BB_ATTEMPT_NOT_CONNECTED);
        bb_exchange_retry_or_refuse(x, host_key, BB_REASON_CONNECT_FAILED,
                                    BB_RAN_NO, false);
        break;
    case BB_HTTP_CALL_STARTED:
    case BB_HTTP_CALL_SENDING_BODY:
        break;
    }
}

/* Returns whether the caller of an idempotent request has closed its
 * connection. A non-idempotent request continues, since its response may be
 * requested again. */
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

/* Runs the timers: closed callers, hedges and the recovery of silent attempts.
 */
static void
on_timer(struct bb_exchange *x)
{
    if (is_caller_gone(x)) {
        bb_counter_add(&callers_gone_total, 1);
        cancel_attempts(x);
        bb_exchange_refuse_as_entry(x, BB_REASON_CANCELLED, BB_RAN_UNKNOWN);
        return;
    }
    bb_exchange_try_hedge(x);
    for (int i = 0; i < BB_ATTEMPTS_ACTIVE_MAX; i++) {
        struct bb_attempt *attempt = &x->attempts[i];

        if (x->outcome.kind == BB_OUTCOME_NONE && attempt->is_active &&
            !attempt->is_local) {
            bb_exchange_check_recovery(x, attempt);
        }
    }
}

/* Called when the deadline has passed. The caller gets a refusal at once;
 * workers that still run a call are detached. */
static void
on_deadline(struct bb_exchange *x)
{
    bool was_sent = bb_exchange_active_attempts(x) > 0;

    cancel_attempts(x);
    bb_exchange_refuse_as_entry(x,
                                was_sent ? BB_REASON_DEADLINE_RUNNING
                                         : BB_REASON_DEADLINE_BEFORE_RUN,
                                was_sent ? BB_RAN_UNKNOWN : BB_RAN_NO);
}

/* Runs attempts until the outcome is known. With until_sending, also returns
 * once a peer accepts the body. */
void
bb_exchange_run_attempts(struct bb_exchange *x, bool until_sending)
{
    struct bb_attempt *attempt = NULL;

    if (!x->is_forwarded && x->attempt_count == 0) {
        bb_picker_count_first_attempt(x->proxy->picker);
    }
    while (x->outcome.kind == BB_OUTCOME_NONE) {
        if (bb_clock_now_us() >= x->deadline_us) {
            on_deadline(x);
            break;
        }
        if (bb_exchange_active_attempts(x) == 0) {
            bb_exchange_start_attempt(x, &x->attempts[0], false);
            continue;
        }
        switch (wait_for_event(x, until_sending, &attempt)) {
        case EVENT_SENDING:
            return;
        case EVENT_ATTEMPT:
            on_attempt_event(x, attempt);
            break;
        case EVENT_TIMER:
            on_timer(x);
            break;
        }
    }
}
