/* Choice of relays and control hosts, timing of pulls, and admission of pulls.
 */
#include <stdio.h>

#include "common/clock.h"
#include "common/random.h"
#include "decide/relay.h"
#include "unit.h"

enum { SEED = 11, MEMBERS = 75 };

static void
make_ids(uint64_t *ids, size_t count)
{
    char name[32];

    for (size_t i = 0; i < count; i++) {
        (void)snprintf(name, sizeof(name), "host-%zu", i);
        ids[i] = bb_relay_id_from_name(name);
    }
}

/* Guards against members that choose different relays because they list the
 * members in a different order, and against a change of both relays when one
 * dies. */
static void
test_same_relays_on_every_member(void)
{
    struct bb_random *random = bb_random_create(SEED);
    uint64_t zone = bb_relay_id_from_name("zone-1");
    uint64_t ids[MEMBERS];
    uint64_t first[BB_RELAYS_PER_ZONE];
    uint64_t other[BB_RELAYS_PER_ZONE];

    make_ids(ids, MEMBERS);
    CU_ASSERT_EQUAL(bb_relay_choose_for_zone(ids, MEMBERS, zone, first), 2);
    for (int round = 0; round < MEMBERS; round++) {
        for (size_t i = MEMBERS - 1; i > 0; i--) {
            size_t j = bb_random_below(random, i + 1);
            uint64_t swap = ids[i];

            ids[i] = ids[j];
            ids[j] = swap;
        }
        (void)bb_relay_choose_for_zone(ids, MEMBERS, zone, other);
        CU_ASSERT_EQUAL(other[0], first[0]);
        CU_ASSERT_EQUAL(other[1], first[1]);
    }
    for (size_t i = 0; i < MEMBERS; i++) {
        if (ids[i] == first[0]) {
            ids[i] = ids[MEMBERS - 1];
            break;
        }
    }
    (void)bb_relay_choose_for_zone(ids, MEMBERS - 1, zone, other);
    CU_ASSERT_EQUAL(other[0], first[1]);
    bb_random_destroy(random);
}

/* Guards against one relay that pushes to nearly all members, and against a
 * zone without a control host when none is live in its region. */
static void
test_load_is_shared_across_relays_and_regions(void)
{
    uint64_t ids[MEMBERS];
    uint64_t controls[3];
    size_t first = 0;

    make_ids(ids, MEMBERS);
    make_ids(controls, 3);
    for (size_t i = 2; i < MEMBERS; i++) {
        first += bb_relay_choose_for_member(ids, 2, ids[i]) == ids[0];
    }
    CU_ASSERT_TRUE(first > 20 && first < 53);
    CU_ASSERT_EQUAL(bb_relay_choose_control_host(controls, 1, controls, 3, 5),
                    controls[0]);
    CU_ASSERT_NOT_EQUAL(bb_relay_choose_control_host(NULL, 0, controls, 3, 5),
                        0);
    CU_ASSERT_EQUAL(bb_relay_choose_control_host(NULL, 0, NULL, 0, 5), 0);
}

/* Guards against pulls without a random delay, and against pulls that always
 * use the same source although it does not respond. */
static void
test_pulls_try_other_sources(void)
{
    struct bb_random *random = bb_random_create(SEED);
    enum bb_pull_source source;

    for (int round = 0; round < 1000; round++) {
        struct bb_puller p = {0};
        uint32_t seen = 0;
        uint64_t now_us = 0;

        bb_puller_update(&p, 1, 2, round % 2, 0, bb_random_u64(random));
        CU_ASSERT_FALSE(
            bb_puller_try_start(&p, 100 * BB_US_PER_MS - 1, &source));
        for (int i = 0; i < BB_PULL_SOURCE_COUNT; i++) {
            now_us += 400 * BB_US_PER_MS;
            CU_ASSERT_TRUE(bb_puller_try_start(&p, now_us, &source));
            seen |= 1U << source;
            bb_puller_finish(&p, false, 0, now_us, bb_random_u64(random));
        }
        CU_ASSERT_EQUAL(seen, 7);
        bb_puller_update(&p, 2, 2, false, now_us, 0);
        CU_ASSERT_FALSE(bb_puller_try_start(&p, now_us + 9999999, &source));
    }
    bb_random_destroy(random);
}

/* Guards against a control host that admits more pulls than its rate when many
 * nodes return at once, and against refused nodes that all retry at the same
 * time: 450 nodes, 100 admitted a second. */
static void
test_admission_is_bounded_and_spread(void)
{
    enum { NODES = 450, RATE = 100, BURST = 32, END_MS = 9000 };
    struct bb_random *random = bb_random_create(SEED);
    struct bb_pull_bucket b;
    uint64_t due_ms[NODES] = {0};
    uint32_t admitted = 0;
    uint32_t asked = 0;

    bb_pull_bucket_init(&b, RATE, BURST, 0);
    for (uint64_t now_ms = 0; now_ms < END_MS; now_ms++) {
        for (int i = 0; i < NODES; i++) {
            uint32_t wait_ms;

            if (due_ms[i] > now_ms) {
                continue;
            }
            asked++;
            if (bb_pull_bucket_try_take(&b, now_ms * BB_US_PER_MS,
                                        bb_random_u64(random), &wait_ms)) {
                admitted++;
                due_ms[i] = UINT64_MAX;
                continue;
            }
            CU_ASSERT_TRUE(wait_ms > 0 && wait_ms <= 2000);
            due_ms[i] = now_ms + wait_ms;
        }
        CU_ASSERT_TRUE(admitted <= BURST + RATE * now_ms / 1000 + 1);
    }
    CU_ASSERT_EQUAL(admitted, NODES);
    CU_ASSERT_TRUE(asked < 6 * NODES);
    bb_random_destroy(random);
}

static const struct bb_unit_test tests[] = {
    {"all members choose the same relays", test_same_relays_on_every_member},
    {"load is shared, and other regions stand in",
     test_load_is_shared_across_relays_and_regions},
    {"pulls try other sources", test_pulls_try_other_sources},
    {"admission is bounded and spread", test_admission_is_bounded_and_spread},
};

BB_UNIT_MAIN("relay", tests)
