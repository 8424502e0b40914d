/* Tries of one request at gates: which gate, what its answer means, and
 * whether another try follows. */
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/random.h"
#include "entry_internal.h"
#include "path/gate.h"

BB_COUNTER(tries_total, "baobab_entry_tries_total", "Sends to gates");
BB_COUNTER(repeats_total, "baobab_entry_repeats_total",
           "Requests sent again after they may have reached an upstream");
BB_COUNTER(no_budget_total, "baobab_entry_no_budget_total",
           "Repeats left out because the retry budget was spent");
BB_COUNTER(hedges_total, "baobab_entry_hedges_total",
           "Slow requests sent to a second gate as well");
BB_COUNTER(far_total, "baobab_entry_far_total",
           "Sends to gates in another region");

static bool
is_in(char list[BB_ENTRY_TRIES_MAX][BB_ADDRESS_TEXT_BYTES], uint32_t count,
      const char *text)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(list[i], text) == 0) {
            return true;
        }
    }
    return false;
}

static void
add_to(char list[BB_ENTRY_TRIES_MAX][BB_ADDRESS_TEXT_BYTES], uint32_t *count,
       const char *text)
{
    if (*count < BB_ENTRY_TRIES_MAX) {
        g_strlcpy(list[(*count)++], text, BB_ADDRESS_TEXT_BYTES);
    }
}

/* The gates that a call may still use. */
struct candidates {
    struct bb_gate_entry *gates[BB_DIRECTORY_GATES_MAX];
    const struct bb_gate_view *views[BB_DIRECTORY_GATES_MAX];
    bool has_refused[BB_DIRECTORY_GATES_MAX];
    uint32_t count;
};

static void
list_candidates(struct call *c, struct candidates *l, uint64_t now_us)
{
    const struct bb_entry_settings *s = &c->entry->settings;

    l->count = 0;
    for (guint i = 0;
         i < c->service->gates->len && l->count < BB_DIRECTORY_GATES_MAX;
         i++) {
        struct bb_gate_entry *g = g_ptr_array_index(c->service->gates, i);

        if (!is_in(c->left_out, c->left_out_count, g->text)) {
            if (g->view.distance == BB_SAME_HOST) {
                s->own_load(s->context, &g->view, now_us);
            }
            l->gates[l->count] = g;
            l->views[l->count] = &g->view;
            l->has_refused[l->count] =
                is_in(c->seen_full, c->seen_full_count, g->text);
            l->count++;
        }
    }
}

/* Chooses the next gate, and how long the request may wait there. */
static struct bb_gate_entry *
choose_gate(struct call *c, uint64_t *wait_max_us, uint64_t now_us)
{
    struct candidates l;
    struct bb_balance_request r = {
        .class_index = c->rule->class_index,
        .aim_left_us = c->aim_us > now_us ? c->aim_us - now_us : 0};
    struct bb_balance_offer o;

    list_candidates(c, &l, now_us);
    o = bb_balance_offer(l.views, l.has_refused, l.count, &r, bb_random_bits(),
                         now_us);
    *wait_max_us = o.wait_max_us;
    return o.gate >= 0 ? l.gates[o.gate] : NULL;
}

/* Returns the gate of a try, unless it is no longer known. */
static struct bb_gate_entry *
find_gate(const struct attempt *a)
{
    return bb_directory_gate(a->call->entry->settings.directory, a->gate);
}

/* Gives the gate of a try back. */
static void
leave_gate(const struct attempt *a)
{
    struct bb_gate_entry *g = find_gate(a);

    if (g != NULL && g->view.in_flight > 0) {
        g->view.in_flight--;
    }
}

/* Gives a try up; its gate stops the work. */
void
attempt_cancel(struct attempt *a)
{
    if (a->fetch != NULL) {
        bb_fetch_cancel(a->fetch);
        a->fetch = NULL;
        leave_gate(a);
    }
}

/* Returns the other try of a call, which may not be under way. */
static struct attempt *
other_of(struct attempt *a)
{
    struct call *c = a->call;

    return a == &c->attempts_now[0] ? &c->attempts_now[1]
                                    : &c->attempts_now[0];
}

/* Returns the time kept for the way back from a gate. */
static uint64_t
return_us(const struct bb_gate_entry *g)
{
    switch (g->view.distance) {
    case BB_SAME_HOST:
    case BB_SAME_ZONE:
        return (uint64_t)BB_ENTRY_RETURN_ZONE_MS * BB_US_PER_MS;
    case BB_SAME_REGION:
        return (uint64_t)BB_ENTRY_RETURN_REGION_MS * BB_US_PER_MS;
    case BB_OTHER_REGION:
        break;
    }
    return (uint64_t)BB_ENTRY_RETURN_FAR_MS * BB_US_PER_MS;
}

