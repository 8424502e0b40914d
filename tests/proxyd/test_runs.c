/* Tests that the gate finds out which run of an upstream is in service though
 * the wall clock, and with it the starts of the runs, goes back. With real
 * processes. */
#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    HEARTBEAT_MS = 1000,
    /* The clock goes back by more than the time between the two starts. */
    EARLIER_START_MS = FIXTURE_STARTED_MS - 600,
    /* From an acknowledged drain until a request must not reach the
     * upstream. */
    DRAIN_MS = 2500,
    REPEAT_MS = 500,
    REPEATS_MAX = 8
};

#define ID_FIELD FIELD_INSTANCE_ID ": "

/* The run that fixture_open announces as i-1. */
static const struct announced_state known = {
    .state = "ready", .started_ms = FIXTURE_STARTED_MS, .sequence = 100};
static const struct announced_state restarted = {
    .state = "ready", .started_ms = EARLIER_START_MS, .sequence = 1};

/* Announces a run regularly for `ms` milliseconds. */
static void
announce_for(struct fixture *f, const char *id, struct announced_state *a,
             uint32_t ms)
{
    for (uint32_t passed_ms = 0; passed_ms < ms; passed_ms += HEARTBEAT_MS) {
        CU_ASSERT_EQUAL(fixture_announce(f, id, a), 200);
        a->sequence++;
        fixture_run(f, HEARTBEAT_MS);
    }
}

/* Drains a run with a single announcement. Returns the status. */
static int
drain(struct fixture *f, const char *id, struct announced_state *a)
{
    a->state = "draining";
    a->sequence++;
    return fixture_announce(f, id, a);
}

/* Checks that no request reaches the upstream from DRAIN_MS on. */
static void
check_drained(struct fixture *f)
{
    fixture_run(f, DRAIN_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(f, "a1"), 503);
}

/* Guards against: a drain of a run that started after the clock went back,
 * which is acknowledged and ignored. */
