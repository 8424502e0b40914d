/* Attempts of one request at gates: chooses the gate, classifies the response
 * and decides whether another attempt follows. */
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/random.h"
#include "entry_internal.h"
#include "path/cost_metrics.h"
#include "path/gate.h"
#include "path/gate_cost.h"

/* Numbers in the load field of a gate, without and with a limit. Each form may
 * have one more, the remaining work. */
enum { LOAD_FIELDS = 6, LOAD_FIELDS_LIMITED = 8 };

BB_COUNTER(tries_total, "baobab_entry_tries_total", "Sends to gates");
BB_COUNTER(retries_total, "baobab_entry_repeats_total",
           "Requests sent again after they may have reached an upstream");
BB_COUNTER(no_budget_total, "baobab_entry_no_budget_total",
           "Repeats left out because the retry budget was spent");
BB_COUNTER(hedges_total, "baobab_entry_hedges_total",
           "Slow requests sent to a second gate as well");
BB_COUNTER(other_region_total, "baobab_entry_far_total",
           "Sends to gates in another region");

/* Returns whether a list of gates contains an address. */
static bool
is_gate_listed(const char list[BB_ENTRY_ATTEMPTS_MAX][BB_ADDRESS_TEXT_BYTES],
               uint32_t count, const char *text)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(list[i], text) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds the address of a gate to a list, unless the list is full. */
static void
add_gate(char list[BB_ENTRY_ATTEMPTS_MAX][BB_ADDRESS_TEXT_BYTES],
         uint32_t *count, const char *text)
{
    if (*count < BB_ENTRY_ATTEMPTS_MAX) {
        g_strlcpy(list[(*count)++], text, BB_ADDRESS_TEXT_BYTES);
    }
}

/* Lists the candidates of the picked version. */
void
request_list_candidates(const struct entry_request *rq, struct candidates *l,
                        enum bb_version_pick pick)
{
    l->count = 0;
    for (guint i = 0;
         i < rq->service->gates->len && l->count < BB_DIRECTORY_CANDIDATES_MAX;
         i++) {
        struct bb_gate_record *g = g_ptr_array_index(rq->service->gates, i);

        if (bb_version_choice_allows(&rq->service->versions, pick,
                                     g->software_version, g->upstream_hash) &&
            !is_gate_listed(rq->excluded_gates, rq->excluded_count,
                            g->address_text)) {
            l->gates[l->count] = g;
            l->views[l->count] = &g->view;
            l->was_full[l->count] = is_gate_listed(
                rq->full_gates, rq->full_count, g->address_text);
            l->count++;
        }
    }
}

/* Lists the candidates of the picked version, with the current load of the
 * gate on this host. */
static void
list_candidates(const struct entry_request *rq, struct candidates *l,
                enum bb_version_pick pick, uint64_t now_us)
{
    const struct bb_entry_settings *s = &rq->entry->settings;

    request_list_candidates(rq, l, pick);
    for (uint32_t i = 0; i < l->count; i++) {
        if (l->gates[i]->view.distance == BB_GATE_SAME_HOST) {
            s->update_local_view(s->context, &l->gates[i]->view, now_us);
        }
    }
}

/* Chooses the next gate and sets how long the request may wait in its queue.
 * Returns NULL if no candidate is usable. */
static struct bb_gate_record *
choose_gate(struct entry_request *rq, uint64_t *max_wait_us, uint64_t now_us)
{
    struct candidates l;
    struct bb_balance_request r = {
        .class_index = rq->route->class_index,
        .target_left_us =
            rq->target_end_us > now_us ? rq->target_end_us - now_us : 0,
        .cost_us = bb_cost_mean_us(&rq->entry->cost, &rq->cost_key),
        .class_cost_us =
            bb_cost_class_mean_us(&rq->entry->cost, &rq->cost_key)};
    struct bb_balance_choice chosen;
    enum bb_version_pick pick = request_pick_version(rq);

    list_candidates(rq, &l, pick, now_us);
    chosen = bb_balance_choose(l.views, l.was_full, l.count, &r,
                               bb_random_global_u64(), now_us);
    if (chosen.gate < 0 && request_change_version(rq, &pick)) {
        list_candidates(rq, &l, pick, now_us);
        chosen = bb_balance_choose(l.views, l.was_full, l.count, &r,
                                   bb_random_global_u64(), now_us);
    }
    *max_wait_us = chosen.max_wait_us;
    return chosen.gate >= 0 ? l.gates[chosen.gate] : NULL;
}

