/* Requests through entry and gate to scripted upstreams. Each test names the
 * failure it guards against. */
#include <string.h>

#include "bench.h"
#include "common/counters.h"
#include "unit.h"

#define SAFE(id) "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: " id "\r\n"
#define UNSAFE(id)                                                            \
    "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: " id "\r\n"                  \
    "Content-Length: 2\r\n"

static uint32_t
arrivals(const struct bench *b)
{
    return b->upstreams[0].requests + b->upstreams[1].requests;
}

/* Sets what both upstreams do. */
static void
script_both(struct bench *b, upstream_script script)
{
    b->upstreams[0].script = script;
    b->upstreams[1].script = script;
}

/* Guards against: a request that does not come through whole, fields of the
 * connection passed on, or a caller's claim of who it is believed. */
static void
test_plain(void)
{
    struct bench b;
    struct client *c;
    const struct upstream *u;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") T_CALLER ": liar\r\nT-Deadline: 800\r\n"
                                         "X-Kept: yes\r\n\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "body", 1000));
    u = b.upstreams[0].requests != 0 ? &b.upstreams[0] : &b.upstreams[1];
    CU_ASSERT_EQUAL(arrivals(&b), 1);
    CU_ASSERT_STRING_EQUAL(u->last_body->str, "hi");
    CU_ASSERT_PTR_NOT_NULL(strstr(u->last_head->str, "T-Caller: caller\n"));
    CU_ASSERT_PTR_NULL(strstr(u->last_head->str, "liar"));
    CU_ASSERT_PTR_NOT_NULL(strstr(u->last_head->str, "X-Kept: yes\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(u->last_head->str, "T-Expect: i-"));
    CU_ASSERT_PTR_NULL(strstr(u->last_head->str, "Baobab-"));
    CU_ASSERT_PTR_NOT_NULL(strstr(c->received->str, "T-Seal: s\r\n"));
    client_close(c);
    bench_close(&b);
}

/* Guards against: answers before any configuration that look final, and a
 * missing route that looks like trouble. */
static void
test_without_rules(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 503", 500));
    bench_set_rules(&b, 1000, 2);
    client_send(c, "GET /none/ HTTP/1.1\r\nHost: h\r\nT-Id: a2\r\n\r\n");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 404", 500));
    client_send(c, "GET /other/ HTTP/1.1\r\nHost: h\r\nT-Id: a3\r\n\r\n");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "no_upstream", 500));
    CU_ASSERT_EQUAL(arrivals(&b), 0);
    client_close(c);
    bench_close(&b);
}

/* Guards against: a request hidden behind another by two framings. */
static void
test_smuggled(void)
{
    static const char *const bad[] = {
        ("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: a\r\n"
         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
         "GET /unsafe/y HTTP/1.1\r\nHost: h\r\nT-Id: b\r\n\r\n"),
        ("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: a\r\n"
         "Content-Length: 4\r\nContent-Length: 6\r\n\r\nabcdef"),
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nHost: i\r\nT-Id: a\r\n\r\n",
        "GET /safe/x HTTP/1.1\r\nHost h\r\n\r\n", "\r\n\x01garbage\r\n\r\n"};

    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        struct bench b;
        struct client *c;

        bench_open(&b);
        bench_set_rules(&b, 1000, 2);
        c = client_open(&b);
        client_send(c, bad[i]);
        CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 400", 500));
        bench_run(&b, 30);
        CU_ASSERT_EQUAL(arrivals(&b), 0);
        client_close(c);
        bench_close(&b);
    }
}

static struct script
answer_cut(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){
        .text = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n\r\nhalf",
        .end = SCRIPT_RESET};
}

/* Guards against: an answer without a length that is reset on its way and
 * looks complete (libuv reports the reset as an end of the data). */
static void
test_reset_answer(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    script_both(&b, answer_cut);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 502", 1000));
    CU_ASSERT_PTR_NULL(strstr(c->received->str, "half"));
    CU_ASSERT_EQUAL(arrivals(&b), 1);
    client_close(c);
    bench_close(&b);
}

