/* Tests that the limit of an upstream holds, with real processes. */
#include "common/clock.h"
#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    WINDOW_MS = 4000,
    CALL_PAUSE_MS = 20,
    /* As the upstream states it in LIMIT_FIELD. */
    LIMIT_PER_S = 3,
    CALLS_MAX = LIMIT_PER_S * WINDOW_MS / 1000 + 2,
    AFTER_RESTORE_MS = 2500
};

#define LIMIT_FIELD FIELD_LIMIT ": 3.0\r\n"

/* Calls the gate one call after the other, for WINDOW_MS. Returns how many
 * calls reached the upstream. */
static uint32_t
call_for_a_window(struct fixture *f)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)WINDOW_MS * BB_US_PER_MS;
    static uint32_t number;
    uint32_t count = 0;

    while (bb_clock_now_us() < end_us) {
        char *id = g_strdup_printf("call-%u", number++);

        count += fixture_call_gate(f, id) == 200;
        g_free(id);
        fixture_run(f, CALL_PAUSE_MS);
    }
    return count;
}

/* Guards against: more requests than the limit that the upstream states, also
 * from a restarted gate, and a limit that stays after its end. */
static void
test_limit_and_restart(void)
{
    static const struct announced_state ready = {
        .state = "ready", .started_ms = FIXTURE_STARTED_MS, .sequence = 2};
    struct fixture f;
    uint32_t count;

    fixture_open(&f, 1, GRACE_S);
    f.upstream_field = LIMIT_FIELD;
    CU_ASSERT_EQUAL(fixture_call_gate(&f, "a1"), 200);
    count = call_for_a_window(&f);
    CU_ASSERT_TRUE(count <= CALLS_MAX);
    CU_ASSERT_TRUE(count >= CALLS_MAX / 2);
    fixture_restart_proxy(&f);
    CU_ASSERT_EQUAL(fixture_announce(&f, "i-1", &ready), 200);
    fixture_run(&f, AFTER_RESTORE_MS);
    count = call_for_a_window(&f);
    CU_ASSERT_TRUE(count <= CALLS_MAX);
    CU_ASSERT_TRUE(count >= CALLS_MAX / 2);
    f.upstream_field = "";
    CU_ASSERT_TRUE(call_for_a_window(&f) > 4 * CALLS_MAX);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"limit and restart", test_limit_and_restart}};

BB_UNIT_MAIN("limit", tests)
