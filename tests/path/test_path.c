/* Tests requests through entry and gate to scripted upstreams. Each comment
 * names the failure that a test guards against. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/histogram.h"
#include "fixture.h"
#include "path/gate_cost.h"
#include "path/upstream_check.h"
#include "unit.h"

/* Longest time until a gate has the response to its check. */
enum { CHECK_MS = 30 };

/* Longest time until a close of the caller has ended its requests. */
enum { GONE_MAX_MS = 400 };

/* More than the server buffers, so that the upload is passed on before it is
 * complete. */
#define QUEUED_BODY_BYTES 900000

#define SAFE(id) "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: " id "\r\n"
#define UNSAFE(id)                                                            \
    "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: " id "\r\n"                  \
    "Content-Length: 2\r\n"

/* Returns how many requests both upstreams have received. */
static uint32_t
count_requests(const struct path_fixture *b)
{
    return b->upstreams[0].requests + b->upstreams[1].requests;
}

/* Guards against: a request to upgrade the protocol that is refused or passed
 * on, although a server may ignore it, and a request behind it that is taken
 * for the other protocol. */
static void
test_ignored_upgrade(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 1);
    c = client_open(&b);
    client_send(c, SAFE("a1") "Connection: Upgrade, HTTP2-Settings\r\n"
                              "Upgrade: h2c\r\nHTTP2-Settings: AAMA\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 500));
    CU_ASSERT_PTR_NULL(strstr(b.upstreams[0].last_head->str, "pgrade"));
    CU_ASSERT_PTR_NULL(strstr(b.upstreams[1].last_head->str, "HTTP2"));
    client_send(c, UNSAFE("a2") "Connection: Upgrade\r\nUpgrade: h2c\r\n"
                                "\r\nhi" SAFE("a3") "\r\n");
    fixture_run(&b, 200);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 3);
    CU_ASSERT_EQUAL(count_requests(&b), 3);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a request that arrives incomplete, internal fields that
 * reach the upstream, and a caller that names its own service. */
static void
test_forwarding(void)
{
    struct path_fixture b;
    struct client *c;
    const struct upstream *u;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") T_CALLER ": liar\r\nT-Deadline: 800\r\n"
                                         "X-Kept: yes\r\n\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 1000));
    u = b.upstreams[0].requests != 0 ? &b.upstreams[0] : &b.upstreams[1];
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    CU_ASSERT_STRING_EQUAL(u->last_body->str, "hi");
    CU_ASSERT_PTR_NOT_NULL(strstr(u->last_head->str, "T-Caller: caller\n"));
    CU_ASSERT_PTR_NULL(strstr(u->last_head->str, "liar"));
    CU_ASSERT_PTR_NOT_NULL(strstr(u->last_head->str, "X-Kept: yes\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(u->last_head->str, "T-Expect: i-"));
    CU_ASSERT_PTR_NULL(strstr(u->last_head->str, "Baobab-"));
    CU_ASSERT_PTR_NOT_NULL(strstr(c->received->str, "T-Seal: s\r\n"));
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a response other than 503 before there is a configuration or
 * an upstream, and one other than 404 if no route matches. */
static void
test_without_rules(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 500));
    fixture_set_rules(&b, 1000, 2);
    client_send(c, "GET /none/ HTTP/1.1\r\nHost: h\r\nT-Id: a2\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 404", 500));
    client_send(c, "GET /other/ HTTP/1.1\r\nHost: h\r\nT-Id: a3\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "no_upstream", 500));
    CU_ASSERT_EQUAL(count_requests(&b), 0);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a request that is refused because it came shortly before the
 * first configuration, one that gets no response as its caller has left
 * meanwhile or the configuration does not come, and one that waits long after
 * the start. */
static void
test_request_before_rules(void)
{
    struct path_fixture b;
    struct client *c;
    struct client *left;
    bool is_refused;

    fixture_open(&b);
    c = client_open(&b);
    left = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    client_send(left, SAFE("a2") "\r\n");
    fixture_run(&b, 50);
    client_disconnect(left);
    fixture_run(&b, 50);
    fixture_set_rules(&b, 1000, 2);
    fixture_run(&b, 50);
    fixture_announce(&b, 0, false);
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 200", 500));
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    client_free(c);
    client_free(left);
    fixture_close(&b);

    fixture_open(&b);
    c = client_open(&b);
    client_send(c, SAFE("a3") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "no_configuration", 500));
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "Retry-After: 0.", 500));
    fixture_run(&b, BB_ENTRY_START_MS);
    client_send(c, SAFE("a4") "\r\n");
    fixture_run(&b, BB_ENTRY_START_WAIT_MS / 3);
    is_refused = client_count(c, "no_configuration") == 2;
    CU_ASSERT_TRUE(is_refused);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: the bodies of uploads that wait for the first configuration,
 * kept whole in memory. */
static void
test_upload_before_rules(void)
{
    enum { BODY_BYTES = 900000, HELD_MAX_BYTES = 600000 };
    struct path_fixture b;
    struct client *c;
    char *body = g_malloc0(BODY_BYTES + 1);
    const struct bb_counter *held;
    const struct upstream *u;

    memset(body, 'x', BODY_BYTES);
    fixture_open(&b);
    c = client_open(&b);
    client_send(c, "POST /safe/ HTTP/1.1\r\nHost: h\r\nT-Id: a1\r\n"
                   "Content-Length: 900000\r\n\r\n");
    client_send(c, body);
    fixture_run(&b, 100);
    held = bb_counter_find("baobab_buffered_bytes", NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(held);
    CU_ASSERT_TRUE(bb_counter_get(held) < HELD_MAX_BYTES);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 0, false);
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 200", 1000));
    u = b.upstreams[0].requests != 0 ? &b.upstreams[0] : &b.upstreams[1];
    CU_ASSERT_EQUAL(u->last_body->len, BODY_BYTES);
    client_free(c);
    g_free(body);
    fixture_close(&b);
}

/* Guards against: request smuggling by ambiguous framing or hosts, and
 * malformed requests that are passed on. */
static void
test_malformed_requests(void)
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
        struct path_fixture b;
        struct client *c;

        fixture_open(&b);
        fixture_set_rules(&b, 1000, 2);
        c = client_open(&b);
        client_send(c, bad[i]);
        CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 400", 500));
        fixture_run(&b, 30);
        CU_ASSERT_EQUAL(count_requests(&b), 0);
        client_free(c);
        fixture_close(&b);
    }
}

