/* Tests upstreams that leave requests unanswered, and requests that reach no
 * upstream before their deadline. Each comment names the failure that a test
 * guards against. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "fixture.h"
#include "unit.h"

enum {
    TIMEOUT_MS = 600, /* of the route */
    RUN_MS = 15,      /* of a request that the upstream accepts */
    WARM_UP_REQUESTS = 60,
    /* Until the limit is learned, and until the gate tries more again. */
    LEARN_MAX_MS = 8000,
    PROBE_MAX_MS = 10000,
    /* A stalled request ends before its deadline. */
    STALL_MAX_MS = 450,
    MARGIN_MS = 300,
    NEVER_MS = 60000,
    BLOCKED_SOCKETS = 4,
    BIND_TRIES_MAX = 200
};

#define UNSAFE(id, deadline)                                                  \
    "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: " id "\r\n" deadline         \
    "Content-Length: 2\r\n\r\nhi"

/* When the request that the dropping upstream runs ends. */
static uint64_t busy_until_us;

/* Accepts one request at a time and never responds to another one. */
static struct scripted_response
respond_to_one(struct upstream *u, uint32_t number,
               const struct bb_http_head *h)
{
    uint64_t now_us = bb_clock_now_us();

    (void)u;
    (void)number;
    (void)h;
    if (now_us < busy_until_us) {
        return (struct scripted_response){.delay_ms = NEVER_MS};
    }
    /* Timers may be up to 1 ms early. */
    busy_until_us = now_us + (uint64_t)(RUN_MS - 2) * BB_US_PER_MS;
    return (struct scripted_response){.text = ok_response, .delay_ms = RUN_MS};
}

/* A client that sends its next request once it has a response. */
struct loop_client {
    struct client *client;
    const char *request;
    uint64_t sent_us;
    uint64_t longest_us; /* until a response other than 200 and 503 */
    uint32_t failures;
    bool is_sent;
};

static void
step_client(struct loop_client *l)
{
    GString *received = l->client->received;
    bool is_ok = strstr(received->str, "\r\n\r\nbody") != NULL;
    bool is_refused = strstr(received->str, "HTTP/1.1 503") != NULL;

    if (l->is_sent &&
        (is_ok ||
         (received->len > 0 && strstr(received->str, "HTTP/1.1 200") == NULL &&
          strstr(received->str, "\r\n\r\n") != NULL))) {
        uint64_t took_us = bb_clock_now_us() - l->sent_us;

        if (!is_ok && !is_refused) {
            l->failures++;
            l->longest_us = MAX(l->longest_us, took_us);
        }
        l->is_sent = false;
        g_string_truncate(received, 0);
    }
    if (!l->is_sent) {
        client_send(l->client, l->request);
        l->sent_us = bb_clock_now_us();
        l->is_sent = true;
    }
}

static uint32_t
gate_slots(struct path_fixture *b)
{
    struct bb_gate_view v = {0};

    bb_gate_update_view(b->gates[0], &v, bb_clock_now_us());
    return v.slots;
}

/* Guards against: requests that an upstream drops in silence and that each
 * wait for their deadline; a gate that goes on sending more than the upstream
 * accepts; and a stalled connection that stays open. */
static void
test_dropping_upstream(void)
{
    struct path_fixture b;
    struct loop_client l[2] = {{.request = UNSAFE("a1", "")},
                               {.request = UNSAFE("a2", "")}};
    uint64_t end_us;
    uint32_t aborted;

    (void)signal(SIGPIPE, SIG_IGN); /* as the programs do */
    fixture_open(&b);
    fixture_set_rules(&b, TIMEOUT_MS, 1);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    b.upstreams[0].script = respond_to_one;
    for (uint32_t i = 0; i < 2; i++) {
        l[i].client = client_open(&b);
    }
    while (b.upstreams[0].requests < WARM_UP_REQUESTS) {
        step_client(&l[0]);
        fixture_run(&b, 2);
    }
    end_us = bb_clock_now_us() + (uint64_t)LEARN_MAX_MS * BB_US_PER_MS;
    while (gate_slots(&b) > 1 && bb_clock_now_us() < end_us) {
        step_client(&l[0]);
        step_client(&l[1]);
        fixture_run(&b, 2);
    }
    CU_ASSERT_EQUAL(gate_slots(&b), 1);
    CU_ASSERT_TRUE(l[0].failures + l[1].failures <= 4);
    for (uint32_t i = 0; i < 50; i++) { /* the caller gets the last 504 */
        step_client(&l[0]);
        step_client(&l[1]);
        fixture_run(&b, 2);
    }
    aborted = b.upstreams[0].aborted_requests;
    l[0].failures = l[1].failures = 0;
    l[0].longest_us = l[1].longest_us = 0;
    end_us = bb_clock_now_us() + (uint64_t)PROBE_MAX_MS * BB_US_PER_MS;
    while (l[0].failures + l[1].failures == 0 && bb_clock_now_us() < end_us) {
        step_client(&l[0]);
        step_client(&l[1]);
        fixture_run(&b, 2);
    }
    CU_ASSERT_EQUAL(l[0].failures + l[1].failures, 1);
    CU_ASSERT_TRUE(MAX(l[0].longest_us, l[1].longest_us) <
                   (uint64_t)STALL_MAX_MS * BB_US_PER_MS);
    fixture_run(&b, 20);
    CU_ASSERT_EQUAL(b.upstreams[0].aborted_requests, aborted + 1);
    client_free(l[0].client);
    client_free(l[1].client);
    fixture_close(&b);
}

