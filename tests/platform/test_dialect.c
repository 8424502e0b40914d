/* Tests of the platform dialect, also with invalid input, and of the upstream
 * state after announcements, which the platform calls heartbeats, and
 * withdrawals. */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "common/registry.h"
#include "path/dialect.h"
#include "path/upstream.h"
#include "unit.h"

#define CONFIGURATION(version, route)                                         \
    "{\"version\":" version                                                   \
    ",\"services\":[{\"name\":\"a\",\"health_path\":\"/h\","                  \
    "\"max_connections\":9},{\"name\":\"b\"}],\"limits\":{"                   \
    "\"max_header_bytes\":16384,\"max_body_bytes\":1000,"                     \
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"                  \
    "\"virtual_hosts\":[{\"host\":\"h.example\",\"paths\":[" route "]}]}"
#define ROUTE(more)                                                           \
    "{\"name\":\"r\",\"path_prefix\":\"/p/\",\"route_type\":\"safe\","        \
    "\"timeout_ms\":900,\"target_latency_ms\":300,\"priority\":1,"            \
    "\"attempts\":2" more "}"

static const struct bb_dialect *
platform(void)
{
    return bb_plugin_find(BB_PLUGIN_DIALECT, "platform");
}

static struct bb_rules *
decode(const char *text)
{
    struct bb_error e = {0};
    struct bb_rules *r =
        platform()->decode_rules(text, strlen(text), NULL, &e);

    CU_ASSERT_TRUE(r != NULL || e.message[0] != '\0');
    return r;
}

/* Guards against: a valid configuration that is refused or read wrongly. */
static void
test_configuration(void)
{
    struct bb_rules *r = decode(CONFIGURATION(
        "7", ROUTE(",\"weighted_services\":[{\"service\":\"a\","
                   "\"weight\":90},{\"service\":\"b\",\"weight\":10}"
                   "]") ",{\"name\":\"q\",\"path_prefix\":\"/p/long/"
                        "\","
                        "\"route_type\":\"unsafe\",\"timeout_ms\":5,"
                        "\"service\":\"b\",\"new_field\":[1]}"));
    const struct bb_rules_route *route;

    CU_ASSERT_PTR_NOT_NULL_FATAL(r);
    CU_ASSERT_EQUAL(r->version, 7);
    CU_ASSERT_EQUAL(r->limits.idle_timeout_ms, 15000);
    route = bb_rules_match(r, "H.example:80", "/p/x?y=/p/long/");
    CU_ASSERT_PTR_NOT_NULL_FATAL(route);
    CU_ASSERT_STRING_EQUAL(route->name, "r");
    CU_ASSERT_EQUAL(route->weight_sum, 100);
    CU_ASSERT_TRUE(route->is_idempotent);
    route = bb_rules_match(r, "h.example", "/p/long/x");
    CU_ASSERT_PTR_NOT_NULL_FATAL(route);
    CU_ASSERT_FALSE(route->is_idempotent);
    CU_ASSERT_PTR_NULL(bb_rules_match(r, "h.example", "/p"));
    CU_ASSERT_PTR_NULL(bb_rules_match(r, "i.example", "/p/x"));
    bb_rules_unref(r);
}

/* Guards against: an invalid or truncated configuration that is accepted, in
 * part or as a whole. */
