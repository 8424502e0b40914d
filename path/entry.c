/* The entry for the callers of one host. */
#include "path/entry.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/event_log.h"
#include "common/histogram.h"
#include "common/log.h"
#include "entry_internal.h"

enum {
    PERCENT = 100,
    ALL_PERMILLE = 1000,
    /* Step of the estimate of slow answers: a part of it, and how many parts
     * make the share that is slower one in so many. */
    SLOW_STEP = 100,
    SLOW_PARTS = 20,
    /* Left of the aim of a caller that seems to have come before: it may also
     * be one that waits less long than others on its route. */
    LEAST_AIM_PERCENT = 25,
    /* No hedge before this part of the aim: the answer is in time anyway. */
    HEDGE_AIM_PERCENT = 35
};

BB_HISTOGRAM(answered_time, "baobab_entry_seconds", "outcome=\"answered\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(refused_time, "baobab_entry_seconds", "outcome=\"not_run\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(unknown_time, "baobab_entry_seconds", "outcome=\"unknown\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(late_time, "baobab_entry_seconds", "outcome=\"deadline\"",
             "From the arrival of a request to its answer");
BB_HISTOGRAM(added_time, "baobab_entry_added_seconds", NULL,
             "Time of an answered request outside of its upstream");

/* Answers of this node by reason. */
#define OWN_ANSWER(reason_)                                                   \
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
} own_answers[] = {
    OWN_ANSWER("deadline"),         OWN_ANSWER("late"),
    OWN_ANSWER("long_body"),        OWN_ANSWER("lost"),
    OWN_ANSWER("no_configuration"), OWN_ANSWER("no_gate_left"),
    OWN_ANSWER("no_request_id"),    OWN_ANSWER("no_route"),
    OWN_ANSWER("no_upstream"),      OWN_ANSWER("stopping"),
    OWN_ANSWER("upstream_refused"),
};

__attribute__((constructor)) static void
register_own_answers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(own_answers); i++) {
        bb_counter_register(&own_answers[i].counter);
    }
}

BB_COUNTER(requests_total, "baobab_entry_requests_total",
           "Requests of callers on this host");
BB_COUNTER(calls_total, "baobab_entry_calls_total",
           "Requests that the upstream of this host made for one it runs");
BB_COUNTER(answered_total, "baobab_entry_answered_total",
           "Answers of upstreams passed on");
BB_COUNTER(gone_total, "baobab_entry_gone_total",
           "Requests whose caller left before the answer");
BB_COUNTER(refused_total, "baobab_entry_refused_total",
           "Requests answered as not run");
BB_COUNTER(unknown_total, "baobab_entry_unknown_total",
           "Requests answered with an unknown outcome");
BB_COUNTER(late_total, "baobab_entry_late_total",
           "Requests that reached their deadline");
BB_COUNTER(no_route_total, "baobab_entry_no_route_total",
           "Requests without a route");

/* Counts an answer of this node itself, by status and by reason. */
static void
count_own_answer(const struct call *c, uint32_t status, const char *reason)
{
    uint64_t took_us = bb_clock_now_us() - c->neon_request->arrived_us;

    switch (status) {
    case 503:
        bb_counter_add(&refused_total, 1);
        bb_histogram_add(&refused_time, took_us);
        break;
    case 502:
        bb_counter_add(&unknown_total, 1);
        bb_histogram_add(&unknown_time, took_us);
        break;
    case 504:
        bb_counter_add(&late_total, 1);
        bb_histogram_add(&late_time, took_us);
        break;
    default:
        break;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(own_answers); i++) {
        if (strcmp(own_answers[i].reason, reason) == 0) {
            bb_counter_add(&own_answers[i].counter, 1);
        }
    }
}