static struct scripted_response
respond_reset(struct upstream *u, uint32_t number,
              const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){
        .text = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n\r\nhalf",
        .action = ACTION_RESET};
}

/* Guards against: a response without a length that is cut off by a reset but
 * passed on as complete (libuv reports the reset as an end of the data). */
static void
test_reset_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_set_scripts(&b, respond_reset);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 502", 1000));
    CU_ASSERT_PTR_NULL(strstr(c->received->str, "half"));
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_unframed(struct upstream *u, uint32_t number,
                 const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){
        .text = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n\r\nwhole",
        .action = ACTION_CLOSE};
}

/* Guards against: a complete response without a length taken for an incomplete
 * one. */
static void
test_unframed_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_set_scripts(&b, respond_unframed);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "Content-Length: 5", 1000));
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "whole", 1000));
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_after_foreign(struct upstream *u, uint32_t number,
                      const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){
        .text = "HTTP/1.1 200 OK\r\nT-Id: another\r\nT-Seal: s\r\n"
                "Content-Length: 5\r\n\r\nwrong"
                "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                "Content-Length: 5\r\n\r\nright"};
}

static struct scripted_response
respond_with_extra(struct upstream *u, uint32_t number,
                   const struct bb_http_head *h)
{
    (void)u;
    (void)h;
    return (struct scripted_response){
        .text = number == 1 ? "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                              "Content-Length: 4\r\n\r\nbody"
                              "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                              "Content-Length: 5\r\n\r\nextra"
                            : ok_response};
}

/* Guards against: a response to another request passed on, and bytes that
 * follow a complete response taken for the response to the next request. */
static void
test_foreign_responses(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_set_scripts(&b, respond_after_foreign);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "right", 1000));
    CU_ASSERT_PTR_NULL(strstr(c->received->str, "wrong"));
    b.upstreams[0].requests = 0;
    b.upstreams[1].requests = 0;
    fixture_set_scripts(&b, respond_with_extra);
    for (uint32_t i = 0; i < 3; i++) {
        client_send(c, SAFE("a2") "\r\n");
        fixture_run(&b, 60);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 3);
    CU_ASSERT_PTR_NULL(strstr(c->received->str, "extra"));
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_unsealed(struct upstream *u, uint32_t number,
                 const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){.text =
                                          "HTTP/1.1 200 OK\r\nT-Id: {id}\r\n"
                                          "Content-Length: 4\r\n\r\nfake"};
}

/* Guards against: a success without a seal, so not from the upstream itself,
 * that is passed on. */
static void
test_unsealed_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_set_scripts(&b, respond_unsealed);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 502", 1000));
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
reset_without_response(struct upstream *u, uint32_t number,
                       const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){.action = ACTION_RESET};
}

/* Guards against: a request that must not run twice but is sent again, or
 * reported as not run, after its response was lost; and an idempotent one that
 * is sent to more upstreams than its route allows. */
static void
test_lost_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_set_scripts(&b, reset_without_response);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 502", 1000));
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    client_send(c, SAFE("a2") "\r\n");
    fixture_run(&b, 300);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 502"), 2);
    CU_ASSERT_TRUE(count_requests(&b) <= 3);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_not_run(struct upstream *u, uint32_t number,
                const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){
        .text = "HTTP/1.1 503 Service Unavailable\r\nT-Id: {id}\r\n"
                "T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
}

/* Guards against: a request that an upstream did not run and that is not sent
 * to the other one, or gets no 503 if no upstream can run it. */
static void
test_not_run(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    b.upstreams[0].script = respond_not_run;
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 1000));
    b.upstreams[1].script = respond_not_run;
    client_send(c, UNSAFE("a2") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 1000));
    CU_ASSERT_PTR_NOT_NULL(strstr(c->received->str, "Retry-After: "));
    client_free(c);
    fixture_close(&b);
}

/* Refuses the first request. Sends that refusal once more before the response
 * to the second, which it runs. */
static struct scripted_response
respond_with_stale_refusal(struct upstream *u, uint32_t number,
                           const struct bb_http_head *h)
{
    (void)u;
    (void)h;
    return (struct scripted_response){
        .text = number == 1 ? "HTTP/1.1 503 Refused\r\nT-Id: {id}\r\n"
                              "T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            : "HTTP/1.1 503 Refused\r\nT-Id: a1\r\n"
                              "T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                              "Content-Length: 4\r\n\r\nbody"};
}

/* As respond_with_stale_refusal, but refuses without an id. */
static struct scripted_response
respond_with_stale_anonymous_refusal(struct upstream *u, uint32_t number,
                                     const struct bb_http_head *h)
{
    (void)u;
    (void)h;
    return (struct scripted_response){
        .text = number == 1 ? "HTTP/1.1 503 Refused\r\n"
                              "T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            : "HTTP/1.1 503 Refused\r\n"
                              "T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                              "Content-Length: 4\r\n\r\nbody"};
}

/* Guards against: "not run" for a request that ran, as the upstream sent the
 * refusal of an earlier one once more on a kept connection. */
static void
test_stale_refusal(void)
{
    static const struct {
        response_script script;
        const char *second; /* status of the second response */
    } cases[] = {{respond_with_stale_refusal, "HTTP/1.1 200"},
                 {respond_with_stale_anonymous_refusal, "HTTP/1.1 502"}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct path_fixture b;
        struct client *c;

        fixture_open(&b);
        fixture_set_rules(&b, 1000, 1);
        fixture_announce(&b, 1, true); /* leaves only the first gate */
        b.upstreams[0].script = cases[i].script;
        c = client_open(&b);
        client_send(c, UNSAFE("a1") "\r\nhi");
        CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 1000));
        client_send(c, UNSAFE("a2") "\r\nhi");
        CU_ASSERT_TRUE(fixture_wait_text(&b, c, cases[i].second, 1000));
        CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 503"), 1);
        CU_ASSERT_EQUAL(b.upstreams[0].requests, 2);
        client_free(c);
        fixture_close(&b);
    }
}

static struct scripted_response
respond_after_3_s(struct upstream *u, uint32_t number,
                  const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){.text = ok_response, .delay_ms = 3000};
}

