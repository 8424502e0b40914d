/* The gate in front of one upstream. */
#include "path/gate.h"

#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/event_log.h"
#include "common/histogram.h"
#include "common/log.h"
#include "decide/balance.h"
#include "decide/gate_queue.h"
#include "net/fetch.h"
#include "path/relay.h"

enum {
    PERMILLE = 1000,
    SERVICE_TEXT_BYTES = BB_DIALECT_TEXT_BYTES,
    /* Requests without a deadline of their own. */
    DEFAULT_DEADLINE_MS = 30000
};

#define REFUSED(identifier, reason)                                           \
    static struct bb_counter identifier = {                                   \
        .name = "baobab_gate_refused_total",                                  \
        .help = "Requests refused by the gate; they did not run",             \
        .label = "reason=\"" reason "\""};                                    \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        bb_counter_register(&identifier);                                     \
    }                                                                         \
    struct bb_counter

REFUSED(refused_full, "full");
REFUSED(refused_late, "late");
REFUSED(refused_not_ready, "not_ready");
REFUSED(refused_other, "other_service");
REFUSED(refused_starting, "starting");
REFUSED(refused_stopping, "stopping");
REFUSED(refused_unreachable, "unreachable");
REFUSED(refused_malformed, "malformed");

BB_HISTOGRAM(wait_time, "baobab_gate_wait_seconds", NULL,
             "From the arrival of a request at the gate to its start");
BB_HISTOGRAM(upstream_time, "baobab_gate_upstream_seconds",
             "outcome=\"whole\"", "Time of a request at the upstream");
BB_HISTOGRAM(lost_time, "baobab_gate_upstream_seconds", "outcome=\"lost\"",
             "Time of a request at the upstream");
BB_COUNTER(run_total, "baobab_gate_run_total",
           "Requests sent to the upstream");
BB_COUNTER(lost_total, "baobab_gate_lost_total",
           "Requests whose answer did not come whole");
BB_COUNTER(cancelled_total, "baobab_gate_cancelled_total",
           "Requests given up because the caller left");

struct bb_gate {
    uv_loop_t *loop;
    uv_timer_t timer;
    struct bb_gate_settings settings;
    struct bb_server *server;
    struct bb_pool *pool;
    struct bb_upstream upstream;
    struct bb_gate_queue queue;
    GHashTable *jobs; /* id to struct job, of those queued */
    uint64_t next_id;
    uint32_t failing_permille; /* as of outcome_us */
    uint64_t outcome_us;
    GHashTable *running; /* call_id to struct job, of those at the upstream */
    uint64_t opened_us;
    bool is_recalled; /* what an earlier run of this node knew is known */
    bool is_stopping;
    bool is_unreachable; /* since the last announcement */
};

/* One request. */
struct job {
    struct bb_gate *gate;
    struct bb_exchange *exchange;
    struct bb_gate_request request;
    struct bb_fetch *fetch;
    struct bb_relay relay;
    uint64_t started_us;
    size_t sent_bytes; /* of a long body */
    char call_id[BB_DIALECT_ID_BYTES];
    char service[SERVICE_TEXT_BYTES];
    bool is_chunked;
    bool is_once;    /* must not run twice */
    bool is_repeat;  /* sent to an upstream before */
    bool has_failed; /* the answer says so itself */
    bool is_not_run; /* by the upstream's own word */
};

static void run_queue(struct bb_gate *g);

/* Writes the fields that tell entry nodes the load. */
static void
add_load(const struct bb_gate *g, uint64_t ran_us, GString *fields)
{
    bool is_open = g->upstream.state == BB_INSTANCE_READY && !g->is_stopping &&
                   !g->is_unreachable;

    g_string_append_printf(
        fields, BB_FIELD_LOAD ": %u %u %u %u %u %" G_GUINT64_FORMAT "\r\n",
        g->queue.running, g->queue.queued, is_open ? g->queue.slots : 0,
        (unsigned)MIN(g->queue.mean_us, (uint64_t)UINT32_MAX),
        g->failing_permille, ran_us);
}