/* Answers a request by this node itself. */
void
call_answer(struct call *c, uint32_t status, const char *reason,
            uint32_t retry_ms)
{
    GString *fields = g_string_new(NULL);

    g_string_append_printf(fields, BB_FIELD_REASON ": %s\r\n", reason);
    if (retry_ms != 0) {
        g_string_append_printf(fields, "Retry-After: %u.%03u\r\n",
                               retry_ms / 1000, retry_ms % 1000);
    }
    count_own_answer(c, status, reason);
    bb_event_append(
        c->lines, "entry.answered", c->id,
        "\"status\":%u,\"reason\":\"%s\",\"attempts\":%u,"
        "\"tries\":%u,\"may_have_run\":%s,\"took_us\":%" G_GUINT64_FORMAT
        ",\"retry_ms\":%u",
        status, reason, c->arrivals, c->tries,
        c->may_have_run ? "true" : "false",
        bb_clock_now_us() - c->neon_request->arrived_us, retry_ms);
    bb_exchange_answer(c->neon_request, status, fields, NULL, 0);
    g_string_free(fields, TRUE);
    call_destroy(c, BB_EVENT_FAILURE);
}

/* Counts how long an answered request took, and how much of it was spent
 * outside of its upstream. */
static void
note_times(const struct call *c, const struct bb_relay *answer)
{
    uint64_t took_us = bb_clock_now_us() - c->neon_request->arrived_us;

    bb_histogram_add(&answered_time, took_us);
    for (size_t i = 0; i < G_N_ELEMENTS(c->attempts_now); i++) {
        const struct attempt *a = &c->attempts_now[i];

        if (answer == &a->relay && took_us >= a->ran_us) {
            bb_histogram_add(&added_time, took_us - a->ran_us);
        }
    }
}

/* Passes a collected answer of an upstream on. */
void
call_deliver(struct call *c, struct bb_relay *answer)
{
    bool is_plain = answer->status < 500 && c->tries == 1;

    bb_counter_add(&answered_total, 1);
    note_times(c, answer);
    if (!is_plain) {
        bb_event_append(
            c->lines, "entry.answered", c->id,
            "\"status\":%u,\"reason\":\"upstream\",\"attempts\":%u,"
            "\"tries\":%u,\"took_us\":%" G_GUINT64_FORMAT,
            answer->status, c->arrivals, c->tries,
            bb_clock_now_us() - c->neon_request->arrived_us);
    }
    else {
        g_string_truncate(c->lines, 0);
    }
    bb_relay_finish(answer, c->neon_request);
    call_destroy(c,
                 answer->status >= 500 ? BB_EVENT_FAILURE : BB_EVENT_ORDINARY);
}

/* Moves the estimate of a class's slow answers: up by nineteen parts for each
 * slower one, down by one part for each faster one. */
void
call_note_duration(struct call *c, uint64_t took_us)
{
    uint64_t *slow_us = &c->entry->slow_us[c->rule->class_index];
    uint64_t part_us = *slow_us / SLOW_STEP;

    if (*slow_us == 0) {
        *slow_us = 2 * took_us;
    }
    else if (took_us > *slow_us) {
        *slow_us += part_us * (SLOW_PARTS - 1);
    }
    else {
        *slow_us -= MIN(part_us, *slow_us - 1);
    }
}

static void
free_call(uv_handle_t *h)
{
    struct call *c = h->data;

    bb_relay_clear(&c->attempts_now[0].relay);
    bb_relay_clear(&c->attempts_now[1].relay);
    if (c->has_held_answer) {
        bb_relay_clear(&c->held);
    }
    g_string_free(c->lines, TRUE);
    bb_rules_unref(c->rules);
    g_free(c);
}

/* Ends a call whose exchange is answered or gone; writes its log lines. */
void
call_destroy(struct call *c, enum bb_event_class lines)
{
    bb_events_put(lines, c->lines->str, c->lines->len);
    attempt_cancel(&c->attempts_now[0]);
    attempt_cancel(&c->attempts_now[1]);
    uv_close((uv_handle_t *)&c->timer, free_call);
}

/* Returns whether a send to a gate is under way. */
static bool
is_under_way(const struct call *c)
{
    return c->attempts_now[0].fetch != NULL ||
           c->attempts_now[1].fetch != NULL;
}

