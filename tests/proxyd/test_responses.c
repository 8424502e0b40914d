/* Tests what callers get if an upstream responds wrongly, with real processes.
 */
#include <string.h>

#include "fixture.h"
#include "unit.h"

enum { GRACE_S = 6, SOON_MS = 2000 };

#define NOT_RUN_FIELD "X-Baobabshed-Not-Executed: 1\r\n"

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
                   "HTTP/1.1 503 Refused\r\n" NOT_RUN_FIELD
                   "X-Baobabshed-Request-Id: a1\r\n"
                   "Content-Length: 0\r\n\r\n",
                   false, "HTTP/1.1 503");
    check_response(&f, caller, "a2",
                   "HTTP/1.1 503 Refused\r\n" NOT_RUN_FIELD
                   "X-Baobabshed-Request-Id: a1\r\n"
                   "Content-Length: 0\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nX-Baobabshed-Request-Id: a2\r\n"
                   "X-Baobabshed-Response-Seal: s\r\n"
                   "Content-Length: 4\r\n\r\nbody",
                   false, "HTTP/1.1 200");
    check_response(&f, caller, "a3",
                   "HTTP/1.1 503 Refused\r\n" NOT_RUN_FIELD
                   "Content-Length: 0\r\n\r\n",
                   false, "HTTP/1.1 502");
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 503"), 1);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"stale refusals", test_stale_refusals}};

BB_UNIT_MAIN("responses", tests)