static void
test_invalid_configurations(void)
{
    static const char *const bad[] = {
        "",
        "{",
        "[]",
        "{\"version\":1}",
        CONFIGURATION("0", ROUTE(",\"service\":\"a\"")),
        CONFIGURATION("\"7\"", ROUTE(",\"service\":\"a\"")),
        CONFIGURATION("7", ROUTE(",\"service\":\"none\"")),
        CONFIGURATION("7", ROUTE("")),
        CONFIGURATION("7", ROUTE(",\"weighted_services\":[]")),
        CONFIGURATION("7", ROUTE(",\"weighted_services\":[{\"service\":\"a\","
                                 "\"weight\":0}]")),
        CONFIGURATION("7", ROUTE(",\"weighted_services\":[{\"service\":\"a\","
                                 "\"weight\":-1}]")),
        CONFIGURATION(
            "7", ROUTE(",\"service\":\"a\"") "," ROUTE(",\"service\":\"b\"")),
        CONFIGURATION("7", "{\"name\":\"r\",\"path_prefix\":\"/p/\","
                           "\"route_type\":\"odd\",\"timeout_ms\":9,"
                           "\"service\":\"a\"}"),
        CONFIGURATION("7", "{\"name\":\"r\",\"path_prefix\":\"/p/\","
                           "\"route_type\":\"safe\",\"timeout_ms\":0,"
                           "\"service\":\"a\"}"),
        CONFIGURATION("7", "{\"name\":\"r\",\"path_prefix\":\"p\","
                           "\"route_type\":\"safe\",\"timeout_ms\":9,"
                           "\"service\":\"a\"}"),
    };
    const char *whole = CONFIGURATION("7", ROUTE(",\"service\":\"a\""));
    struct bb_rules *r = decode(whole);

    CU_ASSERT_PTR_NOT_NULL(r);
    bb_rules_unref(r);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        r = decode(bad[i]);
        CU_ASSERT_PTR_NULL(r);
        bb_rules_unref(r);
    }
    for (size_t n = 0; n < strlen(whole); n++) {
        struct bb_error e = {0};

        r = platform()->decode_rules(whole, n, NULL, &e);
        CU_ASSERT_PTR_NULL(r);
        bb_rules_unref(r);
    }
}

/* Two hosts, so that the text of a route may stand below either. */
#define TWO_HOSTS(version, services, first, second)                           \
    "{\"version\":" version ", \"virtual_hosts\" : [ {\"host\":"              \
    "\"h.example\",\"paths\": [" first "]},{\"paths\":[" second               \
    "],\"host\":\"I.example\"}],\"services\":[" services                      \
    "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000,"       \
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
#define SERVICE_A "{\"name\":\"a\"}"
#define SERVICE_B "{\"name\":\"b\"}"
/* Brackets and quotes in a name must not end the route. */
#define ROUTE_A ROUTE(",\"service\":\"a\",\"note\":\"]}\\\"{\"")
#define ROUTE_B                                                               \
    "{\"name\":\"q\",\"path_prefix\":\"/q/\",\"route_type\":\"unsafe\","      \
    "\"timeout_ms\":5,\"service\":\"b\"}"

static struct bb_rules *
decode_after(const char *text, const struct bb_rules *earlier)
{
    struct bb_error e = {0};

    return platform()->decode_rules(text, strlen(text), earlier, &e);
}

/* Guards against: a new version that decodes each route again, although most
 * are as before, which keeps requests waiting on a host with few cores; a
 * route that is shared with another host, or although its service is gone. */
static void
test_shared_routes(void)
{
    struct bb_rules *first = decode_after(
        TWO_HOSTS("1", SERVICE_A "," SERVICE_B, ROUTE_A, ROUTE_B), NULL);
    struct bb_rules *same = decode_after(
        TWO_HOSTS("2", SERVICE_A "," SERVICE_B, ROUTE_A, ROUTE_A "," ROUTE_B),
        first);

    CU_ASSERT_PTR_NOT_NULL_FATAL(first);
    CU_ASSERT_PTR_NOT_NULL_FATAL(same);
    CU_ASSERT_EQUAL(same->version, 2);
    CU_ASSERT_EQUAL(same->routes->len, 3);
    CU_ASSERT_PTR_EQUAL(bb_rules_match(first, "h.example", "/p/x"),
                        bb_rules_match(same, "h.example", "/p/x"));
    CU_ASSERT_PTR_EQUAL(bb_rules_match(first, "i.example", "/q/x"),
                        bb_rules_match(same, "i.example", "/q/x"));
    CU_ASSERT_PTR_NOT_EQUAL(bb_rules_match(same, "i.example", "/p/x"),
                            bb_rules_match(same, "h.example", "/p/x"));
    CU_ASSERT_PTR_NULL(
        decode_after(TWO_HOSTS("3", SERVICE_B, ROUTE_A, ROUTE_B), first));
    bb_rules_unref(first);
    CU_ASSERT_STRING_EQUAL(bb_rules_match(same, "i.example", "/q/x")->name,
                           "q");
    bb_rules_unref(same);
}