/* Returns how long a request may wait at its gate, as it is written. */
static unsigned
wait_max_ms(const struct attempt *a)
{
    return (unsigned)MIN(a->wait_max_us / BB_US_PER_MS,
                         (uint64_t)BB_GATE_WAIT_ANY_MS);
}

/* Writes the head of the request for a gate. */
static GString *
build_head(const struct attempt *a, uint64_t left_us, uint64_t now_us)
{
    const struct call *c = a->call;
    const struct bb_entry_settings *s = &c->entry->settings;
    const struct bb_dialect_fields *names = &s->dialect->fields;
    const char *const without[] = {names->deadline_ms, names->caller_service,
                                   names->expect_instance, NULL};
    uint64_t aim_us = c->aim_us > now_us ? c->aim_us - now_us : 0;
    GString *head = g_string_sized_new(512);

    bb_forward_request_line(&c->neon_request->head, head);
    bb_forward_fields(&c->neon_request->head, without, head);
    g_string_append_printf(head,
                           "%s: %" G_GUINT64_FORMAT
                           "\r\n%s: %s\r\n" BB_FIELD_CALL ": %s %u %u %u %u ",
                           names->deadline_ms, left_us / BB_US_PER_MS,
                           names->caller_service, s->service, c->service->name,
                           c->rule->rank, c->rule->class_index,
                           (unsigned)(aim_us / BB_US_PER_MS), wait_max_ms(a));
    if (c->is_nested) {
        g_string_append_c(head, BB_GATE_FLAG_NESTED);
    }
    if (!c->rule->is_idempotent) {
        g_string_append_c(head, BB_GATE_FLAG_ONCE);
    }
    if (c->arrivals > 0 || a != &c->attempts_now[0]) {
        g_string_append_c(head, BB_GATE_FLAG_REPEAT);
    }
    g_string_append(head, "-\r\n"); /* the flags are never empty */
    bb_forward_length(c->neon_request, head);
    g_string_append(head, "\r\n");
    return head;
}

/* Reads the load that a gate reports. */
static void
take_load(struct attempt *a, const struct bb_head *h)
{
    struct bb_gate_entry *g = find_gate(a);
    const char *text = bb_head_get(h, BB_FIELD_LOAD);
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 0;
    unsigned service_us = 0;
    unsigned failing = 0;
    unsigned long long ran_us = 0;

    if (g == NULL || text == NULL ||
        sscanf(text, "%u %u %u %u %u %llu", &running, &queued, &slots,
               &service_us, &failing, &ran_us) != 6) {
        return;
    }
    bb_gate_view_report(&g->view, running, queued, slots, service_us, failing,
                        bb_clock_now_us());
    a->ran_us = ran_us;
    bb_gate_view_reached(&g->view);
}

/* Notes what a gate said of itself: it refused the request, or lost its
 * answer. */
static void
note_gate_word(struct attempt *a, const struct bb_head *h)
{
    struct call *c = a->call;
    const char *reason =
        bb_head_get(h, a->is_refused ? BB_FIELD_REFUSED : BB_FIELD_FAILED);
    const char *load = bb_head_get(h, BB_FIELD_LOAD);

    bb_event_append(c->lines, "entry.gate_said", c->id,
                    "\"gate\":\"%s\",\"%s\":\"%s\",\"load\":\"%s\"", a->gate,
                    a->is_refused ? "refused" : "failed", reason,
                    load != NULL ? load : "");
    c->is_late = c->is_late || (a->is_refused && strcmp(reason, "late") == 0);
    if (a->is_refused && strcmp(reason, "full") == 0) {
        add_to(c->seen_full, &c->seen_full_count, a->gate);
    }
    else {
        add_to(c->left_out, &c->left_out_count, a->gate);
    }
}

static bool
take_head(void *context, const struct bb_head *h)
{
    struct attempt *a = context;
    const struct bb_dialect_fields *names =
        &a->call->entry->settings.dialect->fields;

    take_load(a, h);
    a->is_refused = bb_head_get(h, BB_FIELD_REFUSED) != NULL;
    a->is_failed = bb_head_get(h, BB_FIELD_FAILED) != NULL;
    a->is_not_run = bb_head_get(h, names->not_run) != NULL ||
                    (h->status == 421 && !a->is_refused);
    a->is_sealed = bb_head_get(h, names->seal) != NULL;
    if (a->is_refused || a->is_failed) {
        note_gate_word(a, h);
    }
    bb_relay_take_head(&a->relay, h,
                       a->call->neon_request->head.method == HTTP_HEAD);
    return true;
}

