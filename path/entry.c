/* Entry: routes the requests of the callers on one host, sets their deadlines
 * and responds to them; attempt.c chooses gates and sends. */
#include "path/entry.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/event_log.h"
#include "common/histogram.h"
#include "common/log.h"
#include "common/random.h"
#include "entry_internal.h"
#include "net/buffers.h"

enum {
    PERCENT = 100,
    PERMILLE = 1000,
    MS_PER_S = 1000,
    /* Each response moves the estimated 95th percentile in steps of 1/100: one
     * down if it was faster, 19 up if it was slower, so that the estimate
     * settles where one response in 20 is slower. */
    P95_STEP_PARTS = 100,
    P95_ONE_IN = 20,
    /* Least part of the target latency that remains for a caller that seems to
     * retry: it may also be one whose deadline is always shorter than that of
     * others on its route. */
    TARGET_MIN_PERCENT = 25,
    /* No hedge before this part of the target latency: until then the first
     * response is expected in time. */
    HEDGE_MIN_PERCENT = 35,
    /* For how long a route is expected to have long responses again. */
    LONG_RESPONSE_MEMORY_MS = 600 * 1000
};

BB_HISTOGRAM(forwarded_time, "baobab_entry_seconds", "outcome=\"answered\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(not_run_time, "baobab_entry_seconds", "outcome=\"not_run\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(unknown_time, "baobab_entry_seconds", "outcome=\"unknown\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(deadline_time, "baobab_entry_seconds", "outcome=\"deadline\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(added_time, "baobab_entry_added_seconds", NULL,
             "Time of an answered request outside of its upstream");

/* Responses of the entry itself, counted by reason. */
#define LOCAL_RESPONSE(reason_)                                               \
    {                                                                         \
        .reason = reason_, .counter = {                                       \
            .name = "baobab_entry_own_answers_total",                         \
            .help = "Answers of the entry itself, by reason",                 \
            .label = "reason=\"" reason_ "\""                                 \
        }                                                                     \
    }

static struct {
    const char *reason;
    struct bb_counter counter;
} local_responses[] = {
    LOCAL_RESPONSE("limit"),
    LOCAL_RESPONSE("deadline"),
    LOCAL_RESPONSE("late"),
    LOCAL_RESPONSE("long_body"),
    LOCAL_RESPONSE("buffers_full"),
    LOCAL_RESPONSE("lost"),
    LOCAL_RESPONSE("no_configuration"),
    LOCAL_RESPONSE("no_gate_left"),
    LOCAL_RESPONSE("no_key"),
    LOCAL_RESPONSE("no_lease"),
    LOCAL_RESPONSE("no_request_id"),
    LOCAL_RESPONSE("no_route"),
    LOCAL_RESPONSE("no_upstream"),
    LOCAL_RESPONSE("quota"),
    LOCAL_RESPONSE("stopping"),
    LOCAL_RESPONSE("unknown_key"),
    LOCAL_RESPONSE("upstream_refused"),
};

/* Registers the counters, which are in a table, before main runs. */
__attribute__((constructor)) static void
register_local_responses(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(local_responses); i++) {
        bb_counter_register(&local_responses[i].counter);
    }
}

BB_COUNTER(requests_total, "baobab_entry_requests_total",
           "Requests of callers on this host");
BB_COUNTER(nested_total, "baobab_entry_calls_total",
           "Requests that the upstream of this host made for one it runs");
BB_COUNTER(forwarded_total, "baobab_entry_answered_total",
           "Answers of upstreams passed on");
BB_COUNTER(caller_disconnected_total, "baobab_entry_gone_total",
           "Requests whose caller left before the answer");
BB_COUNTER(not_run_total, "baobab_entry_refused_total",
           "Requests answered as not run");
BB_COUNTER(unknown_total, "baobab_entry_unknown_total",
           "Requests answered with an unknown outcome");
BB_COUNTER(deadline_total, "baobab_entry_late_total",
           "Requests that reached their deadline");
BB_COUNTER(start_waits_total, "baobab_entry_start_waits_total",
           "Requests that waited for a configuration or an upstream after the "
           "start");
BB_COUNTER(no_route_total, "baobab_entry_no_route_total",
           "Requests without a route");

