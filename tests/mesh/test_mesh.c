/* Tests of membership and distribution as a whole, in one process: two regions
 * with two zones each, and a control host and three nodes in each zone. The
 * tests depend on each other: the first one starts the members and the last
 * one stops them. */
#include "fake_mesh.h"

enum {
    CONTROL_HOST_COUNT = 4,
    ZONE_COUNT = 4,
    NODES_PER_ZONE = 3,
    MEMBER_COUNT = CONTROL_HOST_COUNT + ZONE_COUNT * NODES_PER_ZONE,
    CONTROL_HOSTS_PER_REGION = 2,
    CONVERGE_MS = 10000,
    MAX_DELAY_MS = 2000, /* until all nodes hold a revision */
    /* The same limit when a node restarts or rejects a revision. */
    MAX_RECOVERY_MS = 4000,
    WAIT_MS = 6000, /* limit of a wait whose duration is compared */
    LAST_DELTA_REVISION = 9,
    /* More than FAKE_DELTA_REVISIONS_MAX newer: sent as a snapshot. */
    SNAPSHOT_REVISION = 400,
    REJECTED_REVISION = 500
};

static const char *const zones[ZONE_COUNT] = {"a1", "a2", "b1", "b2"};
static const char *const regions[ZONE_COUNT] = {"a", "a", "b", "b"};

static uint32_t
zone_index(uint32_t i)
{
    return i < CONTROL_HOST_COUNT ? i
                                  : (i - CONTROL_HOST_COUNT) / NODES_PER_ZONE;
}

static void
start_member(uint32_t i)
{
    fake_start_member(i,
                      i < CONTROL_HOST_COUNT ? BB_ROLE_CONTROL : BB_ROLE_NODE,
                      zones[zone_index(i)], regions[zone_index(i)]);
}

static void
start_all(void)
{
    fake_control_hosts.count = 0;
    for (uint32_t i = 0; i < CONTROL_HOST_COUNT; i++) {
        fake_add_control_host(i, zones[i], regions[i]);
    }
    for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
        (void)pthread_mutex_init(&fakes[i].rpc_server_lock, NULL);
    }
    for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
        start_member(i);
    }
}

static void
stop_all(void)
{
    for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
        fake_stop_member(i);
    }
    for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
        (void)pthread_mutex_destroy(&fakes[i].rpc_server_lock);
    }
    memset(fakes, 0, sizeof(fakes));
}

static void
announce_on_control_hosts(uint64_t revision)
{
    for (uint32_t i = 0; i < CONTROL_HOST_COUNT; i++) {
        fake_announce_revision(i, revision);
    }
}

/* Returns true if each member knows all members as alive and reachable. */
static bool
is_membership_complete(void)
{
    for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
        struct bb_member_list list;
        uint32_t alive = 0;

        bb_mesh_copy_members(fakes[i].mesh, &list);
        for (size_t n = 0; n < list.count; n++) {
            alive += list.items[n].state == BB_MEMBER_ALIVE &&
                     list.items[n].is_reachable;
        }
        bb_member_list_clear(&list);
        if (alive != MEMBER_COUNT) {
            return false;
        }
    }
    return true;
}

static bool
wait_for_complete_membership(void)
{
    uint64_t end_us = bb_clock_now_us() + CONVERGE_MS * BB_US_PER_MS;

    while (!is_membership_complete()) {
        if (bb_clock_now_us() > end_us) {
            return false;
        }
        bb_clock_sleep_us(20 * BB_US_PER_MS);
    }
    return true;
}

/* Returns true if every process that may push to a node knows that the node
 * has a revision in force: the members of its zone and the control hosts of
 * its region. */
static bool
is_revision_known_to_senders(uint64_t revision)
{
    bool is_known = true;

    for (uint32_t i = 0; i < MEMBER_COUNT && is_known; i++) {
        struct bb_member_list list;
        struct bb_member self;

        bb_mesh_get_self(fakes[i].mesh, &self);
        bb_mesh_copy_members(fakes[i].mesh, &list);
        for (size_t n = 0; n < list.count; n++) {
            const struct bb_member *m = &list.items[n];
            bool may_push = strcmp(m->zone, self.zone) == 0 ||
                            (self.role == BB_ROLE_CONTROL &&
                             strcmp(m->region, self.region) == 0);

            is_known &= !may_push || m->role != BB_ROLE_NODE ||
                        m->applied_revision >= revision;
        }
        bb_member_list_clear(&list);
    }
    return is_known;
}

/* Waits until is_revision_known_to_senders returns true. Returns false if that
 * takes longer than CONVERGE_MS. */
