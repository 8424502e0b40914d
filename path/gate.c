/* Gate: queues, refuses or forwards the requests for one upstream. */
#include "path/gate.h"

#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/event_log.h"
#include "common/histogram.h"
#include "common/log.h"
#include "decide/balance.h"
#include "decide/gate_queue.h"
#include "net/fetch.h"
#include "path/cost_metrics.h"
#include "path/gate_cost.h"
#include "path/relay.h"
#include "path/stall_watch.h"
#include "path/upstream_check.h"

enum {
    PERMILLE = 1000,
    MRPS_PER_RPS = 1000,
    SERVICE_TEXT_BYTES = BB_DIALECT_TEXT_BYTES,
    /* For requests without a deadline field; the same as
     * BB_ENTRY_DEADLINE_MAX_MS. */
    DEFAULT_DEADLINE_MS = 30000,
    /* By how much a cancel at the deadline may come before it. */
    DEADLINE_MARGIN_MS = 100,
    HEXADECIMAL = 16 /* base of a number */
};

/* Defines and registers the counter of one refusal reason. */
#define REFUSED_COUNTER(identifier, reason)                                   \
    static struct bb_counter identifier = {                                   \
        .name = "baobab_gate_refused_total",                                  \
        .help = "Requests refused by the gate; they did not run",             \
        .label = "reason=\"" reason "\""};                                    \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        bb_counter_register(&identifier);                                     \
    }                                                                         \
    struct bb_counter

REFUSED_COUNTER(refused_full, "full");
REFUSED_COUNTER(refused_limit, "limit");
REFUSED_COUNTER(refused_late, "late");
REFUSED_COUNTER(refused_not_ready, "not_ready");
REFUSED_COUNTER(refused_other_service, "other_service");
REFUSED_COUNTER(refused_other_version, "other_version");
REFUSED_COUNTER(refused_starting, "starting");
REFUSED_COUNTER(refused_stopping, "stopping");
REFUSED_COUNTER(refused_unreachable, "unreachable");
REFUSED_COUNTER(refused_malformed, "malformed");

BB_HISTOGRAM(wait_time, "baobab_gate_wait_seconds", NULL,
             "From the arrival of a request at the gate to its start");
BB_HISTOGRAM(upstream_time, "baobab_gate_upstream_seconds",
             "outcome=\"whole\"", "Time of a request at the upstream");
BB_HISTOGRAM(lost_time, "baobab_gate_upstream_seconds", "outcome=\"lost\"",
             "Time of a request at the upstream");
BB_COUNTER(sent_total, "baobab_gate_run_total",
           "Requests sent to the upstream");
BB_COUNTER(lost_total, "baobab_gate_lost_total",
           "Requests whose answer did not come whole");
BB_COUNTER(cancelled_total, "baobab_gate_cancelled_total",
           "Requests given up because the caller left");

BB_GAUGE(limited_gauge, "baobab_gate_upstream_limited",
         "1 while the upstream states a limit");
BB_GAUGE(limit_gauge, "baobab_gate_limit_mrps",
         "Limit of the upstream in thousandths of a request a second");
BB_GAUGE(leaving_gauge, "baobab_gate_upstream_leaving",
         "1 while the upstream leaves");

struct bb_gate {
    uv_loop_t *loop;
    uv_timer_t timer;
    struct bb_gate_settings settings;
    struct bb_http_server *server;
    struct bb_connection_pool *pool;
    struct bb_upstream upstream;
    struct bb_upstream_check *check;
    struct bb_stall_watch *stall_watch;
    uint32_t upstream_run; /* counts the runs of the upstream */
    struct bb_gate_queue queue;
    struct bb_gate_cost cost;
    struct bb_left_runs left_runs;
    GHashTable *queued; /* queue_item.id to struct gate_request */
    uint64_t next_id;
    uint32_t failure_permille; /* failure rate at failure_updated_us */
    uint64_t failure_updated_us;
    /* request_id to struct gate_request, of those sent to the upstream */
    GHashTable *running;
    uint64_t end_us; /* latest deadline; 0: no limit */
    uint64_t created_us;
    bool is_restored; /* bb_gate_restore was called */
    bool is_stopping;
    bool is_unreachable; /* could not connect since the last announcement */
};

/* A request from an entry, queued or sent to the upstream. */
struct gate_request {
    struct bb_gate *gate;
    struct bb_http_exchange *exchange;
    struct bb_gate_queue_item queue_item;
    struct bb_run_cost cost;
    uint64_t expected_wait_us; /* on arrival */
    struct bb_fetch *fetch;    /* NULL: not sent yet */
    struct bb_response_relay relay;
    uint64_t sent_us;
    uint32_t upstream_run; /* of the gate when it was sent */
    uint32_t connect_timeout_ms;
    size_t sent_bytes; /* unused; always 0 */
    char request_id[BB_DIALECT_ID_BYTES];
    char service[SERVICE_TEXT_BYTES]; /* that the entry expects here */
    uint64_t version_id; /* that the entry expects; 0: not stated */
    bool is_chunked;
    bool is_not_idempotent; /* by its route; must not run twice */
    bool is_retry;    /* an earlier attempt may have reached an upstream */
    bool is_error;    /* the response has a status of 500 or above */
    bool is_not_run;  /* the upstream states that it did not run it */
    bool is_unproven; /* it may have stated that of an earlier request */
};

static void process_queue(struct bb_gate *g);

/* Returns whether the upstream may get requests. An announcement alone does
 * not open the gate: it may have been sent before a drain that an earlier
 * process of this node acknowledged. */
static bool
is_upstream_ready(const struct bb_gate *g)
{
    return g->upstream.state == BB_INSTANCE_READY &&
           g->upstream.is_confirmed && !g->is_unreachable;
}

/* Returns whether the upstream has announced that it is ready, but this is not
 * confirmed yet. */
static bool
is_awaiting_check(const struct bb_gate *g)
{
    return g->upstream.state == BB_INSTANCE_READY &&
           !g->upstream.is_confirmed && !g->is_unreachable;
}

