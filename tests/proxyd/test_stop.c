/* Tests that no request is lost when a process stops, with real processes. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    LONG_GRACE_S = 20, /* for callers that read slowly */
    MS_PER_S = 1000,
    /* From SIGTERM until the proxy refuses requests, and ends if it is idle,
     * with some margin. */
    AFTER_NOTICE_MS = 3000,
    SHORT_IDLE_TIMEOUT_MS = 200,
    /* Together more than sockets buffer and a slow caller reads until the
     * proxy ends if it is idle. */
    RESPONSES = 120,
    RESPONSE_BYTES = 64000,
    SMALL_BUFFER_BYTES = 64 * 1024,
    READ_PART_BYTES = 16 * 1024,
    READ_PAUSE_MS = 20,
    READS_MAX = 2000,
    /* From SIGTERM until shortly before the deadline of requests that come
     * during the stop, and from then until the entry has responded to all. */
    BEFORE_DEADLINE_MS = 4900,
    LATE_LOOP_MS = 500,
    /* Longest time in which something that is not delayed happens. */
    SOON_MS = 2000
};

/* More than the server buffers before it passes a request on. */
#define UPLOAD_BYTES 800000

#define CLOSE_FIELD "Connection: close\r\n"

/* Sends a request through the proxy, and responds to it as the upstream. */
static void
exchange(struct fixture *f, struct peer *caller, const char *id)
{
    char *request = g_strdup_printf(SAFE("%s") "\r\n", id);
    char *body = g_strdup_printf("body of %s", id);

    peer_send(caller, request);
    upstream_respond(f, upstream_wait_request(f, id, SOON_MS), id, body);
    CU_ASSERT_TRUE(peer_wait_text(f, caller, body, SOON_MS));
    g_free(body);
    g_free(request);
}

/* Checks that the proxy ends by itself within the grace time. */
static void
check_clean_exit(struct fixture *f)
{
    CU_ASSERT_TRUE(process_wait(f, &f->proxy, GRACE_S * MS_PER_S));
    CU_ASSERT_EQUAL(f->proxy.wait_status, 0);
}

/* Sends a signal to the control hosts that do not lead. */
static void
signal_followers(struct fixture *f, int number)
{
    for (uint32_t i = 0; i < f->core_count; i++) {
        if (i != f->leader) {
            process_signal(&f->cores[i], number);
        }
    }
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
    check_clean_exit(&f);
    process_signal(&f.cores[0], SIGTERM);
    CU_ASSERT_TRUE(process_wait(&f, &f.cores[0], GRACE_S * MS_PER_S));
    CU_ASSERT_EQUAL(f.cores[0].wait_status, 0);
    fixture_close(&f);
}

/* Guards against: a request in progress at SIGTERM that gets no response, or
 * one without `Connection: close`. */
