/* Requests through one and two nodes: complete responses, streaming with
 * bounded memory, broken responses that the caller can detect, and correct
 * refusals. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fixture.h"

enum {
    LARGE_BYTES = 64 * 1024 * 1024,
    BLOCK_BYTES = 64 * 1024,
    MEMORY_GROWTH_MAX_BYTES = 24 * 1024 * 1024,
    SLOTS = 4,
    /* Bounds for the response to a request with a deadline of 150 ms. */
    EARLIEST_RESPONSE_US = 100 * BB_US_PER_MS,
    LATEST_RESPONSE_US = 600 * BB_US_PER_MS
};

/* Of the body "hello". */
static const char hello_digest[] = "\"digest\":\"26c7827d889f6da3\"";

static const struct bb_behaviour_values quick = {.slots = SLOTS,
                                                 .connections = 64,
                                                 .service_us = 1000,
                                                 .load_percent = 100,
                                                 .cold_factor = 1,
                                                 .slow_factor = 1,
                                                 .long_factor = 1};

static struct test_upstream upstream;
static struct test_node gatekeeper; /* has the upstream */
static struct test_node entry;      /* has no upstream */
static struct bb_rpc_server *server;
static struct bb_rpc_pool *pool;

static void
start(struct bb_proxy_settings s)
{
    struct bb_error e = {0};
    struct bb_address any = {.ip = "127.0.0.1"};
    struct bb_address rpc = any;

    start_upstream(&upstream, &quick);
    start_node(&gatekeeper, "gatekeeper", s);
    pool = bb_rpc_pool_create();
    server = bb_rpc_server_create(&any, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    CU_ASSERT_TRUE(bb_proxy_register_rpc(gatekeeper.proxy, server, &e));
    CU_ASSERT_TRUE(bb_rpc_server_start(server, &e));
    rpc.port = bb_rpc_server_get_port(server);
    s.rpc = pool;
    start_node(&entry, "entry", s);
    announce_upstream(&gatekeeper, &upstream.upstream.listen_address,
                      BB_UPSTREAM_READY, SLOTS);
    add_member(&entry, "gatekeeper", "z2",
               bb_proxy_caller_address(gatekeeper.proxy), rpc);
    add_member(&gatekeeper, "gatekeeper", "z2",
               bb_proxy_caller_address(gatekeeper.proxy), rpc);
    apply_table(&entry);
    apply_table(&gatekeeper);
}

static void
stop(void)
{
    stop_node(&entry);
    stop_node(&gatekeeper);
    bb_rpc_server_destroy(server);
    bb_rpc_pool_destroy(pool);
    stop_upstream(&upstream);
}

static struct test_response *
get(const char *headers)
{
    char *request = g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\n"
                                    "Connection: close\r\n%s\r\n",
                                    headers);
    struct test_response *r =
        send_request(bb_proxy_caller_address(entry.proxy), request);

    g_free(request);
    return r;
}

/* Guards against responses that are lost or swapped, and against internal
 * header fields that reach a caller. */
