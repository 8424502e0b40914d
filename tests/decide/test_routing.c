/* Choice of gatekeepers and ejection of outliers. Distances, the paid link
 * between regions and the return of a slow gatekeeper are tested by traces:
 * paid_link, one_in_four_slowed. */
#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "common/random.h"
#include "common/registry.h"
#include "decide/outlier.h"
#include "decide/route_pick.h"
#include "unit.h"

enum { SEED = 20261204, COUNT = 4, SLOTS = 6, PICKS = 4000 };

static struct bb_route_candidate candidates[COUNT];
static const struct bb_route_candidate *candidate_list[COUNT];
static struct bb_route_state route;
static struct bb_link_budget link_budget;
static struct bb_outliers outliers;

static void
set_up(const enum bb_route_distance distances[COUNT],
       uint64_t link_bytes_per_s)
{
    memset(&route, 0, sizeof(route));
    memset(&link_budget, 0, sizeof(link_budget));
    bb_link_budget_configure(&link_budget, link_bytes_per_s, 1);
    for (uint64_t i = 0; i < COUNT; i++) {
        bb_route_candidate_init(&candidates[i], i + 1, distances[i], SLOTS);
        candidate_list[i] = &candidates[i];
    }
}

static struct bb_route_choice
pick(const char *policy, uint64_t random_bits, uint64_t now_us)
{
    const struct bb_route_request r = {.can_probe = true, .link_bytes = 1000};

    return bb_route_pick(bb_plugin_find(BB_PLUGIN_ROUTING_POLICY, policy),
                         &route, candidate_list, COUNT, &r, &link_budget,
                         random_bits, now_us);
}

static const enum bb_route_distance same_zone[COUNT];

/* Guards against concurrent calls that all go to the gatekeeper that an old
 * report shows as idle. */
static void
test_concurrent_calls_are_spread(void)
{
    struct bb_random *random = bb_random_create(SEED);
    uint32_t highest = 0;
    uint32_t lowest = UINT32_MAX;

    set_up(same_zone, 0);
    bb_route_candidate_update_load(&candidates[0], 0, 0, SLOTS, 1);
    for (int i = 1; i < COUNT; i++) {
        bb_route_candidate_update_load(&candidates[i], 2, 0, SLOTS, 1);
    }
    for (int i = 0; i < 40; i++) {
        struct bb_route_choice c =
            pick("least_wait", bb_random_u64(random), 2);

        CU_ASSERT_TRUE_FATAL(c.index >= 0);
        bb_route_candidate_start(&candidates[c.index]);
    }
    for (int i = 0; i < COUNT; i++) {
        uint32_t n = candidates[i].in_flight;

        highest = n > highest ? n : highest;
        lowest = n < lowest ? n : lowest;
    }
    CU_ASSERT_TRUE(highest - lowest <= 6);
    bb_random_destroy(random);
}

/* Guards against a slow gatekeeper that gets as many calls as the others. */
static void
test_slower_candidate_gets_fewer_calls(void)
{
    struct bb_random *random = bb_random_create(SEED);
    uint32_t slow = 0;

    set_up(same_zone, 0);
    for (int i = 0; i < COUNT; i++) {
        for (int n = 0; n < 20; n++) {
            bb_route_candidate_finish(
                &candidates[i], BB_ADMISSION_CLASS_SHORT,
                i == 0 ? 40 * BB_US_PER_MS : 10 * BB_US_PER_MS, true);
        }
    }
    for (int i = 0; i < PICKS; i++) {
        slow += pick("least_wait", bb_random_u64(random), 2).index == 0;
    }
    CU_ASSERT_TRUE(slow < PICKS / 10);
    bb_random_destroy(random);
}

/* Guards against a round robin that skips or prefers a gatekeeper. */
static void
test_round_robin_takes_turns(void)
{
    set_up(same_zone, 0);
    for (int i = 0; i < 3 * COUNT; i++) {
        CU_ASSERT_EQUAL(pick("round_robin", 0, 2).index, i % COUNT);
    }
}

/* Guards against calls to a gatekeeper that cannot be reached or drains. */
static void
test_no_calls_after_failed_connect(void)
{
    set_up(same_zone, 0);
    bb_route_candidate_start(&candidates[2]);
    bb_route_candidate_connect_failed(&candidates[2], 10);
    for (uint64_t i = 0; i < 100; i++) {
        CU_ASSERT_NOT_EQUAL(pick("round_robin", i, 20).index, 2);
    }
    for (int i = 0; i < COUNT; i++) {
        candidates[i].is_draining = true;
    }
    CU_ASSERT_EQUAL(pick("least_wait", 0, 20).reason, BB_REASON_NO_UPSTREAM);
}

/* Makes one call of a gatekeeper, from *now_us, and advances *now_us by its
 * duration. */
static void
call_gatekeeper(uint64_t id, uint64_t duration_us, bool is_failure,
                uint64_t *now_us)
{
    uint64_t start_us = *now_us;

    bb_outlier_start(&outliers, id, BB_ADMISSION_CLASS_SHORT, start_us);
    *now_us += duration_us;
    bb_outlier_finish(&outliers, id, BB_ADMISSION_CLASS_SHORT, start_us,
                      is_failure, *now_us);
}