/* Tells the queue the remaining work of the requests at the upstream. */
static void
update_running_work(struct bb_gate *g)
{
    struct bb_gate_work w = {0};
    uint64_t now_us = bb_clock_now_us();
    GHashTableIter i;
    gpointer value;

    g_hash_table_iter_init(&i, g->running);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct gate_request *rq = value;
        uint64_t left_us =
            bb_run_cost_left_us(&rq->cost, &g->cost, rq->sent_us, now_us);

        if (left_us == 0) {
            w = (struct bb_gate_work){0};
            break; /* nothing is known yet */
        }
        bb_gate_work_add(&w, &g->queue, left_us);
    }
    bb_gate_queue_set_work(&g->queue, &w);
}

/* Appends the load field, which entry nodes use to choose gates. Reports 0
 * slots while the upstream is not ready or unreachable, or the gate stops; not
 * while the gate waits for bb_gate_restore. upstream_us is the time of the
 * request at the upstream. */
static void
append_load_field(struct bb_gate *g, uint64_t upstream_us, GString *fields)
{
    bool is_open = is_upstream_ready(g) && !g->is_stopping;

    update_running_work(g);
    g_string_append_printf(
        fields, BB_GATE_HEADER_LOAD ": %u %u %u %u %u %" G_GUINT64_FORMAT,
        g->queue.running, g->queue.queued, is_open ? g->queue.slots : 0,
        (unsigned)MIN(g->queue.overall_mean_us, (uint64_t)UINT32_MAX),
        g->failure_permille, upstream_us);
    if (g->queue.limit.is_limited) {
        g_string_append_printf(
            fields, " %u %" G_GUINT64_FORMAT, g->queue.limit.rate_mrps,
            bb_gate_queue_limit_wait_us(&g->queue, bb_clock_now_us()));
    }
    if (bb_gate_queue_is_work_known(&g->queue)) {
        g_string_append_printf(fields, " %" G_GUINT64_FORMAT,
                               bb_gate_queue_work_left_us(&g->queue));
    }
    g_string_append(fields, "\r\n");
}

/* Frees the slot of a request that was sent to the upstream. took_us updates
 * the durations of its class if is_success. */
static void
release_slot(struct gate_request *rq, uint64_t took_us, bool is_success)
{
    struct bb_gate *g = rq->gate;

    bb_gate_queue_finish(&g->queue, rq->queue_item.class_index, took_us,
                         is_success);
    if (g_hash_table_lookup(g->running, rq->request_id) == rq) {
        (void)g_hash_table_remove(g->running, rq->request_id);
    }
}

/* Responds with 503 and the reason why the request was not sent to the
 * upstream. id may be NULL. */
static void
refuse_request(struct bb_gate *g, struct bb_http_exchange *x, const char *id,
               struct bb_counter *counter, const char *reason)
{
    GString *fields = g_string_new(BB_GATE_HEADER_REFUSED ": ");
    GString *line = g_string_new(NULL);

    bb_counter_add(counter, 1);
    g_string_append_printf(fields, "%s\r\n", reason);
    append_load_field(g, 0, fields);
    bb_event_log_format_line(
        line, "gate.refused", id,
        "\"reason\":\"%s\",\"running\":%u,\"queued\":%u,"
        "\"slots\":%u,\"state\":\"%s\",\"mean_us\":%u,"
        "\"limit_mrps\":%d",
        reason, g->queue.running, g->queue.queued, g->queue.slots,
        bb_instance_state_name(g->upstream.state),
        (unsigned)g->queue.overall_mean_us,
        g->queue.limit.is_limited
            ? (int)MIN(g->queue.limit.rate_mrps, (uint32_t)INT32_MAX)
            : -1);
    /* "full" and "limit" are ordinary: the entry node logs them too and tries
     * another gate. */
    bb_event_log_write(counter == &refused_full || counter == &refused_limit
                           ? BB_EVENT_ORDINARY
                           : BB_EVENT_FAILURE,
                       line->str, line->len);
    g_string_free(line, TRUE);
    bb_http_exchange_respond(x, 503, fields, NULL, 0);
    g_string_free(fields, TRUE);
}

static void
free_request(struct gate_request *rq)
{
    bb_response_relay_clear(&rq->relay);
    g_free(rq);
}

/* Logs the state of the upstream and passes it on to be announced to the other
 * nodes. */
static void
publish_state(struct bb_gate *g)
{
    struct bb_upstream announced = g->upstream;

    /* DRAINING, which is final, only if the upstream has announced it. It is
     * kept while stopping: after a restart the gate must learn from it that
     * the upstream drains. */
    if (announced.is_leaving && !announced.has_drained) {
        announced.state = BB_INSTANCE_DOWN;
    }
    if (g->is_stopping && announced.state != BB_INSTANCE_DRAINING) {
        announced.state = BB_INSTANCE_GONE;
    }
    else if (announced.state == BB_INSTANCE_READY && !is_upstream_ready(g)) {
        announced.state = BB_INSTANCE_DOWN;
    }
    bb_counter_set(&leaving_gauge, g->upstream.state == BB_INSTANCE_DRAINING);
    bb_log_info("upstream.state",
                "%s %s service %s slots %u started %" G_GUINT64_FORMAT
                " sequence %" G_GUINT64_FORMAT "; running %u queued %u",
                announced.id[0] != '\0' ? announced.id : "-",
                bb_instance_state_name(announced.state), announced.service,
                announced.slots, announced.started_ms, announced.sequence,
                g->queue.running, g->queue.queued);
    g->settings.upstream_changed(g->settings.context, &announced);
}

/* Updates the moving average of the failure rate with one outcome. */
static void
update_failure_rate(struct bb_gate *g, bool is_failure)
{
    uint32_t newest = is_failure ? PERMILLE : 0;
    uint64_t now_us = bb_clock_now_us();

    g->failure_permille = bb_balance_decay_failures(
        g->failure_permille, now_us - g->failure_updated_us);
    g->failure_updated_us = now_us;
    g->failure_permille =
        (g->failure_permille * (PERMILLE - BB_GATE_FAILURE_WEIGHT_PERMILLE) +
         newest * BB_GATE_FAILURE_WEIGHT_PERMILLE) /
        PERMILLE;
}

