/* The whole path in one process: two regions with two zones each, a control
 * host in each zone, and three nodes in each zone. */
#include "fake_mesh.h"

enum {
    CONTROLS = 4,
    ZONES = 4,
    NODES_PER_ZONE = 3,
    MEMBERS = CONTROLS + ZONES * NODES_PER_ZONE,
    CONVERGE_MS = 10000
};

static const char *const zones[ZONES] = {"a1", "a2", "b1", "b2"};
static const char *const regions[ZONES] = {"a", "a", "b", "b"};

static uint32_t
zone_of(uint32_t i)
{
    return i < CONTROLS ? i : (i - CONTROLS) / NODES_PER_ZONE;
}

static void
start_member(uint32_t i)
{
    fake_start(i, i < CONTROLS ? BB_ROLE_CONTROL : BB_ROLE_NODE,
               zones[zone_of(i)], regions[zone_of(i)]);
}

static void
start_all(void)
{
    fake_controls.count = 0;
    for (uint32_t i = 0; i < CONTROLS; i++) {
        fake_add_control(i, zones[i], regions[i]);
    }
    for (uint32_t i = 0; i < MEMBERS; i++) {
        (void)pthread_mutex_init(&fakes[i].rpc_server_lock, NULL);
    }
    for (uint32_t i = 0; i < MEMBERS; i++) {
        start_member(i);
    }
}

static void
stop_all(void)
{
    for (uint32_t i = 0; i < MEMBERS; i++) {
        fake_stop(i);
    }
    for (uint32_t i = 0; i < MEMBERS; i++) {
        (void)pthread_mutex_destroy(&fakes[i].rpc_server_lock);
    }
    memset(fakes, 0, sizeof(fakes));
}

static void
publish(uint64_t revision)
{
    for (uint32_t i = 0; i < CONTROLS; i++) {
        fake_publish(i, revision);
    }
}

/* Tells whether each member sees all others as alive and reachable. */
static bool
all_see_all(void)
{
    for (uint32_t i = 0; i < MEMBERS; i++) {
        struct bb_member_list list;
        uint32_t alive = 0;

        bb_mesh_members_snapshot(fakes[i].mesh, &list);
        for (size_t n = 0; n < list.count; n++) {
            alive += list.items[n].state == BB_MEMBER_ALIVE &&
                     list.items[n].is_reachable;
        }
        bb_member_list_clear(&list);
        if (alive != MEMBERS) {
            return false;
        }
    }
    return true;
}

static bool
wait_until_all_see_all(void)
{
    uint64_t end_us = bb_clock_now_us() + CONVERGE_MS * BB_US_PER_MS;

    while (!all_see_all()) {
        if (bb_clock_now_us() > end_us) {
            return false;
        }
        bb_clock_sleep_us(20 * BB_US_PER_MS);
    }
    return true;
}

/* Tells whether those that push to a member know that it holds a revision:
 * the members of its zone and the control hosts of its region. */
static bool
is_revision_known(uint64_t revision)
{
    bool is_known = true;

    for (uint32_t i = 0; i < MEMBERS && is_known; i++) {
        struct bb_member_list list;
        struct bb_member self;

        bb_mesh_self(fakes[i].mesh, &self);
        bb_mesh_members_snapshot(fakes[i].mesh, &list);
        for (size_t n = 0; n < list.count; n++) {
            const struct bb_member *m = &list.items[n];
            bool is_pushed = strcmp(m->zone, self.zone) == 0 ||
                             (self.role == BB_ROLE_CONTROL &&
                              strcmp(m->region, self.region) == 0);

            is_known &= !is_pushed || m->role != BB_ROLE_NODE ||
                        m->applied_revision >= revision;
        }
        bb_member_list_clear(&list);
    }
    return is_known;
}

/* Waits until it is known who holds a revision. */
static bool
wait_until_known(uint64_t revision)
{
    uint64_t end_us = bb_clock_now_us() + CONVERGE_MS * BB_US_PER_MS;

    while (!is_revision_known(revision)) {
        if (bb_clock_now_us() > end_us) {
            return false;
        }
        bb_clock_sleep_us(5 * BB_US_PER_MS);
    }
    return true;
}

/* Guards against members of another zone or region staying unknown, a
 * revision that does not reach every node, and snapshots sent where a delta
 * would do. */
static void
test_revision_reaches_all(void)
{
    uint64_t took_ms;

    start_all();
    CU_ASSERT_TRUE_FATAL(wait_until_all_see_all());
    publish(1);
    took_ms = fake_wait_held(CONTROLS, MEMBERS, 1, CONVERGE_MS);
    CU_ASSERT_TRUE(took_ms < 2000);
    /* A relay that does not know yet what a member holds must send it a
     * snapshot, so the next revision comes once it can know. */
    CU_ASSERT_TRUE(wait_until_known(1));
    for (uint64_t revision = 2; revision < 10; revision++) {
        publish(revision);
        took_ms = fake_wait_held(CONTROLS, MEMBERS, revision, CONVERGE_MS);
        CU_ASSERT_TRUE(took_ms < 2000);
        CU_ASSERT_TRUE(wait_until_known(revision));
    }
    for (uint32_t i = CONTROLS; i < MEMBERS; i++) {
        CU_ASSERT_EQUAL(atomic_load(&fakes[i].snapshots_applied), 1);
        CU_ASSERT_TRUE(atomic_load(&fakes[i].deltas_applied) >= 1);
    }
}

/* Guards against a leaving upstream being used by nodes of another region
 * for longer than 2 s, and against in-force staying behind there. */