static bool
wait_until_known_to_senders(uint64_t revision)
{
    uint64_t end_us = bb_clock_now_us() + CONVERGE_MS * BB_US_PER_MS;

    while (!is_revision_known_to_senders(revision)) {
        if (bb_clock_now_us() > end_us) {
            return false;
        }
        bb_clock_sleep_us(5 * BB_US_PER_MS);
    }
    return true;
}

/* Guards against members of another zone or region that stay unknown, a
 * revision that does not reach every node, and snapshots sent where a delta
 * would do. */
static void
test_revision_reaches_all(void)
{
    uint64_t took_ms;

    start_all();
    CU_ASSERT_TRUE_FATAL(wait_for_complete_membership());
    announce_on_control_hosts(1);
    took_ms = fake_wait_held(CONTROL_HOST_COUNT, MEMBER_COUNT, 1, CONVERGE_MS);
    CU_ASSERT_TRUE(took_ms < MAX_DELAY_MS);
    /* A relay that does not know yet which revision a member holds must send
     * it a snapshot, so wait until it knows before the next revision. */
    CU_ASSERT_TRUE(wait_until_known_to_senders(1));
    for (uint64_t revision = 2; revision <= LAST_DELTA_REVISION; revision++) {
        announce_on_control_hosts(revision);
        took_ms = fake_wait_held(CONTROL_HOST_COUNT, MEMBER_COUNT, revision,
                                 CONVERGE_MS);
        CU_ASSERT_TRUE(took_ms < MAX_DELAY_MS);
        CU_ASSERT_TRUE(wait_until_known_to_senders(revision));
    }
    for (uint32_t i = CONTROL_HOST_COUNT; i < MEMBER_COUNT; i++) {
        CU_ASSERT_EQUAL(atomic_load(&fakes[i].snapshots_applied), 1);
        CU_ASSERT_TRUE(atomic_load(&fakes[i].deltas_applied) >= 1);
    }
}

/* Guards against nodes of another region using a draining upstream for longer
 * than 2 s, and against its control hosts keeping outdated applied
 * revisions. */
static void
test_upstream_state_and_revisions_reach_other_region(void)
{
    struct bb_member r;
    struct bb_member_list list;
    uint32_t draining = 0;
    uint32_t current = 0;

    bb_mesh_get_self(fakes[CONTROL_HOST_COUNT].mesh, &r);
    (void)snprintf(r.service, sizeof(r.service), "orders");
    r.upstream_state = BB_UPSTREAM_DRAINING;
    bb_mesh_update_self(fakes[CONTROL_HOST_COUNT].mesh, &r);
    bb_clock_sleep_us(2 * BB_US_PER_S);
    for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
        bb_mesh_copy_members(fakes[i].mesh, &list);
        for (size_t n = 0; n < list.count; n++) {
            draining += list.items[n].upstream_state == BB_UPSTREAM_DRAINING;
            current += i < CONTROL_HOST_COUNT &&
                       list.items[n].role == BB_ROLE_NODE &&
                       list.items[n].applied_revision == LAST_DELTA_REVISION;
        }
        bb_member_list_clear(&list);
    }
    CU_ASSERT_EQUAL(draining, MEMBER_COUNT);
    CU_ASSERT_EQUAL(current, CONTROL_HOST_COUNT * ZONE_COUNT * NODES_PER_ZONE);
}

/* Guards against a node that serves an older revision after a restart: other
 * processes must know which revision it held and return it. */
static void
test_restarted_node_learns_its_min_revision(void)
{
    uint64_t min_revision = 0;

    fake_stop_member(CONTROL_HOST_COUNT + 1);
    announce_on_control_hosts(SNAPSHOT_REVISION);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROL_HOST_COUNT + 2, MEMBER_COUNT,
                                       SNAPSHOT_REVISION, MAX_RECOVERY_MS),
                        UINT64_MAX);
    start_member(CONTROL_HOST_COUNT + 1);
    CU_ASSERT_TRUE(bb_mesh_find_min_revision(
        fakes[CONTROL_HOST_COUNT + 1].mesh, 3000, &min_revision));
    CU_ASSERT_EQUAL(min_revision, LAST_DELTA_REVISION);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROL_HOST_COUNT + 1,
                                       CONTROL_HOST_COUNT + 2,
                                       SNAPSHOT_REVISION, MAX_RECOVERY_MS),
                        UINT64_MAX);
}

/* Guards against relays or control hosts that cannot be called delaying a
 * change by more than 2 s. First one node of each zone at a time receives no
 * calls; then the control hosts of region a are isolated, and only those of
 * region b have the new revision. */