/* Responds with 502: the request may have run, but its response was lost. */
static void
respond_outcome_unknown(struct gate_request *rq, const char *reason)
{
    struct bb_gate *g = rq->gate;
    GString *fields = g_string_new(NULL);
    GString *line = g_string_new(NULL);

    bb_event_log_format_line(line, "gate.failed", rq->request_id,
                             "\"reason\":\"%s\",\"upstream\":\"%s\","
                             "\"run_us\":%" G_GUINT64_FORMAT,
                             reason, g->upstream.id,
                             bb_clock_now_us() - rq->sent_us);
    bb_event_log_write(BB_EVENT_FAILURE, line->str, line->len);
    g_string_free(line, TRUE);
    g_string_append_printf(fields, BB_GATE_HEADER_FAILED ": %s\r\n", reason);
    append_load_field(g, 0, fields);
    bb_http_exchange_respond(rq->exchange, 502, fields, NULL, 0);
    g_string_free(fields, TRUE);
}

/* Sets how many requests the upstream may get at once. */
static void
update_slots(struct bb_gate *g)
{
    bb_gate_queue_set_slots(
        &g->queue,
        is_upstream_ready(g) && !g->is_stopping
            ? bb_stall_watch_slots(g->stall_watch, g->upstream.slots)
            : 0);
}

/* Adapts the gate to a change of the upstream's state. It is published once
 * the check has a result. */
static void
apply_upstream_state(struct bb_gate *g)
{
    update_slots(g);
    if (!is_awaiting_check(g)) {
        publish_state(g);
    }
    process_queue(g);
}

/* Logs a change of the limit. */
static void
log_limit(const struct bb_gate *g)
{
    const struct bb_upstream_limit *l = &g->queue.limit;

    bb_counter_set(&limited_gauge, l->is_limited);
    bb_counter_set(&limit_gauge, l->rate_mrps);
    if (l->is_limited) {
        bb_log_info("upstream.limit", "%s %u.%03u requests a second",
                    g->upstream.id, l->rate_mrps / MRPS_PER_RPS,
                    l->rate_mrps % MRPS_PER_RPS);
    }
    else {
        bb_log_info("upstream.limit", "%s none", g->upstream.id);
    }
}

/* Applies what the upstream says of itself in the response to a request that
 * was sent at sent_us. */
static void
apply_report(struct bb_gate *g, const struct bb_upstream_report *r,
             uint64_t sent_us)
{
    bool was_ready = is_upstream_ready(g);
    bool was_leaving = g->upstream.is_leaving;

    if (bb_upstream_limit_update(&g->queue.limit, &r->limit, sent_us,
                                 bb_clock_now_us())) {
        log_limit(g);
        process_queue(g);
    }
    bb_upstream_apply_report(&g->upstream, r);
    if (was_leaving != g->upstream.is_leaving) {
        bb_log_info("upstream.report", "%s %s", g->upstream.id,
                    g->upstream.is_leaving ? "leaves" : "no longer leaves");
    }
    if (was_ready != is_upstream_ready(g)) {
        apply_upstream_state(g);
    }
}

/* Reads the head of a response. Status 421 (Misdirected Request) means that
 * the upstream did not run the request. Returns false for a response to
 * another request, which is skipped: that has another id, or none and does not
 * refuse the request. An upstream that refuses a request need not return its
 * id; but on a connection that carried other requests, a refusal without an id
 * may be that of one of them once more, and then proves nothing. */
static bool
on_response_head(void *context, const struct bb_http_head *h)
{
    struct gate_request *rq = context;
    const struct bb_dialect_fields *names =
        &rq->gate->settings.dialect->fields;
    const char *id = bb_http_head_get(h, names->request_id);
    bool is_not_run =
        bb_http_head_get(h, names->not_run) != NULL || h->status == 421;
    struct bb_upstream_report report;

    if (id == NULL ? !is_not_run : strcmp(id, rq->request_id) != 0) {
        return false;
    }
    if (is_not_run) {
        bb_stall_watch_drop(rq->gate->stall_watch, rq->queue_item.id);
    }
    else {
        bb_stall_watch_answer(rq->gate->stall_watch, rq->queue_item.id);
    }
    rq->is_unproven = id == NULL && bb_fetch_is_reused(rq->fetch);
    rq->is_not_run = is_not_run;
    rq->is_error = h->status >= 500;
    bb_response_relay_set_head(&rq->relay, h,
                               rq->exchange->head.method == HTTP_HEAD);
    if (rq->upstream_run == rq->gate->upstream_run && h->status != 421 &&
        !rq->is_unproven) {
        rq->gate->settings.dialect->read_report(h, &report);
        apply_report(rq->gate, &report, rq->sent_us);
    }
    append_load_field(rq->gate, bb_clock_now_us() - rq->sent_us,
                      rq->relay.fields);
    return true;
}

/* Collects or streams a part of the response. Declines one that is not passed
 * on; whether others are of use is for the entry node to decide. */
static bool
on_response_body(void *context, const char *data, size_t size_bytes)
{
    struct gate_request *rq = context;

    if (rq->is_unproven) {
        return false;
    }
    (void)bb_response_relay_append_body(&rq->relay, rq->exchange, data,
                                        size_bytes);
    if (!bb_http_exchange_has_room(rq->exchange)) {
        bb_fetch_pause(rq->fetch);
    }
    return true;
}

/* Marks the upstream as unreachable until its next announcement. */
static void
mark_unreachable(struct bb_gate *g)
{
    if (!g->is_unreachable) {
        g->is_unreachable = true;
        publish_state(g);
    }
}

/* Passes a complete response on, or responds with the error; then frees the
 * request and its slot. */