/* Frees the slot of a request that was sent to the upstream. */
static void
leave_slot(struct job *j, uint64_t took_us, bool is_success)
{
    struct bb_gate *g = j->gate;

    bb_gate_queue_finish(&g->queue, j->request.class_index, took_us,
                         is_success);
    if (g_hash_table_lookup(g->running, j->call_id) == j) {
        (void)g_hash_table_remove(g->running, j->call_id);
    }
}

/* Answers a request that has not run here and never will. */
static void
refuse(struct bb_gate *g, struct bb_exchange *x, const char *id,
       struct bb_counter *counter, const char *reason)
{
    GString *fields = g_string_new(BB_FIELD_REFUSED ": ");
    GString *line = g_string_new(NULL);

    bb_counter_add(counter, 1);
    g_string_append_printf(fields, "%s\r\n", reason);
    add_load(g, 0, fields);
    bb_event_append(line, "gate.refused", id,
                    "\"reason\":\"%s\",\"running\":%u,\"queued\":%u,"
                    "\"slots\":%u,\"state\":\"%s\",\"mean_us\":%u",
                    reason, g->queue.running, g->queue.queued, g->queue.slots,
                    bb_instance_state_name(g->upstream.state),
                    (unsigned)g->queue.mean_us);
    /* The entry node logs it too, and goes on to another gate if it was full
     * here. */
    bb_events_put(counter == &refused_full ? BB_EVENT_ORDINARY
                                           : BB_EVENT_FAILURE,
                  line->str, line->len);
    g_string_free(line, TRUE);
    bb_exchange_answer(x, 503, fields, NULL, 0);
    g_string_free(fields, TRUE);
}

static void
free_job(struct job *j)
{
    bb_relay_clear(&j->relay);
    g_free(j);
}

/* Tells the node that the upstream's state changed. */
static void
note_change(struct bb_gate *g)
{
    struct bb_upstream shown = g->upstream;

    /* A later run of this node must find that the upstream leaves. */
    if (g->is_stopping && shown.state != BB_INSTANCE_DRAINING) {
        shown.state = BB_INSTANCE_GONE;
    }
    else if (g->is_unreachable && shown.state == BB_INSTANCE_READY) {
        shown.state = BB_INSTANCE_DOWN;
    }
    bb_log_info("upstream.state", "%s %s service %s slots %u",
                shown.id[0] != '\0' ? shown.id : "-",
                bb_instance_state_name(shown.state), shown.service,
                shown.slots);
    g->settings.changed(g->settings.context, &shown);
}

/* Moves the share of failures towards the newest outcome. */
static void
note_outcome(struct bb_gate *g, bool is_failure)
{
    uint32_t newest = is_failure ? PERMILLE : 0;
    uint64_t now_us = bb_clock_now_us();

    g->failing_permille =
        bb_balance_fade(g->failing_permille, now_us - g->outcome_us);
    g->outcome_us = now_us;
    g->failing_permille =
        (g->failing_permille * (PERMILLE - BB_GATE_FAILURE_PERMILLE) +
         newest * BB_GATE_FAILURE_PERMILLE) /
        PERMILLE;
}

/* Answers that the outcome of a request is unknown. */
static void
answer_failed(struct job *j, const char *reason)
{
    struct bb_gate *g = j->gate;
    GString *fields = g_string_new(NULL);
    GString *line = g_string_new(NULL);

    bb_event_append(line, "gate.failed", j->call_id,
                    "\"reason\":\"%s\",\"upstream\":\"%s\","
                    "\"run_us\":%" G_GUINT64_FORMAT,
                    reason, g->upstream.id, bb_clock_now_us() - j->started_us);
    bb_events_put(BB_EVENT_FAILURE, line->str, line->len);
    g_string_free(line, TRUE);
    g_string_append_printf(fields, BB_FIELD_FAILED ": %s\r\n", reason);
    add_load(g, 0, fields);
    bb_exchange_answer(j->exchange, 502, fields, NULL, 0);
    g_string_free(fields, TRUE);
}