/* Returns the gate of an attempt, or NULL if the directory has none with this
 * address. */
static struct bb_gate_record *
find_attempt_gate(const struct attempt *a)
{
    return bb_directory_find_gate(a->request->entry->settings.directory,
                                  a->gate_address);
}

/* Counts an attempt as no longer in flight at its gate. */
static void
release_gate(const struct attempt *a)
{
    struct bb_gate_record *g = find_attempt_gate(a);

    if (g != NULL && g->view.in_flight > 0) {
        g->view.in_flight--;
    }
}

/* Cancels an attempt if it is in progress. Closing the connection makes the
 * gate cancel it too. */
void
attempt_cancel(struct attempt *a)
{
    if (a->fetch != NULL) {
        bb_fetch_cancel(a->fetch);
        a->fetch = NULL;
        release_gate(a);
    }
}

/* Returns the other attempt of the same request; it may not be in progress. */
static struct attempt *
other_attempt(struct attempt *a)
{
    struct entry_request *rq = a->request;

    return a == &rq->attempts[0] ? &rq->attempts[1] : &rq->attempts[0];
}

/* Returns the time reserved for the response to return from a gate. */
static uint64_t
reserved_return_us(const struct bb_gate_record *g)
{
    switch (g->view.distance) {
    case BB_GATE_SAME_HOST:
    case BB_GATE_SAME_ZONE:
        return (uint64_t)BB_ENTRY_RETURN_SAME_ZONE_MS * BB_US_PER_MS;
    case BB_GATE_SAME_REGION:
        return (uint64_t)BB_ENTRY_RETURN_SAME_REGION_MS * BB_US_PER_MS;
    case BB_GATE_OTHER_REGION:
        break;
    }
    return (uint64_t)BB_ENTRY_RETURN_OTHER_REGION_MS * BB_US_PER_MS;
}

/* Returns max_wait_us as sent to the gate: in milliseconds, with
 * BB_GATE_WAIT_UNLIMITED_MS for no limit. */
static unsigned
max_wait_ms(const struct attempt *a)
{
    return (unsigned)MIN(a->max_wait_us / BB_US_PER_MS,
                         (uint64_t)BB_GATE_WAIT_UNLIMITED_MS);
}

/* Builds the head of the request for a gate; the caller frees it. */
static GString *
build_head(const struct attempt *a, uint64_t left_us, uint64_t now_us)
{
    const struct entry_request *rq = a->request;
    const struct bb_entry_settings *s = &rq->entry->settings;
    const struct bb_dialect_fields *names = &s->dialect->fields;
    /* Without teams the last two are passed on, as to any proxy. */
    const char *const excluded[] = {
        names->deadline_ms,
        names->caller_service,
        names->expected_upstream,
        rq->rules->requires_keys ? names->credentials : NULL,
        names->team,
        NULL};
    uint64_t target_left_us =
        rq->target_end_us > now_us ? rq->target_end_us - now_us : 0;
    GString *head = g_string_sized_new(512);

    bb_forward_request_line(&rq->exchange->head, head);
    bb_forward_fields(&rq->exchange->head, excluded, head);
    g_string_append_printf(
        head,
        "%s: %" G_GUINT64_FORMAT "\r\n%s: %s\r\n" BB_GATE_HEADER_CALL
        ": %s %u %u %u %u ",
        names->deadline_ms, left_us / BB_US_PER_MS, names->caller_service,
        s->caller_service, rq->service->name, request_rank(rq),
        rq->route->class_index, (unsigned)(target_left_us / BB_US_PER_MS),
        max_wait_ms(a));
    if (rq->is_nested) {
        g_string_append_c(head, BB_GATE_FLAG_NESTED);
    }
    if (!rq->route->is_idempotent) {
        g_string_append_c(head, BB_GATE_FLAG_NOT_IDEMPOTENT);
    }
    if (rq->upstream_attempts > 0 || a != &rq->attempts[0]) {
        g_string_append_c(head, BB_GATE_FLAG_RETRY);
    }
    g_string_append_c(head, '-'); /* keeps the flags from being empty */
    if (rq->team != NULL) {
        g_string_append_printf(head, " %016" G_GINT64_MODIFIER "x",
                               (guint64)rq->team->id);
    }
    g_string_append(head, "\r\n");
    request_append_team(rq, head);
    attempt_append_version(a, head);
    bb_forward_framing(rq->exchange, head);
    g_string_append(head, "\r\n");
    return head;
}