static void
test_isolated_relay_or_control_host_delays_at_most_2_s(void)
{
    uint64_t revision = SNAPSHOT_REVISION + 1;

    for (uint32_t n = 0; n < NODES_PER_ZONE; n++, revision++) {
        for (uint32_t z = 0; z < ZONE_COUNT; z++) {
            fakes[CONTROL_HOST_COUNT + z * NODES_PER_ZONE + n]
                .incoming_calls_fail = true;
        }
        announce_on_control_hosts(revision);
        CU_ASSERT_TRUE(fake_wait_held(CONTROL_HOST_COUNT, MEMBER_COUNT,
                                      revision, WAIT_MS) <= MAX_DELAY_MS);
        for (uint32_t z = 0; z < ZONE_COUNT; z++) {
            fakes[CONTROL_HOST_COUNT + z * NODES_PER_ZONE + n]
                .incoming_calls_fail = false;
        }
    }
    for (uint32_t i = 0; i < CONTROL_HOSTS_PER_REGION; i++) {
        fakes[i].incoming_calls_fail = true;
        fakes[i].outgoing_calls_fail = true;
        fake_announce_revision(i + CONTROL_HOSTS_PER_REGION, revision);
    }
    CU_ASSERT_TRUE(fake_wait_held(CONTROL_HOST_COUNT, MEMBER_COUNT, revision,
                                  WAIT_MS) <= MAX_DELAY_MS);
    for (uint32_t i = 0; i < CONTROL_HOSTS_PER_REGION; i++) {
        fakes[i].incoming_calls_fail = false;
        fakes[i].outgoing_calls_fail = false;
        fake_announce_revision(i, revision);
    }
}

/* Returns the number of FETCH calls that all members have received. */
static uint32_t
count_fetches_served(void)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < MEMBER_COUNT; i++) {
        count += atomic_load(&fakes[i].fetches_served);
    }
    return count;
}

/* Guards against applying an invalid revision, against one node that rejects
 * it stopping the others, and against that node pulling it again without
 * delay. */
static void
test_invalid_revision_is_not_applied(void)
{
    uint64_t before = atomic_load(&fakes[CONTROL_HOST_COUNT].held);
    uint32_t fetches_before;

    fakes[CONTROL_HOST_COUNT].rejects_payloads = true;
    announce_on_control_hosts(REJECTED_REVISION);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROL_HOST_COUNT + 1, MEMBER_COUNT,
                                       REJECTED_REVISION, MAX_RECOVERY_MS),
                        UINT64_MAX);
    fetches_before = count_fetches_served();
    bb_clock_sleep_us(2 * BB_US_PER_S);
    CU_ASSERT_EQUAL(atomic_load(&fakes[CONTROL_HOST_COUNT].held), before);
    CU_ASSERT_TRUE(count_fetches_served() - fetches_before <= 1);
    fakes[CONTROL_HOST_COUNT].rejects_payloads = false;
    announce_on_control_hosts(REJECTED_REVISION + 1);
    CU_ASSERT_NOT_EQUAL(fake_wait_held(CONTROL_HOST_COUNT, MEMBER_COUNT,
                                       REJECTED_REVISION + 1, MAX_RECOVERY_MS),
                        UINT64_MAX);
}

/* Guards against nodes that do not get the newest revision, or not their
 * minimum revision, when all nodes restart at once. */
static void
test_all_nodes_restart_at_once(void)
{
    uint64_t min_revision;

    for (uint32_t i = CONTROL_HOST_COUNT; i < MEMBER_COUNT; i++) {
        fake_stop_member(i);
    }
    for (uint32_t i = CONTROL_HOST_COUNT; i < MEMBER_COUNT; i++) {
        start_member(i);
    }
    CU_ASSERT_TRUE(fake_wait_held(CONTROL_HOST_COUNT, MEMBER_COUNT,
                                  REJECTED_REVISION + 1,
                                  WAIT_MS) <= MAX_RECOVERY_MS);
    CU_ASSERT_TRUE(bb_mesh_find_min_revision(fakes[MEMBER_COUNT - 1].mesh,
                                             1000, &min_revision));
    CU_ASSERT_EQUAL(min_revision, REJECTED_REVISION + 1);
    CU_ASSERT_TRUE(wait_for_complete_membership());
    stop_all();
}

static const struct bb_unit_test tests[] = {
    {"a revision reaches all", test_revision_reaches_all},
    {"upstream state and revisions reach the other region",
     test_upstream_state_and_revisions_reach_other_region},
    {"a restarted node learns its minimum revision",
     test_restarted_node_learns_its_min_revision},
    {"an isolated relay or control host delays by at most 2 s",
     test_isolated_relay_or_control_host_delays_at_most_2_s},
    {"an invalid revision is not applied",
     test_invalid_revision_is_not_applied},
    {"all nodes restart at once", test_all_nodes_restart_at_once},
};

BB_UNIT_MAIN("mesh", tests)
