/* Rosters must change so slowly that two claims of one key always share a
 * witness. Otherwise a request that is not idempotent could run twice. */
#include <string.h>

#include "common/random.h"
#include "decide/roster.h"
#include "unit.h"

enum {
    HOSTS = 12,
    KEYS = 20,
    RUNS = 40,
    STEPS = 1500,
    STEP_US = 500 * 1000,
    RETENTION_US = 20 * 1000 * 1000,
    EPOCHS_MAX = 400,
    SEED = 20
};

/* A roster and when it came into force. */
struct epoch {
    uint64_t from_us;
    struct bb_roster roster;
};

/* One service: its hosts, its planner, and all rosters so far. */
struct service {
    struct bb_roster_planner planner;
    struct bb_roster_host hosts[HOSTS];
    uint64_t adopted_from_us[HOSTS]; /* when a host adopts the epoch */
    struct epoch epochs[EPOCHS_MAX];
    uint32_t epoch_count;
    uint64_t now_us;
};

static struct service service;
static struct bb_random *random_source;

static uint64_t
random_below(uint64_t below)
{
    return bb_random_below(random_source, below);
}

static const struct bb_roster *
current_roster(void)
{
    static const struct bb_roster none;

    return service.epoch_count > 0
               ? &service.epochs[service.epoch_count - 1].roster
               : &none;
}

/* Resets the service to hosts of which the first `ready` are ready. */
static void
start_service(uint32_t ready)
{
    memset(&service, 0, sizeof(service));
    service.now_us = 1000000;
    for (uint32_t i = 0; i < HOSTS; i++) {
        service.hosts[i] = (struct bb_roster_host){
            .host = 100 + i, .is_ready = i < ready, .is_present = i < ready};
    }
}

/* Runs the planner for a duration. A planned roster is in force at once; each
 * host adopts its epoch after a random delay. */
static void
run_planner(uint64_t duration_us)
{
    uint64_t end_us = service.now_us + duration_us;

    while (service.now_us < end_us) {
        struct bb_roster_input in = {.now_us = service.now_us,
                                     .retention_us = RETENTION_US,
                                     .first_epoch = 7,
                                     .current = current_roster(),
                                     .hosts = service.hosts,
                                     .host_count = HOSTS};
        struct bb_roster next;

        for (uint32_t i = 0; i < HOSTS; i++) {
            service.hosts[i].has_adopted =
                service.now_us >= service.adopted_from_us[i];
        }
        if (bb_roster_plan_next(&service.planner, &in, &next)) {
            CU_ASSERT_TRUE_FATAL(service.epoch_count < EPOCHS_MAX);
            service.epochs[service.epoch_count++] =
                (struct epoch){.from_us = service.now_us, .roster = next};
            for (uint32_t i = 0; i < HOSTS; i++) {
                service.adopted_from_us[i] =
                    service.now_us + random_below(8) * STEP_US;
            }
        }
        service.now_us += STEP_US;
    }
}

static bool
has_host(const uint64_t *hosts, uint32_t count, uint64_t host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hosts[i] == host) {
            return true;
        }
    }
    return false;
}

/* Returns how many hosts of roster a are not in roster b. */
static uint32_t
count_missing(const struct bb_roster *a, const struct bb_roster *b)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < a->host_count; i++) {
        count += !has_host(b->hosts, b->host_count, a->hosts[i]);
    }
    return count;
}

/* Returns whether every quorum of the claim set of a key in one list of hosts
 * shares a host with every quorum of its claim set in another list, which is
 * so if the sets are equal. */
static bool
sets_share_witness(const struct bb_request_id *key, const uint64_t *a,
                   uint32_t a_count, const uint64_t *b, uint32_t b_count)
{
    uint64_t of_a[BB_CLAIM_SET_SIZE];
    uint64_t of_b[BB_CLAIM_SET_SIZE];
    uint32_t n = bb_claim_select_witnesses(key, a, a_count, of_a);
    uint32_t m = bb_claim_select_witnesses(key, b, b_count, of_b);
    uint32_t common = 0;

    for (uint32_t i = 0; i < n; i++) {
        common += has_host(of_b, m, of_a[i]);
    }
    /* Any two hosts share one with any other two, if all are chosen from the
     * same set of fewer than four hosts. */
    return common == n && common == m;
}