/* Updates what is known of the gate with the load that its response
 * reports. */
static void
update_gate_load(struct attempt *a, const struct bb_http_head *h)
{
    struct bb_gate_record *g = find_attempt_gate(a);
    const char *text = bb_http_head_get(h, BB_GATE_HEADER_LOAD);
    unsigned running = 0;
    unsigned queued = 0;
    unsigned slots = 0;
    unsigned mean_duration_us = 0;
    unsigned failure_permille = 0;
    unsigned long long upstream_us = 0;
    unsigned long long limit_mrps = 0;
    unsigned long long limit_wait_us = 0;
    unsigned long long work_us = 0;
    int count;

    if (g == NULL || text == NULL) {
        return;
    }
    count = sscanf(text, "%u %u %u %u %u %llu %llu %llu %llu", &running,
                   &queued, &slots, &mean_duration_us, &failure_permille,
                   &upstream_us, &limit_mrps, &limit_wait_us, &work_us);
    if (count < LOAD_FIELDS) {
        return;
    }
    if (count == LOAD_FIELDS + 1) {
        work_us = limit_mrps;
        limit_mrps = 0;
    }
    bb_gate_view_update_load(&g->view, running, queued, slots,
                             mean_duration_us, failure_permille,
                             bb_clock_now_us());
    bb_gate_view_update_limit(
        &g->view, count >= LOAD_FIELDS_LIMITED,
        (uint32_t)MIN(limit_mrps, (unsigned long long)UINT32_MAX),
        limit_wait_us);
    bb_gate_view_update_work(
        &g->view, count == LOAD_FIELDS + 1 || count == LOAD_FIELDS_LIMITED + 1,
        work_us);
    a->upstream_us = upstream_us;
    bb_gate_view_resume(&g->view);
}

/* Records a response of the gate itself: it refused the request, or lost the
 * upstream's response. A full gate may be tried again, others are excluded. */
static void
record_gate_error(struct attempt *a, const struct bb_http_head *h)
{
    struct entry_request *rq = a->request;
    const char *reason = bb_http_head_get(
        h, a->is_refused ? BB_GATE_HEADER_REFUSED : BB_GATE_HEADER_FAILED);
    const char *load = bb_http_head_get(h, BB_GATE_HEADER_LOAD);

    bb_event_log_format_line(rq->log_lines, "entry.gate_said", rq->id,
                             "\"gate\":\"%s\",\"%s\":\"%s\",\"load\":\"%s\"",
                             a->gate_address,
                             a->is_refused ? "refused" : "failed", reason,
                             load != NULL ? load : "");
    rq->is_refused_late =
        rq->is_refused_late || (a->is_refused && strcmp(reason, "late") == 0);
    if (a->is_refused &&
        (strcmp(reason, "full") == 0 ||
         (strcmp(reason, "limit") == 0 && a->max_wait_us != UINT64_MAX))) {
        add_gate(rq->full_gates, &rq->full_count, a->gate_address);
    }
    else {
        add_gate(rq->excluded_gates, &rq->excluded_count, a->gate_address);
    }
}

/* Reads the gate's and the upstream's fields of a response. Status 421
 * (Misdirected Request) of an upstream means that it did not run the request.
 * Always returns true: a gate sends no response to another request. */
static bool
on_response_head(void *context, const struct bb_http_head *h)
{
    struct attempt *a = context;
    const struct bb_dialect_fields *names =
        &a->request->entry->settings.dialect->fields;

    update_gate_load(a, h);
    a->is_refused = bb_http_head_get(h, BB_GATE_HEADER_REFUSED) != NULL;
    a->is_response_lost = bb_http_head_get(h, BB_GATE_HEADER_FAILED) != NULL;
    a->is_not_run = bb_http_head_get(h, names->not_run) != NULL ||
                    (h->status == 421 && !a->is_refused);
    a->is_sealed = bb_http_head_get(h, names->seal) != NULL;
    if (a->is_refused || a->is_response_lost) {
        record_gate_error(a, h);
    }
    bb_response_relay_set_head(&a->relay, h,
                               a->request->exchange->head.method == HTTP_HEAD);
    return true;
}