static void
on_fetch_done(void *context, enum bb_fetch_result result)
{
    struct gate_request *rq = context;
    struct bb_gate *g = rq->gate;
    uint64_t took_us = bb_clock_now_us() - rq->sent_us;
    bool is_complete = result == BB_FETCH_COMPLETE && !rq->is_unproven;
    bool is_success = is_complete && !rq->is_error && !rq->is_not_run;

    bb_stall_watch_drop(g->stall_watch, rq->queue_item.id);
    release_slot(rq, took_us, is_success);
    /* A 4xx response often comes before any work was done. */
    if (is_success && rq->relay.status < 400 &&
        rq->upstream_run == g->upstream_run &&
        rq->sent_us >= g->upstream.warm_at_us) {
        bb_run_cost_finish(&rq->cost, &g->cost, rq->sent_us,
                           rq->sent_us + took_us);
    }
    bb_histogram_observe(is_complete ? &upstream_time : &lost_time, took_us);
    update_failure_rate(g, !is_complete || rq->is_error || rq->is_not_run);
    if (is_complete) {
        bb_response_relay_finish(&rq->relay, rq->exchange);
    }
    else if (result == BB_FETCH_NOT_CONNECTED &&
             rq->connect_timeout_ms < BB_GATE_CONNECT_TIMEOUT_MS &&
             took_us >= (uint64_t)rq->connect_timeout_ms * BB_US_PER_MS) {
        /* The deadline was near, which says nothing of the upstream. */
        refuse_request(g, rq->exchange, rq->request_id, &refused_late, "late");
    }
    else if (result == BB_FETCH_NOT_CONNECTED) {
        mark_unreachable(g);
        refuse_request(g, rq->exchange, rq->request_id, &refused_unreachable,
                       "unreachable");
    }
    else {
        bb_counter_add(&lost_total, 1);
        if (rq->relay.is_streaming) {
            bb_http_exchange_abort(rq->exchange);
        }
        else {
            respond_outcome_unknown(rq, rq->is_unproven
                                            ? "unproven"
                                            : bb_fetch_result_name(result));
        }
    }
    free_request(rq);
    process_queue(g);
}

/* Resumes reading the request body once the upstream has read what was
 * queued. */
static void
on_upstream_writable(void *context)
{
    struct gate_request *rq = context;

    bb_http_exchange_resume(rq->exchange);
}

static const struct bb_fetch_events fetch_events = {.head = on_response_head,
                                                    .body = on_response_body,
                                                    .done = on_fetch_done,
                                                    .output_drained =
                                                        on_upstream_writable};

/* Returns the request at the upstream with a number of this gate, or NULL. */
static struct gate_request *
find_running(struct bb_gate *g, uint64_t number)
{
    GHashTableIter i;
    gpointer value;

    g_hash_table_iter_init(&i, g->running);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct gate_request *rq = value;

        if (rq->queue_item.id == number) {
            return rq;
        }
    }
    return NULL;
}

/* Gives up a stalled request with its connection, on which the upstream would
 * respond to no other one. The request may have run. */
static void
on_stalled(void *context, uint64_t number)
{
    struct bb_gate *g = context;
    struct gate_request *rq = find_running(g, number);

    if (rq == NULL) {
        return; /* another one with its request id has replaced it */
    }
    bb_fetch_cancel(rq->fetch);
    release_slot(rq, 0, false);
    bb_histogram_observe(&lost_time, bb_clock_now_us() - rq->sent_us);
    bb_counter_add(&lost_total, 1);
    update_failure_rate(g, true);
    respond_outcome_unknown(rq, "stalled");
    free_request(rq);
    process_queue(g);
}

/* Builds the head of the request for the upstream; the caller frees it. */
static GString *
build_head(const struct gate_request *rq, uint64_t left_us)
{
    const struct bb_gate *g = rq->gate;
    const struct bb_dialect_fields *names = &g->settings.dialect->fields;
    const char *const excluded[] = {names->deadline_ms,
                                    names->expected_upstream, NULL};
    GString *head = g_string_sized_new(512);

    bb_forward_request_line(&rq->exchange->head, head);
    bb_forward_fields(&rq->exchange->head, excluded, head);
    g_string_append_printf(head, "%s: %" G_GUINT64_FORMAT "\r\n",
                           names->deadline_ms, left_us / BB_US_PER_MS);
    g_string_append_printf(head, "%s: %s\r\n", names->expected_upstream,
                           g->upstream.id);
    bb_forward_framing(rq->exchange, head);
    g_string_append(head, "\r\n");
    return head;
}

/* Returns the hash of an upstream's version, never 0. */
uint64_t
bb_gate_version_id(const char *software_version)
{
    return bb_hash64(software_version, strlen(software_version), 0) | 1;
}

/* Refuses and frees a request for another version, as another run of the
 * upstream has replaced the one that the entry knows. Returns whether it was
 * refused. */
static bool
refuse_other_version(struct gate_request *rq)
{
    struct bb_gate *g = rq->gate;

    if (rq->version_id == 0 ||
        rq->version_id == bb_gate_version_id(g->upstream.software_version)) {
        return false;
    }
    release_slot(rq, 0, false);
    refuse_request(g, rq->exchange, rq->request_id, &refused_other_version,
                   "other_version");
    free_request(rq);
    return true;
}

/* Returns how long connecting may take, so that a request which could not be
 * sent is refused before its deadline. */
static uint32_t
connect_timeout_ms(const struct gate_request *rq, uint64_t now_us)
{
    const struct bb_gate_queue_item *q = &rq->queue_item;
    uint64_t reserved_us = now_us + q->refusal_margin_us;
    uint64_t left_us =
        q->deadline_us > reserved_us ? q->deadline_us - reserved_us : 0;

    return (uint32_t)CLAMP(left_us / BB_US_PER_MS, (uint64_t)1,
                           (uint64_t)BB_GATE_CONNECT_TIMEOUT_MS);
}

/* Sends a request to the upstream, or refuses and frees it if the upstream has
 * another version or no connection could be created. */
static void
send_to_upstream(struct gate_request *rq)
{
    struct bb_gate *g = rq->gate;
    uint64_t now_us = bb_clock_now_us();
    GString *head;
    struct bb_http_exchange *x = rq->exchange;
    struct bb_fetch_request r;

    rq->connect_timeout_ms = connect_timeout_ms(rq, now_us);
    r = (struct bb_fetch_request){
        .address = g->settings.upstream_address,
        .is_body_complete = x->is_body_complete,
        .is_head_method = x->head.method == HTTP_HEAD,
        .final_field = g->settings.dialect->fields.seal,
        .connect_timeout_ms = rq->connect_timeout_ms,
        .idle_max_ms = rq->is_not_idempotent || rq->is_retry
                           ? (uint32_t)BB_GATE_NO_LOSS_IDLE_MAX_MS
                           : 0,
    };

    if (refuse_other_version(rq)) {
        return;
    }
    head = build_head(rq, rq->queue_item.deadline_us - now_us);
    r.head = head;
    rq->sent_us = now_us;
    rq->upstream_run = g->upstream_run;
    bb_histogram_observe(&wait_time, now_us - rq->exchange->received_us);
    bb_cost_metrics_observe(BB_PREDICTION_GATE_WAIT,
                            rq->queue_item.class_index, rq->expected_wait_us,
                            now_us - rq->exchange->received_us);
    g_hash_table_replace(g->running, rq->request_id, rq);
    rq->is_chunked = bb_forward_is_chunked(x);
    if (!rq->is_chunked) {
        r.body = x->body->str;
        r.body_bytes = x->body->len;
    }
    bb_counter_add(&sent_total, 1);
    rq->fetch = bb_fetch_start(g->pool, &r, &fetch_events, rq);
    g_string_free(head, TRUE);
    if (rq->fetch == NULL) {
        release_slot(rq, 0, false);
        refuse_request(g, x, rq->request_id, &refused_unreachable,
                       "unreachable");
        free_request(rq);
        return;
    }
    if (x->is_body_complete) {
        bb_stall_watch_send(g->stall_watch, rq->queue_item.id,
                            rq->queue_item.class_index);
    }
    if (rq->is_chunked) {
        bb_forward_body(rq->exchange, rq->fetch, rq->is_chunked);
    }
    else if (!x->is_body_complete) {
        bb_http_exchange_drop_body(x);
    }
    if (x->is_paused &&
        bb_fetch_queued_bytes(rq->fetch) <= BB_STREAM_HIGH_WATER_BYTES) {
        bb_http_exchange_resume(x);
    }
}