static bool
take_head(void *context, const struct bb_head *h)
{
    struct job *j = context;
    const struct bb_dialect_fields *names = &j->gate->settings.dialect->fields;
    const char *id = bb_head_get(h, names->request_id);
    bool is_not_run =
        bb_head_get(h, names->not_run) != NULL || h->status == 421;

    if (!is_not_run && (id == NULL || strcmp(id, j->call_id) != 0)) {
        return false; /* an answer to another request */
    }
    j->is_not_run = is_not_run;
    j->has_failed = h->status >= 500;
    bb_relay_take_head(&j->relay, h, j->exchange->head.method == HTTP_HEAD);
    add_load(j->gate, bb_clock_now_us() - j->started_us, j->relay.fields);
    return true;
}

static void
take_body(void *context, const char *data, size_t size_bytes)
{
    struct job *j = context;

    if (bb_relay_take_body(&j->relay, j->exchange, data, size_bytes) &&
        bb_exchange_queued_bytes(j->exchange) > BB_STREAM_HIGH_WATER_BYTES) {
        bb_fetch_pause(j->fetch);
    }
}

/* Notes that nothing listens at the upstream's address. */
static void
note_unreachable(struct bb_gate *g)
{
    if (!g->is_unreachable) {
        g->is_unreachable = true;
        note_change(g);
    }
}

static void
take_done(void *context, enum bb_fetch_result result)
{
    struct job *j = context;
    struct bb_gate *g = j->gate;
    uint64_t took_us = bb_clock_now_us() - j->started_us;
    bool is_whole = result == BB_FETCH_COMPLETE;

    leave_slot(j, took_us, is_whole && !j->has_failed && !j->is_not_run);
    bb_histogram_add(is_whole ? &upstream_time : &lost_time, took_us);
    note_outcome(g, !is_whole || j->has_failed || j->is_not_run);
    if (is_whole) {
        bb_relay_finish(&j->relay, j->exchange);
    }
    else if (result == BB_FETCH_NOT_CONNECTED) {
        note_unreachable(g);
        refuse(g, j->exchange, j->call_id, &refused_unreachable,
               "unreachable");
    }
    else {
        bb_counter_add(&lost_total, 1);
        if (j->relay.is_streaming) {
            bb_exchange_abort(j->exchange);
        }
        else {
            answer_failed(j, bb_fetch_result_name(result));
        }
    }
    free_job(j);
    run_queue(g);
}

static void
take_drained(void *context)
{
    struct job *j = context;

    bb_exchange_resume(j->exchange);
}

static const struct bb_fetch_events fetch_events = {.head = take_head,
                                                    .body = take_body,
                                                    .done = take_done,
                                                    .drained = take_drained};

/* Writes the head of the request for the upstream. */
static GString *
build_head(const struct job *j, uint64_t left_us)
{
    const struct bb_gate *g = j->gate;
    const struct bb_dialect_fields *names = &g->settings.dialect->fields;
    const char *const without[] = {names->deadline_ms, names->expect_instance,
                                   NULL};
    GString *head = g_string_sized_new(512);

    bb_forward_request_line(&j->exchange->head, head);
    bb_forward_fields(&j->exchange->head, without, head);
    g_string_append_printf(head, "%s: %" G_GUINT64_FORMAT "\r\n",
                           names->deadline_ms, left_us / BB_US_PER_MS);
    g_string_append_printf(head, "%s: %s\r\n", names->expect_instance,
                           g->upstream.id);
    bb_forward_length(j->exchange, head);
    g_string_append(head, "\r\n");
    return head;
}

/* Sends a request to the upstream. */
static void
run_job(struct job *j)
{
    struct bb_gate *g = j->gate;
    uint64_t now_us = bb_clock_now_us();
    GString *head = build_head(j, j->request.deadline_us - now_us);
    struct bb_exchange *x = j->exchange;
    struct bb_fetch_request r = {
        .to = g->settings.upstream,
        .head = head,
        .is_body_complete = x->is_body_complete,
        .is_head_method = x->head.method == HTTP_HEAD,
        .idle_max_ms =
            j->is_once || j->is_repeat ? (uint32_t)BB_GATE_ONCE_IDLE_MS : 0,
    };

    j->started_us = now_us;
    bb_histogram_add(&wait_time, now_us - j->exchange->arrived_us);
    g_hash_table_replace(g->running, j->call_id, j);
    j->is_chunked = bb_forward_is_chunked(x);
    if (!j->is_chunked) {
        r.body = x->body->str;
        r.body_bytes = x->body->len;
    }
    bb_counter_add(&run_total, 1);
    j->fetch = bb_fetch_start(g->pool, &r, &fetch_events, j);
    g_string_free(head, TRUE);
    if (j->fetch == NULL) {
        leave_slot(j, 0, false);
        refuse(g, x, j->call_id, &refused_unreachable, "unreachable");
        free_job(j);
        return;
    }
    if (j->is_chunked) {
        bb_forward_body(j->exchange, j->fetch, j->is_chunked);
    }
    else if (!x->is_body_complete) {
        g_string_truncate(x->body, 0);
    }
}

