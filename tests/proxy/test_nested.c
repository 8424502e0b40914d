/* Nested calls through 14 services with few workers and slots: they must not
 * deadlock under full load. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fixture.h"

enum {
    SERVICES = 14,
    CALLERS = 24,
    CALLS_EACH = 6,
    DEADLINE_MS = 15000, /* only reached by deadlocked calls */
    RUN_MAX_US = 20 * BB_US_PER_S,
    SLOTS = 3
};

static const struct bb_behaviour_values quick = {.slots = SLOTS,
                                                 .connections = 64,
                                                 .service_us = 500,
                                                 .load_percent = 100,
                                                 .cold_factor = 1,
                                                 .slow_factor = 1,
                                                 .long_factor = 1};

static struct test_upstream upstreams[SERVICES];
static struct test_node nodes[SERVICES];
static struct bb_service services[SERVICES];
static struct bb_route routes[SERVICES];
static struct bb_member members[SERVICES];
static char hosts[SERVICES][BB_NAME_BYTES];
static atomic_uint completed_count;
static atomic_uint refused_count;
static atomic_uint other_count;

static void
init_service(int i)
{
    struct bb_member *m = &members[i];

    services[i] = (struct bb_service){.team = BB_INDEX_NONE,
                                      .queue_length = 64,
                                      .long_work_percent = 100,
                                      .retention_s = 600};
    (void)g_snprintf(services[i].name, BB_NAME_BYTES, "s%d", i);
    routes[i] = (struct bb_route){.methods = BB_METHOD_ANY,
                                  .service = (uint16_t)i,
                                  .timeout_ms = DEADLINE_MS,
                                  .retry_limit = 1};
    (void)g_snprintf(routes[i].path_prefix, BB_PATH_BYTES, "/s%d", i);
    (void)g_snprintf(hosts[i], BB_NAME_BYTES, "h%d", i);
    (void)g_strlcpy(m->host, hosts[i], BB_NAME_BYTES);
    (void)g_strlcpy(m->zone, "z1", BB_NAME_BYTES);
    (void)g_strlcpy(m->region, "r", BB_NAME_BYTES);
    (void)g_strlcpy(m->service, services[i].name, BB_NAME_BYTES);
    m->http_address = bb_proxy_caller_address(nodes[i].proxy);
    m->upstream_state = BB_UPSTREAM_READY;
    m->slots = SLOTS;
    m->is_reachable = true;
}

static void
start_all(void)
{
    const struct bb_proxy_settings settings = {
        .workers = {
            .depth_zero_max = 4, .extra_per_depth = 2, .detached_max = 8}};
    const struct bb_config config = {.revision = 1,
                                     .limits = {.max_depth = 16,
                                                .retry_budget_percent = 20,
                                                .hedge_budget_percent = 5,
                                                .max_ejected_percent = 34},
                                     .services = services,
                                     .service_count = SERVICES,
                                     .routes = routes,
                                     .route_count = SERVICES};

    for (int i = 0; i < SERVICES; i++) {
        char name[BB_NAME_BYTES];

        (void)g_snprintf(name, sizeof(name), "h%d", i);
        start_upstream(&upstreams[i], &quick);
        start_node(&nodes[i], name, settings);
        init_service(i);
        /* The nested calls of service i enter at the node beside it. */
        upstreams[i].upstream.node_address = members[i].http_address;
        announce_service(&nodes[i], services[i].name,
                         &upstreams[i].upstream.listen_address,
                         BB_UPSTREAM_READY, SLOTS);
    }
    for (int i = 0; i < SERVICES; i++) {
        const struct bb_node_location location = {hosts[i], "z1", "r"};

        bb_proxy_set_table(
            nodes[i].proxy,
            bb_table_build(&config, members, SERVICES, &location));
    }
}

static void *
run_calls(void *argument)
{
    (void)argument;
    for (int i = 0; i < CALLS_EACH; i++) {
        GString *request =
            g_string_new("GET /s0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                         "X-Call-Path: ");
        struct test_response *r;

        for (int s = 1; s < SERVICES; s++) {
            g_string_append_printf(request, "/s%d%s", s,
                                   s < SERVICES - 1 ? ";" : "\r\n\r\n");
        }
        r = send_request(bb_proxy_caller_address(nodes[0].proxy),
                         request->str);
        (void)atomic_fetch_add(r->status == 200 && r->is_complete
                                   ? &completed_count
                               : contains(r, "Baobab-Ran: no") ? &refused_count
                                                               : &other_count,
                               1);
        g_free(r);
        (void)g_string_free(request, TRUE);
    }
    return NULL;
}

/* Runs a number of callers in parallel and counts the results. */
static void
run_callers(int count)
{
    pthread_t threads[CALLERS];
    uint64_t start_us = bb_clock_now_us();

    for (int i = 0; i < count; i++) {
        CU_ASSERT_EQUAL_FATAL(
            pthread_create(&threads[i], NULL, run_calls, NULL), 0);
    }
    for (int i = 0; i < count; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    (void)printf("%u done, %u refused, %u other in %u ms ... ",
                 atomic_load(&completed_count), atomic_load(&refused_count),
                 atomic_load(&other_count),
                 (unsigned)((bb_clock_now_us() - start_us) / BB_US_PER_MS));
    CU_ASSERT_TRUE(bb_clock_now_us() - start_us < RUN_MAX_US);
}

/* Returns whether the upstream of every service has run this number of calls
 * and none is still running. */
static bool
have_all_run(unsigned count)
{
    char *wanted = g_strdup_printf("\"runs\":%u,", count);
    bool have_run = true;

    for (int i = 0; i < SERVICES; i++) {
        GString *history = g_string_new(NULL);

        bb_runs_write_history(upstreams[i].upstream.runs, history);
        have_run = have_run && strstr(history->str, wanted) != NULL &&
                   bb_runs_active_count(upstreams[i].upstream.runs) == 0;
        (void)g_string_free(history, TRUE);
    }
    g_free(wanted);
    return have_run;
}

/* Guards against nested calls that hold each other's workers or slots until
 * their deadlines. How many calls the first gatekeeper's queue refuses depends
 * on the machine's speed. A call that it admits always finds slots further
 * down, so each one gets a response and runs once at every service. */
static void
test_deep_calls_do_not_deadlock(void)
{
    start_all();
    /* Eight times the slots of a service. */
    run_callers(CALLERS);
    CU_ASSERT_TRUE(atomic_load(&completed_count) >= SLOTS);
    CU_ASSERT_EQUAL(atomic_load(&other_count), 0);
    CU_ASSERT_TRUE(have_all_run(atomic_load(&completed_count)));
    /* As many as the slots: none may be refused. */
    atomic_store(&completed_count, 0);
    atomic_store(&refused_count, 0);
    run_callers(SLOTS);
    CU_ASSERT_EQUAL(atomic_load(&completed_count), SLOTS * CALLS_EACH);
    for (int i = 0; i < SERVICES; i++) {
        CU_ASSERT_EQUAL(bb_runs_active_count(upstreams[i].upstream.runs), 0);
        stop_node(&nodes[i]);
        stop_upstream(&upstreams[i]);
    }
}

static const struct bb_unit_test tests[] = {
    {"deep calls do not deadlock", test_deep_calls_do_not_deadlock},
};

BB_UNIT_MAIN("nested", tests)