/* Guards against: a text that is not JSON, or a list of routes with something
 * else in it, that is accepted as its routes are taken out. */
static void
test_changed_bytes(void)
{
    enum { ROUNDS = 20000 };
    static const char bytes[] = "{}[]\",:\\ 01ae\n";
    static const char valid[] =
        TWO_HOSTS("1", SERVICE_A "," SERVICE_B, ROUTE_A, ROUTE_A "," ROUTE_B);
    struct bb_rules *earlier = decode_after(valid, NULL);
    GRand *random = g_rand_new_with_seed(1);
    uint32_t accepted = 0;

    CU_ASSERT_PTR_NOT_NULL_FATAL(earlier);
    for (uint32_t i = 0; i < ROUNDS; i++) {
        char *text = g_strdup(valid);
        size_t at = g_rand_int_range(random, 0, sizeof(valid) - 1);
        struct bb_rules *r;

        text[at] =
            bytes[g_rand_int_range(random, 0, (gint32)sizeof(bytes) - 1)];
        r = decode_after(text, earlier);
        if (r != NULL) {
            json_t *o = json_loads(text, JSON_REJECT_DUPLICATES, NULL);

            CU_ASSERT_PTR_NOT_NULL(o);
            CU_ASSERT_EQUAL(r->routes->len, 3);
            json_decref(o);
            accepted++;
        }
        bb_rules_unref(r);
        g_free(text);
    }
    CU_ASSERT_TRUE(accepted > 0 && accepted < ROUNDS);
    g_rand_free(random);
    bb_rules_unref(earlier);
}

#define HEARTBEAT(state, seq, born)                                           \
    "{\"address\":\"10.0.0.1:80\",\"info\":{\"service\":\"a\","               \
    "\"version\":\"v1\",\"zone\":\"z\",\"max_concurrency\":6},"               \
    "\"status\":{\"state\":" state ",\"seq\":" seq                            \
    ",\"warmup_left_ms\":40},\"born\":" born "}"

static bool
decode_heartbeat(const char *text, struct bb_announcement *a)
{
    struct bb_error e = {0};

    return platform()->decode_announcement(text, strlen(text), a, &e);
}

/* Guards against: an invalid heartbeat that is accepted, and a valid one that
 * is read wrongly. */
static void
test_heartbeats(void)
{
    static const char *const bad[] = {
        "",
        "nonsense",
        "{}",
        "{\"address\":1}",
        HEARTBEAT("\"sleepy\"", "4", "9"),
        HEARTBEAT("4", "4", "9"),
        HEARTBEAT("\"ready\"", "\"4\"", "9"),
        HEARTBEAT("\"ready\"", "-4", "9"),
        HEARTBEAT("\"ready\"", "4", "\"today\""),
        HEARTBEAT("\"ready\"", "4", "1.5"),
        "{\"address\":\"10.0.0.1:80\",\"info\":[],\"status\":{}}",
    };
    struct bb_announcement a;

    CU_ASSERT_TRUE(decode_heartbeat(HEARTBEAT("\"draining\"", "4", "9"), &a));
    CU_ASSERT_TRUE(a.is_draining);
    CU_ASSERT_EQUAL(a.slots, 6);
    CU_ASSERT_EQUAL(a.sequence, 4);
    CU_ASSERT_EQUAL(a.started_ms, 9);
    CU_ASSERT_EQUAL(a.warmup_ms, 40);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        CU_ASSERT_FALSE(decode_heartbeat(bad[i], &a));
    }
}

static const struct bb_announcement ready = {.address = "x:1",
                                             .service = "s",
                                             .slots = 2,
                                             .sequence = 10,
                                             .started_ms = 100};

/* Guards against: a delayed announcement of an earlier run, or an
 * older one of the same run, that makes an upstream ready again. */