static struct script
answer_unframed(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){
        .text = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n\r\nwhole",
        .end = SCRIPT_CLOSE};
}

/* Guards against: a complete answer without a length taken for a broken
 * one. */
static void
test_unframed_answer(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    script_both(&b, answer_unframed);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "Content-Length: 5", 1000));
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "whole", 1000));
    client_close(c);
    bench_close(&b);
}

static struct script
answer_after_stray(struct upstream *u, uint32_t number,
                   const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){
        .text = "HTTP/1.1 200 OK\r\nT-Id: another\r\nT-Seal: s\r\n"
                "Content-Length: 5\r\n\r\nwrong"
                "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                "Content-Length: 5\r\n\r\nright"};
}

static struct script
answer_with_extra(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)h;
    return (struct script){
        .text = number == 1 ? "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                              "Content-Length: 4\r\n\r\nbody"
                              "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                              "Content-Length: 5\r\n\r\nextra"
                            : good_answer};
}

/* Guards against: an answer to another request passed on, and bytes behind a
 * complete answer taken for the next one. */
static void
test_stray_answers(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    script_both(&b, answer_after_stray);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "right", 1000));
    CU_ASSERT_PTR_NULL(strstr(c->received->str, "wrong"));
    b.upstreams[0].requests = 0;
    b.upstreams[1].requests = 0;
    script_both(&b, answer_with_extra);
    for (uint32_t i = 0; i < 3; i++) {
        client_send(c, SAFE("a2") "\r\n");
        bench_run(&b, 60);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 3);
    CU_ASSERT_PTR_NULL(strstr(c->received->str, "extra"));
    client_close(c);
    bench_close(&b);
}

static struct script
answer_unsealed(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){.text = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\n"
                                   "Content-Length: 4\r\n\r\nfake"};
}

/* Guards against: a success that is not the upstream's own. */
static void
test_unsealed_answer(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    script_both(&b, answer_unsealed);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 502", 1000));
    CU_ASSERT_EQUAL(arrivals(&b), 1);
    client_close(c);
    bench_close(&b);
}

static struct script
answer_never(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){.end = SCRIPT_RESET};
}

/* Guards against: a request that must not run twice sent again, or said not to
 * have run, after its answer was lost; and a safe one sent to more upstreams
 * than its route allows. */
static void
test_lost_answer(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    script_both(&b, answer_never);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 502", 1000));
    CU_ASSERT_EQUAL(arrivals(&b), 1);
    client_send(c, SAFE("a2") "\r\n");
    bench_run(&b, 300);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 502"), 2);
    CU_ASSERT_TRUE(arrivals(&b) <= 3);
    client_close(c);
    bench_close(&b);
}

static struct script
answer_full(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){.text =
                               "HTTP/1.1 503 Service Unavailable\r\n"
                               "T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
}

/* Guards against: giving up where another upstream can still run a request
 * that truly did not run, and saying anything but "not run" when none can. */
static void
test_not_run(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    b.upstreams[0].script = answer_full;
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "body", 1000));
    b.upstreams[1].script = answer_full;
    client_send(c, UNSAFE("a2") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 503", 1000));
    CU_ASSERT_PTR_NOT_NULL(strstr(c->received->str, "Retry-After: "));
    client_close(c);
    bench_close(&b);
}

static struct script
answer_slowly(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){.text = good_answer, .delay_ms = 3000};
}

/* Guards against: work that goes on after the caller has left. */
static void
test_caller_leaves(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 5000, 2);
    script_both(&b, answer_slowly);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    bench_run(&b, 100);
    CU_ASSERT_EQUAL(arrivals(&b), 1);
    client_leave(c);
    bench_run(&b, 300);
    CU_ASSERT_EQUAL(b.upstreams[0].cut + b.upstreams[1].cut, 1);
    CU_ASSERT_EQUAL(
        bb_gate_busy_count(b.gates[0]) + bb_gate_busy_count(b.gates[1]), 0);
    client_close(c);
    bench_close(&b);
}

