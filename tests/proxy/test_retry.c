/* Refusals must not report "not run" if an earlier attempt may have run. */
#include <glib.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fixture.h"

/* A fake gatekeeper that reads one request, sends a fixed response if any, and
 * closes the connection. */
struct gatekeeper {
    int listener;
    const char *response; /* NULL: close without a response */
    pthread_t thread;
};

static void *
accept_and_respond(void *argument)
{
    struct gatekeeper *g = argument;
    int fd = accept(g->listener, NULL, NULL);
    char request[4096];

    CU_ASSERT_TRUE(recv(fd, request, sizeof(request), 0) > 0);
    if (g->response != NULL) {
        send_text(fd, g->response);
    }
    (void)close(fd);
    return NULL;
}

/* Sends a GET through an entry node that knows only the fake gatekeeper. */
static struct test_response *
get_through_entry(const char *gatekeeper_response)
{
    struct gatekeeper g = {.response = gatekeeper_response};
    struct bb_address http;
    struct test_node entry;
    struct test_response *r;

    g.listener = listen_without_accepting(&http);
    start_node(&entry, "entry", (struct bb_proxy_settings){0});
    add_member(&entry, "gate", "z2", http, http);
    apply_table(&entry);
    CU_ASSERT_EQUAL_FATAL(
        pthread_create(&g.thread, NULL, accept_and_respond, &g), 0);
    r = send_request(
        bb_proxy_caller_address(entry.proxy),
        "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    (void)pthread_join(g.thread, NULL);
    stop_node(&entry);
    (void)close(g.listener);
    return r;
}

/* Guards against reporting "not run" for an idempotent request whose first
 * attempt was lost after it was sent, when no gatekeeper is left for a retry.
 */
static void
test_lost_attempt_is_reported_as_unknown(void)
{
    struct test_response *r = get_through_entry(NULL);

    CU_ASSERT_EQUAL(r->status, 502);
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: connection_lost"));
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: unknown"));
    g_free(r);
}

/* Guards against reporting no_upstream when the only gatekeeper refused, and
 * against "unknown" when no attempt ran. */
static void
test_refusal_of_the_only_gatekeeper_is_reported(void)
{
    struct test_response *r =
        get_through_entry("HTTP/1.1 503 Service Unavailable\r\n"
                          "Baobab-Refused: queue_full\r\nBaobab-Ran: no\r\n"
                          "Content-Length: 0\r\n\r\n");

    CU_ASSERT_EQUAL(r->status, 503);
    CU_ASSERT_TRUE(contains(r, "Baobab-Refused: queue_full"));
    CU_ASSERT_TRUE(contains(r, "Baobab-Ran: no"));
    g_free(r);
}

static const struct bb_unit_test tests[] = {
    {"lost attempt is reported as unknown",
     test_lost_attempt_is_reported_as_unknown},
    {"refusal of the only gatekeeper is reported",
     test_refusal_of_the_only_gatekeeper_is_reported},
};

BB_UNIT_MAIN("retry", tests)