static void
run_timer(uv_timer_t *t)
{
    run_queue(t->data);
}

/* Runs or refuses queued requests, and sets the timer for those that stay. */
static void
run_queue(struct bb_gate *g)
{
    uint64_t now_us = bb_clock_now_us();
    enum bb_gate_verdict verdict;
    uint64_t id = 0;
    uint64_t due_us;

    while (bb_gate_queue_next(&g->queue, now_us, &id, &verdict)) {
        struct job *j = g_hash_table_lookup(g->jobs, &id);

        (void)g_hash_table_remove(g->jobs, &id);
        if (verdict == BB_GATE_RUN) {
            run_job(j);
        }
        else {
            refuse(g, j->exchange, j->call_id, &refused_late, "late");
            free_job(j);
        }
    }
    due_us = bb_gate_queue_due_us(&g->queue);
    if (due_us == 0) {
        (void)uv_timer_stop(&g->timer);
        return;
    }
    (void)uv_timer_start(
        &g->timer, run_timer,
        due_us > now_us ? (due_us - now_us) / BB_US_PER_MS + 1 : 1, 0);
}

/* Reads the fields that an entry node adds; returns false if they are missing
 * or malformed. */
static bool
read_call(struct bb_gate *g, struct bb_exchange *x, struct job *j,
          uint64_t *wait_max_us)
{
    const struct bb_dialect_fields *names = &g->settings.dialect->fields;
    const char *call = bb_head_get(&x->head, BB_FIELD_CALL);
    const char *id = bb_head_get(&x->head, names->request_id);
    uint64_t now_us = bb_clock_now_us();
    uint64_t deadline_ms = DEFAULT_DEADLINE_MS;
    char flags[8] = "";
    unsigned rank = 0;
    unsigned class_index = 0;
    unsigned aim_ms = 0;
    unsigned wait_ms = 0;

    if (call == NULL || id == NULL || strlen(id) >= sizeof(j->call_id) ||
        sscanf(call, "%127s %u %u %u %u %7s", j->service, &rank, &class_index,
               &aim_ms, &wait_ms, flags) < 5) {
        return false;
    }
    (void)bb_head_get_u64(&x->head, names->deadline_ms, &deadline_ms);
    g_strlcpy(j->call_id, id, sizeof(j->call_id));
    *wait_max_us = wait_ms >= BB_GATE_WAIT_ANY_MS
                       ? UINT64_MAX
                       : (uint64_t)wait_ms * BB_US_PER_MS;
    j->is_repeat = strchr(flags, BB_GATE_FLAG_REPEAT) != NULL;
    j->is_once = strchr(flags, BB_GATE_FLAG_ONCE) != NULL;
    j->request = (struct bb_gate_request){
        .id = ++g->next_id,
        .rank = rank,
        .class_index = class_index,
        .is_nested = strchr(flags, BB_GATE_FLAG_NESTED) != NULL,
        .aim_us = now_us + (uint64_t)aim_ms * BB_US_PER_MS,
        .deadline_us = now_us + deadline_ms * BB_US_PER_MS};
    return true;
}