/* Counts a response of the entry itself, by status and by reason. */
static void
count_local_response(const struct entry_request *rq, uint32_t status,
                     const char *reason)
{
    uint64_t took_us = bb_clock_now_us() - rq->exchange->received_us;

    switch (status) {
    case 503:
        bb_counter_add(&not_run_total, 1);
        bb_histogram_observe(&not_run_time, took_us);
        break;
    case 502:
        bb_counter_add(&unknown_total, 1);
        bb_histogram_observe(&unknown_time, took_us);
        break;
    case 504:
        bb_counter_add(&deadline_total, 1);
        bb_histogram_observe(&deadline_time, took_us);
        break;
    default:
        break;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(local_responses); i++) {
        if (strcmp(local_responses[i].reason, reason) == 0) {
            bb_counter_add(&local_responses[i].counter, 1);
        }
    }
}

/* Sends a response of the entry itself and destroys the request. `reason` is
 * one of local_responses; retry_ms is sent as Retry-After unless it is 0. */
void
request_respond_locally(struct entry_request *rq, uint32_t status,
                        const char *reason, uint32_t retry_ms)
{
    GString *fields = g_string_new(NULL);

    g_string_append_printf(fields, BB_ENTRY_HEADER_REASON ": %s\r\n", reason);
    if (retry_ms != 0) {
        g_string_append_printf(fields, "Retry-After: %u.%03u\r\n",
                               retry_ms / MS_PER_S, retry_ms % MS_PER_S);
    }
    if (status == 401) {
        g_string_append_printf(
            fields, "WWW-Authenticate: %s\r\n",
            rq->entry->settings.dialect->fields.credentials_scheme);
    }
    if (status == 503) {
        entry_quota_return(rq);
    }
    count_local_response(rq, status, reason);
    bb_event_log_format_line(
        rq->log_lines, "entry.answered", rq->id,
        "\"status\":%u,\"reason\":\"%s\",\"attempts\":%u,"
        "\"tries\":%u,\"may_have_run\":%s,\"took_us\":%" G_GUINT64_FORMAT
        ",\"retry_ms\":%u",
        status, reason, rq->upstream_attempts, rq->attempt_count,
        rq->may_have_run ? "true" : "false",
        bb_clock_now_us() - rq->exchange->received_us, retry_ms);
    bb_http_exchange_respond(rq->exchange, status, fields, NULL, 0);
    g_string_free(fields, TRUE);
    request_destroy(rq, BB_EVENT_FAILURE);
}

/* Records the total time of a request that got an upstream's response, and the
 * part of it that was not spent at the upstream. That part is not known for a
 * held response, which no longer belongs to an attempt. */
static void
record_response_time(const struct entry_request *rq,
                     const struct bb_response_relay *response)
{
    uint64_t took_us = bb_clock_now_us() - rq->exchange->received_us;

    bb_histogram_observe(&forwarded_time, took_us);
    for (size_t i = 0; i < G_N_ELEMENTS(rq->attempts); i++) {
        const struct attempt *a = &rq->attempts[i];

        if (response == &a->relay && took_us >= a->upstream_us) {
            bb_histogram_observe(&added_time, took_us - a->upstream_us);
        }
    }
}

/* Passes the rest of an upstream's response on to the caller and destroys the
 * request. Events are logged unless the first attempt brought a response below
 * 500. */
void
request_forward_response(struct entry_request *rq,
                         struct bb_response_relay *response)
{
    bool is_ordinary = response->status < 500 && rq->attempt_count == 1;

    bb_counter_add(&forwarded_total, 1);
    record_response_time(rq, response);
    if (!is_ordinary) {
        bb_event_log_format_line(
            rq->log_lines, "entry.answered", rq->id,
            "\"status\":%u,\"reason\":\"upstream\",\"attempts\":%u,"
            "\"tries\":%u,\"took_us\":%" G_GUINT64_FORMAT,
            response->status, rq->upstream_attempts, rq->attempt_count,
            bb_clock_now_us() - rq->exchange->received_us);
    }
    else {
        g_string_truncate(rq->log_lines, 0);
    }
    bb_response_relay_finish(response, rq->exchange);
    request_destroy(rq, response->status >= 500 ? BB_EVENT_FAILURE
                                                : BB_EVENT_ORDINARY);
}

/* Updates the estimated 95th percentile of the request's class with the time
 * from a send to its response. */