/* Ends a call at its deadline. */
static void
end_call(struct call *c)
{
    if (c->attempts_now[0].relay.is_streaming ||
        c->attempts_now[1].relay.is_streaming) {
        bb_event_append(c->lines, "entry.broken_off", c->id,
                        "\"reason\":\"deadline\"");
        bb_exchange_abort(c->neon_request);
        call_destroy(c, BB_EVENT_FAILURE);
        return;
    }
    if (c->has_held_answer) {
        call_deliver_held(c);
        return;
    }
    if (!is_under_way(c) && !c->may_have_run) {
        call_answer(c, 503, "late", 0);
        return;
    }
    call_answer(c, 504, "deadline", 0);
}

static void
run_timer(uv_timer_t *t)
{
    struct call *c = t->data;
    uint64_t now_us = bb_clock_now_us();

    if (now_us < c->answer_us) {
        (void)uv_timer_start(&c->timer, run_timer,
                             (c->answer_us - now_us) / BB_US_PER_MS + 1, 0);
        call_hedge(c);
        return;
    }
    end_call(c);
}

/* Sets the timer: to the time after which a request that may be repeated is
 * slow, or to the deadline. */
static void
start_timer(struct call *c, uint64_t now_us)
{
    uint64_t slow_us = c->entry->slow_us[c->rule->class_index];
    uint64_t least_us =
        (uint64_t)c->rule->aim_ms * BB_US_PER_MS * HEDGE_AIM_PERCENT / PERCENT;
    uint64_t due_us = c->answer_us;

    if (c->rule->is_idempotent && c->rule->attempts > 1 && slow_us != 0) {
        due_us = MIN(due_us, now_us + MAX(slow_us, least_us));
    }
    (void)uv_timer_start(&c->timer, run_timer,
                         (due_us - now_us) / BB_US_PER_MS + 1, 0);
}

/* Chooses among the services of a route so that each gets its share of every
 * run of requests, also of a short one. */
static const char *
choose_service(struct bb_entry *n, const struct bb_rule *rule)
{
    int64_t *credits;
    uint32_t best = 0;

    if (rule->part_count == 1) {
        return rule->parts[0].service;
    }
    credits = g_hash_table_lookup(n->splits, rule);
    if (credits == NULL) {
        credits = g_new0(int64_t, rule->part_count);
        for (uint32_t i = 0; i < rule->part_count; i++) {
            /* Nodes start at different places of the cycle. */
            credits[i] = g_random_int_range(
                0, (gint32)MIN(rule->weight_sum, G_MAXINT32));
        }
        g_hash_table_insert(n->splits, (gpointer)rule, credits);
    }
    for (uint32_t i = 0; i < rule->part_count; i++) {
        credits[i] += rule->parts[i].weight;
        if (rule->parts[i].weight > 0 &&
            (rule->parts[best].weight == 0 || credits[i] > credits[best])) {
            best = i;
        }
    }
    credits[best] -= (int64_t)rule->weight_sum;
    return rule->parts[best].service;
}

/* Finds the route of a request. Returns false after an answer was given. */
static bool
find_route(struct bb_entry *n, struct call *c)
{
    const char *host = bb_head_get(&c->neon_request->head, "Host");

    if (n->rules == NULL) {
        call_answer(c, 503, "no_configuration", BB_ENTRY_RETRY_MIN_MS);
        return false;
    }
    c->rules = bb_rules_ref(n->rules);
    c->rule = bb_rules_match(c->rules, host != NULL ? host : "",
                             bb_head_target(&c->neon_request->head));
    if (c->rule == NULL) {
        bb_counter_add(&no_route_total, 1);
        call_answer(c, 404, "no_route", 0);
        return false;
    }
    c->service = bb_directory_service(n->settings.directory,
                                      choose_service(n, c->rule));
    return true;
}

