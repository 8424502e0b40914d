/* The thread pool: deeper calls always find a worker, and detached work frees
 * capacity. */
#include <stdatomic.h>

#include "common/clock.h"
#include "proxy/workers.h"
#include "unit.h"

enum { DEPTH_ZERO_MAX = 2, EXTRA_PER_DEPTH = 1, WAIT_US = 20 * BB_US_PER_MS };

struct job {
    struct bb_work work;
    struct bb_workers *workers;
    atomic_bool *may_finish;
};

static void
run_job(void *context)
{
    struct job *j = context;

    while (!atomic_load(j->may_finish)) {
        bb_clock_sleep_us(BB_US_PER_MS);
    }
    bb_workers_finish(j->workers, &j->work);
}

static bool
submit(struct job *j, struct bb_workers *p, atomic_bool *may_finish,
       uint32_t depth)
{
    *j = (struct job){.work = {.run = run_job, .context = j, .depth = depth},
                      .workers = p,
                      .may_finish = may_finish};
    return bb_workers_submit(p, &j->work, bb_clock_now_us() + WAIT_US);
}

/* Guards against nested calls that wait for workers held by their callers. */
static void
test_deeper_calls_find_workers(void)
{
    const struct bb_workers_limits limits = {
        .depth_zero_max = DEPTH_ZERO_MAX, .extra_per_depth = EXTRA_PER_DEPTH};
    struct bb_workers *p = bb_workers_create(&limits);
    atomic_bool may_finish = false;
    struct job jobs[24];
    uint32_t count = 0;

    CU_ASSERT_TRUE(submit(&jobs[count++], p, &may_finish, 0));
    CU_ASSERT_TRUE(submit(&jobs[count++], p, &may_finish, 0));
    CU_ASSERT_FALSE(submit(&jobs[count], p, &may_finish, 0));
    for (uint32_t depth = 1; depth <= BB_CALL_DEPTH_MAX; depth++) {
        CU_ASSERT_TRUE(submit(&jobs[count++], p, &may_finish, depth));
        CU_ASSERT_FALSE(submit(&jobs[count], p, &may_finish, depth));
    }
    atomic_store(&may_finish, true);
    CU_ASSERT_TRUE(bb_workers_destroy(p, 2000));
}

/* Guards against a silent peer that occupies all workers. */
static void
test_detached_work_frees_capacity(void)
{
    const struct bb_workers_limits limits = {.depth_zero_max = DEPTH_ZERO_MAX,
                                             .extra_per_depth =
                                                 EXTRA_PER_DEPTH,
                                             .detached_max = 1};
    struct bb_workers *p = bb_workers_create(&limits);
    atomic_bool may_finish = false;
    struct job jobs[4];

    CU_ASSERT_TRUE(submit(&jobs[0], p, &may_finish, 0));
    CU_ASSERT_TRUE(submit(&jobs[1], p, &may_finish, 0));
    bb_workers_detach(p, &jobs[0].work);
    CU_ASSERT_TRUE(submit(&jobs[2], p, &may_finish, 0));
    bb_workers_detach(p, &jobs[1].work);
    /* Above detached_max, detached work counts again. */
    CU_ASSERT_FALSE(submit(&jobs[3], p, &may_finish, 0));
    atomic_store(&may_finish, true);
    CU_ASSERT_TRUE(bb_workers_destroy(p, 2000));
}

static const struct bb_unit_test tests[] = {
    {"deeper calls find workers", test_deeper_calls_find_workers},
    {"detached work frees capacity", test_detached_work_frees_capacity},
};

BB_UNIT_MAIN("workers", tests)