/* Guards against: work at the upstream and in the gate that is not cancelled
 * when the caller closes its connection. */
static void
test_caller_disconnects(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 2);
    fixture_set_scripts(&b, respond_after_3_s);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    fixture_run(&b, 100);
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    client_disconnect(c);
    fixture_run(&b, 300);
    CU_ASSERT_EQUAL(
        b.upstreams[0].aborted_requests + b.upstreams[1].aborted_requests, 1);
    CU_ASSERT_EQUAL(bb_gate_count_open(b.gates[0]).running +
                        bb_gate_count_open(b.gates[1]).running,
                    0);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a close of the caller that is not seen while more requests
 * wait on its connection than are read. */
static void
test_pipelining_caller_disconnects(void)
{
    struct path_fixture b;
    struct client *c;
    uint32_t requests;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 2);
    fixture_set_scripts(&b, respond_after_3_s);
    c = client_open(&b);
    for (uint32_t i = 0; i < 2 * BB_HTTP_SERVER_PIPELINE_MAX; i++) {
        client_send(c, SAFE("a1") "\r\n");
    }
    fixture_run(&b, 100);
    requests = count_requests(&b);
    CU_ASSERT_TRUE(requests > 0);
    client_disconnect(c);
    fixture_run(&b, GONE_MAX_MS);
    CU_ASSERT_EQUAL(bb_entry_count_open(b.entry).connections, 0);
    CU_ASSERT_EQUAL(b.upstreams[0].aborted_requests +
                        b.upstreams[1].aborted_requests,
                    requests);
    fixture_run(&b, 500);
    CU_ASSERT_EQUAL(count_requests(&b), requests);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a request that is sent to a gate although its caller left
 * before it was read, as the loop was late. */
static void
test_caller_gone_before_late_loop(void)
{
    const struct bb_counter *tries =
        bb_counter_find("baobab_entry_tries_total", NULL);
    struct path_fixture b;
    struct sockaddr_storage entry;
    socklen_t size;
    uint64_t tries_before;
    int fd;

    CU_ASSERT_PTR_NOT_NULL_FATAL(tries);
    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    size = bb_address_to_sockaddr(&b.entry_address, &entry);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&entry, size), 0);
    fixture_run(&b, 50);
    tries_before = bb_counter_get(tries);
    CU_ASSERT_TRUE(
        write(fd, SAFE("a1") "\r\n", sizeof(SAFE("a1") "\r\n") - 1) > 0);
    (void)close(fd);
    fixture_run(&b, 100);
    CU_ASSERT_EQUAL(bb_counter_get(tries), tries_before);
    CU_ASSERT_EQUAL(count_requests(&b), 0);
    CU_ASSERT_EQUAL(bb_entry_count_open(b.entry).connections, 0);
    fixture_close(&b);
}

/* Guards against: a close of the caller that is not seen while its upload
 * waits in the queue of a gate, and is not read. */
static void
test_uploading_caller_disconnects(void)
{
    struct path_fixture b;
    struct client *busy[4]; /* all slots of both gates */
    struct client *c;
    char *body = g_strnfill(QUEUED_BODY_BYTES, 'b');
    uint32_t queued;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    fixture_set_scripts(&b, respond_after_3_s);
    for (uint32_t i = 0; i < G_N_ELEMENTS(busy); i++) {
        busy[i] = client_open(&b);
        client_send(busy[i], SAFE("a1") "\r\n");
    }
    fixture_run(&b, 100);
    c = client_open(&b);
    client_send(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: a2\r\n"
                   "Content-Length: " G_STRINGIFY(QUEUED_BODY_BYTES) "\r\n"
                                                                     "\r\n");
    client_send(c, body);
    fixture_run(&b, 200);
    queued = bb_gate_count_open(b.gates[0]).running +
             bb_gate_count_open(b.gates[1]).running;
    CU_ASSERT_EQUAL(queued, G_N_ELEMENTS(busy) + 1);
    client_reset(c);
    fixture_run(&b, GONE_MAX_MS);
    CU_ASSERT_EQUAL(bb_gate_count_open(b.gates[0]).running +
                        bb_gate_count_open(b.gates[1]).running,
                    queued - 1);
    for (uint32_t i = 0; i < G_N_ELEMENTS(busy); i++) {
        client_free(busy[i]);
    }
    client_free(c);
    g_free(body);
    fixture_close(&b);
}

/* Guards against: no response at the route's timeout, and an upstream that
 * gets a longer deadline than that. */
static void
test_timeout(void)
{
    struct path_fixture b;
    struct client *c;
    const struct upstream *u;
    const char *deadline;

    fixture_open(&b);
    fixture_set_rules(&b, 300, 1);
    fixture_set_scripts(&b, respond_after_3_s);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "T-Deadline: 5000\r\n\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 504", 700));
    u = b.upstreams[0].requests != 0 ? &b.upstreams[0] : &b.upstreams[1];
    deadline = strstr(u->last_head->str, "T-Deadline: ");
    CU_ASSERT_PTR_NOT_NULL_FATAL(deadline);
    CU_ASSERT_TRUE(atoi(deadline + strlen("T-Deadline: ")) <= 300);
    fixture_run(&b, 100);
    CU_ASSERT_EQUAL(
        b.upstreams[0].aborted_requests + b.upstreams[1].aborted_requests, 1);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: requests sent to an upstream that drains, and one that has
 * withdrawn but is ready again after a delayed announcement. */
static void
test_draining(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 0, true);
    c = client_open(&b);
    for (uint32_t i = 0; i < 6; i++) {
        client_send(c, UNSAFE("a1") "\r\nhi");
        fixture_run(&b, 30);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 6);
    CU_ASSERT_EQUAL(b.upstreams[0].requests, 0);
    /* A delayed announcement must not make it ready again. */
    CU_ASSERT_EQUAL(
        bb_gate_withdraw(b.gates[1], "i-1", BENCH_UPSTREAM_STARTED_MS),
        BB_WITHDRAW_APPLIED);
    fixture_announce(&b, 1, false);
    client_send(c, UNSAFE("a2") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 500));
    CU_ASSERT_EQUAL(b.upstreams[1].requests, 6);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_after_150_ms(struct upstream *u, uint32_t number,
                     const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){.text = ok_response, .delay_ms = 150};
}

