/* Rosters must change so slowly that two claims of one key always share a
 * witness; otherwise a non-idempotent request could run twice. */
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

struct epoch {
    uint64_t from_us;
    struct bb_roster roster;
};

/* One service: its hosts, the control host that plans, what was agreed. */
struct service {
    struct bb_roster_planner planner;
    struct bb_roster_host hosts[HOSTS];
    uint64_t adopts_us[HOSTS]; /* when the host knows the present epoch */
    struct epoch epochs[EPOCHS_MAX];
    uint32_t epoch_count;
    uint64_t now_us;
};

static struct service s;
static struct bb_random *random_source;

static uint64_t
draw(uint64_t below)
{
    return bb_random_below(random_source, below);
}

static const struct bb_roster *
present(void)
{
    static const struct bb_roster none;

    return s.epoch_count > 0 ? &s.epochs[s.epoch_count - 1].roster : &none;
}

/* Sets up hosts, the first `ready` of which are ready. */
static void
start(uint32_t ready)
{
    memset(&s, 0, sizeof(s));
    s.now_us = 1000000;
    for (uint32_t i = 0; i < HOSTS; i++) {
        s.hosts[i] = (struct bb_roster_host){
            .host = 100 + i, .is_ready = i < ready, .is_there = i < ready};
    }
}

/* Plans for some time and puts in force what is planned. */
static void
run(uint64_t duration_us)
{
    uint64_t end_us = s.now_us + duration_us;

    while (s.now_us < end_us) {
        struct bb_roster_input in = {.now_us = s.now_us,
                                     .retention_us = RETENTION_US,
                                     .first_epoch = 7,
                                     .present = present(),
                                     .hosts = s.hosts,
                                     .host_count = HOSTS};
        struct bb_roster next;

        for (uint32_t i = 0; i < HOSTS; i++) {
            s.hosts[i].has_adopted = s.now_us >= s.adopts_us[i];
        }
        if (bb_roster_step(&s.planner, &in, &next)) {
            CU_ASSERT_TRUE_FATAL(s.epoch_count < EPOCHS_MAX);
            s.epochs[s.epoch_count++] =
                (struct epoch){.from_us = s.now_us, .roster = next};
            for (uint32_t i = 0; i < HOSTS; i++) {
                s.adopts_us[i] = s.now_us + draw(8) * STEP_US;
            }
        }
        s.now_us += STEP_US;
    }
}

static bool
lists(const uint64_t *hosts, uint32_t count, uint64_t host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hosts[i] == host) {
            return true;
        }
    }
    return false;
}

/* Counts the hosts of one list that another one lacks. */
static uint32_t
missing_from(const struct bb_roster *a, const struct bb_roster *b)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < a->host_count; i++) {
        count += !lists(b->hosts, b->host_count, a->hosts[i]);
    }
    return count;
}

/* Tells whether every quorum of one claim set meets every quorum of another:
 * they are of the same hosts. */
static bool
sets_meet(const struct bb_request_id *key, const uint64_t *a, uint32_t a_count,
          const uint64_t *b, uint32_t b_count)
{
    uint64_t of_a[BB_CLAIM_SET];
    uint64_t of_b[BB_CLAIM_SET];
    uint32_t n = bb_claim_set(key, a, a_count, of_a);
    uint32_t m = bb_claim_set(key, b, b_count, of_b);
    uint32_t common = 0;

    for (uint32_t i = 0; i < n; i++) {
        common += lists(of_b, m, of_a[i]);
    }
    /* Two of n and two of m always meet if they are chosen from fewer than
     * four hosts, all of which are in both sets. */
    return common == n && common == m;
}

/* Tells whether two claims of a key under two rosters ask a common witness
 * for a grant, whichever quorums they get. */
static bool
claims_meet(const struct bb_request_id *key, const struct bb_roster *a,
            const struct bb_roster *b)
{
    return sets_meet(key, a->hosts, a->host_count, b->hosts, b->host_count) ||
           (a->previous_count > 0 &&
            sets_meet(key, a->previous, a->previous_count, b->hosts,
                      b->host_count)) ||
           (b->previous_count > 0 &&
            sets_meet(key, a->hosts, a->host_count, b->previous,
                      b->previous_count)) ||
           (a->previous_count > 0 && b->previous_count > 0 &&
            sets_meet(key, a->previous, a->previous_count, b->previous,
                      b->previous_count));
}

/* Checks all epochs of a run. Returns how often the hosts changed. */
static uint32_t
check_epochs(void)
{
    uint64_t changed_us = 0;
    uint32_t changes = 0;

    for (uint32_t i = 1; i < s.epoch_count; i++) {
        const struct epoch *a = &s.epochs[i - 1];
        const struct epoch *b = &s.epochs[i];
        uint32_t removed = missing_from(&a->roster, &b->roster);
        uint32_t added = missing_from(&b->roster, &a->roster);

        CU_ASSERT_EQUAL(b->roster.epoch, a->roster.epoch + 1);
        CU_ASSERT_TRUE(removed <= 1 && added <= 1);
        if (removed + added > 0) {
            CU_ASSERT_TRUE(b->from_us >= changed_us + RETENTION_US);
            CU_ASSERT_EQUAL(b->roster.previous_count, a->roster.host_count);
            changed_us = b->from_us;
            changes++;
        }
        for (uint32_t j = i; j > 0; j--) {
            /* The earlier epoch ended when the next one began. */
            if (b->from_us - s.epochs[j].from_us >= RETENTION_US) {
                break;
            }
            for (uint64_t k = 0; k < KEYS; k++) {
                struct bb_request_id key = bb_request_id_random(k, SEED);

                CU_ASSERT_TRUE(
                    claims_meet(&key, &s.epochs[j - 1].roster, &b->roster));
            }
        }
    }
    return changes;
}