void
request_update_p95(struct entry_request *rq, uint64_t took_us)
{
    uint64_t *p95_us = &rq->entry->p95_us[rq->route->class_index];
    uint64_t step_us = *p95_us / P95_STEP_PARTS;

    if (*p95_us == 0) {
        *p95_us = 2 * took_us;
    }
    else if (took_us > *p95_us) {
        *p95_us += step_us * (P95_ONE_IN - 1);
    }
    else {
        *p95_us -= MIN(step_us, *p95_us - 1);
    }
}

/* Frees the request once libuv has closed its timer. */
static void
free_request(uv_handle_t *h)
{
    struct entry_request *rq = h->data;

    bb_response_relay_clear(&rq->attempts[0].relay);
    bb_response_relay_clear(&rq->attempts[1].relay);
    if (rq->has_held_response) {
        bb_response_relay_clear(&rq->held_response);
    }
    g_string_free(rq->log_lines, TRUE);
    bb_rules_unref(rq->rules);
    g_free(rq);
}

/* Tells the gate that a nested request ends, as its time is not work of the
 * upstream that sent it. */
static void
end_nested(const struct entry_request *rq)
{
    const struct bb_entry_settings *s = &rq->entry->settings;
    char parent[BB_DIALECT_ID_BYTES];

    if (rq->is_nested && s->end_nested != NULL &&
        s->dialect->parse_parent_id(rq->id, parent)) {
        s->end_nested(s->context, parent);
    }
}

/* Destroys a request whose exchange has ended or is gone: writes its events to
 * the log under the given class and cancels its attempts. */
void
request_destroy(struct entry_request *rq, enum bb_event_class event_class)
{
    bb_event_log_write(event_class, rq->log_lines->str, rq->log_lines->len);
    end_nested(rq);
    rq->entry->waiting_count -= rq->is_waiting;
    g_queue_unlink(&rq->entry->requests, &rq->link);
    attempt_cancel(&rq->attempts[0]);
    attempt_cancel(&rq->attempts[1]);
    uv_close((uv_handle_t *)&rq->timer, free_request);
}

/* Returns whether an attempt is in progress. */
static bool
has_active_attempt(const struct entry_request *rq)
{
    return rq->attempts[0].fetch != NULL || rq->attempts[1].fetch != NULL;
}

/* Returns whether the request may run, or have run, at an upstream. An attempt
 * whose connection is not established has sent nothing. */
static bool
may_run(const struct entry_request *rq)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rq->attempts); i++) {
        const struct bb_fetch *f = rq->attempts[i].fetch;

        if (f != NULL && bb_fetch_is_connected(f)) {
            return true;
        }
    }
    return rq->may_have_run;
}

/* Returns whether a part of an upstream's response was sent. */
static bool
is_streaming(const struct entry_request *rq)
{
    return rq->attempts[0].relay.is_streaming ||
           rq->attempts[1].relay.is_streaming;
}

/* Ends a request at its deadline: breaks off a response that is being
 * streamed, passes on a held one, or sends one of the entry itself. */
static void
finish_at_deadline(struct entry_request *rq)
{
    if (is_streaming(rq)) {
        bb_event_log_format_line(rq->log_lines, "entry.broken_off", rq->id,
                                 "\"reason\":\"deadline\"");
        bb_http_exchange_abort(rq->exchange);
        request_destroy(rq, BB_EVENT_FAILURE);
        return;
    }
    if (rq->has_held_response) {
        request_forward_held_response(rq);
        return;
    }
    if (!may_run(rq)) {
        request_respond_locally(rq, 503, "late", 0);
        return;
    }
    attempt_add_overdue_evidence(&rq->attempts[0]);
    attempt_add_overdue_evidence(&rq->attempts[1]);
    request_respond_locally(rq, 504, "deadline", 0);
}

/* Sends a hedge, or ends the request once respond_by_us is reached. Timers run
 * before sockets are read, so that on a late loop the statement of a gate that
 * the request did not run may have arrived: it is read first. */
static void
on_timer(uv_timer_t *t)
{
    struct entry_request *rq = t->data;
    uint64_t now_us = bb_clock_now_us();

    if (now_us < rq->respond_by_us) {
        (void)uv_timer_start(&rq->timer, on_timer,
                             (rq->respond_by_us - now_us) / BB_US_PER_MS + 1,
                             0);
        request_hedge(rq);
        return;
    }
    if (!rq->is_last_turn && has_active_attempt(rq)) {
        rq->is_last_turn = true;
        (void)uv_timer_start(&rq->timer, on_timer, 1, 0);
        return;
    }
    finish_at_deadline(rq);
}

