/* Tests that no request is lost when a process stops, with real processes. */
#include <signal.h>
#include <string.h>

#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    MS_PER_S = 1000,
    /* Longest time in which something that is not delayed happens. */
    SOON_MS = 2000
};

/* Sends a request through the proxy, and responds to it as the upstream. */
static void
exchange(struct fixture *f, struct peer *caller, const char *id)
{
    char *request = g_strdup_printf(SAFE("%s") "\r\n", id);
    char *body = g_strdup_printf("body of %s", id);

    peer_send(caller, request);
    upstream_respond(upstream_wait_request(f, id, SOON_MS), id, body);
    CU_ASSERT_TRUE(peer_wait_text(f, caller, body, SOON_MS));
    g_free(body);
    g_free(request);
}

/* Guards against: a process that ends by a signal, or late, after SIGTERM
 * because the handles of kept connections to its upstream are closed twice. */
static void
test_exit_status_with_kept_connection(void)
{
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    exchange(&f, peer_connect(&f, &f.entry_address, 0), "a1");
    process_signal(&f.proxy, SIGTERM);
    CU_ASSERT_TRUE(process_wait(&f, &f.proxy, GRACE_S * MS_PER_S));
    CU_ASSERT_EQUAL(f.proxy.wait_status, 0);
    process_signal(&f.cores[0], SIGTERM);
    CU_ASSERT_TRUE(process_wait(&f, &f.cores[0], GRACE_S * MS_PER_S));
    CU_ASSERT_EQUAL(f.cores[0].wait_status, 0);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"exit status with a kept connection",
     test_exit_status_with_kept_connection}};

BB_UNIT_MAIN("stop", tests)