static void
test_request_in_progress(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *upstream;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    exchange(&f, caller, "a1");
    CU_ASSERT_EQUAL(peer_count(caller, CLOSE_FIELD), 0);
    peer_send(caller, SAFE("a2") "\r\n");
    upstream = upstream_wait_request(&f, "a2", SOON_MS);
    process_signal(&f.proxy, SIGTERM);
    fixture_run(&f, AFTER_NOTICE_MS);
    upstream_respond(&f, upstream, "a2", "body of a2");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a2", SOON_MS));
    CU_ASSERT_EQUAL(peer_count(caller, CLOSE_FIELD), 1);
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: a second SIGTERM or a SIGINT that cuts the stop short. */
static void
test_repeated_signals(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *upstream;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, SAFE("a1") "\r\n");
    upstream = upstream_wait_request(&f, "a1", SOON_MS);
    process_signal(&f.proxy, SIGTERM);
    fixture_run(&f, 100);
    process_signal(&f.proxy, SIGTERM);
    fixture_run(&f, 100);
    process_signal(&f.proxy, SIGINT);
    fixture_run(&f, AFTER_NOTICE_MS);
    upstream_respond(&f, upstream, "a1", "body of a1");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a1", SOON_MS));
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: a pipelined request that reaches its upstream after an
 * earlier one was answered, and is dropped with the connection. */
static void
test_pipeline(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *first;
    struct peer *second;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, SAFE("a1") "\r\n" SAFE("a2") "\r\n");
    first = upstream_wait_request(&f, "a1", SOON_MS);
    second = upstream_wait_request(&f, "a2", SOON_MS);
    process_signal(&f.proxy, SIGTERM);
    CU_ASSERT_TRUE(fixture_wait_log(&f, &f.proxy, "host.stopping", SOON_MS));
    upstream_respond(&f, second, "a2", "body of a2");
    fixture_run(&f, 200);
    peer_send(caller, SAFE("a3") "\r\n");
    upstream_respond(&f, upstream_wait_request(&f, "a3", SOON_MS), "a3",
                     "body of a3");
    fixture_run(&f, AFTER_NOTICE_MS);
    upstream_respond(&f, first, "a1", "body of a1");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a1", SOON_MS));
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a2", SOON_MS));
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a3", SOON_MS));
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 "), 3);
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: SIGHUP that closes connections or loses requests, running or
 * pipelined. */
static void
test_reload(void)
{
    struct fixture f;
    struct peer *idle;
    struct peer *caller;
    struct peer *first;
    struct peer *second;

    fixture_open(&f, 1, GRACE_S);
    idle = peer_connect(&f, &f.entry_address, 0);
    caller = peer_connect(&f, &f.entry_address, 0);
    exchange(&f, idle, "b1");
    peer_send(caller, SAFE("a1") "\r\n" SAFE("a2") "\r\n" UNSAFE(
                          "a3") "Content-Length: 2\r\n\r\nhi");
    first = upstream_wait_request(&f, "a1", SOON_MS);
    second = upstream_wait_request(&f, "a2", SOON_MS);
    process_signal(&f.proxy, SIGHUP);
    CU_ASSERT_TRUE(fixture_wait_log(&f, &f.proxy, "host.reload", SOON_MS));
    fixture_run(&f, 300);
    upstream_respond(&f, second, "a2", "body of a2");
    upstream_respond(&f, first, "a1", "body of a1");
    upstream_respond(&f, upstream_wait_request(&f, "a3", SOON_MS), "a3",
                     "body of a3");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a1", SOON_MS));
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a2", SOON_MS));
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a3", SOON_MS));
    exchange(&f, caller, "a4");
    exchange(&f, idle, "b2");
    CU_ASSERT_EQUAL(peer_count(caller, CLOSE_FIELD), 0);
    CU_ASSERT_EQUAL(peer_count(idle, CLOSE_FIELD), 0);
    fixture_close(&f);
}

/* Guards against: a shorter idle timeout of a new configuration that closes
 * connections with requests in progress. */
static void
test_shorter_idle_timeout(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *first;
    struct peer *second;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, SAFE("a1") "\r\n" SAFE("a2") "\r\n" UNSAFE(
                          "a3") "Content-Length: 2\r\n\r\nhi");
    first = upstream_wait_request(&f, "a1", SOON_MS);
    second = upstream_wait_request(&f, "a2", SOON_MS);
    CU_ASSERT_TRUE(
        fixture_configure(&f, SHORT_IDLE_TIMEOUT_MS, FIXTURE_BODY_MAX_BYTES));
    fixture_run(&f, 4 * SHORT_IDLE_TIMEOUT_MS);
    upstream_respond(&f, second, "a2", "body of a2");
    fixture_run(&f, 4 * SHORT_IDLE_TIMEOUT_MS);
    upstream_respond(&f, first, "a1", "body of a1");
    upstream_respond(&f, upstream_wait_request(&f, "a3", SOON_MS), "a3",
                     "body of a3");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a1", SOON_MS));
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a2", SOON_MS));
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a3", SOON_MS));
    fixture_close(&f);
}

/* Returns a text of this length, which the caller frees. */
static char *
long_text(size_t size_bytes)
{
    char *text = g_malloc(size_bytes + 1);

    memset(text, 'x', size_bytes);
    text[size_bytes] = '\0';
    return text;
}

/* Guards against: a lower body limit of a new configuration that closes the
 * connection of a request whose body was allowed and is being passed on. */
static void
test_lower_body_limit(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *upstream;
    char *part = long_text(UPLOAD_BYTES / 2);

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, UNSAFE("a1") "Content-Length: " G_STRINGIFY(
                          UPLOAD_BYTES) "\r\n\r\n");
    peer_send(caller, part);
    upstream = upstream_wait_request(&f, "a1", SOON_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
    CU_ASSERT_TRUE(
        fixture_configure(&f, FIXTURE_IDLE_TIMEOUT_MS, UPLOAD_BYTES / 4));
    peer_send(caller, part);
    CU_ASSERT_TRUE(peer_wait_bytes(&f, upstream, UPLOAD_BYTES, SOON_MS));
    upstream_respond(&f, upstream, "a1", "body of a1");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a1", SOON_MS));
    g_free(part);
    fixture_close(&f);
}