/* Starts the timer: for a hedge if the request may be retried and response
 * times of its class are known, else for respond_by_us. */
static void
start_timer(struct entry_request *rq, uint64_t now_us)
{
    uint64_t p95_us = rq->entry->p95_us[rq->route->class_index];
    uint64_t hedge_min_us = (uint64_t)rq->route->target_latency_ms *
                            BB_US_PER_MS * HEDGE_MIN_PERCENT / PERCENT;
    uint64_t due_us = rq->respond_by_us;

    if (rq->route->is_idempotent && rq->route->upstream_attempts_max > 1 &&
        p95_us != 0) {
        due_us = MIN(due_us, now_us + MAX(p95_us, hedge_min_us));
    }
    (void)uv_timer_start(&rq->timer, on_timer,
                         (due_us - now_us) / BB_US_PER_MS + 1, 0);
}

/* Chooses a service of a route by smooth weighted round-robin, so that even a
 * short series of requests is divided by weight. */
static const char *
choose_service(struct bb_entry *n, const struct bb_rules_route *route)
{
    int64_t *credits;
    uint32_t best = 0;

    if (route->service_count == 1) {
        return route->services[0].service;
    }
    credits = g_hash_table_lookup(n->service_credits, route);
    if (credits == NULL) {
        credits = g_new0(int64_t, route->service_count);
        for (uint32_t i = 0; i < route->service_count; i++) {
            /* Random start, so that nodes are at different points of the
             * cycle. */
            credits[i] = g_random_int_range(
                0, (gint32)MIN(route->weight_sum, G_MAXINT32));
        }
        g_hash_table_insert(n->service_credits, (gpointer)route, credits);
    }
    for (uint32_t i = 0; i < route->service_count; i++) {
        credits[i] += route->services[i].weight;
        if (route->services[i].weight > 0 &&
            (route->services[best].weight == 0 ||
             credits[i] > credits[best])) {
            best = i;
        }
    }
    credits[best] -= (int64_t)route->weight_sum;
    return route->services[best].service;
}

/* Responds to a request that came before the first rules. Callers return at
 * random times, as those of all nodes that start together are refused. */
static void
refuse_without_rules(struct entry_request *rq)
{
    request_respond_locally(rq, 503, "no_configuration",
                            BB_ENTRY_RULES_RETRY_AFTER_MS +
                                (uint32_t)(bb_random_global_u64() %
                                           BB_ENTRY_RULES_RETRY_AFTER_MS));
}

/* Finds the route and the service of a request. If there is none, responds to
 * the request, destroys it and returns false. */
static bool
find_route(struct bb_entry *n, struct entry_request *rq)
{
    const char *host = bb_http_head_get(&rq->exchange->head, "Host");

    rq->rules = bb_rules_ref(n->rules);
    rq->route = bb_rules_match(rq->rules, host != NULL ? host : "",
                               bb_http_head_target(&rq->exchange->head));
    if (rq->route == NULL) {
        bb_counter_add(&no_route_total, 1);
        request_respond_locally(rq, 404, "no_route", 0);
        return false;
    }
    rq->service = bb_directory_get_service(n->settings.directory,
                                           choose_service(n, rq->route));
    return true;
}

/* Sets deadline_us, the earliest of the caller's deadline, the route's
 * timeout, the deadline of the parent request and the end of this process, and
 * target_end_us. The target latency counts
 * from the caller's first request: a deadline shorter than the longest one
 * seen on the route is taken as a sign that the caller retries, and the target
 * latency is shortened by the difference, down to TARGET_MIN_PERCENT of it.
 * For a nested request, target_end_us is instead moved halfway to the
 * deadline. */