static void
test_upstream_state_and_revisions_reach_other_region(void)
{
    struct bb_member r;
    struct bb_member_list list;
    uint32_t draining = 0;
    uint32_t current = 0;

    bb_mesh_self(fakes[CONTROLS].mesh, &r);
    (void)snprintf(r.service, sizeof(r.service), "orders");
    r.upstream_state = BB_UPSTREAM_DRAINING;
    bb_mesh_update_self(fakes[CONTROLS].mesh, &r);
    bb_clock_sleep_us(2 * BB_US_PER_S);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        bb_mesh_members_snapshot(fakes[i].mesh, &list);
        for (size_t n = 0; n < list.count; n++) {
            draining += list.items[n].upstream_state == BB_UPSTREAM_DRAINING;
            current += i < CONTROLS && list.items[n].role == BB_ROLE_NODE &&
                       list.items[n].applied_revision == 9;
        }
        bb_member_list_clear(&list);
    }
    CU_ASSERT_EQUAL(draining, MEMBERS);
    CU_ASSERT_EQUAL(current, CONTROLS * ZONES * NODES_PER_ZONE);
}

/* Guards against a node that serves an older revision after its restart:
 * what it held before must be known to others and be returned. */
static void
test_restarted_node_learns_its_floor(void)
{
    uint64_t floor = 0;

    fake_stop(CONTROLS + 1);
    publish(400);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROLS + 2, MEMBERS, 400, 4000),
                        UINT64_MAX);
    start_member(CONTROLS + 1);
    CU_ASSERT_TRUE(
        bb_mesh_floor_revision(fakes[CONTROLS + 1].mesh, 3000, &floor));
    CU_ASSERT_EQUAL(floor, 9);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROLS + 1, CONTROLS + 2, 400, 4000),
                        UINT64_MAX);
}

/* Guards against a change waiting for a relay or control host that gets no
 * calls through: first one node of each zone at a time, then the control
 * hosts of region a, whose revision only region b knows. */
static void
test_isolated_relay_and_control_delay_by_2_s(void)
{
    uint64_t revision = 401;

    for (uint32_t n = 0; n < NODES_PER_ZONE; n++, revision++) {
        for (uint32_t z = 0; z < ZONES; z++) {
            fakes[CONTROLS + z * NODES_PER_ZONE + n].incoming_calls_fail =
                true;
        }
        publish(revision);
        CU_ASSERT_TRUE(fake_wait_held(CONTROLS, MEMBERS, revision, 6000) <=
                       2000);
        for (uint32_t z = 0; z < ZONES; z++) {
            fakes[CONTROLS + z * NODES_PER_ZONE + n].incoming_calls_fail =
                false;
        }
    }
    for (uint32_t i = 0; i < 2; i++) {
        fakes[i].incoming_calls_fail = true;
        fakes[i].outgoing_calls_fail = true;
        fake_publish(i + 2, revision);
    }
    CU_ASSERT_TRUE(fake_wait_held(CONTROLS, MEMBERS, revision, 6000) <= 2000);
    for (uint32_t i = 0; i < 2; i++) {
        fakes[i].incoming_calls_fail = false;
        fakes[i].outgoing_calls_fail = false;
        fake_publish(i, revision);
    }
}

/* Guards against an invalid revision being applied or stopping the others,
 * and against a node that keeps asking for it without pause. */
static void
test_invalid_revision_is_not_applied(void)
{
    uint64_t before = atomic_load(&fakes[CONTROLS].held);
    uint32_t fetches = 0;

    fakes[CONTROLS].finds_invalid = true;
    publish(500);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROLS + 1, MEMBERS, 500, 4000),
                        UINT64_MAX);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        fetches -= atomic_load(&fakes[i].fetches_served);
    }
    bb_clock_sleep_us(2 * BB_US_PER_S);
    for (uint32_t i = 0; i < MEMBERS; i++) {
        fetches += atomic_load(&fakes[i].fetches_served);
    }
    CU_ASSERT_EQUAL(atomic_load(&fakes[CONTROLS].held), before);
    CU_ASSERT_TRUE(fetches <= 1);
    fakes[CONTROLS].finds_invalid = false;
    publish(501);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROLS, MEMBERS, 501, 4000),
                        UINT64_MAX);
}

/* Guards against nodes that stay behind when all restart at once. */
static void
test_all_nodes_restart_at_once(void)
{
    uint64_t floor;

    for (uint32_t i = CONTROLS; i < MEMBERS; i++) {
        fake_stop(i);
    }
    for (uint32_t i = CONTROLS; i < MEMBERS; i++) {
        start_member(i);
    }
    CU_ASSERT_TRUE(fake_wait_held(CONTROLS, MEMBERS, 501, 6000) <= 4000);
    CU_ASSERT_TRUE(
        bb_mesh_floor_revision(fakes[MEMBERS - 1].mesh, 1000, &floor));
    CU_ASSERT_EQUAL(floor, 501);
    CU_ASSERT_TRUE(wait_until_all_see_all());
    stop_all();
}

static const struct bb_unit_test tests[] = {
    {"a revision reaches all", test_revision_reaches_all},
    {"upstream state and revisions reach the other region",
     test_upstream_state_and_revisions_reach_other_region},
    {"a restarted node learns its floor",
     test_restarted_node_learns_its_floor},
    {"an isolated relay or control host delays by at most 2 s",
     test_isolated_relay_and_control_delay_by_2_s},
    {"an invalid revision is not applied",
     test_invalid_revision_is_not_applied},
    {"all nodes restart at once", test_all_nodes_restart_at_once},
};

BB_UNIT_MAIN("mesh", tests)