/* Processes the queue when its next refusal is due. */
static void
on_timer(uv_timer_t *t)
{
    process_queue(t->data);
}

/* Refuses a request that cannot be served in time, at this gate or, with a
 * limit on its wait, soon enough. After "full" and "limit" the entry tries
 * another gate, after "late" it does not. */
static void
refuse_late_request(struct gate_request *rq, uint64_t max_wait_us)
{
    struct bb_gate *g = rq->gate;

    if (g->queue.limit.is_limited && g->queue.running < g->queue.slots) {
        refuse_request(g, rq->exchange, rq->request_id, &refused_limit,
                       "limit");
    }
    else if (max_wait_us == UINT64_MAX) {
        refuse_request(g, rq->exchange, rq->request_id, &refused_late, "late");
    }
    else {
        refuse_request(g, rq->exchange, rq->request_id, &refused_full, "full");
    }
}

/* Sends or refuses the queued requests that are due, and sets the timer for
 * those that stay queued. */
static void
process_queue(struct bb_gate *g)
{
    uint64_t now_us = bb_clock_now_us();
    enum bb_gate_queue_decision decision;
    uint64_t id = 0;
    uint64_t due_us;

    update_slots(g);
    while (bb_gate_queue_take_next(&g->queue, now_us, &id, &decision)) {
        struct gate_request *rq = g_hash_table_lookup(g->queued, &id);

        (void)g_hash_table_remove(g->queued, &id);
        if (decision == BB_GATE_QUEUE_RUN) {
            send_to_upstream(rq);
        }
        else {
            refuse_late_request(rq, UINT64_MAX);
            free_request(rq);
        }
    }
    due_us = bb_gate_queue_next_due_us(&g->queue, now_us);
    if (due_us == 0) {
        (void)uv_timer_stop(&g->timer);
        return;
    }
    (void)uv_timer_start(
        &g->timer, on_timer,
        due_us > now_us ? (due_us - now_us) / BB_US_PER_MS + 1 : 1, 0);
}

/* Reads the header fields that the entry added to the request, and stores them
 * in rq and max_wait_us. Returns false if the call field or the id is missing
 * or malformed; the deadline is optional. */
static bool
read_entry_fields(struct bb_gate *g, struct bb_http_exchange *x,
                  struct gate_request *rq, uint64_t *max_wait_us)
{
    const struct bb_dialect_fields *names = &g->settings.dialect->fields;
    const char *call_field = bb_http_head_get(&x->head, BB_GATE_HEADER_CALL);
    const char *id = bb_http_head_get(&x->head, names->request_id);
    const char *version = bb_http_head_get(&x->head, BB_GATE_HEADER_VERSION);
    uint64_t now_us = bb_clock_now_us();
    uint64_t deadline_ms = DEFAULT_DEADLINE_MS;
    char flags[8] = "";
    guint64 team_id = 0;
    unsigned priority = 0;
    unsigned class_index = 0;
    unsigned target_ms = 0;
    unsigned wait_ms = 0;

    if (call_field == NULL || id == NULL ||
        strlen(id) >= sizeof(rq->request_id) ||
        sscanf(call_field, "%127s %u %u %u %u %7s %16" G_GINT64_MODIFIER "x",
               rq->service, &priority, &class_index, &target_ms, &wait_ms,
               flags, &team_id) < 5) {
        return false;
    }
    if (version != NULL) {
        rq->version_id = g_ascii_strtoull(version, NULL, HEXADECIMAL);
    }
    (void)bb_http_head_get_u64(&x->head, names->deadline_ms, &deadline_ms);
    g_strlcpy(rq->request_id, id, sizeof(rq->request_id));
    *max_wait_us = wait_ms >= BB_GATE_WAIT_UNLIMITED_MS
                       ? UINT64_MAX
                       : (uint64_t)wait_ms * BB_US_PER_MS;
    rq->is_retry = strchr(flags, BB_GATE_FLAG_RETRY) != NULL;
    rq->is_not_idempotent = strchr(flags, BB_GATE_FLAG_NOT_IDEMPOTENT) != NULL;
    rq->queue_item = (struct bb_gate_queue_item){
        .id = ++g->next_id,
        .priority = priority,
        .class_index = class_index,
        .is_nested = strchr(flags, BB_GATE_FLAG_NESTED) != NULL,
        .team_id = team_id,
        .target_end_us = now_us + (uint64_t)target_ms * BB_US_PER_MS,
        .deadline_us = now_us + deadline_ms * BB_US_PER_MS,
        .refusal_margin_us = MIN(deadline_ms / BB_GATE_REFUSAL_MARGIN_PARTS,
                                 (uint64_t)BB_GATE_REFUSAL_MARGIN_MS) *
                             BB_US_PER_MS};
    bb_run_cost_init(
        &rq->cost, &g->cost, class_index, &x->head,
        bb_http_head_get(&x->head, g->settings.dialect->fields.team));
    rq->queue_item.expected_us = rq->cost.expected_us;
    rq->queue_item.is_unsafe = rq->is_not_idempotent;
    if (g->end_us != 0) {
        rq->queue_item.deadline_us =
            MIN(rq->queue_item.deadline_us, g->end_us);
    }
    return true;
}