/* Returns why no request may start at present, or NULL. */
static const char *
closed_reason(struct bb_gate *g, const struct job *j,
              struct bb_counter **counter)
{
    if (g->is_stopping) {
        *counter = &refused_stopping;
        return "stopping";
    }
    if (!g->is_recalled && bb_clock_now_us() - g->opened_us <
                               (uint64_t)BB_GATE_RECALL_MS * BB_US_PER_MS) {
        *counter = &refused_starting;
        return "starting";
    }
    if (g->upstream.state != BB_INSTANCE_READY || g->is_unreachable) {
        *counter = &refused_not_ready;
        return bb_instance_state_name(g->is_unreachable ? BB_INSTANCE_DOWN
                                                        : g->upstream.state);
    }
    if (strcmp(j->service, g->upstream.service) != 0) {
        *counter = &refused_other;
        return "other_service";
    }
    return NULL;
}

static void
begin(void *context, struct bb_exchange *x)
{
    struct bb_gate *g = context;
    struct job *j = g_new0(struct job, 1);
    struct bb_counter *counter = &refused_malformed;
    const char *closed = NULL;
    bool is_late;
    uint64_t wait_max_us = 0;

    j->gate = g;
    j->exchange = x;
    bb_relay_init(&j->relay);
    if (!read_call(g, x, j, &wait_max_us)) {
        refuse(g, x, NULL, counter, "malformed");
        free_job(j);
        return;
    }
    closed = closed_reason(g, j, &counter);
    if (closed != NULL) {
        refuse(g, x, j->call_id, counter, closed);
        free_job(j);
        return;
    }
    x->user = j;
    switch (bb_gate_queue_arrive(&g->queue, &j->request, wait_max_us,
                                 bb_clock_now_us())) {
    case BB_GATE_RUN:
        run_job(j);
        break;
    case BB_GATE_WAIT:
        g_hash_table_insert(g->jobs, &j->request.id, j);
        run_queue(g);
        break;
    case BB_GATE_REFUSE:
        is_late = wait_max_us == UINT64_MAX;
        refuse(g, x, j->call_id, is_late ? &refused_late : &refused_full,
               is_late ? "late" : "full");
        free_job(j);
        break;
    }
}

static void
take_more(void *context, struct bb_exchange *x)
{
    struct job *j = x->user;

    (void)context;
    if (j != NULL && j->fetch != NULL) {
        bb_forward_body(j->exchange, j->fetch, j->is_chunked);
    }
}

static void
resume(void *context, struct bb_exchange *x)
{
    struct job *j = x->user;

    (void)context;
    if (j != NULL && j->fetch != NULL) {
        bb_fetch_resume(j->fetch);
    }
}

/* Stops work on a request whose caller is gone. */
static void
gone(void *context, struct bb_exchange *x)
{
    struct bb_gate *g = context;
    struct job *j = x->user;

    if (j == NULL) {
        return;
    }
    bb_counter_add(&cancelled_total, 1);
    if (j->fetch != NULL) {
        bb_fetch_cancel(j->fetch);
        leave_slot(j, 0, false);
    }
    else {
        (void)bb_gate_queue_cancel(&g->queue, j->request.id);
        (void)g_hash_table_remove(g->jobs, &j->request.id);
    }
    free_job(j);
    run_queue(g);
}

static const struct bb_server_handler handler = {
    .begin = begin, .body = take_more, .drained = resume, .gone = gone};

/* Opens the gate; it admits nothing until the upstream has announced itself.
 * Returns NULL and an error if the address cannot be used. */
struct bb_gate *
bb_gate_create(uv_loop_t *loop, const struct bb_gate_settings *s,
               struct bb_error *e)
{
    static const struct bb_pool_settings pool = {
        .connect_timeout_ms = BB_GATE_CONNECT_MS,
        .idle_max_ms = BB_GATE_IDLE_MS};
    struct bb_gate *g = g_new0(struct bb_gate, 1);

    g->loop = loop;
    g->settings = *s;
    g->opened_us = bb_clock_now_us();
    g->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
    g->running = g_hash_table_new(g_str_hash, g_str_equal);
    g->pool = bb_pool_create(loop, &pool);
    bb_gate_queue_init(&g->queue, 0);
    (void)uv_timer_init(loop, &g->timer);
    g->timer.data = g;
    g->server = bb_server_create(loop, &s->at, &handler, g, e);
    if (g->server == NULL) {
        bb_gate_destroy(g);
        return NULL;
    }
    return g;
}