static void
test_runs_of_an_upstream(void)
{
    struct bb_upstream u = {0};
    struct bb_announcement a = ready;

    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "old", &a, "x:1", 1),
                    BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "old", &a, "y:1", 1),
                    BB_ANNOUNCE_WRONG_ADDRESS);
    a.sequence = 1;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "old", &a, "x:1", 1),
                    BB_ANNOUNCE_STALE);
    /* After a restart under the same id the sequence starts again. */
    a.started_ms = 200;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "old", &a, "x:1", 1),
                    BB_ANNOUNCE_ACCEPTED);
    a.is_draining = true;
    a.sequence = 2;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "old", &a, "x:1", 1),
                    BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    a.is_draining = false;
    a.sequence = 3;
    (void)bb_upstream_announce(&u, "old", &a, "x:1", 1);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    a.started_ms = 300;
    a.sequence = 1;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "new", &a, "x:1", 1),
                    BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    a.started_ms = 200;
    a.sequence = 99;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "old", &a, "x:1", 1),
                    BB_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "old", 200, 1),
                    BB_WITHDRAW_STALE);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "new", 300, 1),
                    BB_WITHDRAW_APPLIED);
}

/* Guards against: a drain that is acknowledged but not applied, because later
 * announcements of the run came first or another upstream is known. */
static void
test_unordered_drains(void)
{
    struct bb_upstream u = {0};
    struct bb_announcement a = ready;

    (void)bb_upstream_announce(&u, "i", &a, "x:1", 1);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "j", 0, 1),
                    BB_WITHDRAW_UNORDERED);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "j", 100, 1),
                    BB_WITHDRAW_UNORDERED);
    a.is_draining = true;
    a.started_ms = 0;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "j", &a, "x:1", 1),
                    BB_ANNOUNCE_UNORDERED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    a.sequence = 3;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "i", &a, "x:1", 1),
                    BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
}

enum { SECOND_US = 1000 * 1000 };

/* Announces the run `i` that started at `started_ms`, `now_s` seconds after
 * the start of the test. */
static enum bb_announce_result
announce_run(struct bb_upstream *u, uint64_t started_ms, bool is_draining,
             uint64_t now_s)
{
    struct bb_announcement a = ready;

    a.started_ms = started_ms;
    a.is_draining = is_draining;
    a.sequence = now_s;
    return bb_upstream_announce(u, "i", &a, "x:1", now_s * SECOND_US);
}

/* Guards against: a run that started after the clock went back and whose drain
 * is ignored, and late messages of an ended run that stop the one in service.
 */