/* Returns NULL if the gate admits the request. Otherwise returns the reason
 * and sets `counter` to its counter. All reasons but "other_service" apply to
 * every request at that time. If the upstream is not ready, the reason is the
 * name of its state, whereas the counter is always refused_not_ready. */
static const char *
refusal_reason(struct bb_gate *g, const struct gate_request *rq,
               struct bb_counter **counter)
{
    if (g->is_stopping) {
        *counter = &refused_stopping;
        return "stopping";
    }
    if (!g->is_restored &&
        bb_clock_now_us() - g->created_us <
            (uint64_t)BB_GATE_RESTORE_TIMEOUT_MS * BB_US_PER_MS) {
        *counter = &refused_starting;
        return "starting";
    }
    if (is_awaiting_check(g)) {
        *counter = &refused_starting;
        return "starting";
    }
    if (!is_upstream_ready(g)) {
        *counter = &refused_not_ready;
        return bb_instance_state_name(g->is_unreachable ? BB_INSTANCE_DOWN
                                                        : g->upstream.state);
    }
    if (strcmp(rq->service, g->upstream.service) != 0) {
        *counter = &refused_other_service;
        return "other_service";
    }
    return NULL;
}

/* Sends, queues or refuses a request of an entry node. */
static void
on_request(void *context, struct bb_http_exchange *x)
{
    struct bb_gate *g = context;
    struct gate_request *rq = g_new0(struct gate_request, 1);
    struct bb_counter *counter = &refused_malformed;
    const char *reason = NULL;
    uint64_t max_wait_us = 0;

    rq->gate = g;
    rq->exchange = x;
    bb_response_relay_init(&rq->relay);
    if (!read_entry_fields(g, x, rq, &max_wait_us)) {
        refuse_request(g, x, NULL, counter, "malformed");
        free_request(rq);
        return;
    }
    reason = refusal_reason(g, rq, &counter);
    if (reason != NULL) {
        refuse_request(g, x, rq->request_id, counter, reason);
        free_request(rq);
        return;
    }
    x->user_data = rq;
    update_slots(g);
    update_running_work(g);
    rq->expected_wait_us =
        bb_gate_queue_wait_us(&g->queue, &rq->queue_item, bb_clock_now_us());
    switch (bb_gate_queue_arrive(&g->queue, &rq->queue_item, max_wait_us,
                                 bb_clock_now_us())) {
    case BB_GATE_QUEUE_RUN:
        send_to_upstream(rq);
        break;
    case BB_GATE_QUEUE_WAIT:
        if (!x->is_body_complete) {
            bb_http_exchange_pause(x); /* until the request is sent */
        }
        g_hash_table_insert(g->queued, &rq->queue_item.id, rq);
        process_queue(g);
        break;
    case BB_GATE_QUEUE_REFUSE:
        refuse_late_request(rq, max_wait_us);
        free_request(rq);
        break;
    }
}

/* Sends on more of a request body that is being streamed. */
static void
on_request_body(void *context, struct bb_http_exchange *x)
{
    struct gate_request *rq = x->user_data;

    (void)context;
    if (rq != NULL && rq->fetch != NULL) {
        bb_forward_body(rq->exchange, rq->fetch, rq->is_chunked);
    }
}

/* Resumes reading the response once the entry node has read what was
 * queued. */
static void
on_entry_writable(void *context, struct bb_http_exchange *x)
{
    struct gate_request *rq = x->user_data;

    (void)context;
    if (rq != NULL && rq->fetch != NULL) {
        bb_fetch_resume(rq->fetch);
    }
}

/* Ends the observation of a request that is cancelled. Only one whose caller
 * has waited until the deadline may be stalled: callers leave requests that
 * run long. */
static void
stop_observing(const struct gate_request *rq)
{
    struct bb_stall_watch *w = rq->gate->stall_watch;

    if (bb_clock_now_us() + (uint64_t)DEADLINE_MARGIN_MS * BB_US_PER_MS >=
        rq->queue_item.deadline_us) {
        bb_stall_watch_expire(w, rq->queue_item.id);
    }
    else {
        bb_stall_watch_drop(w, rq->queue_item.id);
    }
}

/* Cancels a request whose connection to the entry node was closed. */
static void
on_entry_disconnected(void *context, struct bb_http_exchange *x,
                      enum bb_http_server_close_reason reason)
{
    struct bb_gate *g = context;
    struct gate_request *rq = x->user_data;

    (void)reason;
    if (rq == NULL) {
        return;
    }
    bb_counter_add(&cancelled_total, 1);
    if (rq->fetch != NULL) {
        stop_observing(rq);
        bb_fetch_cancel(rq->fetch);
        release_slot(rq, 0, false);
        bb_left_runs_add(&g->left_runs, rq->request_id,
                         rq->queue_item.deadline_us);
    }
    else {
        (void)bb_gate_queue_cancel(&g->queue, rq->queue_item.id);
        (void)g_hash_table_remove(g->queued, &rq->queue_item.id);
    }
    free_request(rq);
    process_queue(g);
}

static const struct bb_http_server_handler handler = {
    .request = on_request,
    .body_received = on_request_body,
    .output_drained = on_entry_writable,
    .disconnected = on_entry_disconnected};

/* Returns whether the upstream stated its limit so long ago, as it has got no
 * request since, that it is to be asked again. */
static bool
is_limit_old(const struct bb_gate *g)
{
    const struct bb_upstream_limit *l = &g->queue.limit;

    return l->is_limited && g->queue.running == 0 &&
           bb_clock_now_us() - l->stated_us >=
               (uint64_t)BB_GATE_LIMIT_CHECK_MS * BB_US_PER_MS;
}

/* Starts a health check if the upstream itself has to say
 * - whether it takes requests: it has announced that it is ready, but this is
 *   not confirmed, or it said in its last response that it leaves, or its
 * limit is old;
 * - which upstream it is: another one has announced itself. */
static void
check_upstream(struct bb_gate *g)
{
    const struct bb_upstream *u = &g->upstream;
    const char *path =
        g->settings.find_health_path(g->settings.context, u->service);
    bool is_in_doubt = u->state != BB_INSTANCE_NONE && !u->has_drained &&
                       (!u->is_confirmed || u->is_leaving || is_limit_old(g));

    if ((is_in_doubt || u->is_id_disputed) && path != NULL) {
        bb_upstream_check_start(g->check, u->id, path);
    }
    else {
        bb_upstream_check_stop(g->check);
    }
}

