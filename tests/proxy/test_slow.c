/* A gatekeeper with a slow upstream refuses the requests that can be retried
 * elsewhere, and no others. */
#include <glib.h>
#include <string.h>

#include "common/counters.h"
#include "fixture.h"

enum {
    SLOTS = 4,
    BASELINE_CALLS = 60,
    SLOW_CALLS = 2,
    CALLS = 16,
    SLOW_US = 2 * BB_US_PER_S,
    SLOW_PROBE_INTERVAL_US = 300 * BB_US_PER_MS /* as in decide/admission.c */
};

static const struct bb_behaviour_values quick = {.slots = SLOTS,
                                                 .connections = 64,
                                                 .service_us = 2000,
                                                 .load_percent = 100,
                                                 .cold_factor = 1,
                                                 .slow_factor = 1,
                                                 .long_factor = 1};

static struct test_upstream upstreams[2];
static struct test_node gatekeepers[2];
static struct test_node entry;

static void
start(void)
{
    static const char *const hosts[] = {"gatekeeper-0", "gatekeeper-1"};
    static const char *const names[] = {"up-0", "up-1"};
    /* Nothing listens there. */
    struct bb_address no_rpc = {.ip = "127.0.0.1", .port = 1};

    start_node(&entry, "entry", (struct bb_proxy_settings){0});
    /* Allows one of the two gatekeepers to be ejected. */
    entry.config.limits.max_ejected_percent = 50;
    for (int i = 0; i < 2; i++) {
        start_upstream(&upstreams[i], &quick);
        upstreams[i].upstream.host = names[i];
        start_node(&gatekeepers[i], hosts[i], (struct bb_proxy_settings){0});
        announce_upstream(&gatekeepers[i],
                          &upstreams[i].upstream.listen_address,
                          BB_UPSTREAM_READY, SLOTS);
        add_member(&entry, hosts[i], "z1",
                   bb_proxy_caller_address(gatekeepers[i].proxy), no_rpc);
    }
    apply_table(&entry);
}

static void
stop(void)
{
    stop_node(&entry);
    for (int i = 0; i < 2; i++) {
        stop_node(&gatekeepers[i]);
        stop_upstream(&upstreams[i]);
    }
}

static uint64_t
slow_refusals(void)
{
    const struct bb_counter *c = bb_counter_find(
        "baobab_refusals_total", "reason=\"upstream_slow\",ran=\"no\"");

    CU_ASSERT_PTR_NOT_NULL_FATAL(c);
    return bb_counter_get(c);
}

/* Sends a request to the first gatekeeper, like an entry node. */
static struct test_response *
forward(const char *extra_fields)
{
    static atomic_uint number;
    char *text = g_strdup_printf(
        "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "Baobab-Forwarded: s\r\nBaobab-Depth: 0\r\nBaobab-Class: short\r\n"
        "Baobab-Deadline-Ms: 5000\r\nBaobab-Request-Id: %032x\r\n%s\r\n",
        atomic_fetch_add(&number, 1) + 1, extra_fields);
    struct test_response *r =
        send_request(bb_proxy_caller_address(gatekeepers[0].proxy), text);

    g_free(text);
    return r;
}

static void *
run_forward(void *argument)
{
    struct test_response *r = forward("");

    (void)argument;
    CU_ASSERT_EQUAL(r->status, 200);
    g_free(r);
    return NULL;
}

/* Sends enough calls for the first gatekeeper to learn the normal duration,
 * then occupies half of its slots with much slower calls. */
static void
start_slow_calls(pthread_t threads[SLOW_CALLS])
{
    json_t *slow = json_pack("{s:i}", "service_us", SLOW_US);
    struct bb_error e = {0};

    for (int i = 0; i < BASELINE_CALLS; i++) {
        (void)run_forward(NULL);
    }
    CU_ASSERT_TRUE(
        bb_behaviour_apply(&upstreams[0].upstream.behaviour, slow, &e));
    for (int i = 0; i < SLOW_CALLS; i++) {
        CU_ASSERT_EQUAL_FATAL(
            pthread_create(&threads[i], NULL, run_forward, NULL), 0);
    }
    bb_clock_sleep_us(SLOW_US / 2);
    json_decref(slow);
}

/* Guards against requests that wait at a slow upstream although they can be
 * retried elsewhere, and against refusing those that cannot. */
static void
test_only_retryable_requests_are_refused(void)
{
    pthread_t threads[SLOW_CALLS];
    struct test_response *r;

    start();
    start_slow_calls(threads);
    /* Baobab-Elsewhere: the entry node can retry at another gatekeeper. */
    r = forward("Baobab-Elsewhere: 1\r\n");
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: upstream_slow"));
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: no"));
    g_free(r);
    (void)run_forward(NULL);
    for (int i = 0; i < SLOW_CALLS; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    stop();
}

/* Guards against an entry node that returns the refusal to its caller, or that
 * keeps sending requests to the slow gatekeeper. */
static void
test_entry_retries_elsewhere(void)
{
    uint64_t before = slow_refusals();
    uint64_t slow_responses = 0;
    uint64_t start_us;
    uint64_t slow_probes;
    pthread_t threads[SLOW_CALLS];

    start();
    start_slow_calls(threads);
    start_us = bb_clock_now_us();
    for (int i = 0; i < CALLS; i++) {
        struct test_response *r = send_request(
            bb_proxy_caller_address(entry.proxy),
            "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");

        CU_ASSERT_EQUAL(r->status, 200);
        slow_responses += contains(r, "X-Upstream-Host: up-0");
        g_free(r);
    }
    /* On a slow machine the gatekeeper is probed again, once per interval. */
    slow_probes = (bb_clock_now_us() - start_us) / SLOW_PROBE_INTERVAL_US;
    CU_ASSERT_TRUE(slow_refusals() > before);
    CU_ASSERT_TRUE(slow_refusals() <= before + 1 + slow_probes);
    CU_ASSERT_TRUE(slow_responses <= slow_probes);
    for (int i = 0; i < SLOW_CALLS; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    stop();
}

static const struct bb_unit_test tests[] = {
    {"only retryable requests are refused",
     test_only_retryable_requests_are_refused},
    {"the entry node retries elsewhere", test_entry_retries_elsewhere},
};

BB_UNIT_MAIN("slow", tests)