/* Guards against: requests of callers taken for nested ones of the upstream,
 * whose address they share, so that they wait too long; among them requests
 * with the id of a nested one whose parent does not run. */
static void
test_nested_requests(void)
{
    const struct bb_counter *nested_total =
        bb_counter_find("baobab_entry_calls_total", NULL);
    uint64_t before = bb_counter_get(nested_total);
    struct path_fixture b;
    struct client *c;
    struct client *upstream;
    bool is_retry = true;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    fixture_set_scripts(&b, respond_after_3_s);
    c = client_open(&b);
    upstream = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    fixture_run(&b, 100);
    CU_ASSERT_EQUAL(bb_counter_get(nested_total), before);
    CU_ASSERT_TRUE(bb_gate_is_running(b.gates[0], "a1", &is_retry));
    CU_ASSERT_FALSE(is_retry);
    client_send(upstream, UNSAFE("a1/x") "\r\nhi");
    fixture_run(&b, 50);
    CU_ASSERT_EQUAL(bb_counter_get(nested_total), before + 1);
    client_disconnect(c);
    fixture_run(&b, 100);
    CU_ASSERT_FALSE(bb_gate_is_running(b.gates[0], "a1", &is_retry));
    client_free(c);
    c = client_open(&b);
    client_send(c, UNSAFE("a1/y") "\r\nhi");
    fixture_run(&b, 50);
    CU_ASSERT_EQUAL(bb_counter_get(nested_total), before + 1);
    client_free(c);
    client_free(upstream);
    fixture_close(&b);
}

/* Guards against: a nested call that runs although the deadline of its parent,
 * which the caller has left at the upstream, has passed; and one that is
 * refused while there is time. */
static void
test_nested_after_parent_deadline(void)
{
    struct path_fixture b;
    struct client *c;
    struct client *upstream;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    fixture_set_scripts(&b, respond_after_3_s);
    c = client_open(&b);
    upstream = client_open(&b);
    client_send(c, UNSAFE("a1") "T-Deadline: 300\r\n\r\nhi");
    fixture_run(&b, 50);
    client_disconnect(c);
    fixture_run(&b, 50);
    client_send(upstream, UNSAFE("a1/x") "\r\nhi");
    fixture_run(&b, 50);
    CU_ASSERT_EQUAL(b.upstreams[0].requests, 2);
    client_disconnect(upstream);
    fixture_run(&b, 250);
    client_free(upstream);
    upstream = client_open(&b);
    client_send(upstream, UNSAFE("a1/y") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, upstream, "HTTP/1.1 503", 300));
    CU_ASSERT_EQUAL(b.upstreams[0].requests, 2);
    client_free(c);
    client_free(upstream);
    fixture_close(&b);
}

/* Guards against: nested calls, also parallel ones, that count as work of the
 * upstream that makes them; and a slot that is expected to be free while its
 * run still makes such calls. */
static void
test_nested_time_is_no_work(void)
{
    struct bb_gate_cost *g = g_new0(struct bb_gate_cost, 1);
    struct bb_http_head head = {.text = g_string_new("/safe/x")};
    struct bb_run_cost r;

    for (uint32_t i = 0; i < BB_COST_RUNS_MIN; i++) {
        bb_run_cost_init(&r, g, 1, &head, NULL);
        CU_ASSERT_EQUAL(r.expected_us, 0);
        bb_run_cost_begin_nested(&r, 1010000);
        bb_run_cost_begin_nested(&r, 1020000);
        bb_run_cost_end_nested(&r, 1500000);
        bb_run_cost_end_nested(&r, 1910000);
        CU_ASSERT_EQUAL(bb_run_cost_left_us(&r, g, 1000000, 1950000), 0);
        bb_run_cost_finish(&r, g, 1000000, 2000000);
    }
    bb_run_cost_init(&r, g, 1, &head, NULL);
    /* 900 ms of each run were nested, of which the average has the part that
     * is learned from 16 runs. */
    CU_ASSERT_TRUE(g->nested_us[1] > 500000 && g->nested_us[1] < 900000);
    CU_ASSERT_TRUE(r.expected_us - g->nested_us[1] >= 98000 &&
                   r.expected_us - g->nested_us[1] <= 102000);
    CU_ASSERT_TRUE(bb_run_cost_left_us(&r, g, 1000000, 1000000) >=
                   g->nested_us[1]);
    g->nested_us[1] = 0;
    bb_run_cost_init(&r, g, 1, &head, NULL);
    CU_ASSERT_TRUE(r.expected_us >= 98000 && r.expected_us <= 102000);
    bb_run_cost_begin_nested(&r, 1010000);
    /* While a nested call is open, the run gets no older. */
    CU_ASSERT_EQUAL(bb_run_cost_left_us(&r, g, 1000000, 1500000),
                    bb_run_cost_left_us(&r, g, 1000000, 1900000));
    g_string_free(head.text, TRUE);
    g_free(g);
}

/* Guards against: a remaining work that gates do not report or entries do not
 * read, responses that teach the entry no cost, and predictions that are not
 * exported. */
static void
test_work_in_load_field(void)
{
    const struct bb_gate_view *view;
    GString *metrics = g_string_new(NULL);
    struct bb_service_record *service;
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    fixture_set_scripts(&b, respond_after_150_ms);
    c = client_open(&b);
    for (uint32_t i = 0; i < BB_COST_RUNS_MIN + 1; i++) {
        client_send(c, SAFE("a1") "\r\n");
        CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 200", 1000));
        g_string_truncate(c->received, 0);
    }
    service = bb_directory_get_service(b.directory, "s");
    view =
        &((struct bb_gate_record *)g_ptr_array_index(service->gates, 0))->view;
    CU_ASSERT_TRUE(view->has_work);
    CU_ASSERT_EQUAL(view->sent_requests, 0);
    CU_ASSERT_FALSE(view->is_limited);
    /* The request of the report still held its slot. */
    CU_ASSERT_TRUE(view->work_left_us > 0 && view->work_left_us < 150000);
    bb_histograms_write(metrics);
    CU_ASSERT_PTR_NOT_NULL(strstr(metrics->str, "of=\"gate_duration\""));
    CU_ASSERT_PTR_NOT_NULL(strstr(metrics->str, "of=\"entry_duration\""));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(metrics->str, "baobab_prediction_error_seconds_bucket"));
    g_string_free(metrics, TRUE);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a caller with a shorter deadline than others on its route
 * that is taken for one that retries with little time left, and is refused
 * although a short wait suffices. */