/* Returns whether two claims of a key, under two rosters, always share a
 * witness that grants them, whichever quorums grant them. */
static bool
claims_share_witness(const struct bb_request_id *key,
                     const struct bb_roster *a, const struct bb_roster *b)
{
    return sets_share_witness(key, a->hosts, a->host_count, b->hosts,
                              b->host_count) ||
           (a->previous_count > 0 &&
            sets_share_witness(key, a->previous, a->previous_count, b->hosts,
                               b->host_count)) ||
           (b->previous_count > 0 &&
            sets_share_witness(key, a->hosts, a->host_count, b->previous,
                               b->previous_count)) ||
           (a->previous_count > 0 && b->previous_count > 0 &&
            sets_share_witness(key, a->previous, a->previous_count,
                               b->previous, b->previous_count));
}

/* Checks the rosters of a run: at most one host changes at a time, at most
 * once in the retention time, and claims made within the retention time share
 * a witness. Returns how often the hosts changed. */
static uint32_t
check_epochs(void)
{
    uint64_t changed_us = 0;
    uint32_t changes = 0;

    for (uint32_t i = 1; i < service.epoch_count; i++) {
        const struct epoch *a = &service.epochs[i - 1];
        const struct epoch *b = &service.epochs[i];
        uint32_t removed = count_missing(&a->roster, &b->roster);
        uint32_t added = count_missing(&b->roster, &a->roster);

        CU_ASSERT_EQUAL(b->roster.epoch, a->roster.epoch + 1);
        CU_ASSERT_TRUE(removed <= 1 && added <= 1);
        if (removed + added > 0) {
            CU_ASSERT_TRUE(b->from_us >= changed_us + RETENTION_US);
            CU_ASSERT_EQUAL(b->roster.previous_count, a->roster.host_count);
            changed_us = b->from_us;
            changes++;
        }
        for (uint32_t j = i; j > 0; j--) {
            /* Epoch j - 1 ended when epoch j began. */
            if (b->from_us - service.epochs[j].from_us >= RETENTION_US) {
                break;
            }
            for (uint64_t k = 0; k < KEYS; k++) {
                struct bb_request_id key = bb_request_id_from_bits(k, SEED);

                CU_ASSERT_TRUE(claims_share_witness(
                    &key, &service.epochs[j - 1].roster, &b->roster));
            }
        }
    }
    return changes;
}

/* Guards against a sequence of changes in which an early and a late claim of
 * one key share no witness. Hosts appear and disappear at random, adopt an
 * epoch late, and the planner loses its state. */
static void
test_claims_at_any_two_times_share_a_witness(void)
{
    uint32_t changes = 0;

    random_source = bb_random_create(SEED);
    for (int i = 0; i < RUNS; i++) {
        start_service((uint32_t)(1 + random_below(HOSTS)));
        for (int j = 0; j < STEPS; j++) {
            struct bb_roster_host *h = &service.hosts[random_below(HOSTS)];

            if (random_below(20) == 0) {
                h->is_present = random_below(3) != 0;
                h->is_ready = h->is_present && random_below(4) != 0;
            }
            if (random_below(400) == 0) {
                memset(&service.planner, 0, sizeof(service.planner));
            }
            run_planner(STEP_US);
        }
        changes += check_epochs();
    }
    /* The checks above test nothing if the rosters never change. */
    CU_ASSERT_TRUE(changes > RUNS);
    bb_random_destroy(random_source);
}

/* Guards against a first roster of only those hosts that announce themselves
 * first. It could then grow only by one host in each retention time, and one
 * of a single host could grant no claim until then. */