/* Guards against a sequence of changes in which an early and a late claim of
 * one key share no witness, whatever hosts come and go, however late they
 * learn of an epoch, and though the planning host is replaced. */
static void
test_claims_of_any_two_moments_share_a_witness(void)
{
    uint32_t changes = 0;

    random_source = bb_random_create(SEED);
    for (int i = 0; i < RUNS; i++) {
        start((uint32_t)(1 + draw(HOSTS)));
        for (int j = 0; j < STEPS; j++) {
            struct bb_roster_host *h = &s.hosts[draw(HOSTS)];

            if (draw(20) == 0) {
                h->is_there = draw(3) != 0;
                h->is_ready = h->is_there && draw(4) != 0;
            }
            if (draw(400) == 0) {
                memset(&s.planner, 0, sizeof(s.planner));
            }
            run(STEP_US);
        }
        changes += check_epochs();
    }
    /* The rules above say nothing of a roster that never changes. */
    CU_ASSERT_TRUE(changes > RUNS);
    bb_random_destroy(random_source);
}

/* Guards against a first roster of the few hosts that announce themselves
 * first, which could then grow by one host in the retention time only; one of
 * a single host could not grant a claim until then. */
static void
test_first_roster_waits_for_a_stable_set(void)
{
    random_source = bb_random_create(SEED);
    start(1);
    run(10 * (uint64_t)BB_ROSTER_STABLE_US);
    s.hosts[1].is_ready = true;
    s.hosts[1].is_there = true;
    run(BB_ROSTER_STABLE_US);
    s.hosts[2].is_ready = true;
    s.hosts[2].is_there = true;
    run(BB_ROSTER_STABLE_US);
    CU_ASSERT_EQUAL(s.epoch_count, 0);
    run(STEP_US);
    CU_ASSERT_EQUAL(s.epoch_count, 1);
    CU_ASSERT_EQUAL(present()->epoch, 7);
    CU_ASSERT_EQUAL(present()->host_count, 3);
    CU_ASSERT_EQUAL(present()->previous_count, 0);
    bb_random_destroy(random_source);
}

/* Guards against a restart that changes the roster, and a lost host that is
 * never replaced. */
static void
test_only_a_lasting_loss_replaces_a_host(void)
{
    random_source = bb_random_create(SEED);
    start(5);
    run(2 * (uint64_t)RETENTION_US);
    CU_ASSERT_EQUAL(s.epoch_count, 1);
    s.hosts[1].is_ready = s.hosts[1].is_there = false;
    run(BB_ROSTER_GONE_US - STEP_US);
    s.hosts[1].is_ready = s.hosts[1].is_there = true;
    run(BB_ROSTER_GONE_US);
    CU_ASSERT_EQUAL(s.epoch_count, 1);
    s.hosts[1].is_ready = s.hosts[1].is_there = false;
    s.hosts[8].is_ready = s.hosts[8].is_there = true;
    run(BB_ROSTER_GONE_US + STEP_US);
    CU_ASSERT_EQUAL(s.epoch_count, 2);
    CU_ASSERT_EQUAL(present()->host_count, 5);
    CU_ASSERT_EQUAL(present()->previous_count, 5);
    CU_ASSERT_TRUE(lists(present()->hosts, 5, 108));
    CU_ASSERT_FALSE(lists(present()->hosts, 5, 101));
    run(RETENTION_US + 10 * STEP_US);
    CU_ASSERT_EQUAL(s.epoch_count, 3);
    CU_ASSERT_EQUAL(present()->previous_count, 0);
    bb_random_destroy(random_source);
}

/* Guards against a previous list that is dropped while two of its hosts, cut
 * off together, may still grant claims under it. */
static void
test_two_hosts_that_have_not_adopted_keep_the_previous_list(void)
{
    random_source = bb_random_create(SEED);
    start(4);
    run(2 * (uint64_t)RETENTION_US);
    s.hosts[4].is_ready = s.hosts[4].is_there = true;
    run(BB_ROSTER_NEW_US + STEP_US);
    CU_ASSERT_EQUAL(present()->previous_count, 4);
    s.adopts_us[0] = s.adopts_us[1] = UINT64_MAX;
    run(5 * (uint64_t)RETENTION_US);
    CU_ASSERT_EQUAL(present()->previous_count, 4);
    s.adopts_us[0] = s.now_us;
    run(RETENTION_US);
    CU_ASSERT_EQUAL(present()->previous_count, 4);
    run(STEP_US);
    CU_ASSERT_EQUAL(present()->previous_count, 0);
    bb_random_destroy(random_source);
}

static const struct bb_unit_test tests[] = {
    {"claims of any two moments share a witness",
     test_claims_of_any_two_moments_share_a_witness},
    {"the first roster waits for a stable set",
     test_first_roster_waits_for_a_stable_set},
    {"only a lasting loss replaces a host",
     test_only_a_lasting_loss_replaces_a_host},
    {"two hosts that have not adopted keep the previous list",
     test_two_hosts_that_have_not_adopted_keep_the_previous_list},
};

BB_UNIT_MAIN("roster", tests)