static void
test_short_deadlines(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves the first gate, with two slots */
    c = client_open(&b);
    for (uint32_t i = 0; i < 30; i++) {
        client_send(c, SAFE("p") "T-Deadline: 9000\r\n\r\n");
        fixture_run(&b, 5);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 30);
    client_free(c);
    fixture_set_scripts(&b, respond_after_150_ms);
    c = client_open(&b);
    for (uint32_t i = 0; i < 4; i++) {
        client_send(c, SAFE("q") "T-Deadline: 900\r\n\r\n");
    }
    fixture_run(&b, 600);
    CU_ASSERT_EQUAL(client_count(c, "body"), 4);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a restarted gate that admits requests after a delayed
 * announcement of an upstream that drains. */
static void
test_restarted_gate(void)
{
    struct path_fixture b;
    struct client *c;
    const fleet_instance earlier = {.id = (char *)"i-0",
                                    .started_ms = BENCH_UPSTREAM_STARTED_MS,
                                    .state = BB_INSTANCE_DRAINING};

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    fixture_restart_gate(&b, 0);
    fixture_announce(&b, 0, false);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 500));
    bb_gate_restore(b.gates[0], &earlier);
    client_send(c, UNSAFE("a2") "\r\nhi");
    fixture_run(&b, 100);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 503"), 2);
    CU_ASSERT_EQUAL(count_requests(&b), 0);
    /* If nothing is known of an earlier run it admits requests as soon as the
     * upstream has responded. */
    fixture_restart_gate(&b, 0);
    bb_gate_restore(b.gates[0], NULL);
    fixture_announce(&b, 0, false);
    fixture_run(&b, CHECK_MS);
    client_send(c, UNSAFE("a3") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 500));
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a gate that applies limits of its own to requests that the
 * configuration allows, and whose rejection passes for the upstream's. */
static void
test_raised_limits(void)
{
    struct path_fixture b;
    struct client *c;
    char *text = g_strnfill(BB_HTTP_SERVER_BODY_BUFFER_BYTES, 'x');

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    b.rules->limits.request_head_max_bytes = 64 * 1024;
    b.rules->limits.request_body_max_bytes = 128 * 1024 * 1024;
    bb_entry_set_rules(b.entry, b.rules);
    c = client_open(&b);
    client_send(c, SAFE("a1") "X-Long: ");
    text[60 * 1024] = '\0';
    client_send(c, text);
    client_send(c, "\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 500));
    text[60 * 1024] = 'x';
    client_send(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: a2\r\n"
                   "Content-Length: 100000000\r\n\r\n");
    client_send(c, text);
    fixture_run(&b, 300);
    CU_ASSERT_EQUAL(count_requests(&b), 2);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 "), 1);
    client_free(c);
    b.entry_address = b.upstreams[0].address;
    b.entry_address.port++; /* that of the gate */
    c = client_open(&b);
    client_send(c, "no request\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 400", 500));
    CU_ASSERT_PTR_NOT_NULL(strstr(c->received->str, BB_GATE_HEADER_FAILED));
    client_free(c);
    fixture_close(&b);
    g_free(text);
}

/* Guards against: a restarted gate that takes the earlier run of the upstream,
 * which drained, for the later one as the wall clock went back in between. */
static void
test_restarted_gate_after_clock_step(void)
{
    struct path_fixture b;
    struct client *c;
    const fleet_instance earlier = {.id = (char *)"i-0",
                                    .started_ms =
                                        BENCH_UPSTREAM_STARTED_MS + 600,
                                    .state = BB_INSTANCE_DRAINING};

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    fixture_restart_gate(&b, 0);
    fixture_announce(&b, 0, false);
    bb_gate_restore(b.gates[0], &earlier);
    fixture_run(&b, CHECK_MS);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 500));
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a restarted gate that believes an announcement from before
 * an acknowledged drain, as the control hosts have not heard of the drain. */
static void
test_restarted_gate_of_leaving_upstream(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    fixture_restart_gate(&b, 0);
    b.upstreams[0].is_leaving = true;
    bb_gate_restore(b.gates[0], NULL);
    fixture_announce(&b, 0, false);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    fixture_run(&b, CHECK_MS);
    client_send(c, UNSAFE("a2") "\r\nhi");
    fixture_run(&b, 100);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 503"), 2);
    CU_ASSERT_EQUAL(count_requests(&b), 0);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_leaving(struct upstream *u, uint32_t number,
                const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){
        .text = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n" T_LEAVING
                ": 1\r\nContent-Length: 4\r\n\r\nbody"};
}

/* Guards against: requests to an upstream that said in a response that it
 * leaves, and one odd response that closes it for good. */
static void
test_leaving_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    b.upstreams[0].script = respond_leaving;
    b.upstreams[0].is_leaving = true;
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 500));
    fixture_announce(&b, 0, false); /* late, or it was an odd response */
    fixture_run(&b, CHECK_MS);
    client_send(c, UNSAFE("a2") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 500));
    b.upstreams[0].script = respond_ok;
    b.upstreams[0].is_leaving = false;
    fixture_announce(&b, 0, false);
    fixture_run(&b, CHECK_MS);
    client_send(c, UNSAFE("a3") "\r\nhi");
    fixture_run(&b, 50);
    CU_ASSERT_EQUAL(client_count(c, "body"), 2);
    CU_ASSERT_EQUAL(count_requests(&b), 2);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_limited(struct upstream *u, uint32_t number,
                const struct bb_http_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct scripted_response){
        .text = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n" T_LIMIT
                ": 2\r\nContent-Length: 4\r\n\r\nbody"};
}

/* Guards against: requests beyond the limit of an upstream while another one
 * is sound, and callers that are kept waiting once both are limited, or that
 * are not told when to come back. */
