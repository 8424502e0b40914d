/* Tests the end of connections of the HTTP server. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_server.h"
#include "unit.h"

enum {
    PORT_FIRST = 20000,
    PORT_COUNT = 40000,
    LISTEN_TRIES_MAX = 200,
    /* For what must happen, however slow the machine is. */
    WAIT_MS = 10000,
    /* More than the socket buffers of both sides hold. */
    LONG_BODY_BYTES = 24000000
};

#define LONG_BODY "24000000"

/* A server whose handler responds as the target asks: /MS/BYTES has a body of
 * BYTES, sent after MS milliseconds; with /MS/BYTES/early the head and half of
 * the body are sent at once; with /MS/BYTES/pause it pauses the request body;
 * with /MS/BYTES/abort half of the body is sent at once, and never the rest.
 * Any other target gets 503 within the callback. GET requests may overlap. */
struct fixture {
    uv_loop_t loop;
    struct bb_address address;
    struct bb_http_server *server;
    struct bb_http_server_limits limits;
    uint32_t requests;     /* passed to the handler */
    uint32_t disconnected; /* reported to the handler */
    enum bb_http_server_close_reason close_reason; /* of the last of them */
};

/* A request of which the handler has not completed the response. */
struct pending {
    struct fixture *fixture;
    struct bb_http_exchange *exchange;
    uv_timer_t timer;
    size_t left_bytes; /* of the response body */
    bool is_started;
    bool is_broken_off;
};

struct client {
    struct bb_stream *stream;
    GString *received;
    bool is_ended;
    int status; /* of the end; 0: closed by the server */
};

static void
free_pending(uv_handle_t *h)
{
    g_free(h->data);
}

/* Sends a part of the response body. */
static void
send_body(struct pending *p, size_t size_bytes)
{
    char *body = g_malloc(size_bytes);

    memset(body, 'b', size_bytes);
    bb_http_exchange_send_body(p->exchange, body, size_bytes);
    p->left_bytes -= size_bytes;
    g_free(body);
}

/* Completes the response. */
static void
on_delay_end(uv_timer_t *t)
{
    struct pending *p = t->data;

    if (p->is_broken_off) {
        bb_http_exchange_abort(p->exchange);
        uv_close((uv_handle_t *)t, free_pending);
        return;
    }
    if (!p->is_started) {
        bb_http_exchange_start_response(p->exchange, 200, NULL,
                                        (int64_t)p->left_bytes);
    }
    if (p->left_bytes > 0) {
        send_body(p, p->left_bytes);
    }
    bb_http_exchange_end(p->exchange);
    uv_close((uv_handle_t *)t, free_pending);
}

static void
on_request(void *context, struct bb_http_exchange *x)
{
    struct fixture *f = context;
    struct pending *p = g_new0(struct pending, 1);
    unsigned delay_ms = 0;
    size_t size_bytes = 0;
    char option[8] = "";

    f->requests++;
    if (sscanf(bb_http_head_target(&x->head), "/%u/%zu/%7s", &delay_ms,
               &size_bytes, option) == 0) {
        g_free(p);
        bb_http_exchange_respond(x, 503, NULL, NULL, 0);
        return;
    }
    p->fixture = f;
    p->exchange = x;
    p->left_bytes = size_bytes;
    x->user_data = p;
    (void)uv_timer_init(&f->loop, &p->timer);
    p->timer.data = p;
    if (strcmp(option, "pause") == 0) {
        bb_http_exchange_pause(x);
    }
    p->is_broken_off = strcmp(option, "abort") == 0;
    if (strcmp(option, "early") == 0 || p->is_broken_off) {
        p->is_started = true;
        bb_http_exchange_start_response(x, 200, NULL, (int64_t)size_bytes);
        send_body(p, size_bytes / 2);
    }
    (void)uv_timer_start(&p->timer, on_delay_end, delay_ms, 0);
}

static void
on_disconnected(void *context, struct bb_http_exchange *x,
                enum bb_http_server_close_reason reason)
{
    struct fixture *f = context;
    struct pending *p = x->user_data;

