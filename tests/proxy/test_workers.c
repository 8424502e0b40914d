/* Workers: deeper calls always find room, and detached work gives room back.
 */
#include <stdatomic.h>

#include "common/clock.h"
#include "proxy/workers.h"
#include "unit.h"

enum { BASE = 2, STEP = 1, WAIT_US = 20 * BB_US_PER_MS };

struct job {
    struct bb_work work;
    struct bb_workers *workers;
    atomic_bool *gate;
};

static void
run_job(void *context)
{
    struct job *j = context;

    while (!atomic_load(j->gate)) {
        bb_clock_sleep_us(BB_US_PER_MS);
    }
    bb_workers_finish(j->workers, &j->work);
}

static bool
submit(struct job *j, struct bb_workers *p, atomic_bool *gate, uint32_t depth)
{
    *j = (struct job){.work = {.run = run_job, .context = j, .depth = depth},
                      .workers = p,
                      .gate = gate};
    return bb_workers_submit(p, &j->work, bb_clock_now_us() + WAIT_US);
}

/* Guards against nested calls that wait for workers held by their callers. */
static void
test_deeper_calls_find_workers(void)
{
    const struct bb_workers_limits limits = {.depth_zero_max = BASE,
                                             .extra_per_depth = STEP};
    struct bb_workers *p = bb_workers_create(&limits);
    atomic_bool gate = false;
    struct job jobs[24];
    uint32_t count = 0;

    CU_ASSERT_TRUE(submit(&jobs[count++], p, &gate, 0));
    CU_ASSERT_TRUE(submit(&jobs[count++], p, &gate, 0));
    CU_ASSERT_FALSE(submit(&jobs[count], p, &gate, 0));
    for (uint32_t depth = 1; depth <= BB_DEPTH_MAX; depth++) {
        CU_ASSERT_TRUE(submit(&jobs[count++], p, &gate, depth));
        CU_ASSERT_FALSE(submit(&jobs[count], p, &gate, depth));
    }
    atomic_store(&gate, true);
    CU_ASSERT_TRUE(bb_workers_destroy(p, 2000));
}

/* Guards against a silent peer that uses up the workers. */
static void
test_detached_work_gives_room_back(void)
{
    const struct bb_workers_limits limits = {
        .depth_zero_max = BASE, .extra_per_depth = STEP, .detached_max = 1};
    struct bb_workers *p = bb_workers_create(&limits);
    atomic_bool gate = false;
    struct job jobs[4];

    CU_ASSERT_TRUE(submit(&jobs[0], p, &gate, 0));
    CU_ASSERT_TRUE(submit(&jobs[1], p, &gate, 0));
    bb_workers_detach(p, &jobs[0].work);
    CU_ASSERT_TRUE(submit(&jobs[2], p, &gate, 0));
    bb_workers_detach(p, &jobs[1].work);
    /* Beyond the maximum, detached work counts again. */
    CU_ASSERT_FALSE(submit(&jobs[3], p, &gate, 0));
    atomic_store(&gate, true);
    CU_ASSERT_TRUE(bb_workers_destroy(p, 2000));
}

static const struct bb_unit_test tests[] = {
    {"deeper calls find workers", test_deeper_calls_find_workers},
    {"detached work gives room back", test_detached_work_gives_room_back},
};

BB_UNIT_MAIN("workers", tests)