static void
test_limited_upstreams(void)
{
    struct path_fixture b;
    struct client *c;
    uint64_t start_us;

    fixture_open(&b);
    fixture_set_rules(&b, 400, 2);
    b.upstreams[0].script = respond_limited;
    c = client_open(&b);
    for (uint32_t i = 0; i < 40; i++) {
        client_send(c, SAFE("a1") "\r\n");
        fixture_run(&b, 20);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 40);
    CU_ASSERT_TRUE(b.upstreams[0].requests <= 4);
    b.upstreams[1].script = respond_limited;
    for (uint32_t i = 0; i < 20; i++) {
        client_send(c, SAFE("a2") "\r\n");
        fixture_run(&b, 20);
    }
    CU_ASSERT_TRUE(b.upstreams[0].requests + b.upstreams[1].requests <= 52);
    g_string_truncate(c->received, 0);
    start_us = bb_clock_now_us();
    client_send(c, SAFE("a3") "\r\n" SAFE("a4") "\r\n" SAFE("a5") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 503", 200));
    CU_ASSERT_TRUE(bb_clock_now_us() - start_us < 200 * BB_US_PER_MS);
    CU_ASSERT_PTR_NOT_NULL(strstr(c->received->str, "Retry-After: "));
    CU_ASSERT_PTR_NOT_NULL(strstr(c->received->str, "limit"));
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a limited upstream that gets no request for long, is slow to
 * answer the health check, and is then taken for unreachable. */
static void
test_slow_health_check(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 400, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    b.upstreams[0].script = respond_limited;
    b.upstreams[0].health_delay_ms = 2 * BB_UPSTREAM_CHECK_TIMEOUT_MS;
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    fixture_run(&b, BB_GATE_LIMIT_CHECK_MS + 100);
    fixture_announce(&b, 0, false);
    fixture_run(&b, BB_UPSTREAM_CHECK_TIMEOUT_MS + 100);
    CU_ASSERT_TRUE(b.upstreams[0].health_checks >= 2);
    client_send(c, SAFE("a2") "\r\n");
    fixture_run(&b, 100);
    CU_ASSERT_EQUAL(client_count(c, "body"), 2);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: an odd record of another node's gate that ends the process
 * or keeps requests from the other gates. */
static void
test_odd_gate_records(void)
{
    static const char *const addresses[] = {
        "127.0.0.1:99999", "", ":", "x:1", "127.0.0.1:-1", "1e999"};
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        const fleet_instance odd = {.gate_address = (char *)addresses[i],
                                    .zone = (char *)"",
                                    .region = (char *)"",
                                    .service = (char *)"s",
                                    .id = (char *)"",
                                    .state = i % 2 == 0 ? BB_INSTANCE_READY
                                                        : UINT32_MAX,
                                    .slots = UINT32_MAX,
                                    .warmup_ms = UINT32_MAX,
                                    .sequence = UINT64_MAX};

        bb_directory_update(b.directory, &odd, bb_clock_now_us());
    }
    c = client_open(&b);
    for (uint32_t i = 0; i < 6; i++) {
        client_send(c, UNSAFE("a1") "\r\nhi");
        fixture_run(&b, 20);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 6);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: requests that are lost on idle connections that the upstream
 * has dropped unnoticed. None that must not run twice may be lost, and of
 * idempotent ones at most one for each upstream. */
static void
test_dropped_connections(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    b.upstreams[0].idle_reset_ms = 120;
    b.upstreams[1].idle_reset_ms = 120;
    c = client_open(&b);
    for (uint32_t i = 0; i < 6; i++) {
        client_send(c, UNSAFE("a1") "\r\nhi");
        fixture_run(&b, 180);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 6);
    CU_ASSERT_EQUAL(b.upstreams[0].idle_resets + b.upstreams[1].idle_resets,
                    0);
    for (uint32_t i = 0; i < 10; i++) {
        client_send(c, SAFE("a1") "\r\n");
        fixture_run(&b, 180);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 16);
    CU_ASSERT_TRUE(b.upstreams[0].idle_resets <= 1);
    CU_ASSERT_TRUE(b.upstreams[1].idle_resets <= 1);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: a gate that admits requests for a draining upstream, from
 * entry nodes that do not know of it yet. */
static void
test_draining_gate(void)
{
    struct path_fixture b;
    struct client *c;
    struct bb_address entry;

    fixture_open(&b);
    entry = b.entry_address;
    /* Connects to the gate directly, as an entry node does. */
    b.entry_address = b.upstreams[0].address;
    b.entry_address.port++; /* the gate's port */
    c = client_open(&b);
    b.entry_address = entry;
    /* Service s, priority 1, class 1, target in 500 ms, wait without limit
     * (BB_GATE_WAIT_UNLIMITED_MS), no flags. */
    client_send(c, SAFE("a1") BB_GATE_HEADER_CALL
                ": s 1 1 500 1000000 -\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 500));
    fixture_announce(&b, 0, true);
    client_send(c, SAFE("a2") BB_GATE_HEADER_CALL
                ": s 1 1 500 1000000 -\r\n\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, BB_GATE_HEADER_REFUSED, 500));
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
respond_first_slower(struct upstream *u, uint32_t number,
                     const struct bb_http_head *h)
{
    (void)u;
    (void)h;
    return (struct scripted_response){.text = ok_response,
                                      .delay_ms = number == 1 ? 120 : 60};
}

/* Guards against: pipelined responses out of order, and pipelined requests
 * that are cut off because an earlier response closes the connection once
 * keep-alive is disabled. */
static void
test_pipeline(void)
{
    struct path_fixture b;
    struct client *c;
    const char *first;
    const char *second;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 1);
    fixture_set_scripts(&b, respond_first_slower);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n" SAFE("a2") "\r\n" SAFE("a3") "\r\n");
    fixture_run(&b, 30);
    bb_entry_disable_keep_alive(b.entry);
    fixture_run(&b, 400);
    CU_ASSERT_EQUAL(client_count(c, "body"), 3);
    first = strstr(c->received->str, "T-Id: a1");
    second = strstr(c->received->str, "T-Id: a2");
    CU_ASSERT_PTR_NOT_NULL(first);
    CU_ASSERT_TRUE(second > first);
    CU_ASSERT_EQUAL(client_count(c, "Connection: close"), 1);
    client_free(c);
    fixture_close(&b);
}

/* More than the entry queues for a response that waits for an earlier one. */
#define LONG_RESPONSE_BYTES 1000000

static struct scripted_response
respond_second_long(struct upstream *u, uint32_t number,
                    const struct bb_http_head *h)
{
    static char *text;

    (void)u;
    (void)number;
    if (strcmp(bb_http_head_get(h, T_ID), "a1") == 0) {
        return (struct scripted_response){.text = ok_response,
                                          .delay_ms = 300};
    }
    if (text == NULL) {
        char *body = g_strnfill(LONG_RESPONSE_BYTES - 3, 'b');

        text = g_strdup_printf("HTTP/1.1 200 OK\r\nT-Id: {id}\r\n"
                               "T-Seal: s\r\nContent-Length: %d\r\n\r\n"
                               "%send",
                               LONG_RESPONSE_BYTES, body);
        g_free(body);
    }
    return (struct scripted_response){.text = text};
}

/* Guards against: a long response that stops because it had to wait for an
 * earlier one of its connection. */
static void
test_long_pipelined_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 3000, 1);
    fixture_set_scripts(&b, respond_second_long);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n" SAFE("a2") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "bend", 2000));
    client_free(c);
    fixture_close(&b);
}

/* Longer than BB_RESPONSE_RELAY_FOLLOWED_BYTES, also without the last tenth.
 */
#define UNBUFFERED_RESPONSE_BYTES 1200000

/* Returns a head and the first bytes of a body that is too long to be buffered
 * until it is complete. The caller frees it. */
static char *
create_unbuffered_response(uint32_t sent_bytes)
{
    char *body = g_strnfill(sent_bytes, 'b');
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nT-Id: {id}\r\n"
                                 "T-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
                                 UNBUFFERED_RESPONSE_BYTES, body);

    g_free(body);
    return text;
}

/* Breaks off the response to "a2". */
static struct scripted_response
break_second_response(struct upstream *u, uint32_t number,
                      const struct bb_http_head *h)
{
    static char *complete;
    static char *broken;

    (void)u;
    (void)number;
    if (complete == NULL) {
        complete = create_unbuffered_response(UNBUFFERED_RESPONSE_BYTES);
        broken =
            create_unbuffered_response(UNBUFFERED_RESPONSE_BYTES / 10 * 9);
    }
    if (strcmp(bb_http_head_get(h, T_ID), "a2") == 0) {
        return (struct scripted_response){.text = broken,
                                          .action = ACTION_CLOSE};
    }
    return (struct scripted_response){.text = complete};
}

/* Guards against: requests that run, but get no response, as they were sent on
 * behind one whose response is too long to be replaced when it breaks off. */
static void
test_requests_behind_long_responses(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 1);
    fixture_set_scripts(&b, break_second_response);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    fixture_run(&b, 500);
    CU_ASSERT_TRUE(c->received->len > UNBUFFERED_RESPONSE_BYTES);
    client_send(c, SAFE("a1") "\r\n" SAFE("a2") "\r\n" SAFE("a3") "\r\n" SAFE(
                       "a4") "\r\n");
    fixture_run(&b, 1000);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 3);
    CU_ASSERT_EQUAL(count_requests(&b), 3);
    client_free(c);
    fixture_close(&b);
}

/* Longer than BB_RESPONSE_RELAY_BUFFER_BYTES. */
#define BROKEN_RESPONSE_BYTES 100000

/* Breaks off the response to "a1" after three quarters of its body, and
 * responds to others after 100 ms. */
static struct scripted_response
break_first_response(struct upstream *u, uint32_t number,
                     const struct bb_http_head *h)
{
    static char *text;

    (void)u;
    (void)number;
    if (strcmp(bb_http_head_get(h, T_ID), "a1") != 0) {
        return (struct scripted_response){.text = ok_response,
                                          .delay_ms = 100};
    }
    if (text == NULL) {
        char *body = g_strnfill(BROKEN_RESPONSE_BYTES * 3 / 4, 'b');

        text = g_strdup_printf("HTTP/1.1 200 OK\r\nT-Id: {id}\r\n"
                               "T-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
                               BROKEN_RESPONSE_BYTES, body);
        g_free(body);
    }
    return (struct scripted_response){.text = text, .action = ACTION_CLOSE};
}

/* Guards against: responses of sound upstreams that are dropped because one
 * before them on the connection breaks off. */
static void
test_broken_pipelined_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 1);
    fixture_set_scripts(&b, break_first_response);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n" SAFE("a2") "\r\n" SAFE("a3") "\r\n");
    fixture_run(&b, 400);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 502"), 1);
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 2);
    CU_ASSERT_FALSE(c->is_ended);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