static void
set_deadlines(struct entry_request *rq)
{
    const struct bb_dialect_fields *names =
        &rq->entry->settings.dialect->fields;
    uint64_t from_us = rq->exchange->received_us;
    uint64_t *longest_us =
        &rq->entry->longest_deadline_us[rq->route->route_group];
    uint64_t left_ms = BB_ENTRY_DEADLINE_MAX_MS;
    uint64_t left_us;
    uint64_t target_latency_us =
        (uint64_t)rq->route->target_latency_ms * BB_US_PER_MS;

    (void)bb_http_head_get_u64(&rq->exchange->head, names->deadline_ms,
                               &left_ms);
    left_us = MIN(left_ms, (uint64_t)BB_ENTRY_DEADLINE_MAX_MS) * BB_US_PER_MS;
    *longest_us = MAX(*longest_us, left_us);
    if (!rq->is_nested) {
        target_latency_us = MAX(
            target_latency_us - MIN(target_latency_us, *longest_us - left_us),
            target_latency_us * TARGET_MIN_PERCENT / PERCENT);
    }
    rq->deadline_us =
        from_us + MIN(left_us, (uint64_t)rq->route->timeout_ms * BB_US_PER_MS);
    if (rq->entry->end_us != 0) {
        rq->deadline_us = MIN(rq->deadline_us, rq->entry->end_us);
    }
    rq->deadline_us = MIN(rq->deadline_us, rq->parent_deadline_us);
    rq->target_end_us = from_us + target_latency_us;
    if (rq->is_nested && rq->target_end_us < rq->deadline_us) {
        /* Even a late response saves the work done for the parent request. */
        rq->target_end_us += (rq->deadline_us - rq->target_end_us) / 2;
    }
    /* Leaves the gate time to state that the request did not run. */
    rq->respond_by_us = MIN(
        from_us + left_us,
        rq->deadline_us + (uint64_t)BB_ENTRY_REFUSAL_GRACE_MS * BB_US_PER_MS);
}

/* Sets is_nested and parent_deadline_us if the upstream of this host sent the
 * request while it runs another one. Callers and upstream share an address,
 * and any client may send an id of this form, so the parent must be running at
 * the upstream. */
static void
detect_nested(struct entry_request *rq)
{
    const struct bb_entry_settings *s = &rq->entry->settings;
    char parent[BB_DIALECT_ID_BYTES];

    rq->parent_deadline_us = UINT64_MAX;
    if (!s->dialect->parse_parent_id(rq->id, parent)) {
        return;
    }
    rq->is_nested = s->is_running(s->context, parent, &rq->is_parent_retry);
    bb_counter_add(&nested_total, rq->is_nested);
    if (s->begin_nested != NULL) {
        rq->parent_deadline_us = s->begin_nested(s->context, parent);
    }
}

/* Keeps the requests behind this one from being sent on if the route has had
 * a long response lately: they would be lost if that one broke off. */
static void
set_expected_length(struct entry_request *rq, uint64_t now_us)
{
    uint64_t long_us = rq->entry->long_response_us[rq->route->route_group];

    rq->exchange->expects_long_response =
        long_us != 0 &&
        now_us - long_us < (uint64_t)LONG_RESPONSE_MEMORY_MS * BB_US_PER_MS;
}

/* Routes a request and starts its first attempt. */
static void
start_request(struct entry_request *rq)
{
    struct bb_entry *n = rq->entry;
    uint64_t now_us = bb_clock_now_us();

    if (!find_route(n, rq) || !request_admit_team(rq)) {
        return;
    }
    set_deadlines(rq);
    set_expected_length(rq, now_us);
    bb_event_log_format_line(
        rq->log_lines, "entry.routed", rq->id,
        "\"route\":\"%s\",\"service\":\"%s\",\"version\":%" G_GUINT64_FORMAT
        ",\"is_call\":%s,\"left_ms\":%d",
        rq->route->name, rq->service->name, rq->rules->version,
        rq->is_nested ? "true" : "false",
        (int)(((int64_t)rq->deadline_us - (int64_t)now_us) / BB_US_PER_MS));
    if (rq->deadline_us <= now_us) {
        request_respond_locally(rq, 503, "late", 0);
        return;
    }
    if (!entry_quota_admit(rq)) {
        return;
    }
    start_timer(rq, now_us);
    /* A request nested in a retry counts as a retry itself. */
    bb_retry_window_count_first_attempt(
        &rq->service->retry_window, &n->settings.retry_limits,
        rq->is_parent_retry ? PERMILLE : 0, now_us);
    request_try_next_gate(rq);
}