static void
test_clock_that_goes_back(void)
{
    struct bb_upstream u = {0};

    for (uint64_t s = 1; s <= 7; s++) {
        (void)announce_run(&u, 1000, false, s);
    }
    CU_ASSERT_EQUAL(announce_run(&u, 400, true, 8), BB_ANNOUNCE_UNORDERED);
    (void)announce_run(&u, 1000, false, 9);
    CU_ASSERT_EQUAL(announce_run(&u, 400, true, 11), BB_ANNOUNCE_UNORDERED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    CU_ASSERT_EQUAL(u.started_ms, 1000);
    /* Another one, while the known run is silent. */
    CU_ASSERT_EQUAL(announce_run(&u, 500, false, 12), BB_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(announce_run(&u, 500, false, 14), BB_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(announce_run(&u, 500, false, 15), BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(u.started_ms, 500);
    CU_ASSERT_TRUE(u.is_confirmed);
    CU_ASSERT_EQUAL(announce_run(&u, 1000, false, 16), BB_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(announce_run(&u, 1000, true, 17), BB_ANNOUNCE_UNORDERED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    CU_ASSERT_EQUAL(announce_run(&u, 500, true, 18), BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    CU_ASSERT_EQUAL(announce_run(&u, 1000, false, 19), BB_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
}

/* Guards against: a late drain with a higher start that closes the gate to the
 * run in service, and one that is never applied. */
static void
test_drain_of_later_start(void)
{
    struct bb_upstream u = {0};

    (void)announce_run(&u, 1000, false, 1);
    CU_ASSERT_EQUAL(announce_run(&u, 2000, true, 2), BB_ANNOUNCE_UNORDERED);
    (void)announce_run(&u, 1000, false, 3);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    CU_ASSERT_EQUAL(announce_run(&u, 2000, true, 6), BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    CU_ASSERT_EQUAL(u.started_ms, 2000);
}

/* Guards against: a late withdrawal without a start that is applied to the
 * next run under the same id, and one that is never applied. */
static void
test_withdrawal_without_start(void)
{
    struct bb_upstream u = {0};

    (void)announce_run(&u, 1000, false, 1);
    (void)announce_run(&u, 2000, false, 2);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "i", 0, 6 * SECOND_US),
                    BB_WITHDRAW_UNORDERED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "i", 0, 7 * SECOND_US),
                    BB_WITHDRAW_APPLIED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
}

/* Guards against: an upstream that is in service and has said so, but gets no
 * requests as another one has the higher start. */
static void
test_stated_ids(void)
{
    struct bb_upstream u = {0};
    struct bb_announcement a = ready;

    (void)announce_run(&u, 1000, false, 1);
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "j", &a, "x:1", SECOND_US),
                    BB_ANNOUNCE_STALE);
    CU_ASSERT_TRUE(u.is_id_disputed);
    CU_ASSERT_FALSE(bb_upstream_identify(&u, "i"));
    CU_ASSERT_FALSE(u.is_id_disputed);
    CU_ASSERT_FALSE(bb_upstream_identify(&u, "k"));
    CU_ASSERT_FALSE(bb_upstream_identify(&u, ""));
    CU_ASSERT_STRING_EQUAL(u.id, "i");
    CU_ASSERT_TRUE(bb_upstream_identify(&u, "j"));
    CU_ASSERT_STRING_EQUAL(u.id, "j");
    CU_ASSERT_EQUAL(u.slots, ready.slots);
    CU_ASSERT_FALSE(u.is_confirmed);
    a.is_draining = true;
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "j", &a, "x:1", 3 * SECOND_US),
                    BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_TRUE(bb_upstream_identify(&u, "i"));
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    CU_ASSERT_FALSE(u.is_confirmed);
    /* The drain that was acknowledged holds if the run turns out to go on. */
    CU_ASSERT_TRUE(bb_upstream_identify(&u, "j"));
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
}

/* Guards against: an upstream that is taken for ready although it says in its
 * responses that it leaves, and one odd response that closes it for good. */
static void
test_reports_of_an_upstream(void)
{
    static const struct bb_upstream_report leaving = {.is_leaving = true};
    static const struct bb_upstream_report staying = {0};
    struct bb_upstream u = {0};
    struct bb_announcement a = ready;

    (void)bb_upstream_announce(&u, "i", &a, "x:1", 1);
    bb_upstream_apply_report(&u, &leaving);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    a.sequence++;
    (void)bb_upstream_announce(&u, "i", &a, "x:1", 1);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    bb_upstream_apply_report(&u, &staying);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "i", 0, 1), BB_WITHDRAW_APPLIED);
    bb_upstream_apply_report(&u, &staying);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
}

/* Guards against: a late announcement that makes an upstream ready, and one
 * that cannot be checked and never gets requests. */
static void
test_trust_in_announcements(void)
{
    const uint64_t trust_us = (uint64_t)BB_UPSTREAM_TRUST_MS * 1000;
    struct bb_upstream u = {0};
    struct bb_announcement a = ready;

    (void)bb_upstream_announce(&u, "i", &a, "x:1", 1);
    CU_ASSERT_FALSE(u.is_confirmed);
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "i", &a, "x:1", trust_us + 1),
                    BB_ANNOUNCE_STALE);
    CU_ASSERT_FALSE(u.is_confirmed);
    a.sequence++;
    (void)bb_upstream_announce(&u, "i", &a, "x:1", trust_us);
    CU_ASSERT_FALSE(u.is_confirmed);
    a.sequence++;
    (void)bb_upstream_announce(&u, "i", &a, "x:1", trust_us + 1);
    CU_ASSERT_TRUE(u.is_confirmed);
    a.started_ms++;
    (void)bb_upstream_announce(&u, "i", &a, "x:1", trust_us + 2);
    CU_ASSERT_FALSE(u.is_confirmed);
}

