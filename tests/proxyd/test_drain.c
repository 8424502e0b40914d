/* Tests that an acknowledged drain holds, with real processes. */
#include <signal.h>

#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    STARTED_MS = FIXTURE_STARTED_MS,
    /* Longer than a restarted gate waits for the control hosts. */
    AFTER_RESTORE_MS = 2500,
    HEARTBEAT_MS = 1000,
    /* A restarted gate that cannot check the upstream trusts it by then. */
    HEARTBEATS_MAX = 10
};

#define LEAVING_FIELD FIELD_LEAVING ": " VALUE_LEAVING "\r\n"

static const struct announced_state ready = {
    .state = "ready", .started_ms = STARTED_MS, .sequence = 5};
static const struct announced_state late_ready = {
    .state = "ready", .started_ms = STARTED_MS, .sequence = 8};
static const struct announced_state draining = {
    .state = "draining", .started_ms = STARTED_MS, .sequence = 9};

/* Restarts the proxy after an acknowledged drain, with or without control
 * hosts, which do not know of the drain, and checks that an announcement from
 * before the drain does not open the gate. */
static void
check_late_announcement(struct fixture *f, bool has_cores)
{
    if (!has_cores) {
        fixture_kill_cores(f);
    }
    f->is_upstream_leaving = true;
    CU_ASSERT_EQUAL(fixture_announce(f, "i-1", &draining), 200);
    fixture_restart_proxy(f);
    CU_ASSERT_EQUAL(fixture_announce(f, "i-1", &late_ready), 200);
    fixture_run(f, AFTER_RESTORE_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(f, "a1"), 503);
}

/* Guards against: a restarted gate that believes an announcement from before
 * an acknowledged drain. */
static void
test_late_announcement_after_restart(void)
{
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    check_late_announcement(&f, false);
    fixture_close(&f);
}

/* Guards against: the same while the control hosts are frozen and have not
 * heard of the drain. */
static void
test_late_announcement_with_old_record(void)
{
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    process_signal(&f.cores[0], SIGSTOP);
    check_late_announcement(&f, true);
    process_signal(&f.cores[0], SIGCONT);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &late_ready), 200);
    fixture_run(&f, AFTER_RESTORE_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a2"), 503);
    fixture_close(&f);
}

/* Guards against: a withdrawal that cannot be applied but is acknowledged. */
static void
test_withdrawal_of_unknown_upstream(void)
{
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    fixture_kill_cores(&f);
    fixture_restart_proxy(&f);
    f.is_upstream_leaving = true;
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", 0), 200);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &late_ready), 200);
    fixture_run(&f, AFTER_RESTORE_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a1"), 503);
    fixture_close(&f);
}

/* Guards against: a withdrawal that is acknowledged but not applied, as
 * another upstream is known. */
static void
test_withdrawal_of_another_upstream(void)
{
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-2", 0), 503);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", 0), 200);
    fixture_close(&f);
}

/* Guards against: a ready upstream that gets no requests after a restart
 * without a control host in reach. */
static void
test_ready_upstream_after_restart(void)
{
    struct fixture f;
    struct announced_state a = ready;
    int status = 0;

    fixture_open(&f, 1, GRACE_S);
    fixture_kill_cores(&f);
    fixture_restart_proxy(&f);
    for (uint32_t i = 0; i < HEARTBEATS_MAX && status != 200; i++) {
        CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &a), 200);
        a.sequence++;
        fixture_run(&f, HEARTBEAT_MS);
        status = fixture_call_gate(&f, "a1");
    }
    CU_ASSERT_EQUAL(status, 200);
    fixture_close(&f);
}

/* Guards against: requests to an upstream that said in a response that it
 * leaves, before its announcement arrives. */
static void
test_leaving_field(void)
{
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a1"), 200);
    f.upstream_field = LEAVING_FIELD;
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a2"), 200);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a3"), 503);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &ready), 200);
    fixture_run(&f, HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a4"), 503);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"late announcement after a restart",
     test_late_announcement_after_restart},
    {"late announcement with an old record",
     test_late_announcement_with_old_record},
    {"withdrawal of an unknown upstream", test_withdrawal_of_unknown_upstream},
    {"withdrawal of another upstream", test_withdrawal_of_another_upstream},
    {"ready upstream after a restart", test_ready_upstream_after_restart},
    {"leaving field", test_leaving_field}};

BB_UNIT_MAIN("drain", tests)