/* Responds to a request with a long body. */
static void
respond_long(struct fixture *f, uint32_t number)
{
    char *id = g_strdup_printf("a%u.", number);
    char *body = long_text(RESPONSE_BYTES);

    upstream_respond(f, upstream_wait_request(f, id, SOON_MS), id, body);
    g_free(body);
    g_free(id);
}

/* Pipelines requests whose responses exceed what the sockets buffer, and reads
 * slowly. Checks that all responses arrive whole although the proxy is
 * stopped, before or after the last of them. */
static void
check_slow_reader(bool is_last_after_signal)
{
    struct fixture f;
    struct peer *caller;
    uint32_t reads = 0;

    fixture_open(&f, 1, LONG_GRACE_S);
    caller = peer_connect(&f, &f.entry_address, SMALL_BUFFER_BYTES);
    caller->is_paused = true;
    for (uint32_t i = 1; i <= RESPONSES; i++) {
        char *request = g_strdup_printf(SAFE("a%u.") "\r\n", i);

        peer_send(caller, request);
        g_free(request);
    }
    for (uint32_t i = 1; i < RESPONSES; i++) {
        respond_long(&f, i);
        (void)peer_read(caller, READ_PART_BYTES / 4);
    }
    if (!is_last_after_signal) {
        respond_long(&f, RESPONSES);
        fixture_run(&f, 100);
    }
    process_signal(&f.proxy, SIGTERM);
    if (is_last_after_signal) {
        CU_ASSERT_TRUE(
            fixture_wait_log(&f, &f.proxy, "host.stopping", SOON_MS));
        respond_long(&f, RESPONSES);
    }
    while (!caller->is_ended &&
           caller->received->len < RESPONSES * RESPONSE_BYTES &&
           reads++ < READS_MAX) {
        (void)peer_read(caller, READ_PART_BYTES);
        fixture_run(&f, READ_PAUSE_MS);
    }
    caller->is_paused = false;
    (void)peer_wait_end(&f, caller, SOON_MS);
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 200"), RESPONSES);
    CU_ASSERT_TRUE(caller->received->len > RESPONSES * RESPONSE_BYTES);
    CU_ASSERT_EQUAL(peer_count(caller, CLOSE_FIELD),
                    is_last_after_signal ? 1 : 0);
    CU_ASSERT_TRUE(process_wait(&f, &f.proxy, LONG_GRACE_S * MS_PER_S));
    CU_ASSERT_EQUAL(f.proxy.wait_status, 0);
    fixture_close(&f);
}

/* Guards against: a process that ends although bytes of a response are unsent,
 * on a connection that stays open after it. */
static void
test_slow_reader_of_earlier_response(void)
{
    check_slow_reader(false);
}

/* Guards against: a process that ends although bytes of a response are unsent,
 * on a connection that is to be closed after it. */
static void
test_slow_reader_of_last_response(void)
{
    check_slow_reader(true);
}

/* Guards against: a request that waited behind another one at SIGTERM and is
 * dropped, when the other one is answered in time for both. */
static void
test_waiting_request_served(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *upstream;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller,
              SAFE("a1") "\r\n" UNSAFE("a2") "Content-Length: 2\r\n\r\nhi");
    upstream = upstream_wait_request(&f, "a1", SOON_MS);
    process_signal(&f.proxy, SIGTERM);
    fixture_run(&f, 500);
    upstream_respond(&f, upstream, "a1", "body of a1");
    upstream = upstream_wait_request(&f, "a2", SOON_MS);
    fixture_run(&f, AFTER_NOTICE_MS);
    upstream_respond(&f, upstream, "a2", "body of a2");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "body of a2", SOON_MS));
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 200"), 2);
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: a request that waited behind another one at SIGTERM and gets
 * no response because new requests are refused by then. */
static void
test_waiting_request_refused(void)
{
    struct fixture f;
    struct peer *caller;
    struct peer *upstream;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller,
              SAFE("a1") "\r\n" UNSAFE("a2") "Content-Length: 2\r\n\r\nhi");
    upstream = upstream_wait_request(&f, "a1", SOON_MS);
    process_signal(&f.proxy, SIGTERM);
    fixture_run(&f, AFTER_NOTICE_MS);
    upstream_respond(&f, upstream, "a1", "body of a1");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "HTTP/1.1 503", SOON_MS));
    CU_ASSERT_EQUAL(peer_count(caller, "body of a1"), 1);
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: complete responses, and requests that wait, dropped at the
 * end of the grace time because an earlier request of their connection is
 * still in progress. */
