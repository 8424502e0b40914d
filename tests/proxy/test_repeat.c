/* Refusals after an attempt was repeated: what they say about the earlier
 * attempts. */
#include <glib.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fixture.h"

/* A gatekeeper that takes a request and closes the connection or refuses. */
struct gatekeeper {
    int listener;
    const char *answer; /* NULL: none */
    pthread_t thread;
};

static void *
serve_one(void *argument)
{
    struct gatekeeper *g = argument;
    int fd = accept(g->listener, NULL, NULL);
    char request[4096];

    CU_ASSERT_TRUE(recv(fd, request, sizeof(request), 0) > 0);
    if (g->answer != NULL) {
        send_text(fd, g->answer);
    }
    (void)close(fd);
    return NULL;
}

/* Sends a GET through an entry node that knows one gatekeeper. */
static struct test_answer *
get_from(const char *gatekeeper_answer)
{
    struct gatekeeper g = {.answer = gatekeeper_answer};
    struct bb_address http;
    struct test_node entry;
    struct test_answer *a;

    g.listener = silent_listener(&http);
    start_node(&entry, "entry", (struct bb_proxy_settings){0});
    add_member(&entry, "gate", "z2", http, http);
    apply_table(&entry);
    CU_ASSERT_EQUAL_FATAL(pthread_create(&g.thread, NULL, serve_one, &g), 0);
    a = call(bb_proxy_caller_address(entry.proxy),
             "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    (void)pthread_join(g.thread, NULL);
    stop_node(&entry);
    (void)close(g.listener);
    return a;
}

/* Guards against "not run" for an idempotent request whose first attempt was
 * lost after it had been sent and which found no gatekeeper for the next. */
static void
test_lost_attempt_is_not_forgotten(void)
{
    struct test_answer *a = get_from(NULL);

    CU_ASSERT_EQUAL(a->status, 502);
    CU_ASSERT_TRUE(has(a, "Baobab-Refused: connection_lost"));
    CU_ASSERT_TRUE(has(a, "Baobab-Ran: unknown"));
    g_free(a);
}

/* Guards against the reason no_upstream where the only gatekeeper refused,
 * and against "unknown" where no attempt ran. */
static void
test_refusal_of_the_only_gatekeeper_is_told(void)
{
    struct test_answer *a =
        get_from("HTTP/1.1 503 Service Unavailable\r\n"
                 "Baobab-Refused: queue_full\r\nBaobab-Ran: no\r\n"
                 "Content-Length: 0\r\n\r\n");

    CU_ASSERT_EQUAL(a->status, 503);
    CU_ASSERT_TRUE(has(a, "Baobab-Refused: queue_full"));
    CU_ASSERT_TRUE(has(a, "Baobab-Ran: no"));
    g_free(a);
}

static const struct bb_unit_test tests[] = {
    {"lost attempt is not forgotten", test_lost_attempt_is_not_forgotten},
    {"refusal of the only gatekeeper is told",
     test_refusal_of_the_only_gatekeeper_is_told},
};

BB_UNIT_MAIN("repeat", tests)