/* Sets the times of a call: the caller's and the route's, whichever ends
 * first. The aim counts from the caller's first attempt: one that comes again
 * has that much less of its time left. */
static void
set_times(struct call *c)
{
    const struct bb_dialect_fields *names =
        &c->entry->settings.dialect->fields;
    uint64_t from_us = c->neon_request->arrived_us;
    uint64_t *patience_us = &c->entry->patience_us[c->rule->callers_index];
    uint64_t left_ms = BB_ENTRY_DEADLINE_MS;
    uint64_t left_us;
    uint64_t aim_us = (uint64_t)c->rule->aim_ms * BB_US_PER_MS;

    (void)bb_head_get_u64(&c->neon_request->head, names->deadline_ms, &left_ms);
    left_us = MIN(left_ms, (uint64_t)BB_ENTRY_DEADLINE_MS) * BB_US_PER_MS;
    *patience_us = MAX(*patience_us, left_us);
    if (!c->is_nested) {
        aim_us = MAX(aim_us - MIN(aim_us, *patience_us - left_us),
                     aim_us * LEAST_AIM_PERCENT / PERCENT);
    }
    c->deadline_us =
        from_us + MIN(left_us, (uint64_t)c->rule->timeout_ms * BB_US_PER_MS);
    c->aim_us = from_us + aim_us;
    if (c->is_nested && c->aim_us < c->deadline_us) {
        /* Late it still saves what its parent has run. */
        c->aim_us += (c->deadline_us - c->aim_us) / 2;
    }
    /* The gate's own word comes before, if there is time for it. */
    c->answer_us =
        MIN(from_us + left_us,
            c->deadline_us + (uint64_t)BB_ENTRY_LAST_WORD_MS * BB_US_PER_MS);
}

/* Finds out whether the upstream of this host makes the request, for one that
 * it runs. Callers and upstream share addresses; an id that only looks like
 * that of a call is no call. */
static void
find_parent(struct call *c)
{
    const struct bb_entry_settings *s = &c->entry->settings;
    char parent[BB_DIALECT_ID_BYTES];

    c->is_nested = s->dialect->read_parent(c->id, parent) &&
                   s->find_running(s->context, parent, &c->is_of_repeat);
    bb_counter_add(&calls_total, c->is_nested);
}

static void
begin(void *context, struct bb_exchange *x)
{
    struct bb_entry *n = context;
    struct call *c = g_new0(struct call, 1);
    const char *id;
    uint64_t now_us = bb_clock_now_us();

    bb_counter_add(&requests_total, 1);
    c->entry = n;
    c->neon_request = x;
    x->user = c;
    c->lines = g_string_new(NULL);
    (void)uv_timer_init(n->loop, &c->timer);
    c->timer.data = c;
    for (size_t i = 0; i < G_N_ELEMENTS(c->attempts_now); i++) {
        c->attempts_now[i].call = c;
        bb_relay_init(&c->attempts_now[i].relay);
    }
    id = bb_head_get(&x->head, n->settings.dialect->fields.request_id);
    if (id == NULL || strlen(id) >= sizeof(c->id)) {
        call_answer(c, 400, "no_request_id", 0);
        return;
    }
    g_strlcpy(c->id, id, sizeof(c->id));
    if (n->is_stopping) {
        call_answer(c, 503, "stopping", BB_ENTRY_RETRY_MIN_MS);
        return;
    }
    if (!find_route(n, c)) {
        return;
    }
    find_parent(c);
    set_times(c);
    bb_event_append(
        c->lines, "entry.routed", c->id,
        "\"route\":\"%s\",\"service\":\"%s\",\"version\":%" G_GUINT64_FORMAT
        ",\"is_call\":%s,\"left_ms\":%d",
        c->rule->name, c->service->name, c->rules->version,
        c->is_nested ? "true" : "false",
        (int)(((int64_t)c->deadline_us - (int64_t)now_us) / BB_US_PER_MS));
    if (c->deadline_us <= now_us) {
        call_answer(c, 503, "late", 0);
        return;
    }
    start_timer(c, now_us);
    bb_retry_window_first(&c->service->retries, &n->settings.retries,
                          c->is_of_repeat ? ALL_PERMILLE : 0, now_us);
    call_try(c);
}