static void
test_drain(void)
{
    struct fixture f;
    struct announced_state a = restarted;

    fixture_open(&f, 1, GRACE_S);
    announce_for(&f, "i-1", &a, 4 * HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a0"), 200);
    CU_ASSERT_EQUAL(drain(&f, "i-1", &a), 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: the same with a withdrawal. */
static void
test_withdrawal(void)
{
    struct fixture f;
    struct announced_state a = restarted;

    fixture_open(&f, 1, GRACE_S);
    announce_for(&f, "i-1", &a, 4 * HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", EARLIER_START_MS), 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: a drain that is the first that is heard of such a run, and
 * is acknowledged before it is known whether that run is in service. */
static void
test_drain_first(void)
{
    struct fixture f;
    struct announced_state a = restarted;
    int status = 0;

    fixture_open(&f, 1, GRACE_S);
    for (uint32_t i = 0; i < REPEATS_MAX && status != 200; i++) {
        status = drain(&f, "i-1", &a);
        CU_ASSERT_TRUE(status == 200 || status == 503);
        fixture_run(&f, REPEAT_MS);
    }
    CU_ASSERT_EQUAL(status, 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: the same with a withdrawal. */
static void
test_withdrawal_first(void)
{
    struct fixture f;
    int status = 0;

    fixture_open(&f, 1, GRACE_S);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", EARLIER_START_MS), 503);
    for (uint32_t i = 0; i < REPEATS_MAX && status != 200; i++) {
        fixture_run(&f, REPEAT_MS);
        status = fixture_withdraw(&f, "i-1", EARLIER_START_MS);
    }
    CU_ASSERT_EQUAL(status, 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: late messages of an ended run that stop the one in service.
 */
static void
test_late_drain(void)
{
    struct fixture f;
    struct announced_state a = known;
    struct announced_state late = restarted;

    fixture_open(&f, 1, GRACE_S);
    announce_for(&f, "i-1", &a, HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &late), 200);
    CU_ASSERT_EQUAL(drain(&f, "i-1", &late), 503);
    for (uint32_t i = 0; i < 4; i++) {
        announce_for(&f, "i-1", &a, HEARTBEAT_MS);
        CU_ASSERT_EQUAL(drain(&f, "i-1", &late), 503);
    }
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", EARLIER_START_MS), 503);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a1"), 200);
    fixture_close(&f);
}

/* Guards against: a late announcement of an ended run that opens the gate of a
 * drained one. */
static void
test_late_ready(void)
{
    struct fixture f;
    struct announced_state a = known;

    fixture_open(&f, 1, GRACE_S);
    announce_for(&f, "i-1", &a, HEARTBEAT_MS);
    f.is_upstream_leaving = true;
    CU_ASSERT_EQUAL(drain(&f, "i-1", &a), 200);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &restarted), 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: a late announcement of a run that has been replaced, whose
 * start is higher, so that it takes the place of the one in service. */
static void
test_late_announcement_of_replaced_run(void)
{
    struct fixture f;
    struct announced_state a = restarted;
    struct announced_state late = known;

    fixture_open(&f, 1, GRACE_S);
    announce_for(&f, "i-1", &a, 4 * HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &late), 200);
    CU_ASSERT_EQUAL(drain(&f, "i-1", &late), 503);
    announce_for(&f, "i-1", &a, HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a0"), 200);
    CU_ASSERT_EQUAL(drain(&f, "i-1", &a), 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: an upstream under another id that started after the clock
 * went back: it gets no requests, as they bear the known id, and its drain is
 * ignored. */
static void
test_other_id(void)
{
    struct fixture f;
    struct announced_state a = restarted;
    const struct peer *u;

    fixture_open(&f, 1, GRACE_S);
    f.upstream_field = ID_FIELD "i-2\r\n";
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-2", &a), 200);
    fixture_run(&f, REPEAT_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a0"), 200);
    u = f.peers->pdata[f.peers->len - 1];
    CU_ASSERT_EQUAL(peer_count(u, FIELD_EXPECT_INSTANCE ": i-2\r\n"), 1);
    CU_ASSERT_EQUAL(drain(&f, "i-2", &a), 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: the same where the gate cannot ask the upstream for its id.
 */
static void
test_other_id_unchecked(void)
{
    struct fixture f;
    struct announced_state first = known;
    struct announced_state a = restarted;

    fixture_open(&f, 1, GRACE_S);
    fixture_kill_cores(&f);
    fixture_restart_proxy(&f);
    announce_for(&f, "i-1", &first, 6 * HEARTBEAT_MS);
    announce_for(&f, "i-2", &a, 6 * HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a0"), 200);
    CU_ASSERT_EQUAL(drain(&f, "i-2", &a), 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: late messages of an ended upstream with a higher start that
 * stop the one in service. */
static void
test_late_other_id(void)
{
    struct fixture f;
    struct announced_state late = {.state = "ready",
                                   .started_ms = FIXTURE_STARTED_MS + 600,
                                   .sequence = 50};
    struct announced_state a = known;

    fixture_open(&f, 1, GRACE_S);
    f.upstream_field = ID_FIELD "i-1\r\n";
    announce_for(&f, "i-1", &a, HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-0", &late), 200);
    fixture_run(&f, REPEAT_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a0"), 200);
    CU_ASSERT_EQUAL(drain(&f, "i-0", &late), 503);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-0", late.started_ms), 503);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a1"), 200);
    fixture_close(&f);
}

/* Guards against: a proxy that remembers the drain of an earlier run, and
 * admits nothing to the next one as its start is lower. */
static void
test_restarted_proxy(void)
{
    struct fixture f;
    struct announced_state first = known;
    struct announced_state a = restarted;

    fixture_open(&f, 1, GRACE_S);
    CU_ASSERT_EQUAL(drain(&f, "i-1", &first), 200);
    fixture_run(&f, REPEAT_MS);
    fixture_restart_proxy(&f);
    announce_for(&f, "i-1", &a, 4 * HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a0"), 200);
    CU_ASSERT_EQUAL(drain(&f, "i-1", &a), 200);
    check_drained(&f);
    fixture_close(&f);
}

/* Guards against: the late withdrawal of an ended run, without its start, that
 * stops the run in service under the same id. */
static void
test_late_withdrawal_without_start(void)
{
    struct fixture f;
    struct announced_state a = {.state = "ready",
                                .started_ms = FIXTURE_STARTED_MS + 600,
                                .sequence = 1};

    fixture_open(&f, 1, GRACE_S);
    announce_for(&f, "i-1", &a, HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", 0), 503);
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a0"), 200);
    announce_for(&f, "i-1", &a, 5 * HEARTBEAT_MS);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", 0), 200);
    check_drained(&f);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"drain", test_drain},
    {"withdrawal", test_withdrawal},
    {"drain as the first message", test_drain_first},
    {"withdrawal as the first message", test_withdrawal_first},
    {"late drain", test_late_drain},
    {"late ready announcement", test_late_ready},
    {"late announcement of a replaced run",
     test_late_announcement_of_replaced_run},
    {"other id", test_other_id},
    {"other id, unchecked", test_other_id_unchecked},
    {"late messages of another id", test_late_other_id},
    {"restarted proxy", test_restarted_proxy},
    {"late withdrawal without a start", test_late_withdrawal_without_start}};

BB_UNIT_MAIN("runs", tests)