/* Prepares for another run of the upstream. */
static void
begin_upstream_run(struct bb_gate *g)
{
    g->upstream_run++;
    bb_upstream_check_stop(g->check);
    bb_stall_watch_reset(g->stall_watch);
    bb_connection_pool_close_idle(g->pool, &g->settings.upstream_address);
    g->failure_permille = 0;
    g->cost.speed = (struct bb_cost_speed){0};
    if (g->queue.limit.is_limited) {
        g->queue.limit = (struct bb_upstream_limit){0};
        log_limit(g);
    }
}

/* Prepares for a run that has replaced the known one, if there was one. */
static void
apply_replacement(struct bb_gate *g, const struct bb_upstream *before)
{
    const struct bb_upstream *u = &g->upstream;

    if (before->state != BB_INSTANCE_NONE) {
        bb_log_info("upstream.replaced",
                    "%s started %" G_GUINT64_FORMAT
                    " by %s started %" G_GUINT64_FORMAT,
                    before->id, before->started_ms, u->id, u->started_ms);
    }
    g->is_unreachable = false;
    begin_upstream_run(g);
}

/* Applies the id that the upstream has stated in its response to a health
 * check, empty if it has not. Returns whether another run has replaced the
 * known one. */
static bool
apply_stated_id(struct bb_gate *g, const char *id)
{
    struct bb_upstream before = g->upstream;

    if (!bb_upstream_identify(&g->upstream, id)) {
        return false;
    }
    apply_replacement(g, &before);
    check_upstream(g);
    apply_upstream_state(g);
    return true;
}

/* Handles a result of the health check, which counts against the limit like
 * any request. */
static void
on_check_done(void *context, const struct bb_upstream_check_outcome *o)
{
    struct bb_gate *g = context;
    bool was_ready = is_upstream_ready(g);

    if (apply_stated_id(g, o->upstream_id)) {
        return;
    }
    if (o->result == BB_UPSTREAM_CHECK_UNREACHABLE) {
        /* Of an upstream in service, the requests themselves tell. */
        if (!g->upstream.is_confirmed) {
            mark_unreachable(g);
        }
        else {
            check_upstream(g);
        }
        return;
    }
    if (o->result == BB_UPSTREAM_CHECK_HEALTHY) {
        bb_upstream_confirm(&g->upstream);
        g->is_unreachable = false;
        if (!was_ready && is_upstream_ready(g)) {
            apply_upstream_state(g);
        }
    }
    bb_upstream_limit_count(&g->queue.limit, bb_clock_now_us());
    apply_report(g, &o->report, o->sent_us);
    if (o->result == BB_UPSTREAM_CHECK_REFUSED) {
        check_upstream(g); /* it may have said enough */
    }
}

/* Creates the gate, which admits nothing until the upstream has announced
 * itself. Keeps a copy of the settings, but not of the texts and objects that
 * they point to. Returns NULL and sets the error if it cannot listen on the
 * address. */
struct bb_gate *
bb_gate_create(uv_loop_t *loop, const struct bb_gate_settings *s,
               struct bb_error *e)
{
    static const struct bb_connection_pool_settings pool = {
        .connect_timeout_ms = BB_GATE_CONNECT_TIMEOUT_MS,
        .idle_max_ms = BB_GATE_IDLE_MAX_MS,
        .closes_bodyless = true};
    /* The entry has applied the limits of its configuration, which may be
     * another one than is in force here. */
    static const struct bb_http_server_limits limits = {
        .request_head_max_bytes = BB_GATE_HEAD_MAX_BYTES,
        .head_timeout_ms = BB_GATE_HEAD_TIMEOUT_MS,
        .idle_timeout_ms = BB_GATE_CONNECTION_IDLE_TIMEOUT_MS,
        .request_body_max_bytes = UINT64_MAX};
    struct bb_gate *g = g_new0(struct bb_gate, 1);
    const struct bb_upstream_check_settings check = {.upstream_address =
                                                         s->upstream_address,
                                                     .dialect = s->dialect,
                                                     .done = on_check_done,
                                                     .context = g};
    const struct bb_stall_watch_settings stalls = {.stalled = on_stalled,
                                                   .context = g};

    g->loop = loop;
    g->settings = *s;
    g->created_us = bb_clock_now_us();
    g->queued = g_hash_table_new(g_int64_hash, g_int64_equal);
    g->running = g_hash_table_new(g_str_hash, g_str_equal);
    g->pool = bb_connection_pool_create(loop, &pool);
    g->check = bb_upstream_check_create(loop, &check);
    g->stall_watch = bb_stall_watch_create(loop, &stalls);
    bb_gate_queue_init(&g->queue, 0);
    (void)uv_timer_init(loop, &g->timer);
    g->timer.data = g;
    g->server =
        bb_http_server_create(loop, &s->listen_address, &handler, g, e);
    if (g->server == NULL) {
        bb_gate_destroy(g);
        return NULL;
    }
    bb_http_server_set_limits(g->server, &limits);
    bb_http_server_set_rejection_fields(g->server, BB_GATE_HEADER_FAILED
                                        ": rejected\r\n");
    bb_http_server_set_log_names(g->server, "gate",
                                 s->dialect->fields.request_id);
    return g;
}

/* Applies an announcement of the upstream `id`. Once it returns, a draining
 * upstream gets no new request. */
enum bb_announce_result
bb_gate_announce(struct bb_gate *g, const char *id,
                 const struct bb_announcement *a)
{
    struct bb_upstream before = g->upstream;
    bool was_unreachable = g->is_unreachable;
    enum bb_announce_result r = bb_upstream_announce(
        &g->upstream, id, a, g->settings.upstream_address_text,
        bb_clock_now_us());
    const struct bb_upstream *u = &g->upstream;
    bool is_new_run =
        strcmp(before.id, u->id) != 0 || before.started_ms != u->started_ms;

    if (r != BB_ANNOUNCE_ACCEPTED) {
        if (u->is_id_disputed) {
            check_upstream(g);
        }
        return r;
    }
    if (is_new_run) {
        apply_replacement(g, &before);
    }
    g->is_unreachable = false;
    check_upstream(g);
    if (is_new_run || was_unreachable || before.state != u->state ||
        before.is_confirmed != u->is_confirmed || before.slots != u->slots ||
        strcmp(before.service, u->service) != 0) {
        apply_upstream_state(g);
    }
    return r;
}