/* Guards against: a restarted node that acknowledges a withdrawal but does not
 * record it, as it knows no upstream yet, so that a delayed announcement makes
 * the upstream ready again. */
static void
test_withdrawn_unknown(void)
{
    struct bb_upstream u = {0};
    struct bb_announcement a = ready;

    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "i", 0, 1), BB_WITHDRAW_APPLIED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    (void)bb_upstream_announce(&u, "i", &a, "x:1", 1);
    CU_ASSERT_FALSE(u.is_confirmed);
    u = (struct bb_upstream){0};
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "i", 100, 1),
                    BB_WITHDRAW_APPLIED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    CU_ASSERT_EQUAL(bb_upstream_announce(&u, "i", &a, "x:1", 1),
                    BB_ANNOUNCE_ACCEPTED);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    /* The same for a run that is newer than the known one. */
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "j", 200, 1),
                    BB_WITHDRAW_APPLIED);
    a.started_ms = 200;
    (void)bb_upstream_announce(&u, "j", &a, "x:1", 1);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_DRAINING);
    /* A later start makes it ready, also under the same id. */
    a.started_ms = 300;
    (void)bb_upstream_announce(&u, "j", &a, "x:1", 1);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
    CU_ASSERT_EQUAL(bb_upstream_withdraw(&u, "j", 200, 1), BB_WITHDRAW_STALE);
    CU_ASSERT_EQUAL(u.state, BB_INSTANCE_READY);
}

static bool
ignore_head(void *context)
{
    (void)context;
    return true;
}

static void
ignore_body(void *context, const char *data, size_t size_bytes)
{
    (void)context;
    (void)data;
    (void)size_bytes;
}

static const struct bb_http_reader_events ignore_message = {
    .head = ignore_head, .body = ignore_body};

/* Reads the head of a response with these fields. */
static struct bb_upstream_report
read_report(const char *fields)
{
    struct bb_upstream_report report;
    struct bb_http_reader r;
    char *text = g_strdup_printf(
        "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", fields);

    bb_http_reader_init(&r, HTTP_RESPONSE, &ignore_message, NULL);
    (void)bb_http_reader_feed(&r, text, strlen(text));
    CU_ASSERT_EQUAL(r.state, BB_HTTP_READER_DONE);
    platform()->read_report(&r.head, &report);
    bb_http_reader_clear(&r);
    g_free(text);
    return report;
}

/* Guards against: a leaving upstream taken for one that stays, or the other
 * way round, because of an odd value of the field. */
static void
test_leaving_field(void)
{
    CU_ASSERT_FALSE(read_report("").is_leaving);
    CU_ASSERT_TRUE(read_report("Server-Leaving: 1\r\n").is_leaving);
    CU_ASSERT_TRUE(read_report("server-leaving:  1 \r\n").is_leaving);
    CU_ASSERT_FALSE(read_report("Server-Leaving: 0\r\n").is_leaving);
    CU_ASSERT_FALSE(read_report("Server-Leaving: 11\r\n").is_leaving);
    CU_ASSERT_FALSE(read_report("Server-Leaving:\r\n").is_leaving);
    CU_ASSERT_TRUE(
        read_report("Server-Leaving: 0\r\nServer-Leaving: 1\r\n").is_leaving);
}

/* Guards against: a limit that is read wrongly, and an odd value that is taken
 * for a limit or for the end of one. */