static void
take_body(void *context, const char *data, size_t size_bytes)
{
    struct attempt *a = context;
    struct bb_exchange *x = a->call->neon_request;
    bool is_out = bb_relay_take_body(&a->relay, x, data, size_bytes);

    if (is_out) {
        attempt_cancel(other_of(a));
    }
    if (is_out && bb_exchange_queued_bytes(x) > BB_STREAM_HIGH_WATER_BYTES) {
        bb_fetch_pause(a->fetch);
    }
}

/* Says what a finished try means. */
static enum try_result
classify(const struct attempt *a, enum bb_fetch_result result)
{
    bool is_success = a->relay.status >= 200 && a->relay.status < 300;

    switch (result) {
    case BB_FETCH_NOT_CONNECTED:
        return TRY_UNREACHABLE;
    case BB_FETCH_LOST:
    case BB_FETCH_TRUNCATED:
    case BB_FETCH_GARBLED:
        return TRY_UNKNOWN;
    case BB_FETCH_COMPLETE:
        break;
    }
    if (a->is_refused) {
        return TRY_REFUSED;
    }
    if (a->is_not_run) {
        return TRY_NOT_RUN;
    }
    if (a->is_failed || (is_success && !a->is_sealed)) {
        return TRY_UNKNOWN;
    }
    return TRY_ANSWER;
}

static const char *
try_result_name(enum try_result r)
{
    static const char *const names[] = {"answer", "refused", "not_run",
                                        "unreachable", "unknown"};

    return names[r];
}

/* Returns whether there is time for another try. */
static bool
has_time(const struct call *c)
{
    return bb_clock_now_us() + (uint64_t)BB_ENTRY_LEAST_MS * BB_US_PER_MS <
           c->deadline_us;
}

/* Returns after how long a refused caller should come back: when the best
 * gate expects a free slot, spread so that callers do not return together. */
static uint32_t
retry_after_ms(struct call *c)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t best_us = UINT64_MAX;
    uint64_t ms;

    for (guint i = 0; i < c->service->gates->len; i++) {
        const struct bb_gate_entry *g =
            g_ptr_array_index(c->service->gates, i);

        if (g->view.is_ready) {
            best_us = MIN(best_us, bb_balance_wait_us(&g->view, now_us));
        }
    }
    ms = CLAMP(best_us / BB_US_PER_MS, (uint64_t)BB_ENTRY_RETRY_MIN_MS,
               (uint64_t)BB_ENTRY_RETRY_MAX_MS);
    return (uint32_t)(ms + bb_random_bits() % (ms / 2 + 1));
}

/* Keeps a failure of an upstream while another try is made. */
static void
hold_answer(struct attempt *a)
{
    struct call *c = a->call;

    if (c->has_held_answer) {
        bb_relay_clear(&c->held);
    }
    c->held = a->relay;
    c->has_held_answer = true;
    bb_relay_init(&a->relay);
}

/* Passes the kept failure of an upstream on. */
void
call_deliver_held(struct call *c)
{
    call_deliver(c, &c->held);
}

/* Answers a call for which there is no further try. */
static void
give_up(struct call *c, const char *reason)
{
    if (c->has_held_answer) {
        call_deliver_held(c);
    }
    else if (c->may_have_run) {
        call_answer(c, 502, reason, 0);
    }
    else {
        call_answer(c, 503, reason, retry_after_ms(c));
    }
}

/* Decides whether a request that reached an upstream may be sent to another
 * one. Follows from the route: what may run twice, and on how many. */
static bool
may_repeat(struct call *c, bool has_run)
{
    struct bb_retry_limits limits = c->entry->settings.retries;

    if ((has_run && !c->rule->is_idempotent) ||
        c->arrivals >= c->rule->attempts || c->is_long || !has_time(c)) {
        return false;
    }
    limits.hosts = bb_directory_count(c->entry->settings.directory);
    if (!bb_retry_window_take(&c->service->retries, &limits,
                              bb_clock_now_us())) {
        bb_counter_add(&no_budget_total, 1);
        bb_event_append(c->lines, "entry.no_budget", c->id,
                        "\"service\":\"%s\"", c->service->name);
        return false;
    }
    bb_counter_add(&repeats_total, 1);
    return true;
}