static struct scripted_response
respond_by_name(struct upstream *u, uint32_t number,
                const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    return (struct scripted_response){
        .text = ok_response,
        .delay_ms =
            strstr(bb_http_head_get(h, T_ID), "slow") != NULL ? 1000 : 10};
}

/* Guards against: an upstream that counts as one that drops requests, as
 * callers have left requests that run long: it gets fewer at once, and others
 * that run long end with 502. */
static void
test_callers_who_leave(void)
{
    struct path_fixture b;
    struct loop_client l = {.request = UNSAFE("a1", "")};
    struct client *slow;
    uint32_t slots;
    uint64_t end_us;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    fixture_announce(&b, 1, true);
    b.upstreams[0].script = respond_by_name;
    slots = gate_slots(&b);
    l.client = client_open(&b);
    while (b.upstreams[0].requests < WARM_UP_REQUESTS) {
        step_client(&l);
        fixture_run(&b, 2);
    }
    for (uint32_t i = 0; i < 4; i++) {
        slow = client_open(&b);
        client_send(slow, UNSAFE("slow", ""));
        end_us = bb_clock_now_us() + (uint64_t)400 * BB_US_PER_MS;
        while (bb_clock_now_us() < end_us) {
            step_client(&l);
            fixture_run(&b, 2);
        }
        client_free(slow);
    }
    fixture_run(&b, 20);
    CU_ASSERT_EQUAL(gate_slots(&b), slots);
    slow = client_open(&b);
    client_send(slow, UNSAFE("slow", ""));
    end_us = bb_clock_now_us() + (uint64_t)(1000 + MARGIN_MS) * BB_US_PER_MS;
    while (strstr(slow->received->str, "\r\n\r\n") == NULL &&
           bb_clock_now_us() < end_us) {
        step_client(&l);
        fixture_run(&b, 2);
    }
    CU_ASSERT_EQUAL(client_count(slow, "HTTP/1.1 200"), 1);
    CU_ASSERT_EQUAL(l.failures, 0);
    client_free(slow);
    client_free(l.client);
    fixture_close(&b);
}

/* Delays each turn of the loop, as on a machine that is busy. */
static void
on_busy_turn(uv_check_t *c)
{
    (void)c;
    g_usleep(8 * 1000);
}

static struct scripted_response
respond_late(struct upstream *u, uint32_t number, const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    return (struct scripted_response){
        .text = ok_response,
        .delay_ms =
            strstr(bb_http_head_get(h, T_ID), "slow") != NULL ? 2000 : 1};
}

/* Guards against: 504 for a request that waited in the gate's queue until the
 * deadline, as the gate's refusal comes too late. */
static void
test_queued_until_deadline(void)
{
    struct path_fixture b;
    struct client *slow[2];
    struct client *c;
    uv_check_t check;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    fixture_announce(&b, 1, true);
    b.upstreams[0].script = respond_late;
    c = client_open(&b);
    for (uint32_t i = 0; i < WARM_UP_REQUESTS; i++) { /* durations get short */
        client_send(c, UNSAFE("warm", ""));
        (void)fixture_wait_text(&b, c, "\r\n\r\nbody", MARGIN_MS);
        g_string_truncate(c->received, 0);
    }
    for (uint32_t i = 0; i < 2; i++) {
        slow[i] = client_open(&b);
        client_send(slow[i], UNSAFE("slow", ""));
    }
    fixture_run(&b, 50);
    (void)uv_check_init(&b.loop, &check);
    (void)uv_check_start(&check, on_busy_turn);
    for (uint32_t i = 0; i < 3; i++) {
        client_send(c, UNSAFE("a1", "T-Deadline: 400\r\n"));
        CU_ASSERT_TRUE(
            fixture_wait_text(&b, c, "HTTP/1.1 503", 400 + MARGIN_MS));
        g_string_truncate(c->received, 0);
    }
    (void)uv_check_stop(&check);
    uv_close((uv_handle_t *)&check, NULL);
    client_free(slow[0]);
    client_free(slow[1]);
    client_free(c);
    fixture_close(&b);
}