/* Returns whether a service of a route has had a ready gate. */
static bool
had_ready_gate(const struct bb_entry *n, const struct bb_rules_route *route)
{
    for (uint32_t i = 0; i < route->service_count; i++) {
        if (bb_directory_get_service(n->settings.directory,
                                     route->services[i].service)
                ->had_ready_gate) {
            return true;
        }
    }
    return false;
}

/* Returns whether a request can be sent to a gate, or be refused for another
 * reason than that this entry has just started. */
static bool
can_start(const struct entry_request *rq)
{
    const struct bb_entry *n = rq->entry;
    const char *host = bb_http_head_get(&rq->exchange->head, "Host");
    const struct bb_rules_route *route;
    bool is_undecided = false;
    bool lacks_key;

    if (n->rules == NULL) {
        return false;
    }
    route = bb_rules_match(n->rules, host != NULL ? host : "",
                           bb_http_head_target(&rq->exchange->head));
    if (route == NULL) {
        return true;
    }
    lacks_key = request_lacks_key(rq, n->rules, route, &is_undecided);
    return !is_undecided && (lacks_key || had_ready_gate(n, route));
}

/* Ends the wait of a request. */
static void
leave_waiting(struct entry_request *rq)
{
    rq->is_waiting = false;
    rq->entry->waiting_count--;
    (void)uv_timer_stop(&rq->timer);
    if (rq->exchange->is_paused) {
        bb_http_exchange_resume(rq->exchange);
    }
    if (rq->entry->rules == NULL) {
        refuse_without_rules(rq);
    }
    else {
        start_request(rq);
    }
}

/* Ends the wait of a request if it can start or has waited long enough. */
static void
on_wait_timer(uv_timer_t *t)
{
    struct entry_request *rq = t->data;

    if (bb_clock_now_us() >= MIN(rq->respond_by_us, rq->entry->start_end_us) ||
        can_start(rq)) {
        leave_waiting(rq);
    }
}

/* Lets a request wait until it can start. */
static void
begin_waiting(struct entry_request *rq)
{
    uint64_t left_ms = BB_ENTRY_START_WAIT_MS;

    (void)bb_http_head_get_u64(&rq->exchange->head,
                               rq->entry->settings.dialect->fields.deadline_ms,
                               &left_ms);
    bb_counter_add(&start_waits_total, 1);
    if (!rq->exchange->is_body_complete) {
        bb_http_exchange_pause(rq->exchange); /* until it starts */
    }
    rq->is_waiting = true;
    rq->entry->waiting_count++;
    rq->deadline_us = UINT64_MAX; /* not known without a route */
    rq->respond_by_us =
        rq->exchange->received_us +
        MIN(left_ms, (uint64_t)BB_ENTRY_START_WAIT_MS) * BB_US_PER_MS;
    (void)uv_timer_start(&rq->timer, on_wait_timer, BB_ENTRY_START_POLL_MS,
                         BB_ENTRY_START_POLL_MS);
}

/* Returns whether a request is to wait, as rules and gates are expected soon.
 * Load: all nodes of the fleet start at once, and callers come before the
 * configuration and before the upstreams are confirmed. */
static bool
should_wait(const struct entry_request *rq)
{
    const struct bb_entry *n = rq->entry;

    return bb_clock_now_us() < n->start_end_us &&
           n->waiting_count < BB_ENTRY_START_WAITING_MAX && !can_start(rq);
}

/* Accepts a request of a caller, and starts it once it can be. */
static void
on_request(void *context, struct bb_http_exchange *x)
{
    struct bb_entry *n = context;
    struct entry_request *rq = g_new0(struct entry_request, 1);
    const char *id;

    bb_counter_add(&requests_total, 1);
    rq->entry = n;
    rq->exchange = x;
    x->user_data = rq;
    rq->link.data = rq;
    g_queue_push_tail_link(&n->requests, &rq->link);
    rq->log_lines = g_string_new(NULL);
    (void)uv_timer_init(n->loop, &rq->timer);
    rq->timer.data = rq;
    for (size_t i = 0; i < G_N_ELEMENTS(rq->attempts); i++) {
        rq->attempts[i].request = rq;
        bb_response_relay_init(&rq->attempts[i].relay);
    }
    id = bb_http_head_get(&x->head, n->settings.dialect->fields.request_id);
    if (id == NULL || strlen(id) >= sizeof(rq->id)) {
        request_respond_locally(rq, 400, "no_request_id", 0);
        return;
    }
    g_strlcpy(rq->id, id, sizeof(rq->id));
    if (n->is_stopping) {
        request_respond_locally(rq, 503, "stopping",
                                BB_ENTRY_RETRY_AFTER_MIN_MS);
        return;
    }
    if (bb_buffers_are_exhausted()) {
        request_respond_locally(rq, 503, "buffers_full",
                                BB_ENTRY_RETRY_AFTER_MIN_MS);
        return;
    }
    detect_nested(rq);
    if (should_wait(rq)) {
        begin_waiting(rq);
    }
    else if (n->rules == NULL) {
        refuse_without_rules(rq);
    }
    else {
        start_request(rq);
    }
}

