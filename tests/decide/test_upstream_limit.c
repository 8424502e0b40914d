/* Tests which limit of an upstream holds and what it allows. */
#include "decide/upstream_limit.h"
#include "unit.h"

enum { SECOND_US = 1000 * 1000, WINDOW_US = 4 * SECOND_US };

static const struct bb_limit_report none = {.statement = BB_LIMIT_NONE};
static const struct bb_limit_report invalid = {.statement = BB_LIMIT_INVALID};

/* Returns a report that names a limit. */
static struct bb_limit_report
named(uint32_t rate_mrps)
{
    return (struct bb_limit_report){.statement = BB_LIMIT_NAMED,
                                    .rate_mrps = rate_mrps};
}

/* Applies a report that names a limit. */
static void
name_limit(struct bb_upstream_limit *l, uint32_t rate_mrps, uint64_t sent_us,
           uint64_t now_us)
{
    const struct bb_limit_report r = named(rate_mrps);

    (void)bb_upstream_limit_update(l, &r, sent_us, now_us);
}

/* Guards against: more requests in any window than the rate and the burst
 * allow, at rates above and below one a second and after a pause. */
static void
test_rate(void)
{
    static const uint32_t rates_mrps[] = {200, 999, 1000, 6600, 123456};

    for (size_t i = 0; i < sizeof(rates_mrps) / sizeof(rates_mrps[0]); i++) {
        struct bb_upstream_limit l = {0};
        uint64_t allowed = ((uint64_t)rates_mrps[i] * WINDOW_US / SECOND_US +
                            (uint64_t)rates_mrps[i] *
                                BB_UPSTREAM_LIMIT_BURST_US / SECOND_US) /
                               1000 +
                           1;
        uint64_t starts[4096] = {0};
        uint32_t count = 0;
        uint32_t first = 0;

        name_limit(&l, rates_mrps[i], 1, 1);
        for (uint64_t now_us = 1; now_us < 6 * WINDOW_US; now_us += 1000) {
            bool is_pause = now_us / WINDOW_US == 2;

            while (!is_pause &&
                   bb_upstream_limit_wait_us(&l, 0, now_us) == 0) {
                bb_upstream_limit_count(&l, now_us);
                starts[count++ % 4096] = now_us;
            }
            while (first < count &&
                   starts[first % 4096] + WINDOW_US <= now_us) {
                first++;
            }
            CU_ASSERT_TRUE(count - first <= allowed);
        }
        CU_ASSERT_TRUE(count * 1000ULL >= (uint64_t)rates_mrps[i] * 19 *
                                              WINDOW_US / SECOND_US / 4);
    }
}

/* Guards against: a wait that does not match the turns that follow. */
static void
test_wait(void)
{
    struct bb_upstream_limit l = {0};

    CU_ASSERT_EQUAL(bb_upstream_limit_wait_us(&l, 5, 10), 0);
    name_limit(&l, 10000, 1, SECOND_US);
    CU_ASSERT_EQUAL(bb_upstream_limit_wait_us(&l, 0, SECOND_US), 0);
    CU_ASSERT_EQUAL(bb_upstream_limit_wait_us(&l, 3, SECOND_US), 300 * 1000);
    bb_upstream_limit_count(&l, SECOND_US);
    CU_ASSERT_EQUAL(bb_upstream_limit_wait_us(&l, 0, SECOND_US), 100 * 1000);
    CU_ASSERT_EQUAL(bb_upstream_limit_wait_us(&l, 0, SECOND_US + 100 * 1000),
                    0);
}

/* Guards against: a limit that holds on after its end, and one that a response
 * to an earlier request ends or raises. */
static void
test_changes(void)
{
    struct bb_upstream_limit l = {0};

    name_limit(&l, 5000, 10, 100);
    CU_ASSERT_TRUE(l.is_limited);
    CU_ASSERT_FALSE(bb_upstream_limit_update(&l, &none, 99, 200));
    name_limit(&l, 9000, 99, 200);
    CU_ASSERT_EQUAL(l.rate_mrps, 5000);
    name_limit(&l, 3000, 99, 300);
    CU_ASSERT_EQUAL(l.rate_mrps, 3000);
    name_limit(&l, 9000, 300, 400);
    CU_ASSERT_EQUAL(l.rate_mrps, 9000);
    CU_ASSERT_FALSE(bb_upstream_limit_update(&l, &invalid, 500, 600));
    CU_ASSERT_TRUE(l.is_limited);
    CU_ASSERT_TRUE(bb_upstream_limit_update(&l, &none, 500, 600));
    CU_ASSERT_FALSE(l.is_limited);
    CU_ASSERT_FALSE(bb_upstream_limit_update(&l, &invalid, 700, 800));
    CU_ASSERT_FALSE(l.is_limited);
}

/* Guards against: a raised limit that still waits for the turn of a low one,
 * and limit 0 that cannot end. */
static void
test_limit_zero(void)
{
    struct bb_upstream_limit l = {0};

    name_limit(&l, 0, 10, 100);
    CU_ASSERT_TRUE(bb_upstream_limit_wait_us(&l, 0, 100) > WINDOW_US);
    bb_upstream_limit_count(&l, 100); /* a health check */
    name_limit(&l, 2000, 200, 300);
    CU_ASSERT_TRUE(bb_upstream_limit_wait_us(&l, 0, 300) <= SECOND_US / 2);
    name_limit(&l, 0, 400, 500);
    CU_ASSERT_TRUE(bb_upstream_limit_update(&l, &none, 600, 700));
    CU_ASSERT_EQUAL(bb_upstream_limit_wait_us(&l, 0, 700), 0);
}

/* Guards against: refused callers that come back together, sooner than the
 * rate serves them, or much later. */
static void
test_returns(void)
{
    struct bb_return_schedule s = {0};

    CU_ASSERT_EQUAL(bb_return_schedule_take(&s, 2000, 100, SECOND_US), 100);
    CU_ASSERT_EQUAL(bb_return_schedule_take(&s, 2000, 100, SECOND_US),
                    100 + SECOND_US / 2);
    CU_ASSERT_EQUAL(bb_return_schedule_take(&s, 2000, 0, SECOND_US),
                    100 + SECOND_US);
    CU_ASSERT_EQUAL(bb_return_schedule_take(&s, 2000, 100, 9 * SECOND_US),
                    100);
    for (uint32_t i = 0; i < 100; i++) {
        CU_ASSERT_TRUE(bb_return_schedule_take(&s, 1, 0, 9 * SECOND_US) <=
                       BB_RETURN_SCHEDULE_MAX_US);
    }
}

static const struct bb_unit_test tests[] = {
    {"rate", test_rate},       {"wait", test_wait},
    {"changes", test_changes}, {"limit 0", test_limit_zero},
    {"returns", test_returns},
};

BB_UNIT_MAIN("upstream_limit", tests)
