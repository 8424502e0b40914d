/* A keyed request sent twice, with a restart of its gatekeeper in between. A
 * process has only one RPC server, so a single proxy acts as the witness
 * throughout, and also as the gatekeeper's process after the restart. */
#include <glib.h>
#include <string.h>

#include "common/digest.h"
#include "fixture.h"

enum { SLOTS = 4, INCARNATION_AFTER_RESTART = FIXTURE_INCARNATION + 1 };

static const struct bb_behaviour_values quick = {.slots = SLOTS,
                                                 .connections = 64,
                                                 .service_us = 1000,
                                                 .load_percent = 100,
                                                 .cold_factor = 1,
                                                 .slow_factor = 1,
                                                 .long_factor = 1};

static const char request[] =
    "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    "Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx";

static struct test_upstream gatekeeper_upstream;
static struct test_upstream entry_upstream;
static struct test_node gatekeeper;
static struct test_node entry;
static struct test_node witness;
static struct bb_rpc_server *server;
static struct bb_rpc_pool *pool;

static void
start(void)
{
    struct bb_error e = {0};
    struct bb_address rpc = {.ip = "127.0.0.1"};
    const struct bb_roster r = {
        .epoch = 1,
        .host_count = 2,
        .hosts = {bb_hash64("entry", 5, 0), bb_hash64("third", 5, 0)}};

    start_upstream(&gatekeeper_upstream, &quick);
    start_upstream(&entry_upstream, &quick);
    pool = bb_rpc_pool_create();
    server = bb_rpc_server_create(&rpc, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    start_node(&gatekeeper, "gatekeeper", (struct bb_proxy_settings){0});
    start_node(
        &witness, "third",
        (struct bb_proxy_settings){.incarnation = INCARNATION_AFTER_RESTART});
    start_node(&entry, "entry", (struct bb_proxy_settings){.rpc = pool});
    CU_ASSERT_TRUE(bb_proxy_register_rpc(witness.proxy, server, &e));
    CU_ASSERT_TRUE(bb_rpc_server_start(server, &e));
    rpc.port = bb_rpc_server_get_port(server);
    announce_upstream(&gatekeeper,
                      &gatekeeper_upstream.upstream.listen_address,
                      BB_UPSTREAM_READY, SLOTS);
    announce_upstream(&entry, &entry_upstream.upstream.listen_address,
                      BB_UPSTREAM_READY, SLOTS);
    add_member(&entry, "gatekeeper", "z1",
               bb_proxy_caller_address(gatekeeper.proxy), rpc);
    add_member(&entry, "third", "z1", bb_proxy_caller_address(witness.proxy),
               rpc);
    /* So that no request is routed to the witness. */
    entry.members[1].upstream_state = BB_UPSTREAM_DRAINING;
    apply_table(&entry);
    bb_proxy_set_roster(witness.proxy, "s", &r);
    bb_proxy_set_roster(entry.proxy, "s", &r);
}

/* Simulates a new process on the gatekeeper's host, where no upstream is
 * announced yet. The entry node's own upstream could run the request instead.
 */
static void
restart_gatekeeper(void)
{
    entry.members[0].http_address = bb_proxy_caller_address(witness.proxy);
    entry.members[0].incarnation = INCARNATION_AFTER_RESTART;
    add_member(&entry, "entry", "z2", bb_proxy_caller_address(entry.proxy),
               entry.members[0].rpc_address);
    apply_table(&entry);
}

/* Returns whether the history of an upstream's runs contains a text. */
static bool
history_contains(struct test_upstream *u, const char *text)
{
    GString *history = g_string_new(NULL);
    bool is_found;

    bb_runs_write_history(u->upstream.runs, history);
    is_found = strstr(history->str, text) != NULL;
    (void)g_string_free(history, TRUE);
    return is_found;
}

/* Guards against a keyed request that runs twice because the restarted
 * gatekeeper has never seen it and the entry node treats that as a refusal. */
static void
test_restarted_gatekeeper_is_not_trusted(void)
{
    struct test_response *r;

    start();
    r = send_request(bb_proxy_caller_address(entry.proxy), request);
    CU_ASSERT_EQUAL(r->status, 200);
    g_free(r);
    CU_ASSERT_TRUE(history_contains(&gatekeeper_upstream, "\"runs\":1,"));
    restart_gatekeeper();
    r = send_request(bb_proxy_caller_address(entry.proxy), request);
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: gatekeeper_restarted"));
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: unknown"));
    CU_ASSERT_TRUE(history_contains(&entry_upstream, "\"runs\":0,"));
    g_free(r);
    stop_node(&entry);
    stop_node(&witness);
    stop_node(&gatekeeper);
    bb_rpc_server_destroy(server);
    bb_rpc_pool_destroy(pool);
    stop_upstream(&gatekeeper_upstream);
    stop_upstream(&entry_upstream);
}

static const struct bb_unit_test tests[] = {
    {"a restarted gatekeeper is not trusted",
     test_restarted_gatekeeper_is_not_trusted},
};

BB_UNIT_MAIN("claim_restart", tests)