break_later_response(struct upstream *u, uint32_t number,
                     const struct bb_http_head *h)
{
    struct scripted_response r = break_first_response(u, number, h);

    r.delay_ms = r.action == ACTION_CLOSE ? 200 : 0;
    return r;
}

/* Guards against: complete responses that a caller has received and not read,
 * and that a reset drops because the one behind them breaks off. */
static void
test_broken_last_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 1);
    fixture_set_scripts(&b, break_later_response);
    c = client_open(&b);
    client_send(c, SAFE("a2") "\r\n" SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_flag(&b, &c->is_ended, 500));
    CU_ASSERT_EQUAL(client_count(c, "HTTP/1.1 200"), 2);
    CU_ASSERT_EQUAL(c->end_status, 0);
    client_free(c);
    fixture_close(&b);
}

static struct scripted_response
stream_first_response(struct upstream *u, uint32_t number,
                      const struct bb_http_head *h)
{
    struct scripted_response r = break_first_response(u, number, h);

    r.action = ACTION_KEEP_OPEN;
    return r;
}

/* Guards against: a request that is passed on while the response before it is
 * being sent, and is dropped when that one breaks off. */
static void
test_request_behind_open_response(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 500, 1);
    fixture_set_scripts(&b, stream_first_response);
    c = client_open(&b);
    client_send(c, SAFE("a1") "\r\n");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "bbb", 300));
    client_send(c, SAFE("a2") "\r\n");
    fixture_run(&b, 800);
    CU_ASSERT_TRUE(c->is_ended);
    CU_ASSERT_EQUAL(count_requests(&b), 1);
    client_free(c);
    fixture_close(&b);
}

/* Guards against: queued requests that get no response, a queue that refuses
 * requests which it could serve in time, and refused ones that run. */