/* Returns the outcome that the head of a response states. A success without
 * the seal does not come from the upstream itself, so the outcome is unknown.
 */
static enum attempt_result
classify_head(const struct attempt *a)
{
    bool is_success = a->relay.status >= 200 && a->relay.status < 300;

    if (a->is_refused) {
        return ATTEMPT_REFUSED;
    }
    if (a->is_not_run) {
        return ATTEMPT_NOT_RUN;
    }
    if (a->is_response_lost || (is_success && !a->is_sealed)) {
        return ATTEMPT_UNKNOWN;
    }
    return ATTEMPT_COMPLETED;
}

/* Collects or streams a part of the response. Once it is streamed the other
 * attempt is of no use. Declines the rest of one that is not passed on and
 * exceeds BB_RESPONSE_RELAY_BUFFER_BYTES. */
static bool
on_response_body(void *context, const char *data, size_t size_bytes)
{
    struct attempt *a = context;
    struct bb_http_exchange *x = a->request->exchange;
    bool is_streaming;

    if (!a->relay.is_streaming && classify_head(a) != ATTEMPT_COMPLETED &&
        a->relay.body->len + size_bytes > BB_RESPONSE_RELAY_BUFFER_BYTES) {
        return false;
    }
    is_streaming =
        bb_response_relay_append_body(&a->relay, x, data, size_bytes);
    if (bb_response_relay_is_long(&a->relay)) {
        a->request->entry->long_response_us[a->request->route->route_group] =
            bb_clock_now_us();
    }
    if (is_streaming) {
        attempt_add_overdue_evidence(other_attempt(a));
        attempt_cancel(other_attempt(a));
    }
    if (classify_head(a) == ATTEMPT_COMPLETED &&
        !bb_http_exchange_has_room(x)) {
        bb_fetch_pause(a->fetch);
    }
    return true;
}

/* Returns the outcome of a finished attempt. */
static enum attempt_result
classify_result(const struct attempt *a, enum bb_fetch_result result)
{
    switch (result) {
    case BB_FETCH_NOT_CONNECTED:
        return ATTEMPT_UNREACHABLE;
    case BB_FETCH_LOST:
    case BB_FETCH_TRUNCATED:
    case BB_FETCH_MALFORMED_HEAD:
    case BB_FETCH_INVALID_STATUS:
        return ATTEMPT_UNKNOWN;
    case BB_FETCH_COMPLETE:
    case BB_FETCH_DECLINED:
        break;
    }
    return classify_head(a);
}

/* Returns the name of an outcome in the log. */
static const char *
attempt_result_name(enum attempt_result r)
{
    static const char *const names[] = {"answer", "refused", "not_run",
                                        "unreachable", "unknown"};

    return names[r];
}

/* Returns whether there is time for another attempt. */
static bool
has_time_left(const struct entry_request *rq)
{
    return bb_clock_now_us() +
               (uint64_t)BB_ENTRY_ATTEMPT_MIN_MS * BB_US_PER_MS <
           rq->deadline_us;
}

/* Sums the limits of a service's ready gates. Returns 0 if one of them has
 * none, or if no gate is ready. */
static uint64_t
sum_limits_mrps(const struct bb_service_record *service)
{
    uint64_t sum_mrps = 0;

    for (guint i = 0; i < service->gates->len; i++) {
        const struct bb_gate_record *g = g_ptr_array_index(service->gates, i);

        if (g->view.is_ready && !g->view.is_limited) {
            return 0;
        }
        sum_mrps += g->view.is_ready ? g->view.limit_mrps : 0;
    }
    return sum_mrps;
}

/* Returns the time until a refused caller should come back if the service is
 * limited as a whole: callers return one after the other at the part of the
 * rate that falls to this node. */