    f->disconnected++;
    f->close_reason = reason;
    uv_close((uv_handle_t *)&p->timer, free_pending);
}

static bool
may_overlap(void *context, const struct bb_http_head *h)
{
    (void)context;
    return h->method == HTTP_GET;
}

static const struct bb_http_server_handler handler = {
    .may_overlap = may_overlap,
    .request = on_request,
    .disconnected = on_disconnected};

static void
fixture_open(struct fixture *f)
{
    struct bb_error e = {0};

    memset(f, 0, sizeof(*f));
    (void)signal(SIGPIPE, SIG_IGN);
    (void)uv_loop_init(&f->loop);
    g_strlcpy(f->address.ip, "127.0.0.1", sizeof(f->address.ip));
    for (uint32_t i = 0; i < LISTEN_TRIES_MAX && f->server == NULL; i++) {
        f->address.port =
            (uint16_t)(PORT_FIRST + g_random_int_range(0, PORT_COUNT));
        f->server =
            bb_http_server_create(&f->loop, &f->address, &handler, f, &e);
    }
    f->limits =
        (struct bb_http_server_limits){.request_head_max_bytes = 4096,
                                       .head_timeout_ms = 1000,
                                       .idle_timeout_ms = 5000,
                                       .request_body_max_bytes = 1024 * 1024};
    bb_http_server_set_limits(f->server, &f->limits);
}

static void
on_wait_end(uv_timer_t *t)
{
    *(bool *)t->data = true;
}

/* Runs the loop for `ms` milliseconds. */
static void
fixture_run(struct fixture *f, uint32_t ms)
{
    uv_timer_t *t = g_new0(uv_timer_t, 1);
    bool is_over = false;

    uv_update_time(&f->loop);
    (void)uv_timer_init(&f->loop, t);
    t->data = &is_over;
    (void)uv_timer_start(t, on_wait_end, ms, 0);
    while (!is_over) {
        (void)uv_run(&f->loop, UV_RUN_ONCE);
    }
    uv_close((uv_handle_t *)t, (uv_close_cb)g_free);
}

/* Runs the loop until the handler has received `n` requests, or for `ms`.
 * Returns whether it has, and no more. */
static bool
fixture_wait_requests(struct fixture *f, uint32_t n, uint32_t ms)
{
    for (uint32_t waited_ms = 0; f->requests < n && waited_ms < ms;
         waited_ms += 10) {
        fixture_run(f, 10);
    }
    return f->requests == n;
}

static void
close_handle(uv_handle_t *h, void *context)
{
    (void)context;
    if (!uv_is_closing(h)) {
        uv_close(h, NULL);
    }
}

static void
fixture_close(struct fixture *f)
{
    bb_http_server_destroy(f->server);
    fixture_run(f, 20);
    uv_walk(&f->loop, close_handle, NULL);
    (void)uv_run(&f->loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&f->loop);
}

static void
on_client_data(void *context, const char *data, size_t n)
{
    struct client *c = context;

    g_string_append_len(c->received, data, (gssize)n);
}

static void
on_client_end(void *context, int status)
{
    struct client *c = context;

    c->is_ended = true;
    c->status = status;
}

static const struct bb_stream_events client_events = {.data = on_client_data,
                                                      .ended = on_client_end};

/* Connects a client; client_free frees it. */
static struct client *
client_open(struct fixture *f)
{
    struct client *c = g_new0(struct client, 1);

    c->received = g_string_new(NULL);
    c->stream =
        bb_stream_connect(&f->loop, &f->address, 1000, &client_events, c);
    fixture_run(f, 20);
    return c;
}

static void
client_send(struct client *c, const char *text)
{
    bb_stream_write(c->stream, text, strlen(text));
}

/* Sends a part of a request body. */
static void
client_send_body(struct client *c, size_t size_bytes)
{
    char *body = g_malloc(size_bytes);

    memset(body, 'x', size_bytes);
    bb_stream_write(c->stream, body, size_bytes);
    g_free(body);
}