/* Guards against: no final answer at the route's timeout, and an upstream
 * that is handed more time than is left. */
static void
test_timeout(void)
{
    struct bench b;
    struct client *c;
    const struct upstream *u;
    const char *deadline;

    bench_open(&b);
    bench_set_rules(&b, 300, 1);
    script_both(&b, answer_slowly);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "T-Deadline: 5000\r\n\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 504", 700));
    u = b.upstreams[0].requests != 0 ? &b.upstreams[0] : &b.upstreams[1];
    deadline = strstr(u->last_head->str, "T-Deadline: ");
    CU_ASSERT_PTR_NOT_NULL_FATAL(deadline);
    CU_ASSERT_TRUE(atoi(deadline + strlen("T-Deadline: ")) <= 300);
    bench_run(&b, 100);
    CU_ASSERT_EQUAL(b.upstreams[0].cut + b.upstreams[1].cut, 1);
    client_close(c);
    bench_close(&b);
}

/* Guards against: new work for an upstream that has announced that it
 * leaves, and a cut of what it still runs. */
static void
test_draining(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    bench_announce(&b, 0, true);
    c = client_open(&b);
    for (uint32_t i = 0; i < 6; i++) {
        client_send(c, UNSAFE("a1") "\r\nhi");
        bench_run(&b, 30);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 6);
    CU_ASSERT_EQUAL(b.upstreams[0].requests, 0);
    /* A late call of an earlier time must not bring it back. */
    CU_ASSERT_TRUE(bb_gate_withdraw(b.gates[1], "i-1", 5));
    bench_announce(&b, 1, false);
    client_send(c, UNSAFE("a2") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 503", 500));
    CU_ASSERT_EQUAL(b.upstreams[1].requests, 6);
    client_close(c);
    bench_close(&b);
}

static struct script
answer_late(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){.text = good_answer, .delay_ms = 150};
}

/* Guards against: callers taken for the upstream of their host, whose address
 * they share, and so let wait longer than their answer is worth; an id that
 * only looks like that of a call. */
static void
test_calls_of_upstream(void)
{
    const struct bb_counter *calls =
        bb_counter_find("baobab_entry_calls_total", NULL);
    uint64_t before = bb_counter_get(calls);
    struct bench b;
    struct client *c;
    struct client *upstream;
    bool is_repeat = true;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    bench_announce(&b, 1, true); /* the first gate alone */
    script_both(&b, answer_slowly);
    c = client_open(&b);
    upstream = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    bench_run(&b, 100);
    CU_ASSERT_EQUAL(bb_counter_get(calls), before);
    CU_ASSERT_TRUE(bb_gate_find_running(b.gates[0], "a1", &is_repeat));
    CU_ASSERT_FALSE(is_repeat);
    client_send(upstream, UNSAFE("a1/x") "\r\nhi");
    bench_run(&b, 50);
    CU_ASSERT_EQUAL(bb_counter_get(calls), before + 1);
    client_leave(c);
    bench_run(&b, 100);
    CU_ASSERT_FALSE(bb_gate_find_running(b.gates[0], "a1", &is_repeat));
    client_close(c);
    c = client_open(&b);
    client_send(c, UNSAFE("a1/y") "\r\nhi");
    bench_run(&b, 50);
    CU_ASSERT_EQUAL(bb_counter_get(calls), before + 1);
    client_close(c);
    client_close(upstream);
    bench_close(&b);
}

/* Guards against: a caller that waits less long than others on its route being
 * taken for one that comes again late, and refused where a short wait would do
 * (CONFIG, adinkra-proofs scale-1 --seed 957733797976). */
static void
test_short_patience(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    bench_announce(&b, 1, true); /* the first gate alone, two slots */
    c = client_open(&b);
    for (uint32_t i = 0; i < 30; i++) {
        client_send(c, SAFE("p") "T-Deadline: 9000\r\n\r\n");
        bench_run(&b, 5);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 30);
    client_close(c);
    script_both(&b, answer_late);
    c = client_open(&b);
    for (uint32_t i = 0; i < 4; i++) {
        client_send(c, SAFE("q") "T-Deadline: 900\r\n\r\n");
    }
    bench_run(&b, 600);
    CU_ASSERT_EQUAL(client_count(c, "body"), 4);
    client_close(c);
    bench_close(&b);
}