static uint64_t
take_return_us(struct entry_request *rq, uint64_t wait_us, uint64_t now_us)
{
    uint64_t sum_mrps = sum_limits_mrps(rq->service);
    uint32_t hosts = bb_directory_gate_count(rq->entry->settings.directory);

    if (sum_mrps == 0 || hosts == 0) {
        return wait_us;
    }
    return bb_return_schedule_take(
        &rq->service->returns,
        (uint32_t)CLAMP(sum_mrps / hosts, (uint64_t)1, (uint64_t)UINT32_MAX),
        wait_us, now_us);
}

/* Returns the Retry-After for a refused caller: the time until a slot is
 * expected to be free (bb_balance_return_us), plus up to half of it at random,
 * so that callers do not return at the same time. It is longer if the rate of
 * a limited service requires it.
 */
static uint32_t
choose_retry_after_ms(struct entry_request *rq)
{
    uint64_t now_us = bb_clock_now_us();
    const struct bb_gate_view *views[BB_DIRECTORY_CANDIDATES_MAX];
    uint32_t count =
        MIN(rq->service->gates->len, (guint)BB_DIRECTORY_CANDIDATES_MAX);
    uint64_t ms;

    for (uint32_t i = 0; i < count; i++) {
        const struct bb_gate_record *g =
            g_ptr_array_index(rq->service->gates, i);

        views[i] = &g->view;
    }
    ms = CLAMP(bb_balance_return_us(views, count, now_us) / BB_US_PER_MS,
               (uint64_t)BB_ENTRY_RETRY_AFTER_MIN_MS,
               (uint64_t)BB_ENTRY_RETRY_AFTER_MAX_MS);
    ms += bb_random_global_u64() % (ms / 2 + 1);
    return (uint32_t)(take_return_us(rq, ms * BB_US_PER_MS, now_us) /
                      BB_US_PER_MS);
}

/* Moves a 5xx response from the attempt to the request, which holds it until
 * another attempt brings a better one or none is left. */
static void
hold_response(struct attempt *a)
{
    struct entry_request *rq = a->request;

    if (rq->has_held_response) {
        bb_response_relay_clear(&rq->held_response);
    }
    rq->held_response = a->relay;
    rq->has_held_response = true;
    bb_response_relay_init(&a->relay);
}

/* Passes the held response on to the caller and destroys the request. */
void
request_forward_held_response(struct entry_request *rq)
{
    request_forward_response(rq, &rq->held_response);
}

/* Responds to a request that gets no further attempt, and destroys it. */
static void
give_up(struct entry_request *rq, const char *reason)
{
    if (rq->has_held_response) {
        request_forward_held_response(rq);
    }
    else if (rq->may_have_run) {
        request_respond_locally(rq, 502, reason, 0);
    }
    else {
        request_respond_locally(rq, 503, reason, choose_retry_after_ms(rq));
    }
}

/* Returns whether a request that reached an upstream, which may have run it or
 * states that it did not, may be sent again, and if so takes one retry from
 * the retry budget. The route decides whether a request may run twice and how
 * many attempts may reach an upstream. */
static bool
reserve_retry(struct entry_request *rq, bool may_have_run)
{
    struct bb_retry_window_limits limits = rq->entry->settings.retry_limits;

    if ((may_have_run && !rq->route->is_idempotent) ||
        rq->upstream_attempts >= rq->route->upstream_attempts_max ||
        rq->is_body_streamed || !has_time_left(rq)) {
        return false;
    }
    limits.host_count = bb_directory_gate_count(rq->entry->settings.directory);
    if (!bb_retry_window_take(&rq->service->retry_window, &limits,
                              bb_clock_now_us())) {
        bb_counter_add(&no_budget_total, 1);
        bb_event_log_format_line(rq->log_lines, "entry.no_budget", rq->id,
                                 "\"service\":\"%s\"", rq->service->name);
        return false;
    }
    bb_counter_add(&retries_total, 1);
    return true;
}

/* Tries another gate after one that did not send the request on. Gives up if
 * the body is streamed, as its start is no longer buffered, if a gate refused
 * the request as late, if too little time is left, or if other gates would
 * refuse it as well. */
static void
try_other_gate(struct entry_request *rq)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t target_left_us =
        rq->target_end_us > now_us ? rq->target_end_us - now_us : 0;

    if (rq->is_body_streamed || rq->is_refused_late || !has_time_left(rq) ||
        bb_balance_is_hopeless(rq->full_count, target_left_us,
                               rq->is_nested)) {
        give_up(rq, rq->is_body_streamed ? "long_body" : "late");
        return;
    }
    request_try_next_gate(rq);
}