static void
client_free(struct client *c)
{
    bb_stream_close(c->stream);
    g_string_free(c->received, TRUE);
    g_free(c);
}

/* Returns how often a text occurs in what a client has received. */
static uint32_t
client_count(const struct client *c, const char *text)
{
    uint32_t n = 0;

    for (const char *at = c->received->str; (at = strstr(at, text)) != NULL;
         at += strlen(text)) {
        n++;
    }
    return n;
}

/* Runs the loop until a client has received a text `n` times, or for `ms`.
 * Returns whether it has received it that often and no more. */
static bool
client_wait_count(struct fixture *f, const struct client *c, const char *text,
                  uint32_t n, uint32_t ms)
{
    for (uint32_t waited_ms = 0; client_count(c, text) < n && waited_ms < ms;
         waited_ms += 10) {
        fixture_run(f, 10);
    }
    return client_count(c, text) == n;
}

/* Runs the loop until the connection of a client has ended, or for `ms`.
 * Returns whether it has. */
static bool
client_wait_end(struct fixture *f, const struct client *c, uint32_t ms)
{
    for (uint32_t waited_ms = 0; !c->is_ended && waited_ms < ms;
         waited_ms += 10) {
        fixture_run(f, 10);
    }
    return c->is_ended;
}

/* Runs the loop until a client has received `size_bytes`, or for `ms`. Returns
 * whether it has. */
static bool
client_wait_bytes(struct fixture *f, const struct client *c, size_t size_bytes,
                  uint32_t ms)
{
    for (uint32_t waited_ms = 0;
         c->received->len < size_bytes && waited_ms < ms; waited_ms += 10) {
        fixture_run(f, 10);
    }
    return c->received->len >= size_bytes;
}

/* A closing response that waits for an earlier one must not drop a request
 * that arrives meanwhile. */
static void
test_request_behind_queued_closing_response(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "GET /1500/1 HTTP/1.1\r\n\r\nGET /50/2 HTTP/1.1\r\n\r\n");
    fixture_run(&f, 20);
    bb_http_server_disable_keep_alive(f.server);
    fixture_run(&f, 100);
    client_send(c, "GET /700/3 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(f.requests, 3);
    CU_ASSERT_EQUAL(f.disconnected, 0);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 3);
    CU_ASSERT_EQUAL(client_count(c, "Connection: close"), 1);
    client_free(c);
    fixture_close(&f);
}

/* A request that arrives while a closing response is sent is not passed on. */
static void
test_request_behind_closing_response_being_sent(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    bb_http_server_disable_keep_alive(f.server);
    c = client_open(&f);
    client_send(c, "GET /1500/10/early HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_requests(&f, 1, WAIT_MS));
    client_send(c, "GET /50/2 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(f.requests, 1);
    CU_ASSERT_EQUAL(f.disconnected, 0);
    CU_ASSERT_EQUAL(client_count(c, "bbbbbbbbbb"), 1);
    client_free(c);
    fixture_close(&f);
}

/* A request behind one that asks for the close is not passed on. */
static void
test_request_behind_connection_close(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "GET /100/1 HTTP/1.1\r\nConnection: close\r\n\r\n"
                   "GET /50/2 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(f.requests, 1);
    CU_ASSERT_EQUAL(f.disconnected, 0);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 1);
    client_free(c);
    fixture_close(&f);
}

/* A request behind one that is rejected is not passed on. */
static void
test_request_behind_rejected_one(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    f.limits.request_body_max_bytes = 3;
    bb_http_server_set_limits(f.server, &f.limits);
    c = client_open(&f);
    client_send(c, "GET /1000/1 HTTP/1.1\r\n\r\n"
                   "POST /0/2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nbody\r\n0\r\n\r\n"
                   "GET /0/3 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(f.requests, 1);
    CU_ASSERT_EQUAL(f.disconnected, 0);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 413"), 1);
    client_free(c);
    fixture_close(&f);
}

/* A closing response must not drop requests that came with its own. */
static void
test_requests_behind_response_at_once(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    bb_http_server_disable_keep_alive(f.server);
    c = client_open(&f);
    client_send(c, "GET /none HTTP/1.1\r\n\r\nGET /none HTTP/1.1\r\n\r\n"
                   "GET /none HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 503"), 3);
    CU_ASSERT_EQUAL(client_count(c, "Connection: close"), 1);
    client_free(c);
    fixture_close(&f);
}

/* A caller that awaits 100 (Continue) behind another request gets it. */
static void
test_continue_behind_another_request(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "GET /200/1 HTTP/1.1\r\n\r\n"
                   "POST /0/2 HTTP/1.1\r\nExpect: 100-continue\r\n"
                   "Content-Length: 2\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 100", 1, 2000));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 1);
    client_send(c, "xy");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 2, WAIT_MS));
    client_free(c);
    fixture_close(&f);
}

