/* Tests requests that arrive throughout the grace time of a planned stop, with
 * real processes. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    CALLERS = 40,
    /* Between the requests of two callers; the last ones arrive when the
     * process has ended. */
    INTERVAL_MS = 150,
    /* More requests than the upstream has slots arrive in this time. */
    WORK_MS = 2500,
    TURN_MS = 5,
    PRIME_MAX_MS = 5000,
    END_MAX_MS = 9000,
    ID_BYTES = 16
};

/* A request on a connection that was used before. */
struct late_call {
    struct peer *caller;
    struct peer *upstream; /* NULL: has not reached it */
    uint64_t reached_us;
    char id[ID_BYTES];
    bool is_sent;
    bool is_run; /* the upstream has responded */
};

static void
send_request(struct late_call *call)
{
    char *request =
        g_strdup_printf(UNSAFE("%s") "Content-Length: 0\r\n\r\n", call->id);

    peer_send(call->caller, request);
    g_free(request);
    call->is_sent = true;
}

/* Finds the requests that have reached the upstream, and responds to those
 * that have run for `work_ms`. */
static void
run_requests(struct fixture *f, struct late_call *calls, uint32_t work_ms)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        struct late_call *c = &calls[i];

        if (c->is_sent && c->upstream == NULL) {
            c->upstream = upstream_wait_request(f, c->id, 0);
            c->reached_us = bb_clock_now_us();
        }
        if (c->upstream != NULL && !c->is_run &&
            bb_clock_now_us() - c->reached_us >=
                (uint64_t)work_ms * BB_US_PER_MS) {
            c->is_run = true;
            g_string_truncate(c->upstream->received, 0);
            upstream_respond(f, c->upstream, c->id, "body");
        }
    }
}

/* Opens the connections, and sends and answers one request on each. */
static void
prime(struct fixture *f, struct late_call *calls)
{
    uint64_t end_us =
        bb_clock_now_us() + (uint64_t)PRIME_MAX_MS * BB_US_PER_MS;
    uint32_t count = 0;

    for (uint32_t i = 0; i < CALLERS; i++) {
        calls[i] = (struct late_call){
            .caller = peer_connect(f, &f->entry_address, 0)};
        (void)snprintf(calls[i].id, ID_BYTES, "first-%u", i);
        send_request(&calls[i]);
    }
    while (count < CALLERS && bb_clock_now_us() < end_us) {
        run_requests(f, calls, 0);
        fixture_run(f, TURN_MS);
        count = 0;
        for (uint32_t i = 0; i < CALLERS; i++) {
            count += peer_count(calls[i].caller, "body");
        }
    }
    CU_ASSERT_EQUAL(count, CALLERS);
    for (uint32_t i = 0; i < CALLERS; i++) {
        calls[i] = (struct late_call){.caller = calls[i].caller};
        (void)snprintf(calls[i].id, ID_BYTES, "late-%u", i);
        g_string_truncate(calls[i].caller->received, 0);
    }
}

/* Guards against: requests that come late in the grace time, are passed on or
 * wait for a slot, and are cut without a response at its end. */
static void
test_late_requests(void)
{
    struct fixture f;
    struct late_call calls[CALLERS];
    uint64_t start_us;
    uint64_t passed_ms = 0;
    uint32_t reached = 0;

    fixture_open(&f, 1, GRACE_S);
    prime(&f, calls);
    process_signal(&f.proxy, SIGTERM);
    start_us = bb_clock_now_us();
    while (passed_ms < END_MAX_MS && !process_wait(&f, &f.proxy, 0)) {
        passed_ms = (bb_clock_now_us() - start_us) / BB_US_PER_MS;
        for (uint32_t i = 0; i < CALLERS; i++) {
            if (!calls[i].is_sent && passed_ms >= i * INTERVAL_MS) {
                send_request(&calls[i]);
            }
        }
        run_requests(&f, calls, WORK_MS);
        fixture_run(&f, TURN_MS);
    }
    CU_ASSERT_EQUAL(f.proxy.pid, 0);
    fixture_run(&f, TURN_MS);
    for (uint32_t i = 0; i < CALLERS; i++) {
        if (calls[i].upstream != NULL) {
            reached++;
            CU_ASSERT_EQUAL(peer_count(calls[i].caller, "HTTP/1.1 "), 1);
        }
    }
    CU_ASSERT_TRUE(reached > 0);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"late requests", test_late_requests}};

BB_UNIT_MAIN("grace", tests)
