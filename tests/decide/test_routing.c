/* Choice of gatekeepers and ejection: spread, load and what must not eject.
 * Tiers, the paid link and the return of a slow gatekeeper are traces:
 * paid_link, one_in_four_slowed. */
#include <math.h>
#include <string.h>

#include "common/random.h"
#include "common/registry.h"
#include "decide/outlier.h"
#include "decide/route_pick.h"
#include "unit.h"

enum { SEED = 20261204, COUNT = 4, MS = 1000, SLOTS = 6, PICKS = 4000 };

static struct bb_candidate items[COUNT];
static const struct bb_candidate *all[COUNT];
static struct bb_route route;
static struct bb_link_budget link_budget;
static struct bb_outliers outliers;

static void
set_up(const enum bb_tier tiers[COUNT], uint64_t link_bytes_per_s)
{
    memset(&route, 0, sizeof(route));
    memset(&link_budget, 0, sizeof(link_budget));
    bb_link_budget_configure(&link_budget, link_bytes_per_s, 1);
    for (uint64_t i = 0; i < COUNT; i++) {
        bb_candidate_init(&items[i], i + 1, tiers[i], SLOTS);
        all[i] = &items[i];
    }
}

static struct bb_route_choice
pick(const char *policy, uint64_t random_bits, uint64_t now_us)
{
    const struct bb_route_request r = {.may_probe = true, .link_bytes = 1000};

    return bb_route_pick(bb_registry_find(BB_PLUGIN_ROUTING_POLICY, policy),
                         &route, all, COUNT, &r, &link_budget, random_bits,
                         now_us);
}

static const enum bb_tier same_zone[COUNT];

/* Guards against many concurrent picks that all follow one old report. */
static void
test_concurrent_picks_spread(void)
{
    struct bb_random *random = bb_random_create(SEED);
    uint32_t highest = 0;
    uint32_t lowest = UINT32_MAX;

    set_up(same_zone, 0);
    bb_candidate_report(&items[0], 0, 0, SLOTS, 1);
    for (int i = 1; i < COUNT; i++) {
        bb_candidate_report(&items[i], 2, 0, SLOTS, 1);
    }
    for (int i = 0; i < 40; i++) {
        struct bb_route_choice c =
            pick("least_wait", bb_random_u64(random), 2);

        CU_ASSERT_TRUE_FATAL(c.index >= 0);
        bb_candidate_start(&items[c.index]);
    }
    for (int i = 0; i < COUNT; i++) {
        uint32_t n = items[i].in_flight;

        highest = n > highest ? n : highest;
        lowest = n < lowest ? n : lowest;
    }
    CU_ASSERT_TRUE(highest - lowest <= 6);
    bb_random_destroy(random);
}

static void
test_a_slower_candidate_gets_less(void)
{
    struct bb_random *random = bb_random_create(SEED);
    uint32_t slow = 0;

    set_up(same_zone, 0);
    for (int i = 0; i < COUNT; i++) {
        for (int n = 0; n < 20; n++) {
            bb_candidate_finish(&items[i], BB_ADMISSION_SHORT,
                                i == 0 ? 40 * MS : 10 * MS, true);
        }
    }
    for (int i = 0; i < PICKS; i++) {
        slow += pick("least_wait", bb_random_u64(random), 2).index == 0;
    }
    CU_ASSERT_TRUE(slow < PICKS / 10);
    bb_random_destroy(random);
}

static void
test_round_robin_takes_turns(void)
{
    set_up(same_zone, 0);
    for (int i = 0; i < 3 * COUNT; i++) {
        CU_ASSERT_EQUAL(pick("round_robin", 0, 2).index, i % COUNT);
    }
}

static void
test_failed_connect_is_left_out_at_once(void)
{
    set_up(same_zone, 0);
    bb_candidate_start(&items[2]);
    bb_candidate_connect_failed(&items[2], 10);
    for (uint64_t i = 0; i < 100; i++) {
        CU_ASSERT_NOT_EQUAL(pick("round_robin", i, 20).index, 2);
    }
    for (int i = 0; i < COUNT; i++) {
        items[i].is_draining = true;
    }
    CU_ASSERT_EQUAL(pick("least_wait", 0, 20).reason, BB_REASON_NO_UPSTREAM);
}

/* One call of a member that starts at *now_us and takes a while. */
static void
call(uint64_t id, uint64_t duration_us, bool is_failure, uint64_t *now_us)
{
    uint64_t start_us = *now_us;

    bb_outlier_start(&outliers, id, BB_ADMISSION_SHORT, start_us);
    *now_us += duration_us;
    bb_outlier_finish(&outliers, id, BB_ADMISSION_SHORT, start_us, is_failure,
                      *now_us);
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
            /* Member 4 is far away. */
            call(id, id == COUNT ? 50 * MS : 10 * MS, false, &now_us);
        }
    }
    CU_ASSERT_EQUAL(bb_outliers_ejected(&outliers), 0);
    return now_us;
}