static void
test_queue(void)
{
    struct path_fixture b;
    struct client *clients[8];
    uint32_t served = 0;
    uint32_t refused = 0;

    fixture_open(&b);
    fixture_set_rules(&b, 400, 1);
    fixture_set_scripts(&b, respond_first_slower);
    for (uint32_t i = 0; i < 8; i++) {
        clients[i] = client_open(&b);
        client_send(clients[i], UNSAFE("a1") "\r\nhi");
    }
    fixture_run(&b, 800);
    for (uint32_t i = 0; i < 8; i++) {
        served += client_count(clients[i], "body");
        refused += client_count(clients[i], "HTTP/1.1 503");
        client_free(clients[i]);
    }
    CU_ASSERT_EQUAL(served + refused, 8);
    CU_ASSERT_TRUE(served >= 4);
    CU_ASSERT_EQUAL(count_requests(&b), served);
    fixture_close(&b);
}

/* Longer than BB_HTTP_SERVER_BODY_BUFFER_BYTES, so that the body is streamed.
 */
#define LONG_BODY_BYTES 600000

/* Guards against: a request body longer than the buffer that arrives changed.
 */
static void
test_long_body(void)
{
    struct path_fixture b;
    struct client *c;
    GString *request = g_string_new(
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nT-Id: a1\r\n"
        "Content-Length: " G_STRINGIFY(LONG_BODY_BYTES) "\r\n\r\n");
    const struct upstream *u;

    for (uint32_t i = 0; i < LONG_BODY_BYTES; i++) {
        g_string_append_c(request, (gchar)('a' + i % 23));
    }
    fixture_open(&b);
    fixture_set_rules(&b, 3000, 2);
    c = client_open(&b);
    client_send(c, request->str);
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "body", 3000));
    u = b.upstreams[0].requests != 0 ? &b.upstreams[0] : &b.upstreams[1];
    CU_ASSERT_EQUAL(u->last_body->len, LONG_BODY_BYTES);
    CU_ASSERT_EQUAL(
        strcmp(u->last_body->str, strstr(request->str, "\r\n\r\n") + 4), 0);
    client_free(c);
    g_string_free(request, TRUE);
    fixture_close(&b);
}

/* Blocks the loop once a request is in progress. */
struct stall {
    uv_check_t check;
    const struct path_fixture *fixture;
    uint32_t ms;
};

static void
on_stall_check(uv_check_t *check)
{
    struct stall *stall = check->data;

    if (stall->ms > 0 &&
        bb_entry_count_open(stall->fixture->entry).running > 0) {
        g_usleep((gulong)stall->ms * 1000);
        stall->ms = 0;
    }
}

/* Guards against: a gate taken for unreachable because the loop is late and
 * has not seen that the connection is established. */
static void
test_late_loop_while_connecting(void)
{
    struct path_fixture b;
    struct stall stall = {.fixture = &b,
                          .ms = BB_ENTRY_CONNECT_TIMEOUT_MS + 100};
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 5000, 2);
    fixture_announce(&b, 1, true); /* leaves only the first gate */
    (void)uv_check_init(&b.loop, &stall.check);
    stall.check.data = &stall;
    (void)uv_check_start(&stall.check, on_stall_check);
    c = client_open(&b);
    client_send(c, UNSAFE("a1") "\r\nhi");
    CU_ASSERT_TRUE(fixture_wait_text(&b, c, "HTTP/1.1 ", 3000));
    CU_ASSERT_EQUAL(client_count(c, "body"), 1);
    CU_ASSERT_EQUAL(stall.ms, 0);
    client_free(c);
    uv_close((uv_handle_t *)&stall.check, NULL);
    fixture_close(&b);
}

/* Guards against: requests that fail because one upstream does not accept
 * connections. */
static void
test_upstream_unreachable(void)
{
    struct path_fixture b;
    struct client *c;

    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    bb_listener_destroy(b.upstreams[0].listener);
    b.upstreams[0].listener = NULL;
    fixture_run(&b, 10);
    c = client_open(&b);
    for (uint32_t i = 0; i < 6; i++) {
        client_send(c, UNSAFE("a1") "\r\nhi");
        fixture_run(&b, 40);
    }
    CU_ASSERT_EQUAL(client_count(c, "body"), 6);
    client_free(c);
    fixture_close(&b);
}

static const struct bb_unit_test tests[] = {
    {"forwarding", test_forwarding},
    {"ignored upgrade", test_ignored_upgrade},
    {"without rules", test_without_rules},
    {"request before the rules", test_request_before_rules},
    {"upload before the rules", test_upload_before_rules},
    {"smuggled and malformed requests", test_malformed_requests},
    {"response that is reset", test_reset_response},
    {"response without a length", test_unframed_response},
    {"responses to other requests", test_foreign_responses},
    {"response without a seal", test_unsealed_response},
    {"lost response", test_lost_response},
    {"not run", test_not_run},
    {"stale refusal", test_stale_refusal},
    {"caller disconnects", test_caller_disconnects},
    {"caller disconnects behind many requests",
     test_pipelining_caller_disconnects},
    {"caller gone before a late loop", test_caller_gone_before_late_loop},
    {"caller disconnects during a queued upload",
     test_uploading_caller_disconnects},
    {"timeout of the route", test_timeout},
    {"draining", test_draining},
    {"draining gate", test_draining_gate},
    {"dropped connections", test_dropped_connections},
    {"nested requests", test_nested_requests},
    {"nested after parent's deadline", test_nested_after_parent_deadline},
    {"nested time is no work", test_nested_time_is_no_work},
    {"work in the load field", test_work_in_load_field},
    {"short deadlines", test_short_deadlines},
    {"raised limits", test_raised_limits},
    {"restarted gate", test_restarted_gate},
    {"restarted gate after a clock step",
     test_restarted_gate_after_clock_step},
    {"restarted gate of a leaving upstream",
     test_restarted_gate_of_leaving_upstream},
    {"leaving response", test_leaving_response},
    {"limited upstreams", test_limited_upstreams},
    {"slow health check", test_slow_health_check},
    {"odd gate records", test_odd_gate_records},
    {"pipelined requests", test_pipeline},
    {"long pipelined response", test_long_pipelined_response},
    {"requests behind long responses", test_requests_behind_long_responses},
    {"broken pipelined response", test_broken_pipelined_response},
    {"broken last response", test_broken_last_response},
    {"request behind an open response", test_request_behind_open_response},
    {"queue", test_queue},
    {"long body", test_long_body},
    {"late loop while connecting", test_late_loop_while_connecting},
    {"unreachable upstream", test_upstream_unreachable},
};

BB_UNIT_MAIN("path", tests)