/* Sockets at an address that accepts no more connections, as its backlog is
 * full. */
struct blocked_address {
    int listener;
    int clients[BLOCKED_SOCKETS];
};

static void
block_address(struct blocked_address *x, const struct bb_address *at)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons(at->port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int on = 1;
    uint32_t tries = 0;

    x->listener = socket(AF_INET, SOCK_STREAM, 0);
    (void)setsockopt(x->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    /* A connection of another program may have the port for a moment. */
    while (bind(x->listener, (const struct sockaddr *)&a, sizeof(a)) != 0 &&
           tries++ < BIND_TRIES_MAX) {
        g_usleep(10 * 1000);
    }
    CU_ASSERT_TRUE_FATAL(tries <= BIND_TRIES_MAX);
    CU_ASSERT_TRUE_FATAL(listen(x->listener, 0) == 0);
    for (uint32_t i = 0; i < BLOCKED_SOCKETS; i++) {
        x->clients[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(x->clients[i], (const struct sockaddr *)&a, sizeof(a));
    }
}

static void
unblock_address(struct blocked_address *x)
{
    for (uint32_t i = 0; i < BLOCKED_SOCKETS; i++) {
        (void)close(x->clients[i]);
    }
    (void)close(x->listener);
}

/* Guards against: 504 for a request whose deadline passes while the entry
 * connects to the gate, so that nothing was sent. */
static void
test_deadline_while_connecting_to_gate(void)
{
    struct path_fixture b;
    struct blocked_address blocked;
    struct bb_address gate;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    fixture_announce(&b, 1, true);
    gate = b.upstreams[0].address;
    gate.port++;
    bb_gate_destroy(b.gates[0]);
    b.gates[0] = NULL;
    fixture_run(&b, 10);
    block_address(&blocked, &gate);
    c = client_open(&b);
    client_send(c, UNSAFE("a1", "T-Deadline: 120\r\n"));
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", MARGIN_MS));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 "), 1);
    client_free(c);
    unblock_address(&blocked);
    fixture_close(&b);
}

/* Guards against: 504 for a request whose deadline passes while the gate
 * connects to the upstream, and an upstream that counts as unreachable because
 * the time of one request was short. */
static void
test_deadline_while_connecting_to_upstream(void)
{
    struct path_fixture b;
    struct blocked_address blocked;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    fixture_announce(&b, 1, true);
    bb_listener_destroy(b.upstreams[0].listener);
    b.upstreams[0].listener = NULL;
    fixture_run(&b, 10);
    block_address(&blocked, &b.upstreams[0].address);
    c = client_open(&b);
    client_send(c, UNSAFE("a1", "T-Deadline: 150\r\n"));
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", MARGIN_MS));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 "), 1);
    CU_ASSERT_TRUE(gate_slots(&b) > 0);
    client_free(c);
    unblock_address(&blocked);
    fixture_close(&b);
}

static const struct scripted_response late_refusal = {
    .text = "HTTP/1.1 503 Busy\r\nBaobab-Refused: late\r\n"
            "Content-Length: 0\r\n\r\n",
    .delay_ms = 180};

static void
on_stall(uv_timer_t *t)
{
    (void)t;
    g_usleep(60 * 1000);
}

/* Guards against: 504 although the gate's refusal has arrived, as the timer of
 * a late loop runs before the socket is read. */
static void
test_refusal_on_late_loop(void)
{
    struct path_fixture b;
    struct client *c;
    uv_timer_t stall;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    fixture_announce(&b, 1, true);
    fixture_set_response(&b, 0, late_refusal);
    fixture_replace_gate(&b, 0);
    c = client_open(&b);
    fixture_run(&b, 10);
    client_send(c, UNSAFE("a1", "T-Deadline: 200\r\n"));
    (void)uv_timer_init(&b.loop, &stall);
    (void)uv_timer_start(&stall, on_stall, 165, 0);
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 200 + MARGIN_MS));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 "), 1);
    uv_close((uv_handle_t *)&stall, NULL);
    client_free(c);
    fixture_close(&b);
}

static const struct bb_unit_test tests[] = {
    {"dropping upstream", test_dropping_upstream},
    {"callers who leave", test_callers_who_leave},
    {"queued until the deadline", test_queued_until_deadline},
    {"deadline while connecting to a gate",
     test_deadline_while_connecting_to_gate},
    {"deadline while connecting to an upstream",
     test_deadline_while_connecting_to_upstream},
    {"refusal on a late loop", test_refusal_on_late_loop},
};

BB_UNIT_MAIN("stalls", tests)
