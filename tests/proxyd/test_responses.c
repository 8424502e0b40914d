/* Tests what callers get if an upstream responds wrongly, with real processes.
 */
#include <string.h>

#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    SOON_MS = 2000,
    LATE_BODY_BYTES = 1000000, /* closes the window of a late reader */
    LATE_MS = 4000
};

#define NOT_RUN_FIELD FIELD_NOT_EXECUTED ": 1\r\n"

/* Sends a request that must not run twice, lets the upstream respond with a
 * text, and waits for the status line of the caller's response. */
static void
check_response(struct fixture *f, struct peer *caller, const char *id,
               const char *response, bool is_end, const char *status)
{
    char *request =
        g_strdup_printf(UNSAFE("%s") "Content-Length: 0\r\n\r\n", id);
    struct peer *upstream;

    peer_send(caller, request);
    upstream = upstream_wait_request(f, id, SOON_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
    peer_send(upstream, response);
    if (is_end) {
        peer_end(upstream);
    }
    CU_ASSERT_TRUE(peer_wait_text(f, caller, status, SOON_MS));
    g_free(request);
}

/* Guards against: "not run" for a request that ran, as the upstream sent the
 * refusal of an earlier one once more, with its id or without one. */
static void
test_stale_refusals(void)
{
    struct fixture f;
    struct peer *caller;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    check_response(&f, caller, "a1",
                   "HTTP/1.1 503 Refused\r\n" NOT_RUN_FIELD FIELD_REQUEST_ID
                   ": a1\r\n"
                   "Content-Length: 0\r\n\r\n",
                   false, "HTTP/1.1 503");
    check_response(
        &f, caller, "a2",
        "HTTP/1.1 503 Refused\r\n" NOT_RUN_FIELD FIELD_REQUEST_ID ": a1\r\n"
        "Content-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a2\r\n" FIELD_SEAL ": s\r\n"
        "Content-Length: 4\r\n\r\nbody",
        false, "HTTP/1.1 200");
    check_response(&f, caller, "a3",
                   "HTTP/1.1 503 Refused\r\n" NOT_RUN_FIELD
                   "Content-Length: 0\r\n\r\n",
                   false, "HTTP/1.1 502");
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 503"), 1);
    fixture_close(&f);
}

/* Guards against: a response whose head, or whose chunk size, ends in the
 * middle, and which is passed on as if it were whole. */
static void
test_truncated_heads(void)
{
    static const char *const responses[] = {
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX-Baobabshed-Resp",
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a1",
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a1\r\n" FIELD_SEAL ": s\r\n",
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a1\r\n" FIELD_SEAL
        ": s\r\nContent-Length: 4\r\n\r",
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a1\r\n" FIELD_SEAL
        ": s\r\nContent-Length: 4\r\n\r\nbo",
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a1\r\n" FIELD_SEAL ": s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a1\r\n" FIELD_SEAL ": s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n1",
        "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID ": a1\r\n" FIELD_SEAL ": s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"};

    for (size_t i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
        struct fixture f;
        struct peer *caller;

        fixture_open(&f, 1, GRACE_S);
        caller = peer_connect(&f, &f.entry_address, 0);
        check_response(&f, caller, "a1", responses[i], true, "HTTP/1.1 502");
        CU_ASSERT_PTR_NULL(strstr(caller->received->str, "HTTP/1.1 200"));
        fixture_close(&f);
    }
}

/* Sends a body as an announcement of the upstream. */
static void
announce_text(struct fixture *f, const char *body)
{
    struct peer *c = peer_connect(f, &f->announce_address, 0);
    char *head = g_strdup_printf("POST " PATH_INSTANCES "i-1" PATH_HEARTBEAT
                                 " HTTP/1.1\r\n"
                                 "Host: n\r\nContent-Length: %zu\r\n\r\n",
                                 strlen(body));

    peer_send(c, head);
    peer_send(c, body);
    CU_ASSERT_TRUE(peer_wait_text(f, c, "HTTP/1.1 4", SOON_MS));
    g_free(head);
}

/* Returns an announcement whose sequence is a text; the caller frees it. */
static char *
build_announcement(const char *address, const char *slots,
                   const char *sequence)
{
    return g_strdup_printf(
        "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"s\","
        "\"version\":\"v\",\"zone\":\"z\",\"max_concurrency\":%s},"
        "\"status\":{\"state\":\"ready\",\"seq\":%s}}",
        address, slots, sequence);
}

/* Guards against: an odd announcement that ends the process, or that keeps it
 * from following the announcements after it. */
static void
test_odd_announcements(void)
{
    static const char *const odd[][3] = {
        {"127.0.0.1:99999", "6", "2"},
        {"127.0.0.1:80", "6", "1e999"},
        {"127.0.0.1:80", "6", "99999999999999999999999"},
        {"127.0.0.1:80", "99999999999", "2"},
        {"127.0.0.1:80", "-1", "2"},
        {"127.0.0.1:80", "6", "2.5"}};
    static const struct announced_state ready = {
        .state = "ready", .started_ms = FIXTURE_STARTED_MS, .sequence = 2};
    static const uint32_t depths[] = {1900, 200000};
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        char *body = build_announcement(odd[i][0], odd[i][1], odd[i][2]);

        announce_text(&f, body);
        g_free(body);
    }
    for (size_t i = 0; i < sizeof(depths) / sizeof(depths[0]); i++) {
        GString *body = g_string_new(NULL);

        for (uint32_t n = 0; n < depths[i]; n++) {
            g_string_append(body, "{\"a\":[");
        }
        announce_text(&f, body->str);
        g_string_free(body, TRUE);
    }
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &ready), 200);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a1"), 200);
    fixture_close(&f);
}

/* Guards against: an upload that is broken off because its upstream reads the
 * body late. */
static void
test_late_reader(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *upstream;
    char *body = g_strnfill(LATE_BODY_BYTES, 'b');

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, UNSAFE("late") "Content-Length: 1000000\r\n\r\n");
    peer_send(caller, body);
    upstream = upstream_wait_request(&f, "late", LATE_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
    upstream->is_paused = true;
    fixture_run(&f, LATE_MS);
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 "), 0);
    upstream->is_paused = false;
    CU_ASSERT_TRUE(peer_wait_bytes(&f, upstream, LATE_BODY_BYTES, LATE_MS));
    upstream_respond(&f, upstream, "late", "body");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "HTTP/1.1 200", LATE_MS));
    fixture_close(&f);
    g_free(body);
}

static const struct bb_unit_test tests[] = {
    {"stale refusals", test_stale_refusals},
    {"truncated heads", test_truncated_heads},
    {"odd announcements", test_odd_announcements},
    {"late reader", test_late_reader}};

BB_UNIT_MAIN("responses", tests)