/* A request that may not overlap is started after the earlier one. */
static void
test_waiting_request_is_started(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "GET /100/1 HTTP/1.1\r\n\r\n"
                   "POST /0/2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy"
                   "GET /0/3 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 3, WAIT_MS));
    CU_ASSERT_EQUAL(f.requests, 3);
    client_free(c);
    fixture_close(&f);
}

/* The idle timeout must not close a connection whose first request is in
 * progress while the body of a later one is incomplete. */
static void
test_idle_timeout_during_earlier_request(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    f.limits.idle_timeout_ms = 500;
    bb_http_server_set_limits(f.server, &f.limits);
    c = client_open(&f);
    client_send(c, "GET /1200/1 HTTP/1.1\r\n\r\n"
                   "POST /0/2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nx");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 1, WAIT_MS));
    CU_ASSERT_EQUAL(f.disconnected, 0);
    client_send(c, "y");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 2, WAIT_MS));
    client_free(c);
    fixture_close(&f);
}

/* The idle timeout must not cut off a response that is still being sent. */
static void
test_idle_timeout_during_response(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    f.limits.idle_timeout_ms = 200;
    bb_http_server_set_limits(f.server, &f.limits);
    c = client_open(&f);
    bb_stream_pause(c->stream);
    client_send(c, "GET /0/" LONG_BODY " HTTP/1.1\r\n\r\n");
    fixture_run(&f, 600);
    bb_stream_resume(c->stream);
    CU_ASSERT_TRUE(client_wait_bytes(&f, c, LONG_BODY_BYTES, WAIT_MS));
    client_free(c);
    fixture_close(&f);
}

/* Bytes that a caller sends behind a closing response must not cut it off. */
static void
test_bytes_behind_closing_response(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    bb_stream_pause(c->stream);
    client_send(c, "GET /0/200000 HTTP/1.1\r\nConnection: close\r\n\r\n");
    fixture_run(&f, 50);
    client_send(c, "GET /0/2 HTTP/1.1\r\n\r\n");
    fixture_run(&f, 50);
    client_send(c, "GET /0/2 HTTP/1.1\r\n\r\n");
    bb_stream_resume(c->stream);
    CU_ASSERT_TRUE(client_wait_bytes(&f, c, 200000, WAIT_MS));
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(c->status, 0);
    client_free(c);
    fixture_close(&f);
}

/* A response that breaks off must not cut off an earlier one that the caller
 * has yet to read. */
static void
test_response_before_one_that_breaks_off(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    bb_stream_pause(c->stream);
    client_send(c, "GET /0/1500000 HTTP/1.1\r\n\r\n"
                   "GET /100/1000/abort HTTP/1.1\r\n\r\n");
    fixture_run(&f, 400);
    bb_stream_resume(c->stream);
    CU_ASSERT_TRUE(client_wait_bytes(&f, c, 1500000, WAIT_MS));
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 2);
    client_free(c);
    fixture_close(&f);
}

/* A response that breaks off before anything of it was written must not drop
 * the requests behind it. */