static void
test_small_requests_pass(void)
{
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    r = get("X-Call-Id: one\r\n");
    CU_ASSERT_EQUAL(r->status, 200);
    CU_ASSERT_TRUE(r->is_complete);
    CU_ASSERT_TRUE(contains(r, "\"id\":\"one\""));
    CU_ASSERT_TRUE(contains(r, "Baobab-Request-Id: "));
    CU_ASSERT_FALSE(contains(r, "Baobab-Load"));
    CU_ASSERT_FALSE(contains(r, "Baobab-Incarnation"));
    g_free(r);
    r = send_request(bb_proxy_caller_address(entry.proxy),
                     "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "X-Call-Id: two\r\nContent-Length: 5\r\n\r\nhello");
    CU_ASSERT_EQUAL(r->status, 200);
    CU_ASSERT_TRUE(contains(r, hello_digest));
    g_free(r);
    r = send_request(bb_proxy_caller_address(entry.proxy),
                     "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "X-Call-Id: three\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    CU_ASSERT_EQUAL(r->status, 200);
    CU_ASSERT_TRUE(contains(r, hello_digest));
    g_free(r);
    stop();
}

/* Guards against bodies that are buffered completely. */
static void
test_large_bodies_use_bounded_memory(void)
{
    static char block[BLOCK_BYTES];
    struct test_response *r = g_new0(struct test_response, 1);
    uint64_t before;
    uint64_t received = 0;
    ssize_t n;
    int fd;

    start((struct bb_proxy_settings){0});
    /* The baseline is measured after a first request. */
    g_free(get(""));
    before = resident_bytes();
    fd = connect_to_address(bb_proxy_caller_address(entry.proxy));
    send_text(fd, "PUT /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "Content-Length: 67108864\r\n\r\n"); /* LARGE_BYTES */
    for (int i = 0; i < LARGE_BYTES / BLOCK_BYTES; i++) {
        memset(block, 'a' + i % 26, sizeof(block));
        for (size_t sent = 0; sent < sizeof(block);) {
            n = send(fd, block + sent, sizeof(block) - sent, MSG_NOSIGNAL);
            CU_ASSERT_TRUE_FATAL(n > 0);
            sent += (size_t)n;
        }
    }
    read_response(fd, r, RESPONSE_TIMEOUT_MS);
    CU_ASSERT_EQUAL(r->status, 200);
    CU_ASSERT_TRUE(contains(r, "\"bytes\":67108864")); /* LARGE_BYTES */
    (void)close(fd);
    fd = connect_to_address(bb_proxy_caller_address(entry.proxy));
    send_text(fd, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "X-Answer-Bytes: 67108864\r\n\r\n"); /* LARGE_BYTES */
    while ((n = recv(fd, block, sizeof(block), 0)) > 0) {
        received += (uint64_t)n;
    }
    CU_ASSERT_TRUE(received > LARGE_BYTES);
    (void)close(fd);
    /* Both nodes and the upstream share this process. */
    CU_ASSERT_TRUE(resident_bytes() < before + MEMORY_GROWTH_MAX_BYTES);
    g_free(r);
    stop();
}

/* Guards against a truncated response that looks complete to the caller. */
static void
test_truncated_responses_are_detected(void)
{
    struct bb_error e = {0};
    json_t *cut = json_pack("{s:i}", "truncate_permille", 1000);
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    CU_ASSERT_TRUE(bb_behaviour_apply(&upstream.upstream.behaviour, cut, &e));
    r = get("X-Answer-Bytes: 40000\r\n");
    CU_ASSERT_FALSE(r->is_complete && r->status == 200);
    g_free(r);
    r = get("X-Answer-Bytes: 1000\r\n");
    CU_ASSERT_FALSE(r->is_complete && r->status == 200);
    g_free(r);
    json_decref(cut);
    stop();
}

/* Guards against an idle peer that keeps threads and slots occupied. */
static void
test_idle_peers_are_disconnected(void)
{
    struct test_response *r = g_new0(struct test_response, 1);
    char byte;
    uint64_t start_us;
    int sender;
    int reader;

    start((struct bb_proxy_settings){.idle_timeout_ms = 1000});
    start_us = bb_clock_now_us();
    sender = connect_to_address(bb_proxy_caller_address(entry.proxy));
    send_text(sender, "PUT /a HTTP/1.1\r\nHost: h\r\n"
                      "Content-Length: 1000000\r\n\r\nabc");
    reader = connect_to_address(bb_proxy_caller_address(entry.proxy));
    send_text(reader, "GET /a HTTP/1.1\r\nHost: h\r\n"
                      "X-Answer-Bytes: 67108864\r\n\r\n"); /* LARGE_BYTES */
    read_response(sender, r, 6000);
    CU_ASSERT_NOT_EQUAL(r->status, 200);
    CU_ASSERT_TRUE(bb_clock_now_us() - start_us < 4 * (uint64_t)BB_US_PER_S);
    for (int i = 0; i < 60 && bb_proxy_in_flight(entry.proxy) > 0; i++) {
        bb_clock_sleep_us(100 * BB_US_PER_MS);
    }
    CU_ASSERT_EQUAL(bb_proxy_in_flight(entry.proxy), 0);
    CU_ASSERT_EQUAL(recv(sender, &byte, 1, MSG_DONTWAIT), 0);
    (void)close(sender);
    (void)close(reader);
    g_free(r);
    stop();
}

/* Guards against request smuggling: requests that two parsers delimit
 * differently. */
static void
test_smuggling_is_refused(void)
{
    static const char *const attempts[] = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: 3, 3\r\n\r\nabc",
        "Content-Length: 0x3\r\n\r\nabc",
        "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "X Bad: 1\r\n\r\n",
        "X-Bad: a\x01z\r\n\r\n",
    };

    start((struct bb_proxy_settings){0});
    for (size_t i = 0; i < G_N_ELEMENTS(attempts); i++) {
        char *request =
            g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\n%s"
                            "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
                            attempts[i]);
        struct test_response *r =
            send_request(bb_proxy_caller_address(entry.proxy), request);

        CU_ASSERT_TRUE(r->status == 400 || r->status == 0);
        CU_ASSERT_FALSE(contains(r, "HTTP/1.1 200"));
        if (contains(r, "HTTP/1.1 200")) {
            (void)printf("attempt %zu: %s\n", i, r->text);
        }
        g_free(r);
        g_free(request);
    }
    stop();
}

/* Guards against forwarding fields that Connection lists, and against internal
 * fields set by a caller. */
static void
test_hop_by_hop_fields_are_not_forwarded(void)
{
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    /* If X-Work-Us were forwarded, the request would exceed its deadline. */
    r = send_request(
        bb_proxy_caller_address(entry.proxy),
        "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-Work-Us\r\n"
        "X-Work-Us: 60000000\r\nBaobab-Refused: forged\r\n\r\n");
    CU_ASSERT_EQUAL(r->status, 200);
    g_free(r);
    stop();
}

/* Guards against deadlines that are rounded to whole seconds. */
static void
test_deadline_is_kept_in_milliseconds(void)
{
    uint64_t start_us;
    uint64_t took_us;
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    start_us = bb_clock_now_us();
    r = get("X-Work-Us: 3000000\r\nBaobab-Deadline-Ms: 150\r\n");
    took_us = bb_clock_now_us() - start_us;
    CU_ASSERT_EQUAL(r->status, 504);
    CU_ASSERT_TRUE(took_us >= EARLIEST_RESPONSE_US);
    CU_ASSERT_TRUE(took_us < LATEST_RESPONSE_US);
    g_free(r);
    stop();
}

/* Guards against a hung upstream that blocks the caller past the deadline. */
static void
test_request_to_silent_upstream_ends_at_deadline(void)
{
    struct bb_address silent;
    int listener = open_listener(&silent);
    uint64_t start_us;
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    announce_upstream(&gatekeeper, &silent, BB_UPSTREAM_READY, SLOTS);
    start_us = bb_clock_now_us();
    r = send_request(bb_proxy_caller_address(entry.proxy),
                     "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "Baobab-Deadline-Ms: 300\r\nContent-Length: 1\r\n\r\nx");
    CU_ASSERT_EQUAL(r->status, 504);
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: unknown"));
    CU_ASSERT_TRUE(bb_clock_now_us() - start_us < 1500 * BB_US_PER_MS);
    g_free(r);
    (void)close(listener);
    stop();
}

/* Guards against a request that is lost or runs twice because the connection
 * to its gatekeeper goes silent. */
static void
test_gatekeeper_is_queried_after_silence(void)
{
    struct bb_address silent;
    int listener = open_listener(&silent);
    GString *history = g_string_new(NULL);
    struct test_response *r;

    start((struct bb_proxy_settings){.check_interval_ms = 100});
    /* In the entry node's zone, so it is picked first; its RPC address is that
     * of the gatekeeper. */
    add_member(&entry, "silent", "z1", silent, entry.members[0].rpc_address);
    apply_table(&entry);
    r = send_request(bb_proxy_caller_address(entry.proxy),
                     "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "X-Call-Id: q\r\nContent-Length: 1\r\n\r\nx");
    /* The RPC query reaches the real gatekeeper, which records the unknown id
     * as refused. The request must then not run anywhere. */
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: no"));
    bb_runs_write_history(upstream.upstream.runs, history);
    CU_ASSERT_PTR_NOT_NULL(strstr(history->str, "\"runs\":0,"));
    (void)g_string_free(history, TRUE);
    g_free(r);
    r = get("X-Call-Id: r\r\n");
    CU_ASSERT_EQUAL(r->status, 200);
    g_free(r);
    (void)close(listener);
    stop();
}

struct caller {
    pthread_t thread;
    const char *request;
    struct test_response *response;
};

static void *
run_caller(void *argument)
{
    struct caller *c = argument;

    c->response =
        send_request(bb_proxy_caller_address(entry.proxy), c->request);
    return NULL;
}

/* Starts callers that each send the request once. The test joins their threads
 * and frees the responses. */
static void
start_callers(struct caller *callers, size_t count, const char *request)
{
    for (size_t i = 0; i < count; i++) {
        callers[i].request = request;
        CU_ASSERT_EQUAL_FATAL(
            pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]),
            0);
    }
}

/* Guards against sending the upstream more requests than it has slots, and
 * against refusals while the queue has space. */
static void
test_queue_respects_the_slots(void)
{
    struct caller callers[3 * SLOTS] = {0};
    uint32_t busy = 0;
    uint32_t waiting = 0;
    uint32_t busiest = 0;

    start((struct bb_proxy_settings){0});
    start_callers(callers, G_N_ELEMENTS(callers),
                  "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "X-Work-Us: 50000\r\n\r\n");
    for (int i = 0; i < 20; i++) {
        bb_runs_get_reported_load(upstream.upstream.runs, &busy, &waiting);
        busiest = MAX(busiest, busy + waiting);
        bb_clock_sleep_us(5 * BB_US_PER_MS);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        (void)pthread_join(callers[i].thread, NULL);
        CU_ASSERT_EQUAL(callers[i].response->status, 200);
        g_free(callers[i].response);
    }
    CU_ASSERT_EQUAL(busiest, SLOTS);
    stop();
}

/* Guards against a shutdown that aborts requests in flight or accepts new
 * ones. */
static void
test_drain_aborts_nothing(void)
{
    struct caller callers[SLOTS] = {0};
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    entry.route.retry_limit = 0; /* so that the refusal is not retried */
    apply_table(&entry);
    start_callers(callers, G_N_ELEMENTS(callers),
                  "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "X-Work-Us: 2000000\r\n\r\n");
    while (bb_runs_active_count(upstream.upstream.runs) < SLOTS) {
        bb_clock_sleep_us(5 * BB_US_PER_MS);
    }
    CU_ASSERT_FALSE(bb_proxy_drain(gatekeeper.proxy, 10));
    r = get("");
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: shutting_down"));
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: no"));
    g_free(r);
    CU_ASSERT_TRUE(bb_proxy_drain(entry.proxy, 8000));
    CU_ASSERT_TRUE(bb_proxy_drain(gatekeeper.proxy, 8000));
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        (void)pthread_join(callers[i].thread, NULL);
        CU_ASSERT_EQUAL(callers[i].response->status, 200);
        CU_ASSERT_TRUE(callers[i].response->is_complete);
        g_free(callers[i].response);
    }
    stop();
}

/* Guards against a second run of a request that is sent again with the same
 * Idempotency-Key, including when there is no roster or the entry node reaches
 * only one of two witnesses. */
static void
test_keyed_request_runs_once(void)
{
    static const char request[] =
        "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "Idempotency-Key: k1\r\nX-Call-Id: same\r\n"
        "Content-Length: 1\r\n\r\nx";
    struct test_response *first;
    struct test_response *second;
    GString *history = g_string_new(NULL);
    struct test_node other;

    start((struct bb_proxy_settings){0});
    /* Without a roster no witness can prevent a second run, so the request is
     * refused. */
    first = send_request(bb_proxy_caller_address(entry.proxy), request);
    CU_ASSERT_TRUE(contains(first, "Baobab-Refused: key_owner_unavailable"));
    CU_ASSERT_TRUE(contains(first, "Baobab-Ran: no"));
    g_free(first);
    apply_roster(&gatekeeper);
    apply_roster(&entry);
    first = send_request(bb_proxy_caller_address(entry.proxy), request);
    second = send_request(bb_proxy_caller_address(entry.proxy), request);
    CU_ASSERT_EQUAL(first->status, 200);
    CU_ASSERT_EQUAL(second->status, 200);
    CU_ASSERT_TRUE(contains(second, "\"id\":\"same\""));
    g_free(second);
    /* Another entry node reaches only one of the two witnesses, so it cannot
     * claim the key. */
    start_node(&other, "other", (struct bb_proxy_settings){.rpc = pool});
    memcpy(other.members, entry.members, sizeof(other.members));
    other.member_count = entry.member_count;
    apply_table(&other);
    apply_roster(&other);
    second = send_request(bb_proxy_caller_address(other.proxy), request);
    CU_ASSERT_TRUE(contains(second, "Baobab-Refused: key_owner_unavailable"));
    bb_runs_write_history(upstream.upstream.runs, history);
    CU_ASSERT_PTR_NOT_NULL(strstr(history->str, "\"runs\":1,"));
    (void)g_string_free(history, TRUE);
    g_free(first);
    g_free(second);
    stop_node(&other);
    stop();
}

/* Guards against passing an upstream's own refusal on as a response. */
static void
test_shedding_is_a_refusal(void)
{
    struct bb_error e = {0};
    json_t *shed = json_pack("{s:b}", "shedding", 1);
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    entry.route.retry_limit = 0; /* so that the refusal is not retried */
    apply_table(&entry);
    CU_ASSERT_TRUE(bb_behaviour_apply(&upstream.upstream.behaviour, shed, &e));
    r = get("");
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: upstream_shedding"));
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: no"));
    g_free(r);
    json_decref(shed);
    stop();
}

/* Guards against refusals without the correct reason. */
static void
test_refusals_carry_their_reason(void)
{
    struct test_response *r;

    start((struct bb_proxy_settings){0});
    entry.route.retry_limit = 0; /* so that the refusal is not retried */
    apply_table(&entry);
    announce_upstream(&gatekeeper, &upstream.upstream.listen_address,
                      BB_UPSTREAM_DRAINING, SLOTS);
    r = get("");
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: upstream_draining"));
    g_free(r);
    r = get("Baobab-Depth: 16\r\n");
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: depth_limit"));
    g_free(r);
    (void)g_strlcpy(entry.route.path_prefix, "/b", BB_PATH_BYTES);
    apply_table(&entry);
    r = get("");
    CU_ASSERT_EQUAL(r->status, 404);
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: no_route"));
    g_free(r);
    stop();
}

static const struct bb_unit_test tests[] = {
    {"small requests pass", test_small_requests_pass},
    {"large bodies use bounded memory", test_large_bodies_use_bounded_memory},
    {"truncated responses are detected",
     test_truncated_responses_are_detected},
    {"idle peers are disconnected", test_idle_peers_are_disconnected},
    {"smuggling is refused", test_smuggling_is_refused},
    {"hop-by-hop fields are not forwarded",
     test_hop_by_hop_fields_are_not_forwarded},
    {"deadline is kept in milliseconds",
     test_deadline_is_kept_in_milliseconds},
    {"a request to a silent upstream ends at the deadline",
     test_request_to_silent_upstream_ends_at_deadline},
    {"the gatekeeper is queried after silence",
     test_gatekeeper_is_queried_after_silence},
    {"queue respects the slots", test_queue_respects_the_slots},
    {"drain aborts nothing", test_drain_aborts_nothing},
    {"a keyed request runs once", test_keyed_request_runs_once},
    {"shedding is a refusal", test_shedding_is_a_refusal},
    {"refusals carry their reason", test_refusals_carry_their_reason},
};

BB_UNIT_MAIN("exchange", tests)