/* Guards against: a restarted gate that takes a late announcement of an
 * upstream that leaves for a ready one. */
static void
test_restarted_gate(void)
{
    struct bench b;
    struct client *c;
    const fleet_instance earlier = {
        .id = (char *)"i-0", .born_ms = 5, .state = BB_INSTANCE_DRAINING};

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    bench_announce(&b, 1, true); /* leaves only the other one */
    bench_restart_gate(&b, 0);
    bench_announce(&b, 0, false);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "HTTP/1.1 503", 500));
    bb_gate_recall(b.gates[0], &earlier);
    client_send(c, UNSAFE("a2") "\r\nhi");
    bench_run(&b, 100);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 503"), 2);
    CU_ASSERT_EQUAL(arrivals(&b), 0);
    /* Without such a word it admits requests at once. */
    bench_restart_gate(&b, 0);
    bb_gate_recall(b.gates[0], NULL);
    bench_announce(&b, 0, false);
    client_send(c, UNSAFE("a3") "\r\nhi");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "body", 500));
    client_close(c);
    bench_close(&b);
}

/* Guards against: requests that are lost on kept connections that their
 * upstream has forgotten: none that must not run twice, and not one after the
 * other of those that may. */
static void
test_forgotten_connections(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    b.upstreams[0].forgets_ms = 120;
    b.upstreams[1].forgets_ms = 120;
    c = client_open(&b);
    for (uint32_t i = 0; i < 6; i++) {
        client_send(c, UNSAFE("a1") "\r\nhi");
        bench_run(&b, 180);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 6);
    CU_ASSERT_EQUAL(b.upstreams[0].forgot + b.upstreams[1].forgot, 0);
    for (uint32_t i = 0; i < 10; i++) {
        client_send(c, SAFE("a1") "\r\n");
        bench_run(&b, 180);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 16);
    CU_ASSERT_TRUE(b.upstreams[0].forgot <= 1);
    CU_ASSERT_TRUE(b.upstreams[1].forgot <= 1);
    client_close(c);
    bench_close(&b);
}

/* Guards against: a gate that admits requests of entry nodes that do not know
 * yet that its upstream leaves. */
static void
test_draining_gate(void)
{
    struct bench b;
    struct client *c;
    struct bb_address entry;

    bench_open(&b);
    entry = b.entry_at;
    b.entry_at = b.upstreams[0].at;
    b.entry_at.port++; /* the gate's */
    c = client_open(&b);
    b.entry_at = entry;
    client_send(c, SAFE("a1") BB_FIELD_CALL ": s 1 1 500 1000000 -\r\n\r\n");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "body", 500));
    bench_announce(&b, 0, true);
    client_send(c, SAFE("a2") BB_FIELD_CALL ": s 1 1 500 1000000 -\r\n\r\n");
    CU_ASSERT_TRUE(bench_wait_text(&b, c, BB_FIELD_REFUSED, 500));
    CU_ASSERT_EQUAL(arrivals(&b), 1);
    client_close(c);
    bench_close(&b);
}

static struct script
answer_by_number(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)h;
    return (struct script){.text = good_answer,
                           .delay_ms = number == 1 ? 120 : 60};
}

/* Guards against: pipelined answers out of order, and requests under way that
 * are cut because an earlier answer ends the connection while draining. */