static void
test_request_behind_one_that_breaks_off(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "GET /1500/1 HTTP/1.1\r\n\r\n"
                   "GET /100/1000/abort HTTP/1.1\r\n\r\n"
                   "GET /100/2 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 2, WAIT_MS));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 502"), 1);
    CU_ASSERT_EQUAL(f.disconnected, 0);
    client_free(c);
    fixture_close(&f);
}

/* A caller that reads a closing response late gets all of it. */
static void
test_late_reader_of_closing_response(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    bb_stream_pause(c->stream);
    client_send(c, "GET /0/500000 HTTP/1.1\r\nConnection: close\r\n\r\n");
    fixture_run(&f, BB_HTTP_SERVER_LINGER_MS + 600);
    client_send(c, "GET /0/2 HTTP/1.1\r\n\r\n");
    fixture_run(&f, 50);
    bb_stream_resume(c->stream);
    CU_ASSERT_TRUE(client_wait_bytes(&f, c, 500000, WAIT_MS));
    client_free(c);
    fixture_close(&f);
}

/* A response to a request whose body is not read in full reaches a caller that
 * reads it late. */
static void
test_early_response_to_slow_reader(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    f.limits.request_body_max_bytes = UINT64_MAX;
    bb_http_server_set_limits(f.server, &f.limits);
    c = client_open(&f);
    bb_stream_pause(c->stream);
    client_send(c, "POST /0/" LONG_BODY " HTTP/1.1\r\n"
                   "Content-Length: 900000\r\n\r\n");
    client_send_body(c, 400000);
    fixture_run(&f, BB_HTTP_SERVER_LINGER_MS + 400);
    CU_ASSERT_EQUAL(f.requests, 1);
    bb_stream_resume(c->stream);
    CU_ASSERT_TRUE(client_wait_bytes(&f, c, LONG_BODY_BYTES, WAIT_MS));
    client_free(c);
    fixture_close(&f);
}

/* A request that arrives within the idle timeout is served even if the loop is
 * late. */
static void
test_idle_timeout_of_late_loop(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    f.limits.idle_timeout_ms = 1000;
    bb_http_server_set_limits(f.server, &f.limits);
    c = client_open(&f);
    client_send(c, "GET /0/1 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 1, WAIT_MS));
    client_send(c, "GET /0/1 HTTP/1.1\r\n\r\n");
    g_usleep(1200 * 1000);
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 2, WAIT_MS));
    client_free(c);
    fixture_close(&f);
}

/* A lowered limit must not end a request whose body was allowed when it
 * began. */
static void
test_lowered_body_limit(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "POST /1500/1 HTTP/1.1\r\nContent-Length: 600000\r\n\r\n");
    client_send_body(c, 400000);
    CU_ASSERT_TRUE(fixture_wait_requests(&f, 1, WAIT_MS));
    f.limits.request_body_max_bytes = 1000;
    bb_http_server_set_limits(f.server, &f.limits);
    client_send_body(c, 200000);
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 1, WAIT_MS));
    CU_ASSERT_EQUAL(f.disconnected, 0);
    client_free(c);
    fixture_close(&f);
}

/* A body that exceeds the limit, or is malformed, after its request was passed
 * on gets an error response rather than a closed connection. */
static void
test_error_in_body_of_started_request(void)
{
    static const char *const ends[][2] = {{"FFFFFFFF\r\n", "HTTP/1.1 413"},
                                          {"zz\r\n", "HTTP/1.1 400"}};
    struct fixture f;
    struct client *c;

    for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
        fixture_open(&f);
        f.limits.request_body_max_bytes = 500000;
        bb_http_server_set_limits(f.server, &f.limits);
        c = client_open(&f);
        client_send(c, "POST /9000/1 HTTP/1.1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "61A80\r\n");
        client_send_body(c, 400000);
        client_send(c, "\r\n");
        CU_ASSERT_TRUE(fixture_wait_requests(&f, 1, WAIT_MS));
        client_send(c, ends[i][0]);
        client_send_body(c, 200000);
        CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
        CU_ASSERT_EQUAL(f.disconnected, 1);
        CU_ASSERT_EQUAL(client_count(c, ends[i][1]), 1);
        CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 "), 1);
        client_free(c);
        fixture_close(&f);
    }
}