/* Tries another gate after one that did not send the request on. The start of
 * a long body is no longer here. */
static void
try_elsewhere(struct call *c)
{
    if (c->is_long || c->is_late || !has_time(c)) {
        give_up(c, c->is_long ? "long_body" : "late");
        return;
    }
    call_try(c);
}

/* Notes a try that has ended, and what it says of its gate. */
static void
note_end(struct attempt *a, enum try_result r, enum bb_fetch_result result)
{
    struct call *c = a->call;
    struct bb_gate_entry *g = find_gate(a);
    uint64_t took_us = bb_clock_now_us() - a->started_us;

    if (r == TRY_ANSWER && a->relay.status < 500) {
        call_note_duration(c, took_us);
        if (g != NULL) {
            bb_gate_view_answered(&g->view, c->rule->class_index, took_us);
        }
        return;
    }
    if (r == TRY_REFUSED) {
        return; /* the gate's word is logged already */
    }
    bb_event_append(c->lines, "entry.try_ended", c->id,
                    "\"gate\":\"%s\",\"result\":\"%s\",\"fetch\":\"%s\","
                    "\"status\":%u,\"took_us\":%" G_GUINT64_FORMAT,
                    a->gate, try_result_name(r), bb_fetch_result_name(result),
                    a->relay.status, took_us);
    if (g != NULL && result != BB_FETCH_COMPLETE) {
        bb_gate_view_unreachable(&g->view, bb_clock_now_us());
    }
    add_to(c->left_out, &c->left_out_count, a->gate);
}

/* Ends a call whose answer had begun to go out. */
static void
end_stream(struct attempt *a, enum bb_fetch_result result)
{
    struct call *c = a->call;

    if (result == BB_FETCH_COMPLETE) {
        call_deliver(c, &a->relay);
        return;
    }
    bb_event_append(c->lines, "entry.broken_off", c->id, "\"reason\":\"%s\"",
                    bb_fetch_result_name(result));
    bb_exchange_abort(c->neon_request);
    call_destroy(c, BB_EVENT_FAILURE);
}

/* Decides what follows a try that brought no good answer, once no other try
 * is under way. */
static void
go_on(struct attempt *a, enum try_result r)
{
    struct call *c = a->call;

    switch (r) {
    case TRY_ANSWER:
        if (may_repeat(c, true)) {
            call_try(c);
            return;
        }
        call_deliver_held(c);
        return;
    case TRY_REFUSED:
    case TRY_UNREACHABLE:
        try_elsewhere(c);
        return;
    case TRY_NOT_RUN:
        if (may_repeat(c, c->may_have_run)) {
            call_try(c);
            return;
        }
        give_up(c, "upstream_refused");
        return;
    case TRY_UNKNOWN:
        if (may_repeat(c, true)) {
            call_try(c);
            return;
        }
        give_up(c, "lost");
        return;
    }
}

static void
take_done(void *context, enum bb_fetch_result result)
{
    struct attempt *a = context;
    struct call *c = a->call;
    enum try_result r = classify(a, result);

    a->fetch = NULL;
    leave_gate(a);
    note_end(a, r, result);
    if (a->relay.is_streaming) {
        end_stream(a, result);
        return;
    }
    c->may_have_run = c->may_have_run || r == TRY_ANSWER || r == TRY_UNKNOWN;
    c->arrivals += r == TRY_ANSWER || r == TRY_UNKNOWN || r == TRY_NOT_RUN;
    if (r == TRY_ANSWER && a->relay.status < 500) {
        attempt_cancel(other_of(a));
        call_deliver(c, &a->relay);
        return;
    }
    if (r == TRY_ANSWER) {
        hold_answer(a);
    }
    if (other_of(a)->fetch == NULL) {
        go_on(a, r);
    }
}

/* Sends what has arrived of a long request body. */
void
call_send_more(struct call *c)
{
    if (c->attempts_now[0].fetch != NULL) {
        bb_forward_body(c->neon_request, c->attempts_now[0].fetch, c->is_chunked);
    }
}

static void
take_drained(void *context)
{
    struct attempt *a = context;

    bb_exchange_resume(a->call->neon_request);
}

static const struct bb_fetch_events fetch_events = {.head = take_head,
                                                    .body = take_body,
                                                    .done = take_done,
                                                    .drained = take_drained};