/* Learns the cost of a request and the speed of the upstream from a complete
 * response. The first runs of a cold upstream tell neither, nor does a 4xx
 * response, which often comes before any work was done. */
static void
learn_cost(const struct attempt *a, struct bb_gate_view *v, uint64_t took_us)
{
    struct entry_request *rq = a->request;
    struct bb_cost *cost = &rq->entry->cost;

    if (a->upstream_us == 0 || a->relay.status >= 400 ||
        a->started_us < v->warm_at_us) {
        return;
    }
    if (a->expected_us != 0) {
        bb_cost_metrics_observe(BB_PREDICTION_ENTRY_DURATION,
                                rq->cost_key.class_index, a->expected_us,
                                a->upstream_us);
        bb_cost_metrics_observe(BB_PREDICTION_ENTRY_WAIT,
                                rq->cost_key.class_index, a->expected_wait_us,
                                took_us - MIN(took_us, a->upstream_us));
    }
    bb_cost_speed_add(&v->speed, cost, &rq->cost_key, a->upstream_us);
    bb_cost_add(cost, &rq->cost_key,
                bb_cost_speed_remove(&v->speed, a->upstream_us));
}

/* Logs a finished attempt and updates what is known of its gate. */
static void
record_attempt_end(struct attempt *a, enum attempt_result r,
                   enum bb_fetch_result result)
{
    struct entry_request *rq = a->request;
    struct bb_gate_record *g = find_attempt_gate(a);
    uint64_t took_us = bb_clock_now_us() - a->started_us;

    if (r == ATTEMPT_COMPLETED && a->relay.status < 500) {
        request_update_p95(rq, took_us);
        if (g != NULL) {
            bb_gate_view_add_latency(&g->view, rq->route->class_index,
                                     took_us);
            learn_cost(a, &g->view, took_us);
        }
        return;
    }
    if (r == ATTEMPT_REFUSED) {
        return; /* logged by record_gate_error */
    }
    bb_event_log_format_line(
        rq->log_lines, "entry.try_ended", rq->id,
        "\"gate\":\"%s\",\"result\":\"%s\",\"fetch\":\"%s\","
        "\"status\":%u,\"took_us\":%" G_GUINT64_FORMAT,
        a->gate_address, attempt_result_name(r), bb_fetch_result_name(result),
        a->relay.status, took_us);
    if (g != NULL && result != BB_FETCH_COMPLETE &&
        result != BB_FETCH_DECLINED) {
        bb_gate_view_suspend(&g->view, bb_clock_now_us());
    }
    add_gate(rq->excluded_gates, &rq->excluded_count, a->gate_address);
}

/* Ends a request whose response is being streamed; if it is incomplete, the
 * caller's connection is aborted. */
static void
finish_stream(struct attempt *a, enum bb_fetch_result result)
{
    struct entry_request *rq = a->request;

    if (result == BB_FETCH_COMPLETE) {
        request_forward_response(rq, &a->relay);
        return;
    }
    bb_event_log_format_line(rq->log_lines, "entry.broken_off", rq->id,
                             "\"reason\":\"%s\"",
                             bb_fetch_result_name(result));
    bb_http_exchange_abort(rq->exchange);
    request_destroy(rq, BB_EVENT_FAILURE);
}

/* Continues after an attempt that brought no response below 500, while no
 * other attempt is in progress: retries the request or responds to it. */
static void
continue_request(struct attempt *a, enum attempt_result r)
{
    struct entry_request *rq = a->request;

    switch (r) {
    case ATTEMPT_COMPLETED:
        if (reserve_retry(rq, true)) {
            request_try_next_gate(rq);
            return;
        }
        request_forward_held_response(rq);
        return;
    case ATTEMPT_REFUSED:
    case ATTEMPT_UNREACHABLE:
        try_other_gate(rq);
        return;
    case ATTEMPT_NOT_RUN:
        if (reserve_retry(rq, rq->may_have_run)) {
            request_try_next_gate(rq);
            return;
        }
        give_up(rq, "upstream_refused");
        return;
    case ATTEMPT_UNKNOWN:
        if (reserve_retry(rq, true)) {
            request_try_next_gate(rq);
            return;
        }
        give_up(rq, "lost");
        return;
    }
}