static void
take_more(void *context, struct bb_exchange *x)
{
    struct call *c = x->user;

    (void)context;
    if (c->is_long) {
        call_send_more(c);
    }
}

static void
resume(void *context, struct bb_exchange *x)
{
    struct call *c = x->user;

    (void)context;
    for (size_t i = 0; i < G_N_ELEMENTS(c->attempts_now); i++) {
        if (c->attempts_now[i].fetch != NULL) {
            bb_fetch_resume(c->attempts_now[i].fetch);
        }
    }
}

/* Stops all work for a caller that left. */
static void
gone(void *context, struct bb_exchange *x)
{
    struct call *c = x->user;

    (void)context;
    if (c == NULL) {
        return;
    }
    bb_counter_add(&gone_total, 1);
    bb_event_append(c->lines, "entry.caller_left", c->id,
                    "\"took_us\":%" G_GUINT64_FORMAT ",\"running\":%s",
                    bb_clock_now_us() - x->arrived_us,
                    is_under_way(c) ? "true" : "false");
    call_destroy(c, BB_EVENT_FAILURE);
}

/* Lets safe requests run beside the ones before them on a connection. */
static bool
may_overlap(void *context, const struct bb_head *h)
{
    const struct bb_entry *n = context;
    const char *host = bb_head_get(h, "Host");
    const struct bb_rule *rule =
        n->rules != NULL ? bb_rules_match(n->rules, host != NULL ? host : "",
                                          bb_head_target(h))
                         : NULL;

    return rule != NULL && rule->is_idempotent;
}

static const struct bb_server_handler handler = {.may_overlap = may_overlap,
                                                 .begin = begin,
                                                 .body = take_more,
                                                 .drained = resume,
                                                 .gone = gone};

/* Opens the entry. It answers 503 until bb_entry_set_rules. Returns NULL and
 * an error if the address cannot be used. */
struct bb_entry *
bb_entry_create(uv_loop_t *loop, const struct bb_entry_settings *s,
                struct bb_error *e)
{
    static const struct bb_pool_settings pool = {
        .connect_timeout_ms = BB_ENTRY_CONNECT_MS,
        .idle_max_ms = BB_ENTRY_IDLE_MS};
    struct bb_entry *n = g_new0(struct bb_entry, 1);

    n->loop = loop;
    n->settings = *s;
    n->pool = bb_pool_create(loop, &pool);
    n->splits = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    n->server = bb_server_create(loop, &s->at, &handler, n, e);
    if (n->server == NULL) {
        bb_entry_destroy(n);
        return NULL;
    }
    return n;
}

/* Puts rules in force; calls under way keep theirs. */
void
bb_entry_set_rules(struct bb_entry *n, struct bb_rules *r)
{
    bb_rules_unref(n->rules);
    n->rules = bb_rules_ref(r);
    g_hash_table_remove_all(n->splits);
    bb_server_set_limits(n->server, &r->limits);
}

/* Lets each further answer end its connection. */
void
bb_entry_drain(struct bb_entry *n)
{
    bb_server_drain(n->server);
}

/* Refuses each further request; what is under way is finished. */
void
bb_entry_stop(struct bb_entry *n)
{
    n->is_stopping = true;
}

/* Returns how many requests are not answered. */
uint32_t
bb_entry_busy_count(const struct bb_entry *n)
{
    return bb_server_busy_count(n->server);
}

/* Closes the entry; NULL is allowed. */
void
bb_entry_destroy(struct bb_entry *n)
{
    if (n != NULL) {
        bb_server_destroy(n->server);
        bb_pool_destroy(n->pool);
        g_hash_table_destroy(n->splits);
        bb_rules_unref(n->rules);
        g_free(n);
    }
}