static uint64_t
set_up_outliers(uint32_t share_percent)
{
    uint64_t now_us = 1;

    bb_outliers_init(&outliers, share_percent);
    for (uint64_t id = 1; id <= COUNT; id++) {
        CU_ASSERT_TRUE(bb_outliers_add(&outliers, id));
    }
    CU_ASSERT_FALSE(bb_outliers_add(&outliers, 1));
    for (int n = 0; n < 20; n++) {
        for (uint64_t id = 1; id <= COUNT; id++) {
            /* The last gatekeeper is far away. */
            call_gatekeeper(
                id, id == COUNT ? 50 * BB_US_PER_MS : 10 * BB_US_PER_MS, false,
                &now_us);
        }
    }
    CU_ASSERT_EQUAL(bb_outliers_count_ejected(&outliers), 0);
    return now_us;
}

/* Guards against a stalled upstream that is not ejected because its calls have
 * no responses yet. */
static void
test_outstanding_slow_calls_eject(void)
{
    uint64_t t = set_up_outliers(33);

    for (uint64_t i = 0; i < 4; i++) {
        bb_outlier_start(&outliers, 2, BB_ADMISSION_CLASS_SHORT, t + i);
    }
    bb_outliers_tick(&outliers, t + 30 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(bb_outliers_count_ejected(&outliers), 0);
    bb_outliers_tick(&outliers, t + 60 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(outliers.gatekeepers[1].stage, BB_OUTLIER_EJECTED);
}

/* Guards against ejecting more than the configured share of the gatekeepers
 * when several fail at once. */
static void
test_max_ejected_is_never_exceeded(void)
{
    uint64_t t = set_up_outliers(33);

    for (int n = 0; n < 20; n++) {
        call_gatekeeper(1, 10 * BB_US_PER_MS, true, &t);
        call_gatekeeper(2, 10 * BB_US_PER_MS, true, &t);
        call_gatekeeper(3, 10 * BB_US_PER_MS, true, &t);
        CU_ASSERT_TRUE(bb_outliers_count_ejected(&outliers) <= 1);
    }
    CU_ASSERT_EQUAL(bb_outliers_count_ejected(&outliers), 1);
}

/* Guards against ejecting healthy gatekeepers when the whole service is
 * slower. */
static void
test_slow_service_ejects_nobody(void)
{
    uint64_t t = set_up_outliers(33);

    for (int n = 0; n < 30; n++) {
        for (uint64_t id = 1; id <= COUNT; id++) {
            call_gatekeeper(id, (id == COUNT ? 250 : 50) * BB_US_PER_MS, false,
                            &t);
        }
        CU_ASSERT_EQUAL(bb_outliers_count_ejected(&outliers), 0);
    }
}

/* Guards against calls that use the paid link only because each gatekeeper of
 * the local region has refused them once. */
static void
test_tried_gatekeepers_do_not_empty_the_region(void)
{
    const enum bb_route_distance distances[COUNT] = {
        [0] = BB_ROUTE_SAME_ZONE,
        [1] = BB_ROUTE_SAME_REGION,
        [2 ... COUNT - 1] = BB_ROUTE_OTHER_REGION};
    struct bb_route_request r = {
        .link_bytes = 1000, .excluded = {1, 2}, .excluded_count = 2};
    const void *policy =
        bb_plugin_find(BB_PLUGIN_ROUTING_POLICY, "least_wait");
    struct bb_route_choice c;

    set_up(distances, 1000000);
    for (uint64_t now_us = 1; now_us < 3000000; now_us += 1000) {
        c = bb_route_pick(policy, &route, candidate_list, COUNT, &r,
                          &link_budget, now_us, now_us);
        CU_ASSERT_EQUAL(c.index, -1);
    }
    r.is_hedge = true;
    c = bb_route_pick(policy, &route, candidate_list, COUNT, &r, &link_budget,
                      0, 1);
    CU_ASSERT_EQUAL(c.index, -1);
    r.excluded_count = 1;
    c = bb_route_pick(policy, &route, candidate_list, COUNT, &r, &link_budget,
                      0, 1);
    CU_ASSERT_EQUAL(c.index, 1);
}

/* Guards against hedges that take slots from first attempts during overload.
 */
static void
test_hedges_need_a_free_slot(void)
{
    const struct bb_route_request r = {.is_hedge = true};
    const void *policy =
        bb_plugin_find(BB_PLUGIN_ROUTING_POLICY, "least_wait");
    struct bb_route_choice c;

    set_up(same_zone, 0);
    for (int i = 0; i < COUNT; i++) {
        bb_route_candidate_update_load(&candidates[i], SLOTS, 3, SLOTS, 1);
    }
    c = bb_route_pick(policy, &route, candidate_list, COUNT, &r, &link_budget,
                      0, 2);
    CU_ASSERT_EQUAL(c.index, -1);
    bb_route_candidate_update_load(&candidates[2], SLOTS - 1, 0, SLOTS, 1);
    c = bb_route_pick(policy, &route, candidate_list, COUNT, &r, &link_budget,
                      0, 2);
    CU_ASSERT_EQUAL(c.index, 2);
}

static const struct bb_unit_test tests[] = {
    {"hedges need a free slot", test_hedges_need_a_free_slot},
    {"tried gatekeepers do not empty the region",
     test_tried_gatekeepers_do_not_empty_the_region},
    {"concurrent calls are spread", test_concurrent_calls_are_spread},
    {"a slower candidate gets fewer calls",
     test_slower_candidate_gets_fewer_calls},
    {"round robin takes turns", test_round_robin_takes_turns},
    {"no calls after a failed connect or while draining",
     test_no_calls_after_failed_connect},
    {"outstanding slow calls eject", test_outstanding_slow_calls_eject},
    {"the maximum of ejected members is never exceeded",
     test_max_ejected_is_never_exceeded},
    {"a slow service ejects nobody", test_slow_service_ejects_nobody},
};

BB_UNIT_MAIN("routing", tests)