static void
test_request_beyond_grace_time(void)
{
    struct fixture f;
    struct peer *caller;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, SAFE("a1") "\r\n" SAFE("a2") "\r\n" UNSAFE(
                          "a3") "Content-Length: 2\r\n\r\nhi");
    CU_ASSERT_PTR_NOT_NULL(upstream_wait_request(&f, "a1", SOON_MS));
    upstream_respond(&f, upstream_wait_request(&f, "a2", SOON_MS), "a2",
                     "body of a2");
    process_signal(&f.proxy, SIGTERM);
    CU_ASSERT_TRUE(process_wait(&f, &f.proxy, GRACE_S * MS_PER_S));
    CU_ASSERT_EQUAL(f.proxy.wait_status, 0);
    CU_ASSERT_TRUE(peer_wait_end(&f, caller, SOON_MS));
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 502"), 1);
    CU_ASSERT_EQUAL(peer_count(caller, "body of a2"), 1);
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 503"), 1);
    fixture_close(&f);
}

/* Guards against: a process that stops and gives an upstream more time than it
 * has itself, so that its end cuts off the request. */
static void
test_deadline_during_stop(void)
{
    static const char field[] = FIELD_DEADLINE_MS ": ";
    struct fixture f;
    struct peer *caller;
    const struct peer *upstream;
    const char *head;
    const char *deadline;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    exchange(&f, caller, "a1");
    process_signal(&f.proxy, SIGTERM);
    CU_ASSERT_TRUE(fixture_wait_log(&f, &f.proxy, "host.stopping", SOON_MS));
    peer_send(caller, SAFE("a2") "\r\n");
    upstream = upstream_wait_request(&f, "a2", SOON_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
    head = strstr(upstream->received->str, "Id: a2");
    CU_ASSERT_PTR_NOT_NULL_FATAL(head);
    deadline = strstr(head, field);
    CU_ASSERT_PTR_NOT_NULL_FATAL(deadline);
    CU_ASSERT_TRUE(strtol(deadline + strlen(field), NULL, 10) <
                   GRACE_S * MS_PER_S);
    CU_ASSERT_TRUE(
        peer_wait_text(&f, caller, "HTTP/1.1 504", GRACE_S * MS_PER_S));
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: a request whose deadline has passed, and that gets the
 * response for the end of the grace time as the loop is late for both. */
static void
test_late_loop_at_deadline(void)
{
    struct fixture f;
    struct peer *caller;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    exchange(&f, caller, "a1");
    process_signal(&f.proxy, SIGTERM);
    CU_ASSERT_TRUE(fixture_wait_log(&f, &f.proxy, "host.stopping", SOON_MS));
    peer_send(caller, SAFE("a2") "\r\n");
    CU_ASSERT_PTR_NOT_NULL(upstream_wait_request(&f, "a2", SOON_MS));
    /* From before the deadline until after the entry ends all requests. */
    fixture_run(&f, BEFORE_DEADLINE_MS);
    process_signal(&f.proxy, SIGSTOP);
    fixture_run(&f, LATE_LOOP_MS);
    process_signal(&f.proxy, SIGCONT);
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "HTTP/1.1 504", SOON_MS));
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: a request on a new connection that is dropped because the
 * process, whose loop is late, ends before it reads it. */
static void
test_late_loop(void)
{
    struct fixture f;
    struct peer *kept;
    struct peer *caller;

    fixture_open(&f, 1, GRACE_S);
    kept = peer_connect(&f, &f.entry_address, 0);
    exchange(&f, kept, "a1");
    process_signal(&f.proxy, SIGTERM);
    fixture_run(&f, 2300);
    process_signal(&f.proxy, SIGSTOP);
    fixture_run(&f, 100);
    peer_send(kept, SAFE("a2") "\r\n");
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, SAFE("a3") "\r\n");
    fixture_run(&f, 500);
    process_signal(&f.proxy, SIGCONT);
    CU_ASSERT_TRUE(peer_wait_text(&f, kept, "HTTP/1.1 503", SOON_MS));
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "HTTP/1.1 503", SOON_MS));
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: a request whose body is still arriving when requests are
 * refused, and that gets no response because the process ends. */