/* Bytes that trickle in must not extend the time limit of a head. */
static void
test_head_timeout_of_trickling_head(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    f.limits.head_timeout_ms = 500;
    bb_http_server_set_limits(f.server, &f.limits);
    c = client_open(&f);
    client_send(c, "GET /0/1 HTTP/1.1\r\nA: ");
    for (uint32_t i = 0; i < 15 && !c->is_ended; i++) {
        fixture_run(&f, 100);
        client_send(c, "x");
    }
    CU_ASSERT_TRUE(c->is_ended);
    CU_ASSERT_EQUAL(f.requests, 0);
    client_free(c);
    fixture_close(&f);
}

/* A request whose response is complete before its body gets no second one. */
static void
test_early_response_behind_another(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "GET /1500/1 HTTP/1.1\r\n\r\n"
                   "GET /0/2 HTTP/1.1\r\nContent-Length: 900000\r\n\r\n");
    client_send_body(c, 300000);
    fixture_run(&f, 100);
    client_send_body(c, 300000);
    fixture_run(&f, 100);
    client_send_body(c, 300000);
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 2, WAIT_MS));
    fixture_run(&f, 50);
    CU_ASSERT_EQUAL(f.requests, 2);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 "), 2);
    client_free(c);
    fixture_close(&f);
}

/* A body that the handler paused must not keep later requests from being
 * read. */
static void
test_request_behind_paused_body(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    c = client_open(&f);
    client_send(c, "POST /10/1/pause HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 1, WAIT_MS));
    client_send(c, "GET /0/2 HTTP/1.1\r\n\r\n");
    CU_ASSERT_TRUE(client_wait_count(&f, c, "HTTP/1.1 200", 2, 2000));
    client_free(c);
    fixture_close(&f);
}

/* A request body that does not arrive gets 408 rather than a closed
 * connection. */
static void
test_request_body_that_stalls(void)
{
    struct fixture f;
    struct client *c;

    fixture_open(&f);
    f.limits.idle_timeout_ms = 200;
    bb_http_server_set_limits(f.server, &f.limits);
    c = client_open(&f);
    client_send(c, "POST /0/1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nx");
    CU_ASSERT_TRUE(client_wait_end(&f, c, WAIT_MS));
    CU_ASSERT_EQUAL(f.requests, 0);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 408"), 1);
    client_free(c);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"request behind a queued closing response",
     test_request_behind_queued_closing_response},
    {"request behind a closing response being sent",
     test_request_behind_closing_response_being_sent},
    {"request behind one with Connection: close",
     test_request_behind_connection_close},
    {"request behind a rejected one", test_request_behind_rejected_one},
    {"requests behind a response at once",
     test_requests_behind_response_at_once},
    {"continue behind another request", test_continue_behind_another_request},
    {"waiting request is started", test_waiting_request_is_started},
    {"idle timeout during an earlier request",
     test_idle_timeout_during_earlier_request},
    {"idle timeout during a response", test_idle_timeout_during_response},
    {"idle timeout of a late loop", test_idle_timeout_of_late_loop},
    {"bytes behind a closing response", test_bytes_behind_closing_response},
    {"response before one that breaks off",
     test_response_before_one_that_breaks_off},
    {"request behind one that breaks off",
     test_request_behind_one_that_breaks_off},
    {"late reader of a closing response",
     test_late_reader_of_closing_response},
    {"early response to a slow reader", test_early_response_to_slow_reader},
    {"lowered body limit", test_lowered_body_limit},
    {"error in the body of a started request",
     test_error_in_body_of_started_request},
    {"head timeout of a trickling head", test_head_timeout_of_trickling_head},
    {"early response behind another", test_early_response_behind_another},
    {"request behind a paused body", test_request_behind_paused_body},
    {"request body that stalls", test_request_body_that_stalls},
};

BB_UNIT_MAIN("http_server", tests)
