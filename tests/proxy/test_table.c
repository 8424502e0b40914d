/* The routing table: routes without a usable upstream are left out, and a
 * table lives as long as the requests that use it. Also covers which header
 * fields are forwarded. */
#include <string.h>

#include "proxy/headers.h"
#include "proxy/table.h"
#include "unit.h"

static struct bb_service services[] = {{.name = "a"}, {.name = "b"}};
static struct bb_route routes[] = {
    {.name = "deep", .path_prefix = "/a/deep", .methods = BB_METHOD_GET},
    {.name = "other",
     .path_prefix = "/b",
     .methods = BB_METHOD_ANY,
     .service = 1},
    {.name = "flat", .path_prefix = "/a", .methods = BB_METHOD_ANY},
};
static struct bb_drain drains[] = {{.host = "d"}};
static const struct bb_config config = {.revision = 3,
                                        .services = services,
                                        .service_count = 2,
                                        .routes = routes,
                                        .route_count = 3,
                                        .drains = drains,
                                        .drain_count = 1};
static const struct bb_node_location location = {"h", "z", "r"};

static struct bb_member
member(const char *host, const char *service, enum bb_upstream_state state)
{
    struct bb_member m = {
        .upstream_state = state, .is_reachable = true, .slots = 2};

    (void)strcpy(m.host, host);
    (void)strcpy(m.service, service);
    (void)strcpy(m.zone, "z");
    (void)strcpy(m.region, "r");
    return m;
}

static const char *
route_of(const struct bb_table *t, const char *url, uint32_t method)
{
    const struct bb_route *r = bb_table_find_route(t, url, method);

    return r != NULL ? r->name : "none";
}

/* Guards against routes to services without a usable upstream, and against
 * matching a request to the wrong route by path, method or query. */
static void
test_requests_match_usable_routes(void)
{
    struct bb_member members[] = {
        member("h", "a", BB_UPSTREAM_READY),
        member("s", "b", BB_UPSTREAM_STARTING),
        member("d", "b", BB_UPSTREAM_READY), /* drained by the configuration */
    };
    struct bb_table *t = bb_table_build(&config, members, 3, &location);

    CU_ASSERT_EQUAL(t->route_count, 2);
    CU_ASSERT_STRING_EQUAL(route_of(t, "/b", BB_METHOD_GET), "none");
    CU_ASSERT_STRING_EQUAL(route_of(t, "/a/deep/x", BB_METHOD_GET), "deep");
    CU_ASSERT_STRING_EQUAL(route_of(t, "/a/deep/x", BB_METHOD_POST), "flat");
    CU_ASSERT_STRING_EQUAL(route_of(t, "/a?q", BB_METHOD_GET), "flat");
    CU_ASSERT_STRING_EQUAL(route_of(t, "/ab", BB_METHOD_GET), "none");
    CU_ASSERT_TRUE(t->services[0].usable_gatekeepers[0].is_local);
    bb_table_unref(t);
    members[1].upstream_state = BB_UPSTREAM_READY;
    t = bb_table_build(&config, members, 3, &location);
    CU_ASSERT_STRING_EQUAL(route_of(t, "/b/c", BB_METHOD_GET), "other");
    CU_ASSERT_EQUAL(t->services[1].usable_gatekeeper_count, 1);
    bb_table_unref(t);
}

/* Guards against a table that is freed while a request uses it. */
static void
test_replaced_table_lives_while_in_use(void)
{
    struct bb_member m = member("h", "a", BB_UPSTREAM_READY);
    struct bb_current_table *current = bb_current_table_create();
    struct bb_table *held;

    CU_ASSERT_PTR_NULL(bb_current_table_get(current));
    bb_current_table_set(current, bb_table_build(&config, &m, 1, &location));
    held = bb_current_table_get(current);
    bb_current_table_set(current, bb_table_build(&config, &m, 0, &location));
    CU_ASSERT_STRING_EQUAL(route_of(held, "/a", BB_METHOD_GET), "flat");
    bb_table_unref(held);
    held = bb_current_table_get(current);
    CU_ASSERT_STRING_EQUAL(route_of(held, "/a", BB_METHOD_GET), "none");
    bb_table_unref(held);
    bb_current_table_destroy(current);
}

/* Guards against forwarding hop-by-hop fields, those that Connection lists,
 * and internal fields. */
static void
test_hop_by_hop_fields_are_removed(void)
{
    struct bb_headers *from = bb_headers_create();
    struct bb_headers *to = bb_headers_create();

    bb_headers_add(from, "Connection", "keep-alive, X-One , x-two");
    bb_headers_add(from, "X-One", "1");
    bb_headers_add(from, "X-Two", "2");
    bb_headers_add(from, "X-Three", "3");
    bb_headers_add(from, "Upgrade", "h2c");
    bb_headers_add(from, "baobab-load", "0 0 0");
    bb_headers_copy_end_to_end(from, to);
    CU_ASSERT_EQUAL(to->field_count, 1);
    CU_ASSERT_STRING_EQUAL(bb_headers_get(to, "x-three"), "3");
    bb_headers_destroy(from);
    bb_headers_destroy(to);
}

static const struct bb_unit_test tests[] = {
    {"requests match usable routes", test_requests_match_usable_routes},
    {"a replaced table lives while in use",
     test_replaced_table_lives_while_in_use},
    {"hop-by-hop fields are removed", test_hop_by_hop_fields_are_removed},
};

BB_UNIT_MAIN("table", tests)