static void
test_pipeline(void)
{
    struct bench b;
    struct client *c;
    const char *first;
    const char *second;

    bench_open(&b);
    bench_set_rules(&b, 1000, 1);
    script_both(&b, answer_by_number);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n" SAFE("a2") "\r\n" SAFE("a3") "\r\n");
    bench_run(&b, 30);
    bb_entry_drain(b.entry);
    bench_run(&b, 400);
    CU_ASSERT_EQUAL(client_count(c, "body"), 3);
    first = strstr(c->received->str, "T-Id: a1");
    second = strstr(c->received->str, "T-Id: a2");
    CU_ASSERT_PTR_NOT_NULL(first);
    CU_ASSERT_TRUE(second > first);
    CU_ASSERT_EQUAL(client_count(c, "Connection: close"), 1);
    client_close(c);
    bench_close(&b);
}

/* Guards against: two requests at a time beyond the slots, and a request that
 * waits although it cannot be answered in time. */
static void
test_queue(void)
{
    struct bench b;
    struct client *clients[8];
    uint32_t served = 0;
    uint32_t refused = 0;

    bench_open(&b);
    bench_set_rules(&b, 400, 1);
    script_both(&b, answer_by_number);
    for (uint32_t i = 0; i < 8; i++) {
        clients[i] = client_open(&b);
        client_send(clients[i], UNSAFE("a1") "\r\nhi");
    }
    bench_run(&b, 800);
    for (uint32_t i = 0; i < 8; i++) {
        served += client_count(clients[i], "body");
        refused += client_count(clients[i], "HTTP/1.1 503");
        client_close(clients[i]);
    }
    CU_ASSERT_EQUAL(served + refused, 8);
    CU_ASSERT_TRUE(served >= 4);
    CU_ASSERT_EQUAL(arrivals(&b), served);
    bench_close(&b);
}

/* Guards against: a long body that does not arrive as it was sent. */
static void
test_long_body(void)
{
    struct bench b;
    struct client *c;
    GString *request =
        g_string_new("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: a1\r\n"
                     "Content-Length: 600000\r\n\r\n");
    const struct upstream *u;

    for (uint32_t i = 0; i < 600000; i++) {
        g_string_append_c(request, (gchar)('a' + i % 23));
    }
    bench_open(&b);
    bench_set_rules(&b, 3000, 2);
    c = client_open(&b);
    client_send(c, request->str);
    CU_ASSERT_TRUE(bench_wait_text(&b, c, "body", 3000));
    u = b.upstreams[0].requests != 0 ? &b.upstreams[0] : &b.upstreams[1];
    CU_ASSERT_EQUAL(u->last_body->len, 600000);
    CU_ASSERT_EQUAL(
        strcmp(u->last_body->str, strstr(request->str, "\r\n\r\n") + 4), 0);
    client_close(c);
    g_string_free(request, TRUE);
    bench_close(&b);
}

/* Guards against: an upstream that is gone being asked again and again. */
static void
test_upstream_gone(void)
{
    struct bench b;
    struct client *c;

    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    bb_listener_destroy(b.upstreams[0].listener);
    b.upstreams[0].listener = NULL;
    bench_run(&b, 10);
    c = client_open(&b);
    for (uint32_t i = 0; i < 6; i++) {
        client_send(c, UNSAFE("a1") "\r\nhi");
        bench_run(&b, 40);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 6);
    client_close(c);
    bench_close(&b);
}

static const struct bb_unit_test tests[] = {
    {"plain request", test_plain},
    {"without rules", test_without_rules},
    {"smuggled and malformed requests", test_smuggled},
    {"answer that is reset", test_reset_answer},
    {"answer without a length", test_unframed_answer},
    {"stray answers", test_stray_answers},
    {"answer without a seal", test_unsealed_answer},
    {"lost answer", test_lost_answer},
    {"not run", test_not_run},
    {"caller leaves", test_caller_leaves},
    {"timeout of the route", test_timeout},
    {"draining", test_draining},
    {"draining gate", test_draining_gate},
    {"forgotten connections", test_forgotten_connections},
    {"calls of the upstream", test_calls_of_upstream},
    {"short patience", test_short_patience},
    {"restarted gate", test_restarted_gate},
    {"pipelined requests", test_pipeline},
    {"queue", test_queue},
    {"long body", test_long_body},
    {"upstream gone", test_upstream_gone},
};

BB_UNIT_MAIN("path", tests)