static void
test_first_roster_waits_for_a_stable_set(void)
{
    random_source = bb_random_create(SEED);
    start_service(1);
    run_planner(10 * (uint64_t)BB_ROSTER_FIRST_STABLE_US);
    service.hosts[1].is_ready = true;
    service.hosts[1].is_present = true;
    run_planner(BB_ROSTER_FIRST_STABLE_US);
    service.hosts[2].is_ready = true;
    service.hosts[2].is_present = true;
    run_planner(BB_ROSTER_FIRST_STABLE_US);
    CU_ASSERT_EQUAL(service.epoch_count, 0);
    run_planner(STEP_US);
    CU_ASSERT_EQUAL(service.epoch_count, 1);
    CU_ASSERT_EQUAL(current_roster()->epoch, 7);
    CU_ASSERT_EQUAL(current_roster()->host_count, 3);
    CU_ASSERT_EQUAL(current_roster()->previous_count, 0);
    bb_random_destroy(random_source);
}

/* Guards against a roster that changes when a host restarts, and against a
 * lost host that is never replaced. */
static void
test_only_a_long_absence_replaces_a_host(void)
{
    random_source = bb_random_create(SEED);
    start_service(5);
    run_planner(2 * (uint64_t)RETENTION_US);
    CU_ASSERT_EQUAL(service.epoch_count, 1);
    service.hosts[1].is_ready = service.hosts[1].is_present = false;
    run_planner(BB_ROSTER_REMOVE_AFTER_US - STEP_US);
    service.hosts[1].is_ready = service.hosts[1].is_present = true;
    run_planner(BB_ROSTER_REMOVE_AFTER_US);
    CU_ASSERT_EQUAL(service.epoch_count, 1);
    service.hosts[1].is_ready = service.hosts[1].is_present = false;
    service.hosts[8].is_ready = service.hosts[8].is_present = true;
    run_planner(BB_ROSTER_REMOVE_AFTER_US + STEP_US);
    CU_ASSERT_EQUAL(service.epoch_count, 2);
    CU_ASSERT_EQUAL(current_roster()->host_count, 5);
    CU_ASSERT_EQUAL(current_roster()->previous_count, 5);
    CU_ASSERT_TRUE(has_host(current_roster()->hosts, 5, 108));
    CU_ASSERT_FALSE(has_host(current_roster()->hosts, 5, 101));
    run_planner(RETENTION_US + 10 * STEP_US);
    CU_ASSERT_EQUAL(service.epoch_count, 3);
    CU_ASSERT_EQUAL(current_roster()->previous_count, 0);
    bb_random_destroy(random_source);
}

/* Guards against a previous list that is dropped while two of its hosts, which
 * are cut off together, may still grant claims under it. */
static void
test_two_hosts_that_have_not_adopted_keep_the_previous_list(void)
{
    random_source = bb_random_create(SEED);
    start_service(4);
    run_planner(2 * (uint64_t)RETENTION_US);
    service.hosts[4].is_ready = service.hosts[4].is_present = true;
    run_planner(BB_ROSTER_ADD_AFTER_US + STEP_US);
    CU_ASSERT_EQUAL(current_roster()->previous_count, 4);
    service.adopted_from_us[0] = service.adopted_from_us[1] = UINT64_MAX;
    run_planner(5 * (uint64_t)RETENTION_US);
    CU_ASSERT_EQUAL(current_roster()->previous_count, 4);
    service.adopted_from_us[0] = service.now_us;
    run_planner(RETENTION_US);
    CU_ASSERT_EQUAL(current_roster()->previous_count, 4);
    run_planner(STEP_US);
    CU_ASSERT_EQUAL(current_roster()->previous_count, 0);
    bb_random_destroy(random_source);
}

static const struct bb_unit_test tests[] = {
    {"claims at any two times share a witness",
     test_claims_at_any_two_times_share_a_witness},
    {"the first roster waits for a stable set",
     test_first_roster_waits_for_a_stable_set},
    {"only a long absence replaces a host",
     test_only_a_long_absence_replaces_a_host},
    {"two hosts that have not adopted keep the previous list",
     test_two_hosts_that_have_not_adopted_keep_the_previous_list},
};

BB_UNIT_MAIN("roster", tests)