/* Classifies a finished attempt, then responds to the request, retries it, or
 * waits for its other attempt. */
static void
on_attempt_done(void *context, enum bb_fetch_result result)
{
    struct attempt *a = context;
    struct entry_request *rq = a->request;
    enum attempt_result r = classify_result(a, result);

    a->fetch = NULL;
    release_gate(a);
    attempt_add_evidence(a, r);
    record_attempt_end(a, r, result);
    if (a->relay.is_streaming) {
        finish_stream(a, result);
        return;
    }
    rq->may_have_run =
        rq->may_have_run || r == ATTEMPT_COMPLETED || r == ATTEMPT_UNKNOWN;
    rq->upstream_attempts +=
        r == ATTEMPT_COMPLETED || r == ATTEMPT_UNKNOWN || r == ATTEMPT_NOT_RUN;
    if (r == ATTEMPT_COMPLETED && a->relay.status < 500) {
        attempt_add_overdue_evidence(other_attempt(a));
        attempt_cancel(other_attempt(a));
        request_forward_response(rq, &a->relay);
        return;
    }
    if (r == ATTEMPT_COMPLETED) {
        hold_response(a);
    }
    if (other_attempt(a)->fetch == NULL) {
        continue_request(a, r);
    }
}

/* Sends the received part of a streamed request body to the gate. */
void
request_send_body(struct entry_request *rq)
{
    if (rq->attempts[0].fetch != NULL) {
        bb_forward_body(rq->exchange, rq->attempts[0].fetch, rq->is_chunked);
    }
}

/* Resumes reading the request body once the gate has read what was queued. */
static void
on_gate_writable(void *context)
{
    struct attempt *a = context;

    bb_http_exchange_resume(a->request->exchange);
}

static const struct bb_fetch_events fetch_events = {.head = on_response_head,
                                                    .body = on_response_body,
                                                    .done = on_attempt_done,
                                                    .output_drained =
                                                        on_gate_writable};

/* Logs the chosen gate and the state on which the choice was based. */
static void
log_attempt(const struct attempt *a, const struct bb_gate_record *g,
            uint64_t now_us)
{
    struct entry_request *rq = a->request;

    bb_event_log_format_line(
        rq->log_lines, a == &rq->attempts[0] ? "entry.try" : "entry.hedge",
        rq->id,
        "\"gate\":\"%s\",\"instance\":\"%s\",\"distance\":%u,"
        "\"wait_max_ms\":%u,\"running\":%u,\"queued\":%u,\"slots\":%u,"
        "\"in_flight\":%u,\"failing\":%u,\"report_age_ms\":%d,"
        "\"limit_mrps\":%d",
        g->address_text, g->upstream_id, g->view.distance, max_wait_ms(a),
        g->view.running, g->view.queued, g->view.slots, g->view.in_flight,
        g->view.failure_permille,
        g->view.reported_us != 0
            ? (int)((now_us - g->view.reported_us) / BB_US_PER_MS)
            : -1,
        g->view.is_limited ? (int)MIN(g->view.limit_mrps, (uint32_t)INT32_MAX)
                           : -1);
}

/* Sends the request to a gate. Returns false if less than a millisecond is
 * left or no connection could be created. */