static void
test_request_being_received(void)
{
    struct fixture f;
    struct peer *caller;

    fixture_open(&f, 1, GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, UNSAFE("a1") "Content-Length: 2\r\n\r\nh");
    fixture_run(&f, 100);
    process_signal(&f.proxy, SIGTERM);
    fixture_run(&f, AFTER_NOTICE_MS);
    peer_send(caller, "i");
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "HTTP/1.1 503", SOON_MS));
    check_clean_exit(&f);
    fixture_close(&f);
}

/* Guards against: a process that does not end before its grace time is over
 * because a caller never completes its request. */
static void
test_request_never_complete(void)
{
    struct fixture f;
    struct peer *caller;

    fixture_open(&f, 1, LONG_GRACE_S);
    caller = peer_connect(&f, &f.entry_address, 0);
    peer_send(caller, UNSAFE("a1") "Content-Length: 2\r\n\r\nh");
    fixture_run(&f, 100);
    process_signal(&f.proxy, SIGTERM);
    CU_ASSERT_TRUE(process_wait(&f, &f.proxy, LONG_GRACE_S * MS_PER_S / 2));
    CU_ASSERT_EQUAL(f.proxy.wait_status, 0);
    fixture_close(&f);
}

/* Sends a proposal to the leader while the other control hosts are frozen, and
 * stops the leader. The others continue after `frozen_ms`. Checks that the
 * operator gets a response. */
static void
check_proposal_at_stop(uint32_t frozen_ms)
{
    struct fixture f;
    struct process *leader;
    struct peer *caller;
    GString *proposal;

    fixture_open(&f, FIXTURE_CORES_MAX, GRACE_S);
    leader = &f.cores[f.leader];
    caller = peer_connect(&f, &f.operator_addresses[f.leader], 0);
    proposal = fixture_build_proposal(&f, FIXTURE_IDLE_TIMEOUT_MS,
                                      FIXTURE_BODY_MAX_BYTES);
    signal_followers(&f, SIGSTOP);
    peer_send(caller, proposal->str);
    fixture_run(&f, 50);
    process_signal(leader, SIGTERM);
    fixture_run(&f, frozen_ms);
    signal_followers(&f, SIGCONT);
    CU_ASSERT_TRUE(peer_wait_text(&f, caller, "\r\n\r\n", SOON_MS));
    CU_ASSERT_EQUAL(peer_count(caller, "HTTP/1.1 200") +
                        peer_count(caller, "HTTP/1.1 503"),
                    1);
    CU_ASSERT_TRUE(process_wait(&f, leader, SOON_MS));
    CU_ASSERT_EQUAL(leader->wait_status, 0);
    g_string_free(proposal, TRUE);
    fixture_close(&f);
}

/* Guards against: an operator whose change is being agreed on when the leader
 * is stopped, and who gets no response although a majority responds. */
static void
test_proposal_with_late_majority(void)
{
    check_proposal_at_stop(500);
}

/* Guards against: an operator whose change is being agreed on when the leader
 * is stopped, and who gets no response as no majority responds. */
static void
test_proposal_without_majority(void)
{
    check_proposal_at_stop(SOON_MS);
}

static const struct bb_unit_test tests[] = {
    {"exit status with a kept connection",
     test_exit_status_with_kept_connection},
    {"request in progress", test_request_in_progress},
    {"pipeline", test_pipeline},
    {"repeated signals", test_repeated_signals},
    {"reload", test_reload},
    {"shorter idle timeout", test_shorter_idle_timeout},
    {"lower body limit", test_lower_body_limit},
    {"slow reader of an earlier response",
     test_slow_reader_of_earlier_response},
    {"slow reader of the last response", test_slow_reader_of_last_response},
    {"waiting request served", test_waiting_request_served},
    {"waiting request refused", test_waiting_request_refused},
    {"request beyond the grace time", test_request_beyond_grace_time},
    {"late loop", test_late_loop},
    {"deadline during the stop", test_deadline_during_stop},
    {"deadline on a late loop", test_late_loop_at_deadline},
    {"request being received", test_request_being_received},
    {"request that is never complete", test_request_never_complete},
    {"proposal with a late majority", test_proposal_with_late_majority},
    {"proposal without a majority", test_proposal_without_majority}};

BB_UNIT_MAIN("stop", tests)