/* Guards against waiting for the answers of a stalled upstream. */
static void
test_outstanding_calls_count(void)
{
    uint64_t t = set_up_outliers(33);

    for (uint64_t i = 0; i < 4; i++) {
        bb_outlier_start(&outliers, 2, BB_ADMISSION_SHORT, t + i);
    }
    bb_outliers_tick(&outliers, t + 30 * MS);
    CU_ASSERT_EQUAL(bb_outliers_ejected(&outliers), 0);
    bb_outliers_tick(&outliers, t + 60 * MS);
    CU_ASSERT_EQUAL(outliers.members[1].stage, BB_OUTLIER_EJECTED);
}

static void
test_share_of_ejected_is_never_passed(void)
{
    uint64_t t = set_up_outliers(33);

    for (int n = 0; n < 20; n++) {
        call(1, 10 * MS, true, &t);
        call(2, 10 * MS, true, &t);
        call(3, 10 * MS, true, &t);
        CU_ASSERT_TRUE(bb_outliers_ejected(&outliers) <= 1);
    }
    CU_ASSERT_EQUAL(bb_outliers_ejected(&outliers), 1);
}

/* Guards against ejecting healthy members when the whole service is slower. */
static void
test_common_slowness_ejects_nobody(void)
{
    uint64_t t = set_up_outliers(33);

    for (int n = 0; n < 30; n++) {
        for (uint64_t id = 1; id <= COUNT; id++) {
            call(id, (id == COUNT ? 250 : 50) * MS, false, &t);
        }
        CU_ASSERT_EQUAL(bb_outliers_ejected(&outliers), 0);
    }
}

/* Guards against calls that cross the paid link only because each gatekeeper
 * of the own region has refused them once. */
static void
test_tried_gatekeepers_do_not_empty_the_region(void)
{
    const enum bb_tier tiers[COUNT] = {[0] = BB_TIER_ZONE,
                                       [1] = BB_TIER_REGION,
                                       [2 ... COUNT - 1] = BB_TIER_REMOTE};
    struct bb_route_request r = {
        .link_bytes = 1000, .excluded = {1, 2}, .excluded_count = 2};
    const void *policy =
        bb_registry_find(BB_PLUGIN_ROUTING_POLICY, "least_wait");
    struct bb_route_choice c;

    set_up(tiers, 1000000);
    for (uint64_t now_us = 1; now_us < 3000000; now_us += 1000) {
        c = bb_route_pick(policy, &route, all, COUNT, &r, &link_budget, now_us,
                          now_us);
        CU_ASSERT_EQUAL(c.index, -1);
    }
    r.is_hedge = true;
    c = bb_route_pick(policy, &route, all, COUNT, &r, &link_budget, 0, 1);
    CU_ASSERT_EQUAL(c.index, -1);
    r.excluded_count = 1;
    c = bb_route_pick(policy, &route, all, COUNT, &r, &link_budget, 0, 1);
    CU_ASSERT_EQUAL(c.index, 1);
}

/* Guards against hedges that take slots from first attempts under overload. */
static void
test_hedges_need_a_free_slot(void)
{
    const struct bb_route_request r = {.is_hedge = true};
    const void *policy =
        bb_registry_find(BB_PLUGIN_ROUTING_POLICY, "least_wait");
    struct bb_route_choice c;

    set_up(same_zone, 0);
    for (int i = 0; i < COUNT; i++) {
        bb_candidate_report(&items[i], SLOTS, 3, SLOTS, 1);
    }
    c = bb_route_pick(policy, &route, all, COUNT, &r, &link_budget, 0, 2);
    CU_ASSERT_EQUAL(c.index, -1);
    bb_candidate_report(&items[2], SLOTS - 1, 0, SLOTS, 1);
    c = bb_route_pick(policy, &route, all, COUNT, &r, &link_budget, 0, 2);
    CU_ASSERT_EQUAL(c.index, 2);
}

static const struct bb_unit_test tests[] = {
    {"hedges need a free slot", test_hedges_need_a_free_slot},
    {"tried gatekeepers do not empty the region",
     test_tried_gatekeepers_do_not_empty_the_region},
    {"concurrent picks spread", test_concurrent_picks_spread},
    {"a slower candidate gets less", test_a_slower_candidate_gets_less},
    {"round robin takes turns", test_round_robin_takes_turns},
    {"a failed connect is left out at once",
     test_failed_connect_is_left_out_at_once},
    {"outstanding calls count", test_outstanding_calls_count},
    {"the share of ejected is never passed",
     test_share_of_ejected_is_never_passed},
    {"common slowness ejects nobody", test_common_slowness_ejects_nobody},
};

BB_UNIT_MAIN("routing", tests)
