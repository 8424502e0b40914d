/* The paid link between regions: its bytes are counted correctly, and hedges
 * do not use it. */
#include <glib.h>
#include <string.h>

#include "common/counters.h"
#include "fixture.h"
#include "proxy/picker.h"

enum { SLOTS = 4, BODY_BYTES = 40000, HEADERS_MAX_BYTES = 2000 };

static const struct bb_behaviour_values quick = {.slots = SLOTS,
                                                 .connections = 64,
                                                 .service_us = 1000,
                                                 .load_percent = 100,
                                                 .cold_factor = 1,
                                                 .slow_factor = 1,
                                                 .long_factor = 1};

static uint64_t
link_bytes(void)
{
    const struct bb_counter *c =
        bb_counter_find("baobab_link_bytes_total", NULL);

    CU_ASSERT_PTR_NOT_NULL_FATAL(c);
    return bb_counter_get(c);
}

/* Sends a request with a body and a response of the same size. */
static void
send_large_call(struct test_node *entry)
{
    char *body = g_strnfill(BODY_BYTES, 'x');
    char *request =
        g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "X-Answer-Bytes: %d\r\nContent-Length: %d\r\n\r\n%s",
                        BODY_BYTES, BODY_BYTES, body);
    struct test_response *r =
        send_request(bb_proxy_caller_address(entry->proxy), request);

    CU_ASSERT_EQUAL(r->status, 200);
    CU_ASSERT_TRUE(r->is_complete);
    g_free(r);
    g_free(request);
    g_free(body);
}

/* Guards against traffic between regions that is not counted, and against
 * counting traffic within a region. */
static void
test_only_other_regions_count(void)
{
    /* Nothing listens there. */
    struct bb_address no_rpc = {.ip = "127.0.0.1", .port = 1};
    struct test_upstream upstream;
    struct test_node gatekeeper;
    struct test_node entry;

    start_upstream(&upstream, &quick);
    start_node(&gatekeeper, "gatekeeper", (struct bb_proxy_settings){0});
    start_node(&entry, "entry", (struct bb_proxy_settings){0});
    announce_upstream(&gatekeeper, &upstream.upstream.listen_address,
                      BB_UPSTREAM_READY, SLOTS);
    add_member(&entry, "gatekeeper", "z2",
               bb_proxy_caller_address(gatekeeper.proxy), no_rpc);
    entry.config.limits.link_bytes_per_s = 1000000;
    apply_table(&entry);
    send_large_call(&entry);
    CU_ASSERT_EQUAL(link_bytes(), 0);
    /* The same gatekeeper in another region, under a new name because the
     * entry node keeps the distance of a known host. */
    (void)g_strlcpy(entry.members[0].region, "far", BB_NAME_BYTES);
    (void)g_strlcpy(entry.members[0].host, "gatekeeper-2", BB_NAME_BYTES);
    apply_table(&entry);
    send_large_call(&entry);
    CU_ASSERT_TRUE(link_bytes() > 2 * BODY_BYTES);
    CU_ASSERT_TRUE(link_bytes() < 2 * BODY_BYTES + HEADERS_MAX_BYTES);
    stop_node(&entry);
    stop_node(&gatekeeper);
    stop_upstream(&upstream);
}

/* Guards against a hedge that is sent to another region when no gatekeeper of
 * this region is available. */
static void
test_hedges_stay_in_the_region(void)
{
    const struct bb_pick_target far = {
        .host_key = 1, .distance = BB_ROUTE_OTHER_REGION, .slots = SLOTS};
    const struct bb_picker_limits limits = {.max_ejected_percent = 34,
                                            .link_bytes_per_s = 1000000};
    struct bb_pick_request q = {
        .service = "s", .targets = &far, .target_count = 1};
    struct bb_picker *p = bb_picker_create("least_wait");

    bb_picker_configure(p, &limits);
    CU_ASSERT_EQUAL(bb_picker_pick(p, &q, bb_clock_now_us()).index, 0);
    q.is_hedge = true;
    CU_ASSERT_EQUAL(bb_picker_pick(p, &q, bb_clock_now_us()).index, -1);
    bb_picker_destroy(p);
}

static const struct bb_unit_test tests[] = {
    {"only other regions count", test_only_other_regions_count},
    {"hedges stay in the region", test_hedges_stay_in_the_region},
};

BB_UNIT_MAIN("link", tests)