static bool
start_attempt(struct attempt *a, struct bb_gate_record *g,
              uint64_t max_wait_us, uint64_t now_us)
{
    struct entry_request *rq = a->request;
    struct bb_http_exchange *x = rq->exchange;
    uint64_t left_us =
        rq->deadline_us - MIN(rq->deadline_us, now_us + reserved_return_us(g));
    struct bb_fetch_request r = {0};
    GString *head;

    if (left_us < BB_US_PER_MS) {
        return false;
    }
    a->max_wait_us = max_wait_us;
    a->upstream_us = 0;
    a->expected_us = bb_cost_speed_apply(
        &g->view.speed, bb_cost_mean_us(&rq->entry->cost, &rq->cost_key));
    a->expected_wait_us = bb_balance_wait_us(&g->view, now_us);
    log_attempt(a, g, now_us);
    rq->attempt_count++;
    bb_response_relay_reset(&a->relay);
    g_strlcpy(a->gate_address, g->address_text, sizeof(a->gate_address));
    a->started_us = now_us;
    head = build_head(a, left_us, now_us);
    r = (struct bb_fetch_request){
        .address = g->address,
        .head = head,
        .is_body_complete = x->is_body_complete,
        .is_head_method = x->head.method == HTTP_HEAD,
        .final_field = rq->entry->settings.dialect->fields.seal,
    };
    if (!rq->is_chunked) {
        r.body = x->body->str;
        r.body_bytes = x->body->len;
    }
    bb_counter_add(&tries_total, 1);
    if (g->view.distance == BB_GATE_OTHER_REGION) {
        bb_counter_add(&other_region_total, 1);
    }
    a->fetch = bb_fetch_start(rq->entry->pool, &r, &fetch_events, a);
    g_string_free(head, TRUE);
    if (a->fetch == NULL) {
        add_gate(rq->excluded_gates, &rq->excluded_count, a->gate_address);
        return false;
    }
    g->view.in_flight++;
    bb_gate_view_add_sent(&g->view, a->expected_us != 0
                                        ? a->expected_us
                                        : g->view.mean_duration_us);
    return true;
}

/* Returns why no gate of a service can be chosen. */
const char *
service_no_gate_reason(const struct bb_service_record *service)
{
    if (service->gates->len == 0) {
        return "no_upstream";
    }
    return sum_limits_mrps(service) != 0 ? "limit" : "no_gate_left";
}

/* Sends the request to the best remaining gate. Responds to the request and
 * destroys it if there is none, BB_ENTRY_ATTEMPTS_MAX are used up, the lease
 * has ended, no time is left, or no connection could be created; the last two
 * are given up as "late". */
void
request_try_next_gate(struct entry_request *rq)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t max_wait_us = 0;
    struct bb_http_exchange *x = rq->exchange;
    struct bb_gate_record *g;

    rq->cost_key =
        bb_request_cost_key(rq->route->class_index, &x->head,
                            rq->team != NULL ? rq->team->name : NULL);
    g = rq->attempt_count < BB_ENTRY_ATTEMPTS_MAX
            ? choose_gate(rq, &max_wait_us, now_us)
            : NULL;
    if (g == NULL) {
        give_up(rq, service_no_gate_reason(rq->service));
        return;
    }
    if (!request_keep_lease(rq)) {
        return;
    }
    rq->is_body_streamed = rq->is_body_streamed || !x->is_body_complete;
    rq->is_chunked = bb_forward_is_chunked(x);
    if (!start_attempt(&rq->attempts[0], g, max_wait_us, now_us)) {
        give_up(rq, "late");
        return;
    }
    if (rq->is_chunked) {
        request_send_body(rq);
    }
    else if (rq->is_body_streamed) {
        bb_http_exchange_drop_body(x);
    }
}

/* Sends a slow request to a second gate as well (a hedge), if the route allows
 * a retry and bb_balance_can_hedge allows the gate. The first response below
 * 500 is passed on. */
void
request_hedge(struct entry_request *rq)
{
    uint64_t now_us = bb_clock_now_us();
    struct attempt *first = &rq->attempts[0];
    struct attempt *second = &rq->attempts[1];
    struct bb_gate_record *g;
    uint64_t max_wait_us = 0;

    /* + 1: the first attempt, still in progress, may reach an upstream too */
    if (first->fetch == NULL || second->fetch != NULL ||
        first->relay.is_streaming ||
        rq->attempt_count >= BB_ENTRY_ATTEMPTS_MAX ||
        rq->upstream_attempts + 1 >= rq->route->upstream_attempts_max) {
        return;
    }
    add_gate(rq->excluded_gates, &rq->excluded_count, first->gate_address);
    g = choose_gate(rq, &max_wait_us, now_us);
    if (g == NULL || !bb_balance_can_hedge(&g->view, now_us) ||
        !request_has_lease(rq) || !reserve_retry(rq, true)) {
        return;
    }
    bb_counter_add(&hedges_total, 1);
    /* Wait 0: a hedge is worth its slot only if it starts at once. */
    (void)start_attempt(second, g, 0, now_us);
}