/* Sends on more of a request body that is being streamed. */
static void
on_request_body(void *context, struct bb_http_exchange *x)
{
    struct entry_request *rq = x->user_data;

    (void)context;
    if (rq->is_body_streamed) {
        request_send_body(rq);
    }
}

/* Resumes reading responses once the caller has read what was queued. */
static void
on_caller_writable(void *context, struct bb_http_exchange *x)
{
    struct entry_request *rq = x->user_data;

    (void)context;
    for (size_t i = 0; i < G_N_ELEMENTS(rq->attempts); i++) {
        if (rq->attempts[i].fetch != NULL) {
            bb_fetch_resume(rq->attempts[i].fetch);
        }
    }
}

/* Cancels a request whose connection was closed; the server has logged why if
 * it was not the caller that left. */
static void
on_caller_disconnected(void *context, struct bb_http_exchange *x,
                       enum bb_http_server_close_reason reason)
{
    struct entry_request *rq = x->user_data;

    (void)context;
    if (rq == NULL) {
        return;
    }
    if (reason == BB_HTTP_SERVER_PEER_CLOSED) {
        bb_counter_add(&caller_disconnected_total, 1);
        bb_event_log_format_line(rq->log_lines, "entry.caller_left", rq->id,
                                 "\"took_us\":%" G_GUINT64_FORMAT
                                 ",\"running\":%s",
                                 bb_clock_now_us() - x->received_us,
                                 has_active_attempt(rq) ? "true" : "false");
    }
    if (!has_active_attempt(rq)) {
        entry_quota_return(rq);
    }
    request_destroy(rq, BB_EVENT_FAILURE);
}

/* Returns whether a request may run before the responses to earlier ones of
 * its connection are complete: if its route is idempotent. */
static bool
can_overlap(void *context, const struct bb_http_head *h)
{
    const struct bb_entry *n = context;
    const char *host = bb_http_head_get(h, "Host");
    const struct bb_rules_route *route =
        n->rules != NULL ? bb_rules_match(n->rules, host != NULL ? host : "",
                                          bb_http_head_target(h))
                         : NULL;

    return route != NULL && route->is_idempotent;
}

static const struct bb_http_server_handler handler = {
    .may_overlap = can_overlap,
    .request = on_request,
    .body_received = on_request_body,
    .output_drained = on_caller_writable,
    .disconnected = on_caller_disconnected};

/* Creates the entry, which responds with 503 until bb_entry_set_rules. Keeps a
 * copy of the settings, but not of the texts and objects that they point to.
 * Returns NULL and sets the error if it cannot listen on the address. */
struct bb_entry *
bb_entry_create(uv_loop_t *loop, const struct bb_entry_settings *s,
                struct bb_error *e)
{
    static const struct bb_connection_pool_settings pool = {
        .connect_timeout_ms = BB_ENTRY_CONNECT_TIMEOUT_MS,
        .idle_max_ms = BB_ENTRY_IDLE_MAX_MS};
    struct bb_entry *n = g_new0(struct bb_entry, 1);

    n->loop = loop;
    n->settings = *s;
    n->start_end_us =
        bb_clock_now_us() + (uint64_t)BB_ENTRY_START_MS * BB_US_PER_MS;
    n->pool = bb_connection_pool_create(loop, &pool);
    n->service_credits = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    n->quota_refusals =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_queue_init(&n->requests);
    n->server =
        bb_http_server_create(loop, &s->listen_address, &handler, n, e);
    if (n->server == NULL) {
        bb_entry_destroy(n);
        return NULL;
    }
    bb_http_server_set_log_names(n->server, "entry",
                                 s->dialect->fields.request_id);
    return n;
}