static void
test_limit_field(void)
{
    static const struct {
        const char *fields;
        enum bb_limit_statement statement;
        uint32_t rate_mrps;
    } cases[] = {
        {"", BB_LIMIT_NONE, 0},
        {"Server-Limit: 8.6\r\n", BB_LIMIT_STATED, 8600},
        {"server-limit:  12 \r\n", BB_LIMIT_STATED, 12000},
        {"Server-Limit: 0.25\r\n", BB_LIMIT_STATED, 250},
        {"Server-Limit: 0.00001\r\n", BB_LIMIT_STATED, 1},
        {"Server-Limit: 0\r\n", BB_LIMIT_STATED, 0},
        {"Server-Limit: 99999999999999999999999\r\n", BB_LIMIT_STATED,
         UINT32_MAX},
        {"Server-Limit:\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: -3\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: +3\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: .5\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: 1.2.3\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: 1e3\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: 0x10\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: 3 a second\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: nan\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: inf\r\n", BB_LIMIT_INVALID, 0},
        {"Server-Limit: 7\r\nServer-Limit: 5\r\n", BB_LIMIT_STATED, 5000},
        {"Server-Limit: 5\r\nServer-Limit: 7\r\n", BB_LIMIT_STATED, 5000},
        {"Server-Limit: none\r\nServer-Limit: 7\r\n", BB_LIMIT_STATED, 7000},
        {"Server-Limit: 7\r\nServer-Limit: none\r\n", BB_LIMIT_STATED, 7000}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct bb_limit_report limit = read_report(cases[i].fields).limit;

        CU_ASSERT_EQUAL(limit.statement, cases[i].statement);
        CU_ASSERT_EQUAL(limit.rate_mrps, cases[i].rate_mrps);
    }
}

/* Guards against: the request of a client taken for a nested one. */
static void
test_parent_ids(void)
{
    char parent[BB_DIALECT_ID_BYTES] = "";

    CU_ASSERT_FALSE(platform()->parse_parent_id("39af2354bfc82385", parent));
    CU_ASSERT_FALSE(platform()->parse_parent_id(".39af", parent));
    CU_ASSERT_TRUE(platform()->parse_parent_id("39af.4adf", parent));
    CU_ASSERT_STRING_EQUAL(parent, "39af");
    CU_ASSERT_TRUE(platform()->parse_parent_id("39af.4adf.1", parent));
    CU_ASSERT_STRING_EQUAL(parent, "39af.4adf");
}

/* Guards against: a request to Baobab itself that is classified as another
 * kind. */
static void
test_classification(void)
{
    char id[BB_DIALECT_ID_BYTES] = "";
    const struct bb_dialect *d = platform();

    CU_ASSERT_EQUAL(d->classify_request(HTTP_GET, "/ready", id), BB_API_READY);
    CU_ASSERT_EQUAL(
        d->classify_request(HTTP_POST, "/instances/i-1/heartbeat", id),
        BB_API_ANNOUNCE);
    CU_ASSERT_STRING_EQUAL(id, "i-1");
    CU_ASSERT_EQUAL(
        d->classify_request(HTTP_POST, "/instances/i-1/deregister", id),
        BB_API_WITHDRAW);
    CU_ASSERT_EQUAL(d->classify_request(HTTP_POST, "/config/replace", id),
                    BB_API_REPLACE_CONFIGURATION);
    CU_ASSERT_EQUAL(d->classify_request(HTTP_GET, "/config/read", id),
                    BB_API_READ_CONFIGURATION);
    CU_ASSERT_EQUAL(d->classify_request(HTTP_GET, "/config/replace", id),
                    BB_API_UNKNOWN);
    CU_ASSERT_EQUAL(
        d->classify_request(HTTP_POST, "/instances//heartbeat", id),
        BB_API_UNKNOWN);
    CU_ASSERT_EQUAL(
        d->classify_request(HTTP_POST, "/instances/i/heartbeats", id),
        BB_API_UNKNOWN);
}

static const struct bb_unit_test tests[] = {
    {"configuration", test_configuration},
    {"invalid configurations", test_invalid_configurations},
    {"shared routes", test_shared_routes},
    {"changed bytes", test_changed_bytes},
    {"heartbeats", test_heartbeats},
    {"incarnations", test_runs_of_an_upstream},
    {"unordered drains", test_unordered_drains},
    {"clock that goes back", test_clock_that_goes_back},
    {"drain of a later start", test_drain_of_later_start},
    {"withdrawal without a start", test_withdrawal_without_start},
    {"stated ids", test_stated_ids},
    {"trust in announcements", test_trust_in_announcements},
    {"reports of an upstream", test_reports_of_an_upstream},
    {"withdrawn while unknown", test_withdrawn_unknown},
    {"leaving field", test_leaving_field},
    {"limit field", test_limit_field},
    {"ids of parent requests", test_parent_ids},
    {"request classification", test_classification},
};

BB_UNIT_MAIN("dialect", tests)