/* Takes an announcement of the upstream. Once it returns, a draining upstream
 * gets no new request. */
enum bb_announce_result
bb_gate_announce(struct bb_gate *g, const char *id,
                 const struct bb_announcement *a)
{
    struct bb_upstream before = g->upstream;
    bool was_unreachable = g->is_unreachable;
    enum bb_announce_result r = bb_upstream_announce(
        &g->upstream, id, a, g->settings.upstream_text, bb_clock_now_us());
    bool is_changed;

    if (r != BB_ANNOUNCE_TAKEN) {
        return r;
    }
    g->is_unreachable = false;
    is_changed = was_unreachable || strcmp(before.id, id) != 0 ||
                 before.state != g->upstream.state ||
                 before.born_ms != g->upstream.born_ms ||
                 before.slots != g->upstream.slots ||
                 strcmp(before.service, g->upstream.service) != 0;
    if (before.born_ms != g->upstream.born_ms || strcmp(before.id, id) != 0) {
        bb_pool_forget(g->pool, &g->settings.upstream);
        g->failing_permille = 0;
    }
    bb_gate_queue_set_slots(&g->queue, g->upstream.state == BB_INSTANCE_READY
                                           ? g->upstream.slots
                                           : 0);
    if (is_changed) {
        note_change(g);
        run_queue(g);
    }
    return r;
}

/* Takes a withdrawal of the upstream; like one that announces draining. */
bool
bb_gate_withdraw(struct bb_gate *g, const char *id, uint64_t born_ms)
{
    if (!bb_upstream_withdraw(&g->upstream, id, born_ms)) {
        return false;
    }
    bb_gate_queue_set_slots(&g->queue, 0);
    note_change(g);
    run_queue(g);
    return true;
}

/* Takes what others hold of an earlier run of this node, NULL: nothing. Until
 * then, or BB_GATE_RECALL_MS, a late announcement of an upstream that leaves
 * could not be told from one that is ready, and no request is admitted. */
void
bb_gate_recall(struct bb_gate *g, const fleet_instance *earlier)
{
    g->is_recalled = true;
    if (earlier != NULL && earlier->state == BB_INSTANCE_DRAINING &&
        g->upstream.state != BB_INSTANCE_DRAINING &&
        bb_gate_withdraw(g, earlier->id, earlier->born_ms)) {
        bb_log_info("gate.recalled", "%s leaves, by an earlier run",
                    earlier->id);
    }
}

/* Admits nothing any more; what runs is finished. */
void
bb_gate_stop(struct bb_gate *g)
{
    g->is_stopping = true;
    bb_gate_queue_set_slots(&g->queue, 0);
    bb_server_drain(g->server);
    note_change(g);
    run_queue(g);
}

/* Returns how many requests run or wait here. */
uint32_t
bb_gate_busy_count(const struct bb_gate *g)
{
    return bb_server_busy_count(g->server);
}

/* Returns whether a request with this id is at the upstream, and whether it
 * was sent to another one before. */
bool
bb_gate_find_running(const struct bb_gate *g, const char *id, bool *is_repeat)
{
    const struct job *j = g_hash_table_lookup(g->running, id);

    *is_repeat = j != NULL && j->is_repeat;
    return j != NULL;
}

/* Brings the view of this gate up to date for the entry on the same host. */
void
bb_gate_load(const struct bb_gate *g, struct bb_gate_view *v, uint64_t now_us)
{
    bb_gate_view_report(v, g->queue.running, g->queue.queued, g->queue.slots,
                        (uint32_t)MIN(g->queue.mean_us, (uint64_t)UINT32_MAX),
                        g->failing_permille, now_us);
}

static void
free_gate(uv_handle_t *h)
{
    struct bb_gate *g = h->data;

    bb_pool_destroy(g->pool);
    g_hash_table_destroy(g->jobs);
    g_hash_table_destroy(g->running);
    g_free(g);
}

/* Closes the gate; NULL is allowed. */
void
bb_gate_destroy(struct bb_gate *g)
{
    if (g != NULL) {
        bb_server_destroy(g->server);
        uv_close((uv_handle_t *)&g->timer, free_gate);
    }
}
