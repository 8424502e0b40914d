/* Health check of the upstream on this host. */
#include "path/upstream_check.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "net/fetch.h"

BB_COUNTER(checks_total, "baobab_gate_checks_total",
           "Health checks sent to the upstream");

struct bb_upstream_check {
    uv_timer_t timer; /* end of the attempt, or time of the next one */
    struct bb_upstream_check_settings settings;
    struct bb_connection_pool *pool;
    struct bb_fetch *fetch; /* NULL: no attempt in progress */
    char upstream_id[BB_DIALECT_ID_BYTES];
    char *health_path;
    bool is_running;
    uint32_t retry_ms;
    struct bb_upstream_check_outcome outcome; /* of the attempt */
};

static void start_attempt(struct bb_upstream_check *c);

/* Repeats the check. */
static void
on_retry(uv_timer_t *t)
{
    start_attempt(t->data);
}

/* Ends an attempt. Unless its result is clear, the check is repeated after a
 * delay. */
static void
finish_attempt(struct bb_upstream_check *c)
{
    const struct bb_upstream_check_outcome outcome = c->outcome;

    if (outcome.result == BB_UPSTREAM_CHECK_HEALTHY ||
        outcome.result == BB_UPSTREAM_CHECK_LEAVING) {
        bb_upstream_check_stop(c);
    }
    else {
        (void)uv_timer_start(&c->timer, on_retry, c->retry_ms, 0);
        c->retry_ms =
            MIN(2 * c->retry_ms, (uint32_t)BB_UPSTREAM_CHECK_RETRY_MAX_MS);
    }
    c->settings.done(c->settings.context, &outcome);
}

/* Gives up an attempt without a response. */
static void
on_timeout(uv_timer_t *t)
{
    struct bb_upstream_check *c = t->data;

    bb_fetch_cancel(c->fetch);
    c->fetch = NULL;
    finish_attempt(c);
}

/* Returns the result that the head of a response states. */
static enum bb_upstream_check_result
classify_head(const struct bb_upstream_check *c, const struct bb_http_head *h)
{
    const char *id = c->outcome.upstream_id;

    if (id[0] != '\0' && strcmp(id, c->upstream_id) != 0) {
        return BB_UPSTREAM_CHECK_UNREACHABLE;
    }
    if (c->outcome.report.is_leaving) {
        return BB_UPSTREAM_CHECK_LEAVING;
    }
    return h->status >= 200 && h->status < 300 ? BB_UPSTREAM_CHECK_HEALTHY
                                               : BB_UPSTREAM_CHECK_REFUSED;
}

static bool
on_head(void *context, const struct bb_http_head *h)
{
    struct bb_upstream_check *c = context;
    const struct bb_dialect *d = c->settings.dialect;
    const char *id = bb_http_head_get(h, d->fields.upstream_id);

    d->read_report(h, &c->outcome.report);
    if (id != NULL) {
        g_strlcpy(c->outcome.upstream_id, id, sizeof(c->outcome.upstream_id));
    }
    c->outcome.result = classify_head(c, h);
    return true;
}

/* Declines the body, which says nothing about the upstream. */
static bool
on_body(void *context, const char *data, size_t size_bytes)
{
    (void)context;
    (void)data;
    (void)size_bytes;
    return false;
}

static void
on_done(void *context, enum bb_fetch_result result)
{
    struct bb_upstream_check *c = context;

    (void)result;
    c->fetch = NULL;
    finish_attempt(c);
}

static const struct bb_fetch_events fetch_events = {
    .head = on_head, .body = on_body, .done = on_done};

/* Sends the request. */
static void
start_attempt(struct bb_upstream_check *c)
{
    char host[BB_ADDRESS_TEXT_BYTES];
    GString *head = g_string_new(NULL);
    const struct bb_fetch_request r = {.address = c->settings.upstream_address,
                                       .head = head,
                                       .is_body_complete = true};

    c->outcome = (struct bb_upstream_check_outcome){
        .result = BB_UPSTREAM_CHECK_UNREACHABLE, .sent_us = bb_clock_now_us()};
    bb_counter_add(&checks_total, 1);
    g_string_append_printf(
        head, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
        c->health_path,
        bb_address_format(&c->settings.upstream_address, host));
    c->fetch = bb_fetch_start(c->pool, &r, &fetch_events, c);
    g_string_free(head, TRUE);
    if (c->fetch == NULL) {
        finish_attempt(c);
        return;
    }
    (void)uv_timer_start(&c->timer, on_timeout, BB_UPSTREAM_CHECK_TIMEOUT_MS,
                         0);
}

/* Creates an idle check. Keeps a copy of the settings, but not of the dialect.
 */
struct bb_upstream_check *
bb_upstream_check_create(uv_loop_t *loop,
                         const struct bb_upstream_check_settings *s)
{
    /* No connection is kept: what an earlier request left unread on it could
     * be taken for the response. */
    static const struct bb_connection_pool_settings pool = {
        .connect_timeout_ms = BB_UPSTREAM_CHECK_CONNECT_TIMEOUT_MS,
        .idle_max_ms = 0};
    struct bb_upstream_check *c = g_new0(struct bb_upstream_check, 1);

    c->settings = *s;
    c->pool = bb_connection_pool_create(loop, &pool);
    (void)uv_timer_init(loop, &c->timer);
    c->timer.data = c;
    return c;
}

/* Checks the upstream with this id until the result is clear. Does nothing if
 * that is in progress. */
void
bb_upstream_check_start(struct bb_upstream_check *c, const char *upstream_id,
                        const char *health_path)
{
    if (c->is_running && strcmp(c->upstream_id, upstream_id) == 0) {
        return;
    }
    bb_upstream_check_stop(c);
    g_strlcpy(c->upstream_id, upstream_id, sizeof(c->upstream_id));
    g_free(c->health_path);
    c->health_path = g_strdup(health_path);
    c->is_running = true;
    c->retry_ms = BB_UPSTREAM_CHECK_RETRY_MIN_MS;
    start_attempt(c);
}

/* Ends the check without a result. */
void
bb_upstream_check_stop(struct bb_upstream_check *c)
{
    if (c->fetch != NULL) {
        bb_fetch_cancel(c->fetch);
        c->fetch = NULL;
    }
    (void)uv_timer_stop(&c->timer);
    c->is_running = false;
}

/* Frees the check once libuv has closed its timer. */
static void
free_check(uv_handle_t *h)
{
    struct bb_upstream_check *c = h->data;

    g_free(c->health_path);
    g_free(c);
}

/* Destroys the check; NULL is allowed. */
void
bb_upstream_check_destroy(struct bb_upstream_check *c)
{
    if (c != NULL) {
        bb_upstream_check_stop(c);
        bb_connection_pool_destroy(c->pool);
        uv_close((uv_handle_t *)&c->timer, free_check);
    }
}