/* Returns a request that waits although it can start, or NULL. */
static struct entry_request *
find_startable(const struct bb_entry *n)
{
    for (const GList *l = n->requests.head; l != NULL; l = l->next) {
        struct entry_request *rq = l->data;

        if (rq->is_waiting && can_start(rq)) {
            return rq;
        }
    }
    return NULL;
}

/* Replaces the rules and takes a reference; requests in progress keep those
 * that they started with. */
void
bb_entry_set_rules(struct bb_entry *n, struct bb_rules *r)
{
    struct bb_http_server_limits limits = r->limits;
    struct entry_request *rq;

    if (n->rules == NULL) {
        n->start_end_us =
            MIN(n->start_end_us,
                bb_clock_now_us() +
                    (uint64_t)BB_ENTRY_START_GATES_MS * BB_US_PER_MS);
    }
    else if (n->settings.has_lease != NULL && r->requires_keys &&
             !n->rules->requires_keys) {
        /* The first lease is asked for only now. */
        n->start_end_us = bb_clock_now_us() +
                          (uint64_t)BB_ENTRY_START_GATES_MS * BB_US_PER_MS;
    }
    bb_rules_unref(n->rules);
    n->rules = bb_rules_ref(r);
    g_hash_table_remove_all(n->service_credits);
    limits.request_head_max_bytes =
        MIN(limits.request_head_max_bytes, (uint32_t)BB_ENTRY_HEAD_MAX_BYTES);
    bb_http_server_set_limits(n->server, &limits);
    /* From the first one again, as a response may end other requests. */
    while ((rq = find_startable(n)) != NULL) {
        leave_waiting(rq);
    }
}

/* Closes connections of callers: sends `Connection: close` with each further
 * response, unless later requests of the connection already wait behind it. */
void
bb_entry_disable_keep_alive(struct bb_entry *n)
{
    bb_http_server_disable_keep_alive(n->server);
}

/* Responds to each further request with 503; requests in progress are
 * finished. */
void
bb_entry_refuse_requests(struct bb_entry *n)
{
    n->is_stopping = true;
}

/* Sets the latest deadline of further requests, on the monotonic clock: a
 * process that stops must not give an upstream more time than it has itself.
 */
void
bb_entry_limit_deadlines(struct bb_entry *n, uint64_t end_us)
{
    n->end_us = end_us;
}

/* Returns a request whose response has not begun, or NULL. */
static struct entry_request *
find_unanswered(const struct bb_entry *n)
{
    for (const GList *l = n->requests.head; l != NULL; l = l->next) {
        if (!is_streaming(l->data)) {
            return l->data;
        }
    }
    return NULL;
}

/* Responds to the requests in progress, except those whose response has begun,
 * so that complete responses that wait behind theirs are sent. For use after
 * bb_entry_refuse_requests. */
void
bb_entry_end_requests(struct bb_entry *n)
{
    struct entry_request *rq;
    uint64_t now_us = bb_clock_now_us();

    /* From the first one again, as a response may end other requests. */
    while ((rq = find_unanswered(n)) != NULL) {
        /* On a late loop, the timer of the request may be due as well. */
        if (now_us >= rq->deadline_us) {
            finish_at_deadline(rq);
        }
        else if (rq->has_held_response) {
            request_forward_held_response(rq);
        }
        else if (may_run(rq)) {
            request_respond_locally(rq, 502, "stopping", 0);
        }
        else {
            request_respond_locally(rq, 503, "stopping",
                                    BB_ENTRY_RETRY_AFTER_MIN_MS);
        }
    }
}

/* Returns what callers have open. */
struct bb_http_server_open
bb_entry_count_open(const struct bb_entry *n)
{
    return bb_http_server_count_open(n->server);
}

/* Destroys the entry and its connections; NULL is allowed. */
void
bb_entry_destroy(struct bb_entry *n)
{
    if (n != NULL) {
        bb_http_server_destroy(n->server);
        bb_connection_pool_destroy(n->pool);
        g_hash_table_destroy(n->service_credits);
        g_hash_table_destroy(n->quota_refusals);
        bb_rules_unref(n->rules);
        g_free(n);
    }
}