/* Notes the gate that was chosen and what was known of it. */
static void
note_try(const struct attempt *a, const struct bb_gate_entry *g,
         uint64_t now_us)
{
    struct call *c = a->call;

    bb_event_append(
        c->lines, a == &c->attempts_now[0] ? "entry.try" : "entry.hedge",
        c->id,
        "\"gate\":\"%s\",\"instance\":\"%s\",\"distance\":%u,"
        "\"wait_max_ms\":%u,\"running\":%u,\"queued\":%u,\"slots\":%u,"
        "\"in_flight\":%u,\"failing\":%u,\"report_age_ms\":%d",
        g->text, g->instance, g->view.distance, wait_max_ms(a),
        g->view.running, g->view.queued, g->view.slots, g->view.in_flight,
        g->view.failing_permille,
        g->view.reported_us != 0
            ? (int)((now_us - g->view.reported_us) / BB_US_PER_MS)
            : -1);
}

/* Sends the request to a gate. Returns false if there is no time or no
 * socket for it. */
static bool
start_attempt(struct attempt *a, struct bb_gate_entry *g, uint64_t wait_max_us,
              uint64_t now_us)
{
    struct call *c = a->call;
    struct bb_exchange *x = c->neon_request;
    uint64_t left_us =
        c->deadline_us - MIN(c->deadline_us, now_us + return_us(g));
    struct bb_fetch_request r = {0};
    GString *head;

    if (left_us < BB_US_PER_MS) {
        return false;
    }
    a->wait_max_us = wait_max_us;
    note_try(a, g, now_us);
    c->tries++;
    bb_relay_reset(&a->relay);
    g_strlcpy(a->gate, g->text, sizeof(a->gate));
    a->started_us = now_us;
    head = build_head(a, left_us, now_us);
    r = (struct bb_fetch_request){
        .to = g->at,
        .head = head,
        .is_body_complete = x->is_body_complete,
        .is_head_method = x->head.method == HTTP_HEAD,
    };
    if (!c->is_chunked) {
        r.body = x->body->str;
        r.body_bytes = x->body->len;
    }
    bb_counter_add(&tries_total, 1);
    if (g->view.distance == BB_OTHER_REGION) {
        bb_counter_add(&far_total, 1);
    }
    a->fetch = bb_fetch_start(c->entry->pool, &r, &fetch_events, a);
    g_string_free(head, TRUE);
    if (a->fetch == NULL) {
        add_to(c->left_out, &c->left_out_count, a->gate);
        return false;
    }
    g->view.in_flight++;
    return true;
}

/* Sends the request to the best gate left, or answers it. */
void
call_try(struct call *c)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t wait_max_us = 0;
    struct bb_gate_entry *g = c->tries < BB_ENTRY_TRIES_MAX
                                  ? choose_gate(c, &wait_max_us, now_us)
                                  : NULL;
    struct bb_exchange *x = c->neon_request;

    if (g == NULL) {
        give_up(c,
                c->service->gates->len == 0 ? "no_upstream" : "no_gate_left");
        return;
    }
    c->is_long = c->is_long || !x->is_body_complete;
    c->is_chunked = bb_forward_is_chunked(x);
    if (!start_attempt(&c->attempts_now[0], g, wait_max_us, now_us)) {
        give_up(c, "late");
        return;
    }
    if (c->is_chunked) {
        call_send_more(c);
    }
    else if (c->is_long) {
        g_string_truncate(x->body, 0);
    }
}

/* Sends a slow request to a second gate as well, if the route allows it and
 * another gate near by has a free slot. The first answer is passed on. */
void
call_hedge(struct call *c)
{
    uint64_t now_us = bb_clock_now_us();
    struct attempt *first = &c->attempts_now[0];
    struct attempt *second = &c->attempts_now[1];
    struct bb_gate_entry *g;
    uint64_t wait_max_us = 0;

    if (first->fetch == NULL || second->fetch != NULL ||
        first->relay.is_streaming || c->tries >= BB_ENTRY_TRIES_MAX ||
        c->arrivals + 1 >= c->rule->attempts) {
        return;
    }
    add_to(c->left_out, &c->left_out_count, first->gate);
    g = choose_gate(c, &wait_max_us, now_us);
    if (g == NULL || !bb_balance_may_hedge(&g->view, now_us) ||
        !may_repeat(c, true)) {
        return;
    }
    bb_counter_add(&hedges_total, 1);
    (void)start_attempt(second, g, 0, now_us);
}
