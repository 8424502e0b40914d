/* Tests control hosts whose disks refuse writes, one after the other, with
 * real processes. */
#include <signal.h>

#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    CORES = 3,
    ROUNDS = 9,
    MORE_ROUTES = 6000, /* a configuration of about 1 MB */
    IDLE_TIMEOUT_MS = 10000,
    BODY_MAX_BYTES = 1024 * 1024,
    /* Less than a state, so that the file that is being replaced is torn. */
    FULL_BYTES = 64,
    PAUSE_MS = 400
};

/* Changes the configuration, and waits until the proxy has it. */
static void
change(struct fixture *f)
{
    static uint32_t count;

    count++;
    CU_ASSERT_TRUE(
        fixture_configure(f, IDLE_TIMEOUT_MS + count, BODY_MAX_BYTES));
}

/* Fills the disk of a control host for a while. Meanwhile the host starts
 * again, another one does, or the leader stands still. */
static void
fill_disk(struct fixture *f, uint32_t core, uint32_t round)
{
    uint32_t other = (core + 1) % CORES;

    fixture_limit_core_files(f, core, FULL_BYTES);
    change(f);
    switch (round % 3) {
    case 0:
        fixture_restart_core(f, core);
        break;
    case 1:
        fixture_restart_core(f, other);
        break;
    default:
        process_signal(&f->cores[f->leader], SIGSTOP);
        fixture_run(f, PAUSE_MS);
        process_signal(&f->cores[f->leader], SIGCONT);
        break;
    }
    change(f);
    fixture_limit_core_files(f, core, 0);
}

/* Fills the disk of the leader and of the others in turn, and checks that each
 * change is accepted, also by hosts that read it back from their disks. */
static void
check_disks(uint32_t more_routes)
{
    struct fixture f;

    fixture_open(&f, CORES, GRACE_S);
    f.more_routes = more_routes;
    change(&f);
    for (uint32_t round = 0; round < ROUNDS; round++) {
        fill_disk(&f, round % 2 == 0 ? f.leader : (f.leader + 1) % CORES,
                  round);
    }
    change(&f);
    for (uint32_t i = 0; i < CORES; i++) {
        process_signal(&f.cores[i], SIGSTOP);
    }
    for (uint32_t i = 0; i < CORES; i++) {
        fixture_restart_core(&f, i);
    }
    change(&f);
    change(&f);
    fixture_close(&f);
}

/* Guards against: changes that are refused or unanswered long after the last
 * of several full disks has room again. */
static void
test_full_in_turn(void)
{
    check_disks(0);
}

/* Guards against: the same with a large state, of which a part is written. */
static void
test_full_with_a_large_state(void)
{
    check_disks(MORE_ROUTES);
}

static const struct bb_unit_test tests[] = {
    {"full in turn", test_full_in_turn},
    {"full with a large state", test_full_with_a_large_state}};

BB_UNIT_MAIN("disks", tests)