/* Applies a withdrawal of the upstream `id`: it counts as draining. started_ms
 * is its start on the wall clock, 0 if not stated. */
enum bb_withdraw_result
bb_gate_withdraw(struct bb_gate *g, const char *id, uint64_t started_ms)
{
    struct bb_upstream before = g->upstream;
    enum bb_withdraw_result r =
        bb_upstream_withdraw(&g->upstream, id, started_ms, bb_clock_now_us());
    const struct bb_upstream *u = &g->upstream;

    if (r != BB_WITHDRAW_APPLIED) {
        if (u->is_id_disputed) {
            check_upstream(g);
        }
        return r;
    }
    if (strcmp(before.id, u->id) != 0 || before.started_ms != u->started_ms) {
        apply_replacement(g, &before);
    }
    check_upstream(g);
    apply_upstream_state(g);
    return r;
}

/* Starts a health check that has waited for the configuration. */
void
bb_gate_rules_updated(struct bb_gate *g)
{
    check_upstream(g);
}

/* Restores the state of the upstream that this node had announced before it
 * was restarted; NULL if the control hosts hold none. Until this call, or for
 * BB_GATE_RESTORE_TIMEOUT_MS, no request is admitted: an announcement that
 * the upstream sent before it began to drain, and that arrives late, would
 * make it look ready. */
void
bb_gate_restore(struct bb_gate *g, const fleet_instance *earlier)
{
    g->is_restored = true;
    if (earlier != NULL && earlier->state == BB_INSTANCE_DRAINING &&
        g->upstream.state != BB_INSTANCE_DRAINING &&
        bb_gate_withdraw(g, earlier->id, earlier->started_ms) ==
            BB_WITHDRAW_APPLIED) {
        bb_log_info("gate.recalled",
                    "%s is draining, as this node announced before its "
                    "restart; requests are refused until the upstream "
                    "starts again",
                    earlier->id);
    }
}

/* Sets the latest deadline of further requests, on the monotonic clock: a
 * process that stops must not give the upstream more time than it has itself.
 */
void
bb_gate_limit_deadlines(struct bb_gate *g, uint64_t end_us)
{
    g->end_us = end_us;
}

/* Refuses queued and further requests and sends `Connection: close` with each
 * further response, unless later requests of the connection already wait
 * behind it. Requests at the upstream are finished. */
void
bb_gate_refuse_requests(struct bb_gate *g)
{
    g->is_stopping = true;
    bb_gate_queue_set_slots(&g->queue, 0);
    bb_http_server_disable_keep_alive(g->server);
    publish_state(g);
    process_queue(g);
}

/* Returns what entry nodes have open. */
struct bb_http_server_open
bb_gate_count_open(const struct bb_gate *g)
{
    return bb_http_server_count_open(g->server);
}

/* Returns whether a request with this id is at the upstream. Sets is_retry to
 * whether an earlier attempt may have reached an upstream. */
bool
bb_gate_is_running(const struct bb_gate *g, const char *id, bool *is_retry)
{
    const struct gate_request *rq = g_hash_table_lookup(g->running, id);

    *is_retry = rq != NULL && rq->is_retry;
    return rq != NULL;
}

/* Notes that the request with this id, if it is at the upstream, begins a
 * nested call, whose time is not work of this upstream. Returns the deadline
 * of the request, also if the caller has left it at the upstream; UINT64_MAX
 * if it is not known. */
uint64_t
bb_gate_begin_nested(struct bb_gate *g, const char *id)
{
    struct gate_request *rq = g_hash_table_lookup(g->running, id);

    if (rq == NULL) {
        return bb_left_runs_find(&g->left_runs, id);
    }
    bb_run_cost_begin_nested(&rq->cost, bb_clock_now_us());
    return rq->queue_item.deadline_us;
}

/* Notes that the request with this id, if it is at the upstream, ends a nested
 * call. */
void
bb_gate_end_nested(struct bb_gate *g, const char *id)
{
    struct gate_request *rq = g_hash_table_lookup(g->running, id);

    if (rq != NULL) {
        bb_run_cost_end_nested(&rq->cost, bb_clock_now_us());
    }
}

/* Writes the current load into the view that the entry on the same host has of
 * this gate. */
void
bb_gate_update_view(struct bb_gate *g, struct bb_gate_view *v, uint64_t now_us)
{
    update_running_work(g);
    bb_gate_view_update_load(
        v, g->queue.running, g->queue.queued, g->queue.slots,
        (uint32_t)MIN(g->queue.overall_mean_us, (uint64_t)UINT32_MAX),
        g->failure_permille, now_us);
    bb_gate_view_update_limit(v, g->queue.limit.is_limited,
                              g->queue.limit.rate_mrps,
                              bb_gate_queue_limit_wait_us(&g->queue, now_us));
    bb_gate_view_update_work(v, bb_gate_queue_is_work_known(&g->queue),
                             bb_gate_queue_work_left_us(&g->queue));
}

/* Does the same for a view that no request is sent by: the queue keeps the
 * remaining work that it was last told. */
void
bb_gate_peek_view(struct bb_gate *g, struct bb_gate_view *v, uint64_t now_us)
{
    struct bb_gate_work work = g->queue.running_work;

    bb_gate_update_view(g, v, now_us);
    bb_gate_queue_set_work(&g->queue, &work);
}

/* Frees the gate once libuv has closed its timer. */
static void
free_gate(uv_handle_t *h)
{
    struct bb_gate *g = h->data;

    g_hash_table_destroy(g->queued);
    g_hash_table_destroy(g->running);
    g_free(g);
}

/* Destroys the gate and its connections; NULL is allowed. */
void
bb_gate_destroy(struct bb_gate *g)
{
    if (g != NULL) {
        bb_http_server_destroy(g->server);
        bb_upstream_check_destroy(g->check);
        bb_stall_watch_destroy(g->stall_watch);
        bb_connection_pool_destroy(g->pool);
        uv_close((uv_handle_t *)&g->timer, free_gate);
    }
}
